//! What others ask of a cell: its executors, its load and what keeps its machines.

use indexmap::IndexMap;

use super::{Cell, Entry};
use crate::job::{State, TaskId};
use crate::place;
use crate::worker::Worker;

/// What keeps machines in a pool.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Standing {
    /// Room of lasting tasks, in thousandths of a core.
    pub cpu: u64,
    /// Fewest executors on which the lasting tasks can stand.
    pub floor: usize,
    /// Executors without lasting tasks, those with the least work first.
    pub spares: Vec<String>,
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

    /// Estimated work of tasks that wait for room, in thousandths of a core times milliseconds: of
    /// jobs that can still be in time, and of all.
    pub fn backlog(&self, now: u64) -> (u64, u64) {
        let (mut timely, mut all) = (0, 0);
        for entry in self.jobs.values().filter(|e| !e.state.is_final() && !e.waiting.lasting) {
            let work = open_work(entry);
            all += work;
            let begun = entry.state == State::Running;
            let until = if begun { entry.waiting.objective } else { entry.waiting.latest() };
            if now <= until {
                timely += work;
            }
        }
        (timely, all)
    }

    /// Room in use by lasting tasks and by jobs that have not passed their objective, in thousandths
    /// of a core. Late jobs are to end as well, but keep no machines from jobs in time elsewhere.
    pub fn useful(&self, now: u64) -> u64 {
        let useful = |task: &TaskId| {
            self.jobs
                .get(&task.job)
                .is_some_and(|e| e.waiting.lasting || now <= e.waiting.objective)
        };
        let runs = self.workers.values().flat_map(|worker| &worker.runs);
        runs.filter(|(task, _)| useful(task)).map(|(_, slot)| slot.room.cpu).sum()
    }

    /// What the lasting tasks need, and the executors that could leave at little cost.
    pub fn standing(&self) -> Standing {
        let mut standing = Standing::default();
        let lasting = self.jobs.values().filter(|e| e.waiting.lasting && !e.state.is_final());
        for step in lasting.flat_map(|e| &e.job.steps).filter(|step| step.lasting) {
            standing.cpu += u64::from(step.count) * place::need(step).cpu;
            let machines = step.count.div_ceil(step.spread.max(1)) as usize;
            if step.spread > 0 {
                standing.floor = standing.floor.max(machines);
            }
        }
        let mut spares: Vec<(u64, &String)> = self
            .workers
            .iter()
            .filter(|(_, w)| w.joined && w.listed && !w.dead && !w.leaving && w.entry.ready)
            .filter(|(_, w)| !w.runs.keys().any(|task| self.lasts(task)))
            .map(|(id, w)| (w.used.cpu, id))
            .collect();
        spares.sort();
        standing.spares = spares.into_iter().map(|(_, id)| id.clone()).collect();
        standing
    }

    pub(super) fn lasts(&self, task: &TaskId) -> bool {
        let step = self.jobs.get(&task.job).and_then(|e| e.job.steps.get(task.step));
        step.is_none_or(|step| step.lasting)
    }

    /// Number of jobs that have not ended.
    pub fn count(&self) -> usize {
        self.jobs.len()
    }
}

/// Estimated work of a job's tasks that wait, in thousandths of a core times milliseconds.
fn open_work(entry: &Entry) -> u64 {
    match entry.turns.get_index(0) {
        None if entry.job.schedule.is_none() => entry.job.work(),
        None => 0,
        Some((_, turn)) => turn
            .iter()
            .zip(&entry.job.steps)
            .filter(|(_, shape)| !shape.filler)
            .map(|(state, shape)| state.open as u64 * shape.room.cpu * shape.estimate)
            .sum(),
    }
}
