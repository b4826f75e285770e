//! Assignment of open tasks to executors.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use indexmap::{IndexMap, IndexSet};

use super::occurrences::{MAX_BEGUN_STEPS, is_untouched};
use super::quarantine::{CrashRecord, is_turn, next_suspect, tasks_at_once};
use super::quota::{self, QuotaPass};
use super::reserve::ShortEnd;
use super::{Cell, JobEntry, Order, StepState, Task};
use crate::job::{State, TaskId};
use crate::order::{Candidate, Rank};
use crate::place;
use crate::worker::{Obstacle, Phase, Resources, Slot};

/// Most starts in one pass; bounds the duration of a pass and the burst of calls to executors.
const MAX_STARTS_PER_PASS: usize = 256;
/// Time after which a job without any run may use room that is reserved, if the pool is mostly free,
/// in milliseconds.
const PASSED_OVER_MS: u64 = 1_500;

/// State of one assignment pass.
pub(super) struct Pass {
    /// Positions of the executors that accept tasks.
    accepting: Vec<usize>,
    /// Positions of the executors that would accept tasks if tasks had not failed on them.
    excluded: Vec<usize>,
    /// Positions of the accepting executors that are much slower than the others.
    slow: Vec<usize>,
    /// Starts that this pass may still make.
    starts_left: usize,
    /// Resources reserved in this pass, by position of the executor.
    pub reserved: IndexMap<usize, Resources>,
    /// Reservations of the pass before.
    pub former: IndexMap<TaskId, String>,
    /// Executors reserved for long-running tasks, by task.
    pub reservations: IndexMap<TaskId, String>,
    /// Expected ends of short tasks, by position of the executor, where they were needed.
    pub short_ends: IndexMap<usize, Vec<ShortEnd>>,
    /// Resource needs that no executor could satisfy.
    unplaceable: Vec<Resources>,
    /// The same without regard to reservations.
    unplaceable_anywhere: Vec<Resources>,
    /// Most executors that may be reserved.
    pub max_reserved: usize,
    /// Whether the present job may use what is reserved for long-running tasks.
    pub ignores_reservations: bool,
    /// Whether under half of the pool is in use.
    is_mostly_free: bool,
    /// Executors compared so far, counted once per task.
    compared: usize,
    /// Whether only suspects of the job may start.
    suspects_only: bool,
    /// Jobs whose suspects get no executor as their organisation has no allowance for them.
    without_allowance: IndexSet<usize>,
    /// What organisations with a limit use.
    pub quota: QuotaPass,
    /// Time of the pass, in milliseconds.
    pub now: u64,
}

impl Pass {
    /// Whether the pass has already found that no executor can satisfy `need`.
    ///
    /// With a long backlog the pool is full for nearly every task, and without this check a pass
    /// would compare all executors for each of them.
    fn cannot_fit(&self, need: Resources) -> bool {
        self.unplaceable.iter().any(|failed| need.fits(*failed))
    }
}

/// Constraints on the executor of one task, in addition to those of its step.
pub(super) struct Constraints<'a> {
    pub occurrence: u32,
    pub step: usize,
    /// Number of tasks of the step that each executor already has.
    pub task_counts: &'a IndexMap<String, u32>,
    /// Rack of the step's other tasks, if one of them has an executor.
    rack: Option<&'a str>,
    /// Executors on which the task has failed.
    avoid: &'a [String],
}

/// Part of a job that has a place of its own in the scheduling order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Part {
    /// All of a job that runs once, or the suspects of a job.
    Whole,
    /// Occurrences of which tasks have started.
    Begun,
    /// The next occurrences.
    Next,
}

/// A job, or a part of one, with open tasks and its place in the scheduling order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ReadyJob {
    rank: Rank,
    /// Position of the job in the cell.
    job: usize,
    part: Part,
}

