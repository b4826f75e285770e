//! Client of the platform's services: transactional table, object store and instances.
//!
//! The product uses the services through the traits of [`table`]; [`http`] implements them with the
//! platform's published HTTP protocol.

pub mod error;
pub mod http;
pub mod keys;
pub mod table;
pub mod wire;

pub use error::{CommitError, Error};
pub use http::HttpClient;
pub use table::{Instances, Objects, Row, Table, TaggedList, Txn};
