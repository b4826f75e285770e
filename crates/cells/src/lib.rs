//! Keeps jobs in the platform's table and runs their cells.
//!
//! Every process takes jobs from clients ([`job_api`]). Each cell, the jobs of one pool, has one
//! holder at a time ([`member`]), which runs its scheduler ([`owner`]). One process holds the
//! fleet's duties ([`fleet`]). What has to outlive a process is in the table.

pub mod claim;
pub mod clock;
pub mod context;
pub mod fleet;
pub mod follow;
pub mod job_api;
pub mod keys;
pub mod member;
pub mod metrics;
pub mod node;
pub mod owner;
pub mod patience;
pub mod ports;
pub mod rows;
pub mod submission;

pub use context::{Bounds, Ports, Settings};
pub use job_api::{JobApi, Reply};
pub use metrics::Metrics;
pub use node::Node;
