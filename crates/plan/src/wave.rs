//! Waves: which of the waiting instances go down next.

use std::cmp::Reverse;

use indexmap::IndexMap;

use crate::budget::{DrainRefusal, check_budgets};
use crate::instance::{Availability, Fleet, FleetCounts, FleetInstance};

/// A decision about one waiting instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainDecision {
    /// Name of the instance.
    pub id: String,
    /// Whether it goes down now, or why not.
    pub verdict: Result<(), DrainRefusal>,
}

/// Decides for every waiting instance whether it goes down now.
///
/// The service with the most steps still to go is served first, since it ends last; within a
/// service the fullest rack goes first, so that a wave overlaps with as few domains as it can.
///
/// # Examples
///
/// ```
/// use plan::{Fleet, Operation, FleetInstance, Availability, next_wave};
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
/// let choices = next_wave(Fleet { contract: &contract, instances: &instances });
/// assert_eq!(choices.iter().filter(|choice| choice.verdict.is_ok()).count(), 1);
/// ```
pub fn next_wave(fleet: Fleet<'_>) -> Vec<DrainDecision> {
    let mut counts = fleet.counts();
    let mut lines = lines(fleet);
    let mut choices = Vec::new();
    // Every permit that is given changes which service has the most steps to go.
    while let Some((line, verdict)) = first(fleet, &counts, &mut lines) {
        let Some(instance) = line.pop() else { break };
        choices.push(DrainDecision { id: instance.id.clone(), verdict });
        counts.record_stop(instance);
    }
    for instance in lines.into_values().flatten().rev() {
        let verdict = check_budgets(fleet, &counts, instance);
        choices.push(DrainDecision { id: instance.id.clone(), verdict });
    }
    choices
}

/// Waiting instances by pool, the next one last.
fn lines(fleet: Fleet<'_>) -> IndexMap<&str, Vec<&FleetInstance>> {
    let waiting = || {
        fleet.instances.iter().filter(|instance| {
            instance.pending.is_some() && instance.availability != Availability::Stopped
        })
    };
    let mut racks: IndexMap<(&str, &str), usize> = IndexMap::new();
    for instance in waiting() {
        *racks.entry((&instance.pool, &instance.rack)).or_default() += 1;
    }
    let mut lines: IndexMap<&str, Vec<&FleetInstance>> = IndexMap::new();
    for instance in waiting() {
        lines.entry(&instance.pool).or_default().push(instance);
    }
    for line in lines.values_mut() {
        line.sort_by_key(|instance| {
            let rack = racks[&(instance.pool.as_str(), instance.rack.as_str())];
            (
                instance.availability == Availability::Serving,
                rack,
                Reverse((&instance.rack, &instance.id)),
            )
        });
    }
    lines
}

/// The line with the most steps to go among those whose next instance may go down.
fn first<'l, 'a>(
    fleet: Fleet<'a>,
    counts: &FleetCounts<'a>,
    lines: &'l mut IndexMap<&'a str, Vec<&'a FleetInstance>>,
) -> Option<(&'l mut Vec<&'a FleetInstance>, Result<(), DrainRefusal>)> {
    let steps = |line: &Vec<&FleetInstance>| {
        let service = line.last().and_then(|instance| fleet.service(instance));
        line.len().div_ceil(service.map_or(1, |service| service.max_down.max(1) as usize))
    };
    let permitted = lines.values_mut().filter(|line| {
        line.last().is_some_and(|instance| check_budgets(fleet, counts, instance).is_ok())
    });
    permitted.max_by_key(|line| steps(line)).map(|line| (line, Ok(())))
}

/// Fewest steps in which every instance could have its stop, if none is lost.
///
/// No policy can do with less: each step stops at most the customer's `down` instances, and of each
/// service at most its own `down` or what it has beyond those held.
pub fn min_steps(fleet: Fleet<'_>) -> usize {
    let counts = fleet.counts();
    let steps = fleet.contract.services.iter().map(|service| {
        let count = counts.pool(&service.pool);
        let all = count.serving + count.down;
        let spare = all.saturating_sub(service.held as usize);
        all.div_ceil((service.max_down as usize).min(spare).max(1))
    });
    let together = fleet.instances.len().div_ceil(fleet.contract.max_down.max(1) as usize);
    steps.max().unwrap_or(0).max(together)
}
