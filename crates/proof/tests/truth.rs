//! What an answer says of its request is true, and a whole answer reaches its own caller.

use std::time::{Duration, Instant};

use proof::{Cluster, Layout, Reply, wait_for};
use standin::backend;

/// One service of each kind on the same kind of server.
const CONTRACT: &str = "customer: acme
down: 1
services:
  - {name: free, pool: free, held: 1, down: 1, repeat: allowed, deadline_ms: 20000}
  - {name: once, pool: once, held: 1, down: 1, repeat: never, deadline_ms: 20000}
";
/// Servers by pool, one each.
const SERVERS: [(&str, usize); 2] = [("free", 1), ("once", 1)];
/// Names of the servers.
const NAMES: [&str; 2] = ["free-dc1-0", "once-dc1-0"];

async fn cluster() -> Cluster {
    let cluster = Cluster::start(&Layout::minimal(&SERVERS));
    cluster.apply_contract("acme", CONTRACT, 0).await;
    cluster.wait_for_service("/acme/free").await;
    cluster.wait_for_service("/acme/once").await;
    cluster
}

async fn ran(cluster: &Cluster, id: &str) -> usize {
    cluster.recorded_runs().await.iter().filter(|run| run.id == id).count()
}

async fn call(cluster: &Cluster, path: &str, headers: &[(&str, &str)]) -> Reply {
    cluster.client.post(cluster.entry_address(0), path, headers, "0123456789").await.unwrap()
}

#[actix::test]
async fn an_answer_that_breaks_off_is_never_done() {
    let cluster = cluster().await;
    let cut = backend::Faults { cut: true, ..backend::Faults::default() };
    for (name, path) in NAMES.iter().zip(["/acme/free", "/acme/once"]) {
        cluster.set_server_faults(name, &cut).await;
        let reply = call(&cluster, path, &[]).await;
        assert_eq!(reply.outcome, "unknown", "{path}: {reply:?}");
        assert!(ran(&cluster, &reply.id).await >= 1);
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
            let record = cluster.recorded_runs().await;
            record.iter().any(|run| run.end_ms.is_none()).then_some(())
        };
        wait_for("the request to run", busy).await;
        cluster.servers[at].kill();
        let reply = call.await.unwrap().unwrap();
        assert_eq!(reply.outcome, "unknown", "{path}: {reply:?}");
    }
}

#[actix::test]
async fn a_server_that_is_gone_makes_not_run_with_a_time_to_come_back() {
    let mut cluster = cluster().await;
    for (at, path) in ["/acme/free", "/acme/once"].into_iter().enumerate() {
        cluster.servers[at].kill();
        let reply = call(&cluster, path, &[]).await;
        assert_eq!(reply.outcome, "not-run", "{path}: {reply:?}");
        assert!(reply.retry_after.is_some(), "{path}: {reply:?}");
    }
}

#[actix::test]
async fn a_frozen_server_is_given_up_on_at_the_deadline() {
    let cluster = cluster().await;
    for (at, path) in ["/acme/free", "/acme/once"].into_iter().enumerate() {
        cluster.servers[at].signal("STOP");
        let reply = call(&cluster, path, &[("X-Deadline-Ms", "400")]).await;
        assert_eq!(reply.outcome, "unknown", "{path}: {reply:?}");
        cluster.servers[at].signal("CONT");
    }
}

#[actix::test]
async fn full_servers_refuse_at_once_what_can_not_meet_its_deadline() {
    let cluster = cluster().await;
    for path in ["/acme/free", "/acme/once"] {
        let slow = [("X-Work-Ms", "2000")];
        let calls = (0..8).map(|_| call(&cluster, path, &slow));
        let extra = async {
            let busy = || async {
                let record = cluster.recorded_runs().await;
                let open = record.iter().filter(|run| run.end_ms.is_none() && run.path == path);
                (open.count() == 8).then_some(())
            };
            wait_for("all slots to be taken", busy).await;
            let start = Instant::now();
            let reply = call(&cluster, path, &[("X-Deadline-Ms", "300")]).await;
            assert_eq!(reply.outcome, "not-run", "{path}: {reply:?}");
            assert!(reply.retry_after.is_some() && start.elapsed() < Duration::from_secs(20));
            assert_eq!(ran(&cluster, &reply.id).await, 0);
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
            let short = if number % 5 == 0 { "25" } else { "20000" };
            let headers = [("X-Work-Ms", work.as_str()), ("X-Deadline-Ms", short)];
            let reply = cluster.client.post(cluster.entry_address(0), path, &headers, &body).await;
            (number, body, reply.unwrap())
        }
    });
    let (mut done, mut refused) = (0, Vec::new());
    for (number, body, reply) in futures_util::future::join_all(calls).await {
        match reply.outcome.as_str() {
            "done" => {
                assert!(reply.body == body, "request {number} got another's answer");
                done += 1;
            }
            "not-run" => {
                assert_eq!(ran(&cluster, &reply.id).await, 0, "request {number}");
                refused.extend((number % 5 != 0).then_some(reply.body));
            }
            other => assert_eq!((other, number % 5), ("unknown", 0), "{reply:?}"),
        }
    }
    assert!(done >= 160, "only {done} whole answers: {refused:?}");
}
