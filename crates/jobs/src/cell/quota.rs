//! Quotas of organisations in a cell: which tasks their allowances let start.
//!
//! Load pattern: at a peak an organisation has hundreds of waiting tasks more than it may run. They
//! must neither hold up the tasks of others nor count as demand for machines. Within an
//! organisation a large task must not wait for ever for smaller ones that take each piece of the
//! allowance that becomes free.

use std::borrow::Cow;
use std::collections::HashMap;

use indexmap::{IndexMap, IndexSet};

use super::assign::Pass;
use super::{Cell, JobEntry};
use crate::job::{Step, TaskId};
use crate::place;
use crate::quota::{Allowance, Need, combine};
use crate::worker::{Resources, Worker};

/// Time for which the waiting tasks of an organisation count as demand for machines although its
/// grant is too small, in milliseconds; longer than the other cells take to return what they do not
/// need.
const TRANSFER_MS: u64 = 500;

/// Use of an organisation's limit by a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Charge {
    /// Number of the organisation of the run's job in its cell.
    pub organisation: usize,
    /// Amount that counts against the limit.
    pub amount: Resources,
}

/// What an organisation's jobs wait for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum WaitReason {
    /// The limit, or the part of it that other cells leave.
    Quota,
    /// Runs that former holders of the cell may have started.
    Unknown,
    /// Executors with enough free resources, or a place in the order.
    Capacity,
}

/// An organisation with a limit, for the log and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaUse {
    /// Allowance in the cell.
    pub allowance: Allowance,
    /// Need in the cell.
    pub need: Need,
    /// What its waiting tasks wait for; `None` if none waits.
    pub reason: Option<WaitReason>,
}

/// Allowance of an organisation and what the last pass found.
#[derive(Debug, Clone, Copy, Default)]
struct Quota {
    allowance: Allowance,
    /// Time since which the grant has been too small, in milliseconds.
    short_since: Option<u64>,
    /// Whether the other cells may still return what the grant lacks.
    in_transfer: bool,
    /// Amount that its waiting tasks need, and their number.
    waiting: (Resources, u64),
    /// Amount that the first task, or gang, needs which the last pass did not start for the grant.
    next: Resources,
    /// Share of its waiting tasks that can start, in thousandths.
    startable: u64,
}

/// Quotas of a cell's organisations.
///
/// Jobs and runs refer to organisations by number: a pass looks up the quota of each of them, and
/// the hashes of their names would take a fifth of its time.
#[derive(Debug, Default)]
pub(super) struct Quotas {
    /// Names of all organisations that have had a job or a limit in the cell; the position of each
    /// is its number.
    names: IndexSet<String>,
    /// Quotas by number; `None` without a limit.
    by_number: Vec<Option<Quota>>,
    /// Numbers of the organisations with a limit, in the order of the configuration.
    limited: Vec<usize>,
}

impl Quota {
    /// Allowance, with the whole limit as the grant while other cells may still return what it lacks.
    fn possible_allowance(&self) -> Allowance {
        let Allowance { limit, granted } = self.allowance;
        let most = if self.in_transfer { combine(limit, granted, u64::max) } else { granted };
        Allowance { limit, granted: most }
    }
}

impl Quotas {
    /// Returns the number of an organisation, which stays the same for as long as the cell is held.
    pub(super) fn number(&mut self, organisation: &str) -> usize {
        if let Some(number) = self.names.get_index_of(organisation) {
            return number;
        }
        self.by_number.push(None);
        self.names.insert_full(organisation.to_owned()).0
    }

    /// Returns the name of an organisation.
    pub(super) fn name(&self, number: usize) -> Option<&str> {
        self.names.get_index(number).map(String::as_str)
    }

    /// Returns an organisation's quota; `None` without a limit.
    fn get(&self, number: usize) -> Option<&Quota> {
        self.by_number.get(number)?.as_ref()
    }

    fn get_mut(&mut self, number: usize) -> Option<&mut Quota> {
        self.by_number.get_mut(number)?.as_mut()
    }

