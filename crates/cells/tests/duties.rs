//! Writes of many duties at once, to a table that counts its transactions.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use cells::duties::{Duties, DutyChange, write};
use cells::keys;
use cells::ports::{Committed, Page, Place, ReadError, Row, Store, Transaction, TransactionError};
use cells::rows::{self, Duty};
use futures_util::future::LocalBoxFuture;
use indexmap::IndexMap;

/// Table with rows in memory.
#[derive(Default)]
struct Table {
    rows: RefCell<IndexMap<Place, (u64, Vec<u8>)>>,
    version: Cell<u64>,
    /// Number of transactions by part.
    transactions: RefCell<IndexMap<String, usize>>,
}

impl Table {
    fn put(&self, place: &Place, duty: &Duty) -> u64 {
        self.version.set(self.version.get() + 1);
        self.rows.borrow_mut().insert(place.clone(), (self.version.get(), rows::encode(duty)));
        self.version.get()
    }

    fn duty(&self, place: &Place) -> Option<Duty> {
        let rows = self.rows.borrow();
        rows.get(place).map(|(_, value)| rows::decode(value).expect("the row is a duty"))
    }
}

impl Store for Table {
    fn apply<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> LocalBoxFuture<'a, Result<Committed, TransactionError>> {
        Box::pin(async move {
            let part = transaction.expect[0].0.part.clone();
            assert!(transaction.expect.iter().all(|(place, _)| place.part == part));
            *self.transactions.borrow_mut().entry(part).or_default() += 1;
            let entries =
                transaction.expect.len() + transaction.writes.len() + transaction.removes.len();
            assert!(entries <= 100, "{entries} entries");
            let mut rows = self.rows.borrow_mut();
            let version = |place: &Place| rows.get(place).map_or(0, |(version, _)| *version);
            if transaction.expect.iter().any(|(place, expected)| version(place) != *expected) {
                // Like the platform's table, leaves out rows that do not exist.
                let current = |(place, _): &(Place, u64)| {
                    let (version, value) = rows.get(place)?;
                    Some(Row {
                        place: place.clone(),
                        version: *version,
                        value: Some(value.clone()),
                    })
                };
                let rows = transaction.expect.iter().filter_map(current).collect();
                return Err(TransactionError::Conflict { rows });
            }
            self.version.set(self.version.get() + 1);
            for (place, value) in &transaction.writes {
                rows.insert(place.clone(), (self.version.get(), value.clone()));
            }
            for place in &transaction.removes {
                rows.swap_remove(place);
            }
            Ok(Committed { version: self.version.get(), clock: 0 })
        })
    }

    fn read<'a>(&'a self, _: &'a Place, _: usize) -> LocalBoxFuture<'a, Result<Page, ReadError>> {
        unreachable!("duties are written only")
    }

    fn parts<'a>(
        &'a self,
        _: &'a str,
        _: &'a str,
    ) -> LocalBoxFuture<'a, Result<Vec<String>, ReadError>> {
        unreachable!("duties are written only")
    }

    fn feed<'a>(
        &'a self,
        _: &'a str,
        _: u64,
        _: Duration,
    ) -> LocalBoxFuture<'a, Result<Page, ReadError>> {
        unreachable!("duties are written only")
    }
}

fn duty(machine: &str, emptied: bool) -> Duty {
    Duty {
        machine: machine.to_owned(),
        stage: "emptying".to_owned(),
        executor: format!("executor of {machine}"),
        emptied,
        ..Duty::default()
    }
}

/// Writes duties of `count` machines to the table and returns the changes that mark their executors
/// as emptied.
fn emptied_executors(table: &Table, duties: &RefCell<Duties>, count: usize) -> Vec<DutyChange> {
    let names = (0..count).map(|n| format!("m-{n}"));
    let change = |name: String| {
        let place = keys::pool_move(&name);
        let version = table.put(&place, &duty(&name, false));
        duties.borrow_mut().insert(&place.key, version, duty(&name, false));
        DutyChange { place, version, duty: Some(duty(&name, true)) }
    };
    names.map(change).collect()
}

/// Guards against one transaction for each machine: a part takes 150 transactions a second, and at the start of a peak several hundred executors are emptied within a second.
#[actix::test]
async fn executors_emptied_at_the_start_of_a_peak_take_a_twentieth_of_each_parts_transactions() {
    let (table, duties) = (Table::default(), RefCell::new(Duties::default()));
    let changes = emptied_executors(&table, &duties, 300);
    let written = write(&table, &duties, changes).await;
    assert_eq!(written.keys.len(), 300);
    let transactions = table.transactions.borrow();
    assert!(transactions.values().all(|count| *count <= 150 / 20), "{transactions:?}");
    assert!(duties.borrow().in_progress().all(|(.., duty)| duty.emptied));
}

/// Guards against a round whose orders all wait because one row was changed by another process.
#[actix::test]
async fn a_row_that_another_process_has_changed_does_not_hold_back_the_others() {
    let (table, duties) = (Table::default(), RefCell::new(Duties::default()));
    let changes = emptied_executors(&table, &duties, 40);
    let changed = changes[7].place.clone();
    let newer = Duty { wave: 3, ..duty("m-7", false) };
    let version = table.put(&changed, &newer);
    let written = write(&table, &duties, changes).await;
    assert_eq!(written.keys.len(), 39);
    assert!(!written.keys.contains(&changed.key));
    assert_eq!(table.duty(&changed), Some(newer.clone()), "the newer row is left as it is");
    assert_eq!(duties.borrow().get(&changed.key), Some(&(version, newer)));
}

/// Guards against a change that brings a removed row back, and against one that fails with its whole
/// transaction for ever.
#[actix::test]
async fn a_row_that_was_removed_meanwhile_stays_removed_and_holds_back_no_other() {
    let (table, duties) = (Table::default(), RefCell::new(Duties::default()));
    let changes = emptied_executors(&table, &duties, 2);
    let removed = changes[0].place.clone();
    table.rows.borrow_mut().swap_remove(&removed);
    let written = write(&table, &duties, changes).await;
    assert_eq!((written.keys.len(), written.errors.len()), (1, 0), "{written:?}");
    assert_eq!(table.duty(&removed), None);
    assert!(duties.borrow().get(&removed.key).is_none());
}

/// Guards against a live executor that counts as ended, because an order for its machine was accepted
/// that an earlier one without a response had carried out.
#[test]
fn an_order_after_one_without_a_response_may_leave_the_executor_alive() {
    let due = Duty { machine: "m".to_owned(), wave: 1, ..Duty::default() };
    assert!(!due.empty_again("e1").may_be_carried_out(), "no order was sent");
    let ordered = Duty { stage: "down".to_owned(), emptied: true, ordered_at: 5, epoch: 3, ..due };
    let again = ordered.empty_again("e2");
    assert!(again.may_be_carried_out());
    assert_eq!((again.stage.as_str(), again.executor.as_str()), ("emptying", "e2"));
    assert!(!again.emptied && !again.executor_ended);
}
