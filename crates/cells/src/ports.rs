//! What the cells ask of the platform and of executors, as traits.

use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use jobs::cell::StartOutcome;
use jobs::wave::Wave;
use jobs::{Configuration, Look, Registration, TaskId};
use snafu::Snafu;

/// Place of a row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Place {
    /// Table.
    pub table: String,
    /// Part; all rows of a transaction share it.
    pub part: String,
    /// Key.
    pub key: String,
}

impl Place {
    /// A place by its three names.
    pub fn new(table: &str, part: &str, key: &str) -> Self {
        Self { table: table.to_owned(), part: part.to_owned(), key: key.to_owned() }
    }
}

/// A row as the table holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Where it is.
    pub place: Place,
    /// Number of the transaction that wrote it; 0 for a row that is not there.
    pub version: u64,
    /// Its bytes; `None` for a row that is not there or was removed.
    pub value: Option<Vec<u8>>,
}

/// Rows as of one moment.
#[derive(Debug, Clone, Default)]
pub struct Page {
    /// Rows in key order, or changes in the order in which they were made.
    pub rows: Vec<Row>,
    /// Whether the range goes on after them.
    pub more: bool,
    /// Newest version when they were read.
    pub version: u64,
    /// The table's steady clock, in milliseconds.
    pub clock: u64,
}

/// A transaction: all of it or nothing.
#[derive(Debug, Clone, Default)]
pub struct Transaction {
    /// Versions that rows must have; 0 for a row that must not be there.
    pub expect: Vec<(Place, u64)>,
    /// Rows to write.
    pub writes: Vec<(Place, Vec<u8>)>,
    /// Rows to remove.
    pub removes: Vec<Place>,
}

/// What a committed transaction gives back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Committed {
    /// Its number, which is the version of the rows that it wrote.
    pub version: u64,
    /// The table's steady clock, in milliseconds.
    pub clock: u64,
}

/// A transaction that is not known to be committed.
#[derive(Debug, Snafu)]
#[snafu(module)]
pub enum TransactionError {
    /// A condition did not hold; nothing was written.
    #[snafu(display("a row was changed by another writer"))]
    Conflict {
        /// Rows of the conditions, as they are now.
        rows: Vec<Row>,
    },
    /// Nothing was written and nothing will be.
    #[snafu(display("the table refused: {detail}"))]
    Refused {
        /// What was seen.
        detail: String,
    },
    /// It may have been written, or may be yet.
    #[snafu(display("the table did not answer: {detail}"))]
    Unknown {
        /// What was seen.
        detail: String,
    },
}

/// A read without a usable answer.
#[derive(Debug, Snafu)]
#[snafu(module)]
pub enum ReadError {
    /// The changes that were asked for are no longer kept.
    #[snafu(display("the table has dropped that part of its history"))]
    HistoryDropped,
    /// No usable answer.
    #[snafu(display("the table is away: {detail}"))]
    Unavailable {
        /// What was seen.
        detail: String,
    },
}

/// The platform's transactional table.
pub trait Store {
    /// Applies a transaction.
    fn apply<'a>(
        &'a self,
        change: &'a Transaction,
    ) -> LocalBoxFuture<'a, Result<Committed, TransactionError>>;

    /// Reads rows of a part from a key on, `limit` at most.
    fn read<'a>(
        &'a self,
        from: &'a Place,
        limit: usize,
    ) -> LocalBoxFuture<'a, Result<Page, ReadError>>;

    /// Lists the parts of a table after a name.
    fn parts<'a>(
        &'a self,
        table: &'a str,
        after: &'a str,
    ) -> LocalBoxFuture<'a, Result<Vec<String>, ReadError>>;

    /// Waits for changes of a table after a version.
    fn feed<'a>(
        &'a self,
        table: &'a str,
        after: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<Page, ReadError>>;
}

/// One incarnation of an executor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Executor {
    /// Address for orders.
    pub address: String,
    /// Id of the incarnation that is meant.
    pub id: String,
}

/// A start.
#[derive(Debug, Clone)]
pub struct StartOrder<'a> {
    /// Task.
    pub task: &'a TaskId,
    /// Number of the run.
    pub run: u64,
    /// Text for the task.
    pub payload: &'a str,
    /// End of the executor's lease, by its own clock in milliseconds.
    pub lease_end: u64,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: &'a str,
    /// Permission of the adviser; empty for none.
    pub ticket: &'a str,
}

/// What a look asks for.
#[derive(Debug, Clone, Copy)]
pub struct PollRequest {
    /// End of the executor's lease, by its own clock in milliseconds.
    pub lease_end: Option<u64>,
    /// Ends up to this number are durable.
    pub acked_through: u64,
    /// How long the executor may wait for an end.
    pub wait: Duration,
}

