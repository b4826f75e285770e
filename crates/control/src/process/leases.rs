//! Leases on shards of the customers: one process at a time controls a customer's pools.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::Event;
use peer::reader::decode;
use peer::row::{EpochRow, LeaseRow, json};
use peer::{Facts, member::Role};
use platform::{Error, HttpClient, Table, Txn, keys};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::customer;
use crate::process::metrics::Metrics;

/// Shards that the customers are spread over; all processes have to agree on it.
pub const SHARDS: u64 = 16;
/// Time after which a lease that was not renewed may be taken.
pub const TTL: Duration = Duration::from_millis(8_000);
/// Part of the time before expiry in which the holder already stops.
const MARGIN: Duration = Duration::from_millis(2_000);
/// Time between two rounds of renewing and taking.
const ROUND: Duration = Duration::from_millis(2_000);
/// Time that a renewal may take.
const LIMIT: Duration = Duration::from_millis(1_200);

/// The running leases of one process.
#[derive(Debug)]
pub struct Leases {
    task: JoinHandle<()>,
    stop: watch::Sender<bool>,
}

/// Proof of holding a shard's lease, to be checked before each step.
#[derive(Debug, Clone)]
pub struct Holding {
    /// Shard.
    pub shard: u64,
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
    platform: Rc<HttpClient>,
    metrics: Metrics,
    held: HashMap<u64, Held>,
    seen: HashMap<u64, Seen>,
    count: u64,
}

impl Leases {
    /// Starts to renew and take leases, and to control the customers of their shards.
    pub fn spawn(facts: Facts, platform: Rc<HttpClient>, metrics: Metrics) -> Self {
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
        let open: Vec<u64> = (0..SHARDS).filter(|shard| !self.held.contains_key(shard)).collect();
        if open.is_empty() {
            return Ok(());
        }
        let asked: Vec<String> = open.iter().map(|shard| keys::lease(*shard)).collect();
        let rows = self.platform.read(&asked).await?;
        for (shard, row) in open.into_iter().zip(rows) {
            let lease: LeaseRow = decode(&row).unwrap_or_default();
            if self.lapsed(shard, &lease) {
                self.take(shard, &lease, row.version).await?;
            }
        }
        Ok(())
    }

    /// Whether a lease is free, or has not changed for its whole time on this process's clock.
    fn lapsed(&mut self, shard: u64, lease: &LeaseRow) -> bool {
        let now = Instant::now();
        let seen = self.seen.get(&shard).filter(|seen| seen.row == *lease);
        let since = seen.map_or(now, |seen| seen.since);
        let rank = u32::try_from(self.rank(shard)).unwrap_or(u32::MAX);
        self.seen.insert(shard, Seen { row: lease.clone(), since });
        let age = now.saturating_duration_since(since);
        // Each shard has an order of takers of its own, which spreads the shards.
        let turn = ROUND * rank.min(8);
        if lease.holder.is_empty() { age >= turn } else { age >= TTL + turn }
    }

    /// Place of this process in the shard's order of takers.
    fn rank(&self, shard: u64) -> usize {
        let state = self.facts.lock();
        let weight = |name: &str| peer::member::placement_hash(&shard.to_string(), name);
        let mine = weight(&state.me.name);
        let others = state.members.values().filter(|known| known.last_seen.is_some());
        let others = others.filter(|known| known.member.role == Role::Control);
        others.filter(|known| weight(&known.member.name) < mine).count()
    }

    async fn take(&mut self, shard: u64, lease: &LeaseRow, version: u64) -> Result<(), Error> {
        let rows = self.platform.read(&[keys::epoch(shard)]).await?;
        let Some(fence) = rows.first().map(|row| row.version) else { return Ok(()) };
        let me = self.facts.lock().me.name.clone();
        let epoch = lease.epoch + 1;
        let row = LeaseRow { holder: me.clone(), epoch, renewals: 0 };
        let start = Instant::now();
        let txn = self
            .txn("take")
            .expect(keys::lease(shard), version)
            .expect(keys::epoch(shard), fence)
            .put(keys::lease(shard), json(&row))
            .put(keys::epoch(shard), json(&EpochRow { epoch, holder: me }));
        match self.platform.commit(&txn, LIMIT).await {
            Ok(version) => self.hold(shard, row, version, start),
            Err(error) => log::debug!("lease of shard {shard}: {error}"),
        }
        Ok(())
    }

