//! Writes a cell's progress to the table.
//!
//! All writes of a holder in a part form a chain: each is conditional on the fence row that the
//! previous one has written. So neither a write of a former holder nor a delayed one of this
//! holder can be applied after newer ones. When the response to a write is lost, the fence row
//! shows whether the write was applied.
//!
//! The fence row also states up to which version jobs of the part may have been started, and no job
//! starts before the fence row covers it. A successor that can't reach an executor need not wait
//! for the executor's lease to expire before it starts jobs with later versions, such as those that
//! were created while the cell had no holder.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::try_join_all;
use jobs::Registration;
use jobs::State;
use jobs::cell::{Flush, JobChange};
use jobs::row::ProgressRow;
use tokio::sync::Mutex;

use super::Inner;
use crate::clock;
use crate::context::pause;
use crate::guard::{self, ClaimError};
use crate::keys;
use crate::metrics::Metrics;
use crate::ports::{Row, Transaction, TransactionError};
use crate::rows::{self, Fence, Roster, StateRow};

/// Maximum number of job changes per transaction; each takes up to four of the hundred entries that
/// the table allows.
const MAX_BATCH_CHANGES: usize = 22;
/// Pause between two rounds of writes, in milliseconds. A part accepts 150 transactions per second,
/// and submitted jobs need some of them.
const WRITE_INTERVAL_MS: u64 = 40;
/// Pause before a failed write is retried, in milliseconds.
const RETRY_PAUSE_MS: u64 = 80;
/// Timeout of a write of the roster, after which the next of its lists is tried; the duration of a
/// transaction while the table is slow.
const ROSTER_TIMEOUT: Duration = Duration::from_millis(700);
/// Minimum time between two writes that remove executors from the roster, in milliseconds.
const ROSTER_TRIM_INTERVAL_MS: u64 = 500;

/// The newest fence row that this holder has written in a part, and its version.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FenceState {
    version: u64,
    fence: Fence,
}

/// Jobs of a part that its fence row does not cover yet.
#[derive(Debug, Default)]
pub(crate) struct UnfencedJobs {
    ids: Vec<String>,
    /// Highest version among these jobs.
    version: u64,
}

/// One list of the roster as last written to the table, with the versions of its row and of the
/// guard row beside it.
#[derive(Debug, Clone, Default)]
pub(crate) struct RosterList {
    roster: Roster,
    version: u64,
    guard: u64,
}

/// Reason why a write, or a read that it depends on, failed.
#[derive(Debug)]
pub(crate) enum WriteError {
    /// A later holder has taken the cell.
    Lost,
    /// The table is unavailable or the roster can't be decoded, with the error.
    Unavailable(String),
}

impl From<ClaimError> for WriteError {
    fn from(error: ClaimError) -> Self {
        match error {
            ClaimError::Lost => Self::Lost,
            ClaimError::Unavailable(detail) => Self::Unavailable(detail),
        }
    }
}

impl Inner {
    /// Claims a part's fence row.
    ///
    /// Returns the version up to which jobs of the part may have been started.
    pub(super) async fn claim_fence(&self, part: &str) -> Result<u64, WriteError> {
        let lock = self.write_lock(part);
        let _guard = lock.lock().await;
        self.claim_fence_locked(part).await
    }

    /// Claims a part's fence row; the caller holds the part's write lock.
    async fn claim_fence_locked(&self, part: &str) -> Result<u64, WriteError> {
        let place = keys::fence(part, &self.tenure.cell);
        loop {
            let page = self.ctx.ports.store.read(&place, 1).await?;
            let row = page.rows.into_iter().find(|row| row.place == place);
            let version = row.as_ref().map_or(0, |row| row.version);
            // A fence row that can't be read may cover all jobs of the part.
            let unreadable = Fence { startable_through: u64::MAX, ..Fence::default() };
            let fence =
                row.map_or_else(Fence::default, |row| decode_fence(&row).unwrap_or(unreadable));
            if fence.epoch > self.tenure.epoch {
                return Err(WriteError::Lost);
            }
            if fence.epoch == self.tenure.epoch {
                self.set_fence(part, version, fence);
                return Ok(fence.startable_through);
            }
            let claimed = Fence {
                epoch: self.tenure.epoch,
                transactions: 0,
                startable_through: fence.startable_through,
            };
            let transaction = Transaction {
                expect: vec![(place.clone(), version)],
                writes: vec![(place.clone(), rows::encode(&claimed))],
                removes: Vec::new(),
            };
            match self.ctx.ports.store.apply(&transaction).await {
                Ok(done) => {
                    self.set_fence(part, done.version, claimed);
                    return Ok(claimed.startable_through);
                }
                Err(TransactionError::Conflict { .. }) => {}
                Err(error) => return Err(WriteError::Unavailable(error.to_string())),
            }
        }
    }

