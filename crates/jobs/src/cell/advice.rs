//! Tickets of the adviser, for queues whose policy limits which executors may run a step.
//!
//! The adviser is a separate service. A ticket permits one executor to run the tasks of a step and
//! is valid for a limited time.
//!
//! Load pattern: the adviser needs time for each executor in a query and answers one query after
//! the other, while the loss of a rack leaves hundreds of steps that need tickets. A pass therefore
//! sends one query at most, and none while [`crate::window::CallWindow`] lets no further one be
//! sent. A query is limited to the executors that its step would choose.

use indexmap::{IndexMap, IndexSet};

use super::{Cell, JobEntry, Order};
use crate::job::TaskId;
use crate::place;

/// Most executors in one query; a step usually needs this many to choose from.
const MAX_ADVISED_EXECUTORS: usize = 30;
/// Validity that a ticket must have left when it is put into an order, in milliseconds; at most a
/// quarter of its whole validity.
const TICKET_MARGIN_MS: u64 = 300;

/// Tickets and denials for the executors of one step.
#[derive(Debug, Clone, Default)]
pub(super) struct Advice {
    /// What the adviser has answered; `None` before, as in most queues.
    answers: Option<Box<Answers>>,
    /// When the last query was sent, in milliseconds; 0 for none.
    queried_at: u64,
}

#[derive(Debug, Clone, Default)]
struct Answers {
    /// Ticket and the end of its use in milliseconds, by executor.
    tickets: IndexMap<String, (String, u64)>,
    /// Executors for which the adviser gave no ticket.
    denied: IndexSet<String>,
}

/// A query that may be sent at the end of an assignment pass.
#[derive(Debug)]
struct Query {
    /// Position of the job in the cell.
    job: usize,
    occurrence: u32,
    step: usize,
    workers: Vec<String>,
    /// When the step's last query was sent, in milliseconds.
    queried_at: u64,
}

/// Choice of the next query.
///
/// Queries go by turns to the first step in the scheduling order and to the step whose last query
/// is the oldest: steps whose queries have no use, as tickets expire before there is room, hold up
/// no others.
#[derive(Debug, Default)]
pub(super) struct Queries {
    /// Whether a query may be sent in this pass.
    permitted: bool,
    /// Whether the next query is that of the step which has waited longest.
    by_age: bool,
    next: Option<Query>,
}

impl Queries {
    /// Whether a step whose last query was sent at `queried_at` comes before those seen so far.
    fn precedes(&self, queried_at: u64) -> bool {
        let is_older = |next: &Query| self.by_age && queried_at < next.queried_at;
        self.permitted && self.next.as_ref().is_none_or(is_older)
    }
}

impl Advice {
    /// Returns the ticket for an executor if it is valid for long enough.
    pub fn ticket(&self, worker: &str, now: u64) -> Option<&str> {
        let (ticket, until) = self.answers.as_ref()?.tickets.get(worker)?;
        (now < *until).then_some(ticket)
    }

    /// Removes a ticket that the executor did not accept.
    pub fn remove_ticket(&mut self, worker: &str) {
        if let Some(answers) = &mut self.answers {
            answers.tickets.swap_remove(worker);
        }
    }

    /// Whether the adviser gave no ticket for an executor.
    fn is_denied(&self, worker: &str) -> bool {
        self.answers.as_ref().is_some_and(|answers| answers.denied.contains(worker))
    }
}

impl JobEntry {
    /// Whether its steps need tickets.
    pub(super) fn needs_advice(&self) -> bool {
        self.needs_ticket || self.terms.is_some_and(|terms| terms.advice.is_some())
    }
}

impl Cell {
    /// Permits the next assignment pass to send a query to the adviser, or not.
    pub fn permit_query(&mut self, permitted: bool) {
        self.queries.permitted = permitted;
    }

    /// Offers a query to the adviser if a step has fewer tickets than open tasks.
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
        let Some((_, entry)) = self.jobs.get_index(job) else { return };
        let state = &entry.occurrences[&occurrence][step];
        let queried_at = state.advice.queried_at;
        if !self.queries.precedes(queried_at) {
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
            state.advice.ticket(id, now).is_none() && !state.advice.is_denied(id)
        });
        candidates.sort_by(|a, b| b.cmp(a));
        let workers: Vec<String> =
            candidates.into_iter().take(MAX_ADVISED_EXECUTORS).map(|(_, id)| id.clone()).collect();
        if !workers.is_empty() {
            self.queries.next = Some(Query { job, occurrence, step, workers, queried_at });
        }
    }

    /// Orders the query that the pass has chosen, if there is one.
    pub(super) fn send_query(&mut self, now: u64) {
        let Some(query) = self.queries.next.take() else { return };
        let Some((id, entry)) = self.jobs.get_index_mut(query.job) else { return };
        let cost = entry.terms.and_then(|terms| terms.advice).unwrap_or_default();
        entry.occurrences[&query.occurrence][query.step].advice.queried_at = now;
        let step =
            TaskId { job: id.clone(), occurrence: query.occurrence, step: query.step, index: 0 };
        let cost = cost.query(query.workers.len());
        self.orders.push(Order::Advise { step, workers: query.workers, cost });
        self.queries.permitted = false;
        self.queries.by_age = !self.queries.by_age;
    }

    /// Handles the adviser's answer to a query about the executors `queried`.
    ///
    /// `tickets` holds the tickets by executor, and `validity` is their validity in milliseconds. An
    /// answer may come late, after another query about the same step.
    pub fn handle_advice(
        &mut self,
        step: &TaskId,
        queried: &[String],
        tickets: Vec<(String, String)>,
        validity: u64,
        now: u64,
    ) {
        let Some(entry) = self.jobs.get_mut(&step.job) else { return };
        let Some(state) =
            entry.occurrences.get_mut(&step.occurrence).and_then(|t| t.get_mut(step.step))
        else {
            return;
        };
        let until = now + validity.saturating_sub(TICKET_MARGIN_MS.min(validity / 4));
        let answers = state.advice.answers.get_or_insert_default();
        answers.denied.extend(queried.iter().cloned());
        for (worker, ticket) in tickets {
            answers.denied.swap_remove(&worker);
            answers.tickets.insert(worker, (ticket, until));
        }
    }
}
