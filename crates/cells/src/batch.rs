//! Packs row changes into transactions that the table accepts.
//!
//! Load pattern: the jobs of a part change together, some of them in rows of sixty kilobytes. A
//! transaction has a largest number of entries and a largest size, whatever the number of jobs.

use crate::ports::{Place, Transaction};

/// Most entries of a transaction, which conditions, writes and removals count as.
pub const MAX_ENTRIES: usize = 100;
/// Largest size of a transaction as it is sent, in bytes; a tenth below what the table accepts.
pub const MAX_TRANSACTION_BYTES: usize = 900_000;
/// Size of an entry apart from its names and its value, in bytes.
const ENTRY_BYTES: usize = 80;

/// Row changes that go into the same transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Unit {
    /// Rows to write.
    pub writes: Vec<(Place, Vec<u8>)>,
    /// Rows to remove.
    pub removes: Vec<Place>,
}

impl Unit {
    /// Number of entries.
    fn entries(&self) -> usize {
        self.writes.len() + self.removes.len()
    }

    /// Size as it is sent, in bytes.
    fn bytes(&self) -> usize {
        let place =
            |place: &Place| place.table.len() + place.part.len() + place.key.len() + ENTRY_BYTES;
        let write = |(to, value): &(Place, Vec<u8>)| place(to) + value.len().div_ceil(3) * 4;
        self.writes.iter().map(write).sum::<usize>() + self.removes.iter().map(place).sum::<usize>()
    }

    /// Adds the changes to a transaction.
    pub fn add_to(&self, transaction: &mut Transaction) {
        transaction.writes.extend(self.writes.iter().cloned());
        transaction.removes.extend(self.removes.iter().cloned());
    }
}

/// Joins units, in their order, as far as a transaction with `reserved` other entries accepts them.
///
/// A unit that is too large by itself is not split.
///
/// # Examples
///
/// ```
/// use cells::batch::{Unit, pack};
/// use cells::ports::Place;
/// let unit = |key: &str, bytes| Unit {
///     writes: vec![(Place::new("t", "p", key), vec![0; bytes])],
///     removes: Vec::new(),
/// };
/// let units = vec![unit("a", 400_000), unit("b", 400_000), unit("c", 10)];
/// let sizes: Vec<usize> = pack(units, 2).iter().map(|unit| unit.writes.len()).collect();
/// assert_eq!(sizes, [1, 2]);
/// ```
pub fn pack(units: Vec<Unit>, reserved: usize) -> Vec<Unit> {
    let mut packed: Vec<Unit> = Vec::new();
    let (mut entries, mut bytes) = (0, 0);
    for unit in units {
        entries += unit.entries();
        bytes += unit.bytes();
        match packed.last_mut() {
            Some(last) if entries + reserved <= MAX_ENTRIES && bytes <= MAX_TRANSACTION_BYTES => {
                last.writes.extend(unit.writes);
                last.removes.extend(unit.removes);
            }
            _ => {
                (entries, bytes) = (unit.entries(), unit.bytes());
                packed.push(unit);
            }
        }
    }
    packed
}
