//! Maintenance waves.

use futures_util::future::join_all;
use indexmap::IndexMap;
use jobs::wave::{self, Listed, Next, Stage, Wave};

use super::{Inner, duty};
use crate::clock;
use crate::keys;
use crate::ports::{Machine, MachineError, Transaction, TransactionError};
use crate::rows::{self, Duty};

/// Cost of a machine with lasting tasks, above that of any without.
const LASTING: u64 = 100;

impl Inner {
    /// Does the next steps of a wave.
    pub(super) async fn wave(&self, wave: &Wave) -> Result<(), String> {
        self.note_returns(wave).await?;
        let elapsed = self.elapsed(wave.number).await?;
        let steps = {
            let machines = self.machines.borrow();
            let stages: IndexMap<String, Stage> = wave
                .machines
                .iter()
                .map(|name| (name.clone(), self.stage(wave.number, name)))
                .collect();
            let empty = |name: &str| {
                let Some(machine) = machines.get(name) else { return true };
                let duty = self.duty(&keys::maintenance(wave.number, name));
                machine.up
                    && !self.is_fresh(name)
                    && (self.is_off(machine)
                        || duty.is_some_and(|d| d.emptied && d.executor == machine.executor))
            };
            let cost = |name: &str| machines.get(name).map_or(0, |m| self.cost(m));
            wave::next(wave, &stages, elapsed, &empty, &cost)
        };
        let mut writes = Vec::new();
        {
            let machines = self.machines.borrow();
            let moving = self.moving.borrow();
            let free = steps
                .empty
                .iter()
                .filter(|name| !moving.contains_key(*name) && !self.has_duty(name));
            for machine in free.filter_map(|name| machines.get(name)) {
                let next = duty(machine, wave.number, "", Stage::Emptying);
                writes.push((keys::maintenance(wave.number, &machine.name), Some(next)));
            }
            // A machine whose executor came back as another one has to be emptied again.
            for machine in wave.machines.iter().filter_map(|name| machines.get(name)) {
                let place = keys::maintenance(wave.number, &machine.name);
                let changed = self.duty(&place).is_some_and(|d| {
                    d.stage() == Stage::Emptying && d.executor != machine.executor
                });
                if changed {
                    let next = duty(machine, wave.number, "", Stage::Emptying);
                    writes.push((keys::maintenance(wave.number, &machine.name), Some(next)));
                }
            }
        }
        if !writes.is_empty() {
            self.write(writes).await?;
        }
        self.take_down(&steps.down, wave.number).await?;
        self.report(wave.number, steps.complete).await
    }

    /// What it costs to take a machine down now: nothing while it is off, little while it could
    /// leave its pool, more in a pool that has work waiting.
    fn cost(&self, machine: &Machine) -> u64 {
        if self.is_off(machine) {
            return 0;
        }
        let loads = self.loads.borrow();
        let Some(load) = loads.get(&machine.pool) else { return LASTING };
        let place = load.spares.iter().position(|id| *id == machine.executor);
        let busy = (load.arrival_rate * 1_000).checked_div(load.capacity).unwrap_or(1_000);
        busy + place.map_or(LASTING, |place| 1 + place as u64)
    }

    /// Milliseconds since a wave was first seen by any holder.
    async fn elapsed(&self, wave: u64) -> Result<u64, String> {
        let known = self.starts.borrow().get(&wave).copied();
        let start = match known {
            Some(start) => start,
            None => {
                let place = keys::wave_start(wave);
                let now = self.ctx.table_now();
                let change = Transaction {
                    expect: vec![(place.clone(), 0)],
                    writes: vec![(place.clone(), rows::encode(&now))],
                    removes: Vec::new(),
                };
                let start = match self.ctx.ports.store.apply(&change).await {
                    Ok(_) => now,
                    Err(TransactionError::Conflict { rows }) => rows
                        .iter()
                        .find(|row| row.place == place)
                        .and_then(|row| rows::decode(row.value.as_deref()?).ok())
                        .unwrap_or(now),
                    Err(error) => return Err(error.to_string()),
                };
                self.starts.borrow_mut().insert(wave, start);
                start
            }
        };
        Ok(self.ctx.table_now().saturating_sub(start))
    }

