//! The platform's services over HTTP.

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

/// Time that one try may take.
const TRY_TIMEOUT: Duration = Duration::from_millis(800);
/// First pause between two tries of a commit; it doubles up to the last.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause between two tries of a commit.
const LAST_PAUSE: Duration = Duration::from_millis(500);
/// Largest answer that is read, in bytes.
const ANSWER_LIMIT: usize = 64 << 20;

/// Client of one platform address; it belongs to the thread that opened it.
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

/// Answer of the platform before it is judged.
struct Answer {
    status: StatusCode,
    tag: String,
    body: Bytes,
}

/// A try without an answer.
struct Miss {
    /// Whether the request may have reached the platform.
    left: bool,
    detail: String,
}

impl HttpClient {
    /// Opens a client; connections are made as they are needed.
    pub fn open(address: SocketAddr) -> Self {
        let client = Client::builder().timeout(TRY_TIMEOUT).disable_redirects().finish();
        Self { address, client }
    }

    async fn call(&self, method: Method, path: &str, body: String) -> Result<Answer, Miss> {
        self.call_unless(method, path, body, "").await
    }

    async fn call_unless(
        &self,
        method: Method,
        path: &str,
        body: String,
        known: &str,
    ) -> Result<Answer, Miss> {
        let url = format!("http://{}{path}", self.address);
        let mut request = self.client.request(method, url).content_type("application/json");
        if !known.is_empty() {
            request = request.insert_header((IF_NONE_MATCH, known));
        }
        let mut response = request
            .send_body(body)
            .await
            .map_err(|error| Miss { left: !unsent(&error), detail: error.to_string() })?;
        let status = response.status();
        let tag = response.headers().get(ETAG).and_then(|tag| tag.to_str().ok());
        let tag = tag.unwrap_or_default().to_owned();
        let body = response.body().limit(ANSWER_LIMIT).await;
        let body = body.map_err(|error| Miss { left: true, detail: error.to_string() })?;
        Ok(Answer { status, tag, body })
    }

    async fn ask<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Error> {
        let text = serde_json::to_string(body).unwrap_or_default();
        let answer = self.success(method, path, text).await?;
        serde_json::from_slice(&answer.body)
            .map_err(|error| Error::Unavailable { detail: error.to_string() })
    }

    async fn order(&self, path: &str, ask: &impl Serialize) -> Result<(), Error> {
        let text = serde_json::to_string(ask).unwrap_or_default();
        self.success(Method::POST, path, text).await.map(drop)
    }

    async fn success(&self, method: Method, path: &str, body: String) -> Result<Answer, Error> {
        judge(self.call(method, path, body).await)
    }

    async fn settle(&self, txn: &Txn, limit: Duration) -> Result<u64, CommitError> {
        let body = serde_json::to_string(&CommitRequest::from(txn)).unwrap_or_default();
        let start = Instant::now();
        let mut pause = FIRST_PAUSE;
        let mut left = false;
        loop {
            let detail = match self.call(Method::POST, "/table/commit", body.clone()).await {
                Ok(answer) if answer.status.is_success() => return committed(&answer.body),
                Ok(answer) if answer.status == StatusCode::CONFLICT => {
                    return Err(conflict(&answer.body));
                }
                // A server error may come after the write took effect.
                Ok(answer) => {
                    left = true;
                    answer.status.to_string()
                }
                Err(miss) => {
                    left |= miss.left;
                    miss.detail
                }
            };
            if start.elapsed() + pause >= limit {
                return Err(if left {
                    CommitError::Unsettled { detail }
                } else {
                    CommitError::Unavailable { detail }
                });
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(LAST_PAUSE);
        }
    }
}

/// Turns a try that was not a success into an error.
fn judge(answer: Result<Answer, Miss>) -> Result<Answer, Error> {
    let answer = answer.map_err(|miss| Error::Unavailable { detail: miss.detail })?;
    let status = answer.status;
    if status.is_success() {
        return Ok(answer);
    }
    let detail = String::from_utf8_lossy(&answer.body).into_owned();
    if status.is_server_error() {
        return Err(Error::Unavailable { detail });
    }
    Err(Error::Refused { status: status.as_u16(), detail })
}

fn committed(body: &[u8]) -> Result<u64, CommitError> {
    let answer: Result<CommitResponse, _> = serde_json::from_slice(body);
    answer
        .map(|answer| answer.version)
        .map_err(|error| CommitError::Unsettled { detail: error.to_string() })
}

fn conflict(body: &[u8]) -> CommitError {
    let rows: Rows = serde_json::from_slice(body).unwrap_or_default();
    CommitError::Conflict { rows: rows.rows.into_iter().map(Row::from).collect() }
}

impl Table for HttpClient {
    fn read<'a>(&'a self, keys: &'a [String]) -> LocalBoxFuture<'a, Result<Vec<Row>, Error>> {
        Box::pin(async move {
            let ask = ReadRequest { keys: keys.to_vec(), prefix: None };
            let rows: Rows = self.ask(Method::POST, "/table/read", &ask).await?;
            Ok(rows.rows.into_iter().map(Row::from).collect())
        })
    }

