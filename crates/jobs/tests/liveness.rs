//! Seeded simulation of a cell's scheduler against executors, and the stuck states that it found.
//!
//! The check follows from the users' rule and not from what the scheduler reports: a long-running
//! task has to run while executors that suit it have room for it.

mod dice;

use std::collections::{BTreeMap, VecDeque};

use dice::SeededRng;
use indexmap::{IndexMap, IndexSet};
use jobs::cell::{Arrival, Order, Refusal, StartOutcome};
use jobs::worker::{EndedRun, Phase, PresentRun};
use jobs::{
    Cell, CellConfig, ExecutorReport, Job, Progress, Queue, Registration, Resources, RunOutcome,
    State, Step, TaskId,
};

/// Duration of executors' leases, in milliseconds.
const LEASE_MS: u64 = 6_000;
/// Longest time from a stop order to the end of the run, in milliseconds.
const STOP_TIMEOUT_MS: u64 = 900;
/// Time after which a call counts as unanswered, in milliseconds, without the wait of a poll.
const CALL_TIMEOUT_MS: u64 = 900;
/// Interval between scheduler passes, in milliseconds.
const TICK_MS: u64 = 25;
/// Interval between checks of the executors, in milliseconds.
const CHECK_MS: u64 = 100;
/// Duration of a simulated day, in milliseconds.
const DAY_MS: u64 = 60_000;
/// Time without faults from which the rule applies, in milliseconds.
const CALM_MS: u64 = 7_000;
/// Time after a task's last run from which the rule applies, in milliseconds.
const RESTART_GRACE_MS: u64 = 6_000;
/// Longest time with room and without a run, in milliseconds.
const MAX_WAIT_MS: u64 = 3_000;
/// Maximum number of concurrent starts at one executor, as in the holder.
const MAX_CONCURRENT_STARTS: usize = 4;
/// Most ends in one answer to a poll.
const MAX_ENDS: usize = 500;

/// First seed, and number of seeds of a short search.
const FIRST_SEED: u64 = 60;
const DEFAULT_SEEDS: u64 = 10;

/// What counts as room for a task.
#[derive(Clone, Copy, PartialEq)]
enum Room {
    /// Two executors have enough free resources each.
    Pieces,
    /// The pool has twice the need free, and the task fits beside an executor's long-running tasks.
    Sum,
}

#[derive(Clone)]
enum Call {
    Start { task: TaskId, run: u64, lease_end: u64 },
    Stop { task: TaskId, run: u64 },
    Poll { lease_end: Option<u64>, acked: u64, wait: u64 },
}

enum Answer {
    Done(u64),
    Refused(Refusal),
    Report(ExecutorReport),
    Replaced,
    Fenced,
}

/// A run on an executor.
struct HostRun {
    run: u64,
    need: Resources,
    long_running: bool,
    /// Work that the run needs until it ends or fails, in milliseconds.
    duration: u64,
    startup: u64,
    work: u64,
    outcome: RunOutcome,
    stops_at: Option<u64>,
}

/// One life of an executor.
struct Host {
    machine: usize,
    registration: Registration,
    born: u64,
    clock_rate: u64,
    token: u64,
    lease_end: u64,
    advanced: u64,
    runs: IndexMap<TaskId, HostRun>,
    /// Highest run stopped or ended, by task.
    barred: IndexMap<TaskId, u64>,
    ended: Vec<EndedRun>,
    last_sequence: u64,
    cut_until: u64,
    frozen_until: u64,
    failing_until: u64,
    noisy_until: u64,
    alive: bool,
}

impl Host {
    fn clock(&self, now: u64) -> u64 {
        1_000 + (now - self.born) * self.clock_rate / 1_000
    }

    fn free(&self) -> Resources {
        self.runs.values().fold(self.registration.capacity, |free, run| free.minus(run.need))
    }

    fn end(&mut self, task: &TaskId, outcome: RunOutcome) {
        let Some(run) = self.runs.swap_remove(task) else { return };
        self.last_sequence += 1;
        let highest = self.barred.entry(task.clone()).or_default();
        *highest = (*highest).max(run.run);
        self.ended.push(EndedRun {
            sequence: self.last_sequence,
            task: task.clone(),
            run: run.run,
            outcome,
            checkpoint: String::new(),
        });
    }

