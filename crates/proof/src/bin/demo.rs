//! Shows the whole path: contracts, requests, a change, a maintenance stop, questions, a check.

use std::collections::HashMap;
use std::process::ExitCode;

use proof::{Cluster, Layout, wait_for};

/// Pools of the two users' contracts; the demo runs a few servers for each.
const POOLS: [(&str, usize); 5] = [
    ("stcn-arrivals", 2),
    ("stcn-detours", 2),
    ("stcn-rebuilds", 1),
    ("vasconcelos-recipes", 2),
    ("vasconcelos-cleaning", 1),
];
/// Requests of each kind.
const REQUESTS: usize = 40;

/// The demo's own counts.
#[derive(Default)]
struct Tally {
    sent: usize,
    wrong: Vec<String>,
    once: Vec<String>,
}

#[actix_web::main]
async fn main() -> ExitCode {
    let flags = xflags::parse_or_exit! {
        /// Leaves everything running and prints the addresses.
        optional --keep
    };
    println!(
        "== starting: platform, two data centres with two entry and two control processes each"
    );
    let cluster = Cluster::start(&Layout::new(&["dc1", "dc2"], 2, 2, &POOLS));
    let mut tally = Tally::default();
    contracts(&cluster).await;
    requests(&cluster, &mut tally).await;
    change(&cluster, &mut tally).await;
    drain(&cluster, &mut tally).await;
    check(&cluster, &mut tally).await;
    let (code, text) = cluster.jtally(&["timeline"]);
    let lines: Vec<&str> = text.lines().collect();
    println!("== time line over all processes, exit {code}, last 12 of {} events", lines.len());
    lines.iter().rev().take(12).rev().for_each(|line| println!("{line}"));
    if flags.keep {
        keep(&cluster).await;
    }
    if tally.wrong.is_empty() {
        println!(
            "== all right: {} requests, {} of them at most once",
            tally.sent,
            tally.once.len()
        );
        return ExitCode::SUCCESS;
    }
    tally.wrong.iter().for_each(|wrong| println!("WRONG: {wrong}"));
    ExitCode::FAILURE
}

async fn contracts(cluster: &Cluster) {
    println!("== applying the two users' contracts, scaled to the demo's servers");
    for name in ["stcn", "vasconcelos"] {
        let revision = cluster.apply_contract(name, &contract(name), 0).await;
        println!("{name}: revision {revision} is in force in every process");
    }
    for path in ["/stcn/arrivals", "/stcn/rebuilds", "/vasconcelos/cleaning"] {
        cluster.wait_for_service(path).await;
    }
}

/// A user's contract with `held` lowered to what the demo runs.
fn contract(name: &str) -> String {
    let text = match name {
        "stcn" => include_str!("../../../../config/stcn.yaml"),
        _ => include_str!("../../../../config/vasconcelos.yaml"),
    };
    let lines = text
        .lines()
        .map(|line| if line.trim_start().starts_with("held:") { "    held: 1" } else { line });
    lines.map(|line| format!("{line}\n")).collect()
}

async fn requests(cluster: &Cluster, tally: &mut Tally) {
    println!("== sending urgent, waiting and unrepeatable work through every entry process");
    for number in 0..REQUESTS {
        let entry = cluster.entry_address(number % cluster.entries.len());
        let body = format!("body-{number}");
        send(cluster, tally, entry, "/stcn/arrivals/refresh", &[], &body).await;
        send(cluster, tally, entry, "/stcn/rebuilds/night", &[], &body).await;
        let key = format!("detour-{number}");
        send(cluster, tally, entry, "/stcn/detours/post", &[("Idempotency-Key", &key)], &body)
            .await;
        tally.once.push(key.clone());
        // The same key through another entry process must not run twice.
        let other = cluster.entry_address((number + 1) % cluster.entries.len());
        send(cluster, tally, other, "/stcn/detours/post", &[("Idempotency-Key", &key)], &body)
            .await;
        let ticket = cluster.client.post(entry, "/_/tickets", &[], "").await;
        let ticket = ticket.and_then(|reply| {
            let issued: serde_json::Value = serde_json::from_str(&reply.body).ok()?;
            issued["ticket"].as_str().map(str::to_owned)
        });
        let Some(ticket) = ticket else { continue };
        let headers = [("Idempotency-Key", ticket.as_str())];
        send(cluster, tally, other, "/vasconcelos/recipes/load", &headers, &body).await;
        send(cluster, tally, entry, "/vasconcelos/recipes/load", &headers, &body).await;
        tally.once.push(ticket);
    }
    println!("{} answers", tally.sent);
}

