//! Records that tests read to check what the stand-ins executed.

use serde::{Deserialize, Serialize};

/// Run of a request on a backend server stand-in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Request id from `X-Request-Id`.
    pub id: String,
    /// Key from `Idempotency-Key`; empty if the caller set none.
    pub key: String,
    /// Path of the request.
    pub path: String,
    /// Index of the executor that ran the request.
    pub executor: u32,
    /// Start of the run, in milliseconds since 1970.
    pub begin_ms: u64,
    /// End of the run, in milliseconds since 1970; absent while the run is in progress.
    pub end_ms: Option<u64>,
    /// Whether a reboot interrupted the run.
    pub cut: bool,
}

/// Drain or reboot order that the platform stand-in accepted, or the end of a reboot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Time of the step, in milliseconds since 1970.
    pub at_ms: u64,
    /// Name of the instance.
    pub id: String,
    /// Kind of step: `drain`, `reboot` or, after a reboot, `back`.
    pub what: String,
    /// Pool to which the instance belongs after the step.
    pub pool: String,
}
