//! A process with its tasks, against a table, executors and machines in memory.
//!
//! The tests guard against executors that are given up though they live, leases that are released before
//! their holder has stopped, and machines whose orders hold up others or are not on record.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use base::Timeline;
use cells::ports::{
    AdviceError, Adviser, Committed, Dialect, Executor, Executors, Instruction, Machine,
    MachineError, Machines, OrderError, Page, Permissions, Place, PollRequest, ReadError, Row,
    StartOrder, Store, Transaction, TransactionError,
};
use cells::rows::{self, Duty, Lease};
use cells::{Bounds, Metrics, Node, Ports, Settings, clock, keys};
use futures_util::future::LocalBoxFuture;
use indexmap::IndexMap;
use jobs::cell::StartOutcome;
use jobs::queue::Pool;
use jobs::wave::Wave;
use jobs::worker::{EndedRun, PresentRun};
use jobs::{Configuration, ExecutorReport, Queue, Registration, Resources, RunOutcome, TaskId};

const POOL: &str = "p";
const MACHINE: &str = "m-1";
const STANDBY: &str = "s";
const OTHER_KIND: &str = "m-3";

type Written = (u64, Place, Option<Vec<u8>>);

/// Everything that a process sees of the platform.
#[derive(Default)]
struct World {
    rows: RefCell<IndexMap<Place, (u64, Vec<u8>)>>,
    changes: RefCell<Vec<Written>>,
    version: Cell<u64>,
    /// Part that accepts no writes.
    failing_part: RefCell<Option<String>>,
    waves: RefCell<Vec<Wave>>,
    present: RefCell<Vec<PresentRun>>,
    ended: RefCell<Vec<EndedRun>>,
    /// Times of the latest poll of the machine's executor and of the latest list of machines, in
    /// milliseconds.
    polled_at: Cell<u64>,
    listed_at: Cell<u64>,
    /// Number of orders for maintenance.
    orders: Cell<usize>,
    /// Whether the answers to orders for maintenance are lost.
    loses_answers: Cell<bool>,
    /// Time from which the machine is up, in milliseconds, and number of its maintenances.
    up_from: Cell<u64>,
    maintained: Cell<usize>,
    /// Epochs of the orders for maintenance, each with the one that the duty's row held then.
    epochs: RefCell<Vec<(u64, u64)>>,
    /// Machines on standby.
    standby: RefCell<Vec<String>>,
    /// Machines ordered into the pool.
    moved: RefCell<Vec<String>>,
}

impl World {
    fn write(&self, place: &Place, value: Option<Vec<u8>>) {
        let version = self.version.get();
        match &value {
            Some(value) => {
                self.rows.borrow_mut().insert(place.clone(), (version, value.clone()));
            }
            None => {
                self.rows.borrow_mut().swap_remove(place);
            }
        }
        self.changes.borrow_mut().push((version, place.clone(), value));
    }

    fn put(&self, place: &Place, value: Vec<u8>) {
        self.version.set(self.version.get() + 1);
        self.write(place, Some(value));
    }

    fn write_registry(&self, value: Option<Vec<u8>>) {
        self.version.set(self.version.get() + 1);
        self.write(&Place::new("registry", "", &self.executor()), value);
    }

    fn get<T: serde::de::DeserializeOwned>(&self, place: &Place) -> Option<T> {
        let rows = self.rows.borrow();
        rows.get(place).map(|(_, value)| rows::decode(value).expect("the row can be decoded"))
    }

    fn page(&self, rows: Vec<Row>) -> Page {
        Page { rows, more: false, version: self.version.get(), clock: clock::now() }
    }

    /// Id of the machine's executor, a new one after each maintenance.
    fn executor(&self) -> String {
        format!("executor-2{}", "b".repeat(self.maintained.get()))
    }

    fn is_released(&self, cell: &str) -> bool {
        self.get::<Lease>(&keys::lease(cell)).is_some_and(|lease| lease.holder.is_empty())
    }
}

/// Client of a world, for all of its interfaces.
#[derive(Clone)]
struct Client(Rc<World>);

