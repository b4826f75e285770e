//! Runs the scheduler of a cell that this process holds, against the table and the executors.

mod allowance;
mod confirm;
mod duty;
mod effort;
mod parked;
mod poll;
mod recover;
mod report;
mod send;
mod write;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use confirm::ORDER_VALIDITY_MS;
use effort::Effort;
use indexmap::{IndexMap, IndexSet};
use jobs::cell::{Arrival, ShrinkLimits};
use jobs::flush::Writes;
use jobs::row::JobRow;
use jobs::share::Inflow;
use jobs::wave::Stage;
use jobs::{CellConfig, Organisations, Progress, Resources};
use tokio::sync::{Mutex, Notify};

use crate::allowance::Exchange;
use crate::clock;
use crate::context::{Context, pause};
use crate::keys;
use crate::permits::StartPermits;
use crate::ports::{Executor, Place, Row, Transaction, TransactionError};
use crate::rows::{self, Lease, Load, PoolState};
use crate::supervise;

/// Age up to which the registry's last read counts for starts, in milliseconds; less than the time in
/// which a capacity that has shrunk has to take effect.
const MAX_REGISTRY_AGE_MS: u64 = 4_000;
/// Interval between scheduler passes without events, in milliseconds.
const TICK_INTERVAL_MS: u64 = 25;
/// Least time between two scheduler passes, in durations of a pass, unless that is longer than the
/// interval of passes without events.
const PASS_REST_FACTOR: u64 = 8;
/// Interval between publications of a changed load, in milliseconds; a fraction of the time that a
/// machine's move takes.
const LOAD_PUBLISH_INTERVAL_MS: u64 = 150;
/// Timeout of a publication of the load.
const LOAD_PUBLISH_TIMEOUT: Duration = Duration::from_millis(700);
/// Minimum time between two log lines about a cell's load, in milliseconds.
const LOAD_LOG_INTERVAL_MS: u64 = 1_000;
/// Time from the order that moves a machine into a pool until the pool's published capacity
/// includes it, in milliseconds: the move, the registration, the first poll and the publication.
const MACHINE_MOVE_MS: u64 = 2_000;
/// Maximum number of executors published as ready to leave the pool.
const MAX_PUBLISHED_SPARES: usize = 500;
/// Share of the largest row that their names may take, which leaves space for the pool's load.
const SPARES_ROW_SHARE_PERCENT: usize = 50;
/// Size of an executor in that row apart from its name, in bytes.
const SPARE_ENTRY_BYTES: usize = 3;
/// Maximum number of organisations published as beyond their weight; every process reads them.
const MAX_PUBLISHED_ORGANISATIONS: usize = 50;
/// Number of copies of the pool's state, each in a part of its own.
pub(crate) const POOL_STATE_COPIES: usize = 3;
/// Time for which the first copy of the pool's state may wait to be written before the others are
/// written too, in milliseconds; many times the usual duration of a write.
const POOL_STATE_COPY_DELAY_MS: u64 = 300;
/// Time limit for writing the last changes at a planned stop, in milliseconds.
const FLUSH_TIMEOUT_MS: u64 = 600;
/// Time limit for releasing a lease at a planned stop, in milliseconds.
const RELEASE_TIMEOUT_MS: u64 = 2_000;

/// A lease on a cell that this process has acquired.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tenure {
    /// The cell.
    pub cell: String,
    /// Fencing token that executors and machines compare: the version of the lease's row, which
    /// increases across all cells.
    pub epoch: u64,
    /// Number of this holder in the sequence of the cell's holders, counted from 1.
    pub term: u64,
    /// Whether the previous holder has released the lease or has certainly ended.
    pub predecessor_ended: bool,
}

