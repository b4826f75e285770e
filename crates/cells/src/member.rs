//! Heartbeats, leases and the cells that this process holds.

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
use crate::ports::{Change, ChangeError, Place, ReadError};
use crate::rows::{self, Beat, Lease, Load};

/// Time between heartbeats and reads of the shared rows, in milliseconds; six fit in the silence
/// after which a process counts as gone.
const BEAT: u64 = 400;

/// Time after the table's return in which heartbeats come more often, so that a holder that has not
/// returned with it shows early, in milliseconds.
const RETURNING: u64 = 1_500;
/// Time between those heartbeats for each process, in milliseconds; all of them then take a quarter
/// of the transactions of their part of the table.
const QUICK: u64 = 25;

/// Rows that every process has to know, by name and with their versions.
struct Shared {
    beats: IndexMap<String, (u64, Beat)>,
    leases: IndexMap<String, (u64, Lease)>,
    loads: IndexMap<String, (u64, Load)>,
}

/// The cells that this process holds.
#[derive(Default)]
struct Held {
    owners: IndexMap<String, Owner>,
    fleet: Option<Fleet>,
}

/// Keeps this process a member for as long as it runs.
pub(crate) struct Member {
    ctx: Rc<Context>,
    held: RefCell<Held>,
    seen: RefCell<Observations>,
    /// Claims without an answer; their epochs are not known.
    doubts: RefCell<IndexMap<String, Tenure>>,
}

impl Member {
    pub fn spawn(ctx: Rc<Context>) -> Rc<Self> {
        let member = Rc::new(Self {
            ctx,
            held: RefCell::default(),
            seen: RefCell::default(),
            doubts: RefCell::default(),
        });
        actix::spawn(Rc::clone(&member).beat());
        actix::spawn(Rc::clone(&member).poll());
        member
    }

    /// Hands all cells over, then leaves.
    pub async fn close(&self) {
        let held = std::mem::take(&mut *self.held.borrow_mut());
        let closing = held.owners.into_values().map(Owner::close);
        futures_util::future::join_all(closing).await;
        if let Some(fleet) = held.fleet {
            fleet.close().await;
        }
    }

    async fn beat(self: Rc<Self>) {
        let place = keys::beat(&self.ctx.settings.name);
        for count in 1.. {
            let open = !self.ctx.stopping.get();
            let power = self.ctx.settings.power;
            let beat = Beat { count, start: self.ctx.start, open, power };
            let change =
                Change { writes: vec![(place.clone(), rows::encode(&beat))], ..Change::default() };
            tokio::select! {
                // A request that an outage has left without an answer would hold the next beat up.
                () = self.ctx.table_back() => continue,
                result = self.ctx.ports.store.apply(&change) => if let Err(error) = result {
                    self.ctx.set_away(true, &error.to_string());
                },
            }
            self.rest().await;
        }
    }

    async fn poll(self: Rc<Self>) {
        loop {
            let asked = clock::now();
            let shared = tokio::select! {
                () = self.ctx.table_back() => continue,
                shared = self.read_shared() => shared,
            };
            match shared {
                Ok(shared) => {
                    self.ctx.set_away(false, "shared rows were read");
                    self.take(shared, asked);
                    self.claim().await;
                    let held = self.held.borrow();
                    let cells = held.owners.len() + usize::from(held.fleet.is_some());
                    self.ctx.holding.set(cells > 0);
                    self.ctx.metrics.cells.set(i64::try_from(cells).unwrap_or(i64::MAX));
                    let listed = self.ctx.registry.borrow().len();
                    self.ctx.metrics.executors.set(i64::try_from(listed).unwrap_or(i64::MAX));
                }
                Err(error) => self.ctx.set_away(true, &error.to_string()),
            }
            self.rest().await;
        }
    }

    /// Waits for the next heartbeat or read of the shared rows; the table's return ends the wait.
    async fn rest(&self) {
        let returning = clock::now() < self.ctx.returned.get() + RETURNING;
        let quick = (QUICK * self.seen.borrow().processes() as u64).min(BEAT);
        tokio::select! {
            () = pause(if returning { quick } else { BEAT }) => {}
            () = self.ctx.table_back() => {}
        }
    }

