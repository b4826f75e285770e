//! Distribution of contracts to all daemons.
//!
//! Guards against two operators who both change the same revision, a change that is lost or applied
//! twice when an answer of the platform is lost, and an older revision that replaces a newer one
//! after a platform outage, a suspended process or a deletion.

use base::admin::Status;
use proof::{Cluster, Layout, wait_for};
use standin::faults::Faults;

/// Contract whose deadline makes its revisions differ.
fn contract(deadline_ms: u64) -> String {
    format!(
        "customer: acme
down: 1
services:
  - {{name: free, pool: free, held: 1, down: 1, repeat: allowed, deadline_ms: {deadline_ms}}}
"
    )
}

async fn cluster() -> Cluster {
    Cluster::start(&Layout::new(&["dc1", "dc2"], 1, 1, &[("free", 1)]))
}

/// Revision in force in each daemon, 0 where no contract is in force.
async fn revisions(cluster: &Cluster) -> Vec<u64> {
    let mut revisions = Vec::new();
    for process in cluster.entries.values().chain(cluster.controls.values()) {
        let admin = process.address("admin");
        let status: Option<Status> = cluster.client.get_json(admin, "/status").await;
        let status = status.expect("a status");
        revisions.push(status.contracts.get("acme").copied().unwrap_or_default());
    }
    revisions
}

#[actix::test]
async fn of_many_racing_operators_one_wins_each_revision() {
    let cluster = cluster().await;
    let mut base = 0;
    for round in 0..5 {
        let tasks: Vec<_> = (0..6)
            .map(|at| {
                let (client, text) = (cluster.client.clone(), contract(1_000 + round * 10 + at));
                let address = cluster.control_address(at as usize % 2);
                let path = format!("/contracts/acme?base={base}&ahead=true");
                actix::spawn(async move {
                    let put = actix_web::http::Method::PUT;
                    let reply =
                        client.request(put, address, &path, &[], text.clone()).await.unwrap();
                    (reply.status, text)
                })
            })
            .collect();
        let mut winners = Vec::new();
        for task in tasks {
            let (status, text) = task.await.unwrap();
            assert!(status == 200 || status == 409, "status {status}");
            winners.extend((status == 200).then_some(text));
        }
        assert_eq!(winners.len(), 1, "round {round}");
        base += 1;
        cluster.wait_for_revision("acme", base).await;
        let (code, shown) = cluster.jtally(&["contract", "show", "acme"]);
        assert_eq!((code, shown), (0, format!("# revision {base}\n{}", winners[0])));
    }
}

#[actix::test]
async fn lost_answers_neither_lose_nor_double_a_change() {
    let cluster = cluster().await;
    for revision in 1..=5 {
        cluster.set_platform_faults(&Faults { lose_answers: 2, ..Faults::default() }).await;
        let accepted =
            cluster.apply_contract("acme", &contract(1_000 + revision), revision - 1).await;
        assert_eq!(accepted, revision);
    }
    let (_, history) = cluster.jtally(&["contract", "history", "acme"]);
    // A heading and five revisions.
    assert_eq!(history.lines().count(), 6, "{history}");
}

#[actix::test]
async fn a_platform_outage_refuses_changes_and_keeps_the_contract_in_force() {
    let mut cluster = cluster().await;
    cluster.apply_contract("acme", &contract(1_000), 0).await;
    cluster.wait_for_service("/acme/free").await;
    cluster.set_platform_faults(&Faults { down: true, ..Faults::default() }).await;
    let file = cluster.folder.join("acme.yaml").display().to_string();
    let (code, text) = cluster.jtally(&["contract", "apply", &file, "--base", "1"]);
    assert_eq!(code, 6, "{text}");
    // A daemon that starts now gets the contract, the instance list and the rows from its peers.
    cluster.start_entry("entry-dc1-9", "dc1");
    cluster.wait_for_revision("acme", 1).await;
    cluster.wait_for_service("/acme/free").await;
    cluster.set_platform_faults(&Faults::default()).await;
    assert_eq!(cluster.apply_contract("acme", &contract(2_000), 1).await, 2);
}