impl Cell {
    /// Runs one assignment pass: starts open tasks in the scheduling order of their jobs.
    pub(super) fn assign(&mut self, now: u64, wall: u64) {
        let quota = self.begin_quota_pass(now);
        if self.superseded || self.starts_held {
            return;
        }
        let inherited_settled = self.inherited_settled();
        let early = self.config.early_start;
        let mut ready: BinaryHeap<Reverse<ReadyJob>> = BinaryHeap::new();
        self.jobs.values_mut().for_each(|entry| entry.update_due(wall + early));
        let max_begun_steps = self.max_begun_steps();
        for (job, entry) in self.jobs.values_mut().enumerate() {
            entry.seen_at.get_or_insert(now);
            if entry.state.is_final()
                || entry.start_blocked
                || entry.held
                || (entry.inherited && !inherited_settled)
            {
                continue;
            }
            entry.begin_next(max_begun_steps, now);
            let mut steps = entry.occurrences.values().flatten();
            let has_open = steps.clone().any(|step| step.open_count > 0);
            let is_idle = has_open && !steps.any(StepState::has_runs);
            entry.idle_since = entry.idle_since.or(Some(now)).filter(|_| is_idle);
            if !has_open {
                continue;
            }
            if entry.job.schedule.is_none() || !entry.suspects.is_empty() {
                let candidate = Candidate {
                    started: entry.state == State::Running,
                    critical_path: remaining_critical_path(entry),
                    ..entry.candidate
                };
                let rank = candidate.turn(entry.last_start, now);
                ready.push(Reverse(ReadyJob { rank, job, part: Part::Whole }));
            } else {
                let parts = [Part::Begun, Part::Next].into_iter();
                let ranks = parts.filter_map(|part| Some((part, rank_of(entry, part, now, wall)?)));
                ready.extend(ranks.map(|(part, rank)| Reverse(ReadyJob { rank, job, part })));
            }
        }
        if ready.is_empty() {
            self.reservations.clear();
            self.quarantine_executors(&[], &IndexSet::new(), now);
            return;
        }
        let former = std::mem::take(&mut self.reservations);
        let mut whole: Vec<ReadyJob> = ready.iter().map(|item| item.0).collect();
        whole.retain(|item| item.part == Part::Whole && self.has_waiting_suspects(item.job));
        whole.sort_unstable();
        let waiting: Vec<usize> = whole.into_iter().map(|item| item.job).collect();
        let (waiting, without_allowance) = self.partition_by_allowance(waiting, &quota);
        self.quarantine_executors(&waiting, &without_allowance, now);
        let least_cpu = self.least_cpu_needed(ready.iter().map(|item| item.0.job));
        let (mut accepting, mut excluded) = (Vec::new(), Vec::new());
        let workers = self.workers.iter().enumerate();
        let workers = workers.filter(|(_, (id, _))| !self.quarantined.contains_key(*id));
        for (n, (_, worker)) in workers.filter(|(_, (_, w))| w.free().cpu >= least_cpu) {
            match worker.obstacle(now) {
                None => accepting.push(n),
                Some(Obstacle::Excluded) => excluded.push(n),
                Some(_) => {}
            }
        }
        let median = self.median_slowdown(now);
        let slow = |n: &usize| {
            let id = self.workers.get_index(*n).map(|(id, _)| id);
            id.is_some_and(|id| self.is_slow(id, median, now))
        };
        let slow = accepting.iter().copied().filter(slow).collect();
        let mut pass = Pass {
            accepting,
            excluded,
            slow,
            starts_left: MAX_STARTS_PER_PASS,
            reserved: IndexMap::new(),
            former,
            reservations: IndexMap::new(),
            short_ends: IndexMap::new(),
            unplaceable: Vec::new(),
            unplaceable_anywhere: Vec::new(),
            max_reserved: self.max_reserved(now),
            ignores_reservations: false,
            is_mostly_free: self.is_mostly_free(now),
            compared: 0,
            suspects_only: false,
            without_allowance,
            quota,
            now,
        };
        while let Some(Reverse(item)) = ready.pop() {
            let no_executors = pass.accepting.is_empty()
                && pass.excluded.is_empty()
                && self.quarantined.is_empty();
            if pass.starts_left == 0 || no_executors {
                break;
            }
            let entry = &self.jobs[item.job];
            pass.ignores_reservations = !pass.reserved.is_empty()
                && pass.is_mostly_free
                && entry.idle_since.is_some_and(|since| now >= since + PASSED_OVER_MS);
            if pass.ignores_reservations {
                std::mem::swap(&mut pass.unplaceable, &mut pass.unplaceable_anywhere);
            }
            if entry.suspects.is_empty() {
                self.assign_job(item.job, item.part, &mut pass);
            } else {
                self.assign_suspects(item.job, &mut pass);
            }
            if item.part == Part::Next
                && let Some(entry) = self.jobs.get_index_mut(item.job).map(|(_, entry)| entry)
                && entry.begin_next(max_begun_steps, now).is_some()
                && let Some(rank) = rank_of(entry, Part::Next, now, wall)
            {
                ready.push(Reverse(ReadyJob { rank, ..item }));
            }
            if pass.ignores_reservations {
                std::mem::swap(&mut pass.unplaceable, &mut pass.unplaceable_anywhere);
            }
        }
        self.send_query(now);
        self.end_quota_pass(&pass.quota);
        self.compared = pass.compared;
        self.reservations = pass.reservations;
    }

