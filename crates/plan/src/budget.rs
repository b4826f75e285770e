//! Availability budgets: whether one more instance may go down.

use std::fmt;

use crate::unit::{Fleet, Tally, Unit, Up};

/// How far a budget is used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Standing {
    /// Instances that are down, planned or not.
    pub down: usize,
    /// Instances that may be down.
    pub allowed: usize,
}

/// Why an instance may not go down now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reason {
    /// Its pool serves no service of the contract.
    NoService,
    /// It does not serve, so a drain would change nothing and hide a loss.
    NotServing,
    /// The customer's budget is used up.
    Customer(Standing),
    /// The service's budget is used up.
    Service(Standing),
    /// Fewer instances than held would serve.
    Held {
        /// Instances that would serve.
        left: usize,
        /// Instances that must serve.
        held: usize,
    },
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoService => write!(f, "its pool serves no service of the contract"),
            Self::NotServing => write!(f, "it is not serving"),
            Self::Customer(at) => {
                write!(f, "the customer has {} of {} allowed instances down", at.down, at.allowed)
            }
            Self::Service(at) => {
                write!(f, "its service has {} of {} allowed instances down", at.down, at.allowed)
            }
            Self::Held { left, held } => {
                write!(f, "{left} instances would be left and the contract holds {held}")
            }
        }
    }
}

/// Whether one more instance may go down.
///
/// # Errors
///
/// The first rule that forbids it.
///
/// # Examples
///
/// ```
/// use plan::{Fleet, Reason, Unit, Up, check};
/// let text = "customer: c\ndown: 1\nservices:\n  - {name: s, pool: p, held: 2, down: 1}\n";
/// let contract = fleet::file::parse("c.yaml", text).unwrap();
/// let unit = |id: &str| Unit {
///     id: id.into(),
///     pool: "p".into(),
///     centre: "dc1".into(),
///     rack: "r1".into(),
///     up: Up::Serving,
///     need: None,
/// };
/// let units = [unit("a"), unit("b")];
/// let fleet = Fleet { contract: &contract, units: &units };
/// assert_eq!(check(fleet, &fleet.tally(), &units[0]), Err(Reason::Held { left: 1, held: 2 }));
/// ```
pub fn check(fleet: Fleet<'_>, tally: &Tally<'_>, unit: &Unit) -> Result<(), Reason> {
    let service = fleet.service(unit).ok_or(Reason::NoService)?;
    if unit.up != Up::Serving {
        return Err(Reason::NotServing);
    }
    let customer = Standing { down: tally.down(), allowed: fleet.contract.down as usize };
    if customer.down >= customer.allowed {
        return Err(Reason::Customer(customer));
    }
    let count = tally.pool(&service.pool);
    let own = Standing { down: count.down, allowed: service.down as usize };
    if own.down >= own.allowed {
        return Err(Reason::Service(own));
    }
    let (left, held) = (count.serving.saturating_sub(1), service.held as usize);
    if left < held {
        return Err(Reason::Held { left, held });
    }
    Ok(())
}
