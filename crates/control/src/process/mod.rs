//! What lives as long as the process.

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

/// Handle on the running process.
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
    /// Starts everything and takes operators' requests.
    pub fn spawn(settings: &Settings) -> Result<Self, Error> {
        let timeline = Timeline::new(&settings.name);
        let registry = Registry::new();
        let metrics = Metrics::open(&registry).context(MetricSnafu)?;
        let peers = peer::Server::bind(settings.peer);
        let peers = peers.context(BindSnafu { purpose: "peer address" })?;
        let admin = listener(settings.admin, "admin address")?;
        let me = me(settings, &admin, &peers)?;
        let facts = Facts::open(me.clone(), timeline.clone());
        let platform = Rc::new(Http::open(settings.platform));
        let peers = peer::Server::spawn(peers, facts.clone(), None);
        let peers = peers.context(BindSnafu { purpose: "peer address" })?;
        let gossip = Gossip::spawn(facts.clone(), Links::default(), settings.seeds.clone());
        let reader = Reader::spawn(facts.clone(), platform.clone());
        let leases = Leases::spawn(facts.clone(), platform, metrics);
        let admin = serve(timeline.clone(), registry, facts, settings.platform, admin)?;
        let (operators, peer) = (me.admin, me.peer);
        timeline.record(Event::Ready, &[("admin", &operators), ("peer", &peer)]);
        println!("ready admin={operators} peer={peer}");
        Ok(Self { admin, peers, gossip, reader, leases, timeline })
    }

    /// Gives its leases back and ends.
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

fn me(
    settings: &Settings,
    admin: &std::net::TcpListener,
    peers: &peer::service::Bound,
) -> Result<Member, Error> {
    let purpose = "address";
    let admin = admin.local_addr().context(BindSnafu { purpose })?;
    Ok(Member {
        name: settings.name.clone(),
        role: Role::Control,
        centre: settings.centre.clone(),
        incarnation: base::timeline::wall_ms(),
        // A control process takes no callers; its operators' address stands in.
        listen: admin,
        admin,
        peer: peers.address().context(BindSnafu { purpose })?,
    })
}

fn serve(
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
