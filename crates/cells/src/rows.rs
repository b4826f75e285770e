//! Rows that the cells store in the table, as JSON with one-letter keys.

use indexmap::{IndexMap, IndexSet};
use jobs::admit::Outlook;
use jobs::memory::Room;
use jobs::quota::Entry;
use jobs::wave::Stage;
use jobs::{Registration, Resources, State};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Lease on a cell.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Lease {
    /// Incarnation that holds the lease; empty once the lease has been released.
    #[serde(rename = "h")]
    pub holder: String,
    /// Number of the holder, from 1; incremented with each claim.
    #[serde(rename = "t")]
    pub term: u64,
}

/// Heartbeat of a process.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Counter that is incremented with each heartbeat.
    #[serde(rename = "n")]
    pub count: u64,
    /// Start of the process, in milliseconds since 1970; distinguishes its incarnations.
    #[serde(rename = "s")]
    pub start_time: u64,
    /// Whether the process claims cells.
    #[serde(rename = "o")]
    pub accepts_cells: bool,
    /// Processor time that the process may use, in thousandths of a core.
    #[serde(rename = "p", default)]
    pub cpu: u64,
    /// Data centre of the process's machine.
    #[serde(rename = "z", default)]
    pub centre: String,
}

/// Load of a cell, as its holder publishes it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Jobs that have not been started, by queue.
    #[serde(rename = "q")]
    pub pending: IndexMap<String, u64>,
    /// Jobs that have not ended.
    #[serde(rename = "j")]
    pub jobs: u64,
    /// Waiting work that can still end in time, in thousandths of a core times milliseconds.
    #[serde(rename = "w")]
    pub timely_backlog: u64,
    /// Waiting work that can still be useful, in thousandths of a core times milliseconds.
    #[serde(rename = "b", default)]
    pub backlog: u64,
    /// Capacity of the executors that accept tasks, in thousandths of a core.
    #[serde(rename = "r")]
    pub capacity: u64,
    /// Capacity of the machines that are moving into the pool, in thousandths of a core.
    #[serde(rename = "m", default)]
    pub incoming: u64,
    /// Time by which those machines arrive, by the table's clock in milliseconds.
    #[serde(rename = "d", default)]
    pub incoming_by: u64,
    /// Capacity in use, in thousandths of a core.
    #[serde(rename = "u", default)]
    pub used: u64,
    /// Capacity used by long-running tasks and by jobs that are in time, in thousandths of a core.
    #[serde(rename = "v", default)]
    pub useful: u64,
    /// Capacity that late jobs use or could use, in thousandths of a core.
    #[serde(rename = "e", default)]
    pub late: u64,
    /// Listed executors that are silent or excluded and not about to leave.
    #[serde(rename = "x", default)]
    pub unusable: usize,
    /// Rate at which work arrives, in thousandths of a core.
    #[serde(rename = "a", default)]
    pub arrival_rate: u64,
    /// Capacity for long-running tasks, in thousandths of a core.
    #[serde(rename = "l", default)]
    pub long_running: u64,
    /// Fewest executors on which the long-running tasks fit, by processor, memory and limits.
    #[serde(rename = "f", default)]
    pub min_executors: usize,
    /// What a new job has to wait for; none from a holder of an earlier version, or one that does not
    /// serve new jobs by their latest start.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub outlook: Option<Outlook>,
    /// Free memory for jobs of the holder; none from one of an earlier version.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub room: Option<Room>,
    /// Organisations that send beyond their weight.
    #[serde(rename = "y", default, skip_serializing_if = "IndexSet::is_empty")]
    pub beyond_share: IndexSet<String>,
    /// Time of publication, by the table's clock in milliseconds.
    #[serde(rename = "c")]
    pub published_at: u64,
    /// Time up to which the holder has read new jobs, by the table's clock in milliseconds.
    #[serde(rename = "k", default)]
    pub jobs_read_until: u64,
}

/// Maximum time without a publication of the load, in milliseconds; below the age up to which its
/// counts are returned to clients.
const LOAD_REFRESH_INTERVAL_MS: u64 = 1_000;

impl Load {
    /// Returns whether the load differs from the one published last, apart from its times, or that
    /// one is old.
    pub fn is_worth_publishing(&self, last: &Self) -> bool {
        let changed = Self {
            published_at: last.published_at,
            jobs_read_until: last.jobs_read_until,
            ..self.clone()
        } != *last;
        changed || self.published_at > last.published_at + LOAD_REFRESH_INTERVAL_MS
    }
}

/// State of a cell's pool, for the holder of the fleet's duties only.
///
/// The list of executors is long, and every process reads the load.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolState {
    /// Load of the cell.
    #[serde(rename = "l")]
    pub load: Load,
    /// Executors that can leave the pool at little cost, the cheapest first.
    #[serde(rename = "s", default)]
    pub spares: IndexSet<String>,
    /// Number of them that run nothing; they come first.
    #[serde(rename = "i", default)]
    pub idle: usize,
}

