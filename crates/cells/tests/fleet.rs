//! A process with its tasks, against a table, executors and machines in memory.
//!
//! The tests guard against executors that are given up though they live, leases that are released before
//! their holder has stopped, machines whose orders hold up others or are not on record, and holders
//! that act on what was true under another holder.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use base::Timeline;
use cells::ports::{
    AdviceError, Adviser, Committed, Dialect, Executor, Executors, Instruction, Machine,
    MachineError, Machines, OrderError, Page, Permissions, Place, PollRequest, ReadError, Row,
    StartOrder, Store, Transaction, TransactionError,
};
use cells::rows::{self, Duty, Fence, Heartbeat, Lease, Load, Roster, StateRow};
use cells::withdrawal::RETENTION_MS;
use cells::{Access, Bounds, JobApi, Metrics, Node, Ports, Reply, Settings, clock, keys};
use futures_util::future::LocalBoxFuture;
use indexmap::{IndexMap, IndexSet};
use jobs::cell::{Refusal, StartOutcome};
use jobs::queue::Pool;
use jobs::wave::Wave;
use jobs::worker::{EndedRun, MAX_CONCURRENT_STARTS, PresentRun};
use jobs::{
    Configuration, ExecutorReport, Job, Queue, Registration, Resources, RunOutcome, State, Step,
    TaskId,
};

