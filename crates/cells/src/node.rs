//! One process: its desk, its membership and what it follows.

use std::rc::Rc;

use base::Timeline;
use indexmap::IndexSet;

use crate::context::{Context, Ports, Settings, pause};
use crate::follow::follow;
use crate::job_api::JobApi;
use crate::keys;
use crate::member::Member;
use crate::metrics::Metrics;
use crate::ports::{Instruction, Row};

/// Least time between two reads of the registry's changes, in milliseconds; executors write there
/// about every second and a half each.
const REGISTRY_GAP: u64 = 250;
/// Least time between two reads of the duties' changes, in milliseconds.
const DUTY_GAP: u64 = 40;
/// Time between checks whether this process holds something, in milliseconds.
const IDLE: u64 = 50;

/// A running process.
#[expect(missing_debug_implementations, reason = "holds trait objects")]
pub struct Node {
    ctx: Rc<Context>,
    desk: Rc<JobApi>,
    member: Rc<Member>,
}

impl Node {
    /// Starts following the platform and taking cells.
    pub fn spawn(settings: Settings, ports: Ports, timeline: Timeline, metrics: Metrics) -> Self {
        let ctx = Context::new(settings, ports, timeline, metrics);
        actix::spawn(follow_instructions(Rc::clone(&ctx)));
        actix::spawn(follow_registry(Rc::clone(&ctx)));
        actix::spawn(follow_duties(Rc::clone(&ctx)));
        let member = Member::spawn(Rc::clone(&ctx));
        Self { desk: JobApi::new(Rc::clone(&ctx)), member, ctx }
    }

    /// Answers clients.
    pub fn desk(&self) -> Rc<JobApi> {
        Rc::clone(&self.desk)
    }

    /// Whether new connections may come: a configuration is there, the table answers, and the
    /// process is not about to stop.
    pub fn is_ready(&self) -> bool {
        !self.ctx.stopping.get() && self.ctx.config().is_some() && !self.ctx.is_away()
    }

    /// Hands the cells over; requests are still answered.
    pub async fn close(self) {
        self.ctx.stopping.set(true);
        self.member.close().await;
    }
}

async fn follow_instructions(ctx: Rc<Context>) {
    let table = ctx.ports.dialect.instructions().to_owned();
    let taker = Rc::clone(&ctx);
    let take = move |row: &Row| match taker.ports.dialect.instruction(row) {
        Ok(Some(Instruction::Configuration(config))) => taker.set_config(config),
        Ok(Some(Instruction::Wave(wave))) => {
            let mut waves = taker.waves.borrow_mut();
            let same = waves.get(&wave.number).is_some_and(|seen| *seen == wave);
            if !same {
                taker.timeline.record(
                    base::Event::WaveSeen,
                    &[
                        ("wave", &wave.number),
                        ("machines", &wave.machines.len()),
                        ("most", &wave.most),
                        ("within_ms", &wave.within),
                    ],
                );
                waves.insert(wave.number, wave);
            }
        }
        Ok(None) => {}
        Err(error) => taker
            .timeline
            .record(base::Event::RowUnreadable, &[("row", &row.place.key), ("error", &error)]),
    };
    follow(ctx, (table, ""), 0, || true, take, || {}).await;
}

/// Follows the registry whenever this process holds something.
async fn follow_registry(ctx: Rc<Context>) {
    let table = ctx.ports.dialect.registry().to_owned();
    loop {
        while !ctx.holding.get() {
            pause(IDLE).await;
        }
        let taker = Rc::clone(&ctx);
        let mut bad: IndexSet<String> = IndexSet::new();
        let take = move |row: &Row| {
            let id = &row.place.key;
            taker.registry_version.set(taker.registry_version.get() + 1);
            if row.value.is_none() {
                taker.registry.borrow_mut().swap_remove(id);
                return;
            }
            match taker.ports.dialect.registration(row) {
                Ok(entry) => {
                    taker.registry.borrow_mut().insert(id.clone(), entry);
                }
                Err(error) => {
                    // An entry that can't be read names no executor to use.
                    taker.registry.borrow_mut().swap_remove(id);
                    if bad.insert(id.clone()) {
                        taker
                            .timeline
                            .record(base::Event::RowUnreadable, &[("row", id), ("error", &error)]);
                    }
                }
            }
        };
        let (whole, holding) = (Rc::clone(&ctx), Rc::clone(&ctx));
        let go = move || holding.holding.get();
        let done = move || whole.listed.set(true);
        follow(Rc::clone(&ctx), (table.clone(), ""), REGISTRY_GAP, go, take, done).await;
        ctx.listed.set(false);
        ctx.registry_version.set(ctx.registry_version.get() + 1);
        ctx.registry.borrow_mut().clear();
    }
}

/// Follows the machines' duties whenever this process holds something.
async fn follow_duties(ctx: Rc<Context>) {
    let table = keys::DUTIES.to_owned();
    loop {
        while !ctx.holding.get() {
            pause(IDLE).await;
        }
        let taker = Rc::clone(&ctx);
        let take = move |row: &Row| taker.take_duty(row, false);
        let (whole, holding) = (Rc::clone(&ctx), Rc::clone(&ctx));
        let go = move || holding.holding.get();
        let done = move || whole.duties_known.set(true);
        follow(Rc::clone(&ctx), (table.clone(), keys::DUTY_PART), DUTY_GAP, go, take, done).await;
        ctx.duties_known.set(false);
        ctx.duties.borrow_mut().clear();
    }
}
