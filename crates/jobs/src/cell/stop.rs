//! Stop orders, and the state on which each was decided.

use super::{Cell, Order, ReleaseReason};
use crate::job::TaskId;
use crate::worker::Phase;

/// Delay before an unanswered stop order is sent again, in milliseconds; half a second covers
/// several round trips.
const STOP_RETRY_MS: u64 = 500;
/// The same delay for an executor that does not answer any calls, in milliseconds.
const UNRESPONSIVE_STOP_RETRY_MS: u64 = 2_000;

/// Why a run is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum StopReason {
    /// The executor is about to leave.
    Drain,
    /// The run makes no progress.
    Stalled,
    /// Another executor would end the task sooner.
    SlowExecutor,
    /// The job has ended.
    JobEnded,
    /// The task is done, or runs on another executor.
    Unwanted,
    /// The start was not answered; for a long-running task, a later poll does not list the run.
    Unsure,
}

/// Why a run is stopped, and the state on which this was decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopCause {
    /// Reason.
    pub reason: StopReason,
    /// Last reported progress of the run, in percent.
    pub percent: u64,
    /// Time since the run entered its phase, in milliseconds.
    pub run_age: u64,
    /// Time since the last answer of the executor to a poll, in milliseconds.
    pub answer_age: u64,
    /// Number of the step's other tasks that may be unavailable; 0 for a task that is not
    /// long-running.
    pub unavailable: usize,
    /// Number of the step's tasks that may be unavailable by stops and moves; 0 for any number.
    pub max_unavailable: u32,
}

impl Cell {
    /// Orders the stop of a run, unless the executor has none of the task or the stop has been
    /// ordered before. A run whose start has not gone out is released instead.
    ///
    /// [`Cell::repeat_stops`] sends the order again while it is unanswered.
    pub(super) fn stop_run(&mut self, id: &str, task: &TaskId, reason: StopReason, now: u64) {
        let unavailable = self.unavailable_others(task, now);
        let spec = self.jobs.get(&task.job).and_then(|entry| entry.job.steps.get(task.step));
        let max_unavailable = spec.map_or(0, |spec| spec.max_unavailable);
        let Some(worker) = self.workers.get_mut(id) else { return };
        let answer_age = now.saturating_sub(worker.poll_answered_at);
        let Some(slot) = worker.runs.get_mut(task) else { return };
        if matches!(slot.phase, Phase::Stopping | Phase::Stopped) || slot.absence.is_some() {
            return;
        }
        if !slot.sent {
            self.release_run(id, task, ReleaseReason::Withdrawn, now, now);
            return;
        }
        let run_age = now.saturating_sub(slot.phase_since);
        let cause = StopCause {
            reason,
            percent: slot.percent,
            run_age,
            answer_age,
            unavailable,
            max_unavailable,
        };
        slot.phase = Phase::Stopping;
        slot.phase_since = now;
        slot.last_order_at = now;
        slot.stop = Some(cause);
        let (worker, run) = (id.to_owned(), slot.run);
        self.orders.push(Order::Stop { worker, task: task.clone(), run, cause: Some(cause) });
    }

    /// Sends stop orders again that were not answered.
    pub(super) fn repeat_stops(&mut self, now: u64) {
        for (id, worker) in self.workers.iter_mut().filter(|(_, w)| !w.dead) {
            let delay =
                if worker.unanswered == 0 { STOP_RETRY_MS } else { UNRESPONSIVE_STOP_RETRY_MS };
            for (task, slot) in &mut worker.runs {
                if slot.phase == Phase::Stopping && now >= slot.last_order_at + delay {
                    slot.last_order_at = now;
                    self.orders.push(Order::Stop {
                        worker: id.clone(),
                        task: task.clone(),
                        run: slot.run,
                        cause: slot.stop,
                    });
                }
            }
        }
    }
}
