//! Replay of peaks that move from cell to cell every four seconds, over a table with delays.
//!
//! Guards against grants that follow the demand too slowly for a peak, and against holders that
//! write all the time. The organisations' limits are about twice what they use on average, and
//! nearly all of them is wanted by the cell at its peak.

use std::collections::VecDeque;

use cells::allowance::{Circumstances, Exchange};
use cells::ports::{Committed, Place, Row, Transaction, TransactionError};
use indexmap::{IndexMap, IndexSet};
use jobs::Resources;
use jobs::quota::Need;

const CELLS: [&str; 4] = ["a", "b", "c", "d"];
const ORGANISATIONS: usize = 20;
/// Duration of a peak, in milliseconds.
const PEAK_MS: u64 = 4_000;
/// Time from the order of a write until it is applied, and from there until its answer, in
/// milliseconds: half a transaction and a call.
const WRITE_DELAY_MS: u64 = 10;
/// Time from a write until another holder has read it, in milliseconds.
const FEED_DELAY_MS: u64 = 20;
/// Interval between decisions without events, in milliseconds.
const DECISION_INTERVAL_MS: u64 = 25;
/// Longest time from the start of a peak until its cell has nine tenths of what it wants, if the
/// tasks of the peak before have ended, in milliseconds.
const FOLLOW_BOUND_MS: u64 = 300;
/// Share of an organisation's limit that its queue wants during its peak, in percent.
const PEAK_PERCENT: u64 = 90;
/// The same for the other queues.
const IDLE_PERCENT: u64 = 2;
/// Most transactions of a cell in a second.
const MAX_WRITES_PER_SECOND: usize = 10;

fn limit(organisation: usize) -> u64 {
    // Some organisations are large.
    if organisation < 3 { 900_000 } else { 40_000 + 5_000 * organisation as u64 }
}

struct World {
    rows: IndexMap<Place, (u64, Vec<u8>)>,
    version: u64,
    limits: IndexMap<String, Resources>,
    holders: Vec<Exchange>,
    /// Use of each organisation in each cell, with the ends of its runs as pairs of a time and an
    /// amount.
    runs: Vec<Vec<VecDeque<(u64, u64)>>>,
    /// Writes on their way, with the time and the cell.
    writes: VecDeque<(u64, usize, Transaction)>,
    /// Answers on their way.
    answers: VecDeque<(u64, usize, Result<Committed, TransactionError>)>,
    /// Changed rows on their way to all holders.
    feed: VecDeque<(u64, Row)>,
    /// Times of all writes, by cell.
    written: Vec<Vec<u64>>,
    conflicts: usize,
    /// Duration of the tasks, in milliseconds.
    task_ms: u64,
}

impl World {
    fn new(task_ms: u64) -> Self {
        let limits = (0..ORGANISATIONS).map(|n| {
            let limit = Resources { cpu: limit(n), memory: 0, gpus: 0 };
            (format!("organisation-{n}"), limit)
        });
        let mut holders: Vec<Exchange> =
            (1..).zip(CELLS).map(|(epoch, cell)| Exchange::new(cell, epoch)).collect();
        holders.iter_mut().for_each(Exchange::complete_read);
        Self {
            rows: IndexMap::new(),
            version: 0,
            limits: limits.collect(),
            holders,
            runs: vec![vec![VecDeque::new(); ORGANISATIONS]; CELLS.len()],
            writes: VecDeque::new(),
            answers: VecDeque::new(),
            feed: VecDeque::new(),
            written: vec![Vec::new(); CELLS.len()],
            conflicts: 0,
            task_ms,
        }
    }

    fn used(&self, cell: usize, organisation: usize) -> u64 {
        self.runs[cell][organisation].iter().map(|(_, amount)| amount).sum()
    }

    fn row(&self, place: &Place) -> Row {
        let row = self.rows.get(place);
        let (version, value) = row.map_or((0, None), |(v, value)| (*v, Some(value.clone())));
        Row { place: place.clone(), version, value }
    }

    fn apply(
        &mut self,
        transaction: &Transaction,
        now: u64,
    ) -> Result<Committed, TransactionError> {
        let rows: Vec<Row> = transaction.expect.iter().map(|(place, _)| self.row(place)).collect();
        if transaction.expect.iter().zip(&rows).any(|((_, v), row)| *v != row.version) {
            self.conflicts += 1;
            return Err(TransactionError::Conflict { rows });
        }
        self.version += 1;
        for (place, value) in &transaction.writes {
            self.rows.insert(place.clone(), (self.version, value.clone()));
            self.feed.push_back((now + FEED_DELAY_MS, self.row(place)));
        }
        Ok(Committed { version: self.version, clock: now })
    }

    /// Lets a cell decide, and starts what it may.
    fn decide(&mut self, cell: usize, wanted: &[u64], now: u64) {
        let granted = self.holders[cell].grants(&self.limits);
        let mut needs = IndexMap::new();
        for (n, name) in self.limits.keys().enumerate() {
            let used = self.used(cell, n);
            let waiting = wanted[n].saturating_sub(used);
            let start = granted[name].cpu.saturating_sub(used).min(waiting);
            if start > 0 {
                self.runs[cell][n].push_back((now + self.task_ms, start));
            }
            let cpu = |cpu| Resources { cpu, ..Resources::default() };
            let need =
                Need { used: cpu(used + start), waiting: cpu(waiting - start), ..Need::default() };
            needs.insert(name.clone(), need);
        }
        let configured: IndexSet<String> = CELLS.iter().map(|cell| (*cell).to_owned()).collect();
        let circumstances = Circumstances {
            limits: &self.limits,
            needs: &needs,
            capacity: Resources { cpu: u64::MAX, memory: u64::MAX, gpus: u64::MAX },
            settled: true,
            turn: now / 4_000,
            configured: &configured,
            abandoned: &IndexSet::new(),
        };
        if let Some(write) = self.holders[cell].propose(&circumstances, now) {
            self.written[cell].push(now);
            self.writes.push_back((now + WRITE_DELAY_MS, cell, write));
        }
    }

