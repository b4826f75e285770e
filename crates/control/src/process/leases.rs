//! Leases on customers: one process at a time controls a customer's pools.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::Event;
use peer::reader::decode;
use peer::row::{EpochRow, LeaseRow};
use peer::{Facts, member::Role};
use platform::{CommitError, Error, Http, Table, Txn, keys};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::customer;
use crate::process::metrics::Metrics;

/// Time after which a lease that was not renewed may be taken.
pub const TTL: Duration = Duration::from_millis(6_000);
/// Part of the time before expiry in which the holder already stops.
const MARGIN: Duration = Duration::from_millis(1_500);
/// Time between two rounds of renewing and taking.
const ROUND: Duration = Duration::from_millis(1_500);
/// Time that a renewal may take.
const LIMIT: Duration = Duration::from_millis(1_200);

/// The running leases of one process.
#[derive(Debug)]
pub struct Leases {
    task: JoinHandle<()>,
    stop: watch::Sender<bool>,
}

/// Proof of holding a customer's lease, to be checked before each step.
#[derive(Debug, Clone)]
pub struct Holding {
    /// Customer.
    pub customer: String,
    /// Epoch of the lease.
    pub epoch: u64,
    /// Version of the epoch's row; every control write expects it.
    pub fence: u64,
    until: watch::Receiver<Instant>,
}

impl Holding {
    /// Whether the lease has not run out by this process's own clock.
    pub fn valid(&self) -> bool {
        Instant::now() < *self.until.borrow()
    }
}

struct Held {
    row: LeaseRow,
    version: u64,
    until: watch::Sender<Instant>,
    task: JoinHandle<()>,
}

/// A lease of another process, and since when it has not changed.
struct Seen {
    row: LeaseRow,
    since: Instant,
}

struct Work {
    facts: Facts,
    platform: Rc<Http>,
    metrics: Metrics,
    held: HashMap<String, Held>,
    seen: HashMap<String, Seen>,
    count: u64,
}

impl Leases {
    /// Starts to renew and take leases, and to control the customers that they are for.
    pub fn spawn(facts: Facts, platform: Rc<Http>, metrics: Metrics) -> Self {
        let (stop, stopped) = watch::channel(false);
        let work =
            Work { facts, platform, metrics, held: HashMap::new(), seen: HashMap::new(), count: 0 };
        Self { task: actix::spawn(work.run(stopped)), stop }
    }

    /// Stops controlling and gives the leases back.
    pub async fn close(self) {
        self.stop.send_replace(true);
        if let Err(error) = self.task.await {
            log::warn!("leases ended badly: {error}");
        }
    }
}

impl Work {
    async fn run(mut self, mut stopped: watch::Receiver<bool>) {
        while !*stopped.borrow() {
            if let Err(error) = self.round().await {
                log::debug!("{error}");
            }
            self.metrics.leases.set(i64::try_from(self.held.len()).unwrap_or(i64::MAX));
            tokio::select! {
                () = tokio::time::sleep(ROUND) => {}
                _ = stopped.changed() => {}
            }
        }
        self.give_back().await;
    }

    async fn round(&mut self) -> Result<(), Error> {
        self.renew_all().await;
        let customers: Vec<String> = {
            let state = self.facts.lock();
            state.contracts.live().map(|(customer, _, _)| customer.to_owned()).collect()
        };
        let open: Vec<&String> =
            customers.iter().filter(|customer| !self.held.contains_key(*customer)).collect();
        if open.is_empty() {
            return Ok(());
        }
        let asked: Vec<String> = open
            .iter()
            .flat_map(|customer| [keys::lease(customer), keys::epoch(customer)])
            .collect();
        let rows = self.platform.read(&asked).await?;
        for (customer, rows) in open.into_iter().zip(rows.chunks(2)) {
            let lease: LeaseRow = decode(&rows[0]).unwrap_or_default();
            if self.lapsed(customer, &lease) {
                self.take(customer, &lease, rows[0].version, rows[1].version).await;
            }
        }
        Ok(())
    }

    /// Whether a lease is free, or has not changed for its whole time on this process's clock.
    fn lapsed(&mut self, customer: &str, lease: &LeaseRow) -> bool {
        let now = Instant::now();
        let seen = self.seen.get(customer).filter(|seen| seen.row == *lease);
        let since = seen.map_or(now, |seen| seen.since);
        let rank = u32::try_from(self.rank(customer)).unwrap_or(u32::MAX);
        self.seen.insert(customer.to_owned(), Seen { row: lease.clone(), since });
        let age = now.saturating_duration_since(since);
        // Each customer has an order of takers of its own, which spreads the customers.
        let turn = ROUND * rank.min(8);
        if lease.holder.is_empty() { age >= turn } else { age >= TTL + turn }
    }

