//! Moves: the fewest that bring every pool to its size, none that an expected return would undo.

use std::cmp::Reverse;

use indexmap::IndexMap;

use crate::unit::{Unit, Up};

/// Size that a pool should have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Want {
    /// Pool.
    pub pool: String,
    /// Instances that it should have, those on their way back included.
    pub count: usize,
}

/// One move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// Instance.
    pub id: String,
    /// Pool it leaves.
    pub from: String,
    /// Pool it goes to.
    pub to: String,
    /// Why this instance.
    pub reason: String,
}

/// Plans the moves.
///
/// A stopped instance is on its way back and counts for its pool, so nothing is moved to stand in
/// for it; a lost one does not count. Among the instances that may go, one from the rack that its
/// own pool uses most and the other pool least goes first, which keeps both spread.
///
/// # Examples
///
/// ```
/// use plan::moves::{Want, plan};
/// use plan::{Unit, Up};
/// let unit = |id: &str, pool: &str, up| Unit {
///     id: id.into(),
///     pool: pool.into(),
///     centre: "dc1".into(),
///     rack: "r1".into(),
///     up,
///     need: None,
/// };
/// let want = |pool: &str, count| Want { pool: pool.into(), count };
/// let units = [
///     unit("1", "a", Up::Serving),
///     unit("2", "a", Up::Serving),
///     unit("3", "b", Up::Stopped),
/// ];
/// assert!(plan(&units, &[want("a", 1), want("b", 1)]).is_empty(), "3 is on its way back");
/// assert_eq!(plan(&units, &[want("a", 1), want("b", 2)]).len(), 1);
/// ```
pub fn plan(units: &[Unit], wants: &[Want]) -> Vec<Move> {
    let mut sizes: IndexMap<&str, usize> = IndexMap::new();
    let mut racks: IndexMap<(&str, &str), usize> = IndexMap::new();
    for unit in units.iter().filter(|unit| unit.up != Up::Lost) {
        *sizes.entry(&unit.pool).or_default() += 1;
        *racks.entry((&unit.pool, &unit.rack)).or_default() += 1;
    }
    let wanted: IndexMap<&str, usize> =
        wants.iter().map(|want| (want.pool.as_str(), want.count)).collect();
    let mut free = movable(units);
    let mut moves = Vec::new();
    for want in wants {
        let to = want.pool.as_str();
        while sizes.get(to).copied().unwrap_or_default() < want.count {
            let rank = |unit: &&Unit| {
                let from = unit.pool.as_str();
                let over = sizes[from].saturating_sub(wanted.get(from).copied().unwrap_or(0));
                let count = |pool| racks.get(&(pool, unit.rack.as_str())).copied().unwrap_or(0);
                (over, count(from), Reverse(count(to)))
            };
            let surplus = |unit: &&Unit| {
                let from = unit.pool.as_str();
                from != to && sizes[from] > wanted.get(from).copied().unwrap_or(0)
            };
            let best = free.iter().copied().filter(surplus).max_by_key(rank);
            let Some(unit) = best else { break };
            free.retain(|other| other.id != unit.id);
            let from = unit.pool.as_str();
            sizes[from] -= 1;
            *sizes.entry(to).or_default() += 1;
            racks[&(from, unit.rack.as_str())] -= 1;
            *racks.entry((to, &unit.rack)).or_default() += 1;
            moves.push(Move {
                id: unit.id.clone(),
                from: from.to_owned(),
                to: to.to_owned(),
                reason: format!("pool '{from}' has more than it should and '{to}' fewer"),
            });
        }
    }
    moves
}

/// Instances that may move: serving, and waiting for nothing else.
fn movable(units: &[Unit]) -> Vec<&Unit> {
    units.iter().filter(|unit| unit.up == Up::Serving && unit.need.is_none()).collect()
}

/// Fewest moves that any plan could reach the sizes with.
pub fn least(units: &[Unit], wants: &[Want]) -> usize {
    let size =
        |pool: &str| units.iter().filter(|unit| unit.up != Up::Lost && unit.pool == pool).count();
    let missing: usize = wants.iter().map(|want| want.count.saturating_sub(size(&want.pool))).sum();
    let wanted =
        |pool: &str| wants.iter().find(|want| want.pool == pool).map_or(0, |want| want.count);
    let mut pools: IndexMap<&str, usize> = IndexMap::new();
    for unit in movable(units) {
        *pools.entry(&unit.pool).or_default() += 1;
    }
    let spare: usize =
        pools.iter().map(|(pool, free)| size(pool).saturating_sub(wanted(pool)).min(*free)).sum();
    missing.min(spare)
}
