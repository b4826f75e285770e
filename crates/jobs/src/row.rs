//! Form of jobs and their progress in the table.

use std::num::ParseIntError;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::job::{Job, Schedule, Step};
use crate::progress::{Progress, StepProgress};
use crate::worker::Room;

/// Row of an accepted job.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct JobRow {
    /// Queue that it came to.
    #[serde(rename = "q")]
    pub queue: String,
    /// Platform time of its acceptance, in milliseconds.
    #[serde(rename = "t", default)]
    pub accepted: u64,
    /// Platform time at which its client first asked for it, in milliseconds.
    #[serde(rename = "a", default)]
    pub asked: u64,
    #[serde(rename = "p", default)]
    payload: String,
    #[serde(rename = "s")]
    steps: Vec<StepRow>,
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    schedule: Option<(u64, u64, u32)>,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
struct StepRow {
    #[serde(rename = "n")]
    count: u32,
    #[serde(rename = "c", skip_serializing_if = "is_zero")]
    cpu: u64,
    #[serde(rename = "m", skip_serializing_if = "is_zero")]
    memory: u64,
    #[serde(rename = "g", skip_serializing_if = "is_zero")]
    gpus: u64,
    #[serde(rename = "e", skip_serializing_if = "is_zero")]
    estimate: u64,
    #[serde(rename = "a", skip_serializing_if = "Vec::is_empty")]
    after: Vec<usize>,
    #[serde(rename = "G", skip_serializing_if = "is_false")]
    gang: bool,
    #[serde(rename = "T", skip_serializing_if = "is_false")]
    together: bool,
    #[serde(rename = "l", skip_serializing_if = "Option::is_none")]
    label: Option<String>,
    #[serde(rename = "k", skip_serializing_if = "Option::is_none")]
    rack: Option<String>,
    #[serde(rename = "x", skip_serializing_if = "is_zero")]
    spread: u64,
    #[serde(rename = "C", skip_serializing_if = "is_false")]
    copies: bool,
    #[serde(rename = "L", skip_serializing_if = "is_false")]
    lasting: bool,
    #[serde(rename = "S", skip_serializing_if = "is_false")]
    saves: bool,
    #[serde(rename = "F", skip_serializing_if = "is_false")]
    filler: bool,
    #[serde(rename = "i", skip_serializing_if = "Option::is_none")]
    image: Option<String>,
    #[serde(rename = "b", skip_serializing_if = "is_zero")]
    target: u64,
    #[serde(rename = "y", skip_serializing_if = "is_zero")]
    spare: u64,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_zero(n: &u64) -> bool {
    *n == 0
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_false(flag: &bool) -> bool {
    !flag
}

impl From<&Step> for StepRow {
    fn from(step: &Step) -> Self {
        Self {
            count: step.count,
            cpu: step.room.cpu,
            memory: step.room.memory,
            gpus: step.room.gpus,
            estimate: step.estimate,
            after: step.after.clone(),
            gang: step.gang,
            together: step.together,
            label: step.label.clone(),
            rack: step.rack.clone(),
            spread: u64::from(step.spread),
            copies: step.copies,
            lasting: step.lasting,
            saves: step.saves,
            filler: step.filler,
            image: step.image.clone(),
            target: step.target,
            spare: u64::from(step.spare),
        }
    }
}

impl From<StepRow> for Step {
    fn from(row: StepRow) -> Self {
        Self {
            count: row.count,
            room: Room { cpu: row.cpu, memory: row.memory, gpus: row.gpus },
            estimate: row.estimate,
            after: row.after,
            gang: row.gang,
            together: row.together,
            label: row.label,
            rack: row.rack,
            spread: u32::try_from(row.spread).unwrap_or(u32::MAX),
            copies: row.copies,
            lasting: row.lasting,
            saves: row.saves,
            filler: row.filler,
            image: row.image,
            target: row.target,
            spare: u32::try_from(row.spare).unwrap_or(u32::MAX),
        }
    }
}

impl JobRow {
    /// The row of a job that came to `queue` at the platform's time `accepted`, at its client's first
    /// request.
    pub fn new(queue: &str, accepted: u64, job: &Job) -> Self {
        Self {
            queue: queue.to_owned(),
            accepted,
            asked: accepted,
            payload: job.payload.clone(),
            steps: job.steps.iter().map(StepRow::from).collect(),
            schedule: job.schedule.map(|s| (s.first, s.every, s.times)),
        }
    }
}

impl From<JobRow> for Job {
    fn from(row: JobRow) -> Self {
        Self {
            payload: row.payload,
            steps: row.steps.into_iter().map(Step::from).collect(),
            schedule: row.schedule.map(|(first, every, times)| Schedule { first, every, times }),
        }
    }
}

/// Row of a job's progress.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ProgressRow {
    #[serde(rename = "b", default)]
    begun: bool,
    #[serde(rename = "p", default)]
    past: u32,
    #[serde(rename = "t", default)]
    turns: Vec<(u32, Vec<StepRowProgress>)>,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct StepRowProgress {
    /// Ranges of done tasks, such as `0-3,7`.
    #[serde(rename = "d", default, skip_serializing_if = "String::is_empty")]
    done: String,
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    failed: Vec<(u32, u64)>,
}

impl From<&Progress> for ProgressRow {
    fn from(progress: &Progress) -> Self {
        let step =
            |s: &StepProgress| StepRowProgress { done: ranges(&s.done), failed: s.failed.clone() };
        Self {
            begun: progress.begun,
            past: progress.past,
            turns: progress
                .turns
                .iter()
                .map(|(turn, steps)| (*turn, steps.iter().map(step).collect()))
                .collect(),
        }
    }
}

impl TryFrom<ProgressRow> for Progress {
    type Error = ParseIntError;

    fn try_from(row: ProgressRow) -> Result<Self, Self::Error> {
        let mut turns = IndexMap::new();
        for (turn, steps) in row.turns {
            let mut all = Vec::with_capacity(steps.len());
            for s in steps {
                all.push(StepProgress { done: numbers(&s.done)?, failed: s.failed });
            }
            turns.insert(turn, all);
        }
        Ok(Self { begun: row.begun, past: row.past, turns })
    }
}

/// Writes rising numbers as ranges.
fn ranges(numbers: &[u32]) -> String {
    let mut text = String::new();
    let mut rest = numbers.iter().copied().peekable();
    while let Some(first) = rest.next() {
        let mut last = first;
        while let Some(next) = rest.next_if(|n| *n == last + 1) {
            last = next;
        }
        if !text.is_empty() {
            text.push(',');
        }
        text.push_str(&first.to_string());
        if last > first {
            text.push('-');
            text.push_str(&last.to_string());
        }
    }
    text
}

/// Reads what [`ranges`] wrote.
fn numbers(text: &str) -> Result<Vec<u32>, ParseIntError> {
    let mut all = Vec::new();
    for part in text.split(',').filter(|part| !part.is_empty()) {
        let (first, last) = part.split_once('-').unwrap_or((part, part));
        all.extend(first.parse::<u32>()?..=last.parse::<u32>()?);
    }
    Ok(all)
}
