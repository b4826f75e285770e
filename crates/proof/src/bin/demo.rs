//! Demo of the whole product on one machine.
//!
//! It applies the two contracts in `config/`, sends requests, changes a contract and drains an
//! instance under load. At the end it compares the answers with the runs on record at the backend
//! servers.

use std::collections::HashMap;
use std::process::ExitCode;

use proof::{Cluster, Layout, wait_for};

/// Pools of the two contracts in `config/`, with the number of servers in each data centre.
const POOLS: [(&str, usize); 5] = [
    ("stcn-arrivals", 2),
    ("stcn-detours", 2),
    ("stcn-rebuilds", 1),
    ("vasconcelos-recipes", 2),
    ("vasconcelos-cleaning", 1),
];
/// Rounds of requests; each round sends every kind of request.
const ROUNDS: usize = 40;

/// Results that the demo checks and prints at its end.
#[derive(Default)]
struct Results {
    /// Number of requests sent.
    sent: usize,
    /// Descriptions of unexpected results.
    failures: Vec<String>,
    /// Keys of requests that must have run exactly once.
    once_keys: Vec<String>,
}

#[actix_web::main]
async fn main() -> ExitCode {
    let flags = xflags::parse_or_exit! {
        /// Keeps all processes running and prints their addresses.
        optional --keep
    };
    println!(
        "== starting: platform, two data centres with two entry and two control processes each"
    );
    let cluster = Cluster::start(&Layout::new(&["dc1", "dc2"], 2, 2, &POOLS));
    let mut results = Results::default();
    apply_contracts(&cluster).await;
    send_requests(&cluster, &mut results).await;
    change_contract(&cluster, &mut results).await;
    drain_instance(&cluster, &mut results).await;
    check_runs(&cluster, &mut results).await;
    let (code, text) = cluster.jtally(&["timeline"]);
    let lines: Vec<&str> = text.lines().collect();
    println!("== timeline of all processes, exit code {code}, last 12 of {} events", lines.len());
    lines.iter().rev().take(12).rev().for_each(|line| println!("{line}"));
    if flags.keep {
        keep_running(&cluster).await;
    }
    if results.failures.is_empty() {
        println!(
            "== passed: {} requests, {} keys ran exactly once",
            results.sent,
            results.once_keys.len()
        );
        return ExitCode::SUCCESS;
    }
    results.failures.iter().for_each(|failure| println!("FAILED: {failure}"));
    ExitCode::FAILURE
}

async fn apply_contracts(cluster: &Cluster) {
    println!("== applying the two contracts of config, scaled to the servers of the demo");
    for name in ["stcn", "vasconcelos"] {
        let revision = cluster.apply_contract(name, &customer_contract(name), 0).await;
        println!("{name}: revision {revision} is in force in every process");
    }
    for path in ["/stcn/arrivals", "/stcn/rebuilds", "/vasconcelos/cleaning"] {
        cluster.wait_for_service(path).await;
    }
}

/// Returns a contract of `config/` with `held` lowered to 1, because the demo runs few servers.
fn customer_contract(name: &str) -> String {
    let text = match name {
        "stcn" => include_str!("../../../../config/stcn.yaml"),
        _ => include_str!("../../../../config/vasconcelos.yaml"),
    };
    let lines = text
        .lines()
        .map(|line| if line.trim_start().starts_with("held:") { "    held: 1" } else { line });
    lines.map(|line| format!("{line}\n")).collect()
}

async fn send_requests(cluster: &Cluster, results: &mut Results) {
    println!("== sending urgent, waiting and non-repeatable requests through every entry process");
    for number in 0..ROUNDS {
        let entry = cluster.entry_address(number % cluster.entries.len());
        let body = format!("body-{number}");
        send(cluster, results, entry, "/stcn/arrivals/refresh", &[], &body).await;
        send(cluster, results, entry, "/stcn/rebuilds/night", &[], &body).await;
        let key = format!("detour-{number}");
        send(cluster, results, entry, "/stcn/detours/post", &[("Idempotency-Key", &key)], &body)
            .await;
        results.once_keys.push(key.clone());
        // A retry with the same key through another entry process must not run the request again.
        let other = cluster.entry_address((number + 1) % cluster.entries.len());
        send(cluster, results, other, "/stcn/detours/post", &[("Idempotency-Key", &key)], &body)
            .await;
        let ticket = cluster.client.post(entry, "/_/tickets", &[], "").await;
        let ticket = ticket.and_then(|reply| {
            let issued: serde_json::Value = serde_json::from_str(&reply.body).ok()?;
            issued["ticket"].as_str().map(str::to_owned)
        });
        let Some(ticket) = ticket else { continue };
        let headers = [("Idempotency-Key", ticket.as_str())];
        send(cluster, results, other, "/vasconcelos/recipes/load", &headers, &body).await;
        send(cluster, results, entry, "/vasconcelos/recipes/load", &headers, &body).await;
        results.once_keys.push(ticket);
    }
    println!("{} requests sent", results.sent);
}

