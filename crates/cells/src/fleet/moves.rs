//! Moves of machines between pools.

use std::time::Duration;

use futures_util::future::{join, join_all};
use indexmap::{IndexMap, IndexSet};
use jobs::relocate::{Action, Relocation};
use jobs::share::{self, Demand, MachineMove};
use jobs::wave::Stage;

use super::{Inner, in_time, new_duty};
use crate::clock;
use crate::follow::{decode_rows, read_all};
use crate::keys;
use crate::owner::POOL_STATE_COPIES;
use crate::ports::{Machine, MachineError};
use crate::rows::{Duty, PoolState};

/// Time after which a move is dropped, in milliseconds; over twice the duration of a move.
const MOVE_TIMEOUT_MS: u64 = 4_000;
/// Time after which a machine without an executor counts as unusable, in milliseconds; longer than a
/// restart or a move takes.
const LONG_DOWN_MS: u64 = 4_000;
/// Age up to which the published load of a cell is used, in milliseconds.
const MAX_LOAD_AGE_MS: u64 = 2_500;
/// Age of the first copy of a pool's state above which the other copies are read too, in
/// milliseconds; above the longest interval between two publications.
const MAX_LAG_MS: u64 = 1_400;
/// Timeout of a read of the pools' states; tens of times its usual duration.
const POOL_STATE_TIMEOUT: Duration = Duration::from_millis(250);

impl Inner {
    /// Continues the moves in progress and begins new ones.
    pub(super) async fn move_machines(&self) {
        let Some(config) = self.ctx.config() else { return };
        self.drop_settled_moves();
        self.update_down_since();
        self.continue_moves().await;
        let states = self.pool_states.borrow().clone();
        let now = self.ctx.table_now();
        let standby = config.pools.values().find(|pool| pool.standby).map(|p| p.name.clone());
        let moves = {
            let machines = self.machines.borrow();
            let size = machines.values().map(|m| m.cpu).max().unwrap_or(0);
            let mut pools: IndexMap<String, Demand> = IndexMap::new();
            for pool in config.pools.values().filter(|pool| !pool.standby) {
                // Without a recent load the demand is unknown, so the pool does not change.
                let state = states.get(&pool.name);
                if let Some(state) =
                    state.filter(|state| now < state.load.published_at + MAX_LOAD_AGE_MS)
                {
                    let demand = self.demand(&pool.name, state, &machines, size);
                    pools.insert(pool.name.clone(), demand);
                }
            }
            let free = |m: &&Machine| m.up && !self.is_reserved(&m.name);
            let on_standby: Vec<String> = machines
                .values()
                .filter(|m| Some(&m.pool) == standby.as_ref())
                .filter(free)
                .map(|m| m.name.clone())
                .collect();
            let on_standby = standby.as_deref().map(|pool| (pool, on_standby.as_slice()));
            let moves = self.rebalancer.borrow_mut().plan_moves(
                &pools,
                on_standby,
                machines.len(),
                size,
                clock::now(),
            );
            if !moves.is_empty() {
                self.log_shares(&pools, size, moves.len());
            }
            self.log_forecast();
            moves
        };
        self.begin_moves(&moves, standby.as_deref()).await;
    }

    /// Logs the machines that each pool has and needs.
    fn log_shares(&self, pools: &IndexMap<String, Demand>, size: u64, moves: usize) {
        let share = |(name, demand): (&String, &Demand)| {
            format!("{name} {} of {}", demand.machines, share::machines_needed(demand, size))
        };
        let arriving_cores = |demand: &Demand| (demand.arrival_rate / 1_000).to_string();
        let pools_text: Vec<String> = pools.iter().map(share).collect();
        let arriving: Vec<String> = pools.values().map(arriving_cores).collect();
        let late_cores = |demand: &Demand| (demand.late / 1_000).to_string();
        let late: Vec<String> = pools.values().map(late_cores).collect();
        self.ctx.timeline.record(
            base::Event::SharesChanged,
            &[
                ("moves", &moves),
                ("pools", &pools_text.join(", ")),
                ("arriving", &arriving.join(", ")),
                ("late", &late.join(", ")),
            ],
        );
    }

