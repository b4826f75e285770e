//! Rows of a job's progress, each within the size that the table accepts.
//!
//! Load pattern: a job of ten thousand tasks of which thousands have failed once, or are done by
//! turns. A row that lists them all is larger than the table accepts, however often it is written.
//! The progress of a job is one row as long as that is small enough. Beyond that, each block of a
//! fixed number of tasks has a row of its own, and the first row has the positions of the tasks that
//! are done, which is what a process of an earlier version needs most.
//!
//! A task stays in its block, so that each block can be written apart from the others: a write that
//! is interrupted loses nothing that an earlier one has stored. Blocks are therefore written before
//! the first row, and rows that are not used any more are removed after it.

use std::cmp::Reverse;
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::str::FromStr;

use indexmap::{IndexMap, IndexSet};
use jobs::Progress;
use jobs::progress::StepProgress;
use jobs::row::{BlockRow, ProgressRow};

use crate::rows;

/// Size of a row that allows for each task of the first blocks, in bytes; blocks become smaller if
/// theirs are larger.
const BYTES_PER_TASK: usize = 64;
/// Least size to which rows are limited after the table has rejected larger ones, in bytes.
const MIN_ROW_BYTES: usize = 512;
/// Size of a span of finished occurrences in the first row at most, and of the rest of that row, in
/// bytes.
const MAX_SPAN_BYTES: usize = 22;
const MIN_FIRST_ROW_BYTES: usize = 64;
/// Separates a job's id from the block in the key of a row.
const KEY_SEPARATOR: char = '+';

/// A block of the tasks of an occurrence, which are counted over all steps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Block {
    /// Number of the occurrence.
    pub occurrence: u32,
    /// Number of tasks of a block.
    pub size: u32,
    /// Position of the block in its occurrence.
    pub number: u32,
}

impl fmt::Display for Block {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.occurrence, self.size, self.number)
    }
}

impl FromStr for Block {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut numbers = text.split('.').map(|part| part.parse::<u32>().map_err(|_| ()));
        let mut next = || numbers.next().unwrap_or(Err(()));
        let block = Self { occurrence: next()?, size: next()?, number: next()? };
        if numbers.next().is_some() || block.size == 0 { Err(()) } else { Ok(block) }
    }
}

/// Returns the key of the row of a job's block.
///
/// # Examples
///
/// ```
/// use cells::blocks::{Block, key, parse_key};
/// let block = Block { occurrence: 0, size: 1_024, number: 3 };
/// assert_eq!(key("5c0e7a21d94b36f8", block), "5c0e7a21d94b36f8+0.1024.3");
/// assert_eq!(parse_key("5c0e7a21d94b36f8+0.1024.3"), Some(("5c0e7a21d94b36f8", block)));
/// assert_eq!(parse_key("5c0e7a21d94b36f8"), None);
/// ```
pub fn key(id: &str, block: Block) -> String {
    format!("{id}{KEY_SEPARATOR}{block}")
}

/// Returns the job and the block of a row; `None` for a job's first row.
pub fn parse_key(key: &str) -> Option<(&str, Block)> {
    let (id, block) = key.split_once(KEY_SEPARATOR)?;
    Some((id, block.parse().ok()?))
}

/// Rows that a write of a job's progress consists of, in their order.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// Blocks that have changed, with the content of their rows.
    pub blocks: Vec<(Block, Vec<u8>)>,
    /// Content of the first row.
    pub first: Vec<u8>,
    /// Blocks whose rows are to be removed.
    pub removes: Vec<Block>,
}

/// Rows of a job's progress as far as the holder of its cell knows them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Layout {
    /// Number of tasks of a block; 0 while the progress is one row.
    size: u32,
    /// Blocks that may be in the table, with hashes of their rows; 0 for one that is not known.
    stored: IndexMap<Block, u64>,
    /// Size to which rows are limited after the table has rejected larger ones, in bytes; 0 for none.
    limit: usize,
}

impl Layout {
    /// Adds a block that is in the table.
    pub fn add(&mut self, block: Block) {
        // Blocks only become smaller, so that the smallest ones are the latest.
        self.size = if self.size == 0 { block.size } else { self.size.min(block.size) };
        self.stored.insert(block, 0);
    }

    /// Whether the progress is one row, and its limit the usual one.
    pub fn is_single(&self) -> bool {
        *self == Self::default()
    }

    /// Plans the write of a job's progress; `counts` are the numbers of tasks of the job's steps, and
    /// `limit` is the largest row that the table accepts, in bytes.
    pub fn plan(&mut self, progress: &Progress, counts: &[u32], limit: usize) -> Plan {
        let limit = if self.limit == 0 { limit } else { self.limit.min(limit) };
        let listed = list_finished(progress, counts, limit);
        let progress = listed.as_ref().unwrap_or(progress);
        let first = rows::encode(&ProgressRow::from(progress));
        if self.size == 0 {
            if first.len() <= limit {
                return Plan { first, ..Plan::default() };
            }
            self.size = u32::try_from(limit / BYTES_PER_TASK).unwrap_or(u32::MAX).max(1);
        }
        let blocks = loop {
            let blocks = split(progress, counts, self.size);
            if self.size == 1 || blocks.values().all(|row| row.len() <= limit) {
                break blocks;
            }
            self.size /= 2;
        };
        let first = [done_only(progress), without_occurrences(progress)]
            .map(|progress| rows::encode(&ProgressRow::from(&progress)));
        let [done, least] = first;
        let plan = Plan {
            first: if done.len() <= limit { done } else { least },
            removes: self.stored.keys().filter(|b| !blocks.contains_key(*b)).copied().collect(),
            blocks: blocks
                .into_iter()
                .filter(|(block, row)| self.stored.get(block) != Some(&hash(row)))
                .collect(),
        };
        // The outcome of a write may stay unknown.
        self.stored.extend(plan.blocks.iter().map(|(block, _)| (*block, 0)));
        plan
    }

