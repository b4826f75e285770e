//! Choice of the executor for a task.
//!
//! Load pattern: demand that moves from pool to pool within seconds, in many small tasks and some
//! large ones that come in groups. A task goes where least processor stays free, so that whole
//! executors are idle while a pool has less work than it holds, and can leave at once when another
//! pool's turn begins; the rack that holds its data goes before that. For the same reason all tasks
//! go first to executors that have lasting tasks, which can't leave so soon. Fillers go the other
//! way, to where most is left for them.

use crate::job::Step;
use crate::worker::{Resources, Worker};

/// Whether a step's task may run on a worker, room aside.
///
/// `here` is the number of tasks of the step that the worker already has.
pub fn is_eligible(step: &Step, worker: &Worker, here: u32) -> bool {
    let labelled = step
        .required_label
        .as_ref()
        .is_none_or(|label| worker.registration.labels.iter().any(|l| l == label));
    labelled && (step.max_per_executor == 0 || here < step.max_per_executor)
}

/// What a step's task takes of an executor's room.
///
/// Fillers use what the others leave of the processor, so only their memory counts.
pub fn required_resources(step: &Step) -> Resources {
    if step.best_effort { Resources { cpu: 0, ..step.resources } } else { step.resources }
}

/// How good a worker is for a step; larger is better, `None` when it has no room.
///
/// `rack` is where the other tasks of a step that wants to stay together stand.
pub fn score(step: &Step, worker: &Worker, rack: Option<&str>) -> Option<u64> {
    let need = required_resources(step);
    if !worker.free().fits(need) {
        return None;
    }
    let near = match (step.data_rack.as_deref(), rack) {
        (Some(want), _) => worker.registration.labels.iter().any(|l| l == want),
        (None, Some(want)) if step.same_rack => worker.rack() == Some(want),
        _ => true,
    };
    let most = u64::from(u32::MAX);
    let left = worker.free().minus(need).cpu.min(most);
    // Fillers live on what others leave, and disturb those that serve.
    let (settled, rest) = if step.best_effort {
        (worker.long_running == 0, left)
    } else {
        (worker.long_running > 0, most - left)
    };
    Some((u64::from(near) << 41) | (u64::from(settled) << 40) | rest)
}
