//! Which machines of a maintenance wave go down next.
//!
//! Load pattern: a wave names up to half of all machines, few of which may be down at once, and
//! its deadline leaves little more than the sum of the stops. So the machines that follow are
//! emptied while the ones before them are down.

use indexmap::IndexMap;

/// A maintenance wave as the operator ordered it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Wave {
    /// Its number.
    pub number: u64,
    /// Machines to stop once each.
    pub machines: Vec<String>,
    /// Most machines down for it at once.
    pub most: usize,
    /// Time from the order to its end, in milliseconds.
    pub within: u64,
}

/// Where a machine stands in its wave.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "lowercase")]
pub enum Stage {
    /// Nothing has been done.
    #[default]
    Due,
    /// Its executor was asked to empty.
    Emptying,
    /// It was ordered down, or may have been.
    Down,
    /// It is back.
    Done,
}

/// What to do for a wave now.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Steps {
    /// Machines to begin emptying.
    pub empty: Vec<String>,
    /// Machines that are empty and may go down.
    pub down: Vec<String>,
    /// Whether every machine is done or gone.
    pub complete: bool,
}

/// Machines emptied ahead of the ones that may be down; a stop takes about as long as two of the
/// usual tasks, so twice the limit keeps the next ones empty in time.
const AHEAD: usize = 2;

/// Decides the next steps of a wave.
///
/// `empty` tells whether an emptied machine runs nothing any more.
pub fn next(wave: &Wave, stages: &IndexMap<String, Stage>, empty: &dyn Fn(&str) -> bool) -> Steps {
    let stage = |m: &String| stages.get(m).copied().unwrap_or_default();
    let at = |s: Stage| wave.machines.iter().filter(move |m| stage(m) == s);
    let most = wave.most.max(1);
    let mut room = most.saturating_sub(at(Stage::Down).count());
    let mut steps = Steps::default();
    for machine in at(Stage::Emptying).filter(|m| empty(m)) {
        if room == 0 {
            break;
        }
        room -= 1;
        steps.down.push(machine.clone());
    }
    let begun = at(Stage::Emptying).count() + at(Stage::Down).count();
    let more = (most * AHEAD).max(most + 1).saturating_sub(begun);
    steps.empty = at(Stage::Due).take(more).cloned().collect();
    steps.complete = wave.machines.iter().all(|m| stage(m) == Stage::Done);
    steps
}
