//! Permissions of the adviser, for queues whose policy limits the executors of a step.
//!
//! Load pattern: the adviser takes time for each executor that it is asked for and answers one
//! call after the other, so that a step asks once, for the executors that it would choose.

use indexmap::{IndexMap, IndexSet};

use super::{Cell, Order};
use crate::job::TaskId;
use crate::place;

/// Executors in one question; the usual number that a step needs to choose from.
const ASKED: usize = 30;
/// How long an answer may take before the question is put again, in milliseconds.
const ANSWER: u64 = 4_000;
/// Time by which a permission has to outlast the order that uses it, in milliseconds.
const MARGIN: u64 = 300;

/// What is known of a step's permissions.
#[derive(Debug, Clone, Default)]
pub(super) struct Advice {
    /// Permissions and their ends, by executor.
    tickets: IndexMap<String, (String, u64)>,
    denied: IndexSet<String>,
    /// When the open question was put, in milliseconds; 0 for none.
    asked: u64,
}

impl Advice {
    /// The permission for an executor that is valid for long enough.
    pub fn ticket(&self, worker: &str, now: u64) -> Option<&str> {
        let (ticket, until) = self.tickets.get(worker)?;
        (*until > now + MARGIN).then_some(ticket)
    }

    /// Forgets a permission that was not accepted.
    pub fn forget(&mut self, worker: &str) {
        self.tickets.swap_remove(worker);
    }
}

impl Cell {
    /// Whether a queue's steps need permissions.
    pub(super) fn is_advised(&self, queue: &str) -> bool {
        self.queues.get(queue).is_some_and(|queue| queue.advised)
    }

    /// Asks for permissions where a step has too few of them.
    pub(super) fn ask(&mut self, job: usize, turn: u32, step: usize, open: &[usize], now: u64) {
        let Some((id, entry)) = self.jobs.get_index(job) else { return };
        let state = &entry.turns[&turn][step];
        if state.advice.asked > 0 && now < state.advice.asked + ANSWER {
            return;
        }
        let shape = &entry.job.steps[step];
        let free = |n: &usize| {
            let (id, worker) = self.workers.get_index(*n)?;
            let score = place::score(shape, worker, None)?;
            place::suits(shape, worker, 0).then_some((score, id))
        };
        let mut candidates: Vec<(u64, &String)> = open.iter().filter_map(free).collect();
        let permitted =
            candidates.iter().filter(|(_, id)| state.advice.ticket(id, now).is_some()).count();
        if permitted >= state.open {
            return;
        }
        candidates.retain(|(_, id)| {
            state.advice.ticket(id, now).is_none() && !state.advice.denied.contains(*id)
        });
        candidates.sort_by(|a, b| b.cmp(a));
        let workers: Vec<String> =
            candidates.into_iter().take(ASKED).map(|(_, id)| id.clone()).collect();
        if workers.is_empty() {
            return;
        }
        let task = TaskId { job: id.clone(), turn, step, index: 0 };
        self.jobs[job].turns[&turn][step].advice.asked = now;
        self.orders.push(Order::Advise { step: task, workers });
    }

    /// Takes in an answer of the adviser: permissions by executor, valid for so many milliseconds.
    ///
    /// `asked` are the executors of the question; without an answer it is put again later.
    pub fn handle_advice(
        &mut self,
        step: &TaskId,
        asked: &[String],
        answer: Option<(Vec<(String, String)>, u64)>,
        now: u64,
    ) {
        let Some(entry) = self.jobs.get_mut(&step.job) else { return };
        let Some(state) = entry.turns.get_mut(&step.turn).and_then(|t| t.get_mut(step.step)) else {
            return;
        };
        let Some((allowed, valid)) = answer else { return };
        state.advice.asked = 0;
        state.advice.denied.extend(asked.iter().cloned());
        for (worker, ticket) in allowed {
            state.advice.denied.swap_remove(&worker);
            state.advice.tickets.insert(worker, (ticket, now + valid));
        }
    }
}
