//! Fault injection of the platform stand-in.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Body of `POST /faults`, which replaces the injected faults.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The platform responds to every request with 503.
    pub down: bool,
    /// Delay before each request is handled, in milliseconds.
    pub slow_ms: u64,
    /// Number of commits that take effect but whose responses are lost.
    pub lose_answers: u32,
    /// Age of the instance list, in milliseconds: changes show up after this time.
    pub lag_ms: u64,
}

impl Faults {
    /// Returns the delay before each request is handled.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.slow_ms)
    }
}
