//! Placement of jobs on workers: urgent first, then by deadline, under the teams' quotas.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use fleet::{Team, Urgency};

/// Largest factor by which declared sizes and times are corrected.
const LARGEST_FACTOR: f64 = 16.0;
/// Usage reports that a correction needs.
const LEAST_REPORTS: usize = 3;

/// Processor cores, memory and accelerators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Resources {
    /// Accelerators; scarcest, so they come first in comparisons.
    pub accelerators: u32,
    /// Cores, in thousandths.
    pub millicores: u32,
    /// Memory, in MiB.
    pub memory_mib: u32,
}

/// A worker and what is free on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Worker {
    /// Name of the worker.
    pub id: String,
    /// What is free.
    pub free: Resources,
    /// Whether it may get jobs.
    pub schedulable: bool,
}

/// A job that waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Name of the job.
    pub id: String,
    /// Team that pays for it.
    pub team: String,
    /// Kind of work, whose earlier runs tell of this one.
    pub kind: String,
    /// Whether it can wait.
    pub urgency: Urgency,
    /// Resources that was declared.
    pub resources: Resources,
    /// Run time that was declared.
    pub run_time: Duration,
    /// Time until which it has to be finished, from now.
    pub deadline: Option<Duration>,
    /// Workers that it failed on.
    pub excluded_workers: Vec<String>,
}

/// What one earlier run of a kind used against what it had declared.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UsageReport {
    /// Used over declared memory and cores, the larger.
    pub resource_ratio: f64,
    /// Taken over declared run time.
    pub time_ratio: f64,
}

/// CorrectionFactors for the declared sizes and times of one kind.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CorrectionFactors {
    /// For sizes.
    pub resources: f64,
    /// For run times.
    pub run_time: f64,
}

/// A job that starts now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// Job.
    pub job: String,
    /// Worker.
    pub worker: String,
    /// What is taken on the worker.
    pub resources: Resources,
}

/// Why a job waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum WaitReason {
    /// Its team has used up its quota.
    Quota,
    /// No worker has room for it now.
    Room,
    /// No worker, were it empty, has room for it.
    TooLarge,
    /// Its team is in no contract.
    NoTeam,
}

/// What was decided about the queue.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Placement {
    /// Jobs that start.
    pub assignments: Vec<Assignment>,
    /// Jobs that wait, and why.
    pub waiting: Vec<(String, WaitReason)>,
}

impl Resources {
    /// Whether this fits into `room`.
    pub fn fits(self, room: Self) -> bool {
        self.accelerators <= room.accelerators
            && self.millicores <= room.millicores
            && self.memory_mib <= room.memory_mib
    }

    fn minus(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators - other.accelerators,
            millicores: self.millicores - other.millicores,
            memory_mib: self.memory_mib - other.memory_mib,
        }
    }

    /// Sizes with cores and memory times a factor; accelerators are whole and not corrected.
    fn scaled_by(self, factor: f64) -> Self {
        let scaled =
            |value: u32| (f64::from(value) * factor).ceil().min(f64::from(u32::MAX)) as u32;
        Self { millicores: scaled(self.millicores), memory_mib: scaled(self.memory_mib), ..self }
    }
}

/// Corrects declared sizes and times by what earlier runs of the kind used.
///
/// The ninth of ten reports decides, so that one wild report does not; too few reports change
/// nothing.
///
/// # Examples
///
/// ```
/// use plan::place::{UsageReport, correction_factors};
/// let reports: Vec<UsageReport> = (0..10).map(|_| UsageReport { resource_ratio: 2.0, time_ratio: 3.0 }).collect();
/// assert_eq!(correction_factors(&reports).run_time, 3.0);
/// assert_eq!(correction_factors(&reports[..2]).run_time, 1.0);
/// ```
pub fn correction_factors(reports: &[UsageReport]) -> CorrectionFactors {
    if reports.len() < LEAST_REPORTS {
        return CorrectionFactors { resources: 1.0, run_time: 1.0 };
    }
    let ninth = |value: fn(&UsageReport) -> f64| {
        let mut values: Vec<f64> = reports.iter().map(value).collect();
        values.sort_by(f64::total_cmp);
        let at = (values.len() * 9).div_ceil(10) - 1;
        values[at].clamp(1.0 / LARGEST_FACTOR, LARGEST_FACTOR)
    };
    CorrectionFactors {
        resources: ninth(|report| report.resource_ratio),
        run_time: ninth(|report| report.time_ratio),
    }
}