    /// Advances to a time, and returns whether each cell has an event to decide about.
    fn advance(&mut self, now: u64) -> [bool; CELLS.len()] {
        let mut woken = [false; CELLS.len()];
        for runs in self.runs.iter_mut().flatten() {
            while runs.front().is_some_and(|(end, _)| *end <= now) {
                runs.pop_front();
            }
        }
        while self.writes.front().is_some_and(|(at, ..)| *at <= now) {
            let (_, cell, write) = self.writes.pop_front().expect("there is one");
            let result = self.apply(&write, now);
            self.answers.push_back((now + WRITE_DELAY_MS, cell, result));
        }
        while self.answers.front().is_some_and(|(at, ..)| *at <= now) {
            let (_, cell, result) = self.answers.pop_front().expect("there is one");
            self.holders[cell].settle(result, now);
            woken[cell] = true;
        }
        while self.feed.front().is_some_and(|(at, _)| *at <= now) {
            let (_, row) = self.feed.pop_front().expect("there is one");
            for holder in &mut self.holders {
                holder.observe(&row);
            }
            woken = [true; CELLS.len()];
        }
        woken
    }
}

/// Replays peaks and returns the time until each of them had its allowance, in milliseconds.
fn replay(world: &mut World, peaks: u64) -> Vec<u64> {
    let mut delays = vec![PEAK_MS; usize::try_from(peaks).expect("peaks are few")];
    for now in 0..peaks * PEAK_MS {
        let peak = usize::try_from(now / PEAK_MS).expect("peaks are few");
        let peaking = peak % CELLS.len();
        let woken = world.advance(now);
        for (cell, woken) in woken.into_iter().enumerate() {
            let is_due = (now + 7 * cell as u64).is_multiple_of(DECISION_INTERVAL_MS);
            if woken || is_due {
                let percent = if cell == peaking { PEAK_PERCENT } else { IDLE_PERCENT };
                let wanted: Vec<u64> =
                    world.limits.values().map(|limit| limit.cpu / 100 * percent).collect();
                world.decide(cell, &wanted, now);
            }
        }
        for (n, limit) in world.limits.values().enumerate() {
            let used: u64 = (0..CELLS.len()).map(|cell| world.used(cell, n)).sum();
            assert!(used <= limit.cpu, "{used} of {} at {now} ms", limit.cpu);
        }
        if delays[peak] < PEAK_MS {
            continue;
        }
        let grants = world.holders[peaking].grants(&world.limits);
        let follows = world
            .limits
            .iter()
            .all(|(name, limit)| grants[name].cpu >= limit.cpu / 100 * PEAK_PERCENT * 9 / 10);
        if follows {
            delays[peak] = now % PEAK_MS;
        }
    }
    delays
}

/// Most writes of one cell in a second.
fn busiest_second(world: &World) -> usize {
    let count = |times: &Vec<u64>| {
        let within = |at: &u64| times.iter().filter(|t| (*at..at + 1_000).contains(*t)).count();
        times.iter().map(within).max().unwrap_or(0)
    };
    world.written.iter().map(count).max().unwrap_or(0)
}

#[test]
fn grants_follow_a_peak_that_moves() {
    // Tasks are short against the bound, so that those of the peak before end at once.
    let mut world = World::new(20);
    let delays = replay(&mut world, 12);
    let writes: usize = world.written.iter().map(Vec::len).sum();
    println!(
        "ms until a peak has its allowance: {delays:?}; {writes} writes, {} conflicts, most in a \
         second and cell {}",
        world.conflicts,
        busiest_second(&world),
    );
    // The first peak is that of a fleet without any grants.
    assert!(delays.iter().all(|delay| *delay <= FOLLOW_BOUND_MS));
    assert!(busiest_second(&world) <= MAX_WRITES_PER_SECOND);
}

#[test]
fn grants_follow_a_peak_as_the_tasks_before_end() {
    const TASK_MS: u64 = 400;
    let mut world = World::new(TASK_MS);
    let delays = replay(&mut world, 12);
    println!("ms until a peak has its allowance: {delays:?}");
    assert!(delays.iter().all(|delay| *delay <= TASK_MS + FOLLOW_BOUND_MS));
    assert!(busiest_second(&world) <= MAX_WRITES_PER_SECOND);
}

#[test]
fn nothing_is_written_while_nothing_changes() {
    let mut world = World::new(20);
    replay(&mut world, 1);
    let before: usize = world.written.iter().map(Vec::len).sum();
    let writes_in =
        |world: &World, from: u64| world.written.iter().flatten().filter(|at| **at >= from).count();
    assert!(before > 0);
    assert_eq!(writes_in(&world, PEAK_MS / 2), 0);
}
