//! Tickets: request ids that name the one process which may run the request.

use std::fmt;
use std::str::FromStr;

use strum::{Display, EnumString};

/// First part of every ticket.
const MARK: &str = "jt1";

/// Id of a request that may not be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// Entry process that handed it out.
    pub owner: String,
    /// Incarnation of that process.
    pub incarnation: u64,
    /// Number among the tickets of that incarnation.
    pub number: u64,
}

/// Why a text is no ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
pub enum ParseError {
    /// It does not begin as tickets do; it is a caller's own key.
    #[strum(to_string = "not a ticket")]
    NotATicket,
    /// It begins as a ticket and goes on otherwise.
    #[strum(to_string = "a damaged ticket")]
    Malformed,
}

impl std::error::Error for ParseError {}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{MARK}.{}.{:x}.{:x}", self.owner, self.incarnation, self.number)
    }
}

impl FromStr for Ticket {
    type Err = ParseError;

    /// Reads a ticket.
    ///
    /// # Examples
    ///
    /// ```
    /// let ticket: route::Ticket = "jt1.entry-1.1f.2".parse().unwrap();
    /// assert_eq!((ticket.owner.as_str(), ticket.incarnation, ticket.number), ("entry-1", 31, 2));
    /// assert!("order-17".parse::<route::Ticket>().is_err());
    /// ```
    fn from_str(text: &str) -> Result<Self, ParseError> {
        let mut parts = text.split('.');
        if parts.next() != Some(MARK) {
            return Err(ParseError::NotATicket);
        }
        let mut part = || parts.next().ok_or(ParseError::Malformed);
        let owner = part()?.to_owned();
        let incarnation = u64::from_str_radix(part()?, 16).map_err(|_| ParseError::Malformed)?;
        let number = u64::from_str_radix(part()?, 16).map_err(|_| ParseError::Malformed)?;
        if owner.is_empty() || parts.next().is_some() {
            return Err(ParseError::Malformed);
        }
        Ok(Self { owner, incarnation, number })
    }
}
