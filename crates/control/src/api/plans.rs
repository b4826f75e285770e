//! Plans: what a contract needs beside what is there.

use actix_web::HttpResponse;
use actix_web::web::{Data, Path};
use base::admin::Refusal;
use base::shown::{MoveShown, PlanShown, ServiceShown};
use fleet::{Contract, Phase};
use peer::Facts;
use peer::facts::State;
use plan::buffer::{self, Buffer, Short};
use plan::moves::{self, Want};
use plan::wave::least_steps;
use plan::{Fleet, Unit, Up};

/// Shows the plan of a customer.
pub async fn show(facts: Data<Facts>, customer: Path<String>) -> HttpResponse {
    let state = facts.lock();
    let Some(agreed) = state.contracts.find(&customer) else {
        let error = format!("no contract of customer '{customer}'");
        return HttpResponse::NotFound().json(Refusal::new(error));
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
fn units(state: &State, contract: &Contract) -> Vec<Unit> {
    let mut units = Vec::new();
    for line in state.listed() {
        let row = state.instances.find(&line.id);
        let pool = row.map_or(&line.pool, |row| &row.pool);
        if contract.served_by(pool).is_none() {
            continue;
        }
        let serving = row.is_none_or(|row| row.phase == Phase::Serving);
        units.push(Unit {
            id: line.id.clone(),
            pool: pool.clone(),
            centre: line.centre.clone(),
            rack: line.rack.clone(),
            up: if serving { Up::Serving } else { Up::Stopped },
            need: None,
        });
    }
    units
}

fn of(units: &[Unit], pool: &str) -> Vec<Unit> {
    units.iter().filter(|unit| unit.pool == pool).cloned().collect()
}

fn shortages(contract: &Contract, units: &[Unit]) -> Vec<String> {
    let mut found = Vec::new();
    for service in &contract.services {
        let own = of(units, &service.pool);
        let held = service.held as usize;
        let places = buffer::places(&own, contract.survive);
        let enough = match contract.survive {
            fleet::Domain::None if own.len() >= held => Ok(()),
            fleet::Domain::None => {
                Err(Short { pool: service.pool.clone(), nearest: own.len(), held })
            }
            _ => buffer::spread(&service.pool, held, &places).map(drop),
        };
        if let Err(short) = enough {
            let (count, name, survive) = (own.len(), &service.name, contract.survive);
            found.push(format!(
                "service '{name}': held is {held}; pool '{}' has {count} instances, of which {} can \
                 be held after a loss of one {survive}; the nearest contract has held: {}",
                short.pool, short.nearest, short.nearest
            ));
        }
    }
    found
}

fn plan(contract: &Contract, revision: u64, units: &[Unit]) -> PlanShown {
    let places = buffer::places(units, contract.survive);
    let short = shortages(contract, units);
    let buffer = buffer::plan(contract, &places);
    let buffer = buffer.unwrap_or_else(|short| Buffer {
        pools: indexmap::IndexMap::new(),
        shared: false,
        reason: short.to_string(),
    });
    let wants: Vec<Want> = contract
        .services
        .iter()
        .map(|service| {
            let spares = buffer.pools.get(&service.pool).map_or(0, |spread| spread.buffer);
            Want { pool: service.pool.clone(), count: service.held as usize + spares }
        })
        .collect();
    let moves = moves::plan(units, &wants).into_iter().map(|each| MoveShown {
        id: each.id,
        from: each.from,
        to: each.to,
        reason: each.reason,
    });
    let held: usize = contract.services.iter().map(|service| service.held as usize).sum();
    PlanShown {
        customer: contract.customer.clone(),
        revision,
        survive: contract.survive.to_string(),
        shared: buffer.shared,
        reason: buffer.reason,
        services: services(contract, units),
        buffer: buffer.pools.values().map(|spread| spread.buffer).sum(),
        spare: units.len().saturating_sub(held),
        steps: least_steps(Fleet { contract, units }),
        moves: moves.collect(),
        short,
    }
}

fn services(contract: &Contract, units: &[Unit]) -> Vec<ServiceShown> {
    let shown = contract.services.iter().map(|service| {
        let own = of(units, &service.pool);
        let places = buffer::places(&own, contract.survive);
        ServiceShown {
            service: service.name.clone(),
            pool: service.pool.clone(),
            instances: own.len(),
            held: service.held as usize,
            largest: places.iter().map(|place| place.room).max().unwrap_or(0),
        }
    });
    shown.collect()
}
