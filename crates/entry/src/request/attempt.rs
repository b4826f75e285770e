//! One attempt to run a request on a backend server.

use std::time::{Duration, Instant};

use actix_web::http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_web::http::{Method, StatusCode};
use awc::{Client, Connector};
use bytes::Bytes;
use fleet::{Outcome, Service};
use peer::{Answer, ForwardedRequest};
use platform::error::unsent;
use route::{AttemptOutcome, Pick};

/// Timeout for connecting to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of connections per client, i.e. per thread.
const MAX_CONNECTIONS: usize = 4_096;
/// Time after which an idle connection is closed; shorter than that of the backend servers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Header of a response by which a backend server states that it did not start the request.
const REFUSAL_HEADER: &str = "x-refused";
/// Headers of a response that apply to one connection only and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 6] =
    ["connection", "content-length", "keep-alive", "te", "transfer-encoding", "upgrade"];

/// HTTP request for a backend server.
#[derive(Debug, Clone)]
pub struct Call {
    /// Id of the request, which is its key or ticket.
    pub id: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers from the caller.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Complete response of a backend server.
#[derive(Debug)]
pub struct ServerResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Result of an attempt.
#[derive(Debug)]
pub enum AttemptResult {
    /// The backend server returned a complete response.
    Complete(ServerResponse),
    /// The backend server refused the request without starting it.
    Refused(AttemptOutcome),
    /// The request was not sent.
    NotSent(String),
    /// No complete response arrived; the request may have run.
    ResponseLost(String),
}

/// Creates an HTTP client for the current thread.
///
/// It has no response timeout, because [`send`] has a deadline.
pub fn client() -> Client {
    let connector = Connector::new().limit(MAX_CONNECTIONS).timeout(CONNECT_TIMEOUT);
    let connector = connector.conn_keep_alive(IDLE_TIMEOUT);
    Client::builder().connector(connector).disable_timeout().disable_redirects().finish()
}

impl From<ForwardedRequest> for Call {
    fn from(request: ForwardedRequest) -> Self {
        Self {
            id: request.key,
            method: request.method.parse().unwrap_or(Method::POST),
            path: request.path,
            headers: header_map(&request.headers),
            body: Bytes::from(request.body),
        }
    }
}

/// Converts headers to the client's form.
///
/// Invalid headers are skipped; requests that contain one were rejected before.
pub fn header_map(headers: &[(String, String)]) -> HeaderMap {
    let mut map = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            map.append(name, value);
        }
    }
    map
}

/// Sends a request to the picked executor and reads the complete response until `deadline`.
pub async fn send(
    client: &Client,
    pick: &Pick,
    call: &Call,
    service: &Service,
    deadline: Instant,
) -> AttemptResult {
    match tokio::time::timeout_at(deadline.into(), exchange(client, pick, call, service, deadline))
        .await
    {
        Ok(result) => result,
        Err(_) => AttemptResult::ResponseLost("no answer in time".to_owned()),
    }
}

/// Sends a request and reads the response, without enforcing the deadline.
async fn exchange(
    client: &Client,
    pick: &Pick,
    call: &Call,
    service: &Service,
    deadline: Instant,
) -> AttemptResult {
    let remaining_ms = deadline.saturating_duration_since(Instant::now()).as_millis();
    let mut request = client
        .request(call.method.clone(), format!("http://{}{}", pick.address, call.path))
        .no_decompress();
    *request.headers_mut() = call.headers.clone();
    let request = request
        .insert_header(("X-Request-Id", call.id.as_str()))
        .insert_header(("X-Pool", service.pool.as_str()))
        .insert_header(("X-Executor", pick.executor))
        .insert_header(("X-Deadline-Ms", remaining_ms.to_string()));
    let mut response = match request.send_body(call.body.clone()).await {
        Ok(response) => response,
        Err(error) if unsent(&error) => return AttemptResult::NotSent(error.to_string()),
        Err(error) => return AttemptResult::ResponseLost(error.to_string()),
    };
    let status = response.status();
    if let Some(outcome) = refusal_outcome(status, response.headers()) {
        return AttemptResult::Refused(outcome);
    }
    let headers = end_to_end_headers(response.headers());
    match response.body().limit(service.max_body).await {
        Ok(body) => AttemptResult::Complete(ServerResponse { status, headers, body }),
        Err(error) => AttemptResult::ResponseLost(format!("the answer broke off: {error}")),
    }
}

/// Returns the attempt's outcome if the response is a refusal.
fn refusal_outcome(status: StatusCode, headers: &HeaderMap) -> Option<AttemptOutcome> {
    let reason =
        headers.get(REFUSAL_HEADER).filter(|_| status == StatusCode::SERVICE_UNAVAILABLE)?;
    Some(match reason.as_bytes() {
        b"leaving" => AttemptOutcome::Leaving,
        _ => AttemptOutcome::Busy,
    })
}

/// Returns the headers that are forwarded to the caller.
fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !HOP_BY_HOP_HEADERS.contains(&name.as_str()) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

impl From<ServerResponse> for Answer {
    fn from(response: ServerResponse) -> Self {
        let headers = response.headers.iter();
        let headers = headers
            .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())));
        Self {
            outcome: Outcome::Done.to_string(),
            status: response.status.as_u16(),
            headers: headers.collect(),
            body: response.body.to_vec(),
            retry_after_ms: 0,
            reason: String::new(),
        }
    }
}
