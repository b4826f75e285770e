//! Map whose entries are replaced only by newer versions.

use indexmap::IndexMap;

/// Values by name, each with the stamp of the write that set it.
///
/// A stamp is a number that increases with every write, such as a revision or a row version. A
/// removed value leaves a tombstone with its stamp, so that an older write cannot bring it back.
#[derive(Debug, Clone)]
pub struct VersionedMap<T> {
    entries: IndexMap<String, (u64, Option<T>)>,
    watermark: u64,
    change_count: u64,
}

impl<T> Default for VersionedMap<T> {
    fn default() -> Self {
        Self { entries: IndexMap::new(), watermark: 0, change_count: 0 }
    }
}

impl<T> VersionedMap<T> {
    /// Sets a value, or a tombstone for `None`, if its stamp is higher than the existing one.
    ///
    /// Returns whether the entry changed.
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
        self.change_count += 1;
        true
    }

    /// Returns the stamp up to which the map has every write.
    pub fn watermark(&self) -> u64 {
        self.watermark
    }

    /// Raises the watermark to a stamp up to which the map has every write.
    ///
    /// A lower stamp has no effect.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut versions = peer::VersionedMap::<u8>::default();
    /// versions.advance_watermark(7);
    /// versions.advance_watermark(3);
    /// assert_eq!(versions.watermark(), 7);
    /// ```
    pub fn advance_watermark(&mut self, watermark: u64) {
        self.watermark = self.watermark.max(watermark);
    }

    /// Returns the highest stamp of the entries, or 0 if there are none.
    pub fn highest_stamp(&self) -> u64 {
        self.entries.values().map(|(stamp, _)| *stamp).max().unwrap_or_default()
    }

    /// Returns the number of changes so far, which shows whether any entry has changed.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Returns a value, unless it is absent or removed.
    pub fn find(&self, name: &str) -> Option<&T> {
        self.entries.get(name).and_then(|(_, value)| value.as_ref())
    }

    /// Returns the stamp of a value or of its tombstone, or 0 if there is neither.
    pub fn stamp(&self, name: &str) -> u64 {
        self.entries.get(name).map_or(0, |(stamp, _)| *stamp)
    }

    /// Returns the names, stamps and values of the entries that are not removed.
    pub fn live(&self) -> impl Iterator<Item = (&str, u64, &T)> {
        self.entries.iter().filter_map(|(name, (stamp, value))| {
            value.as_ref().map(|value| (name.as_str(), *stamp, value))
        })
    }

    /// Returns the entries with a stamp above `stamp`, including tombstones.
    pub fn since(&self, stamp: u64) -> impl Iterator<Item = (&str, u64, Option<&T>)> {
        self.entries
            .iter()
            .filter(move |(_, (held, _))| *held > stamp)
            .map(|(name, (held, value))| (name.as_str(), *held, value.as_ref()))
    }
}