impl PoolState {
    /// Returns whether the state differs from the one published last, apart from its times, or that
    /// one is old.
    pub fn is_worth_publishing(&self, last: &Self) -> bool {
        (&self.spares, self.idle) != (&last.spares, last.idle)
            || self.load.is_worth_publishing(&last.load)
    }
}

/// Fence row of a cell in a part of the table: the holder that may write there.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// Epoch of the holder.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Number of the holder's transactions in the part.
    #[serde(rename = "n")]
    pub transactions: u64,
    /// Version up to which jobs of the part may have been started by any holder.
    #[serde(rename = "s", default = "all_versions")]
    pub startable_through: u64,
}

/// Default for a fence row without this field: every job of the part may have been started.
fn all_versions() -> u64 {
    u64::MAX
}

/// Stored in place of a state's name for a refused job.
const REFUSED: &str = "refused";
/// Stored in place of a state's name for a job that was cancelled before it was stored.
const WITHDRAWN: &str = "withdrawn";

/// State of a job, or the tombstone of a refused or withdrawn job.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct StateRow {
    /// Cell that runs the job; empty for a refused job.
    #[serde(rename = "c")]
    pub cell: String,
    /// Name of the state.
    #[serde(rename = "s")]
    state: String,
    /// Time of the first request for a refused job, by the table's clock in milliseconds.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    requested_at: Option<u64>,
    /// Time of the refusal, by the table's clock in milliseconds.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    refused_at: Option<u64>,
}

impl StateRow {
    /// Creates the row of a job in a cell.
    pub fn new(cell: &str, state: State) -> Self {
        Self { cell: cell.to_owned(), state: state.to_string(), ..Self::default() }
    }

    /// Creates the tombstone that prevents an earlier, delayed write from storing a refused job.
    ///
    /// It records the time of the first request, as the client may retry at any process, and that of
    /// the refusal, by the table's clock in milliseconds.
    pub fn refused(requested_at: u64, refused_at: u64) -> Self {
        Self {
            cell: String::new(),
            state: REFUSED.to_owned(),
            requested_at: Some(requested_at),
            refused_at: Some(refused_at),
        }
    }

    /// Creates the tombstone that keeps a job from being stored after its cancel.
    pub fn withdrawn(cell: &str) -> Self {
        Self { cell: cell.to_owned(), state: WITHDRAWN.to_owned(), ..Self::default() }
    }

    /// Returns whether the job was cancelled before it was stored.
    pub fn is_withdrawn(&self) -> bool {
        self.state == WITHDRAWN
    }

    /// Returns the time of the first request for a refused job, in milliseconds.
    pub fn requested_at(&self) -> Option<u64> {
        self.requested_at
    }

    /// Returns whether the job was refused after `time`, by the table's clock in milliseconds.
    pub fn is_refused_after(&self, time: u64) -> bool {
        self.is_refused() && self.refused_at.is_some_and(|at| at > time)
    }

    /// Returns whether the job was refused and has not been accepted since.
    pub fn is_refused(&self) -> bool {
        self.state == REFUSED
    }

    /// Returns the state; `None` if its name is unknown.
    pub fn state(&self) -> Option<State> {
        self.state.parse().ok()
    }
}

/// Executors to which holders of a cell may have sent orders.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Addresses by the executors' incarnations.
    #[serde(rename = "w")]
    pub workers: IndexMap<String, String>,
}

/// Size of an entry of the roster apart from its id and address, in bytes; ids and addresses have no
/// characters that JSON escapes.
const ROSTER_ENTRY_BYTES: usize = 6;

impl Roster {
    /// Adds executors in their order as long as the row has at most `limit` bytes, and returns their
    /// number.
    pub fn add_up_to(&mut self, limit: usize, executors: &[Registration]) -> usize {
        let mut bytes = encode(self).len();
        let fits = executors.iter().take_while(|executor| {
            bytes += executor.id.len() + executor.address.len() + ROSTER_ENTRY_BYTES;
            bytes <= limit
        });
        let entries: Vec<_> = fits.map(|e| (e.id.clone(), e.address.clone())).collect();
        let count = entries.len();
        self.workers.extend(entries);
        count
    }
}

/// Amounts of processor time, memory and accelerators, in the units of [`jobs::Resources`].
type Amounts = [u64; 3];

/// Entry of a cell for an organisation in a [`GrantRow`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Amounts that the organisation's tasks may use in the cell.
    #[serde(rename = "g")]
    granted: Amounts,
    /// Amounts that the cell needs, while it has been granted less.
    #[serde(rename = "w", default, skip_serializing_if = "is_nothing")]
    wanted: Amounts,
    /// Amounts that its next task, or gang, needs.
    #[serde(rename = "u", default, skip_serializing_if = "is_nothing")]
    unit: Amounts,
}

/// Whether all amounts are 0, which a row leaves out.
fn is_nothing(amounts: &Amounts) -> bool {
    *amounts == Amounts::default()
}

