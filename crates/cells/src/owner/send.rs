//! Sends the scheduler's orders to executors and passes the responses back to it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use jobs::TaskId;
use jobs::cell::{Approval, Order, StartOutcome, StopCause, Withdrawal};
use jobs::window::Outcome;

use super::Inner;
use crate::clock;
use crate::metrics::Metrics;
use crate::ports::{AdviceError, OrderError, Permissions, StartOrder};

/// Shortest time for which the response to a query is awaited; overdue queries are awaited too,
/// as their responses show how long a busy adviser takes.
const MIN_ADVICE_TIMEOUT: Duration = Duration::from_secs(600);

impl Inner {
    /// Sends an order in the background and passes the response to the scheduler.
    pub(super) fn send(self: &Rc<Self>, order: Order) {
        let inner = Rc::clone(self);
        // The passes of other cells must not send a query before this one is counted.
        let query = match &order {
            Order::Advise { cost, .. } => inner.ctx.queries.borrow_mut().begin(*cost, clock::now()),
            _ => 0,
        };
        actix::spawn(async move {
            match order {
                Order::Start { worker, task, run, payload, lease_end, checkpoint, ticket } => {
                    let start = StartOrder {
                        task: &task,
                        run,
                        payload: &payload,
                        lease_end,
                        checkpoint: &checkpoint,
                        ticket: &ticket,
                    };
                    inner.effort.borrow_mut().starts += 1;
                    let sent = Instant::now();
                    let outcome = inner.start(&worker, &start, sent).await;
                    inner.record_start(&worker, &task, run, &checkpoint, outcome, sent);
                    inner.cell.borrow_mut().handle_start_outcome(
                        &worker,
                        &task,
                        run,
                        outcome,
                        clock::now(),
                    );
                    if !matches!(outcome, StartOutcome::Running(_)) {
                        inner.wake.notify_one();
                    }
                }
                Order::Stop { worker, task, run, cause } => {
                    let Some(executor) = inner.executor(&worker) else { return };
                    let epoch = inner.tenure.epoch;
                    let executors = &inner.ctx.ports.executors;
                    let sent = Instant::now();
                    let answer = executors.stop(&executor, epoch, &task, run).await;
                    inner.record_stop(&worker, &task, run, cause, &answer, sent);
                    let now = clock::now();
                    let mut cell = inner.cell.borrow_mut();
                    match answer {
                        Ok(()) => cell.handle_stop_answer(&worker, &task, run, true, now),
                        Err(OrderError::Unanswered { .. }) => {
                            cell.handle_stop_answer(&worker, &task, run, false, now);
                        }
                        Err(OrderError::Fenced) => cell.supersede(),
                        Err(OrderError::Replaced) => cell.mark_dead(&worker, now),
                        Err(OrderError::Restarted) => cell.mark_restarted(&worker, now),
                    }
                }
                Order::Advise { step, workers, cost } => {
                    inner.advise(&step, &workers, cost, query).await;
                }
                Order::Pace { worker, task, run, percent } => {
                    let Some(executor) = inner.executor(&worker) else { return };
                    let epoch = inner.tenure.epoch;
                    let executors = &inner.ctx.ports.executors;
                    let answer = executors.pace(&executor, epoch, &task, run, percent).await;
                    if let Err(error) = answer {
                        inner.cell.borrow_mut().handle_pace_failure(&worker, &task, run);
                        inner.ctx.timeline.record(
                            base::Event::PaceLost,
                            &[("task", &task), ("executor", &worker), ("error", &error)],
                        );
                    }
                }
            }
        });
    }

    /// Starts a run on an executor, once one of the executor's start permits is available and the
    /// scheduler still approves of the start.
    async fn start(&self, worker: &str, start: &StartOrder<'_>, ordered: Instant) -> StartOutcome {
        let waiting = self.start_permits.begin(worker);
        let Some(_permit) = waiting.permit().await else { return StartOutcome::Unsent };
        let approval = match self.approve_start(worker, start) {
            Ok(approval) => approval,
            Err(change) => {
                self.record_withdrawal(worker, start, change, ordered);
                return StartOutcome::Withdrawn(change);
            }
        };
        let Some(executor) = self.executor(worker) else { return StartOutcome::Gone };
        let order = StartOrder {
            lease_end: approval.lease_end.unwrap_or(start.lease_end),
            ticket: &approval.ticket,
            ..*start
        };
        self.ctx.ports.executors.start(&executor, self.tenure.epoch, &order).await
    }

    /// Asks the scheduler whether a start may still be sent.
    fn approve_start(&self, worker: &str, start: &StartOrder<'_>) -> Result<Approval, Withdrawal> {
        let is_held = !self.may_order() || !self.is_registry_current();
        let mut cell = self.cell.borrow_mut();
        cell.hold_starts(is_held);
        cell.approve_start(worker, start.task, start.run, clock::now())
    }

