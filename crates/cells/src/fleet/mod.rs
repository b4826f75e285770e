//! Duties of the fleet: maintenance waves and moves of machines between pools.
//!
//! One process at a time holds the lease on the duties. Each duty has a row with its stage. The
//! holder of the machine's cell empties the executor and records that in the row; the holder of the
//! duties then orders the machine down or into its new pool. It records the order in the row before
//! sending it, so that a successor counts the machine as down. The successor reads the rows after its
//! claim; those it knows from before may lack the last orders.

mod moves;
mod wave;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{join, join_all, join3};
use indexmap::{IndexMap, IndexSet};
use jobs::rate::OrderRate;
use jobs::share::Rebalancer;
use jobs::wave::{Stage, Wave};

use crate::clock;
use crate::context::{Context, pause};
use crate::duties::DutyChange;
use crate::follow::read_all;
use crate::guard::{self, ClaimError};
use crate::keys;
use crate::metrics::Metrics;
use crate::owner::{self, Tenure};
use crate::ports::{Machine, MachineError, Place};
use crate::rows::{Duty, PoolState};
use crate::supervise;
use crate::withdrawal;

/// Time between the starts of two rounds, in milliseconds; a fraction of the time that a machine's
/// stop takes.
const ROUND_INTERVAL_MS: u64 = 120;
/// Shortest pause between rounds, in milliseconds; leaves processor time to other tasks.
const MIN_ROUND_PAUSE_MS: u64 = 20;
/// Time for which the holder sends orders after its lease was last confirmed, in milliseconds.
///
/// It is shorter than the failure timeout after which another process claims the lease.
const ORDER_VALIDITY_MS: u64 = 1_500;
/// Age of an order's record up to which the order is sent, in milliseconds; longer than the timeout of
/// the record's write.
const RECORD_VALIDITY_MS: u64 = 1_300;
/// Time after which no order is on its way any more, in milliseconds after the time on its record.
///
/// The time between the orders of two holders begins after it.
const ORDER_TIMEOUT_MS: u64 = 2_300;
/// Minimum time between two log lines about the phases of a round, in milliseconds.
const ROUND_LOG_INTERVAL_MS: u64 = 1_000;

/// Machines that get no new orders now.
#[derive(Default)]
struct ReservedMachines {
    /// Machines with a duty in progress.
    with_duty: IndexSet<String>,
    /// Machines for which a former holder may have sent an order recently.
    recently_ordered: IndexSet<String>,
}

/// Handle of the task that carries out the fleet's duties.
pub(crate) struct Fleet {
    inner: Rc<Inner>,
}

pub(super) struct Inner {
    ctx: Rc<Context>,
    tenure: Tenure,
    /// Time at which this process took the duties, in milliseconds.
    taken_at: u64,
    /// Time at which the lease was last confirmed, in milliseconds.
    confirmed_at: Cell<u64>,
    lost: Cell<bool>,
    machines: RefCell<IndexMap<String, Machine>>,
    /// Time of the request for the list of machines, in milliseconds.
    listed_at: Cell<u64>,
    /// Times at which this holder's orders were accepted, by wave and machine, in milliseconds.
    accepted: RefCell<IndexMap<(u64, String), u64>>,
    /// Machines whose last order for a wave was refused as they were busy, with the time of the next
    /// attempt in milliseconds.
    busy_until: RefCell<IndexMap<String, u64>>,
    /// Times since which machines are being emptied for waves, by wave and machine, in milliseconds.
    emptying_since: RefCell<IndexMap<(u64, String), u64>>,
    /// Orders for waves with an unknown outcome, by wave and machine.
    open_orders: RefCell<IndexSet<(u64, String)>>,
    /// Machines of waves that had long-running tasks before they were emptied.
    long_running: RefCell<IndexSet<String>>,
    /// Waves reported to the operator, and whether as complete.
    reported: RefCell<IndexMap<u64, bool>>,
    /// Times at which this holder first saw waves, by the table's clock.
    waves_seen: RefCell<IndexMap<u64, u64>>,
    /// Times at which waves were first seen by any holder, by the table's clock.
    wave_starts: RefCell<IndexMap<u64, u64>>,
    /// Newest known states of the pools.
    pool_states: RefCell<IndexMap<String, PoolState>>,
    rebalancer: RefCell<Rebalancer>,
    /// Pool of the expected peak that was logged last.
    logged_peak: RefCell<Option<String>>,
    /// Times since which machines have had no executor, in milliseconds.
    down_since: RefCell<IndexMap<String, u64>>,
    order_rate: RefCell<OrderRate>,
    /// Number of orders sent.
    order_count: Cell<usize>,
    /// Time of the last log line about the phases of a round, in milliseconds.
    round_logged_at: Cell<u64>,
    reserved: RefCell<ReservedMachines>,
    /// Parts of the duties that were not read since this process took them.
    unread: RefCell<IndexSet<String>>,
    /// Machines that move: the new pool, and the time of the decision or of the accepted order.
    moving: RefCell<IndexMap<String, (String, u64)>>,
}