impl Store for Client {
    fn apply<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> LocalBoxFuture<'a, Result<Committed, TransactionError>> {
        Box::pin(async move {
            let world = &self.0;
            let places = transaction.writes.iter().map(|(place, _)| place);
            if places
                .chain(&transaction.removes)
                .any(|p| Some(&p.part) == world.failing_part.borrow().as_ref())
            {
                return Err(TransactionError::Refused { detail: "out of service".to_owned() });
            }
            let row = |place: &Place| {
                let rows = world.rows.borrow();
                let (version, value) = rows.get(place).cloned().unzip();
                Row { place: place.clone(), version: version.unwrap_or(0), value }
            };
            if transaction.expect.iter().any(|(place, version)| row(place).version != *version) {
                let rows = transaction.expect.iter().map(|(place, _)| row(place)).collect();
                return Err(TransactionError::Conflict { rows });
            }
            world.version.set(world.version.get() + 1);
            for (place, value) in &transaction.writes {
                world.write(place, Some(value.clone()));
            }
            transaction.removes.iter().for_each(|place| world.write(place, None));
            Ok(Committed { version: world.version.get(), clock: clock::now() })
        })
    }

    fn read<'a>(
        &'a self,
        from: &'a Place,
        limit: usize,
    ) -> LocalBoxFuture<'a, Result<Page, ReadError>> {
        Box::pin(async move {
            let rows = self.0.rows.borrow();
            let in_part = rows.iter().filter(|(place, _)| {
                place.table == from.table && place.part == from.part && place.key >= from.key
            });
            let row = |(place, (version, value)): (&Place, &(u64, Vec<u8>))| Row {
                place: place.clone(),
                version: *version,
                value: Some(value.clone()),
            };
            let mut found: Vec<Row> = in_part.map(row).collect();
            found.sort_by(|a, b| a.place.key.cmp(&b.place.key));
            found.truncate(limit);
            Ok(self.0.page(found))
        })
    }

    fn parts<'a>(
        &'a self,
        table: &'a str,
        after: &'a str,
    ) -> LocalBoxFuture<'a, Result<Vec<String>, ReadError>> {
        Box::pin(async move {
            let rows = self.0.rows.borrow();
            let in_table = rows.keys().filter(|p| p.table == table && p.part.as_str() > after);
            let mut parts: Vec<String> = in_table.map(|place| place.part.clone()).collect();
            parts.sort();
            parts.dedup();
            Ok(parts)
        })
    }

    fn feed<'a>(
        &'a self,
        table: &'a str,
        after: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<Page, ReadError>> {
        Box::pin(async move {
            let until = clock::now() + u64::try_from(wait.as_millis()).unwrap_or(0);
            loop {
                let changed: Vec<Row> = (self.0.changes.borrow().iter())
                    .filter(|(version, place, _)| *version > after && place.table == table)
                    .map(|(version, place, value)| Row {
                        place: place.clone(),
                        version: *version,
                        value: value.clone(),
                    })
                    .collect();
                if !changed.is_empty() || clock::now() >= until {
                    return Ok(self.0.page(changed));
                }
                sleep(5).await;
            }
        })
    }
}

impl Executors for Client {
    fn start<'a>(
        &'a self,
        _: &'a Executor,
        _: u64,
        order: &'a StartOrder<'a>,
    ) -> LocalBoxFuture<'a, StartOutcome> {
        Box::pin(async move {
            self.0.present.borrow_mut().push(PresentRun {
                task: order.task.clone(),
                run: order.run,
                checkpoint: String::new(),
                percent: 50,
                gauge: 0,
            });
            StartOutcome::Running(clock::now())
        })
    }

    fn stop<'a>(
        &'a self,
        _: &'a Executor,
        _: u64,
        _: &'a TaskId,
        _: u64,
    ) -> LocalBoxFuture<'a, Result<(), OrderError>> {
        Box::pin(async { Ok(()) })
    }

    fn pace<'a>(
        &'a self,
        _: &'a Executor,
        _: u64,
        _: &'a TaskId,
        _: u64,
        _: u64,
    ) -> LocalBoxFuture<'a, Result<(), OrderError>> {
        Box::pin(async { Ok(()) })
    }

    fn poll<'a>(
        &'a self,
        to: &'a Executor,
        _: u64,
        _: &'a PollRequest,
    ) -> LocalBoxFuture<'a, Result<ExecutorReport, OrderError>> {
        Box::pin(async move {
            if to.id == self.0.executor() {
                self.0.polled_at.set(clock::now());
            }
            Ok(ExecutorReport {
                clock: clock::now(),
                present: self.0.present.borrow().clone(),
                ended: self.0.ended.borrow().clone(),
            })
        })
    }
}

