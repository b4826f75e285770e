//! Jobs that stay in the table while the process has no memory for them.
//!
//! Load pattern: as in [`crate::memory`]. Of a parked job the cell has the queue and the size. No task
//! of it is known to have started, but a former holder may have started some just before it ended: a
//! run or an end that an executor reports makes the cell ask for the job, and is kept until then.

use super::Cell;

/// A job that stays in the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Parked {
    /// Queue to which the job was submitted.
    pub queue: String,
    /// Memory that the job takes once it is read, in bytes.
    pub bytes: usize,
}

impl Cell {
    /// Records that a job stays in the table; returns false if it is known.
    pub fn park(&mut self, id: &str, parked: Parked) -> bool {
        if self.contains_job(id) || self.has_ended(id) || self.parked.contains_key(id) {
            return false;
        }
        self.parked.insert(id.to_owned(), parked);
        true
    }

    /// Records that a parked job has been read, or is gone.
    pub fn unpark(&mut self, id: &str) {
        self.parked.shift_remove(id);
        self.requested.swap_remove(id);
    }

    /// Whether a job stays in the table.
    pub fn is_parked(&self, id: &str) -> bool {
        self.parked.contains_key(id)
    }

    /// Number of jobs that stay in the table.
    pub fn parked_count(&self) -> usize {
        self.parked.len()
    }

    /// Asks for a parked job, whatever room there is.
    pub fn request_parked(&mut self, id: &str) {
        if self.parked.contains_key(id) {
            self.requested.insert(id.to_owned());
        }
    }

    /// Returns the parked job to read next: one that was asked for, or the first for which `fits`
    /// accepts the memory that it takes.
    pub fn next_parked(&self, fits: impl Fn(usize) -> bool) -> Option<&str> {
        let first = || self.parked.iter().find(|(_, parked)| fits(parked.bytes));
        self.requested.first().or_else(|| first().map(|(id, _)| id)).map(String::as_str)
    }

    /// Memory that the jobs of the cell take, in bytes.
    pub fn footprint(&self) -> usize {
        self.footprint
    }
}
