//! Tickets: request ids that name the only process that may run the request.

use std::fmt;
use std::str::FromStr;

use strum::{Display, EnumString};

/// Prefix of every ticket, which distinguishes it from a key that a caller chose.
const MARK: &str = "jt1";

/// Id of a request that must run at most once.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// Name of the entry process that issued the ticket.
    pub owner: String,
    /// Incarnation of that process.
    pub incarnation: u64,
    /// Sequence number among the tickets of that incarnation.
    pub number: u64,
}

/// Reason why a text can't be parsed as a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
pub enum ParseError {
    /// The text lacks the prefix of tickets; it is a key that the caller chose.
    #[strum(to_string = "not a ticket")]
    NotATicket,
    /// The text has the prefix of tickets but is otherwise malformed.
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

    /// Parses a ticket.
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
