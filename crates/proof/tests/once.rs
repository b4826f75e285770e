//! At-most-once execution of non-repeatable requests.
//!
//! Guards against a request that runs twice, or whose outcome is reported wrongly, when its entry
//! process is killed or suspended, the platform loses answers or is down, or callers race. It is
//! checked for both kinds of `Idempotency-Key`: a ticket, which names the entry process that owns
//! the request, and a key that the caller chose, which an entry process claims in the table.

use std::collections::HashMap;
use std::net::SocketAddr;

use proof::{Cluster, Layout, Reply, wait_for};
use standin::backend;
use standin::faults::Faults;

/// One non-repeatable service.
const CONTRACT: &str = "customer: acme
down: 1
services:
  - {name: loads, pool: loads, held: 1, down: 1, repeat: never, deadline_ms: 20000}
";
/// Path of a request to the service.
const PATH: &str = "/acme/loads/recipe";

async fn cluster() -> Cluster {
    let cluster = Cluster::start(&Layout::new(&["dc1"], 2, 1, &[("loads", 2)]));
    cluster.apply_contract("acme", CONTRACT, 0).await;
    cluster.wait_for_service(PATH).await;
    cluster
}

async fn issue_ticket(cluster: &Cluster, entry: SocketAddr) -> String {
    let reply = cluster.client.post(entry, "/_/tickets", &[], "").await.unwrap();
    let issued: serde_json::Value = serde_json::from_str(&reply.body).unwrap();
    issued["ticket"].as_str().unwrap().to_owned()
}

/// Posts a request that takes `work_ms` to run and has the key as its body.
async fn post_with_key(
    cluster: &Cluster,
    entry: SocketAddr,
    key: &str,
    work_ms: &str,
) -> Option<Reply> {
    let headers = [("Idempotency-Key", key), ("X-Work-Ms", work_ms)];
    cluster.client.post(entry, PATH, &headers, key).await
}

async fn count_runs(cluster: &Cluster, key: &str) -> usize {
    cluster.recorded_runs().await.iter().filter(|run| run.key == key).count()
}

async fn wait_for_run(cluster: &Cluster, key: &str) {
    wait_for("the request to run", || async { (count_runs(cluster, key).await > 0).then_some(()) })
        .await;
}

/// A key of each kind: a ticket of the first entry process, and a key that the caller chose.
async fn ticket_and_caller_key(cluster: &Cluster) -> [String; 2] {
    [issue_ticket(cluster, cluster.entry_address(0)).await, "own-key".to_owned()]
}

#[actix::test]
async fn a_retry_after_its_owner_was_killed_does_not_run() {
    let mut cluster = cluster().await;
    let keys = ticket_and_caller_key(&cluster).await;
    let (first, second) = (cluster.entry_address(0), cluster.entry_address(1));
    let client = cluster.client.clone();
    let calls: Vec<_> = keys
        .iter()
        .map(|key| {
            let (client, key) = (client.clone(), key.clone());
            actix::spawn(async move {
                let headers = [("Idempotency-Key", key.as_str()), ("X-Work-Ms", "3000")];
                client.post(first, PATH, &headers, &key).await
            })
        })
        .collect();
    for key in &keys {
        wait_for_run(&cluster, key).await;
    }
    cluster.entries[0].kill();
    for call in calls {
        assert_eq!(call.await.unwrap(), None, "a killed process must not answer");
    }
    for key in &keys {
        let reply = post_with_key(&cluster, second, key, "0").await.unwrap();
        assert_eq!(reply.outcome, "unknown", "{key}: {reply:?}");
        assert_eq!(count_runs(&cluster, key).await, 1, "{key}");
    }
}

#[actix::test]
async fn a_suspended_owner_resumes_with_one_run_and_its_result() {
    let cluster = cluster().await;
    let keys = ticket_and_caller_key(&cluster).await;
    let (first, second) = (cluster.entry_address(0), cluster.entry_address(1));
    for key in &keys {
        let call = post_with_key(&cluster, first, key, "500");
        let retry = async {
            wait_for_run(&cluster, key).await;
            cluster.entries[0].signal("STOP");
            let headers = [("Idempotency-Key", key.as_str()), ("X-Deadline-Ms", "1000")];
            let reply = cluster.client.post(second, PATH, &headers, key).await.unwrap();
            assert_eq!(reply.outcome, "unknown", "{reply:?}");
            cluster.entries[0].signal("CONT");
        };
        let (reply, ()) = futures_util::join!(call, retry);
        assert_eq!(reply.unwrap().outcome, "done");
        let again = post_with_key(&cluster, second, key, "0").await.unwrap();
        assert_eq!((again.outcome.as_str(), again.body.as_str()), ("done", key.as_str()));
        assert_eq!(count_runs(&cluster, key).await, 1, "{key}");
    }
}