impl From<Entry> for Grant {
    fn from(entry: Entry) -> Self {
        let amounts = |r: Resources| [r.cpu, r.memory, r.gpus];
        Self {
            granted: amounts(entry.granted),
            wanted: amounts(entry.wanted),
            unit: amounts(entry.unit),
        }
    }
}

impl From<Grant> for Entry {
    fn from(grant: Grant) -> Self {
        let resources = |[cpu, memory, gpus]: Amounts| Resources { cpu, memory, gpus };
        Self {
            granted: resources(grant.granted),
            wanted: resources(grant.wanted),
            unit: resources(grant.unit),
        }
    }
}

/// Grants of a group of organisations.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRow {
    /// Epochs of the holders that last wrote entries, by cell.
    #[serde(rename = "e")]
    pub epochs: IndexMap<String, u64>,
    /// Entries by organisation and cell.
    #[serde(rename = "o")]
    pub organisations: IndexMap<String, IndexMap<String, Grant>>,
    /// Cells that may use grants which the row does not contain, since it replaces one that could
    /// not be read. No grant is raised before each of them has written its own again.
    #[serde(rename = "x", default, skip_serializing_if = "IndexSet::is_empty")]
    pub awaited: IndexSet<String>,
}

impl GrantRow {
    /// Returns the entry of a cell for an organisation.
    pub fn entry(&self, organisation: &str, cell: &str) -> Option<Entry> {
        self.organisations.get(organisation)?.get(cell).map(|grant| (*grant).into())
    }

    /// Returns the entries of all cells for an organisation.
    pub fn entries<'a>(&'a self, organisation: &str) -> impl Iterator<Item = (&'a str, Entry)> {
        let cells = self.organisations.get(organisation).into_iter().flatten();
        cells.map(|(cell, grant)| (cell.as_str(), (*grant).into()))
    }

    /// Removes all that the row holds of a cell.
    pub fn remove_cell(&mut self, cell: &str) {
        self.epochs.shift_remove(cell);
        self.awaited.shift_remove(cell);
        for cells in self.organisations.values_mut() {
            cells.shift_remove(cell);
        }
        self.organisations.retain(|_, cells| !cells.is_empty());
    }

    /// Returns all cells that the row names.
    pub fn cells(&self) -> IndexSet<String> {
        let entries = self.organisations.values().flat_map(IndexMap::keys);
        self.epochs.keys().chain(entries).chain(&self.awaited).cloned().collect()
    }
}

/// Duty of a machine: its maintenance in a wave, or its move to another pool.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duty {
    /// Name of the machine.
    #[serde(rename = "m", default)]
    pub machine: String,
    /// Number of the maintenance wave; 0 for a move.
    #[serde(rename = "w")]
    pub wave: u64,
    /// Pool to which the machine moves; empty for maintenance.
    #[serde(rename = "p", default)]
    pub pool: String,
    /// Name of the stage.
    #[serde(rename = "s")]
    pub stage: String,
    /// Incarnation of the machine's executor, which has to be emptied before the order.
    #[serde(rename = "x")]
    pub executor: String,
    /// Whether the order was accepted, which ends the executor.
    #[serde(rename = "g", default)]
    pub executor_ended: bool,
    /// Whether the cell's holder has emptied the executor.
    #[serde(rename = "e", default)]
    pub emptied: bool,
    /// Time just before the order was sent, by the table's clock in milliseconds.
    #[serde(rename = "t", default)]
    pub ordered_at: u64,
    /// Epoch of the holder that sent the order.
    #[serde(rename = "o", default)]
    pub epoch: u64,
}

impl Duty {
    /// Returns the stage of the duty; an unknown name counts as not begun.
    pub fn stage(&self) -> Stage {
        self.stage.parse().unwrap_or_default()
    }

    /// Returns the duty with another executor of the machine, which is to be emptied.
    ///
    /// The last order stays on record, since it may have been carried out.
    pub fn empty_again(&self, executor: &str) -> Self {
        Self {
            stage: Stage::Emptying.to_string(),
            executor: executor.to_owned(),
            executor_ended: false,
            emptied: false,
            ..self.clone()
        }
    }

    /// Returns whether the next order may find its work done.
    ///
    /// The platform accepts such an order and does nothing, so that the executor lives on.
    pub fn may_be_carried_out(&self) -> bool {
        self.ordered_at > 0
    }

    /// Returns whether the machine is being emptied or is down, so its executor gets no new tasks.
    pub fn is_in_progress(&self) -> bool {
        matches!(self.stage(), Stage::Emptying | Stage::Down)
    }
}

/// Encodes a row as JSON.
pub fn encode<T: Serialize>(row: &T) -> Vec<u8> {
    serde_json::to_vec(row).expect("plain data can always be encoded as JSON")
}

/// Decodes a row from JSON.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    serde_json::from_slice(bytes).map_err(|error| error.to_string())
}
