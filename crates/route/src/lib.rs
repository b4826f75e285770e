//! Routing decisions: backend server, order, retries and the owner of a request.
//!
//! All types are plain state; the current time is passed in as an argument.

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
