//! HTTP client for the services of the platform.

use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_web::http::header::{ETAG, IF_NONE_MATCH};
use actix_web::http::{Method, StatusCode};
use awc::Client;
use bytes::Bytes;
use fleet::ListedInstance;
use futures_util::future::LocalBoxFuture;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::{CommitError, Error, unsent};
use crate::table::{Instances, Objects, Row, Table, TaggedList, Txn};
use crate::wire::{
    CommitRequest, CommitResponse, DrainRequest, ReadRequest, RebootRequest, Rows,
    WireListedInstance,
};

/// Time limit for one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// First back-off between attempts to commit; it doubles with each one up to `MAX_BACKOFF`.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
/// Longest back-off between attempts to commit.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum size of the body of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Client of the platform at one address; it must stay on the thread that created it.
#[derive(Clone)]
pub struct HttpClient {
    address: SocketAddr,
    client: Client,
}

impl fmt::Debug for HttpClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Http").field("address", &self.address).finish_non_exhaustive()
    }
}

/// Response of the platform, with any status.
struct Response {
    status: StatusCode,
    etag: String,
    body: Bytes,
}

/// Call that returned no complete response.
struct CallError {
    /// Whether the request may have reached the platform.
    maybe_sent: bool,
    detail: String,
}

impl HttpClient {
    /// Creates a client; connections are established on demand.
    pub fn open(address: SocketAddr) -> Self {
        let client = Client::builder().timeout(CALL_TIMEOUT).disable_redirects().finish();
        Self { address, client }
    }

    async fn call(&self, method: Method, path: &str, body: String) -> Result<Response, CallError> {
        self.call_if_none_match(method, path, body, "").await
    }

    /// Sends a request that returns `304 Not Modified` if the resource still has the entity tag.
    async fn call_if_none_match(
        &self,
        method: Method,
        path: &str,
        body: String,
        etag: &str,
    ) -> Result<Response, CallError> {
        let url = format!("http://{}{path}", self.address);
        let mut request = self.client.request(method, url).content_type("application/json");
        if !etag.is_empty() {
            request = request.insert_header((IF_NONE_MATCH, etag));
        }
        let mut response = request.send_body(body).await.map_err(|error| CallError {
            maybe_sent: !unsent(&error),
            detail: error.to_string(),
        })?;
        let status = response.status();
        let etag = response.headers().get(ETAG).and_then(|etag| etag.to_str().ok());
        let etag = etag.unwrap_or_default().to_owned();
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body =
            body.map_err(|error| CallError { maybe_sent: true, detail: error.to_string() })?;
        Ok(Response { status, etag, body })
    }

    /// Sends a JSON request and decodes the JSON of its response.
    async fn call_json<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Error> {
        let text = serde_json::to_string(body).unwrap_or_default();
        let response = self.call_checked(method, path, text).await?;
        serde_json::from_slice(&response.body)
            .map_err(|error| Error::Unavailable { detail: error.to_string() })
    }

    async fn order(&self, path: &str, request: &impl Serialize) -> Result<(), Error> {
        let text = serde_json::to_string(request).unwrap_or_default();
        self.call_checked(Method::POST, path, text).await.map(drop)
    }

    /// Sends a request; any status other than success is an error.
    async fn call_checked(
        &self,
        method: Method,
        path: &str,
        body: String,
    ) -> Result<Response, Error> {
        check_status(self.call(method, path, body).await)
    }

