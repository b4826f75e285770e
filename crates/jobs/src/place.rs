//! Placement: the choice of the executor for a task.
//!
//! Load pattern: demand moves from pool to pool within seconds, as many small tasks and some large
//! ones that come in groups. A task goes to the executor with the least CPU left over (best
//! fit). Whole executors then stay idle while a pool has spare capacity, and can move at once when
//! the demand of another pool rises. For the same reason, executors with long-running tasks, which
//! can't move so soon, are filled first. The rack that holds the task's data has precedence over
//! both. Best-effort tasks are placed the other way round, where the most CPU is left.

use crate::job::Step;
use crate::worker::{Resources, Worker};

/// Whether a task of a step may run on a worker, regardless of free resources.
///
/// `assigned` is the number of tasks of the step that the worker already has.
pub fn is_eligible(step: &Step, worker: &Worker, assigned: u32) -> bool {
    let has_label = step
        .required_label
        .as_ref()
        .is_none_or(|label| worker.registration.labels.iter().any(|l| l == label));
    has_label && (step.max_per_executor == 0 || assigned < step.max_per_executor)
}

/// Resources that a task of a step occupies on an executor.
///
/// Best-effort tasks reserve no CPU, since they use only what other tasks leave free.
pub fn required_resources(step: &Step) -> Resources {
    if step.best_effort { Resources { cpu: 0, ..step.resources } } else { step.resources }
}

/// Fewest executors with a capacity on which the tasks of some steps fit.
///
/// The largest tasks are placed first, each on the first executor with room, which is close to the
/// optimum. Tasks that are larger than an executor count by their limit per executor only.
///
/// # Examples
///
/// ```
/// use jobs::{Resources, Step};
/// let capacity = Resources { cpu: 32_000, memory: 64_000, gpus: 0 };
/// let step = |count, memory| {
///     let resources = Resources { cpu: 1_000, memory, gpus: 0 };
///     Step { count, resources, ..Step::default() }
/// };
/// let (large, small) = (step(2, 34_000), step(6, 10_000));
/// assert_eq!(jobs::place::executors_needed(&[&small, &large], capacity), 2);
/// ```
pub fn executors_needed(steps: &[&Step], capacity: Resources) -> usize {
    let mut steps: Vec<&Step> = steps.to_vec();
    steps.sort_by_key(|step| tasks_that_fit(capacity, step));
    let mut free: Vec<Resources> = Vec::new();
    let mut least = 0;
    for step in steps {
        if step.max_per_executor > 0 {
            least = least.max(step.count.div_ceil(step.max_per_executor) as usize);
        }
        let need = required_resources(step);
        let mut left = u64::from(step.count);
        if !capacity.fits(need) {
            continue;
        }
        for room in &mut free {
            let placed = tasks_that_fit(*room, step).min(left);
            *room = room.minus(need.times(placed));
            left -= placed;
        }
        while left > 0 {
            let placed = tasks_that_fit(capacity, step).min(left);
            free.push(capacity.minus(need.times(placed)));
            left -= placed;
        }
    }
    least.max(free.len())
}

/// Number of tasks of a step that fit into free resources of an executor without others of them.
fn tasks_that_fit(free: Resources, step: &Step) -> u64 {
    let need = required_resources(step);
    let by_amount = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
    let limit = if step.max_per_executor == 0 { u64::MAX } else { step.max_per_executor.into() };
    by_amount(free.cpu, need.cpu)
        .min(by_amount(free.memory, need.memory))
        .min(by_amount(free.gpus, need.gpus))
        .min(limit)
}

/// Score of a worker for a step's task; larger is better, `None` if the task does not fit.
///
/// `rack` is the rack of the step's other tasks, preferred for a step with `same_rack`.
pub fn score(step: &Step, worker: &Worker, rack: Option<&str>) -> Option<u64> {
    let need = required_resources(step);
    if !worker.has_room(need) {
        return None;
    }
    let in_rack = match (step.data_rack.as_deref(), rack) {
        (Some(wanted), _) => worker.registration.labels.iter().any(|l| l == wanted),
        (None, Some(wanted)) if step.same_rack => worker.rack() == Some(wanted),
        _ => true,
    };
    let max_cpu = u64::from(u32::MAX);
    let cpu_left = worker.free().minus(need).cpu.min(max_cpu);
    // Best-effort tasks need free CPU time, and slow serving tasks down.
    let (preferred, fit) = if step.best_effort {
        (worker.long_running == 0, cpu_left)
    } else {
        (worker.long_running > 0, max_cpu - cpu_left)
    };
    Some((u64::from(in_rack) << 41) | (u64::from(preferred) << 40) | fit)
}
