//! Client of the platform's services: table, object store, instance list and pools.
//!
//! The traits are what the rest of the product sees; [`http`] speaks the published protocol.

pub mod error;
pub mod http;
pub mod keys;
pub mod table;
pub mod wire;

pub use error::{CommitError, Error};
pub use http::HttpClient;
pub use table::{Instances, Objects, Row, Table, TaggedList, Txn};
