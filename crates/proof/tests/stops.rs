//! Availability budgets, moves and graceful stops under faults.
//!
//! Guards against more instances down at once than the contract allows, a request that a reboot
//! interrupts, an instance that serves two pools, and requests that are lost when a server or an
//! entry process stops. Control processes are killed and suspended in the middle of a wave, and the
//! platform loses answers or is down.

use std::collections::HashMap;

use peer::row::{BudgetRow, InstanceRow};
use proof::{Cluster, Layout, wait_for};
use standin::backend::Status;
use standin::faults::Faults;
use standin::record::Step;

/// Two services; instances may move between their pools.
const CONTRACT: &str = "customer: acme
survive: instance
down: 2
services:
  - {name: a, pool: a, held: 2, down: 1, repeat: allowed, deadline_ms: 20000}
  - {name: b, pool: b, held: 1, down: 1, repeat: allowed, deadline_ms: 20000}
";

async fn cluster(controls: usize) -> Cluster {
    let cluster = Cluster::start(&Layout::new(&["dc1"], 2, controls, &[("a", 4), ("b", 2)]));
    cluster.apply_contract("acme", CONTRACT, 0).await;
    cluster.wait_for_service("/acme/a").await;
    cluster.wait_for_service("/acme/b").await;
    cluster
}

fn order_drains(cluster: &Cluster, ids: &[&str]) {
    for id in ids {
        let (code, text) = cluster.jtally(&["drain", id, "--reason", "wave"]);
        assert_eq!(code, 0, "{text}");
    }
}

async fn read_budget(cluster: &Cluster) -> BudgetRow {
    cluster.read_row("budget/acme").await.unwrap_or_default()
}

/// Waits until no order is open and no instance has a permit to be down.
async fn wait_until_finished(cluster: &Cluster) {
    wait_for("the wave to finish", || async { read_budget(cluster).await.is_idle().then_some(()) })
        .await;
}

async fn recorded_steps(cluster: &Cluster) -> Vec<Step> {
    cluster.client.get_json(cluster.platform.address(""), "/steps").await.expect("the steps")
}

/// Maximum number of instances that were down at once, by pool and in total, under the key `all`.
///
/// It counts the steps on record at the platform, not the permits of the control processes.
fn max_down(steps: &[Step]) -> HashMap<String, usize> {
    let mut down: HashMap<&str, &str> = HashMap::new();
    let mut max = HashMap::new();
    for step in steps {
        match step.what.as_str() {
            "drain" => drop(down.insert(&step.id, &step.pool)),
            "back" => drop(down.remove(step.id.as_str())),
            _ => {}
        }
        let mut record = |pool: &str, count: usize| {
            let max = max.entry(pool.to_owned()).or_insert(0);
            *max = count.max(*max);
        };
        record("all", down.len());
        for pool in ["a", "b"] {
            record(pool, down.values().filter(|down_pool| **down_pool == pool).count());
        }
    }
    max
}

/// Checks that a wave kept the budgets, drained `stops` instances and interrupted no request.
async fn check_steps(cluster: &Cluster, stops: usize) {
    let steps = recorded_steps(cluster).await;
    let max = max_down(&steps);
    assert!(max["all"] <= 2 && max["a"] <= 1 && max["b"] <= 1, "{max:?}: {steps:?}");
    assert_eq!(steps.iter().filter(|step| step.what == "drain").count(), stops, "{steps:?}");
    let interrupted: Vec<_> =
        cluster.recorded_runs().await.into_iter().filter(|run| run.cut).collect();
    assert!(interrupted.is_empty(), "{interrupted:?}");
}

/// All instances of the cluster.
const INSTANCES: [&str; 6] = ["a-dc1-0", "a-dc1-1", "a-dc1-2", "a-dc1-3", "b-dc1-0", "b-dc1-1"];

#[actix::test]
async fn a_wave_keeps_the_budget_while_its_controllers_are_killed_and_frozen() {
    let mut cluster = cluster(3).await;
    order_drains(&cluster, &INSTANCES);
    for at in [0, 1] {
        let stops = recorded_steps(&cluster).await.len();
        wait_for("the wave to make steps", || async {
            (recorded_steps(&cluster).await.len() > stops + 1).then_some(())
        })
        .await;
        // Over both rounds every controller is killed or suspended, the lease holder among them.
        cluster.controls[2].signal("STOP");
        cluster.controls[at].kill();
        cluster.controls[2].signal("CONT");
    }
    wait_until_finished(&cluster).await;
    check_steps(&cluster, INSTANCES.len()).await;
}

#[actix::test]
async fn a_controller_that_resumes_after_its_lease_expired_changes_nothing() {
    let cluster = cluster(2).await;
    order_drains(&cluster, &INSTANCES);
    wait_for("the wave to start", || async {
        (!recorded_steps(&cluster).await.is_empty()).then_some(())
    })
    .await;
    // Each controller is suspended until the other one makes steps. The lease holder's suspension
    // therefore outlasts its lease.
    for at in [0, 1] {
        cluster.controls[at].signal("STOP");
        let before = read_budget(&cluster).await.steps;
        wait_for("the other controller to make steps", || async {
            let budget = read_budget(&cluster).await;
            (budget.steps > before + 1 || budget.is_idle()).then_some(())
        })
        .await;
        cluster.controls[at].signal("CONT");
    }
    wait_until_finished(&cluster).await;
    check_steps(&cluster, INSTANCES.len()).await;
}

