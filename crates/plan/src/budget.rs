//! Availability budgets: whether one more instance may be taken down.

use std::fmt;

use crate::instance::{Availability, Fleet, FleetCounts, FleetInstance};

/// Current use of an availability budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetUse {
    /// Instances that are down, planned or not.
    pub down: usize,
    /// Maximum number of instances that may be down.
    pub allowed: usize,
}

/// Reason why an instance may not be drained now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DrainRefusal {
    /// The instance's pool serves no service of the contract.
    NoService,
    /// The instance is not serving, so a drain would change nothing and hide that it is lost.
    NotServing,
    /// The customer's budget is used up.
    CustomerBudget(BudgetUse),
    /// The service's budget is used up.
    ServiceBudget(BudgetUse),
    /// The drain would leave fewer serving instances than the contract's `held`.
    BelowHeld {
        /// Instances that would still be serving.
        remaining: usize,
        /// Instances that must keep serving.
        held: usize,
    },
}

impl fmt::Display for DrainRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoService => write!(f, "its pool serves no service of the contract"),
            Self::NotServing => write!(f, "it is not serving"),
            Self::CustomerBudget(used) => {
                write!(
                    f,
                    "the customer has {} of {} allowed instances down",
                    used.down, used.allowed
                )
            }
            Self::ServiceBudget(used) => {
                write!(
                    f,
                    "its service has {} of {} allowed instances down",
                    used.down, used.allowed
                )
            }
            Self::BelowHeld { remaining, held } => {
                write!(f, "{remaining} instances would be left and the contract holds {held}")
            }
        }
    }
}

/// Checks whether one more instance may be drained.
///
/// # Errors
///
/// Returns the first rule that forbids the drain.
///
/// # Examples
///
/// ```
/// use plan::{Availability, DrainRefusal, Fleet, FleetInstance, check_budgets};
/// let text = "customer: c\ndown: 1\nservices:\n  - {name: s, pool: p, held: 2, down: 1}\n";
/// let contract = fleet::file::parse("c.yaml", text).unwrap();
/// let instance = |id: &str| FleetInstance {
///     id: id.into(),
///     pool: "p".into(),
///     centre: "dc1".into(),
///     rack: "r1".into(),
///     availability: Availability::Serving,
///     pending: None,
/// };
/// let instances = [instance("a"), instance("b")];
/// let fleet = Fleet { contract: &contract, instances: &instances };
/// assert_eq!(
///     check_budgets(fleet, &fleet.counts(), &instances[0]),
///     Err(DrainRefusal::BelowHeld { remaining: 1, held: 2 })
/// );
/// ```
pub fn check_budgets(
    fleet: Fleet<'_>,
    counts: &FleetCounts<'_>,
    instance: &FleetInstance,
) -> Result<(), DrainRefusal> {
    let service = fleet.service(instance).ok_or(DrainRefusal::NoService)?;
    if instance.availability != Availability::Serving {
        return Err(DrainRefusal::NotServing);
    }
    let customer_use = BudgetUse { down: counts.down(), allowed: fleet.contract.max_down as usize };
    if customer_use.down >= customer_use.allowed {
        return Err(DrainRefusal::CustomerBudget(customer_use));
    }
    let pool = counts.pool(&service.pool);
    let service_use = BudgetUse { down: pool.down, allowed: service.max_down as usize };
    if service_use.down >= service_use.allowed {
        return Err(DrainRefusal::ServiceBudget(service_use));
    }
    let (remaining, held) = (pool.serving.saturating_sub(1), service.held as usize);
    if remaining < held {
        return Err(DrainRefusal::BelowHeld { remaining, held });
    }
    Ok(())
}