/// An order other than a start without success.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum OrderError {
    /// The executor has seen orders of a later holder.
    #[snafu(display("a later holder has given orders"))]
    Fenced,
    /// The incarnation is gone.
    #[snafu(display("the executor is another incarnation by now"))]
    Replaced,
    /// No usable answer.
    #[snafu(display("the executor did not answer: {detail}"))]
    Unanswered {
        /// What was seen.
        detail: String,
    },
}

/// Orders to executors, under the epoch of the holder that gives them.
pub trait Executors {
    /// Starts a run.
    fn start<'a>(
        &'a self,
        to: &'a Executor,
        epoch: u64,
        start: &'a StartOrder<'a>,
    ) -> LocalBoxFuture<'a, StartOutcome>;

    /// Stops a run.
    fn stop<'a>(
        &'a self,
        to: &'a Executor,
        epoch: u64,
        task: &'a TaskId,
        run: u64,
    ) -> LocalBoxFuture<'a, Result<(), OrderError>>;

    /// Lets a run work at a share of its speed, in percent.
    fn pace<'a>(
        &'a self,
        to: &'a Executor,
        epoch: u64,
        task: &'a TaskId,
        run: u64,
        percent: u64,
    ) -> LocalBoxFuture<'a, Result<(), OrderError>>;

    /// Renews the lease, acknowledges ends and lists the runs.
    fn poll<'a>(
        &'a self,
        to: &'a Executor,
        epoch: u64,
        ask: &'a PollRequest,
    ) -> LocalBoxFuture<'a, Result<Look, OrderError>>;
}

/// Permissions for the executors of a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Permissions {
    /// Permission by executor, for those that may run the step.
    pub allowed: Vec<(String, String)>,
    /// How long they are valid, in milliseconds.
    pub valid_ms: u64,
}

/// The service that knows which executors a queue's policy allows.
pub trait Adviser {
    /// Asks which of some executors may run a step; `None` without a usable answer.
    fn advise<'a>(
        &'a self,
        step: &'a TaskId,
        executors: &'a [String],
    ) -> LocalBoxFuture<'a, Option<Permissions>>;
}

/// A machine of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Machine {
    /// Name, which stays over moves and upkeep.
    pub name: String,
    /// Pool that it belongs to.
    pub pool: String,
    /// Whether it is up.
    pub up: bool,
    /// Incarnation of its executor; empty while there is none.
    pub executor: String,
    /// Thousandths of a core.
    pub cpu: u64,
}

/// An order for a machine without success.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum MachineError {
    /// A later holder has given orders for the machine.
    #[snafu(display("a later holder has given orders"))]
    Fenced,
    /// The machine is not up, or it leaves.
    #[snafu(display("the machine is not up"))]
    Busy,
    /// The order does not suit the machine.
    #[snafu(display("the order does not suit the machine: {detail}"))]
    Invalid {
        /// What was seen.
        detail: String,
    },
    /// Nothing was done.
    #[snafu(display("nothing was done: {detail}"))]
    Refused {
        /// What was seen.
        detail: String,
    },
    /// It may have been done.
    #[snafu(display("no answer: {detail}"))]
    Unknown {
        /// What was seen.
        detail: String,
    },
}

/// The machines' own interface.
pub trait Machines {
    /// Lists all machines.
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<Machine>, MachineError>>;

    /// Takes a machine down for its maintenance in a wave.
    fn start_maintenance<'a>(
        &'a self,
        machine: &'a str,
        wave: u64,
        epoch: u64,
    ) -> LocalBoxFuture<'a, Result<(), MachineError>>;

    /// Moves a machine to another pool.
    fn move_to_pool<'a>(
        &'a self,
        machine: &'a str,
        pool: &'a str,
        epoch: u64,
    ) -> LocalBoxFuture<'a, Result<(), MachineError>>;
}

/// What an operator has written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Instruction {
    /// The configuration.
    Configuration(Configuration),
    /// A maintenance wave.
    Wave(Wave),
}

/// How operators' rows and the registry read.
pub trait Dialect {
    /// Table of the operator's rows.
    fn instruction_table(&self) -> &str;

    /// Table of the registry of executors.
    fn registry_table(&self) -> &str;

    /// Reads an operator's row; `None` for one that is of no concern.
    fn parse_instruction(&self, row: &Row) -> Result<Option<Instruction>, String>;

    /// Reads an entry of the registry.
    fn parse_registration(&self, row: &Row) -> Result<Registration, String>;

    /// The row that tells the operator how far a wave is.
    fn wave_report(&self, wave: u64, complete: bool) -> (Place, Vec<u8>);
}
