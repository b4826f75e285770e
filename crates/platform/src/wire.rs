//! Wire types of the platform's protocol.

use std::net::SocketAddr;

use fleet::{Executor, ListState, ListedInstance};
use serde::{Deserialize, Serialize};

use crate::table::{Row, Txn};

/// Body of `POST /table/read`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ReadRequest {
    /// Keys to read.
    #[serde(default)]
    pub keys: Vec<String>,
    /// Prefix to scan.
    #[serde(default)]
    pub prefix: Option<String>,
}

/// Answer to `POST /table/read`, and body of a conflict.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Rows {
    /// Rows in key order.
    pub rows: Vec<WireRow>,
}

/// One row.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireRow {
    /// Key of the row.
    pub key: String,
    /// Version, 0 when absent.
    pub version: u64,
    /// Value, empty when absent.
    pub value: String,
}

/// Body of `POST /table/commit`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CommitRequest {
    /// Id of the write.
    pub id: String,
    /// Conditions.
    pub expect: Vec<(String, u64)>,
    /// Rows to write.
    pub puts: Vec<(String, String)>,
    /// Rows to remove.
    pub removes: Vec<String>,
}

/// Answer to a commit that was taken.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CommitResponse {
    /// Number of the commit.
    pub version: u64,
}

/// Body of `POST /instances/{id}/drain`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct DrainRequest {
    /// Incarnation that the order is for; any when absent.
    #[serde(default)]
    pub incarnation: Option<u64>,
}

/// Body of `POST /instances/{id}/reboot`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RebootRequest {
    /// Incarnation that the order is for; any when absent.
    #[serde(default)]
    pub incarnation: Option<u64>,
    /// Pool to come back in.
    pub pool: String,
}

/// One line of the instance list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireListedInstance {
    /// Name of the instance.
    pub id: String,
    /// Address that takes requests.
    pub address: SocketAddr,
    /// Data centre.
    pub centre: String,
    /// Rack.
    pub rack: String,
    /// Pool.
    pub pool: String,
    /// Count of starts.
    pub incarnation: u64,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Slots and connections of each executor.
    pub executors: Vec<(u32, u32)>,
}

impl From<&Txn> for CommitRequest {
    fn from(txn: &Txn) -> Self {
        Self {
            id: txn.id.clone(),
            expect: txn.expect.clone(),
            puts: txn.puts.clone(),
            removes: txn.removes.clone(),
        }
    }
}

impl From<WireRow> for Row {
    fn from(row: WireRow) -> Self {
        Self { key: row.key, version: row.version, value: row.value }
    }
}

impl From<WireListedInstance> for ListedInstance {
    fn from(line: WireListedInstance) -> Self {
        let state = if line.leaving { ListState::Leaving } else { ListState::Live };
        let executors = (0..).zip(line.executors);
        Self {
            id: line.id,
            address: line.address,
            centre: line.centre,
            rack: line.rack,
            pool: line.pool,
            incarnation: line.incarnation,
            state,
            executors: executors
                .map(|(index, (slots, connections))| Executor { index, slots, connections })
                .collect(),
        }
    }
}

impl From<&ListedInstance> for WireListedInstance {
    fn from(line: &ListedInstance) -> Self {
        Self {
            id: line.id.clone(),
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
