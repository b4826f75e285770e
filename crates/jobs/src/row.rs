//! Encoding of jobs and their progress as rows of the table.

use std::num::ParseIntError;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::crash::Crashes;
use crate::job::{Job, Schedule, Step};
use crate::organisation::Organisation;
use crate::progress::{Progress, StepProgress};
use crate::queue::AdviceCost;
use crate::terms::Terms;
use crate::worker::Resources;

/// Row of an accepted job.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct JobRow {
    /// Queue of the job.
    #[serde(rename = "q")]
    pub queue: String,
    /// Platform time at which the job was accepted, in milliseconds.
    #[serde(rename = "t", default)]
    pub accepted_at: u64,
    /// Platform time of the client's first request, in milliseconds.
    #[serde(rename = "a", default)]
    pub requested_at: u64,
    #[serde(rename = "p", default)]
    payload: String,
    #[serde(rename = "s")]
    steps: Vec<StepRow>,
    /// Organisation on whose behalf the job was submitted.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<String>,
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    schedule: Option<(u64, u64, u32)>,
    /// Terms under which the job was accepted; none from a process of an earlier version.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    terms: Option<TermsRow>,
    /// Limit of the organisation when the job was accepted: CPU, memory and accelerators.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    limit: Option<(u64, u64, u64)>,
}

/// Terms of a queue.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default)]
struct TermsRow {
    #[serde(rename = "v")]
    version: u64,
    #[serde(rename = "n")]
    max_attempts: u32,
    #[serde(rename = "p")]
    priority: u32,
    #[serde(rename = "s", skip_serializing_if = "is_zero")]
    stretch: u64,
    #[serde(rename = "o", skip_serializing_if = "is_zero")]
    objective_base: u64,
    /// Time that the adviser needs for a query, and for each executor in it.
    #[serde(rename = "a", skip_serializing_if = "Option::is_none")]
    advice: Option<(u64, u64)>,
}

impl From<Terms> for TermsRow {
    fn from(terms: Terms) -> Self {
        Self {
            version: terms.version,
            max_attempts: terms.max_attempts,
            priority: terms.priority,
            stretch: terms.stretch,
            objective_base: terms.objective_base,
            advice: terms.advice.map(|cost| (cost.decision, cost.period)),
        }
    }
}

impl From<TermsRow> for Terms {
    fn from(row: TermsRow) -> Self {
        Self {
            version: row.version,
            max_attempts: row.max_attempts,
            priority: row.priority,
            stretch: row.stretch,
            objective_base: row.objective_base,
            advice: row.advice.map(|(decision, period)| AdviceCost { decision, period }),
        }
    }
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
    depends_on: Vec<usize>,
    #[serde(rename = "G", skip_serializing_if = "is_false")]
    gang: bool,
    #[serde(rename = "T", skip_serializing_if = "is_false")]
    same_rack: bool,
    #[serde(rename = "l", skip_serializing_if = "Option::is_none")]
    required_label: Option<String>,
    #[serde(rename = "k", skip_serializing_if = "Option::is_none")]
    data_rack: Option<String>,
    #[serde(rename = "x", skip_serializing_if = "is_zero")]
    max_per_executor: u64,
    #[serde(rename = "C", skip_serializing_if = "is_false")]
    speculative: bool,
    #[serde(rename = "L", skip_serializing_if = "is_false")]
    long_running: bool,
    #[serde(rename = "S", skip_serializing_if = "is_false")]
    checkpointing: bool,
    #[serde(rename = "F", skip_serializing_if = "is_false")]
    best_effort: bool,
    #[serde(rename = "i", skip_serializing_if = "Option::is_none")]
    image: Option<String>,
    #[serde(rename = "b", skip_serializing_if = "is_zero")]
    latency_target: u64,
    #[serde(rename = "y", skip_serializing_if = "is_zero")]
    max_unavailable: u64,
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
            cpu: step.resources.cpu,
            memory: step.resources.memory,
            gpus: step.resources.gpus,
            estimate: step.estimate,
            depends_on: step.depends_on.clone(),
            gang: step.gang,
            same_rack: step.same_rack,
            required_label: step.required_label.clone(),
            data_rack: step.data_rack.clone(),
            max_per_executor: u64::from(step.max_per_executor),
            speculative: step.speculative,
            long_running: step.long_running,
            checkpointing: step.checkpointing,
            best_effort: step.best_effort,
            image: step.image.clone(),
            latency_target: step.latency_target,
            max_unavailable: u64::from(step.max_unavailable),
        }
    }
}

