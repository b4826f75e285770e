//! A map whose entries only ever get newer.

use indexmap::IndexMap;

/// Values by name, each with the stamp it was written under; a removed one leaves a tombstone.
#[derive(Debug, Clone)]
pub struct VersionedMap<T> {
    entries: IndexMap<String, (u64, Option<T>)>,
    mark: u64,
    changes: u64,
}

impl<T> Default for VersionedMap<T> {
    fn default() -> Self {
        Self { entries: IndexMap::new(), mark: 0, changes: 0 }
    }
}

impl<T> VersionedMap<T> {
    /// Takes a value in when its stamp is higher than the one held; true when it was.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut versions = peer::VersionedMap::default();
    /// assert!(versions.apply("stcn", 2, None));
    /// assert!(!versions.apply("stcn", 1, Some("late")), "a tombstone stays");
    /// assert!(versions.live().next().is_none());
    /// ```
    pub fn apply(&mut self, name: &str, stamp: u64, value: Option<T>) -> bool {
        match self.entries.get_mut(name) {
            Some((held, _)) if *held >= stamp => return false,
            Some(entry) => *entry = (stamp, value),
            None => drop(self.entries.insert(name.to_owned(), (stamp, value))),
        }
        self.changes += 1;
        true
    }

    /// Stamp up to which every entry is held.
    pub fn watermark(&self) -> u64 {
        self.mark
    }

    /// Notes that every entry with a stamp up to `mark` is held.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut versions = peer::VersionedMap::<u8>::default();
    /// versions.advance_watermark(7);
    /// versions.advance_watermark(3);
    /// assert_eq!(versions.watermark(), 7);
    /// ```
    pub fn advance_watermark(&mut self, mark: u64) {
        self.mark = self.mark.max(mark);
    }

    /// Highest stamp among the entries.
    pub fn highest_stamp(&self) -> u64 {
        self.entries.values().map(|(stamp, _)| *stamp).max().unwrap_or_default()
    }

    /// Count of the values that were taken in, which tells whether anything changed.
    pub fn change_count(&self) -> u64 {
        self.changes
    }

    /// Looks a value up that was not removed.
    pub fn find(&self, name: &str) -> Option<&T> {
        self.entries.get(name).and_then(|(_, value)| value.as_ref())
    }

    /// Stamp of a value or of its tombstone; 0 when there is neither.
    pub fn stamp(&self, name: &str) -> u64 {
        self.entries.get(name).map_or(0, |(stamp, _)| *stamp)
    }

    /// Values that were not removed.
    pub fn live(&self) -> impl Iterator<Item = (&str, u64, &T)> {
        self.entries.iter().filter_map(|(name, (stamp, value))| {
            value.as_ref().map(|value| (name.as_str(), *stamp, value))
        })
    }

    /// Entries with a stamp above `stamp`, tombstones included.
    pub fn since(&self, stamp: u64) -> impl Iterator<Item = (&str, u64, Option<&T>)> {
        self.entries
            .iter()
            .filter(move |(_, (held, _))| *held > stamp)
            .map(|(name, (held, value))| (name.as_str(), *held, value.as_ref()))
    }
}
