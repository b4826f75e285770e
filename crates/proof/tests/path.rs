//! The main paths through real processes: requests, drains, contracts, orders and invalid input.
//!
//! Guards against a break between two processes that the tests of a single crate can't detect, and
//! against invalid input that is run, accepted or reported unclearly.

use proof::cluster::jtally;
use proof::{Cluster, Layout, wait_for};
use standin::backend;

/// Contract of one customer with a repeatable and a non-repeatable service.
const CONTRACT: &str = "customer: acme
down: 1
services:
  - name: boards
    pool: boards
    held: 1
    down: 1
    urgency: urgent
    repeat: allowed
    deadline_ms: 5000
    body_kib: 4
  - name: loads
    pool: loads
    held: 1
    down: 1
    repeat: never
    deadline_ms: 5000
";

/// Path, headers, body, expected status and expected text.
type BadRequest<'a> = (&'a str, &'a [(&'a str, &'a str)], &'a str, u16, &'a str);

async fn cluster() -> Cluster {
    let cluster = Cluster::start(&Layout::minimal(&[("boards", 2), ("loads", 1)]));
    cluster.apply_contract("acme", CONTRACT, 0).await;
    cluster.wait_for_service("/acme/boards").await;
    cluster.wait_for_service("/acme/loads").await;
    cluster
}

#[actix::test]
async fn a_request_is_answered_whole_with_its_outcome() {
    let cluster = cluster().await;
    for path in ["/acme/boards/refresh?stop=7", "/acme/loads/line-2"] {
        let reply =
            cluster.client.post(cluster.entry_address(0), path, &[], "hello").await.unwrap();
        assert_eq!((reply.status, reply.outcome.as_str()), (200, "done"), "{reply:?}");
        assert_eq!(reply.body, "hello");
        let runs = cluster.recorded_runs().await;
        assert_eq!(runs.iter().filter(|run| run.id == reply.id).count(), 1);
    }
}

#[actix::test]
async fn bad_requests_get_a_clear_error_and_run_nowhere() {
    let cluster = cluster().await;
    let large = "x".repeat(5_000);
    let cases: [BadRequest<'_>; 7] = [
        ("/nobody/boards", &[], "", 404, "no contract of customer 'nobody'"),
        ("/acme/nothing", &[], "", 404, "customer 'acme' has no service 'nothing'"),
        ("/acme", &[], "", 404, "the path is not /customer/service"),
        ("/acme/boards", &[], &large, 413, "the body is larger than 4096 bytes"),
        ("/acme/boards", &[("X-Deadline-Ms", "soon")], "", 400, "X-Deadline-Ms is 'soon'"),
        ("/acme/boards", &[("X-Repeat", "maybe")], "", 400, "X-Repeat is 'maybe'"),
        ("/acme/loads", &[("Idempotency-Key", "jt1.x")], "", 400, "the ticket is damaged"),
    ];
    let before = cluster.recorded_runs().await.len();
    for (path, headers, body, status, error) in cases {
        let reply =
            cluster.client.post(cluster.entry_address(0), path, headers, body).await.unwrap();
        assert_eq!((reply.status, reply.outcome.as_str()), (status, "not-run"), "{path} {reply:?}");
        assert!(reply.body.contains(error), "{path}: {}", reply.body);
    }
    assert_eq!(cluster.recorded_runs().await.len(), before);
}

#[actix::test]
async fn a_drain_interrupts_no_request_and_is_on_the_timeline() {
    let cluster = cluster().await;
    // Longer than the drain, the reboot and several steps of the control process take.
    let slow = [("X-Work-Ms", "4000")];
    let call = cluster.client.post(cluster.entry_address(0), "/acme/boards", &slow, "long");
    let drain = async {
        let busy = || async {
            let runs = cluster.recorded_runs().await;
            runs.into_iter().find(|run| run.end_ms.is_none()).map(|run| run.id)
        };
        wait_for("the long request to run", busy).await;
        for id in ["boards-dc1-0", "boards-dc1-1"] {
            assert_eq!(cluster.jtally(&["drain", id, "--reason", "test"]).0, 0);
        }
    };
    let (reply, ()) = futures_util::join!(call, drain);
    assert_eq!(reply.unwrap().outcome, "done");
    for id in ["boards-dc1-0", "boards-dc1-1"] {
        wait_for("the instance to serve again", || async {
            let (_, why) = cluster.jtally(&["--json", "why", id]);
            let why: serde_json::Value = serde_json::from_str(&why).ok()?;
            (why["decision"] == "serves" && why["order"].is_null()).then_some(())
        })
        .await;
    }
    assert!(cluster.recorded_runs().await.iter().all(|run| !run.cut));
    let (_, text) = cluster.jtally(&["timeline", "--filter", "boards-dc1-0"]);
    for event in ["drain-started", "instance-idle", "reboot-ordered", "instance-serving"] {
        assert!(text.contains(event), "{event} is missing:\n{text}");
    }
}

