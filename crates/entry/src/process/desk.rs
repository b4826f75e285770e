//! Runs requests that must run at most once, each to its end even if its caller disconnects.
//!
//! The module is named `desk` because its name is the target of log lines.

use std::sync::Arc;
use std::time::{Duration, Instant};

use base::Event;
use fleet::Urgency;
use peer::Facts;
use route::AttemptOutcome;
use tokio::sync::mpsc;

use crate::process::journal::Journal;
use crate::process::metrics::Metrics;
use crate::process::slots::{InFlightGuard, Slots};
use crate::request::answer;
use crate::request::attempt::{self, AttemptResult, Call};
use crate::version::Rule;

/// Time after the deadline for which a late response is still awaited.
const LATE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of servers tried for one request; busy ones do not count.
const MAX_TRIED_SERVERS: usize = 5;

/// A request that this process owns and may run.
#[derive(Debug)]
pub struct OwnedRequest {
    /// Key of the request in the journal.
    pub journal_key: String,
    /// Rule of the requested service.
    pub rule: Arc<Rule>,
    /// Urgency, by which requests are queued for slots.
    pub urgency: Urgency,
    /// HTTP request for the backend server.
    pub call: Call,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
}

/// Handle for starting owned requests; clones share one task.
#[derive(Debug, Clone)]
pub struct Runner {
    sender: mpsc::UnboundedSender<OwnedRequest>,
    journal: Journal,
}

impl Runner {
    /// Spawns the task that runs requests on the current thread.
    pub fn spawn(slots: Slots, journal: Journal, metrics: Metrics, facts: Facts) -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        let runner = Self { sender, journal: journal.clone() };
        actix::spawn(run(
            receiver,
            RunContext { slots, journal, metrics, facts, client: attempt::client() },
        ));
        runner
    }

    /// Starts a request that was just registered in the journal.
    pub fn start(&self, request: OwnedRequest) {
        if let Err(unsent) = self.sender.send(request) {
            let answer = answer::not_run("the process is stopping", Duration::from_secs(1));
            self.journal.cancel(&unsent.0.journal_key, answer);
        }
    }
}

/// State that every running request uses.
#[derive(Clone)]
struct RunContext {
    slots: Slots,
    journal: Journal,
    metrics: Metrics,
    facts: Facts,
    client: awc::Client,
}

async fn run(mut receiver: mpsc::UnboundedReceiver<OwnedRequest>, context: RunContext) {
    while let Some(request) = receiver.recv().await {
        actix::spawn(context.clone().run(request));
    }
}

impl RunContext {
    /// Runs a request if it is admitted.
    async fn run(self, request: OwnedRequest) {
        let in_flight = match self.slots.admit(&request.rule, request.urgency) {
            Ok(in_flight) => in_flight,
            Err(rejection) => {
                let answer = answer::not_run(rejection.reason, rejection.retry_delay);
                self.journal.cancel(&request.journal_key, answer);
                return;
            }
        };
        self.run_attempts(&request, in_flight).await;
    }

    /// Tries servers until one accepts the request.
    ///
    /// Another server is tried only if the request provably did not run on the last one.
    async fn run_attempts(&self, request: &OwnedRequest, _in_flight: InFlightGuard) {
        let journal_key = request.journal_key.as_str();
        let mut tried = Vec::new();
        let mut reason = "every backend server refused";
        while tried.len() < MAX_TRIED_SERVERS {
            let slot = match self
                .slots
                .acquire(&request.rule, request.urgency, request.deadline, &tried)
                .await
            {
                Ok(slot) => slot,
                Err(rejection) => {
                    self.journal.cancel(
                        journal_key,
                        answer::not_run(rejection.reason, rejection.retry_delay),
                    );
                    return;
                }
            };
            if !self.journal.mark_sent(journal_key) {
                return;
            }
            let response_deadline = request.deadline + LATE_RESPONSE_TIMEOUT;
            let service = &request.rule.service;
            let result =
                attempt::send(&self.client, &slot.pick, &request.call, service, response_deadline)
                    .await;
            if !matches!(result, AttemptResult::Refused(AttemptOutcome::Busy)) {
                tried.push(slot.pick.id.clone());
            }
            match result {
                AttemptResult::Complete(response) => {
                    let failed = response.status.is_server_error();
                    slot.end(if failed { AttemptOutcome::Failed } else { AttemptOutcome::Success });
                    self.journal.finish(journal_key, response.into());
                    return;
                }
                AttemptResult::Refused(outcome) => {
                    slot.end(outcome);
                    self.journal.mark_unsent(journal_key);
                    self.metrics.retries.inc();
                }
                AttemptResult::NotSent(error) => {
                    slot.end(AttemptOutcome::Failed);
                    log::debug!("request was not sent to the backend server: {error}");
                    reason = "no backend server could be reached";
                    self.journal.mark_unsent(journal_key);
                    self.metrics.retries.inc();
                }
                AttemptResult::ResponseLost(error) => {
                    slot.end(AttemptOutcome::Failed);
                    self.facts.timeline().record(
                        Event::RequestUnknown,
                        &[("request", &journal_key), ("what", &error)],
                    );
                    self.journal.finish(journal_key, answer::unknown(&error));
                    return;
                }
            }
        }
        self.journal.cancel(journal_key, answer::not_run(reason, route::queue::MIN_RETRY_DELAY));
    }
}
