//! Tickets of the adviser, for queues whose policy limits which executors may run a step.
//!
//! The adviser is a separate service. A ticket permits one executor to run the tasks of a step and
//! is valid for a limited time.
//!
//! Load pattern: the adviser needs time for each executor in a query and answers one query after
//! the other. A step therefore sends one query, limited to the executors that it would choose.

use indexmap::{IndexMap, IndexSet};

use super::{Cell, Order};
use crate::job::TaskId;
use crate::place;

/// Most executors in one query; a step usually needs this many to choose from.
const MAX_ADVISED_EXECUTORS: usize = 30;
/// Time without an answer after which a query may be sent again, in milliseconds.
const ADVICE_TIMEOUT_MS: u64 = 4_000;
/// Validity that a ticket must have left when it is put into an order, in milliseconds.
const TICKET_MARGIN_MS: u64 = 300;

/// Tickets and denials for the executors of one step.
#[derive(Debug, Clone, Default)]
pub(super) struct Advice {
    /// Ticket and the end of its validity in milliseconds, by executor.
    tickets: IndexMap<String, (String, u64)>,
    /// Executors for which the adviser gave no ticket.
    denied: IndexSet<String>,
    /// When the unanswered query was sent, in milliseconds; 0 for none.
    requested: u64,
}

impl Advice {
    /// Returns the ticket for an executor if it is valid for long enough.
    pub fn ticket(&self, worker: &str, now: u64) -> Option<&str> {
        let (ticket, until) = self.tickets.get(worker)?;
        (*until > now + TICKET_MARGIN_MS).then_some(ticket)
    }

    /// Removes a ticket that the executor did not accept.
    pub fn remove_ticket(&mut self, worker: &str) {
        self.tickets.swap_remove(worker);
    }
}

impl Cell {
    /// Whether the steps of a queue's jobs need tickets.
    pub(super) fn needs_advice(&self, queue: &str) -> bool {
        self.queues.get(queue).is_some_and(|queue| queue.advised)
    }

    /// Queries the adviser if a step has fewer tickets than open tasks.
    ///
    /// Only tickets of executors count that may run another task of the step.
    ///
    /// `accepting` are the positions of the executors that accept tasks.
    pub(super) fn request_advice(
        &mut self,
        job: usize,
        occurrence: u32,
        step: usize,
        accepting: &[usize],
        now: u64,
    ) {
        let Some((id, entry)) = self.jobs.get_index(job) else { return };
        let state = &entry.occurrences[&occurrence][step];
        if state.advice.requested > 0 && now < state.advice.requested + ADVICE_TIMEOUT_MS {
            return;
        }
        let spec = &entry.job.steps[step];
        let counts = self.tasks_per_worker(state);
        let candidate = |n: &usize| {
            let (id, worker) = self.workers.get_index(*n)?;
            let score = place::score(spec, worker, None)?;
            let count = counts.get(id).copied().unwrap_or(0);
            place::is_eligible(spec, worker, count).then_some((score, id))
        };
        let mut candidates: Vec<(u64, &String)> = accepting.iter().filter_map(candidate).collect();
        let ticketed =
            candidates.iter().filter(|(_, id)| state.advice.ticket(id, now).is_some()).count();
        if ticketed >= state.open_count {
            return;
        }
        candidates.retain(|(_, id)| {
            state.advice.ticket(id, now).is_none() && !state.advice.denied.contains(*id)
        });
        candidates.sort_by(|a, b| b.cmp(a));
        let workers: Vec<String> =
            candidates.into_iter().take(MAX_ADVISED_EXECUTORS).map(|(_, id)| id.clone()).collect();
        if workers.is_empty() {
            return;
        }
        let task = TaskId { job: id.clone(), occurrence, step, index: 0 };
        self.jobs[job].occurrences[&occurrence][step].advice.requested = now;
        self.orders.push(Order::Advise { step: task, workers });
    }

    /// Handles the adviser's answer to a query about the executors `queried`.
    ///
    /// `answer` holds the tickets by executor and their validity in milliseconds. `None` stands for
    /// a failed query, which is sent again once it has timed out.
    pub fn handle_advice(
        &mut self,
        step: &TaskId,
        queried: &[String],
        answer: Option<(Vec<(String, String)>, u64)>,
        now: u64,
    ) {
        let Some(entry) = self.jobs.get_mut(&step.job) else { return };
        let Some(state) =
            entry.occurrences.get_mut(&step.occurrence).and_then(|t| t.get_mut(step.step))
        else {
            return;
        };
        let Some((tickets, validity)) = answer else { return };
        state.advice.requested = 0;
        state.advice.denied.extend(queried.iter().cloned());
        for (worker, ticket) in tickets {
            state.advice.denied.swap_remove(&worker);
            state.advice.tickets.insert(worker, (ticket, now + validity));
        }
    }
}
