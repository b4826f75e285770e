//! Traits for the services of the platform, and the types of their arguments and results.

use std::time::Duration;

use futures_util::future::LocalBoxFuture;

use crate::error::{CommitError, Error};
use fleet::ListedInstance;

/// Row of the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Key, with its parts separated by `/`.
    pub key: String,
    /// Number of the commit that wrote the row; 0 if the row is absent.
    pub version: u64,
    /// JSON text; empty if the row is absent.
    pub value: String,
}

/// Atomic transaction: either all of its rows are written and removed, or none.
#[derive(Debug, Clone, Default)]
pub struct Txn {
    /// Id of the transaction; a repetition with the same id has no further effect.
    pub id: String,
    /// Conditions: keys and the versions that the rows must have; 0 if a row must be absent.
    pub expect: Vec<(String, u64)>,
    /// Rows to write, as keys and JSON texts.
    pub puts: Vec<(String, String)>,
    /// Keys of the rows to remove.
    pub removes: Vec<String>,
}

impl Txn {
    /// Creates an empty transaction; the id must be unique.
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

    /// Adds the condition that a row has a version, or is absent if the version is 0.
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

/// Transactional table of the platform.
pub trait Table {
    /// Reads rows by key, in the order of `keys`; absent rows are returned with version 0.
    fn read<'a>(&'a self, keys: &'a [String]) -> LocalBoxFuture<'a, Result<Vec<Row>, Error>>;

    /// Reads all rows whose keys begin with a prefix, in the order of their keys.
    fn scan<'a>(&'a self, prefix: &'a str) -> LocalBoxFuture<'a, Result<Vec<Row>, Error>>;

    /// Commits a transaction and returns the number of the commit.
    ///
    /// Without a conclusive answer, the attempt is repeated with the same id, for at most `limit`.
    fn commit<'a>(
        &'a self,
        txn: &'a Txn,
        limit: Duration,
    ) -> LocalBoxFuture<'a, Result<u64, CommitError>>;
}

/// Instance list with the entity tag that identifies its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaggedList {
    /// Entity tag of this version.
    pub etag: String,
    /// Entries of the list.
    pub entries: Vec<ListedInstance>,
}

/// Instance lists, and orders for instances.
pub trait Instances {
    /// Reads the instance list of a data centre, which may be out of date.
    ///
    /// Returns `None` if the list still has the entity tag `etag`; an empty tag matches no list.
    fn list<'a>(
        &'a self,
        centre: &'a str,
        etag: &'a str,
    ) -> LocalBoxFuture<'a, Result<Option<TaggedList>, Error>>;

    /// Orders an instance to accept no new work.
    ///
    /// The platform refuses the order if the instance has another incarnation, so that a delayed
    /// order has no effect.
    fn drain<'a>(&'a self, id: &'a str, incarnation: u64) -> LocalBoxFuture<'a, Result<(), Error>>;

    /// Orders an idle instance to reboot into a pool.
    ///
    /// As for [`Instances::drain`], the incarnation must match.
    fn reboot<'a>(
        &'a self,
        id: &'a str,
        incarnation: u64,
        pool: &'a str,
    ) -> LocalBoxFuture<'a, Result<(), Error>>;
}

/// Object store of the platform.
pub trait Objects {
    /// Stores an object.
    fn store<'a>(&'a self, name: &'a str, body: String) -> LocalBoxFuture<'a, Result<(), Error>>;

    /// Lists the names of the objects that begin with a prefix.
    fn names<'a>(&'a self, prefix: &'a str) -> LocalBoxFuture<'a, Result<Vec<String>, Error>>;

    /// Reads an object.
    fn fetch<'a>(&'a self, name: &'a str) -> LocalBoxFuture<'a, Result<String, Error>>;
}
