//! What lives as long as the process.

pub mod claims;
pub mod desk;
pub mod journal;
pub mod metrics;
pub mod owner;
pub mod slots;

use std::rc::Rc;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use actix_web::dev::ServerHandle;
use actix_web::web::Data;
use actix_web::{App, HttpServer, web};
use base::settings::Settings;
use base::start::{BindSnafu, Error, MetricSnafu, listener};
use base::{Event, Timeline};
use peer::member::{Member, Role};
use peer::{Facts, Gossip, Links, Reader};
use platform::Http;
use prometheus::Registry;
use snafu::ResultExt;

use crate::request;
use crate::version::Rules;
use claims::Claims;
use desk::Clerk;
use journal::Journal;
use metrics::Metrics;
use owner::Owners;
use slots::Slots;

/// Time that requests in progress get at a stop; longer ones are waited for all the same.
const STOP_REPORT: Duration = Duration::from_secs(30);
/// Connections that callers may hold open at once.
const CALLER_CONNECTIONS: usize = 4_096;

/// Handle on the running process.
#[derive(Debug)]
pub struct Process {
    callers: ServerHandle,
    admin: ServerHandle,
    peers: peer::Server,
    gossip: Gossip,
    reader: Reader,
    timeline: Timeline,
    slots: Slots,
    journal: Journal,
}

/// What the request path shares over all threads.
#[derive(Debug, Clone)]
pub struct Shared {
    /// Facts of the process.
    pub facts: Facts,
    /// Contracts in force, arranged.
    pub rules: Arc<RwLock<Arc<Rules>>>,
    /// Slots on backend servers.
    pub slots: Slots,
    /// Who runs what may not be repeated.
    pub owners: Owners,
    /// Counters.
    pub metrics: Metrics,
}

impl Shared {
    /// Contracts in force now.
    pub fn rules(&self) -> Arc<Rules> {
        self.rules.read().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Process {
    /// Starts everything and takes callers' requests.
    pub fn spawn(settings: &Settings) -> Result<Self, Error> {
        let timeline = Timeline::new(&settings.name);
        let registry = Registry::new();
        let metrics = Metrics::open(&registry).context(MetricSnafu)?;
        let peers = peer::Server::bind(settings.peer);
        let peers = peers.context(BindSnafu { purpose: "peer address" })?;
        let callers = listener(settings.listen, "caller address")?;
        let admin = listener(settings.admin, "admin address")?;
        let me = me(settings, &callers, &admin, &peers)?;
        let facts = Facts::open(me.clone(), timeline.clone());
        let platform = Rc::new(Http::open(settings.platform));
        let slots =
            Slots::open(&settings.centre, settings.max_in_flight, facts.clone(), metrics.clone());
        actix::spawn(slots.clone().watch());
        let links = Links::default();
        let journal = Journal::open(me.name.clone(), me.incarnation);
        let claims = Claims::spawn(platform.clone(), journal.clone(), facts.clone());
        let clerk = Clerk::spawn(slots.clone(), journal.clone(), metrics.clone(), facts.clone());
        let rules: Arc<RwLock<Arc<Rules>>> = Arc::default();
        let owners = Owners::open(
            facts.clone(),
            links.clone(),
            journal.clone(),
            claims,
            clerk,
            rules.clone(),
        );
        let shared = Shared {
            facts: facts.clone(),
            rules,
            slots: slots.clone(),
            owners: owners.clone(),
            metrics: metrics.clone(),
        };
        actix::spawn(follow(shared.clone()));
        let peers = peer::Server::spawn(peers, facts.clone(), Some(Arc::new(owners)));
        let peers = peers.context(BindSnafu { purpose: "peer address" })?;
        let gossip = Gossip::spawn(facts.clone(), links, settings.seeds.clone());
        let reader = Reader::spawn(facts.clone(), platform);
        let callers = serve_callers(shared, callers, settings.workers)?;
        let admin = serve_admin(timeline.clone(), registry, facts, admin)?;
        let (listen, operators, peer) = (me.listen, me.admin, me.peer);
        timeline
            .record(Event::Ready, &[("listen", &listen), ("admin", &operators), ("peer", &peer)]);
        println!("ready listen={listen} admin={operators} peer={peer}");
        Ok(Self { callers, admin, peers, gossip, reader, timeline, slots, journal })
    }

    /// Stops taking requests, finishes those in progress and ends.
    pub async fn close(self) {
        self.timeline.record(Event::Stopping, &[]);
        let mut finished = Box::pin(self.callers.stop(true));
        while tokio::time::timeout(STOP_REPORT, &mut finished).await.is_err() {
            log::warn!("requests are still in progress: {}", self.slots.in_flight());
        }
        self.journal.quiet().await;
        self.gossip.close();
        self.reader.close();
        self.peers.close();
        self.timeline.record(Event::Stopped, &[]);
        self.admin.stop(false).await;
    }
}

fn me(
    settings: &Settings,
    callers: &std::net::TcpListener,
    admin: &std::net::TcpListener,
    peers: &peer::service::Bound,
) -> Result<Member, Error> {
    let purpose = "address";
    Ok(Member {
        name: settings.name.clone(),
        role: Role::Entry,
        centre: settings.centre.clone(),
        incarnation: base::timeline::wall_ms(),
        listen: callers.local_addr().context(BindSnafu { purpose })?,
        admin: admin.local_addr().context(BindSnafu { purpose })?,
        peer: peers.address().context(BindSnafu { purpose })?,
    })
}

/// Keeps what the request path uses in step with the facts.
async fn follow(shared: Shared) {
    let mut watch = shared.facts.watch();
    let mut held = 0;
    loop {
        {
            let state = shared.facts.lock();
            let changes = state.contracts.changes();
            if changes != held {
                let rules = Arc::new(Rules::build(&state));
                *shared.rules.write().unwrap_or_else(PoisonError::into_inner) = rules;
                let newest = i64::try_from(state.contracts.highest()).unwrap_or(i64::MAX);
                shared.metrics.revision.set(newest);
                held = changes;
            }
            shared.slots.update(&state);
        }
        if watch.changed().await.is_err() {
            return;
        }
    }
}

fn serve_callers(
    shared: Shared,
    listener: std::net::TcpListener,
    workers: usize,
) -> Result<ServerHandle, Error> {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(Data::new(shared.clone()))
            .app_data(Data::new(request::attempt::client()))
            .configure(request::routes)
    });
    let server = server
        .workers(workers)
        .max_connections(CALLER_CONNECTIONS)
        .shutdown_timeout(u64::from(u32::MAX))
        .disable_signals()
        .listen(listener)
        .context(BindSnafu { purpose: "caller address" })?
        .run();
    let handle = server.handle();
    actix::spawn(server);
    Ok(handle)
}

fn serve_admin(
    timeline: Timeline,
    registry: Registry,
    facts: Facts,
    listener: std::net::TcpListener,
) -> Result<ServerHandle, Error> {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(Data::new(timeline.clone()))
            .app_data(Data::new(registry.clone()))
            .app_data(Data::new(facts.clone()))
            .configure(crate::admin::routes)
            .default_service(web::to(base::admin::not_found))
    });
    let server = server
        .workers(1)
        .disable_signals()
        .listen(listener)
        .context(BindSnafu { purpose: "admin address" })?
        .run();
    let handle = server.handle();
    actix::spawn(server);
    Ok(handle)
}
