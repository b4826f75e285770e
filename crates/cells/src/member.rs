//! Membership of this process: heartbeats, claims of leases and the cells that it holds.
//!
//! Most processes of a large fleet are observers, which neither write heartbeats nor claim cells;
//! [`crate::standby`] decides which are candidates.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{join, join_all};
use indexmap::IndexMap;
use serde::de::DeserializeOwned;
use tokio::sync::Notify;

use crate::claim::Observations;
use crate::clock;
use crate::context::{Context, pause};
use crate::fleet::Fleet;
use crate::follow::{decode_rows, read_all};
use crate::guard;
use crate::keys;
use crate::owner::{self, Owner, Tenure};
use crate::ports::{Place, ReadError, Transaction, TransactionError};
use crate::rows::{self, Heartbeat, Lease, Load};
use crate::standby::{self, Census, Contender};

/// Time between heartbeats and between reads of the shared rows, in milliseconds.
///
/// Six intervals fit into the longest failure timeout.
const HEARTBEAT_INTERVAL_MS: u64 = 400;

/// Time for which heartbeats are more frequent after a recovery of the table, in milliseconds.
///
/// Frequent heartbeats show early which holders have not resumed.
const RECOVERY_MS: u64 = 1_500;
/// Time between a process's heartbeats after a recovery, in milliseconds per process in the fleet.
///
/// All candidates together then use half of the transactions of the heartbeats' part.
const RECOVERY_INTERVAL_PER_PROCESS_MS: u64 = 14;
/// Time without a confirmed heartbeat after which the next one counts as a recovery of the
/// heartbeats' part, in milliseconds; below the time after which a holder is replaced.
const HEARTBEAT_GAP_MS: u64 = 1_400;

/// Timeout of a read of heartbeats or leases, after which the guard rows are read; several times
/// the duration of a read while the table is slow.
const SHARED_READ_TIMEOUT: Duration = Duration::from_millis(700);
/// Holder of a lease that can't be decoded; not a valid name of an incarnation.
const UNKNOWN_HOLDER: &str = "?";
/// Time for which a candidate has to be one too many before it resigns, in milliseconds; by then the
/// heartbeats of all that became candidates at the same time have been read.
const RESIGNATION_HOLD_MS: u64 = 2_000;

/// Cells and duties that this process holds.
#[derive(Default)]
struct Held {
    owners: IndexMap<String, Owner>,
    fleet: Option<Fleet>,
}

/// Writes heartbeats and claims cells while the process is a candidate.
pub(crate) struct Member {
    ctx: Rc<Context>,
    held: RefCell<Held>,
    /// Whether the held cells are being closed, each of which releases its lease itself.
    closing: Cell<bool>,
    /// Whether the process is a candidate rather than an observer.
    candidate: Cell<bool>,
    /// Triggers the heartbeats of a new candidate.
    became_candidate: Notify,
    /// What this process sees of the candidates as an observer.
    census: RefCell<Census>,
    /// Time since which this candidate has been one too many, in milliseconds.
    surplus_since: Cell<Option<u64>>,
    observations: RefCell<Observations>,
    /// Time of the last confirmed heartbeat, in milliseconds; 0 before.
    heartbeat_at: Cell<u64>,
    /// Time at which heartbeats could be written again after an outage of their part, in
    /// milliseconds.
    heartbeats_recovered_at: Cell<u64>,
    /// Claims with an unknown outcome, by cell; their epoch is not set yet.
    unconfirmed: RefCell<IndexMap<String, Tenure>>,
}

impl Member {
    pub fn spawn(ctx: Rc<Context>) -> Rc<Self> {
        let member = Rc::new(Self {
            ctx,
            held: RefCell::default(),
            closing: Cell::new(false),
            candidate: Cell::new(false),
            became_candidate: Notify::new(),
            census: RefCell::default(),
            surplus_since: Cell::new(None),
            observations: RefCell::default(),
            heartbeat_at: Cell::new(0),
            heartbeats_recovered_at: Cell::new(0),
            unconfirmed: RefCell::default(),
        });
        actix::spawn(Rc::clone(&member).write_heartbeats());
        actix::spawn(Rc::clone(&member).poll_shared_rows());
        actix::spawn(Rc::clone(&member).poll_loads());
        member
    }

    /// Releases the leases of all held cells and of the fleet's duties.
    pub async fn close(&self) {
        self.closing.set(true);
        let held = std::mem::take(&mut *self.held.borrow_mut());
        let closing = held.owners.into_values().map(Owner::close);
        join_all(closing).await;
        if let Some(fleet) = held.fleet {
            fleet.close().await;
        }
    }

