//! Listening sockets of the daemons, and the errors that keep a daemon from starting.

use std::net::{SocketAddr, TcpListener};

use snafu::{ResultExt, Snafu};

/// Error that keeps a daemon from starting.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// A listening address can't be used.
    #[snafu(display("{purpose}: {source}"))]
    Bind {
        /// Purpose of the address, such as "admin address".
        purpose: String,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// A metric can't be registered, for example because its name is already in use.
    #[snafu(display("metrics: {source}"))]
    Metric {
        /// Error from the metrics registry.
        source: prometheus::Error,
    },
}

/// Binds a TCP listener; `purpose` names the address in the error.
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
/// Returns [`Error::Bind`] if the address can't be bound.
pub fn listener(address: SocketAddr, purpose: &str) -> Result<TcpListener, Error> {
    TcpListener::bind(address).context(BindSnafu { purpose })
}