/// State of an [`Owner`], shared by its tasks.
pub(crate) struct Inner {
    pub ctx: Rc<Context>,
    pub tenure: Tenure,
    pub cell: RefCell<jobs::Cell>,
    /// Limits the concurrent starts at each executor.
    pub start_permits: StartPermits,
    /// Executors with a running poll loop.
    pub polled: RefCell<IndexSet<String>>,
    /// Work of recently arrived jobs.
    pub inflow: RefCell<Inflow>,
    /// Time of the last request for the list of machines, in milliseconds.
    pub machines_listed_at: Cell<u64>,
    /// The table's clock up to which new jobs have been read, in milliseconds.
    pub feed_clock: Cell<u64>,
    /// Version of the registry that the scheduler was last updated to.
    pub synced_registry: Cell<u64>,
    /// Whether a report of empty executors is being written.
    pub reporting_empty: Cell<bool>,
    /// Revisions of the duties and of the registry that were last applied to the scheduler.
    pub applied_duties: Cell<(u64, u64)>,
    /// Whether all jobs of former holders have been read.
    pub recovered: Cell<bool>,
    /// Number of parts read in the latest complete read of the jobs, and of all parts.
    pub parts_read: Cell<(usize, usize)>,
    /// Version at which each part was read completely.
    pub read_versions: RefCell<IndexMap<String, u64>>,
    /// Fence rows that this holder has written, by part.
    pub fences: RefCell<IndexMap<String, write::FenceState>>,
    /// Jobs that may start once their part's fence row covers them, by part.
    pub unfenced: RefCell<IndexMap<String, write::UnfencedJobs>>,
    /// Writes of the scheduler's changes.
    pub part_writes: RefCell<Writes>,
    /// Serialises the writes to each part.
    pub write_locks: RefCell<IndexMap<String, Rc<Mutex<()>>>>,
    /// Rows of the progress of jobs for which one row is not enough, by job.
    pub stored_progress: RefCell<IndexMap<String, write::StoredProgress>>,
    /// Executors to which the cell's holders may have sent orders.
    pub roster: RefCell<Vec<write::RosterList>>,
    /// Whether the roster is being written.
    pub writes_roster: Cell<bool>,
    /// Jobs that stay in the table for now.
    pub parked: parked::ParkedRows,
    /// Jobs whose cancel marker was read before the job itself.
    pub early_cancels: RefCell<IndexSet<String>>,
    /// Time at which executors were last removed from the roster, in milliseconds.
    pub roster_trimmed_at: Cell<u64>,
    /// Longest write of a part's changes since the last log line about the load, in milliseconds.
    pub slowest_write: Cell<u64>,
    /// Work since that log line.
    pub effort: RefCell<Effort>,
    /// State of the cell's pool, recomputed with each publication of the load.
    pool_state: RefCell<PoolState>,
    /// Time since which the first copy of the pool's state waits to be written, in milliseconds.
    pool_state_delayed_since: Cell<Option<u64>>,
    /// Limits of the organisations that have one, by the current configuration.
    limits: RefCell<Rc<IndexMap<String, Resources>>>,
    /// Limits under which jobs were accepted, of organisations that the configuration lacks.
    former_limits: RefCell<IndexMap<String, Resources>>,
    /// Grants of the cell, and their exchange with other holders.
    exchange: RefCell<Exchange>,
    /// Time at which this process took the cell, in milliseconds.
    taken_at: u64,
    /// Time at which the lease was last confirmed, in milliseconds.
    confirmed_at: Cell<u64>,
    /// Whether the guard rows have been claimed.
    guarded: Cell<bool>,
    /// Whether the lease is being read for runs that wait to be released.
    confirming: Cell<bool>,
    lost: Cell<bool>,
    /// Triggers a scheduler pass before the next interval.
    pub wake: Notify,
}

/// Handle to a running cell.
pub(crate) struct Owner {
    inner: Rc<Inner>,
}