    /// Takes in the shared rows, and gives up cells that others hold by now.
    fn take(&self, shared: Shared, asked: u64) {
        let now = clock::now();
        let Shared { beats, leases, loads } = shared;
        *self.ctx.loads.borrow_mut() = loads.into_iter().map(|(n, (_, load))| (n, load)).collect();
        let me = self.ctx.holder();
        let mut held = self.held.borrow_mut();
        let is_mine = |cell: &str, tenure: &Tenure| {
            leases.get(cell).is_some_and(|(_, l)| l.holder == me && l.term == tenure.term)
        };
        held.owners.retain(|cell, owner| {
            if is_mine(cell, owner.tenure()) {
                owner.confirm(asked);
                return true;
            }
            owner.abandon("another process holds the lease");
            false
        });
        held.owners.retain(|_, owner| !owner.is_lost());
        if let Some(fleet) = &held.fleet
            && (fleet.is_lost() || !is_mine(keys::FLEET, fleet.tenure()))
        {
            fleet.abandon();
            held.fleet = None;
        }
        if let Some(fleet) = &held.fleet {
            fleet.confirm(asked);
        }
        drop(held);
        self.adopt(&leases);
        self.seen.borrow_mut().observe(beats, leases, now);
    }

    /// Reads what every process has to know.
    async fn read_shared(&self) -> Result<Shared, ReadError> {
        let (beats, leases, loads) = futures_util::future::try_join3(
            self.read(keys::beat("")),
            self.read(keys::lease("")),
            self.read(keys::load("")),
        )
        .await?;
        Ok(Shared { beats, leases, loads })
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

    /// Claims the cells that are this process's to take.
    async fn claim(&self) {
        if self.ctx.stopping.get() {
            return;
        }
        let Some(config) = self.ctx.config() else { return };
        let mut cells: Vec<String> =
            config.pools.values().filter(|pool| !pool.standby).map(|p| p.name.clone()).collect();
        // A pool that is gone from the configuration may still have jobs.
        cells.extend(
            self.ctx.loads.borrow().iter().filter(|(_, l)| l.jobs > 0).map(|(n, _)| n.clone()),
        );
        cells.push(keys::FLEET.to_owned());
        cells.sort();
        cells.dedup();
        let me = self.ctx.holder();
        let claims = self.seen.borrow_mut().claims(&cells, &me, clock::now());
        for cell in claims {
            let (version, lease) = self.seen.borrow().lease(&cell);
            if let Some(tenure) = self.acquire(&cell, version, &lease).await {
                self.start(tenure);
            }
        }
    }

    /// Runs a cell or the fleet's duties.
    fn start(&self, tenure: Tenure) {
        let mut held = self.held.borrow_mut();
        if tenure.cell == keys::FLEET {
            held.fleet = Some(Fleet::spawn(Rc::clone(&self.ctx), tenure));
        } else {
            let cell = tenure.cell.clone();
            held.owners.insert(cell, Owner::spawn(Rc::clone(&self.ctx), tenure));
        }
    }

    /// Starts what a claim without an answer has brought: its lease is there in this name.
    fn adopt(&self, leases: &IndexMap<String, (u64, Lease)>) {
        let me = self.ctx.holder();
        let doubts = std::mem::take(&mut *self.doubts.borrow_mut());
        for (cell, tenure) in doubts {
            let held = {
                let held = self.held.borrow();
                held.owners.contains_key(&cell) || (cell == keys::FLEET && held.fleet.is_some())
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
                // It may be applied yet.
                Some((_, lease)) if lease.term < tenure.term => {
                    self.doubts.borrow_mut().insert(cell, tenure);
                }
                _ => {}
            }
        }
    }

    async fn acquire(&self, cell: &str, version: u64, old: &Lease) -> Option<Tenure> {
        let lease = Lease { holder: self.ctx.holder(), term: old.term + 1 };
        let place = keys::lease(cell);
        let change = Change {
            expect: vec![(place.clone(), version)],
            writes: vec![(place, rows::encode(&lease))],
            removes: Vec::new(),
        };
        let tenure = Tenure {
            cell: cell.to_owned(),
            epoch: 0,
            term: lease.term,
            predecessor_ended: old.holder.is_empty() || self.seen.borrow().ended(&old.holder),
        };
        match self.ctx.ports.store.apply(&change).await {
            Ok(done) => {
                self.ctx.timeline.record(
                    base::Event::CellTaken,
                    &[
                        ("cell", &cell),
                        ("epoch", &done.version),
                        ("term", &lease.term),
                        ("before", &old.holder),
                    ],
                );
                Some(Tenure { epoch: done.version, ..tenure })
            }
            Err(ChangeError::Unknown { what }) => {
                self.ctx.set_away(true, &what);
                self.doubts.borrow_mut().insert(cell.to_owned(), tenure);
                None
            }
            // Another process was faster, or this one's claim was applied without an answer.
            Err(_) => None,
        }
    }
}
