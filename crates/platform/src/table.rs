//! What the product asks of the platform, as traits.

use std::time::Duration;

use futures_util::future::LocalBoxFuture;

use crate::error::{CommitError, Error};
use fleet::ListedInstance;

/// One row of the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Key, with `/` between its parts.
    pub key: String,
    /// Number of the commit that wrote it; 0 stands for a row that is not there.
    pub version: u64,
    /// JSON text; empty for a row that is not there.
    pub value: String,
}

/// A transaction: all of its rows are written, or none.
#[derive(Debug, Clone, Default)]
pub struct Txn {
    /// Id of this write; a repeat with the same id has no second effect.
    pub id: String,
    /// Versions that the rows must still have; 0 for a row that must not be there.
    pub expect: Vec<(String, u64)>,
    /// Rows to write.
    pub puts: Vec<(String, String)>,
    /// Rows to remove.
    pub removes: Vec<String>,
}

impl Txn {
    /// Begins a transaction with an id of its own.
    ///
    /// # Examples
    ///
    /// ```
    /// let txn = platform::Txn::new("w1").expect("a", 0).put("a", "1".to_owned());
    /// assert_eq!(txn.puts.len(), 1);
    /// ```
    pub fn new(id: impl Into<String>) -> Self {
        Self { id: id.into(), ..Self::default() }
    }

    /// Adds a condition.
    #[must_use]
    pub fn expect(mut self, key: impl Into<String>, version: u64) -> Self {
        self.expect.push((key.into(), version));
        self
    }

    /// Adds a row to write.
    #[must_use]
    pub fn put(mut self, key: impl Into<String>, value: String) -> Self {
        self.puts.push((key.into(), value));
        self
    }

    /// Adds a row to remove.
    #[must_use]
    pub fn remove(mut self, key: impl Into<String>) -> Self {
        self.removes.push(key.into());
        self
    }
}

/// The transactional table.
pub trait Table {
    /// Reads rows by key; absent rows come back with version 0.
    fn read<'a>(&'a self, keys: &'a [String]) -> LocalBoxFuture<'a, Result<Vec<Row>, Error>>;

    /// Reads all rows whose keys begin with a prefix, in key order.
    fn scan<'a>(&'a self, prefix: &'a str) -> LocalBoxFuture<'a, Result<Vec<Row>, Error>>;

    /// Commits, repeating under the same id while the answer is missing, for `limit` at most.
    ///
    /// Gives the number of the commit.
    fn commit<'a>(
        &'a self,
        txn: &'a Txn,
        limit: Duration,
    ) -> LocalBoxFuture<'a, Result<u64, CommitError>>;
}

/// A list and the tag that tells it from other versions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaggedList {
    /// Tag of this version.
    pub etag: String,
    /// Lines of the list.
    pub entries: Vec<ListedInstance>,
}

/// The instance list and the orders that instances take.
pub trait Instances {
    /// Reads the lagging list of a data centre; none when it is still the one tagged `known`.
    fn list<'a>(
        &'a self,
        centre: &'a str,
        known: &'a str,
    ) -> LocalBoxFuture<'a, Result<Option<TaggedList>, Error>>;

    /// Tells an incarnation of an instance to take no new work.
    ///
    /// An order for another incarnation is refused, so that a late one changes nothing.
    fn drain<'a>(&'a self, id: &'a str, incarnation: u64) -> LocalBoxFuture<'a, Result<(), Error>>;

    /// Tells an idle incarnation of an instance to reboot into a pool.
    fn reboot<'a>(
        &'a self,
        id: &'a str,
        incarnation: u64,
        pool: &'a str,
    ) -> LocalBoxFuture<'a, Result<(), Error>>;
}

/// The object store.
pub trait Objects {
    /// Stores an object.
    fn store<'a>(&'a self, name: &'a str, body: String) -> LocalBoxFuture<'a, Result<(), Error>>;

    /// Lists names that begin with a prefix.
    fn names<'a>(&'a self, prefix: &'a str) -> LocalBoxFuture<'a, Result<Vec<String>, Error>>;

    /// Fetches an object.
    fn fetch<'a>(&'a self, name: &'a str) -> LocalBoxFuture<'a, Result<String, Error>>;
}
