//! Maintenance waves.

use futures_util::future::join_all;
use indexmap::IndexMap;
use jobs::wave::{self, Stage, Wave};

use super::{Inner, duty};
use crate::clock;
use crate::keys;
use crate::ports::{Change, Machine, MachineError};
use crate::rows::Duty;

impl Inner {
    /// Does the next steps of a wave.
    pub(super) async fn wave(&self, wave: &Wave) -> Result<(), String> {
        self.note_returns(wave).await?;
        let steps = {
            let machines = self.machines.borrow();
            let stages: IndexMap<String, Stage> = wave
                .machines
                .iter()
                .map(|name| (name.clone(), self.stage(wave.number, name)))
                .collect();
            let empty = |name: &str| {
                let Some(machine) = machines.get(name) else { return true };
                let duty = self.duty(&keys::upkeep(wave.number, name));
                machine.up
                    && (self.is_off(machine)
                        || duty.is_some_and(|d| d.empty && d.executor == machine.executor))
            };
            wave::next(wave, &stages, &empty)
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
                writes.push((keys::upkeep(wave.number, &machine.name), Some(next)));
            }
            // A machine whose executor came back as another one has to be emptied again.
            for machine in wave.machines.iter().filter_map(|name| machines.get(name)) {
                let place = keys::upkeep(wave.number, &machine.name);
                let changed = self.duty(&place).is_some_and(|d| {
                    d.stage() == Stage::Emptying && d.executor != machine.executor
                });
                if changed {
                    let next = duty(machine, wave.number, "", Stage::Emptying);
                    writes.push((keys::upkeep(wave.number, &machine.name), Some(next)));
                }
            }
        }
        if !writes.is_empty() {
            self.write(writes).await?;
        }
        self.take_down(&steps.down, wave.number).await?;
        self.report(wave.number, steps.complete).await
    }

    fn stage(&self, wave: u64, name: &str) -> Stage {
        // A machine that the platform no longer lists has left and needs no maintenance.
        if !self.machines.borrow().contains_key(name) {
            return Stage::Done;
        }
        self.duty(&keys::upkeep(wave, name)).map_or(Stage::Due, |duty| duty.stage())
    }

    /// Notes machines that are up again after an order that was taken.
    ///
    /// An order without answer is given again: it is taken at once if it was done before.
    async fn note_returns(&self, wave: &Wave) -> Result<(), String> {
        let (mut back, mut unsure) = (Vec::new(), Vec::new());
        {
            let machines = self.machines.borrow();
            let taken = self.taken.borrow();
            for machine in wave.machines.iter().filter_map(|name| machines.get(name)) {
                let down = self.stage(wave.number, &machine.name) == Stage::Down;
                if !down || !machine.up {
                    continue;
                }
                match taken.get(&(wave.number, machine.name.clone())) {
                    Some(at) if self.listed.get() > *at => back.push(machine.clone()),
                    Some(_) => {}
                    None => unsure.push(machine.name.clone()),
                }
            }
        }
        join_all(unsure.iter().map(|name| self.order_down(name, wave.number))).await;
        if back.is_empty() {
            return Ok(());
        }
        let done = |m: &Machine| {
            let next = duty(m, wave.number, "", Stage::Done);
            (keys::upkeep(wave.number, &m.name), Some(next))
        };
        self.write(back.iter().map(done).collect()).await?;
        for machine in back {
            self.ctx.timeline.record(
                base::Event::MachineBack,
                &[("machine", &machine.name), ("wave", &wave.number)],
            );
        }
        Ok(())
    }

    async fn take_down(&self, names: &[String], wave: u64) -> Result<(), String> {
        if names.is_empty() {
            return Ok(());
        }
        let writes = {
            let machines = self.machines.borrow();
            let down = |m: &Machine| {
                let next = Duty { empty: true, ..duty(m, wave, "", Stage::Down) };
                (keys::upkeep(wave, &m.name), Some(next))
            };
            names.iter().filter_map(|name| machines.get(name)).map(down).collect()
        };
        self.write(writes).await?;
        let taken = join_all(names.iter().map(|name| self.order_down(name, wave))).await;
        // The cells need not wait for the leases of executors that have surely ended.
        let gone = names.iter().zip(taken).filter(|(_, taken)| *taken);
        let gone = gone.filter_map(|(name, _)| {
            let place = keys::upkeep(wave, name);
            let duty = self.duty(&place)?;
            Some((place, Some(Duty { gone: true, ..duty })))
        });
        self.write(gone.collect()).await
    }

    /// Orders a machine down; true when the order was taken.
    async fn order_down(&self, name: &str, wave: u64) -> bool {
        if !self.may_order() {
            return false;
        }
        let answer = self.ctx.ports.machines.upkeep(name, wave, self.tenure.epoch).await;
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
        let (place, value) = self.ctx.ports.dialect.report(wave, complete);
        let change = Change { writes: vec![(place, value)], ..Change::default() };
        self.ctx.ports.store.apply(&change).await.map_err(|error| error.to_string())?;
        self.reported.borrow_mut().insert(wave, complete);
        self.ctx
            .timeline
            .record(base::Event::WaveReported, &[("wave", &wave), ("complete", &complete)]);
        Ok(())
    }
}