    /// Least CPU that any open task needs, in thousandths of a core.
    ///
    /// At a peak most executors have less left, and need not be compared for each task. It is 0 if
    /// the adviser has to be asked about all executors.
    fn least_cpu_needed(&self, ready: impl Iterator<Item = usize>) -> u64 {
        let mut least = u64::MAX;
        for job in ready {
            let entry = &self.jobs[job];
            if entry.needs_advice() {
                return 0;
            }
            for steps in entry.occurrences.values() {
                let open = steps.iter().zip(&entry.job.steps).filter(|(s, _)| s.open_count > 0);
                let cpu = open.map(|(_, spec)| place::required_resources(spec).cpu).min();
                least = least.min(cpu.unwrap_or(u64::MAX));
            }
        }
        least
    }

    /// Starts suspects of a job on the executors that are kept for it; its other tasks wait.
    fn assign_suspects(&mut self, job: usize, pass: &mut Pass) {
        let Some((id, entry)) = self.jobs.get_index(job) else { return };
        if entry.crash_record != CrashRecord::Durable {
            return;
        }
        let kept = self.quiet_quarantined(id, pass.now);
        if kept.is_empty() {
            let suspect = entry.suspects.iter().find(|task| is_turn(entry, task));
            let step = suspect.map(|task| (task.occurrence, task.step));
            if let Some((occurrence, step)) = step.filter(|_| entry.needs_advice()) {
                self.request_advice(job, occurrence, step, &pass.accepting, pass.now);
            }
            self.reserve_for_suspect(job, pass);
            return;
        }
        let accepting = std::mem::replace(&mut pass.accepting, kept);
        let excluded = std::mem::take(&mut pass.excluded);
        let unplaceable = std::mem::take(&mut pass.unplaceable);
        pass.suspects_only = true;
        self.assign_job(job, Part::Whole, pass);
        pass.suspects_only = false;
        pass.unplaceable = unplaceable;
        pass.excluded = excluded;
        pass.accepting = accepting;
        self.reserve_for_suspect(job, pass);
    }

    /// Keeps the allowance that a waiting suspect needs from jobs that come later in the order.
    ///
    /// Otherwise other tasks of its organisation would take each part that becomes free while the
    /// suspect waits for the allowance, or for room on the executor that is kept for it.
    fn reserve_for_suspect(&self, job: usize, pass: &mut Pass) {
        let Some((id, entry)) = self.jobs.get_index(job) else { return };
        let Some((task, spec)) = next_suspect(entry) else { return };
        let (step, count) = (task.step, tasks_at_once(spec));
        let is_kept = self.has_quarantined(id);
        if !is_kept && !pass.without_allowance.contains(&job) {
            return;
        }
        // Without allowance, smaller tasks of the organisation wait as for any other task.
        if self.is_within_quota(job, step, count, pass) && is_kept {
            self.charge_quota(job, step, count, pass);
        }
    }

    /// Number of steps that the begun occurrences of a job may have.
    fn max_begun_steps(&self) -> usize {
        let is_repeated = |entry: &&JobEntry| {
            entry.job.schedule.is_some() && !entry.state.is_final() && entry.due > entry.first_open
        };
        MAX_BEGUN_STEPS / self.jobs.values().filter(is_repeated).count().max(1)
    }

    /// Starts the open tasks of each step whose predecessors are done, in a part of a job.
    fn assign_job(&mut self, job: usize, part: Part, pass: &mut Pass) {
        let Some((_, entry)) = self.jobs.get_index(job) else { return };
        // At a peak most waiting jobs are of organisations that may start nothing more.
        if pass.quota.is_closed(entry.organisation) && !entry.needs_advice() {
            return;
        }
        let occurrences: Vec<u32> = occurrences_of(entry, part).map(|(n, _)| n).collect();
        for occurrence in occurrences {
            self.assign_occurrence(job, occurrence, pass);
        }
    }

