//! Data model of a fleet: instances, pools, customers' contracts and request outcomes.
//!
//! The types have no wire format. Each service that sends them defines its own wire types.

pub mod contract;
pub mod file;
pub mod instance;
pub mod lines;
pub mod outcome;

pub use contract::{Contract, Domain, Repeat, Service, Team, Urgency, Weights};
pub use instance::{Executor, Instance, ListState, ListedInstance, Phase};
pub use lines::{LineIndex, Problem, Problems};
pub use outcome::Outcome;
