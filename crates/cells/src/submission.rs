//! Stores submitted jobs and refusals in the table, several per transaction.
//!
//! A refusal promises that the job never runs unless it is submitted again. An earlier attempt, at
//! any process, may still be on its way to the table. A refusal therefore writes a tombstone under
//! the same condition as an acceptance, and whichever is applied first wins. A job that is
//! submitted again after its refusal replaces the tombstone and keeps the time of its first
//! request. An attempt that had arrived before the refusal does not, and each refusal replaces the
//! tombstone of the one before, so that no write that expects that one is applied later. A job that was withdrawn is stored as cancelled, without the row from which it would run.
//!
//! Load pattern: at its peak a queue receives more jobs per second than a part of the table accepts
//! transactions. Its jobs are spread over several parts, and those that arrive while a transaction
//! is under way go together in the next.

use std::cell::RefCell;
use std::rc::Rc;

use indexmap::IndexMap;
use jobs::State;
use jobs::row::JobRow;
use tokio::sync::oneshot;

use crate::clock;
use crate::context::{Context, pause};
use crate::keys;
use crate::ports::{Place, Transaction, TransactionError};
use crate::rows::{self, StateRow};

/// Maximum number of jobs per transaction; each takes a condition and two writes of the hundred
/// entries that the table allows.
const MAX_BATCH_JOBS: usize = 30;
/// Maximum size of the jobs in one transaction, in bytes; half of what the table accepts.
const MAX_BATCH_BYTES: usize = 400_000;
/// Pause before submissions of a failed transaction are retried, in milliseconds.
const RETRY_PAUSE_MS: u64 = 60;

/// Outcome of storing a job or its refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StoreOutcome {
    /// The job is stored, by this attempt or an earlier one.
    Stored,
    /// The refusal is stored, and no earlier attempt can store the job any more.
    Refused,
    /// The table does not accept the row as it is, so that no attempt has stored it.
    Rejected,
    /// The table did not confirm the outcome in time.
    Unknown,
}

/// A job to store, or its refusal.
pub(crate) struct Submission {
    pub id: String,
    pub cell: String,
    /// Row of the job; `None` for a refusal.
    pub job: Option<JobRow>,
    /// The table's clock at the earliest known request for the job, in milliseconds.
    pub requested_at: u64,
    /// Time by which the request had certainly not arrived, by the table's clock in milliseconds.
    pub arrived_at: u64,
    /// Time after which failed writes are not retried, in milliseconds.
    pub deadline: u64,
}

/// A submission that waits for its transaction.
struct PendingSubmission {
    submission: Submission,
    /// Size of the job's row, in bytes.
    size: usize,
    /// Version of the tombstone to replace; 0 for none.
    tombstone: u64,
    /// Whether it is the tombstone of a withdrawn job.
    withdrawn: bool,
    /// Whether it goes alone into its transaction, as the table has rejected one with others.
    alone: bool,
    outcome_tx: oneshot::Sender<StoreOutcome>,
}

/// Batches submissions and writes them to the table, one transaction at a time per part.
#[derive(Default)]
pub(crate) struct SubmissionWriter {
    /// Submissions that wait for a transaction, by part.
    waiting: RefCell<IndexMap<String, Vec<PendingSubmission>>>,
}

impl SubmissionWriter {
    /// Stores a job or its refusal in a part of the table.
    pub async fn store(
        self: &Rc<Self>,
        ctx: &Rc<Context>,
        part: &str,
        submission: Submission,
    ) -> StoreOutcome {
        let (outcome_tx, outcome_rx) = oneshot::channel();
        let size = submission.job.as_ref().map_or(0, |job| rows::encode(job).len());
        let item = PendingSubmission {
            submission,
            size,
            tombstone: 0,
            withdrawn: false,
            alone: false,
            outcome_tx,
        };
        let first = {
            let mut waiting = self.waiting.borrow_mut();
            let first = !waiting.contains_key(part);
            waiting.entry(part.to_owned()).or_default().push(item);
            first
        };
        if first {
            actix::spawn(Rc::clone(self).write_part(Rc::clone(ctx), part.to_owned()));
        }
        outcome_rx.await.unwrap_or(StoreOutcome::Unknown)
    }