    async fn write_heartbeats(self: Rc<Self>) {
        let place = keys::heartbeat(&self.ctx.settings.name);
        for count in 1.. {
            if !self.candidate.get() {
                if count > 1 {
                    self.remove_heartbeat(&place).await;
                }
                self.became_candidate.notified().await;
            }
            let heartbeat = Heartbeat {
                count,
                start_time: self.ctx.start_time,
                accepts_cells: !self.ctx.stopping.get(),
                cpu: self.ctx.settings.cpu,
                centre: self.ctx.settings.centre.clone(),
            };
            let transaction = Transaction {
                writes: vec![(place.clone(), rows::encode(&heartbeat))],
                ..Transaction::default()
            };
            tokio::select! {
                // A request left unanswered by an outage must not delay the next heartbeat.
                () = self.ctx.table_recovered() => continue,
                result = self.ctx.ports.store.apply(&transaction) => match result {
                    Ok(_) => self.record_heartbeat(),
                    Err(error) => self.ctx.record_table_call(true, &error.to_string()),
                },
            }
            self.wait_for_next_round().await;
        }
    }

    /// Records a confirmed heartbeat, which may be the first after an outage of its part.
    fn record_heartbeat(&self) {
        let now = clock::now();
        let last = self.heartbeat_at.replace(now);
        if last > 0 && now > last + HEARTBEAT_GAP_MS {
            self.heartbeats_recovered_at.set(now);
        }
    }

    /// Removes the heartbeat of a candidate that has resigned.
    async fn remove_heartbeat(&self, place: &Place) {
        let transaction = Transaction { removes: vec![place.clone()], ..Transaction::default() };
        if let Err(error) = self.ctx.ports.store.apply(&transaction).await {
            // The row then looks like that of a process that has ended.
            self.ctx.record_table_call(true, &error.to_string());
        }
    }

    /// Reads the loads of the cells, which admission needs in every process.
    async fn poll_loads(self: Rc<Self>) {
        loop {
            let loads = tokio::select! {
                () = self.ctx.table_recovered() => continue,
                loads = read_all(&self.ctx, keys::load("")) => loads,
            };
            match loads {
                Ok((rows, _)) => {
                    self.ctx.record_table_call(false, "read of the loads succeeded");
                    let loads: IndexMap<String, (u64, Load)> = decode_rows(&self.ctx, rows);
                    *self.ctx.loads.borrow_mut() =
                        loads.into_iter().map(|(cell, (_, load))| (cell, load)).collect();
                }
                Err(error) => self.ctx.record_table_call(true, &error.to_string()),
            }
            self.wait_for_next_round().await;
        }
    }

    /// Reads heartbeats and, as a candidate, leases, and acts on them.
    async fn poll_shared_rows(self: Rc<Self>) {
        loop {
            if self.candidate.get() {
                self.poll_as_candidate().await;
                self.wait_for_next_round().await;
            } else if self.poll_as_observer().await {
                self.become_candidate();
            } else {
                tokio::select! {
                    () = pause(standby::OBSERVATION_INTERVAL_MS) => {}
                    () = self.ctx.table_recovered() => {}
                }
            }
        }
    }

    /// Reads the heartbeats and returns whether this process should become a candidate.
    async fn poll_as_observer(&self) -> bool {
        if self.ctx.stopping.get() || !self.observe().await {
            return false;
        }
        let name = &self.ctx.settings.name;
        if !self.census.borrow().was_candidate(name, self.ctx.start_time) {
            let delay = standby::application_delay(name, self.ctx.settings.cpu, clock::now());
            pause(delay).await;
            if self.ctx.stopping.get() || !self.observe().await {
                return false;
            }
        }
        true
    }

    /// Reads the heartbeats once and returns whether this process is needed as a candidate.
    async fn observe(&self) -> bool {
        let started = clock::now();
        let heartbeats = tokio::select! {
            () = self.ctx.table_recovered() => return false,
            heartbeats = self.read::<Heartbeat>(keys::heartbeat("")) => heartbeats,
        };
        match heartbeats {
            Ok(heartbeats) => {
                self.ctx.record_table_call(false, "read of the heartbeats succeeded");
                let now = clock::now();
                self.census.borrow_mut().observe(&heartbeats, started, now);
                let settings = &self.ctx.settings;
                let me = Contender {
                    name: &settings.name,
                    centre: &settings.centre,
                    cpu: settings.cpu,
                    applies: true,
                };
                self.census.borrow().should_apply(&me, self.ctx.start_time, now)
            }
            Err(error) => {
                self.ctx.record_table_call(true, &error.to_string());
                false
            }
        }
    }