    /// Lets the runs work until `now` and ends those that are due.
    fn advance(&mut self, now: u64) {
        let worked = if now < self.frozen_until { 0 } else { now - self.advanced };
        self.advanced = now;
        let lapsed = !self.runs.is_empty() && self.clock(now) > self.lease_end;
        let failing = now < self.failing_until;
        let mut ended = Vec::new();
        for (task, run) in &mut self.runs {
            run.work += worked;
            let outcome = match () {
                () if lapsed => RunOutcome::Lapsed,
                () if run.stops_at.is_some_and(|at| now >= at) => RunOutcome::Stopped,
                () if failing => RunOutcome::Failed,
                () if run.work >= run.duration => run.outcome,
                () => continue,
            };
            ended.push((task.clone(), outcome));
        }
        for (task, outcome) in ended {
            self.end(&task, outcome);
        }
    }

    fn report(&self, now: u64) -> ExecutorReport {
        let percent = |run: &HostRun| match () {
            () if run.long_running => 100.min(run.work * 100 / run.startup.max(1)),
            () => run.work * 100 / run.duration.max(1),
        };
        let present = |(task, run): (&TaskId, &HostRun)| PresentRun {
            task: task.clone(),
            run: run.run,
            checkpoint: String::new(),
            percent: percent(run),
            gauge: 0,
        };
        ExecutorReport {
            clock: self.clock(now),
            present: self.runs.iter().map(present).collect(),
            ended: self.ended.iter().take(MAX_ENDS).cloned().collect(),
        }
    }
}

/// A job as the table holds it.
struct StoredJob {
    arrival: Arrival,
    state: State,
    faulty: bool,
}

/// The holder of the cell.
struct Holder {
    cell: Cell,
    term: u64,
    polled: IndexSet<String>,
    /// Starts that wait for a permit, and the number of permits in use, by executor.
    starts: IndexMap<String, (VecDeque<Call>, usize)>,
    listed_at: u64,
}

enum Event {
    Tick,
    Check,
    Flush,
    Arrive { id: u64, answered: bool, poll_until: u64 },
    Reply { id: u64, answer: Answer },
    Timeout { id: u64 },
    Poll { host: String, until: u64 },
    Submit,
    Fault,
    Kill { host: String, down: u64 },
    Unlist { host: String },
    List { registration: Registration },
    Rejoin { machine: usize },
    Relocate,
    Relocated { host: String, deadline: u64 },
    Drain,
    LoseHolder,
    NewHolder,
}

struct OpenCall {
    host: String,
    call: Call,
    term: u64,
    sent: u64,
    open: bool,
}

/// Time without a run of one long-running task.
#[derive(Default, Clone, Copy)]
struct Wait {
    last_run: u64,
    /// Since when the rule is broken.
    since: Option<u64>,
}

struct World {
    now: u64,
    rng: SeededRng,
    room: Room,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    calls: IndexMap<u64, OpenCall>,
    hosts: IndexMap<String, Host>,
    births: u64,
    capacity: Resources,
    holder: Option<Holder>,
    last_term: u64,
    store: IndexMap<String, StoredJob>,
    /// Long-running tasks with their steps.
    tasks: Vec<(TaskId, Step)>,
    leaving: IndexSet<String>,
    last_fault: u64,
    /// Until when the table takes no writes.
    unwritable_until: u64,
    peaks: Vec<(u64, u64)>,
    waits: IndexMap<TaskId, Wait>,
    failing_jobs: bool,
    large_jobs: bool,
    /// Memory of the large jobs' tasks, in mebibytes.
    large_memory: u64,
    run_life: f64,
    /// What happened to each long-running task, for the failure message.
    trace: Vec<String>,
    failure: Option<String>,
}

impl World {
    fn new(seed: u64, room: Room) -> Self {
        let mut rng = SeededRng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        (0..4).for_each(|_| _ = rng.uniform());
        let capacity = Resources { cpu: 16_000, memory: 64_000, gpus: 0 };
        let mut world = Self {
            now: 1_000,
            rng,
            room,
            events: BTreeMap::new(),
            next_event: 0,
            calls: IndexMap::new(),
            hosts: IndexMap::new(),
            births: 0,
            capacity,
            holder: None,
            last_term: 0,
            store: IndexMap::new(),
            tasks: Vec::new(),
            leaving: IndexSet::new(),
            last_fault: 0,
            unwritable_until: 0,
            peaks: Vec::new(),
            waits: IndexMap::new(),
            failing_jobs: false,
            large_jobs: false,
            large_memory: 0,
            run_life: 0.0,
            trace: Vec::new(),
            failure: None,
        };
        world.plan();
        world
    }

