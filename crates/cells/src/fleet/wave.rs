//! Maintenance waves.

use futures_util::future::{join, join_all};
use indexmap::{IndexMap, IndexSet};
use jobs::wave::{self, ListedMachine, NextAction, Stage, Wave};

use super::{Inner, in_time, new_duty};
use crate::clock;
use crate::keys;
use crate::ports::{Machine, MachineError, Transaction, TransactionError};
use crate::rows::{self, Duty, PoolState};

/// Cost of a machine that is not one of its pool's spares, such as one with long-running tasks.
///
/// It is higher than the cost of any spare.
const BUSY_MACHINE_COST: u64 = 100;

impl Inner {
    /// Carries out the next steps of a wave.
    pub(super) async fn advance_wave(&self, wave: &Wave) -> Result<(), String> {
        self.check_ordered_machines(wave).await;
        let elapsed = self.elapsed(wave.number).await;
        let mut steps = {
            let machines = self.machines.borrow();
            let moving = self.moving.borrow();
            let empty = |name: &str| {
                let Some(machine) = machines.get(name) else { return true };
                let duty = self.duty(&keys::maintenance(wave.number, name));
                machine.up
                    && !self.is_recently_ordered(name)
                    && !self.is_busy(name)
                    && (self.runs_no_tasks(machine)
                        || duty.is_some_and(|d| d.emptied && d.executor == machine.executor))
            };
            let stages: IndexMap<String, Stage> = wave
                .machines
                .iter()
                .map(|name| {
                    let stage = self.stage(wave.number, name);
                    let emptying_for = self.emptying_for(wave.number, name, stage);
                    let is_stuck = self.is_busy(name)
                        || machines.get(name).is_some_and(|machine| !machine.up)
                        || (wave::empties_slowly(emptying_for) && !empty(name));
                    (name.clone(), wave::planned_stage(stage, is_stuck))
                })
                .collect();
            // A machine that can't begin now must not be chosen in place of one that can. Those that
            // are stuck have begun already.
            let cost = |name: &str| match machines.get(name) {
                Some(machine)
                    if machine.up
                        && !self.is_busy(name)
                        && !moving.contains_key(name)
                        && !self.has_duty(name) =>
                {
                    self.maintenance_cost(machine)
                }
                _ => wave::CANNOT_BEGIN,
            };
            self.update_long_running(&stages, &machines);
            let long_running = self.long_running.borrow();
            let has_long_running = |name: &str| long_running.contains(name);
            wave::plan_steps(wave, &stages, elapsed, &empty, &cost, &has_long_running)
        };
        // How many machines of the wave are down may be unknown.
        if wave.machines.iter().any(|name| self.is_unread(name)) {
            steps.take_down.clear();
        }
        let mut changes = Vec::new();
        {
            let machines = self.machines.borrow();
            let moving = self.moving.borrow();
            let free = steps
                .start_emptying
                .iter()
                .filter(|name| !moving.contains_key(*name) && !self.has_duty(name));
            // A machine whose executor was replaced by a new incarnation has to be emptied again.
            let replaced = wave.machines.iter().filter(|name| {
                let duty = self.duty(&keys::maintenance(wave.number, name));
                let executor = machines.get(*name).map(|machine| machine.executor.as_str());
                duty.is_some_and(|d| {
                    d.stage() == Stage::Emptying && executor.is_some_and(|id| id != d.executor)
                })
            });
            for machine in free.chain(replaced).filter_map(|name| machines.get(name)) {
                let place = keys::maintenance(wave.number, &machine.name);
                let next = match self.duty(&place) {
                    Some(duty) => duty.empty_again(&machine.executor),
                    None => new_duty(machine, wave.number, "", Stage::Emptying),
                };
                changes.push(self.change(place, Some(next)));
            }
        }
        changes.iter().filter_map(|c| c.duty.as_ref()).for_each(|d| self.reserve(&d.machine));
        // The machines to empty do not wait for the orders of others.
        join(
            self.ctx.write_duties(changes),
            self.order_machines_down(&steps.take_down, wave.number),
        )
        .await;
        self.report_wave(wave.number, steps.complete).await
    }

