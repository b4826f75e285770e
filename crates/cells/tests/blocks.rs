//! Replays writes of the progress of large jobs, of which some are interrupted.

use cells::batch::{MAX_ENTRIES, Unit, pack};
use cells::blocks::{Block, Layout, Plan};
use cells::ports::Place;
use cells::rows;
use indexmap::IndexMap;
use jobs::Progress;
use jobs::crash::Crashes;
use jobs::progress::StepProgress;
use jobs::row::{BlockRow, ProgressRow};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Rows of a job in the table.
#[derive(Default)]
struct Table {
    first: Vec<u8>,
    blocks: IndexMap<Block, Vec<u8>>,
}

impl Table {
    /// Writes the rows of a plan in their order, up to a number of them; returns whether that were all.
    fn write(&mut self, plan: &Plan, limit: usize, most: usize) -> bool {
        let mut left = most;
        let mut may_write = || {
            left = left.saturating_sub(1);
            left > 0
        };
        for (block, row) in &plan.blocks {
            assert!(row.len() <= limit, "a row of {} bytes", row.len());
            if !may_write() {
                return false;
            }
            self.blocks.insert(*block, row.clone());
        }
        assert!(plan.first.len() <= limit, "a first row of {} bytes", plan.first.len());
        if !may_write() {
            return false;
        }
        self.first.clone_from(&plan.first);
        for block in &plan.removes {
            if !may_write() {
                return false;
            }
            self.blocks.shift_remove(block);
        }
        true
    }

    /// Reads the rows as a new holder does.
    fn read(&self) -> (Progress, Layout) {
        let mut layout = Layout::default();
        let mut progress = match self.first.as_slice() {
            [] => Progress::default(),
            row => Progress::try_from(rows::decode::<ProgressRow>(row).unwrap()).unwrap(),
        };
        for (block, row) in &self.blocks {
            let row: BlockRow = rows::decode(row).unwrap();
            progress.merge(block.occurrence, row.try_into().unwrap());
            layout.add(*block);
        }
        (progress, layout)
    }

    /// Positions of the tasks that are done by the first row alone.
    fn done_by_first(&self) -> usize {
        let row: ProgressRow = rows::decode(&self.first).unwrap();
        let progress = Progress::try_from(row).unwrap();
        progress.occurrences.values().flatten().map(|step| step.done.len()).sum()
    }
}

/// Guards against a first row that the table never accepts, or that loses occurrences which are done,
/// since every second one is.
#[test]
fn finished_occurrences_whose_spans_exceed_a_row_are_kept() {
    for (limit, expect_listed) in [(65_536, false), (2_048, true), (512, true)] {
        let finished: Vec<(u32, u32)> = (0..2_500).map(|n| (2 * n + 1, 2 * n + 1)).collect();
        let progress = Progress {
            started: true,
            finished: finished.into_iter().chain([(10_000, 99_000)]).collect(),
            ..Progress::default()
        };
        let mut layout = Layout::default();
        let plan = layout.plan(&progress, &[2, 1], limit);
        let mut table = Table::default();
        assert!(table.write(&plan, limit, usize::MAX));
        let (read, _) = table.read();
        assert_eq!(!read.occurrences.is_empty(), expect_listed);
        let is_done = |n: u32| {
            read.finished.iter().any(|(first, last)| (*first..=*last).contains(&n))
                || read
                    .occurrences
                    .get(&n)
                    .is_some_and(|steps| steps.iter().map(|step| step.done.len()).eq([2, 1]))
        };
        for n in 0..100_000 {
            assert_eq!(is_done(n), (n < 5_000 && n % 2 == 1) || (10_000..=99_000).contains(&n));
        }
    }
}

/// Adds an end of a run of a random task to the progress.
fn end_run(progress: &mut Progress, counts: &[u32], rng: &mut StdRng) {
    let occurrence = rng.random_range(0..2);
    let steps = progress
        .occurrences
        .entry(occurrence)
        .or_insert_with(|| vec![StepProgress::default(); counts.len()]);
    let n = rng.random_range(0..counts.len());
    let index = rng.random_range(0..counts[n]);
    let step = &mut steps[n];
    if step.done.contains(&index) {
        return;
    }
    match rng.random_range(0..4) {
        0 => {
            step.done.push(index);
            step.done.sort_unstable();
            step.failed.retain(|(n, _)| *n != index);
            step.crashes.retain(|(n, _)| *n != index);
        }
        1 if !step.crashes.iter().any(|(n, _)| *n == index) => {
            step.crashes.push((index, Crashes { suspected: 1, blamed: 0 }));
        }
        _ => {
            let failures = step.failed.iter().filter(|(n, _)| *n == index).count() as u64;
            step.failed.push((index, 1 + failures + 1_000 * rng.random_range(0..2)));
        }
    }
}

/// Whether `found` has all ends of `expected`; a task that is done needs no other record.
fn has_all(found: &Progress, expected: &Progress) -> bool {
    expected.occurrences.iter().all(|(occurrence, steps)| {
        steps.iter().enumerate().all(|(n, step)| {
            let own = found.occurrences.get(occurrence).and_then(|all| all.get(n));
            let own = own.cloned().unwrap_or_default();
            let is_done = |index: &u32| own.done.contains(index);
            step.done.iter().all(is_done)
                && step.failed.iter().all(|f| is_done(&f.0) || own.failed.contains(f))
                && step.crashes.iter().all(|c| is_done(&c.0) || own.crashes.contains(c))
        })
    })
}

