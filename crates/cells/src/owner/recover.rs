//! Takes over a cell: reads its jobs from the table and follows new ones.
//!
//! The runs that former holders started are read from the executors, by polling them.
//!
//! Load pattern: a pool with jobs of a hundred queues has some thousand parts, and a takeover makes four
//! calls to the table for each. All at once they exceed its rate, and so do all others, whoever makes
//! them. The calls go out at a limited rate, and the executors' leases are renewed meanwhile.

use std::rc::Rc;
use std::time::Duration;

use futures_util::stream::{self, TryStreamExt};
use indexmap::{IndexMap, IndexSet};
use jobs::progress::StepProgress;
use jobs::row::{BlockRow, ProgressRow};
use jobs::{Progress, Registration};

use super::{Inner, write::WriteError};
use crate::blocks::{self, Block};
use crate::clock;
use crate::context::pause;
use crate::follow::read_pages;
use crate::keys;
use crate::ports::{OrderError, Place, PollRequest, ReadError, Row};
use crate::rows;

/// Pause after a failed read or write, in milliseconds.
const RETRY_PAUSE_MS: u64 = 100;
/// Shortest and longest pause before one of many calls is repeated, in milliseconds.
const RETRY_PAUSE_RANGE_MS: (u64, u64) = (100, 800);
/// Most parts that are taken over at a time.
const PARTS_AT_ONCE: usize = 16;
/// Time from the begin of a recovery to the first renewal of leases, in milliseconds; most cells are
/// read by then.
const FIRST_RENEWAL_MS: u64 = 300;
/// Interval between two renewals of a lease during a recovery, in milliseconds; a fraction of a lease.
const RENEWAL_INTERVAL_MS: u64 = 1_000;
/// Maximum time that a feed request waits at the table for a new job, in milliseconds.
const FEED_WAIT_MS: u64 = 1_500;
/// Minimum time between two reads of new jobs, in milliseconds.
const FEED_INTERVAL_MS: u64 = 20;

/// Progress of jobs, by id.
type ProgressRows = IndexMap<String, Progress>;
/// Blocks of the progress of jobs, by id.
type BlockRows = IndexMap<String, Vec<Block>>;

impl Inner {
    /// Recovers the cell's state, with retries; false if the cell is lost meanwhile.
    pub(super) async fn recover(self: &Rc<Self>) -> bool {
        loop {
            if !self.is_active() {
                return false;
            }
            match self.load_roster().await {
                Ok(()) => break,
                Err(error) => self.handle_failed_read(error).await,
            }
        }
        self.sync_workers();
        self.spawn_task("leases", Rc::clone(self).renew_leases());
        let read = self.read_jobs().await;
        self.recovered.set(true);
        match read {
            Ok(version) => {
                self.spawn_task("new jobs", Rc::clone(self).follow_jobs(version));
                true
            }
            Err(error) => {
                self.handle_failed_read(error).await;
                false
            }
        }
    }

    /// Marks the cell as lost if it is, and pauses otherwise.
    async fn handle_failed_read(&self, error: WriteError) {
        match error {
            WriteError::Lost => self.mark_lost("a later holder has written to a part"),
            WriteError::Unavailable(reason) => {
                self.ctx.record_table_call(true, &reason);
                pause(RETRY_PAUSE_MS).await;
            }
        }
    }

    /// Takes over all parts of the cell and returns the version from which to follow its jobs.
    ///
    /// Each call is retried by itself, so that an error leaves what has been read before.
    async fn read_jobs(self: &Rc<Self>) -> Result<u64, WriteError> {
        // The feed starts at a version read before the list of parts, so that no new part is
        // missed.
        let lease = keys::lease(&self.tenure.cell);
        let start = self.persist(|| self.ctx.ports.store.read(&lease, 1)).await?;
        let table = keys::jobs_table(&self.tenure.cell);
        let mut parts = IndexSet::new();
        let mut after = String::new();
        loop {
            let page = self.persist(|| self.ctx.ports.store.parts(&table, &after)).await?;
            let Some(last) = page.last() else { break };
            after.clone_from(last);
            parts.extend(page);
        }
        self.parts_read.set((0, parts.len()));
        let read_part = async |part: &String| {
            self.recover_part(part).await?;
            let (read, count) = self.parts_read.get();
            self.parts_read.set((read + 1, count));
            Ok(())
        };
        stream::iter(parts.iter().map(Ok::<_, WriteError>))
            .try_for_each_concurrent(PARTS_AT_ONCE, read_part)
            .await?;
        self.feed_clock.set(start.clock);
        Ok(start.version)
    }

