//! Takes callers' requests.

use std::time::{Duration, Instant};

use actix_web::web::{Bytes, Data, Path, Payload};
use actix_web::{HttpRequest, HttpResponse};
use awc::Client;
use fleet::{Outcome, Repeat};
use peer::{Answer, ForwardedRequest};
use serde::Serialize;

use crate::process::Shared;
use crate::request::attempt::{Call, Whole};
use crate::request::parse::{self, Ask};
use crate::request::{answer, repeatable};

/// Time that asking for a result may take.
const FETCH_LIMIT: Duration = Duration::from_millis(1_000);

/// Answer to `POST /_/tickets`.
#[derive(Serialize)]
struct Issued {
    ticket: String,
}

/// Hands out a ticket for a request that may not be repeated.
pub async fn ticket(shared: Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(Issued { ticket: shared.owners.issue().to_string() })
}

/// Gives the result of an earlier request.
pub async fn result(shared: Data<Shared>, path: Path<(String, String)>) -> HttpResponse {
    let (customer, key) = path.into_inner();
    let submit = ForwardedRequest {
        key: key.clone(),
        incarnation: 0,
        customer,
        service: String::new(),
        method: String::new(),
        path: String::new(),
        headers: Vec::new(),
        body: Vec::new(),
        remaining_ms: u64::try_from(FETCH_LIMIT.as_millis()).unwrap_or(u64::MAX),
        urgency: String::new(),
        result_only: true,
    };
    answer::respond(shared.owners.fetch(submit).await, &key)
}

/// Runs a request and answers with its outcome.
pub async fn request(
    shared: Data<Shared>,
    client: Data<Client>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let start = Instant::now();
    let (id, result) = match parse::ask(&request, &shared.rules()) {
        Ok(ask) => run(&shared, &client, &request, ask, payload, start).await,
        Err(answer) => (String::new(), Err(answer)),
    };
    let (outcome, response) = match result {
        Ok(whole) => (Outcome::Done, answer::relay(whole, &id)),
        Err(answer) => {
            let outcome = answer.outcome.parse().unwrap_or(Outcome::Unknown);
            (outcome, answer::respond(answer, &id))
        }
    };
    shared.metrics.count(outcome);
    shared.metrics.latency.observe(start.elapsed().as_secs_f64());
    response
}

async fn run(
    shared: &Shared,
    client: &Client,
    request: &HttpRequest,
    ask: Ask,
    payload: Payload,
    start: Instant,
) -> (String, Result<Whole, Answer>) {
    let deadline = start + ask.deadline;
    let id = ask.key.clone().unwrap_or_else(|| shared.owners.issue().to_string());
    let body = match body(payload, ask.rule.service.max_body, deadline).await {
        Ok(body) => body,
        Err(answer) => return (id, Err(answer)),
    };
    if ask.repeat == Repeat::Allowed {
        let call = Call {
            id,
            method: request.method().clone(),
            path: path(request),
            headers: ask.headers,
            body,
        };
        let result =
            repeatable::run(client, &shared.slots, &ask.rule, ask.urgency, &call, deadline).await;
        return (call.id, result);
    }
    let answer = once(shared, request, ask, &id, body, deadline).await;
    (id, Err(answer.unwrap_or_else(|refusal| refusal)))
}

/// Hands work that may not be repeated to its owner.
async fn once(
    shared: &Shared,
    request: &HttpRequest,
    ask: Ask,
    id: &str,
    body: Bytes,
    deadline: Instant,
) -> Result<Answer, Answer> {
    let left = deadline.saturating_duration_since(Instant::now());
    let submit = ForwardedRequest {
        key: id.to_owned(),
        incarnation: 0,
        customer: ask.rule.customer.clone(),
        service: ask.rule.service.name.clone(),
        method: request.method().to_string(),
        path: path(request),
        headers: parse::texts(&ask.headers)?,
        body: body.to_vec(),
        remaining_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        urgency: ask.urgency.to_string(),
        result_only: false,
    };
    Ok(shared.owners.submit(ask.rule, submit).await)
}

fn path(request: &HttpRequest) -> String {
    request.uri().path_and_query().map_or("/", |path| path.as_str()).to_owned()
}

async fn body(payload: Payload, limit: usize, deadline: Instant) -> Result<Bytes, Answer> {
    let read = payload.to_bytes_limited(limit);
    match tokio::time::timeout_at(deadline.into(), read).await {
        Ok(Ok(Ok(body))) => Ok(body),
        Ok(Ok(Err(error))) => Err(answer::bad(&format!("the body can't be read: {error}"))),
        Ok(Err(_)) => Err(answer::large(&format!("the body is larger than {limit} bytes"))),
        Err(_) => Err(answer::bad("the body did not arrive before the deadline")),
    }
}
