//! Direct evidence: what a backend server says of itself.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use serde::Deserialize;

/// Time that a backend server has to answer.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Answer of a backend server to `GET /status`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Status {
    /// Requests in progress.
    pub in_flight: u32,
    /// Whether it refuses new requests.
    pub draining: bool,
    /// Count of its starts.
    pub incarnation: u64,
    /// Pool that it serves.
    pub pool: String,
}

/// Asks a backend server for its state; none when it does not answer.
pub async fn status(client: &Client, address: SocketAddr) -> Option<Status> {
    let request = client.get(format!("http://{address}/status")).timeout(TIMEOUT);
    let mut response = request.send().await.ok()?;
    response.json().await.ok()
}
