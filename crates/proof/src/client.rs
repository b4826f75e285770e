//! A caller's and an operator's HTTP client.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Time that a call may take; it only ends a test that would hang.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Largest answer, in bytes.
const ANSWER_LIMIT: usize = 64 << 20;

/// What a caller got back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Outcome, empty when the header is missing.
    pub outcome: String,
    /// Id of the request.
    pub id: String,
    /// Seconds to come back after.
    pub retry_after: Option<u64>,
    /// Body.
    pub body: String,
}

/// HTTP client of one thread.
#[derive(Clone)]
pub struct Client(awc::Client);

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Client")
    }
}

impl Default for Client {
    fn default() -> Self {
        let connector = awc::Connector::new().limit(4_096);
        Self(awc::Client::builder().connector(connector).timeout(TIMEOUT).finish())
    }
}

impl Client {
    /// Sends a request; none when there was no whole answer.
    pub async fn request(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Option<Reply> {
        let mut request = self.0.request(method, format!("http://{address}{path}"));
        for (name, value) in headers {
            request = request.insert_header((*name, *value));
        }
        let mut response = request.send_body(body).await.ok()?;
        let header = |name: &str| {
            let value = response.headers().get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let (outcome, id, retry) =
            (header("X-Outcome"), header("X-Request-Id"), header("Retry-After"));
        let status = response.status().as_u16();
        let body = response.body().limit(ANSWER_LIMIT).await.ok()?;
        let body = String::from_utf8_lossy(&body).into_owned();
        Some(Reply { status, outcome, id, retry_after: retry.parse().ok(), body })
    }

    /// Posts a caller's request.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<Reply> {
        self.request(Method::POST, address, path, headers, body.to_owned()).await
    }

    /// Reads JSON; none when there is no such answer.
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Option<T> {
        let reply = self.request(Method::GET, address, path, &[], String::new()).await?;
        serde_json::from_str(&reply.body).ok()
    }

    /// Posts JSON to a stand-in's switches.
    ///
    /// # Panics
    ///
    /// When the stand-in does not take it.
    pub async fn post_json(&self, address: SocketAddr, path: &str, value: &impl Serialize) {
        let body = serde_json::to_string(value).unwrap_or_default();
        let headers = [("content-type", "application/json")];
        let reply = self.post(address, path, &headers, &body).await;
        assert!(reply.is_some_and(|reply| reply.status == 200), "{address}{path} refused");
    }
}
