//! Grants of organisations that several holders exchange over rows of a table.
//!
//! The tests guard against running tasks of an organisation that together use more than its limit,
//! whatever holders, writes and rows are lost, and against grants that follow the demand too slowly
//! or with too many writes.

use cells::allowance::{Circumstances, Exchange, MIN_WRITE_INTERVAL_MS, Observation};
use cells::keys;
use cells::ports::{Committed, Place, Row, Transaction, TransactionError};
use cells::rows::{self, GrantRow};
use indexmap::{IndexMap, IndexSet};
use jobs::Resources;
use jobs::quota::Need;
use proptest::prelude::*;

/// Limit of the only organisation in most tests, in thousandths of a core.
const LIMIT: u64 = 16_000;
const ORGANISATION: &str = "o";
const CELLS: [&str; 3] = ["a", "b", "c"];

fn cpu(cpu: u64) -> Resources {
    Resources { cpu, ..Resources::default() }
}

fn limits(limit: u64) -> IndexMap<String, Resources> {
    IndexMap::from([(ORGANISATION.to_owned(), cpu(limit))])
}

/// Table with conditional writes.
struct Table {
    rows: IndexMap<Place, (u64, Vec<u8>)>,
    version: u64,
    /// Whether the conditions of a transaction are checked.
    checks_versions: bool,
}

impl Table {
    fn new() -> Self {
        Self { rows: IndexMap::new(), version: 0, checks_versions: true }
    }

    fn row(&self, place: &Place) -> Row {
        let row = self.rows.get(place);
        let (version, value) = row.map_or((0, None), |(v, value)| (*v, Some(value.clone())));
        Row { place: place.clone(), version, value }
    }

    fn apply(&mut self, transaction: &Transaction) -> Result<Committed, TransactionError> {
        let current: Vec<Row> = transaction.expect.iter().map(|(p, _)| self.row(p)).collect();
        let expected = transaction.expect.iter().zip(&current);
        if self.checks_versions && expected.into_iter().any(|((_, v), row)| *v != row.version) {
            return Err(TransactionError::Conflict { rows: current });
        }
        self.version += 1;
        for (place, value) in &transaction.writes {
            self.rows.insert(place.clone(), (self.version, value.clone()));
        }
        Ok(Committed { version: self.version, clock: 0 })
    }

    fn corrupt(&mut self) {
        self.version += 1;
        let place = keys::grants(keys::grant_row(ORGANISATION));
        self.rows.insert(place, (self.version, b"{\"e\":7".to_vec()));
    }

    /// Content of the organisation's row; `None` if it can't be decoded.
    fn content(&self) -> Option<GrantRow> {
        let row = self.row(&keys::grants(keys::grant_row(ORGANISATION)));
        match row.value {
            Some(value) => rows::decode(&value).ok(),
            None => Some(GrantRow::default()),
        }
    }

    fn granted(&self, cell: &str) -> u64 {
        let content = self.content().expect("the row can be decoded");
        content.entry(ORGANISATION, cell).unwrap_or_default().granted.cpu
    }
}

/// What becomes of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Applied,
    /// Applied, but the answer is lost.
    Unanswered,
    /// Applied at some later time, without an answer.
    Delayed,
    /// Never applied, without an answer.
    Lost,
    Refused,
}

/// A process that runs a cell, or a former one that does not know yet that it has lost it.
struct Holder {
    cell: usize,
    epoch: u64,
    exchange: Exchange,
    /// Executors that have answered, with the use that the holder knows of.
    joined: IndexMap<usize, u64>,
    waiting: u64,
    /// Amount that the next waiting task needs.
    next: u64,
    lost: bool,
}

impl Holder {
    fn new(cell: usize, epoch: u64) -> Self {
        let exchange = Exchange::new(CELLS[cell], epoch);
        Self { cell, epoch, exchange, joined: IndexMap::new(), waiting: 0, next: 0, lost: false }
    }

