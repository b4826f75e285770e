//! Tests of the rows that hold jobs and their progress.

use cells::rows::{self, Roster};
use indexmap::IndexMap;
use jobs::crash::Crashes;
use jobs::progress::StepProgress;
use jobs::row::{JobRow, ProgressRow};
use jobs::{AdviceCost, Job, Organisation, Progress, Queue, Registration, Resources, Step, Terms};

fn decode(text: &str) -> Progress {
    Progress::try_from(serde_json::from_str::<ProgressRow>(text).unwrap()).unwrap()
}

/// Guards against a successor that does not know how often executors have crashed under a task.
#[test]
fn crashes_are_kept_in_the_row() {
    let crashes = vec![(2, Crashes { suspected: 2, blamed: 1 })];
    let step = StepProgress { done: vec![0, 1], crashes, ..StepProgress::default() };
    let progress = Progress {
        started: true,
        completed_below: 0,
        finished: Vec::new(),
        occurrences: IndexMap::from([(0, vec![step])]),
    };
    let text = serde_json::to_string(&ProgressRow::from(&progress)).unwrap();
    assert_eq!(decode(&text), progress);
}

/// Guards against rows of an earlier release that a new holder can't read.
#[test]
fn a_row_without_crashes_is_readable() {
    let progress = decode(r#"{"b":true,"p":0,"t":[[0,[{"d":"0-1","f":[[2,7]]}]]]}"#);
    let step = &progress.occurrences[&0][0];
    assert_eq!(
        (step.done.as_slice(), step.failed.as_slice()),
        ([0, 1].as_slice(), [(2, 7)].as_slice())
    );
    assert!(step.crashes.is_empty());
}

/// Guards against rows that a process of the version before or after can't read.
#[test]
fn rows_of_jobs_are_readable_both_ways() {
    let resources = Resources { cpu: 1_000, memory: 10, gpus: 0 };
    let step = Step { count: 1, resources, estimate: 500, ..Step::default() };
    let job = Job { payload: "x".to_owned(), steps: vec![step], schedule: None };
    let limit = Resources { cpu: 8_000, memory: 0, gpus: 0 };
    let organisation = Organisation { name: "o".to_owned(), limit, ..Organisation::default() };
    let advice = Some(AdviceCost { decision: 200, period: 10 });
    let terms = Terms::of(&Queue { advice, priority: 2, max_attempts: 4, ..Queue::default() }, 7);
    let row = JobRow::new("q", terms, 5, &job).on_behalf_of(Some(&organisation));
    let text = serde_json::to_value(&row).unwrap();
    let read: JobRow = serde_json::from_value(text.clone()).unwrap();
    assert_eq!((read.terms(), read.limit()), (Some(terms), Some(limit)));
    // What the version before writes, and reads apart from the fields that it does not know.
    let before = serde_json::json!({
        "q": "q", "t": 5, "a": 5, "p": "x", "s": [{"n": 1, "c": 1_000, "m": 10, "e": 500}], "o": "o"
    });
    let mut known = text;
    known.as_object_mut().unwrap().retain(|field, _| before.get(field).is_some());
    assert_eq!(known, before);
    let read: JobRow = serde_json::from_value(before).unwrap();
    assert_eq!((read.terms(), read.limit()), (None, None));
    assert_eq!(Job::from(read), job);
}

/// Guards against a roster that the table rejects for its size, so that no executor could be added any
/// more; and against a row that is left half empty.
#[test]
fn a_roster_takes_the_executors_that_fit_in_its_row() {
    let executor = |n: u64| Registration {
        id: format!("worker-{n}~1774605815611"),
        address: format!("10.0.{}.{}:8624", n / 250, n % 250),
        ..Registration::default()
    };
    let mut missing: Vec<Registration> = (0..1_500).map(executor).collect();
    let mut lists = Vec::new();
    while !missing.is_empty() {
        let mut roster = Roster::default();
        let fitting = roster.add_up_to(65_536, &missing);
        assert!(fitting > 0 && rows::encode(&roster).len() <= 65_536);
        assert_eq!(roster.add_up_to(65_536, &missing[fitting..]), 0, "the row is full");
        missing.drain(..fitting);
        lists.push(rows::encode(&roster).len());
    }
    let (last, full) = lists.split_last().unwrap();
    assert!(!full.is_empty() && full.iter().all(|bytes| *bytes > 65_400), "{full:?}, {last}");
}