impl Machines for Client {
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<Machine>, MachineError>> {
        Box::pin(async move {
            self.0.listed_at.set(clock::now());
            let machine = |name: &str, pool: &str, executor: &str| Machine {
                name: name.to_owned(),
                pool: pool.to_owned(),
                up: true,
                executor: executor.to_owned(),
                cpu: 4_000,
            };
            let mut first = machine(MACHINE, POOL, &self.0.executor());
            first.up = clock::now() >= self.0.up_from.get();
            let mut machines = vec![first];
            machines.push(machine("m-2", POOL, "executor-3"));
            let standby = self.0.standby.borrow();
            machines.extend(standby.iter().map(|name| machine(name, STANDBY, "")));
            Ok(machines)
        })
    }

    /// Accepts the order, without any effect if the maintenance is done. The machine then has a new
    /// executor after half a second.
    fn start_maintenance<'a>(
        &'a self,
        machine: &'a str,
        wave: u64,
        epoch: u64,
    ) -> LocalBoxFuture<'a, Result<(), MachineError>> {
        let world = &self.0;
        world.orders.set(world.orders.get() + 1);
        let duty = world.get::<Duty>(&keys::maintenance(wave, machine));
        world.epochs.borrow_mut().push((epoch, duty.map_or(0, |duty| duty.epoch)));
        let lost = world.loses_answers.replace(false);
        if lost {
            world.write_registry(None);
            world.maintained.set(world.maintained.get() + 1);
            world.write_registry(Some(Vec::new()));
            world.up_from.set(clock::now() + 500);
        }
        Box::pin(async move {
            let detail = "no response".to_owned();
            if lost { Err(MachineError::Unknown { detail }) } else { Ok(()) }
        })
    }

    /// Refuses the machines of another kind.
    fn move_to_pool<'a>(
        &'a self,
        machine: &'a str,
        _: &'a str,
        _: u64,
    ) -> LocalBoxFuture<'a, Result<(), MachineError>> {
        self.0.moved.borrow_mut().push(machine.to_owned());
        Box::pin(async move {
            if machine == OTHER_KIND {
                return Err(MachineError::Invalid {
                    detail: "a pool of other machines".to_owned(),
                });
            }
            Ok(())
        })
    }
}

impl Adviser for Client {
    fn advise<'a>(
        &'a self,
        _: &'a TaskId,
        _: &'a [String],
        _: Duration,
    ) -> LocalBoxFuture<'a, Result<Permissions, AdviceError>> {
        Box::pin(async { Err(AdviceError::Unsent) })
    }
}

impl Dialect for Client {
    fn instruction_table(&self) -> &'static str {
        "instructions"
    }

    fn registry_table(&self) -> &'static str {
        "registry"
    }

    fn parse_instruction(&self, row: &Row) -> Result<Option<Instruction>, String> {
        if row.place.key != "configuration" {
            let waves = self.0.waves.borrow();
            let wave = waves.iter().find(|wave| row.place.key == wave_key(wave.number));
            return Ok(wave.cloned().map(Instruction::Wave));
        }
        let queue = Queue {
            name: "q".to_owned(),
            pool: POOL.to_owned(),
            max_attempts: 3,
            stretch: 1_600,
            objective_base: 600,
            ..Queue::default()
        };
        let pool = |name: &str, standby| {
            (name.to_owned(), Pool { name: name.to_owned(), standby, ..Pool::default() })
        };
        Ok(Some(Instruction::Configuration(Box::new(Configuration {
            version: 1,
            queues: IndexMap::from([("q".to_owned(), queue)]),
            pools: IndexMap::from([pool(POOL, false), pool(STANDBY, true)]),
            ..Configuration::default()
        }))))
    }

    fn parse_registration(&self, row: &Row) -> Result<Registration, String> {
        Ok(Registration {
            id: row.place.key.clone(),
            pool: POOL.to_owned(),
            address: "10.0.0.1:1".to_owned(),
            ready: true,
            capacity: Resources { cpu: 4_000, memory: 4_000, gpus: 0 },
            ..Registration::default()
        })
    }

    fn wave_report(&self, wave: u64, complete: bool) -> (Place, Vec<u8>) {
        (report_place(wave), rows::encode(&complete))
    }
}

/// Key of the instruction of a wave.
fn wave_key(wave: u64) -> String {
    format!("wave-{wave}")
}

