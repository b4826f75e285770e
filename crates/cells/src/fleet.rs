//! The fleet's duties: maintenance waves, one process at a time.
//!
//! A machine's row tells how far its duty is. The holder of the machine's cell empties its
//! executor and says so in the row; the holder of the duties then gives the order. The row says
//! that a machine may be down before the order goes out, so that a successor counts it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use indexmap::IndexMap;
use jobs::wave::{self, Stage};

use crate::clock;
use crate::context::{Context, SeenWave, pause};
use crate::follow::read_all;
use crate::keys;
use crate::owner::{self, Tenure};
use crate::ports::{Change, ChangeError, Machine, MachineError};
use crate::rows::{self, Duty};

/// Time between rounds while a wave is on, in milliseconds; a fraction of a machine's stop.
const ROUND: u64 = 250;
/// Time between rounds without a wave, in milliseconds.
const IDLE: u64 = 500;
/// Time for which the holder gives orders after its lease was last confirmed, in milliseconds;
/// less than the silence after which another process takes the lease.
const VALID: u64 = 2_000;

/// Handle of the fleet's duties.
pub(crate) struct Fleet {
    inner: Rc<Inner>,
}

struct Inner {
    ctx: Rc<Context>,
    tenure: Tenure,
    started: u64,
    confirmed: Cell<u64>,
    lost: Cell<bool>,
    duties: RefCell<IndexMap<String, (u64, Duty)>>,
    /// Executors of the machines when they were ordered down.
    machines: RefCell<IndexMap<String, Machine>>,
    reported: RefCell<IndexMap<u64, bool>>,
}