    /// Logs the next expected peak if it is another one than before, or if machines moved ahead of it,
    /// and counts how the forecasts turned out.
    fn log_forecast(&self) {
        let rebalancer = self.rebalancer.borrow();
        let outlook = rebalancer.outlook();
        for (outcome, count) in [("came", outlook.came), ("missing", outlook.missing)] {
            self.ctx.metrics.peak_forecasts.with_label_values(&[outcome]).inc_by(count);
        }
        for (pool, count) in &outlook.moved_ahead {
            self.ctx.metrics.moves_ahead.with_label_values(&[pool]).inc_by(*count);
        }
        let next = outlook.peaks.first();
        let pool = next.map(|peak| peak.pool.clone());
        let moved: u64 = outlook.moved_ahead.values().sum();
        if moved == 0 && *self.logged_peak.borrow() == pool {
            return;
        }
        let in_ms = next.map_or(0, |peak| peak.starts_at.saturating_sub(clock::now()));
        let cores = next.map_or(0, |peak| peak.rate / 1_000);
        self.ctx.timeline.record(
            base::Event::PeakForecast,
            &[
                ("pool", &pool.as_deref().unwrap_or("none")),
                ("in_ms", &in_ms),
                ("cores", &cores),
                ("moved", &moved),
            ],
        );
        *self.logged_peak.borrow_mut() = pool;
    }

    /// Returns whether a machine has a duty or an order in progress.
    fn is_reserved(&self, machine: &str) -> bool {
        self.moving.borrow().contains_key(machine)
            || self.has_duty(machine)
            || self.is_recently_ordered(machine)
    }

    /// Returns the machines and the demand of a pool, counting moves in progress as finished.
    fn demand(
        &self,
        pool: &str,
        state: &PoolState,
        machines: &IndexMap<String, Machine>,
        size: u64,
    ) -> Demand {
        let moving = self.moving.borrow();
        let arriving = moving.iter().filter(|(name, (to, _))| {
            to == pool && machines.get(*name).is_none_or(|m| m.pool != pool)
        });
        let leaving = |m: &&Machine| moving.get(&m.name).is_some_and(|(to, _)| to != pool);
        let staying: Vec<&Machine> =
            machines.values().filter(|m| m.pool == pool && !leaving(m)).collect();
        let registry = self.ctx.registry.borrow();
        // The capacity of an executor may shrink while it runs. Other machines come back at their
        // full size.
        let capacities = staying.iter().filter(|m| m.up).map(|m| {
            let registration = registry.get(&m.executor);
            registration.map_or(m.cpu, |registration| registration.capacity.cpu.min(m.cpu))
        });
        let shortfall = capacities.map(|cpu| size.saturating_sub(cpu)).sum();
        let down_since = self.down_since.borrow();
        let is_down = |m: &&Machine| {
            m.pool == pool
                && !self.is_reserved(&m.name)
                && down_since.get(&m.name).is_some_and(|at| clock::now() >= at + LONG_DOWN_MS)
        };
        let down = machines.values().filter(is_down).count();
        let duties = self.ctx.duties.borrow();
        let in_maintenance: IndexSet<&String> = duties
            .in_progress()
            .filter(|(.., duty)| duty.wave > 0)
            .map(|(.., duty)| &duty.machine)
            .collect();
        let is_away = |m: &&&Machine| {
            in_maintenance.contains(&m.name)
                || registry.get(&m.executor).is_some_and(|registration| !registration.ready)
        };
        let away = staying.iter().filter(is_away).count();
        let by_executor: IndexMap<&str, &Machine> =
            machines.values().map(|m| (m.executor.as_str(), m)).collect();
        let free = |id: &&String| {
            let machine = by_executor.get(id.as_str());
            machine.is_some_and(|m| m.up && m.pool == pool && !self.is_reserved(&m.name))
        };
        let load = &state.load;
        let removable = state.spares.iter().filter(free);
        let removable = removable.map(|id| by_executor[id.as_str()].name.clone()).collect();
        Demand {
            arrival_rate: load.arrival_rate,
            backlog: load.timely_backlog,
            long_running: load.long_running,
            used: load.useful,
            late: load.late,
            min_machines: load.min_executors,
            idle: state.spares.iter().take(state.idle).filter(free).count(),
            machines: staying.len() + arriving.count(),
            shortfall,
            away,
            unusable: (down + load.unusable).min(staying.len()),
            removable,
            age: self.ctx.table_now().saturating_sub(load.published_at),
        }
    }

