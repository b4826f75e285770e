//! Giving waiting tasks to executors.

use indexmap::IndexMap;

use super::{Cell, Entry, Order, StepState, blank_steps};
use crate::job::{State, TaskId};
use crate::order::{Rank, Waiting};
use crate::place;
use crate::worker::{Phase, Room, Slot};

/// Starts in one pass; bounds the time of a pass and the burst on the connections.
const STARTS_A_PASS: usize = 256;

/// What holds for one pass.
struct Pass {
    /// Positions of the executors that take tasks.
    open: Vec<usize>,
    /// Those among them that are much slower than the others.
    slow: Vec<usize>,
    /// Starts that are left.
    left: usize,
    /// Needs for which no executor had room.
    full: Vec<Room>,
    /// Executors that were compared so far.
    rated: usize,
    now: u64,
}

impl Pass {
    /// Whether it is known that no executor has so much room.
    ///
    /// With a long backlog nearly every task meets a full pool, and a pass would go through all
    /// executors for each.
    fn is_full(&self, need: Room) -> bool {
        self.full.iter().any(|full| need.fits(*full))
    }
}

/// Where a task may go, beside what its step says.
struct Wish<'a> {
    turn: u32,
    step: usize,
    /// Number of the step's tasks by executor.
    here: &'a IndexMap<String, u32>,
    /// Rack of the step's other tasks.
    rack: Option<&'a str>,
    /// Executors on which the task has failed.
    avoid: &'a [String],
}

/// The next step of a job that has open tasks.
struct Ready {
    rank: Rank,
    job: usize,
}

impl Cell {
    /// Starts what can start.
    pub(super) fn assign(&mut self, now: u64, wall: u64) {
        if self.superseded {
            return;
        }
        let settled = self.settled();
        let early = self.rules.early_start;
        let mut ready: Vec<Ready> = Vec::new();
        for (job, entry) in self.jobs.values_mut().enumerate() {
            if entry.state.is_final() || entry.start_blocked || (entry.inherited && !settled) {
                continue;
            }
            begin_turns(entry, wall + early);
            if entry.turns.values().any(|turn| turn.iter().any(|step| step.open > 0)) {
                let waiting = Waiting {
                    begun: entry.state == State::Running,
                    chain: remaining(entry),
                    ..entry.waiting
                };
                ready.push(Ready { rank: waiting.rank(now), job });
            }
        }
        if ready.is_empty() {
            return;
        }
        ready.sort_by_key(|r| r.rank);
        let open: Vec<usize> = (0..self.workers.len())
            .filter(|n| self.workers.get_index(*n).is_some_and(|(_, w)| w.takes(now)))
            .collect();
        let usual = self.usual_lag(now);
        let slow = |n: &usize| {
            let id = self.workers.get_index(*n).map(|(id, _)| id);
            id.is_some_and(|id| self.is_slow(id, usual, now))
        };
        let slow = open.iter().copied().filter(slow).collect();
        let mut pass = Pass { open, slow, left: STARTS_A_PASS, full: Vec::new(), rated: 0, now };
        for item in ready {
            if pass.left == 0 || pass.open.is_empty() {
                break;
            }
            self.assign_job(item.job, &mut pass);
        }
        self.rated = pass.rated;
    }

    fn assign_job(&mut self, job: usize, pass: &mut Pass) {
        let Some((_, entry)) = self.jobs.get_index(job) else { return };
        let turns: Vec<u32> = entry.turns.keys().copied().collect();
        for turn in turns {
            let Some((_, entry)) = self.jobs.get_index(job) else { return };
            for step in 0..entry.job.steps.len() {
                let Some((_, entry)) = self.jobs.get_index(job) else { return };
                let Some(states) = entry.turns.get(&turn) else { break };
                let after = &entry.job.steps[step].after;
                if states[step].open == 0 || !after.iter().all(|n| states[*n].is_done()) {
                    continue;
                }
                let gang = entry.job.steps[step].gang;
                if self.is_advised(&entry.queue) {
                    self.ask(job, turn, step, &pass.open, pass.now);
                }
                if gang {
                    self.assign_gang(job, turn, step, pass);
                } else {
                    self.assign_step(job, turn, step, pass);
                }
            }
        }
    }

