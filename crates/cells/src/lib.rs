//! Stores jobs in the platform's table and runs the schedulers of their cells.
//!
//! The jobs of one pool form a cell. Every process accepts jobs from clients ([`job_api`]).
//! Processes compete for a lease on each cell ([`member`], [`claim`]); the lease holder runs the
//! cell's scheduler ([`owner`]). One more lease elects the process that carries out the fleet's
//! duties: maintenance waves and moves of machines between pools ([`fleet`]). All state that has to
//! survive a process is stored in the table.

pub mod allowance;
pub mod batch;
pub mod blocks;
pub mod claim;
pub mod clock;
pub mod context;
pub mod duties;
pub mod fleet;
pub mod follow;
pub mod guard;
pub mod job_api;
pub mod keys;
pub mod member;
pub mod metrics;
pub mod node;
pub mod owner;
pub mod pauses;
pub mod permits;
pub mod ports;
pub mod registry;
pub mod rows;
pub mod standby;
pub mod submission;
pub mod supervise;
pub mod throttle;
pub mod timeout;
pub mod withdrawal;

pub use context::{Bounds, Ports, Settings};
pub use job_api::{Access, JobApi, Reply};
pub use metrics::Metrics;
pub use node::Node;
