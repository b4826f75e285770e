//! Network partitions between data centres and the platform.
//!
//! Guards against a data centre that stops serving, runs a request twice or misses a change because
//! it is cut off from the platform, from the other data centre, or from both. Relays cut the
//! connections to the platform; SIGSTOP makes the other data centre unreachable.

use base::admin::Status;
use proof::{Cluster, Layout, Reply, wait_for};

/// A repeatable and a non-repeatable service, with a server of each in both data centres.
const CONTRACT: &str = "customer: acme
down: 1
services:
  - {name: free, pool: free, held: 1, down: 1, repeat: allowed, deadline_ms: 4000}
  - {name: once, pool: once, held: 1, down: 1, repeat: never, deadline_ms: 4000}
";

/// Servers of the non-repeatable service.
const ONCE_SERVERS: [&str; 2] = ["once-dc1-0", "once-dc2-0"];

async fn cluster() -> Cluster {
    let layout = Layout::new(&["dc1", "dc2"], 2, 1, &[("free", 1), ("once", 1)]);
    let cluster = Cluster::start(&Layout { relays: true, ..layout });
    cluster.apply_contract("acme", CONTRACT, 0).await;
    cluster.wait_for_service("/acme/free").await;
    cluster.wait_for_service("/acme/once").await;
    cluster
}

/// Posts a request to the first entry process, which is in `dc1`.
async fn post(cluster: &Cluster, path: &str, key: Option<&str>) -> Reply {
    let headers: Vec<(&str, &str)> = key.map(|key| ("Idempotency-Key", key)).into_iter().collect();
    cluster.client.post(cluster.entry_address(0), path, &headers, "x").await.unwrap()
}

/// Checks that `dc1` answers requests and runs a request with a ticket once despite retries.
///
/// `servers` are the reachable servers of the non-repeatable service; messages name `partition`.
async fn check_served(cluster: &Cluster, partition: &str, servers: &[&str]) {
    for round in 0..10 {
        assert_eq!(post(cluster, "/acme/free", None).await.outcome, "done");
        assert_eq!(post(cluster, "/acme/once", None).await.outcome, "done");
        let reply =
            cluster.client.post(cluster.entry_address(0), "/_/tickets", &[], "").await.unwrap();
        let issued: serde_json::Value = serde_json::from_str(&reply.body).unwrap();
        let ticket = issued["ticket"].as_str().unwrap();
        // Sent through the other entry process of the data centre, and again through the first.
        for entry in [1, 0] {
            let headers = [("Idempotency-Key", ticket)];
            let entry = cluster.entry_address(entry);
            let reply = cluster.client.post(entry, "/acme/once", &headers, "x").await.unwrap();
            assert_eq!(reply.outcome, "done", "{partition}, round {round}: {reply:?}");
        }
        let mut runs = Vec::new();
        for server in servers {
            runs.extend(cluster.recorded_runs_of(server).await);
        }
        assert_eq!(runs.iter().filter(|run| run.key == ticket).count(), 1);
    }
}

/// Checks that `dc1` refuses requests and commands that need the platform, and does not hang.
async fn check_refused(cluster: &Cluster) {
    let reply = post(cluster, "/acme/once", Some("own-key")).await;
    assert_eq!(
        (reply.outcome.as_str(), reply.retry_after.is_some()),
        ("not-run", true),
        "{reply:?}"
    );
    // Exit code 6: the platform is unavailable; 7: it is unknown whether the write was committed.
    let file = cluster.folder.join("acme.yaml").display().to_string();
    let (code, text) = cluster.jtally(&["contract", "apply", &file, "--base", "1", "--ahead"]);
    assert!(code == 6 || code == 7, "exit {code}: {text}");
    let (code, text) = cluster.jtally(&["drain", "free-dc1-0"]);
    assert!(code == 6 || code == 7, "exit {code}: {text}");
}