    /// Removes a task that starts from the waiting ones.
    pub(super) fn remove_waiting(&mut self, charge: &Charge) {
        if let Some(quota) = self.get_mut(charge.organisation) {
            let (waiting, tasks) = &mut quota.waiting;
            *waiting = waiting.minus(charge.amount);
            *tasks = tasks.saturating_sub(1);
        }
    }
}

/// State of the quotas in one assignment pass, by the numbers of the organisations; empty if none
/// has a limit.
#[derive(Debug, Default)]
pub(super) struct QuotaPass(Vec<QuotaState>);

impl QuotaPass {
    /// Whether no more tasks of an organisation start in this pass.
    pub(super) fn is_closed(&self, organisation: Option<usize>) -> bool {
        organisation.and_then(|number| self.0.get(number)).is_some_and(|state| state.closed)
    }
}

/// State of an organisation's quota in one assignment pass.
#[derive(Debug, Clone, Copy, Default)]
struct QuotaState {
    /// Amount that may be in use, and what is reserved in this pass.
    used: Resources,
    /// Part of it that is kept for tasks that wait for room on a reserved executor.
    reserved: Resources,
    /// Amount that the first task, or gang, needs which the grant kept from starting.
    next: Option<Resources>,
    /// Whether the next task waits for other tasks of the organisation to end.
    closed: bool,
}

