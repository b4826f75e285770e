//! Handling of the runs and ends that an executor reports when it is polled.

use super::{Absence, Cell, Order, RUNS_PER_TERM, ReleaseReason, StepState, StopReason};
use crate::job::{State, TaskId};
use crate::pace;
use crate::place;
use crate::worker::{
    EndedRun, ExecutorReport, INHERITED_RUN, Phase, PresentRun, Resources, RunOutcome, Slot,
};

/// Most ends that an executor reports in one answer.
const MAX_ENDS_PER_POLL: usize = 500;
/// Delay before a failed task starts again, in milliseconds.
const FAILED_TASK_DELAY_MS: u64 = 100;

/// Whether an answer lists all ends that its executor has; a full one may omit further ends.
pub(super) fn lists_all_ends(answer: &ExecutorReport) -> bool {
    answer.ended.len() < MAX_ENDS_PER_POLL
}

impl Cell {
    /// Handles an executor's answer to a poll that was sent at `sent`.
    pub fn handle_poll(&mut self, id: &str, answer: &ExecutorReport, sent: u64, now: u64) {
        self.replace_restarted(now);
        self.revive(id);
        let longest_lease = self.longest_lease;
        let former_runs = self.former_runs();
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.record_answer(answer.clock, now);
        (worker.poll_sent_at, worker.poll_answered_at) = (sent, now);
        if !worker.joined {
            worker.extend_former_lease(self.config.lease, longest_lease);
            worker.first_clock = worker.clock;
            worker.joined = true;
        }
        worker.ends_read |= lists_all_ends(answer);
        self.clear_runs(id);
        for end in &answer.ended {
            let Some(worker) = self.workers.get_mut(id) else { return };
            if end.sequence > worker.last_seen_end {
                worker.last_seen_end = end.sequence;
                if end.run <= former_runs {
                    worker.former_ends.insert(end.sequence, (end.task.clone(), end.run));
                }
                self.handle_end(id, end, sent, now);
                self.await_durability(id, end);
                self.keep_unknown_end(id, end, now);
            }
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.settle_ends();
        }
        for run in &answer.present {
            self.handle_present(id, run, answer.clock, now);
        }
        // Starts that were addressed to an incarnation that has ended are settled with the next one.
        if self.workers.get(id).is_some_and(|w| !w.dead) {
            self.mark_missing(id, answer, sent, now);
            self.stop_unsure(id, sent, now);
        }
        self.adjust_best_effort_pace(id, answer);
    }

    /// Records the clock of an executor whose lease is renewed before its runs and ends are read.
    pub fn record_clock(&mut self, id: &str, clock: u64, now: u64) {
        let (lease, longest_lease) = (self.config.lease, self.longest_lease);
        let unread = self.workers.get_mut(id).filter(|worker| !worker.joined && !worker.dead);
        if let Some(worker) = unread {
            worker.record_answer(clock, now);
            worker.extend_former_lease(lease, longest_lease);
        }
    }