    /// Plans the pool, its jobs, peaks, duties and faults.
    fn plan(&mut self) {
        let size = self.between(5, 13);
        (0..size as usize).for_each(|machine| self.join(machine));
        self.failing_jobs = self.chance(0.3);
        self.large_jobs = self.chance(0.5);
        self.large_memory = self.between(6_000, 24_000);
        self.run_life = if self.chance(0.3) { 5_000.0 } else { 40_000.0 };
        let mut memory_left = size * self.capacity.memory * 2 / 5;
        for n in 0..self.between(1, 4) {
            let memory = self.between(2_000, 32_001);
            if memory * 5 > memory_left {
                continue;
            }
            memory_left -= memory * 5;
            let step = Step {
                count: 5,
                resources: Resources { cpu: self.between(500, 3_001), memory, gpus: 0 },
                max_per_executor: 1,
                max_unavailable: 1,
                long_running: true,
                ..Step::default()
            };
            let id = format!("{n:016x}");
            for index in 0..step.count {
                let task = TaskId { job: id.clone(), occurrence: 0, step: 0, index };
                self.tasks.push((task, step.clone()));
            }
            self.store_job(id, step, false);
        }
        for _ in 0..self.between(1, 4) {
            let from = self.between(4_000, 40_000);
            let length = self.between(3_000, 20_000);
            self.peaks.push((from, from + length));
            // A peak makes machines move.
            for _ in 0..self.between(0, 3) {
                let at = from + self.between(0, 3_000);
                self.schedule(at, Event::Relocate);
            }
        }
        for _ in 0..self.between(0, 3) {
            let at = self.between(5_000, 50_000);
            let event = if self.chance(0.6) { Event::Relocate } else { Event::Drain };
            self.schedule(at, event);
        }
        for _ in 0..self.between(0, 5) {
            let at = self.between(4_000, 35_000);
            self.schedule(at, Event::Fault);
        }
        if self.chance(0.2) {
            let at = self.between(10_000, 30_000);
            self.schedule(at, Event::LoseHolder);
        }
        self.schedule(1_000, Event::NewHolder);
        self.schedule(1_005, Event::Tick);
        self.schedule(1_010, Event::Check);
        self.schedule(1_015, Event::Flush);
        self.schedule(1_200, Event::Submit);
    }

    fn between(&mut self, low: u64, high: u64) -> u64 {
        low + (self.rng.uniform() * (high - low) as f64) as u64
    }

    fn chance(&mut self, share: f64) -> bool {
        self.rng.uniform() < share
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }

    fn store_job(&mut self, id: String, step: Step, faulty: bool) {
        let arrival = Arrival {
            id: id.clone(),
            part: "q".to_owned(),
            queue: "q".to_owned(),
            job: Job { payload: String::new(), steps: vec![step], schedule: None },
            progress: Progress::default(),
            requested_at: self.now,
            inherited: false,
            start_blocked: false,
            organisation: None,
        };
        if let Some(holder) = &mut self.holder {
            holder.cell.admit(arrival.clone());
        }
        self.store.insert(id, StoredJob { arrival, state: State::Queued, faulty });
    }

    /// Starts a new life of a machine's executor.
    fn join(&mut self, machine: usize) {
        self.births += 1;
        let id = format!("x{machine}-{}", self.births);
        let registration = Registration {
            id: id.clone(),
            pool: "p".to_owned(),
            address: format!("host{machine}:1"),
            ready: true,
            capacity: self.capacity,
            labels: vec!["kind".to_owned(), format!("r{}", machine % 3)],
            ..Registration::default()
        };
        if let Some(holder) = &mut self.holder {
            holder.cell.register(registration.clone());
        }
        let clock_rate = self.between(985, 1_001);
        self.hosts.insert(
            id,
            Host {
                machine,
                registration,
                born: self.now,
                clock_rate,
                token: 0,
                lease_end: 0,
                advanced: self.now,
                runs: IndexMap::new(),
                barred: IndexMap::new(),
                ended: Vec::new(),
                last_sequence: 0,
                cut_until: 0,
                frozen_until: 0,
                failing_until: 0,
                noisy_until: 0,
                alive: true,
            },
        );
    }

    fn note(&mut self, text: &str) {
        self.trace.push(format!("{:>6} {text}", self.now));
    }

