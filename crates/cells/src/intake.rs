//! Accepting jobs: several that come at the same time share a transaction.
//!
//! Load pattern: a queue's turn brings more jobs a second than a part of the table takes
//! transactions; jobs that arrive while one is under way go together in the next.

use std::cell::RefCell;
use std::rc::Rc;

use indexmap::IndexMap;
use jobs::State;
use jobs::row::JobRow;
use tokio::sync::oneshot;

use crate::clock;
use crate::context::{Context, pause};
use crate::keys;
use crate::ports::{Change, ChangeError};
use crate::rows::{self, StateRow};

/// Jobs in one transaction; each takes a condition and two writes of the hundred entries allowed.
const BATCH: usize = 30;
/// Bytes of jobs in one transaction; half of what the table takes.
const BATCH_BYTES: usize = 400_000;
/// Pause before a refused transaction is repeated, in milliseconds.
const RETRY: u64 = 60;

/// What became of a job that was to be stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stored {
    /// It is stored, now or earlier.
    Yes,
    /// It is not stored and will not be.
    No,
    /// Not known.
    Unknown,
}

struct Item {
    id: String,
    cell: String,
    value: Vec<u8>,
    /// When to give up, in milliseconds.
    until: u64,
    /// Whether a transaction with it may have been applied.
    doubt: bool,
    answer: oneshot::Sender<Stored>,
}

/// Jobs on their way into the table, by part.
#[derive(Default)]
pub(crate) struct Intake {
    waiting: RefCell<IndexMap<String, Vec<Item>>>,
}

impl Intake {
    /// Stores a job; gives up at `until`.
    pub async fn store(
        self: &Rc<Self>,
        ctx: &Rc<Context>,
        part: &str,
        id: &str,
        cell: &str,
        job: &JobRow,
        until: u64,
    ) -> Stored {
        let (answer, done) = oneshot::channel();
        let item = Item {
            id: id.to_owned(),
            cell: cell.to_owned(),
            value: rows::encode(job),
            until,
            doubt: false,
            answer,
        };
        let first = {
            let mut waiting = self.waiting.borrow_mut();
            let first = !waiting.contains_key(part);
            waiting.entry(part.to_owned()).or_default().push(item);
            first
        };
        if first {
            actix::spawn(Rc::clone(self).run(Rc::clone(ctx), part.to_owned()));
        }
        done.await.unwrap_or(Stored::Unknown)
    }

    /// Stores the waiting jobs of a part until there are none.
    async fn run(self: Rc<Self>, ctx: Rc<Context>, part: String) {
        loop {
            let batch = {
                let mut waiting = self.waiting.borrow_mut();
                let Some(items) = waiting.get_mut(&part) else { return };
                if items.is_empty() {
                    waiting.swap_remove(&part);
                    return;
                }
                let mut bytes = 0;
                let fits = items.iter().take(BATCH).take_while(|item| {
                    bytes += item.value.len();
                    bytes <= BATCH_BYTES || bytes == item.value.len()
                });
                let count = fits.count();
                items.drain(..count).collect::<Vec<Item>>()
            };
            let again = attempt(&ctx, &part, batch).await;
            if !again.is_empty() {
                pause(RETRY).await;
                let mut waiting = self.waiting.borrow_mut();
                let items = waiting.entry(part.clone()).or_default();
                items.splice(0..0, again);
            }
        }
    }
}

/// Tries one batch; gives back what has to be tried again.
async fn attempt(ctx: &Context, part: &str, batch: Vec<Item>) -> Vec<Item> {
    let mut change = Change::default();
    let mut unique: IndexMap<String, ()> = IndexMap::new();
    let mut again = Vec::new();
    let mut sent = Vec::new();
    for item in batch {
        // The same job twice in one batch: the second finds the first stored.
        if unique.insert(item.id.clone(), ()).is_some() {
            again.push(item);
            continue;
        }
        let state = StateRow::new(&item.cell, State::Queued);
        change.expect.push((keys::state(part, &item.id), 0));
        change.writes.push((keys::state(part, &item.id), rows::encode(&state)));
        let mut place = keys::state(part, &item.id);
        place.table = keys::jobs(&item.cell);
        change.writes.push((place, item.value.clone()));
        sent.push(item);
    }
    let outcome = ctx.ports.store.apply(&change).await;
    let now = clock::now();
    match outcome {
        Ok(done) => {
            ctx.set_away(false, "jobs are stored");
            ctx.saw_clock(done.clock);
            sent.into_iter().for_each(|item| settle(item, Stored::Yes));
        }
        Err(ChangeError::Conflict { rows }) => {
            for item in sent {
                let there = rows.iter().any(|row| row.place.key == item.id && row.version > 0);
                if there {
                    settle(item, Stored::Yes);
                } else {
                    again.push(item);
                }
            }
        }
        Err(error) => {
            ctx.set_away(true, &error.to_string());
            let doubt = matches!(error, ChangeError::Unknown { .. });
            for mut item in sent {
                item.doubt |= doubt;
                if now >= item.until {
                    let stored = if item.doubt { Stored::Unknown } else { Stored::No };
                    settle(item, stored);
                } else {
                    again.push(item);
                }
            }
        }
    }
    again
}

fn settle(item: Item, stored: Stored) {
    // The client may have left meanwhile; the row stands either way.
    let _ = item.answer.send(stored);
}
