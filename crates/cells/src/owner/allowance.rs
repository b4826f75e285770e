//! Exchange of a cell's grants with the holders of other cells, and logs and metrics about them.
//!
//! Nothing runs here before a configuration limits an organisation.

use std::rc::Rc;

use indexmap::{IndexMap, IndexSet};
use jobs::Resources;
use jobs::cell::QuotaUse;
use tokio::sync::Notify;

use super::Inner;
use crate::allowance::{Circumstances, Observation};
use crate::clock;
use crate::context::pause;
use crate::follow::follow;
use crate::keys;

/// Interval between decisions about grants without events, in milliseconds; that of the scheduler's
/// passes.
const DECISION_INTERVAL_MS: u64 = 25;
/// Minimum time between two reads of changed grants, in milliseconds.
const FEED_INTERVAL_MS: u64 = 10;
/// Interval between checks whether the configuration has limits, in milliseconds; a fraction of the
/// time in which a configuration has to take effect.
const IDLE_INTERVAL_MS: u64 = 200;
/// Interval between updates of the metrics, in milliseconds.
const METRICS_INTERVAL_MS: u64 = 1_000;
/// Ratio of the most that a cell asks for to its capacity. More machines may be on their way, and
/// the demand for them must not be hidden by a grant that follows the capacity.
const CAPACITY_FACTOR: u64 = 4;
/// Duration of a turn, in which one of the cells that ask for more than there is gets whole units
/// first, in milliseconds; a few times the duration of a task, so that its share becomes free.
const TURN_MS: u64 = 4_000;
/// Time without a published load after which a cell that is not configured counts as abandoned, in
/// milliseconds. Its last runs have ended in less than half of that: the configuration applies
/// within 3 s, and orders and leases of its holder are valid for 8 s.
const ABANDONED_AFTER_MS: u64 = 30_000;
/// Age up to which this holder's own load, as read from the table, shows that loads can be written,
/// in milliseconds.
const OWN_LOAD_AGE_MS: u64 = 3_000;
/// Maximum number of organisations with log lines of their own each second.
const MAX_LOGGED_ORGANISATIONS: usize = 8;
/// Maximum number of organisations with metrics of their own; the others are added up.
const MAX_MEASURED_ORGANISATIONS: usize = 64;
/// Label of the organisations that have no metrics of their own.
const OTHER_ORGANISATIONS: &str = "(other)";

impl Inner {
    /// Keeps the limit of an organisation under which a job was accepted.
    ///
    /// It applies while the configuration lacks the organisation: it is older than the job, or the
    /// organisation has been removed.
    pub(super) fn keep_limit(&self, organisation: &str, limit: Resources) {
        let former = self.former_limits.borrow().get(organisation).copied();
        if former != Some(limit) {
            self.former_limits.borrow_mut().insert(organisation.to_owned(), limit);
            self.set_limits();
        }
    }

    /// Reads the limits of the current configuration and passes them to the scheduler.
    pub(super) fn set_limits(&self) {
        let config = self.ctx.config();
        let organisations = config.iter().filter_map(|config| config.organisations.as_ref());
        let configured = organisations
            .flat_map(jobs::Organisations::iter)
            .map(|organisation| (organisation.name.clone(), organisation.limit));
        // The configuration goes before what was in force when jobs were accepted.
        let mut limits = self.former_limits.borrow().clone();
        limits.extend(configured);
        limits.retain(|_, limit| *limit != Resources::default());
        let named = limits.iter().map(|(name, limit)| (name.as_str(), *limit));
        self.cell.borrow_mut().set_limits(named);
        *self.limits.borrow_mut() = Rc::new(limits);
    }

    /// Passes the grants to the scheduler.
    ///
    /// It is called before each pass, since a change of a limit or of a row may withdraw grants while
    /// a write of this holder waits for its answer.
    pub(super) fn set_grants(&self) {
        let grants = self.exchange.borrow().grants(&self.limits.borrow());
        let mut cell = self.cell.borrow_mut();
        for (name, granted) in grants {
            cell.set_grant(&name, granted);
        }
    }