    /// Starts the open tasks of a step one by one.
    fn assign_step(&mut self, job: usize, turn: u32, step: usize, pass: &mut Pass) {
        let now = pass.now;
        let Some((id, entry)) = self.jobs.get_index(job) else { return };
        if pass.is_full(place::need(&entry.job.steps[step])) {
            return;
        }
        let id = id.clone();
        let state = &entry.turns[&turn][step];
        let mut here = self.spread(state);
        let rack = self.rack_of(state);
        let tasks: Vec<u32> = (0u32..)
            .zip(&state.tasks)
            .filter(|(_, t)| !t.done && t.live.is_none() && t.after <= now)
            .map(|(n, _)| n)
            .collect();
        for index in tasks {
            if pass.left == 0 {
                return;
            }
            let avoid = &self.jobs[job].turns[&turn][step].tasks[index as usize].avoid;
            let wish = Wish { turn, step, here: &here, rack: rack.as_deref(), avoid };
            let Some(worker) = self.choose(job, &wish, pass) else { return };
            *here.entry(worker.clone()).or_default() += 1;
            let task = TaskId { job: id.clone(), turn, step, index };
            let run = self.jobs[job].turns[&turn][step].tasks[index as usize].run;
            self.start(job, &worker, task, self.next_run(run), now);
            pass.left -= 1;
        }
    }

    /// Starts a whole gang, or nothing.
    fn assign_gang(&mut self, job: usize, turn: u32, step: usize, pass: &mut Pass) {
        let now = pass.now;
        let Some((id, entry)) = self.jobs.get_index(job) else { return };
        let id = id.clone();
        let state = &entry.turns[&turn][step];
        if state.open != state.tasks.len() || state.tasks.iter().any(|t| t.after > now) {
            return;
        }
        let run = self.next_run(state.tasks.iter().map(|t| t.run).max().unwrap_or(0));
        // All members resume from the same checkpoint.
        let checkpoint = state.tasks.iter().map(|t| t.checkpoint.clone()).max().unwrap_or_default();
        let count = state.tasks.len();
        let mut here = IndexMap::new();
        let mut chosen: Vec<String> = Vec::with_capacity(count);
        let need = place::need(&entry.job.steps[step]);
        let full = pass.full.clone();
        let mut rack = None;
        for _ in 0..count {
            let wish = Wish { turn, step, here: &here, rack: rack.as_deref(), avoid: &[] };
            let Some(worker) = self.choose(job, &wish, pass) else { break };
            *here.entry(worker.clone()).or_default() += 1;
            let w = &mut self.workers[&worker];
            w.used.add(need);
            rack = rack.or_else(|| w.rack().map(str::to_owned));
            chosen.push(worker);
        }
        for worker in &chosen {
            let w = &mut self.workers[worker];
            w.used = w.used.less(need);
        }
        if chosen.len() < count {
            // The room that was only tried is free for others.
            pass.full = full;
            return;
        }
        for (index, worker) in (0u32..).zip(chosen) {
            let entry = &mut self.jobs[job];
            entry.turns[&turn][step].tasks[index as usize].checkpoint.clone_from(&checkpoint);
            let task = TaskId { job: id.clone(), turn, step, index };
            self.start(job, &worker, task, run, now);
            pass.left = pass.left.saturating_sub(1);
        }
    }

    /// Number of a step's tasks by executor.
    fn spread(&self, state: &StepState) -> IndexMap<String, u32> {
        let mut here = IndexMap::new();
        for worker in state.tasks.iter().filter_map(|t| t.live.as_ref()) {
            *here.entry(worker.clone()).or_default() += 1;
        }
        here
    }