    fn note(&mut self, observations: &[Observation]) {
        self.lost |= observations.contains(&Observation::Superseded);
    }
}

/// An executor: the highest epoch that it has seen, and the use of each of its runs.
#[derive(Default)]
struct Executor {
    epoch: u64,
    runs: Vec<u64>,
}

const EXECUTORS_PER_CELL: usize = 2;
const EXECUTOR_CPU: u64 = 12_000;

struct Model {
    table: Table,
    limit: u64,
    executors: Vec<Executor>,
    holders: Vec<Holder>,
    delayed: Vec<Transaction>,
    epoch: u64,
    now: u64,
    /// Whether a new holder counts executors that have not answered.
    counts_unanswered: bool,
}

impl Model {
    fn new() -> Self {
        let mut model = Self {
            table: Table::new(),
            limit: LIMIT,
            executors: (0..CELLS.len() * EXECUTORS_PER_CELL).map(|_| Executor::default()).collect(),
            holders: Vec::new(),
            delayed: Vec::new(),
            epoch: 0,
            now: 0,
            counts_unanswered: true,
        };
        for cell in 0..CELLS.len() {
            model.take_over(cell, false);
        }
        model
    }

    /// Executors of a cell.
    fn members(cell: usize) -> std::ops::Range<usize> {
        cell * EXECUTORS_PER_CELL..(cell + 1) * EXECUTORS_PER_CELL
    }

    fn use_of(&self, cell: usize) -> u64 {
        Self::members(cell).flat_map(|n| &self.executors[n].runs).sum()
    }

    fn total_use(&self) -> u64 {
        (0..CELLS.len()).map(|cell| self.use_of(cell)).sum()
    }

    /// Replaces the holder of a cell; the former one may live on without knowing of it.
    fn take_over(&mut self, cell: usize, former_lives: bool) {
        self.holders.retain(|holder| holder.cell != cell || former_lives);
        self.epoch += 1;
        self.holders.push(Holder::new(cell, self.epoch));
    }

    /// Newest holder of a cell.
    fn holder(&self, cell: usize) -> usize {
        let position = self.holders.iter().rposition(|holder| holder.cell == cell);
        position.expect("each cell has a holder")
    }

    fn poll(&mut self, holder: usize, executor: usize) {
        let holder = &mut self.holders[holder];
        let n = Self::members(holder.cell).start + executor;
        let executor = &mut self.executors[n];
        if executor.epoch > holder.epoch {
            holder.lost = true;
            return;
        }
        executor.epoch = holder.epoch;
        holder.joined.insert(n, executor.runs.iter().sum());
    }

    fn read(&mut self, holder: usize) {
        let rows: Vec<Row> =
            (0..keys::GRANT_ROWS).map(|n| self.table.row(&keys::grants(n))).collect();
        let holder = &mut self.holders[holder];
        let existing = rows.iter().filter(|row| row.value.is_some());
        let observations: Vec<_> = existing.map(|row| holder.exchange.observe(row)).collect();
        holder.note(&observations);
        holder.exchange.complete_read();
    }

    fn need(&self, holder: usize) -> Need {
        let holder = &self.holders[holder];
        let members = Self::members(holder.cell);
        let unanswered = members.filter(|n| !holder.joined.contains_key(n)).count() as u64;
        let unknown = if self.counts_unanswered { unanswered * EXECUTOR_CPU } else { 0 };
        Need {
            used: cpu(holder.joined.values().sum()),
            unknown: cpu(unknown),
            waiting: cpu(holder.waiting),
            waiting_tasks: holder.waiting / 1_000,
            next: cpu(holder.next),
        }
    }

