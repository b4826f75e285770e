//! Errors of the platform's services, distinguished by how callers have to react.

use awc::error::{ConnectError, SendRequestError};
use snafu::Snafu;

use crate::table::Row;

/// Error of a read, an order or an access to the object store.
#[derive(Debug, Snafu)]
#[snafu(module, visibility(pub(crate)))]
pub enum Error {
    /// No valid answer arrived in time, or the platform answered with a server error.
    #[snafu(display("platform is away: {detail}"))]
    Unavailable {
        /// Cause, as text.
        detail: String,
    },
    /// The platform refused the request.
    #[snafu(display("platform refused with {status}: {detail}"))]
    Refused {
        /// HTTP status of the refusal.
        status: u16,
        /// Text of the refusal.
        detail: String,
    },
}

/// Error of a transaction that is not known to have been committed.
#[derive(Debug, Snafu)]
#[snafu(module, visibility(pub(crate)))]
pub enum CommitError {
    /// A condition did not hold, so nothing was written.
    #[snafu(display("a row was changed by another writer"))]
    Conflict {
        /// Current state of the rows whose conditions did not hold.
        rows: Vec<Row>,
    },
    /// No attempt reached the platform, so nothing was written.
    #[snafu(display("platform is away, nothing was written: {detail}"))]
    Unavailable {
        /// Cause, as text.
        detail: String,
    },
    /// The transaction may have been committed, but no attempt returned a valid answer in time.
    #[snafu(display("the write's answer was lost and could not be settled in time: {detail}"))]
    Unsettled {
        /// Cause, as text.
        detail: String,
    },
}

impl Error {
    /// Returns whether the platform refused the request because the state has changed since.
    pub fn is_stale(&self) -> bool {
        matches!(self, Self::Refused { status: 409, .. })
    }
}

impl CommitError {
    /// Returns whether a condition did not hold, because another writer had changed a row.
    pub fn is_conflict(&self) -> bool {
        matches!(self, Self::Conflict { .. })
    }

    /// Returns whether the transaction may have been committed.
    pub fn is_unsettled(&self) -> bool {
        matches!(self, Self::Unsettled { .. })
    }
}

/// Returns whether a client error proves that no part of the request was sent.
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
        // The connection was established, and closed after the request had been sent.
        SendRequestError::Connect(ConnectError::Disconnected) => false,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => true,
        _ => false,
    }
}
