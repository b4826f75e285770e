//! Wire types of the messages between processes.
//!
//! They are encoded by position (bincode), so the order of the fields must not change.
//! [`WireMember`] is also stored as JSON, so the names of its fields must not change either.
//! Renamed fields keep their earlier names in the serialized form, should the messages ever be sent
//! in a self-describing format.

use std::net::SocketAddr;

use fleet::{Executor, Instance, ListState, ListedInstance};
use route::{Evidence, ServerState};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::member::Member;

/// Error for a field with a value that this version does not define.
#[derive(Debug, Snafu)]
#[snafu(display("unknown value '{value}': {source}"))]
pub struct UnknownValueError {
    value: String,
    source: strum::ParseError,
}

/// Message of the gossip protocol, both request and reply.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GossipMessage {
    /// Member that sent the message.
    #[serde(rename = "from")]
    pub sender: WireMember,
    /// Logical clock of the sender's timeline.
    pub clock: u64,
    /// Whether the platform did not answer the sender's last read.
    #[serde(rename = "away")]
    pub platform_unreachable: bool,
    /// Whether the message holds everything that the receiver lacks.
    ///
    /// Any other message holds only facts above the sender's own watermarks, and observations.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// Whether the reply should be a complete message.
    #[serde(rename = "want")]
    pub reply_complete: bool,
    /// Watermarks of the sender.
    #[serde(rename = "have")]
    pub watermarks: Watermarks,
    /// Watermarks above which the message holds all of the sender's facts.
    ///
    /// In a complete message, these are the receiver's watermarks as last known to the sender.
    pub base: Watermarks,
    /// Contracts above `base`.
    pub contracts: Vec<WireContract>,
    /// Instance rows above `base`.
    pub instances: Vec<WireInstance>,
    /// Budget rows above `base`.
    pub budgets: Vec<WireBudget>,
    /// Entries of the platform's instance lists above `base`.
    #[serde(rename = "lines")]
    pub list_entries: Vec<WireListEntry>,
    /// Observations of servers that the platform's lists do not show yet.
    pub evidence: Vec<WireEvidence>,
    /// Other members known to the sender.
    ///
    /// Empty if the digests of the member sets are equal, or the message is not complete.
    pub members: Vec<WireMember>,
}

/// Stamps up to which a process has all facts, by kind of fact.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watermarks {
    /// Revision up to which all contracts are known.
    pub contracts: u64,
    /// Row version up to which all instance rows and budgets are known.
    #[serde(rename = "work")]
    pub fleet: u64,
    /// Stamp up to which each data centre's instance list is known.
    pub lists: Vec<(String, u64)>,
    /// Digest of the set of known members.
    #[serde(rename = "members")]
    pub members_digest: u64,
}

/// Contract or its tombstone.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireContract {
    /// Customer.
    pub customer: String,
    /// Revision of the contract change.
    pub revision: u64,
    /// YAML text; `None` if the contract was deleted.
    pub text: Option<String>,
}

/// Row of a customer's availability budget.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireBudget {
    /// Customer.
    pub customer: String,
    /// Version of the row.
    pub stamp: u64,
    /// JSON text of the row.
    pub text: String,
}

/// Row of an instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireInstance {
    /// Name of the instance.
    pub id: String,
    /// Version of the row.
    pub stamp: u64,
    /// Pool.
    pub pool: String,
    /// Name of the phase.
    pub phase: String,
    /// Target pool while the instance is being moved.
    pub target: Option<String>,
    /// Reason for the latest change.
    pub reason: String,
}

/// Entry of a data centre's instance list, or its removal.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireListEntry {
    /// Data centre of the list.
    pub centre: String,
    /// Name of the instance.
    pub id: String,
    /// Stamp of the change, derived from the reader's wall clock in milliseconds.
    pub stamp: u64,
    /// Listed data; `None` if the instance was removed from the list.
    #[serde(rename = "line")]
    pub listed: Option<WireListedInstance>,
}

