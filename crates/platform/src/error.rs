//! Errors of the platform's services, as callers have to act on them.

use awc::error::{ConnectError, SendRequestError};
use snafu::Snafu;

use crate::table::Row;

/// A read or an order that the platform did not answer as asked.
#[derive(Debug, Snafu)]
#[snafu(module, visibility(pub(crate)))]
pub enum Error {
    /// No answer came in time, or none that can be trusted.
    #[snafu(display("platform is away: {detail}"))]
    Unavailable {
        /// What was seen.
        detail: String,
    },
    /// The platform refused.
    #[snafu(display("platform refused with {status}: {detail}"))]
    Refused {
        /// HTTP status of the refusal.
        status: u16,
        /// Text of the refusal.
        detail: String,
    },
}

/// A transaction that is not known to have been committed.
#[derive(Debug, Snafu)]
#[snafu(module, visibility(pub(crate)))]
pub enum CommitError {
    /// A condition did not hold; nothing was written.
    #[snafu(display("a row was changed by another writer"))]
    Conflict {
        /// The rows whose conditions failed, as they are now.
        rows: Vec<Row>,
    },
    /// The transaction never reached the table; nothing was written.
    #[snafu(display("platform is away, nothing was written: {detail}"))]
    Unavailable {
        /// What was seen.
        detail: String,
    },
    /// The transaction may or may not have been committed.
    #[snafu(display("the write's answer was lost and could not be settled in time: {detail}"))]
    Unsettled {
        /// What was seen.
        detail: String,
    },
}

impl Error {
    /// Whether the platform refused because the state is another by now.
    pub fn is_stale(&self) -> bool {
        matches!(self, Self::Refused { status: 409, .. })
    }
}

impl CommitError {
    /// Whether another writer won.
    pub fn is_conflict(&self) -> bool {
        matches!(self, Self::Conflict { .. })
    }

    /// Whether the write may have been committed.
    pub fn is_unsettled(&self) -> bool {
        matches!(self, Self::Unsettled { .. })
    }
}

/// Whether a client's error proves that nothing of the request left the process.
///
/// # Examples
///
/// ```
/// use awc::error::{ConnectError, SendRequestError};
/// assert!(platform::error::unsent(&SendRequestError::Connect(ConnectError::Timeout)));
/// assert!(!platform::error::unsent(&SendRequestError::Connect(ConnectError::Disconnected)));
/// ```
pub fn unsent(error: &SendRequestError) -> bool {
    match error {
        // The connection was there and broke off after the request had gone out.
        SendRequestError::Connect(ConnectError::Disconnected) => false,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => true,
        _ => false,
    }
}