/// Removes cancelled jobs from the queue in one pass; gives how many there were.
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

/// Places the queue on the workers.
///
/// Urgent jobs go first, then those whose latest start is nearest. Each takes the fullest worker
/// that it fits on, which keeps room for large jobs together. `used` is what each team's running
/// jobs take.
pub fn place(
    workers: &[Worker],
    queue: &[Job],
    teams: &[Team],
    used: &HashMap<String, Resources>,
    known: &HashMap<String, CorrectionFactors>,
) -> Placement {
    let mut rooms = Rooms::open(workers);
    let mut quotas: HashMap<&str, Resources> =
        teams.iter().map(|team| (team.name.as_str(), quota(team, used))).collect();
    let plain = CorrectionFactors { resources: 1.0, run_time: 1.0 };
    let factors = |job: &Job| known.get(&job.kind).copied().unwrap_or(plain);
    let mut order: Vec<&Job> = queue.iter().collect();
    order.sort_by_cached_key(|job| (job.urgency, latest_start(job, factors(job)), job.id.clone()));
    let mut placement = Placement::default();
    for job in order {
        let size = job.resources.scaled_by(factors(job).resources);
        let Some(quota) = quotas.get_mut(job.team.as_str()) else {
            placement.waiting.push((job.id.clone(), WaitReason::NoTeam));
            continue;
        };
        let paid = Resources { memory_mib: 0, ..size };
        if !paid.fits(*quota) {
            placement.waiting.push((job.id.clone(), WaitReason::Quota));
            continue;
        }
        match rooms.take(size, &job.excluded_workers) {
            Ok(worker) => {
                *quota = quota.minus(paid);
                placement.assignments.push(Assignment {
                    job: job.id.clone(),
                    worker,
                    resources: size,
                });
            }
            Err(wait) => placement.waiting.push((job.id.clone(), wait)),
        }
    }
    placement
}

fn quota(team: &Team, used: &HashMap<String, Resources>) -> Resources {
    let used = used.get(&team.name).copied().unwrap_or_default();
    Resources {
        accelerators: team.accelerators.saturating_sub(used.accelerators),
        millicores: (team.cores.saturating_mul(1_000)).saturating_sub(used.millicores),
        memory_mib: u32::MAX,
    }
}

/// Latest moment, from now, at which the job may start and still meet its deadline.
fn latest_start(job: &Job, factors: CorrectionFactors) -> Duration {
    let run = job.run_time.mul_f64(factors.run_time);
    job.deadline.map_or(Duration::MAX, |deadline| deadline.saturating_sub(run))
}

/// Free room of workers, ordered so that the fullest comes first.
struct Rooms<'a> {
    free: BTreeMap<(Resources, Reverse<usize>), &'a Worker>,
    largest: Resources,
}

impl<'a> Rooms<'a> {
    fn open(workers: &'a [Worker]) -> Self {
        let usable = workers.iter().enumerate().filter(|(_, worker)| worker.schedulable);
        let free: BTreeMap<_, _> =
            usable.map(|(at, worker)| ((worker.free, Reverse(at)), worker)).collect();
        let mut largest = Resources::default();
        for worker in workers {
            largest.accelerators = largest.accelerators.max(worker.free.accelerators);
            largest.millicores = largest.millicores.max(worker.free.millicores);
            largest.memory_mib = largest.memory_mib.max(worker.free.memory_mib);
        }
        Self { free, largest }
    }

    fn take(&mut self, size: Resources, avoid: &[String]) -> Result<String, WaitReason> {
        if !size.fits(self.largest) {
            return Err(WaitReason::TooLarge);
        }
        let from = (size, Reverse(usize::MAX));
        let fitting =
            |(_, worker): &(&(Resources, Reverse<usize>), &&Worker)| !avoid.contains(&worker.id);
        let found = self
            .free
            .range(from..)
            .filter(|((free, _), _)| size.fits(*free))
            .find(fitting)
            .map(|(key, worker)| (*key, *worker));
        let ((free, at), worker) = found.ok_or(WaitReason::Room)?;
        self.free.remove(&(free, at));
        self.free.insert((free.minus(size), at), worker);
        Ok(worker.id.clone())
    }
}
