//! The contracts in force, arranged for the path of a request.

use std::collections::HashMap;
use std::sync::Arc;

use fleet::Service;
use peer::facts::State;

/// One service as its contract describes it.
#[derive(Debug)]
pub struct Rule {
    /// Customer.
    pub customer: String,
    /// The service.
    pub service: Service,
}

/// All services of all customers under one set of revisions.
#[derive(Debug, Default)]
pub struct Rules {
    customers: HashMap<String, HashMap<String, Arc<Rule>>>,
}

/// Why there is no rule for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LookupError {
    /// No contract of that customer is in force.
    UnknownCustomer,
    /// The customer has no such service.
    UnknownService,
}

impl Rules {
    /// Arranges the contracts that a process holds.
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

    /// Looks the rule up for a customer's service.
    pub fn find(&self, customer: &str, service: &str) -> Result<Arc<Rule>, LookupError> {
        let services = self.customers.get(customer).ok_or(LookupError::UnknownCustomer)?;
        services.get(service).cloned().ok_or(LookupError::UnknownService)
    }
}
