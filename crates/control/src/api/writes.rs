//! Transactions and error responses shared by the operators' requests.

use std::time::Duration;

use actix_web::HttpResponse;
use base::admin::ErrorBody;
use peer::Facts;
use platform::{CommitError, Error, Txn};

/// Timeout of an operator's write, including repeats after lost responses.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of attempts at a write that conflicts with other writes to the same rows.
pub const MAX_WRITE_ATTEMPTS: usize = 20;

/// Creates a transaction with a unique id that starts with its operation.
pub fn new_txn(facts: &Facts, operation: &str) -> Txn {
    let state = facts.lock();
    let (name, incarnation) = (&state.me.name, state.me.incarnation);
    let number = facts.timeline().tick();
    Txn::new(format!("{operation}-{name}-{incarnation}-{number}"))
}

/// Returns the response for a write that is not known to have been committed.
pub fn commit_error_response(error: &CommitError) -> HttpResponse {
    let body = ErrorBody::new(error.to_string());
    match error {
        CommitError::Conflict { .. } => HttpResponse::Conflict().json(body),
        CommitError::Unavailable { .. } => HttpResponse::ServiceUnavailable().json(body),
        CommitError::Unsettled { .. } => HttpResponse::GatewayTimeout().json(body),
    }
}

/// Returns the response for a failed read from the platform.
pub fn read_error_response(error: &Error) -> HttpResponse {
    HttpResponse::ServiceUnavailable().json(ErrorBody::new(error.to_string()))
}