    /// Makes one of many calls to the table until it succeeds or the cell is lost.
    pub(super) async fn persist<T>(
        &self,
        call: impl AsyncFn() -> Result<T, ReadError>,
    ) -> Result<T, WriteError> {
        let (mut retry_pause, longest) = RETRY_PAUSE_RANGE_MS;
        while self.is_active() {
            let is_overload = |error: &ReadError| matches!(error, ReadError::Overloaded { .. });
            match self.ctx.call_in_bulk(call(), is_overload).await {
                Ok(result) => return Ok(result),
                Err(error) => self.ctx.record_table_call(true, &error.to_string()),
            }
            pause(retry_pause).await;
            retry_pause = (2 * retry_pause).min(longest);
        }
        Err(WriteError::Lost)
    }

    /// Reads a part of a table page by page, and returns the version of the first page.
    async fn for_each_page(
        &self,
        table: &str,
        part: &str,
        on_page: impl FnMut(Vec<Row>),
    ) -> Result<u64, WriteError> {
        let read = async |from: &Place, limit| {
            self.persist(|| self.ctx.ports.store.read(from, limit)).await
        };
        read_pages(&self.ctx, Place::new(table, part, ""), read, on_page).await
    }

    /// Reads the progress of the jobs in a part, with their blocks.
    async fn read_progress_rows(
        &self,
        table: &str,
        part: &str,
    ) -> Result<(ProgressRows, BlockRows), WriteError> {
        let mut rows = Vec::new();
        self.for_each_page(table, part, |page| rows.extend(page)).await?;
        Ok(self.decode_progress(&rows))
    }

    /// Decodes rows of the progress of jobs, by the ids of these, and lists their blocks.
    pub(super) fn decode_progress(&self, rows: &[Row]) -> (ProgressRows, BlockRows) {
        let (mut progress, mut blocks) = (ProgressRows::new(), BlockRows::new());
        // The first row of a job sorts before those of its blocks.
        for row in rows {
            let Some(value) = &row.value else { continue };
            let key = &row.place.key;
            let added = match blocks::parse_key(key) {
                None => read_progress(value).map(|p| drop(progress.insert(key.clone(), p))),
                Some((id, block)) => {
                    blocks.entry(id.to_owned()).or_default().push(block);
                    let own = progress.entry(id.to_owned()).or_default();
                    read_block(value).map(|steps| own.merge(block.occurrence, steps))
                }
            };
            if let Err(error) = added {
                self.ctx
                    .timeline
                    .record(base::Event::RowUnreadable, &[("row", key), ("error", &error)]);
            }
        }
        (progress, blocks)
    }

    /// Renews the leases of the former holder's executors while the jobs are read.
    ///
    /// The runs and ends in their answers can be read only once the jobs are known, and many parts may
    /// take longer to read than the leases last.
    async fn renew_leases(self: Rc<Self>) {
        let start = clock::now();
        pause(FIRST_RENEWAL_MS).await;
        while self.is_active() && !self.recovered.get() {
            let ids: Vec<String> = self.cell.borrow().workers().keys().cloned().collect();
            for id in ids.into_iter().filter(|_| self.may_order()) {
                self.spawn_task("leases", Rc::clone(&self).renew_lease(id));
            }
            let (read, parts) = self.parts_read.get();
            let (refused, rate) = self.ctx.bulk_calls();
            self.ctx.timeline.record(
                base::Event::CellReading,
                &[
                    ("cell", &self.tenure.cell),
                    ("after_ms", &clock::now().saturating_sub(start)),
                    ("read", &read),
                    ("parts", &parts),
                    ("refused", &refused),
                    ("rate", &rate),
                ],
            );
            pause(RENEWAL_INTERVAL_MS).await;
        }
    }