    fn stage(&self, wave: u64, name: &str) -> Stage {
        // A machine that the platform no longer lists has left and needs no maintenance.
        if !self.machines.borrow().contains_key(name) {
            return Stage::Done;
        }
        self.duty(&keys::maintenance(wave, name)).map_or(Stage::Due, |duty| duty.stage())
    }

    /// Goes on with machines that were ordered down, or may have been, and are listed as up.
    async fn note_returns(&self, wave: &Wave) -> Result<(), String> {
        let (mut back, mut again, mut writes) = (Vec::new(), Vec::new(), Vec::new());
        {
            let machines = self.machines.borrow();
            for machine in wave.machines.iter().filter_map(|name| machines.get(name)) {
                let place = keys::maintenance(wave.number, &machine.name);
                let Some(known) = self.duty(&place) else { continue };
                if known.stage() != Stage::Down || !machine.up {
                    continue;
                }
                match self.listed(wave.number, machine, &known.executor).next() {
                    Next::Wait => {}
                    Next::Done => back.push(machine.clone()),
                    Next::Order => again.push(machine.name.clone()),
                    Next::Empty => {
                        let next = duty(machine, wave.number, "", Stage::Emptying);
                        writes.push((place, Some(next)));
                    }
                }
            }
            writes.extend(back.iter().map(|machine: &Machine| {
                let next = duty(machine, wave.number, "", Stage::Done);
                (keys::maintenance(wave.number, &machine.name), Some(next))
            }));
        }
        join_all(again.iter().map(|name| self.order_down(name, wave.number))).await;
        if writes.is_empty() {
            return Ok(());
        }
        self.write(writes).await?;
        for machine in back {
            self.ctx.timeline.record(
                base::Event::MachineBack,
                &[("machine", &machine.name), ("wave", &wave.number)],
            );
        }
        Ok(())
    }

    /// What is known of a machine whose order is out; `emptied` is the executor that it had then.
    fn listed(&self, wave: u64, machine: &Machine, emptied: &str) -> Listed {
        let taken = self.taken.borrow().get(&(wave, machine.name.clone())).copied();
        Listed {
            taken: taken.map(|at| self.listed.get() > at),
            fresh: self.is_fresh(&machine.name),
            empty: machine.executor == emptied || self.is_off(machine),
        }
    }

    async fn take_down(&self, names: &[String], wave: u64) -> Result<(), String> {
        if names.is_empty() {
            return Ok(());
        }
        let writes = {
            let machines = self.machines.borrow();
            let down = |m: &Machine| {
                let next = self.ordered(duty(m, wave, "", Stage::Down));
                (keys::maintenance(wave, &m.name), Some(next))
            };
            names.iter().filter_map(|name| machines.get(name)).map(down).collect()
        };
        self.write(writes).await?;
        let taken = join_all(names.iter().map(|name| self.order_down(name, wave))).await;
        // The cells need not wait for the leases of executors that have surely ended.
        let gone = names.iter().zip(taken).filter(|(_, taken)| *taken);
        let gone = gone.filter_map(|(name, _)| {
            let place = keys::maintenance(wave, name);
            let duty = self.duty(&place)?;
            Some((place, Some(Duty { executor_ended: true, ..duty })))
        });
        self.write(gone.collect()).await
    }

    /// Orders a machine down; true when the order was taken.
    async fn order_down(&self, name: &str, wave: u64) -> bool {
        if !self.may_order() {
            return false;
        }
        let answer = self.ctx.ports.machines.start_maintenance(name, wave, self.tenure.epoch).await;
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
                self.taken.borrow_mut().insert((wave, name.to_owned()), clock::now());
            }
            Err(MachineError::Fenced) => {
                self.lost.set(true);
                return false;
            }
            // The next round asks again, once the machine is listed as up.
            Err(_) => return false,
        }
        true
    }

    async fn report(&self, wave: u64, complete: bool) -> Result<(), String> {
        if self.reported.borrow().get(&wave) == Some(&complete) {
            return Ok(());
        }
        let (place, value) = self.ctx.ports.dialect.wave_report(wave, complete);
        let change = Transaction { writes: vec![(place, value)], ..Transaction::default() };
        self.ctx.ports.store.apply(&change).await.map_err(|error| error.to_string())?;
        self.reported.borrow_mut().insert(wave, complete);
        self.ctx
            .timeline
            .record(base::Event::WaveReported, &[("wave", &wave), ("complete", &complete)]);
        Ok(())
    }
}