    /// Keeps the cell's grants in step with its needs while the cell is held.
    pub(super) async fn exchange_grants(self: Rc<Self>) {
        while self.limits.borrow().is_empty() {
            if !self.is_active() {
                return;
            }
            pause(IDLE_INTERVAL_MS).await;
        }
        let changed = Rc::new(Notify::new());
        self.spawn_task("grants", Rc::clone(&self).follow_grants(&changed));
        let mut measured_at = 0;
        while self.is_active() {
            self.exchange_once().await;
            if clock::now() >= measured_at + METRICS_INTERVAL_MS {
                measured_at = clock::now();
                self.measure_organisations();
            }
            tokio::select! {
                () = pause(DECISION_INTERVAL_MS) => {}
                () = changed.notified() => {}
            }
        }
    }

    /// Reads the grants of all cells, and their changes.
    fn follow_grants(self: Rc<Self>, changed: &Rc<Notify>) -> impl Future<Output = ()> + use<> {
        let (ctx, active) = (Rc::clone(&self.ctx), Rc::clone(&self));
        let reader = Rc::clone(&self);
        let changed = Rc::clone(changed);
        let table = keys::ORGANISATION_TABLE.to_owned();
        follow(
            ctx,
            (table, vec![keys::GRANT_PART.to_owned()]),
            FEED_INTERVAL_MS,
            move || active.is_active(),
            move |row| {
                let observation = self.exchange.borrow_mut().observe(row);
                self.handle_observation(&row.place.key, &observation);
                changed.notify_one();
            },
            move |_| reader.exchange.borrow_mut().complete_read(),
        )
    }

    /// Decides once about the cell's grants, and writes them if they change.
    async fn exchange_once(&self) {
        let limits = Rc::clone(&self.limits.borrow());
        let config = self.ctx.config();
        let pools = config.iter().flat_map(|config| config.pools.values());
        let configured: IndexSet<String> =
            pools.filter(|pool| !pool.standby).map(|pool| pool.name.clone()).collect();
        let abandoned = self.abandoned_cells(&configured);
        let (needs, settled, capacity) = {
            let cell = self.cell.borrow();
            let mut capacity = Resources::default();
            let listed = cell.workers().values().filter(|worker| worker.listed);
            listed.for_each(|worker| capacity.add(worker.registration.capacity));
            (cell.quota_needs(), cell.is_quota_use_known(), capacity.times(CAPACITY_FACTOR))
        };
        let circumstances = Circumstances {
            limits: &limits,
            needs: &needs,
            capacity,
            settled,
            turn: self.ctx.table_now() / TURN_MS,
            configured: &configured,
            abandoned: &abandoned,
        };
        let transaction = self.exchange.borrow_mut().propose(&circumstances, clock::now());
        let Some(transaction) = transaction else { return };
        let result = self.ctx.ports.store.apply(&transaction).await;
        match &result {
            Ok(done) => {
                self.ctx.record_table_clock(done.clock);
                if !abandoned.is_empty() {
                    let cells: Vec<&str> = abandoned.iter().map(String::as_str).collect();
                    self.ctx.timeline.record(
                        base::Event::GrantsFreed,
                        &[("cell", &self.tenure.cell), ("freed", &cells.join(" "))],
                    );
                }
            }
            Err(crate::ports::TransactionError::Conflict { .. }) => {}
            Err(error) => self.ctx.record_table_call(true, &error.to_string()),
        }
        let observations = self.exchange.borrow_mut().settle(result, clock::now());
        for observation in &observations {
            self.handle_observation(keys::GRANT_PART, observation);
        }
        self.wake.notify_one();
    }