    /// Returns the milliseconds for which this holder has seen a machine being emptied for a wave.
    fn emptying_for(&self, wave: u64, name: &str, stage: Stage) -> u64 {
        let mut since = self.emptying_since.borrow_mut();
        let key = (wave, name.to_owned());
        if stage != Stage::Emptying {
            since.swap_remove(&key);
            return 0;
        }
        let now = clock::now();
        now.saturating_sub(*since.entry(key).or_insert(now))
    }

    /// Updates which machines have long-running tasks.
    ///
    /// Machines that are being emptied keep the state that they had before: they are no spares of
    /// their pools in any case.
    fn update_long_running(
        &self,
        stages: &IndexMap<String, Stage>,
        machines: &IndexMap<String, Machine>,
    ) {
        let mut long_running = self.long_running.borrow_mut();
        for (name, stage) in stages {
            if self.has_duty(name) && *stage != Stage::Done {
                continue;
            }
            let has_long_running = machines.get(name).is_some_and(|machine| {
                machine.up
                    && !self.moving.borrow().contains_key(name)
                    && self.has_long_running_tasks(machine)
            });
            if has_long_running {
                long_running.insert(name.clone());
            } else {
                long_running.swap_remove(name);
            }
        }
    }

    /// Returns whether a machine is known to run long-running tasks, which have to run elsewhere before
    /// it is empty.
    fn has_long_running_tasks(&self, machine: &Machine) -> bool {
        let states = self.pool_states.borrow();
        !self.runs_no_tasks(machine)
            && states
                .get(&machine.pool)
                .is_some_and(|state| !state.spares.contains(&machine.executor))
    }

    /// Returns the cost of taking a machine down now.
    ///
    /// A machine without tasks costs nothing. Otherwise the cost rises with the load of the pool, or
    /// with that of the peak that is expected there before the machine is back, and is lower for
    /// machines that can leave their pool.
    fn maintenance_cost(&self, machine: &Machine) -> u64 {
        if self.runs_no_tasks(machine) {
            return 0;
        }
        let states = self.pool_states.borrow();
        let Some(PoolState { load, spares, .. }) = states.get(&machine.pool) else {
            return BUSY_MACHINE_COST;
        };
        let rebalancer = self.rebalancer.borrow();
        let peaks = &rebalancer.outlook().peaks;
        let next = peaks.iter().find(|peak| peak.pool == machine.pool);
        let next = next.map(|peak| (peak.rate, peak.starts_at.saturating_sub(clock::now())));
        let load_per_mille = wave::load_per_mille(load.arrival_rate, load.capacity, next);
        let spare_cost = spares
            .get_index_of(&machine.executor)
            .map(|rank| 1 + rank as u64 * (BUSY_MACHINE_COST - 1) / spares.len().max(1) as u64);
        load_per_mille + spare_cost.unwrap_or(BUSY_MACHINE_COST)
    }

    /// Returns the milliseconds since a wave was first seen by any holder, or by this one while the
    /// part of the table that tells is out of service.
    async fn elapsed(&self, wave: u64) -> u64 {
        let known = self.wave_starts.borrow().get(&wave).copied();
        let start = match known {
            Some(start) => start,
            None => {
                let place = keys::wave_start(wave);
                let now = self.ctx.table_now();
                let seen = *self.waves_seen.borrow_mut().entry(wave).or_insert(now);
                let transaction = Transaction {
                    expect: vec![(place.clone(), 0)],
                    writes: vec![(place.clone(), rows::encode(&seen))],
                    removes: Vec::new(),
                };
                let start = match self.ctx.ports.store.apply(&transaction).await {
                    Ok(_) => seen,
                    Err(TransactionError::Conflict { rows }) => rows
                        .iter()
                        .find(|row| row.place == place)
                        .and_then(|row| rows::decode(row.value.as_deref()?).ok())
                        .unwrap_or(seen),
                    // Machines whose duties can be written need not wait for this part.
                    Err(error) => {
                        self.log_delay(&format!("start of wave {wave}: {error}"));
                        return now.saturating_sub(seen);
                    }
                };
                self.wave_starts.borrow_mut().insert(wave, start);
                start
            }
        };
        self.ctx.table_now().saturating_sub(start)
    }