    /// Starts the open tasks of each step of an occurrence whose predecessors are done.
    fn assign_occurrence(&mut self, job: usize, occurrence: u32, pass: &mut Pass) {
        let Some((_, entry)) = self.jobs.get_index(job) else { return };
        for step in 0..entry.job.steps.len() {
            let Some((_, entry)) = self.jobs.get_index(job) else { return };
            let Some(steps) = entry.occurrences.get(&occurrence) else { return };
            let depends_on = &entry.job.steps[step].depends_on;
            if steps[step].open_count == 0 || !depends_on.iter().all(|n| steps[*n].is_done()) {
                continue;
            }
            let gang = entry.job.steps[step].gang;
            if entry.needs_advice() {
                self.request_advice(job, occurrence, step, &pass.accepting, pass.now);
            }
            if gang {
                self.assign_gang(job, occurrence, step, pass);
            } else {
                self.assign_step(job, occurrence, step, pass);
            }
        }
    }

    /// Starts the open tasks of a step one by one.
    fn assign_step(&mut self, job: usize, occurrence: u32, step: usize, pass: &mut Pass) {
        let now = pass.now;
        let Some((id, entry)) = self.jobs.get_index(job) else { return };
        let spec = &entry.job.steps[step];
        let long_running = spec.long_running;
        // Without the terms it is not known whether a task may run again after a failure.
        let may_repeat = long_running || entry.terms.is_some();
        if pass.quota.is_closed(entry.organisation)
            || (!long_running && pass.cannot_fit(place::required_resources(spec)))
        {
            return;
        }
        let id = id.clone();
        let state = &entry.occurrences[&occurrence][step];
        let mut task_counts = self.tasks_per_worker(state);
        let rack = self.step_rack(state);
        // Each start takes one; long-running tasks that get no executor may be reserved one.
        let most = if long_running { usize::MAX } else { pass.starts_left };
        let tasks: Vec<u32> = state
            .tasks
            .open()
            .filter(|(_, t)| t.not_before <= now)
            .filter(|(_, t)| may_repeat || t.failed_runs.is_empty())
            .filter(|(_, t)| !pass.suspects_only || t.crashes.is_suspect())
            .map(|(n, _)| n)
            .take(most)
            .collect();
        for index in tasks {
            if pass.starts_left == 0 || !self.is_within_quota(job, step, 1, pass) {
                return;
            }
            let state = &self.jobs[job].occurrences[&occurrence][step];
            let Some(Task { avoid, last_run, .. }) = state.tasks.get(index) else { continue };
            let run = self.next_run(*last_run);
            let constraints = Constraints {
                occurrence,
                step,
                task_counts: &task_counts,
                rack: rack.as_deref(),
                avoid,
            };
            let task = TaskId { job: id.clone(), occurrence, step, index };
            let Some(worker) = self.choose_worker(job, &constraints, pass) else {
                if long_running
                    && !pass.suspects_only
                    && let Some(worker) = self.reserve(job, task, &constraints, pass)
                {
                    *task_counts.entry(worker).or_default() += 1;
                    self.charge_reservation(job, step, pass);
                    continue;
                }
                return;
            };
            *task_counts.entry(worker.clone()).or_default() += 1;
            self.start_task(job, &worker, task, run, pass);
            self.charge_quota(job, step, 1, pass);
            pass.starts_left -= 1;
        }
    }

