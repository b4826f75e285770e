//! What operators' writes have in common.

use std::time::Duration;

use actix_web::HttpResponse;
use base::admin::ErrorBody;
use peer::Facts;
use platform::{CommitError, Error, Txn};

/// Time that an operator's write may take, lost answers included.
pub const LIMIT: Duration = Duration::from_secs(5);

/// Tries of a write while others' writes to the same rows go first.
pub const TRIES: usize = 20;

/// Begins a transaction under an id of its own.
pub fn txn(facts: &Facts, what: &str) -> Txn {
    let state = facts.lock();
    let (name, incarnation) = (&state.me.name, state.me.incarnation);
    let number = facts.timeline().tick();
    Txn::new(format!("{what}-{name}-{incarnation}-{number}"))
}

/// Answers a write that is not known to have been committed.
pub fn unwritten(error: &CommitError) -> HttpResponse {
    let refusal = ErrorBody::new(error.to_string());
    match error {
        CommitError::Conflict { .. } => HttpResponse::Conflict().json(refusal),
        CommitError::Away { .. } => HttpResponse::ServiceUnavailable().json(refusal),
        CommitError::Unsettled { .. } => HttpResponse::GatewayTimeout().json(refusal),
    }
}

/// Answers a read that failed.
pub fn unread(error: &Error) -> HttpResponse {
    HttpResponse::ServiceUnavailable().json(ErrorBody::new(error.to_string()))
}
