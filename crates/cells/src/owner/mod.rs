//! Holder of one cell: runs its scheduler against the table and the executors.

mod duty;
mod poll;
mod recover;
mod send;
mod write;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use indexmap::IndexMap;
use jobs::cell::{Arrival, Usage};
use jobs::row::JobRow;
use jobs::share::Inflow;
use jobs::wave::Stage;
use jobs::{Progress, Rules};
use tokio::sync::{Mutex, Notify, Semaphore};

use crate::clock;
use crate::context::{Context, pause};
use crate::keys;
use crate::ports::{Change, ChangeError, Executor, Place, Row};
use crate::rows::{self, Lease, Load};

/// Time for which a holder gives orders after its lease was last confirmed, in milliseconds;
/// with the lease of the executors it rides out eight seconds without the table, and a successor
/// waits no longer than that for executors that it can't reach.
const VALID: u64 = 3_500;
/// Time between passes of the scheduler without events, in milliseconds.
const TICK: u64 = 25;
/// Time between publications of the load, in milliseconds; a fraction of a machine's move.
const PUBLISH: u64 = 150;
/// Longest time without a publication, in milliseconds; half of the age that clients may see.
const REFRESH: u64 = 1_000;
/// Least time between two log lines on a cell's load, in milliseconds.
const NOTE: u64 = 1_000;
/// Time from a machine's order into a pool until the pool's published room has it, in milliseconds:
/// the move, its registration, the first look and the publication.
const MOVE: u64 = 2_000;
/// Executors that are published as ready to leave; keeps the row small.
const SPARES: usize = 200;
/// Longest part of the stop that is spent on making the last ends durable, in milliseconds.
const FLUSH: u64 = 600;
/// Longest part of the stop that is spent on giving a lease up, in milliseconds.
const RELEASE: u64 = 2_000;

/// The right to run a cell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tenure {
    /// The cell.
    pub cell: String,
    /// Number that executors and machines compare; rises over all cells.
    pub epoch: u64,
    /// Number of the holder.
    pub term: u64,
    /// Whether the holder before has surely ended.
    pub predecessor_ended: bool,
}

/// State of a running owner.
pub(crate) struct Inner {
    pub ctx: Rc<Context>,
    pub tenure: Tenure,
    pub cell: RefCell<jobs::Cell>,
    /// Limits of the connections to each executor.
    pub gates: RefCell<IndexMap<String, Rc<Semaphore>>>,
    /// Executors that look loops run for.
    pub looked: RefCell<indexmap::IndexSet<String>>,
    pub inflow: RefCell<Inflow>,
    /// When the list of machines was last asked for, in milliseconds.
    pub listed: Cell<u64>,
    /// The table's clock up to which new jobs are known, in milliseconds.
    pub known: Cell<u64>,
    /// Version of the registry that the scheduler knows.
    pub synced: Cell<u64>,
    /// Versions of duties whose executors were reported as empty, by the duty's key.
    pub reported: RefCell<IndexMap<String, u64>>,
    /// Version at which each part was read whole.
    pub read: RefCell<IndexMap<String, u64>>,
    pub ledgers: RefCell<IndexMap<String, write::Ledger>>,
    /// Jobs that may begin once the mark of their part tells of them, by part.
    pub unmarked: RefCell<IndexMap<String, write::Unmarked>>,
    /// Keep the writes of each part one after the other.
    pub locks: RefCell<IndexMap<String, Rc<Mutex<()>>>>,
    pub roster: RefCell<write::RosterState>,
    /// Jobs that were cancelled before they were seen.
    pub cancels: RefCell<indexmap::IndexSet<String>>,
    /// When executors were last taken off the roster, in milliseconds.
    pub trimmed: Cell<u64>,
    /// Longest round of durable writes since the last log line on the load, in milliseconds.
    pub slowest: Cell<u64>,
    confirmed: Cell<u64>,
    lost: Cell<bool>,
    pub wake: Notify,
}

/// Handle of a running owner.
pub(crate) struct Owner {
    inner: Rc<Inner>,
}