const POOL: &str = "p";
const MACHINE: &str = "m-1";
const STANDBY: &str = "s";
const OTHER_KIND: &str = "m-3";
/// Duration of a read while rates are limited, in milliseconds.
const READ_MS: u64 = 4;

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
    /// Times of the orders for maintenance, in milliseconds.
    ordered_at: RefCell<Vec<u64>>,
    /// Epochs of the starts.
    starts: RefCell<Vec<u64>>,
    /// Whether starts are refused because of a higher epoch.
    fences_starts: Cell<bool>,
    /// Time after which the next claim of the pool's cell is answered, in milliseconds.
    claim_delay: Cell<u64>,
    /// Time that a transaction with duties takes, in milliseconds.
    duty_delay: Cell<u64>,
    /// Part that can't be read.
    unread_part: RefCell<Option<String>>,
    /// Whether leases and guard rows can't be read.
    hides_leases: Cell<bool>,
    /// Whether the feed of duties gets no answers.
    holds_duties: Cell<bool>,
    /// Whether guard rows can't be read.
    hides_guards: Cell<bool>,
    /// Executor that does not answer polls.
    silent: RefCell<Option<String>>,
    /// Reads and writes that the table accepts a second, and at once after a second without any; it
    /// refuses further ones. 0 for no limit.
    rates: Cell<(u64, u64)>,
    /// Reads and writes accepted or due since the limit was set: thousandths that are left, and when
    /// they were counted, in milliseconds.
    left: Cell<[u64; 2]>,
    counted_at: Cell<u64>,
    /// Number of refused calls.
    refused: Cell<usize>,
    /// Number of reads under way, and the most at a time.
    open_reads: Cell<usize>,
    most_reads: Cell<usize>,
    /// Number of polls that have renewed the lease of the machine's executor.
    renewals: Cell<usize>,
    /// Time by which the table's clock is ahead of the process's, in milliseconds.
    clock_lead: Cell<u64>,
    /// Memory of the process for jobs, in bytes; 0 for the usual.
    job_memory: Cell<usize>,
    /// Tasks whose stop was ordered.
    stops: RefCell<Vec<TaskId>>,
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

    /// Limits the rates of reads and writes.
    fn limit_rates(&self, reads: u64, writes: u64) {
        self.rates.set((reads, writes));
        self.left.set([reads * 1_000, writes * 1_000]);
        self.counted_at.set(clock::now());
    }

    /// Whether the rates permit one more read, or write.
    fn permits_call(&self, is_write: bool) -> bool {
        let (reads, writes) = self.rates.get();
        if reads == 0 {
            return true;
        }
        let elapsed = clock::now() - self.counted_at.replace(clock::now());
        let [reads_left, writes_left] = self.left.get();
        let mut left = [
            (reads_left + elapsed * reads).min(reads * 1_000),
            (writes_left + elapsed * writes).min(writes * 1_000),
        ];
        let kind = &mut left[usize::from(is_write)];
        let is_permitted = *kind >= 1_000;
        *kind -= if is_permitted { 1_000 } else { 0 };
        self.left.set(left);
        self.refused.set(self.refused.get() + usize::from(!is_permitted));
        is_permitted
    }

    fn page(&self, rows: Vec<Row>) -> Page {
        let clock = clock::now() + self.clock_lead.get();
        Page { rows, more: false, version: self.version.get(), clock }
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
            if !world.permits_call(true) {
                return Err(TransactionError::Refused { detail: "too many calls".to_owned() });
            }
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
            let version = world.version.get();
            let writes = |is: &dyn Fn(&Place) -> bool| transaction.writes.iter().any(|w| is(&w.0));
            if writes(&|place| *place == keys::lease(POOL)) {
                sleep(world.claim_delay.take()).await;
            }
            if writes(&|place| place.table == keys::DUTY_TABLE) {
                sleep(world.duty_delay.get()).await;
            }
            Ok(Committed { version, clock: clock::now() + world.clock_lead.get() })
        })
    }

    fn read<'a>(
        &'a self,
        from: &'a Place,
        limit: usize,
    ) -> LocalBoxFuture<'a, Result<Page, ReadError>> {
        Box::pin(async move {
            if !self.0.permits_call(false) {
                return Err(ReadError::Overloaded { detail: "too many calls".to_owned() });
            }
            if self.0.rates.get().0 > 0 {
                self.0.open_reads.set(self.0.open_reads.get() + 1);
                self.0.most_reads.set(self.0.most_reads.get().max(self.0.open_reads.get()));
                sleep(READ_MS).await;
                self.0.open_reads.set(self.0.open_reads.get() - 1);
            }
            let is_hidden = from.part == keys::LEASE_PART || from.table == "guards";
            let is_unread = self.0.unread_part.borrow().as_ref() == Some(&from.part);
            if is_unread || (is_hidden && self.0.hides_leases.get()) {
                return Err(ReadError::Unavailable { detail: "out of service".to_owned() });
            }
            if from.table == "guards" && self.0.hides_guards.get() {
                return Err(ReadError::Unavailable { detail: "out of service".to_owned() });
            }
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
                while table == keys::DUTY_TABLE && self.0.holds_duties.get() {
                    sleep(5).await;
                }
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
        epoch: u64,
        order: &'a StartOrder<'a>,
    ) -> LocalBoxFuture<'a, StartOutcome> {
        Box::pin(async move {
            self.0.starts.borrow_mut().push(epoch);
            if self.0.fences_starts.get() {
                sleep(20).await;
                return StartOutcome::Refused(Refusal::Fenced);
            }
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
        task: &'a TaskId,
        _: u64,
    ) -> LocalBoxFuture<'a, Result<(), OrderError>> {
        self.0.stops.borrow_mut().push(task.clone());
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
        request: &'a PollRequest,
    ) -> LocalBoxFuture<'a, Result<ExecutorReport, OrderError>> {
        Box::pin(async move {
            if request.lease_end.is_some() && to.id == self.0.executor() {
                self.0.renewals.set(self.0.renewals.get() + 1);
            }
            if self.0.silent.borrow().as_ref() == Some(&to.id) {
                return Err(OrderError::Unanswered { detail: "no route".to_owned() });
            }
            if to.id == self.0.executor() {
                self.0.polled_at.set(clock::now());
            }
            self.0.ended.borrow_mut().retain(|end| end.sequence > request.acked_through);
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
        world.ordered_at.borrow_mut().push(clock::now());
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
    start_as("a", 500, world)
}

/// Like [`start`], with a name and the least time between the orders of two holders for a machine.
fn start_as(name: &str, handover: u64, world: &Rc<World>) -> Node {
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
        handover,
        stop: 900,
        early: 0,
        grace: 6_000,
        revocation: 0,
        revoke_when_cut: false,
    };
    let settings = Settings {
        max_row_bytes: 65_536,
        job_memory: match world.job_memory.get() {
            0 => 32 << 20,
            bytes => bytes,
        },
        name: name.to_owned(),
        centre: "c".to_owned(),
        cpu: 1_000,
        order_rate: 40,
        forecast_peaks: true,
        order: None,
        bounds,
    };
    let metrics = Metrics::register(&prometheus::Registry::new()).expect("names are unique");
    Node::spawn(settings, ports, Timeline::new(name), metrics)
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

/// Time for which a holder sends orders after its last confirmation, in milliseconds.
const ORDER_VALIDITY_MS: u64 = 3_500;
/// Time from a holder's last confirmation until all leases that it has granted are over, in
/// milliseconds.
const FORMER_LEASES_MS: u64 = 9_800;

/// Time between the orders of two holders for a machine in the tests about it, in milliseconds.
const HANDOVER_MS: u64 = 3_000;

/// Orders a wave of the machine and expects its first order no sooner than the time between two
/// holders after `former`, the time of a former holder's order.
async fn expect_order_after_handover(world: &Rc<World>, wave: u64, former: u64) {
    put_wave_of(world, wave, MACHINE);
    let _node = start_as("a", HANDOVER_MS, world);
    wait_for("order", || world.orders.get() > 0).await;
    let after = world.ordered_at.borrow()[0] - former;
    assert!(after >= HANDOVER_MS, "ordered {after} ms after a former holder's order");
}

/// Returns the duty of a machine that a former holder orders now.
fn ordered_now(wave: u64, executor: &str) -> Duty {
    Duty {
        machine: MACHINE.to_owned(),
        wave,
        stage: "down".to_owned(),
        executor: executor.to_owned(),
        emptied: true,
        ordered_at: clock::now(),
        epoch: 1,
        ..Duty::default()
    }
}

/// Guards against orders of two holders for one machine within the time between them, as the second
/// one drops the record of a move that the first one has ordered.
#[test]
fn a_machine_is_not_ordered_right_after_a_former_holders_order_for_a_move() {
    actix::System::new().block_on(async {
        let world = Rc::new(World::default());
        let duty = Duty { pool: STANDBY.to_owned(), ..ordered_now(0, &world.executor()) };
        world.put(&keys::pool_move(MACHINE), rows::encode(&duty));
        expect_order_after_handover(&world, 1, duty.ordered_at).await;
    });
}

/// Guards against the same fault where the first holder's order was carried out in less time.
#[test]
fn a_machine_is_not_ordered_right_after_a_maintenance_ordered_by_a_former_holder() {
    actix::System::new().block_on(async {
        let world = Rc::new(World::default());
        let duty = Duty { executor_ended: true, ..ordered_now(1, "executor-1") };
        world.put(&keys::maintenance(1, MACHINE), rows::encode(&duty));
        put_wave(&world);
        expect_order_after_handover(&world, 2, duty.ordered_at).await;
    });
}

/// Guards against the same fault where the record of the first holder's order was slow to write, so
/// that the order went out long after the time on record.
#[test]
fn a_machine_is_not_ordered_right_after_a_former_holders_order_with_a_slow_record() {
    actix::System::new().block_on(async {
        let world = Rc::new(World::default());
        world.duty_delay.set(900);
        world.loses_answers.set(true);
        put_wave(&world);
        let former = start_as("a", HANDOVER_MS, &world);
        wait_for("order", || world.orders.get() > 0).await;
        world.duty_delay.set(0);
        former.close().await;
        let _node = start_as("b", HANDOVER_MS, &world);
        wait_for("order of the next holder", || world.orders.get() > 1).await;
        let times = world.ordered_at.borrow();
        let after = times[1] - times[0];
        assert!(after >= HANDOVER_MS, "ordered {after} ms after a former holder's order");
    });
}

/// Makes another process the holder of the duties, which lives until the returned flag is set.
fn hold_duties(world: &Rc<World>) -> Rc<Cell<bool>> {
    let lease = Lease { holder: "b~1".to_owned(), term: 1 };
    world.put(&keys::lease(keys::FLEET_CELL), rows::encode(&lease));
    let released = Rc::new(Cell::new(false));
    let (former, is_released) = (Rc::clone(world), Rc::clone(&released));
    actix::spawn(async move {
        for count in 1.. {
            if is_released.get() {
                break;
            }
            let heartbeat = Heartbeat {
                count,
                start_time: 1,
                accepts_cells: true,
                cpu: 10,
                centre: "c".to_owned(),
            };
            former.put(&keys::heartbeat("b"), rows::encode(&heartbeat));
            sleep(200).await;
        }
    });
    released
}

/// Ends that holder and waits for the next one.
async fn release_duties(world: &World, released: &Cell<bool>) {
    let fleet = keys::lease(keys::FLEET_CELL);
    released.set(true);
    world.put(&fleet, rows::encode(&Lease { holder: String::new(), term: 1 }));
    let is_taken = || world.get(&fleet).is_some_and(|lease: Lease| lease.term > 1);
    wait_for("holder of the duties", is_taken).await;
}

/// Guards against more machines down than a wave allows, as a new holder of the duties plans with
/// rows from before the last order of the former one.
#[test]
fn a_new_holder_of_the_duties_counts_the_machines_that_its_predecessor_has_ordered_down() {
    actix::System::new().block_on(async {
        let world = Rc::new(World::default());
        let released = hold_duties(&world);
        // The order of the former holder is not repeated within the test.
        let _node = start_as("a", HANDOVER_MS, &world);
        wait_for("poll", || world.polled_at.get() > 0).await;
        let other = |stage: &str| Duty {
            machine: "m-2".to_owned(),
            wave: 1,
            stage: stage.to_owned(),
            executor: "executor-3".to_owned(),
            ..Duty::default()
        };
        let emptying =
            Duty { machine: MACHINE.to_owned(), executor: world.executor(), ..other("emptying") };
        world.put(&keys::maintenance(1, MACHINE), rows::encode(&emptying));
        world.put(&keys::maintenance(1, "m-2"), rows::encode(&other("emptying")));
        let is_emptied =
            || world.get(&keys::maintenance(1, MACHINE)).is_some_and(|d: Duty| d.emptied);
        wait_for("empty executor", is_emptied).await;
        world.holds_duties.set(true);
        let down = Duty { emptied: true, ordered_at: clock::now(), epoch: 1, ..other("down") };
        world.put(&keys::maintenance(1, "m-2"), rows::encode(&down));
        world.waves.borrow_mut().push(Wave {
            number: 1,
            machines: vec![MACHINE.to_owned(), "m-2".to_owned()],
            max_down: 1,
            time_limit: 26_000,
        });
        world.put(&Place::new("instructions", "", &wave_key(1)), Vec::new());
        release_duties(&world, &released).await;
        sleep(1_500).await;
        assert_eq!(world.orders.get(), 0, "ordered a second machine of the wave down");
    });
}

/// Guards against duties that stop for all machines, as a new holder can't read those of some, and
/// against orders for these, which the former holder may just have ordered.
#[test]
fn duties_that_a_new_holder_cannot_read_hold_up_no_others() {
    actix::System::new().block_on(async {
        let world = Rc::new(World::default());
        let released = hold_duties(&world);
        let _node = start(&world);
        wait_for("poll", || world.polled_at.get() > 0).await;
        let (first, second) = (keys::maintenance(1, MACHINE), keys::maintenance(2, "m-2"));
        assert_ne!(first.part, second.part);
        let emptying =
            |duty: Duty| Duty { stage: "emptying".to_owned(), ordered_at: 0, epoch: 0, ..duty };
        let duty = emptying(ordered_now(1, &world.executor()));
        world.put(&first, rows::encode(&Duty { emptied: false, ..duty }));
        let duty = emptying(ordered_now(2, "executor-3"));
        world.put(&second, rows::encode(&Duty { machine: "m-2".to_owned(), ..duty }));
        let is_emptied = || world.get(&first).is_some_and(|duty: Duty| duty.emptied);
        wait_for("empty executor", is_emptied).await;
        *world.unread_part.borrow_mut() = Some(second.part.clone());
        put_wave(&world);
        put_wave_of(&world, 2, "m-2");
        release_duties(&world, &released).await;
        wait_for("order", || world.orders.get() > 0).await;
        sleep(500).await;
        let stage = world.get::<Duty>(&second).map(|duty| duty.stage);
        assert_eq!(stage.as_deref(), Some("emptying"), "ordered though its last order is unknown");
        let orders = world.orders.get();
        *world.unread_part.borrow_mut() = None;
        wait_for("order of the other machine", || world.orders.get() > orders).await;
    });
}

/// Puts a job of some tasks.
fn put_job(world: &World, tasks: usize) {
    let id = "5c0e7a21d94b36f8";
    let job = Place::new(&keys::jobs_table(POOL), &keys::part("q", id), id);
    world.put(&job, format!(r#"{{"q":"q","s":[{{"n":{tasks},"c":100,"e":500}}]}}"#).into_bytes());
}

/// Guards against a task that runs twice: its holder was frozen while its claim was answered, and
/// counts the lease, which another process has taken meanwhile, from the answer on.
#[test]
fn a_claim_whose_answer_is_late_permits_no_orders() {
    actix::System::new().block_on(async {
        let world = Rc::new(World::default());
        world.claim_delay.set(4_000);
        put_job(&world, 1);
        let _node = start(&world);
        wait_for("claim", || world.get::<Lease>(&keys::lease(POOL)).is_some()).await;
        sleep(3_000).await;
        let lease = Lease { holder: "b~1".to_owned(), term: 2 };
        world.put(&keys::lease(POOL), rows::encode(&lease));
        let taken = world.version.get();
        wait_for("start", || !world.starts.borrow().is_empty()).await;
        let epoch = world.starts.borrow()[0];
        assert!(epoch > taken, "started under epoch {epoch}, another holder claimed at {taken}");
    });
}

/// Guards against a task that runs twice: its holder, which an executor has told of a later one, still
/// sends the starts that waited for a permit, to executors that have not heard of the later one.
#[test]
fn a_holder_sends_no_more_starts_once_an_executor_has_refused_its_epoch() {
    actix::System::new().block_on(async {
        let world = Rc::new(World::default());
        world.fences_starts.set(true);
        put_job(&world, MAX_CONCURRENT_STARTS + 2);
        let _node = start(&world);
        wait_for("start", || !world.starts.borrow().is_empty()).await;
        sleep(300).await;
        let starts = world.starts.borrow();
        let sent = starts.iter().filter(|epoch| **epoch == starts[0]).count();
        assert!(sent <= MAX_CONCURRENT_STARTS, "{sent} starts under a refused epoch");
    });
}

/// Guards against a machine that goes down under the runs of a later holder, as a former one, whose
/// lease can't be confirmed, reports its executor as empty.
#[test]
fn a_holder_with_an_unconfirmed_lease_reports_no_executor_as_empty() {
    actix::System::new().block_on(async {
        let world = Rc::new(World::default());
        let _node = start(&world);
        wait_for("poll", || world.polled_at.get() > 0).await;
        world.hides_leases.set(true);
        let lease = Lease { holder: "b~1".to_owned(), term: 2 };
        world.put(&keys::lease(POOL), rows::encode(&lease));
        sleep(4_000).await;
        let place = keys::maintenance(1, MACHINE);
        let duty = Duty {
            machine: MACHINE.to_owned(),
            wave: 1,
            stage: "emptying".to_owned(),
            executor: world.executor(),
            ..Duty::default()
        };
        world.put(&place, rows::encode(&duty));
        sleep(1_000).await;
        let is_emptied = world.get(&place).is_some_and(|duty: Duty| duty.emptied);
        assert!(!is_emptied, "reported as empty by a holder that may have been replaced");
    });
}

/// Guards against a task that runs twice: its former holder went on by its guard row long after the
/// lease was claimed, and the new holder counts the former leases from the claim on.
#[test]
fn leases_of_a_former_holder_count_from_the_claim_of_the_guard_rows() {
    actix::System::new().block_on(async {
        let world = Rc::new(World::default());
        let lease = Lease { holder: "b~1".to_owned(), term: 1 };
        world.put(&keys::lease(POOL), rows::encode(&lease));
        let epoch = world.version.get();
        (0..3).for_each(|n| world.put(&keys::guard(n, POOL), rows::encode(&epoch)));
        let workers = IndexMap::from([("executor-3".to_owned(), "h:1".to_owned())]);
        world.put(&keys::roster(0, POOL), rows::encode(&Roster { workers }));
        world.silent.replace(Some("executor-3".to_owned()));
        put_job(&world, 1);
        let part = keys::part("q", "5c0e7a21d94b36f8");
        let fence = Fence { epoch, startable_through: u64::MAX, ..Fence::default() };
        world.put(&keys::fence(&part, POOL), rows::encode(&fence));
        world.hides_guards.set(true);
        let _node = start(&world);
        let is_claimed =
            || world.get(&keys::lease(POOL)).is_some_and(|lease: Lease| lease.term == 2);
        wait_for("claim", is_claimed).await;
        sleep(FORMER_LEASES_MS).await;
        world.hides_guards.set(false);
        sleep(ORDER_VALIDITY_MS).await;
        assert!(world.polled_at.get() > 0, "the cell is not run");
        assert!(world.starts.borrow().is_empty(), "the former holder may still send orders");
    });
}

/// Puts a former holder, whose executor is that of the machine, and its jobs, one in each of `parts`.
fn put_former_holder(world: &World, parts: usize) {
    let lease = Lease { holder: "b~1".to_owned(), term: 1 };
    world.put(&keys::lease(POOL), rows::encode(&lease));
    let epoch = world.version.get();
    (0..3).for_each(|n| world.put(&keys::guard(n, POOL), rows::encode(&epoch)));
    let workers = IndexMap::from([(world.executor(), "h:1".to_owned())]);
    world.put(&keys::roster(0, POOL), rows::encode(&Roster { workers }));
    for n in 0..parts {
        let (part, id) = (format!("q-{n}"), format!("{n:016x}"));
        let fence = Fence { epoch, startable_through: u64::MAX, ..Fence::default() };
        world.put(&keys::fence(&part, POOL), rows::encode(&fence));
        let job = Place::new(&keys::jobs_table(POOL), &part, &id);
        world.put(&job, br#"{"q":"q","s":[{"n":1,"c":1,"e":500}]}"#.to_vec());
    }
}

/// Guards against a pool that never gets a holder again, as a new one reads all parts at once, gives up
/// at the first call that the table refuses, and reads all of them again.
#[test]
fn a_new_holder_reads_a_cell_of_many_parts_within_the_rates_of_the_table() {
    actix::System::new().block_on(async {
        let world = Rc::new(World::default());
        put_former_holder(&world, 600);
        let _node = start(&world);
        // Twice what a takeover may use.
        world.limit_rates(1_000, 300);
        wait_for("start", || !world.starts.borrow().is_empty()).await;
        let (most, refused) = (world.most_reads.get(), world.refused.get());
        assert!(most <= 64, "{most} reads under way");
        assert!(refused <= 600, "{refused} calls refused");
    });
}

/// Guards against tasks that end because their leases do while a new holder reads the jobs.
#[test]
fn leases_are_renewed_while_a_new_holder_cannot_read_all_parts() {
    actix::System::new().block_on(async {
        let world = Rc::new(World::default());
        put_former_holder(&world, 3);
        world.unread_part.replace(Some("q-1".to_owned()));
        let _node = start(&world);
        wait_for("renewal of the lease", || world.renewals.get() >= 2).await;
        assert!(world.starts.borrow().is_empty(), "started before all parts were read");
        world.unread_part.replace(None);
        wait_for("start", || !world.starts.borrow().is_empty()).await;
    });
}

/// Guards against writes to many parts that keep the table beyond its rate, as all of them are repeated
/// after a fixed time.
#[test]
fn repeated_writes_to_many_parts_leave_the_table_room() {
    const PARTS: usize = 400;
    const OBSERVED_MS: u64 = 3_000;
    actix::System::new().block_on(async {
        let world = Rc::new(World::default());
        for n in 0..PARTS {
            let job = Place::new(&keys::jobs_table(POOL), &format!("q-{n}"), &format!("{n:016x}"));
            world.put(&job, br#"{"q":"q","s":[{"n":1,"c":1,"e":500}]}"#.to_vec());
        }
        let _node = start(&world);
        wait_for("start of all jobs", || world.starts.borrow().len() == PARTS).await;
        sleep(500).await;
        // All jobs end at once.
        world.limit_rates(100_000, 50);
        let ended = world.present.take().into_iter().zip(1..).map(|(run, sequence)| EndedRun {
            sequence,
            task: run.task,
            run: run.run,
            outcome: RunOutcome::Done,
            checkpoint: String::new(),
        });
        world.ended.replace(ended.collect());
        sleep(OBSERVED_MS).await;
        let refused = u64::try_from(world.refused.get()).expect("a small number");
        // At most 32 repeats in 80 ms, and the first attempts.
        let most = OBSERVED_MS * 32 / 80 + PARTS as u64;
        assert!((100..=most).contains(&refused), "{refused} writes refused, at most {most}");
    });
}

const JOB: &str = "5c0e7a21d94b36f8";

fn state_place() -> Place {
    keys::state(&keys::part("q", JOB), JOB)
}

fn job_row(world: &World) -> bool {
    let place = Place::new(&keys::jobs_table(POOL), &keys::part("q", JOB), JOB);
    world.rows.borrow().contains_key(&place)
}

/// Calls the job API of a process for the queue `q`.
struct Caller {
    job_api: Rc<JobApi>,
    access: Access,
}

impl Caller {
    async fn new(node: &Node, world: &World) -> Self {
        wait_for("poll", || world.polled_at.get() > 0).await;
        let job_api = node.job_api();
        let queue = Queue {
            name: "q".to_owned(),
            pool: POOL.to_owned(),
            max_attempts: 3,
            stretch: 1_600,
            objective_base: 600,
            ..Queue::default()
        };
        let access = Access { queue, version: 1, organisation: None };
        Self { job_api, access }
    }

    async fn submit(&self) -> Reply {
        let resources = Resources { cpu: 100, memory: 0, gpus: 0 };
        let step = Step { count: 1, resources, estimate: 100, ..Step::default() };
        let job = Job { payload: "x".to_owned(), steps: vec![step], schedule: None };
        self.job_api.submit(&self.access, JOB, &job, 4_000).await
    }

    async fn cancel(&self) -> Reply {
        self.job_api.cancel(&self.access.queue, JOB, 4_000).await
    }

    async fn state(&self) -> Reply {
        self.job_api.state(&self.access.queue, JOB, 4_000).await
    }
}

/// Guards against a job that starts after its cancel was answered, as the process that had received it
/// stood still, or a refused one that the client had given up.
#[test]
fn a_job_that_arrives_after_its_cancel_does_not_start() {
    for refused in [false, true] {
        actix::System::new().block_on(async {
            let world = Rc::new(World::default());
            let node = start(&world);
            let caller = Caller::new(&node, &world).await;
            if refused {
                world.put(&state_place(), rows::encode(&StateRow::refused(1, 1)));
            }
            assert_eq!(caller.cancel().await, Reply::NoJob);
            assert_eq!(caller.state().await, Reply::NoJob, "nobody has handed it in");
            let version = world.version.get();
            assert_eq!(caller.cancel().await, Reply::NoJob);
            assert_eq!(world.version.get(), version, "a repeated cancel writes nothing");
            assert_eq!(caller.submit().await, Reply::Accepted);
            assert_eq!(caller.state().await, Reply::State(State::Cancelled));
            sleep(300).await;
            assert!(!job_row(&world) && world.starts.borrow().is_empty(), "it has started");
        });
    }
}

/// Guards against a write of a job that the table carries out after its cancel was answered.
#[test]
fn a_late_write_of_a_cancelled_job_is_not_applied() {
    actix::System::new().block_on(async {
        let world = Rc::new(World::default());
        let node = start(&world);
        let caller = Caller::new(&node, &world).await;
        assert_eq!(caller.cancel().await, Reply::NoJob);
        let late = Transaction {
            expect: vec![(state_place(), 0)],
            writes: vec![(state_place(), rows::encode(&StateRow::new(POOL, State::Queued)))],
            removes: Vec::new(),
        };
        let applied = Client(Rc::clone(&world)).apply(&late).await;
        assert!(matches!(applied, Err(TransactionError::Conflict { .. })), "{applied:?}");
    });
}

/// Guards against rows of cancels that grow without bound.
#[test]
fn withdrawals_are_removed_once_they_are_old() {
    actix::System::new().block_on(async {
        let world = Rc::new(World::default());
        let withdraw = async |id: &str, at: u64| {
            let state = keys::state("q/0", id);
            let withdrawal = keys::withdrawal("q/0", id);
            let transaction = Transaction {
                expect: vec![(state.clone(), 0)],
                writes: vec![
                    (state, rows::encode(&StateRow::withdrawn(POOL))),
                    (withdrawal, rows::encode(&at)),
                ],
                removes: Vec::new(),
            };
            Client(Rc::clone(&world)).apply(&transaction).await.expect("no condition fails");
        };
        world.clock_lead.set(2 * RETENTION_MS);
        let now = clock::now() + world.clock_lead.get();
        let old = now - RETENTION_MS - 10_000;
        withdraw("old", old).await;
        withdraw("used", old).await;
        withdraw("new", now).await;
        let cancelled = rows::encode(&StateRow::new(POOL, State::Cancelled));
        world.put(&keys::state("q/0", "used"), cancelled);
        let _node = start(&world);
        let withdrawals = || {
            let rows = world.rows.borrow();
            let keys = rows.keys().filter(|place| place.table == keys::WITHDRAWAL_TABLE);
            keys.map(|place| place.key.clone()).collect::<Vec<String>>()
        };
        wait_for("removal", || withdrawals() == ["new"]).await;
        let has_state = |id| world.rows.borrow().contains_key(&keys::state("q/0", id));
        assert!(!has_state("old") && has_state("used") && has_state("new"));
    });
}

/// Guards against a job that runs after a refusal, as an attempt that had arrived before it at another
/// process replaces the refusal; and against one that does not run though it is handed in again.
#[test]
fn only_an_attempt_that_arrives_after_a_refusal_stores_the_job() {
    actix::System::new().block_on(async {
        let world = Rc::new(World::default());
        let node = start(&world);
        let caller = Caller::new(&node, &world).await;
        world.put(&state_place(), rows::encode(&StateRow::refused(1, clock::now() + 5_000)));
        let reply = caller.submit().await;
        assert!(matches!(reply, Reply::Refused { .. }), "{reply:?}");
        assert!(!job_row(&world), "the job is stored after its refusal");
        world.put(&state_place(), rows::encode(&StateRow::refused(1, clock::now() - 1_000)));
        assert_eq!(caller.submit().await, Reply::Accepted);
        wait_for("start", || !world.starts.borrow().is_empty()).await;
    });
}

/// Guards against a late write that replaces the tombstone of a refusal after a second refusal.
#[test]
fn each_refusal_replaces_the_tombstone_of_the_one_before() {
    actix::System::new().block_on(async {
        let world = Rc::new(World::default());
        let node = start(&world);
        let caller = Caller::new(&node, &world).await;
        // The holder of the pool can't replace this load.
        world.failing_part.replace(Some(keys::LOAD_PART.to_owned()));
        let load = Load {
            jobs: 1_000,
            timely_backlog: 1 << 40,
            backlog: 1 << 40,
            capacity: 1_000,
            published_at: clock::now() + 2_000,
            ..Load::default()
        };
        world.put(&keys::load(POOL), rows::encode(&load));
        sleep(1_000).await;
        let mut versions = Vec::new();
        for _ in 0..2 {
            let reply = caller.submit().await;
            assert!(matches!(reply, Reply::Refused { .. }), "{reply:?}");
            versions.push(world.rows.borrow()[&state_place()].0);
        }
        assert!(versions[1] > versions[0], "{versions:?}");
    });
}

/// Guards against cancel markers that are left for good, as their jobs had ended before they were read.
#[test]
fn cancel_markers_of_ended_jobs_are_removed() {
    actix::System::new().block_on(async {
        let world = Rc::new(World::default());
        let part = keys::part("q", JOB);
        let marker = |id| Place::new(&keys::jobs_table(POOL), &part, &keys::cancel_key(id));
        world.put(&marker("ended before the holder came"), b"1".to_vec());
        put_job(&world, 1);
        let _node = start(&world);
        let has = |id| world.rows.borrow().contains_key(&marker(id));
        wait_for("removal", || !has("ended before the holder came")).await;
        wait_for("start", || !world.present.borrow().is_empty()).await;
        let run = world.present.take().remove(0);
        world.ended.replace(vec![EndedRun {
            sequence: 1,
            task: run.task,
            run: run.run,
            outcome: RunOutcome::Done,
            checkpoint: String::new(),
        }]);
        wait_for("end", || !job_row(&world)).await;
        sleep(200).await;
        world.put(&marker(JOB), b"1".to_vec());
        wait_for("removal", || !has(JOB)).await;
    });
}

/// Memory for the jobs of [`put_many_jobs`] in which a fraction of them fits, in bytes.
const LITTLE_MEMORY: usize = 120_000;
/// Number of these jobs, and of the steps of each.
const MANY_JOBS: u64 = 24;
const MANY_STEPS: u64 = 48;

/// Puts jobs that take more memory than a process has, as a former holder left them.
fn put_many_jobs(world: &World) {
    put_former_holder(world, 0);
    world.job_memory.set(LITTLE_MEMORY);
    let epoch = world.version.get();
    let step = r#"{"n":1,"c":1,"e":500}"#;
    let steps = vec![step; usize::try_from(MANY_STEPS).expect("a small number")].join(",");
    for n in 0..MANY_JOBS {
        let (part, id) = (format!("q-{}", n % 3), format!("{n:016x}"));
        let fence = Fence { epoch, startable_through: u64::MAX, ..Fence::default() };
        world.put(&keys::fence(&part, POOL), rows::encode(&fence));
        let job = Place::new(&keys::jobs_table(POOL), &part, &id);
        world.put(&job, format!(r#"{{"q":"q","s":[{steps}]}}"#).into_bytes());
    }
}

fn job_rows(world: &World) -> usize {
    let table = keys::jobs_table(POOL);
    world.rows.borrow().keys().filter(|place| place.table == table).count()
}

/// Ends the runs that are present, and returns their tasks.
fn end_runs(world: &World, sequence: &mut u64) -> Vec<TaskId> {
    let runs = world.present.take();
    for run in &runs {
        *sequence += 1;
        world.ended.borrow_mut().push(EndedRun {
            sequence: *sequence,
            task: run.task.clone(),
            run: run.run,
            outcome: RunOutcome::Done,
            checkpoint: String::new(),
        });
    }
    runs.into_iter().map(|run| run.task).collect()
}

/// Guards against a new holder that ends over its memory by the jobs of its cell, and against jobs or
/// tasks that are lost, or run twice, as they wait in the table. The former holder has started one.
#[test]
fn jobs_without_memory_wait_in_the_table_and_run_whole() {
    actix::System::new().block_on(async {
        let world = Rc::new(World::default());
        put_many_jobs(&world);
        let task =
            TaskId { job: format!("{:016x}", MANY_JOBS - 1), occurrence: 0, step: 0, index: 0 };
        let checkpoint = String::new();
        let run = PresentRun { task: task.clone(), run: 1, checkpoint, percent: 50, gauge: 0 };
        world.present.borrow_mut().push(run);
        let _node = start(&world);
        wait_for("load", || world.get::<Load>(&keys::load(POOL)).is_some()).await;
        let load: Load = world.get(&keys::load(POOL)).expect("there is one");
        assert_eq!(load.jobs, MANY_JOBS);
        let room = load.room.expect("the holder knows its memory");
        assert!(!room.fits(20_000) && room.fits(2_500), "{room:?}");
        wait_for("starts", || world.present.borrow().len() > 150).await;
        // Three of four parts of the memory are for large jobs.
        let begun: IndexSet<String> =
            world.present.borrow().iter().map(|run| run.task.job.clone()).collect();
        assert!((3..=6).contains(&begun.len()), "{} jobs have begun", begun.len());
        assert!(begun.contains(&task.job) && !world.stops.borrow().contains(&task));
        let (mut ended, mut sequence) = (IndexSet::new(), 0);
        let until = clock::now() + 30_000;
        while job_rows(&world) > 0 {
            assert!(clock::now() < until, "{} jobs are left", job_rows(&world));
            for task in end_runs(&world, &mut sequence) {
                assert!(ended.insert(task.clone()), "{task} has run again");
            }
            sleep(100).await;
        }
        assert_eq!(ended.len() as u64, MANY_JOBS * MANY_STEPS);
    });
}

/// Guards against a job that runs although it was cancelled while it waited in the table.
#[test]
fn a_job_that_is_cancelled_as_it_waits_in_the_table_ends_without_a_run() {
    actix::System::new().block_on(async {
        let world = Rc::new(World::default());
        put_many_jobs(&world);
        let _node = start(&world);
        wait_for("start", || !world.present.borrow().is_empty()).await;
        let rows = job_rows(&world);
        let (part, id) = ("q-2", format!("{:016x}", MANY_JOBS - 1));
        let marker = Place::new(&keys::jobs_table(POOL), part, &keys::cancel_key(&id));
        world.put(&marker, b"{}".to_vec());
        wait_for("end of the job", || job_rows(&world) == rows - 1).await;
        let state: StateRow = world.get(&keys::state(part, &id)).expect("it has a state");
        assert_eq!(state.state(), Some(State::Cancelled));
        assert!(world.present.borrow().iter().all(|run| run.task.job != id));
    });
}