    fn become_candidate(&self) {
        *self.observations.borrow_mut() = Observations::default();
        self.surplus_since.set(None);
        self.candidate.set(true);
        self.became_candidate.notify_one();
        self.ctx.timeline.record(base::Event::StandbyChanged, &[("candidate", &true)]);
    }

    /// Becomes an observer if there are enough other candidates, unless this process holds a cell.
    fn resign_if_surplus(&self, heartbeats: &IndexMap<String, (u64, Heartbeat)>) {
        let idle = {
            let held = self.held.borrow();
            held.owners.is_empty() && held.fleet.is_none() && self.unconfirmed.borrow().is_empty()
        };
        let now = clock::now();
        let name = &self.ctx.settings.name;
        let live = self.observations.borrow().live_processes();
        if !idle || !standby::should_resign(heartbeats, &live, name) {
            self.surplus_since.set(None);
            return;
        }
        let since = self.surplus_since.get().unwrap_or(now);
        self.surplus_since.set(Some(since));
        if now < since + RESIGNATION_HOLD_MS {
            return;
        }
        self.candidate.set(false);
        *self.census.borrow_mut() = Census::default();
        self.ctx.timeline.record(base::Event::StandbyChanged, &[("candidate", &false)]);
    }

    async fn poll_as_candidate(&self) {
        let read_at = clock::now();
        // The parts of the heartbeats and of the leases may fail apart from each other.
        let (heartbeats, leases) = tokio::select! {
            () = self.ctx.table_recovered() => return,
            shared = join(
                in_time(self.read::<Heartbeat>(keys::heartbeat(""))),
                in_time(self.read_leases()),
            ) => shared,
        };
        match &leases {
            Ok(leases) => {
                self.ctx.record_table_call(false, "read of the leases succeeded");
                self.apply_leases(leases, read_at);
            }
            Err(error) => {
                self.ctx.record_table_call(true, &error.to_string());
                self.confirm_by_guards().await;
            }
        }
        match (heartbeats, leases) {
            (Ok(heartbeats), Ok(leases)) => {
                let candidates = heartbeats.clone();
                self.observations.borrow_mut().observe(heartbeats, leases, clock::now());
                self.release_orphans().await;
                self.claim_cells().await;
                self.hand_over().await;
                self.resign_if_surplus(&candidates);
            }
            (Err(error), Ok(_)) => self.ctx.record_table_call(true, &error.to_string()),
            (_, Err(_)) => {}
        }
        let cells = {
            let held = self.held.borrow();
            held.owners.len() + usize::from(held.fleet.is_some())
        };
        self.ctx.is_holder.set(cells > 0);
        self.ctx.metrics.cells_held.set(i64::try_from(cells).unwrap_or(i64::MAX));
        let listed = self.ctx.registry.borrow().len();
        self.ctx.metrics.executors_listed.set(i64::try_from(listed).unwrap_or(i64::MAX));
    }

    /// Hands a cell over to a much stronger process that has come back.
    async fn hand_over(&self) {
        let me = self.ctx.holder_name();
        let cell = {
            let held = self.held.borrow();
            let taken_at = |cell: &str| match &held.fleet {
                Some(fleet) if cell == keys::FLEET_CELL => Some(fleet.taken_at()),
                _ => held.owners.get(cell).map(Owner::taken_at),
            };
            self.observations.borrow().hand_over(&me, taken_at, clock::now())
        };
        let Some(cell) = cell else { return };
        if cell == keys::FLEET_CELL {
            let fleet = self.held.borrow_mut().fleet.take();
            if let Some(fleet) = fleet {
                fleet.close().await;
            }
        } else {
            let owner = self.held.borrow_mut().owners.swap_remove(&cell);
            if let Some(owner) = owner {
                owner.close().await;
            }
        }
    }