#[actix::test]
async fn during_a_platform_outage_a_stale_instance_list_refuses_no_change() {
    let cluster = Cluster::start(&Layout::new(&["dc1"], 1, 1, &[("free", 1)]));
    cluster.apply_contract("acme", &contract(1_000), 0).await;
    cluster.wait_for_service("/acme/free").await;
    let file = cluster.folder.join("acme.yaml").display().to_string();
    let args = ["contract", "apply", &file, "--base", "1"];
    // The cluster has too few instances, so the change is refused (3). During the outage the
    // instance list may be stale, so the answer is that the platform is unavailable (6).
    let (code, text) = cluster.jtally(&args);
    assert_eq!(code, 3, "{text}");
    cluster.set_platform_faults(&Faults { down: true, ..Faults::default() }).await;
    let (code, text) = cluster.jtally(&args);
    assert_eq!(code, 6, "{text}");
}

#[actix::test]
async fn a_suspended_process_resumes_with_the_newest_revision() {
    let cluster = cluster().await;
    cluster.apply_contract("acme", &contract(1_000), 0).await;
    cluster.entries[0].signal("STOP");
    cluster.controls[1].signal("STOP");
    for revision in 2..=4 {
        cluster.submit_contract("acme", &contract(1_000 + revision), revision - 1);
    }
    cluster.entries[0].signal("CONT");
    cluster.controls[1].signal("CONT");
    cluster.wait_for_revision("acme", 4).await;
    assert_eq!(revisions(&cluster).await, [4; 4]);
}

#[actix::test]
async fn the_reader_of_a_data_centre_is_replaced_when_it_dies_or_freezes() {
    let mut cluster = Cluster::start(&Layout::new(&["dc1"], 2, 2, &[]));
    cluster.apply_contract("acme", &contract(1_000), 0).await;
    // The reader polls the platform for its data centre and is the first live process by name.
    // SIGSTOP suspends it before the first change; an entry process is killed after that change.
    cluster.controls[0].signal("STOP");
    let control = cluster.control_address(1).to_string();
    let file = cluster.folder.join("acme.yaml").display().to_string();
    for revision in 1..=2 {
        let base = revision.to_string();
        let args = ["--at", &control, "contract", "apply", &file, "--base", &base, "--ahead"];
        let (code, text) = proof::cluster::jtally(&args);
        assert_eq!(code, 0, "{text}");
        let admin = cluster.entries[1].address("admin");
        wait_for("the change to be in force", || async {
            let status: Status = cluster.client.get_json(admin, "/status").await?;
            (status.contracts.get("acme") == Some(&(revision + 1))).then_some(())
        })
        .await;
        cluster.entries[0].kill();
    }
    cluster.controls[0].signal("CONT");
}

#[actix::test]
async fn a_deleted_contract_stays_deleted() {
    let cluster = cluster().await;
    cluster.apply_contract("acme", &contract(1_000), 0).await;
    cluster.entries[0].signal("STOP");
    assert_eq!(cluster.jtally(&["contract", "delete", "acme", "--base", "1"]).0, 0);
    let (code, text) = cluster.jtally(&["contract", "delete", "acme", "--base", "1"]);
    assert_eq!(code, 4, "{text}");
    cluster.entries[0].signal("CONT");
    wait_for("the deletion to be in force", || async {
        (revisions(&cluster).await == [0; 4]).then_some(())
    })
    .await;
    // The suspended process still had revision 1; its gossip must not restore the contract.
    let reply =
        cluster.client.post(cluster.entry_address(0), "/acme/free", &[], "x").await.unwrap();
    assert_eq!((reply.status, reply.outcome.as_str()), (404, "not-run"));
    assert_eq!(cluster.apply_contract("acme", &contract(2_000), 2).await, 3);
}
