//! Which machines of a maintenance wave go down next.
//!
//! Load pattern: a wave names up to half of all machines, few of which may be down at once, and
//! each of which is missed by the queue whose turn it is. So the machines are spread over the time
//! up to the deadline, idle ones first, and the next ones are emptied while others are down.

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

/// What is known of a machine that was ordered down, or may have been, and is listed as up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listed {
    /// Whether an order of this holder was taken, and if so, whether the list is later.
    pub taken: Option<bool>,
    /// Whether an earlier holder may have ordered it just now.
    pub fresh: bool,
    /// Whether its executor is the one that was emptied, or it has none.
    pub empty: bool,
}

/// What follows for such a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Nothing for now.
    Wait,
    /// It is done.
    Done,
    /// The order goes out again: it is taken at once if it was carried out before.
    Order,
    /// Whether its stop is over is not known, and another executor may have work by now.
    Empty,
}

impl Listed {
    /// Decides what follows.
    ///
    /// # Examples
    ///
    /// ```
    /// use jobs::wave::{Listed, Next};
    /// let seen = Listed { taken: None, fresh: false, empty: true };
    /// assert_eq!(seen.next(), Next::Order);
    /// assert_eq!(Listed { empty: false, ..seen }.next(), Next::Empty);
    /// assert_eq!(Listed { taken: Some(true), ..seen }.next(), Next::Done);
    /// ```
    pub fn next(self) -> Next {
        match self.taken {
            Some(true) => Next::Done,
            Some(false) => Next::Wait,
            None if self.fresh => Next::Wait,
            None if self.empty => Next::Order,
            None => Next::Empty,
        }
    }
}

/// Time that a machine's emptying and stop take, in milliseconds; the stop itself is about half.
const CYCLE: u64 = 4_000;
/// Part of the time from the order to the deadline that is planned with, in percent; the rest is
/// for machines that can't be emptied at once.
const PLANNED: u64 = 65;

/// Decides the next steps of a wave, `elapsed` milliseconds after its order.
///
/// Only as many machines are taken at once as the deadline asks for, those with the least `cost`
/// first. `empty` tells whether an emptied machine runs nothing any more.
pub fn next(
    wave: &Wave,
    stages: &IndexMap<String, Stage>,
    elapsed: u64,
    empty: &dyn Fn(&str) -> bool,
    cost: &dyn Fn(&str) -> u64,
) -> Steps {
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
    let left = (wave.within * PLANNED / 100).saturating_sub(elapsed).max(CYCLE);
    let open = wave.machines.iter().filter(|m| stage(m) != Stage::Done).count();
    let pace = (open as u64 * CYCLE).div_ceil(left);
    let pace = usize::try_from(pace).unwrap_or(usize::MAX).min(most + 1);
    let begun = at(Stage::Emptying).count() + at(Stage::Down).count();
    let mut due: Vec<&String> = at(Stage::Due).collect();
    due.sort_by_key(|m| cost(m));
    steps.empty = due.into_iter().take(pace.saturating_sub(begun)).cloned().collect();
    steps.complete = open == 0;
    steps
}
