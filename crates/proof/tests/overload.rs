//! Under three times the load, urgent work keeps its deadline and waiting work finishes.

use std::time::Duration;

use proof::{Cluster, Layout, Process};
use standin::backend;

/// One service; two servers of 8 slots, where a request takes 40 ms, serve 400 a second.
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
/// Callers that ask for urgent work, one request after another with a pause.
const URGENT: usize = 8;
/// Requests of each of them.
const URGENT_EACH: usize = 40;
/// Callers that ask for work that can wait, far more than there are slots.
const WAITING: usize = 400;
/// Requests of each of them.
const WAITING_EACH: usize = 4;
/// Resident memory that an entry process may have in MB, from the letter's budget.
const MEMORY: f64 = 32.0;

async fn cluster() -> Cluster {
    let cluster = Cluster::start(&Layout::new(&["dc1"], 2, 1, &[("boards", 2)]));
    cluster.apply_contract("acme", CONTRACT, 0).await;
    cluster.wait_for_service("/acme/boards").await;
    cluster
}

/// Asks for urgent work; gives how many requests were done.
async fn urgent(cluster: &Cluster, at: usize) -> usize {
    let mut done = 0;
    for _ in 0..URGENT_EACH {
        let entry = cluster.entry_address(at % 2);
        let reply = cluster.client.post(entry, "/acme/boards", &[("X-Work-Ms", "40")], "u").await;
        done += usize::from(reply.is_some_and(|reply| reply.outcome == "done"));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    done
}

/// Asks for work that can wait and comes back when it is told to; gives the requests sent.
async fn waiting(cluster: &Cluster, at: usize) -> usize {
    let headers = [("X-Work-Ms", "40"), ("X-Urgency", "waiting"), ("X-Deadline-Ms", "20000")];
    let mut sent = 0;
    for _ in 0..WAITING_EACH {
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

fn memory(process: &Process) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.pid())).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.split_whitespace().next().unwrap().parse::<f64>().unwrap() / 1_024.0
}

#[actix::test]
async fn urgent_work_goes_before_work_that_can_wait_and_both_finish() {
    let cluster = cluster().await;
    let before = cluster.recorded_runs().await.len();
    let waiting = futures_util::future::join_all((0..WAITING).map(|at| waiting(&cluster, at)));
    let urgent = futures_util::future::join_all((0..URGENT).map(|at| urgent(&cluster, at)));
    let (_, urgent) = futures_util::join!(waiting, urgent);
    let (done, asked) = (urgent.iter().sum::<usize>(), URGENT * URGENT_EACH);
    assert!(done * 100 >= asked * 99, "{done} of {asked} urgent requests were done");
    let runs = cluster.recorded_runs().await.len() - before;
    let wanted = asked + WAITING * WAITING_EACH;
    assert!(runs * 10 <= wanted * 11, "{runs} runs of {wanted} requests");
    for entry in cluster.entries.values() {
        assert!(memory(entry) < MEMORY, "{} MB", memory(entry));
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
    let asked = 600;
    for number in 0..asked {
        let entry = cluster.entry_address(number % 2);
        cluster.client.post(entry, "/acme/boards", &[], "x").await.unwrap();
    }
    let runs = cluster.recorded_runs().await.len() - before;
    // Each of the two processes has a reserve of ten retries beside the tenth.
    assert!(runs <= asked + asked / 10 + 20, "{runs} runs of {asked} requests");
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
