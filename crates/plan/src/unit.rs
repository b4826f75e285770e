//! The fleet of one customer as decisions see it.

use fleet::{Contract, Service};

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

impl<'a> Fleet<'a> {
    /// Instances of one pool.
    pub fn pool(self, pool: &'a str) -> impl Iterator<Item = &'a Unit> {
        self.units.iter().filter(move |unit| unit.pool == pool)
    }

    /// Instances of a pool that carry load.
    pub fn serving(self, pool: &'a str) -> usize {
        self.pool(pool).filter(|unit| unit.up == Up::Serving).count()
    }

    /// Instances of a pool that are down, planned or not.
    pub fn down(self, pool: &'a str) -> usize {
        self.pool(pool).filter(|unit| unit.up != Up::Serving).count()
    }

    /// Instances of all pools that are down, planned or not.
    pub fn all_down(self) -> usize {
        self.units.iter().filter(|unit| unit.up != Up::Serving).count()
    }

    /// Service that an instance's pool serves.
    pub fn service(self, unit: &Unit) -> Option<&'a Service> {
        self.contract.served_by(&unit.pool)
    }
}
