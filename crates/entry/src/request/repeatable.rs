//! Work that may be repeated: retried within its deadline and its budget.

use std::sync::Arc;
use std::time::Instant;

use awc::Client;
use fleet::Urgency;
use peer::Answer;
use route::AttemptOutcome;

use crate::process::slots::{Refusal, Slots};
use crate::request::answer;
use crate::request::attempt::{self, Call, Reply, Whole};
use crate::version::Rule;

/// Servers that may refuse one request.
const REFUSALS: usize = 5;

/// Best answer so far, given when there is no further try.
enum Last {
    None,
    Whole(Whole),
    Lost(String),
}

/// Runs a request until it has an answer, its deadline passes or its retries are spent.
///
/// # Errors
///
/// The process's own answer, when no backend server gave a whole one.
pub async fn run(
    client: &Client,
    slots: &Slots,
    rule: &Arc<Rule>,
    urgency: Urgency,
    call: &Call,
    deadline: Instant,
) -> Result<Whole, Answer> {
    let refused = |refusal: Refusal| answer::not_run(refusal.reason, refusal.retry);
    let _flight = slots.admit(rule, urgency).map_err(refused)?;
    let mut tried: Vec<Arc<str>> = Vec::new();
    let mut last = Last::None;
    while tried.len() < REFUSALS {
        let slot = match slots.acquire(rule, urgency, deadline, &tried).await {
            Ok(slot) => slot,
            Err(refusal) => return last.answer(|| refused(refusal)),
        };
        let reply = attempt::send(client, &slot.pick, call, &rule.service, deadline).await;
        if !matches!(reply, Reply::Refused(AttemptOutcome::Busy)) {
            tried.push(slot.pick.id.clone());
        }
        match reply {
            Reply::Whole(whole) if !whole.status.is_server_error() => {
                slot.end(AttemptOutcome::Success);
                return Ok(whole);
            }
            Reply::Whole(whole) => {
                slot.end(AttemptOutcome::Failed);
                last = Last::Whole(whole);
            }
            Reply::Refused(ended) => {
                slot.end(ended);
                continue;
            }
            Reply::NotSent(what) => {
                slot.end(AttemptOutcome::Failed);
                log::debug!("{what}");
                continue;
            }
            Reply::Lost(what) => {
                slot.end(AttemptOutcome::Failed);
                last = last.or_lost(what);
            }
        }
        if Instant::now() >= deadline || !slots.retry(rule) {
            break;
        }
    }
    last.answer(|| answer::not_run("every backend server refused", route::queue::MIN_RETRY_DELAY))
}

impl Last {
    /// A whole answer stays; it says more than a lost one.
    fn or_lost(self, what: String) -> Self {
        if matches!(self, Self::Whole(_)) { self } else { Self::Lost(what) }
    }

    fn answer(self, not_run: impl FnOnce() -> Answer) -> Result<Whole, Answer> {
        match self {
            Self::None => Err(not_run()),
            Self::Whole(whole) => Ok(whole),
            Self::Lost(what) => Err(answer::unknown(&what)),
        }
    }
}
