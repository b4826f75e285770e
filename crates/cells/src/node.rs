//! The tasks of one process: client requests, cell leases and the watches on the table.

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

/// Least time between two reads of the registry's changes, in milliseconds.
///
/// Each executor writes its entry about every 1.5 s.
const REGISTRY_INTERVAL_MS: u64 = 250;
/// Least time between two reads of the duties' changes, in milliseconds.
const DUTY_INTERVAL_MS: u64 = 40;
/// Time between checks whether this process holds a lease, in milliseconds.
const HOLDER_CHECK_MS: u64 = 50;

/// Handle of the tasks of a process.
#[expect(missing_debug_implementations, reason = "holds trait objects")]
pub struct Node {
    ctx: Rc<Context>,
    job_api: Rc<JobApi>,
    member: Rc<Member>,
}

impl Node {
    /// Starts the tasks that watch the table and claim cells.
    pub fn spawn(settings: Settings, ports: Ports, timeline: Timeline, metrics: Metrics) -> Self {
        let ctx = Context::new(settings, ports, timeline, metrics);
        actix::spawn(follow_operator_rows(Rc::clone(&ctx)));
        actix::spawn(follow_registry(Rc::clone(&ctx)));
        actix::spawn(follow_duties(Rc::clone(&ctx)));
        let member = Member::spawn(Rc::clone(&ctx));
        Self { job_api: JobApi::new(Rc::clone(&ctx)), member, ctx }
    }

    /// Returns the handler of client requests.
    pub fn job_api(&self) -> Rc<JobApi> {
        Rc::clone(&self.job_api)
    }

    /// Returns whether the process is ready for new connections.
    ///
    /// It is ready while a configuration is in force, the table is available and no shutdown is in
    /// progress.
    pub fn is_ready(&self) -> bool {
        !self.ctx.stopping.get() && self.ctx.config().is_some() && !self.ctx.is_table_unavailable()
    }

    /// Releases the held leases; client requests are still answered.
    pub async fn close(self) {
        self.ctx.stopping.set(true);
        self.member.close().await;
    }
}

async fn follow_operator_rows(ctx: Rc<Context>) {
    let table = ctx.ports.dialect.instruction_table().to_owned();
    let context = Rc::clone(&ctx);
    let on_row = move |row: &Row| match context.ports.dialect.parse_instruction(row) {
        Ok(Some(Instruction::Configuration(config))) => context.set_config(*config),
        Ok(Some(Instruction::Wave(wave))) => {
            let mut waves = context.waves.borrow_mut();
            let known = waves.get(&wave.number).is_some_and(|seen| *seen == wave);
            if !known {
                context.timeline.record(
                    base::Event::WaveSeen,
                    &[
                        ("wave", &wave.number),
                        ("machines", &wave.machines.len()),
                        ("most", &wave.max_down),
                        ("within_ms", &wave.time_limit),
                    ],
                );
                waves.insert(wave.number, wave);
            }
        }
        Ok(None) => {}
        Err(error) => context
            .timeline
            .record(base::Event::RowUnreadable, &[("row", &row.place.key), ("error", &error)]),
    };
    let context = Rc::clone(&ctx);
    let on_read = move |requested| context.config_confirmed_at.set(requested);
    follow(ctx, (table, vec![String::new()]), 0, || true, on_row, on_read).await;
}

/// Watches the registry while this process holds a lease.
async fn follow_registry(ctx: Rc<Context>) {
    let table = ctx.ports.dialect.registry_table().to_owned();
    loop {
        while !ctx.is_holder.get() {
            pause(HOLDER_CHECK_MS).await;
        }
        let context = Rc::clone(&ctx);
        let mut unreadable: IndexSet<String> = IndexSet::new();
        let on_row = move |row: &Row| {
            let id = &row.place.key;
            context.registry_version.set(context.registry_version.get() + 1);
            if row.value.is_none() {
                context.registry.borrow_mut().remove(id);
                unreadable.swap_remove(id);
                return;
            }
            let parsed = context.ports.dialect.parse_registration(row);
            // Neither the pool nor the incarnation that such an entry names is to be relied on.
            let parsed = parsed.and_then(|entry| {
                let is_known = context.is_known_pool(&entry.pool);
                is_known.then_some(entry).ok_or_else(|| "the pool is not configured".to_owned())
            });
            match parsed {
                Ok(registration) => {
                    context.registry.borrow_mut().insert(id, registration);
                }
                Err(error) => {
                    // An executor whose entry can't be parsed keeps its runs and gets no tasks.
                    context.registry.borrow_mut().remove(id);
                    if unreadable.insert(id.clone()) {
                        context
                            .timeline
                            .record(base::Event::RowUnreadable, &[("row", id), ("error", &error)]);
                    }
                }
            }
        };
        let (for_read, for_active) = (Rc::clone(&ctx), Rc::clone(&ctx));
        let active = move || for_active.is_holder.get();
        let on_read = move |requested| {
            for_read.registry_read.set(true);
            for_read.registry_read_at.set(requested);
        };
        follow(
            Rc::clone(&ctx),
            (table.clone(), vec![String::new()]),
            REGISTRY_INTERVAL_MS,
            active,
            on_row,
            on_read,
        )
        .await;
        ctx.registry_read.set(false);
        ctx.registry_version.set(ctx.registry_version.get() + 1);
        ctx.registry.borrow_mut().clear();
    }
}

/// Watches the duties of machines while this process holds a lease.
async fn follow_duties(ctx: Rc<Context>) {
    let table = keys::DUTY_TABLE.to_owned();
    loop {
        while !ctx.is_holder.get() {
            pause(HOLDER_CHECK_MS).await;
        }
        let context = Rc::clone(&ctx);
        let on_row = move |row: &Row| context.apply_duty(row);
        let (for_read, for_active) = (Rc::clone(&ctx), Rc::clone(&ctx));
        let active = move || for_active.is_holder.get();
        let on_read = move |_| for_read.duties_read.set(true);
        follow(
            Rc::clone(&ctx),
            (table.clone(), keys::duty_parts()),
            DUTY_INTERVAL_MS,
            active,
            on_row,
            on_read,
        )
        .await;
        ctx.duties_read.set(false);
        ctx.duties.borrow_mut().clear();
    }
}
