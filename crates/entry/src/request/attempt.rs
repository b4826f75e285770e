//! One try of a request on one backend server.

use std::time::{Duration, Instant};

use actix_web::http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_web::http::{Method, StatusCode};
use awc::{Client, Connector};
use bytes::Bytes;
use fleet::{Outcome, Service};
use peer::{Answer, ForwardedRequest};
use platform::error::unsent;
use route::{AttemptOutcome, Pick};

/// Time to connect to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Connections that one thread may hold.
const CONNECTIONS: usize = 4_096;
/// Time that an unused connection is kept, shorter than servers keep theirs.
const KEEP_ALIVE: Duration = Duration::from_secs(3);
/// Header by which a backend server says that it did not start a request.
const REFUSED: &str = "x-refused";
/// Headers of an answer that belong to one connection.
const HOP_HEADERS: [&str; 6] =
    ["connection", "content-length", "keep-alive", "te", "transfer-encoding", "upgrade"];

/// What is sent to a backend server.
#[derive(Debug, Clone)]
pub struct Call {
    /// Id of the request.
    pub id: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers of the caller.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// The whole answer of a backend server.
#[derive(Debug)]
pub struct Whole {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers, without those of the connection.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// How a try ended.
#[derive(Debug)]
pub enum Reply {
    /// The backend server's whole answer.
    Whole(Whole),
    /// The backend server refused before it started.
    Refused(AttemptOutcome),
    /// Nothing left the process.
    NotSent(String),
    /// It may have run.
    Lost(String),
}

/// Opens a client for the thread that calls.
pub fn client() -> Client {
    let connector = Connector::new().limit(CONNECTIONS).timeout(CONNECT_TIMEOUT);
    let connector = connector.conn_keep_alive(KEEP_ALIVE);
    Client::builder().connector(connector).disable_timeout().disable_redirects().finish()
}

impl From<ForwardedRequest> for Call {
    fn from(submit: ForwardedRequest) -> Self {
        Self {
            id: submit.key,
            method: submit.method.parse().unwrap_or(Method::POST),
            path: submit.path,
            headers: map(&submit.headers),
            body: Bytes::from(submit.body),
        }
    }
}

/// Gives headers the form that the client takes; what is no header was refused before.
pub fn map(headers: &[(String, String)]) -> HeaderMap {
    let mut map = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            map.append(name, value);
        }
    }
    map
}

/// Sends a request to the picked executor and reads the whole answer until `limit`.
pub async fn send(
    client: &Client,
    pick: &Pick,
    call: &Call,
    service: &Service,
    limit: Instant,
) -> Reply {
    match tokio::time::timeout_at(limit.into(), exchange(client, pick, call, service, limit)).await
    {
        Ok(reply) => reply,
        Err(_) => Reply::Lost("no answer in time".to_owned()),
    }
}

async fn exchange(
    client: &Client,
    pick: &Pick,
    call: &Call,
    service: &Service,
    limit: Instant,
) -> Reply {
    let left = limit.saturating_duration_since(Instant::now()).as_millis();
    let mut request = client
        .request(call.method.clone(), format!("http://{}{}", pick.address, call.path))
        .no_decompress();
    *request.headers_mut() = call.headers.clone();
    let request = request
        .insert_header(("X-Request-Id", call.id.as_str()))
        .insert_header(("X-Pool", service.pool.as_str()))
        .insert_header(("X-Executor", pick.executor))
        .insert_header(("X-Deadline-Ms", left.to_string()));
    let mut response = match request.send_body(call.body.clone()).await {
        Ok(response) => response,
        Err(error) if unsent(&error) => return Reply::NotSent(error.to_string()),
        Err(error) => return Reply::Lost(error.to_string()),
    };
    let status = response.status();
    if let Some(refused) = refused(status, response.headers()) {
        return Reply::Refused(refused);
    }
    let headers = kept(response.headers());
    match response.body().limit(service.max_body).await {
        Ok(body) => Reply::Whole(Whole { status, headers, body }),
        Err(error) => Reply::Lost(format!("the answer broke off: {error}")),
    }
}

fn refused(status: StatusCode, headers: &HeaderMap) -> Option<AttemptOutcome> {
    let reason = headers.get(REFUSED).filter(|_| status == StatusCode::SERVICE_UNAVAILABLE)?;
    Some(match reason.as_bytes() {
        b"leaving" => AttemptOutcome::Leaving,
        _ => AttemptOutcome::Busy,
    })
}

/// Headers that go on to the caller.
fn kept(headers: &HeaderMap) -> HeaderMap {
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !HOP_HEADERS.contains(&name.as_str()) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

impl From<Whole> for Answer {
    fn from(whole: Whole) -> Self {
        let headers = whole.headers.iter();
        let headers = headers
            .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())));
        Self {
            outcome: Outcome::Done.to_string(),
            status: whole.status.as_u16(),
            headers: headers.collect(),
            body: whole.body.to_vec(),
            retry_after_ms: 0,
            reason: String::new(),
        }
    }
}
