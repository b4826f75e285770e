//! Forms of the rows that the cells keep.

use indexmap::IndexMap;
use jobs::State;
use jobs::wave::Stage;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Who holds a cell.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Lease {
    /// Process; empty after a planned stop.
    #[serde(rename = "h")]
    pub holder: String,
    /// Number of the holder, counted from 1.
    #[serde(rename = "t")]
    pub term: u64,
}

/// Sign of life of a process.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Rises with each beat.
    #[serde(rename = "n")]
    pub count: u64,
    /// Start of the process, so that a restarted one is another.
    #[serde(rename = "s")]
    pub start_time: u64,
    /// Whether it takes cells.
    #[serde(rename = "o")]
    pub accepts_cells: bool,
    /// Processor that it may use, in thousandths of a core.
    #[serde(rename = "p", default)]
    pub cpu: u64,
}

/// Load of a cell.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Jobs that wait for their first start, by queue.
    #[serde(rename = "q")]
    pub pending: IndexMap<String, u64>,
    /// Jobs that have not ended.
    #[serde(rename = "j")]
    pub jobs: u64,
    /// Work that waits and can still be in time, in thousandths of a core times milliseconds.
    #[serde(rename = "w")]
    pub timely_backlog: u64,
    /// Work that waits and can still be of use, in thousandths of a core times milliseconds.
    #[serde(rename = "b", default)]
    pub backlog: u64,
    /// Room of the executors that take work, in thousandths of a core.
    #[serde(rename = "r")]
    pub capacity: u64,
    /// Room of the machines that were ordered into the pool and are not there yet, in thousandths of
    /// a core.
    #[serde(rename = "m", default)]
    pub incoming: u64,
    /// The table's clock by which they are there, in milliseconds.
    #[serde(rename = "d", default)]
    pub incoming_by: u64,
    /// Room that is in use, in thousandths of a core.
    #[serde(rename = "u", default)]
    pub used: u64,
    /// Part of it for lasting tasks and jobs in time, in thousandths of a core.
    #[serde(rename = "v", default)]
    pub useful: u64,
    /// Rate at which work arrives, in thousandths of a core.
    #[serde(rename = "a", default)]
    pub arrival_rate: u64,
    /// Room of lasting tasks, in thousandths of a core.
    #[serde(rename = "l", default)]
    pub lasting: u64,
    /// Fewest executors on which the lasting tasks can stand.
    #[serde(rename = "f", default)]
    pub min_executors: usize,
    /// Executors that could leave at little cost, the best first.
    #[serde(rename = "s", default)]
    pub spares: Vec<String>,
    /// Number of those that run nothing.
    #[serde(rename = "i", default)]
    pub idle: usize,
    /// The table's clock when it was written, in milliseconds.
    #[serde(rename = "c")]
    pub published_at: u64,
    /// The table's clock up to which the cell knows of new jobs, in milliseconds.
    #[serde(rename = "k", default)]
    pub jobs_read_until: u64,
}

/// Mark of a holder in a part.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// Epoch of the holder.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Its transactions in the part so far.
    #[serde(rename = "n")]
    pub transactions: u64,
    /// Version up to which jobs of the part may have been begun, by any holder.
    #[serde(rename = "s", default = "all_versions")]
    pub startable_through: u64,
}

/// A mark that does not tell which jobs may have begun allows for all of them.
fn all_versions() -> u64 {
    u64::MAX
}

/// Stands in the place of a state for a job that was refused.
const REFUSED: &str = "refused";

/// State of a job.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct StateRow {
    /// Cell that has it.
    #[serde(rename = "c")]
    pub cell: String,
    /// Name of its state.
    #[serde(rename = "s")]
    state: String,
    /// Platform time at which the client of a refused job first asked for it, in milliseconds.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    requested_at: Option<u64>,
}

impl StateRow {
    /// The row of a job in a cell.
    pub fn new(cell: &str, state: State) -> Self {
        Self { cell: cell.to_owned(), state: state.to_string(), requested_at: None }
    }

    /// The row that keeps a refused job from being stored by an earlier, delayed write.
    ///
    /// It tells when the job was first asked for, as its client may come again, to any process.
    pub fn refused(requested_at: u64) -> Self {
        Self { cell: String::new(), state: REFUSED.to_owned(), requested_at: Some(requested_at) }
    }

    /// Platform time at which a refused job was first asked for, in milliseconds.
    pub fn requested_at(&self) -> Option<u64> {
        self.requested_at
    }

    /// Whether the job was refused and has not come again.
    pub fn is_refused(&self) -> bool {
        self.state == REFUSED
    }

    /// The state, where it can be read.
    pub fn state(&self) -> Option<State> {
        self.state.parse().ok()
    }
}

/// Executors of a cell.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Addresses by incarnation.
    #[serde(rename = "w")]
    pub workers: IndexMap<String, String>,
}

/// What is going on with a machine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duty {
    /// Machine.
    #[serde(rename = "m", default)]
    pub machine: String,
    /// Wave that it belongs to; 0 for a move.
    #[serde(rename = "w")]
    pub wave: u64,
    /// Pool that it moves to; empty for maintenance.
    #[serde(rename = "p", default)]
    pub pool: String,
    /// Name of its stage.
    #[serde(rename = "s")]
    pub stage: String,
    /// Executor that has to be empty.
    #[serde(rename = "x")]
    pub executor: String,
    /// Whether the order was taken, which ends the executor.
    #[serde(rename = "g", default)]
    pub executor_ended: bool,
    /// Whether the cell has emptied it.
    #[serde(rename = "e", default)]
    pub emptied: bool,
    /// The table's clock when an order was about to go out, in milliseconds.
    #[serde(rename = "t", default)]
    pub ordered_at: u64,
    /// Epoch of the holder that gave the order.
    #[serde(rename = "o", default)]
    pub epoch: u64,
}

impl Duty {
    /// Stage of the duty; one that can't be read counts as not begun.
    pub fn stage(&self) -> Stage {
        self.stage.parse().unwrap_or_default()
    }

    /// Whether its executor may get no new tasks.
    pub fn is_in_progress(&self) -> bool {
        matches!(self.stage(), Stage::Emptying | Stage::Down)
    }
}

/// Writes a row.
pub fn encode<T: Serialize>(row: &T) -> Vec<u8> {
    serde_json::to_vec(row).expect("rows are plain data, which always has a JSON form")
}

/// Reads a row, with the reason when it can't be read.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    serde_json::from_slice(bytes).map_err(|error| error.to_string())
}
