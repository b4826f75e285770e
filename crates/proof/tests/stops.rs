//! Availability budgets, one pool per instance and graceful stops hold under faults.

use std::collections::HashMap;

use peer::row::{BudgetRow, InstanceRow};
use proof::{Cluster, Layout, wait_for};
use standin::backend::Status;
use standin::faults::Faults;
use standin::record::Step;

/// Two services whose instances may move between their pools.
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

fn order(cluster: &Cluster, ids: &[&str]) {
    for id in ids {
        let (code, text) = cluster.jtally(&["drain", id, "--reason", "wave"]);
        assert_eq!(code, 0, "{text}");
    }
}

async fn budget(cluster: &Cluster) -> BudgetRow {
    cluster.read_row("budget/acme").await.unwrap_or_default()
}

/// Waits until no order is open and no permit is out.
async fn finished(cluster: &Cluster) {
    wait_for("the wave to finish", || async { budget(cluster).await.quiet().then_some(()) }).await;
}

async fn steps(cluster: &Cluster) -> Vec<Step> {
    cluster.client.get_json(cluster.platform.address(""), "/steps").await.expect("the steps")
}

/// Most instances of each pool, and of all, that were out at once by the platform's own record.
fn most_down(steps: &[Step]) -> HashMap<String, usize> {
    let mut down: HashMap<&str, &str> = HashMap::new();
    let mut most = HashMap::new();
    for step in steps {
        match step.what.as_str() {
            "drain" => drop(down.insert(&step.id, &step.pool)),
            "back" => drop(down.remove(step.id.as_str())),
            _ => {}
        }
        let mut note = |pool: &str, count: usize| {
            let held = most.entry(pool.to_owned()).or_insert(0);
            *held = count.max(*held);
        };
        note("all", down.len());
        for pool in ["a", "b"] {
            note(pool, down.values().filter(|held| **held == pool).count());
        }
    }
    most
}

/// Checks the platform's record of a wave over so many instances.
async fn check(cluster: &Cluster, stops: usize) {
    let steps = steps(cluster).await;
    let most = most_down(&steps);
    assert!(most["all"] <= 2 && most["a"] <= 1 && most["b"] <= 1, "{most:?}: {steps:?}");
    assert_eq!(steps.iter().filter(|step| step.what == "drain").count(), stops, "{steps:?}");
    let cut: Vec<_> = cluster.recorded_runs().await.into_iter().filter(|run| run.cut).collect();
    assert!(cut.is_empty(), "{cut:?}");
}

const ALL: [&str; 6] = ["a-dc1-0", "a-dc1-1", "a-dc1-2", "a-dc1-3", "b-dc1-0", "b-dc1-1"];

#[actix::test]
async fn a_wave_keeps_the_budget_while_its_controllers_are_killed_and_frozen() {
    let mut cluster = cluster(3).await;
    order(&cluster, &ALL);
    for at in [0, 1] {
        let stops = steps(&cluster).await.len();
        wait_for("the wave to go on", || async {
            (steps(&cluster).await.len() > stops + 1).then_some(())
        })
        .await;
        // Whoever holds the lease is among those that are hit.
        cluster.controls[2].signal("STOP");
        cluster.controls[at].kill();
        cluster.controls[2].signal("CONT");
    }
    finished(&cluster).await;
    check(&cluster, ALL.len()).await;
}

#[actix::test]
async fn a_controller_that_wakes_after_its_lease_lapsed_changes_nothing() {
    let cluster = cluster(2).await;
    order(&cluster, &ALL);
    wait_for("the wave to start", || async { (!steps(&cluster).await.is_empty()).then_some(()) })
        .await;
    // Both are frozen in turn, for longer than a lease lasts.
    for at in [0, 1] {
        cluster.controls[at].signal("STOP");
        let before = budget(&cluster).await.steps;
        wait_for("the other to go on", || async {
            let budget = budget(&cluster).await;
            (budget.steps > before + 1 || budget.quiet()).then_some(())
        })
        .await;
        cluster.controls[at].signal("CONT");
    }
    finished(&cluster).await;
    check(&cluster, ALL.len()).await;
}

#[actix::test]
async fn lost_answers_and_outages_in_mid_wave_keep_the_budget() {
    let cluster = cluster(2).await;
    order(&cluster, &ALL);
    for _ in 0..4 {
        cluster.set_platform_faults(&Faults { lose_answers: 3, ..Faults::default() }).await;
        tokio::time::sleep(std::time::Duration::from_millis(400)).await;
        cluster.set_platform_faults(&Faults { down: true, ..Faults::default() }).await;
        tokio::time::sleep(std::time::Duration::from_millis(400)).await;
    }
    cluster.set_platform_faults(&Faults::default()).await;
    finished(&cluster).await;
    check(&cluster, ALL.len()).await;
}

#[actix::test]
async fn a_loss_in_mid_wave_counts_against_the_budget() {
    let mut cluster = cluster(2).await;
    // One instance of each pool is lost, so both budgets are used up.
    cluster.servers["a-dc1-3"].kill();
    cluster.servers["b-dc1-1"].kill();
    order(&cluster, &["a-dc1-0", "b-dc1-0"]);
    wait_for("the reason to be told", || async {
        let (_, why) = cluster.jtally(&["why", "a-dc1-0"]);
        why.contains("2 of 2 allowed instances down").then_some(())
    })
    .await;
    assert!(steps(&cluster).await.is_empty());
    cluster.start_server("dc1", "a", 3);
    cluster.start_server("dc1", "b", 1);
    finished(&cluster).await;
    check(&cluster, 2).await;
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
    let taken = futures_util::future::join_all(orders).await;
    assert_eq!(taken.iter().filter(|status| **status == 200).count(), 1, "{taken:?}");
    let (code, text) = cluster.jtally(&["move", "a-dc1-1", "b"]);
    assert_eq!(code, 0, "{text}");
    finished(&cluster).await;
    let row: InstanceRow = cluster.read_row("instance/a-dc1-1").await.unwrap();
    assert_eq!((row.pool.as_str(), row.phase.as_str()), ("b", "serving"));
    let status: Status =
        cluster.client.get_json(cluster.servers["a-dc1-1"].address(""), "/status").await.unwrap();
    assert_eq!(status.pool, "b");
    // Its work comes from its new pool only.
    wait_for("the moved instance to get work", || async {
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
    // The platform drains it by itself; nobody tells the entry processes.
    cluster.client.post_json(cluster.platform.address(""), "/instances/a-dc1-0/drain", &()).await;
    cluster.set_platform_faults(&Faults { down: true, ..Faults::default() }).await;
    for number in 0..400 {
        let entry = cluster.entry_address(number % 2);
        let reply = cluster.client.post(entry, "/acme/a", &[], "x").await.unwrap();
        assert_eq!(reply.outcome, "done", "{reply:?}");
    }
    let status: Status = cluster.client.get_json(server, "/status").await.unwrap();
    // One refusal a process, and as many again for requests that were under way by then.
    assert!(status.refused.len() <= 4, "{} requests were sent to it", status.refused.len());
}

#[actix::test]
async fn an_entry_process_that_is_stopped_finishes_what_it_has() {
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
    let mut ended = None;
    while ended.is_none() {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        ended = cluster.entries[0].exit_code();
    }
    assert_eq!(ended, Some(0));
}
