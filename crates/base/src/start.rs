//! What daemons need to start: addresses and the reasons why they can't.

use std::net::{SocketAddr, TcpListener};

use snafu::{ResultExt, Snafu};

/// A process that could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// An address can't be used.
    #[snafu(display("{purpose}: {source}"))]
    Bind {
        /// What the address is for.
        purpose: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// A metric is there twice.
    #[snafu(display("metrics: {source}"))]
    Metric {
        /// What the registry said.
        source: prometheus::Error,
    },
}

/// Binds an address; `purpose` names it in the error.
///
/// # Examples
///
/// ```
/// let listener = base::start::listener(([127, 0, 0, 1], 0).into(), "caller address").unwrap();
/// assert_ne!(listener.local_addr().unwrap().port(), 0);
/// ```
///
/// # Errors
///
/// When the address can't be bound.
pub fn listener(address: SocketAddr, purpose: &str) -> Result<TcpListener, Error> {
    TcpListener::bind(address).context(BindSnafu { purpose })
}
