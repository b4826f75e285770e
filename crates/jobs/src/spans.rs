//! Sets of numbers that are mostly consecutive.

use std::collections::BTreeMap;

/// A set of numbers, kept as spans of consecutive ones.
///
/// # Examples
///
/// ```
/// use jobs::spans::Spans;
/// let mut spans = Spans::default();
/// [3, 5, 4, 9].into_iter().for_each(|n| spans.insert(n, n));
/// assert_eq!(spans.iter().collect::<Vec<_>>(), [(3, 5), (9, 9)]);
/// assert!(spans.contains(4) && !spans.contains(6));
/// assert_eq!(spans.take_from(3), 6);
/// assert_eq!(spans.iter().collect::<Vec<_>>(), [(9, 9)]);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Spans {
    /// Last number of each span, by its first.
    ends: BTreeMap<u32, u32>,
}

impl Spans {
    /// Adds the numbers from `first` to `last`.
    pub fn insert(&mut self, first: u32, last: u32) {
        let (mut first, mut last) = (first, last.max(first));
        // A span may begin before the numbers and end within them or just ahead of them.
        if let Some((start, end)) = self.ends.range(..=first).next_back()
            && end.saturating_add(1) >= first
        {
            (first, last) = (*start, last.max(*end));
        }
        while let Some((start, end)) = self.ends.range(first..=last.saturating_add(1)).next() {
            let (start, end) = (*start, *end);
            last = last.max(end);
            self.ends.remove(&start);
        }
        self.ends.insert(first, last);
    }

    /// Whether a number is in the set.
    pub fn contains(&self, n: u32) -> bool {
        self.last_of(n).is_some()
    }

    /// Returns the last number of the span that a number is in.
    pub fn last_of(&self, n: u32) -> Option<u32> {
        let (_, last) = self.ends.range(..=n).next_back()?;
        (n <= *last).then_some(*last)
    }

    /// Removes all numbers below `n`, and those that follow it without a gap; returns the first number
    /// from `n` on that is not in the set.
    pub fn take_from(&mut self, n: u32) -> u32 {
        let mut next = n;
        while let Some((first, last)) = self.ends.first_key_value()
            && *first <= next
        {
            next = next.max(last.saturating_add(1));
            self.ends.pop_first();
        }
        next
    }

    /// Returns the first and the last number of each span, in ascending order.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (u32, u32)> {
        self.ends.iter().map(|(first, last)| (*first, *last))
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Number of numbers from `first` to `last` that are in the set.
    pub fn count_within(&self, first: u32, last: u32) -> u64 {
        let within = |(a, b): (u32, u32)| {
            let (a, b) = (a.max(first), b.min(last));
            if a <= b { u64::from(b - a) + 1 } else { 0 }
        };
        self.iter().map(within).sum()
    }
}

impl FromIterator<(u32, u32)> for Spans {
    fn from_iter<T: IntoIterator<Item = (u32, u32)>>(spans: T) -> Self {
        let mut all = Self::default();
        spans.into_iter().for_each(|(first, last)| all.insert(first, last));
        all
    }
}
