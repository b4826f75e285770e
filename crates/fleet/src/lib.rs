//! Words of the fleet: instances, pools, customers' contracts and outcomes of requests.
//!
//! Types here carry no wire format; each service that sends them has wire types of its own.

pub mod contract;
pub mod file;
pub mod instance;
pub mod lines;
pub mod outcome;

pub use contract::{Contract, Domain, Repeat, Service, Team, Urgency, Weights};
pub use instance::{Executor, Instance, ListState, ListedInstance, Phase};
pub use lines::{LineIndex, Problem, Problems};
pub use outcome::Outcome;