    /// Writes the scheduler's changes for as long as the cell is held, each part apart from the
    /// others.
    pub(super) async fn write_loop(self: Rc<Self>) {
        while self.is_active() {
            pause(WRITE_INTERVAL_MS).await;
            let now = clock::now();
            let changes = {
                let writes = self.part_writes.borrow();
                self.cell.borrow_mut().take_changes_by_part(|part| writes.select(part, now))
            };
            for (part, (changes, flush)) in changes {
                let mut writes = self.part_writes.borrow_mut();
                let selection = writes.select(&part, now);
                writes.begin(&part, selection, now);
                self.spawn_task("writes", Rc::clone(&self).write_changes(part, changes, flush));
            }
        }
    }

    /// Writes changes of one part, and passes the result to the scheduler.
    async fn write_changes(self: Rc<Self>, part: String, changes: Vec<JobChange>, flush: Flush) {
        let start = clock::now();
        let written = self.write_part(&part, &changes).await;
        self.slowest_write.set(self.slowest_write.get().max(clock::now().saturating_sub(start)));
        self.part_writes.borrow_mut().end(&part);
        if !written {
            self.cell.borrow_mut().flush_failed(&flush);
            return;
        }
        for change in changes.iter().filter(|c| c.state.is_final()) {
            let state = change.state.to_string();
            self.ctx.metrics.jobs_ended.with_label_values(&[&change.queue, &state]).inc();
            Metrics::observe(
                &self.ctx.metrics.job_seconds,
                &[&state],
                Duration::from_millis(clock::now().saturating_sub(change.requested_at)),
            );
            self.log_job_end(change);
        }
        self.cell.borrow_mut().flush_done(&flush);
        self.wake.notify_one();
    }