    fn decide(&mut self, holder: usize, fate: Fate) {
        if self.holders[holder].lost {
            return;
        }
        self.now += MIN_WRITE_INTERVAL_MS;
        let need = self.need(holder);
        let configured: IndexSet<String> = CELLS.iter().map(|cell| (*cell).to_owned()).collect();
        let circumstances = Circumstances {
            limits: &limits(self.limit),
            needs: &IndexMap::from([(ORGANISATION.to_owned(), need)]),
            capacity: cpu(EXECUTOR_CPU * EXECUTORS_PER_CELL as u64),
            settled: need.unknown == Resources::default(),
            turn: self.now / 4_000,
            configured: &configured,
            abandoned: &IndexSet::new(),
        };
        let exchange = &mut self.holders[holder].exchange;
        let Some(transaction) = exchange.propose(&circumstances, self.now) else { return };
        let unknown = || Err(TransactionError::Unknown { detail: String::new() });
        let result = match fate {
            Fate::Applied => self.table.apply(&transaction),
            Fate::Unanswered => {
                // A conflict that is not answered is as good as a lost write.
                drop(self.table.apply(&transaction));
                unknown()
            }
            Fate::Delayed => {
                self.delayed.push(transaction);
                unknown()
            }
            Fate::Lost => unknown(),
            Fate::Refused => Err(TransactionError::Refused { detail: String::new() }),
        };
        let holder = &mut self.holders[holder];
        let observations = holder.exchange.settle(result, self.now);
        holder.note(&observations);
    }

    /// Starts one task, if the holder may.
    fn start(&mut self, holder: usize, executor: usize, amount: u64) -> bool {
        let need = self.need(holder);
        let holder = &mut self.holders[holder];
        let n = Self::members(holder.cell).start + executor;
        let granted = holder.exchange.grants(&limits(self.limit))[ORGANISATION].cpu;
        let executor = &mut self.executors[n];
        let has_room = executor.runs.iter().sum::<u64>() + amount <= EXECUTOR_CPU;
        let known = holder.joined.contains_key(&n);
        if holder.lost || !known || !has_room || need.possible_use().cpu + amount > granted {
            return false;
        }
        if executor.epoch > holder.epoch {
            holder.lost = true;
            return false;
        }
        executor.runs.push(amount);
        *holder.joined.get_mut(&n).expect("the executor has answered") += amount;
        true
    }

    /// Ends the oldest run of an executor; holders learn of it when they poll.
    fn end(&mut self, executor: usize) {
        let runs = &mut self.executors[executor].runs;
        if !runs.is_empty() {
            runs.remove(0);
        }
    }

    /// Lets all holders poll, read and decide without faults until nothing changes.
    fn settle(&mut self) {
        for _ in 0..12 {
            for holder in 0..self.holders.len() {
                (0..EXECUTORS_PER_CELL).for_each(|n| self.poll(holder, n));
                self.read(holder);
                self.decide(holder, Fate::Applied);
                self.read(holder);
            }
        }
    }

    /// Starts tasks in a cell until its holder refuses one.
    fn fill(&mut self, cell: usize) {
        let holder = self.holder(cell);
        for executor in 0..EXECUTORS_PER_CELL {
            while self.start(holder, executor, 1_000) {}
        }
    }

    fn check(&self) -> Result<(), String> {
        let used = self.total_use();
        if used > self.limit {
            return Err(format!("{used} in use"));
        }
        let Some(content) = self.table.content() else { return Ok(()) };
        let granted: u64 = content.entries(ORGANISATION).map(|(_, entry)| entry.granted.cpu).sum();
        if granted > self.limit { Err(format!("{granted} granted")) } else { Ok(()) }
    }
}

#[derive(Debug, Clone)]
enum Event {
    Demand { cell: usize, amount: u64 },
    Decide { holder: usize, fate: Fate },
    Deliver { write: usize },
    Read { holder: usize },
    Poll { holder: usize, executor: usize },
    Start { holder: usize, executor: usize, amount: u64 },
    End { executor: usize },
    TakeOver { cell: usize, former_lives: bool },
    Corrupt,
}

