//! Tests of the report that `explain` makes of a job from log lines.

use super::JobReport;

const ID: &str = "00000000000000aa";

fn report(log: &str) -> JobReport {
    let mut report = JobReport::default();
    report.read_log(log.as_bytes(), "node-1", ID).unwrap();
    report.finish();
    report
}

fn line(at_ms: u64, message: &str, fields: &str) -> String {
    format!("{{\"at_ms\":{at_ms},\"message\":\"{message}\",\"fields\":{{{fields}}}}}\n")
}

// The lines come from several processes and arrive out of order; the report sorts them by time.
#[test]
fn a_completed_job_is_reported_in_time_order() {
    let mut log =
        line(900, "E2103 job-ended", &format!("\"job\":\"{ID}\",\"state\":\"completed\""));
    log += &line(140, "E2201 start-sent", &format!("\"task\":\"{ID}.0.0.0\""));
    log += &line(100, "E2101 job-accepted", &format!("\"job\":\"{ID}\""));
    log += &line(120, "E2201 start-sent", "\"task\":\"00000000000000bb.0.0.0\"");
    let report = report(&log);
    assert_eq!(report.lines.len(), 3);
    assert_eq!(
        report.outcome,
        "completed 800 ms after it was accepted (1 starts, first start 40 ms after it was accepted)"
    );
}

// An operator must see the values on which a refusal was decided.
#[test]
fn a_refusal_by_load_names_backlog_and_room() {
    let fields = format!(
        "\"job\":\"{ID}\",\"why\":\"load\",\"backlog\":\"9\",\"room\":\"2\",\"load_age_ms\":\"30\""
    );
    let outcome = report(&line(5, "E2102 job-refused", &fields)).outcome;
    assert!(outcome.contains("backlog 9 against room 2, seen 30 ms before"), "{outcome}");
}

// A line that was cut off is counted, so that the report shows that something is missing.
#[test]
fn unparsable_lines_are_counted_and_unrelated_lines_skipped() {
    let log = format!("{{\"at_ms\":1,\"mess {ID}\nplain text\n\u{fffd}\n");
    let report = report(&log);
    assert_eq!((report.unparsed, report.lines.len()), (1, 0));
    assert_eq!(report.outcome, "not in these logs");
}
