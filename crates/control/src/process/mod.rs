//! Tasks and servers that run for the lifetime of the process.

pub mod leases;
pub mod metrics;

use std::rc::Rc;

use actix_web::dev::ServerHandle;
use actix_web::web::Data;
use actix_web::{App, HttpServer, web};
use base::settings::Settings;
use base::start::{BindSnafu, Error, MetricSnafu, listener};
use base::{Event, Timeline};
use peer::member::{Member, Role};
use peer::{Facts, Gossip, Links, Reader};
use platform::HttpClient;
use prometheus::Registry;
use snafu::ResultExt;

use crate::api;
use leases::Leases;
use metrics::Metrics;

/// Handle on the tasks and servers of the running process.
#[derive(Debug)]
pub struct Process {
    admin: ServerHandle,
    peer_server: peer::Server,
    gossip: Gossip,
    reader: Reader,
    leases: Leases,
    timeline: Timeline,
}

impl Process {
    /// Starts all tasks and servers, including the HTTP server for operators.
    pub fn spawn(settings: &Settings) -> Result<Self, Error> {
        let timeline = Timeline::new(&settings.name);
        let registry = Registry::new();
        let metrics = Metrics::open(&registry).context(MetricSnafu)?;
        let peer_listener = peer::Server::bind(settings.peer);
        let peer_listener = peer_listener.context(BindSnafu { purpose: "peer address" })?;
        let admin_listener = listener(settings.admin, "admin address")?;
        let me = local_member(settings, &admin_listener, &peer_listener)?;
        let facts = Facts::open(me.clone(), timeline.clone());
        let platform = Rc::new(HttpClient::open(settings.platform));
        let peer_server = peer::Server::spawn(peer_listener, facts.clone(), None);
        let peer_server = peer_server.context(BindSnafu { purpose: "peer address" })?;
        let gossip = Gossip::spawn(facts.clone(), Links::default(), settings.seeds.clone());
        let reader = Reader::spawn(facts.clone(), platform.clone());
        let leases = Leases::spawn(facts.clone(), platform, metrics);
        let admin =
            serve_admin(timeline.clone(), registry, facts, settings.platform, admin_listener)?;
        let (admin_address, peer) = (me.admin, me.peer);
        timeline.record(Event::Ready, &[("admin", &admin_address), ("peer", &peer)]);
        println!("ready admin={admin_address} peer={peer}");
        Ok(Self { admin, peer_server, gossip, reader, leases, timeline })
    }

    /// Releases the leases and stops all tasks and servers.
    pub async fn close(self) {
        self.timeline.record(Event::Stopping, &[]);
        self.leases.close().await;
        self.gossip.close();
        self.reader.close();
        self.peer_server.close();
        self.timeline.record(Event::Stopped, &[]);
        self.admin.stop(true).await;
    }
}

/// Describes this process as a member of the fleet.
fn local_member(
    settings: &Settings,
    admin_listener: &std::net::TcpListener,
    peer_listener: &peer::service::BoundListener,
) -> Result<Member, Error> {
    let purpose = "address";
    let admin = admin_listener.local_addr().context(BindSnafu { purpose })?;
    Ok(Member {
        name: settings.name.clone(),
        role: Role::Control,
        centre: settings.centre.clone(),
        incarnation: base::timeline::wall_ms(),
        // A control process serves no callers, so `listen` repeats the address for operators.
        listen: admin,
        admin,
        peer: peer_listener.address().context(BindSnafu { purpose })?,
    })
}

/// Starts the HTTP server for operators.
fn serve_admin(
    timeline: Timeline,
    registry: Registry,
    facts: Facts,
    platform: std::net::SocketAddr,
    listener: std::net::TcpListener,
) -> Result<ServerHandle, Error> {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(Data::new(timeline.clone()))
            .app_data(Data::new(registry.clone()))
            .app_data(Data::new(facts.clone()))
            .app_data(Data::new(HttpClient::open(platform)))
            .configure(api::routes)
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
