//! Wire types of the platform's HTTP protocol, encoded as JSON.

use std::net::SocketAddr;

use fleet::{Executor, ListState, ListedInstance};
use serde::{Deserialize, Serialize};

use crate::table::{Row, Txn};

/// Body of `POST /table/read`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ReadRequest {
    /// Keys of the rows to read.
    #[serde(default)]
    pub keys: Vec<String>,
    /// Prefix of the rows to scan, if any.
    #[serde(default)]
    pub prefix: Option<String>,
}

/// Body of the response to `POST /table/read`, and of a conflict response to a commit.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Rows {
    /// Rows in the order of the requested keys; those of a scan are in key order.
    pub rows: Vec<WireRow>,
}

/// Row of the table.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireRow {
    /// Key of the row.
    pub key: String,
    /// Number of the commit that wrote the row; 0 if the row is absent.
    pub version: u64,
    /// JSON text; empty if the row is absent.
    pub value: String,
}

/// Body of `POST /table/commit`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CommitRequest {
    /// Id of the transaction.
    pub id: String,
    /// Conditions, as keys and required versions.
    pub expect: Vec<(String, u64)>,
    /// Rows to write, as keys and JSON texts.
    pub puts: Vec<(String, String)>,
    /// Keys of the rows to remove.
    pub removes: Vec<String>,
}

/// Body of the response to a successful commit.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CommitResponse {
    /// Number of the commit.
    pub version: u64,
}

/// Body of `POST /instances/{id}/drain`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct DrainRequest {
    /// Incarnation for which the order is meant; `None` for any.
    #[serde(default)]
    pub incarnation: Option<u64>,
}

/// Body of `POST /instances/{id}/reboot`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RebootRequest {
    /// Incarnation for which the order is meant; `None` for any.
    #[serde(default)]
    pub incarnation: Option<u64>,
    /// Pool in which the instance starts after the reboot.
    pub pool: String,
}

/// Entry of the instance list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireListedInstance {
    /// Name of the instance.
    pub id: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre.
    pub centre: String,
    /// Rack.
    pub rack: String,
    /// Pool.
    pub pool: String,
    /// Incarnation, which increases with every start.
    pub incarnation: u64,
    /// Whether the instance was asked to stop.
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
    fn from(listed: WireListedInstance) -> Self {
        let state = if listed.leaving { ListState::Leaving } else { ListState::Live };
        let executors = (0..).zip(listed.executors);
        Self {
            id: listed.id,
            address: listed.address,
            centre: listed.centre,
            rack: listed.rack,
            pool: listed.pool,
            incarnation: listed.incarnation,
            state,
            executors: executors
                .map(|(index, (slots, connections))| Executor { index, slots, connections })
                .collect(),
        }
    }
}

impl From<&ListedInstance> for WireListedInstance {
    fn from(listed: &ListedInstance) -> Self {
        Self {
            id: listed.id.clone(),
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