    fn handle_observation(&self, row: &str, observation: &Observation) {
        match observation {
            Observation::Normal => {}
            Observation::Superseded => {
                self.mark_lost("a later holder has written the cell's grants");
            }
            Observation::Unreadable(error) => self
                .ctx
                .timeline
                .record(base::Event::RowUnreadable, &[("row", &row), ("error", error)]),
        }
    }

    /// Returns the cells with grants that are not configured and whose holders have published nothing
    /// for long; none while loads may not be written at all.
    fn abandoned_cells(&self, configured: &IndexSet<String>) -> IndexSet<String> {
        let loads = self.ctx.loads.borrow();
        let now = self.ctx.table_now();
        let published_at = |cell: &str| loads.get(cell).map_or(0, |load| load.published_at);
        if now > published_at(&self.tenure.cell) + OWN_LOAD_AGE_MS {
            return IndexSet::new();
        }
        let is_abandoned = |cell: &&str| {
            !configured.contains(*cell) && now > published_at(cell) + ABANDONED_AFTER_MS
        };
        self.exchange.borrow().cells().filter(is_abandoned).map(str::to_owned).collect()
    }

    /// Logs the organisations whose tasks wait, those with the most waiting work first.
    pub(super) fn log_organisations(&self) {
        let uses = self.cell.borrow().quota_use();
        let mut waiting: Vec<(&String, &QuotaUse)> =
            uses.iter().filter(|(_, quota)| quota.reason.is_some()).collect();
        waiting.sort_by_key(|(_, quota)| std::cmp::Reverse(quota.need.waiting.cpu));
        for (name, quota) in waiting.iter().take(MAX_LOGGED_ORGANISATIONS) {
            let (need, allowance) = (&quota.need, &quota.allowance);
            let reason = quota.reason.map(|reason| reason.to_string()).unwrap_or_default();
            self.ctx.timeline.record(
                base::Event::OrganisationLoad,
                &[
                    ("cell", &self.tenure.cell),
                    ("organisation", name),
                    ("reason", &reason),
                    ("waiting_tasks", &need.waiting_tasks),
                    ("waiting", &need.waiting.cpu),
                    ("used", &need.used.cpu),
                    ("unknown", &need.unknown.cpu),
                    ("granted", &allowance.granted.cpu),
                    ("limit", &allowance.limit.cpu),
                    ("used_memory", &need.used.memory),
                    ("granted_memory", &allowance.granted.memory),
                    ("limit_memory", &allowance.limit.memory),
                    ("used_gpus", &need.used.gpus),
                    ("granted_gpus", &allowance.granted.gpus),
                    ("limit_gpus", &allowance.limit.gpus),
                    ("organisations", &waiting.len()),
                ],
            );
        }
    }

    /// Updates the organisations' metrics: a bounded number of them apart, the others added up.
    fn measure_organisations(&self) {
        let mut sums: IndexMap<&str, [u64; 4]> = IndexMap::new();
        let uses = self.cell.borrow().quota_use();
        for (n, (name, quota)) in uses.iter().enumerate() {
            let is_shown = n < MAX_MEASURED_ORGANISATIONS;
            let name = if is_shown { name.as_str() } else { OTHER_ORGANISATIONS };
            let (need, allowance) = (&quota.need, &quota.allowance);
            let amounts =
                [need.used.cpu, need.waiting.cpu, allowance.granted.cpu, allowance.limit.cpu];
            for (sum, amount) in sums.entry(name).or_default().iter_mut().zip(amounts) {
                *sum = sum.saturating_add(amount);
            }
        }
        let family = &self.ctx.metrics.organisation_millicores;
        for (name, amounts) in sums {
            for (part, amount) in ["used", "waiting", "granted", "limit"].iter().zip(amounts) {
                let gauge = family.with_label_values(&[self.tenure.cell.as_str(), name, part]);
                gauge.set(i64::try_from(amount).unwrap_or(i64::MAX));
            }
        }
    }
}