impl Owner {
    pub fn spawn(ctx: Rc<Context>, tenure: Tenure) -> Self {
        let now = clock::now();
        let lease = ctx.lease();
        let rules = Rules {
            lease,
            legacy: if tenure.predecessor_ended {
                lease + lease / 20
            } else {
                VALID + lease + lease / 20
            },
            stop: ctx.settings.bounds.stop,
            early: ctx.settings.bounds.early / 2,
            term: tenure.term,
        };
        let inner = Rc::new(Inner {
            ctx,
            cell: RefCell::new(jobs::Cell::new(rules, now)),
            gates: RefCell::default(),
            looked: RefCell::default(),
            inflow: RefCell::default(),
            listed: Cell::new(0),
            known: Cell::new(0),
            synced: Cell::new(u64::MAX),
            reported: RefCell::default(),
            read: RefCell::default(),
            ledgers: RefCell::default(),
            unmarked: RefCell::default(),
            locks: RefCell::default(),
            roster: RefCell::default(),
            cancels: RefCell::default(),
            trimmed: Cell::new(0),
            slowest: Cell::new(0),
            confirmed: Cell::new(now),
            lost: Cell::new(false),
            wake: Notify::new(),
            tenure,
        });
        actix::spawn(Rc::clone(&inner).run());
        Self { inner }
    }

    pub fn tenure(&self) -> &Tenure {
        &self.inner.tenure
    }

    /// Notes that the lease was held at a time.
    pub fn confirm(&self, at: u64) {
        self.inner.confirmed.set(at);
        self.inner.cell.borrow_mut().confirm(at);
    }

    pub fn is_lost(&self) -> bool {
        self.inner.lost.get()
    }

    /// Ends without a hand-over.
    pub fn abandon(&self, why: &str) {
        self.inner.lose(why);
    }

    /// Makes durable what can be, and hands the cell over.
    pub async fn close(self) {
        let inner = self.inner;
        let until = clock::now() + FLUSH;
        while inner.is_active() && inner.cell.borrow().is_dirty() && clock::now() < until {
            pause(TICK).await;
        }
        if !inner.is_active() {
            return;
        }
        inner.lose("planned stop");
        release_lease(&inner.ctx, &inner.tenure).await;
    }
}

/// Gives a lease up.
pub(crate) async fn release_lease(ctx: &Context, tenure: &Tenure) {
    let place = keys::lease(&tenure.cell);
    let row = rows::encode(&Lease { holder: String::new(), term: tenure.term });
    let change = Change {
        expect: vec![(place.clone(), tenure.epoch)],
        writes: vec![(place, row)],
        removes: Vec::new(),
    };
    let until = clock::now() + RELEASE;
    loop {
        let why = match ctx.ports.store.apply(&change).await {
            Ok(_) => {
                ctx.timeline.record(base::Event::CellReleased, &[("cell", &tenure.cell)]);
                return;
            }
            // An earlier try was applied without an answer, or another process has the lease.
            Err(ChangeError::Conflict { .. }) => return,
            Err(error) => error.to_string(),
        };
        if clock::now() >= until {
            ctx.timeline.record(
                base::Event::CellLost,
                &[("cell", &tenure.cell), ("why", &format!("not handed over: {why}"))],
            );
            return;
        }
        pause(4 * TICK).await;
    }
}

impl Inner {
    /// Whether this process may act for the cell.
    pub fn is_active(&self) -> bool {
        !self.lost.get()
    }

    /// Whether orders may go out: the lease was confirmed lately.
    pub fn may_order(&self) -> bool {
        self.is_active() && clock::now() < self.confirmed.get() + VALID
    }

    pub fn lose(&self, why: &str) {
        if !self.lost.replace(true) {
            self.ctx.timeline.record(
                base::Event::CellLost,
                &[("cell", &self.tenure.cell), ("epoch", &self.tenure.epoch), ("why", &why)],
            );
        }
    }

    pub fn executor(&self, id: &str) -> Option<Executor> {
        let cell = self.cell.borrow();
        let worker = cell.workers().get(id)?;
        Some(Executor { address: worker.entry.address.clone(), id: id.to_owned() })
    }