fn fates() -> impl Strategy<Value = Fate> {
    prop_oneof![
        6 => Just(Fate::Applied),
        1 => Just(Fate::Unanswered),
        1 => Just(Fate::Delayed),
        1 => Just(Fate::Lost),
        1 => Just(Fate::Refused),
    ]
}

fn events() -> impl Strategy<Value = Event> {
    let (cell, executor) = (0..CELLS.len(), 0..EXECUTORS_PER_CELL);
    let amount = prop_oneof![Just(1_000_u64), Just(3_000_u64)];
    prop_oneof![
        2 => (cell.clone(), 0..24_000_u64)
            .prop_map(|(cell, amount)| Event::Demand { cell, amount }),
        8 => (0..8_usize, fates()).prop_map(|(holder, fate)| Event::Decide { holder, fate }),
        1 => (0..8_usize).prop_map(|write| Event::Deliver { write }),
        5 => (0..8_usize).prop_map(|holder| Event::Read { holder }),
        6 => (0..8_usize, executor.clone())
            .prop_map(|(holder, executor)| Event::Poll { holder, executor }),
        10 => (0..8_usize, executor, amount)
            .prop_map(|(holder, executor, amount)| Event::Start { holder, executor, amount }),
        4 => (0..CELLS.len() * EXECUTORS_PER_CELL).prop_map(|executor| Event::End { executor }),
        1 => (cell, any::<bool>())
            .prop_map(|(cell, former_lives)| Event::TakeOver { cell, former_lives }),
        1 => Just(Event::Corrupt),
    ]
}

impl Model {
    fn play(&mut self, event: &Event) {
        let holders = self.holders.len();
        match *event {
            Event::Demand { cell, amount } => {
                let holder = self.holder(cell);
                self.holders[holder].waiting = amount;
            }
            Event::Decide { holder, fate } => self.decide(holder % holders, fate),
            Event::Deliver { write } => {
                if !self.delayed.is_empty() {
                    let write = self.delayed.remove(write % self.delayed.len());
                    drop(self.table.apply(&write));
                }
            }
            Event::Read { holder } => self.read(holder % holders),
            Event::Poll { holder, executor } => self.poll(holder % holders, executor),
            Event::Start { holder, executor, amount } => {
                self.start(holder % holders, executor, amount);
            }
            Event::End { executor } => self.end(executor),
            Event::TakeOver { cell, former_lives } => self.take_over(cell, former_lives),
            Event::Corrupt => self.table.corrupt(),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, ..ProptestConfig::default() })]

    #[test]
    fn grants_and_runs_stay_within_the_limit(
        events in prop::collection::vec(events(), 0..400),
    ) {
        let mut model = Model::new();
        for event in &events {
            model.play(event);
            let checked = model.check();
            prop_assert!(checked.is_ok(), "{event:?}: {}", checked.unwrap_err());
        }
        // However it went, the organisation can use its limit again afterwards.
        model.delayed.clear();
        (0..model.executors.len()).for_each(|n| model.executors[n].runs.clear());
        for cell in 0..CELLS.len() {
            let holder = model.holder(cell);
            model.holders[holder].waiting = if cell == 0 { LIMIT } else { 0 };
        }
        model.holders.retain({
            let newest: Vec<u64> =
                (0..CELLS.len()).map(|cell| model.holders[model.holder(cell)].epoch).collect();
            move |holder| newest.contains(&holder.epoch)
        });
        model.settle();
        prop_assert_eq!(model.table.granted("a"), LIMIT);
    }
}

/// Whether random events break a limit in a variant of the model.
fn finds_violation(prepare: impl Fn(&mut Model), without_corruption: bool) -> bool {
    use proptest::strategy::ValueTree;
    use proptest::test_runner::TestRunner;
    let mut runner = TestRunner::deterministic();
    let strategy = prop::collection::vec(events(), 400);
    (0..300).any(|_| {
        let events = strategy.new_tree(&mut runner).expect("events can be drawn").current();
        let mut model = Model::new();
        prepare(&mut model);
        events.iter().filter(|e| !without_corruption || !matches!(e, Event::Corrupt)).any(|event| {
            model.play(event);
            model.check().is_err()
        })
    })
}

