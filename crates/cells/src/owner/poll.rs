//! Polls executors: renews their leases, acknowledges ended runs and reads the current ones.
//!
//! Load pattern: a busy executor ends dozens of tasks per second. A poll returns with the first
//! ended run, so a pause between polls lets several of them share one response. An executor without
//! work is polled only as often as it takes to stay eligible for new tasks.

use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexSet;
use jobs::worker::Phase;
use jobs::{Cell, ExecutorReport, RunOutcome, incarnation, watch};

use super::Inner;
use crate::clock;
use crate::context::pause;
use crate::ports::{OrderError, PollRequest};

/// Maximum time that a poll waits at an executor for a run to end, in milliseconds. Leases are
/// renewed at least that often.
const END_WAIT_MS: u64 = 900;
/// Pause after a poll of an executor whose ended runs are not all acknowledged yet, in
/// milliseconds.
const UNACKED_PAUSE_MS: u64 = 100;
/// Pause between polls of an executor without work, in milliseconds.
const IDLE_PAUSE_MS: u64 = 1_400;
/// Pause after a poll without a response, in milliseconds.
const RETRY_PAUSE_MS: u64 = 250;
/// Minimum time between two requests for the list of machines, in milliseconds; equal to the retry
/// pause of an unresponsive executor, so that one list serves all of them.
const MACHINE_LIST_INTERVAL_MS: u64 = 250;

impl Inner {
    /// Starts a poll loop for each executor that has none.
    pub(super) fn start_polls(self: &Rc<Self>) {
        let ids: Vec<String> = {
            let cell = self.cell.borrow();
            let polled = self.polled.borrow();
            let alive = cell.workers().iter().filter(|(_, w)| w.is_polled());
            alive.map(|(id, _)| id).filter(|id| !polled.contains(*id)).cloned().collect()
        };
        for id in ids {
            self.polled.borrow_mut().insert(id.clone());
            self.spawn_task("polls", Rc::clone(self).poll_executor(id));
        }
    }

    /// Polls an executor until it ends or the cell is lost.
    async fn poll_executor(self: Rc<Self>, id: String) {
        while self.is_active() {
            if !self.may_order() {
                pause(RETRY_PAUSE_MS).await;
                continue;
            }
            let Some(executor) = self.executor(&id) else { break };
            let Some(request) = self.poll_request(&id) else { break };
            let sent = clock::now();
            let answer =
                self.ctx.ports.executors.poll(&executor, self.tenure.epoch, &request).await;
            if !self.is_active() {
                break;
            }
            let now = clock::now();
            let received = Instant::now();
            let pause_ms = match answer {
                Ok(report) => {
                    let busy = !report.present.is_empty();
                    let has_ends = !report.ended.is_empty();
                    let mut cell = self.cell.borrow_mut();
                    let ends_read =
                        |cell: &Cell| cell.workers().get(&id).is_none_or(|w| w.ends_read);
                    let (had_joined, had_read) =
                        (cell.workers().get(&id).is_none_or(|w| w.joined), ends_read(&cell));
                    let seen = cell.workers().get(&id).map_or(0, |w| w.last_seen_end);
                    cell.handle_poll(&id, &report, sent, now);
                    cell.record_acknowledged(&id, request.acked_through);
                    let has_read = ends_read(&cell);
                    if !had_joined {
                        self.ctx.timeline.record(
                            base::Event::ExecutorJoined,
                            &[
                                ("cell", &self.tenure.cell),
                                ("executor", &id),
                                ("runs", &report.present.len()),
                                ("ends", &report.ended.len()),
                                ("all_ends", &has_read),
                            ],
                        );
                    } else if has_read && !had_read {
                        let last = cell.workers().get(&id).map_or(0, |w| w.last_seen_end);
                        self.ctx.timeline.record(
                            base::Event::EndsRead,
                            &[("cell", &self.tenure.cell), ("executor", &id), ("last", &last)],
                        );
                    }
                    drop(cell);
                    self.log_ends(&id, &report, seen);
                    self.effort.borrow_mut().answers.record(received);
                    if has_ends {
                        self.wake.notify_one();
                    }
                    let is_acknowledgement =
                        request.acked_through > 0 && incarnation::start(&id).is_some();
                    match () {
                        // The poll has not waited for the next end, as one without it would have.
                        () if is_acknowledgement && busy && !has_ends => 0,
                        () if busy || has_ends => self.busy_pause(),
                        () => self.idle_pause(&id),
                    }
                }
                Err(OrderError::Fenced) => {
                    self.cell.borrow_mut().supersede();
                    break;
                }
                Err(OrderError::Replaced) => {
                    self.log_unavailable(&id, "another incarnation responds at its address");
                    self.cell.borrow_mut().mark_dead(&id, now);
                    self.wake.notify_one();
                    break;
                }
                Err(OrderError::Restarted) => {
                    self.log_unavailable(&id, "it has started again under its name");
                    self.cell.borrow_mut().mark_restarted(&id, now);
                    self.wake.notify_one();
                    break;
                }
                Err(OrderError::Unanswered { detail }) => {
                    let first_failure = {
                        let mut cell = self.cell.borrow_mut();
                        cell.handle_no_answer(&id);
                        cell.workers().get(&id).is_some_and(|w| w.unanswered == 1)
                    };
                    if first_failure {
                        self.log_unavailable(&id, &detail);
                    }
                    self.mark_missing_dead().await;
                    let is_dead = self.cell.borrow().workers().get(&id).is_some_and(|w| w.dead);
                    if is_dead { IDLE_PAUSE_MS } else { RETRY_PAUSE_MS }
                }
            };
            self.wait_for_next_poll(&id, pause_ms).await;
        }
        self.polled.borrow_mut().swap_remove(&id);
    }

