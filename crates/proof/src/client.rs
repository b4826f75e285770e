//! HTTP client for the daemons and the stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Timeout of a request; it only has to stop a test that would hang.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum size of a response body.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Response to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `X-Outcome` header, empty when it is missing.
    pub outcome: String,
    /// Value of the `X-Request-Id` header, empty when it is missing.
    pub id: String,
    /// Seconds in the `Retry-After` header, if it is present.
    pub retry_after: Option<u64>,
    /// Body; invalid UTF-8 is replaced.
    pub body: String,
}

/// HTTP client; it can't be sent to another thread.
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
        Self(awc::Client::builder().connector(connector).timeout(REQUEST_TIMEOUT).finish())
    }
}

impl Client {
    /// Sends a request; returns `None` unless a complete response arrives.
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
        let (outcome, id, retry_after) =
            (header("X-Outcome"), header("X-Request-Id"), header("Retry-After"));
        let status = response.status().as_u16();
        let body = response.body().limit(MAX_BODY_BYTES).await.ok()?;
        let body = String::from_utf8_lossy(&body).into_owned();
        Some(Reply { status, outcome, id, retry_after: retry_after.parse().ok(), body })
    }

    /// Sends a POST request; returns `None` unless a complete response arrives.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<Reply> {
        self.request(Method::POST, address, path, headers, body.to_owned()).await
    }

    /// Sends a GET request and parses the body as JSON.
    ///
    /// Returns `None` when no complete response arrives or its body is not a valid `T`. The status
    /// is not checked.
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Option<T> {
        let reply = self.request(Method::GET, address, path, &[], String::new()).await?;
        serde_json::from_str(&reply.body).ok()
    }

    /// Posts a JSON body, such as the faults of a stand-in.
    ///
    /// # Panics
    ///
    /// When the response does not have status 200.
    pub async fn post_json(&self, address: SocketAddr, path: &str, value: &impl Serialize) {
        let body = serde_json::to_string(value).unwrap_or_default();
        let headers = [("content-type", "application/json")];
        let reply = self.post(address, path, &headers, &body).await;
        assert!(
            reply.is_some_and(|reply| reply.status == 200),
            "{address}{path} did not accept the body"
        );
    }
}
