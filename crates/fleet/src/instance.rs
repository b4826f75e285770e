//! Backend server instances, their executors and the platform's instance list.

use std::net::SocketAddr;

use strum::{Display, EnumString, VariantNames};

/// Backend server instance as recorded in its row of the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Name that the platform assigned.
    pub id: String,
    /// Pool to which the instance belongs; it is always in exactly one.
    pub pool: String,
    /// Current phase.
    pub phase: Phase,
    /// Target pool while the instance is being moved.
    pub target: Option<String>,
    /// Reason for the latest change.
    pub reason: String,
}

/// Phase of an instance during a move between pools or a maintenance stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum Phase {
    /// Accepts requests.
    Serving,
    /// Accepts no new requests and finishes those in flight.
    Draining,
    /// Was seen idle after the drain, and the platform was ordered to reboot it.
    Rebooting,
}

/// Entry of the platform's instance list, which may be out of date.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedInstance {
    /// Name of the instance.
    pub id: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre of the instance.
    pub centre: String,
    /// Rack of the instance, a failure domain.
    pub rack: String,
    /// Pool for which the instance was started.
    pub pool: String,
    /// Incarnation, which increases with every start; a later one supersedes an earlier one.
    pub incarnation: u64,
    /// State that the platform reports.
    pub state: ListState,
    /// Executors of the instance.
    pub executors: Vec<Executor>,
}

/// Executor of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Executor {
    /// Index within the instance, from 0.
    pub index: u32,
    /// Maximum number of requests that run at once.
    pub slots: u32,
    /// Maximum number of connections.
    pub connections: u32,
}

/// State of an instance in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum ListState {
    /// The instance is running.
    Live,
    /// The instance was asked to stop.
    Leaving,
}
