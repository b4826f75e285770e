//! Table of the platform stand-in: versioned rows and conditional transactions.

use std::collections::{BTreeMap, HashMap};

use platform::wire::{CommitRequest, ReadRequest, Rows, WireRow};

/// Rows, and the results of earlier transactions by their ids.
#[derive(Debug, Default)]
pub struct Table {
    /// Version and value by key.
    rows: BTreeMap<String, (u64, String)>,
    /// Version of the latest commit.
    version: u64,
    /// Version of each commit by transaction id, for repeated requests.
    committed: HashMap<String, u64>,
    /// Number of reads so far.
    pub reads: u64,
    /// Number of rows that these reads returned.
    pub rows_read: u64,
    /// Number of commits so far.
    pub writes: u64,
}

impl Table {
    /// Reads rows by key, by prefix or both.
    pub fn read(&mut self, request: &ReadRequest) -> Rows {
        self.reads += 1;
        let mut rows: Vec<WireRow> = request.keys.iter().map(|key| self.row(key)).collect();
        if let Some(prefix) = &request.prefix {
            let from = self.rows.range(prefix.clone()..);
            let found = from.take_while(|(key, _)| key.starts_with(prefix.as_str()));
            rows.extend(found.map(|(key, (version, value))| WireRow {
                key: key.clone(),
                version: *version,
                value: value.clone(),
            }));
        }
        self.rows_read += rows.len() as u64;
        Rows { rows }
    }

    /// Commits a transaction and returns its version.
    ///
    /// A repeated transaction id has no further effect and returns the same version.
    ///
    /// # Examples
    ///
    /// ```
    /// use platform::wire::CommitRequest;
    /// let mut table = standin::table::Table::default();
    /// let put = CommitRequest {
    ///     id: "w1".into(),
    ///     expect: vec![("a".into(), 0)],
    ///     puts: vec![("a".into(), "1".into())],
    ///     removes: vec![],
    /// };
    /// assert_eq!(table.commit(&put).unwrap(), 1);
    /// assert_eq!(table.commit(&put).unwrap(), 1, "the same write has no second effect");
    /// let other = CommitRequest { id: "w2".into(), ..put };
    /// assert_eq!(table.commit(&other).unwrap_err().rows[0].version, 1);
    /// ```
    ///
    /// # Errors
    ///
    /// Returns the current rows whose versions differ from the expected ones.
    pub fn commit(&mut self, request: &CommitRequest) -> Result<u64, Rows> {
        if let Some(version) = self.committed.get(&request.id) {
            return Ok(*version);
        }
        let rows: Vec<WireRow> = request.expect.iter().map(|(key, _)| self.row(key)).collect();
        let failed = rows.into_iter().zip(&request.expect);
        let failed: Vec<WireRow> = failed
            .filter(|(row, (_, version))| row.version != *version)
            .map(|(row, _)| row)
            .collect();
        if !failed.is_empty() {
            return Err(Rows { rows: failed });
        }
        self.version += 1;
        self.writes += 1;
        for (key, value) in &request.puts {
            self.rows.insert(key.clone(), (self.version, value.clone()));
        }
        for key in &request.removes {
            self.rows.remove(key);
        }
        self.committed.insert(request.id.clone(), self.version);
        Ok(self.version)
    }

    fn row(&self, key: &str) -> WireRow {
        let (version, value) = self.rows.get(key).cloned().unwrap_or_default();
        WireRow { key: key.to_owned(), version, value }
    }
}
