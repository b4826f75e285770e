//! Moves of machines between pools.

use futures_util::future::join_all;
use indexmap::IndexMap;
use jobs::share::{self, Demand, Shift};
use jobs::wave::Stage;

use super::{Inner, duty};
use crate::clock;
use crate::follow::read_all;
use crate::keys;
use crate::ports::{Machine, MachineError};
use crate::rows::{self, Duty, Load};

/// Least number of orders in one round.
const ORDERS: u64 = 4;
/// Rounds a second at most, so that all their orders stay within what the platform takes.
const ROUNDS: u64 = 4;
/// How long a machine counts as on its way to a pool, in milliseconds; over twice a move.
const ON_THE_WAY: u64 = 4_000;
/// How long a machine may take to become empty for a move, in milliseconds.
const EMPTYING: u64 = 3_000;
/// Pause before an order without answer is given again, in milliseconds; over its longest answer.
const AGAIN: u64 = 1_600;
/// Age up to which a cell's load counts, in milliseconds.
const LOAD_AGE: u64 = 2_500;

impl Inner {
    /// Decides on moves and carries them on.
    pub(super) async fn shift_machines(&self) -> Result<(), String> {
        let Some(config) = self.ctx.config() else { return Ok(()) };
        self.settle_moves();
        self.carry_on().await?;
        let loads = self.loads.borrow().clone();
        let standby = config.pools.values().find(|pool| pool.standby).map(|p| p.name.clone());
        let shifts = {
            let machines = self.machines.borrow();
            let mut pools: IndexMap<String, Demand> = IndexMap::new();
            for pool in config.pools.values().filter(|pool| !pool.standby) {
                // Without a fresh load nothing is known of the pool, so that it stays as it is.
                if let Some(load) = loads.get(&pool.name) {
                    pools.insert(pool.name.clone(), self.demand(&pool.name, load, &machines));
                }
            }
            let free = |m: &&Machine| m.up && !self.is_engaged(&m.name);
            let off: Vec<String> = machines
                .values()
                .filter(|m| Some(&m.pool) == standby.as_ref())
                .filter(free)
                .map(|m| m.name.clone())
                .collect();
            let size = machines.values().map(|m| m.cpu).max().unwrap_or(0);
            let off = standby.as_deref().map(|pool| (pool, off.as_slice()));
            let shifts =
                self.shares.borrow_mut().next(&pools, off, machines.len(), size, clock::now());
            if !shifts.is_empty() {
                self.note_shares(&pools, size, shifts.len());
            }
            shifts
        };
        self.begin(&shifts, standby.as_deref()).await
    }

    fn note_shares(&self, pools: &IndexMap<String, Demand>, size: u64, moves: usize) {
        let share = |(name, demand): (&String, &Demand)| {
            format!("{name} {} of {}", demand.machines, share::need(demand, size))
        };
        let work = |demand: &Demand| (demand.arriving / 1_000).to_string();
        let pools_text: Vec<String> = pools.iter().map(share).collect();
        let arriving: Vec<String> = pools.values().map(work).collect();
        self.ctx.timeline.record(
            base::Event::SharesChanged,
            &[
                ("moves", &moves),
                ("pools", &pools_text.join(", ")),
                ("arriving", &arriving.join(", ")),
            ],
        );
    }

    /// Whether a machine is in a wave's hands or on its way.
    fn is_engaged(&self, machine: &str) -> bool {
        self.moving.borrow().contains_key(machine)
            || self.has_duty(machine)
            || self.is_fresh(machine)
    }

    fn demand(&self, pool: &str, load: &Load, machines: &IndexMap<String, Machine>) -> Demand {
        let moving = self.moving.borrow();
        let coming = moving.iter().filter(|(name, (to, _))| {
            to == pool && machines.get(*name).is_none_or(|m| m.pool != pool)
        });
        let leaving = |m: &&Machine| moving.get(&m.name).is_some_and(|(to, _)| to != pool);
        let here = machines.values().filter(|m| m.pool == pool && !leaving(m)).count();
        let by_executor: IndexMap<&str, &Machine> =
            machines.values().map(|m| (m.executor.as_str(), m)).collect();
        let free = |id: &&String| {
            let machine = by_executor.get(id.as_str());
            machine.is_some_and(|m| m.up && m.pool == pool && !self.is_engaged(&m.name))
        };
        let spares = load.spares.iter().filter(free);
        let spares = spares.map(|id| by_executor[id.as_str()].name.clone()).collect();
        Demand {
            arriving: load.arrival_rate,
            waiting: load.timely_backlog,
            lasting: load.lasting,
            used: load.useful,
            floor: load.min_executors,
            idle: load.spares.iter().take(load.idle).filter(free).count(),
            machines: here + coming.count(),
            spares,
        }
    }

    /// Reads the loads of the cells.
    pub(super) async fn read_loads(&self) -> Result<(), String> {
        let from = keys::load("");
        let (rows, _) = read_all(&self.ctx, from).await.map_err(|error| error.to_string())?;
        let now = self.ctx.table_now();
        let mut loads = IndexMap::new();
        for row in rows {
            // The reader of the shared rows reports those that can't be read.
            let load = rows::decode::<Load>(row.value.as_deref().unwrap_or_default());
            if let Ok(load) = load
                && now < load.published_at + LOAD_AGE
            {
                loads.insert(row.place.key, load);
            }
        }
        *self.loads.borrow_mut() = loads;
        Ok(())
    }

