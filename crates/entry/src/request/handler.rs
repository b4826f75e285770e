//! HTTP handlers for callers' requests.

use std::time::{Duration, Instant};

use actix_web::web::{Bytes, Data, Path, Payload};
use actix_web::{HttpRequest, HttpResponse};
use awc::Client;
use base::intake::{self, Body, ReadError};
use fleet::{Outcome, Repeat};
use peer::{Answer, ForwardedRequest};
use serde::Serialize;

use crate::process::SharedState;
use crate::request::attempt::{Call, ServerResponse};
use crate::request::parse::{self, CallerRequest};
use crate::request::{answer, repeatable};

/// Timeout for fetching the result of an earlier request.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Retry delay for a caller while the bodies of others take all the memory for them.
const CROWDED_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Response to `POST /_/tickets`.
#[derive(Serialize)]
struct TicketResponse {
    ticket: String,
}

/// Issues a ticket for a request that must run at most once.
pub async fn issue_ticket(shared: Data<SharedState>) -> HttpResponse {
    HttpResponse::Ok()
        .json(TicketResponse { ticket: shared.owner_router.issue_ticket().to_string() })
}

/// Returns the result of an earlier request.
pub async fn fetch_result(shared: Data<SharedState>, path: Path<(String, String)>) -> HttpResponse {
    let (customer, key) = path.into_inner();
    let forwarded_request = ForwardedRequest {
        key: key.clone(),
        incarnation: 0,
        customer,
        service: String::new(),
        method: String::new(),
        path: String::new(),
        headers: Vec::new(),
        body: Vec::new(),
        remaining_ms: u64::try_from(FETCH_TIMEOUT.as_millis()).unwrap_or(u64::MAX),
        urgency: String::new(),
        result_only: true,
    };
    answer::respond(shared.owner_router.fetch_result(forwarded_request).await, &key)
}

/// Runs a request and responds with its outcome.
pub async fn run_request(
    shared: Data<SharedState>,
    client: Data<Client>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let start = Instant::now();
    let (id, result) = match parse::parse_request(&request, &shared.rules()) {
        Ok(parsed) => run(&shared, &client, &request, parsed, payload, start).await,
        Err(answer) => (String::new(), Err(answer)),
    };
    let (outcome, response) = match result {
        Ok(response) => (Outcome::Done, answer::relay(response, &id)),
        Err(answer) => {
            let outcome = answer.outcome.parse().unwrap_or(Outcome::Unknown);
            (outcome, answer::respond(answer, &id))
        }
    };
    shared.metrics.count(outcome);
    shared.metrics.latency.observe(start.elapsed().as_secs_f64());
    response
}

/// Runs a parsed request; returns its id and its result.
///
/// The result is `Ok` only for a response that is relayed from a backend server. Every [`Answer`]
/// is an `Err`, including that of a successful request that must run at most once.
async fn run(
    shared: &SharedState,
    client: &Client,
    request: &HttpRequest,
    parsed: CallerRequest,
    payload: Payload,
    start: Instant,
) -> (String, Result<ServerResponse, Answer>) {
    let deadline = start + parsed.deadline;
    let id = parsed.key.clone().unwrap_or_else(|| shared.owner_router.issue_ticket().to_string());
    let body =
        match read_body(shared, request, payload, parsed.rule.service.max_body, deadline).await {
            Ok(body) => body,
            Err(answer) => return (id, Err(answer)),
        };
    if parsed.repeat == Repeat::Allowed {
        let call = Call {
            id,
            method: request.method().clone(),
            path: path_and_query(request),
            headers: parsed.headers,
            body: body.bytes().clone(),
        };
        let result =
            repeatable::run(client, &shared.slots, &parsed.rule, parsed.urgency, &call, deadline)
                .await;
        return (call.id, result);
    }
    let answer = run_at_most_once(shared, request, parsed, &id, body.bytes(), deadline).await;
    (id, Err(answer.unwrap_or_else(|rejection| rejection)))
}

/// Submits a request that must run at most once to its owner.
async fn run_at_most_once(
    shared: &SharedState,
    request: &HttpRequest,
    parsed: CallerRequest,
    id: &str,
    body: &Bytes,
    deadline: Instant,
) -> Result<Answer, Answer> {
    let remaining = deadline.saturating_duration_since(Instant::now());
    let forwarded_request = ForwardedRequest {
        key: id.to_owned(),
        incarnation: 0,
        customer: parsed.rule.customer.clone(),
        service: parsed.rule.service.name.clone(),
        method: request.method().to_string(),
        path: path_and_query(request),
        headers: parse::header_pairs(&parsed.headers)?,
        body: body.to_vec(),
        remaining_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
        urgency: parsed.urgency.to_string(),
        result_only: false,
    };
    Ok(shared.owner_router.submit(parsed.rule, forwarded_request).await)
}

fn path_and_query(request: &HttpRequest) -> String {
    request.uri().path_and_query().map_or("/", |path| path.as_str()).to_owned()
}

/// Reads a body of at most `limit` bytes until the deadline.
async fn read_body(
    shared: &SharedState,
    request: &HttpRequest,
    payload: Payload,
    limit: usize,
    deadline: Instant,
) -> Result<Body, Answer> {
    let announced = intake::announced_length(request.headers());
    let read = shared.intake.read(payload, announced, limit, None);
    match tokio::time::timeout_at(deadline.into(), read).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(error @ ReadError::TooLarge { .. })) => Err(answer::too_large(&error.to_string())),
        Ok(Err(error @ ReadError::Crowded)) => {
            Err(answer::not_run(&error.to_string(), CROWDED_RETRY_DELAY))
        }
        Ok(Err(error)) => Err(answer::bad_request(&error.to_string())),
        Err(_) => Err(answer::bad_request("the body did not arrive before the deadline")),
    }
}
