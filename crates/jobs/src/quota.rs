//! Quotas: how much of an organisation's limit each cell may use.
//!
//! An organisation's limit covers all cells. Each cell has an entry in the table with the amount
//! that it may use, its grant, and the amount that it asks for while the grant is too small. The sum
//! of all grants never exceeds the limit, so that each cell can start tasks without asking.
//!
//! Load pattern: limits are about twice what an organisation uses on average, and demand moves from
//! cell to cell every few seconds. While there is enough, a cell takes more than it needs and keeps
//! it, so that grants change seldom. When one cell is at its peak it wants nearly the whole limit
//! within some hundred milliseconds. It then asks, and the others return at once what they do not
//! need.

use crate::worker::Resources;

/// Part of the need that a cell's grant exceeds it by, as a divisor; grants then don't change with
/// each task.
const NEED_SLACK_DIVISOR: u64 = 4;
/// Part of the limit that a cell's grant exceeds its need by, as a divisor. It lets the first tasks
/// of a peak start without a write; five idle cells take less than a third of the limit.
const LIMIT_SLACK_DIVISOR: u64 = 16;
/// Part of the limit by which a grant may exceed need and slack before it is returned unasked, as a
/// divisor; smaller excesses are not worth a write.
const EXCESS_DIVISOR: u64 = 8;
/// Number of steps in which the amount that a cell asks for is rounded up, so that it is not
/// written again with each job that arrives at a peak.
const WANTED_STEPS: u64 = 16;

/// Least unit in which cells that ask share a limit, as a part of the limit; smaller tasks leave
/// little over, and their sizes would change with each pass.
const UNIT_DIVISOR: u64 = 16;

/// Entry of a cell for an organisation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Entry {
    /// Amount that the organisation's tasks may use in the cell.
    pub granted: Resources,
    /// Amount that the cell needs in total while it has been granted less; 0 otherwise.
    pub wanted: Resources,
    /// Amount that its next waiting task, or gang, needs, if that is much of the limit; 0 while the
    /// cell asks for nothing.
    pub unit: Resources,
}

/// What an organisation needs in a cell.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Need {
    /// Amount that known runs use.
    pub used: Resources,
    /// Amount that runs may use that are not known, such as those of former holders.
    pub unknown: Resources,
    /// Amount that waiting tasks would use if all of them started.
    pub waiting: Resources,
    /// Number of waiting tasks.
    pub waiting_tasks: u64,
    /// Amount that the first task, or gang, needs which the grant kept from starting.
    pub next: Resources,
}

impl Need {
    /// Amount that may be in use.
    pub fn possible_use(&self) -> Resources {
        combine(self.used, self.unknown, u64::saturating_add)
    }
}

/// Allowance of an organisation in a cell.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Allowance {
    /// Limit of the organisation over all cells; 0 for no limit.
    pub limit: Resources,
    /// Amount that its tasks may use in this cell.
    pub granted: Resources,
}

impl Allowance {
    /// Whether tasks with these needs may start beside what may be in use.
    ///
    /// A resource that the tasks do not need, or that has no limit, does not keep them from
    /// starting.
    ///
    /// # Examples
    ///
    /// ```
    /// use jobs::Resources;
    /// use jobs::quota::Allowance;
    /// let amount = |cpu, gpus| Resources { cpu, memory: 0, gpus };
    /// let allowance = Allowance { limit: amount(8_000, 0), granted: amount(4_000, 0) };
    /// assert!(allowance.admits(amount(3_000, 7), amount(1_000, 1)));
    /// assert!(!allowance.admits(amount(3_500, 0), amount(1_000, 0)));
    /// assert!(allowance.admits(amount(9_000, 0), amount(0, 1)));
    /// ```
    pub fn admits(&self, used: Resources, need: Resources) -> bool {
        let admits = |limit: u64, granted: u64, used: u64, need: u64| {
            limit == 0 || need == 0 || used.saturating_add(need) <= granted
        };
        admits(self.limit.cpu, self.granted.cpu, used.cpu, need.cpu)
            && admits(self.limit.memory, self.granted.memory, used.memory, need.memory)
            && admits(self.limit.gpus, self.granted.gpus, used.gpus, need.gpus)
    }

