//! State, tasks and servers that live as long as the process.

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
use base::intake::{Intake, Limits};
use base::settings::Settings;
use base::start::{BindSnafu, Error, MetricSnafu, listener};
use base::{Event, Timeline};
use peer::member::{Member, Role};
use peer::{Facts, Gossip, Links, Reader};
use platform::HttpClient;
use prometheus::Registry;
use snafu::ResultExt;

use crate::request;
use crate::version::Rules;
use claims::Claims;
use desk::Runner;
use journal::Journal;
use metrics::Metrics;
use owner::OwnerRouter;
use slots::Slots;

/// Interval at which a stopping process logs the number of requests in progress.
///
/// The process waits for these requests without a time limit.
const STOP_REPORT_INTERVAL: Duration = Duration::from_secs(30);
/// Maximum number of open connections of callers, per worker thread.
const MAX_CALLER_CONNECTIONS: usize = 4_096;

/// Handle to the running process.
#[derive(Debug)]
pub struct Process {
    caller_server: ServerHandle,
    admin_server: ServerHandle,
    peer_server: peer::Server,
    gossip: Gossip,
    reader: Reader,
    timeline: Timeline,
    slots: Slots,
    journal: Journal,
}

/// State that the request handlers of all threads share.
#[derive(Debug, Clone)]
pub struct SharedState {
    /// This process's copy of the fleet's state.
    pub facts: Facts,
    /// Rules of the contracts in force.
    pub rules: Arc<RwLock<Arc<Rules>>>,
    /// Slots on backend servers.
    pub slots: Slots,
    /// Finds the owners of requests that must run at most once.
    pub owner_router: OwnerRouter,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Memory for the bodies of callers' requests.
    pub intake: Intake,
}

impl SharedState {
    /// Returns the rules of the contracts in force.
    pub fn rules(&self) -> Arc<Rules> {
        self.rules.read().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Process {
    /// Binds all addresses and starts the tasks and servers of the process.
    pub fn spawn(settings: &Settings) -> Result<Self, Error> {
        let timeline = Timeline::new(&settings.name);
        let registry = Registry::new();
        let metrics = Metrics::open(&registry).context(MetricSnafu)?;
        let peer_listener = peer::Server::bind(settings.peer);
        let peer_listener = peer_listener.context(BindSnafu { purpose: "peer address" })?;
        let caller_listener = listener(settings.listen, "caller address")?;
        let admin_listener = listener(settings.admin, "admin address")?;
        let own_member = own_member(settings, &caller_listener, &admin_listener, &peer_listener)?;
        let facts = Facts::open(own_member.clone(), timeline.clone());
        let platform = Rc::new(HttpClient::open(settings.platform));
        let slots =
            Slots::open(&settings.centre, settings.max_in_flight, facts.clone(), metrics.clone());
        actix::spawn(slots.clone().grant_periodically());
        let links = Links::default();
        let journal = Journal::open(own_member.name.clone(), own_member.incarnation);
        let claims = Claims::spawn(platform.clone(), journal.clone(), facts.clone());
        let runner = Runner::spawn(slots.clone(), journal.clone(), metrics.clone(), facts.clone());
        let rules: Arc<RwLock<Arc<Rules>>> = Arc::default();
        let owner_router = OwnerRouter::open(
            facts.clone(),
            links.clone(),
            journal.clone(),
            claims,
            runner,
            rules.clone(),
        );
        let shared = SharedState {
            facts: facts.clone(),
            rules,
            slots: slots.clone(),
            owner_router: owner_router.clone(),
            metrics: metrics.clone(),
            intake: Intake::new(Limits {
                bytes: settings.body_memory_mib << 20,
                connections: MAX_CALLER_CONNECTIONS * settings.workers,
            }),
        };
        actix::spawn(update_from_facts(shared.clone()));
        let peer_server =
            peer::Server::spawn(peer_listener, facts.clone(), Some(Arc::new(owner_router)));
        let peer_server = peer_server.context(BindSnafu { purpose: "peer address" })?;
        let gossip = Gossip::spawn(facts.clone(), links, settings.seeds.clone());
        let reader = Reader::spawn(facts.clone(), platform);
        let caller_server = serve_callers(shared, caller_listener, settings.workers)?;
        let admin_server = serve_admin(timeline.clone(), registry, facts, admin_listener)?;
        let (listen, admin, peer) = (own_member.listen, own_member.admin, own_member.peer);
        timeline.record(Event::Ready, &[("listen", &listen), ("admin", &admin), ("peer", &peer)]);
        println!("ready listen={listen} admin={admin} peer={peer}");
        Ok(Self {
            caller_server,
            admin_server,
            peer_server,
            gossip,
            reader,
            timeline,
            slots,
            journal,
        })
    }

    /// Stops accepting requests, waits for those in progress and shuts down.
    pub async fn close(self) {
        self.timeline.record(Event::Stopping, &[]);
        let mut stopped = Box::pin(self.caller_server.stop(true));
        while tokio::time::timeout(STOP_REPORT_INTERVAL, &mut stopped).await.is_err() {
            log::warn!("requests are still in progress: {}", self.slots.in_flight());
        }
        self.journal.wait_until_idle().await;
        self.gossip.close();
        self.reader.close();
        self.peer_server.close();
        self.timeline.record(Event::Stopped, &[]);
        self.admin_server.stop(false).await;
    }
}

/// Returns this process's member entry, with the addresses that were bound.
fn own_member(
    settings: &Settings,
    caller_listener: &std::net::TcpListener,
    admin_listener: &std::net::TcpListener,
    peer_listener: &peer::service::BoundListener,
) -> Result<Member, Error> {
    let purpose = "address";
    Ok(Member {
        name: settings.name.clone(),
        role: Role::Entry,
        centre: settings.centre.clone(),
        incarnation: base::timeline::wall_ms(),
        listen: caller_listener.local_addr().context(BindSnafu { purpose })?,
        admin: admin_listener.local_addr().context(BindSnafu { purpose })?,
        peer: peer_listener.address().context(BindSnafu { purpose })?,
    })
}

/// Updates the rules and the slots whenever the facts change.
async fn update_from_facts(shared: SharedState) {
    let mut watch = shared.facts.watch();
    let mut applied = 0;
    loop {
        {
            let state = shared.facts.lock();
            let change_count = state.contracts.change_count();
            if change_count != applied {
                let rules = Arc::new(Rules::build(&state));
                *shared.rules.write().unwrap_or_else(PoisonError::into_inner) = rules;
                let highest_stamp =
                    i64::try_from(state.contracts.highest_stamp()).unwrap_or(i64::MAX);
                shared.metrics.revision.set(highest_stamp);
                applied = change_count;
            }
            shared.slots.update(&state);
        }
        if watch.changed().await.is_err() {
            return;
        }
    }
}

/// Starts the server for callers; a graceful stop waits for requests without a time limit.
fn serve_callers(
    shared: SharedState,
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
        .max_connections(MAX_CALLER_CONNECTIONS)
        .shutdown_timeout(u64::from(u32::MAX))
        .disable_signals()
        .listen(listener)
        .context(BindSnafu { purpose: "caller address" })?
        .run();
    let handle = server.handle();
    actix::spawn(server);
    Ok(handle)
}

/// Starts the server for operators.
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