/// Shows that the model finds a violation where a guard is missing.
#[test]
fn writes_without_conditions_break_the_limit() {
    assert!(finds_violation(|model| model.table.checks_versions = false, true));
}

/// Shows that the model finds a violation where a new holder trusts in the runs that it knows.
#[test]
fn executors_that_have_not_answered_have_to_be_counted() {
    assert!(finds_violation(|model| model.counts_unanswered = false, true));
}

/// Guards against a former holder and its successor that both use the whole grant.
#[test]
fn two_holders_of_one_cell_stay_within_the_limit() {
    let mut model = Model::new();
    model.holders[0].waiting = LIMIT;
    model.settle();
    assert_eq!(model.table.granted("a"), LIMIT);
    let former = model.holder(0);
    (0..8).for_each(|_| assert!(model.start(former, 0, 1_000)));
    model.take_over(0, true);
    let new = model.holder(0);
    model.holders[new].waiting = LIMIT;
    // The new holder can't reach the second executor, on which the former one goes on.
    model.read(new);
    model.decide(new, Fate::Applied);
    model.poll(new, 0);
    assert!(!model.start(new, 0, 1_000));
    while model.start(former, 1, 1_000) {}
    assert_eq!(model.total_use(), LIMIT);
    assert!(!model.start(new, 0, 1_000));
    // Once it has answered, its runs are known and no order of the former holder is accepted.
    model.poll(new, 1);
    model.end(1);
    model.poll(new, 1);
    assert!(!model.start(former, 1, 1_000));
    assert!(model.start(new, 1, 1_000));
    assert!(!model.start(new, 1, 1_000));
    assert_eq!(model.total_use(), LIMIT);
}

/// Guards against a grant that is lost with its holder, or used twice.
#[test]
fn the_grant_of_a_dead_holder_passes_to_the_next() {
    let mut model = Model::new();
    model.holders[0].waiting = LIMIT;
    model.settle();
    let holder = model.holder(0);
    (0..8).for_each(|_| assert!(model.start(holder, 0, 1_000)));
    model.take_over(0, false);
    let other = model.holder(1);
    model.holders[other].waiting = LIMIT;
    // Nobody takes the grant while the cell has no holder that knows its runs.
    model.read(other);
    model.decide(other, Fate::Applied);
    model.fill(1);
    assert_eq!(model.use_of(1), 0);
    let new = model.holder(0);
    model.read(new);
    model.decide(new, Fate::Applied);
    assert_eq!(model.table.granted("a"), LIMIT);
    model.settle();
    assert_eq!(model.table.granted("a"), 8_000);
    model.fill(1);
    assert_eq!(model.use_of(1), 8_000);
    assert!(model.check().is_ok());
}

/// Guards against starts within grants that were given under a higher limit.
#[test]
fn a_limit_below_the_use_stops_starts_until_the_use_is_below_it() {
    let mut model = Model::new();
    (0..2).for_each(|n| model.holders[n].waiting = LIMIT);
    model.settle();
    (0..2).for_each(|cell| model.fill(cell));
    assert_eq!(model.total_use(), LIMIT);
    model.limit = 10_000;
    model.settle();
    (0..2).for_each(|cell| model.fill(cell));
    assert_eq!(model.total_use(), LIMIT);
    // Each round one task ends; none starts before fewer than ten run.
    while model.total_use() > 0 {
        let busiest = (0..model.executors.len()).max_by_key(|n| model.executors[*n].runs.len());
        model.end(busiest.expect("there are executors"));
        let used = model.total_use();
        model.settle();
        (0..2).for_each(|cell| model.fill(cell));
        assert!(model.total_use() <= used.max(model.limit));
        if used < model.limit {
            assert_eq!(model.total_use(), model.limit);
            break;
        }
    }
    assert!(model.check().is_ok());
}