    fn hold(&mut self, shard: u64, row: LeaseRow, version: u64, start: Instant) {
        let fields: [(&str, &dyn std::fmt::Display); 2] =
            [("shard", &shard), ("epoch", &row.epoch)];
        self.facts.timeline().record(Event::LeaseTaken, &fields);
        let (until, watch) = watch::channel(start + TTL - MARGIN);
        let holding = Holding { shard, epoch: row.epoch, fence: version, until: watch };
        let (facts, platform) = (self.facts.clone(), self.platform.clone());
        let task = actix::spawn(customer::run(holding, facts, platform, self.metrics.clone()));
        self.seen.remove(&shard);
        self.held.insert(shard, Held { row, version, until, task });
    }

    /// Renews all leases in one transaction, or each by itself when that fails.
    async fn renew_all(&mut self) {
        if self.held.is_empty() {
            return;
        }
        let start = Instant::now();
        let mut txn = self.txn("renew");
        for (shard, held) in &self.held {
            let key = keys::lease(*shard);
            txn = txn.expect(key.as_str(), held.version).put(key, json(&held.row.renewed()));
        }
        match self.platform.commit(&txn, LIMIT).await {
            Ok(version) => {
                for held in self.held.values_mut() {
                    held.until.send_replace(start + TTL - MARGIN);
                    (held.row, held.version) = (held.row.renewed(), version);
                }
            }
            Err(error) => {
                log::debug!("leases: {error}");
                self.review().await;
            }
        }
    }

    /// Finds out which leases are still this process's own after a renewal that failed.
    async fn review(&mut self) {
        let asked: Vec<u64> = self.held.keys().copied().collect();
        let keys: Vec<String> = asked.iter().map(|shard| keys::lease(*shard)).collect();
        let rows = self.platform.read(&keys).await.unwrap_or_default();
        let mut rows = rows.iter();
        for shard in asked {
            let Some(mut held) = self.held.remove(&shard) else { continue };
            let found = rows.next().map(|row| (decode::<LeaseRow>(row), row.version));
            let lapsed = Instant::now() >= *held.until.borrow();
            match found {
                Some((Some(row), version)) if row.same_holder_and_epoch(&held.row) && !lapsed => {
                    // A write whose answer was lost has changed the version.
                    (held.row, held.version) = (row, version);
                    self.held.insert(shard, held);
                }
                None if !lapsed => drop(self.held.insert(shard, held)),
                _ => self.lose(shard, &held),
            }
        }
    }

    fn lose(&self, shard: u64, held: &Held) {
        held.task.abort();
        let fields: [(&str, &dyn std::fmt::Display); 2] =
            [("shard", &shard), ("epoch", &held.row.epoch)];
        self.facts.timeline().record(Event::LeaseLost, &fields);
    }

    /// Empties the holders, so that others need not wait for the leases to lapse.
    async fn give_back(&mut self) {
        if self.held.is_empty() {
            return;
        }
        let mut txn = self.txn("give");
        for (shard, held) in std::mem::take(&mut self.held) {
            held.task.abort();
            let row = LeaseRow { holder: String::new(), ..held.row.clone() };
            let key = keys::lease(shard);
            txn = txn.expect(key.as_str(), held.version).put(key, json(&row));
        }
        if let Err(error) = self.platform.commit(&txn, LIMIT).await {
            log::debug!("leases: {error}");
        }
    }

    fn txn(&mut self, what: &str) -> Txn {
        self.count += 1;
        let state = self.facts.lock();
        let (name, incarnation) = (&state.me.name, state.me.incarnation);
        Txn::new(format!("{what}-{name}-{incarnation}-{}", self.count))
    }
}

/// Shard that a customer belongs to.
pub fn shard(customer: &str) -> u64 {
    peer::member::placement_hash("customer", customer) % SHARDS
}
