//! Choice of the machines of a maintenance wave to take down next.
//!
//! Load pattern: a wave names up to half of all machines. Few may be down at once, and each of them
//! is lost capacity for the queue whose demand peaks. The stops are therefore spread over the time
//! up to the deadline, idle machines go first, and the next machines are emptied while others are
//! down. Machines that move between pools, are down or can't be emptied for a while must not hold up
//! the others. Machines with long-running tasks are planned apart from the others and begin early: most
//! tasks of a step have to keep working, so that these machines become empty one after the other.

use indexmap::IndexMap;

/// A maintenance wave, as ordered by the operator.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Wave {
    /// Number of the wave.
    pub number: u64,
    /// Machines, each to be stopped once.
    pub machines: Vec<String>,
    /// Most machines that the wave may have down at once.
    pub max_down: usize,
    /// Time from the operator's order to the deadline, in milliseconds.
    pub time_limit: u64,
}

/// Progress of a machine in its wave.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "lowercase")]
pub enum Stage {
    /// Not begun.
    #[default]
    Due,
    /// Its executor is being emptied.
    Emptying,
    /// The machine was ordered down, or the order may have been sent.
    Down,
    /// The machine is up again after its stop, or the platform no longer lists it.
    Done,
}

/// Next steps of a wave.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WaveSteps {
    /// Machines to begin emptying.
    pub start_emptying: Vec<String>,
    /// Empty machines to take down.
    pub take_down: Vec<String>,
    /// Whether every machine of the wave is done.
    pub complete: bool,
}

/// A machine in the stage [`Stage::Down`] that the platform lists as up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedMachine {
    /// `None` if no order of this holder was accepted; otherwise whether the list is newer than the
    /// acceptance.
    pub listed_after_order: Option<bool>,
    /// Whether the acceptance of an order is on record, by whichever holder.
    pub accepted: bool,
    /// Whether an order of a former holder may still be on its way.
    pub recently_ordered: bool,
    /// Whether its executor is still the one that was emptied, or it has no executor.
    pub still_empty: bool,
}

/// Next action for a [`ListedMachine`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextAction {
    /// Do nothing yet.
    Wait,
    /// Mark the machine as done.
    Done,
    /// Send the order again. The platform accepts it at once if it was carried out before.
    RepeatOrder,
    /// Empty the machine again: the outcome of the stop is unknown, and a new executor may have
    /// tasks by now.
    EmptyAgain,
}

impl ListedMachine {
    /// Decides the next action.
    ///
    /// # Examples
    ///
    /// ```
    /// use jobs::wave::{ListedMachine, NextAction};
    /// let seen = ListedMachine {
    ///     listed_after_order: None,
    ///     accepted: false,
    ///     recently_ordered: false,
    ///     still_empty: true,
    /// };
    /// assert_eq!(seen.next_action(), NextAction::RepeatOrder);
    /// let replaced = ListedMachine { still_empty: false, ..seen };
    /// assert_eq!(replaced.next_action(), NextAction::EmptyAgain);
    /// let back = ListedMachine { listed_after_order: Some(true), ..seen };
    /// assert_eq!(back.next_action(), NextAction::Done);
    /// let back = ListedMachine { accepted: true, ..replaced };
    /// assert_eq!(back.next_action(), NextAction::Done);
    /// ```
    pub fn next_action(self) -> NextAction {
        match self.listed_after_order {
            Some(true) => NextAction::Done,
            Some(false) => NextAction::Wait,
            // The accepted order has ended the executor that was emptied, and this is the next one.
            None if self.accepted && !self.still_empty => NextAction::Done,
            None if self.recently_ordered => NextAction::Wait,
            None if self.still_empty => NextAction::RepeatOrder,
            None => NextAction::EmptyAgain,
        }
    }
}

/// Time after which an order that the platform refused as the machine was busy is sent again, in
/// milliseconds. A machine that drains on its own may be busy for many seconds.
pub const BUSY_RETRY_MS: u64 = 1_000;

/// Returns the stage of a machine after its order was refused as the machine was busy.
///
/// A refused order was not carried out, so the machine takes none of the wave's slots. If the outcome
/// of another order is unknown, that order may be the reason, and the machine still counts as down.
///
/// # Examples
///
/// ```
/// use jobs::wave::{self, Stage};
/// assert_eq!(wave::after_refusal(false), Stage::Emptying);
/// assert_eq!(wave::after_refusal(true), Stage::Down);
/// ```
pub fn after_refusal(other_order_open: bool) -> Stage {
    if other_order_open { Stage::Down } else { Stage::Emptying }
}

/// Returns the stage by which a machine is planned.
///
/// A machine that is being emptied but can't go on (`stuck`: its order was refused as it was busy, it
/// is down, or it empties slowly) counts as not begun, so that the others of its wave do not wait for
/// it.
pub fn planned_stage(stage: Stage, stuck: bool) -> Stage {
    if stuck && stage == Stage::Emptying { Stage::Due } else { stage }
}

/// Time after which a machine that is not empty yet no longer holds a place of its wave, in
/// milliseconds; most machines are empty by then.
const SLOW_EMPTYING_MS: u64 = 1_500;

/// Returns whether a machine has been emptied for so long that others should begin meanwhile.
///
/// # Examples
///
/// ```
/// assert!(!jobs::wave::empties_slowly(900));
/// assert!(jobs::wave::empties_slowly(3_000));
/// ```
pub fn empties_slowly(emptying_for: u64) -> bool {
    emptying_for > SLOW_EMPTYING_MS
}

