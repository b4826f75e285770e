//! Read-only views of a cell: its executors, its load, and how far its pool can shrink.

use std::borrow::Cow;

use indexmap::{IndexMap, IndexSet};

use super::{Cell, JobEntry};
use crate::admit::{ARRIVAL_WINDOW_MS, Amount, JobWork, Outlook, OutlookBuilder};
use crate::job::{State, Step, TaskId};
use crate::order::{Candidate, Policy};
use crate::place;
use crate::worker::{Obstacle, Resources, Worker};

/// Time in which late work should be processed, in milliseconds; about twice a machine's move.
const LATE_DRAIN_MS: u64 = 4_000;

/// Time without an answer after which an executor counts as unusable, in milliseconds; longer than
/// another machine takes to replace it.
const SILENCE_MS: u64 = 4_000;

/// Limits on shrinking a pool, and the executors that could be removed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ShrinkLimits {
    /// CPU that the long-running tasks need that run or can start, in thousandths of a core.
    pub long_running_cpu: u64,
    /// Fewest executors on which these tasks fit.
    pub min_executors: usize,
    /// Executors without long-running tasks, those with the least CPU in use first.
    pub spares: Vec<String>,
    /// Number of `spares` without runs.
    pub idle: usize,
}

/// Records that a cell keeps of its jobs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Records {
    /// Number of occurrences that have begun and are not done.
    pub begun: usize,
    /// Number of occurrences that are due and have not begun.
    pub unbegun: u64,
    /// Number of tasks that have a record.
    pub tasks: usize,
}

/// CPU in use, in thousandths of a core, by the value that its results can still have.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// By long-running tasks.
    pub long_running: u64,
    /// By jobs whose objective has not passed.
    pub timely: u64,
    /// By jobs that can only end late.
    pub late: u64,
    /// By jobs that have ended, or whose results are no longer of use.
    pub useless: u64,
    /// Number of jobs that have started and not ended, without long-running ones.
    pub running_jobs: usize,
    /// Number of executors on which room is reserved for long-running tasks.
    pub reserved_executors: usize,
    /// Longest time for which a job with open tasks, and without long-running ones, has had no run, in
    /// milliseconds.
    pub longest_idle: u64,
}

impl Cell {
    /// Executors of the cell, by id of their incarnation.
    pub fn workers(&self) -> &IndexMap<String, Worker> {
        &self.workers
    }

    /// Number of jobs that wait for their first start, by queue.
    pub fn pending(&self) -> IndexMap<String, u64> {
        let mut counts = IndexMap::new();
        for entry in self.jobs.values().filter(|e| e.state == State::Queued) {
            *counts.entry(entry.queue.clone()).or_default() += 1;
        }
        for parked in self.parked.values() {
            *counts.entry(parked.queue.clone()).or_default() += 1;
        }
        counts
    }

    /// Estimated work of tasks without a run, in thousandths of a core times milliseconds.
    ///
    /// Returns the work of jobs that can still be in time, and the work of all jobs whose results
    /// can still be of use. Other jobs are left out, since new jobs are scheduled before them. So is
    /// work that its organisation's limit keeps from starting.
    ///
    /// The first value excludes work that waits for a task on an executor that does not answer.
    /// Such a wait may last as long as the executor's lease, and needs no machine until then.
    pub fn backlog(&self, now: u64) -> (u64, u64) {
        let (mut timely, mut all) = (0, 0);
        for entry in self.jobs.values().filter(|e| !e.state.is_final() && !e.candidate.long_running)
        {
            if now > entry.candidate.useful_until() {
                continue;
            }
            let work = open_work(entry);
            let startable = |work| self.startable_part(entry.organisation, work);
            all += startable(work);
            if !is_late(entry, now) {
                timely += startable(work - self.blocked_work(entry));
            }
        }
        (timely, all)
    }

    /// What a new job has to wait for, for admission at `now` and shortly after; `None` unless new
    /// jobs go by their latest start.
    pub fn outlook(&self, now: u64) -> Option<Outlook> {
        if self.policy != Policy::LatestStart {
            return None;
        }
        let mut builder = OutlookBuilder::default();
        let jobs = self.jobs.values().filter(|e| !e.state.is_final());
        for entry in jobs.filter(|e| !e.candidate.long_running) {
            let started = entry.state == State::Running;
            let candidate = Candidate { started, ..entry.candidate };
            let is_recent =
                !entry.inherited && entry.seen_at.is_some_and(|at| at + ARRIVAL_WINDOW_MS > now);
            let accepted = is_recent.then(|| JobWork::of(&entry.job));
            builder.add_job(&candidate, open_job_work(entry), accepted, now);
        }
        let (mut capacity, mut free) = (Amount::default(), Amount::default());
        for worker in self.workers.values().filter(|w| w.accepts_tasks(now)) {
            let (all, left) = (worker.registration.capacity, worker.free());
            capacity.add(Amount(all.cpu, all.memory));
            free.add(Amount(left.cpu, left.memory));
        }
        Some(builder.build(capacity, free, self.largest_executor()))
    }