async fn send(
    cluster: &Cluster,
    tally: &mut Tally,
    entry: std::net::SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) {
    tally.sent += 1;
    match cluster.client.post(entry, path, headers, body).await {
        Some(reply) if reply.outcome == "done" && reply.body == body => {}
        other => tally.wrong.push(format!("{path} {headers:?}: {other:?}")),
    }
}

async fn change(cluster: &Cluster, tally: &mut Tally) {
    println!("== changing a contract; a change made on an old revision is refused");
    let text = contract("stcn").replace("deadline_ms: 800", "deadline_ms: 900");
    let revision = cluster.apply_contract("stcn", &text, 1).await;
    println!("stcn: revision {revision} is in force in every process");
    let file = cluster.folder.join("stcn.yaml").display().to_string();
    let (code, output) = cluster.jtally(&["contract", "apply", &file, "--base", "1", "--ahead"]);
    println!("exit {code}: {}", output.trim());
    if code != 4 {
        tally.wrong.push(format!("a stale change ended with {code}"));
    }
    let wrong = cluster.folder.join("wrong.yaml");
    if std::fs::write(&wrong, text.replace("down: 4", "down: 0")).is_ok() {
        let (code, output) = cluster.jtally(&["contract", "apply", &wrong.display().to_string()]);
        println!("exit {code}: {}", output.trim());
        if code != 3 {
            tally.wrong.push(format!("a wrong contract ended with {code}"));
        }
    }
}

async fn drain(cluster: &Cluster, tally: &mut Tally) {
    let id = "stcn-detours-dc1-0";
    println!("== draining {id} while requests go on");
    let (code, output) = cluster.jtally(&["drain", id, "--reason", "kernel update"]);
    println!("exit {code}: {}", output.trim());
    let mut number = 0;
    loop {
        let key = format!("during-{number}");
        let entry = cluster.entry_address(number % cluster.entries.len());
        let headers = [("Idempotency-Key", key.as_str())];
        send(cluster, tally, entry, "/stcn/detours/post", &headers, &key).await;
        tally.once.push(key);
        number += 1;
        let (_, why) = cluster.jtally(&["--json", "why", id]);
        let why: serde_json::Value = serde_json::from_str(&why).unwrap_or_default();
        if why["decision"] == "serves" && why["order"].is_null() {
            break;
        }
        if number > 2_000 {
            tally.wrong.push(format!("{id} did not come back: {why}"));
            break;
        }
    }
    let (_, output) = cluster.jtally(&["why", id]);
    print!("{output}");
}

async fn check(cluster: &Cluster, tally: &mut Tally) {
    println!("== comparing with the backend servers' own records");
    let mut runs: HashMap<String, usize> = HashMap::new();
    let record = wait_for("idle backend servers", || async {
        let record = cluster.recorded_runs().await;
        record.iter().all(|run| run.end_ms.is_some()).then_some(record)
    })
    .await;
    for run in &record {
        if run.cut {
            tally.wrong.push(format!("a reboot cut off {}", run.id));
        }
        *runs.entry(run.id.clone()).or_default() += 1;
    }
    for key in &tally.once {
        let ran = runs.get(key).copied().unwrap_or_default();
        if ran != 1 {
            tally.wrong.push(format!("{key} ran {ran} times"));
        }
    }
    println!("{} runs on record", record.len());
}

async fn keep(cluster: &Cluster) {
    println!("== left running; stop with Ctrl-C");
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
        eprintln!("{error}");
    }
}
