//! Fault switches of the platform stand-in.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Body of `POST /faults`: the faults in force from now on.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The platform answers nothing but 503.
    pub down: bool,
    /// Every answer is late by so many milliseconds.
    pub slow_ms: u64,
    /// The answers to so many commits are lost after they took effect.
    pub lose_answers: u32,
    /// The instance list shows the fleet as it was so many milliseconds ago.
    pub lag_ms: u64,
}

impl Faults {
    /// Time that an answer is held back.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.slow_ms)
    }
}