#[actix::test]
async fn a_lost_claim_answer_is_settled() {
    let cluster = cluster().await;
    cluster.set_platform_faults(&Faults { lose_answers: 1, ..Faults::default() }).await;
    let reply = post_with_key(&cluster, cluster.entry_address(0), "lost", "0").await.unwrap();
    assert_eq!(reply.outcome, "done", "{reply:?}");
    let reply = post_with_key(&cluster, cluster.entry_address(1), "lost", "0").await.unwrap();
    assert_eq!(reply.outcome, "done", "{reply:?}");
    assert_eq!(count_runs(&cluster, "lost").await, 1);
}

#[actix::test]
async fn a_claim_that_can_not_be_settled_runs_nowhere_until_it_can() {
    let cluster = cluster().await;
    cluster.set_platform_faults(&Faults { lose_answers: 1_000_000, ..Faults::default() }).await;
    let reply = post_with_key(&cluster, cluster.entry_address(0), "unsettled", "0").await.unwrap();
    assert_eq!(
        (reply.outcome.as_str(), reply.retry_after.is_some()),
        ("not-run", true),
        "{reply:?}"
    );
    assert_eq!(count_runs(&cluster, "unsettled").await, 0);
    cluster.set_platform_faults(&Faults::default()).await;
    for entry in [1, 0, 1] {
        let reply =
            post_with_key(&cluster, cluster.entry_address(entry), "unsettled", "0").await.unwrap();
        assert_eq!(reply.outcome, "done", "{reply:?}");
    }
    assert_eq!(count_runs(&cluster, "unsettled").await, 1);
}

#[actix::test]
async fn without_the_platform_tickets_work_and_caller_keys_are_refused() {
    let cluster = cluster().await;
    cluster.set_platform_faults(&Faults { down: true, ..Faults::default() }).await;
    let ticket = issue_ticket(&cluster, cluster.entry_address(0)).await;
    for entry in [1, 0] {
        let reply =
            post_with_key(&cluster, cluster.entry_address(entry), &ticket, "0").await.unwrap();
        assert_eq!(reply.outcome, "done", "{reply:?}");
    }
    assert_eq!(count_runs(&cluster, &ticket).await, 1);
    let reply = cluster.client.post(cluster.entry_address(0), PATH, &[], "x").await.unwrap();
    assert_eq!(reply.outcome, "done", "{reply:?}");
    let reply = post_with_key(&cluster, cluster.entry_address(0), "own", "0").await.unwrap();
    assert_eq!(
        (reply.outcome.as_str(), reply.retry_after.is_some()),
        ("not-run", true),
        "{reply:?}"
    );
    assert_eq!(count_runs(&cluster, "own").await, 0);
}

#[actix::test]
async fn callers_that_race_over_one_key_share_one_run() {
    let cluster = cluster().await;
    for number in 0..20 {
        let key = format!("race-{number}");
        let calls =
            (0..8).map(|at| post_with_key(&cluster, cluster.entry_address(at % 2), &key, "20"));
        for reply in futures_util::future::join_all(calls).await {
            let reply = reply.unwrap();
            assert_eq!((reply.outcome.as_str(), &reply.body), ("done", &key), "{reply:?}");
        }
    }
    let mut runs_by_key: HashMap<String, usize> = HashMap::new();
    for run in cluster.recorded_runs().await {
        *runs_by_key.entry(run.key).or_default() += 1;
    }
    for number in 0..20 {
        assert_eq!(runs_by_key[&format!("race-{number}")], 1);
    }
}

#[actix::test]
async fn a_key_that_is_used_for_another_request_is_refused() {
    let cluster = cluster().await;
    let entry = cluster.entry_address(0);
    assert_eq!(post_with_key(&cluster, entry, "twice", "0").await.unwrap().outcome, "done");
    let headers = [("Idempotency-Key", "twice")];
    let reply = cluster.client.post(entry, PATH, &headers, "another body").await.unwrap();
    assert_eq!(reply.status, 422, "{reply:?}");
    assert_eq!(count_runs(&cluster, "twice").await, 1);
}

#[actix::test]
async fn a_late_answer_is_fetched_by_its_id() {
    let cluster = cluster().await;
    let pause = backend::Faults { pause: true, ..backend::Faults::default() };
    for id in ["loads-dc1-0", "loads-dc1-1"] {
        cluster.set_server_faults(id, &pause).await;
    }
    let headers = [("X-Deadline-Ms", "300")];
    let reply =
        cluster.client.post(cluster.entry_address(0), PATH, &headers, "late").await.unwrap();
    assert_eq!(reply.outcome, "unknown", "{reply:?}");
    for id in ["loads-dc1-0", "loads-dc1-1"] {
        cluster.set_server_faults(id, &backend::Faults::default()).await;
    }
    let path = format!("/_/requests/acme/{}", reply.id);
    for entry in [0, 1] {
        let fetched = wait_for("the late answer", || async {
            let get = actix_web::http::Method::GET;
            let fetched = cluster
                .client
                .request(get, cluster.entry_address(entry), &path, &[], String::new())
                .await?;
            (fetched.outcome == "done").then_some(fetched)
        })
        .await;
        assert_eq!(fetched.body, "late");
    }
    let count = cluster.recorded_runs().await.into_iter().filter(|run| run.id == reply.id).count();
    assert_eq!(count, 1);
}
