//! The backend servers that an entry process knows, and the choice among them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::{Instance, ListState, ListedInstance, Phase};
use indexmap::IndexMap;

use crate::evidence::{Evidence, ServerState};
use crate::health::Health;

/// First time that an executor counts as full after it refused; it doubles up to the last.
const FIRST_FULL: Duration = Duration::from_millis(5);
/// Longest time that an executor counts as full after it refused.
const LAST_FULL: Duration = Duration::from_millis(80);
/// Part of a pool that may be aside; beyond it, failing servers are used again.
const ASIDE_SHARE: usize = 2;

/// Backend servers and the work this process has on them.
#[derive(Debug)]
pub struct Servers {
    centre: String,
    sharers: u32,
    servers: IndexMap<Arc<str>, Server>,
    turn: usize,
}

#[derive(Debug)]
struct Server {
    listed: ListedInstance,
    pool: String,
    phase: Phase,
    evidence: Evidence,
    health: Health,
    seats: Vec<Seat>,
}

/// What this process knows of one executor's slots.
#[derive(Debug, Clone, Default)]
struct Seat {
    load: u32,
    refusals: u32,
    full_until: Option<Instant>,
}

/// A place on an executor, taken until it is given back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pick {
    /// Instance that was picked.
    pub id: Arc<str>,
    /// Its address.
    pub address: SocketAddr,
    /// Executor on it.
    pub executor: u32,
    /// Incarnation that was picked.
    pub incarnation: u64,
}

/// How a try on a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A whole answer that shows a working server.
    Success,
    /// A server error, a reset or a time-out.
    Failed,
    /// The server had no slot.
    Busy,
    /// The server said that it is leaving.
    Leaving,
    /// The caller gave up, which says nothing of the server.
    Cancelled,
}

/// A change in how a server is used, worth an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerChange {
    /// It was set aside.
    Ejected,
    /// It takes work again.
    Restored,
    /// It is leaving.
    Leaving,
}

impl Servers {
    /// Starts with no servers, for an entry process of one data centre.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut servers = route::Servers::new("dc1");
    /// assert!(servers.pick("boards", &[], std::time::Instant::now()).is_none());
    /// ```
    pub fn new(centre: &str) -> Self {
        Self { centre: centre.to_owned(), sharers: 1, servers: IndexMap::new(), turn: 0 }
    }

    /// Notes how many entry processes of the data centre share the connections.
    pub fn set_entry_count(&mut self, sharers: usize) {
        self.sharers = u32::try_from(sharers.max(1)).unwrap_or(u32::MAX);
    }

