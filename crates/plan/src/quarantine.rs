//! Tells a job that can never run from a worker that fails everything.

use std::collections::{HashMap, HashSet};

/// Different workers on which a job has to fail before it is set aside.
const WORKERS: usize = 3;
/// Different jobs that have to fail on a worker before it is set aside.
const JOBS: usize = 3;

/// End of one run of a job on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunResult {
    /// Job.
    pub job: String,
    /// Worker.
    pub worker: String,
    /// Whether it ended well.
    pub succeeded: bool,
}

/// What is set aside.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Quarantine {
    /// Jobs that failed on enough workers that others could use.
    pub jobs: HashSet<String>,
    /// Workers on which enough jobs failed that ran elsewhere, or that nothing ever ran on.
    pub workers: HashSet<String>,
}

/// Judges runs, oldest first.
///
/// A worker is judged first, by jobs that are not known to fail everywhere; failures on a worker
/// that was set aside then do not count against jobs.
///
/// # Examples
///
/// ```
/// use plan::quarantine::{RunResult, evaluate};
/// let run = |job: &str, worker: &str, succeeded| RunResult { job: job.into(), worker: worker.into(), succeeded };
/// let runs = [
///     run("a", "w1", true), run("b", "w2", true), run("c", "w3", true),
///     run("bad", "w1", false), run("bad", "w2", false), run("bad", "w3", false),
/// ];
/// let quarantine = evaluate(&runs);
/// assert!(quarantine.jobs.contains("bad") && quarantine.workers.is_empty());
/// ```
pub fn evaluate(runs: &[RunResult]) -> Quarantine {
    let good_jobs: HashSet<&str> = good(runs).map(|run| run.job.as_str()).collect();
    let good_workers: HashSet<&str> = good(runs).map(|run| run.worker.as_str()).collect();
    let mut failed: HashMap<&str, HashSet<&str>> = HashMap::new();
    for run in runs {
        let streak = failed.entry(&run.worker).or_default();
        if run.succeeded {
            streak.clear();
        } else {
            streak.insert(&run.job);
        }
    }
    let workers: HashSet<String> = failed
        .iter()
        .filter(|(worker, jobs)| {
            let proved = jobs.iter().filter(|job| good_jobs.contains(**job)).count();
            proved >= JOBS || (jobs.len() >= JOBS && !good_workers.contains(**worker))
        })
        .map(|(worker, _)| (*worker).to_owned())
        .collect();
    let mut tried: HashMap<&str, HashSet<&str>> = HashMap::new();
    for run in runs.iter().filter(|run| !run.succeeded && !workers.contains(&run.worker)) {
        tried.entry(&run.job).or_default().insert(&run.worker);
    }
    let jobs = tried.iter().filter(|(job, on)| on.len() >= WORKERS && !good_jobs.contains(**job));
    Quarantine { jobs: jobs.map(|(job, _)| (*job).to_owned()).collect(), workers }
}

fn good(runs: &[RunResult]) -> impl Iterator<Item = &RunResult> {
    runs.iter().filter(|run| run.succeeded)
}