impl Owner {
    /// Starts running the cell, whose lease was free or this process's at `confirmed_at`.
    pub fn spawn(ctx: Rc<Context>, tenure: Tenure, confirmed_at: u64) -> Self {
        let now = clock::now();
        let lease = ctx.executor_lease();
        let config = CellConfig {
            lease,
            inherited_lease: if tenure.predecessor_ended {
                lease + lease / 20
            } else {
                ORDER_VALIDITY_MS + lease + lease / 20
            },
            stop_timeout: ctx.settings.bounds.stop,
            early_start: ctx.settings.bounds.early / 2,
            term: tenure.term,
        };
        let mut cell = jobs::Cell::new(config, now);
        cell.set_longest_lease(ctx.settings.bounds.lease);
        cell.confirm_ownership(confirmed_at);
        let inner = Rc::new(Inner {
            ctx,
            cell: RefCell::new(cell),
            start_permits: StartPermits::default(),
            polled: RefCell::default(),
            inflow: RefCell::default(),
            machines_listed_at: Cell::new(0),
            feed_clock: Cell::new(0),
            synced_registry: Cell::new(u64::MAX),
            reporting_empty: Cell::new(false),
            applied_duties: Cell::new((u64::MAX, u64::MAX)),
            recovered: Cell::new(false),
            parts_read: Cell::new((0, 0)),
            read_versions: RefCell::default(),
            fences: RefCell::default(),
            unfenced: RefCell::default(),
            part_writes: RefCell::default(),
            write_locks: RefCell::default(),
            stored_progress: RefCell::default(),
            roster: RefCell::default(),
            writes_roster: Cell::new(false),
            parked: parked::ParkedRows::default(),
            early_cancels: RefCell::default(),
            roster_trimmed_at: Cell::new(0),
            slowest_write: Cell::new(0),
            effort: RefCell::default(),
            pool_state: RefCell::default(),
            pool_state_delayed_since: Cell::new(None),
            limits: RefCell::default(),
            former_limits: RefCell::default(),
            exchange: RefCell::new(Exchange::new(&tenure.cell, tenure.epoch)),
            taken_at: now,
            confirmed_at: Cell::new(confirmed_at),
            guarded: Cell::new(false),
            confirming: Cell::new(false),
            lost: Cell::new(false),
            wake: Notify::new(),
            tenure,
        });
        inner.spawn_task("scheduler", Rc::clone(&inner).run());
        Self { inner }
    }

    pub fn tenure(&self) -> &Tenure {
        &self.inner.tenure
    }

    /// Time at which this process took the cell, in milliseconds.
    pub fn taken_at(&self) -> u64 {
        self.inner.taken_at
    }

    /// Records a time at which this process held the lease.
    pub fn confirm(&self, at: u64) {
        self.inner.confirm(at);
    }

    pub fn is_lost(&self) -> bool {
        self.inner.lost.get()
    }

    /// Stops running the cell without a hand-over.
    pub fn abandon(&self, why: &str) {
        self.inner.mark_lost(why);
    }

    /// Waits for pending changes to be written, up to a time limit, then releases the lease.
    pub async fn close(self) {
        let inner = self.inner;
        let deadline = clock::now() + FLUSH_TIMEOUT_MS;
        while inner.is_active() && inner.cell.borrow().is_dirty() && clock::now() < deadline {
            pause(TICK_INTERVAL_MS).await;
        }
        if !inner.is_active() {
            return;
        }
        inner.mark_lost("this process is stopping");
        release_lease(&inner.ctx, &inner.tenure).await;
    }
}

/// Releases a lease by clearing its holder, so that another process can take the cell at once.
pub(crate) async fn release_lease(ctx: &Context, tenure: &Tenure) {
    let deadline = clock::now() + RELEASE_TIMEOUT_MS;
    loop {
        let Err(error) = try_release_lease(ctx, tenure).await else { return };
        if clock::now() >= deadline {
            ctx.timeline.record(
                base::Event::CellLost,
                &[("cell", &tenure.cell), ("why", &format!("lease not released: {error}"))],
            );
            return;
        }
        pause(4 * TICK_INTERVAL_MS).await;
    }
}

