//! Runs the real daemons on loopback next to stand-ins of the platform and the backend servers.
//!
//! The tests, the benchmarks and the demo of the whole product share this set-up.

pub mod client;
pub mod cluster;
pub mod fleets;
pub mod process;
pub mod relay;

pub use client::{Client, Reply};
pub use cluster::{Cluster, Layout};
pub use process::Process;
pub use relay::Relay;

use std::time::{Duration, Instant};

/// Timeout of [`wait_for`]; it only has to stop a test that would hang.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Polls `probe` every 20 ms until it returns a value.
///
/// # Panics
///
/// When `probe` returns no value within [`WAIT_TIMEOUT`]; the message names the `condition`.
pub async fn wait_for<T, F: Future<Output = Option<T>>>(
    condition: &str,
    mut probe: impl FnMut() -> F,
) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = probe().await {
            return value;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "timed out waiting for {condition}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