    async fn run(self: Rc<Self>) {
        self.configure();
        // An executor that is about to go down must get no task from a new holder.
        self.ctx.holding.set(true);
        while self.is_active() && !self.ctx.duties_known.get() {
            pause(TICK).await;
        }
        if !self.recover().await {
            return;
        }
        let (count, inherited) = {
            let cell = self.cell.borrow();
            (cell.count(), cell.inherited_count())
        };
        self.ctx.timeline.record(
            base::Event::CellReady,
            &[("cell", &self.tenure.cell), ("jobs", &count), ("inherited", &inherited)],
        );
        actix::spawn(Rc::clone(&self).publish());
        actix::spawn(Rc::clone(&self).write_all());
        let mut version = self.ctx.config().map(|c| c.version);
        while self.is_active() {
            let current = self.ctx.config().map(|c| c.version);
            if current != version {
                version = current;
                self.configure();
            }
            self.sync_workers().await;
            self.trim_roster().await;
            self.start_looks();
            self.take_duties();
            if self.may_order() {
                let orders = self.cell.borrow_mut().tick(clock::now(), clock::wall());
                for order in orders {
                    self.send(order);
                }
            }
            if self.cell.borrow().is_superseded() {
                self.lose("an executor has seen a later holder");
            }
            tokio::select! {
                () = pause(TICK) => {}
                () = self.wake.notified() => pause(TICK / 3).await,
            }
        }
    }

    fn configure(&self) {
        if let Some(config) = self.ctx.config() {
            self.cell.borrow_mut().configure(config.queues.values());
        }
    }

    /// Takes in a row of the cell's jobs; one that no earlier holder can have begun waits for its
    /// part's mark.
    pub fn take_job(self: &Rc<Self>, row: &Row, progress: Progress, inherited: bool) {
        let key = row.place.key.as_str();
        let Some(value) = &row.value else { return };
        if let Some(id) = key.strip_suffix('!') {
            let mut cell = self.cell.borrow_mut();
            if cell.holds(id) {
                cell.cancel(id, clock::now());
                self.wake.notify_one();
            } else {
                self.cancels.borrow_mut().insert(id.to_owned());
            }
            return;
        }
        let job: JobRow = match rows::decode(value) {
            Ok(job) => job,
            Err(error) => {
                self.ctx
                    .timeline
                    .record(base::Event::RowUnreadable, &[("row", &key), ("error", &error)]);
                return;
            }
        };
        let now = clock::now();
        let table = self.ctx.table_now();
        let here =
            |at: u64| if at == 0 { now } else { now.saturating_sub(table.saturating_sub(at)) };
        let accepted = here(job.accepted);
        let arrival = Arrival {
            id: key.to_owned(),
            part: row.place.part.clone(),
            queue: job.queue.clone(),
            progress,
            asked: here(job.asked).min(accepted),
            inherited,
            unmarked: !inherited,
            job: job.into(),
        };
        let mut cell = self.cell.borrow_mut();
        let flow = (!arrival.job.is_lasting()).then(|| (accepted, arrival.job.work()));
        // After a loss of history all rows are read again.
        if cell.admit(arrival) {
            if let Some((at, work)) = flow {
                self.inflow.borrow_mut().add(at, work);
            }
            if !inherited {
                self.unmark(&row.place.part, key, row.version);
            }
        }
        if self.cancels.borrow_mut().swap_remove(key) {
            cell.cancel(key, now);
        }
        self.wake.notify_one();
    }

    /// Publishes the load, for clients' questions and for admission.
    async fn publish(self: Rc<Self>) {
        let mut last = Load::default();
        let mut noted = 0;
        while self.is_active() {
            let load = self.load();
            let usage = self.cell.borrow().usage(clock::now());
            self.show(&load, &usage);
            if load.jobs > 0 && clock::now() >= noted + NOTE {
                noted = clock::now();
                self.note_load(&load, &usage);
            }
            let same = Load { clock: last.clock, known: last.known, ..load.clone() } == last;
            if !same || load.clock > last.clock + REFRESH {
                let place = keys::load(&self.tenure.cell);
                let change =
                    Change { writes: vec![(place, rows::encode(&load))], ..Change::default() };
                match self.ctx.ports.store.apply(&change).await {
                    Ok(_) => last = load,
                    Err(error) => self.ctx.set_away(true, &error.to_string()),
                }
            }
            pause(PUBLISH).await;
        }
    }

