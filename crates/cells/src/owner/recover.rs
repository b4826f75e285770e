//! Takes over a cell: reads its jobs from the table and follows new ones.
//!
//! The runs that former holders started are read from the executors, by polling them.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::try_join_all;
use indexmap::{IndexMap, IndexSet};
use jobs::progress::StepProgress;
use jobs::row::{BlockRow, ProgressRow};
use jobs::{Progress, Registration};

use super::{Inner, write::WriteError};
use crate::blocks::{self, Block};
use crate::clock;
use crate::context::pause;
use crate::follow::read_all;
use crate::keys;
use crate::ports::{Place, ReadError, Row};
use crate::rows;

/// Pause after a failed read or write, in milliseconds.
const RETRY_PAUSE_MS: u64 = 100;
/// Maximum time that a feed request waits at the table for a new job, in milliseconds.
const FEED_WAIT_MS: u64 = 1_500;
/// Minimum time between two reads of new jobs, in milliseconds.
const FEED_INTERVAL_MS: u64 = 20;

impl Inner {
    /// Recovers the cell's state, with retries; false if the cell is lost meanwhile.
    pub(super) async fn recover(self: &Rc<Self>) -> bool {
        loop {
            if !self.is_active() {
                return false;
            }
            match self.recover_once().await {
                Ok(version) => {
                    self.spawn_task("new jobs", Rc::clone(self).follow_jobs(version));
                    return true;
                }
                Err(WriteError::Lost) => {
                    self.mark_lost("a later holder has written to a part");
                    return false;
                }
                Err(WriteError::Unavailable(reason)) => {
                    self.ctx.record_table_call(true, &reason);
                    pause(RETRY_PAUSE_MS).await;
                }
            }
        }
    }

    /// Recovers the cell's state and returns the version from which to follow its jobs.
    async fn recover_once(self: &Rc<Self>) -> Result<u64, WriteError> {
        self.load_roster().await?;
        self.sync_workers();
        let mut version = u64::MAX;
        // The feed starts at a version read before the list of parts, so that no new part is
        // missed.
        let start = self.ctx.ports.store.read(&keys::lease(&self.tenure.cell), 1).await?;
        version = version.min(start.version);
        let mut parts = IndexSet::new();
        let mut after = String::new();
        loop {
            let page =
                self.ctx.ports.store.parts(&keys::jobs_table(&self.tenure.cell), &after).await?;
            let Some(last) = page.last() else { break };
            after.clone_from(last);
            parts.extend(page);
        }
        try_join_all(parts.iter().map(|part| self.recover_part(part))).await?;
        self.feed_clock.set(start.clock);
        Ok(version)
    }

    /// Takes over a part: claims its fence row, then reads its jobs.
    ///
    /// The fence row keeps former holders from writing to the part after that read.
    pub(super) async fn recover_part(self: &Rc<Self>, part: &str) -> Result<(), WriteError> {
        let startable_through = self.claim_fence(part).await?;
        let table = keys::progress_table(&self.tenure.cell);
        let (rows, _) = read_all(&self.ctx, Place::new(&table, part, "")).await?;
        let mut progress: IndexMap<String, Progress> = IndexMap::new();
        let mut blocks: IndexMap<String, Vec<Block>> = IndexMap::new();
        // The first row of a job sorts before those of its blocks.
        for row in &rows {
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
        let table = keys::jobs_table(&self.tenure.cell);
        let (rows, version) = read_all(&self.ctx, Place::new(&table, part, "")).await?;
        self.read_versions.borrow_mut().insert(part.to_owned(), version);
        for row in rows {
            let progress = progress.swap_remove(&row.place.key).unwrap_or_default();
            if let Some(blocks) = blocks.swap_remove(&row.place.key) {
                let mut stored = self.stored_progress.borrow_mut();
                let layout = &mut stored.entry(row.place.key.clone()).or_default().layout;
                blocks.into_iter().for_each(|block| layout.add(block));
            }
            self.apply_job_row(&row, progress, row.version <= startable_through);
        }
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
                Err(ReadError::HistoryDropped) => match self.recover_once().await {
                    Ok(at) => version = at,
                    Err(WriteError::Lost) => self.mark_lost("a later holder has written to a part"),
                    Err(WriteError::Unavailable(reason)) => {
                        self.ctx.record_table_call(true, &reason);
                        pause(RETRY_PAUSE_MS).await;
                    }
                },
                Err(error) => {
                    self.ctx.record_table_call(true, &error.to_string());
                    pause(RETRY_PAUSE_MS).await;
                }
            }
        }
    }

    /// Applies changed rows; false if a new part could not be taken over.
    async fn apply_rows(self: &Rc<Self>, rows: &[Row]) -> bool {
        let new_parts: IndexSet<&str> = rows
            .iter()
            .filter(|row| row.value.is_some())
            .map(|row| row.place.part.as_str())
            .filter(|part| !self.fences.borrow().contains_key(*part))
            .collect();
        match try_join_all(new_parts.into_iter().map(|part| self.recover_part(part))).await {
            Ok(_) => {}
            Err(WriteError::Lost) => {
                self.mark_lost("a later holder has written to a part");
                return false;
            }
            Err(WriteError::Unavailable(reason)) => {
                self.ctx.record_table_call(true, &reason);
                return false;
            }
        }
        for row in rows {
            // Earlier changes are included in the complete read of the part. A job that was created
            // and ended before that read must not be added again.
            let read_version =
                self.read_versions.borrow().get(&row.place.part).copied().unwrap_or(0);
            if row.version > read_version {
                self.apply_job_row(row, Progress::default(), false);
            }
        }
        true
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
