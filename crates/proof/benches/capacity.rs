//! What idle daemons cost at growing sizes, and how soon a contract change is in force everywhere.
//!
//! Prints processor share, memory and traffic of each role, and the platform's reads and writes a
//! second; each size runs in a cluster of its own.

use std::time::{Duration, Instant};

use platform::wire::WireListed;
use proof::{Cluster, Layout, Process};

/// Time over which a size is measured.
const SPAN: Duration = Duration::from_secs(10);
/// Time that a cluster gets to settle.
const SETTLE: Duration = Duration::from_secs(8);
/// Clock ticks of a processor in a second, as the system counts them.
const TICKS: f64 = 100.0;
/// Changes of a contract whose time is measured.
const CHANGES: u64 = 20;

/// One size.
struct Size {
    instances: usize,
    contracts: usize,
    daemons: usize,
}

#[actix::main]
async fn main() {
    let sizes = [
        Size { instances: 100, contracts: 2, daemons: 1 },
        Size { instances: 100, contracts: 2, daemons: 4 },
        Size { instances: 100, contracts: 2, daemons: 8 },
        Size { instances: 100, contracts: 40, daemons: 4 },
        Size { instances: 100, contracts: 130, daemons: 4 },
        Size { instances: 1_000, contracts: 2, daemons: 4 },
        Size { instances: 3_000, contracts: 2, daemons: 4 },
        Size { instances: 8_100, contracts: 130, daemons: 4 },
    ];
    println!(
        "{:>9}{:>10}{:>8}  {:<8}{:>8}{:>9}{:>11}{:>9}{:>9}{:>10}{:>12}{:>11}",
        "instances",
        "contracts",
        "daemons",
        "role",
        "cpu %",
        "RSS MB",
        "KB/s each",
        "reads/s",
        "rows/s",
        "writes/s",
        "change ms",
        "worst ms"
    );
    let only = std::env::args().nth(1).and_then(|arg| arg.parse::<usize>().ok());
    for (at, size) in sizes.iter().enumerate() {
        if only.is_none_or(|only| only == at) {
            measure(size).await;
        }
    }
}

async fn measure(size: &Size) {
    let cluster = Cluster::start(&Layout::new(&["dc1"], size.daemons, size.daemons, &[]));
    fill(&cluster, size).await;
    let mut revision = 0;
    for at in 0..size.contracts {
        let name = format!("customer-{at}");
        revision = cluster.submit_contract(&name, &contract(&name, 1), 0);
    }
    let last = format!("customer-{}", size.contracts - 1);
    cluster.wait_for_revision(&last, revision).await;
    tokio::time::sleep(SETTLE).await;
    let (counts, lo, start) = (cluster.platform_counts().await, loopback(), Instant::now());
    let before = (cpu(cluster.entries.values()), cpu(cluster.controls.values()));
    tokio::time::sleep(SPAN).await;
    let spent = start.elapsed().as_secs_f64();
    let after = (cpu(cluster.entries.values()), cpu(cluster.controls.values()));
    let traffic = (loopback() - lo) as f64 / spent / 1_000.0 / (2 * size.daemons) as f64;
    let later = cluster.platform_counts().await;
    let rate = |after: u64, before: u64| (after - before) as f64 / spent;
    let (middle, worst) = changes(&cluster, &last, revision).await;
    let share = |after: f64, before: f64| (after - before) / spent / size.daemons as f64 * 100.0;
    let rows = [
        ("entry", share(after.0, before.0), memory(cluster.entries.values())),
        ("control", share(after.1, before.1), memory(cluster.controls.values())),
    ];
    for (role, cpu, memory) in rows {
        println!(
            "{:>9}{:>10}{:>8}  {role:<8}{cpu:>8.2}{memory:>9.1}{traffic:>11.1}{:>9.1}{:>9.1}{:>10.1}{:>12}{:>11}",
            size.instances,
            size.contracts,
            2 * size.daemons,
            rate(later.reads, counts.reads),
            rate(later.rows, counts.rows),
            rate(later.writes, counts.writes),
            middle.as_millis(),
            worst.as_millis(),
        );
    }
}

fn contract(name: &str, deadline: u64) -> String {
    let mut text = format!("customer: {name}\ndown: 2\nservices:\n");
    for at in 0..5 {
        let service = format!("service-{at}");
        let pool = format!("{name}-{at}");
        text.push_str(&format!(
            "  - {{name: {service}, pool: {pool}, held: 1, down: 1, deadline_ms: {deadline}}}\n"
        ));
    }
    text
}

/// Lists instances that nothing answers for, spread over the customers' pools.
async fn fill(cluster: &Cluster, size: &Size) {
    let lines: Vec<WireListed> = (0..size.instances)
        .map(|at| WireListed {
            id: format!("instance-{at}"),
            address: ([127, 0, 0, 1], 9).into(),
            centre: "dc1".to_owned(),
            rack: format!("dc1-r{}", at / 4),
            pool: format!("customer-{}-{}", at % size.contracts, at / size.contracts % 5),
            incarnation: 1,
            leaving: false,
            executors: vec![(8, 64)],
        })
        .collect();
    cluster.client.post_json(cluster.platform.address(""), "/instances/many", &lines).await;
}

async fn changes(cluster: &Cluster, name: &str, revision: u64) -> (Duration, Duration) {
    let (mut base, mut times) = (revision, Vec::new());
    for change in 0..CHANGES {
        let start = Instant::now();
        base = cluster.submit_contract(name, &contract(name, change + 2), base);
        cluster.wait_for_revision(name, base).await;
        times.push(start.elapsed());
    }
    times.sort_unstable();
    (times[times.len() / 2], times[times.len() - 1])
}

/// Processor time of processes so far, in seconds.
fn cpu<'a>(processes: impl Iterator<Item = &'a Process>) -> f64 {
    let ticks = processes.map(|process| {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", process.pid()));
        let stat = stat.unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or_default().split(' ').collect();
        let field = |at: usize| fields.get(at).and_then(|text| text.parse().ok()).unwrap_or(0.0);
        field(11) + field(12)
    });
    ticks.sum::<f64>() / TICKS
}

/// Largest resident memory of processes, in MB.
fn memory<'a>(processes: impl Iterator<Item = &'a Process>) -> f64 {
    let kilobytes = processes.map(|process| {
        let status = std::fs::read_to_string(format!("/proc/{}/status", process.pid()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        number.unwrap_or(0.0)
    });
    kilobytes.fold(0.0, f64::max) / 1_024.0
}

/// Bytes that went over the loopback interface so far, each counted once.
fn loopback() -> u64 {
    let text = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text.lines().find_map(|line| line.trim().strip_prefix("lo:"));
    let bytes = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    bytes.unwrap_or(0)
}
