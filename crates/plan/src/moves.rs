//! Moves: the fewest that bring every pool to its size, none that an expected return would undo.

use std::cmp::Reverse;

use indexmap::IndexMap;

use crate::instance::{Availability, FleetInstance};

/// Size that a pool should have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolTarget {
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
/// use plan::moves::{PoolTarget, plan};
/// use plan::{FleetInstance, Availability};
/// let instance = |id: &str, pool: &str, availability| FleetInstance {
///     id: id.into(),
///     pool: pool.into(),
///     centre: "dc1".into(),
///     rack: "r1".into(),
///     availability,
///     pending: None,
/// };
/// let target = |pool: &str, count| PoolTarget { pool: pool.into(), count };
/// let instances = [
///     instance("1", "a", Availability::Serving),
///     instance("2", "a", Availability::Serving),
///     instance("3", "b", Availability::Stopped),
/// ];
/// assert!(plan(&instances, &[target("a", 1), target("b", 1)]).is_empty(), "3 is on its way back");
/// assert_eq!(plan(&instances, &[target("a", 1), target("b", 2)]).len(), 1);
/// ```
pub fn plan(instances: &[FleetInstance], targets: &[PoolTarget]) -> Vec<Move> {
    let mut sizes: IndexMap<&str, usize> = IndexMap::new();
    let mut racks: IndexMap<(&str, &str), usize> = IndexMap::new();
    for instance in instances.iter().filter(|instance| instance.availability != Availability::Lost)
    {
        *sizes.entry(&instance.pool).or_default() += 1;
        *racks.entry((&instance.pool, &instance.rack)).or_default() += 1;
    }
    let wanted: IndexMap<&str, usize> =
        targets.iter().map(|target| (target.pool.as_str(), target.count)).collect();
    let mut free = movable(instances);
    let mut moves = Vec::new();
    for target in targets {
        let to = target.pool.as_str();
        while sizes.get(to).copied().unwrap_or_default() < target.count {
            let rank = |instance: &&FleetInstance| {
                let from = instance.pool.as_str();
                let over = sizes[from].saturating_sub(wanted.get(from).copied().unwrap_or(0));
                let count = |pool| racks.get(&(pool, instance.rack.as_str())).copied().unwrap_or(0);
                (over, count(from), Reverse(count(to)))
            };
            let surplus = |instance: &&FleetInstance| {
                let from = instance.pool.as_str();
                from != to && sizes[from] > wanted.get(from).copied().unwrap_or(0)
            };
            let best = free.iter().copied().filter(surplus).max_by_key(rank);
            let Some(instance) = best else { break };
            free.retain(|other| other.id != instance.id);
            let from = instance.pool.as_str();
            sizes[from] -= 1;
            *sizes.entry(to).or_default() += 1;
            racks[&(from, instance.rack.as_str())] -= 1;
            *racks.entry((to, &instance.rack)).or_default() += 1;
            moves.push(Move {
                id: instance.id.clone(),
                from: from.to_owned(),
                to: to.to_owned(),
                reason: format!("pool '{from}' has more than it should and '{to}' fewer"),
            });
        }
    }
    moves
}

/// Instances that may move: serving, and waiting for nothing else.
fn movable(instances: &[FleetInstance]) -> Vec<&FleetInstance> {
    instances
        .iter()
        .filter(|instance| {
            instance.availability == Availability::Serving && instance.pending.is_none()
        })
        .collect()
}

/// Fewest moves that any plan could reach the sizes with.
pub fn min_moves(instances: &[FleetInstance], targets: &[PoolTarget]) -> usize {
    let size = |pool: &str| {
        instances
            .iter()
            .filter(|instance| instance.availability != Availability::Lost && instance.pool == pool)
            .count()
    };
    let missing: usize =
        targets.iter().map(|target| target.count.saturating_sub(size(&target.pool))).sum();
    let wanted = |pool: &str| {
        targets.iter().find(|target| target.pool == pool).map_or(0, |target| target.count)
    };
    let mut pools: IndexMap<&str, usize> = IndexMap::new();
    for instance in movable(instances) {
        *pools.entry(&instance.pool).or_default() += 1;
    }
    let spare: usize =
        pools.iter().map(|(pool, free)| size(pool).saturating_sub(wanted(pool)).min(*free)).sum();
    missing.min(spare)
}