    /// Confirms the held cells by their guard rows while the leases can't be read.
    async fn confirm_by_guards(&self) {
        let tenures: Vec<Tenure> = {
            let held = self.held.borrow();
            let owners = held.owners.values().map(|owner| owner.tenure().clone());
            owners.chain(held.fleet.iter().map(|fleet| fleet.tenure().clone())).collect()
        };
        let read_at = clock::now();
        let reads = tenures.iter().map(|t| guard::holds(&self.ctx, &t.cell, t.epoch));
        let confirmed = join_all(reads).await;
        let held = self.held.borrow();
        for (tenure, _) in tenures.iter().zip(confirmed).filter(|(_, confirmed)| *confirmed) {
            if let Some(owner) = held.owners.get(&tenure.cell).filter(|o| o.tenure() == tenure) {
                owner.confirm(read_at);
            } else if let Some(fleet) = held.fleet.as_ref().filter(|f| f.tenure() == tenure) {
                fleet.confirm(read_at);
            }
        }
    }

    /// Waits until the next heartbeat or read; a recovery of the table ends the wait.
    async fn wait_for_next_round(&self) {
        let recovered_at = self.ctx.recovered_at.get().max(self.heartbeats_recovered_at.get());
        let after_recovery = clock::now() < recovered_at + RECOVERY_MS;
        let recovery_interval = (RECOVERY_INTERVAL_PER_PROCESS_MS
            * self.observations.borrow().process_count() as u64)
            .min(HEARTBEAT_INTERVAL_MS);
        tokio::select! {
            () = pause(if after_recovery { recovery_interval } else { HEARTBEAT_INTERVAL_MS }) => {}
            () = self.ctx.table_recovered() => {}
        }
    }

    /// Applies the leases, and stops acting for cells whose lease another process holds.
    fn apply_leases(&self, leases: &IndexMap<String, (u64, Lease)>, read_at: u64) {
        let me = self.ctx.holder_name();
        let mut held = self.held.borrow_mut();
        let is_mine = |cell: &str, tenure: &Tenure| {
            leases.get(cell).is_some_and(|(_, l)| l.holder == me && l.term == tenure.term)
        };
        held.owners.retain(|cell, owner| {
            if is_mine(cell, owner.tenure()) {
                owner.confirm(read_at);
                return true;
            }
            owner.abandon("another process holds the lease");
            false
        });
        held.owners.retain(|_, owner| !owner.is_lost());
        if let Some(fleet) = &held.fleet
            && (fleet.is_lost() || !is_mine(keys::FLEET_CELL, fleet.tenure()))
        {
            fleet.abandon();
            held.fleet = None;
        }
        if let Some(fleet) = &held.fleet {
            fleet.confirm(read_at);
        }
        drop(held);
        self.settle_unconfirmed(leases, read_at);
    }

    /// Releases leases of this process whose cells it no longer runs.
    ///
    /// A holder that stops acting for a cell, such as after an executor has refused its epoch, keeps the
    /// lease. As long as the process lives, no other process would claim the cell.
    async fn release_orphans(&self) {
        if self.closing.get() {
            return;
        }
        let orphans = {
            let held = self.held.borrow();
            let unconfirmed = self.unconfirmed.borrow();
            let is_held = |cell: &str| {
                held.owners.contains_key(cell)
                    || (cell == keys::FLEET_CELL && held.fleet.is_some())
                    || unconfirmed.contains_key(cell)
            };
            self.observations.borrow().orphans(&self.ctx.holder_name(), is_held)
        };
        for (cell, epoch, term) in orphans {
            let tenure = Tenure { cell, epoch, term, predecessor_ended: false };
            if let Err(error) = owner::try_release_lease(&self.ctx, &tenure).await {
                self.ctx.record_table_call(true, &error);
            }
        }
    }

    /// Reads the leases.
    ///
    /// A lease that can't be decoded counts as that of an unknown process, which is not alive, so that
    /// its cell gets a holder. The number of holders is unknown; the row's version is at least as
    /// high.
    async fn read_leases(&self) -> Result<IndexMap<String, (u64, Lease)>, ReadError> {
        let (rows, _) = read_all(&self.ctx, keys::lease("")).await?;
        let unreadable = |version| Lease { holder: UNKNOWN_HOLDER.to_owned(), term: version };
        let versions: Vec<(String, u64)> =
            rows.iter().map(|row| (row.place.key.clone(), row.version)).collect();
        let mut leases: IndexMap<String, (u64, Lease)> = decode_rows(&self.ctx, rows);
        for (cell, version) in versions {
            leases.entry(cell).or_insert_with(|| (version, unreadable(version)));
        }
        Ok(leases)
    }

    async fn read<T: DeserializeOwned>(
        &self,
        from: Place,
    ) -> Result<IndexMap<String, (u64, T)>, ReadError> {
        let (rows, _) = read_all(&self.ctx, from).await?;
        Ok(decode_rows(&self.ctx, rows))
    }