impl From<StepRow> for Step {
    fn from(row: StepRow) -> Self {
        Self {
            count: row.count,
            resources: Resources { cpu: row.cpu, memory: row.memory, gpus: row.gpus },
            estimate: row.estimate,
            depends_on: row.depends_on,
            gang: row.gang,
            same_rack: row.same_rack,
            required_label: row.required_label,
            data_rack: row.data_rack,
            max_per_executor: u32::try_from(row.max_per_executor).unwrap_or(u32::MAX),
            speculative: row.speculative,
            long_running: row.long_running,
            checkpointing: row.checkpointing,
            best_effort: row.best_effort,
            image: row.image,
            latency_target: row.latency_target,
            max_unavailable: u32::try_from(row.max_unavailable).unwrap_or(u32::MAX),
        }
    }
}

impl JobRow {
    /// Creates the row of a job that was accepted at the platform time `accepted_at`, on its
    /// client's first request, under the terms of its queue.
    pub fn new(queue: &str, terms: Terms, accepted_at: u64, job: &Job) -> Self {
        Self {
            queue: queue.to_owned(),
            accepted_at,
            requested_at: accepted_at,
            payload: job.payload.clone(),
            organisation: None,
            steps: job.steps.iter().map(StepRow::from).collect(),
            schedule: job.schedule.map(|s| (s.first_due, s.interval, s.occurrences)),
            terms: Some(terms.into()),
            limit: None,
        }
    }

    /// Returns the row with the organisation on whose behalf the job was submitted.
    #[must_use]
    pub fn on_behalf_of(self, organisation: Option<&Organisation>) -> Self {
        let limited = organisation.filter(|o| o.limit != Resources::default());
        Self {
            organisation: organisation.map(|o| o.name.clone()),
            limit: limited.map(|o| (o.limit.cpu, o.limit.memory, o.limit.gpus)),
            ..self
        }
    }

    /// Returns the terms under which the job was accepted, if the row has them.
    pub fn terms(&self) -> Option<Terms> {
        self.terms.filter(|terms| terms.max_attempts > 0).map(Terms::from)
    }

    /// Returns the limit of the job's organisation when the job was accepted, if it had one.
    pub fn limit(&self) -> Option<Resources> {
        self.limit.map(|(cpu, memory, gpus)| Resources { cpu, memory, gpus })
    }
}

impl From<JobRow> for Job {
    fn from(row: JobRow) -> Self {
        Self {
            payload: row.payload,
            steps: row.steps.into_iter().map(Step::from).collect(),
            schedule: row.schedule.map(|(first, every, times)| Schedule {
                first_due: first,
                interval: every,
                occurrences: times,
            }),
        }
    }
}

/// Row of a job's progress.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ProgressRow {
    #[serde(rename = "b", default)]
    started: bool,
    #[serde(rename = "p", default)]
    completed_below: u32,
    /// Occurrences from `completed_below` on that are done, as ranges such as `3-99,105`.
    #[serde(rename = "x", default, skip_serializing_if = "String::is_empty")]
    finished: String,
    #[serde(rename = "t", default)]
    occurrences: Vec<(u32, Vec<StepProgressRow>)>,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct StepProgressRow {
    /// Positions of the tasks that are done, as ranges such as `0-3,7`.
    #[serde(rename = "d", default, skip_serializing_if = "String::is_empty")]
    done: String,
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    failed: Vec<(u32, u64)>,
    /// Position of a task, crashes that it is suspected of, and those that it is blamed for.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    crashes: Vec<(u32, u32, u32)>,
}