    /// Renews the lease of an executor; its clock is read first.
    async fn renew_lease(self: Rc<Self>, id: String) {
        loop {
            let Some(executor) = self.executor(&id) else { return };
            let lease_end = self.cell.borrow_mut().grant_lease(&id, clock::now());
            let request = PollRequest { lease_end, acked_through: 0, wait: Duration::ZERO };
            let answer =
                self.ctx.ports.executors.poll(&executor, self.tenure.epoch, &request).await;
            match answer {
                Ok(report) => {
                    self.cell.borrow_mut().record_clock(&id, report.clock, clock::now());
                }
                Err(OrderError::Fenced) => self.cell.borrow_mut().supersede(),
                // The polls that follow the recovery find out what became of it.
                Err(_) => return,
            }
            if lease_end.is_some() || !self.may_order() {
                return;
            }
        }
    }

    /// Takes over a part: claims its fence row, then reads its jobs.
    ///
    /// The fence row keeps former holders from writing to the part after that read.
    pub(super) async fn recover_part(self: &Rc<Self>, part: &str) -> Result<(), WriteError> {
        let startable_through = self.claim_fence(part).await?;
        let table = keys::progress_table(&self.tenure.cell);
        let (mut progress, mut blocks) = self.read_progress_rows(&table, part).await?;
        let table = keys::jobs_table(&self.tenure.cell);
        let mut last_job = String::new();
        // The jobs of a part may take more memory than the process has.
        let version = self
            .for_each_page(&table, part, |rows| {
                for row in rows {
                    // A job is stored before its cancel marker, which follows its row; its row is
                    // removed when it has ended.
                    match row.place.key.strip_suffix('!') {
                        Some(id) if id != last_job => {
                            self.remove_marker(&row);
                            continue;
                        }
                        Some(_) => {}
                        None => last_job.clone_from(&row.place.key),
                    }
                    let progress = progress.swap_remove(&row.place.key).unwrap_or_default();
                    if let Some(blocks) = blocks.swap_remove(&row.place.key) {
                        let mut stored = self.stored_progress.borrow_mut();
                        let layout = &mut stored.entry(row.place.key.clone()).or_default().layout;
                        blocks.into_iter().for_each(|block| layout.add(block));
                    }
                    self.apply_job_row(&row, progress, row.version <= startable_through);
                }
            })
            .await?;
        self.read_versions.borrow_mut().insert(part.to_owned(), version);
        let progress_place =
            |key: &str| Self::job_place(keys::progress_table(&self.tenure.cell), part, key);
        let left: Vec<Place> = blocks
            .iter()
            .flat_map(|(id, blocks)| blocks.iter().map(|block| blocks::key(id, *block)))
            .map(|key| progress_place(&key))
            .collect();
        if !left.is_empty() {
            actix::spawn(Rc::clone(self).remove_rows(part.to_owned(), left));
        }
        Ok(())
    }

    /// Follows changes of the cell's jobs after a version.
    async fn follow_jobs(self: Rc<Self>, mut version: u64) {
        let table = keys::jobs_table(&self.tenure.cell);
        while self.is_active() {
            let wait = Duration::from_millis(FEED_WAIT_MS);
            let requested = clock::now();
            match self.ctx.ports.store.feed(&table, version, wait).await {
                Ok(page) => {
                    self.ctx.record_page_clock(&page);
                    self.ctx.record_table_call(false, "read of the cell's new jobs succeeded");
                    let rows: Vec<Row> =
                        page.rows.into_iter().filter(|r| r.version > version).collect();
                    let last = rows.last().map_or(page.version, |row| row.version);
                    if self.apply_rows(&rows).await {
                        if !page.more {
                            self.feed_clock.set(page.clock);
                            self.cell.borrow_mut().settle_unknown_ends(requested);
                        }
                        version = if page.more { last } else { page.version.max(last) };
                    }
                    pause(FEED_INTERVAL_MS).await;
                }
                Err(ReadError::HistoryDropped) => {
                    self.ctx.timeline.record(base::Event::HistoryLost, &[("table", &table)]);
                    match self.read_jobs().await {
                        Ok(at) => version = at,
                        Err(error) => self.handle_failed_read(error).await,
                    }
                }
                Err(error) => {
                    self.ctx.record_table_call(true, &error.to_string());
                    pause(RETRY_PAUSE_MS).await;
                }
            }
        }
    }

