//! Leases on customer shards, so that one process at a time controls a customer's pools.
//!
//! Each shard has a lease row, which the holder renews, and an epoch row, which is written only
//! when the lease changes hands. The version of the epoch row is therefore the fencing token.

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

/// Number of shards over which the customers are spread; all processes must use the same value.
pub const SHARD_COUNT: u64 = 16;
/// Time after which another process may acquire a lease that was not renewed.
pub const LEASE_TTL: Duration = Duration::from_millis(8_000);
/// Time before the end of the TTL at which the holder already treats its lease as expired.
const EXPIRY_MARGIN: Duration = Duration::from_millis(2_000);
/// Pause between two passes that renew and acquire leases.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(2_000);
/// Timeout of a transaction that acquires, renews or releases leases.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Handle on the lease task of a process.
#[derive(Debug)]
pub struct Leases {
    task: JoinHandle<()>,
    stop: watch::Sender<bool>,
}

/// Token of a held lease, for the control task of the shard.
///
/// The task checks before each customer that the lease is valid, and its writes expect the epoch.
#[derive(Debug, Clone)]
pub struct LeaseToken {
    /// Shard that the lease covers.
    pub shard: u64,
    /// Epoch of the lease.
    pub epoch: u64,
    /// Version of the epoch row: the fencing token that every control write expects.
    pub epoch_version: u64,
    expires_at: watch::Receiver<Instant>,
}

impl LeaseToken {
    /// Returns whether the lease has not expired by this process's own clock.
    pub fn is_valid(&self) -> bool {
        Instant::now() < *self.expires_at.borrow()
    }
}

/// Lease that this process holds, and its control task.
struct HeldLease {
    row: LeaseRow,
    version: u64,
    expires_at: watch::Sender<Instant>,
    task: JoinHandle<()>,
}

/// Lease that this process does not hold, and the time since which its row is unchanged.
struct ObservedLease {
    row: LeaseRow,
    unchanged_since: Instant,
}

/// State of the lease task.
struct LeaseManager {
    facts: Facts,
    platform: Rc<HttpClient>,
    metrics: Metrics,
    held: HashMap<u64, HeldLease>,
    observed: HashMap<u64, ObservedLease>,
    txn_count: u64,
}

impl Leases {
    /// Starts the task that renews and acquires leases and controls the customers of their shards.
    pub fn spawn(facts: Facts, platform: Rc<HttpClient>, metrics: Metrics) -> Self {
        let (stop, stopped) = watch::channel(false);
        let manager = LeaseManager {
            facts,
            platform,
            metrics,
            held: HashMap::new(),
            observed: HashMap::new(),
            txn_count: 0,
        };
        Self { task: actix::spawn(manager.run(stopped)), stop }
    }

    /// Stops all control tasks and releases the leases.
    pub async fn close(self) {
        self.stop.send_replace(true);
        if let Err(error) = self.task.await {
            log::warn!("lease task failed: {error}");
        }
    }
}

impl LeaseManager {
    /// Renews and acquires leases until the process stops, then releases them.
    async fn run(mut self, mut stopped: watch::Receiver<bool>) {
        while !*stopped.borrow() {
            if let Err(error) = self.renew_and_acquire().await {
                log::debug!("could not read the leases: {error}");
            }
            self.metrics.leases.set(i64::try_from(self.held.len()).unwrap_or(i64::MAX));
            tokio::select! {
                () = tokio::time::sleep(RENEWAL_INTERVAL) => {}
                _ = stopped.changed() => {}
            }
        }
        self.release_all().await;
    }

    /// Renews the held leases and acquires those that are free or have expired.
    async fn renew_and_acquire(&mut self) -> Result<(), Error> {
        self.renew_all().await;
        let not_held: Vec<u64> =
            (0..SHARD_COUNT).filter(|shard| !self.held.contains_key(shard)).collect();
        if not_held.is_empty() {
            return Ok(());
        }
        let row_keys: Vec<String> = not_held.iter().map(|shard| keys::lease(*shard)).collect();
        let rows = self.platform.read(&row_keys).await?;
        for (shard, row) in not_held.into_iter().zip(rows) {
            let lease: LeaseRow = decode(&row).unwrap_or_default();
            if self.may_acquire(shard, &lease) {
                self.acquire(shard, &lease, row.version).await?;
            }
        }
        Ok(())
    }

    /// Records the row of a lease and returns whether this process may acquire the lease.
    ///
    /// The lease must be free, or its row unchanged for a TTL by this process's own clock. A delay
    /// that differs by process and shard is added.
    fn may_acquire(&mut self, shard: u64, lease: &LeaseRow) -> bool {
        let now = Instant::now();
        let same_row = self.observed.get(&shard).filter(|observed| observed.row == *lease);
        let unchanged_since = same_row.map_or(now, |observed| observed.unchanged_since);
        let rank = u32::try_from(self.rank(shard)).unwrap_or(u32::MAX);
        self.observed.insert(shard, ObservedLease { row: lease.clone(), unchanged_since });
        let age = now.saturating_duration_since(unchanged_since);
        // Each shard has its own order of processes, which spreads the shards over them. The cap
        // on the rank bounds the delay.
        let stagger = RENEWAL_INTERVAL * rank.min(8);
        if lease.holder.is_empty() { age >= stagger } else { age >= LEASE_TTL + stagger }
    }

    /// Returns the position of this process in the order in which processes may acquire a shard.
    fn rank(&self, shard: u64) -> usize {
        let state = self.facts.lock();
        let placement_hash = |name: &str| peer::member::placement_hash(&shard.to_string(), name);
        let own_hash = placement_hash(&state.me.name);
        let others = state.members.values().filter(|known| known.last_seen.is_some());
        let others = others.filter(|known| known.member.role == Role::Control);
        others.filter(|known| placement_hash(&known.member.name) < own_hash).count()
    }

