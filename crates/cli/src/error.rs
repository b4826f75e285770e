//! Errors of commands and their exit codes.

use std::net::SocketAddr;

use base::admin::ErrorBody;
use snafu::Snafu;

/// Error of a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// Neither the flag nor the environment variable gives an address.
    #[snafu(display("no address given: use --at or set JTALLY_AT"))]
    MissingAddress,
    /// The address is not valid.
    #[snafu(display(
        "'{text}' is not an address; allowed is an IP number and a port, such as 127.0.0.1:80"
    ))]
    InvalidAddress {
        /// Text given as the address.
        text: String,
    },
    /// A file or the standard input can't be read.
    #[snafu(display("{file}: can't be read: {source}"))]
    ReadFile {
        /// Name of the file.
        file: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// No complete response came from the address.
    #[snafu(display("{address} does not answer: {reason}"))]
    Unreachable {
        /// Address of the request.
        address: SocketAddr,
        /// Error of the HTTP client.
        reason: String,
    },
    /// The response can't be parsed.
    #[snafu(display("the response of {address} can't be parsed: {source}"))]
    InvalidResponse {
        /// Address of the request.
        address: SocketAddr,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// The control process refused the request.
    #[snafu(display("{}", body.error))]
    Refused {
        /// HTTP status.
        status: u16,
        /// Body of the response.
        body: ErrorBody,
    },
}

impl Error {
    /// Returns the exit code, as listed in the help text of the command line.
    pub fn code(&self) -> u8 {
        match self {
            Self::MissingAddress | Self::InvalidAddress { .. } => 2,
            Self::ReadFile { .. } => 3,
            Self::Unreachable { .. } => 6,
            Self::InvalidResponse { .. } => 1,
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
