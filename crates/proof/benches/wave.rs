//! What a maintenance wave asks of the platform's table, at three sizes.

use std::time::{Duration, Instant};

use proof::{Cluster, Layout, wait_for};
use standin::record::Step;

/// Time over which the quiet cluster is measured.
const QUIET: Duration = Duration::from_secs(6);

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
    tokio::time::sleep(QUIET).await;
    let (after, span) = (cluster.platform_counts().await, start.elapsed().as_secs_f64());
    let rate = |after: u64, before: u64| (after - before) as f64 / span;
    let quiet = [
        rate(after.reads, before.reads),
        rate(after.rows, before.rows),
        rate(after.writes, before.writes),
    ];
    let (before, start) = (after, Instant::now());
    for at in 0..instances {
        let (code, text) = cluster.jtally(&["drain", &format!("pool-dc1-{at}")]);
        assert_eq!(code, 0, "{text}");
    }
    // The platform's own record is asked, since reads of the table are what is measured.
    wait_for("the wave to finish", || async {
        let steps: Vec<Step> =
            cluster.client.get_json(cluster.platform.address(""), "/steps").await?;
        (steps.iter().filter(|step| step.what == "back").count() == instances).then_some(())
    })
    .await;
    let (after, span) = (cluster.platform_counts().await, start.elapsed().as_secs_f64());
    let each = |after: u64, before: u64, quiet: f64| {
        ((after - before) as f64 - quiet * span) / instances as f64
    };
    println!(
        "{instances:>9}{instances:>8}{:>14.1}{:>13.1}{:>14.1}{:>12.2}",
        each(after.reads, before.reads, quiet[0]),
        each(after.rows, before.rows, quiet[1]),
        each(after.writes, before.writes, quiet[2]),
        span / instances as f64
    );
}
