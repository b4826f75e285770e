//! Grants of organisations: what a cell may use of their limits.
//!
//! The grants of all cells are in a few rows, each for a group of organisations. The holder of a
//! cell changes only the entries of its own cell, in a transaction that expects the rows as it has
//! read them. So the sum of the grants is checked against what the table holds, and one transaction
//! can change the grants of many organisations.
//!
//! Load pattern: demand moves from cell to cell every few seconds, and most limits are not reached.
//! Holders write only if a decision changes, at most every [`MIN_WRITE_INTERVAL_MS`]. Two holders
//! that write at the same time have one conflict, which returns the new row; the loser decides again
//! at once.
//!
//! [`Exchange`] has neither I/O nor a clock. The holder of a cell passes in the rows that it reads
//! and the results of its writes.

use std::borrow::Cow;

use indexmap::{IndexMap, IndexSet};
use jobs::Resources;
use jobs::quota::{Decision, Entry, Need, Situation, decide, smaller, within_limit};

use crate::keys;
use crate::ports::{Committed, Row, Transaction, TransactionError};
use crate::rows::{self, Grant, GrantRow};

/// Minimum time between two writes of a cell's grants, unless the first had a conflict, in
/// milliseconds. All cells write to one part, which takes 150 transactions a second.
pub const MIN_WRITE_INTERVAL_MS: u64 = 100;
/// Pause after a write that failed or whose outcome is unknown, in milliseconds.
const RETRY_PAUSE_MS: u64 = 150;
/// Time for which a grant must have been excessive before the excess is returned unasked, in
/// milliseconds. It is a quarter of a peak, so that pauses within a peak do not change grants.
const EXCESS_MS: u64 = 1_000;

/// A row with grants as last read.
#[derive(Debug, Default)]
struct KnownRow {
    version: u64,
    /// Content; `None` if the row can't be decoded or was removed.
    content: Option<GrantRow>,
    /// Grants of this cell in the last content that could be decoded, if this holder had written
    /// its epoch there and the cell was not awaited. Entries of an awaited cell do not tell yet what
    /// former holders started.
    kept: Option<IndexMap<String, Resources>>,
    /// Cells that the last content that could be decoded names.
    cells: IndexSet<String>,
}

/// A write without a known result, or with an unknown outcome.
#[derive(Debug)]
struct OpenWrite {
    /// Expected version and proposed content, by number of the row.
    rows: IndexMap<u64, (u64, GrantRow)>,
    /// Whether a result is still expected.
    in_flight: bool,
}

/// What a holder knows when it decides about its cell's grants.
#[derive(Debug, Clone, Copy)]
pub struct Circumstances<'a> {
    /// Limits of the organisations that have one.
    pub limits: &'a IndexMap<String, Resources>,
    /// Needs of these organisations in the cell.
    pub needs: &'a IndexMap<String, Need>,
    /// Capacity of the cell's executors.
    pub capacity: Resources,
    /// Whether all runs are known that former holders may have started.
    pub settled: bool,
    /// Number of the turn, which all holders count alike.
    pub turn: u64,
    /// Cells of the configuration.
    pub configured: &'a IndexSet<String>,
    /// Cells that are not in the configuration and have no holder.
    pub abandoned: &'a IndexSet<String>,
}

/// What reading a row has shown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Observation {
    /// Nothing of note.
    Normal,
    /// A later holder of the cell has written to the row.
    Superseded,
    /// The row can't be decoded, with the error.
    Unreadable(String),
}

/// Exchange of grants between one holder of a cell and the others.
#[derive(Debug)]
pub struct Exchange {
    cell: String,
    epoch: u64,
    rows: IndexMap<u64, KnownRow>,
    open: Vec<OpenWrite>,
    /// Time of the next write, in milliseconds.
    next_write_at: u64,
    /// Time since which grants have been excessive, in milliseconds, by organisation.
    excessive_since: IndexMap<String, u64>,
    /// Amounts up to which tasks may start, by organisation.
    start_limits: IndexMap<String, Resources>,
}

