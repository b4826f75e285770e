//! Entry processes under three times the load that the servers can handle.
//!
//! Guards against urgent requests that miss their deadline behind a backlog of waiting ones,
//! waiting requests that never finish, retries that multiply the load while all servers fail, and
//! slots that stay taken after callers disconnect.

use std::time::Duration;

use proof::{Cluster, Layout, Process};
use standin::backend;

/// One service; its two servers have 8 slots each, so they serve 400 requests of 40 ms per second.
const CONTRACT: &str = "customer: acme
down: 1
services:
  - name: boards
    pool: boards
    held: 1
    down: 1
    urgency: urgent
    repeat: allowed
    deadline_ms: 4000
    in_flight: 200
";
/// Number of callers of urgent work; each sends its requests one by one with a pause.
const URGENT_CALLERS: usize = 8;
/// Number of requests of each caller of urgent work.
const REQUESTS_PER_URGENT_CALLER: usize = 40;
/// Number of callers of waiting work, far more than there are slots.
const WAITING_CALLERS: usize = 400;
/// Number of requests that each caller of waiting work completes.
const REQUESTS_PER_WAITING_CALLER: usize = 4;
/// Required limit for the peak resident memory of an entry process.
const MAX_MEMORY_MB: f64 = 32.0;

async fn cluster() -> Cluster {
    let cluster = Cluster::start(&Layout::new(&["dc1"], 2, 1, &[("boards", 2)]));
    cluster.apply_contract("acme", CONTRACT, 0).await;
    cluster.wait_for_service("/acme/boards").await;
    cluster
}

/// Sends urgent requests; returns the number of those that were done.
async fn run_urgent_caller(cluster: &Cluster, at: usize) -> usize {
    let mut done = 0;
    for _ in 0..REQUESTS_PER_URGENT_CALLER {
        let entry = cluster.entry_address(at % 2);
        let reply = cluster.client.post(entry, "/acme/boards", &[("X-Work-Ms", "40")], "u").await;
        done += usize::from(reply.is_some_and(|reply| reply.outcome == "done"));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    done
}

/// Sends waiting requests until each is done, retrying after `Retry-After` seconds.
///
/// Returns the number of requests sent, retries included.
async fn run_waiting_caller(cluster: &Cluster, at: usize) -> usize {
    let headers = [("X-Work-Ms", "40"), ("X-Urgency", "waiting"), ("X-Deadline-Ms", "20000")];
    let mut sent = 0;
    for _ in 0..REQUESTS_PER_WAITING_CALLER {
        loop {
            sent += 1;
            let entry = cluster.entry_address((at + sent) % 2);
            let reply = cluster.client.post(entry, "/acme/boards", &headers, "w").await.unwrap();
            if reply.outcome == "done" {
                break;
            }
            assert_eq!(reply.outcome, "not-run", "{reply:?}");
            tokio::time::sleep(Duration::from_secs(reply.retry_after.unwrap())).await;
        }
    }
    sent
}

/// Peak resident memory of a process.
fn peak_memory_mb(process: &Process) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.pid())).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.split_whitespace().next().unwrap().parse::<f64>().unwrap() / 1_024.0
}

#[actix::test]
async fn urgent_work_goes_before_work_that_can_wait_and_both_finish() {
    let cluster = cluster().await;
    let before = cluster.recorded_runs().await.len();
    let waiting = futures_util::future::join_all(
        (0..WAITING_CALLERS).map(|at| run_waiting_caller(&cluster, at)),
    );
    let urgent = futures_util::future::join_all(
        (0..URGENT_CALLERS).map(|at| run_urgent_caller(&cluster, at)),
    );
    let (_, urgent) = futures_util::join!(waiting, urgent);
    let (done, sent) = (urgent.iter().sum::<usize>(), URGENT_CALLERS * REQUESTS_PER_URGENT_CALLER);
    assert!(done * 100 >= sent * 99, "{done} of {sent} urgent requests were done");
    let runs = cluster.recorded_runs().await.len() - before;
    let requests = sent + WAITING_CALLERS * REQUESTS_PER_WAITING_CALLER;
    assert!(runs * 10 <= requests * 11, "{runs} runs of {requests} requests");
    for entry in cluster.entries.values() {
        assert!(peak_memory_mb(entry) < MAX_MEMORY_MB, "{} MB", peak_memory_mb(entry));
    }
}

#[actix::test]
async fn a_wave_of_failures_adds_a_tenth_of_retries_at_most() {
    let cluster = cluster().await;
    let fail = backend::Faults { fail: true, ..backend::Faults::default() };
    for id in ["boards-dc1-0", "boards-dc1-1"] {
        cluster.set_server_faults(id, &fail).await;
    }
    let before = cluster.recorded_runs().await.len();
    let requests = 600;
    for number in 0..requests {
        let entry = cluster.entry_address(number % 2);
        cluster.client.post(entry, "/acme/boards", &[], "x").await.unwrap();
    }
    let runs = cluster.recorded_runs().await.len() - before;
    // Beyond a tenth of the requests, each of the two entry processes may spend a reserve of ten
    // retries.
    assert!(runs <= requests + requests / 10 + 20, "{runs} runs of {requests} requests");
}

#[actix::test]
async fn a_flood_of_cancellations_leaves_no_slot_taken() {
    let cluster = cluster().await;
    for _ in 0..5 {
        let calls: Vec<_> = (0..200)
            .map(|at| {
                let (client, entry) = (cluster.client.clone(), cluster.entry_address(at % 2));
                actix::spawn(async move {
                    client.post(entry, "/acme/boards", &[("X-Work-Ms", "100")], "x").await
                })
            })
            .collect();
        tokio::time::sleep(Duration::from_millis(60)).await;
        calls.iter().for_each(tokio::task::JoinHandle::abort);
    }
    cluster.wait_for_service("/acme/boards").await;
    for number in 0..100 {
        let entry = cluster.entry_address(number % 2);
        let reply = cluster.client.post(entry, "/acme/boards", &[], "x").await.unwrap();
        assert_eq!(reply.outcome, "done", "{reply:?}");
    }
}
