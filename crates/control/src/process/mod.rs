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
use platform::Http;
use prometheus::Registry;
use snafu::ResultExt;

use crate::api;
use leases::Leases;
use metrics::Metrics;

/// Handle on the tasks and servers of the running process.
#[derive(Debug)]
pub struct Process {
    admin: ServerHandle,
    peers: peer::Server,
    gossip: Gossip,
    reader: Reader,
    leases: Leases,
    timeline: Timeline,
}

impl Process {
    /// Starts all tasks and servers, including the HTTP server for operators.
    pub fn spawn(settings: &Settings) -> Result<Self, Error> {
        let timeline = Timeline::open(&settings.name);
        let registry = Registry::new();
        let metrics = Metrics::open(&registry).context(MetricSnafu)?;
        let peer_socket = peer::Server::bind(settings.peer);
        let peer_socket = peer_socket.context(BindSnafu { what: "peer address" })?;
        let admin_socket = listener(settings.admin, "admin address")?;
        let me = local_member(settings, &admin_socket, &peer_socket)?;
        let facts = Facts::open(me.clone(), timeline.clone());
        let platform = Rc::new(Http::open(settings.platform));
        let peers = peer::Server::spawn(peer_socket, facts.clone(), None);
        let peers = peers.context(BindSnafu { what: "peer address" })?;
        let gossip = Gossip::spawn(facts.clone(), Links::default(), settings.seeds.clone());
        let reader = Reader::spawn(facts.clone(), platform.clone());
        let leases = Leases::spawn(facts.clone(), platform, metrics);
        let admin =
            serve_admin(timeline.clone(), registry, facts, settings.platform, admin_socket)?;
        let (admin_address, peer) = (me.admin, me.peer);
        timeline.record(Event::Ready, &[("admin", &admin_address), ("peer", &peer)]);
        println!("ready admin={admin_address} peer={peer}");
        Ok(Self { admin, peers, gossip, reader, leases, timeline })
    }

    /// Releases the leases and stops all tasks and servers.
    pub async fn close(self) {
        self.timeline.record(Event::Stopping, &[]);
        self.leases.close().await;
        self.gossip.close();
        self.reader.close();
        self.peers.close();
        self.timeline.record(Event::Stopped, &[]);
        self.admin.stop(true).await;
    }
}

/// Describes this process as a member of the fleet.
fn local_member(
    settings: &Settings,
    admin_socket: &std::net::TcpListener,
    peer_socket: &peer::service::Bound,
) -> Result<Member, Error> {
    let what = "address";
    let admin = admin_socket.local_addr().context(BindSnafu { what })?;
    Ok(Member {
        name: settings.name.clone(),
        role: Role::Control,
        centre: settings.centre.clone(),
        incarnation: base::timeline::wall_ms(),
        // A control process serves no callers, so `listen` repeats the address for operators.
        listen: admin,
        admin,
        peer: peer_socket.address().context(BindSnafu { what })?,
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
            .app_data(Data::new(Http::open(platform)))
            .configure(api::routes)
            .default_service(web::to(base::admin::unknown))
    });
    let server = server
        .workers(1)
        .disable_signals()
        .listen(listener)
        .context(BindSnafu { what: "admin address" })?
        .run();
    let handle = server.handle();
    actix::spawn(server);
    Ok(handle)
}
