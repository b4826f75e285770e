//! Crashes of executors, and the quarantine of tasks that may have caused them.
//!
//! The decisions are those of [`crash`]. A suspect waits until its crash is durable, so that a
//! successor knows of it, and until an executor is kept for its job. No other job starts there
//! meanwhile, and all runs that are already there must have outlived their probation. While many
//! suspects wait, an executor is kept for several jobs at a time.

use std::collections::HashMap;

use indexmap::{IndexMap, IndexSet};

use super::quota::QuotaPass;
use super::{Absence, Cell, JobEntry, StepState};
use crate::crash;
use crate::job::{State, Step, TaskId};
use crate::place;
use crate::worker::{Obstacle, Worker};

/// Time for which an executor is kept for a job that does not start there, in milliseconds.
const QUARANTINE_MS: u64 = 2_000;
/// Time between two quarantines of a pool's only executor, in milliseconds, so that other jobs
/// start as well.
const SINGLE_EXECUTOR_PAUSE_MS: u64 = 500;
/// Most jobs that are given executors in one pass; bounds the duration of a pass.
const MAX_NEW_QUARANTINES: usize = 16;
/// Most crashes kept for the log between two reads of it.
const MAX_CRASH_RECORDS: usize = 64;

/// An executor that is kept for suspects.
#[derive(Debug, Clone)]
pub(super) struct Quarantine {
    /// Jobs of the suspects, each with the time since which the executor is kept for it without a
    /// start, in milliseconds.
    jobs: IndexMap<String, u64>,
}

impl Quarantine {
    fn of(job: &str, now: u64) -> Self {
        Self { jobs: IndexMap::from([(job.to_owned(), now)]) }
    }
}

/// State of the table's record of a job's crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) enum CrashRecord {
    /// The table holds all crashes.
    #[default]
    Durable,
    /// A write that holds all crashes is under way.
    Taken,
    /// The latest crash is not in any write.
    Unwritten,
}

/// An unexpected end of an executor, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// Incarnation of the executor.
    pub executor: String,
    /// Number of runs that it had.
    pub runs: usize,
    /// Tasks that may be to blame.
    pub suspects: Vec<TaskId>,
    /// Number of jobs that these tasks belong to.
    pub suspect_jobs: usize,
    /// Jobs given up, with the largest number of crashes under one of their tasks.
    pub given_up: Vec<(String, u32)>,
}

impl Cell {
    /// Takes the crashes since the last call.
    pub fn take_crashes(&mut self) -> Vec<Crash> {
        std::mem::take(&mut self.crashes)
    }

    /// Whether an executor's end was to be expected, so that no task is to blame.
    fn end_was_expected(&self, id: &str) -> bool {
        self.workers.get(id).is_none_or(|w| w.dead || w.leaving || !w.registration.ready)
    }

    /// Records an executor's crash under the runs that may have caused it, and marks its runs as
    /// absent.
    pub(super) fn handle_crash(&mut self, id: &str, absence: Absence) {
        let now = absence.since;
        if self.end_was_expected(id) {
            self.end_worker(id, absence);
            return;
        }
        let Some(worker) = self.workers.get(id) else { return };
        let (runs, joined) = (worker.runs.len(), worker.joined);
        let uncleared: Vec<(TaskId, bool)> = worker
            .runs
            .iter()
            .filter(|(_, slot)| slot.sent && !slot.cleared)
            .map(|(task, slot)| (task.clone(), crash::is_to_blame(slot.start_clock, worker.clock)))
            .collect();
        self.end_worker(id, absence);
        let mut jobs: Vec<&str> = uncleared.iter().map(|(task, _)| task.job.as_str()).collect();
        jobs.sort_unstable();
        jobs.dedup();
        let suspect_jobs = jobs.len();
        if uncleared.is_empty() && joined {
            self.unexplained_until = now + crash::UNEXPLAINED_MS;
        }
        if self.quarantined.contains_key(id) && suspect_jobs > 0 {
            self.no_sharing_until = now + crash::NO_SHARING_MS;
        }
        let unsure = now < self.unexplained_until;
        let mut hopeless: IndexMap<String, u32> = IndexMap::new();
        let mut suspects = Vec::new();
        for (task, just_started) in uncleared {
            let Some(state) = self.task_mut(&task).filter(|t| !t.done) else { continue };
            state.crashes.record(just_started && suspect_jobs == 1);
            let crashes = state.crashes;
            let Some(entry) = self.jobs.get_mut(&task.job).filter(|e| !e.state.is_final()) else {
                continue;
            };
            entry.crash_record = CrashRecord::Unwritten;
            entry.suspects.insert(task.clone());
            self.dirty.insert(task.job.clone());
            if crashes.is_hopeless(unsure) {
                let most = hopeless.entry(task.job.clone()).or_default();
                *most = crashes.suspected.max(*most);
            }
            suspects.push(task);
        }
        for job in hopeless.keys() {
            self.end_job(job, State::Failed, now);
        }
        if self.crashes.len() < MAX_CRASH_RECORDS {
            self.crashes.push(Crash {
                executor: id.to_owned(),
                runs,
                suspects,
                suspect_jobs,
                given_up: hopeless.into_iter().collect(),
            });
        }
    }