    /// Number of tasks, each with these needs, that may start beside what may be in use.
    pub(crate) fn startable_tasks(&self, used: Resources, need: Resources) -> u64 {
        let fit = |limit: u64, granted: u64, used: u64, need: u64| match need {
            0 => u64::MAX,
            _ if limit == 0 => u64::MAX,
            _ => granted.saturating_sub(used) / need,
        };
        fit(self.limit.cpu, self.granted.cpu, used.cpu, need.cpu)
            .min(fit(self.limit.memory, self.granted.memory, used.memory, need.memory))
            .min(fit(self.limit.gpus, self.granted.gpus, used.gpus, need.gpus))
    }

    /// Share of the waiting tasks that can start within an amount, in thousandths.
    pub(crate) fn startable_share(&self, amount: Resources, need: &Need) -> u64 {
        let used = need.possible_use();
        let share = |limit: u64, amount: u64, used: u64, waiting: u64| {
            if limit == 0 || waiting == 0 {
                return 1_000;
            }
            let left = u128::from(amount.saturating_sub(used));
            u64::try_from(left * 1_000 / u128::from(waiting)).unwrap_or(u64::MAX).min(1_000)
        };
        let waiting = need.waiting;
        share(self.limit.cpu, amount.cpu, used.cpu, waiting.cpu)
            .min(share(self.limit.memory, amount.memory, used.memory, waiting.memory))
            .min(share(self.limit.gpus, amount.gpus, used.gpus, waiting.gpus))
    }
}

/// What a cell does about its entry for an organisation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Decision {
    /// Entry to write; the present one if nothing has to change.
    pub entry: Entry,
    /// Amount up to which tasks may start meanwhile. It is below the grant while the cell uses more
    /// than its part of what several cells ask for.
    pub start_limit: Resources,
    /// Whether the grant exceeds need and slack so far that the excess should be returned if that
    /// lasts.
    pub excessive: bool,
}

/// Situation of an organisation, as the holder of one of its cells sees it.
#[derive(Debug, Clone)]
pub struct Situation<'a> {
    /// Limit over all cells; 0 for no limit.
    pub limit: Resources,
    /// Entry of this cell; `None` if it has none.
    pub own: Option<Entry>,
    /// Entries of the other cells, in the order of their turns.
    pub others: &'a [Entry],
    /// Number of these cells whose turns are before that of this cell.
    pub position: usize,
    /// What the organisation needs in this cell.
    pub need: Need,
    /// Most that this cell's executors can run at a time.
    pub capacity: Resources,
    /// Whether all cells that may use some of the limit have an entry.
    pub complete: bool,
    /// Whether the grant has been excessive for long enough to return the excess.
    pub return_excess: bool,
}

/// Decides about a cell's entry for an organisation.
///
/// # Examples
///
/// ```
/// use jobs::Resources;
/// use jobs::quota::{Entry, Need, Situation, decide};
/// let amount = |cpu| Resources { cpu, ..Resources::default() };
/// let situation = Situation {
///     limit: amount(16_000),
///     own: Some(Entry { granted: amount(2_000), ..Entry::default() }),
///     others: &[Entry { granted: amount(12_000), ..Entry::default() }],
///     position: 0,
///     need: Need { waiting: amount(10_000), ..Need::default() },
///     capacity: amount(64_000),
///     complete: true,
///     return_excess: false,
/// };
/// let decision = decide(&situation);
/// assert_eq!(decision.entry.granted, amount(4_000));
/// assert_eq!(decision.entry.wanted, amount(10_000));
/// ```
pub fn decide(situation: &Situation<'_>) -> Decision {
    let one = |pick: fn(&Resources) -> u64| {
        decide_amount(&Amounts {
            limit: pick(&situation.limit),
            granted: situation.own.map_or(0, |own| pick(&own.granted)),
            others: situation
                .others
                .iter()
                .map(|entry| OtherAmounts {
                    granted: pick(&entry.granted),
                    wanted: pick(&entry.wanted),
                    unit: pick(&entry.unit),
                })
                .collect(),
            position: situation.position,
            unit: pick(&situation.need.next).max(pick(&situation.limit) / UNIT_DIVISOR),
            used: pick(&situation.need.used),
            unknown: pick(&situation.need.unknown),
            waiting: pick(&situation.need.waiting),
            capacity: pick(&situation.capacity),
            complete: situation.complete,
            return_excess: situation.return_excess,
        })
    };
    let (cpu, memory, gpus) = (one(|r| r.cpu), one(|r| r.memory), one(|r| r.gpus));
    let join = |pick: fn(&AmountDecision) -> u64| Resources {
        cpu: pick(&cpu),
        memory: pick(&memory),
        gpus: pick(&gpus),
    };
    Decision {
        entry: Entry {
            granted: join(|d| d.granted),
            wanted: join(|d| d.wanted),
            unit: join(|d| d.unit),
        },
        start_limit: join(|d| d.start_limit),
        excessive: cpu.excessive || memory.excessive || gpus.excessive,
    }
}

