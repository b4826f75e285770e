//! Duties of machines: their rows as last read or written, and writes of many at once.
//!
//! Load pattern: at the start of a peak hundreds of machines are emptied and ordered into another
//! pool within a second, beside a maintenance wave of half the fleet. Their rows share a few parts of the
//! table, each of which takes its transactions one after the other. Changes therefore go together
//! in few transactions, and a row that another process has changed does not hold back the others.

use std::cell::RefCell;
use std::time::Duration;

use futures_util::future::join_all;
use indexmap::{IndexMap, IndexSet};

use crate::ports::{Place, Row, Store, Transaction, TransactionError};
use crate::rows::{self, Duty};

/// Most changes in one transaction; each takes two of the 100 entries that the table allows.
const CHANGES_PER_TRANSACTION: usize = 48;

/// Timeout of a transaction, after which the duties of the other parts go on; twice the duration of
/// a transaction while the table is slow.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Rows of the duties with their versions, by key.
#[derive(Debug, Default)]
pub struct Duties {
    rows: IndexMap<String, (u64, Duty)>,
    /// Keys of the duties in progress, which are few among the rows.
    in_progress: IndexSet<String>,
    revision: u64,
}

impl Duties {
    /// Returns the version and content of a row.
    pub fn get(&self, key: &str) -> Option<&(u64, Duty)> {
        self.rows.get(key)
    }

    /// Returns the duties in progress, each with the key and the version of its row.
    pub fn in_progress(&self) -> impl Iterator<Item = (&String, u64, &Duty)> {
        self.in_progress.iter().filter_map(|key| {
            let (version, duty) = self.rows.get(key)?;
            Some((key, *version, duty))
        })
    }

    /// Returns all duties.
    pub fn values(&self) -> impl Iterator<Item = &Duty> {
        self.rows.values().map(|(_, duty)| duty)
    }

    /// Returns a number that rises with each change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Inserts or replaces a row.
    ///
    /// # Examples
    ///
    /// ```
    /// use cells::duties::Duties;
    /// use cells::rows::Duty;
    /// let mut duties = Duties::default();
    /// duties.insert("move/m-1", 7, Duty { stage: "emptying".to_owned(), ..Duty::default() });
    /// assert_eq!(duties.in_progress().count(), 1);
    /// duties.insert("move/m-1", 8, Duty { stage: "done".to_owned(), ..Duty::default() });
    /// assert_eq!(duties.in_progress().count(), 0);
    /// ```
    pub fn insert(&mut self, key: &str, version: u64, duty: Duty) {
        self.revision += 1;
        if duty.is_in_progress() {
            self.in_progress.insert(key.to_owned());
        } else {
            self.in_progress.swap_remove(key);
        }
        self.rows.insert(key.to_owned(), (version, duty));
    }

    /// Removes a row.
    pub fn remove(&mut self, key: &str) {
        self.revision += 1;
        self.in_progress.swap_remove(key);
        self.rows.swap_remove(key);
    }

    /// Removes all rows.
    pub fn clear(&mut self) {
        *self = Self { revision: self.revision + 1, ..Self::default() };
    }

    /// Applies a row from the table unless a newer version was applied; `force` applies it in any
    /// case.
    ///
    /// # Errors
    ///
    /// Returns a description of a row that can't be decoded; the former content is kept.
    pub fn apply(&mut self, row: &Row, force: bool) -> Result<(), String> {
        let key = &row.place.key;
        let newer = self.rows.get(key).is_none_or(|(version, _)| *version < row.version);
        if !newer && !force {
            return Ok(());
        }
        match row.value.as_deref().map(rows::decode::<Duty>) {
            Some(Ok(duty)) => self.insert(key, row.version, duty),
            None => self.remove(key),
            Some(Err(error)) => return Err(format!("{key}: {error}")),
        }
        Ok(())
    }
}

/// Change of a duty's row.
#[derive(Debug, Clone)]
pub struct DutyChange {
    /// Place of the row.
    pub place: Place,
    /// Version that the row must have; 0 if it must not exist.
    pub version: u64,
    /// New content; `None` removes the row.
    pub duty: Option<Duty>,
}

/// Result of [`write()`].
#[derive(Debug, Default)]
pub struct Written {
    /// Keys of the rows that were written.
    pub keys: IndexSet<String>,
    /// Failures other than rows that another process has changed.
    pub errors: Vec<String>,
}

/// Writes changes in as few transactions as possible, and applies them to `duties`.
///
/// A row that another process has changed is applied to `duties` instead; the other changes of its
/// transaction are written without it.
pub async fn write(
    store: &dyn Store,
    duties: &RefCell<Duties>,
    changes: Vec<DutyChange>,
) -> Written {
    let mut parts: IndexMap<String, Vec<DutyChange>> = IndexMap::new();
    for change in changes {
        parts.entry(change.place.part.clone()).or_default().push(change);
    }
    let batches = parts.values().flat_map(|changes| changes.chunks(CHANGES_PER_TRANSACTION));
    let mut all = Written::default();
    for written in join_all(batches.map(|batch| write_batch(store, duties, batch.to_vec()))).await {
        all.keys.extend(written.keys);
        all.errors.extend(written.errors);
    }
    all
}

async fn write_batch(
    store: &dyn Store,
    duties: &RefCell<Duties>,
    mut changes: Vec<DutyChange>,
) -> Written {
    let mut written = Written::default();
    while !changes.is_empty() {
        let mut transaction = Transaction::default();
        for change in &changes {
            transaction.expect.push((change.place.clone(), change.version));
            match &change.duty {
                Some(duty) => {
                    transaction.writes.push((change.place.clone(), rows::encode(duty)));
                }
                None => transaction.removes.push(change.place.clone()),
            }
        }
        let applied = tokio::time::timeout(WRITE_TIMEOUT, store.apply(&transaction)).await;
        let applied = applied.unwrap_or_else(|_| {
            Err(TransactionError::Unknown { detail: "no response in time".to_owned() })
        });
        match applied {
            Ok(done) => {
                let mut duties = duties.borrow_mut();
                for change in changes {
                    match change.duty {
                        Some(duty) => duties.insert(&change.place.key, done.version, duty),
                        None => duties.remove(&change.place.key),
                    }
                    written.keys.insert(change.place.key);
                }
                return written;
            }
            Err(TransactionError::Conflict { rows }) => {
                let count = changes.len();
                let mut duties = duties.borrow_mut();
                changes.retain(|change| {
                    let current = rows.iter().find(|row| row.place == change.place);
                    // A row that does not exist may be left out of the response.
                    if current.is_none() && change.version > 0 {
                        duties.remove(&change.place.key);
                    }
                    current.map_or(0, |row| row.version) == change.version
                });
                written.errors.extend(rows.iter().filter_map(|row| duties.apply(row, true).err()));
                if changes.len() == count {
                    written.errors.push("conflict without a changed row".to_owned());
                    return written;
                }
            }
            Err(error) => {
                written.errors.push(error.to_string());
                return written;
            }
        }
    }
    written
}