impl Fleet {
    /// Starts the duties, whose lease was free or this process's at `confirmed_at`.
    pub fn spawn(ctx: Rc<Context>, tenure: Tenure, confirmed_at: u64) -> Self {
        let order_rate = RefCell::new(OrderRate::new(ctx.settings.order_rate));
        let rebalancer = if ctx.settings.forecast_peaks {
            Rebalancer::with_forecast()
        } else {
            Rebalancer::default()
        };
        let inner = Rc::new(Inner {
            ctx,
            tenure,
            taken_at: clock::now(),
            confirmed_at: Cell::new(confirmed_at),
            lost: Cell::new(false),
            machines: RefCell::default(),
            listed_at: Cell::new(0),
            accepted: RefCell::default(),
            busy_until: RefCell::default(),
            emptying_since: RefCell::default(),
            open_orders: RefCell::default(),
            long_running: RefCell::default(),
            reported: RefCell::default(),
            waves_seen: RefCell::default(),
            wave_starts: RefCell::default(),
            pool_states: RefCell::default(),
            rebalancer: RefCell::new(rebalancer),
            logged_peak: RefCell::default(),
            down_since: RefCell::default(),
            order_rate,
            order_count: Cell::new(0),
            round_logged_at: Cell::new(0),
            reserved: RefCell::default(),
            unread: RefCell::new(keys::duty_parts().into_iter().collect()),
            moving: RefCell::default(),
        });
        let failed = Rc::clone(&inner);
        supervise::spawn(Rc::clone(&inner).run(), move || failed.lost.set(true));
        Self { inner }
    }

    pub fn tenure(&self) -> &Tenure {
        &self.inner.tenure
    }

    /// Time at which this process took the duties, in milliseconds.
    pub fn taken_at(&self) -> u64 {
        self.inner.taken_at
    }

    /// Records that the lease was held at a time.
    pub fn confirm(&self, at: u64) {
        self.inner.confirmed_at.set(at);
    }

    /// Stops the task without releasing the lease.
    pub fn abandon(&self) {
        self.inner.lost.set(true);
    }

    pub fn is_lost(&self) -> bool {
        self.inner.lost.get()
    }

    /// Stops the task and releases the lease.
    pub async fn close(self) {
        if !self.inner.lost.replace(true) {
            owner::release_lease(&self.inner.ctx, &self.inner.tenure).await;
        }
    }
}

impl Inner {
    /// Returns whether orders may be sent: the lease was confirmed recently.
    fn may_order(&self) -> bool {
        let now = clock::now();
        !self.lost.get() && now < self.confirmed_at.get() + ORDER_VALIDITY_MS
    }

    /// Returns how long an order may take that was recorded at a time, in milliseconds; `None` if the
    /// lease was not confirmed recently or the record is too old.
    fn order_timeout(&self, recorded_at: u64) -> Option<Duration> {
        let age = clock::now().saturating_sub(recorded_at);
        let is_valid = self.may_order() && age < RECORD_VALIDITY_MS;
        is_valid.then(|| Duration::from_millis(ORDER_TIMEOUT_MS - age))
    }

    async fn run(self: Rc<Self>) {
        self.ctx.is_holder.set(true);
        self.claim_guards().await;
        // A part that can't be read holds up only the orders that depend on it.
        let withdrawals = withdrawal::remove_old(Rc::clone(&self.ctx), || !self.lost.get());
        join3(self.read_duties(), self.run_rounds(), withdrawals).await;
    }

