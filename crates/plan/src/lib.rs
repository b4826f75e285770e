//! Capacity and maintenance decisions as pure functions of a fleet snapshot.
//!
//! No function reads a clock, a file or the network. Each decision is returned with its reason.

pub mod budget;
pub mod buffer;
pub mod instance;
pub mod moves;
pub mod place;
pub mod quarantine;
pub mod wave;

pub use budget::{BudgetUse, DrainRefusal, check_budgets};
pub use instance::{Availability, Fleet, FleetCounts, FleetInstance, Operation};
pub use wave::{DrainDecision, next_step};
