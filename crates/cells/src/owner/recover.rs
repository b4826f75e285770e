//! Taking a cell over: its jobs from the table, its runs from the executors.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::try_join_all;
use indexmap::{IndexMap, IndexSet};
use jobs::row::ProgressRow;
use jobs::{Progress, Registration};

use super::{Inner, write::WriteError};
use crate::context::pause;
use crate::follow::read_all;
use crate::keys;
use crate::ports::{Place, ReadError, Row};
use crate::rows;

/// Pause after a failed read, in milliseconds.
const RETRY: u64 = 100;
/// How long the table may wait for a new job before it answers, in milliseconds.
const WAIT: u64 = 1_500;
/// Least time between two reads of new jobs, in milliseconds.
const GAP: u64 = 20;

impl Inner {
    /// Reads everything back; false when the cell was lost meanwhile.
    pub(super) async fn recover(self: &Rc<Self>) -> bool {
        loop {
            if !self.is_active() {
                return false;
            }
            match self.recover_once().await {
                Ok(version) => {
                    actix::spawn(Rc::clone(self).follow_jobs(version));
                    return true;
                }
                Err(WriteError::Lost) => {
                    self.lose("a later holder has written");
                    return false;
                }
                Err(WriteError::Away(what)) => {
                    self.ctx.record_table_call(true, &what);
                    pause(RETRY).await;
                }
            }
        }
    }

    async fn recover_once(self: &Rc<Self>) -> Result<u64, WriteError> {
        self.load_roster().await?;
        self.sync_workers().await;
        let mut version = u64::MAX;
        // The feed starts where the list of parts was read, so that no new part is missed.
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
        self.known.set(start.clock);
        Ok(version)
    }

    /// Takes a part over: marks it, so that no earlier holder writes there any more, then reads it.
    pub(super) async fn recover_part(self: &Rc<Self>, part: &str) -> Result<(), WriteError> {
        let begun = self.raise(part).await?;
        let table = keys::progress_table(&self.tenure.cell);
        let (rows, _) = read_all(&self.ctx, Place::new(&table, part, "")).await?;
        let mut progress: IndexMap<String, Progress> = IndexMap::new();
        for row in rows {
            let Some(value) = &row.value else { continue };
            let read = rows::decode::<ProgressRow>(value)
                .and_then(|row| Progress::try_from(row).map_err(|error| error.to_string()));
            match read {
                Ok(p) => {
                    progress.insert(row.place.key, p);
                }
                Err(error) => self.ctx.timeline.record(
                    base::Event::RowUnreadable,
                    &[("row", &row.place.key), ("error", &error)],
                ),
            }
        }
        let table = keys::jobs_table(&self.tenure.cell);
        let (rows, version) = read_all(&self.ctx, Place::new(&table, part, "")).await?;
        self.read.borrow_mut().insert(part.to_owned(), version);
        for row in rows {
            let progress = progress.swap_remove(&row.place.key).unwrap_or_default();
            self.take_job(&row, progress, row.version <= begun);
        }
        Ok(())
    }

    /// Follows the cell's jobs from a version on.
    async fn follow_jobs(self: Rc<Self>, mut version: u64) {
        let table = keys::jobs_table(&self.tenure.cell);
        while self.is_active() {
            let wait = Duration::from_millis(WAIT);
            match self.ctx.ports.store.feed(&table, version, wait).await {
                Ok(page) => {
                    self.ctx.record_page_clock(&page);
                    self.ctx.record_table_call(false, "jobs were read");
                    let rows: Vec<Row> =
                        page.rows.into_iter().filter(|r| r.version > version).collect();
                    let last = rows.last().map_or(page.version, |row| row.version);
                    if self.take_rows(&rows).await {
                        if !page.more {
                            self.known.set(page.clock);
                        }
                        version = if page.more { last } else { page.version.max(last) };
                    }
                    pause(GAP).await;
                }
                Err(ReadError::HistoryDropped) => match self.recover_once().await {
                    Ok(at) => version = at,
                    Err(WriteError::Lost) => self.lose("a later holder has written"),
                    Err(WriteError::Away(what)) => {
                        self.ctx.record_table_call(true, &what);
                        pause(RETRY).await;
                    }
                },
                Err(error) => {
                    self.ctx.record_table_call(true, &error.to_string());
                    pause(RETRY).await;
                }
            }
        }
    }

    /// Takes in new rows; false when a new part could not be taken over.
    async fn take_rows(self: &Rc<Self>, rows: &[Row]) -> bool {
        let fresh: IndexSet<&str> = rows
            .iter()
            .filter(|row| row.value.is_some())
            .map(|row| row.place.part.as_str())
            .filter(|part| !self.ledgers.borrow().contains_key(*part))
            .collect();
        match try_join_all(fresh.into_iter().map(|part| self.recover_part(part))).await {
            Ok(_) => {}
            Err(WriteError::Lost) => {
                self.lose("a later holder has written");
                return false;
            }
            Err(WriteError::Away(what)) => {
                self.ctx.record_table_call(true, &what);
                return false;
            }
        }
        for row in rows {
            // Older changes are in what was read whole: a job that came and ended before the part
            // was taken over must not come back.
            let read = self.read.borrow().get(&row.place.part).copied().unwrap_or(0);
            if row.version > read {
                self.take_job(row, Progress::default(), false);
            }
        }
        true
    }

    /// Brings the scheduler's executors up to the registry; new ones are put on the roster first.
    pub(super) async fn sync_workers(&self) {
        let version = self.ctx.registry_version.get();
        if !self.ctx.registry_read.get() || self.synced.get() == version {
            return;
        }
        let listed: Vec<Registration> = self
            .ctx
            .registry
            .borrow()
            .values()
            .filter(|entry| entry.pool == self.tenure.cell)
            .cloned()
            .collect();
        let (gone, known): (Vec<String>, IndexSet<String>) = {
            let cell = self.cell.borrow();
            let ids: IndexSet<String> = listed.iter().map(|e| e.id.clone()).collect();
            let gone = cell.workers().keys().filter(|id| !ids.contains(*id)).cloned().collect();
            (gone, cell.workers().keys().cloned().collect())
        };
        let fresh: Vec<&Registration> = listed.iter().filter(|e| !known.contains(&e.id)).collect();
        let durable = fresh.is_empty() || self.enroll(&fresh).await;
        if durable {
            self.synced.set(version);
        }
        let mut cell = self.cell.borrow_mut();
        for id in gone {
            cell.unlist(&id);
        }
        for entry in listed {
            if durable || known.contains(&entry.id) {
                cell.register(entry);
            }
        }
    }
}

impl From<ReadError> for WriteError {
    fn from(error: ReadError) -> Self {
        Self::Away(error.to_string())
    }
}
