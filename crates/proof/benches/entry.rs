//! Measures throughput and latency of an entry process against two baselines.
//!
//! The baselines are the backend server without an entry process, and `bare-hop`, a reverse proxy
//! without any decisions. The rounds alternate between the targets, so that a change in the load of
//! the machine affects all of them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use proof::{Client, Cluster, Layout, Process};

/// Concurrent connections, each of which sends one request after another.
const CONNECTIONS: usize = 8;
/// Requests of one round, over all connections.
const REQUESTS: usize = 8_000;
/// Number of rounds for each target.
const ROUNDS: usize = 5;
/// A repeatable service, which all requests use, and a non-repeatable service without servers.
const CONTRACT: &str = "customer: acme
down: 1
services:
  - {name: free, pool: bench, held: 1, down: 1, repeat: allowed, deadline_ms: 5000}
  - {name: spare, pool: none, held: 1, down: 1, repeat: never, deadline_ms: 5000}
";

/// Address and kind of request to measure, with the results of all rounds.
struct Target {
    name: &'static str,
    address: SocketAddr,
    path: &'static str,
    kind: Kind,
    latencies: Vec<Duration>,
    round_times: Vec<Duration>,
}

/// Kind of request, by its headers.
#[derive(Clone, Copy, PartialEq)]
enum Kind {
    /// Repeatable, without a key.
    Plain,
    /// Non-repeatable, without a key.
    Once,
    /// Non-repeatable, with a ticket that is requested first.
    Ticket,
    /// Non-repeatable, with a key that the caller chose.
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
        round_times: Vec::new(),
    };
    let mut targets = [
        target("direct", server, Kind::Plain),
        target("bare hop", hop.address(""), Kind::Plain),
        target("entry", entry, Kind::Plain),
        target("entry, at most once", entry, Kind::Once),
        target("entry, ticket per request", entry, Kind::Ticket),
        target("entry, caller's key", entry, Kind::Key),
    ];
    for round in 0..ROUNDS {
        for target in &mut targets {
            run_round(target, round).await;
        }
    }
    println!("{:<28}{:>10}{:>12}{:>12}", "target", "req/s", "median us", "p99 us");
    targets.iter_mut().for_each(report);
}

async fn run_round(target: &mut Target, round: usize) {
    let start = Instant::now();
    let tasks: Vec<_> = (0..CONNECTIONS)
        .map(|at| {
            let (address, path, kind) = (target.address, target.path, target.kind);
            actix::spawn(send_requests(address, path, kind, format!("{round}-{at}")))
        })
        .collect();
    for task in tasks {
        target.latencies.extend(task.await.expect("the results of a connection"));
    }
    target.round_times.push(start.elapsed());
}

/// Sends the requests of one connection and returns their latencies.
///
/// `connection` makes the keys of all connections differ.
async fn send_requests(
    address: SocketAddr,
    path: &str,
    kind: Kind,
    connection: String,
) -> Vec<Duration> {
    let client = Client::default();
    let mut latencies = Vec::with_capacity(REQUESTS / CONNECTIONS);
    for number in 0..REQUESTS / CONNECTIONS {
        let start = Instant::now();
        let mut headers = vec![];
        let mut key = format!("k-{connection}-{number}");
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

/// Prints the median throughput of the rounds and the latency percentiles of a target.
fn report(target: &mut Target) {
    target.latencies.sort_unstable();
    target.round_times.sort_unstable();
    let percentile =
        |share: f64| target.latencies[(target.latencies.len() as f64 * share) as usize];
    let round_time = target.round_times[ROUNDS / 2].as_secs_f64();
    println!(
        "{:<28}{:>10.0}{:>12}{:>12}",
        target.name,
        REQUESTS as f64 / round_time,
        percentile(0.5).as_micros(),
        percentile(0.99).as_micros()
    );
}
