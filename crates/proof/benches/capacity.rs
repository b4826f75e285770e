//! Measures idle daemons at growing cluster sizes, and the delay of a contract change.
//!
//! For each size it starts a new cluster and prints the processor share and memory of each role,
//! the traffic of each daemon, and the reads, rows and writes per second at the platform. The delay
//! of a change is the time from its submission until it is in force in every daemon. The index of a
//! size, from 0, as the first argument selects only this size.

use std::time::{Duration, Instant};

use platform::wire::WireListedInstance;
use proof::{Cluster, Layout, Process};

/// Time for which the idle cluster is measured.
const IDLE_TIME: Duration = Duration::from_secs(10);
/// Time between the last contract and the measurement, in which the cluster becomes idle.
const SETTLE_TIME: Duration = Duration::from_secs(8);
/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Number of contract changes whose delay is measured.
const CHANGES: u64 = 20;

/// Size of a cluster.
struct Size {
    instances: usize,
    contracts: usize,
    /// Number of entry processes, and likewise of control processes.
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
    let selected = std::env::args().nth(1).and_then(|arg| arg.parse::<usize>().ok());
    for (at, size) in sizes.iter().enumerate() {
        if selected.is_none_or(|selected| selected == at) {
            measure(size).await;
        }
    }
}

async fn measure(size: &Size) {
    let cluster = Cluster::start(&Layout::new(&["dc1"], size.daemons, size.daemons, &[]));
    list_instances(&cluster, size).await;
    let mut revision = 0;
    for at in 0..size.contracts {
        let name = format!("customer-{at}");
        revision = cluster.submit_contract(&name, &contract(&name, 1), 0);
    }
    let last_customer = format!("customer-{}", size.contracts - 1);
    cluster.wait_for_revision(&last_customer, revision).await;
    tokio::time::sleep(SETTLE_TIME).await;
    let (counts_before, bytes_before, start) =
        (cluster.platform_counts().await, loopback_bytes(), Instant::now());
    let before = (cpu_seconds(cluster.entries.values()), cpu_seconds(cluster.controls.values()));
    tokio::time::sleep(IDLE_TIME).await;
    let seconds = start.elapsed().as_secs_f64();
    let after = (cpu_seconds(cluster.entries.values()), cpu_seconds(cluster.controls.values()));
    let traffic =
        (loopback_bytes() - bytes_before) as f64 / seconds / 1_000.0 / (2 * size.daemons) as f64;
    let counts_after = cluster.platform_counts().await;
    let rate = |after: u64, before: u64| (after - before) as f64 / seconds;
    let (median, worst) = change_delays(&cluster, &last_customer, revision).await;
    let share = |after: f64, before: f64| (after - before) / seconds / size.daemons as f64 * 100.0;
    let rows = [
        ("entry", share(after.0, before.0), max_memory_mb(cluster.entries.values())),
        ("control", share(after.1, before.1), max_memory_mb(cluster.controls.values())),
    ];
    for (role, cpu, memory) in rows {
        println!(
            "{:>9}{:>10}{:>8}  {role:<8}{cpu:>8.2}{memory:>9.1}{traffic:>11.1}{:>9.1}{:>9.1}{:>10.1}{:>12}{:>11}",
            size.instances,
            size.contracts,
            2 * size.daemons,
            rate(counts_after.reads, counts_before.reads),
            rate(counts_after.rows, counts_before.rows),
            rate(counts_after.writes, counts_before.writes),
            median.as_millis(),
            worst.as_millis(),
        );
    }
}

/// Contract of a customer with five services; `deadline_ms` makes its revisions differ.
fn contract(name: &str, deadline_ms: u64) -> String {
    let mut text = format!("customer: {name}\ndown: 2\nservices:\n");
    for at in 0..5 {
        let service = format!("service-{at}");
        let pool = format!("{name}-{at}");
        text.push_str(&format!(
            "  - {{name: {service}, pool: {pool}, held: 1, down: 1, deadline_ms: {deadline_ms}}}\n"
        ));
    }
    text
}

/// Adds instances without backend servers to the platform's list, spread over the pools.
async fn list_instances(cluster: &Cluster, size: &Size) {
    let instances: Vec<WireListedInstance> = (0..size.instances)
        .map(|at| WireListedInstance {
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
    cluster.client.post_json(cluster.platform.address(""), "/instances/many", &instances).await;
}

/// Median and maximum delay of [`CHANGES`] contract changes.
async fn change_delays(cluster: &Cluster, name: &str, revision: u64) -> (Duration, Duration) {
    let (mut base, mut delays) = (revision, Vec::new());
    for change in 0..CHANGES {
        let start = Instant::now();
        base = cluster.submit_contract(name, &contract(name, change + 2), base);
        cluster.wait_for_revision(name, base).await;
        delays.push(start.elapsed());
    }
    delays.sort_unstable();
    (delays[delays.len() / 2], delays[delays.len() - 1])
}

/// Processor time that the processes have used so far, in seconds.
fn cpu_seconds<'a>(processes: impl Iterator<Item = &'a Process>) -> f64 {
    let ticks = processes.map(|process| {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", process.pid()));
        let stat = stat.unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or_default().split(' ').collect();
        // After the command name in brackets, 11 is `utime` and 12 is `stime`.
        let field = |at: usize| fields.get(at).and_then(|text| text.parse().ok()).unwrap_or(0.0);
        field(11) + field(12)
    });
    ticks.sum::<f64>() / TICKS_PER_SECOND
}

/// Largest resident memory of any of the processes, in MB.
fn max_memory_mb<'a>(processes: impl Iterator<Item = &'a Process>) -> f64 {
    let kilobytes = processes.map(|process| {
        let status = std::fs::read_to_string(format!("/proc/{}/status", process.pid()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        number.unwrap_or(0.0)
    });
    kilobytes.fold(0.0, f64::max) / 1_024.0
}

/// Bytes received on the loopback interface so far, which counts each transfer once.
fn loopback_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text.lines().find_map(|line| line.trim().strip_prefix("lo:"));
    let bytes = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    bytes.unwrap_or(0)
}
