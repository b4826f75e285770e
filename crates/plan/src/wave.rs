//! Waves: which of the waiting instances go down next.

use std::cmp::Reverse;

use crate::budget::{Reason, check};
use crate::unit::{Fleet, Unit, Up};

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
    let mut units = fleet.units.to_vec();
    let mut choices = Vec::new();
    let mut open: Vec<usize> = (0..units.len())
        .filter(|at| units[*at].need.is_some() && units[*at].up != Up::Stopped)
        .collect();
    while let Some(at) = first(Fleet { contract: fleet.contract, units: &units }, &open) {
        open.retain(|other| *other != at);
        let verdict = check(Fleet { contract: fleet.contract, units: &units }, &units[at]);
        if verdict.is_ok() {
            units[at].up = Up::Stopped;
        }
        choices.push(Choice { id: units[at].id.clone(), verdict });
    }
    choices
}

fn first(fleet: Fleet<'_>, open: &[usize]) -> Option<usize> {
    let units = fleet.units;
    let steps = |unit: &Unit| {
        let waiting = open.iter().filter(|at| units[**at].pool == unit.pool).count();
        let width = fleet.service(unit).map_or(1, |service| service.down.max(1));
        waiting.div_ceil(width as usize)
    };
    let rack = |unit: &Unit| {
        let same = |at: &&usize| units[**at].pool == unit.pool && units[**at].rack == unit.rack;
        open.iter().filter(same).count()
    };
    open.iter().copied().max_by_key(|at| {
        let unit = &units[*at];
        (steps(unit), rack(unit), Reverse(unit.id.as_str()))
    })
}
