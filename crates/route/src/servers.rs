//! Backend servers of an entry process and load balancing among their executors.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::{Instance, ListState, ListedInstance, Phase};
use indexmap::IndexMap;

use crate::evidence::{Evidence, ServerState};
use crate::health::Health;

/// First back-off after an executor refused a request; it doubles up to `MAX_BUSY_BACKOFF`.
const MIN_BUSY_BACKOFF: Duration = Duration::from_millis(5);
/// Longest back-off after an executor refused a request.
const MAX_BUSY_BACKOFF: Duration = Duration::from_millis(80);
/// Ejections are ignored while fewer than one in this many servers of a pool are usable.
const PANIC_DIVISOR: usize = 2;

/// Backend servers and this process's requests on them.
#[derive(Debug)]
pub struct Servers {
    centre: String,
    entry_count: u32,
    servers: IndexMap<Arc<str>, Server>,
    rotation: usize,
}

#[derive(Debug)]
struct Server {
    listed: ListedInstance,
    pool: String,
    phase: Phase,
    evidence: Evidence,
    health: Health,
    executor_loads: Vec<ExecutorLoad>,
}

/// This process's requests on one executor, and the executor's recent refusals.
#[derive(Debug, Clone, Default)]
struct ExecutorLoad {
    in_flight: u32,
    refusals: u32,
    full_until: Option<Instant>,
}

/// Executor that was picked for one request and counts as in use until it is released.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pick {
    /// Instance of the executor.
    pub id: Arc<str>,
    /// Address of the instance.
    pub address: SocketAddr,
    /// Index of the executor within its instance.
    pub executor: u32,
    /// Incarnation of the instance.
    pub incarnation: u64,
}

/// Outcome of one attempt to run a request on a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server returned a complete response that is no server error.
    Success,
    /// The attempt ended in a server error, a connection reset or a time-out.
    Failed,
    /// The server had no free slot.
    Busy,
    /// The server refused because it is leaving.
    Leaving,
    /// The caller cancelled the attempt, which is no sign of the server's health.
    Cancelled,
}

/// Change of a server's use that is recorded as an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerChange {
    /// The server was ejected after failures.
    Ejected,
    /// The server is used again after an ejection.
    Restored,
    /// The server is leaving.
    Leaving,
}

impl Servers {
    /// Creates an empty set of servers for an entry process in the given data centre.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut servers = route::Servers::new("dc1");
    /// assert!(servers.pick("boards", &[], std::time::Instant::now()).is_none());
    /// ```
    pub fn new(centre: &str) -> Self {
        Self { centre: centre.to_owned(), entry_count: 1, servers: IndexMap::new(), rotation: 0 }
    }

    /// Sets the number of entry processes in the data centre, which share the connections.
    pub fn set_entry_count(&mut self, count: usize) {
        self.entry_count = u32::try_from(count.max(1)).unwrap_or(u32::MAX);
    }