    async fn run_rounds(&self) {
        while !self.lost.get() {
            let started = clock::now();
            if self.may_order()
                && self.ctx.duties_read.get()
                // The incarnations of executors are those of the registry.
                && self.ctx.registry_read.get()
                && let Err(error) = self.run_round().await
            {
                self.ctx.timeline.record(base::Event::DutyDelayed, &[("what", &error)]);
            }
            let duration = clock::now() - started;
            pause(ROUND_INTERVAL_MS.saturating_sub(duration).max(MIN_ROUND_PAUSE_MS)).await;
        }
    }

    /// Claims the guard rows; returns once that has succeeded or the lease is lost.
    async fn claim_guards(&self) {
        while !self.lost.get() {
            match guard::claim(&self.ctx, keys::FLEET_CELL, self.tenure.epoch).await {
                Ok(_) => return,
                Err(ClaimError::Lost) => self.lost.set(true),
                Err(ClaimError::Unavailable(error)) => {
                    self.ctx.timeline.record(base::Event::DutyDelayed, &[("what", &error)]);
                    pause(ROUND_INTERVAL_MS).await;
                }
            }
        }
    }

    /// Reads the duties as the former holder has left them.
    async fn read_duties(&self) {
        let parts = keys::duty_parts();
        join_all(parts.iter().map(|part| self.read_part(part))).await;
    }

    async fn read_part(&self, part: &str) {
        while !self.lost.get() {
            match read_all(&self.ctx, Place::new(keys::DUTY_TABLE, part, "")).await {
                Ok((rows, _)) => {
                    rows.iter().for_each(|row| self.ctx.apply_duty(row));
                    self.unread.borrow_mut().swap_remove(part);
                    return;
                }
                Err(error) => {
                    self.log_delay(&format!("duties in {part}: {error}"));
                    pause(ROUND_INTERVAL_MS).await;
                }
            }
        }
    }

    /// Returns whether the last orders of a former holder for a machine may be unknown.
    fn is_unread(&self, machine: &str) -> bool {
        let unread = self.unread.borrow();
        !unread.is_empty() && unread.contains(&keys::pool_move(machine).part)
    }

    async fn run_round(&self) -> Result<(), String> {
        let requested_at = clock::now();
        let machines = self.ctx.list_machines().await.map_err(|error| error.to_string())?;
        self.listed_at.set(requested_at);
        *self.machines.borrow_mut() =
            machines.into_iter().map(|machine| (machine.name.clone(), machine)).collect();
        let listed = clock::now();
        self.read_pool_states().await;
        self.update_reserved();
        let loads_read = clock::now();
        let orders_before = self.order_count.get();
        // Neither waits for the other's writes and orders. Each reserves its machines before it
        // waits for anything, so that no machine gets two duties.
        let waves = async {
            self.advance_waves().await;
            clock::now()
        };
        let moves = async {
            self.move_machines().await;
            clock::now()
        };
        let (waves_end, moves_end) = join(waves, moves).await;
        self.record_phases(&[
            ("list_ms", listed - requested_at),
            ("loads_ms", loads_read - listed),
            ("waves_ms", waves_end - loads_read),
            ("moves_ms", moves_end - loads_read),
            ("orders", (self.order_count.get() - orders_before) as u64),
            ("duties", self.ctx.duties.borrow().in_progress().count() as u64),
        ]);
        Ok(())
    }

    /// Records the durations of a round's phases in the metrics and, once a second, in the log.
    fn record_phases(&self, fields: &[(&str, u64)]) {
        for (name, duration) in fields {
            if let Some(phase) = name.strip_suffix("_ms") {
                let family = &self.ctx.metrics.fleet_round_seconds;
                Metrics::observe(family, &[phase], Duration::from_millis(*duration));
            }
        }
        let now = clock::now();
        if now >= self.round_logged_at.get() + ROUND_LOG_INTERVAL_MS {
            self.round_logged_at.set(now);
            let fields: Vec<(&str, &dyn std::fmt::Display)> = fields
                .iter()
                .map(|(name, value)| (*name, value as &dyn std::fmt::Display))
                .collect();
            self.ctx.timeline.record(base::Event::FleetRound, &fields);
        }
    }