    /// CPU that late jobs use or could use, in thousandths of a core, whether or not their results
    /// are still of use.
    ///
    /// Their waiting tasks count as far as they can start, with the CPU that processes them within
    /// [`LATE_DRAIN_MS`], but a gang with all its tasks. Tasks too large for every executor are left
    /// out.
    pub fn late_cpu(&self, now: u64) -> u64 {
        let settled = self.inherited_settled();
        let largest = self.largest_executor();
        let (mut work, mut open, mut largest_gang) = (0_u64, 0, 0);
        for entry in self.jobs.values().filter(|e| is_late_work(e, now)) {
            if entry.start_blocked || (entry.inherited && !settled) {
                continue;
            }
            for (spec, tasks, times) in entry.startable_steps() {
                let need = place::required_resources(spec);
                if !largest.fits(need) {
                    continue;
                }
                let cpu = self.startable_part(entry.organisation, tasks.saturating_mul(need.cpu));
                let all = cpu.saturating_mul(times);
                open = all.saturating_add(open);
                work = work.saturating_add(all.saturating_mul(spec.estimate));
                largest_gang = largest_gang.max(if spec.gang { cpu } else { 0 });
            }
        }
        let runs = self.workers.values().flat_map(|worker| &worker.runs);
        let is_late =
            |task: &TaskId| self.jobs.get(&task.job).is_some_and(|e| is_late_work(e, now));
        let used: u64 =
            runs.filter(|(task, _)| is_late(task)).map(|(_, slot)| slot.resources.cpu).sum();
        used + (work / LATE_DRAIN_MS).min(open).max(largest_gang)
    }

    /// Largest amount of each resource that any listed executor has.
    fn largest_executor(&self) -> Resources {
        let listed = self.workers.values().filter(|worker| worker.listed);
        listed.map(|worker| worker.registration.capacity).fold(Resources::default(), |all, one| {
            Resources {
                cpu: all.cpu.max(one.cpu),
                memory: all.memory.max(one.memory),
                gpus: all.gpus.max(one.gpus),
            }
        })
    }

    /// Number of listed executors that are silent or excluded and not about to leave.
    pub fn unusable_executors(&self, now: u64) -> usize {
        let unusable = |w: &&Worker| match w.obstacle(now) {
            Some(Obstacle::Excluded) => true,
            Some(Obstacle::Silent) => now >= w.last_answer_at + SILENCE_MS,
            _ => false,
        };
        self.workers.values().filter(unusable).count()
    }

    /// Part of a job's open work that waits for a task on an executor that does not answer.
    fn blocked_work(&self, entry: &JobEntry) -> u64 {
        let Some((_, steps)) = entry.occurrences.get_index(0) else { return 0 };
        let unresponsive = |id: &String| self.workers.get(id).is_some_and(|w| w.unanswered > 0);
        let mut blocked: Vec<bool> = Vec::with_capacity(steps.len());
        let mut work = 0;
        // A step waits only for steps with lower numbers.
        for (state, spec) in steps.iter().zip(&entry.job.steps) {
            let is_blocked =
                spec.depends_on.iter().any(|n| blocked.get(*n).copied().unwrap_or(false));
            if is_blocked {
                work += step_work(state.open_count as u64, spec);
            }
            blocked.push(
                is_blocked
                    || state
                        .tasks
                        .recorded()
                        .filter_map(|(_, t)| t.worker.as_ref())
                        .any(unresponsive),
            );
        }
        work
    }

    /// CPU in use by long-running tasks and by jobs whose objective has not passed, in thousandths
    /// of a core.
    ///
    /// Late jobs still have to end, but must not keep machines from timely jobs in other pools.
    pub fn useful_cpu(&self, now: u64) -> u64 {
        let is_useful = |task: &TaskId| {
            self.jobs
                .get(&task.job)
                .is_some_and(|e| e.candidate.long_running || now <= e.candidate.objective)
        };
        let runs = self.workers.values().flat_map(|worker| &worker.runs);
        runs.filter(|(task, _)| is_useful(task)).map(|(_, slot)| slot.resources.cpu).sum()
    }

    /// CPU in use, by the value that its results can still have.
    pub fn usage(&self, now: u64) -> Usage {
        let is_running = |e: &&JobEntry| e.state == State::Running && !e.candidate.long_running;
        let idle = self.jobs.values().filter(|e| !e.state.is_final() && !e.candidate.long_running);
        let idle_since = idle.filter_map(|e| e.idle_since).min();
        let reserved: IndexSet<&String> = self.reservations.values().collect();
        let mut usage = Usage {
            reserved_executors: reserved.len(),
            longest_idle: idle_since.map_or(0, |since| now.saturating_sub(since)),
            running_jobs: self.jobs.values().filter(is_running).count(),
            ..Usage::default()
        };
        for (task, slot) in self.workers.values().flat_map(|worker| &worker.runs) {
            let entry = self.jobs.get(&task.job).filter(|e| !e.state.is_final());
            let counter = match entry.map(|e| &e.candidate) {
                Some(candidate) if candidate.long_running => &mut usage.long_running,
                Some(candidate) if now <= candidate.objective => &mut usage.timely,
                Some(candidate) if now <= candidate.useful_until() => &mut usage.late,
                _ => &mut usage.useless,
            };
            *counter += slot.resources.cpu;
        }
        usage
    }