    /// Replaces the set of servers by the platform's list, merged with the stored rows.
    pub fn update<'a>(
        &mut self,
        list: impl Iterator<Item = &'a ListedInstance>,
        row: impl Fn(&str) -> Option<&'a Instance>,
    ) {
        let mut kept = IndexMap::with_capacity(self.servers.len());
        for listed in list {
            let old = self.servers.swap_remove_entry(listed.id.as_str());
            let (id, old) = old
                .map_or_else(|| (Arc::from(listed.id.as_str()), None), |(id, old)| (id, Some(old)));
            kept.insert(id, Server::merge(old, listed, row(&listed.id)));
        }
        // A removed server may still have requests in flight; releasing their picks has no effect.
        self.servers = kept;
    }

    /// Merges an observation of a server; returns true if it changed the recorded evidence.
    pub fn add_evidence(&mut self, id: &str, evidence: Evidence) -> bool {
        let Some(server) = self.servers.get_mut(id) else { return false };
        let changed = evidence.replaces(server.evidence);
        if changed {
            server.evidence = evidence;
        }
        changed
    }

    /// Returns the latest observed incarnation of a server.
    pub fn incarnation(&self, id: &str) -> Option<u64> {
        self.servers.get(id).map(|server| server.evidence.incarnation)
    }

    /// Returns whether the pool has a server outside `tried` that accepts requests.
    ///
    /// Servers without a free slot count too, because a slot may become free.
    pub fn has_candidate(&self, pool: &str, tried: &[Arc<str>]) -> bool {
        self.servers.iter().any(|(id, server)| server.accepts(pool) && !tried.contains(id))
    }

    /// Picks the least loaded executor of a pool, preferring this process's data centre.
    ///
    /// `tried` holds the instances on which this request was already attempted.
    pub fn pick(&mut self, pool: &str, tried: &[Arc<str>], now: Instant) -> Option<Pick> {
        self.rotation = self.rotation.wrapping_add(1);
        let panic = self.in_panic_mode(pool, now);
        let mut best = None;
        for (at, (id, server)) in self.servers.iter().enumerate() {
            if !server.accepts(pool) || tried.contains(id) {
                continue;
            }
            let Some((executor, load, limit)) = server.least_loaded(self.entry_count, now) else {
                continue;
            };
            // A server that returns from an ejection gets one request at a time.
            let probed = server.health.probing(now)
                && server.executor_loads.iter().any(|executor| executor.in_flight > 0);
            let ejected = !panic && (probed || !server.health.usable(now));
            if load >= limit || ejected {
                continue;
            }
            let remote = server.listed.centre != self.centre;
            // Rotates the order among equally loaded executors.
            let turn = (at + self.rotation) % self.servers.len();
            let rank = (remote, load * 1_000 / limit, turn);
            if best.is_none_or(|(other, _, _)| rank < other) {
                best = Some((rank, at, executor));
            }
        }
        let (_, at, executor) = best?;
        let (id, server) = self.servers.get_index_mut(at)?;
        server.executor_loads[executor].in_flight += 1;
        Some(Pick {
            id: id.clone(),
            address: server.listed.address,
            executor: server.listed.executors[executor].index,
            incarnation: server.evidence.incarnation,
        })
    }

    /// Returns whether so many servers of a pool are ejected that all are used again.
    fn in_panic_mode(&self, pool: &str, now: Instant) -> bool {
        let accepting = self.servers.values().filter(|server| server.accepts(pool));
        let (all, usable) = accepting.fold((0, 0), |(all, usable), server| {
            (all + 1, usable + usize::from(server.health.usable(now)))
        });
        usable * PANIC_DIVISOR < all
    }

    /// Releases a picked executor and updates the server's health from the attempt's outcome.
    pub fn release(
        &mut self,
        pick: &Pick,
        outcome: AttemptOutcome,
        now: Instant,
    ) -> Option<ServerChange> {
        let server = self.servers.get_mut(&*pick.id)?;
        if let Some(executor) = server.executor_loads.get_mut(pick.executor as usize) {
            executor.release(outcome, now);
        }
        match outcome {
            AttemptOutcome::Success => {
                server.health.record_success().then_some(ServerChange::Restored)
            }
            AttemptOutcome::Failed => {
                server.health.record_failure(now).then_some(ServerChange::Ejected)
            }
            AttemptOutcome::Busy | AttemptOutcome::Cancelled => None,
            AttemptOutcome::Leaving => {
                let (incarnation, state) = (pick.incarnation, ServerState::Leaving);
                let evidence = Evidence { incarnation, state };
                let changed = evidence.replaces(server.evidence);
                server.evidence = server.evidence.max(evidence);
                changed.then_some(ServerChange::Leaving)
            }
        }
    }
}

impl ExecutorLoad {
    fn release(&mut self, outcome: AttemptOutcome, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            // Other entry processes use the executor too, so its refusal takes precedence over this
            // process's count of requests in flight.
            AttemptOutcome::Busy => {
                let backoff = MIN_BUSY_BACKOFF * 2_u32.saturating_pow(self.refusals.min(8));
                self.refusals += 1;
                self.full_until = Some(now + backoff.min(MAX_BUSY_BACKOFF));
            }
            AttemptOutcome::Success => {
                *self = Self { in_flight: self.in_flight, ..Self::default() }
            }
            AttemptOutcome::Failed | AttemptOutcome::Leaving | AttemptOutcome::Cancelled => {}
        }
    }
}

impl Server {
    fn merge(old: Option<Self>, listed: &ListedInstance, row: Option<&Instance>) -> Self {
        let leaving = listed.state == ListState::Leaving;
        let state = if leaving { ServerState::Leaving } else { ServerState::Serving };
        let evidence = Evidence { incarnation: listed.incarnation, state };
        let pool = row.map_or(&listed.pool, |row| &row.pool).clone();
        let phase = row.map_or(Phase::Serving, |row| row.phase);
        let executor_loads = vec![ExecutorLoad::default(); listed.executors.len()];
        let Some(old) = old else {
            let health = Health::default();
            return Self { listed: listed.clone(), pool, phase, evidence, health, executor_loads };
        };
        let evidence = evidence.max(old.evidence);
        let restarted = evidence.incarnation > old.evidence.incarnation;
        let health = if restarted { Health::default() } else { old.health };
        let executor_loads = if old.executor_loads.len() == executor_loads.len() {
            old.executor_loads
        } else {
            executor_loads
        };
        let listed = if old.listed == *listed { old.listed } else { listed.clone() };
        Self { listed, pool, phase, evidence, health, executor_loads }
    }

    /// Returns whether the server accepts new requests of the pool.
    fn accepts(&self, pool: &str) -> bool {
        let serving = self.evidence.state == ServerState::Serving;
        self.pool == pool && self.phase == Phase::Serving && serving
    }

    /// Returns the least loaded executor as its position, its requests in flight and its limit.
    fn least_loaded(&self, entry_count: u32, now: Instant) -> Option<(usize, u32, u32)> {
        let executors = self.executor_loads.iter().zip(&self.listed.executors).enumerate();
        let available =
            executors.filter(|(_, (load, _))| load.full_until.is_none_or(|until| until <= now));
        let loads = available.map(|(at, (load, executor))| {
            let connections = (executor.connections / entry_count).max(1);
            (at, load.in_flight, executor.slots.min(connections).max(1))
        });
        loads.min_by_key(|(_, in_flight, limit)| in_flight * 1_000 / limit)
    }
}
