//! Reads jobs that stay in the table while the process has no memory for them.

use std::cell::RefCell;
use std::rc::Rc;

use indexmap::IndexMap;
use jobs::cell::Parked;
use jobs::row::JobRow;
use jobs::{Job, Progress, memory};
use tokio::sync::Notify;

use super::Inner;
use crate::blocks;
use crate::clock;
use crate::context::pause;
use crate::keys;
use crate::ports::{Place, Row};

/// Interval between two checks whether there is room for a job, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 100;
/// Rows that are read at a time of a job's progress.
const PROGRESS_ROWS: usize = 100;

/// Places of the rows of jobs that stay in the table.
#[derive(Debug, Default)]
pub(crate) struct ParkedRows {
    rows: RefCell<IndexMap<String, ParkedRow>>,
    /// Triggers a check before the next interval.
    pub wake: Notify,
}

#[derive(Debug, Clone)]
struct ParkedRow {
    part: String,
    /// Whether a former holder may have started the job.
    inherited: bool,
}

impl Inner {
    /// Leaves a job in the table if the process has no room for it; returns whether it does.
    pub(super) fn park(&self, row: &Row, job: &JobRow, inherited: bool) -> bool {
        let id = &row.place.key;
        let room = self.ctx.job_room();
        let mut cell = self.cell.borrow_mut();
        if cell.parked_count() == 0 && room.fits_all() {
            return false;
        }
        let bytes = memory::job_bytes(&Job::from(job.clone()));
        if cell.is_parked(id) {
            return true;
        }
        // A cancelled job ends as soon as it is read.
        if room.fits(bytes) || self.early_cancels.borrow().contains(id) {
            return false;
        }
        let part = row.place.part.clone();
        let queue = job.queue.clone();
        if cell.park(id, Parked { queue, bytes }) {
            self.parked.rows.borrow_mut().insert(id.clone(), ParkedRow { part, inherited });
            self.ctx.timeline.record(
                base::Event::JobParked,
                &[("cell", &self.tenure.cell), ("job", id), ("bytes", &bytes)],
            );
        }
        true
    }

    /// Reads the jobs that stay in the table once there is room for them.
    pub(super) async fn read_parked(self: Rc<Self>) {
        while self.is_active() {
            tokio::select! {
                () = pause(CHECK_INTERVAL_MS) => {}
                () = self.parked.wake.notified() => {}
            }
            self.update_job_bytes();
            loop {
                let room = self.ctx.job_room();
                let next =
                    self.cell.borrow().next_parked(|bytes| room.fits(bytes)).map(str::to_owned);
                let Some(id) = next.filter(|_| self.is_active()) else { break };
                if !self.read_parked_job(&id).await {
                    break;
                }
            }
        }
    }

    /// Updates the memory that the jobs of the cell take.
    fn update_job_bytes(&self) {
        let bytes = self.cell.borrow().footprint();
        self.ctx.job_bytes.borrow_mut().insert(self.tenure.cell.clone(), bytes);
    }

    /// Reads a job with its progress; returns false if the cell is lost.
    async fn read_parked_job(self: &Rc<Self>, id: &str) -> bool {
        let Some(parked) = self.parked.rows.borrow().get(id).cloned() else {
            self.cell.borrow_mut().unpark(id);
            return true;
        };
        let start = clock::now();
        let place = Self::job_place(keys::jobs_table(&self.tenure.cell), &parked.part, id);
        let Ok(page) = self.persist(|| self.ctx.ports.store.read(&place, 1)).await else {
            return false;
        };
        let Some(row) = page.rows.into_iter().find(|row| row.place == place) else {
            // Its client's organisation or this holder's predecessor has removed it.
            self.forget_parked(id);
            return true;
        };
        let Ok(progress) = self.read_parked_progress(id, &parked.part).await else { return false };
        self.forget_parked(id);
        self.apply_job(&row, progress, parked.inherited, false);
        self.ctx.timeline.record(
            base::Event::JobUnparked,
            &[
                ("cell", &self.tenure.cell),
                ("job", &id),
                ("took_ms", &clock::now().saturating_sub(start)),
                ("parked", &self.cell.borrow().parked_count()),
            ],
        );
        true
    }

    fn forget_parked(&self, id: &str) {
        self.parked.rows.borrow_mut().shift_remove(id);
        self.cell.borrow_mut().unpark(id);
    }

    /// Reads the progress of a job, which a former holder may have begun.
    async fn read_parked_progress(&self, id: &str, part: &str) -> Result<Progress, ()> {
        let table = keys::progress_table(&self.tenure.cell);
        let mut from = Place::new(&table, part, id);
        let mut rows = Vec::new();
        loop {
            let page = self.persist(|| self.ctx.ports.store.read(&from, PROGRESS_ROWS)).await;
            let page = page.map_err(|_| ())?;
            let is_own = |row: &Row| {
                let key = &row.place.key;
                key == id || blocks::parse_key(key).is_some_and(|(job, _)| job == id)
            };
            let last = page.rows.last().filter(|row| page.more && is_own(row));
            let next = last.map(|row| format!("{}\0", row.place.key));
            rows.extend(page.rows.into_iter().filter(is_own));
            match next {
                Some(key) => from.key = key,
                None => break,
            }
        }
        let (mut progress, _) = self.decode_progress(&rows);
        Ok(progress.swap_remove(id).unwrap_or_default())
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        self.ctx.job_bytes.borrow_mut().swap_remove(&self.tenure.cell);
    }
}