/// Revision in force in an entry process, 0 where no contract is in force.
async fn revision(cluster: &Cluster, entry: &str) -> u64 {
    let entry = &cluster.entries[entry];
    let status: Option<Status> = cluster.client.get_json(entry.address("admin"), "/status").await;
    status.and_then(|status| status.contracts.get("acme").copied()).unwrap_or_default()
}

#[actix::test]
async fn cut_off_from_the_platform_a_data_centre_serves_and_gets_changes_from_the_other() {
    let cluster = cluster().await;
    cluster.relays["dc1"].cut();
    wait_for("the cut to be detected", || async {
        let admin = cluster.entries[0].address("admin");
        let status: Status = cluster.client.get_json(admin, "/status").await?;
        (status.platform_unreachable || !status.reads_platform).then_some(())
    })
    .await;
    check_served(&cluster, "cut off from the platform", &ONCE_SERVERS).await;
    check_refused(&cluster).await;
    // A change that the other data centre accepts arrives through its daemons.
    let file = cluster.folder.join("acme.yaml").display().to_string();
    let control = cluster.control_address(1).to_string();
    let args = ["--at", &control, "contract", "apply", &file, "--base", "1", "--ahead"];
    let (code, text) = proof::cluster::jtally(&args);
    assert_eq!(code, 0, "{text}");
    wait_for("the change to arrive", || async {
        (revision(&cluster, "entry-dc1-1").await == 2).then_some(())
    })
    .await;
    cluster.relays["dc1"].restore();
    wait_for("the platform to be reachable", || async {
        (post(&cluster, "/acme/once", Some("own-key")).await.outcome == "done").then_some(())
    })
    .await;
    let runs = cluster.recorded_runs().await;
    assert_eq!(runs.iter().filter(|run| run.key == "own-key").count(), 1);
}

#[actix::test]
async fn cut_off_from_everything_a_data_centre_serves_and_catches_up() {
    let cluster = cluster().await;
    cluster.relays["dc1"].cut();
    // Suspends the daemons and the servers of the other data centre.
    let remote: Vec<_> = cluster
        .entries
        .iter()
        .chain(&cluster.controls)
        .chain(&cluster.servers)
        .filter(|(name, _)| name.contains("dc2"))
        .map(|(_, process)| process)
        .collect();
    remote.iter().for_each(|process| process.signal("STOP"));
    check_served(&cluster, "cut off from everything", &ONCE_SERVERS[..1]).await;
    check_refused(&cluster).await;
    remote.iter().for_each(|process| process.signal("CONT"));
    let file = cluster.folder.join("acme.yaml").display().to_string();
    let control = cluster.control_address(1).to_string();
    let args = ["--at", &control, "contract", "apply", &file, "--base", "1", "--ahead"];
    let (code, text) = proof::cluster::jtally(&args);
    assert_eq!(code, 0, "{text}");
    cluster.relays["dc1"].restore();
    cluster.wait_for_revision("acme", 2).await;
    cluster.wait_for_service("/acme/free").await;
}

#[actix::test]
async fn cut_off_from_each_other_both_data_centres_serve() {
    let cluster = cluster().await;
    let processes = cluster.entries.iter().chain(&cluster.controls);
    // Only `dc1` is sent requests during the cut, because the daemons of `dc2` are suspended.
    let remote: Vec<_> = processes.filter(|(name, _)| name.contains("dc2")).collect();
    let remote: Vec<_> = remote.into_iter().map(|(_, process)| process).collect();
    remote.iter().for_each(|process| process.signal("STOP"));
    check_served(&cluster, "cut off from the other data centre", &ONCE_SERVERS).await;
    assert_eq!(post(&cluster, "/acme/once", Some("own-key")).await.outcome, "done");
    remote.iter().for_each(|process| process.signal("CONT"));
    cluster.wait_for_revision("acme", 1).await;
    assert_eq!(post(&cluster, "/acme/once", Some("own-key")).await.outcome, "done");
    let runs = cluster.recorded_runs().await;
    assert_eq!(runs.iter().filter(|run| run.key == "own-key").count(), 1);
}
