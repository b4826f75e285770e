//! The table: versioned rows and conditional transactions.

use std::collections::{BTreeMap, HashMap};

use platform::wire::{CommitRequest, ReadRequest, Rows, WireRow};

/// Rows and the ids of the writes that made them.
#[derive(Debug, Default)]
pub struct Table {
    rows: BTreeMap<String, (u64, String)>,
    commits: u64,
    settled: HashMap<String, u64>,
    /// Reads answered so far.
    pub reads: u64,
    /// Rows given in these reads.
    pub rows_read: u64,
    /// Commits taken so far.
    pub writes: u64,
}

impl Table {
    /// Answers a read or a scan.
    pub fn read(&mut self, ask: &ReadRequest) -> Rows {
        self.reads += 1;
        let mut rows: Vec<WireRow> = ask.keys.iter().map(|key| self.row(key)).collect();
        if let Some(prefix) = &ask.prefix {
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

    /// Commits a transaction, or gives the rows whose conditions failed.
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
    /// The rows whose conditions failed, as they are.
    pub fn commit(&mut self, ask: &CommitRequest) -> Result<u64, Rows> {
        if let Some(version) = self.settled.get(&ask.id) {
            return Ok(*version);
        }
        let rows: Vec<WireRow> = ask.expect.iter().map(|(key, _)| self.row(key)).collect();
        let failed = rows.into_iter().zip(&ask.expect);
        let failed: Vec<WireRow> = failed
            .filter(|(row, (_, version))| row.version != *version)
            .map(|(row, _)| row)
            .collect();
        if !failed.is_empty() {
            return Err(Rows { rows: failed });
        }
        self.commits += 1;
        self.writes += 1;
        for (key, value) in &ask.puts {
            self.rows.insert(key.clone(), (self.commits, value.clone()));
        }
        for key in &ask.removes {
            self.rows.remove(key);
        }
        self.settled.insert(ask.id.clone(), self.commits);
        Ok(self.commits)
    }

    fn row(&self, key: &str) -> WireRow {
        let (version, value) = self.rows.get(key).cloned().unwrap_or_default();
        WireRow { key: key.to_owned(), version, value }
    }
}
