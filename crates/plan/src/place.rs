//! Placement of jobs on workers: urgent jobs first, then by deadline, within the teams' quotas.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use fleet::{Team, Urgency};

/// Largest factor by which declared resources and run times are corrected.
const MAX_CORRECTION: f64 = 16.0;
/// Usage reports needed before a correction applies.
const MIN_REPORTS: usize = 3;

/// Processor cores, memory and accelerators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Resources {
    /// Accelerators; first in the sort order because they are the scarcest.
    pub accelerators: u32,
    /// Cores, in thousandths.
    pub millicores: u32,
    /// Memory, in MiB.
    pub memory_mib: u32,
}

/// Worker and its free resources.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Worker {
    /// Name of the worker.
    pub id: String,
    /// Free resources.
    pub free: Resources,
    /// Whether jobs may be placed on the worker.
    pub schedulable: bool,
}

/// Job in the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Name of the job.
    pub id: String,
    /// Team whose quota is charged.
    pub team: String,
    /// Kind of work; its earlier runs correct the declared values.
    pub kind: String,
    /// Whether the job goes before others.
    pub urgency: Urgency,
    /// Declared resources.
    pub resources: Resources,
    /// Declared run time.
    pub run_time: Duration,
    /// Remaining time until the job must be finished.
    pub deadline: Option<Duration>,
    /// Workers on which the job has failed.
    pub excluded_workers: Vec<String>,
}

/// Use of resources and time by one earlier run, relative to the declaration.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UsageReport {
    /// Used over declared resources: the larger ratio of memory and cores.
    pub resource_ratio: f64,
    /// Actual over declared run time.
    pub time_ratio: f64,
}

/// Factors that correct the declared values of one kind of work.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CorrectionFactors {
    /// Factor for resources.
    pub resources: f64,
    /// Factor for run times.
    pub run_time: f64,
}

/// Assignment of a job that starts now to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// Name of the job.
    pub job: String,
    /// Name of the worker.
    pub worker: String,
    /// Resources that are reserved on the worker.
    pub resources: Resources,
}

/// Reason why a job stays in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum WaitReason {
    /// The team's quota is used up.
    Quota,
    /// No worker has enough free resources now.
    Room,
    /// The job needs more of one resource than any worker has free when placement starts.
    TooLarge,
    /// The team is in no contract.
    NoTeam,
}

/// Result of placing the queue.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Placement {
    /// Jobs that start now.
    pub assignments: Vec<Assignment>,
    /// Jobs that stay in the queue, each with the reason.
    pub waiting: Vec<(String, WaitReason)>,
}

impl Resources {
    /// Returns whether these resources fit into `free`.
    pub fn fits(self, free: Self) -> bool {
        self.accelerators <= free.accelerators
            && self.millicores <= free.millicores
            && self.memory_mib <= free.memory_mib
    }

    fn minus(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators - other.accelerators,
            millicores: self.millicores - other.millicores,
            memory_mib: self.memory_mib - other.memory_mib,
        }
    }

    /// Multiplies cores and memory by a factor; accelerators are indivisible and stay as declared.
    fn scaled_by(self, factor: f64) -> Self {
        let scaled =
            |value: u32| (f64::from(value) * factor).ceil().min(f64::from(u32::MAX)) as u32;
        Self { millicores: scaled(self.millicores), memory_mib: scaled(self.memory_mib), ..self }
    }
}

/// Computes correction factors from the usage reports of one kind of work.
///
/// Each factor is the 90th percentile of the reports, so that a single outlier does not decide.
/// With fewer than three reports, the declared values stay unchanged.
///
/// # Examples
///
/// ```
/// use plan::place::{UsageReport, correction_factors};
/// let report = UsageReport { resource_ratio: 2.0, time_ratio: 3.0 };
/// let reports: Vec<UsageReport> = (0..10).map(|_| report).collect();
/// assert_eq!(correction_factors(&reports).run_time, 3.0);
/// assert_eq!(correction_factors(&reports[..2]).run_time, 1.0);
/// ```
pub fn correction_factors(reports: &[UsageReport]) -> CorrectionFactors {
    if reports.len() < MIN_REPORTS {
        return CorrectionFactors { resources: 1.0, run_time: 1.0 };
    }
    let percentile_90 = |value: fn(&UsageReport) -> f64| {
        let mut values: Vec<f64> = reports.iter().map(value).collect();
        values.sort_by(f64::total_cmp);
        let at = (values.len() * 9).div_ceil(10) - 1;
        values[at].clamp(1.0 / MAX_CORRECTION, MAX_CORRECTION)
    };
    CorrectionFactors {
        resources: percentile_90(|report| report.resource_ratio),
        run_time: percentile_90(|report| report.time_ratio),
    }
}