#[actix::test]
async fn lost_answers_and_outages_in_mid_wave_keep_the_budget() {
    let cluster = cluster(2).await;
    order_drains(&cluster, &INSTANCES);
    for _ in 0..4 {
        cluster.set_platform_faults(&Faults { lose_answers: 3, ..Faults::default() }).await;
        tokio::time::sleep(std::time::Duration::from_millis(400)).await;
        cluster.set_platform_faults(&Faults { down: true, ..Faults::default() }).await;
        tokio::time::sleep(std::time::Duration::from_millis(400)).await;
    }
    cluster.set_platform_faults(&Faults::default()).await;
    wait_until_finished(&cluster).await;
    check_steps(&cluster, INSTANCES.len()).await;
}

#[actix::test]
async fn a_loss_in_mid_wave_counts_against_the_budget() {
    let mut cluster = cluster(2).await;
    // One lost instance in each pool uses up the budgets of both services and of the customer.
    cluster.servers["a-dc1-3"].kill();
    cluster.servers["b-dc1-1"].kill();
    order_drains(&cluster, &["a-dc1-0", "b-dc1-0"]);
    wait_for("the reason to be shown", || async {
        let (_, why) = cluster.jtally(&["why", "a-dc1-0"]);
        why.contains("2 of 2 allowed instances down").then_some(())
    })
    .await;
    assert!(recorded_steps(&cluster).await.is_empty());
    cluster.start_server("dc1", "a", 3);
    cluster.start_server("dc1", "b", 1);
    wait_until_finished(&cluster).await;
    check_steps(&cluster, 2).await;
}

#[actix::test]
async fn a_move_ends_in_one_pool_and_operators_who_race_get_one_order() {
    let cluster = cluster(2).await;
    let orders = ["a", "b", "a", "b"].map(|pool| {
        let (client, address) = (cluster.client.clone(), cluster.control_address(0));
        let body = format!("{{\"target\": \"{pool}\", \"reason\": \"race\"}}");
        async move {
            let put = actix_web::http::Method::PUT;
            let headers = [("content-type", "application/json")];
            client.request(put, address, "/orders/a-dc1-0", &headers, body).await.unwrap().status
        }
    });
    let statuses = futures_util::future::join_all(orders).await;
    assert_eq!(statuses.iter().filter(|status| **status == 200).count(), 1, "{statuses:?}");
    let (code, text) = cluster.jtally(&["move", "a-dc1-1", "b"]);
    assert_eq!(code, 0, "{text}");
    wait_until_finished(&cluster).await;
    let row: InstanceRow = cluster.read_row("instance/a-dc1-1").await.unwrap();
    assert_eq!((row.pool.as_str(), row.phase.as_str()), ("b", "serving"));
    let status: Status =
        cluster.client.get_json(cluster.servers["a-dc1-1"].address(""), "/status").await.unwrap();
    assert_eq!(status.pool, "b");
    // The service of the new pool still runs requests.
    wait_for("a request of the new pool to run", || async {
        cluster.client.post(cluster.entry_address(0), "/acme/b/after", &[], "x").await?;
        let runs = cluster.recorded_runs().await;
        runs.iter().find(|run| run.path == "/acme/b/after").map(drop)
    })
    .await;
}

#[actix::test]
async fn a_leaving_server_gets_no_new_work_although_the_list_lags() {
    let cluster = cluster(1).await;
    cluster.set_platform_faults(&Faults { lag_ms: 30_000, ..Faults::default() }).await;
    let server = cluster.servers["a-dc1-0"].address("");
    // The platform drains the server, and the entry processes get no notice: the list lags by 30 s,
    // and then the platform is down.
    cluster.client.post_json(cluster.platform.address(""), "/instances/a-dc1-0/drain", &()).await;
    cluster.set_platform_faults(&Faults { down: true, ..Faults::default() }).await;
    for number in 0..400 {
        let entry = cluster.entry_address(number % 2);
        let reply = cluster.client.post(entry, "/acme/a", &[], "x").await.unwrap();
        assert_eq!(reply.outcome, "done", "{reply:?}");
    }
    let status: Status = cluster.client.get_json(server, "/status").await.unwrap();
    // Each entry process detects the drain by one refusal; as many more are allowed for requests in
    // flight at that time.
    assert!(status.refused.len() <= 4, "{} requests were refused", status.refused.len());
}

#[actix::test]
async fn a_terminated_entry_process_finishes_its_requests() {
    let mut cluster = cluster(1).await;
    let (client, entry) = (cluster.client.clone(), cluster.entry_address(0));
    let call = actix::spawn(async move {
        client.post(entry, "/acme/a", &[("X-Work-Ms", "1500")], "long").await
    });
    wait_for("the request to run", || async {
        cluster.recorded_runs().await.iter().any(|run| run.end_ms.is_none()).then_some(())
    })
    .await;
    cluster.entries[0].signal("TERM");
    assert_eq!(call.await.unwrap().unwrap().outcome, "done");
    let mut exit_code = None;
    while exit_code.is_none() {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        exit_code = cluster.entries[0].exit_code();
    }
    assert_eq!(exit_code, Some(0));
}
