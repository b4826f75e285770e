//! Answers to callers, each with its outcome.

use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::http::header::{HeaderName, HeaderValue};
use actix_web::{HttpResponse, HttpResponseBuilder};
use fleet::Outcome;
use peer::Answer;
use serde::Serialize;

use crate::request::attempt::Whole;

/// Body of an answer that is no backend server's.
#[derive(Serialize)]
struct Body<'a> {
    outcome: &'a str,
    error: &'a str,
    request: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_ms: Option<u64>,
}

/// The request ran nowhere; the caller may come back after `retry`.
pub fn not_run(reason: &str, retry: Duration) -> Answer {
    let retry_ms = u64::try_from(retry.as_millis()).unwrap_or(u64::MAX).max(1);
    own(Outcome::NotRun, StatusCode::SERVICE_UNAVAILABLE, reason, retry_ms)
}

/// The request may have run.
pub fn unknown(reason: &str) -> Answer {
    own(Outcome::Unknown, StatusCode::GATEWAY_TIMEOUT, reason, 0)
}

/// The request is malformed and ran nowhere.
pub fn bad(reason: &str) -> Answer {
    own(Outcome::NotRun, StatusCode::BAD_REQUEST, reason, 0)
}

/// The request names what is not there and ran nowhere.
pub fn missing(reason: &str) -> Answer {
    own(Outcome::NotRun, StatusCode::NOT_FOUND, reason, 0)
}

/// The request's body is larger than its contract allows; it ran nowhere.
pub fn large(reason: &str) -> Answer {
    own(Outcome::NotRun, StatusCode::PAYLOAD_TOO_LARGE, reason, 0)
}

/// The key belongs to another request, of which this answer says nothing.
pub fn clash(reason: &str) -> Answer {
    own(Outcome::Unknown, StatusCode::UNPROCESSABLE_ENTITY, reason, 0)
}

fn own(outcome: Outcome, status: StatusCode, reason: &str, retry_ms: u64) -> Answer {
    Answer {
        outcome: outcome.to_string(),
        status: status.as_u16(),
        headers: Vec::new(),
        body: Vec::new(),
        retry_after_ms: retry_ms,
        reason: reason.to_owned(),
    }
}

/// Passes a backend server's whole answer on.
pub fn relay(whole: Whole, request: &str) -> HttpResponse {
    let mut response = HttpResponse::build(whole.status);
    for header in &whole.headers {
        response.append_header(header);
    }
    response.insert_header(("X-Outcome", <&str>::from(Outcome::Done)));
    response.insert_header(("X-Request-Id", request));
    response.body(whole.body)
}

/// Gives an answer its HTTP form.
pub fn respond(answer: Answer, request: &str) -> HttpResponse {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    copy(&mut response, &answer.headers);
    response.insert_header(("X-Outcome", answer.outcome.as_str()));
    response.insert_header(("X-Request-Id", request));
    if answer.retry_after_ms > 0 {
        // The header counts whole seconds; the body tells the time exactly.
        response.insert_header(("Retry-After", answer.retry_after_ms.div_ceil(1_000).to_string()));
    }
    if !answer.reason.is_empty() {
        let retry_ms = (answer.retry_after_ms > 0).then_some(answer.retry_after_ms);
        let (outcome, error) = (answer.outcome.as_str(), answer.reason.as_str());
        return response.json(Body { outcome, error, request, retry_ms });
    }
    response.body(answer.body)
}

fn copy(response: &mut HttpResponseBuilder, headers: &[(String, String)]) {
    for (name, value) in headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            response.append_header((name, value));
        }
    }
}