    /// Shows the load in the metrics.
    fn show(&self, load: &Load, usage: &Usage) {
        let metrics = &self.ctx.metrics;
        let cell = self.tenure.cell.as_str();
        let whole = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
        metrics.waiting.with_label_values(&[cell]).set(whole(load.jobs));
        metrics.room.with_label_values(&[cell, "room"]).set(whole(load.room));
        metrics.room.with_label_values(&[cell, "used"]).set(whole(load.used));
        metrics.room.with_label_values(&[cell, "lasting"]).set(whole(usage.lasting));
        metrics.room.with_label_values(&[cell, "timely"]).set(whole(usage.timely));
        metrics.room.with_label_values(&[cell, "late"]).set(whole(usage.late));
        metrics.room.with_label_values(&[cell, "useless"]).set(whole(usage.useless));
    }

    /// Logs what the room is used for.
    fn note_load(&self, load: &Load, usage: &Usage) {
        let waiting: u64 = load.pending.values().sum();
        self.ctx.timeline.record(
            base::Event::CellLoad,
            &[
                ("cell", &self.tenure.cell),
                ("jobs", &load.jobs),
                ("waiting", &waiting),
                ("begun", &usage.begun),
                ("arriving", &load.arriving),
                ("backlog", &load.backlog),
                ("room", &load.room),
                ("used", &load.used),
                ("lasting", &usage.lasting),
                ("timely", &usage.timely),
                ("late", &usage.late),
                ("useless", &usage.useless),
                ("look_pause_ms", &self.busy_rest()),
                ("write_round_ms", &self.slowest.replace(0)),
            ],
        );
    }

    fn load(&self) -> Load {
        let cell = self.cell.borrow();
        let now = clock::now();
        let standing = cell.standing();
        let (waiting, backlog) = cell.backlog(now);
        let (mut room, mut used) = (0, 0);
        for worker in cell.workers().values().filter(|w| w.takes(now)) {
            room += worker.entry.room.cpu;
            used += worker.used.cpu;
        }
        let (coming, due) = self.coming();
        Load {
            pending: cell.pending(),
            jobs: cell.count() as u64,
            waiting,
            backlog,
            room,
            coming,
            due,
            used,
            useful: cell.useful(now),
            arriving: self.inflow.borrow_mut().rate(now),
            lasting: standing.cpu,
            floor: standing.floor,
            idle: standing.idle,
            spares: standing.spares.into_iter().take(SPARES).collect(),
            clock: self.ctx.table_now(),
            known: self.known.get(),
        }
    }

    /// Room of the machines that were ordered into this pool and are not there yet, in thousandths of
    /// a core, and the table's clock by which they are, in milliseconds.
    fn coming(&self) -> (u64, u64) {
        let duties = self.ctx.duties.borrow();
        let now = self.ctx.table_now();
        let due = duties.values().map(|(_, duty)| duty).filter(|duty| {
            let ordered = matches!(duty.stage(), Stage::Down | Stage::Done);
            ordered && duty.wave == 0 && duty.pool == self.tenure.cell && now < duty.at + MOVE
        });
        let (count, last) = due.fold((0, 0), |(count, last), duty| (count + 1, duty.at.max(last)));
        let registry = self.ctx.registry.borrow();
        let size = registry.values().map(|entry| entry.room.cpu).max().unwrap_or(0);
        if count == 0 { (0, 0) } else { (count * size, last + MOVE) }
    }

    /// Key that a job's row has in a table of the cell.
    pub fn place(table: String, part: &str, key: &str) -> Place {
        Place { table, part: part.to_owned(), key: key.to_owned() }
    }
}