/// Tries once to release a lease; an error if that may not have succeeded.
pub(crate) async fn try_release_lease(ctx: &Context, tenure: &Tenure) -> Result<(), String> {
    let place = keys::lease(&tenure.cell);
    let row = rows::encode(&Lease { holder: String::new(), term: tenure.term });
    let transaction = Transaction {
        expect: vec![(place.clone(), tenure.epoch)],
        writes: vec![(place, row)],
        removes: Vec::new(),
    };
    match ctx.ports.store.apply(&transaction).await {
        Ok(_) => {
            ctx.timeline.record(base::Event::CellReleased, &[("cell", &tenure.cell)]);
            Ok(())
        }
        // An earlier attempt was applied although its response was lost, or another process holds
        // the lease.
        Err(TransactionError::Conflict { .. }) => Ok(()),
        Err(error) => Err(error.to_string()),
    }
}

impl Inner {
    /// Whether this process may act for the cell, which is not known to be lost.
    pub fn is_active(&self) -> bool {
        !self.lost.get()
    }

    /// Whether the registry was read recently enough to start tasks by its capacities.
    pub fn is_registry_current(&self) -> bool {
        clock::now() < self.ctx.registry_read_at.get() + MAX_REGISTRY_AGE_MS
    }

    /// Marks the cell as lost, which stops all activity for it, and logs the reason.
    pub fn mark_lost(&self, why: &str) {
        if !self.lost.replace(true) {
            self.ctx.timeline.record(
                base::Event::CellLost,
                &[("cell", &self.tenure.cell), ("epoch", &self.tenure.epoch), ("why", &why)],
            );
        }
    }

    /// Spawns a task of the cell; if it panics, the cell is lost and another process takes it.
    fn spawn_task(self: &Rc<Self>, name: &'static str, task: impl Future<Output = ()> + 'static) {
        let inner = Rc::clone(self);
        supervise::spawn(task, move || inner.mark_lost(&format!("its task for the {name} failed")));
    }

    /// Address and id of an executor; `None` if the scheduler does not have it.
    pub fn executor(&self, id: &str) -> Option<Executor> {
        let cell = self.cell.borrow();
        let worker = cell.workers().get(id)?;
        Some(Executor { address: worker.registration.address.clone(), id: id.to_owned() })
    }

    /// Recovers the cell, then runs its scheduler until the cell is lost.
    async fn run(self: Rc<Self>) {
        self.configure();
        // The duties are read first: a new holder must not start tasks on an executor whose
        // machine is about to go down.
        self.ctx.is_holder.set(true);
        while self.is_active() && !self.ctx.duties_read.get() {
            pause(TICK_INTERVAL_MS).await;
        }
        if !self.recover().await {
            return;
        }
        let (count, inherited) = {
            let cell = self.cell.borrow();
            (cell.job_count(), cell.inherited_job_count())
        };
        self.ctx.timeline.record(
            base::Event::CellReady,
            &[
                ("cell", &self.tenure.cell),
                ("jobs", &count),
                ("inherited", &inherited),
                ("parts", &self.parts_read.get().1),
                ("took_ms", &clock::now().saturating_sub(self.taken_at)),
                ("refused", &self.ctx.bulk_calls().0),
            ],
        );
        self.spawn_task("load", Rc::clone(&self).publish_load());
        for copy in 0..POOL_STATE_COPIES {
            self.spawn_task("pool state", Rc::clone(&self).publish_pool_state(copy));
        }
        self.spawn_task("writes", Rc::clone(&self).write_loop());
        self.spawn_task("grants", Rc::clone(&self).exchange_grants());
        self.spawn_task("parked jobs", Rc::clone(&self).read_parked());
        let mut version = self.ctx.config().map(|c| c.version);
        while self.is_active() {
            let pass_start = Instant::now();
            let current = self.ctx.config().map(|c| c.version);
            if current != version {
                version = current;
                self.configure();
            }
            self.sync_workers();
            self.trim_roster();
            self.start_polls();
            self.apply_duties();
            if self.may_order() {
                self.cell.borrow_mut().hold_starts(!self.is_registry_current());
                self.set_grants();
                let may_query = self.ctx.queries.borrow().is_open(clock::now());
                self.cell.borrow_mut().permit_query(may_query);
                let orders = self.cell.borrow_mut().tick(clock::now(), clock::wall());
                for order in orders {
                    self.send(order);
                }
            }
            self.confirm_for_releases();
            self.log_crashes();
            self.log_releases();
            if self.cell.borrow().is_superseded() {
                self.mark_lost("an executor has received orders with a higher epoch");
            }
            self.effort.borrow_mut().passes.record(pass_start);
            // Passes over a thousand jobs leave most of the processor time to orders and polls.
            let pass_ms = u64::try_from(pass_start.elapsed().as_millis()).unwrap_or(u64::MAX);
            let wake_delay =
                (pass_ms * PASS_REST_FACTOR).clamp(TICK_INTERVAL_MS / 3, TICK_INTERVAL_MS);
            tokio::select! {
                () = pause(TICK_INTERVAL_MS) => {}
                () = self.wake.notified() => pause(wake_delay).await,
            }
        }
        self.log_releases();
    }

