//! Moves: the fewest that bring every pool to its target size.
//!
//! An instance that is expected back counts for its pool, so that its return undoes no move.

use std::cmp::Reverse;

use indexmap::IndexMap;

use crate::instance::{Availability, FleetInstance};

/// Target size of a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolTarget {
    /// Name of the pool.
    pub pool: String,
    /// Instances that the pool should have, including stopped ones that will return.
    pub count: usize,
}

/// Move of one instance to another pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// Name of the instance.
    pub id: String,
    /// Pool that the instance leaves.
    pub from: String,
    /// Pool that the instance joins.
    pub to: String,
    /// Reason for the move.
    pub reason: String,
}

/// Plans the moves that bring the pools to their targets.
///
/// A stopped instance will return and counts for its pool, so no move replaces it; a lost one does
/// not count. To keep both pools spread over the racks, the plan prefers an instance from the rack
/// that has the most instances of the source pool and the fewest of the target pool.
///
/// # Examples
///
/// ```
/// use plan::moves::{PoolTarget, plan};
/// use plan::{Availability, FleetInstance};
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
/// assert!(plan(&instances, &[target("a", 1), target("b", 1)]).is_empty(), "3 will return to b");
/// assert_eq!(plan(&instances, &[target("a", 1), target("b", 2)]).len(), 1);
/// ```
pub fn plan(instances: &[FleetInstance], targets: &[PoolTarget]) -> Vec<Move> {
    let mut sizes: IndexMap<&str, usize> = IndexMap::new();
    let mut racks: IndexMap<(&str, &str), usize> = IndexMap::new();
    for instance in instances.iter().filter(|each| each.availability != Availability::Lost) {
        *sizes.entry(&instance.pool).or_default() += 1;
        *racks.entry((&instance.pool, &instance.rack)).or_default() += 1;
    }
    let target_sizes: IndexMap<&str, usize> =
        targets.iter().map(|target| (target.pool.as_str(), target.count)).collect();
    let mut free = movable(instances);
    let mut moves = Vec::new();
    for target in targets {
        let to = target.pool.as_str();
        while sizes.get(to).copied().unwrap_or_default() < target.count {
            let rank = |instance: &&FleetInstance| {
                let from = instance.pool.as_str();
                let surplus =
                    sizes[from].saturating_sub(target_sizes.get(from).copied().unwrap_or(0));
                let on_rack =
                    |pool| racks.get(&(pool, instance.rack.as_str())).copied().unwrap_or(0);
                (surplus, on_rack(from), Reverse(on_rack(to)))
            };
            let can_give = |instance: &&FleetInstance| {
                let from = instance.pool.as_str();
                from != to && sizes[from] > target_sizes.get(from).copied().unwrap_or(0)
            };
            let best = free.iter().copied().filter(can_give).max_by_key(rank);
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

/// Returns the instances that may move: serving, with no other operation pending.
fn movable(instances: &[FleetInstance]) -> Vec<&FleetInstance> {
    instances
        .iter()
        .filter(|each| each.availability == Availability::Serving && each.pending.is_none())
        .collect()
}

/// Returns the fewest moves with which any plan could reach the targets.
pub fn min_moves(instances: &[FleetInstance], targets: &[PoolTarget]) -> usize {
    let size = |pool: &str| {
        instances
            .iter()
            .filter(|each| each.availability != Availability::Lost && each.pool == pool)
            .count()
    };
    let missing: usize =
        targets.iter().map(|target| target.count.saturating_sub(size(&target.pool))).sum();
    let target_size = |pool: &str| {
        targets.iter().find(|target| target.pool == pool).map_or(0, |target| target.count)
    };
    let mut movable_counts: IndexMap<&str, usize> = IndexMap::new();
    for instance in movable(instances) {
        *movable_counts.entry(&instance.pool).or_default() += 1;
    }
    let spare: usize = movable_counts
        .iter()
        .map(|(pool, movable)| size(pool).saturating_sub(target_size(pool)).min(*movable))
        .sum();
    missing.min(spare)
}