/// Place of the report about a wave, in a part of its own.
fn report_place(wave: u64) -> Place {
    Place::new("reports", &wave_key(wave), "report")
}

async fn sleep(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Waits up to 10 s for a condition.
async fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let until = clock::now() + 10_000;
    while !condition() {
        assert!(clock::now() < until, "no {what} in 10 s");
        sleep(5).await;
    }
}

/// Starts a process in a world with one executor.
fn start(world: &Rc<World>) -> Node {
    world.put(&Place::new("instructions", "", "configuration"), Vec::new());
    world.put(&Place::new("registry", "", &world.executor()), Vec::new());
    let client = Client(Rc::clone(world));
    let ports = Ports {
        store: Rc::new(client.clone()),
        executors: Rc::new(client.clone()),
        machines: Rc::new(client.clone()),
        adviser: Rc::new(client.clone()),
        dialect: Rc::new(client),
    };
    let bounds = Bounds {
        lease: 6_000,
        handover: 500,
        stop: 900,
        early: 0,
        grace: 6_000,
        revocation: 0,
        revoke_when_cut: false,
    };
    let settings = Settings {
        max_row_bytes: 65_536,
        name: "a".to_owned(),
        centre: "c".to_owned(),
        cpu: 1_000,
        order_rate: 40,
        forecast_peaks: true,
        order: None,
        bounds,
    };
    let metrics = Metrics::register(&prometheus::Registry::new()).expect("names are unique");
    Node::spawn(settings, ports, Timeline::new("a"), metrics)
}

/// Guards against an executor that its cell gives up for good, as the platform accepted the repeated
/// order for a maintenance that was done before the executor began.
#[test]
fn an_executor_that_began_after_its_maintenance_is_still_polled_once_the_wave_is_complete() {
    actix::System::new().block_on(async {
        let world = Rc::new(World::default());
        // A former holder's order was carried out, but its answer was lost or not recorded.
        put_ordered_duty(&world, "executor-1");
        expect_polls_after_wave(&world).await;
    });
}

/// Guards against the same fault under one holder, which got no answer to its order.
#[test]
fn an_executor_that_began_after_an_unanswered_maintenance_order_is_still_polled() {
    actix::System::new().block_on(async {
        let world = Rc::new(World::default());
        world.loses_answers.set(true);
        expect_polls_after_wave(&world).await;
    });
}

/// Guards against an order that a successor can't see: it would order the same machine at once.
#[test]
fn a_repeated_maintenance_order_is_recorded_before_it_is_sent() {
    actix::System::new().block_on(async {
        let world = Rc::new(World::default());
        // A former holder's order was not carried out.
        put_ordered_duty(&world, &world.executor());
        put_wave(&world);
        let _node = start(&world);
        wait_for("order", || world.orders.get() > 0).await;
        let epochs = world.epochs.borrow();
        assert!(epochs.iter().all(|(order, recorded)| order == recorded), "{epochs:?}");
    });
}

/// Guards against a wave that loses its first seconds while one part of the table is out of service.
#[test]
fn a_wave_begins_although_the_time_of_its_start_cannot_be_stored() {
    actix::System::new().block_on(async {
        let world = Rc::new(World::default());
        *world.failing_part.borrow_mut() = Some(keys::WAVE_PART.to_owned());
        put_wave(&world);
        let _node = start(&world);
        wait_for("order", || world.orders.get() > 0).await;
    });
}

/// Writes the duty of a machine that a former holder has ordered down after emptying an executor.
fn put_ordered_duty(world: &World, executor: &str) {
    let duty = Duty {
        machine: MACHINE.to_owned(),
        wave: 1,
        stage: "down".to_owned(),
        executor: executor.to_owned(),
        emptied: true,
        ordered_at: 1,
        epoch: 1,
        ..Duty::default()
    };
    world.put(&keys::maintenance(1, MACHINE), rows::encode(&duty));
}

/// Guards against a wave that waits for as long as the report about an earlier one can't be written.
#[test]
fn a_wave_whose_report_fails_does_not_hold_up_another() {
    actix::System::new().block_on(async {
        let world = Rc::new(World::default());
        *world.failing_part.borrow_mut() = Some(wave_key(1));
        put_wave_of(&world, 1, "m-unlisted");
        put_wave_of(&world, 2, MACHINE);
        let _node = start(&world);
        wait_for("end of the second wave", || world.get(&report_place(2)) == Some(true)).await;
        assert_eq!(world.get::<bool>(&report_place(1)), None);
        *world.failing_part.borrow_mut() = None;
        wait_for("report of the first wave", || world.get(&report_place(1)) == Some(true)).await;
    });
}

