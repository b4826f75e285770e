//! Parses and validates callers' requests.

use std::sync::Arc;
use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::http::header::HeaderMap;
use fleet::{Repeat, Urgency};
use peer::Answer;

use crate::process::owner::MAX_KEY_BYTES;
use crate::request::answer;
use crate::version::rules::LookupError;
use crate::version::{Rule, Rules};

/// Longest deadline that a caller may set.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);
/// Headers that apply to one connection only or that this process sets; not forwarded.
const REMOVED_HEADERS: [&str; 13] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-deadline-ms",
    "x-executor",
    "x-pool",
    "x-request-id",
];

/// Parsed request of a caller, without its body.
#[derive(Debug)]
pub struct CallerRequest {
    /// Rule of the requested service.
    pub rule: Arc<Rule>,
    /// Time after the arrival at which the caller stops waiting.
    pub deadline: Duration,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// Urgency, by which requests are queued for slots.
    pub urgency: Urgency,
    /// Idempotency key or ticket, if the caller sent one.
    pub key: Option<String>,
    /// Headers for the backend server.
    pub headers: HeaderMap,
}

/// Parses the path and the headers of a request.
pub fn parse_request(request: &HttpRequest, rules: &Rules) -> Result<CallerRequest, Answer> {
    let mut parts = request.path().trim_start_matches('/').splitn(3, '/');
    let customer = parts.next().unwrap_or_default();
    let service = parts.next().unwrap_or_default();
    if customer.is_empty() || service.is_empty() {
        return Err(answer::not_found("the path is not /customer/service"));
    }
    let rule = rules.find(customer, service).map_err(|error| match error {
        LookupError::UnknownCustomer => {
            answer::not_found(&format!("no contract of customer '{customer}'"))
        }
        LookupError::UnknownService => {
            answer::not_found(&format!("customer '{customer}' has no service '{service}'"))
        }
    })?;
    let deadline = parse_deadline(request)?.unwrap_or(rule.service.default_deadline);
    let key = header(request, "Idempotency-Key")?.map(str::to_owned);
    if key.as_ref().is_some_and(|key| !is_valid_key(key)) {
        let reason =
            format!("Idempotency-Key: allowed is 1 to {MAX_KEY_BYTES} printable characters");
        return Err(answer::bad_request(&reason));
    }
    let repeat = parse_repeat(request, &rule)?;
    let urgency = parse_urgency(request, &rule)?;
    Ok(CallerRequest { rule, deadline, repeat, urgency, key, headers: forwarded_headers(request) })
}

fn is_valid_key(key: &str) -> bool {
    !key.is_empty() && key.len() <= MAX_KEY_BYTES && key.chars().all(|c| c.is_ascii_graphic())
}

/// Parses `X-Deadline-Ms`.
fn parse_deadline(request: &HttpRequest) -> Result<Option<Duration>, Answer> {
    let Some(text) = header(request, "X-Deadline-Ms")? else { return Ok(None) };
    let allowed = 1..=u64::try_from(MAX_DEADLINE.as_millis()).unwrap_or(u64::MAX);
    let deadline_ms =
        text.parse().ok().filter(|deadline_ms| allowed.contains(deadline_ms)).ok_or_else(|| {
            answer::bad_request(&format!(
                "X-Deadline-Ms is '{text}', allowed is 1 to {}",
                allowed.end()
            ))
        })?;
    Ok(Some(Duration::from_millis(deadline_ms)))
}

/// Parses `X-Repeat`.
///
/// A caller may forbid repeated runs that the contract allows, but not allow forbidden ones.
fn parse_repeat(request: &HttpRequest, rule: &Rule) -> Result<Repeat, Answer> {
    match header(request, "X-Repeat")? {
        None | Some("allowed") => Ok(rule.service.repeat),
        Some("never") => Ok(Repeat::Never),
        Some(other) => {
            Err(answer::bad_request(&format!("X-Repeat is '{other}', allowed is allowed, never")))
        }
    }
}

/// Parses `X-Urgency`.
///
/// A caller may lower the urgency that the contract sets, but not raise it.
fn parse_urgency(request: &HttpRequest, rule: &Rule) -> Result<Urgency, Answer> {
    match header(request, "X-Urgency")? {
        None | Some("urgent") => Ok(rule.service.urgency),
        Some("waiting") => Ok(rule.service.urgency.max(Urgency::Waiting)),
        Some(other) => {
            Err(answer::bad_request(&format!("X-Urgency is '{other}', allowed is urgent, waiting")))
        }
    }
}

/// Returns the value of a header, which must not occur twice.
fn header<'a>(request: &'a HttpRequest, name: &str) -> Result<Option<&'a str>, Answer> {
    let mut values = request.headers().get_all(name);
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(answer::bad_request(&format!("{name} stands twice")));
    }
    value
        .to_str()
        .map(Some)
        .map_err(|_| answer::bad_request(&format!("{name} is no printable text")))
}

/// Returns the headers that are forwarded to the backend server.
fn forwarded_headers(request: &HttpRequest) -> HeaderMap {
    let mut kept = HeaderMap::with_capacity(request.headers().len());
    for (name, value) in request.headers() {
        if !REMOVED_HEADERS.contains(&name.as_str()) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// Converts headers to the form in which a request is sent to its owner.
pub fn header_pairs(headers: &HeaderMap) -> Result<Vec<(String, String)>, Answer> {
    let pairs = headers.iter().map(|(name, value)| {
        let value = value.to_str();
        let value =
            value.map_err(|_| answer::bad_request(&format!("{name} is no printable text")))?;
        Ok((name.as_str().to_owned(), value.to_owned()))
    });
    pairs.collect()
}