impl Exchange {
    /// Creates the exchange of a cell's holder, which has read nothing yet.
    ///
    /// # Examples
    ///
    /// ```
    /// use cells::allowance::{Circumstances, Exchange};
    /// use cells::ports::Committed;
    /// use indexmap::{IndexMap, IndexSet};
    /// use jobs::Resources;
    /// use jobs::quota::Need;
    /// let amount = |cpu| Resources { cpu, ..Resources::default() };
    /// let limits = IndexMap::from([("a".to_owned(), amount(16_000))]);
    /// let need = Need { waiting: amount(8_000), ..Need::default() };
    /// let (cells, none) = (IndexSet::from(["x".to_owned()]), IndexSet::new());
    /// let circumstances = Circumstances {
    ///     limits: &limits,
    ///     needs: &IndexMap::from([("a".to_owned(), need)]),
    ///     capacity: amount(64_000),
    ///     settled: true,
    ///     turn: 0,
    ///     configured: &cells,
    ///     abandoned: &none,
    /// };
    /// let mut exchange = Exchange::new("x", 7);
    /// exchange.complete_read();
    /// assert_eq!(exchange.grants(&limits)["a"], amount(0));
    /// let write = exchange.propose(&circumstances, 0).unwrap();
    /// assert_eq!(write.expect.len(), 1);
    /// exchange.settle(Ok(Committed { version: 1, clock: 0 }), 10);
    /// assert_eq!(exchange.grants(&limits)["a"], amount(11_000));
    /// ```
    pub fn new(cell: &str, epoch: u64) -> Self {
        Self {
            cell: cell.to_owned(),
            epoch,
            rows: IndexMap::new(),
            open: Vec::new(),
            next_write_at: 0,
            excessive_since: IndexMap::new(),
            start_limits: IndexMap::new(),
        }
    }

    /// Records that all existing rows have been passed to [`Self::observe`].
    pub fn complete_read(&mut self) {
        for number in 0..keys::GRANT_ROWS {
            self.rows.entry(number).or_insert_with(|| KnownRow {
                content: Some(GrantRow::default()),
                ..KnownRow::default()
            });
        }
    }

    /// Updates a row, unless a newer version of it is known.
    pub fn observe(&mut self, row: &Row) -> Observation {
        let number = (0..keys::GRANT_ROWS).find(|n| keys::grants(*n) == row.place);
        let Some(number) = number else { return Observation::Normal };
        let known = self.rows.entry(number).or_default();
        // A conflict returns a row that has been removed with version 0.
        let removed = row.version == 0 && known.version > 0;
        if row.version <= known.version && !removed {
            return Observation::Normal;
        }
        let decoded = match &row.value {
            Some(value) => rows::decode::<GrantRow>(value),
            None => Err("the row was removed".to_owned()),
        };
        known.version = if row.value.is_some() { row.version } else { 0 };
        match decoded {
            Ok(content) => {
                if content.epochs.get(&self.cell).is_some_and(|epoch| *epoch > self.epoch) {
                    return Observation::Superseded;
                }
                self.set_content(number, content);
                Observation::Normal
            }
            Err(error) => {
                known.content = None;
                self.lower_kept(number);
                Observation::Unreadable(error)
            }
        }
    }

    /// Records the content of a row, and the grants of this cell there.
    fn set_content(&mut self, number: u64, content: GrantRow) {
        if content.epochs.get(&self.cell) != Some(&self.epoch) {
            self.lower_kept(number);
        }
        let Some(known) = self.rows.get_mut(&number) else { return };
        let is_awaited = content.awaited.contains(&self.cell);
        if content.epochs.get(&self.cell) == Some(&self.epoch) && !is_awaited {
            let own =
                |name: &String| Some((name.clone(), content.entry(name, &self.cell)?.granted));
            known.kept = Some(content.organisations.keys().filter_map(own).collect());
        } else if !is_awaited {
            // The entries were removed as those of a cell without a holder.
            known.kept = None;
        }
        known.cells = content.cells();
        known.content = Some(content);
        let version = known.version;
        // Writes that expect an earlier version can't be applied any more.
        self.open.retain_mut(|write| {
            write.rows.retain(|n, (expected, _)| *n != number || *expected >= version);
            write.in_flight || !write.rows.is_empty()
        });
    }

    /// Lowers the kept grants to those of the open writes of a row.
    ///
    /// A row that does not show this holder's entries does not show either whether such a write was
    /// applied before, and other cells may have taken what it returned.
    fn lower_kept(&mut self, number: u64) {
        let Some(known) = self.rows.get_mut(&number) else { return };
        let Some(kept) = &mut known.kept else { return };
        for (_, content) in self.open.iter().filter_map(|write| write.rows.get(&number)) {
            for (organisation, granted) in &mut *kept {
                let entry = content.entry(organisation, &self.cell).unwrap_or_default();
                *granted = smaller(*granted, entry.granted);
            }
        }
    }

    /// Returns what each organisation's tasks may use in the cell.
    ///
    /// A grant counts as raised when the write is confirmed, and as lowered when it is sent.
    pub fn grants(&self, limits: &IndexMap<String, Resources>) -> IndexMap<String, Resources> {
        limits.iter().map(|(name, limit)| (name.clone(), self.grant(name, *limit))).collect()
    }