    /// Marks unresponsive executors as dead that the platform's machine list no longer names.
    ///
    /// The list is requested only while tasks wait for an unresponsive executor. It shows the loss
    /// of an executor seconds before the executor's lease is certain to have expired.
    async fn mark_missing_dead(&self) {
        let requested = clock::now();
        let due = requested >= self.machines_listed_at.get() + MACHINE_LIST_INTERVAL_MS;
        if !due || !self.cell.borrow().needs_liveness_check() {
            return;
        }
        self.machines_listed_at.set(requested);
        let machines = match self.ctx.list_machines().await {
            Ok(machines) => machines,
            // Not fatal: the runs are released when the executors' leases have expired. The log
            // shows since when the executors have not responded.
            Err(error) => {
                self.ctx.timeline.record(
                    base::Event::DutyDelayed,
                    &[("what", &format!("machine list failed for {}: {error}", self.tenure.cell))],
                );
                return;
            }
        };
        if !self.is_active() {
            return;
        }
        let names: IndexSet<&str> =
            machines.iter().map(|machine| incarnation::name(&machine.executor)).collect();
        let live: IndexSet<String> = {
            let registry = self.ctx.registry.borrow();
            let cell = self.cell.borrow();
            // Only a later incarnation shows that an executor has ended whose name is listed.
            let is_live =
                |id: &&String| names.contains(incarnation::name(id)) && !registry.is_replaced(id);
            cell.workers().keys().filter(is_live).cloned().collect()
        };
        let ended = self.cell.borrow_mut().mark_missing_dead(&live, requested, clock::now());
        for id in &ended {
            self.log_unavailable(id, "the platform lists no machine with this executor");
        }
        if !ended.is_empty() {
            self.wake.notify_one();
        }
    }

    /// Logs that an executor does not respond or has ended.
    fn log_unavailable(&self, id: &str, reason: &str) {
        self.ctx.timeline.record(
            base::Event::ExecutorSilent,
            &[("cell", &self.tenure.cell), ("executor", &id), ("what", &reason)],
        );
    }

    /// Logs new ended runs other than successes, which are reported with the end of their job.
    fn log_ends(&self, id: &str, report: &ExecutorReport, seen: u64) {
        for end in
            report.ended.iter().filter(|e| e.sequence > seen && e.outcome != RunOutcome::Done)
        {
            let attempts = self.cell.borrow().max_attempts(&end.task.job);
            let attempts = attempts.map_or_else(|| "unknown".to_owned(), |n| n.to_string());
            self.ctx.timeline.record(
                base::Event::RunEnded,
                &[
                    ("task", &end.task),
                    ("run", &end.run),
                    ("executor", &id),
                    ("how", &end.outcome),
                    ("saved", &!end.checkpoint.is_empty()),
                    ("attempts", &attempts),
                ],
            );
        }
    }

    /// Pause between polls of an executor with work, in milliseconds.
    pub(super) fn busy_pause(&self) -> u64 {
        let cell = self.cell.borrow();
        let busy = cell.workers().values().filter(|w| !w.runs.is_empty()).count();
        watch::poll_interval(busy, self.ctx.settings.cpu)
    }

    /// Pause after a poll that showed no work, in milliseconds.
    fn idle_pause(&self, id: &str) -> u64 {
        let cell = self.cell.borrow();
        let busy = cell
            .workers()
            .get(id)
            .is_some_and(|w| !w.runs.is_empty() || w.last_seen_end > w.last_durable_end);
        if busy { UNACKED_PAUSE_MS } else { IDLE_PAUSE_MS }
    }

    /// Waits for the next poll, for less time when the executor gets work meanwhile.
    async fn wait_for_next_poll(&self, id: &str, pause_ms: u64) {
        let until = clock::now() + pause_ms;
        pause(if pause_ms < IDLE_PAUSE_MS { pause_ms } else { UNACKED_PAUSE_MS }).await;
        while self.is_active() && clock::now() < until && self.idle_pause(id) == IDLE_PAUSE_MS {
            pause(UNACKED_PAUSE_MS).await;
        }
    }

    /// Builds the next poll request; `None` for an executor that has ended.
    fn poll_request(&self, id: &str) -> Option<PollRequest> {
        let mut cell = self.cell.borrow_mut();
        let worker = cell.workers().get(id).filter(|w| w.is_polled())?;
        let acked_through = worker.end_to_acknowledge();
        // A new incarnation may drop its own ends up to the number for as long as such a poll waits.
        let immediate = worker.runs.is_empty()
            || (acked_through > 0 && worker.may_restart())
            || worker.last_seen_end > worker.last_durable_end
            || !worker.ends_read;
        let outcome_pending =
            worker.runs.values().any(|slot| matches!(slot.phase, Phase::Stopped | Phase::Unsure));
        // Suspects and the jobs behind them wait for the executor to outlive their start.
        let may_crash = cell.is_quarantined(id);
        let wait = if immediate || outcome_pending || may_crash { 0 } else { END_WAIT_MS };
        // Unread ends are valid only while the executor's lease lasts.
        let needs_lease = worker.joined && !worker.is_empty();
        let lease_end = needs_lease.then(|| cell.grant_lease(id, clock::now())).flatten();
        Some(PollRequest { lease_end, acked_through, wait: Duration::from_millis(wait) })
    }
}
