//! What can go wrong with a command, and its exit code.

use std::net::SocketAddr;

use base::admin::ErrorBody;
use snafu::Snafu;

/// A command that did not succeed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// No address was given.
    #[snafu(display("no address: give --at or JTALLY_AT"))]
    NoAddress,
    /// The address can't be read.
    #[snafu(display(
        "'{text}' is no address, allowed is an IP number and a port, as 127.0.0.1:80"
    ))]
    Address {
        /// What was given.
        text: String,
    },
    /// A file can't be read.
    #[snafu(display("{file}: can't be read: {source}"))]
    Read {
        /// Name of the file.
        file: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// Nothing answers at the address.
    #[snafu(display("{address} does not answer: {what}"))]
    Reach {
        /// Address that was tried.
        address: SocketAddr,
        /// What was seen.
        what: String,
    },
    /// The answer can't be read.
    #[snafu(display("{address} gave an answer that can't be read: {source}"))]
    Answer {
        /// Address that was asked.
        address: SocketAddr,
        /// What the parser said.
        source: serde_json::Error,
    },
    /// The process refused.
    #[snafu(display("{}", refusal.error))]
    Refused {
        /// HTTP status.
        status: u16,
        /// What it said.
        refusal: ErrorBody,
    },
}

impl Error {
    /// Exit code, as the help lists it.
    pub fn code(&self) -> u8 {
        match self {
            Self::NoAddress | Self::Address { .. } => 2,
            Self::Read { .. } => 3,
            Self::Reach { .. } => 6,
            Self::Answer { .. } => 1,
            Self::Refused { status, .. } => match status {
                400 | 422 => 3,
                404 => 5,
                409 => 4,
                503 => 6,
                504 => 7,
                _ => 1,
            },
        }
    }
}
