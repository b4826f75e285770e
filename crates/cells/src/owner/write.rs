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
use indexmap::IndexSet;
use jobs::Registration;
use jobs::State;
use jobs::cell::{Flush, JobChange};
use tokio::sync::Mutex;

use super::Inner;
use crate::batch::{self, Unit};
use crate::blocks::{self, Block, Layout, Plan};
use crate::clock;
use crate::context::pause;
use crate::guard::{self, ClaimError};
use crate::keys;
use crate::metrics::Metrics;
use crate::ports::{Place, Row, Transaction, TransactionError};
use crate::rows::{self, Fence, Roster, StateRow};

/// Entries of a transaction for the fence row: its condition and its write.
const FENCE_ENTRIES: usize = 2;
/// Rows of a job's blocks that are removed together.
const REMOVED_ROWS: usize = 50;
/// Shortest and longest time for which a job is held whose changes the table has rejected, in
/// milliseconds.
const HOLD_RANGE_MS: (u64, u64) = (1_000, 30_000);
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

/// Rows of a job's progress, and whether the table accepts them.
#[derive(Debug, Clone, Default)]
pub(crate) struct StoredProgress {
    pub layout: Layout,
    /// Time for which the job was last held, in milliseconds; 0 if it was not.
    held_ms: u64,
}

/// A job change and the rows that it consists of.
struct PlannedChange<'a> {
    change: &'a JobChange,
    /// Rows of the progress; none if the job has ended.
    progress: Option<Plan>,
    units: Vec<Unit>,
}

