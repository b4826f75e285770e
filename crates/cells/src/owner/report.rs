//! Log lines and metrics about a cell.

use std::time::Duration;

use jobs::cell::{ReleaseReason, Usage};

use super::Inner;
use crate::clock;
use crate::metrics::Metrics;
use crate::rows::Load;

/// Time without a run after which a long-running task is logged, in milliseconds; longer than a stop
/// and a start.
const WAITING_TASK_LOG_MS: u64 = 2_000;
/// Maximum number of waiting tasks logged at a time.
const MAX_LOGGED_WAITING_TASKS: usize = 4;
/// Maximum number of acknowledged ends named in a log line.
const MAX_LOGGED_ENDS: usize = 8;
/// Maximum number of suspects named in the log line about a crash.
const MAX_LOGGED_SUSPECTS: usize = 4;

impl Inner {
    /// Updates the load's metrics.
    pub(super) fn update_metrics(&self, load: &Load, usage: &Usage) {
        let metrics = &self.ctx.metrics;
        let cell = self.tenure.cell.as_str();
        let gauge_value = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
        metrics.cell_jobs.with_label_values(&[cell]).set(gauge_value(load.jobs));
        metrics.cell_millicores.with_label_values(&[cell, "room"]).set(gauge_value(load.capacity));
        metrics.cell_millicores.with_label_values(&[cell, "used"]).set(gauge_value(load.used));
        metrics
            .cell_millicores
            .with_label_values(&[cell, "lasting"])
            .set(gauge_value(usage.long_running));
        metrics.cell_millicores.with_label_values(&[cell, "timely"]).set(gauge_value(usage.timely));
        metrics.cell_millicores.with_label_values(&[cell, "late"]).set(gauge_value(usage.late));
        metrics
            .cell_millicores
            .with_label_values(&[cell, "useless"])
            .set(gauge_value(usage.useless));
    }

    /// Logs the load and how the capacity is used.
    pub(super) fn log_load(&self, load: &Load, usage: &Usage) {
        let waiting: u64 = load.pending.values().sum();
        let effort = self.effort.take();
        let records = self.cell.borrow().records();
        self.ctx.timeline.record(
            base::Event::CellLoad,
            &[
                ("cell", &self.tenure.cell),
                ("jobs", &load.jobs),
                ("waiting", &waiting),
                ("begun", &usage.running_jobs),
                ("arriving", &load.arrival_rate),
                ("backlog", &load.backlog),
                ("room", &load.capacity),
                ("used", &load.used),
                ("occurrences", &records.begun),
                ("due", &records.unbegun),
                ("records", &records.tasks),
                ("lasting", &usage.long_running),
                ("timely", &usage.timely),
                ("late", &usage.late),
                ("useless", &usage.useless),
                ("reserved", &usage.reserved_executors),
                ("idle_ms", &usage.longest_idle),
                ("look_pause_ms", &self.busy_pause()),
                ("write_round_ms", &self.slowest_write.replace(0)),
                ("passes", &effort.passes.count),
                ("pass_ms", &effort.passes.total_ms()),
                ("answers", &effort.answers.count),
                ("answer_ms", &effort.answers.total_ms()),
                ("load_ms", &effort.loads.total_ms()),
                ("starts", &effort.starts),
            ],
        );
    }

    /// Logs crashes of executors, and jobs that are given up because of them.
    pub(super) fn log_crashes(&self) {
        let crashes = self.cell.borrow_mut().take_crashes();
        for crash in &crashes {
            let suspects = crash.suspects.iter().take(MAX_LOGGED_SUSPECTS).map(ToString::to_string);
            self.ctx.timeline.record(
                base::Event::ExecutorCrashed,
                &[
                    ("cell", &self.tenure.cell),
                    ("executor", &crash.executor),
                    ("runs", &crash.runs),
                    ("suspects", &crash.suspects.len()),
                    ("jobs", &crash.suspect_jobs),
                    ("first", &suspects.collect::<Vec<_>>().join(" ")),
                ],
            );
            for (job, count) in &crash.given_up {
                self.ctx.timeline.record(
                    base::Event::JobGivenUp,
                    &[
                        ("cell", &self.tenure.cell),
                        ("job", &job),
                        ("executor", &crash.executor),
                        ("crashes", &count),
                    ],
                );
            }
        }
    }

    /// Logs releases of runs without a reported end, and acknowledged ends of former holders' runs.
    pub(super) fn log_releases(&self) {
        let (releases, acknowledged) = {
            let mut cell = self.cell.borrow_mut();
            (cell.take_releases(), cell.take_acknowledged())
        };
        for release in &releases {
            let confirmed_ms = release.released.saturating_sub(release.confirmed);
            let age = Duration::from_millis(confirmed_ms);
            let reason: &str = release.reason.into();
            Metrics::observe(&self.ctx.metrics.release_seconds, &[reason], age);
            // Ends, and starts that were refused or withdrawn, have log lines of their own.
            let reason_logged =
                [ReleaseReason::Ended, ReleaseReason::Refused, ReleaseReason::Withdrawn];
            if reason_logged.contains(&release.reason) {
                continue;
            }
            self.ctx.timeline.record(
                base::Event::RunReleased,
                &[
                    ("task", &release.task),
                    ("run", &release.run),
                    ("executor", &release.executor),
                    ("reason", &reason),
                    ("epoch", &self.tenure.epoch),
                    ("requested_ms", &release.released.saturating_sub(release.requested)),
                    ("confirmed_ms", &confirmed_ms),
                ],
            );
        }
        for ends in acknowledged.chunk_by(|a, b| a.executor == b.executor) {
            let Some(last) = ends.last() else { continue };
            let first = ends.iter().take(MAX_LOGGED_ENDS);
            let first: Vec<String> = first.map(|end| format!("{}/{}", end.task, end.run)).collect();
            self.ctx.timeline.record(
                base::Event::EndsAcknowledged,
                &[
                    ("cell", &self.tenure.cell),
                    ("executor", &last.executor),
                    ("epoch", &self.tenure.epoch),
                    ("through", &last.sequence),
                    ("ends", &ends.len()),
                    ("first", &first.join(" ")),
                ],
            );
        }
    }

    /// Logs long-running tasks that do not run, with the reasons.
    pub(super) fn log_waiting_tasks(&self) {
        let waiting = self.cell.borrow().waiting_tasks(WAITING_TASK_LOG_MS, clock::now());
        for wait in waiting.iter().take(MAX_LOGGED_WAITING_TASKS) {
            let held_by = wait.held_by.as_ref();
            let held_by = held_by.map(|(id, phase)| format!("{id} {phase}")).unwrap_or_default();
            let reasons = wait.obstacles.iter().map(|(why, count)| format!("{why} {count}"));
            self.ctx.timeline.record(
                base::Event::TaskWaits,
                &[
                    ("cell", &self.tenure.cell),
                    ("task", &wait.task),
                    ("waited_ms", &wait.waited),
                    ("cpu", &wait.need.cpu),
                    ("memory", &wait.need.memory),
                    ("held_by", &held_by),
                    ("executors", &reasons.collect::<Vec<_>>().join(", ")),
                    ("eligible", &wait.eligible),
                    ("waiting", &waiting.len()),
                ],
            );
        }
    }
}