    /// Returns the stage of a machine in a wave.
    fn stage(&self, wave: u64, name: &str) -> Stage {
        // A machine that the platform no longer lists has left the fleet and needs no maintenance.
        if !self.machines.borrow().contains_key(name) {
            return Stage::Done;
        }
        self.duty(&keys::maintenance(wave, name)).map_or(Stage::Due, |duty| duty.stage())
    }

    /// Handles machines that were or may have been ordered down and are listed as up.
    async fn check_ordered_machines(&self, wave: &Wave) {
        let (mut returned, mut to_order, mut changes) = (Vec::new(), Vec::new(), Vec::new());
        {
            let machines = self.machines.borrow();
            for machine in wave.machines.iter().filter_map(|name| machines.get(name)) {
                let place = keys::maintenance(wave.number, &machine.name);
                let Some(duty) = self.duty(&place) else { continue };
                if duty.stage() != Stage::Down || !machine.up {
                    continue;
                }
                match self.listed(wave.number, machine, &duty).next_action() {
                    NextAction::RepeatOrder if self.is_busy(&machine.name) => {}
                    NextAction::Wait => {}
                    NextAction::Done => {
                        returned.push(place.key.clone());
                        let done = new_duty(machine, wave.number, "", Stage::Done);
                        let next = self.keep_order(&place, done);
                        changes.push(self.change(place, Some(next)));
                    }
                    NextAction::RepeatOrder => to_order.push(machine.name.clone()),
                    NextAction::EmptyAgain => {
                        let next = duty.empty_again(&machine.executor);
                        changes.push(self.change(place, Some(next)));
                    }
                }
            }
        }
        to_order.truncate(self.take_wave_orders(to_order.len()));
        let place = |name: &String| keys::maintenance(wave.number, name);
        let recorded_at = clock::now();
        // As before each order, the row records its time and epoch for a successor.
        changes.extend(to_order.iter().filter_map(|name| {
            let next = self.with_order(self.duty(&place(name))?);
            Some(self.change(place(name), Some(next)))
        }));
        let written = self.ctx.write_duties(changes).await;
        let recorded = to_order.iter().filter(|name| written.contains(&place(name).key));
        let orders = recorded.map(|name| self.order_machine_down(name, wave.number, recorded_at));
        join_all(orders).await;
        for key in returned.iter().filter(|key| written.contains(*key)) {
            let duty = self.ctx.duties.borrow().get(key).map(|(_, duty)| duty.machine.clone());
            self.ctx.timeline.record(
                base::Event::MachineBack,
                &[("machine", &duty.unwrap_or_default()), ("wave", &wave.number)],
            );
        }
    }

    /// Returns the state of a machine that is listed as up after an order, which `duty` records.
    fn listed(&self, wave: u64, machine: &Machine, duty: &Duty) -> ListedMachine {
        let accepted_at = self.accepted.borrow().get(&(wave, machine.name.clone())).copied();
        ListedMachine {
            listed_after_order: accepted_at.map(|at| self.listed_at.get() > at),
            accepted: duty.executor_ended,
            recently_ordered: self.is_recently_ordered(&machine.name),
            still_empty: machine.executor == duty.executor || self.runs_no_tasks(machine),
        }
    }

    /// Returns whether an order for a machine was refused lately as the machine was busy.
    fn is_busy(&self, machine: &str) -> bool {
        let until = self.busy_until.borrow().get(machine).copied();
        until.is_some_and(|until| clock::now() < until)
    }

    /// Returns how many of `wanted` orders for waves may be sent now, and counts them as sent.
    fn take_wave_orders(&self, wanted: usize) -> usize {
        let mut order_rate = self.order_rate.borrow_mut();
        let now = clock::now();
        let count = wanted.min(order_rate.available_to_waves(now));
        order_rate.record_for_waves(now, count);
        count
    }