    /// Starts all tasks of a gang, or none if not all of them can be placed.
    fn assign_gang(&mut self, job: usize, occurrence: u32, step: usize, pass: &mut Pass) {
        let now = pass.now;
        let Some((id, entry)) = self.jobs.get_index(job) else { return };
        let id = id.clone();
        let state = &entry.occurrences[&occurrence][step];
        let recorded = || state.tasks.recorded().map(|(_, task)| task);
        if state.open_count != state.tasks.len() || recorded().any(|t| t.not_before > now) {
            return;
        }
        if pass.suspects_only && !recorded().any(|t| t.crashes.is_suspect()) {
            return;
        }
        let has_failed = recorded().any(|t| !t.failed_runs.is_empty());
        if entry.terms.is_none() && has_failed && !entry.job.steps[step].long_running {
            return;
        }
        if !self.is_within_quota(job, step, state.tasks.len() as u64, pass) {
            return;
        }
        let run = self.next_run(recorded().map(|t| t.last_run).max().unwrap_or(0));
        // All members resume from the same checkpoint.
        let checkpoint = recorded().map(|t| &t.checkpoint).max().cloned().unwrap_or_default();
        let count = state.tasks.len();
        let mut task_counts = IndexMap::new();
        let mut chosen: Vec<String> = Vec::with_capacity(count);
        let need = place::required_resources(&entry.job.steps[step]);
        let unplaceable = pass.unplaceable.clone();
        let mut rack = None;
        for _ in 0..count {
            let constraints = Constraints {
                occurrence,
                step,
                task_counts: &task_counts,
                rack: rack.as_deref(),
                avoid: &[],
            };
            let Some(worker) = self.choose_worker(job, &constraints, pass) else { break };
            *task_counts.entry(worker.clone()).or_default() += 1;
            let w = &mut self.workers[&worker];
            w.used.add(need);
            rack = rack.or_else(|| w.rack().map(str::to_owned));
            chosen.push(worker);
        }
        for worker in &chosen {
            let w = &mut self.workers[worker];
            w.used = w.used.minus(need);
        }
        if chosen.len() < count {
            // Needs that failed only because of the tentative placements can be satisfied again.
            pass.unplaceable = unplaceable;
            return;
        }
        self.charge_quota(job, step, count as u64, pass);
        for (index, worker) in (0u32..).zip(chosen) {
            let state = &mut self.jobs[job].occurrences[&occurrence][step];
            if let Some(task) = state.tasks.get_mut(index) {
                task.checkpoint.clone_from(&checkpoint);
            }
            let task = TaskId { job: id.clone(), occurrence, step, index };
            self.start_task(job, &worker, task, run, pass);
            pass.starts_left = pass.starts_left.saturating_sub(1);
        }
    }

    /// Number of tasks of a step that each executor has.
    pub(super) fn tasks_per_worker(&self, state: &StepState) -> IndexMap<String, u32> {
        let mut task_counts = IndexMap::new();
        for worker in state.tasks.recorded().filter_map(|(_, t)| t.worker.as_ref()) {
            *task_counts.entry(worker.clone()).or_default() += 1;
        }
        task_counts
    }

    /// Rack of the first task of a step that has an executor.
    fn step_rack(&self, state: &StepState) -> Option<String> {
        let worker = state.tasks.recorded().find_map(|(_, t)| t.worker.as_ref())?;
        self.workers.get(worker)?.rack().map(str::to_owned)
    }

    /// Chooses the executor for one more task of a step.
    ///
    /// An executor on which the task has failed, or that is slow, is chosen only if no other suits.
    /// So is one that is excluded after failures, but only for a long-running task: it has no
    /// attempts to lose, while the wait costs as much as another failure.
    fn choose_worker(
        &self,
        job: usize,
        constraints: &Constraints<'_>,
        pass: &mut Pass,
    ) -> Option<String> {
        let (_, entry) = self.jobs.get_index(job)?;
        let spec = &entry.job.steps[constraints.step];
        let need = place::required_resources(spec);
        pass.compared += pass.accepting.len();
        let has_room = std::cell::Cell::new(false);
        let advice = entry
            .needs_advice()
            .then(|| &entry.occurrences[&constraints.occurrence][constraints.step].advice);
        let rate = |n: &usize| {
            let (id, worker) = self.workers.get_index(*n)?;
            let reserved = pass.reserved.get(n).copied();
            let may_delay = spec.long_running || pass.ignores_reservations;
            if !worker.has_room(need)
                || reserved.is_some_and(|reserved| {
                    !may_delay && self.delays_reservation(worker, need, reserved, pass.now)
                })
            {
                return None;
            }
            has_room.set(true);
            let allowed = advice.is_none_or(|advice| advice.ticket(id, pass.now).is_some());
            let task_count = constraints.task_counts.get(id).copied().unwrap_or(0);
            if worker.dead || !allowed || !place::is_eligible(spec, worker, task_count) {
                return None;
            }
            let score = place::score(spec, worker, constraints.rack)?;
            let is_sound = !constraints.avoid.contains(id);
            Some((is_sound, !pass.slow.contains(n), reserved.is_none(), score, id))
        };
        let best = pass.accepting.iter().filter_map(rate).max().map(|(.., id)| id.clone());
        if !has_room.get() {
            pass.unplaceable.retain(|failed| !failed.fits(need));
            pass.unplaceable.push(need);
        }
        if best.is_some() || !spec.long_running {
            return best;
        }
        let failures = |n: &usize| self.workers.get_index(*n).map_or(0, |(_, w)| w.failures);
        let rate_excluded = |n| Some((Reverse(failures(n)), rate(n)?));
        let best = pass.excluded.iter().filter_map(rate_excluded).max();
        best.map(|(_, (.., id))| id.clone())
    }

