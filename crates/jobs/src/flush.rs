//! Decides what the holder of a cell writes to a part of the table, and when.
//!
//! Load pattern: at the peak of a queue with small tasks a thousand jobs have tasks that end several
//! times a second. A transaction for each of these ends would keep the ends of whole jobs, for which
//! clients wait, behind the progress of others. Ended jobs are therefore written at once. The
//! progress of the others is written a few times a second; until then the executors keep the ends
//! for a successor. A part that takes no writes for some seconds holds up no other part.

use indexmap::{IndexMap, IndexSet};

/// Most jobs whose progress goes into one write; three transactions, so that the end of a job does
/// not wait long for them.
pub const MAX_PROGRESS_CHANGES: usize = 66;
/// Time between two writes of the progress of unfinished jobs to a part, in milliseconds; a fraction
/// of a short task.
const PROGRESS_INTERVAL_MS: u64 = 200;

/// Changes to take of the jobs in a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Selection {
    /// None, since a write to the part is under way.
    None,
    /// Those of jobs that have ended.
    Ended,
    /// Those of jobs that have ended and, up to [`MAX_PROGRESS_CHANGES`], of others.
    All,
}

/// Writes to the parts of a cell.
///
/// # Examples
///
/// ```
/// use jobs::flush::{Selection, Writes};
/// let mut writes = Writes::default();
/// assert_eq!(writes.select("q/0", 1_000), Selection::All);
/// writes.begin("q/0", Selection::All, 1_000);
/// assert_eq!(writes.select("q/0", 1_010), Selection::None);
/// writes.end("q/0");
/// assert_eq!(writes.select("q/0", 1_040), Selection::Ended);
/// assert_eq!(writes.select("q/0", 1_200), Selection::All);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Writes {
    under_way: IndexSet<String>,
    /// Time of the last write of all changes, by part, in milliseconds.
    complete_at: IndexMap<String, u64>,
}

impl Writes {
    /// Returns which changes to write to a part at `now`.
    pub fn select(&self, part: &str, now: u64) -> Selection {
        if self.under_way.contains(part) {
            return Selection::None;
        }
        match self.complete_at.get(part) {
            Some(at) if now < at + PROGRESS_INTERVAL_MS => Selection::Ended,
            _ => Selection::All,
        }
    }

    /// Records that a write of the selected changes has begun.
    pub fn begin(&mut self, part: &str, selection: Selection, now: u64) {
        self.under_way.insert(part.to_owned());
        if selection == Selection::All {
            self.complete_at.insert(part.to_owned(), now);
        }
    }

    /// Records that the write under way has ended.
    pub fn end(&mut self, part: &str) {
        self.under_way.swap_remove(part);
    }
}
