//! Making a cell's progress durable.
//!
//! All writes of a holder in a part form a chain: each expects the mark that the one before has
//! left. So neither an earlier holder's write nor a delayed one of this holder can come after
//! newer ones, and a write whose answer was lost shows by the mark whether it was applied.
//!
//! The mark also tells up to which version jobs of the part may have been begun, and no job begins
//! before the mark covers it. A successor that can't reach an executor need not wait for its lease
//! before it begins the jobs that came later, such as those that came while the cell had no holder.

use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use jobs::Registration;
use jobs::State;
use jobs::cell::JobChange;
use jobs::row::ProgressRow;
use tokio::sync::Mutex;

use super::Inner;
use crate::clock;
use crate::context::pause;
use crate::keys;
use crate::metrics::Metrics;
use crate::ports::{Row, Transaction, TransactionError};
use crate::rows::{self, Fence, Roster, StateRow};

/// Changes of jobs in one transaction; each takes up to four of the hundred entries allowed.
const BATCH: usize = 22;
/// Least time between two rounds of writes, in milliseconds; a part takes 150 transactions a second
/// and clients' jobs need some of them.
const ROUND: u64 = 40;
/// Pause before a write without success is repeated, in milliseconds.
const RETRY: u64 = 80;
/// Least time between two writes that take executors off the roster, in milliseconds.
const TRIM: u64 = 500;

/// This holder's chain in a part.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ledger {
    version: u64,
    mark: Fence,
}

/// Jobs of a part that its mark does not cover yet.
#[derive(Debug, Default)]
pub(crate) struct Unmarked {
    ids: Vec<String>,
    /// Version of the newest of them.
    version: u64,
}

/// The durable list of executors, and its row's version.
#[derive(Debug, Default)]
pub(crate) struct RosterState {
    roster: Roster,
    version: u64,
}

/// Why a write or a read for it could not be done.
#[derive(Debug)]
pub(crate) enum WriteError {
    /// A later holder has the cell.
    Lost,
    /// The table is away.
    Away(String),
}

impl Inner {
    /// Marks a part as this holder's; gives the version up to which its jobs may have been begun.
    pub(super) async fn raise(&self, part: &str) -> Result<u64, WriteError> {
        let lock = self.lock(part);
        let _turn = lock.lock().await;
        self.raise_locked(part).await
    }

    async fn raise_locked(&self, part: &str) -> Result<u64, WriteError> {
        let place = keys::fence(part, &self.tenure.cell);
        loop {
            let page = self.ctx.ports.store.read(&place, 1).await?;
            let row = page.rows.into_iter().find(|row| row.place == place);
            let version = row.as_ref().map_or(0, |row| row.version);
            let unread = Fence { startable_through: u64::MAX, ..Fence::default() };
            let fence = row.map_or_else(Fence::default, |row| fence(&row).unwrap_or(unread));
            if fence.epoch > self.tenure.epoch {
                return Err(WriteError::Lost);
            }
            if fence.epoch == self.tenure.epoch {
                self.advance(part, version, fence);
                return Ok(fence.startable_through);
            }
            let mine = Fence {
                epoch: self.tenure.epoch,
                transactions: 0,
                startable_through: fence.startable_through,
            };
            let change = Transaction {
                expect: vec![(place.clone(), version)],
                writes: vec![(place.clone(), rows::encode(&mine))],
                removes: Vec::new(),
            };
            match self.ctx.ports.store.apply(&change).await {
                Ok(done) => {
                    self.advance(part, done.version, mine);
                    return Ok(mine.startable_through);
                }
                Err(TransactionError::Conflict { .. }) => {}
                Err(error) => return Err(WriteError::Away(error.to_string())),
            }
        }
    }

    /// Writes changes for as long as the cell is held.
    pub(super) async fn write_all(self: Rc<Self>) {
        while self.is_active() {
            pause(ROUND).await;
            if !self.cell.borrow().is_dirty() {
                continue;
            }
            let begun = clock::now();
            let (changes, durable) = self.cell.borrow_mut().take_changes();
            let mut parts: IndexMap<String, Vec<JobChange>> = IndexMap::new();
            for change in changes {
                parts.entry(change.part.clone()).or_default().push(change);
            }
            let writes = parts.iter().map(|(part, changes)| self.write_part(part, changes));
            let results = futures_util::future::join_all(writes).await;
            self.slowest.set(self.slowest.get().max(clock::now().saturating_sub(begun)));
            if results.iter().any(|kept| !kept) {
                self.cell.borrow_mut().flush_failed(&durable);
                continue;
            }
            for change in parts.values().flatten().filter(|c| c.state.is_final()) {
                let state = change.state.to_string();
                self.ctx.metrics.jobs_ended.with_label_values(&[&change.queue, &state]).inc();
                Metrics::observe(
                    &self.ctx.metrics.job_seconds,
                    &[&state],
                    Duration::from_millis(clock::now().saturating_sub(change.requested)),
                );
                self.note_end(change);
            }
            self.cell.borrow_mut().flush_done(&durable);
            self.wake.notify_one();
        }
    }

