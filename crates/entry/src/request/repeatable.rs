//! Requests that may run more than once: retried within the deadline and the retry budget.

use std::sync::Arc;
use std::time::Instant;

use awc::Client;
use fleet::Urgency;
use peer::Answer;
use route::AttemptOutcome;

use crate::process::slots::{Rejection, Slots};
use crate::request::answer;
use crate::request::attempt::{self, AttemptResult, Call, ServerResponse};
use crate::version::Rule;

/// Maximum number of servers tried for one request; busy ones do not count.
const MAX_TRIED_SERVERS: usize = 5;

/// Best result so far, returned when there is no further attempt.
enum BestResult {
    None,
    Response(ServerResponse),
    ResponseLost(String),
}

/// Runs a request until it succeeds, its deadline passes or the retry budget is used up.
///
/// Refused and unsent attempts are repeated without using the budget.
///
/// # Errors
///
/// Returns an answer of the entry process if no backend server returned a complete response.
pub async fn run(
    client: &Client,
    slots: &Slots,
    rule: &Arc<Rule>,
    urgency: Urgency,
    call: &Call,
    deadline: Instant,
) -> Result<ServerResponse, Answer> {
    let rejected = |rejection: Rejection| answer::not_run(rejection.reason, rejection.retry_delay);
    let _in_flight = slots.admit(rule, urgency).map_err(rejected)?;
    let mut tried: Vec<Arc<str>> = Vec::new();
    let mut best = BestResult::None;
    while tried.len() < MAX_TRIED_SERVERS {
        let slot = match slots.acquire(rule, urgency, deadline, &tried).await {
            Ok(slot) => slot,
            Err(rejection) => return best.into_result(|| rejected(rejection)),
        };
        let result = attempt::send(client, &slot.pick, call, &rule.service, deadline).await;
        if !matches!(result, AttemptResult::Refused(AttemptOutcome::Busy)) {
            tried.push(slot.pick.id.clone());
        }
        match result {
            AttemptResult::Complete(response) if !response.status.is_server_error() => {
                slot.end(AttemptOutcome::Success);
                return Ok(response);
            }
            AttemptResult::Complete(response) => {
                slot.end(AttemptOutcome::Failed);
                best = BestResult::Response(response);
            }
            AttemptResult::Refused(outcome) => {
                slot.end(outcome);
                continue;
            }
            AttemptResult::NotSent(error) => {
                slot.end(AttemptOutcome::Failed);
                log::debug!("request was not sent to the backend server: {error}");
                continue;
            }
            AttemptResult::ResponseLost(error) => {
                slot.end(AttemptOutcome::Failed);
                best = best.or_lost(error);
            }
        }
        if Instant::now() >= deadline || !slots.withdraw_retry(rule) {
            break;
        }
    }
    best.into_result(|| {
        answer::not_run("every backend server refused", route::queue::MIN_RETRY_DELAY)
    })
}

impl BestResult {
    /// Records a lost response unless there is a complete one, which says more.
    fn or_lost(self, error: String) -> Self {
        if matches!(self, Self::Response(_)) { self } else { Self::ResponseLost(error) }
    }

    /// Returns the best result, or `not_run` if no attempt can have run.
    fn into_result(self, not_run: impl FnOnce() -> Answer) -> Result<ServerResponse, Answer> {
        match self {
            Self::None => Err(not_run()),
            Self::Response(response) => Ok(response),
            Self::ResponseLost(error) => Err(answer::unknown(&error)),
        }
    }
}
