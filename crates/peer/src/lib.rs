//! Messages between the processes, and the facts that they share.
//!
//! Every process keeps a copy of the facts. One process of a data centre reads them from the
//! platform; all exchange what the other lacks, so that they agree while the platform is away.

pub mod facts;
pub mod gossip;
pub mod link;
pub mod member;
pub mod reader;
pub mod row;
pub mod service;
pub mod versions;
pub mod wire;

pub use facts::{ActiveContract, Facts};
pub use gossip::Gossip;
pub use link::Links;
pub use member::{Member, Role};
pub use reader::Reader;
pub use service::{Answer, ForwardedRequest, RequestHandler, Server};
pub use versions::VersionedMap;
