//! Measures the load of a maintenance wave on the platform's table, at three cluster sizes.
//!
//! Prints reads, rows and writes per stop beyond those of the idle cluster, and seconds per stop.
//! A stop is the drain and the reboot of one instance.

use std::time::{Duration, Instant};

use proof::{Cluster, Layout, wait_for};
use standin::record::Step;

/// Time for which the idle cluster is measured.
const IDLE_TIME: Duration = Duration::from_secs(6);

#[actix::main]
async fn main() {
    println!(
        "{:>9}{:>8}{:>14}{:>13}{:>14}{:>12}",
        "instances", "stops", "reads/stop", "rows/stop", "writes/stop", "s/stop"
    );
    for instances in [4, 8, 16] {
        measure(instances).await;
    }
}

async fn measure(instances: usize) {
    let cluster = Cluster::start(&Layout::new(&["dc1"], 2, 2, &[("pool", instances)]));
    let text = format!(
        "customer: acme\ndown: 1\nservices:\n  - {{name: s, pool: pool, held: {}, down: 1}}\n",
        instances - 2
    );
    cluster.apply_contract("acme", &text, 0).await;
    cluster.wait_for_service("/acme/s").await;
    let (before, start) = (cluster.platform_counts().await, Instant::now());
    tokio::time::sleep(IDLE_TIME).await;
    let (after, seconds) = (cluster.platform_counts().await, start.elapsed().as_secs_f64());
    let rate = |after: u64, before: u64| (after - before) as f64 / seconds;
    let idle_rates = [
        rate(after.reads, before.reads),
        rate(after.rows, before.rows),
        rate(after.writes, before.writes),
    ];
    let (before, start) = (after, Instant::now());
    for at in 0..instances {
        let (code, text) = cluster.jtally(&["drain", &format!("pool-dc1-{at}")]);
        assert_eq!(code, 0, "{text}");
    }
    // Polls the steps on record at the platform, because reads of the table would be counted.
    wait_for("the wave to finish", || async {
        let steps: Vec<Step> =
            cluster.client.get_json(cluster.platform.address(""), "/steps").await?;
        (steps.iter().filter(|step| step.what == "back").count() == instances).then_some(())
    })
    .await;
    let (after, seconds) = (cluster.platform_counts().await, start.elapsed().as_secs_f64());
    let per_stop = |after: u64, before: u64, idle_rate: f64| {
        ((after - before) as f64 - idle_rate * seconds) / instances as f64
    };
    println!(
        "{instances:>9}{instances:>8}{:>14.1}{:>13.1}{:>14.1}{:>12.2}",
        per_stop(after.reads, before.reads, idle_rates[0]),
        per_stop(after.rows, before.rows, idle_rates[1]),
        per_stop(after.writes, before.writes, idle_rates[2]),
        seconds / instances as f64
    );
}
