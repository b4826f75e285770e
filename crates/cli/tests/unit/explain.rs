//! Stories of jobs from log lines.

use super::Story;

const ID: &str = "00000000000000aa";

fn story(log: &str) -> Story {
    let mut story = Story::default();
    story.read(log.as_bytes(), "node-1", ID).unwrap();
    story.finish();
    story
}

fn line(at: u64, message: &str, fields: &str) -> String {
    format!("{{\"at_ms\":{at},\"message\":\"{message}\",\"fields\":{{{fields}}}}}\n")
}

#[test]
fn a_completed_job_is_told_in_the_order_of_its_times() {
    let mut log =
        line(900, "E2103 job-ended", &format!("\"job\":\"{ID}\",\"state\":\"completed\""));
    log += &line(140, "E2201 start-sent", &format!("\"task\":\"{ID}.0.0.0\""));
    log += &line(100, "E2101 job-accepted", &format!("\"job\":\"{ID}\""));
    log += &line(120, "E2201 start-sent", "\"task\":\"00000000000000bb.0.0.0\"");
    let story = story(&log);
    assert_eq!(story.lines.len(), 3);
    assert_eq!(
        story.cause,
        "completed 800 ms after it was accepted (1 starts, first start 40 ms after it was accepted)"
    );
}

#[test]
fn a_refusal_names_the_load_that_decided_it() {
    let fields = format!(
        "\"job\":\"{ID}\",\"why\":\"load\",\"backlog\":\"9\",\"room\":\"2\",\"load_age_ms\":\"30\""
    );
    let told = story(&line(5, "E2102 job-refused", &fields)).cause;
    assert!(told.contains("backlog 9 against room 2, seen 30 ms before"), "{told}");
}

#[test]
fn torn_and_foreign_lines_are_counted_or_passed_over() {
    let log = format!("{{\"at_ms\":1,\"mess {ID}\nplain text\n\u{fffd}\n");
    let story = story(&log);
    assert_eq!((story.torn, story.lines.len()), (1, 0));
    assert_eq!(story.cause, "not in these logs");
}