    /// Returns what an organisation's tasks may use in the cell.
    fn grant(&self, organisation: &str, limit: Resources) -> Resources {
        let number = keys::grant_row(organisation);
        let Some(known) = self.rows.get(&number) else { return Resources::default() };
        let kept = known.kept.as_ref().and_then(|kept| kept.get(organisation)).copied();
        let Some(mut granted) = kept else { return Resources::default() };
        for write in &self.open {
            let Some((expected, content)) = write.rows.get(&number) else { continue };
            if *expected == known.version {
                let entry = content.entry(organisation, &self.cell).unwrap_or_default();
                granted = smaller(granted, entry.granted);
            }
        }
        if let Some(start_limit) = self.start_limits.get(organisation) {
            granted = smaller(granted, *start_limit);
        }
        if let Some(content) = &known.content {
            let entries = content.entries(organisation).map(|(_, entry)| entry);
            let (cpu, memory, gpus) = within_limit(limit, entries);
            let keep = |within: bool, amount: u64| if within { amount } else { 0 };
            granted = Resources {
                cpu: keep(cpu, granted.cpu),
                memory: keep(memory, granted.memory),
                gpus: keep(gpus, granted.gpus),
            };
        }
        granted
    }

    /// Returns the transaction that changes this cell's entries; `None` if nothing has to be
    /// written now.
    ///
    /// Its result is to be passed to [`Self::settle`] before the next call.
    pub fn propose(&mut self, now: &Circumstances<'_>, at: u64) -> Option<Transaction> {
        if self.rows.is_empty() || self.open.iter().any(|write| write.in_flight) {
            return None;
        }
        let mut proposals: IndexMap<u64, (u64, GrantRow)> = IndexMap::new();
        let mut decisions = Vec::with_capacity(now.limits.len());
        let numbered: Vec<(u64, &String, Resources)> =
            now.limits.iter().map(|(name, limit)| (keys::grant_row(name), name, *limit)).collect();
        for number in 0..keys::GRANT_ROWS {
            let Some(known) = self.rows.get(&number) else { continue };
            let version = known.version;
            let limits = numbered.iter().filter(|(row, ..)| *row == number);
            let limits: Vec<(&String, Resources)> =
                limits.map(|(_, name, limit)| (*name, *limit)).collect();
            let next = self.next_content(known, &limits, now, at, &mut decisions);
            let unsettled = self.open.iter().any(|write| {
                write.rows.get(&number).is_some_and(|(expected, _)| *expected == version)
            });
            // A write with an unknown outcome may still be applied until another one is.
            let is_same =
                matches!(next, Cow::Borrowed(_)) || known.content.as_ref() == Some(&*next);
            if unsettled || !is_same {
                proposals.insert(number, (version, next.into_owned()));
            }
        }
        for (name, decision) in decisions {
            self.record(name, &decision, at);
        }
        if proposals.is_empty() || at < self.next_write_at {
            return None;
        }
        let mut transaction = Transaction::default();
        for (number, (version, content)) in &proposals {
            let place = keys::grants(*number);
            transaction.expect.push((place.clone(), *version));
            transaction.writes.push((place, rows::encode(content)));
        }
        self.open.push(OpenWrite { rows: proposals, in_flight: true });
        self.next_write_at = at + MIN_WRITE_INTERVAL_MS;
        Some(transaction)
    }