    /// Passes the queues of the current configuration to the scheduler.
    fn configure(&self) {
        if let Some(config) = self.ctx.config() {
            let mut cell = self.cell.borrow_mut();
            cell.replace_configuration(config.version, config.queues.values(), clock::now());
            cell.set_policy(self.ctx.settings.policy(&config));
            let organisations = config.organisations.iter().flat_map(Organisations::iter);
            cell.configure_shares(organisations.map(|o| (o.name.as_str(), o.weight)));
            drop(cell);
            self.set_limits();
        }
    }

    /// Applies a row of the cell's jobs table: a job or a cancel marker.
    ///
    /// A job that no former holder can have started waits until its part's fence row covers it. One
    /// that has not started stays in the table while the process has no memory for it.
    pub fn apply_job_row(self: &Rc<Self>, row: &Row, progress: Progress, inherited: bool) {
        let has_started = progress.started;
        self.apply_job(row, progress, inherited, !has_started);
    }

    /// Like [`Self::apply_job_row`]; `may_park` is whether a job may stay in the table.
    fn apply_job(self: &Rc<Self>, row: &Row, progress: Progress, inherited: bool, may_park: bool) {
        let key = row.place.key.as_str();
        let Some(value) = &row.value else { return };
        if let Some(id) = key.strip_suffix('!') {
            let mut cell = self.cell.borrow_mut();
            if cell.contains_job(id) {
                cell.cancel(id, clock::now());
                self.wake.notify_one();
            } else if cell.is_parked(id) {
                self.early_cancels.borrow_mut().insert(id.to_owned());
                cell.request_parked(id);
                self.parked.wake.notify_one();
            } else if cell.has_ended(id) {
                // The end of the job was being written when its client cancelled it.
                self.remove_marker(row);
            } else {
                self.early_cancels.borrow_mut().insert(id.to_owned());
            }
            return;
        }
        let job: JobRow = match rows::decode(value) {
            Ok(job) => job,
            Err(error) => {
                self.ctx
                    .timeline
                    .record(base::Event::RowUnreadable, &[("row", &key), ("error", &error)]);
                return;
            }
        };
        if may_park && self.park(row, &job, inherited) {
            return;
        }
        let now = clock::now();
        let table_now = self.ctx.table_now();
        let local_time =
            |at: u64| if at == 0 { now } else { now.saturating_sub(table_now.saturating_sub(at)) };
        let accepted = local_time(job.accepted_at);
        let (accepted_under, queue) = (job.terms(), job.queue.clone());
        if let (Some(organisation), Some(limit)) = (&job.organisation, job.limit()) {
            self.keep_limit(organisation, limit);
        }
        let arrival = Arrival {
            id: key.to_owned(),
            part: row.place.part.clone(),
            queue: job.queue.clone(),
            organisation: job.organisation.clone(),
            progress,
            requested_at: local_time(job.requested_at).min(accepted),
            inherited,
            start_blocked: !inherited,
            job: job.into(),
        };
        let mut cell = self.cell.borrow_mut();
        let startable = cell.startable_work(arrival.organisation.as_deref(), arrival.job.work());
        let new_work = (!arrival.job.is_long_running()).then_some((accepted, startable));
        // All rows are read again after a loss of the table's history, so the job may not be new.
        if cell.admit_under(accepted_under, arrival) {
            if cell.max_attempts(key).is_none() {
                self.ctx
                    .timeline
                    .record(base::Event::TermsUnknown, &[("job", &key), ("queue", &queue)]);
            }
            if let Some((at, work)) = new_work {
                self.inflow.borrow_mut().add(at, work);
            }
            if !inherited {
                self.fence_job(&row.place.part, key, row.version);
            }
        }
        if self.early_cancels.borrow_mut().swap_remove(key) {
            cell.cancel(key, now);
        }
        self.ctx.job_bytes.borrow_mut().insert(self.tenure.cell.clone(), cell.footprint());
        self.wake.notify_one();
    }

