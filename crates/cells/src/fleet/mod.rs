//! The fleet's duties: maintenance waves and moves between pools, one process at a time.
//!
//! A machine's row tells how far its duty is. The holder of the machine's cell empties its
//! executor and says so in the row; the holder of the duties then gives the order. For a wave, the
//! row says that the machine may be down before the order goes out, so that a successor counts it.

mod shift;
mod wave;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use futures_util::future::join_all;
use indexmap::{IndexMap, IndexSet};
use jobs::share::Shares;
use jobs::wave::{Stage, Wave};

use crate::clock;
use crate::context::{Context, pause};
use crate::owner::{self, Tenure};
use crate::ports::{Change, ChangeError, Machine, Place};
use crate::rows::{self, Duty, Load};

/// Time between rounds, in milliseconds; a fraction of a machine's stop.
const ROUND: u64 = 120;
/// Least pause between rounds, in milliseconds; leaves the processor to others.
const LULL: u64 = 20;
/// Time for which the holder gives orders after its lease was last confirmed, in milliseconds;
/// less than the silence after which another process takes the lease.
const VALID: u64 = 1_500;
/// Rows in one transaction; each takes two of the hundred entries allowed.
const BATCH: usize = 40;

/// Machines that can't be ordered now.
#[derive(Default)]
struct Engaged {
    /// Machines with a duty that takes them away.
    taken: IndexSet<String>,
    /// Machines that an earlier holder may have given an order for just now.
    fresh: IndexSet<String>,
}

/// Handle of the fleet's duties.
pub(crate) struct Fleet {
    inner: Rc<Inner>,
}

pub(super) struct Inner {
    ctx: Rc<Context>,
    tenure: Tenure,
    confirmed: Cell<u64>,
    lost: Cell<bool>,
    machines: RefCell<IndexMap<String, Machine>>,
    /// When the list of machines was asked for, in milliseconds.
    listed: Cell<u64>,
    /// When this holder's order for a machine in a wave was taken, in milliseconds.
    taken: RefCell<IndexMap<(u64, String), u64>>,
    reported: RefCell<IndexMap<u64, bool>>,
    /// When waves were first seen by any holder, by the table's clock.
    starts: RefCell<IndexMap<u64, u64>>,
    /// Loads of the cells, as last read.
    loads: RefCell<IndexMap<String, Load>>,
    shares: RefCell<Shares>,
    engaged: RefCell<Engaged>,
    /// Machines on their way to another pool, with the pool and the time of the order.
    moving: RefCell<IndexMap<String, (String, u64)>>,
}

impl Fleet {
    pub fn spawn(ctx: Rc<Context>, tenure: Tenure) -> Self {
        let inner = Rc::new(Inner {
            ctx,
            tenure,
            confirmed: Cell::new(clock::now()),
            lost: Cell::new(false),
            machines: RefCell::default(),
            listed: Cell::new(0),
            taken: RefCell::default(),
            reported: RefCell::default(),
            starts: RefCell::default(),
            loads: RefCell::default(),
            shares: RefCell::default(),
            engaged: RefCell::default(),
            moving: RefCell::default(),
        });
        actix::spawn(Rc::clone(&inner).run());
        Self { inner }
    }

    pub fn tenure(&self) -> &Tenure {
        &self.inner.tenure
    }

    /// Notes that the lease was seen to be held.
    pub fn confirm(&self, now: u64) {
        self.inner.confirmed.set(now);
    }

    /// Ends without a hand-over.
    pub fn abandon(&self) {
        self.inner.lost.set(true);
    }

    pub fn is_lost(&self) -> bool {
        self.inner.lost.get()
    }

    /// Ends and hands the duties over.
    pub async fn close(self) {
        if !self.inner.lost.replace(true) {
            owner::release_lease(&self.inner.ctx, &self.inner.tenure).await;
        }
    }
}

impl Inner {
    fn may_order(&self) -> bool {
        let now = clock::now();
        !self.lost.get() && now < self.confirmed.get() + VALID
    }

    async fn run(self: Rc<Self>) {
        self.ctx.holding.set(true);
        while !self.lost.get() {
            let begun = clock::now();
            if self.may_order()
                && self.ctx.duties_known.get()
                && let Err(what) = self.round().await
            {
                self.ctx.timeline.record(base::Event::DutyDelayed, &[("what", &what)]);
            }
            let took = clock::now() - begun;
            pause(ROUND.saturating_sub(took).max(LULL)).await;
        }
    }

