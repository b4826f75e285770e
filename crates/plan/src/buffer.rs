//! Buffers: the fewest spare instances that survive the loss of the largest failure domain.

use fleet::{Contract, Domain};
use indexmap::IndexMap;

use crate::instance::FleetInstance;

/// Places for instances in one failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainCapacity {
    /// Name of the domain.
    pub domain: String,
    /// Instances that it can take.
    pub capacity: usize,
}

/// How the instances of a pool are spread.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Spread {
    /// Instances in each domain.
    pub counts: IndexMap<String, usize>,
    /// Instances beyond those held.
    pub buffer: usize,
}

/// BufferPlan of a whole contract.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BufferPlan {
    /// Spread of each pool, or of all pools together under an empty name.
    pub pools: IndexMap<String, Spread>,
    /// Whether all pools share their spares, each of which then moves when it is needed.
    pub shared: bool,
    /// Why it is shared or not.
    pub reason: String,
}

/// A contract that the places can't meet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shortage {
    /// Pool that can't be met; empty for all pools together.
    pub pool: String,
    /// Instances held that could be met.
    pub max_held: usize,
    /// Instances held that were asked for.
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

/// Spreads so many held instances that the loss of any one domain leaves all of them.
///
/// With at most `m` instances in a domain a loss costs `m`, so `held + m` have to find places. The
/// smallest such `m` is the buffer, and no smaller one exists.
///
/// # Errors
///
/// The most that could be held, when there are too few places.
///
/// # Examples
///
/// ```
/// use plan::buffer::{DomainCapacity, spread};
/// let rack = |domain: &str| DomainCapacity { domain: domain.into(), capacity: 4 };
/// let domains = [rack("r1"), rack("r2"), rack("r3")];
/// assert_eq!(spread("p", 4, &domains).unwrap().buffer, 2);
/// assert_eq!(spread("p", 9, &domains).unwrap_err().max_held, 8);
/// ```
pub fn spread(pool: &str, held: usize, domains: &[DomainCapacity]) -> Result<Spread, Shortage> {
    let room = |most: usize| domains.iter().map(|domain| domain.capacity.min(most)).sum::<usize>();
    let largest = domains.iter().map(|domain| domain.capacity).max().unwrap_or(0);
    let most = (1..=largest).find(|most| room(*most) >= held + most);
    let Some(most) = most else {
        let max_held = (1..=largest).map(|most| room(most) - most).max().unwrap_or(0);
        return Err(Shortage { pool: pool.to_owned(), max_held, held });
    };
    Ok(Spread { counts: fill(held + most, most, domains), buffer: most })
}

/// Fills places evenly with so many instances, `most` in each at most.
fn fill(count: usize, most: usize, domains: &[DomainCapacity]) -> IndexMap<String, usize> {
    let mut counts: IndexMap<String, usize> =
        domains.iter().map(|domain| (domain.domain.clone(), 0)).collect();
    let mut left = count;
    for level in 1..=most {
        for domain in domains.iter().filter(|domain| domain.capacity >= level) {
            if left == 0 {
                return counts;
            }
            counts[&domain.domain] = level;
            left -= 1;
        }
    }
    counts
}

/// Plans a contract's buffer for each pool apart or shared, whichever its weights make cheaper.
///
/// A shared buffer needs fewer spares and a move for each instance that it replaces.
///
/// # Errors
///
/// The first pool that can't be met.
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
    let apart: usize = pools.values().map(|spread| spread.buffer).sum();
    let held = contract.services.iter().map(|service| service.held as usize).sum();
    // All pools together may lack places that each alone finds, since the places are the same.
    let Ok(together) = spread("", held, domains) else {
        let reason = "the pools together find too few places".to_owned();
        return Ok(BufferPlan { pools, shared: false, reason });
    };
    let saved = apart.saturating_sub(together.buffer);
    let (gain, cost) = (
        saved * contract.weights.buffer as usize,
        together.buffer * contract.weights.moves as usize / SPARES_PER_LOSS,
    );
    let shared = gain > cost;
    let verb = if shared { "outweigh" } else { "do not outweigh" };
    let reason = format!(
        "{saved} spares saved at weight {} {verb} {} moves a loss at weight {}",
        contract.weights.buffer, together.buffer, contract.weights.moves
    );
    if shared {
        pools = IndexMap::from([(String::new(), together)]);
    }
    Ok(BufferPlan { pools, shared, reason })
}

/// Spares that are held idle for each loss that is to be expected in the same time.
const SPARES_PER_LOSS: usize = 8;

/// Places of a customer's instances by the failure domain that its contract names.
pub fn domain_capacities(instances: &[FleetInstance], survive: Domain) -> Vec<DomainCapacity> {
    let mut rooms: IndexMap<&str, usize> = IndexMap::new();
    for instance in instances {
        let domain = match survive {
            Domain::DataCentre => &instance.centre,
            Domain::Rack => &instance.rack,
            Domain::Instance | Domain::None => &instance.id,
        };
        *rooms.entry(domain).or_default() += 1;
    }
    let domains = rooms.into_iter();
    domains
        .map(|(domain, room)| DomainCapacity { domain: domain.to_owned(), capacity: room })
        .collect()
}