/// Cost of a machine that can't begin now, as it moves, is down or refuses its orders.
pub const CANNOT_BEGIN: u64 = u64::MAX;
/// Time to empty and stop a machine, in milliseconds; the stop itself takes about half of it.
const MACHINE_CYCLE_MS: u64 = 4_000;
/// Part of the wave's time limit to plan with, in percent; the rest is a reserve for machines that
/// can't be emptied at once.
const PLANNED_TIME_PERCENT: u64 = 65;

/// Returns the load of a pool that a machine would be missing from, in thousandths of its capacity.
///
/// `peak` is the rate of the next peak that is expected there and the time until its start in
/// milliseconds. It counts if it comes before the machine is back.
///
/// # Examples
///
/// ```
/// use jobs::wave::load_per_mille;
/// assert_eq!(load_per_mille(40_000, 800_000, None), 50);
/// assert_eq!(load_per_mille(40_000, 800_000, Some((1_200_000, 2_000))), 1_500);
/// assert_eq!(load_per_mille(40_000, 800_000, Some((1_200_000, 9_000))), 50);
/// ```
pub fn load_per_mille(arrival_rate: u64, capacity: u64, peak: Option<(u64, u64)>) -> u64 {
    let expected = peak.filter(|(_, starts_in)| *starts_in <= MACHINE_CYCLE_MS);
    let rate = arrival_rate.max(expected.map_or(0, |(rate, _)| rate));
    (rate * 1_000).checked_div(capacity).unwrap_or(1_000)
}

/// Time to empty and stop a machine with long-running tasks, in milliseconds: each task waits until
/// others of its step work again.
const LONG_RUNNING_CYCLE_MS: u64 = 8_000;
/// Part of the wave's time limit in which these machines are to be done, in percent, so that an outage
/// of some seconds leaves time for them.
const LONG_RUNNING_TIME_PERCENT: u64 = 50;

/// Number of machines to have in progress for `unfinished` machines that take `cycle` each.
fn in_progress_needed(unfinished: usize, cycle: u64, time_left: u64) -> usize {
    let needed = (unfinished as u64 * cycle).div_ceil(time_left.max(cycle));
    usize::try_from(needed).unwrap_or(usize::MAX)
}

/// Decides the next steps of a wave, `elapsed` milliseconds after its order.
///
/// Only as many machines are in progress at once as the deadline requires, and those with the least
/// `cost` go first; [`CANNOT_BEGIN`] leaves a machine out. `is_empty` returns whether a machine that
/// is being emptied has no runs left, and `has_long_running` whether long-running tasks have to leave
/// a machine that is not empty.
pub fn plan_steps(
    wave: &Wave,
    stages: &IndexMap<String, Stage>,
    elapsed: u64,
    is_empty: &dyn Fn(&str) -> bool,
    cost: &dyn Fn(&str) -> u64,
    has_long_running: &dyn Fn(&str) -> bool,
) -> WaveSteps {
    let stage = |m: &String| stages.get(m).copied().unwrap_or_default();
    let at = |s: Stage| wave.machines.iter().filter(move |m| stage(m) == s);
    let max_down = wave.max_down.max(1);
    let mut free_slots = max_down.saturating_sub(at(Stage::Down).count());
    let mut steps = WaveSteps::default();
    for machine in at(Stage::Emptying).filter(|m| is_empty(m)) {
        if free_slots == 0 {
            break;
        }
        free_slots -= 1;
        steps.take_down.push(machine.clone());
    }
    let time_left = |percent: u64| (wave.time_limit * percent / 100).saturating_sub(elapsed);
    let unfinished = wave.machines.iter().filter(|m| stage(m) != Stage::Done).count();
    let is_slow = |m: &&String| {
        matches!(stage(m), Stage::Due | Stage::Emptying) && has_long_running(m.as_str())
    };
    let is_begun = |m: &&String| matches!(stage(m), Stage::Emptying | Stage::Down);
    let mut due: Vec<&String> = at(Stage::Due).filter(|m| cost(m) != CANNOT_BEGIN).collect();
    due.sort_by_key(|m| cost(m));

    let wanted = in_progress_needed(unfinished, MACHINE_CYCLE_MS, time_left(PLANNED_TIME_PERCENT));
    let begun = wave.machines.iter().filter(|m| is_begun(m) && !is_slow(m)).count();
    let free = wanted.min(max_down + 1).saturating_sub(begun);
    let quick = due.iter().copied().filter(|m| !is_slow(m)).take(free);

    let slow_count = wave.machines.iter().filter(is_slow).count();
    let slow_wanted =
        in_progress_needed(slow_count, LONG_RUNNING_CYCLE_MS, time_left(LONG_RUNNING_TIME_PERCENT));
    // Those that can't begin have begun before, or can't be emptied now.
    let slow_begun = wave.machines.iter().filter(is_slow).filter(|m| !due.contains(m)).count();
    let slow_free = slow_wanted.min(max_down).saturating_sub(slow_begun);
    let slow = due.iter().copied().filter(is_slow).take(slow_free);

    steps.start_emptying = slow.chain(quick).cloned().collect();
    steps.complete = unfinished == 0;
    steps
}
