//! State that the tasks of a process share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use base::Timeline;
use indexmap::{IndexMap, IndexSet};
use jobs::Configuration;
use jobs::memory::Room;
use jobs::order::Policy;
use jobs::wave::Wave;
use jobs::window::CallWindow;
use tokio::sync::{Notify, Semaphore};

use crate::clock;
use crate::duties::{self, Duties, DutyChange};
use crate::metrics::{MeasuredStore, Metrics};
use crate::pauses::Pauses;
use crate::ports::{
    Adviser, Committed, Dialect, Executors, Machine, MachineError, Machines, Page, Row, Store,
    Transaction, TransactionError,
};
use crate::registry::Registry;
use crate::rows::Load;
use crate::throttle::Throttle;

/// Time limits that the platform guarantees or imposes, all in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Longest lease that an executor accepts.
    pub lease: u64,
    /// Least time between orders for a machine by two successive holders of the fleet's duties.
    pub handover: u64,
    /// Longest time from a stop order to the end of the run.
    pub stop: u64,
    /// How long before its due time an occurrence of a scheduled job may start.
    pub early: u64,
    /// Time between SIGTERM and SIGKILL.
    pub grace: u64,
    /// Longest time for which a withdrawn key may be in use; 0 for no limit.
    pub revocation: u64,
    /// Whether keys stop to be valid at a process whose configuration has not been confirmed for
    /// that time.
    pub revoke_when_cut: bool,
}

/// Settings of a process.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the machine on which the process runs.
    pub name: String,
    /// Data centre of the machine.
    pub centre: String,
    /// Processor time that the process may use, in thousandths of a core.
    pub cpu: u64,
    /// Orders for machines that the platform accepts a second; 0 if unknown.
    pub order_rate: u64,
    /// Whether machines move ahead of peaks that can be forecast.
    pub forecast_peaks: bool,
    /// Order of new jobs; `None` to let the configuration decide.
    pub order: Option<Policy>,
    /// Largest row that the table accepts, in bytes.
    pub max_row_bytes: usize,
    /// Memory for the jobs of all cells that the process holds, in bytes.
    pub job_memory: usize,
    /// Time limits of the platform.
    pub bounds: Bounds,
}

impl Settings {
    /// Returns the order of new jobs.
    ///
    /// Unless the settings name one, new jobs go by their latest start where organisations compete for
    /// the executors, and by their work elsewhere.
    pub fn policy(&self, config: &Configuration) -> Policy {
        self.order.unwrap_or(match config.organisations {
            Some(_) => Policy::LatestStart,
            None => Policy::LeastWork,
        })
    }
}

/// Clients of the platform and of the executors.
#[expect(missing_debug_implementations, reason = "trait objects have no common form")]
#[derive(Clone)]
pub struct Ports {
    /// Client of the platform's table.
    pub store: Rc<dyn Store>,
    /// Client of the executors.
    pub executors: Rc<dyn Executors>,
    /// Client of the platform's interface for machines.
    pub machines: Rc<dyn Machines>,
    /// Client of the service that permits executors for a step.
    pub adviser: Rc<dyn Adviser>,
    /// Formats of the operator's rows and of the registry.
    pub dialect: Rc<dyn Dialect>,
}

/// State that lives as long as the process.
pub(crate) struct Context {
    pub settings: Settings,
    pub ports: Ports,
    pub timeline: Timeline,
    pub metrics: Metrics,
    /// Start of the process, in milliseconds since 1970; distinguishes its incarnations.
    pub start_time: u64,
    config: RefCell<Option<Rc<Configuration>>>,
    /// Time of the request that last showed the configuration to be the newest, in milliseconds.
    pub config_confirmed_at: Cell<u64>,
    /// Names of the pools of all configurations that were in force.
    pools: RefCell<IndexSet<String>>,
    pub waves: RefCell<IndexMap<u64, Wave>>,
    /// Memory that the jobs of each cell take which the process holds, in bytes.
    pub job_bytes: RefCell<IndexMap<String, usize>>,
    pub registry: RefCell<Registry>,
    /// Counter that is incremented with each change of the registry.
    pub registry_version: Cell<u64>,
    /// Whether the registry has been read in full since this process began to watch it.
    pub registry_read: Cell<bool>,
    /// Time at which the last read of the registry was requested, in milliseconds.
    pub registry_read_at: Cell<u64>,
    pub loads: RefCell<IndexMap<String, Load>>,
    pub duties: RefCell<Duties>,
    /// Whether the duties have been read in full since this process began to watch them.
    pub duties_read: Cell<bool>,
    /// The table's clock and the local time at which it was read, in milliseconds.
    table_clock: Cell<(u64, u64)>,
    pub stopping: Cell<bool>,
    /// Whether this process holds a lease, and therefore watches the registry and the duties.
    pub is_holder: Cell<bool>,
    /// Queries to the adviser that are under way, of all cells of this process.
    pub queries: RefCell<CallWindow>,
    /// Rate of the calls to the table that are made in bulk, of all cells of this process.
    throttle: RefCell<Throttle>,
    /// Limits the number of these calls under way.
    bulk_calls: Semaphore,
    /// Limits the number of holders' writes under way.
    part_writes: Semaphore,
    /// Number of holders' writes that wait to be repeated.
    waiting_repeats: Cell<u64>,
    /// Pauses of this process.
    pub pauses: Pauses,
    /// Whether the table counts as unavailable.
    unavailable: Cell<bool>,
    /// Time of the last response of the table, in milliseconds.
    last_response: Cell<u64>,
    /// Time at which the table last became available again, in milliseconds; 0 before.
    pub recovered_at: Cell<u64>,
    recovery: Notify,
}

