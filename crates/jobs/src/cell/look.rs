//! What an executor's list of its runs changes.

use super::{Cell, Order, RUNS_A_TERM, StepState};
use crate::job::{State, TaskId};
use crate::pace;
use crate::place;
use crate::worker::{Ended, How, Look, Phase, Present, Slot};

/// Ends that an executor lists at most in one answer; more may follow.
const ENDS_A_LOOK: usize = 500;
/// Pause before a stop without answer is repeated, in milliseconds; half a second covers several
/// round trips.
const REPEAT: u64 = 500;
/// Pause before a stop is repeated to an executor that does not answer, in milliseconds.
const SILENT_REPEAT: u64 = 2_000;
/// Pause before a task that failed starts again, in milliseconds.
const AGAIN: u64 = 100;

/// Orders a stop, once until [`Cell::repeat_stops`] repeats it.
pub(super) fn stop(
    orders: &mut Vec<Order>,
    worker: &str,
    task: &TaskId,
    slot: &mut Slot,
    now: u64,
) {
    if matches!(slot.phase, Phase::Stopping | Phase::Stopped) {
        return;
    }
    slot.phase = Phase::Stopping;
    slot.since = now;
    slot.ordered = now;
    orders.push(Order::Stop { worker: worker.to_owned(), task: task.clone(), run: slot.run });
}