    /// Rack of the first task of a step that has a place.
    fn rack_of(&self, state: &StepState) -> Option<String> {
        let worker = state.tasks.iter().find_map(|t| t.live.as_ref())?;
        self.workers.get(worker)?.rack().map(str::to_owned)
    }

    /// The executor for one more task of a step.
    ///
    /// One on which the task has failed, or that is slow, is taken only where no other suits.
    fn choose(&self, job: usize, wish: &Wish<'_>, pass: &mut Pass) -> Option<String> {
        let (_, entry) = self.jobs.get_index(job)?;
        let shape = &entry.job.steps[wish.step];
        let need = place::need(shape);
        let mut room = false;
        let advice =
            self.is_advised(&entry.queue).then(|| &entry.turns[&wish.turn][wish.step].advice);
        let rate = |n: &usize| {
            let (id, worker) = self.workers.get_index(*n)?;
            if !worker.free().fits(need) {
                return None;
            }
            room = true;
            let allowed = advice.is_none_or(|advice| advice.ticket(id, pass.now).is_some());
            let here = wish.here.get(id).copied().unwrap_or(0);
            if worker.dead || !allowed || !place::suits(shape, worker, here) {
                return None;
            }
            let score = place::score(shape, worker, wish.rack)?;
            Some((!wish.avoid.contains(id), !pass.slow.contains(n), score, id))
        };
        pass.rated += pass.open.len();
        let best = pass.open.iter().filter_map(rate).max().map(|(.., id)| id.clone());
        if !room {
            pass.full.retain(|full| !full.fits(need));
            pass.full.push(need);
        }
        best
    }

    fn start(&mut self, job: usize, worker: &str, task: TaskId, run: u64, now: u64) {
        let Some(expires) = self.grant_lease(worker, now) else { return };
        let Some((id, entry)) = self.jobs.get_index_mut(job) else { return };
        let room = place::need(&entry.job.steps[task.step]);
        let step = &mut entry.turns[&task.turn][task.step];
        let state = &mut step.tasks[task.index as usize];
        state.run = run;
        state.live = Some(worker.to_owned());
        step.open -= 1;
        let checkpoint = state.checkpoint.clone();
        let ticket = step.advice.ticket(worker, now).unwrap_or_default().to_owned();
        entry.first.get_or_insert(now);
        if entry.state == State::Queued {
            entry.state = State::Running;
            self.dirty.insert(id.clone());
        }
        let slot = Slot {
            run,
            room,
            phase: Phase::Sent,
            since: now,
            ordered: now,
            pace: 100,
            percent: 0,
            moved: now,
            resumed: checkpoint.clone(),
            lasting: entry.job.steps[task.step].lasting,
        };
        self.workers[worker].occupy(task.clone(), slot);
        self.orders.push(Order::Start {
            worker: worker.to_owned(),
            task,
            run,
            payload: entry.payload.clone(),
            expires,
            checkpoint,
            ticket,
        });
    }
}

/// Longest chain of estimated work that is left of a job's first open occurrence, in milliseconds.
fn remaining(entry: &Entry) -> u64 {
    let Some((_, states)) = entry.turns.get_index(0) else { return entry.waiting.chain };
    entry.job.chain_without(|n| states[n].is_done())
}

/// Begins the occurrences that are due at `wall`.
fn begin_turns(entry: &mut Entry, wall: u64) {
    let last = match entry.job.schedule {
        None => 1,
        Some(schedule) => match wall.checked_sub(schedule.first) {
            None => 0,
            Some(since) => {
                let due = since.checked_div(schedule.every).unwrap_or(u64::from(schedule.times));
                u32::try_from(due + 1).unwrap_or(u32::MAX).min(schedule.times)
            }
        },
    };
    let next = entry.begun.max(entry.past);
    for turn in next..last {
        let job = &entry.job;
        entry.turns.entry(turn).or_insert_with(|| blank_steps(job));
    }
    entry.begun = next.max(last);
}