    /// Clears the runs that their executor has outlived by its last answer.
    pub(super) fn clear_runs(&mut self, id: &str) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let clock = worker.clock;
        let mut cleared = Vec::new();
        for (task, slot) in worker.runs.iter_mut().filter(|(_, slot)| !slot.cleared) {
            if slot.start_clock.is_some_and(|started| crash::is_cleared(started, clock)) {
                slot.cleared = true;
                cleared.push(task.clone());
            }
        }
        for task in cleared {
            self.clear_task(&task);
        }
    }

    /// Clears a task of the crashes that it was suspected of.
    pub(super) fn clear_task(&mut self, task: &TaskId) {
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        if !entry.suspects.swap_remove(task) {
            return;
        }
        if let Some(state) = self.task_mut(task) {
            state.crashes = crash::Crashes::default();
            self.dirty.insert(task.job.clone());
        }
    }

    /// Keeps an executor for a job whose suspect a former holder has started there.
    pub(super) fn quarantine_adopted(&mut self, id: &str, task: &TaskId, now: u64) {
        if self.jobs.get(&task.job).is_some_and(|entry| entry.suspects.contains(task)) {
            self.quarantined.insert(id.to_owned(), Quarantine::of(&task.job, now));
        }
    }

    /// Whether a job has suspects that may start.
    pub(super) fn has_waiting_suspects(&self, job: usize) -> bool {
        let Some((_, entry)) = self.jobs.get_index(job) else { return false };
        entry.crash_record == CrashRecord::Durable
            && entry.suspects.iter().any(|task| is_turn(entry, task))
    }

    /// Positions of the executors that are kept for a job and on which only the jobs for which they
    /// are kept may be to blame.
    pub(super) fn quiet_quarantined(&self, job: &str, now: u64) -> Vec<usize> {
        let Some(entry) = self.jobs.get(job) else { return Vec::new() };
        let mut quiet = Vec::new();
        for (id, Quarantine { jobs }) in &self.quarantined {
            if jobs.contains_key(job)
                && let Some((position, _, worker)) = self.workers.get_full(id)
                && takes_suspects(worker, entry, now)
                && worker.has_uncleared_only(|other| jobs.contains_key(other))
            {
                quiet.push(position);
            }
        }
        quiet
    }

    /// Whether an executor is kept for suspects of another job.
    pub(super) fn is_kept_from(&self, id: &str, job: &str) -> bool {
        self.quarantined.get(id).is_some_and(|quarantine| !quarantine.jobs.contains_key(job))
    }

    /// Whether an executor is kept for suspects.
    pub fn is_quarantined(&self, id: &str) -> bool {
        self.quarantined.contains_key(id)
    }

    /// Whether an executor is kept for suspects of a job.
    pub(super) fn has_quarantined(&self, job: &str) -> bool {
        self.quarantined.values().any(|quarantine| quarantine.jobs.contains_key(job))
    }

    /// Divides jobs with waiting suspects, in the scheduling order, into those whose next suspects can
    /// all start within the allowances of their organisations, and the others.
    pub(super) fn partition_by_allowance(
        &self,
        waiting: Vec<usize>,
        quota: &QuotaPass,
    ) -> (Vec<usize>, IndexSet<usize>) {
        let mut reserved = HashMap::new();
        let (with, without): (Vec<usize>, Vec<usize>) = waiting.into_iter().partition(|job| {
            let next = self.jobs.get_index(*job);
            let next = next.and_then(|(_, entry)| Some((entry, next_suspect(entry)?.1)));
            next.is_none_or(|(entry, spec)| {
                self.reserve_quota(entry, spec, tasks_at_once(spec), quota, &mut reserved)
            })
        });
        (with, without.into_iter().collect())
    }

    /// Updates the executors that are kept for suspects of `waiting`, the positions of jobs in the
    /// scheduling order; none is kept for those of `without_allowance`, unless they run there.
    pub(super) fn quarantine_executors(
        &mut self,
        waiting: &[usize],
        without_allowance: &IndexSet<usize>,
        now: u64,
    ) {
        let mut quarantined = std::mem::take(&mut self.quarantined);
        let had_some = !quarantined.is_empty();
        quarantined.retain(|id, quarantine| {
            let Some(worker) = self.workers.get(id).filter(|w| !w.dead) else { return false };
            let shared = quarantine.jobs.len() > 1;
            let may_share = |entry| now >= self.no_sharing_until && may_share(entry);
            quarantine.jobs.retain(|job, since| {
                let Some((position, _, entry)) = self.jobs.get_full(job) else { return false };
                if worker.has_uncleared(job) {
                    *since = now;
                    return true;
                }
                !entry.suspects.is_empty()
                    && !without_allowance.contains(&position)
                    && takes_suspects(worker, entry, now)
                    && now < *since + QUARANTINE_MS
                    && (!shared || may_share(entry))
            });
            !quarantine.jobs.is_empty()
        });
        if had_some && quarantined.is_empty() {
            self.released_at = now;
        }
        if !waiting.is_empty() {
            let accepting = self.workers.values().filter(|w| w.accepts_tasks(now)).count();
            let in_use = |id: &String| self.workers.get(id).is_some_and(|w| w.accepts_tasks(now));
            let limit = crash::max_quarantined(accepting);
            let limit = limit + quarantined.keys().filter(|id| !in_use(id)).count();
            let paused = accepting == 1 && now < self.released_at + SINGLE_EXECUTOR_PAUSE_MS;
            let kept = quarantined.iter().filter(|(id, _)| in_use(id));
            let kept: IndexSet<String> = kept.flat_map(|(_, q)| q.jobs.keys().cloned()).collect();
            let mut new: Vec<usize> = waiting.to_vec();
            new.retain(|job| self.jobs.get_index(*job).is_some_and(|(id, _)| !kept.contains(id)));
            // Jobs that suit no executor now do not hold up the others.
            new.sort_by_key(|job| self.jobs[*job].quarantine_tried_at);
            if now >= self.no_sharing_until {
                let most = crash::max_sharing_jobs(waiting.len(), limit);
                self.share_executors(&mut new, &mut quarantined, most, now);
            }
            for job in new.into_iter().take(MAX_NEW_QUARANTINES) {
                if paused || quarantined.len() >= limit {
                    break;
                }
                let Some((id, entry)) = self.jobs.get_index(job) else { continue };
                for worker in self.quarantine_for(entry, &quarantined, now) {
                    quarantined.insert(worker, Quarantine::of(id, now));
                }
                self.jobs[job].quarantine_tried_at = now;
            }
        }
        self.quarantined = quarantined;
    }

    /// Adds jobs to executors that are kept for others, up to `most` for each, and removes these jobs
    /// from `waiting`.
    fn share_executors(
        &self,
        waiting: &mut Vec<usize>,
        quarantined: &mut IndexMap<String, Quarantine>,
        most: usize,
        now: u64,
    ) {
        let mut failed = 0;
        waiting.retain(|job| {
            let Some((id, entry)) = self.jobs.get_index(*job) else { return false };
            if failed >= MAX_NEW_QUARANTINES || !may_share(entry) {
                return true;
            }
            let mut shared = quarantined.iter_mut().filter(|(_, q)| q.jobs.len() < most);
            let joined = shared.find(|(worker, q)| self.can_join(entry, worker, q, now));
            let Some((_, quarantine)) = joined else {
                failed += 1;
                return true;
            };
            quarantine.jobs.insert(id.clone(), now);
            false
        });
    }

    /// Whether a job's suspects can share an executor with the jobs for which it is kept.
    ///
    /// They need room there now: jobs that wait for it one after the other would keep a full executor
    /// without end.
    fn can_join(&self, entry: &JobEntry, id: &str, quarantine: &Quarantine, now: u64) -> bool {
        let Some(worker) = self.workers.get(id) else { return false };
        let Some((task, spec)) = next_suspect(entry) else { return false };
        let step = &entry.occurrences[&task.occurrence][task.step];
        let assigned = self.tasks_per_worker(step).get(id).copied().unwrap_or(0);
        let advised = entry.needs_advice();
        let mut need = place::required_resources(spec);
        for job in quarantine.jobs.keys() {
            let Some(other) = self.jobs.get(job).filter(|other| may_share(other)) else {
                return false;
            };
            if let Some((_, spec)) = next_suspect(other).filter(|_| !worker.has_uncleared(job)) {
                need.add(place::required_resources(spec));
            }
        }
        takes_suspects(worker, entry, now)
            && place::is_eligible(spec, worker, assigned)
            && worker.has_room(need)
            && (!advised || step.advice.ticket(id, now).is_some())
    }

    /// Chooses the executors to keep for a job's suspects: one, or those that a gang needs.
    fn quarantine_for(
        &self,
        entry: &JobEntry,
        quarantined: &IndexMap<String, Quarantine>,
        now: u64,
    ) -> Vec<String> {
        let Some((task, spec)) = next_suspect(entry) else { return Vec::new() };
        let step = &entry.occurrences[&task.occurrence][task.step];
        let need = place::required_resources(spec);
        let advised = entry.needs_advice();
        let siblings = self.tasks_per_worker(step);
        let mut rated = Vec::new();
        for (id, worker) in &self.workers {
            let assigned = siblings.get(id.as_str()).copied().unwrap_or(0);
            let suits = takes_suspects(worker, entry, now)
                && !quarantined.contains_key(id.as_str())
                && place::is_eligible(spec, worker, assigned)
                && worker.has_room_beside_long_running(need)
                && (!advised || step.advice.ticket(id, now).is_some());
            if suits {
                // Without other new runs there, the suspect need not wait. A crash costs least where
                // the least work is lost.
                let full = !worker.free().fits(need);
                let busy = worker.runs.values().any(|slot| !slot.cleared);
                let failed = !worker.accepts_tasks(now);
                rated.push((failed, full, busy, worker.long_running, worker.used.cpu, id.as_str()));
            }
        }
        rated.sort_unstable();
        let wanted = if spec.gang { spec.count } else { 1 };
        let mut placed = 0;
        let mut chosen = Vec::new();
        for (.., id) in rated {
            if placed >= wanted {
                break;
            }
            let worker = &self.workers[id];
            let mut free = worker.free();
            let first = placed;
            while placed < wanted
                && free.fits(need)
                && place::is_eligible(spec, worker, placed - first)
            {
                free = free.minus(need);
                placed += 1;
            }
            if placed > first {
                chosen.push(id.to_owned());
            } else if !spec.gang {
                // Room becomes free while no other tasks start there.
                return vec![id.to_owned()];
            }
        }
        // A part of a gang can't start.
        if spec.gang && placed < wanted {
            return Vec::new();
        }
        chosen
    }
}

