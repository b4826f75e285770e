//! Plans: what a contract needs beside what is there.

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

/// Shows the plan of a customer.
pub async fn show(facts: Data<Facts>, customer: Path<String>) -> HttpResponse {
    let state = facts.lock();
    let Some(agreed) = state.contracts.find(&customer) else {
        let error = format!("no contract of customer '{customer}'");
        return HttpResponse::NotFound().json(ErrorBody::new(error));
    };
    let units = units(&state, &agreed.contract);
    HttpResponse::Ok().json(plan(&agreed.contract, agreed.revision, &units))
}

/// Promises of a contract that the instances can't meet.
pub fn short(facts: &Facts, contract: &Contract) -> Vec<String> {
    let state = facts.lock();
    shortages(contract, &units(&state, contract))
}

/// Instances of a contract's pools.
fn units(state: &State, contract: &Contract) -> Vec<FleetInstance> {
    let mut units = Vec::new();
    for line in state.listed() {
        let row = state.instances.find(&line.id);
        let pool = row.map_or(&line.pool, |row| &row.pool);
        if contract.service_of_pool(pool).is_none() {
            continue;
        }
        let serving = row.is_none_or(|row| row.phase == Phase::Serving);
        units.push(FleetInstance {
            id: line.id.clone(),
            pool: pool.clone(),
            centre: line.centre.clone(),
            rack: line.rack.clone(),
            availability: if serving { Availability::Serving } else { Availability::Stopped },
            pending: None,
        });
    }
    units
}

fn of(units: &[FleetInstance], pool: &str) -> Vec<FleetInstance> {
    units.iter().filter(|unit| unit.pool == pool).cloned().collect()
}

fn shortages(contract: &Contract, units: &[FleetInstance]) -> Vec<String> {
    let mut found = Vec::new();
    for service in &contract.services {
        let own = of(units, &service.pool);
        let held = service.held as usize;
        let places = buffer::domain_capacities(&own, contract.survive);
        let enough = match contract.survive {
            fleet::Domain::None if own.len() >= held => Ok(()),
            fleet::Domain::None => {
                Err(Shortage { pool: service.pool.clone(), max_held: own.len(), held })
            }
            _ => buffer::spread(&service.pool, held, &places).map(drop),
        };
        if let Err(short) = enough {
            let (count, name, survive) = (own.len(), &service.name, contract.survive);
            found.push(format!(
                "service '{name}': held is {held}; pool '{}' has {count} instances, of which {} can \
                 be held after a loss of one {survive}; the nearest contract has held: {}",
                short.pool, short.max_held, short.max_held
            ));
        }
    }
    found
}

fn plan(contract: &Contract, revision: u64, units: &[FleetInstance]) -> PlanView {
    let places = buffer::domain_capacities(units, contract.survive);
    let short = shortages(contract, units);
    let buffer = buffer::plan(contract, &places);
    let buffer = buffer.unwrap_or_else(|short| BufferPlan {
        pools: indexmap::IndexMap::new(),
        shared: false,
        reason: short.to_string(),
    });
    let wants: Vec<PoolTarget> = contract
        .services
        .iter()
        .map(|service| {
            let spares = buffer.pools.get(&service.pool).map_or(0, |spread| spread.buffer);
            PoolTarget { pool: service.pool.clone(), count: service.held as usize + spares }
        })
        .collect();
    let moves = moves::plan(units, &wants).into_iter().map(|each| MoveView {
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
        services: services(contract, units),
        buffer: buffer.pools.values().map(|spread| spread.buffer).sum(),
        spare: units.len().saturating_sub(held),
        steps: min_steps(Fleet { contract, instances: units }),
        moves: moves.collect(),
        short,
    }
}

fn services(contract: &Contract, units: &[FleetInstance]) -> Vec<ServiceView> {
    let shown = contract.services.iter().map(|service| {
        let own = of(units, &service.pool);
        let places = buffer::domain_capacities(&own, contract.survive);
        ServiceView {
            service: service.name.clone(),
            pool: service.pool.clone(),
            instances: own.len(),
            held: service.held as usize,
            largest: places.iter().map(|place| place.capacity).max().unwrap_or(0),
        }
    });
    shown.collect()
}
