//! Decisions about requests: which server, in which order, how often, and by whom.
//!
//! Everything here is plain state; the clock comes in as an argument.

pub mod budget;
pub mod evidence;
pub mod health;
pub mod queue;
pub mod servers;
pub mod ticket;

pub use budget::RetryBudget;
pub use evidence::{Evidence, ServerState};
pub use queue::{Queue, Waiter};
pub use servers::{AttemptOutcome, Pick, Servers};
pub use ticket::Ticket;