    /// Logs a job's end with the times that tell where it waited.
    fn note_end(&self, change: &JobChange) {
        let since = |at: u64| at.saturating_sub(change.requested);
        let now = clock::now();
        let result = match change.state {
            State::Completed if now <= change.objective => "in-time",
            State::Completed => "late",
            _ => "none",
        };
        #[expect(clippy::cast_precision_loss, reason = "core seconds of a job are far below 2^53")]
        let spent = change.cpu_time as f64 / 1e6;
        self.ctx
            .metrics
            .work_core_seconds
            .with_label_values(&[&change.queue, result])
            .inc_by(spent);
        self.ctx.timeline.record(
            base::Event::JobEnded,
            &[
                ("job", &change.id),
                ("state", &change.state),
                ("queue", &change.queue),
                ("result", &result),
                ("took_ms", &since(now)),
                ("objective_ms", &since(change.objective)),
                ("first_start_ms", &change.first_start.map_or(-1, |at| since(at).cast_signed())),
                ("core_ms", &(change.cpu_time / 1_000)),
            ],
        );
    }

    /// Writes the changes of a part; false when the cell was lost.
    async fn write_part(&self, part: &str, changes: &[JobChange]) -> bool {
        for batch in changes.chunks(BATCH) {
            if !self.write_batch(part, batch).await {
                return false;
            }
        }
        true
    }

    fn lock(&self, part: &str) -> Rc<Mutex<()>> {
        let mut locks = self.locks.borrow_mut();
        Rc::clone(locks.entry(part.to_owned()).or_default())
    }

    /// Lets a job begin once its part's mark covers its version.
    pub(super) fn unmark(self: &Rc<Self>, part: &str, id: &str, version: u64) {
        let first = {
            let mut unmarked = self.unmarked.borrow_mut();
            let first = !unmarked.contains_key(part);
            let jobs = unmarked.entry(part.to_owned()).or_default();
            jobs.ids.push(id.to_owned());
            jobs.version = jobs.version.max(version);
            first
        };
        if first {
            let (inner, part) = (Rc::clone(self), part.to_owned());
            actix::spawn(async move { inner.write_batch(&part, &[]).await });
        }
    }

    /// Writes changes of jobs, and the mark that covers the part's new ones.
    async fn write_batch(&self, part: &str, batch: &[JobChange]) -> bool {
        let lock = self.lock(part);
        let _turn = lock.lock().await;
        let fresh = self.unmarked.borrow_mut().swap_remove(part).unwrap_or_default();
        if batch.is_empty() && fresh.ids.is_empty() {
            return true;
        }
        let place = keys::fence(part, &self.tenure.cell);
        while self.is_active() {
            let ledger = self.ledgers.borrow().get(part).copied();
            let Some(ledger) = ledger else {
                match self.raise_locked(part).await {
                    Ok(_) => {}
                    Err(WriteError::Lost) => self.lose("a later holder has written"),
                    Err(WriteError::Away(what)) => {
                        self.ctx.record_table_call(true, &what);
                        pause(RETRY).await;
                    }
                }
                continue;
            };
            let next = Fence {
                transactions: ledger.mark.transactions + 1,
                startable_through: ledger.mark.startable_through.max(fresh.version),
                ..ledger.mark
            };
            let mut change = Transaction {
                expect: vec![(place.clone(), ledger.version)],
                writes: vec![(place.clone(), rows::encode(&next))],
                removes: Vec::new(),
            };
            batch.iter().for_each(|job| self.add(&mut change, job));
            match self.ctx.ports.store.apply(&change).await {
                Ok(done) => {
                    self.ctx.record_table_clock(done.clock);
                    self.advance(part, done.version, next);
                    self.cover(&fresh);
                    return true;
                }
                Err(TransactionError::Conflict { rows }) => {
                    let row = rows.iter().find(|row| row.place == place);
                    match row.and_then(fence) {
                        Some(seen) if seen == next => {
                            let version = row.map_or(0, |row| row.version);
                            self.advance(part, version, next);
                            self.cover(&fresh);
                            return true;
                        }
                        _ => self.lose("a later holder has written"),
                    }
                }
                Err(error) => {
                    self.ctx.record_table_call(true, &error.to_string());
                    pause(RETRY).await;
                }
            }
        }
        false
    }