impl Fleet {
    pub fn spawn(ctx: Rc<Context>, tenure: Tenure) -> Self {
        let inner = Rc::new(Inner {
            ctx,
            tenure,
            started: clock::now(),
            confirmed: Cell::new(clock::now()),
            lost: Cell::new(false),
            duties: RefCell::default(),
            machines: RefCell::default(),
            reported: RefCell::default(),
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

    /// Ends and hands the duties over.
    pub async fn close(self) {
        if !self.inner.lost.replace(true) {
            owner::release(&self.inner.ctx, &self.inner.tenure).await;
        }
    }
}

impl Inner {
    fn may_order(&self) -> bool {
        let now = clock::now();
        !self.lost.get() && now < self.confirmed.get() + VALID
    }

    async fn run(self: Rc<Self>) {
        // Orders of two holders must not come close to each other.
        let handover = if self.tenure.term == 1 { 0 } else { self.ctx.settings.bounds.handover };
        while !self.lost.get() && clock::now() < self.started + handover {
            pause(ROUND).await;
        }
        while !self.lost.get() {
            let waves: Vec<SeenWave> = self.ctx.waves.borrow().values().cloned().collect();
            let open: Vec<SeenWave> = waves
                .into_iter()
                .filter(|w| self.reported.borrow().get(&w.wave.number) != Some(&true))
                .collect();
            if open.is_empty() || !self.may_order() {
                pause(IDLE).await;
                continue;
            }
            if let Err(what) = self.round(&open).await {
                self.ctx.timeline.record(base::Event::DutyDelayed, &[("what", &what)]);
            }
            pause(ROUND).await;
        }
    }

    async fn round(&self, waves: &[SeenWave]) -> Result<(), String> {
        let machines = self.ctx.ports.machines.list().await.map_err(|error| error.to_string())?;
        *self.machines.borrow_mut() =
            machines.into_iter().map(|machine| (machine.name.clone(), machine)).collect();
        self.read_duties().await?;
        for seen in waves {
            self.wave(seen).await?;
        }
        Ok(())
    }

    async fn read_duties(&self) -> Result<(), String> {
        let from = keys::duty("");
        let (rows, _) = read_all(&self.ctx, from).await.map_err(|error| error.to_string())?;
        let mut duties = IndexMap::new();
        for row in rows {
            match rows::decode::<Duty>(row.value.as_deref().unwrap_or_default()) {
                Ok(duty) => {
                    duties.insert(row.place.key, (row.version, duty));
                }
                Err(error) => self.ctx.timeline.record(
                    base::Event::RowUnreadable,
                    &[("row", &row.place.key), ("error", &error)],
                ),
            }
        }
        *self.duties.borrow_mut() = duties;
        Ok(())
    }

    async fn wave(&self, seen: &SeenWave) -> Result<(), String> {
        let wave = &seen.wave;
        self.note_returns(wave.number).await?;
        let steps = {
            let duties = self.duties.borrow();
            let machines = self.machines.borrow();
            let stage = |name: &String| {
                // A machine that the platform no longer lists has left and needs no maintenance.
                if !machines.contains_key(name) {
                    return Stage::Done;
                }
                duties
                    .get(name)
                    .filter(|(_, duty)| duty.wave == wave.number)
                    .and_then(|(_, duty)| duty.stage.parse().ok())
                    .unwrap_or_default()
            };
            let stages: IndexMap<String, Stage> =
                wave.machines.iter().map(|name| (name.clone(), stage(name))).collect();
            let empty = |name: &str| {
                let duty = duties.get(name).map(|(_, duty)| duty);
                duty.is_some_and(|duty| duty.empty || self.needs_no_emptying(duty, name))
            };
            wave::next(wave, &stages, &empty)
        };
        for name in &steps.empty {
            let executor =
                self.machines.borrow().get(name).map(|m| m.executor.clone()).unwrap_or_default();
            self.write(name, wave.number, Stage::Emptying, &executor).await?;
        }
        for name in &steps.down {
            self.take_down(name, wave.number).await?;
        }
        self.report(wave.number, steps.complete).await
    }

    /// Whether nobody runs anything on a machine that is to go down.
    fn needs_no_emptying(&self, duty: &Duty, name: &str) -> bool {
        let machines = self.machines.borrow();
        let Some(machine) = machines.get(name) else { return true };
        let standby = self
            .ctx
            .config()
            .and_then(|config| config.pools.get(&machine.pool).map(|pool| pool.standby))
            .unwrap_or(false);
        standby || machine.executor.is_empty() || machine.executor != duty.executor
    }

    /// Notes machines that are back with another executor than the one that went down.
    async fn note_returns(&self, wave: u64) -> Result<(), String> {
        let back: Vec<(String, String)> = {
            let duties = self.duties.borrow();
            let machines = self.machines.borrow();
            duties
                .iter()
                .filter(|(_, (_, duty))| duty.wave == wave && duty.stage == Stage::Down.to_string())
                .filter(|(name, (_, duty))| {
                    machines.get(*name).is_some_and(|m| m.up && m.executor != duty.executor)
                })
                .map(|(name, (_, duty))| (name.clone(), duty.executor.clone()))
                .collect()
        };
        for (name, executor) in back {
            self.write(&name, wave, Stage::Done, &executor).await?;
            self.ctx
                .timeline
                .record(base::Event::MachineBack, &[("machine", &name), ("wave", &wave)]);
        }
        Ok(())
    }

    async fn take_down(&self, name: &str, wave: u64) -> Result<(), String> {
        let Some(machine) = self.machines.borrow().get(name).cloned() else { return Ok(()) };
        self.write(name, wave, Stage::Down, &machine.executor).await?;
        if !self.may_order() {
            return Err("the lease was not confirmed lately".to_owned());
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
            Ok(()) | Err(MachineError::Unknown { .. }) => Ok(()),
            Err(MachineError::Fenced) => {
                self.lost.set(true);
                Ok(())
            }
            Err(MachineError::Unfit { .. }) => {
                self.write(name, wave, Stage::Done, &machine.executor).await
            }
            Err(_) => self.write(name, wave, Stage::Emptying, &machine.executor).await,
        }
    }

    async fn write(
        &self,
        name: &str,
        wave: u64,
        stage: Stage,
        executor: &str,
    ) -> Result<(), String> {
        let place = keys::duty(name);
        let old = self.duties.borrow().get(name).cloned();
        let (version, old) = old.unwrap_or_default();
        let empty = stage != Stage::Done && old.empty && old.executor == executor;
        let duty = Duty {
            wave,
            pool: String::new(),
            stage: stage.to_string(),
            executor: executor.to_owned(),
            empty,
        };
        let change = Change {
            expect: vec![(place.clone(), version)],
            writes: vec![(place, rows::encode(&duty))],
            removes: Vec::new(),
        };
        match self.ctx.ports.store.apply(&change).await {
            Ok(done) => {
                self.duties.borrow_mut().insert(name.to_owned(), (done.version, duty));
                Ok(())
            }
            Err(ChangeError::Conflict { .. }) => Err(format!("{name}: its row has changed")),
            Err(error) => Err(error.to_string()),
        }
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