    /// Removes a cancel marker without a job.
    fn remove_marker(self: &Rc<Self>, row: &Row) {
        let (part, place) = (row.place.part.clone(), row.place.clone());
        actix::spawn(Rc::clone(self).remove_rows(part, vec![place]));
    }

    /// Publishes the load, for admission and for clients' counts of pending jobs, and computes the
    /// pool's state.
    async fn publish_load(self: Rc<Self>) {
        let mut last = Load::default();
        let mut logged = 0;
        while self.is_active() {
            let start = Instant::now();
            let state = self.current_pool_state();
            let load = state.load.clone();
            *self.pool_state.borrow_mut() = state;
            let usage = self.cell.borrow().usage(clock::now());
            self.update_metrics(&load, &usage);
            self.effort.borrow_mut().loads.record(start);
            if load.jobs > 0 && clock::now() >= logged + LOAD_LOG_INTERVAL_MS {
                logged = clock::now();
                self.log_load(&load, &usage);
                self.log_waiting_tasks();
                self.log_organisations();
            }
            if load.is_worth_publishing(&last) {
                // An outage of the loads' part must not delay the pool's state.
                let published = self.publish(keys::load(&self.tenure.cell), rows::encode(&load));
                let published = tokio::time::timeout(LOAD_PUBLISH_TIMEOUT, published).await;
                if published.unwrap_or(false) {
                    last = load;
                }
            }
            pause(LOAD_PUBLISH_INTERVAL_MS).await;
        }
    }

    /// Publishes a copy of the pool's state for the holder of the fleet's duties.
    ///
    /// The copies after the first are published only while the first can't be written: its part of
    /// the table may not answer while those of the others do.
    async fn publish_pool_state(self: Rc<Self>, copy: usize) {
        let mut last = PoolState::default();
        while self.is_active() {
            let now = clock::now();
            let delayed_since = self.pool_state_delayed_since.get();
            let is_due =
                copy == 0 || delayed_since.is_some_and(|at| now >= at + POOL_STATE_COPY_DELAY_MS);
            let state = is_due.then(|| self.pool_state.borrow().clone());
            if let Some(state) = state.filter(|state| state.is_worth_publishing(&last)) {
                if copy == 0 && delayed_since.is_none() {
                    self.pool_state_delayed_since.set(Some(now));
                }
                let place = keys::pool_state(copy, &self.tenure.cell);
                if self.publish(place, rows::encode(&state)).await {
                    last = state;
                    if copy == 0 {
                        self.pool_state_delayed_since.set(None);
                    }
                }
            }
            pause(LOAD_PUBLISH_INTERVAL_MS).await;
        }
    }