/// Guards against ends that are forgotten by a holder that is interrupted while it writes the rows of
/// a large job, and against rows that are larger than the table accepts.
#[test]
fn no_counted_end_is_forgotten_by_an_interrupted_write() {
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let limit = rng.random_range(600..6_000);
        let counts: Vec<u32> =
            (0..rng.random_range(1..6)).map(|_| rng.random_range(1..400)).collect();
        let (mut table, mut layout) = (Table::default(), Layout::default());
        let (mut progress, mut durable) = (Progress::default(), Progress::default());
        for _ in 0..120 {
            for _ in 0..rng.random_range(1..40) {
                end_run(&mut progress, &counts, &mut rng);
            }
            let plan = layout.plan(&progress, &counts, limit);
            let is_interrupted = rng.random_range(0..3) == 0;
            let most = if is_interrupted { rng.random_range(1..8) } else { usize::MAX };
            if table.write(&plan, limit, most) {
                layout.record(&plan);
                durable = progress.clone();
            }
            if is_interrupted && rng.random_range(0..2) == 0 {
                // A new holder reads the rows; the executors report the other ends again.
                (progress, layout) = table.read();
                assert!(has_all(&progress, &durable), "seed {seed}, rows of {limit} bytes");
            }
        }
        let plan = layout.plan(&progress, &counts, limit);
        assert!(table.write(&plan, limit, usize::MAX));
        layout.record(&plan);
        assert!(has_all(&table.read().0, &progress), "seed {seed}");
        let mut blocks: Vec<Block> = layout.blocks().collect();
        blocks.sort();
        let mut stored: Vec<Block> = table.blocks.keys().copied().collect();
        stored.sort();
        assert_eq!(blocks, stored, "seed {seed}: all rows are known, to be removed with the job");
    }
}

/// Guards against transactions that the table rejects for their size, of the largest jobs with all
/// tasks failed several times, several jobs at a time.
#[test]
fn large_jobs_are_written_in_transactions_that_the_table_accepts() {
    let step = StepProgress {
        failed: (0..10_000).flat_map(|n| (1..9).map(move |run| (n, 1_000_000 + run))).collect(),
        ..StepProgress::default()
    };
    let progress = Progress {
        occurrences: IndexMap::from([(0, vec![step.clone(), step])]),
        ..Progress::default()
    };
    let place = |n: usize| Place::new("progress.p", "q/1", &format!("{n:016x}"));
    let mut units = Vec::new();
    for _ in 0..4 {
        let plan = Layout::default().plan(&progress, &[10_000, 10_000], 65_536);
        assert!(plan.blocks.len() > 30, "{} blocks", plan.blocks.len());
        for (_, row) in plan.blocks {
            assert!(row.len() <= 65_536);
            units.push(Unit { writes: vec![(place(units.len()), row)], removes: Vec::new() });
        }
    }
    let rows = units.len();
    let packed = pack(units, 2);
    assert_eq!(packed.iter().map(|unit| unit.writes.len()).sum::<usize>(), rows);
    for unit in packed {
        let bytes: usize = unit.writes.iter().map(|(_, row)| row.len().div_ceil(3) * 4 + 120).sum();
        assert!(bytes <= 1_000_000 && unit.writes.len() + 2 <= MAX_ENTRIES, "{bytes} bytes");
    }
}

/// Guards against a process of an earlier version that reads only the first row, and would run tasks
/// again that are done; and against one row that it can't read where there is no need for more.
#[test]
fn a_process_of_an_earlier_version_reads_which_tasks_are_done() {
    let step = StepProgress {
        done: (0..5_000).collect(),
        failed: (5_000..10_000).map(|n| (n, 1)).collect(),
        crashes: Vec::new(),
    };
    let mut progress = Progress {
        started: true,
        occurrences: IndexMap::from([(0, vec![step])]),
        ..Progress::default()
    };
    let (mut table, mut layout) = (Table::default(), Layout::default());
    let plan = layout.plan(&progress, &[10_000], 65_536);
    assert!(table.write(&plan, 65_536, usize::MAX));
    assert!(plan.blocks.is_empty(), "{} blocks", plan.blocks.len());
    let own = &mut progress.occurrences[0][0];
    own.failed = (5_000..10_000).flat_map(|n| [(n, 1), (n, 1_002)]).collect();
    let plan = layout.plan(&progress, &[10_000], 65_536);
    assert!(table.write(&plan, 65_536, usize::MAX));
    assert!(!plan.blocks.is_empty());
    assert_eq!(table.done_by_first(), 5_000);
    assert!(has_all(&table.read().0, &progress));
}

/// Guards against rows that are rejected for good since the table accepts less than expected, and
/// against a search for a smaller size that never ends.
#[test]
fn rejected_rows_become_smaller_down_to_a_least_size() {
    let failed = (0..300).map(|n| (n, 1)).collect();
    let step = StepProgress { failed, ..StepProgress::default() };
    let progress =
        Progress { occurrences: IndexMap::from([(0, vec![step])]), ..Progress::default() };
    let mut layout = Layout::default();
    let mut sizes = Vec::new();
    loop {
        let plan = layout.plan(&progress, &[300], 65_536);
        let largest = plan.blocks.iter().map(|(_, row)| row.len()).max();
        sizes.push(largest.unwrap_or(plan.first.len()));
        if !layout.shrink(&plan) {
            break;
        }
    }
    assert!(sizes.is_sorted_by(|a, b| a >= b) && sizes.len() < 10, "{sizes:?}");
    assert!(sizes.last().is_some_and(|size| *size <= 1_024), "{sizes:?}");
}