/// Data of an instance in the platform's list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireListedInstance {
    address: SocketAddr,
    centre: String,
    rack: String,
    pool: String,
    incarnation: u64,
    leaving: bool,
    /// Slots and connections of each executor.
    executors: Vec<(u32, u32)>,
}

/// Observation of a backend server.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireEvidence {
    /// Name of the instance.
    pub id: String,
    /// Observed incarnation.
    pub incarnation: u64,
    /// Whether the server accepts no new requests.
    pub leaving: bool,
}

/// Member, in messages and in its row of the platform's table.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireMember {
    /// Name of the process.
    pub name: String,
    /// Name of the role.
    pub role: String,
    /// Data centre.
    pub centre: String,
    /// Start time in milliseconds since 1970; distinguishes earlier processes of the same name.
    pub incarnation: u64,
    /// Address for callers' requests.
    pub listen: SocketAddr,
    /// Address for operators' requests.
    pub admin: SocketAddr,
    /// Address for messages from other members.
    pub peer: SocketAddr,
}

impl Watermarks {
    /// Returns the watermark of a data centre's list; 0 if it has none.
    pub fn list(&self, centre: &str) -> u64 {
        self.lists.iter().find(|(name, _)| name == centre).map_or(0, |(_, watermark)| *watermark)
    }
}

impl From<&Member> for WireMember {
    fn from(member: &Member) -> Self {
        Self {
            name: member.name.clone(),
            role: member.role.to_string(),
            centre: member.centre.clone(),
            incarnation: member.incarnation,
            listen: member.listen,
            admin: member.admin,
            peer: member.peer,
        }
    }
}

impl TryFrom<WireMember> for Member {
    type Error = UnknownValueError;

    fn try_from(member: WireMember) -> Result<Self, UnknownValueError> {
        Ok(Self {
            name: member.name,
            role: member.role.parse().context(UnknownValueSnafu { value: member.role.as_str() })?,
            centre: member.centre,
            incarnation: member.incarnation,
            listen: member.listen,
            admin: member.admin,
            peer: member.peer,
        })
    }
}

impl WireInstance {
    /// Converts an instance to its wire form, with the version of its row as the stamp.
    pub fn new(stamp: u64, row: &Instance) -> Self {
        Self {
            id: row.id.clone(),
            stamp,
            pool: row.pool.clone(),
            phase: row.phase.to_string(),
            target: row.target.clone(),
            reason: row.reason.clone(),
        }
    }
}

impl TryFrom<WireInstance> for Instance {
    type Error = UnknownValueError;

    fn try_from(row: WireInstance) -> Result<Self, UnknownValueError> {
        Ok(Self {
            id: row.id,
            pool: row.pool,
            phase: row.phase.parse().context(UnknownValueSnafu { value: row.phase.as_str() })?,
            target: row.target,
            reason: row.reason,
        })
    }
}

impl From<&ListedInstance> for WireListedInstance {
    fn from(listed: &ListedInstance) -> Self {
        Self {
            address: listed.address,
            centre: listed.centre.clone(),
            rack: listed.rack.clone(),
            pool: listed.pool.clone(),
            incarnation: listed.incarnation,
            leaving: listed.state == ListState::Leaving,
            executors: listed
                .executors
                .iter()
                .map(|executor| (executor.slots, executor.connections))
                .collect(),
        }
    }
}

impl WireListedInstance {
    /// Converts the data to a list entry of the named instance.
    pub fn into_listed_instance(self, id: &str) -> ListedInstance {
        let executors = (0..).zip(self.executors);
        ListedInstance {
            id: id.to_owned(),
            address: self.address,
            centre: self.centre,
            rack: self.rack,
            pool: self.pool,
            incarnation: self.incarnation,
            state: if self.leaving { ListState::Leaving } else { ListState::Live },
            executors: executors
                .map(|(index, (slots, connections))| Executor { index, slots, connections })
                .collect(),
        }
    }
}

impl From<&WireEvidence> for Evidence {
    fn from(observed: &WireEvidence) -> Self {
        let state = if observed.leaving { ServerState::Leaving } else { ServerState::Serving };
        Self { incarnation: observed.incarnation, state }
    }
}