    /// Logs a job's end with the times that show where the job waited, and adds its processor time
    /// to the metrics.
    fn log_job_end(&self, change: &JobChange) {
        let since = |at: u64| at.saturating_sub(change.requested_at);
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
                ("organisation", &change.organisation.as_deref().unwrap_or_default()),
                ("result", &result),
                ("took_ms", &since(now)),
                ("objective_ms", &since(change.objective)),
                ("first_start_ms", &change.first_start.map_or(-1, |at| since(at).cast_signed())),
                ("core_ms", &(change.cpu_time / 1_000)),
            ],
        );
    }

    /// Writes the changes of a part; false if the cell was lost.
    async fn write_part(&self, part: &str, changes: &[JobChange]) -> bool {
        for batch in changes.chunks(MAX_BATCH_CHANGES) {
            if !self.write_batch(part, batch).await {
                return false;
            }
        }
        true
    }

    /// Lock that serialises the writes to a part.
    fn write_lock(&self, part: &str) -> Rc<Mutex<()>> {
        let mut write_locks = self.write_locks.borrow_mut();
        Rc::clone(write_locks.entry(part.to_owned()).or_default())
    }

    /// Queues a job that may start once its part's fence row covers its version.
    pub(super) fn fence_job(self: &Rc<Self>, part: &str, id: &str, version: u64) {
        let first = {
            let mut unfenced = self.unfenced.borrow_mut();
            let first = !unfenced.contains_key(part);
            let jobs = unfenced.entry(part.to_owned()).or_default();
            jobs.ids.push(id.to_owned());
            jobs.version = jobs.version.max(version);
            first
        };
        if first {
            let (inner, part) = (Rc::clone(self), part.to_owned());
            actix::spawn(async move { inner.write_batch(&part, &[]).await });
        }
    }

    /// Writes changes of jobs with a fence row that covers the part's new jobs; false if the cell
    /// was lost.
    async fn write_batch(&self, part: &str, batch: &[JobChange]) -> bool {
        let lock = self.write_lock(part);
        let _guard = lock.lock().await;
        let unfenced = self.unfenced.borrow_mut().swap_remove(part).unwrap_or_default();
        if batch.is_empty() && unfenced.ids.is_empty() {
            return true;
        }
        let place = keys::fence(part, &self.tenure.cell);
        while self.is_active() {
            let current = self.fences.borrow().get(part).copied();
            let Some(current) = current else {
                match self.claim_fence_locked(part).await {
                    Ok(_) => {}
                    Err(WriteError::Lost) => self.mark_lost("a later holder has written to a part"),
                    Err(WriteError::Unavailable(reason)) => {
                        self.ctx.record_table_call(true, &reason);
                        pause(RETRY_PAUSE_MS).await;
                    }
                }
                continue;
            };
            let next = Fence {
                transactions: current.fence.transactions + 1,
                startable_through: current.fence.startable_through.max(unfenced.version),
                ..current.fence
            };
            let mut transaction = Transaction {
                expect: vec![(place.clone(), current.version)],
                writes: vec![(place.clone(), rows::encode(&next))],
                removes: Vec::new(),
            };
            batch.iter().for_each(|job| self.add_job_change(&mut transaction, job));
            match self.ctx.ports.store.apply(&transaction).await {
                Ok(done) => {
                    self.ctx.record_table_clock(done.clock);
                    self.set_fence(part, done.version, next);
                    self.allow_starts(&unfenced);
                    return true;
                }
                Err(TransactionError::Conflict { rows }) => {
                    let row = rows.iter().find(|row| row.place == place);
                    match row.and_then(decode_fence) {
                        Some(seen) if seen == next => {
                            let version = row.map_or(0, |row| row.version);
                            self.set_fence(part, version, next);
                            self.allow_starts(&unfenced);
                            return true;
                        }
                        _ => self.mark_lost("a later holder has written to a part"),
                    }
                }
                Err(error) => {
                    self.ctx.record_table_call(true, &error.to_string());
                    pause(RETRY_PAUSE_MS).await;
                }
            }
        }
        false
    }

    /// Records the newest fence row of a part.
    fn set_fence(&self, part: &str, version: u64, fence: Fence) {
        self.fences.borrow_mut().insert(part.to_owned(), FenceState { version, fence });
    }

    /// Allows jobs to start that their part's fence row covers.
    fn allow_starts(&self, jobs: &UnfencedJobs) {
        let mut cell = self.cell.borrow_mut();
        jobs.ids.iter().for_each(|id| cell.allow_start(id));
        drop(cell);
        self.wake.notify_one();
    }

    /// Adds the row changes of a job to a transaction.
    fn add_job_change(&self, transaction: &mut Transaction, job: &JobChange) {
        let cell = &self.tenure.cell;
        let state = keys::state(&job.part, &job.id);
        if job.state_changed {
            transaction.writes.push((state, rows::encode(&StateRow::new(cell, job.state))));
        }
        let progress = Self::job_place(keys::progress_table(cell), &job.part, &job.id);
        if job.state.is_final() {
            transaction.removes.push(progress);
            transaction.removes.push(Self::job_place(keys::jobs_table(cell), &job.part, &job.id));
            if job.state == State::Cancelled {
                let marker = keys::cancel_key(&job.id);
                transaction.removes.push(Self::job_place(
                    keys::jobs_table(cell),
                    &job.part,
                    &marker,
                ));
            }
        } else {
            transaction.writes.push((progress, rows::encode(&ProgressRow::from(&job.progress))));
        }
    }

    /// Claims the guard rows, reads the roster beside them and adds the executors of former holders
    /// to the scheduler.
    pub(super) async fn load_roster(&self) -> Result<(), WriteError> {
        let (cell, epoch) = (&self.tenure.cell, self.tenure.epoch);
        let guards = guard::claim(&self.ctx, cell, epoch).await?;
        let lists = guards.into_iter().enumerate().map(|(n, guard)| self.read_roster(n, guard));
        let lists = try_join_all(lists).await?;
        for (id, address) in lists.iter().flat_map(|list| &list.roster.workers) {
            let registration = Registration {
                id: id.clone(),
                pool: cell.clone(),
                address: address.clone(),
                ..Registration::default()
            };
            self.cell.borrow_mut().inherit(registration);
        }
        *self.roster.borrow_mut() = lists;
        Ok(())
    }

    async fn read_roster(&self, number: usize, guard: u64) -> Result<RosterList, WriteError> {
        let place = keys::roster(number, &self.tenure.cell);
        let page = self.ctx.ports.store.read(&place, 1).await?;
        let Some(row) = page.rows.into_iter().find(|row| row.place == place) else {
            return Ok(RosterList { guard, ..RosterList::default() });
        };
        let roster = rows::decode(row.value.as_deref().unwrap_or_default());
        let roster = roster.unwrap_or_else(|error| {
            self.ctx
                .timeline
                .record(base::Event::RowUnreadable, &[("row", &row.place.key), ("error", &error)]);
            // The executors of former holders are not all known.
            self.cell.borrow_mut().inherit_unknown();
            Roster::default()
        });
        Ok(RosterList { roster, version: row.version, guard })
    }

    /// Adds executors to one of the roster's lists; false if no write is confirmed.
    pub(super) async fn add_to_roster(&self, added: &[Registration]) -> bool {
        let lists = self.roster.borrow().clone();
        let is_missing = |e: &&Registration| {
            !lists.iter().any(|list| list.roster.workers.get(&e.id) == Some(&e.address))
        };
        let missing: Vec<&Registration> = added.iter().filter(is_missing).collect();
        if missing.is_empty() {
            return true;
        }
        // The part of a list may be out of service while those of the others are not.
        for (number, list) in lists.into_iter().enumerate() {
            let mut roster = list.roster;
            for registration in &missing {
                roster.workers.insert(registration.id.clone(), registration.address.clone());
            }
            if self.write_roster(number, roster).await {
                return true;
            }
            if !self.is_active() {
                return false;
            }
        }
        false
    }

    /// Removes executors that have ended and run nothing any more from the roster, so that a
    /// successor does not wait for them.
    pub(super) fn trim_roster(self: &Rc<Self>) {
        if clock::now() < self.roster_trimmed_at.get() + ROSTER_TRIM_INTERVAL_MS
            || self.writes_roster.get()
        {
            return;
        }
        self.roster_trimmed_at.set(clock::now());
        let trimmed: Vec<(usize, Roster)> = {
            let cell = self.cell.borrow();
            let is_known = |id: &String| cell.workers().contains_key(id);
            let lists = self.roster.borrow();
            let stale = lists
                .iter()
                .enumerate()
                .filter(|(_, list)| !list.roster.workers.keys().all(is_known));
            let trim = |(number, list): (usize, &RosterList)| {
                let mut roster = list.roster.clone();
                roster.workers.retain(|id, _| is_known(id));
                (number, roster)
            };
            stale.map(trim).collect()
        };
        if trimmed.is_empty() {
            return;
        }
        self.writes_roster.set(true);
        let inner = Rc::clone(self);
        actix::spawn(async move {
            for (number, roster) in trimmed {
                inner.write_roster(number, roster).await;
            }
            inner.writes_roster.set(false);
        });
    }

    /// Writes a list of the roster if the guard row beside it is unchanged; false if the write is
    /// not confirmed.
    async fn write_roster(&self, number: usize, roster: Roster) -> bool {
        let place = keys::roster(number, &self.tenure.cell);
        let guard = keys::guard(number, &self.tenure.cell);
        let (version, guard_version) = {
            let list = &self.roster.borrow()[number];
            (list.version, list.guard)
        };
        let transaction = Transaction {
            expect: vec![(guard.clone(), guard_version), (place.clone(), version)],
            writes: vec![(place.clone(), rows::encode(&roster))],
            removes: Vec::new(),
        };
        let applied =
            tokio::time::timeout(ROSTER_TIMEOUT, self.ctx.ports.store.apply(&transaction)).await;
        match applied {
            Ok(Ok(done)) => {
                let list = &mut self.roster.borrow_mut()[number];
                (list.roster, list.version) = (roster, done.version);
                true
            }
            Ok(Err(TransactionError::Conflict { rows })) => {
                let row = |place| rows.iter().find(|row| row.place == place);
                if row(guard).is_some_and(|row| row.version != guard_version) {
                    self.mark_lost("a later holder has claimed a guard row");
                } else if let Some(row) = row(place) {
                    // An earlier write of this holder was applied although its response was lost.
                    self.roster.borrow_mut()[number].version = row.version;
                }
                false
            }
            Ok(Err(error)) => {
                self.ctx.record_table_call(true, &error.to_string());
                false
            }
            Err(_) => false,
        }
    }
}

fn decode_fence(row: &Row) -> Option<Fence> {
    rows::decode(row.value.as_deref()?).ok()
}