    /// Reads the states of the pools.
    ///
    /// Moves go on with the states known before while none can be read. The further copies are read
    /// only while the first can't be, or is too old, as it can't be written then.
    pub(super) async fn read_pool_states(&self) {
        let first = self.read_pool_state_copy(0).await;
        let now = self.ctx.table_now();
        let current = first.values().all(|state| now < state.load.published_at + MAX_LAG_MS);
        let mut copies = vec![first];
        if copies[0].is_empty() || !current {
            copies.extend(
                join_all((1..POOL_STATE_COPIES).map(|copy| self.read_pool_state_copy(copy))).await,
            );
        }
        let mut states = self.pool_states.borrow_mut();
        for (cell, state) in copies.into_iter().flatten() {
            let known = states.entry(cell).or_default();
            if state.load.published_at > known.load.published_at {
                *known = state;
            }
        }
    }

    /// Reads a copy of the states of the pools; empty if it can't be read in time.
    async fn read_pool_state_copy(&self, copy: usize) -> IndexMap<String, PoolState> {
        let read = read_all(&self.ctx, keys::pool_state(copy, ""));
        match tokio::time::timeout(POOL_STATE_TIMEOUT, read).await {
            Ok(Ok((rows, _))) => {
                let rows: IndexMap<String, (u64, PoolState)> = decode_rows(&self.ctx, rows);
                rows.into_iter().map(|(cell, (_, state))| (cell, state)).collect()
            }
            Ok(Err(error)) => {
                self.log_delay(&format!("states of the pools: {error}"));
                IndexMap::new()
            }
            Err(_) => {
                self.log_delay("states of the pools: no response in time");
                IndexMap::new()
            }
        }
    }

    pub(super) fn log_delay(&self, what: &str) {
        self.ctx.timeline.record(base::Event::DutyDelayed, &[("what", &what)]);
    }

    /// Returns how many of `wanted` orders for moves may be sent now, and counts them as sent.
    fn take_orders(&self, wanted: usize) -> usize {
        let mut order_rate = self.order_rate.borrow_mut();
        let now = clock::now();
        let count = wanted.min(order_rate.available_to_moves(now));
        order_rate.record(now, count);
        count
    }

    /// Updates the times since which machines have had no executor.
    fn update_down_since(&self) {
        let machines = self.machines.borrow();
        let mut down_since = self.down_since.borrow_mut();
        let is_down = |m: &Machine| !m.up || m.executor.is_empty();
        down_since.retain(|name, _| machines.get(name).is_some_and(is_down));
        for machine in machines.values().filter(|m| is_down(m)) {
            down_since.entry(machine.name.clone()).or_insert_with(clock::now);
        }
    }

    /// Drops moves whose machine has arrived or that have timed out.
    fn drop_settled_moves(&self) {
        let machines = self.machines.borrow();
        let now = clock::now();
        self.moving.borrow_mut().retain(|name, (to, since)| {
            let arrived = machines.get(name).is_some_and(|m| m.pool == *to && m.up);
            !arrived && now < *since + MOVE_TIMEOUT_MS
        });
    }

    /// Continues moves whose machines had to be emptied.
    async fn continue_moves(&self) {
        let mut given_up = Vec::new();
        let mut ready = Vec::new();
        {
            let duties = self.ctx.duties.borrow();
            let machines = self.machines.borrow();
            let moves = duties.in_progress().map(|(.., duty)| duty);
            for duty in moves.filter(|duty| duty.wave == 0) {
                let name = &duty.machine;
                let decided_at = self.moving.borrow().get(name).map(|(_, since)| *since);
                let relocation = Relocation {
                    is_own: decided_at.is_some(),
                    executor_ended: machines.get(name).is_none_or(|m| m.executor != duty.executor),
                    emptied: duty.emptied,
                    age: decided_at.map_or(0, |at| clock::now().saturating_sub(at)),
                    order_age: (duty.stage() == Stage::Down)
                        .then(|| self.ctx.table_now().saturating_sub(duty.ordered_at)),
                    recently_ordered: self.is_recently_ordered(name),
                };
                match relocation.next_action() {
                    Action::Wait => {}
                    Action::Order => ready.push((name.clone(), duty.pool.clone())),
                    Action::GiveUp => given_up.push(name.clone()),
                }
            }
        }
        if !given_up.is_empty() {
            let ends = given_up.iter().map(|name| {
                let place = keys::pool_move(name);
                let record = self.duty(&place).and_then(end_of_move);
                self.change(place, record)
            });
            let written = self.ctx.write_duties(ends.collect()).await;
            for name in given_up.iter().filter(|name| written.contains(&keys::pool_move(name).key))
            {
                let arriving = self.machines.borrow().get(name).is_some_and(|m| !m.up);
                if !arriving {
                    self.moving.borrow_mut().swap_remove(name);
                }
            }
        }
        ready.truncate(self.take_orders(ready.len()));
        // The cells do not have to wait for the leases of executors that have certainly ended.
        self.send_move_orders(&ready, true).await;
    }