impl From<&StepProgress> for StepProgressRow {
    fn from(step: &StepProgress) -> Self {
        Self {
            done: format_ranges(&step.done),
            failed: step.failed.clone(),
            crashes: step.crashes.iter().map(|(n, c)| (*n, c.suspected, c.blamed)).collect(),
        }
    }
}

impl TryFrom<StepProgressRow> for StepProgress {
    type Error = ParseIntError;

    fn try_from(row: StepProgressRow) -> Result<Self, Self::Error> {
        let crashes = row.crashes.into_iter();
        let crashes = crashes.map(|(n, suspected, blamed)| (n, Crashes { suspected, blamed }));
        Ok(Self { done: parse_ranges(&row.done)?, failed: row.failed, crashes: crashes.collect() })
    }
}

/// Row of the progress of some tasks of an occurrence, for a job whose progress is too large for one
/// row.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct BlockRow {
    /// Positions of the steps, and the progress of their tasks.
    #[serde(rename = "s", default)]
    steps: Vec<(usize, StepProgressRow)>,
}

impl From<IndexMap<usize, StepProgress>> for BlockRow {
    fn from(steps: IndexMap<usize, StepProgress>) -> Self {
        Self { steps: steps.iter().map(|(n, step)| (*n, step.into())).collect() }
    }
}

impl TryFrom<BlockRow> for IndexMap<usize, StepProgress> {
    type Error = ParseIntError;

    fn try_from(row: BlockRow) -> Result<Self, Self::Error> {
        row.steps.into_iter().map(|(n, step)| Ok((n, step.try_into()?))).collect()
    }
}

impl From<&Progress> for ProgressRow {
    fn from(progress: &Progress) -> Self {
        Self {
            started: progress.started,
            completed_below: progress.completed_below,
            finished: format_spans(progress.finished.iter().copied()),
            occurrences: progress
                .occurrences
                .iter()
                .map(|(number, steps)| (*number, steps.iter().map(Into::into).collect()))
                .collect(),
        }
    }
}

impl TryFrom<ProgressRow> for Progress {
    type Error = ParseIntError;

    fn try_from(row: ProgressRow) -> Result<Self, Self::Error> {
        let mut occurrences = IndexMap::new();
        for (number, steps) in row.occurrences {
            let steps: Result<Vec<StepProgress>, _> =
                steps.into_iter().map(StepProgress::try_from).collect();
            occurrences.insert(number, steps?);
        }
        Ok(Self {
            started: row.started,
            completed_below: row.completed_below,
            finished: parse_spans(&row.finished)?,
            occurrences,
        })
    }
}

/// Formats ascending numbers as ranges.
fn format_ranges(numbers: &[u32]) -> String {
    let ranges = numbers.chunk_by(|a, b| a + 1 == *b);
    format_spans(ranges.filter_map(|range| Some((*range.first()?, *range.last()?))))
}

/// Parses the format of [`format_ranges`].
fn parse_ranges(text: &str) -> Result<Vec<u32>, ParseIntError> {
    Ok(parse_spans(text)?.into_iter().flat_map(|(first, last)| first..=last).collect())
}

/// Formats the first and the last number of some ranges.
fn format_spans(spans: impl Iterator<Item = (u32, u32)>) -> String {
    let format = |(first, last): (u32, u32)| match first == last {
        true => first.to_string(),
        false => format!("{first}-{last}"),
    };
    spans.map(format).collect::<Vec<_>>().join(",")
}

/// Parses the format of [`format_spans`].
fn parse_spans(text: &str) -> Result<Vec<(u32, u32)>, ParseIntError> {
    let parse = |part: &str| {
        let (first, last) = part.split_once('-').unwrap_or((part, part));
        Ok((first.parse()?, last.parse()?))
    };
    text.split(',').filter(|part| !part.is_empty()).map(parse).collect()
}