    fn advance(&self, part: &str, version: u64, mark: Fence) {
        self.ledgers.borrow_mut().insert(part.to_owned(), Ledger { version, mark });
    }

    /// Lets jobs begin that the mark of their part covers by now.
    fn cover(&self, jobs: &Unmarked) {
        let mut cell = self.cell.borrow_mut();
        jobs.ids.iter().for_each(|id| cell.allow_start(id));
        drop(cell);
        self.wake.notify_one();
    }

    fn add(&self, change: &mut Transaction, job: &JobChange) {
        let cell = &self.tenure.cell;
        let state = keys::state(&job.part, &job.id);
        if job.state_changed {
            change.writes.push((state, rows::encode(&StateRow::new(cell, job.state))));
        }
        let kept = Self::place(keys::progress_table(cell), &job.part, &job.id);
        if job.state.is_final() {
            change.removes.push(kept);
            change.removes.push(Self::place(keys::jobs_table(cell), &job.part, &job.id));
            if job.state == State::Cancelled {
                let mark = keys::cancel_key(&job.id);
                change.removes.push(Self::place(keys::jobs_table(cell), &job.part, &mark));
            }
        } else {
            change.writes.push((kept, rows::encode(&ProgressRow::from(&job.progress))));
        }
    }

    /// Reads the executors that earlier holders used.
    pub(super) async fn load_roster(&self) -> Result<(), WriteError> {
        let place = keys::roster(&self.tenure.cell);
        let page = self.ctx.ports.store.read(&place, 1).await?;
        let Some(row) = page.rows.into_iter().find(|row| row.place == place) else { return Ok(()) };
        let roster: Roster = match rows::decode(row.value.as_deref().unwrap_or_default()) {
            Ok(roster) => roster,
            Err(error) => return Err(WriteError::Away(format!("roster: {error}"))),
        };
        for (id, address) in &roster.workers {
            let entry = Registration {
                id: id.clone(),
                pool: self.tenure.cell.clone(),
                address: address.clone(),
                ..Registration::default()
            };
            self.cell.borrow_mut().inherit(entry);
        }
        *self.roster.borrow_mut() = RosterState { roster, version: row.version };
        Ok(())
    }

    /// Puts executors on the roster; false when that is not known to be durable.
    pub(super) async fn enroll(&self, fresh: &[&Registration]) -> bool {
        let (mut roster, version) = {
            let state = self.roster.borrow();
            (state.roster.clone(), state.version)
        };
        let missing = fresh.iter().any(|e| roster.workers.get(&e.id) != Some(&e.address));
        if !missing {
            return true;
        }
        for entry in fresh {
            roster.workers.insert(entry.id.clone(), entry.address.clone());
        }
        self.write_roster(roster, version).await
    }

    /// Takes executors that run nothing any more off the roster, so that a successor does not
    /// wait for them.
    pub(super) async fn trim_roster(&self) {
        let (roster, version) = {
            let state = self.roster.borrow();
            let cell = self.cell.borrow();
            let stale = state.roster.workers.keys().any(|id| !cell.workers().contains_key(id));
            if !stale || clock::now() < self.trimmed.get() + TRIM {
                return;
            }
            let mut roster = state.roster.clone();
            roster.workers.retain(|id, _| cell.workers().contains_key(id));
            (roster, state.version)
        };
        self.trimmed.set(clock::now());
        self.write_roster(roster, version).await;
    }

    async fn write_roster(&self, roster: Roster, version: u64) -> bool {
        let place = keys::roster(&self.tenure.cell);
        let lease = keys::lease(&self.tenure.cell);
        let change = Transaction {
            expect: vec![(lease.clone(), self.tenure.epoch), (place.clone(), version)],
            writes: vec![(place.clone(), rows::encode(&roster))],
            removes: Vec::new(),
        };
        match self.ctx.ports.store.apply(&change).await {
            Ok(done) => {
                *self.roster.borrow_mut() = RosterState { roster, version: done.version };
                true
            }
            Err(TransactionError::Conflict { rows }) => {
                let row = |place| rows.iter().find(|row| row.place == place);
                if row(lease).is_some_and(|row| row.version != self.tenure.epoch) {
                    self.lose("the lease has changed");
                } else if let Some(row) = row(place) {
                    // An earlier write of this holder was applied without an answer.
                    self.roster.borrow_mut().version = row.version;
                }
                false
            }
            Err(error) => {
                self.ctx.record_table_call(true, &error.to_string());
                pause(RETRY).await;
                false
            }
        }
    }
}

fn fence(row: &Row) -> Option<Fence> {
    rows::decode(row.value.as_deref()?).ok()
}