    fn scan<'a>(&'a self, prefix: &'a str) -> LocalBoxFuture<'a, Result<Vec<Row>, Error>> {
        Box::pin(async move {
            let ask = ReadRequest { keys: Vec::new(), prefix: Some(prefix.to_owned()) };
            let rows: Rows = self.ask(Method::POST, "/table/read", &ask).await?;
            Ok(rows.rows.into_iter().map(Row::from).collect())
        })
    }

    fn commit<'a>(
        &'a self,
        txn: &'a Txn,
        limit: Duration,
    ) -> LocalBoxFuture<'a, Result<u64, CommitError>> {
        Box::pin(self.settle(txn, limit))
    }
}

impl Instances for HttpClient {
    fn list<'a>(
        &'a self,
        centre: &'a str,
        known: &'a str,
    ) -> LocalBoxFuture<'a, Result<Option<TaggedList>, Error>> {
        Box::pin(async move {
            let path = format!("/instances?centre={centre}");
            let answer = self.call_unless(Method::GET, &path, String::new(), known).await;
            if answer.as_ref().is_ok_and(|answer| answer.status == StatusCode::NOT_MODIFIED) {
                return Ok(None);
            }
            let answer = judge(answer)?;
            let entries: Vec<WireListedInstance> = serde_json::from_slice(&answer.body)
                .map_err(|error| Error::Unavailable { detail: error.to_string() })?;
            let entries = entries.into_iter().map(ListedInstance::from).collect();
            Ok(Some(TaggedList { etag: answer.tag, entries }))
        })
    }

    fn drain<'a>(&'a self, id: &'a str, incarnation: u64) -> LocalBoxFuture<'a, Result<(), Error>> {
        Box::pin(async move {
            let ask = DrainRequest { incarnation: Some(incarnation) };
            self.order(&format!("/instances/{id}/drain"), &ask).await
        })
    }

    fn reboot<'a>(
        &'a self,
        id: &'a str,
        incarnation: u64,
        pool: &'a str,
    ) -> LocalBoxFuture<'a, Result<(), Error>> {
        Box::pin(async move {
            let ask = RebootRequest { incarnation: Some(incarnation), pool: pool.to_owned() };
            self.order(&format!("/instances/{id}/reboot"), &ask).await
        })
    }
}

impl Objects for HttpClient {
    fn store<'a>(&'a self, name: &'a str, body: String) -> LocalBoxFuture<'a, Result<(), Error>> {
        Box::pin(async move {
            self.success(Method::PUT, &format!("/objects/{name}"), body).await.map(drop)
        })
    }

    fn names<'a>(&'a self, prefix: &'a str) -> LocalBoxFuture<'a, Result<Vec<String>, Error>> {
        Box::pin(
            async move { self.ask(Method::GET, &format!("/objects?prefix={prefix}"), &()).await },
        )
    }

    fn fetch<'a>(&'a self, name: &'a str) -> LocalBoxFuture<'a, Result<String, Error>> {
        Box::pin(async move {
            let path = format!("/objects/{name}");
            let answer = self.success(Method::GET, &path, String::new()).await?;
            Ok(String::from_utf8_lossy(&answer.body).into_owned())
        })
    }
}
