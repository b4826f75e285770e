//! Tests of the summary that `served` makes of log lines.

use super::ServiceReport;

/// Guards against jobs counted once for each process or retry, and against a refused job that was
/// accepted later and counts as refused.
#[test]
fn each_job_counts_once_by_queue_and_organisation() {
    let line = |message: &str, job: &str, more: &str| {
        format!(
            "node-1 {{\"at_ms\":1,\"message\":\"{message}\",\"fields\":{{\"job\":\"{job}\",\
             \"queue\":\"q\",\"organisation\":\"a\"{more}}}}}\n"
        )
    };
    let end = |result: &str, start: i64| {
        format!(",\"result\":\"{result}\",\"first_start_ms\":\"{start}\"")
    };
    let mut log = line("E2102 job-refused", "1", "") + &line("E2102 job-refused", "1", "");
    log += &line("E2102 job-refused", "2", "");
    log += &line("E2101 job-accepted", "2", "");
    log += &line("E2103 job-ended", "2", &end("late", 900));
    log += &line("E2103 job-ended", "3", &end("in-time", 100));
    log += &line("E2101 job-accepted", "4", "");
    log += &line("E2103 job-ended", "5", &end("none", -1));
    log += "node-1 {\"torn E2103 job-ended\n";
    let mut report = ServiceReport::default();
    report.read_log(log.as_bytes()).unwrap();
    let groups = report.groups();
    let group = &groups[&("q", "a")];
    assert_eq!((group.accepted, group.in_time, group.late), (4, 1, 1));
    assert_eq!((group.unserved, group.refused), (2, 1));
    assert_eq!((group.median_wait_ms, group.most_wait_ms), (100, 100));
}