    /// Begins moves: standby machines are ordered at once, others are emptied first.
    async fn begin_moves(&self, moves: &[MachineMove], standby: Option<&str>) {
        let now = clock::now();
        let on_standby = |m: &&MachineMove| standby == Some(m.from.as_str());
        let orders = self.take_orders(moves.iter().filter(on_standby).count());
        let mut changes = Vec::new();
        let mut direct = Vec::new();
        for machine_move in moves {
            let (name, pool) = (&machine_move.machine, &machine_move.to);
            if on_standby(&machine_move) {
                if direct.len() >= orders {
                    continue;
                }
                direct.push((name.clone(), pool.clone()));
            } else if let Some(machine) = self.machines.borrow().get(name) {
                let place = keys::pool_move(name);
                let next = self.keep_order(&place, new_duty(machine, 0, pool, Stage::Emptying));
                changes.push(self.change(place, Some(next)));
            }
            self.moving.borrow_mut().insert(name.clone(), (pool.clone(), now));
        }
        // The machines to empty do not wait for the orders of others.
        join(self.ctx.write_duties(changes), self.send_move_orders(&direct, false)).await;
    }

    /// Orders machines into their pools and marks the duties of accepted orders as done.
    ///
    /// `executor_ended` states whether accepted orders end the machines' executors.
    async fn send_move_orders(&self, moves: &[(String, String)], executor_ended: bool) {
        let recorded_at = clock::now();
        let recorded = self.record_move_orders(moves).await;
        let recorded =
            moves.iter().filter(|(name, _)| recorded.contains(&keys::pool_move(name).key));
        let send = |(name, pool): &(String, String)| {
            let (name, pool) = (name.clone(), pool.clone());
            async move { self.send_move_order(&name, &pool, recorded_at).await.then_some(name) }
        };
        let accepted = join_all(recorded.map(send)).await;
        let done = accepted.into_iter().flatten().filter_map(|name| {
            let place = keys::pool_move(&name);
            let duty = self.duty(&place)?;
            let next = Duty { executor_ended, stage: Stage::Done.to_string(), ..duty };
            Some(self.change(place, Some(next)))
        });
        self.ctx.write_duties(done.collect()).await;
    }

    /// Records orders in the duties' rows before they are sent, for a successor.
    ///
    /// Returns the keys of the rows that were written.
    async fn record_move_orders(&self, moves: &[(String, String)]) -> IndexSet<String> {
        let changes = {
            let machines = self.machines.borrow();
            let record = |(name, pool): &(String, String)| {
                let machine = machines.get(name)?;
                let next = self.with_order(new_duty(machine, 0, pool, Stage::Down));
                Some(self.change(keys::pool_move(name), Some(next)))
            };
            moves.iter().filter_map(record).collect()
        };
        self.ctx.write_duties(changes).await
    }

    /// Orders a machine into a pool; returns whether the order was accepted.
    async fn send_move_order(&self, name: &str, pool: &str, recorded_at: u64) -> bool {
        let Some(timeout) = self.order_timeout(recorded_at) else { return false };
        self.order_count.set(self.order_count.get() + 1);
        let order = self.ctx.ports.machines.move_to_pool(name, pool, self.tenure.epoch);
        let answer = in_time(timeout, order).await;
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

/// Returns the row of a move that is given up: `None`, or the record of its order for a successor.
fn end_of_move(duty: Duty) -> Option<Duty> {
    // Without a pool, the machine counts as arriving nowhere.
    let done = Duty { stage: Stage::Done.to_string(), pool: String::new(), ..duty };
    Some(done).filter(Duty::may_be_carried_out)
}