/// Orders a wave of one machine.
fn put_wave(world: &World) {
    put_wave_of(world, 1, MACHINE);
}

/// Orders a wave of a machine.
fn put_wave_of(world: &World, number: u64, machine: &str) {
    world.waves.borrow_mut().push(Wave {
        number,
        machines: vec![machine.to_owned()],
        max_down: 1,
        time_limit: 26_000,
    });
    world.put(&Place::new("instructions", "", &wave_key(number)), Vec::new());
}

/// Lets a process carry out a wave of one machine, and expects polls of the machine's executor after
/// it.
async fn expect_polls_after_wave(world: &Rc<World>) {
    put_wave(world);
    let _node = start(world);
    wait_for("end of the wave", || world.get(&report_place(1)) == Some(true)).await;
    sleep(500).await;
    let since = clock::now();
    sleep(4_000).await;
    let (orders, polled) = (world.orders.get(), world.polled_at.get());
    assert!(polled > since, "not polled for 4 s, after {orders} orders");
}

/// Guards against leases that are released while their holder still sends orders: the holder has
/// changes to write at a planned stop.
#[test]
fn a_process_that_stops_releases_its_leases_only_once_it_sends_no_more_orders() {
    actix::System::new().block_on(async {
        let world = Rc::new(World::default());
        let node = start(&world);
        let (cell, fleet) = (POOL, keys::FLEET_CELL);
        let holds = |cell: &str| world.get::<Lease>(&keys::lease(cell)).is_some();
        wait_for("holder", || holds(cell) && holds(fleet) && world.polled_at.get() > 0).await;
        let id = "5c0e7a21d94b36f8";
        let part = keys::part("q", id);
        let job = Place::new(&keys::jobs_table(cell), &part, id);
        world.put(&job, br#"{"q":"q","s":[{"n":1,"c":100,"e":500}]}"#.to_vec());
        wait_for("start", || !world.present.borrow().is_empty()).await;
        sleep(500).await;
        *world.failing_part.borrow_mut() = Some(part);
        let run = world.present.borrow_mut().remove(0);
        world.ended.borrow_mut().push(EndedRun {
            sequence: 1,
            task: run.task,
            run: run.run,
            outcome: RunOutcome::Done,
            checkpoint: String::new(),
        });
        sleep(300).await;
        let watched = Rc::clone(&world);
        let released = Rc::new(Cell::new((0, 0)));
        let seen = Rc::clone(&released);
        actix::spawn(async move {
            loop {
                let (mut at_cell, mut at_fleet) = seen.get();
                if at_cell == 0 && watched.is_released(POOL) {
                    at_cell = clock::now();
                }
                if at_fleet == 0 && watched.is_released(keys::FLEET_CELL) {
                    at_fleet = clock::now();
                }
                seen.set((at_cell, at_fleet));
                sleep(2).await;
            }
        });
        node.close().await;
        sleep(300).await;
        let (at_cell, at_fleet) = released.get();
        let late = |at: u64, last: u64| last.saturating_sub(at);
        assert!(at_cell > 0 && at_fleet > 0, "the leases are released");
        let polled = late(at_cell, world.polled_at.get());
        let listed = late(at_fleet, world.listed_at.get());
        assert!(
            polled < 20 && listed < 20,
            "polled executors for {polled} ms and carried out duties for {listed} ms after"
        );
    });
}

/// Guards against a pool that stays too small as one machine, whose move the platform refuses, is
/// ordered again and again in place of the others.
#[test]
fn a_machine_whose_move_is_refused_does_not_keep_others_from_moving() {
    actix::System::new().block_on(async {
        let world = Rc::new(World::default());
        *world.standby.borrow_mut() = vec![OTHER_KIND.to_owned(), "m-4".to_owned()];
        let _node = start(&world);
        wait_for("order", || !world.moved.borrow().is_empty()).await;
        sleep(5_000).await;
        let moved = world.moved.borrow();
        let orders = moved.len();
        assert!(moved.iter().any(|name| name == "m-4"), "{orders} orders for the refused machine");
    });
}
