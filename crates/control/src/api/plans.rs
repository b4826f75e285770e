//! Plans: the instances that a contract needs, compared with those that exist.

use actix_web::HttpResponse;
use actix_web::web::{Data, Path};
use base::admin::ErrorBody;
use base::view::{MoveView, PlanView, ServiceView};
use fleet::{Contract, Phase};
use peer::Facts;
use peer::facts::State;
use plan::buffer::{self, BufferPlan, Shortage};
use plan::moves::{self, PoolTarget};
use plan::wave::min_steps;
use plan::{Availability, Fleet, FleetInstance};

/// Shows the plan for a customer's contract.
pub async fn show(facts: Data<Facts>, customer: Path<String>) -> HttpResponse {
    let state = facts.lock();
    let Some(in_force) = state.contracts.find(&customer) else {
        let error = format!("no contract of customer '{customer}'");
        return HttpResponse::NotFound().json(ErrorBody::new(error));
    };
    let instances = contract_instances(&state, &in_force.contract);
    HttpResponse::Ok().json(plan(&in_force.contract, in_force.revision, &instances))
}

/// Describes the services of a contract that the current instances can't meet.
pub fn current_shortages(facts: &Facts, contract: &Contract) -> Vec<String> {
    let state = facts.lock();
    shortages(contract, &contract_instances(&state, contract))
}

/// Returns the instances of a contract's pools.
fn contract_instances(state: &State, contract: &Contract) -> Vec<FleetInstance> {
    let mut instances = Vec::new();
    for entry in state.listed_instances() {
        let row = state.instances.find(&entry.id);
        let pool = row.map_or(&entry.pool, |row| &row.pool);
        if contract.service_of_pool(pool).is_none() {
            continue;
        }
        let serving = row.is_none_or(|row| row.phase == Phase::Serving);
        instances.push(FleetInstance {
            id: entry.id.clone(),
            pool: pool.clone(),
            centre: entry.centre.clone(),
            rack: entry.rack.clone(),
            availability: if serving { Availability::Serving } else { Availability::Stopped },
            pending: None,
        });
    }
    instances
}

/// Returns copies of the instances in one pool.
fn pool_instances(instances: &[FleetInstance], pool: &str) -> Vec<FleetInstance> {
    instances.iter().filter(|instance| instance.pool == pool).cloned().collect()
}

/// Describes each service whose pool can't hold as many instances as the contract requires.
fn shortages(contract: &Contract, instances: &[FleetInstance]) -> Vec<String> {
    let mut shortages = Vec::new();
    for service in &contract.services {
        let in_pool = pool_instances(instances, &service.pool);
        let held = service.held as usize;
        let domains = buffer::domain_capacities(&in_pool, contract.survive);
        let enough = match contract.survive {
            fleet::Domain::None if in_pool.len() >= held => Ok(()),
            fleet::Domain::None => {
                Err(Shortage { pool: service.pool.clone(), max_held: in_pool.len(), held })
            }
            _ => buffer::spread(&service.pool, held, &domains).map(drop),
        };
        if let Err(shortage) = enough {
            let (count, name, survive) = (in_pool.len(), &service.name, contract.survive);
            shortages.push(format!(
                "service '{name}': held is {held}; pool '{}' has {count} instances, of which {} can \
                 be held after a loss of one {survive}; the nearest contract has held: {}",
                shortage.pool, shortage.max_held, shortage.max_held
            ));
        }
    }
    shortages
}

/// Plans the buffer and the moves for a contract, and counts the steps of a maintenance wave.
fn plan(contract: &Contract, revision: u64, instances: &[FleetInstance]) -> PlanView {
    let domains = buffer::domain_capacities(instances, contract.survive);
    let shortages = shortages(contract, instances);
    let buffer = buffer::plan(contract, &domains);
    let buffer = buffer.unwrap_or_else(|shortage| BufferPlan {
        pools: indexmap::IndexMap::new(),
        shared: false,
        reason: shortage.to_string(),
    });
    let targets: Vec<PoolTarget> = contract
        .services
        .iter()
        .map(|service| {
            let spares = buffer.pools.get(&service.pool).map_or(0, |spread| spread.buffer);
            PoolTarget { pool: service.pool.clone(), count: service.held as usize + spares }
        })
        .collect();
    let moves = moves::plan(instances, &targets).into_iter().map(|each| MoveView {
        id: each.id,
        from: each.from,
        to: each.to,
        reason: each.reason,
    });
    let held: usize = contract.services.iter().map(|service| service.held as usize).sum();
    PlanView {
        customer: contract.customer.clone(),
        revision,
        survive: contract.survive.to_string(),
        shared: buffer.shared,
        reason: buffer.reason,
        services: services(contract, instances),
        buffer: buffer.pools.values().map(|spread| spread.buffer).sum(),
        spare: instances.len().saturating_sub(held),
        steps: min_steps(Fleet { contract, instances }),
        moves: moves.collect(),
        short: shortages,
    }
}

/// Describes the pools of a contract's services.
fn services(contract: &Contract, instances: &[FleetInstance]) -> Vec<ServiceView> {
    let services = contract.services.iter().map(|service| {
        let in_pool = pool_instances(instances, &service.pool);
        let domains = buffer::domain_capacities(&in_pool, contract.survive);
        ServiceView {
            service: service.name.clone(),
            pool: service.pool.clone(),
            instances: in_pool.len(),
            held: service.held as usize,
            largest: domains.iter().map(|domain| domain.capacity).max().unwrap_or(0),
        }
    });
    services.collect()
}