/// Result of writing to a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Written {
    /// The table has all changes.
    Complete,
    /// The table does not accept a change as it is.
    Rejected,
    /// The cell was lost.
    Lost,
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
        if let Some(known) = self.fences.borrow().get(part) {
            return Ok(known.fence.startable_through);
        }
        let place = keys::fence(part, &self.tenure.cell);
        loop {
            let page = self.persist(|| self.ctx.ports.store.read(&place, 1)).await?;
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
            let applied = self.ctx.ports.store.apply(&transaction);
            let is_refusal =
                |error: &TransactionError| matches!(error, TransactionError::Refused { .. });
            match self.ctx.call_in_bulk(applied, is_refusal).await {
                Ok(done) => {
                    self.set_fence(part, done.version, claimed);
                    return Ok(claimed.startable_through);
                }
                Err(TransactionError::Conflict { .. }) => {}
                // The row shows whether it was written all the same.
                Err(error) => {
                    self.ctx.record_table_call(true, &error.to_string());
                    pause(RETRY_PAUSE_MS).await;
                }
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
        let rejected = self.write_part(&part, &changes).await;
        self.slowest_write.set(self.slowest_write.get().max(clock::now().saturating_sub(start)));
        self.part_writes.borrow_mut().end(&part);
        let Some(rejected) = rejected else {
            self.cell.borrow_mut().flush_failed(&flush);
            return;
        };
        let is_written = |change: &&JobChange| !rejected.contains(&change.id);
        for change in changes.iter().filter(is_written).filter(|c| c.state.is_final()) {
            let state = change.state.to_string();
            self.ctx.metrics.jobs_ended.with_label_values(&[&change.queue, &state]).inc();
            Metrics::observe(
                &self.ctx.metrics.job_seconds,
                &[&state],
                Duration::from_millis(clock::now().saturating_sub(change.requested_at)),
            );
            self.log_job_end(change);
        }
        self.cell.borrow_mut().flush_partly(&flush, &rejected);
        rejected.into_iter().for_each(|id| self.hold_rejected(id));
        self.wake.notify_one();
    }

    /// Ends the hold of a rejected job after a time, which doubles with each hold.
    fn hold_rejected(self: &Rc<Self>, id: String) {
        let (shortest, longest) = HOLD_RANGE_MS;
        let hold_ms = {
            let mut stored = self.stored_progress.borrow_mut();
            let stored = stored.entry(id.clone()).or_default();
            stored.held_ms = (2 * stored.held_ms).clamp(shortest, longest);
            stored.held_ms
        };
        let inner = Rc::clone(self);
        actix::spawn(async move {
            pause(hold_ms).await;
            inner.cell.borrow_mut().release_job(&id);
        });
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

    /// Writes the changes of a part; returns the jobs whose changes the table does not accept, or
    /// `None` if the cell was lost.
    async fn write_part(&self, part: &str, changes: &[JobChange]) -> Option<IndexSet<String>> {
        let planned: Vec<PlannedChange<'_>> = changes.iter().map(|c| self.plan(c)).collect();
        let units = planned.iter().flat_map(|planned| planned.units.iter().cloned()).collect();
        let mut rejected = IndexSet::new();
        match self.write_units(part, units).await {
            Written::Lost => return None,
            Written::Complete => planned.iter().for_each(|planned| self.record_written(planned)),
            // One change that the table does not accept must not hold up the others.
            Written::Rejected => {
                for change in changes {
                    match self.write_alone(part, change).await {
                        Written::Lost => return None,
                        Written::Complete => {}
                        Written::Rejected => {
                            rejected.insert(change.id.clone());
                        }
                    }
                }
            }
        }
        Some(rejected)
    }

    /// Writes one change, in smaller rows if the table does not accept the usual ones.
    async fn write_alone(&self, part: &str, change: &JobChange) -> Written {
        loop {
            let planned = self.plan(change);
            match self.write_units(part, planned.units.clone()).await {
                Written::Complete => {
                    self.record_written(&planned);
                    return Written::Complete;
                }
                Written::Lost => return Written::Lost,
                Written::Rejected => {}
            }
            let (shrunk, held_ms) = {
                let mut stored = self.stored_progress.borrow_mut();
                let stored = stored.entry(change.id.clone()).or_default();
                let shrunk = planned.progress.as_ref().is_some_and(|p| stored.layout.shrink(p));
                (shrunk, stored.held_ms)
            };
            let (shortest, longest) = HOLD_RANGE_MS;
            let sizes = planned.units.iter().flat_map(|unit| &unit.writes).map(|w| w.1.len());
            self.ctx.timeline.record(
                base::Event::WriteRejected,
                &[
                    ("job", &change.id),
                    ("part", &part),
                    ("bytes", &sizes.max().unwrap_or(0)),
                    ("next", if shrunk { &"smaller-rows" } else { &"held" }),
                    ("after_ms", &if shrunk { 0 } else { (2 * held_ms).clamp(shortest, longest) }),
                ],
            );
            if !shrunk {
                return Written::Rejected;
            }
        }
    }

    /// Writes row changes of a part in their order, in as many transactions as they need.
    async fn write_units(&self, part: &str, units: Vec<Unit>) -> Written {
        for unit in batch::pack(units, FENCE_ENTRIES) {
            let written = self.write_batch(part, &unit).await;
            if written != Written::Complete {
                return written;
            }
        }
        Written::Complete
    }

    /// Plans the rows of a job's change.
    fn plan<'a>(&self, change: &'a JobChange) -> PlannedChange<'a> {
        let mut stored = self.stored_progress.borrow_mut();
        let cell = &self.tenure.cell;
        let place = |key: &str| Self::job_place(keys::progress_table(cell), &change.part, key);
        let block_place = |block: Block| place(&blocks::key(&change.id, block));
        let remove_blocks = |blocks: Vec<Block>| -> Vec<Unit> {
            let removes = |blocks: &[Block]| blocks.iter().copied().map(block_place).collect();
            let unit = |blocks| Unit { writes: Vec::new(), removes: removes(blocks) };
            blocks.chunks(REMOVED_ROWS).map(unit).collect()
        };
        let mut main = Unit::default();
        if change.state_changed {
            let state = rows::encode(&StateRow::new(cell, change.state));
            main.writes.push((keys::state(&change.part, &change.id), state));
        }
        if change.state.is_final() {
            let job = |key: &str| Self::job_place(keys::jobs_table(cell), &change.part, key);
            main.removes.extend([place(&change.id), job(&change.id)]);
            if change.state == State::Cancelled {
                main.removes.push(job(&keys::cancel_key(&change.id)));
            }
            let blocks = stored.get(&change.id).map(|s| s.layout.blocks().collect());
            let mut units = vec![main];
            units.extend(remove_blocks(blocks.unwrap_or_default()));
            return PlannedChange { change, progress: None, units };
        }
        let mut single = StoredProgress::default();
        let limit = self.ctx.settings.max_row_bytes;
        let layout = &mut stored.get_mut(&change.id).unwrap_or(&mut single).layout;
        let plan = layout.plan(&change.progress, &change.counts, limit);
        if !single.layout.is_single() {
            stored.insert(change.id.clone(), single);
        }
        main.writes.push((place(&change.id), plan.first.clone()));
        let block_units = plan.blocks.iter().map(|(block, row)| Unit {
            writes: vec![(block_place(*block), row.clone())],
            removes: Vec::new(),
        });
        let mut units: Vec<Unit> = block_units.collect();
        units.push(main);
        units.extend(remove_blocks(plan.removes.clone()));
        PlannedChange { change, progress: Some(plan), units }
    }

    /// Records that all rows of a change have been written.
    fn record_written(&self, planned: &PlannedChange<'_>) {
        let mut stored = self.stored_progress.borrow_mut();
        let id = &planned.change.id;
        match &planned.progress {
            None => {
                stored.swap_remove(id);
            }
            Some(plan) => {
                if let Some(stored) = stored.get_mut(id) {
                    stored.layout.record(plan);
                    stored.held_ms = 0;
                }
            }
        }
    }

    /// Removes rows of jobs that have ended, which their holder did not remove any more.
    pub(super) async fn remove_rows(self: Rc<Self>, part: String, places: Vec<Place>) {
        let unit = |places: &[Place]| Unit { writes: Vec::new(), removes: places.to_vec() };
        let units = places.chunks(REMOVED_ROWS).map(unit).collect();
        self.write_units(&part, units).await;
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
            actix::spawn(async move { inner.write_batch(&part, &Unit::default()).await });
        }
    }

    /// Writes row changes with a fence row that covers the part's new jobs.
    ///
    /// If the table does not accept the changes, the fence row is written without them, so that they
    /// hold up no new jobs.
    async fn write_batch(&self, part: &str, changes: &Unit) -> Written {
        let lock = self.write_lock(part);
        let _guard = lock.lock().await;
        let unfenced = self.unfenced.borrow_mut().swap_remove(part).unwrap_or_default();
        if *changes == Unit::default() && unfenced.ids.is_empty() {
            return Written::Complete;
        }
        let mut outcome = Written::Complete;
        let place = keys::fence(part, &self.tenure.cell);
        while self.is_active() {
            let current = self.fences.borrow().get(part).copied();
            let Some(current) = current else {
                match self.claim_fence_locked(part).await {
                    Ok(_) => {}
                    Err(_) => self.mark_lost("a later holder has written to a part"),
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
            if outcome == Written::Complete {
                changes.add_to(&mut transaction);
            }
            match self.ctx.write_part(&transaction).await {
                Ok(done) => {
                    self.ctx.record_table_clock(done.clock);
                    self.set_fence(part, done.version, next);
                    self.allow_starts(&unfenced);
                    return outcome;
                }
                Err(TransactionError::Conflict { rows }) => {
                    let row = rows.iter().find(|row| row.place == place);
                    match row.and_then(decode_fence) {
                        Some(seen) if seen == next => {
                            let version = row.map_or(0, |row| row.version);
                            self.set_fence(part, version, next);
                            self.allow_starts(&unfenced);
                            return outcome;
                        }
                        _ => self.mark_lost("a later holder has written to a part"),
                    }
                }
                Err(TransactionError::Rejected { .. }) if outcome == Written::Complete => {
                    outcome = Written::Rejected;
                    if unfenced.ids.is_empty() {
                        return outcome;
                    }
                }
                Err(error) => {
                    self.ctx.record_table_call(true, &error.to_string());
                    self.ctx.pause_before_repeat(RETRY_PAUSE_MS).await;
                }
            }
        }
        Written::Lost
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

    /// Claims the guard rows, reads the roster beside them and adds the executors of former holders
    /// to the scheduler.
    pub(super) async fn load_roster(&self) -> Result<(), WriteError> {
        let (cell, epoch) = (&self.tenure.cell, self.tenure.epoch);
        let guards = guard::claim(&self.ctx, cell, epoch).await?;
        if !self.guarded.replace(true) {
            // A former holder may have confirmed itself by a guard row until now.
            self.cell.borrow_mut().succeed_former(clock::now());
        }
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

    /// Adds executors to the roster's lists, and returns those that a list has; the others have to be
    /// added again.
    ///
    /// A list takes as many as fit in its row, and the next one the others. The part of a list may be
    /// out of service while those of the others are not.
    pub(super) async fn add_to_roster(&self, added: Vec<Registration>) -> Vec<Registration> {
        let lists = self.roster.borrow().clone();
        let is_listed = |e: &Registration| {
            lists.iter().any(|list| list.roster.workers.get(&e.id) == Some(&e.address))
        };
        let (mut stored, mut missing): (Vec<_>, Vec<_>) = added.into_iter().partition(is_listed);
        let limit = self.ctx.settings.max_row_bytes;
        for (number, mut list) in lists.iter().cloned().enumerate() {
            let fitting = list.roster.add_up_to(limit, &missing);
            if fitting > 0 && self.write_roster(number, list.roster).await {
                stored.extend(missing.drain(..fitting));
            }
            if missing.is_empty() || !self.is_active() {
                return stored;
            }
        }
        self.ctx.timeline.record(
            base::Event::RosterIncomplete,
            &[("cell", &self.tenure.cell), ("missing", &missing.len())],
        );
        stored
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