impl Context {
    /// Returns the free memory for jobs.
    pub fn job_room(&self) -> Room {
        Room::of(self.settings.job_memory, self.job_bytes.borrow().values().sum())
    }

    pub fn new(settings: Settings, ports: Ports, timeline: Timeline, metrics: Metrics) -> Rc<Self> {
        let store = Rc::new(MeasuredStore::new(Rc::clone(&ports.store), metrics.clone()));
        let ports = Ports { store, ..ports };
        Rc::new(Self {
            metrics,
            settings,
            ports,
            timeline,
            start_time: clock::wall(),
            config: RefCell::default(),
            config_confirmed_at: Cell::new(0),
            pools: RefCell::default(),
            waves: RefCell::default(),
            job_bytes: RefCell::default(),
            registry: RefCell::default(),
            registry_version: Cell::new(0),
            registry_read: Cell::new(false),
            registry_read_at: Cell::new(0),
            loads: RefCell::default(),
            duties: RefCell::default(),
            duties_read: Cell::new(false),
            table_clock: Cell::new((0, 0)),
            stopping: Cell::new(false),
            is_holder: Cell::new(false),
            queries: RefCell::default(),
            throttle: RefCell::default(),
            bulk_calls: Semaphore::new(MAX_BULK_CALLS),
            part_writes: Semaphore::new(MAX_PART_WRITES),
            waiting_repeats: Cell::new(0),
            pauses: Pauses::default(),
            unavailable: Cell::new(false),
            last_response: Cell::new(0),
            recovered_at: Cell::new(0),
            recovery: Notify::new(),
        })
    }