impl Cell {
    /// Takes in what an executor answered to a look that was sent at `sent`.
    pub fn handle_poll(&mut self, id: &str, look: &Look, sent: u64, now: u64) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.answered(look.clock, now);
        if !worker.joined {
            // An earlier holder may have given a lease just before.
            worker.granted = worker.granted.max(worker.clock + self.rules.lease);
            worker.joined = true;
        }
        for end in &look.ended {
            let Some(worker) = self.workers.get_mut(id) else { return };
            if end.number > worker.seen {
                worker.seen = end.number;
                self.ended(id, end, now);
            }
        }
        for run in &look.present {
            self.present(id, run, now);
        }
        if look.ended.len() < ENDS_A_LOOK {
            self.vanished(id, look, sent, now);
            self.stop_unsure(id, sent, now);
        }
        self.pace(id, look);
    }

    /// Takes in one end.
    fn ended(&mut self, id: &str, end: &Ended, now: u64) {
        let task = &end.task;
        let current = self.workers.get(id).and_then(|w| w.runs.get(task)).map(|s| s.run);
        if current == Some(end.run) {
            self.free(id, task, now);
        }
        if let Some(worker) = self.workers.get_mut(id) {
            match end.how {
                How::Done => worker.judge(true, now),
                How::Failed => worker.judge(false, now),
                _ => {}
            }
        }
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        let Some(shape) = entry.job.steps.get(task.step) else { return };
        let (gang, lasting) = (shape.gang, shape.lasting);
        let attempts = self.queues.get(&entry.queue).map_or(1, |q| q.attempts.max(1)) as usize;
        if task.turn < entry.past {
            return;
        }
        let job = &entry.job;
        let turn = entry.turns.entry(task.turn).or_insert_with(|| super::blank_steps(job));
        let Some(step) = turn.get_mut(task.step) else { return };
        let Some(state) = step.tasks.get_mut(task.index as usize) else { return };
        state.run = state.run.max(end.run);
        if !end.saved.is_empty() && end.run == state.run {
            state.checkpoint.clone_from(&end.saved);
        }
        match end.how {
            How::Done if !lasting => {
                if gang {
                    (0..step.tasks.len()).for_each(|n| finish(step, n));
                } else {
                    finish(step, task.index as usize);
                }
                self.dirty.insert(task.job.clone());
                self.settle_job(&task.job);
            }
            How::Failed if !lasting => {
                if !state.failed.contains(&end.run) {
                    state.failed.push(end.run);
                }
                state.after = now + AGAIN;
                state.avoid.push(id.to_owned());
                let spent = !state.done && state.failed.len() >= attempts;
                self.dirty.insert(task.job.clone());
                if spent {
                    self.end_job(&task.job, State::Failed, now);
                }
            }
            _ => {}
        }
    }

    /// Takes in one run that an executor lists.
    fn present(&mut self, id: &str, run: &Present, now: u64) {
        let task = &run.task;
        let Some(worker) = self.workers.get_mut(id) else { return };
        let ours = worker.runs.get(task).is_some_and(|slot| slot.run == run.run);
        if !ours && !self.adopt(id, run, now) {
            return;
        }
        let wanted = self.wants(id, task);
        if let Some(state) = self.task(task)
            && run.run == state.run
            && !run.saved.is_empty()
        {
            state.checkpoint.clone_from(&run.saved);
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(slot) = worker.runs.get_mut(task) else { return };
        if matches!(slot.phase, Phase::Sent | Phase::Unsure) {
            slot.phase = Phase::Running;
            slot.since = now;
            slot.moved = now;
        }
        if !wanted {
            stop(&mut self.orders, id, task, slot, now);
            return;
        }
        self.progress(id, run, now);
    }

    /// Takes in a run that this holder has not started; false when the end is known already.
    fn adopt(&mut self, id: &str, run: &Present, now: u64) -> bool {
        let task = &run.task;
        // What an unknown run takes is unknown as well: it may be the whole executor.
        let Some(mut room) = self.workers.get(id).map(|w| w.entry.room) else { return false };
        let lasting = self.lasts(task);
        let entry = self.jobs.get_mut(&task.job).filter(|entry| task.turn >= entry.past);
        if let Some(entry) = entry {
            if let Some(shape) = entry.job.steps.get(task.step) {
                room = place::need(shape);
            }
            let job = &entry.job;
            let step = entry
                .turns
                .entry(task.turn)
                .or_insert_with(|| super::blank_steps(job))
                .get_mut(task.step);
            if let Some(step) = step
                && let Some(state) = step.tasks.get_mut(task.index as usize)
            {
                state.run = state.run.max(run.run);
                if !state.done && state.live.is_none() {
                    state.live = Some(id.to_owned());
                    step.open -= 1;
                    if entry.state == State::Queued {
                        entry.state = State::Running;
                        self.dirty.insert(task.job.clone());
                    }
                }
            }
        }
        let Some(worker) = self.workers.get_mut(id) else { return false };
        let slot = Slot {
            run: run.run,
            room,
            phase: Phase::Running,
            since: now,
            ordered: now,
            pace: 100,
            percent: run.percent,
            moved: now,
            // How long it has run before is not known.
            resumed: "unknown".to_owned(),
            lasting,
        };
        worker.occupy(task.clone(), slot);
        true
    }

    /// Whether a run on an executor is the one that its task should have.
    fn wants(&mut self, id: &str, task: &TaskId) -> bool {
        let active = self.jobs.get(&task.job).is_some_and(|e| !e.state.is_final());
        active && self.task(task).is_some_and(|t| !t.done && t.live.as_deref() == Some(id))
    }

    fn task(&mut self, task: &TaskId) -> Option<&mut super::Task> {
        let turn = self.jobs.get_mut(&task.job)?.turns.get_mut(&task.turn)?;
        turn.get_mut(task.step)?.tasks.get_mut(task.index as usize)
    }

    /// Frees runs that an executor should list and does not.
    fn vanished(&mut self, id: &str, look: &Look, sent: u64, now: u64) {
        let Some(worker) = self.workers.get(id) else { return };
        let gone: Vec<TaskId> = worker
            .runs
            .iter()
            .filter(|(_, slot)| {
                // A run whose order was answered before the look went out must show in it.
                matches!(slot.phase, Phase::Running | Phase::Stopped) && slot.since < sent
            })
            .filter(|(task, slot)| {
                !look.present.iter().any(|p| p.task == **task && p.run == slot.run)
            })
            .map(|(task, _)| task.clone())
            .collect();
        for task in gone {
            self.free(id, &task, now);
        }
    }

    /// Stops starts without answer that a later look does not show: a stop keeps them from beginning
    /// late.
    fn stop_unsure(&mut self, id: &str, sent: u64, now: u64) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        for (task, slot) in &mut worker.runs {
            if slot.phase == Phase::Unsure && slot.since < sent {
                stop(&mut self.orders, id, task, slot, now);
            }
        }
    }

    /// Sets the pace of the fillers on an executor by the tails of the tasks that serve there.
    fn pace(&mut self, id: &str, look: &Look) {
        let tail = |p: &Present| {
            let shape = self.jobs.get(&p.task.job)?.job.steps.get(p.task.step)?;
            (shape.target > 0).then_some((p.gauge, shape.target))
        };
        let tails: Vec<(u64, u64)> = look.present.iter().filter_map(tail).collect();
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.pace = pace::next(worker.pace, &tails);
        for (task, slot) in &mut worker.runs {
            let filler = self
                .jobs
                .get(&task.job)
                .and_then(|e| e.job.steps.get(task.step))
                .is_some_and(|shape| shape.filler);
            if filler && slot.phase == Phase::Running && slot.pace != worker.pace {
                slot.pace = worker.pace;
                self.orders.push(Order::Pace {
                    worker: id.to_owned(),
                    task: task.clone(),
                    run: slot.run,
                    percent: worker.pace,
                });
            }
        }
    }

    /// Repeats stops that were not answered.
    pub(super) fn repeat_stops(&mut self, now: u64) {
        for (id, worker) in self.workers.iter_mut().filter(|(_, w)| !w.dead) {
            let pause = if worker.silent == 0 { REPEAT } else { SILENT_REPEAT };
            for (task, slot) in &mut worker.runs {
                if slot.phase == Phase::Stopping && now >= slot.ordered + pause {
                    slot.ordered = now;
                    self.orders.push(Order::Stop {
                        worker: id.clone(),
                        task: task.clone(),
                        run: slot.run,
                    });
                }
            }
        }
    }

    /// Number for the next run of a task, above all that earlier holders may have used.
    pub(super) fn next_run(&self, last: u64) -> u64 {
        last.max((self.rules.term - 1) * RUNS_A_TERM) + 1
    }
}

/// Marks a task as done.
fn finish(step: &mut StepState, index: usize) {
    let Some(task) = step.tasks.get_mut(index) else { return };
    if task.done {
        return;
    }
    task.done = true;
    step.done += 1;
    if task.live.is_none() {
        step.open -= 1;
    }
}