    /// Decides about the entries of this cell in a row, for organisations with these limits, and
    /// returns the row's content with them.
    ///
    /// Most decisions change nothing, so that the content is copied only for a change.
    fn next_content<'s, 'n>(
        &'s self,
        known: &'s KnownRow,
        limits: &[(&'n String, Resources)],
        now: &Circumstances<'n>,
        at: u64,
        decisions: &mut Vec<(&'n String, Decision)>,
    ) -> Cow<'s, GrantRow> {
        let mut content = match &known.content {
            Some(content) => Cow::Borrowed(content),
            None => Cow::Owned(GrantRow {
                awaited: now.configured.union(&known.cells).cloned().collect(),
                ..GrantRow::default()
            }),
        };
        now.abandoned
            .iter()
            .filter(|cell| **cell != self.cell)
            .for_each(|c| content.to_mut().remove_cell(c));
        let is_named = content.epochs.contains_key(&self.cell) || !content.awaited.is_empty();
        if limits.is_empty() && !is_named {
            return content;
        }
        // A holder that has the grants of before records them; a later one knows only the runs.
        let former_epoch = content.epochs.get(&self.cell).copied();
        if former_epoch != Some(self.epoch) {
            content.to_mut().epochs.insert(self.cell.clone(), self.epoch);
        }
        let is_recorded = now.settled || (known.kept.is_some() && former_epoch != Some(self.epoch));
        if is_recorded && content.awaited.contains(&self.cell) {
            content.to_mut().awaited.shift_remove(&self.cell);
        }
        let complete = content.awaited.is_empty();
        let is_unlimited = |(name, cells): (&String, &IndexMap<String, Grant>)| {
            !now.limits.contains_key(name) && cells.contains_key(&self.cell)
        };
        if content.organisations.iter().any(is_unlimited) {
            for (name, cells) in &mut content.to_mut().organisations {
                if !now.limits.contains_key(name) {
                    cells.shift_remove(&self.cell);
                }
            }
        }
        for (name, limit) in limits {
            let own = content.entry(name, &self.cell);
            let kept =
                || Some(Entry { granted: *known.kept.as_ref()?.get(*name)?, ..Entry::default() });
            let (others, position) = self.in_turn(&content, name, now.turn);
            let since = self.excessive_since.get(*name);
            let decision = decide(&Situation {
                limit: *limit,
                own: own.or_else(kept),
                others: &others,
                position,
                need: now.needs.get(*name).copied().unwrap_or_default(),
                capacity: now.capacity,
                complete,
                return_excess: since.is_some_and(|since| at >= since + EXCESS_MS),
            });
            decisions.push((*name, decision));
            if own != Some(decision.entry) {
                let cells = content.to_mut().organisations.entry((*name).clone()).or_default();
                cells.insert(self.cell.clone(), Grant::from(decision.entry));
            }
        }
        if content.organisations.values().any(IndexMap::is_empty) {
            content.to_mut().organisations.retain(|_, cells| !cells.is_empty());
        }
        content
    }

    /// Returns the entries of the other cells in the order of their turns, and the number of them
    /// before this cell.
    fn in_turn(&self, content: &GrantRow, organisation: &str, turn: u64) -> (Vec<Entry>, usize) {
        let mut entries: Vec<(&str, Entry)> = content.entries(organisation).collect();
        if !entries.iter().any(|(cell, _)| *cell == self.cell) {
            entries.push((&self.cell, Entry::default()));
        }
        entries.sort_by_key(|(cell, _)| *cell);
        let first = turn % entries.len() as u64;
        entries.rotate_left(usize::try_from(first).unwrap_or(0));
        let position = entries.iter().position(|(cell, _)| *cell == self.cell).unwrap_or(0);
        entries.remove(position);
        (entries.into_iter().map(|(_, entry)| entry).collect(), position)
    }

    /// Records what a decision means besides the entry to write.
    fn record(&mut self, organisation: &str, decision: &Decision, at: u64) {
        if decision.excessive {
            self.excessive_since.entry(organisation.to_owned()).or_insert(at);
        } else {
            self.excessive_since.swap_remove(organisation);
        }
        self.start_limits.insert(organisation.to_owned(), decision.start_limit);
    }

    /// Records the result of the proposed transaction.
    ///
    /// Returns what the rows of a conflict have shown.
    pub fn settle(
        &mut self,
        result: Result<Committed, TransactionError>,
        at: u64,
    ) -> Vec<Observation> {
        let Some(position) = self.open.iter().position(|write| write.in_flight) else {
            return Vec::new();
        };
        match result {
            Ok(done) => {
                let write = self.open.remove(position);
                for (number, (_, content)) in write.rows {
                    if let Some(known) = self.rows.get_mut(&number)
                        && known.version < done.version
                    {
                        known.version = done.version;
                        self.set_content(number, content);
                    }
                }
                Vec::new()
            }
            Err(TransactionError::Conflict { rows }) => {
                self.open.remove(position);
                self.next_write_at = at;
                rows.iter().map(|row| self.observe(row)).collect()
            }
            Err(TransactionError::Rejected { .. } | TransactionError::Refused { .. }) => {
                self.open.remove(position);
                self.next_write_at = at + RETRY_PAUSE_MS;
                Vec::new()
            }
            Err(TransactionError::Unknown { .. }) => {
                self.open[position].in_flight = false;
                self.next_write_at = at + RETRY_PAUSE_MS;
                Vec::new()
            }
        }
    }

    /// Returns the cells that the rows name; one may be named by several.
    pub fn cells(&self) -> impl Iterator<Item = &str> {
        self.rows.values().flat_map(|row| &row.cells).map(String::as_str)
    }
}
