//! Membership of this process: heartbeats, claims of leases and the cells that it holds.

use std::cell::RefCell;
use std::rc::Rc;

use indexmap::IndexMap;
use serde::de::DeserializeOwned;

use crate::claim::Observations;
use crate::clock;
use crate::context::{Context, pause};
use crate::fleet::Fleet;
use crate::follow::read_all;
use crate::keys;
use crate::owner::{Owner, Tenure};
use crate::ports::{Place, ReadError, Transaction, TransactionError};
use crate::rows::{self, Heartbeat, Lease, Load};

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
/// All processes together then use a quarter of the transactions of the heartbeats' part.
const RECOVERY_INTERVAL_PER_PROCESS_MS: u64 = 25;

/// Rows of the shared table, with their versions, by the name of the process or cell.
struct SharedRows {
    heartbeats: IndexMap<String, (u64, Heartbeat)>,
    leases: IndexMap<String, (u64, Lease)>,
    loads: IndexMap<String, (u64, Load)>,
}

/// Cells and duties that this process holds.
#[derive(Default)]
struct Held {
    owners: IndexMap<String, Owner>,
    fleet: Option<Fleet>,
}

/// Writes heartbeats and claims cells while the process runs.
pub(crate) struct Member {
    ctx: Rc<Context>,
    held: RefCell<Held>,
    observations: RefCell<Observations>,
    /// Claims with an unknown outcome, by cell; their epoch is not set yet.
    unconfirmed: RefCell<IndexMap<String, Tenure>>,
}

impl Member {
    pub fn spawn(ctx: Rc<Context>) -> Rc<Self> {
        let member = Rc::new(Self {
            ctx,
            held: RefCell::default(),
            observations: RefCell::default(),
            unconfirmed: RefCell::default(),
        });
        actix::spawn(Rc::clone(&member).write_heartbeats());
        actix::spawn(Rc::clone(&member).poll_shared_rows());
        member
    }

    /// Releases the leases of all held cells and of the fleet's duties.
    pub async fn close(&self) {
        let held = std::mem::take(&mut *self.held.borrow_mut());
        let closing = held.owners.into_values().map(Owner::close);
        futures_util::future::join_all(closing).await;
        if let Some(fleet) = held.fleet {
            fleet.close().await;
        }
    }

    async fn write_heartbeats(self: Rc<Self>) {
        let place = keys::heartbeat(&self.ctx.settings.name);
        for count in 1.. {
            let accepts_cells = !self.ctx.stopping.get();
            let cpu = self.ctx.settings.cpu;
            let heartbeat =
                Heartbeat { count, start_time: self.ctx.start_time, accepts_cells, cpu };
            let transaction = Transaction {
                writes: vec![(place.clone(), rows::encode(&heartbeat))],
                ..Transaction::default()
            };
            tokio::select! {
                // A request left unanswered by an outage must not delay the next heartbeat.
                () = self.ctx.table_recovered() => continue,
                result = self.ctx.ports.store.apply(&transaction) => if let Err(error) = result {
                    self.ctx.record_table_call(true, &error.to_string());
                },
            }
            self.wait_for_next_round().await;
        }
    }

    async fn poll_shared_rows(self: Rc<Self>) {
        loop {
            let read_at = clock::now();
            let shared = tokio::select! {
                () = self.ctx.table_recovered() => continue,
                shared = self.read_shared() => shared,
            };
            match shared {
                Ok(shared) => {
                    self.ctx.record_table_call(false, "read of the shared rows succeeded");
                    self.apply_shared(shared, read_at);
                    self.claim_cells().await;
                    let held = self.held.borrow();
                    let cells = held.owners.len() + usize::from(held.fleet.is_some());
                    self.ctx.is_holder.set(cells > 0);
                    self.ctx.metrics.cells_held.set(i64::try_from(cells).unwrap_or(i64::MAX));
                    let listed = self.ctx.registry.borrow().len();
                    self.ctx
                        .metrics
                        .executors_listed
                        .set(i64::try_from(listed).unwrap_or(i64::MAX));
                }
                Err(error) => self.ctx.record_table_call(true, &error.to_string()),
            }
            self.wait_for_next_round().await;
        }
    }

    /// Waits until the next heartbeat or read; a recovery of the table ends the wait.
    async fn wait_for_next_round(&self) {
        let after_recovery = clock::now() < self.ctx.recovered_at.get() + RECOVERY_MS;
        let recovery_interval = (RECOVERY_INTERVAL_PER_PROCESS_MS
            * self.observations.borrow().process_count() as u64)
            .min(HEARTBEAT_INTERVAL_MS);
        tokio::select! {
            () = pause(if after_recovery { recovery_interval } else { HEARTBEAT_INTERVAL_MS }) => {}
            () = self.ctx.table_recovered() => {}
        }
    }

    /// Applies the shared rows, and stops acting for cells whose lease another process holds.
    fn apply_shared(&self, shared: SharedRows, read_at: u64) {
        let now = clock::now();
        let SharedRows { heartbeats, leases, loads } = shared;
        *self.ctx.loads.borrow_mut() = loads.into_iter().map(|(n, (_, load))| (n, load)).collect();
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
        self.settle_unconfirmed(&leases);
        self.observations.borrow_mut().observe(heartbeats, leases, now);
    }

    /// Reads the heartbeats, leases and loads.
    async fn read_shared(&self) -> Result<SharedRows, ReadError> {
        let (heartbeats, leases, loads) = futures_util::future::try_join3(
            self.read(keys::heartbeat("")),
            self.read(keys::lease("")),
            self.read(keys::load("")),
        )
        .await?;
        Ok(SharedRows { heartbeats, leases, loads })
    }

    async fn read<T: DeserializeOwned>(
        &self,
        from: Place,
    ) -> Result<IndexMap<String, (u64, T)>, ReadError> {
        let (rows, _) = read_all(&self.ctx, from).await?;
        let mut all = IndexMap::new();
        for row in rows {
            let Some(value) = &row.value else { continue };
            match rows::decode(value) {
                Ok(value) => {
                    all.insert(row.place.key, (row.version, value));
                }
                Err(error) => self.ctx.timeline.record(
                    base::Event::RowUnreadable,
                    &[("row", &row.place.key), ("error", &error)],
                ),
            }
        }
        Ok(all)
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
            if let Some(tenure) = self.claim(&cell, version, &lease).await {
                self.start(tenure);
            }
        }
    }

    /// Starts to run a cell or the fleet's duties.
    fn start(&self, tenure: Tenure) {
        let mut held = self.held.borrow_mut();
        if tenure.cell == keys::FLEET_CELL {
            held.fleet = Some(Fleet::spawn(Rc::clone(&self.ctx), tenure));
        } else {
            let cell = tenure.cell.clone();
            held.owners.insert(cell, Owner::spawn(Rc::clone(&self.ctx), tenure));
        }
    }

    /// Settles claims with an unknown outcome: starts those whose lease was written.
    fn settle_unconfirmed(&self, leases: &IndexMap<String, (u64, Lease)>) {
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
                    self.start(Tenure { epoch: *version, ..tenure });
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
