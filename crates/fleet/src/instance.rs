//! Instances, their executors, and what the platform's list says of them.

use std::net::SocketAddr;

use strum::{Display, EnumString, VariantNames};

/// A backend server instance as the table's row records it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Name that the platform gave it.
    pub id: String,
    /// The one pool it belongs to.
    pub pool: String,
    /// Step of its life that was last written.
    pub phase: Phase,
    /// Pool it moves to, while it moves.
    pub target: Option<String>,
    /// Why the last step was taken.
    pub reason: String,
}

/// Step of an instance's life between two pools or through a maintenance stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum Phase {
    /// Takes requests.
    Serving,
    /// Takes no new requests and finishes those it has.
    Draining,
    /// Was seen idle; the platform was told to reboot it.
    Rebooting,
}

/// One line of the platform's instance list, which lags.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedInstance {
    /// Name of the instance.
    pub id: String,
    /// Address that takes requests.
    pub address: SocketAddr,
    /// Data centre it stands in.
    pub centre: String,
    /// Rack it stands in, a failure domain.
    pub rack: String,
    /// Pool it was started for.
    pub pool: String,
    /// Count of its starts; a later one replaces the earlier.
    pub incarnation: u64,
    /// Whether the platform sees it live or leaving.
    pub state: ListState,
    /// Executors that it runs.
    pub executors: Vec<Executor>,
}

/// One executor of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Executor {
    /// Number within its instance, from 0.
    pub index: u32,
    /// Requests it runs at once.
    pub slots: u32,
    /// Connections it takes.
    pub connections: u32,
}

/// State in the platform's instance list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum ListState {
    /// Runs.
    Live,
    /// Was asked to stop.
    Leaving,
}