    /// Orders the start of a run and reserves its resources on the executor.
    fn start_task(&mut self, job: usize, worker: &str, task: TaskId, run: u64, pass: &Pass) {
        let now = pass.now;
        let position = self.workers.get_index_of(worker);
        let beside_reservation = position.is_some_and(|n| pass.reserved.contains_key(&n));
        let Some(lease_end) = self.grant_lease(worker, now) else { return };
        let Some((id, entry)) = self.jobs.get_index_mut(job) else { return };
        let resources = place::required_resources(&entry.job.steps[task.step]);
        let charge = quota::charge(entry, task.step);
        let step = &mut entry.occurrences[&task.occurrence][task.step];
        let Some(state) = step.tasks.get_mut(task.index) else { return };
        state.last_run = run;
        state.worker = Some(worker.to_owned());
        step.open_count -= 1;
        let checkpoint = state.checkpoint.clone();
        let ticket = step.advice.ticket(worker, now).unwrap_or_default().to_owned();
        entry.first_start.get_or_insert(now);
        entry.last_start = now;
        if entry.state == State::Queued {
            entry.state = State::Running;
            self.dirty.insert(id.clone());
        }
        let slot = Slot {
            run,
            resources,
            charge,
            phase: Phase::Sent,
            sent: self.workers[worker].sends_at_once(),
            approved: false,
            phase_since: now,
            last_order_at: now,
            pace: 100,
            percent: 0,
            progressed_at: now,
            startup_since: now,
            resumed_from: checkpoint.clone(),
            long_running: entry.job.steps[task.step].long_running,
            unknown_size: false,
            beside_reservation,
            start_clock: None,
            cleared: false,
            unverified_since: Some(now),
            absence: None,
            stop: None,
        };
        if let Some(charge) = &slot.charge {
            self.quotas.remove_waiting(charge);
        }
        self.workers[worker].add_run(task.clone(), slot);
        self.orders.push(Order::Start {
            worker: worker.to_owned(),
            task,
            run,
            payload: entry.payload.clone(),
            lease_end,
            checkpoint,
            ticket,
        });
    }
}

/// Occurrences of a part of a job that have records.
fn occurrences_of(entry: &JobEntry, part: Part) -> impl Iterator<Item = (u32, &Vec<StepState>)> {
    let is_in_part = move |steps: &[StepState]| match part {
        Part::Whole => true,
        Part::Begun => !is_untouched(steps),
        Part::Next => is_untouched(steps),
    };
    let occurrences = entry.occurrences.iter().filter(move |(_, steps)| is_in_part(steps));
    occurrences.map(|(n, steps)| (*n, steps))
}

/// Rank of a part of a repeated job by its first occurrence with open tasks; `None` if it has none.
fn rank_of(entry: &JobEntry, part: Part, now: u64, wall: u64) -> Option<Rank> {
    let is_open = |steps: &[StepState]| steps.iter().any(|step| step.open_count > 0);
    let (n, _) = occurrences_of(entry, part).find(|(_, steps)| is_open(steps))?;
    let rank = entry.occurrence_candidate(n, now, wall).turn(entry.last_start, now);
    Some(if part == Part::Next { rank.queued_since(entry.begun_at) } else { rank })
}

/// Remaining critical path of a job's first open occurrence, in milliseconds.
fn remaining_critical_path(entry: &JobEntry) -> u64 {
    let Some((_, steps)) = entry.occurrences.get_index(0) else {
        return entry.candidate.critical_path;
    };
    // Most jobs of a backlog have done nothing yet.
    if !steps.iter().any(StepState::is_done) {
        return entry.candidate.critical_path;
    }
    entry.job.remaining_critical_path(|n| steps[n].is_done())
}
