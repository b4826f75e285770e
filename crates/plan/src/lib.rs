//! Decisions about capacity and maintenance, as functions of what is known.
//!
//! Nothing here reads a clock, a file or the network; reasons come back beside decisions.

pub mod budget;
pub mod buffer;
pub mod instance;
pub mod moves;
pub mod place;
pub mod quarantine;
pub mod wave;

pub use budget::{BudgetUse, DrainRefusal, check_budgets};
pub use instance::{Availability, Fleet, FleetCounts, FleetInstance, Operation};
pub use wave::{DrainDecision, next_wave};