/// Guards against starts within a grant that a write without an answer may still lower, and against a
/// grant that stays lowered because nobody finds out.
#[test]
fn a_grant_counts_as_lowered_until_the_write_is_settled() {
    let mut model = Model::new();
    model.holders[0].waiting = LIMIT;
    model.settle();
    // The cell returns what it has not needed for a while, and then needs it again.
    model.holders[0].waiting = 0;
    while model.delayed.is_empty() {
        model.decide(0, Fate::Delayed);
    }
    model.holders[0].waiting = LIMIT;
    model.decide(0, Fate::Lost);
    model.fill(0);
    assert_eq!(model.use_of(0), 1_000);
    // A further write, which changes nothing, shows that the first one can't be applied any more.
    model.read(0);
    model.decide(0, Fate::Applied);
    assert!(model.table.apply(&model.delayed.remove(0)).is_err());
    model.fill(0);
    assert_eq!(model.use_of(0), LIMIT);
    assert!(model.check().is_ok());
}

/// Guards against a cell that keeps the whole limit as long as its queue is long.
#[test]
fn cells_that_both_want_the_limit_share_it() {
    let mut model = Model::new();
    model.holders[0].waiting = LIMIT;
    model.settle();
    model.fill(0);
    assert_eq!(model.use_of(0), LIMIT);
    let other = model.holder(1);
    model.holders[other].waiting = LIMIT;
    for round in 0..40 {
        model.end(Model::members(0).start + round % EXECUTORS_PER_CELL);
        model.settle();
        (0..2).for_each(|cell| model.fill(cell));
    }
    assert_eq!((model.use_of(0), model.use_of(1)), (8_000, 8_000));
}

/// Guards against equal parts that are no whole number of tasks, so that less than the limit runs.
#[test]
fn parts_of_a_small_limit_are_whole_tasks() {
    let mut model = Model::new();
    model.limit = 3_000;
    for cell in 0..2 {
        (model.holders[cell].waiting, model.holders[cell].next) = (8_000, 1_000);
    }
    for round in 0..20 {
        model.settle();
        (0..2).for_each(|cell| model.fill(cell));
        assert_eq!(model.total_use(), 3_000, "{round}");
        (0..model.executors.len()).for_each(|executor| model.end(executor));
    }
}

/// Guards against a task above the equal part of its cell that waits as long as another cell asks.
#[test]
fn a_task_above_the_equal_part_has_its_turn() {
    let mut model = Model::new();
    (model.holders[0].waiting, model.holders[0].next) = (10_000, 10_000);
    (model.holders[1].waiting, model.holders[1].next) = (24_000, 1_000);
    model.fill(1);
    let started = (0..12).any(|_| {
        Model::members(1).for_each(|executor| (0..4).for_each(|_| model.end(executor)));
        model.settle();
        let started = model.start(0, 0, 10_000);
        model.fill(1);
        assert!(model.check().is_ok());
        started
    });
    assert!(started);
}

/// Guards against a row that nobody can read and that either lifts the limit or stops everybody.
#[test]
fn a_row_that_cannot_be_decoded_is_replaced() {
    let mut model = Model::new();
    model.holders[0].waiting = LIMIT;
    model.settle();
    let holder = model.holder(0);
    (0..8).for_each(|_| assert!(model.start(holder, 0, 1_000)));
    model.table.corrupt();
    (0..CELLS.len()).for_each(|n| model.read(n));
    // Its holder still has its grant, and the others nothing more.
    assert!(model.start(0, 0, 1_000));
    model.holders[1].waiting = LIMIT;
    model.decide(1, Fate::Applied);
    let content = model.table.content().expect("the row was replaced");
    assert_eq!(content.awaited, IndexSet::from(["a".to_owned(), "c".to_owned()]));
    model.fill(1);
    assert_eq!(model.use_of(1), 0);
    model.settle();
    assert!(model.table.content().expect("the row can be read").awaited.is_empty());
    model.fill(1);
    assert_eq!(model.total_use(), LIMIT);
}

