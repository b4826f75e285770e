//! Starts the real processes beside stand-ins on loopback, for tests, benchmarks and the demo.

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

/// Time that a condition may take; it only ends a test that would hang.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Waits until a condition gives a value, looking again every few milliseconds.
///
/// # Panics
///
/// When the condition gives nothing for a minute.
pub async fn wait_for<T, F: Future<Output = Option<T>>>(
    what: &str,
    mut look: impl FnMut() -> F,
) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = look().await {
            return found;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "gave up waiting: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
