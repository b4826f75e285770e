//! Buffers: the fewest spare instances with which a pool survives the loss of any failure domain.

use fleet::{Contract, Domain};
use indexmap::IndexMap;

use crate::instance::FleetInstance;

/// Capacity of one failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainCapacity {
    /// Name of the domain.
    pub name: String,
    /// Maximum number of instances in the domain.
    pub capacity: usize,
}

/// Distribution of a pool's instances over the failure domains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Spread {
    /// Instances in each domain.
    pub counts: IndexMap<String, usize>,
    /// Spare instances beyond those held.
    pub buffer: usize,
}

/// Buffer of all pools of a contract.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BufferPlan {
    /// Spread of each pool, or one entry with an empty name for all pools together.
    pub pools: IndexMap<String, Spread>,
    /// Whether the pools share their spares, so that a spare moves to the pool that needs it.
    pub shared: bool,
    /// Reason why the buffer is shared or not.
    pub reason: String,
}

/// Error for a pool whose held instances do not fit the domains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shortage {
    /// Pool that does not fit; empty for all pools together.
    pub pool: String,
    /// Largest number of held instances that would fit.
    pub max_held: usize,
    /// Number of held instances that was requested.
    pub held: usize,
}

impl std::fmt::Display for Shortage {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { pool, max_held, held } = self;
        write!(
            f,
            "pool '{pool}' can't hold {held} after its largest domain is lost, {max_held} could"
        )
    }
}

impl std::error::Error for Shortage {}

/// Spreads a pool so that `held` instances remain after the loss of any one domain.
///
/// With at most `m` instances per domain, a loss costs at most `m`, so the domains need room for
/// `held + m` instances. The smallest such `m` is the buffer; no smaller buffer is sufficient.
///
/// # Errors
///
/// Returns the largest `held` that would fit if the domains have too little capacity.
///
/// # Examples
///
/// ```
/// use plan::buffer::{DomainCapacity, spread};
/// let rack = |name: &str| DomainCapacity { name: name.into(), capacity: 4 };
/// let domains = [rack("r1"), rack("r2"), rack("r3")];
/// assert_eq!(spread("p", 4, &domains).unwrap().buffer, 2);
/// assert_eq!(spread("p", 9, &domains).unwrap_err().max_held, 8);
/// ```
pub fn spread(pool: &str, held: usize, domains: &[DomainCapacity]) -> Result<Spread, Shortage> {
    let capacity = |per_domain: usize| {
        domains.iter().map(|domain| domain.capacity.min(per_domain)).sum::<usize>()
    };
    let largest = domains.iter().map(|domain| domain.capacity).max().unwrap_or(0);
    let per_domain = (1..=largest).find(|per_domain| capacity(*per_domain) >= held + per_domain);
    let Some(per_domain) = per_domain else {
        let max_held =
            (1..=largest).map(|per_domain| capacity(per_domain) - per_domain).max().unwrap_or(0);
        return Err(Shortage { pool: pool.to_owned(), max_held, held });
    };
    Ok(Spread { counts: fill(held + per_domain, per_domain, domains), buffer: per_domain })
}

/// Distributes `count` instances evenly, with at most `per_domain` in each domain.
fn fill(count: usize, per_domain: usize, domains: &[DomainCapacity]) -> IndexMap<String, usize> {
    let mut counts: IndexMap<String, usize> =
        domains.iter().map(|domain| (domain.name.clone(), 0)).collect();
    let mut remaining = count;
    for level in 1..=per_domain {
        for domain in domains.iter().filter(|domain| domain.capacity >= level) {
            if remaining == 0 {
                return counts;
            }
            counts[&domain.name] = level;
            remaining -= 1;
        }
    }
    counts
}

/// Plans a contract's buffer, separate for each pool or shared by all pools.
///
/// The contract's weights decide: a shared buffer needs fewer spares, but one move for each
/// instance that it replaces.
///
/// # Errors
///
/// Returns the first pool that does not fit.
pub fn plan(contract: &Contract, domains: &[DomainCapacity]) -> Result<BufferPlan, Shortage> {
    if contract.survive == Domain::None {
        let reason = "the contract survives no loss".to_owned();
        return Ok(BufferPlan { pools: IndexMap::new(), shared: false, reason });
    }
    let mut pools = IndexMap::new();
    for service in &contract.services {
        let spread = spread(&service.pool, service.held as usize, domains)?;
        pools.insert(service.pool.clone(), spread);
    }
    let separate_buffer: usize = pools.values().map(|spread| spread.buffer).sum();
    let held = contract.services.iter().map(|service| service.held as usize).sum();
    // Each pool was checked against the same capacity, so all of them together may not fit.
    let Ok(shared_spread) = spread("", held, domains) else {
        let reason = "the pools together find too few places".to_owned();
        return Ok(BufferPlan { pools, shared: false, reason });
    };
    let saved = separate_buffer.saturating_sub(shared_spread.buffer);
    let (gain, cost) = (
        saved * contract.weights.buffer as usize,
        shared_spread.buffer * contract.weights.moves as usize / SPARES_PER_LOSS,
    );
    let shared = gain > cost;
    let verb = if shared { "outweigh" } else { "do not outweigh" };
    let reason = format!(
        "{saved} spares saved at weight {} {verb} {} moves a loss at weight {}",
        contract.weights.buffer, shared_spread.buffer, contract.weights.moves
    );
    if shared {
        pools = IndexMap::from([(String::new(), shared_spread)]);
    }
    Ok(BufferPlan { pools, shared, reason })
}

/// Spare instances held idle per loss that is expected over the same time.
const SPARES_PER_LOSS: usize = 8;

/// Counts a customer's instances in each failure domain of the kind `survive`.
pub fn domain_capacities(instances: &[FleetInstance], survive: Domain) -> Vec<DomainCapacity> {
    let mut capacities: IndexMap<&str, usize> = IndexMap::new();
    for instance in instances {
        let domain = match survive {
            Domain::DataCentre => &instance.centre,
            Domain::Rack => &instance.rack,
            Domain::Instance | Domain::None => &instance.id,
        };
        *capacities.entry(domain).or_default() += 1;
    }
    let capacities = capacities.into_iter();
    capacities.map(|(name, capacity)| DomainCapacity { name: name.to_owned(), capacity }).collect()
}