    /// Records that the rows of a plan have been written.
    pub fn record(&mut self, plan: &Plan) {
        self.stored.extend(plan.blocks.iter().map(|(block, row)| (*block, hash(row))));
        let removed: IndexSet<&Block> = plan.removes.iter().collect();
        self.stored.retain(|block, _| !removed.contains(block));
    }

    /// Returns all blocks that may be in the table.
    pub fn blocks(&self) -> impl Iterator<Item = Block> {
        self.stored.keys().copied()
    }

    /// Halves the size of rows after the table has rejected one of a plan; false if they can't be
    /// smaller.
    pub fn shrink(&mut self, plan: &Plan) -> bool {
        let largest = plan.blocks.iter().map(|(_, row)| row.len()).max().unwrap_or(0);
        let halved = (largest.max(plan.first.len()) / 2).max(MIN_ROW_BYTES);
        let is_smaller = halved > MIN_ROW_BYTES && (self.limit == 0 || halved < self.limit);
        if is_smaller {
            self.limit = halved;
        }
        is_smaller
    }
}

/// Progress of the tasks of blocks, by step.
type Blocks = IndexMap<Block, IndexMap<usize, StepProgress>>;

/// The progress of a step's tasks in a block, which is added if there is none.
fn step_of(blocks: &mut Blocks, block: Block, step: usize) -> &mut StepProgress {
    blocks.entry(block).or_default().entry(step).or_default()
}

/// Rows of the blocks of a size in which tasks have progress.
fn split(progress: &Progress, counts: &[u32], size: u32) -> IndexMap<Block, Vec<u8>> {
    let mut blocks = Blocks::new();
    for (occurrence, steps) in &progress.occurrences {
        let mut first = 0;
        for (step, (own, count)) in steps.iter().zip(counts).enumerate() {
            let block = |index: u32| {
                let number = (first + u64::from(index)) / u64::from(size);
                let number = u32::try_from(number).unwrap_or(u32::MAX);
                Block { occurrence: *occurrence, size, number }
            };
            for index in &own.done {
                step_of(&mut blocks, block(*index), step).done.push(*index);
            }
            for failed in &own.failed {
                step_of(&mut blocks, block(failed.0), step).failed.push(*failed);
            }
            for crashes in &own.crashes {
                step_of(&mut blocks, block(crashes.0), step).crashes.push(*crashes);
            }
            first += u64::from(*count);
        }
    }
    let encode = |steps: IndexMap<usize, StepProgress>| rows::encode(&BlockRow::from(steps));
    blocks.into_iter().map(|(block, steps)| (block, encode(steps))).collect()
}

/// The progress without failures and crashes.
fn done_only(progress: &Progress) -> Progress {
    let done = |step: &StepProgress| StepProgress { done: step.done.clone(), ..Default::default() };
    let occurrences = progress.occurrences.iter();
    Progress {
        occurrences: occurrences
            .map(|(number, steps)| (*number, steps.iter().map(done).collect()))
            .collect(),
        ..without_occurrences(progress)
    }
}

/// Returns the progress with some of its finished occurrences listed by their tasks, if their spans
/// are too many for a row; the largest spans remain.
fn list_finished(progress: &Progress, counts: &[u32], limit: usize) -> Option<Progress> {
    let fits =
        |p: &Progress| rows::encode(&ProgressRow::from(&without_occurrences(p))).len() <= limit;
    if progress.finished.is_empty() || fits(progress) {
        return None;
    }
    let mut listed = progress.clone();
    listed.finished.sort_unstable_by_key(|(first, last)| (Reverse(last - first), *first));
    let most = limit.saturating_sub(MIN_FIRST_ROW_BYTES) / MAX_SPAN_BYTES;
    let all = |count: &u32| StepProgress { done: (0..*count).collect(), ..Default::default() };
    for (first, last) in listed.finished.split_off(most.min(listed.finished.len())) {
        listed.occurrences.extend((first..=last).map(|n| (n, counts.iter().map(all).collect())));
    }
    listed.finished.sort_unstable();
    Some(listed)
}

fn without_occurrences(progress: &Progress) -> Progress {
    Progress {
        started: progress.started,
        completed_below: progress.completed_below,
        finished: progress.finished.clone(),
        occurrences: IndexMap::new(),
    }
}

/// Hash by which this process recognises unchanged rows; never 0.
fn hash(row: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    row.hash(&mut hasher);
    hasher.finish().max(1)
}
