//! What others ask of a cell: its executors, its load and what keeps its machines.

use indexmap::IndexMap;

use super::{Cell, Entry};
use crate::job::{State, Step, TaskId};
use crate::place;
use crate::worker::Worker;

/// What keeps machines in a pool.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ShrinkLimits {
    /// Room of lasting tasks, in thousandths of a core.
    pub lasting_cpu: u64,
    /// Fewest executors on which the lasting tasks can stand.
    pub min_executors: usize,
    /// Executors without lasting tasks, those with the least work first.
    pub spares: Vec<String>,
    /// Number of those that run nothing.
    pub idle: usize,
}

/// Room in use, by what can still come of it; in thousandths of a core.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// By lasting tasks.
    pub lasting: u64,
    /// By jobs that have not passed their objective.
    pub timely: u64,
    /// By jobs that can only end late.
    pub late: u64,
    /// By jobs whose results are of no use any more, or that have ended.
    pub useless: u64,
    /// Jobs of which a task has started and that have not ended.
    pub running_jobs: usize,
}

impl Cell {
    /// Executors by incarnation.
    pub fn workers(&self) -> &IndexMap<String, Worker> {
        &self.workers
    }

    /// Jobs that wait for their first start, by queue.
    pub fn pending(&self) -> IndexMap<String, u64> {
        let mut counts = IndexMap::new();
        for entry in self.jobs.values().filter(|e| e.state == State::Queued) {
            *counts.entry(entry.queue.clone()).or_default() += 1;
        }
        counts
    }

    /// Estimated work of tasks that have not started, in thousandths of a core times milliseconds:
    /// of jobs that can still be in time, and of all whose results can still be of use. New jobs go
    /// before the others.
    ///
    /// The former leaves out what has to wait for a task on a silent executor, which may take as
    /// long as its lease: no machine is needed for that now.
    pub fn backlog(&self, now: u64) -> (u64, u64) {
        let (mut timely, mut all) = (0, 0);
        for entry in self.jobs.values().filter(|e| !e.state.is_final() && !e.waiting.lasting) {
            if now > entry.waiting.useful() {
                continue;
            }
            let work = open_work(entry);
            all += work;
            let begun = entry.state == State::Running;
            let until = if begun { entry.waiting.objective } else { entry.waiting.latest() };
            if now <= until {
                timely += work - self.stuck_work(entry);
            }
        }
        (timely, all)
    }

    /// The part of a job's open work that comes after a task on a silent executor.
    fn stuck_work(&self, entry: &Entry) -> u64 {
        let Some((_, turn)) = entry.turns.get_index(0) else { return 0 };
        let silent = |id: &String| self.workers.get(id).is_some_and(|w| w.silent > 0);
        let mut stuck: Vec<bool> = Vec::with_capacity(turn.len());
        let mut work = 0;
        // Steps come after steps with lower numbers only.
        for (state, shape) in turn.iter().zip(&entry.job.steps) {
            let waits = shape.after.iter().any(|n| stuck.get(*n).copied().unwrap_or(false));
            if waits {
                work += step_work(state.open as u64, shape);
            }
            stuck.push(waits || state.tasks.iter().filter_map(|t| t.live.as_ref()).any(silent));
        }
        work
    }

    /// Room in use by lasting tasks and by jobs that have not passed their objective, in thousandths
    /// of a core. Late jobs are to end as well, but keep no machines from jobs in time elsewhere.
    pub fn useful_cpu(&self, now: u64) -> u64 {
        let useful = |task: &TaskId| {
            self.jobs
                .get(&task.job)
                .is_some_and(|e| e.waiting.lasting || now <= e.waiting.objective)
        };
        let runs = self.workers.values().flat_map(|worker| &worker.runs);
        runs.filter(|(task, _)| useful(task)).map(|(_, slot)| slot.room.cpu).sum()
    }

    /// What the room in use is for.
    pub fn usage(&self, now: u64) -> Usage {
        let begun = |e: &&Entry| e.state == State::Running && !e.waiting.lasting;
        let mut usage =
            Usage { running_jobs: self.jobs.values().filter(begun).count(), ..Usage::default() };
        for (task, slot) in self.workers.values().flat_map(|worker| &worker.runs) {
            let entry = self.jobs.get(&task.job).filter(|e| !e.state.is_final());
            let part = match entry.map(|e| &e.waiting) {
                Some(waiting) if waiting.lasting => &mut usage.lasting,
                Some(waiting) if now <= waiting.objective => &mut usage.timely,
                Some(waiting) if now <= waiting.useful() => &mut usage.late,
                _ => &mut usage.useless,
            };
            *part += slot.room.cpu;
        }
        usage
    }

    /// What the lasting tasks need, and the executors that could leave at little cost.
    pub fn shrink_limits(&self) -> ShrinkLimits {
        let mut limits = ShrinkLimits::default();
        let lasting = self.jobs.values().filter(|e| e.waiting.lasting && !e.state.is_final());
        for step in lasting.flat_map(|e| &e.job.steps).filter(|step| step.lasting) {
            limits.lasting_cpu += u64::from(step.count) * place::need(step).cpu;
            let machines = step.count.div_ceil(step.spread.max(1)) as usize;
            if step.spread > 0 {
                limits.min_executors = limits.min_executors.max(machines);
            }
        }
        let mut spares: Vec<(u64, &String)> = self
            .workers
            .iter()
            .filter(|(_, w)| w.joined && w.listed && !w.dead && !w.leaving && w.entry.ready)
            .filter(|(_, w)| w.lasting == 0)
            .map(|(id, w)| (w.used.cpu, id))
            .collect();
        spares.sort();
        limits.idle = spares.iter().filter(|(_, id)| self.workers[*id].runs.is_empty()).count();
        limits.spares = spares.into_iter().map(|(_, id)| id.clone()).collect();
        limits
    }

    pub(super) fn lasts(&self, task: &TaskId) -> bool {
        let step = self.jobs.get(&task.job).and_then(|e| e.job.steps.get(task.step));
        step.is_none_or(|step| step.lasting)
    }

    /// Executors that the last pass compared for its tasks: what a pass costs.
    pub fn executors_compared(&self) -> usize {
        self.rated
    }

    /// Number of jobs that have not ended.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Number of those that an earlier holder may have begun.
    pub fn inherited_job_count(&self) -> usize {
        self.jobs.values().filter(|entry| entry.inherited).count()
    }
}

/// Estimated work of a job's tasks that have not started, in thousandths of a core times
/// milliseconds.
fn open_work(entry: &Entry) -> u64 {
    match entry.turns.get_index(0) {
        None if entry.job.schedule.is_none() => entry.job.work(),
        None => 0,
        Some((_, turn)) => turn
            .iter()
            .zip(&entry.job.steps)
            .map(|(state, shape)| step_work(state.open as u64, shape))
            .sum(),
    }
}

/// Estimated work of so many tasks of a step; fillers use only what the others leave.
fn step_work(tasks: u64, shape: &Step) -> u64 {
    if shape.filler { 0 } else { tasks * shape.room.cpu * shape.estimate }
}