    /// Records a start that was withdrawn, and what has changed since it was ordered.
    fn record_withdrawal(
        &self,
        worker: &str,
        start: &StartOrder<'_>,
        change: Withdrawal,
        ordered: Instant,
    ) {
        self.ctx.timeline.record(
            base::Event::StartWithdrawn,
            &[
                ("task", &start.task),
                ("run", &start.run),
                ("executor", &worker),
                ("changed", &change),
                ("waited_ms", &ordered.elapsed().as_millis()),
            ],
        );
    }

    /// Queries the adviser about a step, and passes the response to the scheduler.
    ///
    /// `cost` is the expected time that the adviser needs, in milliseconds, and `query` the number of
    /// the query in the process's window.
    async fn advise(&self, step: &TaskId, workers: &[String], cost: u64, query: u64) {
        let sent = Instant::now();
        let timeout = Duration::from_millis(cost.saturating_mul(16)).max(MIN_ADVICE_TIMEOUT);
        let answer = self.ctx.ports.adviser.advise(step, workers, timeout).await;
        let now = clock::now();
        let outcome = match &answer {
            Ok(_) => Outcome::Answered,
            Err(AdviceError::Unanswered) => Outcome::Unanswered,
            Err(AdviceError::Full | AdviceError::Unsent | AdviceError::Unusable) => {
                Outcome::Rejected
            }
        };
        self.ctx.queries.borrow_mut().end(query, outcome, now);
        self.record_advice(step, workers, &answer, sent);
        if let Ok(Permissions { allowed, valid_ms }) = answer {
            self.cell.borrow_mut().handle_advice(step, workers, allowed, valid_ms, now);
        }
        self.wake.notify_one();
    }

    /// Records a query to the adviser and its outcome in the log and the metrics.
    fn record_advice(
        &self,
        step: &TaskId,
        workers: &[String],
        answer: &Result<Permissions, AdviceError>,
        sent: Instant,
    ) {
        let outcome: &str = match answer {
            Ok(_) => "answered",
            Err(error) => error.into(),
        };
        Metrics::observe(&self.ctx.metrics.advice_seconds, &[outcome], sent.elapsed());
        self.ctx.timeline.record(
            base::Event::AdviceTaken,
            &[
                ("step", &step),
                ("asked", &workers.len()),
                ("allowed", &answer.as_ref().map_or(0, |a| a.allowed.len())),
                ("answered", &answer.is_ok()),
                ("outcome", &outcome),
                ("took_ms", &sent.elapsed().as_millis()),
                ("under_way", &self.ctx.queries.borrow().open_calls()),
            ],
        );
    }

    /// Records a stop, the state on which it was decided, and its answer in the log.
    fn record_stop(
        &self,
        worker: &str,
        task: &TaskId,
        run: u64,
        cause: Option<StopCause>,
        answer: &Result<(), OrderError>,
        sent: Instant,
    ) {
        let text = |value: fn(StopCause) -> String| cause.map_or("unknown".to_owned(), value);
        self.ctx.timeline.record(
            base::Event::StopSent,
            &[
                ("task", &task),
                ("run", &run),
                ("executor", &worker),
                ("reason", &text(|cause| cause.reason.to_string())),
                ("percent", &text(|cause| cause.percent.to_string())),
                ("run_ms", &text(|cause| cause.run_age.to_string())),
                ("answer_ms", &text(|cause| cause.answer_age.to_string())),
                ("unavailable", &text(|cause| cause.unavailable.to_string())),
                ("max_unavailable", &text(|cause| cause.max_unavailable.to_string())),
                ("took_ms", &sent.elapsed().as_millis()),
                ("answer", &answer.as_ref().err().map_or("taken".to_owned(), ToString::to_string)),
            ],
        );
    }

    /// Records a start and its outcome in the log and the metrics.
    fn record_start(
        &self,
        worker: &str,
        task: &TaskId,
        run: u64,
        checkpoint: &str,
        outcome: StartOutcome,
        sent: Instant,
    ) {
        let outcome = match outcome {
            StartOutcome::Running(_) => "running".to_owned(),
            StartOutcome::Refused(refusal) => format!("refused-{refusal}"),
            StartOutcome::Unsent => "unsent".to_owned(),
            StartOutcome::Withdrawn(_) => "withdrawn".to_owned(),
            StartOutcome::Gone => "gone".to_owned(),
            StartOutcome::Unknown => "unknown".to_owned(),
        };
        Metrics::observe(&self.ctx.metrics.start_seconds, &[&outcome], sent.elapsed());
        self.ctx.timeline.record(
            base::Event::StartSent,
            &[
                ("task", &task),
                ("run", &run),
                ("executor", &worker),
                ("epoch", &self.tenure.epoch),
                ("resumes", &!checkpoint.is_empty()),
                ("outcome", &outcome),
                ("took_ms", &sent.elapsed().as_millis()),
                ("confirmed_ms", &self.confirmation_age()),
            ],
        );
    }
}
