//! Accepting and refusing jobs: several that come at the same time share a transaction.
//!
//! A refusal says that the job never runs. An earlier try, at any process, may still be on its way
//! to the table, so that a refusal leaves a tombstone under the same condition as an acceptance;
//! whichever is first wins. A job that comes again after its refusal takes the tombstone's place; it
//! is as old as its first request.
//!
//! Load pattern: a queue's turn brings more jobs a second than a part of the table takes
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
use crate::ports::{Change, ChangeError, Place};
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
    /// It is not stored, and no earlier try can store it any more.
    Never,
    /// Not known.
    Unknown,
}

/// A job that is to be stored, or its refusal.
pub(crate) struct Entry {
    pub id: String,
    pub cell: String,
    /// Row of the job; none for a refusal.
    pub job: Option<JobRow>,
    /// The table's clock at the first request for it that is known, in milliseconds.
    pub asked: u64,
    /// When to give up, in milliseconds.
    pub until: u64,
}

struct Item {
    entry: Entry,
    /// Length of the job's row, in bytes.
    size: usize,
    /// Version of the tombstone that it takes the place of; 0 for none.
    over: u64,
    answer: oneshot::Sender<Stored>,
}

/// Jobs on their way into the table, by part.
#[derive(Default)]
pub(crate) struct Intake {
    waiting: RefCell<IndexMap<String, Vec<Item>>>,
}

impl Intake {
    /// Stores a job or its refusal in a part.
    pub async fn store(self: &Rc<Self>, ctx: &Rc<Context>, part: &str, entry: Entry) -> Stored {
        let (answer, done) = oneshot::channel();
        let size = entry.job.as_ref().map_or(0, |job| rows::encode(job).len());
        let item = Item { entry, size, over: 0, answer };
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
                    bytes += item.size;
                    bytes <= BATCH_BYTES || bytes == item.size
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
    for mut item in batch {
        // The same job twice in one batch: the second finds the first stored.
        if unique.insert(item.entry.id.clone(), ()).is_some() {
            again.push(item);
            continue;
        }
        let place = keys::state(part, &item.entry.id);
        change.expect.push((place.clone(), item.over));
        let state = match &item.entry.job {
            Some(_) => StateRow::new(&item.entry.cell, State::Queued),
            None => StateRow::refused(item.entry.asked),
        };
        change.writes.push((place.clone(), rows::encode(&state)));
        if let Some(job) = &mut item.entry.job {
            let row = Place { table: keys::jobs(&item.entry.cell), ..place };
            job.asked = item.entry.asked;
            change.writes.push((row, rows::encode(job)));
        }
        sent.push(item);
    }
    let outcome = ctx.ports.store.apply(&change).await;
    let now = clock::now();
    match outcome {
        Ok(done) => {
            ctx.set_away(false, "jobs are stored");
            ctx.saw_clock(done.clock);
            for item in sent {
                let stored = if item.entry.job.is_some() { Stored::Yes } else { Stored::Never };
                settle(item, stored);
            }
        }
        Err(ChangeError::Conflict { rows: now_there }) => {
            for mut item in sent {
                let row =
                    now_there.iter().find(|row| row.place.key == item.entry.id && row.version > 0);
                let refused = row
                    .and_then(|row| rows::decode::<StateRow>(row.value.as_deref()?).ok())
                    .filter(StateRow::is_refused);
                match row {
                    Some(_) if refused.is_none() => settle(item, Stored::Yes),
                    Some(_) if item.entry.job.is_none() => settle(item, Stored::Never),
                    row => {
                        item.over = row.map_or(0, |row| row.version);
                        let asked = refused.and_then(|state| state.asked());
                        let known = item.entry.asked;
                        item.entry.asked = asked.map_or(known, |asked| asked.min(known));
                        again.push(item);
                    }
                }
            }
        }
        Err(error) => {
            ctx.set_away(true, &error.to_string());
            for item in sent {
                if now >= item.entry.until {
                    settle(item, Stored::Unknown);
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
