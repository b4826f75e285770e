//! Work that may be repeated: retried within its deadline and its budget.

use std::time::Instant;

use awc::Client;
use peer::Answer;
use route::Ended;

use crate::process::slots::Slots;
use crate::request::answer;
use crate::request::attempt::{self, Call, Reply};
use crate::version::Rule;

/// Servers that may refuse one request.
const REFUSALS: usize = 5;

/// Runs a request until it has an answer, its deadline passes or its retries are spent.
pub async fn run(
    client: &Client,
    slots: &Slots,
    rule: &Rule,
    call: &Call,
    deadline: Instant,
) -> Answer {
    let service = &rule.service;
    let _flight = match slots.admit(service) {
        Ok(flight) => flight,
        Err(refusal) => return answer::not_run(refusal.reason, refusal.retry),
    };
    let mut tried: Vec<String> = Vec::new();
    // What to answer when there is no further try.
    let mut last: Option<Answer> = None;
    while tried.len() < REFUSALS {
        let slot = match slots.acquire(service, deadline, &tried).await {
            Ok(slot) => slot,
            Err(refusal) => {
                return last.unwrap_or_else(|| answer::not_run(refusal.reason, refusal.retry));
            }
        };
        let reply = attempt::send(client, &slot.pick, call, service, deadline).await;
        tried.push(slot.pick.id.clone());
        match reply {
            Reply::Whole(whole) if whole.status < 500 => {
                slot.end(Ended::Good);
                return whole;
            }
            Reply::Whole(whole) => {
                slot.end(Ended::Failed);
                last = Some(whole);
            }
            Reply::Refused(ended) => {
                slot.end(ended);
                continue;
            }
            Reply::NotSent(what) => {
                slot.end(Ended::Failed);
                log::debug!("{what}");
                continue;
            }
            Reply::Lost(what) => {
                slot.end(Ended::Failed);
                last.get_or_insert_with(|| answer::unknown(&what));
            }
        }
        if Instant::now() >= deadline || !slots.retry(&service.pool) {
            break;
        }
    }
    let refused = "every backend server refused";
    last.unwrap_or_else(|| answer::not_run(refused, route::queue::LEAST_RETRY))
}