    /// Attempts a commit until the platform gives a conclusive response or the time limit is near.
    async fn commit_with_retries(&self, txn: &Txn, limit: Duration) -> Result<u64, CommitError> {
        let body = serde_json::to_string(&CommitRequest::from(txn)).unwrap_or_default();
        let start = Instant::now();
        let mut backoff = MIN_BACKOFF;
        let mut maybe_sent = false;
        loop {
            let detail = match self.call(Method::POST, "/table/commit", body.clone()).await {
                Ok(response) if response.status.is_success() => {
                    return parse_commit(&response.body);
                }
                Ok(response) if response.status == StatusCode::CONFLICT => {
                    return Err(parse_conflict(&response.body));
                }
                // A server error can follow a commit that took effect.
                Ok(response) => {
                    maybe_sent = true;
                    response.status.to_string()
                }
                Err(error) => {
                    maybe_sent |= error.maybe_sent;
                    error.detail
                }
            };
            if start.elapsed() + backoff >= limit {
                return Err(if maybe_sent {
                    CommitError::Unsettled { detail }
                } else {
                    CommitError::Unavailable { detail }
                });
            }
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }
}

/// Converts a failed call, or a response without a success status, to an error.
fn check_status(response: Result<Response, CallError>) -> Result<Response, Error> {
    let response = response.map_err(|error| Error::Unavailable { detail: error.detail })?;
    let status = response.status;
    if status.is_success() {
        return Ok(response);
    }
    let detail = String::from_utf8_lossy(&response.body).into_owned();
    if status.is_server_error() {
        return Err(Error::Unavailable { detail });
    }
    Err(Error::Refused { status: status.as_u16(), detail })
}

/// Decodes the number of a commit from the response.
fn parse_commit(body: &[u8]) -> Result<u64, CommitError> {
    let response: Result<CommitResponse, _> = serde_json::from_slice(body);
    response
        .map(|response| response.version)
        .map_err(|error| CommitError::Unsettled { detail: error.to_string() })
}

/// Decodes the rows of a conflict response.
fn parse_conflict(body: &[u8]) -> CommitError {
    let rows: Rows = serde_json::from_slice(body).unwrap_or_default();
    CommitError::Conflict { rows: rows.rows.into_iter().map(Row::from).collect() }
}

impl Table for HttpClient {
    fn read<'a>(&'a self, keys: &'a [String]) -> LocalBoxFuture<'a, Result<Vec<Row>, Error>> {
        Box::pin(async move {
            let request = ReadRequest { keys: keys.to_vec(), prefix: None };
            let rows: Rows = self.call_json(Method::POST, "/table/read", &request).await?;
            Ok(rows.rows.into_iter().map(Row::from).collect())
        })
    }

    fn scan<'a>(&'a self, prefix: &'a str) -> LocalBoxFuture<'a, Result<Vec<Row>, Error>> {
        Box::pin(async move {
            let request = ReadRequest { keys: Vec::new(), prefix: Some(prefix.to_owned()) };
            let rows: Rows = self.call_json(Method::POST, "/table/read", &request).await?;
            Ok(rows.rows.into_iter().map(Row::from).collect())
        })
    }

    fn commit<'a>(
        &'a self,
        txn: &'a Txn,
        limit: Duration,
    ) -> LocalBoxFuture<'a, Result<u64, CommitError>> {
        Box::pin(self.commit_with_retries(txn, limit))
    }
}

impl Instances for HttpClient {
    fn list<'a>(
        &'a self,
        centre: &'a str,
        etag: &'a str,
    ) -> LocalBoxFuture<'a, Result<Option<TaggedList>, Error>> {
        Box::pin(async move {
            let path = format!("/instances?centre={centre}");
            let response = self.call_if_none_match(Method::GET, &path, String::new(), etag).await;
            if response.as_ref().is_ok_and(|response| response.status == StatusCode::NOT_MODIFIED) {
                return Ok(None);
            }
            let response = check_status(response)?;
            let entries: Vec<WireListedInstance> = serde_json::from_slice(&response.body)
                .map_err(|error| Error::Unavailable { detail: error.to_string() })?;
            let entries = entries.into_iter().map(ListedInstance::from).collect();
            Ok(Some(TaggedList { etag: response.etag, entries }))
        })
    }

    fn drain<'a>(&'a self, id: &'a str, incarnation: u64) -> LocalBoxFuture<'a, Result<(), Error>> {
        Box::pin(async move {
            let request = DrainRequest { incarnation: Some(incarnation) };
            self.order(&format!("/instances/{id}/drain"), &request).await
        })
    }

    fn reboot<'a>(
        &'a self,
        id: &'a str,
        incarnation: u64,
        pool: &'a str,
    ) -> LocalBoxFuture<'a, Result<(), Error>> {
        Box::pin(async move {
            let request = RebootRequest { incarnation: Some(incarnation), pool: pool.to_owned() };
            self.order(&format!("/instances/{id}/reboot"), &request).await
        })
    }
}

impl Objects for HttpClient {
    fn store<'a>(&'a self, name: &'a str, body: String) -> LocalBoxFuture<'a, Result<(), Error>> {
        Box::pin(async move {
            self.call_checked(Method::PUT, &format!("/objects/{name}"), body).await.map(drop)
        })
    }

    fn names<'a>(&'a self, prefix: &'a str) -> LocalBoxFuture<'a, Result<Vec<String>, Error>> {
        Box::pin(async move {
            self.call_json(Method::GET, &format!("/objects?prefix={prefix}"), &()).await
        })
    }

    fn fetch<'a>(&'a self, name: &'a str) -> LocalBoxFuture<'a, Result<String, Error>> {
        Box::pin(async move {
            let path = format!("/objects/{name}");
            let response = self.call_checked(Method::GET, &path, String::new()).await?;
            Ok(String::from_utf8_lossy(&response.body).into_owned())
        })
    }
}
