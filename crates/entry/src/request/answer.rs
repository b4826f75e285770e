//! Answers to callers, each with the outcome of the request.

use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::http::header::{HeaderName, HeaderValue};
use actix_web::{HttpResponse, HttpResponseBuilder};
use fleet::Outcome;
use peer::Answer;
use serde::Serialize;

use crate::request::attempt::ServerResponse;

/// JSON body of an answer that does not come from a backend server.
#[derive(Serialize)]
struct ErrorBody<'a> {
    outcome: &'a str,
    error: &'a str,
    request: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_ms: Option<u64>,
}

/// Returns the answer to a request that did not run and may be retried after `retry_delay`.
pub fn not_run(reason: &str, retry_delay: Duration) -> Answer {
    let retry_after_ms = u64::try_from(retry_delay.as_millis()).unwrap_or(u64::MAX).max(1);
    entry_answer(Outcome::NotRun, StatusCode::SERVICE_UNAVAILABLE, reason, retry_after_ms)
}

/// Returns the answer to a request that may have run.
pub fn unknown(reason: &str) -> Answer {
    entry_answer(Outcome::Unknown, StatusCode::GATEWAY_TIMEOUT, reason, 0)
}

/// Returns the answer to a malformed request, which did not run.
pub fn bad_request(reason: &str) -> Answer {
    entry_answer(Outcome::NotRun, StatusCode::BAD_REQUEST, reason, 0)
}

/// Returns the answer to a request whose path names no known service; it did not run.
pub fn not_found(reason: &str) -> Answer {
    entry_answer(Outcome::NotRun, StatusCode::NOT_FOUND, reason, 0)
}

/// Returns the answer to a request whose body exceeds the contract's limit; it did not run.
pub fn too_large(reason: &str) -> Answer {
    entry_answer(Outcome::NotRun, StatusCode::PAYLOAD_TOO_LARGE, reason, 0)
}

/// Returns the answer to a request whose key was used for another request.
///
/// The outcome is unknown because the answer says nothing about that other request.
pub fn key_conflict(reason: &str) -> Answer {
    entry_answer(Outcome::Unknown, StatusCode::UNPROCESSABLE_ENTITY, reason, 0)
}

/// Returns an answer of the entry process itself.
fn entry_answer(outcome: Outcome, status: StatusCode, reason: &str, retry_after_ms: u64) -> Answer {
    Answer {
        outcome: outcome.to_string(),
        status: status.as_u16(),
        headers: Vec::new(),
        body: Vec::new(),
        retry_after_ms,
        reason: reason.to_owned(),
    }
}

/// Relays a complete response of a backend server.
pub fn relay(server_response: ServerResponse, request: &str) -> HttpResponse {
    let mut response = HttpResponse::build(server_response.status);
    for header in &server_response.headers {
        response.append_header(header);
    }
    response.insert_header(("X-Outcome", <&str>::from(Outcome::Done)));
    response.insert_header(("X-Request-Id", request));
    response.body(server_response.body)
}

/// Converts an answer to an HTTP response.
pub fn respond(answer: Answer, request: &str) -> HttpResponse {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    copy_headers(&mut response, &answer.headers);
    response.insert_header(("X-Outcome", answer.outcome.as_str()));
    response.insert_header(("X-Request-Id", request));
    if answer.retry_after_ms > 0 {
        // The header has whole seconds; `retry_ms` in the body is exact.
        response.insert_header(("Retry-After", answer.retry_after_ms.div_ceil(1_000).to_string()));
    }
    if !answer.reason.is_empty() {
        let retry_ms = (answer.retry_after_ms > 0).then_some(answer.retry_after_ms);
        let (outcome, error) = (answer.outcome.as_str(), answer.reason.as_str());
        return response.json(ErrorBody { outcome, error, request, retry_ms });
    }
    response.body(answer.body)
}

fn copy_headers(response: &mut HttpResponseBuilder, headers: &[(String, String)]) {
    for (name, value) in headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            response.append_header((name, value));
        }
    }
}
