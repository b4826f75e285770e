//! The fleet of one customer as decisions see it.

use fleet::{Contract, Service};
use indexmap::IndexMap;

/// Whether an instance carries load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// It serves, by direct evidence.
    Serving,
    /// It was drained under a permit.
    Stopped,
    /// It should serve and does not.
    Lost,
}

/// What an instance waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operation {
    /// A maintenance stop, after which it comes back to its pool.
    Maintenance,
    /// A move to another pool.
    Move(String),
}

/// One instance of the customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetInstance {
    /// Name of the instance.
    pub id: String,
    /// Pool it belongs to.
    pub pool: String,
    /// Data centre.
    pub centre: String,
    /// Rack.
    pub rack: String,
    /// Whether it carries load.
    pub availability: Availability,
    /// What it waits for.
    pub pending: Option<Operation>,
}

/// A customer's contract beside its instances.
#[derive(Debug, Clone, Copy)]
pub struct Fleet<'a> {
    /// The contract.
    pub contract: &'a Contract,
    /// The instances of its pools.
    pub instances: &'a [FleetInstance],
}

/// Instances of one pool, counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolCounts {
    /// Instances that carry load.
    pub serving: usize,
    /// Instances that do not, planned or not.
    pub down: usize,
    /// Serving instances that wait for a stop or a move.
    pub waiting: usize,
}

/// Instances of all pools, counted once for many decisions.
#[derive(Debug, Clone, Default)]
pub struct FleetCounts<'a> {
    pools: IndexMap<&'a str, PoolCounts>,
    down: usize,
}

impl<'a> Fleet<'a> {
    /// Counts the instances.
    pub fn counts(self) -> FleetCounts<'a> {
        let mut counts = FleetCounts::default();
        for instance in self.instances {
            let count = counts.pools.entry(instance.pool.as_str()).or_default();
            if instance.availability == Availability::Serving {
                count.serving += 1;
                count.waiting += usize::from(instance.pending.is_some());
            } else {
                count.down += 1;
                counts.down += 1;
            }
        }
        counts
    }

    /// Service that an instance's pool serves.
    pub fn service(self, instance: &FleetInstance) -> Option<&'a Service> {
        self.contract.service_of_pool(&instance.pool)
    }
}

impl<'a> FleetCounts<'a> {
    /// Counts of one pool.
    pub fn pool(&self, pool: &str) -> PoolCounts {
        self.pools.get(pool).copied().unwrap_or_default()
    }

    /// Instances of all pools that are down.
    pub fn down(&self) -> usize {
        self.down
    }

    /// Counts a serving instance as stopped from now on.
    pub fn record_stop(&mut self, instance: &'a FleetInstance) {
        let count = self.pools.entry(instance.pool.as_str()).or_default();
        count.serving = count.serving.saturating_sub(1);
        count.waiting = count.waiting.saturating_sub(1);
        count.down += 1;
        self.down += 1;
    }
}