    /// Records and sends the orders for machines that go down.
    async fn order_machines_down(&self, names: &[String], wave: u64) {
        let names = &names[..self.take_wave_orders(names.len())];
        let may_be_carried_out = |name: &String| {
            let duty = self.duty(&keys::maintenance(wave, name));
            duty.is_some_and(|duty| duty.may_be_carried_out())
        };
        let repeated: IndexSet<&String> =
            names.iter().filter(|name| may_be_carried_out(name)).collect();
        let recorded_at = clock::now();
        let changes = {
            let machines = self.machines.borrow();
            let down = |m: &Machine| {
                let next = self.with_order(new_duty(m, wave, "", Stage::Down));
                self.change(keys::maintenance(wave, &m.name), Some(next))
            };
            names.iter().filter_map(|name| machines.get(name)).map(down).collect()
        };
        let recorded = self.ctx.write_duties(changes).await;
        let recorded =
            names.iter().filter(|name| recorded.contains(&keys::maintenance(wave, name).key));
        let send = |name: &String| {
            let name = name.clone();
            async move { self.order_machine_down(&name, wave, recorded_at).await.then_some(name) }
        };
        let accepted = join_all(recorded.map(send)).await;
        // The cells do not have to wait for the leases of executors that have certainly ended.
        let ended = accepted.into_iter().flatten().filter(|name| !repeated.contains(name));
        let ended = ended.filter_map(|name| {
            let place = keys::maintenance(wave, &name);
            let duty = self.duty(&place)?;
            Some(self.change(place, Some(Duty { executor_ended: true, ..duty })))
        });
        // Refused machines take no slots of the wave.
        let refused = names.iter().filter(|name| self.is_busy(name)).filter_map(|name| {
            let place = keys::maintenance(wave, name);
            let duty = self.duty(&place)?;
            let open = repeated.contains(name)
                || self.open_orders.borrow().contains(&(wave, name.clone()));
            let stage = wave::after_refusal(open).to_string();
            // A refused order is none that may have been carried out.
            let (ordered_at, epoch) = if open { (duty.ordered_at, duty.epoch) } else { (0, 0) };
            let next = Duty { stage, ordered_at, epoch, ..duty.clone() };
            (next != duty).then(|| self.change(place, Some(next)))
        });
        self.ctx.write_duties(ended.chain(refused).collect()).await;
    }

    /// Orders a machine down; returns whether the order was accepted.
    async fn order_machine_down(&self, name: &str, wave: u64, recorded_at: u64) -> bool {
        let Some(timeout) = self.order_timeout(recorded_at) else { return false };
        self.order_count.set(self.order_count.get() + 1);
        let order = self.ctx.ports.machines.start_maintenance(name, wave, self.tenure.epoch);
        let answer = in_time(timeout, order).await;
        let text = answer.as_ref().err().map_or("taken".to_owned(), ToString::to_string);
        self.ctx.timeline.record(
            base::Event::UpkeepOrdered,
            &[
                ("machine", &name),
                ("wave", &wave),
                ("epoch", &self.tenure.epoch),
                ("answer", &text),
            ],
        );
        match answer {
            Ok(()) => {
                self.accepted.borrow_mut().insert((wave, name.to_owned()), clock::now());
            }
            Err(MachineError::Fenced) => {
                self.lost.set(true);
                return false;
            }
            Err(MachineError::Busy) => {
                let until = clock::now() + wave::BUSY_RETRY_MS;
                self.busy_until.borrow_mut().insert(name.to_owned(), until);
                return false;
            }
            // A later round repeats the order once the machine is listed as up.
            Err(error) => {
                if matches!(error, MachineError::Unknown { .. }) {
                    self.open_orders.borrow_mut().insert((wave, name.to_owned()));
                }
                return false;
            }
        }
        true
    }

    /// Reports the progress of a wave to the operator, unless it was reported before.
    async fn report_wave(&self, wave: u64, complete: bool) -> Result<(), String> {
        if self.reported.borrow().get(&wave) == Some(&complete) {
            return Ok(());
        }
        let (place, value) = self.ctx.ports.dialect.wave_report(wave, complete);
        let transaction = Transaction { writes: vec![(place, value)], ..Transaction::default() };
        self.ctx.ports.store.apply(&transaction).await.map_err(|error| error.to_string())?;
        self.reported.borrow_mut().insert(wave, complete);
        self.ctx
            .timeline
            .record(base::Event::WaveReported, &[("wave", &wave), ("complete", &complete)]);
        Ok(())
    }
}