    /// Records that an executor has answered a poll that acknowledged the ends up to a number.
    pub fn record_acknowledged(&mut self, id: &str, sequence: u64) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.record_acknowledged(sequence);
        }
        self.record_former_ends(id, sequence);
    }

    /// Keeps an end from being acknowledged until its effect on its job has been written.
    fn await_durability(&mut self, id: &str, end: &EndedRun) {
        if self.dirty.contains(&end.task.job)
            && let Some(worker) = self.workers.get_mut(id)
        {
            worker.pending_ends.insert(end.sequence, end.task.job.clone());
        }
    }

    /// Keeps the end of a run whose job is not known, which may be read later.
    fn keep_unknown_end(&mut self, id: &str, end: &EndedRun, now: u64) {
        let job = &end.task.job;
        let is_unknown = !self.jobs.contains_key(job) && !self.ended_jobs.contains(job);
        self.request_parked(job);
        if let Some(worker) = self.workers.get_mut(id).filter(|_| is_unknown) {
            worker.unknown_ends.insert(end.sequence, (end.clone(), now));
        }
    }

    /// Handles the ends of a job's runs that were seen before the job was read.
    pub(super) fn apply_unknown_ends(&mut self, job: &str, now: u64) {
        let has_unknown = self.workers.iter().filter(|(_, w)| !w.unknown_ends.is_empty());
        let ids: Vec<String> = has_unknown.map(|(id, _)| id.clone()).collect();
        for id in ids {
            let Some(worker) = self.workers.get_mut(&id) else { continue };
            let is_of_job = |(_, (end, _)): &(&u64, &(EndedRun, u64))| end.task.job == job;
            let ends: Vec<EndedRun> =
                worker.unknown_ends.iter().filter(is_of_job).map(|(_, (e, _))| e.clone()).collect();
            worker.unknown_ends.retain(|_, (end, _)| end.task.job != job);
            for end in ends {
                self.handle_end(&id, &end, now, now);
                self.await_durability(&id, &end);
            }
        }
    }

    /// Acknowledges the ends of unknown jobs that were seen before `read_at`, the time of a read that
    /// has shown all jobs.
    pub fn settle_unknown_ends(&mut self, read_at: u64) {
        for worker in self.workers.values_mut() {
            worker.unknown_ends.retain(|_, (end, seen_at)| {
                *seen_at >= read_at || self.parked.contains_key(&end.task.job)
            });
            worker.settle_ends();
        }
    }

    /// Handles the end of a run.
    fn handle_end(&mut self, id: &str, end: &EndedRun, sent: u64, now: u64) {
        let task = &end.task;
        let current = self.workers.get(id).and_then(|w| w.runs.get(task)).map(|s| s.run);
        if current == Some(end.run) {
            self.release_run(id, task, ReleaseReason::Ended, sent, now);
        }
        if let Some(worker) = self.workers.get_mut(id) {
            match end.outcome {
                RunOutcome::Done => worker.record_result(true, now),
                RunOutcome::Failed => worker.record_result(false, now),
                _ => {}
            }
        }
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        let Some(spec) = entry.job.steps.get(task.step) else { return };
        let (gang, long_running) = (spec.gang, spec.long_running);
        let attempts = entry.terms.map_or(usize::MAX, |terms| terms.max_attempts as usize);
        let count = spec.count;
        let Some(steps) = entry.occurrence_mut(task.occurrence) else { return };
        let Some(step) = steps.get_mut(task.step) else { return };
        let Some(state) = step.tasks.get_mut(task.index) else { return };
        state.last_run = state.last_run.max(end.run);
        if !end.checkpoint.is_empty() && end.run == state.last_run {
            state.checkpoint.clone_from(&end.checkpoint);
        }
        match end.outcome {
            RunOutcome::Done if !long_running => {
                if gang {
                    (0..count).for_each(|n| mark_done(step, n));
                } else {
                    mark_done(step, task.index);
                }
                entry
                    .suspects
                    .retain(|suspect| *suspect != *task && !(gang && suspect.is_in_step_of(task)));
                self.dirty.insert(task.job.clone());
                self.stop_surplus_runs(task, gang, end.run, now);
                if let Some(entry) = self.jobs.get_mut(&task.job) {
                    entry.finish_if_done(task.occurrence);
                }
                self.complete_if_done(&task.job);
            }
            RunOutcome::Failed if !long_running => {
                if !state.failed_runs.contains(&end.run) {
                    state.failed_runs.push(end.run);
                }
                state.not_before = now + FAILED_TASK_DELAY_MS;
                state.avoid.push(id.to_owned());
                let exhausted = !state.done && state.failed_runs.len() >= attempts;
                self.dirty.insert(task.job.clone());
                if exhausted {
                    self.end_job(&task.job, State::Failed, now);
                }
            }
            _ => {}
        }
    }

    /// Stops the other runs of a task of which the run `done` has ended as done, or of its gang.
    ///
    /// The task may have started again while its executor was not reachable.
    fn stop_surplus_runs(&mut self, task: &TaskId, gang: bool, done: u64, now: u64) {
        let steps = self.jobs.get(&task.job).and_then(|e| e.occurrences.get(&task.occurrence));
        let Some(step) = steps.and_then(|steps| steps.get(task.step)) else { return };
        let tasks = step.tasks.recorded().filter(|(n, _)| gang || *n == task.index);
        let surplus: Vec<(String, TaskId)> = tasks
            .filter_map(|(index, state)| {
                let (worker, id) = (state.worker.as_ref()?, TaskId { index, ..task.clone() });
                let slot = self.workers.get(worker)?.runs.get(&id)?;
                (slot.run != done).then(|| (worker.clone(), id))
            })
            .collect();
        for (worker, task) in surplus {
            self.stop_run(&worker, &task, StopReason::Unwanted, now);
        }
    }

    /// Handles a run that an executor reports as present.
    fn handle_present(&mut self, id: &str, run: &PresentRun, clock: u64, now: u64) {
        let task = &run.task;
        let Some(worker) = self.workers.get_mut(id) else { return };
        let known = worker.runs.get(task).is_some_and(|slot| slot.run == run.run);
        if worker.dead {
            // The answer is older than the end of the executor.
            if known {
                let reason = ReleaseReason::Replaced;
                self.mark_absent(id, task, Absence { reason, requested: now, since: now });
            }
            return;
        }
        if !known && !self.adopt_run(id, run, now) {
            return;
        }
        self.request_parked(&task.job);
        let wanted = self.is_wanted(id, task) || self.is_parked(&task.job);
        let is_last = self.task(task).is_some_and(|state| run.run == state.last_run);
        if is_last
            && !run.checkpoint.is_empty()
            && let Some(state) = self.task_mut(task)
        {
            state.checkpoint.clone_from(&run.checkpoint);
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(slot) = worker.runs.get_mut(task) else { return };
        (slot.sent, slot.approved) = (true, true);
        slot.start_clock.get_or_insert(clock);
        slot.unverified_since = None;
        slot.absence = None;
        if matches!(slot.phase, Phase::Sent | Phase::Unsure) {
            slot.phase = Phase::Running;
            slot.phase_since = now;
            slot.progressed_at = now;
            slot.startup_since = now;
        }
        if !wanted {
            self.stop_run(id, task, StopReason::Unwanted, now);
            return;
        }
        self.check_progress(id, run, now);
    }

    /// Adds a run that this holder has not started; returns false if the executor is unknown or has
    /// ended, which its answer may be older than.
    fn adopt_run(&mut self, id: &str, run: &PresentRun, now: u64) -> bool {
        let task = &run.task;
        let worker = self.workers.get(id).filter(|w| !w.dead);
        let Some(capacity) = worker.map(|w| w.registration.capacity) else { return false };
        let long_running = self.is_long_running(task);
        let charge = self.charge(task);
        let known = self.assign_run(id, task, run.run);
        // The resources of a run of an unknown job are unknown too: they may be the whole executor,
        // whose capacity may change or not be known yet.
        let (resources, unknown_size) = (known.unwrap_or(capacity), known.is_none());
        let Some(worker) = self.workers.get_mut(id) else { return false };
        let slot = Slot {
            run: run.run,
            resources,
            charge,
            phase: Phase::Running,
            sent: true,
            approved: true,
            phase_since: now,
            last_order_at: now,
            pace: 100,
            percent: run.percent,
            progressed_at: now,
            startup_since: now,
            // The earlier duration of the run is unknown, so that its progress gives no measure of speed.
            resumed_from: INHERITED_RUN.to_owned(),
            long_running,
            unknown_size,
            beside_reservation: false,
            start_clock: None,
            cleared: false,
            unverified_since: None,
            absence: None,
            stop: None,
        };
        worker.add_run(task.clone(), slot);
        self.quarantine_adopted(id, task, now);
        true
    }

    /// Assigns a task to the executor that has a run of it, and returns what the run needs; `None` if
    /// its job is unknown.
    fn assign_run(&mut self, id: &str, task: &TaskId, run: u64) -> Option<Resources> {
        let entry = self.jobs.get_mut(&task.job)?;
        let resources = place::required_resources(entry.job.steps.get(task.step)?);
        if let Some(steps) = entry.occurrence_mut(task.occurrence)
            && let Some(step) = steps.get_mut(task.step)
            && let Some(state) = step.tasks.get_mut(task.index)
        {
            state.last_run = state.last_run.max(run);
            if !state.done && state.worker.is_none() {
                state.worker = Some(id.to_owned());
                step.open_count -= 1;
                if entry.state == State::Queued {
                    entry.state = State::Running;
                    self.dirty.insert(task.job.clone());
                }
            }
        }
        Some(resources)
    }

    /// Assigns the tasks of a job whose runs were seen before the job was read.
    pub(super) fn assign_seen_runs(&mut self, job: &str) {
        let mut seen: Vec<(String, TaskId)> = Vec::new();
        for (id, worker) in self.workers.iter().filter(|(_, w)| w.unknown_sizes > 0) {
            let runs = worker.runs.keys().filter(|task| task.job == job);
            seen.extend(runs.map(|task| (id.clone(), task.clone())));
        }
        for (id, task) in seen {
            let (charge, long_running) = (self.charge(&task), self.is_long_running(&task));
            let slot = self.workers.get_mut(&id).and_then(|worker| worker.remove_run(&task));
            let Some(slot) = slot else { continue };
            let known = self.assign_run(&id, &task, slot.run);
            let resources = known.unwrap_or(slot.resources);
            let slot =
                Slot { resources, charge, long_running, unknown_size: known.is_none(), ..slot };
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.add_run(task, slot);
            }
        }
    }

    /// Whether a task should run on the given executor.
    pub(super) fn is_wanted(&self, id: &str, task: &TaskId) -> bool {
        let active = self.jobs.get(&task.job).is_some_and(|e| !e.state.is_final());
        active && self.task(task).is_some_and(|t| !t.done && t.worker.as_deref() == Some(id))
    }

    /// Returns the scheduling state of a task.
    pub(super) fn task(&self, task: &TaskId) -> Option<&super::Task> {
        let steps = self.jobs.get(&task.job)?.occurrences.get(&task.occurrence)?;
        steps.get(task.step)?.tasks.get(task.index)
    }

    /// Returns the scheduling state of a task to change; `None` if it is done for good.
    pub(super) fn task_mut(&mut self, task: &TaskId) -> Option<&mut super::Task> {
        let steps = self.jobs.get_mut(&task.job)?.occurrences.get_mut(&task.occurrence)?;
        steps.get_mut(task.step)?.tasks.get_mut(task.index)
    }

    /// Marks runs as absent that an executor should report as present but does not.
    ///
    /// A full answer may omit the end of such a run. Only long-running tasks are marked then,
    /// since they start again however they ended.
    fn mark_missing(&mut self, id: &str, answer: &ExecutorReport, sent: u64, now: u64) {
        let Some(worker) = self.workers.get(id) else { return };
        let restarts = |task: &TaskId| {
            let spec = self.jobs.get(&task.job).and_then(|e| e.job.steps.get(task.step));
            spec.is_some_and(|spec| spec.long_running)
        };
        let missing: Vec<TaskId> = worker
            .runs
            .iter()
            .filter(|(_, slot)| {
                // A run whose order was answered before the poll was sent must be in the answer.
                matches!(slot.phase, Phase::Running | Phase::Stopped) && slot.phase_since < sent
            })
            .filter(|(task, _)| lists_all_ends(answer) || restarts(task))
            .filter(|(task, slot)| {
                !answer.present.iter().any(|p| p.task == **task && p.run == slot.run)
            })
            .map(|(task, _)| task.clone())
            .collect();
        for task in missing {
            let reason = ReleaseReason::Missing;
            self.mark_absent(id, &task, Absence { reason, requested: sent, since: now });
        }
    }

    /// Stops runs whose start was unanswered and that a later poll does not report.
    ///
    /// The start order may still arrive; the stop prevents the run from beginning then.
    fn stop_unsure(&mut self, id: &str, sent: u64, now: u64) {
        let Some(worker) = self.workers.get(id) else { return };
        // Only long-running tasks and starts addressed to an earlier incarnation are in this phase.
        let is_unsure = |slot: &Slot| slot.phase == Phase::Unsure && slot.phase_since < sent;
        let unsure = worker.runs.iter().filter(|(_, slot)| is_unsure(slot));
        let unsure: Vec<TaskId> = unsure.map(|(task, _)| task.clone()).collect();
        for task in unsure {
            self.stop_run(id, &task, StopReason::Unsure, now);
        }
    }

    /// Sets the speed of the best-effort tasks on an executor by the tail latencies of its serving
    /// tasks.
    fn adjust_best_effort_pace(&mut self, id: &str, answer: &ExecutorReport) {
        let tail_latency = |p: &PresentRun| {
            let spec = self.jobs.get(&p.task.job)?.job.steps.get(p.task.step)?;
            (spec.latency_target > 0).then_some((p.gauge, spec.latency_target))
        };
        let tail_latencies: Vec<(u64, u64)> =
            answer.present.iter().filter_map(tail_latency).collect();
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.best_effort_pace = pace::next(worker.best_effort_pace, &tail_latencies);
        let pace = worker.best_effort_pace;
        // Most runs have this speed, so that their jobs need not be looked up.
        let changed = |slot: &Slot| slot.phase == Phase::Running && slot.pace != pace;
        for (task, slot) in worker.runs.iter_mut().filter(|(_, slot)| changed(slot)) {
            let best_effort = self
                .jobs
                .get(&task.job)
                .and_then(|e| e.job.steps.get(task.step))
                .is_some_and(|spec| spec.best_effort);
            if best_effort {
                slot.pace = worker.best_effort_pace;
                self.orders.push(Order::Pace {
                    worker: id.to_owned(),
                    task: task.clone(),
                    run: slot.run,
                    percent: worker.best_effort_pace,
                });
            }
        }
    }

    /// Number for the next run of a task, above all numbers that former holders may have used.
    pub(super) fn next_run(&self, last: u64) -> u64 {
        last.max(self.former_runs()) + 1
    }

    /// Highest number of a run that former holders may have started.
    fn former_runs(&self) -> u64 {
        (self.config.term - 1) * RUNS_PER_TERM
    }
}

/// Marks a task as done.
pub(super) fn mark_done(step: &mut StepState, index: u32) {
    let Some(task) = step.tasks.get_mut(index) else { return };
    if task.done {
        return;
    }
    task.done = true;
    step.done_count += 1;
    if task.worker.is_none() {
        step.open_count -= 1;
    }
    step.tasks.settle(index);
}
