//! Interfaces of the platform and of the executors that the cells use.

use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use jobs::cell::StartOutcome;
use jobs::wave::Wave;
use jobs::{Configuration, ExecutorReport, Registration, TaskId};
use snafu::Snafu;

/// Location of a row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Place {
    /// Name of the table.
    pub table: String,
    /// Part of the table; all rows of a transaction are in the same part.
    pub part: String,
    /// Key of the row within its part.
    pub key: String,
}

impl Place {
    /// Creates the location of a row.
    pub fn new(table: &str, part: &str, key: &str) -> Self {
        Self { table: table.to_owned(), part: part.to_owned(), key: key.to_owned() }
    }
}

/// Row of the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Location of the row.
    pub place: Place,
    /// Number of the transaction that wrote the row; 0 if the row does not exist.
    pub version: u64,
    /// Content of the row; `None` if the row does not exist.
    pub value: Option<Vec<u8>>,
}

/// Result of a read: a consistent range of rows, or of changes.
#[derive(Debug, Clone, Default)]
pub struct Page {
    /// Rows in key order, or changes in commit order.
    pub rows: Vec<Row>,
    /// Whether further rows follow.
    pub more: bool,
    /// Newest version of the table at the time of the read.
    pub version: u64,
    /// Reading of the table's monotonic clock, in milliseconds.
    pub clock: u64,
}

/// Transaction on the rows of a part, which is applied as a whole or not at all.
#[derive(Debug, Clone, Default)]
pub struct Transaction {
    /// Required versions of rows; 0 for a row that must not exist.
    pub expect: Vec<(Place, u64)>,
    /// Rows to write.
    pub writes: Vec<(Place, Vec<u8>)>,
    /// Rows to remove.
    pub removes: Vec<Place>,
}

/// Result of a committed transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Committed {
    /// Number of the transaction, which is the version of the rows that it wrote.
    pub version: u64,
    /// Reading of the table's monotonic clock, in milliseconds.
    pub clock: u64,
}

/// Failure of a transaction, or an unknown outcome.
#[derive(Debug, Snafu)]
#[snafu(module)]
pub enum TransactionError {
    /// A row did not have the required version; nothing was written.
    #[snafu(display("a row was changed by another writer"))]
    Conflict {
        /// Current rows for which a version was required.
        rows: Vec<Row>,
    },
    /// The table does not accept the transaction as it is; neither would it accept a repeat.
    #[snafu(display("the table does not accept the transaction: {detail}"))]
    Rejected {
        /// Description of the failure.
        detail: String,
    },
    /// The transaction was not applied, nor will it be; a repeat may be.
    #[snafu(display("the transaction was not applied: {detail}"))]
    Refused {
        /// Description of the failure.
        detail: String,
    },
    /// No response; the transaction may have been applied, or may still be.
    #[snafu(display("outcome of the transaction is unknown: {detail}"))]
    Unknown {
        /// Description of the failure.
        detail: String,
    },
}

/// Failure of a read.
#[derive(Debug, Snafu)]
#[snafu(module)]
pub enum ReadError {
    /// The table no longer keeps the requested changes.
    #[snafu(display("the table no longer keeps the requested changes"))]
    HistoryDropped,
    /// The table refused the read, as there are too many calls.
    #[snafu(display("the table is overloaded: {detail}"))]
    Overloaded {
        /// Description of the failure.
        detail: String,
    },
    /// No response, or one that can't be used.
    #[snafu(display("the table is unavailable: {detail}"))]
    Unavailable {
        /// Description of the failure.
        detail: String,
    },
}

/// Client of the platform's transactional table.
pub trait Store {
    /// Applies a transaction.
    fn apply<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> LocalBoxFuture<'a, Result<Committed, TransactionError>>;

    /// Reads at most `limit` rows of a part, starting at a key.
    fn read<'a>(
        &'a self,
        from: &'a Place,
        limit: usize,
    ) -> LocalBoxFuture<'a, Result<Page, ReadError>>;

    /// Lists parts of a table in order, starting after a name.
    fn parts<'a>(
        &'a self,
        table: &'a str,
        after: &'a str,
    ) -> LocalBoxFuture<'a, Result<Vec<String>, ReadError>>;

    /// Reads the changes of a table after a version, and waits up to `wait` if there are none.
    fn feed<'a>(
        &'a self,
        table: &'a str,
        after: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<Page, ReadError>>;
}

/// Address and incarnation of an executor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Executor {
    /// Address for orders.
    pub address: String,
    /// Id of the incarnation. An executor of another name rejects the orders; a later incarnation of
    /// the same name may carry them out.
    pub id: String,
}

/// Order to start a run.
#[derive(Debug, Clone)]
pub struct StartOrder<'a> {
    /// Id of the task.
    pub task: &'a TaskId,
    /// Number of the run.
    pub run: u64,
    /// Description of the task, passed on as it is.
    pub payload: &'a str,
    /// End of the executor's lease, by the executor's clock in milliseconds.
    pub lease_end: u64,
    /// Checkpoint from which the run resumes; empty for none.
    pub checkpoint: &'a str,
    /// Ticket of the adviser that permits the executor; empty for none.
    pub ticket: &'a str,
}

/// Request for the runs of an executor.
#[derive(Debug, Clone, Copy)]
pub struct PollRequest {
    /// New end of the executor's lease, by its clock in milliseconds; `None` to leave it.
    pub lease_end: Option<u64>,
    /// Number up to which the ends of runs are durable and may be dropped.
    pub acked_through: u64,
    /// Longest time that the executor may wait for the end of a run.
    pub wait: Duration,
}

