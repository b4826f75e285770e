//! Maintenance waves: which of the waiting instances are drained next.

use std::cmp::Reverse;

use indexmap::IndexMap;

use crate::budget::{DrainRefusal, check_budgets};
use crate::instance::{Availability, Fleet, FleetCounts, FleetInstance};

/// Decision about one waiting instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainDecision {
    /// Name of the instance.
    pub id: String,
    /// `Ok` if the instance is drained now, else the reason why not.
    pub verdict: Result<(), DrainRefusal>,
}

/// Decides for every waiting instance whether it is drained now.
///
/// A step drains as many instances of a service as its budget allows to be down at once. The
/// service with the most remaining steps goes first, because it determines when the wave ends.
/// Within a service, the rack with the most waiting instances goes first, so that a step touches
/// as few failure domains as possible.
///
/// # Examples
///
/// ```
/// use plan::{Availability, Fleet, FleetInstance, Operation, next_step};
/// let text = "customer: c\ndown: 2\nservices:\n  - {name: s, pool: p, held: 1, down: 1}\n";
/// let contract = fleet::file::parse("c.yaml", text).unwrap();
/// let instance = |id: &str| FleetInstance {
///     id: id.into(),
///     pool: "p".into(),
///     centre: "dc1".into(),
///     rack: "r1".into(),
///     availability: Availability::Serving,
///     pending: Some(Operation::Maintenance),
/// };
/// let instances = [instance("a"), instance("b"), instance("c")];
/// let decisions = next_step(Fleet { contract: &contract, instances: &instances });
/// assert_eq!(decisions.iter().filter(|decision| decision.verdict.is_ok()).count(), 1);
/// ```
pub fn next_step(fleet: Fleet<'_>) -> Vec<DrainDecision> {
    let mut counts = fleet.counts();
    let mut queues = waiting_queues(fleet);
    let mut decisions = Vec::new();
    // Each granted drain changes which service has the most remaining steps.
    while let Some((queue, verdict)) = next_queue(fleet, &counts, &mut queues) {
        let Some(instance) = queue.pop() else { break };
        decisions.push(DrainDecision { id: instance.id.clone(), verdict });
        counts.record_stop(instance);
    }
    for instance in queues.into_values().flatten().rev() {
        let verdict = check_budgets(fleet, &counts, instance);
        decisions.push(DrainDecision { id: instance.id.clone(), verdict });
    }
    decisions
}

/// Returns the waiting instances by pool, the next one to drain at the end.
fn waiting_queues(fleet: Fleet<'_>) -> IndexMap<&str, Vec<&FleetInstance>> {
    let waiting = || {
        fleet
            .instances
            .iter()
            .filter(|each| each.pending.is_some() && each.availability != Availability::Stopped)
    };
    let mut racks: IndexMap<(&str, &str), usize> = IndexMap::new();
    for instance in waiting() {
        *racks.entry((&instance.pool, &instance.rack)).or_default() += 1;
    }
    let mut queues: IndexMap<&str, Vec<&FleetInstance>> = IndexMap::new();
    for instance in waiting() {
        queues.entry(&instance.pool).or_default().push(instance);
    }
    for queue in queues.values_mut() {
        queue.sort_by_key(|instance| {
            let on_rack = racks[&(instance.pool.as_str(), instance.rack.as_str())];
            (
                instance.availability == Availability::Serving,
                on_rack,
                Reverse((&instance.rack, &instance.id)),
            )
        });
    }
    queues
}

/// Returns the queue with the most remaining steps whose next instance may be drained.
fn next_queue<'l, 'a>(
    fleet: Fleet<'a>,
    counts: &FleetCounts<'a>,
    queues: &'l mut IndexMap<&'a str, Vec<&'a FleetInstance>>,
) -> Option<(&'l mut Vec<&'a FleetInstance>, Result<(), DrainRefusal>)> {
    let steps = |queue: &Vec<&FleetInstance>| {
        let service = queue.last().and_then(|instance| fleet.service(instance));
        queue.len().div_ceil(service.map_or(1, |service| service.max_down.max(1) as usize))
    };
    let permitted = queues.values_mut().filter(|queue| {
        queue.last().is_some_and(|instance| check_budgets(fleet, counts, instance).is_ok())
    });
    permitted.max_by_key(|queue| steps(queue)).map(|queue| (queue, Ok(())))
}

/// Returns the fewest steps in which every instance can be stopped once, if none is lost.
///
/// This is a lower bound for any policy. Each step stops at most `max_down` instances of the
/// customer, and of each service at most its own `max_down` or its instances beyond `held`.
pub fn min_steps(fleet: Fleet<'_>) -> usize {
    let counts = fleet.counts();
    let steps = fleet.contract.services.iter().map(|service| {
        let pool = counts.pool(&service.pool);
        let all = pool.serving + pool.down;
        let spare = all.saturating_sub(service.held as usize);
        all.div_ceil((service.max_down as usize).min(spare).max(1))
    });
    let customer_steps = fleet.instances.len().div_ceil(fleet.contract.max_down.max(1) as usize);
    steps.max().unwrap_or(0).max(customer_steps)
}