async fn send(
    cluster: &Cluster,
    results: &mut Results,
    entry: std::net::SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) {
    results.sent += 1;
    match cluster.client.post(entry, path, headers, body).await {
        Some(reply) if reply.outcome == "done" && reply.body == body => {}
        other => results.failures.push(format!("{path} {headers:?}: {other:?}")),
    }
}

async fn change_contract(cluster: &Cluster, results: &mut Results) {
    println!("== changing a contract; a change based on an old revision is refused");
    let text = customer_contract("stcn").replace("deadline_ms: 800", "deadline_ms: 900");
    let revision = cluster.apply_contract("stcn", &text, 1).await;
    println!("stcn: revision {revision} is in force in every process");
    let file = cluster.folder.join("stcn.yaml").display().to_string();
    let (code, output) = cluster.jtally(&["contract", "apply", &file, "--base", "1", "--ahead"]);
    println!("exit code {code}: {}", output.trim());
    if code != 4 {
        results.failures.push(format!("a change on an old revision gave exit code {code}"));
    }
    let invalid = cluster.folder.join("wrong.yaml");
    if std::fs::write(&invalid, text.replace("down: 4", "down: 0")).is_ok() {
        let (code, output) = cluster.jtally(&["contract", "apply", &invalid.display().to_string()]);
        println!("exit code {code}: {}", output.trim());
        if code != 3 {
            results.failures.push(format!("an invalid contract gave exit code {code}"));
        }
    }
}

async fn drain_instance(cluster: &Cluster, results: &mut Results) {
    let id = "stcn-detours-dc1-0";
    println!("== draining {id} under load");
    let (code, output) = cluster.jtally(&["drain", id, "--reason", "kernel update"]);
    println!("exit code {code}: {}", output.trim());
    let mut number = 0;
    loop {
        let key = format!("during-{number}");
        let entry = cluster.entry_address(number % cluster.entries.len());
        let headers = [("Idempotency-Key", key.as_str())];
        send(cluster, results, entry, "/stcn/detours/post", &headers, &key).await;
        results.once_keys.push(key);
        number += 1;
        let (_, why) = cluster.jtally(&["--json", "why", id]);
        let why: serde_json::Value = serde_json::from_str(&why).unwrap_or_default();
        if why["decision"] == "serves" && why["order"].is_null() {
            break;
        }
        if number > 2_000 {
            results.failures.push(format!("{id} does not serve again: {why}"));
            break;
        }
    }
    let (_, output) = cluster.jtally(&["why", id]);
    print!("{output}");
}

async fn check_runs(cluster: &Cluster, results: &mut Results) {
    println!("== comparing the answers with the runs on record at the backend servers");
    let mut runs_by_id: HashMap<String, usize> = HashMap::new();
    let runs = wait_for("the backend servers to be idle", || async {
        let runs = cluster.recorded_runs().await;
        runs.iter().all(|run| run.end_ms.is_some()).then_some(runs)
    })
    .await;
    for run in &runs {
        if run.cut {
            results.failures.push(format!("a reboot interrupted {}", run.id));
        }
        *runs_by_id.entry(run.id.clone()).or_default() += 1;
    }
    // A request with a key has this key as its id.
    for key in &results.once_keys {
        let count = runs_by_id.get(key).copied().unwrap_or_default();
        if count != 1 {
            results.failures.push(format!("{key} ran {count} times"));
        }
    }
    println!("{} runs on record", runs.len());
}

async fn keep_running(cluster: &Cluster) {
    println!("== all processes keep running; stop them with Ctrl-C");
    println!("platform {}", cluster.platform.address(""));
    for (name, process) in &cluster.entries {
        println!(
            "{name}: callers {}, admin {}",
            process.address("listen"),
            process.address("admin")
        );
    }
    for (name, process) in &cluster.controls {
        println!("{name}: jtally --at {}", process.address("admin"));
    }
    for (name, process) in &cluster.servers {
        println!("{name}: {}", process.address(""));
    }
    if let Err(error) = tokio::signal::ctrl_c().await {
        eprintln!("can't wait for Ctrl-C: {error}");
    }
}