    /// Computes the state of the cell's pool.
    fn current_pool_state(&self) -> PoolState {
        let limits = self.cell.borrow().shrink_limits();
        let load = self.load(&limits);
        let mut bytes_left = self.ctx.settings.max_row_bytes * SPARES_ROW_SHARE_PERCENT / 100;
        let fits = |id: &String| {
            let left = bytes_left.checked_sub(id.len() + SPARE_ENTRY_BYTES);
            bytes_left = left.unwrap_or(0);
            left.is_some()
        };
        let spares = limits.spares.into_iter().take(MAX_PUBLISHED_SPARES).take_while(fits);
        PoolState { load, spares: spares.collect(), idle: limits.idle }
    }

    /// Writes a row without a condition; false if the write is not confirmed.
    async fn publish(&self, place: Place, value: Vec<u8>) -> bool {
        let transaction = Transaction { writes: vec![(place, value)], ..Transaction::default() };
        match self.ctx.ports.store.apply(&transaction).await {
            Ok(_) => true,
            Err(error) => {
                self.ctx.record_table_call(true, &error.to_string());
                false
            }
        }
    }

    /// Computes the load to publish.
    fn load(&self, limits: &ShrinkLimits) -> Load {
        let cell = self.cell.borrow();
        let now = clock::now();
        let (timely_backlog, backlog) = cell.backlog(now);
        let (mut capacity, mut used) = (0, 0);
        for worker in cell.workers().values().filter(|w| w.accepts_tasks(now)) {
            capacity += worker.registration.capacity.cpu;
            used += worker.used.cpu;
        }
        let (incoming, incoming_by) = self.incoming_capacity();
        Load {
            pending: cell.pending(),
            jobs: cell.job_count() as u64,
            timely_backlog,
            backlog,
            capacity,
            incoming,
            incoming_by,
            used,
            useful: cell.useful_cpu(now),
            late: cell.late_cpu(now),
            unusable: cell.unusable_executors(now),
            arrival_rate: self.inflow.borrow_mut().rate(now),
            long_running: limits.long_running_cpu,
            min_executors: limits.min_executors,
            outlook: cell.outlook(now),
            room: Some(self.ctx.job_room().published(cell.parked_count() > 0)),
            beyond_share: cell
                .beyond_share(now)
                .take(MAX_PUBLISHED_ORGANISATIONS)
                .map(str::to_owned)
                .collect(),
            published_at: self.ctx.table_now(),
            jobs_read_until: self.feed_clock.get(),
        }
    }

    /// Capacity of the machines that were ordered into this pool and have not arrived, in
    /// thousandths of a core, and the table's clock at which they are expected, in milliseconds.
    fn incoming_capacity(&self) -> (u64, u64) {
        let duties = self.ctx.duties.borrow();
        let now = self.ctx.table_now();
        let ordered = duties.values().filter(|duty| {
            let is_ordered = matches!(duty.stage(), Stage::Down | Stage::Done);
            is_ordered
                && duty.wave == 0
                && duty.pool == self.tenure.cell
                && now < duty.ordered_at + MACHINE_MOVE_MS
        });
        let (count, last) =
            ordered.fold((0, 0), |(count, last), duty| (count + 1, duty.ordered_at.max(last)));
        let registry = self.ctx.registry.borrow();
        let size =
            registry.values().map(|registration| registration.capacity.cpu).max().unwrap_or(0);
        if count == 0 { (0, 0) } else { (count * size, last + MACHINE_MOVE_MS) }
    }

    /// Place of a job's row in a table of the cell.
    pub fn job_place(table: String, part: &str, key: &str) -> Place {
        Place { table, part: part.to_owned(), key: key.to_owned() }
    }
}