/// Removes cancelled jobs from the queue in one pass and returns their number.
///
/// # Examples
///
/// ```
/// let mut queue = Vec::new();
/// assert_eq!(plan::place::remove_cancelled(&mut queue, &["a".to_owned()].into()), 0);
/// ```
pub fn remove_cancelled(queue: &mut Vec<Job>, cancelled: &HashSet<String>) -> usize {
    let before = queue.len();
    queue.retain(|job| !cancelled.contains(&job.id));
    before - queue.len()
}

/// Assigns the queued jobs to the workers.
///
/// Urgent jobs go first, then those with the earliest latest start time. Each job is assigned to
/// the worker with the least free resources that fits it (best fit), which leaves whole workers
/// free for large jobs. `used` holds the resources of each team's running jobs, and `corrections`
/// the correction factors of each kind of work.
pub fn place(
    workers: &[Worker],
    queue: &[Job],
    teams: &[Team],
    used: &HashMap<String, Resources>,
    corrections: &HashMap<String, CorrectionFactors>,
) -> Placement {
    let mut free = FreeResources::new(workers);
    let mut quotas: HashMap<&str, Resources> =
        teams.iter().map(|team| (team.name.as_str(), remaining_quota(team, used))).collect();
    let uncorrected = CorrectionFactors { resources: 1.0, run_time: 1.0 };
    let factors = |job: &Job| corrections.get(&job.kind).copied().unwrap_or(uncorrected);
    let mut order: Vec<&Job> = queue.iter().collect();
    order.sort_by_cached_key(|job| (job.urgency, latest_start(job, factors(job)), job.id.clone()));
    let mut placement = Placement::default();
    for job in order {
        let resources = job.resources.scaled_by(factors(job).resources);
        let Some(quota) = quotas.get_mut(job.team.as_str()) else {
            placement.waiting.push((job.id.clone(), WaitReason::NoTeam));
            continue;
        };
        let charged = Resources { memory_mib: 0, ..resources };
        if !charged.fits(*quota) {
            placement.waiting.push((job.id.clone(), WaitReason::Quota));
            continue;
        }
        match free.reserve(resources, &job.excluded_workers) {
            Ok(worker) => {
                *quota = quota.minus(charged);
                placement.assignments.push(Assignment { job: job.id.clone(), worker, resources });
            }
            Err(reason) => placement.waiting.push((job.id.clone(), reason)),
        }
    }
    placement
}

fn remaining_quota(team: &Team, used: &HashMap<String, Resources>) -> Resources {
    let used = used.get(&team.name).copied().unwrap_or_default();
    Resources {
        accelerators: team.accelerators.saturating_sub(used.accelerators),
        millicores: (team.cores.saturating_mul(1_000)).saturating_sub(used.millicores),
        memory_mib: u32::MAX,
    }
}

/// Returns the longest time that the job may still wait and meet its deadline.
fn latest_start(job: &Job, factors: CorrectionFactors) -> Duration {
    let run_time = job.run_time.mul_f64(factors.run_time);
    job.deadline.map_or(Duration::MAX, |deadline| deadline.saturating_sub(run_time))
}

/// Free resources of the workers, in ascending order.
struct FreeResources<'a> {
    workers: BTreeMap<(Resources, Reverse<usize>), &'a Worker>,
    largest: Resources,
}

impl<'a> FreeResources<'a> {
    fn new(workers: &'a [Worker]) -> Self {
        let schedulable = workers.iter().enumerate().filter(|(_, worker)| worker.schedulable);
        let by_free: BTreeMap<_, _> =
            schedulable.map(|(at, worker)| ((worker.free, Reverse(at)), worker)).collect();
        let mut largest = Resources::default();
        for worker in workers {
            largest.accelerators = largest.accelerators.max(worker.free.accelerators);
            largest.millicores = largest.millicores.max(worker.free.millicores);
            largest.memory_mib = largest.memory_mib.max(worker.free.memory_mib);
        }
        Self { workers: by_free, largest }
    }

    /// Reserves resources on the best-fitting worker and returns its name.
    fn reserve(&mut self, resources: Resources, excluded: &[String]) -> Result<String, WaitReason> {
        if !resources.fits(self.largest) {
            return Err(WaitReason::TooLarge);
        }
        let first = (resources, Reverse(usize::MAX));
        let allowed =
            |(_, worker): &(&(Resources, Reverse<usize>), &&Worker)| !excluded.contains(&worker.id);
        let found = self
            .workers
            .range(first..)
            .filter(|((free, _), _)| resources.fits(*free))
            .find(allowed)
            .map(|(key, worker)| (*key, *worker));
        let ((free, at), worker) = found.ok_or(WaitReason::Room)?;
        self.workers.remove(&(free, at));
        self.workers.insert((free.minus(resources), at), worker);
        Ok(worker.id.clone())
    }
}
