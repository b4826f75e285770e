//! Jobs, queues and executors, and the scheduler that joins them.
//!
//! Nothing here reads a clock, a file or the network: time and answers come in as arguments, and
//! what has to be done comes out as [`Order`]s.

pub mod admit;
pub mod cell;
pub mod job;
pub mod order;
pub mod pace;
pub mod place;
pub mod progress;
pub mod queue;
pub mod row;
pub mod share;
pub mod watch;
pub mod wave;
pub mod worker;

pub use cell::{Cell, CellConfig, Order};
pub use job::{Job, Schedule, State, Step, TaskId};
pub use progress::Progress;
pub use queue::{Configuration, Pool, Queue};
pub use worker::{How, Look, Registration, Room, Worker};
