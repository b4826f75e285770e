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
    pub max_down: usize,
    /// Time from the order to its end, in milliseconds.
    pub time_limit: u64,
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
pub struct WaveSteps {
    /// Machines to begin emptying.
    pub start_emptying: Vec<String>,
    /// Machines that are empty and may go down.
    pub take_down: Vec<String>,
    /// Whether every machine is done or gone.
    pub complete: bool,
}

/// What is known of a machine that was ordered down, or may have been, and is listed as up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedMachine {
    /// Whether an order of this holder was taken, and if so, whether the list is later.
    pub order_taken: Option<bool>,
    /// Whether an earlier holder may have ordered it just now.
    pub recently_ordered: bool,
    /// Whether its executor is the one that was emptied, or it has none.
    pub still_empty: bool,
}

/// What follows for such a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextAction {
    /// Nothing for now.
    Wait,
    /// It is done.
    Done,
    /// The order goes out again: it is taken at once if it was carried out before.
    RepeatOrder,
    /// Whether its stop is over is not known, and another executor may have work by now.
    EmptyAgain,
}

impl ListedMachine {
    /// Decides what follows.
    ///
    /// # Examples
    ///
    /// ```
    /// use jobs::wave::{ListedMachine, NextAction};
    /// let seen = ListedMachine { order_taken: None, recently_ordered: false, still_empty: true };
    /// assert_eq!(seen.next_action(), NextAction::RepeatOrder);
    /// assert_eq!(ListedMachine { still_empty: false, ..seen }.next_action(), NextAction::EmptyAgain);
    /// assert_eq!(ListedMachine { order_taken: Some(true), ..seen }.next_action(), NextAction::Done);
    /// ```
    pub fn next_action(self) -> NextAction {
        match self.order_taken {
            Some(true) => NextAction::Done,
            Some(false) => NextAction::Wait,
            None if self.recently_ordered => NextAction::Wait,
            None if self.still_empty => NextAction::RepeatOrder,
            None => NextAction::EmptyAgain,
        }
    }
}

/// Time that a machine's emptying and stop take, in milliseconds; the stop itself is about half.
const MACHINE_CYCLE_MS: u64 = 4_000;
/// Part of the time from the order to the deadline that is planned with, in percent; the rest is
/// for machines that can't be emptied at once.
const PLANNED_TIME_PERCENT: u64 = 65;

/// Decides the next steps of a wave, `elapsed` milliseconds after its order.
///
/// Only as many machines are taken at once as the deadline asks for, those with the least `cost`
/// first. `empty` tells whether an emptied machine runs nothing any more.
pub fn plan_steps(
    wave: &Wave,
    stages: &IndexMap<String, Stage>,
    elapsed: u64,
    empty: &dyn Fn(&str) -> bool,
    cost: &dyn Fn(&str) -> u64,
) -> WaveSteps {
    let stage = |m: &String| stages.get(m).copied().unwrap_or_default();
    let at = |s: Stage| wave.machines.iter().filter(move |m| stage(m) == s);
    let most = wave.max_down.max(1);
    let mut room = most.saturating_sub(at(Stage::Down).count());
    let mut steps = WaveSteps::default();
    for machine in at(Stage::Emptying).filter(|m| empty(m)) {
        if room == 0 {
            break;
        }
        room -= 1;
        steps.take_down.push(machine.clone());
    }
    let left = (wave.time_limit * PLANNED_TIME_PERCENT / 100)
        .saturating_sub(elapsed)
        .max(MACHINE_CYCLE_MS);
    let open = wave.machines.iter().filter(|m| stage(m) != Stage::Done).count();
    let pace = (open as u64 * MACHINE_CYCLE_MS).div_ceil(left);
    let pace = usize::try_from(pace).unwrap_or(usize::MAX).min(most + 1);
    let begun = at(Stage::Emptying).count() + at(Stage::Down).count();
    let mut due: Vec<&String> = at(Stage::Due).collect();
    due.sort_by_key(|m| cost(m));
    steps.start_emptying = due.into_iter().take(pace.saturating_sub(begun)).cloned().collect();
    steps.complete = open == 0;
    steps
}