/// First suspect of a job that may start, with its step.
pub(super) fn next_suspect(entry: &JobEntry) -> Option<(&TaskId, &Step)> {
    let task = entry.suspects.iter().find(|task| is_turn(entry, task))?;
    Some((task, &entry.job.steps[task.step]))
}

/// Number of tasks of a step that have to start together.
pub(super) fn tasks_at_once(spec: &Step) -> u64 {
    if spec.gang { spec.count.into() } else { 1 }
}

/// Whether suspects of a job may share an executor with those of others.
///
/// Long-running tasks and gangs keep an executor for longer, or several of them.
fn may_share(entry: &JobEntry) -> bool {
    let may_share = |task: &TaskId| {
        let steps = entry.occurrences.get(&task.occurrence);
        let state = steps.and_then(|steps| steps.get(task.step)?.tasks.get(task.index));
        state.is_none_or(|state| state.crashes.may_share()) && !entry.job.steps[task.step].gang
    };
    !entry.candidate.long_running && entry.suspects.iter().all(may_share)
}

/// Whether suspects of a job may start on an executor.
///
/// As without a crash, long-running ones also start where tasks have failed.
fn takes_suspects(worker: &Worker, entry: &JobEntry, now: u64) -> bool {
    match worker.obstacle(now) {
        None => true,
        Some(Obstacle::Excluded) => entry.candidate.long_running,
        Some(_) => false,
    }
}

/// Whether a task waits for its start and all steps before it are done.
pub(super) fn is_turn(entry: &JobEntry, task: &TaskId) -> bool {
    let Some(steps) = entry.occurrences.get(&task.occurrence) else { return false };
    let is_open = steps
        .get(task.step)
        .and_then(|step| step.tasks.get(task.index))
        .is_some_and(|t| !t.done && t.worker.is_none());
    is_open && entry.job.steps[task.step].depends_on.iter().all(|n| steps[*n].is_done())
}

/// Suspects among the tasks of an occurrence.
pub(super) fn suspects(job: &str, occurrence: u32, steps: &[StepState]) -> Vec<TaskId> {
    let mut suspects = Vec::new();
    for (step, state) in steps.iter().enumerate() {
        for (index, task) in state.tasks.recorded() {
            if task.crashes.is_suspect() {
                suspects.push(TaskId { job: job.to_owned(), occurrence, step, index });
            }
        }
    }
    suspects
}