/// Failure of an order, other than of a start.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum OrderError {
    /// The executor has received orders with a higher epoch.
    #[snafu(display("a later holder has sent orders"))]
    Fenced,
    /// An executor of another name runs at the address.
    #[snafu(display("another incarnation of the executor runs at the address"))]
    Replaced,
    /// The executor has started again under its name since the incarnation that was addressed.
    #[snafu(display("the executor has started again under its name"))]
    Restarted,
    /// No response, or one that can't be used.
    #[snafu(display("the executor did not answer: {detail}"))]
    Unanswered {
        /// Description of the failure.
        detail: String,
    },
}

/// Client of the executors; each order carries the epoch of the cell's holder.
pub trait Executors {
    /// Starts a run.
    fn start<'a>(
        &'a self,
        to: &'a Executor,
        epoch: u64,
        order: &'a StartOrder<'a>,
    ) -> LocalBoxFuture<'a, StartOutcome>;

    /// Stops a run.
    fn stop<'a>(
        &'a self,
        to: &'a Executor,
        epoch: u64,
        task: &'a TaskId,
        run: u64,
    ) -> LocalBoxFuture<'a, Result<(), OrderError>>;

    /// Limits the speed of a run, in percent of its full speed.
    fn pace<'a>(
        &'a self,
        to: &'a Executor,
        epoch: u64,
        task: &'a TaskId,
        run: u64,
        percent: u64,
    ) -> LocalBoxFuture<'a, Result<(), OrderError>>;

    /// Renews the lease of an executor, acknowledges ends and lists its runs.
    fn poll<'a>(
        &'a self,
        to: &'a Executor,
        epoch: u64,
        request: &'a PollRequest,
    ) -> LocalBoxFuture<'a, Result<ExecutorReport, OrderError>>;
}

/// Executors that may run a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Permissions {
    /// Pairs of an executor that may run the step and its ticket.
    pub allowed: Vec<(String, String)>,
    /// Validity of the tickets, in milliseconds.
    pub valid_ms: u64,
}

/// Failure of a query to the adviser.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu, strum::IntoStaticStr)]
#[snafu(module)]
#[strum(serialize_all = "kebab-case")]
pub enum AdviceError {
    /// Too many queries wait at the adviser; it does not process this one.
    #[snafu(display("too many queries wait at the adviser"))]
    Full,
    /// The query was not sent.
    #[snafu(display("the query was not sent"))]
    Unsent,
    /// No response; the adviser may still process the query.
    #[snafu(display("the adviser did not answer"))]
    Unanswered,
    /// A response that can't be used.
    #[snafu(display("the adviser's response can't be used"))]
    Unusable,
}

/// Client of the service that decides which executors a queue's policy permits.
pub trait Adviser {
    /// Requests permission for executors to run a step, and waits up to `timeout` for the response.
    fn advise<'a>(
        &'a self,
        step: &'a TaskId,
        executors: &'a [String],
        timeout: Duration,
    ) -> LocalBoxFuture<'a, Result<Permissions, AdviceError>>;
}

/// Machine of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Machine {
    /// Name, which stays the same across moves and maintenance.
    pub name: String,
    /// Pool to which the machine belongs.
    pub pool: String,
    /// Whether the machine is up.
    pub up: bool,
    /// Name of the machine's executor, or the id of its incarnation where that is known; empty if
    /// none runs.
    pub executor: String,
    /// Processor capacity, in thousandths of a core.
    pub cpu: u64,
}

/// Failure of a call for machines.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum MachineError {
    /// A holder with a higher epoch has sent orders for the machine.
    #[snafu(display("a later holder has sent orders"))]
    Fenced,
    /// The machine is not up, or it is shutting down.
    #[snafu(display("the machine is not up"))]
    Busy,
    /// The order is invalid for the machine.
    #[snafu(display("the order is invalid: {detail}"))]
    Invalid {
        /// Description of the failure.
        detail: String,
    },
    /// The call was rejected or not sent; it has no effect.
    #[snafu(display("the call failed without effect: {detail}"))]
    Refused {
        /// Description of the failure.
        detail: String,
    },
    /// No usable response; the order may have been carried out.
    #[snafu(display("outcome of the call is unknown: {detail}"))]
    Unknown {
        /// Description of the failure.
        detail: String,
    },
}

/// Client of the platform's interface for machines.
pub trait Machines {
    /// Lists all machines.
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<Machine>, MachineError>>;

    /// Orders a machine down for its maintenance in a wave.
    fn start_maintenance<'a>(
        &'a self,
        machine: &'a str,
        wave: u64,
        epoch: u64,
    ) -> LocalBoxFuture<'a, Result<(), MachineError>>;

    /// Orders a machine into another pool.
    fn move_to_pool<'a>(
        &'a self,
        machine: &'a str,
        pool: &'a str,
        epoch: u64,
    ) -> LocalBoxFuture<'a, Result<(), MachineError>>;
}

/// Content of an operator's row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Instruction {
    /// Configuration of the queues and pools.
    Configuration(Box<Configuration>),
    /// Maintenance wave.
    Wave(Wave),
}

/// Formats of the operator's rows and of the registry of executors.
pub trait Dialect {
    /// Returns the name of the table with the operator's rows.
    fn instruction_table(&self) -> &str;

    /// Returns the name of the table with the registry of executors.
    fn registry_table(&self) -> &str;

    /// Parses an operator's row; `None` for a row of no relevance to the cells.
    fn parse_instruction(&self, row: &Row) -> Result<Option<Instruction>, String>;

    /// Parses an entry of the registry; an error if it is not one that an executor has written.
    fn parse_registration(&self, row: &Row) -> Result<Registration, String>;

    /// Encodes the row that reports the progress of a wave to the operator.
    fn wave_report(&self, wave: u64, complete: bool) -> (Place, Vec<u8>);
}
