//! Snapshot of one customer's fleet, the input of all decisions.

use fleet::{Contract, Service};
use indexmap::IndexMap;

/// Whether an instance carries load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// The instance is serving, by direct evidence.
    Serving,
    /// The instance was drained under a permit.
    Stopped,
    /// The instance should be serving and is not.
    Lost,
}

/// Operation that is ordered for an instance and not started yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operation {
    /// A maintenance stop, after which the instance returns to its pool.
    Maintenance,
    /// A move to the pool of this name.
    Move(String),
}

/// One instance of the customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetInstance {
    /// Name of the instance.
    pub id: String,
    /// Pool to which the instance belongs.
    pub pool: String,
    /// Data centre.
    pub centre: String,
    /// Rack.
    pub rack: String,
    /// Whether the instance carries load.
    pub availability: Availability,
    /// Operation for which the instance is waiting.
    pub pending: Option<Operation>,
}

/// A customer's contract and instances.
#[derive(Debug, Clone, Copy)]
pub struct Fleet<'a> {
    /// The customer's contract.
    pub contract: &'a Contract,
    /// Instances of the contract's pools.
    pub instances: &'a [FleetInstance],
}

/// Instance counts of one pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolCounts {
    /// Instances that carry load.
    pub serving: usize,
    /// Instances that carry no load, planned or not.
    pub down: usize,
    /// Serving instances with a pending operation.
    pub waiting: usize,
}

/// Instance counts of all pools, kept up to date across a series of decisions.
#[derive(Debug, Clone, Default)]
pub struct FleetCounts<'a> {
    pools: IndexMap<&'a str, PoolCounts>,
    down: usize,
}

impl<'a> Fleet<'a> {
    /// Counts the instances of each pool.
    pub fn counts(self) -> FleetCounts<'a> {
        let mut counts = FleetCounts::default();
        for instance in self.instances {
            let pool = counts.pools.entry(instance.pool.as_str()).or_default();
            if instance.availability == Availability::Serving {
                pool.serving += 1;
                pool.waiting += usize::from(instance.pending.is_some());
            } else {
                pool.down += 1;
                counts.down += 1;
            }
        }
        counts
    }

    /// Returns the service that the instance's pool serves.
    pub fn service(self, instance: &FleetInstance) -> Option<&'a Service> {
        self.contract.service_of_pool(&instance.pool)
    }
}

impl<'a> FleetCounts<'a> {
    /// Returns the counts of one pool.
    pub fn pool(&self, pool: &str) -> PoolCounts {
        self.pools.get(pool).copied().unwrap_or_default()
    }

    /// Returns the number of instances that are down, over all pools.
    pub fn down(&self) -> usize {
        self.down
    }

    /// Counts a serving instance as down.
    pub fn record_stop(&mut self, instance: &'a FleetInstance) {
        let pool = self.pools.entry(instance.pool.as_str()).or_default();
        pool.serving = pool.serving.saturating_sub(1);
        pool.waiting = pool.waiting.saturating_sub(1);
        pool.down += 1;
        self.down += 1;
    }
}
