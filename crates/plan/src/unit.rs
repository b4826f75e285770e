//! The fleet of one customer as decisions see it.

use fleet::{Contract, Service};
use indexmap::IndexMap;

/// Whether an instance carries load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Up {
    /// It serves, by direct evidence.
    Serving,
    /// It was drained under a permit.
    Stopped,
    /// It should serve and does not.
    Lost,
}

/// What an instance waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Need {
    /// A maintenance stop, after which it comes back to its pool.
    Maintain,
    /// A move to another pool.
    Move(String),
}

/// One instance of the customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unit {
    /// Name of the instance.
    pub id: String,
    /// Pool it belongs to.
    pub pool: String,
    /// Data centre.
    pub centre: String,
    /// Rack.
    pub rack: String,
    /// Whether it carries load.
    pub up: Up,
    /// What it waits for.
    pub need: Option<Need>,
}

/// A customer's contract beside its instances.
#[derive(Debug, Clone, Copy)]
pub struct Fleet<'a> {
    /// The contract.
    pub contract: &'a Contract,
    /// The instances of its pools.
    pub units: &'a [Unit],
}

/// Instances of one pool, counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Count {
    /// Instances that carry load.
    pub serving: usize,
    /// Instances that do not, planned or not.
    pub down: usize,
    /// Serving instances that wait for a stop or a move.
    pub waiting: usize,
}

/// Instances of all pools, counted once for many decisions.
#[derive(Debug, Clone, Default)]
pub struct Tally<'a> {
    pools: IndexMap<&'a str, Count>,
    down: usize,
}

impl<'a> Fleet<'a> {
    /// Counts the instances.
    pub fn tally(self) -> Tally<'a> {
        let mut tally = Tally::default();
        for unit in self.units {
            let count = tally.pools.entry(unit.pool.as_str()).or_default();
            if unit.up == Up::Serving {
                count.serving += 1;
                count.waiting += usize::from(unit.need.is_some());
            } else {
                count.down += 1;
                tally.down += 1;
            }
        }
        tally
    }

    /// Service that an instance's pool serves.
    pub fn service(self, unit: &Unit) -> Option<&'a Service> {
        self.contract.served_by(&unit.pool)
    }
}

impl<'a> Tally<'a> {
    /// Counts of one pool.
    pub fn pool(&self, pool: &str) -> Count {
        self.pools.get(pool).copied().unwrap_or_default()
    }

    /// Instances of all pools that are down.
    pub fn down(&self) -> usize {
        self.down
    }

    /// Counts a serving instance as stopped from now on.
    pub fn stop(&mut self, unit: &'a Unit) {
        let count = self.pools.entry(unit.pool.as_str()).or_default();
        count.serving = count.serving.saturating_sub(1);
        count.waiting = count.waiting.saturating_sub(1);
        count.down += 1;
        self.down += 1;
    }
}