    /// Acquires a lease under the next epoch.
    async fn acquire(&mut self, shard: u64, lease: &LeaseRow, version: u64) -> Result<(), Error> {
        let rows = self.platform.read(&[keys::epoch(shard)]).await?;
        let Some(epoch_version) = rows.first().map(|row| row.version) else { return Ok(()) };
        let me = self.facts.lock().me.name.clone();
        let epoch = lease.epoch + 1;
        let row = LeaseRow { holder: me.clone(), epoch, renewals: 0 };
        let start = Instant::now();
        let txn = self
            .new_txn("take")
            .expect(keys::lease(shard), version)
            .expect(keys::epoch(shard), epoch_version)
            .put(keys::lease(shard), json(&row))
            .put(keys::epoch(shard), json(&EpochRow { epoch, holder: me }));
        match self.platform.commit(&txn, COMMIT_TIMEOUT).await {
            Ok(version) => self.start_lease(shard, row, version, start),
            Err(error) => log::debug!("could not acquire the lease of shard {shard}: {error}"),
        }
        Ok(())
    }

    /// Records an acquired lease and starts to control the customers of its shard.
    fn start_lease(&mut self, shard: u64, row: LeaseRow, version: u64, start: Instant) {
        let fields: [(&str, &dyn std::fmt::Display); 2] =
            [("shard", &shard), ("epoch", &row.epoch)];
        self.facts.timeline().record(Event::LeaseTaken, &fields);
        let (expires_at, expiry) = watch::channel(start + LEASE_TTL - EXPIRY_MARGIN);
        // The same commit wrote the lease row and the epoch row, so both have its version.
        let token =
            LeaseToken { shard, epoch: row.epoch, epoch_version: version, expires_at: expiry };
        let (facts, platform) = (self.facts.clone(), self.platform.clone());
        let task = actix::spawn(customer::run(token, facts, platform, self.metrics.clone()));
        self.observed.remove(&shard);
        self.held.insert(shard, HeldLease { row, version, expires_at, task });
    }

    /// Renews all held leases in one transaction; if that fails, checks each of them.
    async fn renew_all(&mut self) {
        if self.held.is_empty() {
            return;
        }
        let start = Instant::now();
        let mut txn = self.new_txn("renew");
        for (shard, held) in &self.held {
            let key = keys::lease(*shard);
            txn = txn.expect(key.as_str(), held.version).put(key, json(&held.row.renewed()));
        }
        match self.platform.commit(&txn, COMMIT_TIMEOUT).await {
            Ok(version) => {
                for held in self.held.values_mut() {
                    held.expires_at.send_replace(start + LEASE_TTL - EXPIRY_MARGIN);
                    (held.row, held.version) = (held.row.renewed(), version);
                }
            }
            Err(error) => {
                log::debug!("could not renew the leases: {error}");
                self.verify_held().await;
            }
        }
    }

    /// Checks after a failed renewal which leases are still held, and stops the others.
    async fn verify_held(&mut self) {
        let shards: Vec<u64> = self.held.keys().copied().collect();
        let row_keys: Vec<String> = shards.iter().map(|shard| keys::lease(*shard)).collect();
        let rows = self.platform.read(&row_keys).await.unwrap_or_default();
        let mut rows = rows.iter();
        for shard in shards {
            let Some(mut held) = self.held.remove(&shard) else { continue };
            let found = rows.next().map(|row| (decode::<LeaseRow>(row), row.version));
            let expired = Instant::now() >= *held.expires_at.borrow();
            match found {
                Some((Some(row), version)) if row.same_holder_and_epoch(&held.row) && !expired => {
                    // A renewal whose response was lost may have changed the row's version.
                    (held.row, held.version) = (row, version);
                    self.held.insert(shard, held);
                }
                // The rows could not be read: the lease stays held until it expires.
                None if !expired => drop(self.held.insert(shard, held)),
                _ => self.stop_lease(shard, &held),
            }
        }
    }

    /// Stops the control task of a lease that this process no longer holds.
    fn stop_lease(&self, shard: u64, held: &HeldLease) {
        held.task.abort();
        let fields: [(&str, &dyn std::fmt::Display); 2] =
            [("shard", &shard), ("epoch", &held.row.epoch)];
        self.facts.timeline().record(Event::LeaseLost, &fields);
    }

    /// Clears the holders of all leases, so that others need not wait until the leases expire.
    async fn release_all(&mut self) {
        if self.held.is_empty() {
            return;
        }
        let mut txn = self.new_txn("give");
        for (shard, held) in std::mem::take(&mut self.held) {
            held.task.abort();
            let row = LeaseRow { holder: String::new(), ..held.row.clone() };
            let key = keys::lease(shard);
            txn = txn.expect(key.as_str(), held.version).put(key, json(&row));
        }
        if let Err(error) = self.platform.commit(&txn, COMMIT_TIMEOUT).await {
            log::debug!("could not release the leases: {error}");
        }
    }

    /// Creates a transaction with a unique id that starts with its operation.
    fn new_txn(&mut self, operation: &str) -> Txn {
        self.txn_count += 1;
        let state = self.facts.lock();
        let (name, incarnation) = (&state.me.name, state.me.incarnation);
        Txn::new(format!("{operation}-{name}-{incarnation}-{}", self.txn_count))
    }
}

/// Returns the shard of a customer.
pub fn shard_of(customer: &str) -> u64 {
    peer::member::placement_hash("customer", customer) % SHARD_COUNT
}
