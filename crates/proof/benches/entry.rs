//! One entry process beside the backend server alone and a hop that decides nothing.
//!
//! Prints requests a second and latency for each, in rounds that alternate between them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use proof::{Client, Cluster, Layout, Process};

/// Connections that ask at once.
const CONNECTIONS: usize = 8;
/// Requests of one round.
const REQUESTS: usize = 8_000;
/// Rounds of each target.
const ROUNDS: usize = 5;
/// Work that may be repeated and work that may not, beside the brief's slots.
const CONTRACT: &str = "customer: acme
down: 1
services:
  - {name: free, pool: bench, held: 1, down: 1, repeat: allowed, deadline_ms: 5000}
  - {name: spare, pool: none, held: 1, down: 1, repeat: never, deadline_ms: 5000}
";

/// Latencies of one target over all rounds.
struct Target {
    name: &'static str,
    address: SocketAddr,
    path: &'static str,
    kind: Kind,
    latencies: Vec<Duration>,
    spent: Vec<Duration>,
}

#[derive(Clone, Copy, PartialEq)]
enum Kind {
    Plain,
    Once,
    Ticket,
    Key,
}

#[actix::main]
async fn main() {
    let cluster = Cluster::start(&Layout::minimal(&[("bench", 1)]));
    cluster.apply_contract("acme", CONTRACT, 0).await;
    cluster.wait_for_service("/acme/free").await;
    let server = cluster.servers[0].address("");
    let hop = Process::spawn("bare-hop", &[server.to_string()]);
    let entry = cluster.entry_address(0);
    let target = |name, address, kind| Target {
        name,
        address,
        path: "/acme/free",
        kind,
        latencies: Vec::new(),
        spent: Vec::new(),
    };
    let mut targets = [
        target("direct", server, Kind::Plain),
        target("bare hop", hop.address(""), Kind::Plain),
        target("entry", entry, Kind::Plain),
        target("entry, at most once", entry, Kind::Once),
        target("entry, ticket asked first", entry, Kind::Ticket),
        target("entry, caller's key", entry, Kind::Key),
    ];
    for round in 0..ROUNDS {
        for target in &mut targets {
            run(target, round).await;
        }
    }
    println!("{:<28}{:>10}{:>12}{:>12}", "target", "req/s", "median us", "p99 us");
    targets.iter_mut().for_each(report);
}

async fn run(target: &mut Target, round: usize) {
    let start = Instant::now();
    let tasks: Vec<_> = (0..CONNECTIONS)
        .map(|at| {
            let (address, path, kind) = (target.address, target.path, target.kind);
            actix::spawn(ask(address, path, kind, format!("{round}-{at}")))
        })
        .collect();
    for task in tasks {
        target.latencies.extend(task.await.expect("a task of the load"));
    }
    target.spent.push(start.elapsed());
}

async fn ask(address: SocketAddr, path: &str, kind: Kind, name: String) -> Vec<Duration> {
    let client = Client::default();
    let mut latencies = Vec::with_capacity(REQUESTS / CONNECTIONS);
    for number in 0..REQUESTS / CONNECTIONS {
        let start = Instant::now();
        let mut headers = vec![];
        let mut key = format!("k-{name}-{number}");
        if kind == Kind::Ticket {
            let reply = client.post(address, "/_/tickets", &[], "").await.expect("a ticket");
            let issued: serde_json::Value = serde_json::from_str(&reply.body).expect("JSON");
            key = issued["ticket"].as_str().expect("a ticket").to_owned();
        }
        if kind != Kind::Plain {
            headers.push(("X-Repeat", "never"));
        }
        if matches!(kind, Kind::Ticket | Kind::Key) {
            headers.push(("Idempotency-Key", key.as_str()));
        }
        let reply = client.post(address, path, &headers, "a body of some bytes").await;
        assert_eq!(reply.expect("an answer").status, 200);
        latencies.push(start.elapsed());
    }
    latencies
}

fn report(target: &mut Target) {
    target.latencies.sort_unstable();
    target.spent.sort_unstable();
    let at = |share: f64| target.latencies[(target.latencies.len() as f64 * share) as usize];
    let round = target.spent[ROUNDS / 2].as_secs_f64();
    println!(
        "{:<28}{:>10.0}{:>12}{:>12}",
        target.name,
        REQUESTS as f64 / round,
        at(0.5).as_micros(),
        at(0.99).as_micros()
    );
}
