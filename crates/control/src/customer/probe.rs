//! Status requests to backend servers, the direct evidence of their state.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use serde::Deserialize;

/// Timeout of a status request.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Response of a backend server to `GET /status`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Status {
    /// Number of requests in progress.
    pub in_flight: u32,
    /// Whether the server rejects new requests.
    pub draining: bool,
    /// Incarnation, which increases with every start of the server.
    pub incarnation: u64,
    /// Pool that the server serves.
    pub pool: String,
}

/// Reads the status of a backend server, or `None` if the request fails.
pub async fn fetch_status(client: &Client, address: SocketAddr) -> Option<Status> {
    let request = client.get(format!("http://{address}/status")).timeout(STATUS_TIMEOUT);
    let mut response = request.send().await.ok()?;
    response.json().await.ok()
}