    /// Applies changed rows; false if the cell is lost.
    ///
    /// Each part is taken over before its first rows are applied; one that can't be read delays none of
    /// these rows of the others, but those that the feed brings later.
    async fn apply_rows(self: &Rc<Self>, rows: &[Row]) -> bool {
        let mut by_part: IndexMap<&str, Vec<&Row>> = IndexMap::new();
        for row in rows {
            by_part.entry(row.place.part.as_str()).or_default().push(row);
        }
        let apply = async |part: &str, rows: Vec<&Row>| {
            let is_new = !self.read_versions.borrow().contains_key(part);
            if is_new && rows.iter().any(|row| row.value.is_some()) {
                self.recover_part(part).await?;
            }
            // Earlier changes are included in the complete read of the part. A job that was created
            // and ended before that read must not be added again.
            let read_version = self.read_versions.borrow().get(part).copied().unwrap_or(0);
            for row in rows.into_iter().filter(|row| row.version > read_version) {
                self.apply_job_row(row, Progress::default(), false);
            }
            Ok(())
        };
        let applied = stream::iter(by_part.into_iter().map(Ok::<_, WriteError>))
            .try_for_each_concurrent(PARTS_AT_ONCE, |(part, rows)| apply(part, rows))
            .await;
        match applied {
            Ok(()) => true,
            Err(error) => {
                self.handle_failed_read(error).await;
                false
            }
        }
    }

    /// Updates the scheduler's executors from the registry.
    ///
    /// New executors are written to the roster first, while the scheduler goes on.
    pub(super) fn sync_workers(self: &Rc<Self>) {
        let version = self.ctx.registry_version.get();
        if !self.ctx.registry_read.get() || self.synced_registry.get() == version {
            return;
        }
        let registry = self.ctx.registry.borrow();
        let listed: IndexMap<&String, &Registration> = registry
            .values()
            .filter(|registration| registration.pool == self.tenure.cell)
            .map(|registration| (&registration.id, registration))
            .collect();
        let mut cell = self.cell.borrow_mut();
        let unlisted: Vec<String> =
            cell.workers().keys().filter(|id| !listed.contains_key(id)).cloned().collect();
        for id in &unlisted {
            cell.unlist(id);
            let is_alive = cell.workers().get(id).is_some_and(|w| !w.dead);
            if is_alive && registry.is_replaced(id) {
                cell.mark_restarted(id, clock::now());
            }
        }
        let mut added: Vec<Registration> = Vec::new();
        for (id, registration) in listed {
            match cell.workers().get(id) {
                // The registry changes with each pass, as every executor writes its entry.
                Some(worker) if worker.listed && worker.registration == *registration => {}
                Some(_) => cell.register(registration.clone()),
                None => added.push(registration.clone()),
            }
        }
        if added.is_empty() {
            self.synced_registry.set(version);
        } else if !self.writes_roster.replace(true) {
            actix::spawn(Rc::clone(self).add_workers(added));
        }
    }

    /// Adds executors to the roster and then to the scheduler.
    async fn add_workers(self: Rc<Self>, added: Vec<Registration>) {
        let count = added.len();
        let stored = self.add_to_roster(added).await;
        let is_complete = stored.len() == count;
        {
            let mut cell = self.cell.borrow_mut();
            stored.into_iter().for_each(|registration| cell.register(registration));
        }
        if !is_complete {
            pause(RETRY_PAUSE_MS).await;
        }
        self.writes_roster.set(false);
        self.wake.notify_one();
    }
}

/// Decodes the first row of a job's progress.
fn read_progress(value: &[u8]) -> Result<Progress, String> {
    let row: ProgressRow = rows::decode(value)?;
    Progress::try_from(row).map_err(|error| error.to_string())
}

/// Decodes the row of a block of a job's tasks.
fn read_block(value: &[u8]) -> Result<IndexMap<usize, StepProgress>, String> {
    let row: BlockRow = rows::decode(value)?;
    row.try_into().map_err(|error: std::num::ParseIntError| error.to_string())
}

impl From<ReadError> for WriteError {
    fn from(error: ReadError) -> Self {
        Self::Unavailable(error.to_string())
    }
}