    /// Orders for moves in one round.
    fn orders(&self) -> usize {
        let orders = (self.ctx.settings.order_rate / ROUNDS).max(ORDERS);
        usize::try_from(orders).unwrap_or(usize::MAX)
    }

    /// Forgets moves that have arrived or taken too long.
    fn settle_moves(&self) {
        let machines = self.machines.borrow();
        let now = clock::now();
        self.moving.borrow_mut().retain(|name, (to, since)| {
            let arrived = machines.get(name).is_some_and(|m| m.pool == *to && m.up);
            !arrived && now < *since + ON_THE_WAY
        });
    }

    /// Carries on moves whose machines had to be emptied.
    async fn carry_on(&self) -> Result<(), String> {
        let mut over = Vec::new();
        let mut ready = Vec::new();
        {
            let duties = self.ctx.duties.borrow();
            let machines = self.machines.borrow();
            let moves = duties.values().map(|(_, duty)| duty);
            for duty in moves.filter(|d| d.wave == 0 && d.is_in_progress()) {
                let name = &duty.machine;
                let machine = machines.get(name);
                let gone = machine.is_none_or(|m| m.executor != duty.executor);
                // A move that another holder began, or that takes too long, is given up.
                let waits = self.moving.borrow().contains_key(name);
                let late = self
                    .moving
                    .borrow()
                    .get(name)
                    .is_some_and(|(_, since)| clock::now() > *since + EMPTYING);
                if gone || !waits || (late && !duty.emptied) {
                    over.push(name.clone());
                } else if duty.stage() == Stage::Down {
                    // The order's answer was lost, or it was refused: the list tells in a moment.
                    if clock::now() > self.moving.borrow()[name].1 + AGAIN {
                        ready.push((name.clone(), duty.pool.clone()));
                    }
                } else if duty.emptied {
                    ready.push((name.clone(), duty.pool.clone()));
                }
            }
        }
        if !over.is_empty() {
            self.write(over.iter().map(|name| (keys::pool_move(name), None)).collect()).await?;
            for name in over {
                let arriving = self.machines.borrow().get(&name).is_some_and(|m| !m.up);
                if !arriving {
                    self.moving.borrow_mut().swap_remove(&name);
                }
            }
        }
        ready.truncate(self.orders());
        // The cells need not wait for the leases of executors that have surely ended.
        self.order_moves(&ready, true).await
    }

    async fn begin(&self, shifts: &[Shift], standby: Option<&str>) -> Result<(), String> {
        let now = clock::now();
        let mut writes = Vec::new();
        let mut direct = Vec::new();
        for shift in shifts {
            let off = standby == Some(shift.from.as_str());
            if off && direct.len() >= self.orders() {
                continue;
            }
            self.moving.borrow_mut().insert(shift.machine.clone(), (shift.to.clone(), now));
            if off {
                direct.push((shift.machine.clone(), shift.to.clone()));
            } else if let Some(machine) = self.machines.borrow().get(&shift.machine) {
                let next = duty(machine, 0, &shift.to, Stage::Emptying);
                writes.push((keys::pool_move(&shift.machine), Some(next)));
            }
        }
        if !writes.is_empty() {
            self.write(writes).await?;
        }
        self.order_moves(&direct, false).await
    }

    /// Orders machines into their pools and marks those duties as done whose orders were taken;
    /// `gone` says that the machines' executors end by it.
    async fn order_moves(&self, moves: &[(String, String)], gone: bool) -> Result<(), String> {
        self.announce(moves).await?;
        let taken = join_all(moves.iter().map(|(name, pool)| self.order_move(name, pool))).await;
        let over = moves.iter().zip(taken).filter(|(_, taken)| *taken);
        let over = over.filter_map(|((name, _), _)| {
            let place = keys::pool_move(name);
            let duty = self.duty(&place)?;
            Some((
                place,
                Some(Duty { executor_ended: gone, stage: Stage::Done.to_string(), ..duty }),
            ))
        });
        self.write(over.collect()).await
    }

    /// Notes the orders that are about to go out, for a successor.
    async fn announce(&self, moves: &[(String, String)]) -> Result<(), String> {
        let writes = {
            let machines = self.machines.borrow();
            let note = |(name, pool): &(String, String)| {
                let machine = machines.get(name)?;
                let next = self.ordered(duty(machine, 0, pool, Stage::Down));
                Some((keys::pool_move(name), Some(next)))
            };
            moves.iter().filter_map(note).collect()
        };
        self.write(writes).await
    }

    /// Orders a machine into a pool; true when the order was taken.
    async fn order_move(&self, name: &str, pool: &str) -> bool {
        if !self.may_order() {
            return false;
        }
        let answer = self.ctx.ports.machines.move_to_pool(name, pool, self.tenure.epoch).await;
        let text = answer.as_ref().err().map_or("taken".to_owned(), ToString::to_string);
        self.ctx.timeline.record(
            base::Event::MoveOrdered,
            &[
                ("machine", &name),
                ("pool", &pool),
                ("epoch", &self.tenure.epoch),
                ("answer", &text),
            ],
        );
        match answer {
            Ok(()) => {
                self.moving.borrow_mut().insert(name.to_owned(), (pool.to_owned(), clock::now()));
                return true;
            }
            Err(MachineError::Fenced) => self.lost.set(true),
            Err(MachineError::Unknown { .. }) => {}
            Err(_) => {
                self.moving.borrow_mut().swap_remove(name);
            }
        }
        false
    }
}
