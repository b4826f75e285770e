//! Jobs, queues and executors, and the scheduler that assigns tasks to executors.
//!
//! Nothing here reads a clock, a file or the network. Callers pass in the time and the answers of
//! other services, and send the returned [`Order`]s to the executors.

pub mod admit;
pub mod cell;
pub mod crash;
pub mod difference;
pub mod fair;
pub mod flush;
pub mod forecast;
pub mod incarnation;
pub mod job;
pub mod lint;
pub mod memory;
pub mod order;
pub mod organisation;
pub mod pace;
pub mod place;
pub mod progress;
pub mod queue;
pub mod quota;
pub mod rate;
pub mod relocate;
pub mod row;
pub mod share;
pub mod spans;
pub mod terms;
pub mod watch;
pub mod wave;
pub mod window;
pub mod worker;

pub use cell::{Cell, CellConfig, Order};
pub use job::{Job, Schedule, State, Step, TaskId};
pub use organisation::{Organisation, Organisations};
pub use progress::Progress;
pub use queue::{AdviceCost, Configuration, Pool, Queue};
pub use terms::Terms;
pub use worker::{ExecutorReport, Registration, Resources, RunOutcome, Worker};