    async fn round(&self) -> Result<(), String> {
        let asked = clock::now();
        let machines = self.ctx.ports.machines.list().await.map_err(|error| error.to_string())?;
        self.listed.set(asked);
        *self.machines.borrow_mut() =
            machines.into_iter().map(|machine| (machine.name.clone(), machine)).collect();
        self.read_loads().await?;
        self.sort_engaged();
        let waves: Vec<Wave> = self.ctx.waves.borrow().values().cloned().collect();
        for wave in waves {
            if self.reported.borrow().get(&wave.number) != Some(&true) {
                self.wave(&wave).await?;
            }
        }
        self.shift_machines().await
    }

    /// A duty as it is known.
    fn duty(&self, place: &Place) -> Option<Duty> {
        self.ctx.duties.borrow().get(&place.key).map(|(_, duty)| duty.clone())
    }

    /// Whether a machine has a duty that takes it away.
    fn has_duty(&self, machine: &str) -> bool {
        self.engaged.borrow().taken.contains(machine)
    }

    /// Whether an earlier holder may have given an order for a machine so lately that another one
    /// would come too close.
    fn is_fresh(&self, machine: &str) -> bool {
        self.engaged.borrow().fresh.contains(machine)
    }

    /// Sorts the machines by their duties, once a round, as there may be thousands of each.
    fn sort_engaged(&self) {
        let duties = self.ctx.duties.borrow();
        let now = self.ctx.table_now();
        let handover = self.ctx.settings.bounds.handover;
        let mut engaged = Engaged::default();
        for (_, duty) in duties.values() {
            if duty.takes_away() {
                engaged.taken.insert(duty.machine.clone());
            }
            if duty.epoch != self.tenure.epoch && now < duty.at + handover {
                engaged.fresh.insert(duty.machine.clone());
            }
        }
        *self.engaged.borrow_mut() = engaged;
    }

    /// Writes several duties; `None` removes a row.
    async fn write(&self, duties: Vec<(Place, Option<Duty>)>) -> Result<(), String> {
        let writes = duties.chunks(BATCH).map(|batch| self.write_batch(batch));
        join_all(writes).await.into_iter().collect()
    }

    async fn write_batch(&self, batch: &[(Place, Option<Duty>)]) -> Result<(), String> {
        let mut change = Change::default();
        for (place, duty) in batch {
            let known = self.ctx.duties.borrow().get(&place.key).map_or(0, |(at, _)| *at);
            change.expect.push((place.clone(), known));
            match duty {
                Some(duty) => change.writes.push((place.clone(), rows::encode(duty))),
                None => change.removes.push(place.clone()),
            }
        }
        match self.ctx.ports.store.apply(&change).await {
            Ok(done) => {
                let mut known = self.ctx.duties.borrow_mut();
                for (place, duty) in batch {
                    match duty {
                        Some(duty) => {
                            if duty.takes_away() {
                                self.engaged.borrow_mut().taken.insert(duty.machine.clone());
                            }
                            known.insert(place.key.clone(), (done.version, duty.clone()));
                        }
                        None => {
                            known.swap_remove(&place.key);
                        }
                    }
                }
                Ok(())
            }
            Err(ChangeError::Conflict { rows }) => {
                rows.iter().for_each(|row| self.ctx.take_duty(row, true));
                Err("a machine's row has changed".to_owned())
            }
            Err(error) => Err(error.to_string()),
        }
    }

    /// A duty whose order is about to go out.
    fn ordered(&self, duty: Duty) -> Duty {
        let (at, epoch) = (self.ctx.table_now(), self.tenure.epoch);
        Duty { stage: Stage::Down.to_string(), empty: true, at, epoch, ..duty }
    }

    /// Whether nobody runs anything on a machine.
    fn is_off(&self, machine: &Machine) -> bool {
        let standby = |pool: &str| {
            let config = self.ctx.config();
            config.is_some_and(|c| c.pools.get(pool).is_some_and(|pool| pool.standby))
        };
        machine.executor.is_empty() || standby(&machine.pool)
    }
}

/// A duty at a stage, for the executor that the machine has now.
fn duty(machine: &Machine, wave: u64, pool: &str, stage: Stage) -> Duty {
    Duty {
        machine: machine.name.clone(),
        wave,
        pool: pool.to_owned(),
        stage: stage.to_string(),
        executor: machine.executor.clone(),
        gone: false,
        empty: false,
        at: 0,
        epoch: 0,
    }
}
