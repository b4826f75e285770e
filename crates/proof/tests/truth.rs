//! Truth of the reported outcomes when backend servers fail.
//!
//! Guards against an answer that is reported as `done` although it is incomplete, as `not-run`
//! although the request ran, or that reaches another caller. The servers truncate answers, are
//! killed or suspended in the middle of a request, have no free slot, or answer late.

use std::time::{Duration, Instant};

use proof::{Cluster, Layout, Reply, wait_for};
use standin::backend;

/// A repeatable and a non-repeatable service, which are otherwise alike.
const CONTRACT: &str = "customer: acme
down: 1
services:
  - {name: free, pool: free, held: 1, down: 1, repeat: allowed, deadline_ms: 20000}
  - {name: once, pool: once, held: 1, down: 1, repeat: never, deadline_ms: 20000}
";
/// Number of servers by pool.
const SERVERS: [(&str, usize); 2] = [("free", 1), ("once", 1)];
/// Ids of the servers, in the order of the services.
const SERVER_IDS: [&str; 2] = ["free-dc1-0", "once-dc1-0"];

async fn cluster() -> Cluster {
    let cluster = Cluster::start(&Layout::minimal(&SERVERS));
    cluster.apply_contract("acme", CONTRACT, 0).await;
    cluster.wait_for_service("/acme/free").await;
    cluster.wait_for_service("/acme/once").await;
    cluster
}

async fn count_runs(cluster: &Cluster, id: &str) -> usize {
    cluster.recorded_runs().await.iter().filter(|run| run.id == id).count()
}

async fn post(cluster: &Cluster, path: &str, headers: &[(&str, &str)]) -> Reply {
    cluster.client.post(cluster.entry_address(0), path, headers, "0123456789").await.unwrap()
}

#[actix::test]
async fn a_truncated_answer_is_never_reported_as_done() {
    let cluster = cluster().await;
    let truncate = backend::Faults { cut: true, ..backend::Faults::default() };
    for (id, path) in SERVER_IDS.iter().zip(["/acme/free", "/acme/once"]) {
        cluster.set_server_faults(id, &truncate).await;
        let reply = post(&cluster, path, &[]).await;
        assert_eq!(reply.outcome, "unknown", "{path}: {reply:?}");
        assert!(count_runs(&cluster, &reply.id).await >= 1);
    }
}

#[actix::test]
async fn a_server_killed_while_it_runs_leaves_the_outcome_unknown() {
    for (at, path) in ["/acme/free", "/acme/once"].into_iter().enumerate() {
        let mut cluster = cluster().await;
        let (client, entry) = (cluster.client.clone(), cluster.entry_address(0));
        let call =
            actix::spawn(
                async move { client.post(entry, path, &[("X-Work-Ms", "30000")], "x").await },
            );
        let busy = || async {
            let runs = cluster.recorded_runs().await;
            runs.iter().any(|run| run.end_ms.is_none()).then_some(())
        };
        wait_for("the request to run", busy).await;
        cluster.servers[at].kill();
        let reply = call.await.unwrap().unwrap();
        assert_eq!(reply.outcome, "unknown", "{path}: {reply:?}");
    }
}

#[actix::test]
async fn an_unreachable_server_gives_not_run_with_a_retry_time() {
    let mut cluster = cluster().await;
    for (at, path) in ["/acme/free", "/acme/once"].into_iter().enumerate() {
        cluster.servers[at].kill();
        let reply = post(&cluster, path, &[]).await;
        assert_eq!(reply.outcome, "not-run", "{path}: {reply:?}");
        assert!(reply.retry_after.is_some(), "{path}: {reply:?}");
    }
}

#[actix::test]
async fn a_suspended_server_leaves_the_outcome_unknown_at_the_deadline() {
    let cluster = cluster().await;
    for (at, path) in ["/acme/free", "/acme/once"].into_iter().enumerate() {
        cluster.servers[at].signal("STOP");
        let reply = post(&cluster, path, &[("X-Deadline-Ms", "400")]).await;
        assert_eq!(reply.outcome, "unknown", "{path}: {reply:?}");
        cluster.servers[at].signal("CONT");
    }
}

#[actix::test]
async fn full_servers_refuse_at_once_what_can_not_meet_its_deadline() {
    let cluster = cluster().await;
    for path in ["/acme/free", "/acme/once"] {
        let slow = [("X-Work-Ms", "2000")];
        let calls = (0..8).map(|_| post(&cluster, path, &slow));
        let extra = async {
            let busy = || async {
                let runs = cluster.recorded_runs().await;
                let open_runs = runs.iter().filter(|run| run.end_ms.is_none() && run.path == path);
                (open_runs.count() == 8).then_some(())
            };
            wait_for("all slots to be taken", busy).await;
            let start = Instant::now();
            let reply = post(&cluster, path, &[("X-Deadline-Ms", "300")]).await;
            assert_eq!(reply.outcome, "not-run", "{path}: {reply:?}");
            assert!(reply.retry_after.is_some() && start.elapsed() < Duration::from_secs(20));
            assert_eq!(count_runs(&cluster, &reply.id).await, 0);
        };
        let (replies, ()) = futures_util::join!(futures_util::future::join_all(calls), extra);
        assert!(replies.iter().all(|reply| reply.outcome == "done"), "{path}: {replies:?}");
    }
}

#[actix::test]
async fn late_and_crossed_answers_reach_their_own_callers() {
    let cluster = cluster().await;
    let calls = (0..200).map(|number| {
        let cluster = &cluster;
        async move {
            let path = if number % 2 == 0 { "/acme/free" } else { "/acme/once" };
            let body = format!("{number:0>width$}", width = 1 + number * 97 % 5_000);
            let work = (number * 37 % 60).to_string();
            // Every fifth request has a deadline that some of the requests miss.
            let deadline = if number % 5 == 0 { "25" } else { "20000" };
            let headers = [("X-Work-Ms", work.as_str()), ("X-Deadline-Ms", deadline)];
            let reply = cluster.client.post(cluster.entry_address(0), path, &headers, &body).await;
            (number, body, reply.unwrap())
        }
    });
    let (mut done, mut refused) = (0, Vec::new());
    for (number, body, reply) in futures_util::future::join_all(calls).await {
        match reply.outcome.as_str() {
            "done" => {
                assert!(reply.body == body, "request {number} got the answer to another one");
                done += 1;
            }
            "not-run" => {
                assert_eq!(count_runs(&cluster, &reply.id).await, 0, "request {number}");
                refused.extend((number % 5 != 0).then_some(reply.body));
            }
            other => assert_eq!((other, number % 5), ("unknown", 0), "{reply:?}"),
        }
    }
    // At least as many requests are done as have a long deadline.
    assert!(done >= 160, "only {done} complete answers: {refused:?}");
}