    fn run(&mut self) -> Result<(), String> {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > DAY_MS {
                break;
            }
            self.now = self.now.max(at);
            self.handle(event);
            if let Some(failure) = self.failure.take() {
                return Err(format!("{failure}\n{}", self.trace.join("\n")));
            }
        }
        Ok(())
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => {
                self.tick();
                self.schedule(self.now + TICK_MS, Event::Tick);
            }
            Event::Check => {
                self.check();
                self.schedule(self.now + CHECK_MS, Event::Check);
            }
            Event::Flush => {
                self.flush();
                self.schedule(self.now + 100, Event::Flush);
            }
            Event::Arrive { id, answered, poll_until } => self.arrive(id, answered, poll_until),
            Event::Reply { id, answer } => self.reply(id, Some(answer)),
            Event::Timeout { id } => self.reply(id, None),
            Event::Poll { host, until } => self.poll(&host, until),
            Event::Submit => self.submit(),
            Event::Fault => self.fault(),
            Event::Kill { host, down } => self.kill(&host, down),
            Event::Unlist { host } => {
                if let Some(holder) = &mut self.holder {
                    holder.cell.unlist(&host);
                }
            }
            Event::List { registration } => {
                let alive = self.hosts.get(&registration.id).is_some_and(|host| host.alive);
                if let Some(holder) = self.holder.as_mut().filter(|_| alive) {
                    holder.cell.register(registration);
                }
            }
            Event::Rejoin { machine } => self.join(machine),
            Event::Relocate => self.relocate(),
            Event::Relocated { host, deadline } => self.relocated(&host, deadline),
            Event::Drain => self.drain(),
            Event::LoseHolder => {
                self.holder = None;
                self.note("the holder is lost");
                let gap = self.between(300, 7_000);
                self.last_fault = self.now + gap;
                self.schedule(self.now + gap, Event::NewHolder);
            }
            Event::NewHolder => self.take_over(),
        }
    }

    fn take_over(&mut self) {
        self.last_term += 1;
        let term = self.last_term;
        let config = CellConfig {
            lease: LEASE_MS,
            inherited_lease: 3_500 + LEASE_MS + LEASE_MS / 20,
            stop_timeout: STOP_TIMEOUT_MS,
            early_start: 0,
            term,
        };
        let mut cell = Cell::new(config, self.now);
        let queue = Queue {
            name: "q".to_owned(),
            max_attempts: 3,
            stretch: 2_000,
            objective_base: 1_000,
            ..Queue::default()
        };
        cell.configure(std::iter::once(&queue));
        for host in self.hosts.values().filter(|host| host.alive) {
            if term > 1 {
                cell.inherit(host.registration.clone());
            }
            cell.register(host.registration.clone());
        }
        cell.set_leaving(self.leaving.clone());
        for job in self.store.values().filter(|job| !job.state.is_final()) {
            let arrival = Arrival { inherited: term > 1, ..job.arrival.clone() };
            cell.admit(arrival);
        }
        self.note(&format!("term {term} begins"));
        self.holder = Some(Holder {
            cell,
            term,
            polled: IndexSet::new(),
            starts: IndexMap::new(),
            listed_at: 0,
        });
    }

    fn tick(&mut self) {
        let now = self.now;
        let Some(holder) = &mut self.holder else { return };
        let unpolled: Vec<String> = holder
            .cell
            .workers()
            .iter()
            .filter(|(id, worker)| !worker.dead && !holder.polled.contains(*id))
            .map(|(id, _)| id.clone())
            .collect();
        for host in unpolled {
            self.holder.as_mut().unwrap().polled.insert(host.clone());
            self.poll(&host, 0);
        }
        let holder = self.holder.as_mut().unwrap();
        holder.cell.confirm_ownership(now);
        for order in holder.cell.tick(now, now) {
            match order {
                Order::Start { worker, task, run, lease_end, .. } => {
                    let holder = self.holder.as_mut().unwrap();
                    let (queue, _) = holder.starts.entry(worker.clone()).or_default();
                    queue.push_back(Call::Start { task, run, lease_end });
                    self.send_starts(&worker);
                }
                Order::Stop { worker, task, run, .. } => {
                    if task.job.starts_with("0000") {
                        self.note(&format!("stop {task} run {run} at {worker}"));
                    }
                    self.send(&worker, Call::Stop { task, run });
                }
                Order::Advise { .. } | Order::Pace { .. } => {}
            }
        }
    }

    /// Sends the starts for which permits are available.
    fn send_starts(&mut self, host: &str) {
        loop {
            let Some(holder) = &mut self.holder else { return };
            let Some((queue, in_use)) = holder.starts.get_mut(host) else { return };
            if *in_use >= MAX_CONCURRENT_STARTS {
                return;
            }
            let Some(call) = queue.pop_front() else { return };
            *in_use += 1;
            self.send(host, call);
        }
    }

    fn send(&mut self, host: &str, call: Call) {
        self.next_event += 1;
        let (id, now) = (self.next_event, self.now);
        let wait = if let Call::Poll { wait, .. } = call { wait } else { 0 };
        let term = self.holder.as_ref().map_or(0, |holder| holder.term);
        self.calls
            .insert(id, OpenCall { host: host.to_owned(), call, term, sent: now, open: true });
        self.schedule(now + CALL_TIMEOUT_MS + wait, Event::Timeout { id });
        let Some(target) = self.hosts.get(host) else { return };
        let machine = target.machine;
        let replaced =
            !target.alive && self.hosts.values().any(|h| h.machine == machine && h.alive);
        let (alive, noisy) = (target.alive, now < target.noisy_until);
        let cut = now < target.cut_until;
        let delay = self.between(1, 12);
        if replaced {
            self.schedule(now + delay, Event::Reply { id, answer: Answer::Replaced });
        } else if alive && !cut {
            let fate = if noisy { self.rng.uniform() } else { 1.0 };
            let (at, answered) = match () {
                () if fate < 0.2 => (now + self.between(2_000, 12_001), false),
                () if fate < 0.4 => (now + delay, false),
                () => (now + delay, true),
            };
            if !answered {
                self.last_fault = self.last_fault.max(at);
            }
            self.schedule(at, Event::Arrive { id, answered, poll_until: at + wait });
        }
    }

    /// Carries out a call at its executor.
    fn arrive(&mut self, id: u64, answered: bool, poll_until: u64) {
        let now = self.now;
        let Some(OpenCall { host: name, call, term, .. }) = self.calls.get(&id) else { return };
        let (name, call, term) = (name.clone(), call.clone(), *term);
        let Some(host) = self.hosts.get_mut(&name).filter(|host| host.alive) else { return };
        host.advance(now);
        if term < host.token {
            if answered {
                self.schedule(now + 3, Event::Reply { id, answer: Answer::Fenced });
            }
            return;
        }
        host.token = term;
        let answer = match call {
            Call::Start { task, run, lease_end } => self.begin(&name, &task, run, lease_end),
            Call::Stop { task, run } => {
                let delay = self.between(0, STOP_TIMEOUT_MS);
                let host = &mut self.hosts[&name];
                let highest = host.barred.entry(task.clone()).or_default();
                *highest = (*highest).max(run);
                if let Some(present) = host.runs.get_mut(&task).filter(|r| r.run <= run) {
                    present.stops_at.get_or_insert(now + delay);
                }
                Answer::Done(host.clock(now))
            }
            Call::Poll { lease_end, acked, .. } => {
                host.ended.retain(|end| end.sequence > acked);
                if let Some(lease_end) = lease_end {
                    host.lease_end = host.lease_end.max(lease_end);
                }
                if host.ended.is_empty() && now < poll_until {
                    let at = (now + 20).min(poll_until);
                    self.schedule(at, Event::Arrive { id, answered, poll_until });
                    return;
                }
                Answer::Report(host.report(now))
            }
        };
        let cut = now < self.hosts[&name].cut_until;
        if answered && !cut {
            let delay = self.between(1, 12);
            self.schedule(now + delay, Event::Reply { id, answer });
        }
    }

    /// Starts a run at an executor.
    fn begin(&mut self, name: &str, task: &TaskId, run: u64, lease_end: u64) -> Answer {
        let now = self.now;
        let busy = now < self.hosts[name].noisy_until && self.chance(0.1);
        let job = &self.store[&task.job];
        let (spec, faulty) = (job.arrival.job.steps[task.step].clone(), job.faulty);
        let spread = self.between(70, 131);
        let fails = faulty && self.chance(0.5);
        let life = self.rng.arrival_gap(1_000.0 / self.run_life) as u64;
        let startup = self.between(200, 1_500);
        let host = &mut self.hosts[name];
        if busy {
            return Answer::Refused(Refusal::Busy);
        }
        if host.clock(now) > lease_end {
            return Answer::Refused(Refusal::Late);
        }
        host.lease_end = host.lease_end.max(lease_end);
        if host.runs.get(task).is_some_and(|present| present.run == run) {
            return Answer::Done(host.clock(now));
        }
        if host.barred.get(task).is_some_and(|highest| run <= *highest) {
            return Answer::Refused(Refusal::Old);
        }
        let (duration, outcome) = match () {
            () if spec.long_running => (life, RunOutcome::Failed),
            () if fails => (spec.estimate * spread / 400, RunOutcome::Failed),
            () => (spec.estimate * spread / 100, RunOutcome::Done),
        };
        if !host.free().fits(spec.resources) {
            self.failure = Some(format!("{now}: {task} run {run} exceeds the capacity of {name}"));
        }
        let started = HostRun {
            run,
            need: spec.resources,
            long_running: spec.long_running,
            duration,
            startup,
            work: 0,
            outcome,
            stops_at: None,
        };
        let clock = host.clock(now);
        host.runs.insert(task.clone(), started);
        let mut copies = Vec::new();
        for (id, host) in self.hosts.iter_mut().filter(|(_, host)| host.alive) {
            host.advance(now);
            if host.runs.contains_key(task) {
                copies.push(id.clone());
            }
        }
        if copies.len() > 1 {
            self.failure = Some(format!("{now}: {task} runs twice, on {copies:?}"));
        }
        if spec.long_running {
            self.note(&format!("{task} run {run} begins on {name}"));
        }
        Answer::Done(clock)
    }

    /// Passes the answer to a call to the holder that sent it; `None` if there was none in time.
    fn reply(&mut self, id: u64, answer: Option<Answer>) {
        let now = self.now;
        let Some(open) = self.calls.get_mut(&id).filter(|open| open.open) else { return };
        open.open = false;
        let (host, call, sent) = (open.host.clone(), open.call.clone(), open.sent);
        let Some(holder) = self.holder.as_mut().filter(|holder| holder.term == open.term) else {
            return;
        };
        match call {
            Call::Start { task, run, .. } => {
                let outcome = match answer {
                    Some(Answer::Done(clock)) => StartOutcome::Running(clock),
                    Some(Answer::Refused(refusal)) => StartOutcome::Refused(refusal),
                    Some(Answer::Fenced) => StartOutcome::Refused(Refusal::Fenced),
                    Some(Answer::Replaced) => StartOutcome::Gone,
                    _ => StartOutcome::Unknown,
                };
                holder.cell.handle_start_outcome(&host, &task, run, outcome, now);
                if let Some((_, in_use)) = holder.starts.get_mut(&host) {
                    *in_use -= 1;
                }
                if task.job.starts_with("0000") && !matches!(outcome, StartOutcome::Running(_)) {
                    self.note(&format!("start {task} run {run} at {host}: {outcome:?}"));
                }
                self.send_starts(&host);
            }
            Call::Stop { task, run } => match answer {
                Some(Answer::Fenced) => holder.cell.supersede(),
                Some(Answer::Replaced) => holder.cell.mark_dead(&host, now),
                Some(_) => holder.cell.handle_stop_answer(&host, &task, run, true, now),
                None => holder.cell.handle_stop_answer(&host, &task, run, false, now),
            },
            Call::Poll { .. } => {
                let pause = match answer {
                    Some(Answer::Report(report)) => {
                        holder.cell.handle_poll(&host, &report, sent, now);
                        let busy = !report.present.is_empty() || !report.ended.is_empty();
                        if busy { 100 } else { 1_400 }
                    }
                    Some(Answer::Replaced) => {
                        holder.cell.mark_dead(&host, now);
                        holder.polled.swap_remove(&host);
                        return;
                    }
                    Some(_) => {
                        holder.cell.supersede();
                        return;
                    }
                    None => {
                        holder.cell.handle_no_answer(&host);
                        self.list_machines();
                        250
                    }
                };
                self.schedule(now + pause.min(100), Event::Poll { host, until: now + pause });
            }
        }
    }

    /// Compares the unresponsive executors with the platform's list of machines.
    fn list_machines(&mut self) {
        let now = self.now;
        let live = self.hosts.iter().filter(|(_, host)| host.alive).map(|(id, _)| id.clone());
        let live: IndexSet<String> = live.collect();
        let Some(holder) = &mut self.holder else { return };
        if now >= holder.listed_at + 250 && holder.cell.needs_liveness_check() {
            holder.listed_at = now;
            holder.cell.mark_missing_dead(&live, now, now);
        }
    }

    /// Polls an executor, or waits on if it has no work before `until`.
    fn poll(&mut self, name: &str, until: u64) {
        let now = self.now;
        let Some(holder) = &mut self.holder else { return };
        let Some(worker) = holder.cell.workers().get(name).filter(|w| !w.dead) else {
            holder.polled.swap_remove(name);
            return;
        };
        let unacked = worker.last_seen_end > worker.last_durable_end;
        let idle = worker.runs.is_empty();
        if now < until && idle && !unacked && worker.unanswered == 0 {
            self.schedule(now + 100, Event::Poll { host: name.to_owned(), until });
            return;
        }
        let acked = worker.last_durable_end;
        let pending =
            worker.runs.values().any(|slot| matches!(slot.phase, Phase::Stopped | Phase::Unsure));
        let wait = if idle || unacked || !worker.joined || pending { 0 } else { 900 };
        let lease_end = if idle { None } else { holder.cell.grant_lease(name, now) };
        self.send(name, Call::Poll { lease_end, acked, wait });
    }

    /// Writes the holder's changes to the table.
    fn flush(&mut self) {
        let Some(holder) = &mut self.holder else { return };
        if self.now < self.unwritable_until {
            return;
        }
        let (changes, flush) = holder.cell.take_changes();
        for change in changes {
            let job = &mut self.store[&change.id];
            job.state = change.state;
            job.arrival.progress = change.progress;
        }
        holder.cell.flush_done(&flush);
    }

    /// Submits short jobs: more than the pool can run in a peak, few at other times.
    fn submit(&mut self) {
        let now = self.now;
        let peak = self.peaks.iter().any(|(from, to)| (*from..*to).contains(&now));
        let jobs = self.holder.as_ref().map_or(0, |holder| holder.cell.job_count());
        let wanted = if peak { 40 + 3 * self.hosts.len() } else { 6 };
        for _ in jobs..wanted.max(jobs).min(jobs + 20) {
            let (cpu, memory) = match () {
                () if self.large_jobs => {
                    let size = self.large_memory;
                    (self.between(500, 2_500), self.between(size, size + size / 8))
                }
                () if self.chance(0.5) => (self.between(200, 3_000), self.between(2_000, 9_000)),
                () => (self.between(200, 3_000), self.between(200, 2_000)),
            };
            let step = Step {
                count: self.between(1, 7) as u32,
                resources: Resources { cpu, memory, gpus: 0 },
                estimate: self.between(200, 3_000),
                ..Step::default()
            };
            let faulty = self.failing_jobs && self.chance(0.3);
            self.births += 1;
            self.store_job(format!("{:016x}", (1 << 60) + self.births), step, faulty);
        }
        self.schedule(now + 100, Event::Submit);
    }

    /// Begins a fault of one executor or of several.
    fn fault(&mut self) {
        let now = self.now;
        let kind = self.between(0, 7);
        let until = now + self.between(500, 8_000);
        let share = if self.chance(0.3) { 1.0 } else { 0.3 };
        let names: Vec<String> =
            self.hosts.iter().filter(|(_, host)| host.alive).map(|(id, _)| id.clone()).collect();
        self.last_fault = self.last_fault.max(until);
        self.note(&format!("fault {kind} until {until}, share {share}"));
        for name in names {
            if !self.chance(share) {
                continue;
            }
            let killed = self.chance(0.5);
            let host = &mut self.hosts[&name];
            host.advance(now);
            match kind {
                0 => host.cut_until = until,
                1 => host.frozen_until = until,
                2 => host.failing_until = until,
                3 => host.noisy_until = until,
                4 => {
                    let registration = host.registration.clone();
                    if let Some(holder) = &mut self.holder {
                        holder.cell.unlist(&name);
                    }
                    self.schedule(until, Event::List { registration });
                }
                5 => self.unwritable_until = until,
                _ if killed => {
                    let down = until - now;
                    self.schedule(now, Event::Kill { host: name, down });
                }
                _ => {}
            }
        }
    }

    /// Ends an executor's life; its machine has a new executor after `down` milliseconds.
    fn kill(&mut self, name: &str, down: u64) {
        let now = self.now;
        let host = &mut self.hosts[name];
        if !host.alive {
            return;
        }
        host.advance(now);
        host.alive = false;
        host.runs.clear();
        let machine = host.machine;
        self.note(&format!("{name} ends"));
        self.schedule(now + 3_000, Event::Unlist { host: name.to_owned() });
        self.schedule(now + down, Event::Rejoin { machine });
    }

    fn set_leaving(&mut self) {
        if let Some(holder) = &mut self.holder {
            holder.cell.set_leaving(self.leaving.clone());
        }
    }

    /// Begins to empty an executor for maintenance or a move.
    fn relocate(&mut self) {
        let names: Vec<String> = self
            .hosts
            .iter()
            .filter(|(id, host)| {
                host.alive && host.registration.ready && !self.leaving.contains(*id)
            })
            .map(|(id, _)| id.clone())
            .collect();
        let Some(last) = names.len().checked_sub(1) else { return };
        let host = names[self.between(0, last as u64 + 1) as usize].clone();
        self.note(&format!("{host} is to be emptied"));
        self.leaving.insert(host.clone());
        self.set_leaving();
        let deadline = self.now + self.between(3_000, 9_000);
        self.schedule(self.now + 50, Event::Relocated { host, deadline });
    }

    /// Takes the machine down once it is empty, or gives up.
    fn relocated(&mut self, name: &str, deadline: u64) {
        let now = self.now;
        let holder = self.holder.as_ref();
        let drained = holder.is_some_and(|holder| holder.cell.is_drained(name));
        if drained || now > deadline || !self.hosts[name].alive {
            if drained && self.hosts[name].alive {
                let down = self.between(1_500, 5_000);
                self.kill(name, down);
                if let Some(holder) = &mut self.holder {
                    holder.cell.mark_dead(name, now);
                }
            }
            self.leaving.swap_remove(name);
            self.set_leaving();
        } else {
            self.schedule(now + 50, Event::Relocated { host: name.to_owned(), deadline });
        }
    }

    /// Lets an executor announce its end, and end later.
    fn drain(&mut self) {
        let now = self.now;
        let ready = |host: &&mut Host| host.alive && host.registration.ready;
        let Some(host) = self.hosts.values_mut().find(ready) else { return };
        host.registration.ready = false;
        let registration = host.registration.clone();
        let name = registration.id.clone();
        if let Some(holder) = &mut self.holder {
            holder.cell.register(registration);
        }
        self.note(&format!("{name} drains"));
        let (ends, down) = (self.between(5_000, 9_000), self.between(500, 4_000));
        self.schedule(now + ends, Event::Kill { host: name, down });
    }

    /// Whether there is room for a task without a run.
    fn has_room(&self, spec: &Step, task: &TaskId) -> bool {
        let usable = |id: &str, host: &Host| {
            host.alive && host.registration.ready && !self.leaving.contains(id)
        };
        let usable: Vec<&Host> =
            self.hosts.iter().filter(|(id, host)| usable(id, host)).map(|(_, host)| host).collect();
        let suits = |host: &&&Host| {
            !host.runs.keys().any(|other| other.job == task.job && other.step == task.step)
        };
        let need = spec.resources;
        match self.room {
            Room::Pieces => {
                usable.iter().filter(suits).filter(|host| host.free().fits(need)).count() > 1
            }
            Room::Sum => {
                let mut total = Resources::default();
                usable.iter().for_each(|host| total.add(host.free()));
                let twice =
                    Resources { cpu: 2 * need.cpu, memory: 2 * need.memory, gpus: 2 * need.gpus };
                let beside = |host: &&Host| {
                    let runs = host.runs.values().filter(|run| run.long_running);
                    runs.fold(host.registration.capacity, |free, run| free.minus(run.need))
                };
                total.fits(twice) && usable.iter().filter(suits).any(|h| beside(h).fits(need))
            }
        }
    }

    /// Checks that each long-running task runs while there is room for it.
    fn check(&mut self) {
        let now = self.now;
        for host in self.hosts.values_mut().filter(|host| host.alive) {
            host.advance(now);
        }
        let calm = now > self.last_fault + CALM_MS;
        for (task, spec) in self.tasks.clone() {
            let runs = self.hosts.values().any(|host| host.runs.contains_key(&task));
            let room = !runs && calm && self.has_room(&spec, &task);
            let wait = self.waits.entry(task.clone()).or_default();
            if runs {
                *wait = Wait { last_run: now, since: None };
                continue;
            }
            if !room || now < wait.last_run + RESTART_GRACE_MS {
                wait.since = None;
                continue;
            }
            let since = *wait.since.get_or_insert(now);
            if now >= since + MAX_WAIT_MS && self.failure.is_none() {
                let last_run = wait.last_run;
                let waiting = self.holder.as_ref().map(|h| h.cell.waiting_tasks(0, now));
                let waiting = waiting.into_iter().flatten().find(|w| w.task == task);
                self.failure = Some(format!(
                    "{now}: {task} has no run since {last_run}, last fault {}: {waiting:?}",
                    self.last_fault
                ));
            }
        }
    }
}

fn simulate(seed: u64, room: Room) -> Result<(), String> {
    World::new(seed, room).run()
}

/// Simulates days by seed and fails at the first broken rule.
///
/// `LIVENESS_SEEDS` sets the number of seeds for a longer search.
fn simulate_days(room: Room) {
    let seeds = std::env::var("LIVENESS_SEEDS").ok().and_then(|n| n.parse().ok());
    let seeds = seeds.unwrap_or(DEFAULT_SEEDS);
    let mut failures = Vec::new();
    for seed in FIRST_SEED..FIRST_SEED + seeds {
        if let Err(failure) = simulate(seed, room) {
            failures.push(format!("seed {seed}: {failure}"));
        }
    }
    assert!(failures.is_empty(), "{} of {seeds}\n{}", failures.len(), failures.join("\n\n"));
}

/// Guards against a long-running task that is not started though several executors have room.
#[test]
fn long_running_tasks_run_while_executors_have_room() {
    simulate_days(Room::Pieces);
}

/// Guards against a long-running task that gets no executor because small tasks take every piece.
#[test]
fn long_running_tasks_run_while_the_pool_has_room() {
    simulate_days(Room::Sum);
}