/// Whether the grants of all cells are within the limit, by resource.
///
/// They are not after a limit was lowered, until the cells have returned what they do not use. Tasks
/// must not start meanwhile, since the use may be above the limit, too.
pub fn within_limit(limit: Resources, entries: impl Iterator<Item = Entry>) -> (bool, bool, bool) {
    let total = entries.fold(Resources::default(), |total, entry| {
        combine(total, entry.granted, u64::saturating_add)
    });
    let within = |limit: u64, total: u64| limit == 0 || total <= limit;
    (
        within(limit.cpu, total.cpu),
        within(limit.memory, total.memory),
        within(limit.gpus, total.gpus),
    )
}

/// Applies an operation to each resource of two amounts.
pub(crate) fn combine(a: Resources, b: Resources, op: impl Fn(u64, u64) -> u64) -> Resources {
    Resources { cpu: op(a.cpu, b.cpu), memory: op(a.memory, b.memory), gpus: op(a.gpus, b.gpus) }
}

/// Smaller of two amounts, by resource.
pub fn smaller(a: Resources, b: Resources) -> Resources {
    combine(a, b, u64::min)
}

/// [`Situation`] for one resource.
struct Amounts {
    limit: u64,
    granted: u64,
    others: Vec<OtherAmounts>,
    position: usize,
    unit: u64,
    used: u64,
    unknown: u64,
    waiting: u64,
    capacity: u64,
    complete: bool,
    return_excess: bool,
}

/// [`Entry`] for one resource.
struct OtherAmounts {
    granted: u64,
    wanted: u64,
    unit: u64,
}

/// [`Decision`] for one resource.
struct AmountDecision {
    granted: u64,
    wanted: u64,
    unit: u64,
    start_limit: u64,
    excessive: bool,
}

fn decide_amount(amounts: &Amounts) -> AmountDecision {
    let limit = amounts.limit;
    if limit == 0 {
        let start_limit = u64::MAX;
        return AmountDecision { granted: 0, wanted: 0, unit: 0, start_limit, excessive: false };
    }
    // What may be in use is never returned. A use without a grant, of a limit that is new, is
    // recorded even if the sum then exceeds the limit.
    let possible_use = amounts.used.saturating_add(amounts.unknown);
    let floor = amounts.granted.min(possible_use).max(amounts.used);
    let most = amounts.capacity.min(limit).max(amounts.used);
    let need = amounts.used.saturating_add(amounts.waiting).min(most);
    let others_granted: u64 =
        amounts.others.iter().fold(0, |sum, other| sum.saturating_add(other.granted));
    let total = others_granted.saturating_add(amounts.granted);
    if total > limit || amounts.granted < amounts.used {
        let granted = if total > limit { floor } else { amounts.granted.max(floor) };
        let wanted = wanted(need, granted, limit);
        let unit = if wanted > 0 { amounts.unit } else { 0 };
        return AmountDecision { granted, wanted, unit, start_limit: granted, excessive: false };
    }
    let free = if amounts.complete { limit - total } else { 0 };
    let asked: u64 =
        amounts.others.iter().map(|other| other.wanted.saturating_sub(other.granted)).sum();
    let slack = need / NEED_SLACK_DIVISOR + limit / LIMIT_SLACK_DIVISOR;
    let comfortable = need.saturating_add(slack).min(limit);
    let shortage = asked.saturating_sub(free);
    let share = if asked == 0 { need } else { fair_share(amounts, need) };
    let mut granted = amounts.granted;
    let mut start_limit = u64::MAX;
    let mut excessive = false;
    if granted < need {
        // Others that ask at the same time leave each other their shares.
        let goal = if asked == 0 { comfortable } else { need.min(share.max(granted)) };
        granted = granted.saturating_add(free).min(goal).max(granted);
    } else if shortage > 0 {
        granted -= (granted - need).min(shortage);
    } else if asked == 0 && granted < need.saturating_add(slack / 2) {
        granted = granted.saturating_add(free).min(comfortable);
    } else if granted > comfortable.saturating_add(limit / EXCESS_DIVISOR) {
        excessive = true;
        if amounts.return_excess {
            granted = comfortable;
        }
    }
    if shortage > 0 && share < need.min(granted) {
        start_limit = share;
        granted = granted.min(share.max(floor));
    }
    granted = granted.max(floor);
    let wanted = wanted(need, granted, limit);
    AmountDecision {
        granted,
        wanted,
        unit: if wanted > 0 { amounts.unit } else { 0 },
        start_limit: start_limit.min(granted),
        excessive,
    }
}

