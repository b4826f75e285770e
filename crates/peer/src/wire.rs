//! Wire types of the messages between processes.

use std::net::SocketAddr;

use fleet::{Executor, Instance, ListState, ListedInstance};
use route::{Evidence, ServerState};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::member::Member;

/// A field holds a word that this version does not know.
#[derive(Debug, Snafu)]
#[snafu(display("unknown word '{word}': {source}"))]
pub struct UnknownValueError {
    word: String,
    source: strum::ParseError,
}

/// What one process tells another, and gets back.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GossipMessage {
    /// Sender.
    pub sender: WireMember,
    /// Sender's logical clock.
    pub clock: u64,
    /// Whether the platform does not answer the sender.
    pub platform_unreachable: bool,
    /// Whether this tells everything that the receiver lacks, or only the sender's own sightings.
    pub complete: bool,
    /// Whether the receiver should tell everything in return.
    pub reply_complete: bool,
    /// What the sender holds.
    pub watermarks: Watermarks,
    /// What the receiver held when this was put together.
    pub base: Watermarks,
    /// Contracts that the receiver lacks.
    pub contracts: Vec<WireContract>,
    /// Instance rows that the receiver lacks.
    pub instances: Vec<WireInstance>,
    /// Budget rows that the receiver lacks.
    pub budgets: Vec<WireBudget>,
    /// Lines of the platform's lists that the receiver lacks.
    pub list_entries: Vec<WireListEntry>,
    /// Sightings of leaving servers.
    pub evidence: Vec<WireEvidence>,
    /// Members that the sender knows, when the receiver's set differs.
    pub members: Vec<WireMember>,
}

/// Stamps up to which a process holds everything.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watermarks {
    /// Of contracts.
    pub contracts: u64,
    /// Of instance rows and budgets.
    pub fleet: u64,
    /// Of the platform's lists, by data centre.
    pub lists: Vec<(String, u64)>,
    /// Digest of the set of members.
    pub members_digest: u64,
}

/// A contract or its tombstone.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireContract {
    /// Customer.
    pub customer: String,
    /// Revision of the change.
    pub revision: u64,
    /// YAML text; absent for a deleted contract.
    pub text: Option<String>,
}

/// A budget's row.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireBudget {
    /// Customer.
    pub customer: String,
    /// Version of the row.
    pub stamp: u64,
    /// JSON text of the row.
    pub text: String,
}

/// An instance row.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireInstance {
    /// Name of the instance.
    pub id: String,
    /// Version of the row.
    pub stamp: u64,
    /// Pool.
    pub pool: String,
    /// Phase by name.
    pub phase: String,
    /// Pool it moves to.
    pub target: Option<String>,
    /// Reason of the last step.
    pub reason: String,
}

/// A line of the platform's list, or its removal.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireListEntry {
    /// Data centre of the list.
    pub centre: String,
    /// Name of the instance.
    pub id: String,
    /// When the line changed.
    pub stamp: u64,
    /// The line; absent when it went off the list.
    pub line: Option<WireListedInstance>,
}

/// What the platform's list says of an instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireListedInstance {
    address: SocketAddr,
    centre: String,
    rack: String,
    pool: String,
    incarnation: u64,
    leaving: bool,
    executors: Vec<(u32, u32)>,
}

/// A sighting of a server.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireEvidence {
    /// Name of the instance.
    pub id: String,
    /// Incarnation that was seen.
    pub incarnation: u64,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// A member, in messages and in its own row.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireMember {
    /// Name of the process.
    pub name: String,
    /// Role by name.
    pub role: String,
    /// Data centre.
    pub centre: String,
    /// Time of its start.
    pub incarnation: u64,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address for processes.
    pub peer: SocketAddr,
}

impl Watermarks {
    /// Stamp of a data centre's list.
    pub fn list(&self, centre: &str) -> u64 {
        self.lists.iter().find(|(name, _)| name == centre).map_or(0, |(_, mark)| *mark)
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
            role: member.role.parse().context(UnknownValueSnafu { word: member.role.as_str() })?,
            centre: member.centre,
            incarnation: member.incarnation,
            listen: member.listen,
            admin: member.admin,
            peer: member.peer,
        })
    }
}

impl WireInstance {
    /// Gives a row its wire form.
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
            phase: row.phase.parse().context(UnknownValueSnafu { word: row.phase.as_str() })?,
            target: row.target,
            reason: row.reason,
        })
    }
}

impl From<&ListedInstance> for WireListedInstance {
    fn from(line: &ListedInstance) -> Self {
        Self {
            address: line.address,
            centre: line.centre.clone(),
            rack: line.rack.clone(),
            pool: line.pool.clone(),
            incarnation: line.incarnation,
            leaving: line.state == ListState::Leaving,
            executors: line.executors.iter().map(|each| (each.slots, each.connections)).collect(),
        }
    }
}

impl WireListedInstance {
    /// Gives the line its domain form under the name of its instance.
    pub fn named(self, id: &str) -> ListedInstance {
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
    fn from(seen: &WireEvidence) -> Self {
        let state = if seen.leaving { ServerState::Leaving } else { ServerState::Serving };
        Self { incarnation: seen.incarnation, state }
    }
}