    /// Writes the waiting submissions of a part until there are none.
    async fn write_part(self: Rc<Self>, ctx: Rc<Context>, part: String) {
        loop {
            let batch = {
                let mut waiting = self.waiting.borrow_mut();
                let Some(items) = waiting.get_mut(&part) else { return };
                if items.is_empty() {
                    waiting.swap_remove(&part);
                    return;
                }
                let mut bytes = 0;
                let most = if items[0].alone { 1 } else { MAX_BATCH_JOBS };
                let fits = items.iter().take(most).take_while(|item| {
                    bytes += item.size;
                    bytes <= MAX_BATCH_BYTES || bytes == item.size
                });
                let count = fits.count();
                items.drain(..count).collect::<Vec<PendingSubmission>>()
            };
            let retries = write_batch(&ctx, &part, batch).await;
            if !retries.is_empty() {
                pause(RETRY_PAUSE_MS).await;
                let mut waiting = self.waiting.borrow_mut();
                let items = waiting.entry(part.clone()).or_default();
                items.splice(0..0, retries);
            }
        }
    }
}

/// Writes one batch and returns the submissions to retry.
async fn write_batch(
    ctx: &Context,
    part: &str,
    batch: Vec<PendingSubmission>,
) -> Vec<PendingSubmission> {
    let mut transaction = Transaction::default();
    let mut ids: IndexMap<String, ()> = IndexMap::new();
    let mut retries = Vec::new();
    let mut sent = Vec::new();
    for mut item in batch {
        // A duplicate in the batch is retried and then finds the first one stored.
        if ids.insert(item.submission.id.clone(), ()).is_some() {
            retries.push(item);
            continue;
        }
        let place = keys::state(part, &item.submission.id);
        transaction.expect.push((place.clone(), item.tombstone));
        let state = match &item.submission.job {
            Some(_) if item.withdrawn => StateRow::new(&item.submission.cell, State::Cancelled),
            Some(_) => StateRow::new(&item.submission.cell, State::Queued),
            None => StateRow::refused(item.submission.requested_at, ctx.table_now()),
        };
        transaction.writes.push((place.clone(), rows::encode(&state)));
        let withdrawn = item.withdrawn;
        if let Some(job) = item.submission.job.as_mut().filter(|_| !withdrawn) {
            let row = Place { table: keys::jobs_table(&item.submission.cell), ..place };
            job.requested_at = item.submission.requested_at;
            transaction.writes.push((row, rows::encode(job)));
        }
        sent.push(item);
    }
    let outcome = ctx.ports.store.apply(&transaction).await;
    let now = clock::now();
    match outcome {
        Ok(done) => {
            ctx.record_table_call(false, "write of submitted jobs succeeded");
            ctx.record_table_clock(done.clock);
            for item in sent {
                let outcome = if item.submission.job.is_some() {
                    StoreOutcome::Stored
                } else {
                    StoreOutcome::Refused
                };
                notify(item, outcome);
            }
        }
        Err(TransactionError::Conflict { rows: current_rows }) => {
            for mut item in sent {
                let row = current_rows
                    .iter()
                    .find(|row| row.place.key == item.submission.id && row.version > 0);
                let state =
                    row.and_then(|row| rows::decode::<StateRow>(row.value.as_deref()?).ok());
                item.withdrawn = state.as_ref().is_some_and(StateRow::is_withdrawn);
                let arrived_at = item.submission.arrived_at;
                let is_refused_since =
                    state.as_ref().is_some_and(|state| state.is_refused_after(arrived_at));
                let refused = state.filter(StateRow::is_refused);
                match row {
                    Some(_) if refused.is_none() && !item.withdrawn => {
                        notify(item, StoreOutcome::Stored);
                    }
                    Some(_) if item.submission.job.is_none() && item.withdrawn => {
                        notify(item, StoreOutcome::Refused);
                    }
                    Some(_) if item.submission.job.is_some() && is_refused_since => {
                        notify(item, StoreOutcome::Refused);
                    }
                    row => {
                        item.tombstone = row.map_or(0, |row| row.version);
                        let first_requested_at = refused.and_then(|state| state.requested_at());
                        let known = item.submission.requested_at;
                        item.submission.requested_at =
                            first_requested_at.map_or(known, |at| at.min(known));
                        retries.push(item);
                    }
                }
            }
        }
        // One row that the table does not accept must not hold up the others.
        Err(TransactionError::Rejected { .. }) if sent.len() > 1 => {
            retries.extend(sent.into_iter().map(|item| PendingSubmission { alone: true, ..item }));
        }
        Err(TransactionError::Rejected { .. }) => {
            sent.into_iter().for_each(|item| notify(item, StoreOutcome::Rejected));
        }
        Err(error) => {
            ctx.record_table_call(true, &error.to_string());
            for item in sent {
                if now >= item.submission.deadline {
                    notify(item, StoreOutcome::Unknown);
                } else {
                    retries.push(item);
                }
            }
        }
    }
    retries
}

/// Sends the outcome to the request that waits for it.
fn notify(item: PendingSubmission, outcome: StoreOutcome) {
    // The client may have disconnected; the row stays in the table either way.
    let _ = item.outcome_tx.send(outcome);
}