/// Amount to ask for, in steps; 0 if the grant covers the need.
fn wanted(need: u64, granted: u64, limit: u64) -> u64 {
    if need <= granted {
        return 0;
    }
    let step = (limit / WANTED_STEPS).max(1);
    need.div_ceil(step).saturating_mul(step).min(limit)
}

/// Part of the limit that this cell may take if all cells that ask get equal parts, up to their
/// needs.
///
/// Parts are whole units, so that nothing is left over in each cell that no task fits. The cell
/// whose turn it is gets at least one unit, and what is left over; otherwise a task larger than an
/// equal part would wait as long as others ask. Cells that do not ask keep what they have.
fn fair_share(amounts: &Amounts, need: u64) -> u64 {
    let is_asking = |other: &&OtherAmounts| other.wanted > other.granted;
    let kept = amounts
        .others
        .iter()
        .filter(|other| !is_asking(other))
        .fold(0_u64, |sum, other| sum.saturating_add(other.granted));
    let asking = |other: &OtherAmounts| (other.wanted, other.unit);
    let (before, after) = amounts.others.split_at(amounts.position.min(amounts.others.len()));
    let mut cells: Vec<(u64, u64)> = before.iter().filter(is_asking).map(asking).collect();
    let own = cells.len();
    cells.push((need, amounts.unit));
    cells.extend(after.iter().filter(is_asking).map(asking));
    share_in_units(amounts.limit.saturating_sub(kept), &cells)[own]
}

/// Divides an amount among cells with a need and a unit each, in the order of their turns.
fn share_in_units(amount: u64, cells: &[(u64, u64)]) -> Vec<u64> {
    let mut shares = equal_shares(amount, cells);
    let Some((need, unit)) = cells.first().copied() else { return shares };
    let first = shares[0].div_ceil(unit.max(1)).saturating_mul(unit).min(need).min(amount);
    shares = equal_shares(amount - first, &cells[1..]);
    shares.insert(0, first);
    for (share, (need, unit)) in shares.iter_mut().zip(cells).skip(1) {
        if *share < *need {
            *share -= *share % (*unit).max(1);
        }
    }
    let mut left = amount.saturating_sub(shares.iter().sum());
    for (share, (need, unit)) in shares.iter_mut().zip(cells).skip(1) {
        let more = (*unit).min(need.saturating_sub(*share));
        if more <= left {
            *share += more;
            left -= more;
        }
    }
    for (share, (need, _)) in shares.iter_mut().zip(cells) {
        let more = left.min(need.saturating_sub(*share));
        *share += more;
        left -= more;
    }
    shares
}

/// Divides an amount equally among cells, each up to its need.
fn equal_shares(amount: u64, cells: &[(u64, u64)]) -> Vec<u64> {
    let mut order: Vec<usize> = (0..cells.len()).collect();
    order.sort_by_key(|n| cells[*n].0);
    let mut shares = vec![0; cells.len()];
    let mut left = amount;
    for (done, n) in order.into_iter().enumerate() {
        shares[n] = cells[n].0.min(left / (cells.len() - done) as u64);
        left -= shares[n];
    }
    shares
}
