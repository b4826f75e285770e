//! Waves: which of the waiting instances go down next.

use std::cmp::Reverse;

use indexmap::IndexMap;

use crate::budget::{Reason, check};
use crate::unit::{Fleet, Tally, Unit, Up};

/// A decision about one waiting instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// Name of the instance.
    pub id: String,
    /// Whether it goes down now, or why not.
    pub verdict: Result<(), Reason>,
}

/// Decides for every waiting instance whether it goes down now.
///
/// The service with the most steps still to go is served first, since it ends last; within a
/// service the fullest rack goes first, so that a wave overlaps with as few domains as it can.
///
/// # Examples
///
/// ```
/// use plan::{Fleet, Need, Unit, Up, next};
/// let text = "customer: c\ndown: 2\nservices:\n  - {name: s, pool: p, held: 1, down: 1}\n";
/// let contract = fleet::file::parse("c.yaml", text).unwrap();
/// let unit = |id: &str| Unit {
///     id: id.into(),
///     pool: "p".into(),
///     centre: "dc1".into(),
///     rack: "r1".into(),
///     up: Up::Serving,
///     need: Some(Need::Maintain),
/// };
/// let units = [unit("a"), unit("b"), unit("c")];
/// let choices = next(Fleet { contract: &contract, units: &units });
/// assert_eq!(choices.iter().filter(|choice| choice.verdict.is_ok()).count(), 1);
/// ```
pub fn next(fleet: Fleet<'_>) -> Vec<Choice> {
    let mut tally = fleet.tally();
    let mut lines = lines(fleet);
    let mut choices = Vec::new();
    // Every permit that is given changes which service has the most steps to go.
    while let Some((line, verdict)) = first(fleet, &tally, &mut lines) {
        let Some(unit) = line.pop() else { break };
        choices.push(Choice { id: unit.id.clone(), verdict });
        tally.stop(unit);
    }
    for unit in lines.into_values().flatten().rev() {
        let verdict = check(fleet, &tally, unit);
        choices.push(Choice { id: unit.id.clone(), verdict });
    }
    choices
}

/// Waiting instances by pool, the next one last.
fn lines(fleet: Fleet<'_>) -> IndexMap<&str, Vec<&Unit>> {
    let waiting =
        || fleet.units.iter().filter(|unit| unit.need.is_some() && unit.up != Up::Stopped);
    let mut racks: IndexMap<(&str, &str), usize> = IndexMap::new();
    for unit in waiting() {
        *racks.entry((&unit.pool, &unit.rack)).or_default() += 1;
    }
    let mut lines: IndexMap<&str, Vec<&Unit>> = IndexMap::new();
    for unit in waiting() {
        lines.entry(&unit.pool).or_default().push(unit);
    }
    for line in lines.values_mut() {
        line.sort_by_key(|unit| {
            let rack = racks[&(unit.pool.as_str(), unit.rack.as_str())];
            (unit.up == Up::Serving, rack, Reverse((&unit.rack, &unit.id)))
        });
    }
    lines
}

/// The line with the most steps to go among those whose next instance may go down.
fn first<'l, 'a>(
    fleet: Fleet<'a>,
    tally: &Tally<'a>,
    lines: &'l mut IndexMap<&'a str, Vec<&'a Unit>>,
) -> Option<(&'l mut Vec<&'a Unit>, Result<(), Reason>)> {
    let steps = |line: &Vec<&Unit>| {
        let service = line.last().and_then(|unit| fleet.service(unit));
        line.len().div_ceil(service.map_or(1, |service| service.down.max(1) as usize))
    };
    let permitted = lines
        .values_mut()
        .filter(|line| line.last().is_some_and(|unit| check(fleet, tally, unit).is_ok()));
    permitted.max_by_key(|line| steps(line)).map(|line| (line, Ok(())))
}

/// Fewest steps in which every instance could have its stop, if none is lost.
///
/// No policy can do with less: each step stops at most the customer's `down` instances, and of each
/// service at most its own `down` or what it has beyond those held.
pub fn least_steps(fleet: Fleet<'_>) -> usize {
    let tally = fleet.tally();
    let steps = fleet.contract.services.iter().map(|service| {
        let count = tally.pool(&service.pool);
        let all = count.serving + count.down;
        let spare = all.saturating_sub(service.held as usize);
        all.div_ceil((service.down as usize).min(spare).max(1))
    });
    let together = fleet.units.len().div_ceil(fleet.contract.down.max(1) as usize);
    steps.max().unwrap_or(0).max(together)
}
