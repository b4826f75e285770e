//! Tests of the rows that hold the progress of jobs.

use indexmap::IndexMap;
use jobs::Progress;
use jobs::crash::Crashes;
use jobs::progress::StepProgress;
use jobs::row::ProgressRow;

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