    /// What the long-running tasks need that run or can start, and the executors that could be removed
    /// at little cost.
    pub fn shrink_limits(&self) -> ShrinkLimits {
        let mut limits = ShrinkLimits::default();
        let steps = self.long_running_steps();
        let steps: Vec<&Step> = steps.iter().map(Cow::as_ref).collect();
        limits.long_running_cpu =
            steps.iter().map(|s| u64::from(s.count) * place::required_resources(s).cpu).sum();
        limits.min_executors = place::executors_needed(&steps, self.largest_executor());
        let mut spares: Vec<(u64, &String)> = self
            .workers
            .iter()
            .filter(|(_, w)| {
                w.ends_read && w.listed && !w.dead && !w.leaving && w.registration.ready
            })
            .filter(|(_, w)| w.long_running == 0)
            .map(|(id, w)| (w.used.cpu, id))
            .collect();
        spares.sort();
        limits.idle = spares.iter().filter(|(_, id)| self.workers[*id].is_empty()).count();
        limits.spares = spares.into_iter().map(|(_, id)| id.clone()).collect();
        limits
    }

    /// Whether a task lasts until its job is cancelled; assumed for tasks of unknown jobs.
    pub(super) fn is_long_running(&self, task: &TaskId) -> bool {
        let step = self.jobs.get(&task.job).and_then(|e| e.job.steps.get(task.step));
        step.is_none_or(|step| step.long_running)
    }

    /// Number of executors compared in the last assignment pass, counted once per task.
    ///
    /// A measure of the cost of a pass.
    pub fn executors_compared(&self) -> usize {
        self.compared
    }

    /// Records that the cell keeps of its jobs.
    pub fn records(&self) -> Records {
        let mut records = Records::default();
        for entry in self.jobs.values().filter(|entry| !entry.state.is_final()) {
            records.begun += entry.occurrences.len();
            records.unbegun += entry.unbegun();
            let steps = entry.occurrences.values().flatten();
            records.tasks += steps.map(|step| step.tasks.record_count()).sum::<usize>();
        }
        records
    }

    /// Number of jobs that have not ended, with those that stay in the table.
    pub fn job_count(&self) -> usize {
        self.jobs.len() + self.parked.len()
    }

    /// Number of jobs that a former holder may have started.
    pub fn inherited_job_count(&self) -> usize {
        self.jobs.values().filter(|entry| entry.inherited).count()
    }
}

/// Whether a job can no longer be in time.
fn is_late(entry: &JobEntry, now: u64) -> bool {
    let started = entry.state == State::Running;
    now > if started { entry.candidate.objective } else { entry.candidate.latest_start() }
}

/// Whether a job has yet to end and can no longer be in time.
fn is_late_work(entry: &JobEntry, now: u64) -> bool {
    !entry.state.is_final() && !entry.candidate.long_running && is_late(entry, now)
}

/// Estimated work of a job's tasks that have not started, in thousandths of a core times
/// milliseconds.
fn open_work(entry: &JobEntry) -> u64 {
    match entry.occurrences.get_index(0) {
        None if entry.job.schedule.is_none() => entry.job.work(),
        None => 0,
        Some((_, steps)) => steps
            .iter()
            .zip(&entry.job.steps)
            .map(|(state, spec)| step_work(state.open_count as u64, spec))
            .sum(),
    }
}

/// Estimated work of a job's tasks that have not started, by whether they can start.
fn open_job_work(entry: &JobEntry) -> JobWork {
    let Some((_, steps)) = entry.occurrences.get_index(0) else {
        return if entry.job.schedule.is_none() {
            JobWork::of(&entry.job)
        } else {
            JobWork::default()
        };
    };
    let mut work = JobWork::default();
    for (state, spec) in steps.iter().zip(&entry.job.steps) {
        let need = place::required_resources(spec);
        let amount = Amount::of_tasks(state.open_count as u64, need, spec.estimate);
        let is_ready = spec.depends_on.iter().all(|n| steps[*n].is_done());
        if is_ready { &mut work.ready } else { &mut work.later }.add(amount);
    }
    work
}

/// Estimated work of `tasks` tasks of a step; 0 for best-effort steps, which use only CPU that
/// others leave.
fn step_work(tasks: u64, spec: &Step) -> u64 {
    if spec.best_effort { 0 } else { tasks * spec.resources.cpu * spec.estimate }
}