    /// Returns the name under which this incarnation holds leases.
    pub fn holder_name(&self) -> String {
        holder_name(&self.settings.name, self.start_time)
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<Rc<Configuration>> {
        self.config.borrow().clone()
    }

    /// Puts a configuration into force unless a newer one is in force.
    pub fn set_config(&self, config: Configuration) {
        let newer = self.config.borrow().as_ref().is_none_or(|c| c.version < config.version);
        if !newer {
            return;
        }
        self.timeline.record(
            base::Event::ConfigurationInForce,
            &[("version", &config.version), ("queues", &config.queues.len())],
        );
        for fault in config.organisations.iter().flat_map(jobs::Organisations::faults) {
            self.timeline.record(
                base::Event::ConfigurationFault,
                &[("version", &config.version), ("fault", fault)],
            );
        }
        self.metrics.configuration_version.set(i64::try_from(config.version).unwrap_or(i64::MAX));
        self.pools.borrow_mut().extend(config.pools.keys().cloned());
        *self.config.borrow_mut() = Some(Rc::new(config));
    }

    /// Returns whether a pool is or was configured; one that was removed may still have jobs.
    pub fn is_known_pool(&self, pool: &str) -> bool {
        self.pools.borrow().contains(pool) || self.loads.borrow().contains_key(pool)
    }

    /// Applies a duty's row from the feed.
    ///
    /// The holder of the duties applies its own writes before the feed returns them, so the feed
    /// may return an older change after a newer one.
    pub fn apply_duty(&self, row: &Row) {
        if let Err(error) = self.duties.borrow_mut().apply(row, false) {
            self.timeline
                .record(base::Event::RowUnreadable, &[("row", &row.place.key), ("error", &error)]);
        }
    }

    /// Writes changes of duties, logs failures and returns the keys of the rows that were written.
    pub async fn write_duties(&self, changes: Vec<DutyChange>) -> IndexSet<String> {
        let written = duties::write(&*self.ports.store, &self.duties, changes).await;
        for error in &written.errors {
            self.timeline.record(base::Event::DutyDelayed, &[("what", error)]);
        }
        written.keys
    }

    /// Requests the list of machines, with the incarnations of their executors as far as they are
    /// known.
    pub async fn list_machines(&self) -> Result<Vec<Machine>, MachineError> {
        let mut machines = self.ports.machines.list().await?;
        self.registry.borrow_mut().resolve(&mut machines);
        Ok(machines)
    }

    /// Returns the milliseconds since the table last confirmed the configuration.
    pub fn config_age(&self) -> u64 {
        clock::now().saturating_sub(self.config_confirmed_at.get())
    }

    /// Records a reading of the table's clock.
    pub fn record_table_clock(&self, table: u64) {
        self.table_clock.set((table, clock::now()));
    }

    /// Returns the current time of the table's clock; 0 before its first reading.
    pub fn table_now(&self) -> u64 {
        match self.table_clock.get() {
            (0, _) => 0,
            (table, at) => table + clock::now().saturating_sub(at),
        }
    }

    /// Returns the milliseconds since the last reading of the table's clock.
    pub fn table_clock_age(&self) -> u64 {
        clock::now().saturating_sub(self.table_clock.get().1)
    }

    /// Records the table's clock from a page.
    pub fn record_page_clock(&self, page: &Page) {
        self.record_table_clock(page.clock);
    }

    /// Records whether a call to the table failed, and logs changes of the table's availability.
    ///
    /// Single failed calls are common; the table counts as unavailable once it has not answered any
    /// call for [`UNAVAILABLE_AFTER_MS`].
    pub fn record_table_call(&self, failed: bool, detail: &str) {
        let now = clock::now();
        if !failed {
            self.last_response.set(now);
        }
        let unavailable = failed && now > self.last_response.get() + UNAVAILABLE_AFTER_MS;
        if failed && !unavailable {
            return;
        }
        if self.unavailable.replace(unavailable) != unavailable {
            if !unavailable {
                self.recovered_at.set(now);
                self.recovery.notify_waiters();
            }
            let event =
                if unavailable { base::Event::PlatformAway } else { base::Event::PlatformBack };
            self.timeline.record(event, &[("what", &detail)]);
        }
    }

    /// Makes one of many calls to the table once the rate of bulk calls and the number of those under
    /// way allow it. A refused call slows the others down.
    pub async fn call_in_bulk<T, E>(
        &self,
        call: impl Future<Output = Result<T, E>>,
        is_refusal: impl Fn(&E) -> bool,
    ) -> Result<T, E> {
        // The semaphore is never closed.
        let _permit = self.bulk_calls.acquire().await.ok();
        loop {
            let wait = self.throttle.borrow_mut().take(clock::now());
            if wait == 0 {
                break;
            }
            pause(wait).await;
        }
        let result = call.await;
        if result.as_ref().is_err_and(is_refusal) {
            self.throttle.borrow_mut().refused(clock::now());
        }
        result
    }

    /// Applies a holder's write to a part once the number of such writes under way allows it.
    pub async fn write_part(&self, write: &Transaction) -> Result<Committed, TransactionError> {
        // The semaphore is never closed.
        let _permit = self.part_writes.acquire().await.ok();
        self.ports.store.apply(write).await
    }

    /// Pauses before a holder's write is repeated: `shortest` milliseconds, or longer where the writes
    /// to many parts wait for that, so that their repeats leave the table room.
    pub async fn pause_before_repeat(&self, shortest: u64) {
        let waiting = self.waiting_repeats.get() + 1;
        self.waiting_repeats.set(waiting);
        pause((shortest * waiting / REPEATS_AT_ONCE).clamp(shortest, MAX_REPEAT_PAUSE_MS)).await;
        self.waiting_repeats.set(self.waiting_repeats.get() - 1);
    }

    /// Number of bulk calls to the table that were refused, and the present rate of such calls in calls
    /// a second.
    pub fn bulk_calls(&self) -> (u64, u64) {
        let throttle = self.throttle.borrow();
        (throttle.refusals(), throttle.rate())
    }

    /// Completes when the table becomes available again.
    pub async fn table_recovered(&self) {
        self.recovery.notified().await;
    }

    /// Returns whether the table counts as unavailable.
    pub fn is_table_unavailable(&self) -> bool {
        self.unavailable.get()
    }

    /// Returns the duration of executors' leases, in milliseconds.
    ///
    /// It is at least 5 % below the platform's limit, to allow for the platform's rounding and for
    /// a slow clock.
    pub fn executor_lease(&self) -> u64 {
        (self.settings.bounds.lease * 95 / 100).min(MAX_EXECUTOR_LEASE_MS)
    }
}

/// Longest lease of executors, in milliseconds.
///
/// It outlasts the replacement of a holder, which takes up to half of it. A longer lease would only
/// delay the tasks of unreachable executors.
const MAX_EXECUTOR_LEASE_MS: u64 = 4_500;

/// Most bulk calls to the table under way.
const MAX_BULK_CALLS: usize = 16;
/// Most writes of holders under way, each to a part of its own.
const MAX_PART_WRITES: usize = 128;
/// Writes of holders that are repeated within their shortest pause.
const REPEATS_AT_ONCE: u64 = 32;
/// Longest pause before a write of a holder is repeated, in milliseconds.
const MAX_REPEAT_PAUSE_MS: u64 = 2_000;

/// Time without a response after which the table counts as unavailable, in milliseconds.
///
/// It is the shortest timeout of a call to the table.
const UNAVAILABLE_AFTER_MS: u64 = 1_200;

/// Returns the name under which an incarnation of a process holds leases.
pub(crate) fn holder_name(process: &str, start_time: u64) -> String {
    format!("{process}~{start_time}")
}

/// Sleeps for a number of milliseconds.
pub(crate) async fn pause(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}