    /// Carries out the next steps of all waves; one that fails does not hold up the others.
    async fn advance_waves(&self) {
        let waves: Vec<Wave> = self.ctx.waves.borrow().values().cloned().collect();
        for wave in waves {
            if self.reported.borrow().get(&wave.number) != Some(&true)
                && let Err(error) = self.advance_wave(&wave).await
            {
                self.log_delay(&format!("wave {}: {error}", wave.number));
            }
        }
    }

    /// Returns the last known row of a duty.
    fn duty(&self, place: &Place) -> Option<Duty> {
        self.ctx.duties.borrow().get(&place.key).map(|(_, duty)| duty.clone())
    }

    /// Returns whether a machine has a duty in progress.
    fn has_duty(&self, machine: &str) -> bool {
        self.reserved.borrow().with_duty.contains(machine)
    }

    /// Returns whether a former holder may have sent an order for a machine recently.
    ///
    /// A new order is sent only after the platform's hand-over time.
    fn is_recently_ordered(&self, machine: &str) -> bool {
        self.reserved.borrow().recently_ordered.contains(machine)
    }

    /// Updates the reserved machines, once a round, as there may be thousands of duties.
    fn update_reserved(&self) {
        let duties = self.ctx.duties.borrow();
        let now = self.ctx.table_now();
        let handover = ORDER_TIMEOUT_MS + self.ctx.settings.bounds.handover;
        let mut reserved = ReservedMachines::default();
        reserved.with_duty.extend(duties.in_progress().map(|(.., duty)| duty.machine.clone()));
        let machines = self.machines.borrow();
        reserved.recently_ordered.extend(machines.keys().filter(|m| self.is_unread(m)).cloned());
        for duty in duties.values() {
            if duty.epoch != self.tenure.epoch && now < duty.ordered_at + handover {
                reserved.recently_ordered.insert(duty.machine.clone());
            }
        }
        *self.reserved.borrow_mut() = reserved;
    }

    /// Reserves a machine for a duty that is about to be written.
    fn reserve(&self, machine: &str) {
        self.reserved.borrow_mut().with_duty.insert(machine.to_owned());
    }

    /// Returns a change of a duty's row as it is known now; `None` removes the row.
    fn change(&self, place: Place, duty: Option<Duty>) -> DutyChange {
        let version = self.ctx.duties.borrow().get(&place.key).map_or(0, |(version, _)| *version);
        DutyChange { place, version, duty }
    }

    /// Returns a duty as it is written just before its order is sent.
    fn with_order(&self, duty: Duty) -> Duty {
        let (at, epoch) = (self.ctx.table_now(), self.tenure.epoch);
        Duty { stage: Stage::Down.to_string(), emptied: true, ordered_at: at, epoch, ..duty }
    }

    /// Returns a duty with the last order on record in its row, which a successor has to know.
    fn keep_order(&self, place: &Place, duty: Duty) -> Duty {
        let former = self.duty(place).unwrap_or_default();
        Duty { ordered_at: former.ordered_at, epoch: former.epoch, ..duty }
    }

    /// Returns whether no tasks run on a machine: it has no executor or is on standby.
    fn runs_no_tasks(&self, machine: &Machine) -> bool {
        let standby = |pool: &str| {
            let config = self.ctx.config();
            config.is_some_and(|c| c.pools.get(pool).is_some_and(|pool| pool.standby))
        };
        machine.executor.is_empty() || standby(&machine.pool)
    }
}

/// Creates a duty at a stage, for the current executor of a machine.
fn new_duty(machine: &Machine, wave: u64, pool: &str, stage: Stage) -> Duty {
    Duty {
        machine: machine.name.clone(),
        wave,
        pool: pool.to_owned(),
        stage: stage.to_string(),
        executor: machine.executor.clone(),
        executor_ended: false,
        emptied: false,
        ordered_at: 0,
        epoch: 0,
    }
}

/// Waits for the answer to an order, up to a timeout.
async fn in_time(
    timeout: Duration,
    order: impl Future<Output = Result<(), MachineError>>,
) -> Result<(), MachineError> {
    let unknown = || MachineError::Unknown { detail: "no response in time".to_owned() };
    tokio::time::timeout(timeout, order).await.unwrap_or_else(|_| Err(unknown()))
}