    /// Place of this process in the customer's order of takers.
    fn rank(&self, customer: &str) -> usize {
        let state = self.facts.lock();
        let weight = |name: &str| peer::member::weight(customer, name);
        let mine = weight(&state.me.name);
        let others = state.members.values().filter(|known| known.heard.is_some());
        let others = others.filter(|known| known.member.role == Role::Control);
        others.filter(|known| weight(&known.member.name) < mine).count()
    }

    async fn take(&mut self, customer: &str, lease: &LeaseRow, version: u64, fence: u64) {
        let me = self.facts.lock().me.name.clone();
        let epoch = lease.epoch + 1;
        let row = LeaseRow { holder: me.clone(), epoch, beat: 0 };
        let start = Instant::now();
        let txn = self
            .txn("take", customer)
            .expect(keys::lease(customer), version)
            .expect(keys::epoch(customer), fence)
            .put(keys::lease(customer), json(&row))
            .put(keys::epoch(customer), json(&EpochRow { epoch, holder: me }));
        match self.platform.commit(&txn, LIMIT).await {
            Ok(version) => self.hold(customer, row, version, start),
            Err(error) => log::debug!("lease of {customer}: {error}"),
        }
    }

    fn hold(&mut self, customer: &str, row: LeaseRow, version: u64, start: Instant) {
        let fields: [(&str, &dyn std::fmt::Display); 2] =
            [("customer", &customer), ("epoch", &row.epoch)];
        self.facts.timeline().record(Event::LeaseTaken, &fields);
        let (until, watch) = watch::channel(start + TTL - MARGIN);
        let (customer, epoch) = (customer.to_owned(), row.epoch);
        let holding = Holding { customer: customer.clone(), epoch, fence: version, until: watch };
        let (facts, platform) = (self.facts.clone(), self.platform.clone());
        let task = actix::spawn(customer::run(holding, facts, platform, self.metrics.clone()));
        self.seen.remove(&customer);
        self.held.insert(customer, Held { row, version, until, task });
    }

    async fn renew_all(&mut self) {
        let customers: Vec<String> = self.held.keys().cloned().collect();
        for customer in customers {
            if let Some(held) = self.held.remove(&customer) {
                self.renew(customer, held).await;
            }
        }
    }

    async fn renew(&mut self, customer: String, mut held: Held) {
        let start = Instant::now();
        let wanted = self.facts.lock().contracts.find(&customer).is_some();
        let row = LeaseRow { beat: held.row.beat + 1, ..held.row.clone() };
        let key = keys::lease(&customer);
        let txn = self.txn("renew", &customer).expect(key.as_str(), held.version);
        let txn = txn.put(key, json(&row));
        let renewed = match wanted {
            true => self.platform.commit(&txn, LIMIT).await,
            false => Err(CommitError::Conflict { rows: Vec::new() }),
        };
        match renewed {
            Ok(version) => {
                held.until.send_replace(start + TTL - MARGIN);
                (held.row, held.version) = (row, version);
                self.held.insert(customer, held);
            }
            // A write whose answer was lost may have changed the version: read it back.
            Err(error) if !error.is_conflict() && Instant::now() < *held.until.borrow() => {
                log::debug!("lease of {customer}: {error}");
                self.reread(&customer, &mut held).await;
                self.held.insert(customer, held);
            }
            Err(error) => {
                log::debug!("lease of {customer}: {error}");
                self.lose(&customer, &held);
            }
        }
    }

    async fn reread(&self, customer: &str, held: &mut Held) {
        let Ok(rows) = self.platform.read(&[keys::lease(customer)]).await else { return };
        let Some(row) = rows.first() else { return };
        let found: LeaseRow = decode(row).unwrap_or_default();
        if found.epoch == held.row.epoch && found.holder == held.row.holder {
            (held.row, held.version) = (found, row.version);
        }
    }

    fn lose(&self, customer: &str, held: &Held) {
        held.task.abort();
        let fields: [(&str, &dyn std::fmt::Display); 2] =
            [("customer", &customer), ("epoch", &held.row.epoch)];
        self.facts.timeline().record(Event::LeaseLost, &fields);
    }

    /// Empties the holders, so that others need not wait for the leases to lapse.
    async fn give_back(&mut self) {
        for (customer, held) in std::mem::take(&mut self.held) {
            held.task.abort();
            let row = LeaseRow { holder: String::new(), ..held.row.clone() };
            let key = keys::lease(&customer);
            let txn = self.txn("give", &customer).expect(key.as_str(), held.version);
            if let Err(error) = self.platform.commit(&txn.put(key, json(&row)), LIMIT).await {
                log::debug!("lease of {customer}: {error}");
            }
        }
    }

    fn txn(&mut self, what: &str, customer: &str) -> Txn {
        self.count += 1;
        let state = self.facts.lock();
        let (name, incarnation) = (&state.me.name, state.me.incarnation);
        Txn::new(format!("{what}-{customer}-{name}-{incarnation}-{}", self.count))
    }
}

fn json(row: &impl serde::Serialize) -> String {
    serde_json::to_string(row).unwrap_or_default()
}
