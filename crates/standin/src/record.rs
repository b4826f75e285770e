//! Record of the requests that truly ran on a backend server.

use serde::{Deserialize, Serialize};

/// One run of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Id from `X-Request-Id`.
    pub id: String,
    /// Key from `Idempotency-Key`, where the caller gave one.
    pub key: String,
    /// Path that was asked for.
    pub path: String,
    /// Executor that ran it.
    pub executor: u32,
    /// Begin, in milliseconds since 1970.
    pub begin_ms: u64,
    /// End, in milliseconds since 1970; absent while it runs.
    pub end_ms: Option<u64>,
    /// Whether a reboot cut it off.
    pub cut: bool,
}

/// One order that the platform took, or its end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Time, in milliseconds since 1970.
    pub at_ms: u64,
    /// Instance.
    pub id: String,
    /// `drain`, `reboot` or `back`.
    pub what: String,
    /// Pool that the instance belongs to after the step.
    pub pool: String,
}
