//! Quarantine of jobs that fail on every worker and of workers that fail every job.

use std::collections::{HashMap, HashSet};

/// Distinct workers on which a job must fail before it is quarantined.
const MIN_FAILED_WORKERS: usize = 3;
/// Distinct jobs that must fail on a worker before it is quarantined.
const MIN_FAILED_JOBS: usize = 3;

/// Result of one run of a job on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunResult {
    /// Id of the job.
    pub job: String,
    /// Id of the worker.
    pub worker: String,
    /// Whether the run succeeded.
    pub succeeded: bool,
}

/// Jobs and workers that are excluded from placement.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Quarantine {
    /// Jobs that never succeeded and failed on enough workers outside of quarantine.
    pub jobs: HashSet<String>,
    /// Workers with enough failures of jobs that succeeded in another run, or with failures only.
    pub workers: HashSet<String>,
}

/// Selects the jobs and workers to quarantine from run results, oldest first.
///
/// Workers are evaluated first. A worker is quarantined if enough jobs have failed on it since its
/// last success, and either these jobs have succeeded at least once or the worker has had no
/// success at all. Failures on a quarantined worker do not count against the job.
///
/// # Examples
///
/// ```
/// use plan::quarantine::{RunResult, evaluate};
/// let run = |job: &str, worker: &str, succeeded| RunResult {
///     job: job.into(),
///     worker: worker.into(),
///     succeeded,
/// };
/// let runs = [
///     run("a", "w1", true), run("b", "w2", true), run("c", "w3", true),
///     run("bad", "w1", false), run("bad", "w2", false), run("bad", "w3", false),
/// ];
/// let quarantine = evaluate(&runs);
/// assert!(quarantine.jobs.contains("bad") && quarantine.workers.is_empty());
/// ```
pub fn evaluate(runs: &[RunResult]) -> Quarantine {
    let proven_jobs: HashSet<&str> = successes(runs).map(|run| run.job.as_str()).collect();
    let proven_workers: HashSet<&str> = successes(runs).map(|run| run.worker.as_str()).collect();
    let mut failed_jobs: HashMap<&str, HashSet<&str>> = HashMap::new();
    for run in runs {
        let since_success = failed_jobs.entry(&run.worker).or_default();
        if run.succeeded {
            since_success.clear();
        } else {
            since_success.insert(&run.job);
        }
    }
    let workers: HashSet<String> = failed_jobs
        .iter()
        .filter(|(worker, jobs)| {
            let proven = jobs.iter().filter(|job| proven_jobs.contains(**job)).count();
            proven >= MIN_FAILED_JOBS
                || (jobs.len() >= MIN_FAILED_JOBS && !proven_workers.contains(**worker))
        })
        .map(|(worker, _)| (*worker).to_owned())
        .collect();
    let mut failed_on: HashMap<&str, HashSet<&str>> = HashMap::new();
    for run in runs.iter().filter(|run| !run.succeeded && !workers.contains(&run.worker)) {
        failed_on.entry(&run.job).or_default().insert(&run.worker);
    }
    let jobs = failed_on
        .iter()
        .filter(|(job, on)| on.len() >= MIN_FAILED_WORKERS && !proven_jobs.contains(**job));
    Quarantine { jobs: jobs.map(|(job, _)| (*job).to_owned()).collect(), workers }
}

fn successes(runs: &[RunResult]) -> impl Iterator<Item = &RunResult> {
    runs.iter().filter(|run| run.succeeded)
}