/// Guards against a holder that records a grant of which it has returned a part by a write without
/// an answer, if the row can't be decoded, or has been replaced, when it reads it next.
#[test]
fn what_an_unanswered_write_returned_is_not_recorded_again() {
    for replaced_unseen in [false, true] {
        let mut model = Model::new();
        model.holders[0].waiting = LIMIT;
        model.settle();
        model.holders[0].waiting = 0;
        while model.table.granted("a") == LIMIT {
            model.decide(0, Fate::Unanswered);
        }
        let returned = LIMIT - model.table.granted("a");
        model.holders[1].waiting = LIMIT;
        model.read(1);
        model.decide(1, Fate::Applied);
        assert_eq!(model.table.granted("b"), returned);
        model.table.corrupt();
        if replaced_unseen {
            model.read(1);
            model.decide(1, Fate::Applied);
        }
        model.holders[0].waiting = LIMIT;
        for _ in 0..2 {
            model.read(0);
            model.fill(0);
            model.fill(1);
            assert!(model.check().is_ok(), "{:?}", model.check());
            model.decide(0, Fate::Applied);
        }
        model.settle();
        model.fill(0);
        assert_eq!(model.total_use(), LIMIT);
        assert!(model.check().is_ok(), "{:?}", model.check());
    }
}

/// Guards against a new holder that takes its entry for the cell's grant although it has not heard of
/// all runs, if the row can't be decoded for a second time.
#[test]
fn a_cell_is_awaited_until_its_runs_are_known() {
    let mut model = Model::new();
    model.holders[0].waiting = LIMIT;
    model.settle();
    model.fill(0);
    assert_eq!(model.total_use(), LIMIT);
    model.take_over(0, false);
    let new = model.holder(0);
    for _ in 0..2 {
        model.table.corrupt();
        model.read(new);
        model.decide(new, Fate::Applied);
    }
    let other = model.holder(1);
    model.holders[other].waiting = LIMIT;
    for holder in 0..model.holders.len() - 1 {
        (0..EXECUTORS_PER_CELL).for_each(|n| model.poll(holder, n));
        model.read(holder);
        model.decide(holder, Fate::Applied);
    }
    model.read(other);
    model.decide(other, Fate::Applied);
    model.fill(1);
    assert!(model.check().is_ok(), "{:?}", model.check());
}

/// Guards against a removed pool whose grant nobody can use any more.
#[test]
fn the_grant_of_an_abandoned_cell_is_freed() {
    let mut model = Model::new();
    model.holders[2].waiting = LIMIT;
    model.settle();
    assert_eq!(model.table.granted("c"), LIMIT);
    let needs = IndexMap::from([(
        ORGANISATION.to_owned(),
        Need { waiting: cpu(LIMIT), ..Need::default() },
    )]);
    let configured = IndexSet::from(["a".to_owned(), "b".to_owned()]);
    let abandoned = IndexSet::from(["c".to_owned()]);
    let limits = limits(LIMIT);
    let circumstances = Circumstances {
        limits: &limits,
        needs: &needs,
        capacity: cpu(64_000),
        settled: true,
        turn: 0,
        configured: &configured,
        abandoned: &abandoned,
    };
    let exchange = &mut model.holders[0].exchange;
    let write = exchange.propose(&circumstances, model.now + 1_000).expect("the grant is freed");
    model.table.apply(&write).expect("nobody else has written");
    let content = model.table.content().expect("the row can be decoded");
    assert!(!content.cells().contains("c"));
    assert_eq!(model.table.granted("a"), LIMIT);
    // A holder of that cell that appears again starts nothing before it has a new entry.
    model.read(2);
    model.fill(2);
    assert_eq!(model.use_of(2), 0);
}