#[actix::test]
async fn a_change_based_on_an_old_revision_is_refused_with_the_newest() {
    let cluster = cluster().await;
    let file = cluster.folder.join("race.yaml").display().to_string();
    std::fs::write(&file, CONTRACT).unwrap();
    assert_eq!(cluster.jtally(&["contract", "apply", &file, "--base", "1", "--ahead"]).0, 0);
    let (code, text) = cluster.jtally(&["contract", "apply", &file, "--base", "1", "--ahead"]);
    assert_eq!(code, 4, "{text}");
    assert!(text.contains("the newest is 2"), "{text}");
    let (code, text) = cluster.jtally(&["contract", "history", "acme"]);
    assert_eq!((code, text.lines().count()), (0, 3), "{text}");
}

#[actix::test]
async fn a_failing_server_gets_little_work_until_it_recovers() {
    let cluster = cluster().await;
    let fail = backend::Faults { fail: true, ..backend::Faults::default() };
    cluster.set_server_faults("boards-dc1-0", &fail).await;
    for _ in 0..60 {
        let reply = cluster.client.post(cluster.entry_address(0), "/acme/boards", &[], "x").await;
        assert_eq!(reply.unwrap().status, 200);
    }
    // Every request has one successful run, so the failing server had fewer than 20 runs.
    let runs = cluster.recorded_runs().await.into_iter().filter(|run| run.path == "/acme/boards");
    assert!(runs.count() < 60 + 20, "a server that fails every request must not attract work");
    cluster.set_server_faults("boards-dc1-0", &backend::Faults::default()).await;
    wait_for("the server to get work again", || async {
        cluster.client.post(cluster.entry_address(0), "/acme/boards", &[], "x").await?;
        let (_, text) = cluster.jtally(&["timeline", "--filter", "server-back"]);
        text.contains("boards-dc1-0").then_some(())
    })
    .await;
}

#[test]
fn the_command_line_names_an_unreachable_or_invalid_address() {
    let (code, text) = jtally(&["--at", "127.0.0.1:1", "fleet"]);
    assert_eq!(code, 6, "{text}");
    assert!(text.contains("127.0.0.1:1 does not answer"), "{text}");
    let (code, text) = jtally(&["--at", "localhost", "fleet"]);
    assert_eq!(code, 2, "{text}");
    assert!(text.contains("allowed is an IP number and a port"), "{text}");
}

#[test]
fn all_problems_of_a_settings_file_are_reported_together() {
    let file = std::env::temp_dir().join(format!("jtally-wrong-{}.yaml", std::process::id()));
    let settings = "name: E 1\ncentre: dc1\nplatform: nowhere\nworkers: 0\nlog: {format: xml}\n";
    std::fs::write(&file, settings).unwrap();
    for program in ["jtally-entry", "jtally-control"] {
        let output = std::process::Command::new(proof::process::program_path(program))
            .arg(&file)
            .output()
            .unwrap();
        assert_eq!(output.status.code(), Some(2));
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        for problem in [":1: name:", ":3: platform:", ":4: workers:", ":5: log.format:"] {
            assert!(text.contains(problem), "{problem} is missing:\n{text}");
        }
    }
    std::fs::remove_file(&file).unwrap();
}

#[actix::test]
async fn a_contract_that_can_not_be_met_is_refused_with_the_nearest_feasible_one() {
    let cluster = cluster().await;
    let file = cluster.folder.join("large.yaml").display().to_string();
    std::fs::write(&file, CONTRACT.replace("held: 1", "held: 5")).unwrap();
    let (code, text) = cluster.jtally(&["contract", "apply", &file, "--base", "1"]);
    assert_eq!(code, 3, "{text}");
    assert!(text.contains("service 'boards': held is 5"), "{text}");
    assert!(text.contains("the nearest contract has held: 1"), "{text}");
    assert!(text.contains("the nearest contract has held: 0"), "{text}");
    let (code, text) = cluster.jtally(&["contract", "apply", &file, "--base", "1", "--ahead"]);
    assert_eq!(code, 0, "{text}");
    let (code, text) = cluster.jtally(&["plan", "acme"]);
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("Not met: service 'loads'"), "{text}");
}

#[actix::test]
async fn commands_for_unknown_instances_pools_and_customers_are_refused() {
    let cluster = cluster().await;
    let cases = [
        (vec!["drain", "nobody"], 5, "no instance 'nobody' is listed"),
        (vec!["move", "boards-dc1-0", "nowhere"], 3, "pool 'nowhere' belongs to no contract"),
        (vec!["why", "nobody"], 5, "no instance 'nobody' is listed"),
        (vec!["plan", "nobody"], 5, "no contract of customer 'nobody'"),
        (vec!["contract", "show", "nobody"], 5, "no contract of customer 'nobody'"),
    ];
    for (args, expected_code, error) in cases {
        let (code, text) = cluster.jtally(&args);
        assert_eq!(code, expected_code, "{args:?}: {text}");
        assert!(text.contains(error), "{args:?}: {text}");
    }
}
