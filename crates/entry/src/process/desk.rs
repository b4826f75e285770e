//! Runs requests that may not be repeated, each to its end even when its caller has gone.

use std::sync::Arc;
use std::time::{Duration, Instant};

use base::Event;
use fleet::Urgency;
use peer::Facts;
use route::AttemptOutcome;
use tokio::sync::mpsc;

use crate::process::journal::Journal;
use crate::process::metrics::Metrics;
use crate::process::slots::{Flight, Slots};
use crate::request::answer;
use crate::request::attempt::{self, Call, Reply};
use crate::version::Rule;

/// Time after the deadline that a late answer is still waited for.
const LATE: Duration = Duration::from_secs(60);
/// Servers that may refuse one request.
const REFUSALS: usize = 5;

/// A request that this process may run.
#[derive(Debug)]
pub struct Order {
    /// Key in the journal.
    pub key: String,
    /// Rule of its service.
    pub rule: Arc<Rule>,
    /// Which orders go first.
    pub urgency: Urgency,
    /// What to send.
    pub call: Call,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// Handle on the running of orders; copies share it.
#[derive(Debug, Clone)]
pub struct Clerk {
    sender: mpsc::UnboundedSender<Order>,
    journal: Journal,
}

impl Clerk {
    /// Starts to run orders on this thread.
    pub fn spawn(slots: Slots, journal: Journal, metrics: Metrics, facts: Facts) -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        let clerk = Self { sender, journal: journal.clone() };
        actix::spawn(run(
            receiver,
            Work { slots, journal, metrics, facts, client: attempt::client() },
        ));
        clerk
    }

    /// Takes an order whose key was just entered in the journal.
    pub fn take(&self, order: Order) {
        if let Err(unsent) = self.sender.send(order) {
            let answer = answer::not_run("the process is stopping", Duration::from_secs(1));
            self.journal.give_up(&unsent.0.key, answer);
        }
    }
}

#[derive(Clone)]
struct Work {
    slots: Slots,
    journal: Journal,
    metrics: Metrics,
    facts: Facts,
    client: awc::Client,
}

async fn run(mut receiver: mpsc::UnboundedReceiver<Order>, work: Work) {
    while let Some(order) = receiver.recv().await {
        actix::spawn(work.clone().order(order));
    }
}

impl Work {
    async fn order(self, order: Order) {
        let flight = match self.slots.admit(&order.rule, order.urgency) {
            Ok(flight) => flight,
            Err(refusal) => {
                let answer = answer::not_run(refusal.reason, refusal.retry);
                self.journal.give_up(&order.key, answer);
                return;
            }
        };
        self.attempts(&order, flight).await;
    }

    /// Tries servers until one has taken the request; a refusal proves that it did not run there.
    async fn attempts(&self, order: &Order, _flight: Flight) {
        let key = order.key.as_str();
        let mut tried = Vec::new();
        let mut reason = "every backend server refused";
        while tried.len() < REFUSALS {
            let slot = match self
                .slots
                .acquire(&order.rule, order.urgency, order.deadline, &tried)
                .await
            {
                Ok(slot) => slot,
                Err(refusal) => {
                    self.journal.give_up(key, answer::not_run(refusal.reason, refusal.retry));
                    return;
                }
            };
            if !self.journal.send(key) {
                return;
            }
            let limit = order.deadline + LATE;
            let service = &order.rule.service;
            let reply = attempt::send(&self.client, &slot.pick, &order.call, service, limit).await;
            if !matches!(reply, Reply::Refused(AttemptOutcome::Busy)) {
                tried.push(slot.pick.id.clone());
            }
            match reply {
                Reply::Whole(whole) => {
                    let failed = whole.status.is_server_error();
                    slot.end(if failed { AttemptOutcome::Failed } else { AttemptOutcome::Success });
                    self.journal.end(key, whole.into());
                    return;
                }
                Reply::Refused(ended) => {
                    slot.end(ended);
                    self.journal.hold(key);
                    self.metrics.retries.inc();
                }
                Reply::NotSent(what) => {
                    slot.end(AttemptOutcome::Failed);
                    log::debug!("{what}");
                    reason = "no backend server could be reached";
                    self.journal.hold(key);
                    self.metrics.retries.inc();
                }
                Reply::Lost(what) => {
                    slot.end(AttemptOutcome::Failed);
                    self.facts
                        .timeline()
                        .record(Event::RequestUnknown, &[("request", &key), ("what", &what)]);
                    self.journal.end(key, answer::unknown(&what));
                    return;
                }
            }
        }
        self.journal.give_up(key, answer::not_run(reason, route::queue::MIN_RETRY_DELAY));
    }
}