    /// Takes in the platform's list and the table's rows.
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
        // A server that left the list may still have requests in progress; their picks find nothing.
        self.servers = kept;
    }

    /// Takes in a sighting; true when it changes the server's standing.
    pub fn add_evidence(&mut self, id: &str, evidence: Evidence) -> bool {
        let Some(server) = self.servers.get_mut(id) else { return false };
        let changed = evidence.replaces(server.evidence);
        if changed {
            server.evidence = evidence;
        }
        changed
    }

    /// Incarnation of a server, as far as known.
    pub fn incarnation(&self, id: &str) -> Option<u64> {
        self.servers.get(id).map(|server| server.evidence.incarnation)
    }

    /// Whether any server of the pool that was not tried takes work, now or once a slot is free.
    pub fn has_candidate(&self, pool: &str, tried: &[Arc<str>]) -> bool {
        self.servers.iter().any(|(id, server)| server.takes(pool) && !tried.contains(id))
    }

    /// Picks the least loaded executor of a pool, this data centre's first.
    ///
    /// `tried` names instances that this request was on before.
    pub fn pick(&mut self, pool: &str, tried: &[Arc<str>], now: Instant) -> Option<Pick> {
        self.turn = self.turn.wrapping_add(1);
        let panic = self.panics(pool, now);
        let mut best = None;
        for (at, (id, server)) in self.servers.iter().enumerate() {
            if !server.takes(pool) || tried.contains(id) {
                continue;
            }
            let Some((executor, load, limit)) = server.least(self.sharers, now) else { continue };
            let probed =
                server.health.probing(now) && server.seats.iter().any(|seat| seat.load > 0);
            let aside = !panic && (probed || !server.health.usable(now));
            if load >= limit || aside {
                continue;
            }
            let far = server.listed.centre != self.centre;
            let turn = (at + self.turn) % self.servers.len();
            let rank = (far, load * 1_000 / limit, turn);
            if best.is_none_or(|(other, _, _)| rank < other) {
                best = Some((rank, at, executor));
            }
        }
        let (_, at, executor) = best?;
        let (id, server) = self.servers.get_index_mut(at)?;
        server.seats[executor].load += 1;
        Some(Pick {
            id: id.clone(),
            address: server.listed.address,
            executor: server.listed.executors[executor].index,
            incarnation: server.evidence.incarnation,
        })
    }

    /// Whether so many servers of a pool are aside that they have to be used again.
    fn panics(&self, pool: &str, now: Instant) -> bool {
        let takers = self.servers.values().filter(|server| server.takes(pool));
        let (all, usable) = takers.fold((0, 0), |(all, usable), server| {
            (all + 1, usable + usize::from(server.health.usable(now)))
        });
        usable * ASIDE_SHARE < all
    }

    /// Gives a place back and learns from how the try ended.
    pub fn release(
        &mut self,
        pick: &Pick,
        ended: AttemptOutcome,
        now: Instant,
    ) -> Option<ServerChange> {
        let server = self.servers.get_mut(&*pick.id)?;
        if let Some(seat) = server.seats.get_mut(pick.executor as usize) {
            seat.release(ended, now);
        }
        match ended {
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
                let new = evidence.replaces(server.evidence);
                server.evidence = server.evidence.max(evidence);
                new.then_some(ServerChange::Leaving)
            }
        }
    }
}

impl Seat {
    fn release(&mut self, ended: AttemptOutcome, now: Instant) {
        self.load = self.load.saturating_sub(1);
        match ended {
            // Others use the executor too; its refusal says more than this process's own count.
            AttemptOutcome::Busy => {
                let pause = FIRST_FULL * 2_u32.saturating_pow(self.refusals.min(8));
                self.refusals += 1;
                self.full_until = Some(now + pause.min(LAST_FULL));
            }
            AttemptOutcome::Success => *self = Self { load: self.load, ..Self::default() },
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
        let seats = vec![Seat::default(); listed.executors.len()];
        let Some(old) = old else {
            let health = Health::default();
            return Self { listed: listed.clone(), pool, phase, evidence, health, seats };
        };
        let evidence = evidence.max(old.evidence);
        let restarted = evidence.incarnation > old.evidence.incarnation;
        let health = if restarted { Health::default() } else { old.health };
        let seats = if old.seats.len() == seats.len() { old.seats } else { seats };
        let listed = if old.listed == *listed { old.listed } else { listed.clone() };
        Self { listed, pool, phase, evidence, health, seats }
    }

    fn takes(&self, pool: &str) -> bool {
        let serving = self.evidence.state == ServerState::Serving;
        self.pool == pool && self.phase == Phase::Serving && serving
    }

    /// Least loaded executor with its load and its limit.
    fn least(&self, sharers: u32, now: Instant) -> Option<(usize, u32, u32)> {
        let seats = self.seats.iter().zip(&self.listed.executors).enumerate();
        let open = seats.filter(|(_, (seat, _))| seat.full_until.is_none_or(|until| until <= now));
        let limits = open.map(|(at, (seat, executor))| {
            let connections = (executor.connections / sharers).max(1);
            (at, seat.load, executor.slots.min(connections).max(1))
        });
        limits.min_by_key(|(_, load, limit)| load * 1_000 / limit)
    }
}