    /// Claims the cells that this process should take, and starts to run them.
    async fn claim_cells(&self) {
        if self.ctx.stopping.get() {
            return;
        }
        let Some(config) = self.ctx.config() else { return };
        let mut cells: Vec<String> =
            config.pools.values().filter(|pool| !pool.standby).map(|p| p.name.clone()).collect();
        // A pool that was removed from the configuration may still have jobs.
        cells.extend(
            self.ctx.loads.borrow().iter().filter(|(_, l)| l.jobs > 0).map(|(n, _)| n.clone()),
        );
        cells.push(keys::FLEET_CELL.to_owned());
        cells.sort();
        cells.dedup();
        let me = self.ctx.holder_name();
        let claims = self.observations.borrow_mut().claims(&cells, &me, clock::now());
        for cell in claims {
            let (version, lease) = self.observations.borrow().lease(&cell);
            // The answer may be handled long after the claim was applied.
            let requested = clock::now();
            if let Some(tenure) = self.claim(&cell, version, &lease).await {
                self.start(tenure, requested);
            }
        }
    }

    /// Starts to run a cell or the fleet's duties.
    fn start(&self, tenure: Tenure, confirmed_at: u64) {
        let mut held = self.held.borrow_mut();
        if tenure.cell == keys::FLEET_CELL {
            held.fleet = Some(Fleet::spawn(Rc::clone(&self.ctx), tenure, confirmed_at));
        } else {
            let cell = tenure.cell.clone();
            held.owners.insert(cell, Owner::spawn(Rc::clone(&self.ctx), tenure, confirmed_at));
        }
    }

    /// Settles claims with an unknown outcome: starts those whose lease was written.
    fn settle_unconfirmed(&self, leases: &IndexMap<String, (u64, Lease)>, read_at: u64) {
        let me = self.ctx.holder_name();
        let unconfirmed = std::mem::take(&mut *self.unconfirmed.borrow_mut());
        for (cell, tenure) in unconfirmed {
            let held = {
                let held = self.held.borrow();
                held.owners.contains_key(&cell)
                    || (cell == keys::FLEET_CELL && held.fleet.is_some())
            };
            match leases.get(&cell) {
                Some((version, lease))
                    if lease.holder == me
                        && lease.term == tenure.term
                        && !held
                        && !self.ctx.stopping.get() =>
                {
                    self.start(Tenure { epoch: *version, ..tenure }, read_at);
                }
                // The claim may still be applied.
                Some((_, lease)) if lease.term < tenure.term => {
                    self.unconfirmed.borrow_mut().insert(cell, tenure);
                }
                _ => {}
            }
        }
    }

    /// Writes the lease of a cell, unless its row has changed since `version`.
    async fn claim(&self, cell: &str, version: u64, previous: &Lease) -> Option<Tenure> {
        let lease = Lease { holder: self.ctx.holder_name(), term: previous.term + 1 };
        let place = keys::lease(cell);
        let transaction = Transaction {
            expect: vec![(place.clone(), version)],
            writes: vec![(place, rows::encode(&lease))],
            removes: Vec::new(),
        };
        let tenure = Tenure {
            cell: cell.to_owned(),
            epoch: 0,
            term: lease.term,
            predecessor_ended: previous.holder.is_empty()
                || self.observations.borrow().has_restarted(&previous.holder),
        };
        match self.ctx.ports.store.apply(&transaction).await {
            Ok(done) => {
                self.ctx.timeline.record(
                    base::Event::CellTaken,
                    &[
                        ("cell", &cell),
                        ("epoch", &done.version),
                        ("term", &lease.term),
                        ("before", &previous.holder),
                    ],
                );
                Some(Tenure { epoch: done.version, ..tenure })
            }
            Err(TransactionError::Unknown { detail }) => {
                self.ctx.record_table_call(true, &detail);
                self.unconfirmed.borrow_mut().insert(cell.to_owned(), tenure);
                None
            }
            // Another process was faster, an earlier claim of this process was applied, or the
            // table rejected the claim.
            Err(_) => None,
        }
    }
}

/// Limits the duration of a read of heartbeats or leases.
async fn in_time<T>(read: impl Future<Output = Result<T, ReadError>>) -> Result<T, ReadError> {
    tokio::time::timeout(SHARED_READ_TIMEOUT, read).await.unwrap_or_else(|_| {
        Err(ReadError::Unavailable { detail: "no response in time".to_owned() })
    })
}
