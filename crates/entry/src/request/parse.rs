//! Reads what a caller asked for.

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

/// Longest deadline that a caller may name.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);
/// Headers that belong to one connection or that this process sets itself.
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

/// A caller's request without its body.
#[derive(Debug)]
pub struct CallerRequest {
    /// Rule of its service.
    pub rule: Arc<Rule>,
    /// Time that it may take.
    pub deadline: Duration,
    /// Whether it may run more than once.
    pub repeat: Repeat,
    /// Which requests go first.
    pub urgency: Urgency,
    /// The caller's own key or ticket.
    pub key: Option<String>,
    /// Headers for the backend server.
    pub headers: HeaderMap,
}

/// Reads a request's path and headers.
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

/// A caller may forbid what the contract allows, never the other way round.
fn parse_repeat(request: &HttpRequest, rule: &Rule) -> Result<Repeat, Answer> {
    match header(request, "X-Repeat")? {
        None | Some("allowed") => Ok(rule.service.repeat),
        Some("never") => Ok(Repeat::Never),
        Some(other) => {
            Err(answer::bad_request(&format!("X-Repeat is '{other}', allowed is allowed, never")))
        }
    }
}

/// A caller may let its request wait behind others, never put it before them.
fn parse_urgency(request: &HttpRequest, rule: &Rule) -> Result<Urgency, Answer> {
    match header(request, "X-Urgency")? {
        None | Some("urgent") => Ok(rule.service.urgency),
        Some("waiting") => Ok(rule.service.urgency.max(Urgency::Waiting)),
        Some(other) => {
            Err(answer::bad_request(&format!("X-Urgency is '{other}', allowed is urgent, waiting")))
        }
    }
}

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

fn forwarded_headers(request: &HttpRequest) -> HeaderMap {
    let mut kept = HeaderMap::with_capacity(request.headers().len());
    for (name, value) in request.headers() {
        if !REMOVED_HEADERS.contains(&name.as_str()) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// Gives headers the form in which a request goes to its owner.
pub fn header_pairs(headers: &HeaderMap) -> Result<Vec<(String, String)>, Answer> {
    let pairs = headers.iter().map(|(name, value)| {
        let value = value.to_str();
        let value =
            value.map_err(|_| answer::bad_request(&format!("{name} is no printable text")))?;
        Ok((name.as_str().to_owned(), value.to_owned()))
    });
    pairs.collect()
}