impl Cell {
    /// Sets the limits of organisations, replacing the previous ones.
    ///
    /// An organisation with a new limit starts nothing before it has been granted something.
    ///
    /// # Examples
    ///
    /// ```
    /// use jobs::quota::Allowance;
    /// use jobs::{Cell, CellConfig, Resources};
    /// let config = CellConfig {
    ///     lease: 6_000,
    ///     inherited_lease: 16_000,
    ///     stop_timeout: 900,
    ///     early_start: 0,
    ///     term: 1,
    /// };
    /// let mut cell = Cell::new(config, 0);
    /// let amount = |cpu| Resources { cpu, ..Resources::default() };
    /// cell.set_limits([("a", amount(8_000)), ("b", amount(0))].into_iter());
    /// cell.set_grant("a", amount(2_000));
    /// assert_eq!(cell.quota_use()["a"].allowance.granted, amount(2_000));
    /// assert_eq!(cell.quota_use().len(), 1);
    /// ```
    pub fn set_limits<'a>(&mut self, limits: impl Iterator<Item = (&'a str, Resources)>) {
        let quotas = &mut self.quotas;
        let former = quotas.by_number.clone();
        quotas.by_number.fill(None);
        quotas.limited.clear();
        for (name, limit) in limits.filter(|(_, limit)| *limit != Resources::default()) {
            let number = quotas.number(name);
            let unknown = Quota { startable: 1_000, in_transfer: true, ..Quota::default() };
            let mut quota = former.get(number).copied().flatten().unwrap_or(unknown);
            quota.allowance.limit = limit;
            quotas.by_number[number] = Some(quota);
            quotas.limited.push(number);
        }
    }

    /// Sets the amount that an organisation's tasks may use in this cell.
    pub fn set_grant(&mut self, organisation: &str, granted: Resources) {
        let number = self.quotas.names.get_index_of(organisation);
        if let Some(quota) = number.and_then(|number| self.quotas.get_mut(number)) {
            quota.allowance.granted = granted;
        }
    }

    /// What each organisation with a limit needs; its waiting tasks are those of the last pass.
    ///
    /// Runs of unknown jobs, and executors of former holders that have neither answered nor
    /// certainly ended, count against each organisation with their whole capacity.
    pub fn quota_needs(&self) -> IndexMap<String, Need> {
        let needs = self.needs();
        let named =
            |number: &usize| Some((self.quotas.name(*number)?.to_owned(), *needs.get(*number)?));
        self.quotas.limited.iter().filter_map(named).collect()
    }

    /// What each organisation needs, by number; those without a limit need nothing.
    fn needs(&self) -> Vec<Need> {
        if self.quotas.limited.is_empty() {
            return Vec::new();
        }
        let unknown = self.unknown_use();
        let need = |quota: &Option<Quota>| {
            let Some(quota) = quota else { return Need::default() };
            let (waiting, waiting_tasks) = quota.waiting;
            let (used, next) = (Resources::default(), quota.next);
            Need { used, unknown, waiting, waiting_tasks, next }
        };
        let mut needs: Vec<Need> = self.quotas.by_number.iter().map(need).collect();
        let runs = self.workers.values().flat_map(|worker| worker.runs.values());
        for charge in runs.filter_map(|slot| slot.charge.as_ref()) {
            if self.quotas.get(charge.organisation).is_some() {
                let used = &mut needs[charge.organisation].used;
                *used = combine(*used, charge.amount, u64::saturating_add);
            }
        }
        needs
    }

    /// Adds up the waiting tasks of each organisation with a limit.
    ///
    /// It is done once in a pass, which reads the jobs anyway: with thousands of jobs it takes as
    /// long as the rest of the pass if their state is not in the processor's cache.
    fn count_waiting(&mut self) {
        let settled = self.inherited_settled();
        for quota in self.quotas.by_number.iter_mut().flatten() {
            quota.waiting = Default::default();
            quota.next = Resources::default();
        }
        for entry in self.jobs.values().filter(|e| !e.state.is_final()) {
            let quota = entry.organisation.and_then(|number| self.quotas.get_mut(number));
            let Some((waiting, tasks)) = quota.map(|quota| &mut quota.waiting) else { continue };
            if entry.inherited && !settled {
                continue;
            }
            for (spec, count, occurrences) in entry.startable_steps() {
                let count = count.saturating_mul(occurrences);
                let amount = charged_resources(spec).times(count);
                *waiting = combine(*waiting, amount, u64::saturating_add);
                *tasks = tasks.saturating_add(count);
            }
        }
    }

    /// Organisations with a limit: their allowances, needs and what they wait for.
    pub fn quota_use(&self) -> IndexMap<String, QuotaUse> {
        let needs = self.needs();
        let describe = |number: &usize| {
            let name = self.quotas.name(*number)?.to_owned();
            let (allowance, need) = (self.quotas.get(*number)?.allowance, *needs.get(*number)?);
            let reason = (need.waiting_tasks > 0).then(|| {
                let known = Need { unknown: Resources::default(), ..need };
                match () {
                    () if allowance.startable_share(allowance.granted, &need) == 1_000 => {
                        WaitReason::Capacity
                    }
                    () if allowance.startable_share(allowance.granted, &known) == 1_000 => {
                        WaitReason::Unknown
                    }
                    () => WaitReason::Quota,
                }
            });
            Some((name, QuotaUse { allowance, need, reason }))
        };
        self.quotas.limited.iter().filter_map(describe).collect()
    }

    /// Whether all runs that may use the organisations' limits in this cell are known.
    pub fn is_quota_use_known(&self) -> bool {
        self.unknown_use() == Resources::default()
    }

    /// Part of some work of an organisation that can start within its limit.
    ///
    /// The rest is no demand for machines, which could not run it.
    pub fn startable_work(&self, organisation: Option<&str>, work: u64) -> u64 {
        let number = organisation.and_then(|name| self.quotas.names.get_index_of(name));
        self.startable_part(number, work)
    }

    /// Part of some work of an organisation with this number that can start within its limit.
    pub(super) fn startable_part(&self, organisation: Option<usize>, work: u64) -> u64 {
        let quota = organisation.and_then(|number| self.quotas.get(number));
        match quota.map_or(1_000, |quota| quota.startable) {
            1_000 => work,
            share => scaled(work, share),
        }
    }

    /// Long-running steps of the jobs that have not ended, each with as many tasks as run or can
    /// start.
    ///
    /// Waiting tasks can start as far as the allowance of their organisation admits them beside what
    /// may be in use, in the order of the jobs' arrival. While it is not known which tasks of a job
    /// run, all of them count.
    pub(super) fn long_running_steps(&self) -> Vec<Cow<'_, Step>> {
        let settled = self.inherited_settled();
        let mut used: Vec<Resources> = self.needs().iter().map(Need::possible_use).collect();
        let mut found = Vec::new();
        for entry in self.jobs.values().filter(|e| e.candidate.long_running && !e.state.is_final())
        {
            let quota = self.quota(entry).filter(|_| settled || !entry.inherited);
            for (n, spec) in entry.job.steps.iter().enumerate().filter(|(_, s)| s.long_running) {
                let Some((number, quota)) = quota else {
                    found.push(Cow::Borrowed(spec));
                    continue;
                };
                let begun = entry.occurrences.values().map(|steps| &steps[n]);
                let begun: usize = begun.map(|state| state.tasks.len() - state.open_count).sum();
                let begun = u32::try_from(begun).unwrap_or(u32::MAX).min(spec.count);
                let need = charged_resources(spec);
                let used = &mut used[number];
                let waiting = spec.count - begun;
                let startable = match quota.possible_allowance().startable_tasks(*used, need) {
                    tasks if tasks >= u64::from(waiting) => waiting,
                    _ if spec.gang => 0,
                    tasks => u32::try_from(tasks).unwrap_or(waiting),
                };
                *used = combine(*used, need.times(startable.into()), u64::saturating_add);
                found.push(Cow::Owned(Step { count: begun + startable, ..spec.clone() }));
            }
        }
        found
    }

    /// Amount that runs may use that are not known; the largest possible if executors are not known.
    fn unknown_use(&self) -> Resources {
        let unlimited = Resources { cpu: u64::MAX, memory: u64::MAX, gpus: u64::MAX };
        if self.unknown_inherited && !self.are_inherited_leases_over() {
            return unlimited;
        }
        let may_have_unknown_runs = |id: &String, worker: &Worker| {
            worker.unknown_sizes > 0 || self.may_have_unread_runs(id, worker)
        };
        let mut total = Resources::default();
        for (_, worker) in self.workers.iter().filter(|(id, w)| may_have_unknown_runs(id, w)) {
            let capacity = worker.registration.capacity;
            // The registry no longer lists the executor.
            let capacity = if capacity.cpu == 0 { unlimited } else { capacity };
            let capacity = combine(capacity, worker.used, u64::max);
            total = combine(total, capacity, u64::saturating_add);
        }
        total
    }

    /// Begins an assignment pass: determines what each organisation uses and can start.
    pub(super) fn begin_quota_pass(&mut self, now: u64) -> QuotaPass {
        if self.quotas.limited.is_empty() {
            return QuotaPass::default();
        }
        self.count_waiting();
        let needs = self.needs();
        let mut pass = vec![QuotaState::default(); needs.len()];
        for ((quota, need), state) in self.quotas.by_number.iter_mut().zip(&needs).zip(&mut pass) {
            let Some(quota) = quota else { continue };
            let allowance = quota.allowance;
            // Unknown runs keep tasks from starting until leases end at the latest; the machines that
            // the tasks need then have to stay.
            let known = Need { unknown: Resources::default(), ..*need };
            let granted_share = allowance.startable_share(allowance.granted, &known);
            quota.short_since = match granted_share {
                1_000 => None,
                _ => quota.short_since.or(Some(now)),
            };
            quota.in_transfer = quota.short_since.is_none_or(|since| now < since + TRANSFER_MS);
            quota.startable = if quota.in_transfer {
                allowance.startable_share(allowance.limit, &known).max(granted_share)
            } else {
                granted_share
            };
            state.used = need.possible_use();
        }
        QuotaPass(pass)
    }

    /// Ends an assignment pass: keeps what the grants have kept from starting.
    pub(super) fn end_quota_pass(&mut self, pass: &QuotaPass) {
        for (quota, state) in self.quotas.by_number.iter_mut().zip(&pass.0) {
            if let (Some(quota), Some(need)) = (quota, state.next) {
                quota.next = need;
            }
        }
    }

    /// Whether `count` tasks of a step may start within the allowance of the job's organisation.
    ///
    /// If they may not, but could beside fewer tasks of the organisation, no other task of it starts
    /// in this pass. A job that ignores reservations may use what is kept for tasks without room.
    pub(super) fn is_within_quota(
        &self,
        job: usize,
        step: usize,
        count: u64,
        pass: &mut Pass,
    ) -> bool {
        let Some((_, entry)) = self.jobs.get_index(job) else { return false };
        let Some((number, quota)) = self.quota(entry) else { return true };
        let state = pass.quota.0.get(number).copied().unwrap_or_default();
        if state.closed {
            return false;
        }
        let spec = &entry.job.steps[step];
        let need = charged_resources(spec).times(count);
        let used = match pass.ignores_reservations {
            true => state.used.minus(state.reserved),
            false => state.used,
        };
        if quota.allowance.admits(used, need) {
            return true;
        }
        let placeable = |worker: &Worker| {
            worker.accepts_tasks(pass.now)
                && worker.registration.capacity.fits(place::required_resources(spec))
                && place::is_eligible(spec, worker, 0)
        };
        let is_placeable = self.workers.values().any(placeable);
        let fits_grant = quota.allowance.admits(Resources::default(), need);
        if is_placeable && let Some(state) = pass.quota.0.get_mut(number) {
            state.next.get_or_insert(need);
            // What is kept for tasks without room is used as soon as room is there, so that nothing is
            // collected for this task.
            let without_reserved = state.used.minus(state.reserved);
            state.closed = fits_grant && !quota.allowance.admits(without_reserved, need);
        }
        false
    }

    /// Number and quota of a job's organisation; `None` without a limit.
    fn quota(&self, entry: &JobEntry) -> Option<(usize, &Quota)> {
        let number = entry.organisation?;
        Some((number, self.quotas.get(number)?))
    }

    /// Adds `count` tasks of a step to what is `reserved` of the allowances; whether they fit beside it
    /// and what may be in use at the begin of a pass.
    pub(super) fn reserve_quota(
        &self,
        entry: &JobEntry,
        spec: &Step,
        count: u64,
        pass: &QuotaPass,
        reserved: &mut HashMap<usize, Resources>,
    ) -> bool {
        let Some((number, quota)) = self.quota(entry) else { return true };
        let reserved = reserved.entry(number).or_default();
        let need = charged_resources(spec).times(count);
        let used = pass.0.get(number).map_or_else(Resources::default, |state| state.used);
        let fits = quota.allowance.admits(combine(used, *reserved, u64::saturating_add), need);
        if fits {
            *reserved = combine(*reserved, need, u64::saturating_add);
        }
        fits
    }

    /// Reserves the allowance for a task that gets a reserved executor.
    pub(super) fn charge_reservation(&self, job: usize, step: usize, pass: &mut Pass) {
        self.charge_quota(job, step, 1, pass);
        let Some((_, entry)) = self.jobs.get_index(job) else { return };
        let state = entry.organisation.and_then(|number| pass.quota.0.get_mut(number));
        let Some(state) = state else { return };
        let need = charged_resources(&entry.job.steps[step]);
        state.reserved = combine(state.reserved, need, u64::saturating_add);
    }

    /// Reserves the allowance for `count` tasks of a step that are started.
    pub(super) fn charge_quota(&self, job: usize, step: usize, count: u64, pass: &mut Pass) {
        let Some((_, entry)) = self.jobs.get_index(job) else { return };
        let Some(number) = entry.organisation else { return };
        let need = charged_resources(&entry.job.steps[step]).times(count);
        if let Some(state) = pass.quota.0.get_mut(number) {
            state.used = combine(state.used, need, u64::saturating_add);
        }
    }

    /// Charge for a run of a task; `None` if its job is unknown or belongs to no organisation.
    pub(super) fn charge(&self, task: &TaskId) -> Option<Charge> {
        let entry = self.jobs.get(&task.job)?;
        charge(entry, task.step)
    }
}

/// Share of an amount, in thousandths.
fn scaled(amount: u64, share: u64) -> u64 {
    let scaled = u128::from(amount) * u128::from(share) / 1_000;
    u64::try_from(scaled).unwrap_or(u64::MAX)
}

/// Charge for a run of a job's step; `None` if the job belongs to no organisation.
pub(super) fn charge(entry: &JobEntry, step: usize) -> Option<Charge> {
    let organisation = entry.organisation?;
    Some(Charge { organisation, amount: charged_resources(entry.job.steps.get(step)?) })
}

/// Resources of a task that count against the limit of its organisation.
///
/// These are all that the task declares. A best-effort task reserves no CPU, but uses some.
fn charged_resources(step: &Step) -> Resources {
    step.resources
}
