//! Contracts in force, indexed by customer and service for the handling of requests.

use std::collections::HashMap;
use std::sync::Arc;

use fleet::Service;
use peer::facts::State;

/// Rule by which the requests of one service are handled, from its customer's contract.
#[derive(Debug)]
pub struct Rule {
    /// Name of the customer.
    pub customer: String,
    /// Service with its pool and limits.
    pub service: Service,
}

/// Rules of all customers' services, by customer and service name.
#[derive(Debug, Default)]
pub struct Rules {
    customers: HashMap<String, HashMap<String, Arc<Rule>>>,
}

/// Reason why there is no rule for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LookupError {
    /// No contract of the customer is in force.
    UnknownCustomer,
    /// The customer's contract has no service of that name.
    UnknownService,
}

impl Rules {
    /// Builds the rules from the contracts in force.
    pub fn build(state: &State) -> Self {
        let mut customers: HashMap<String, HashMap<String, Arc<Rule>>> = HashMap::new();
        for (customer, _, version) in state.contracts.live() {
            let services = customers.entry(customer.to_owned()).or_default();
            for service in &version.contract.services {
                let rule = Rule { customer: customer.to_owned(), service: service.clone() };
                services.insert(service.name.clone(), Arc::new(rule));
            }
        }
        Self { customers }
    }

    /// Returns the rule of a customer's service.
    pub fn find(&self, customer: &str, service: &str) -> Result<Arc<Rule>, LookupError> {
        let services = self.customers.get(customer).ok_or(LookupError::UnknownCustomer)?;
        services.get(service).cloned().ok_or(LookupError::UnknownService)
    }
}
