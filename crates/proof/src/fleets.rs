//! Fleets from a fixed seed, and decisions called in steps against them.

use std::collections::HashMap;

use fleet::{Contract, Domain, Repeat, Service, Team, Urgency, Weights};
use plan::moves::PoolTarget;
use plan::wave::min_steps;
use plan::{Availability, DrainDecision, Fleet, FleetInstance, Operation};
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};

/// Steps after which a run ends that losses keep from finishing.
const LAST_STEP: usize = 400;
/// Instances in a rack.
const RACK: usize = 4;

/// A policy that decides which waiting instances go down.
pub type Policy = fn(Fleet<'_>) -> Vec<DrainDecision>;

/// What a run of steps came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rollout {
    /// Steps until every instance had its stop.
    pub steps: usize,
    /// Fewest steps that any policy could need without losses.
    pub bound: usize,
    /// Most instances that were down at once, losses included.
    pub down: usize,
    /// Permits that were given although a budget was used up.
    pub broken: usize,
}

/// One customer with its instances.
#[derive(Debug, Clone)]
pub struct Sample {
    /// Contract.
    pub contract: Contract,
    /// Instances.
    pub units: Vec<FleetInstance>,
}

/// The transit agency: three data centres, five services, roll-out weighs most.
pub fn transit(seed: u64) -> Sample {
    let weights = Weights { rollout: 6, buffer: 2, moves: 2 };
    sample("stcn", seed, 3, &[12, 10, 8, 9, 11], 2, 4, weights)
}

/// The bottler: four data centres, five services, buffer and moves weigh most.
pub fn bottler(seed: u64) -> Sample {
    let weights = Weights { rollout: 1, buffer: 5, moves: 4 };
    sample("vasconcelos", seed, 4, &[8, 10, 9, 12, 11], 1, 2, weights)
}

/// The planned size: 8,100 instances in 173 pools of 130 customers, nine data centres.
pub fn planned(seed: u64) -> Vec<Sample> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut left = (8_100, 173);
    (0..130_u64)
        .map(|at| {
            let customers = 130 - at as usize;
            let pools = if left.1 > customers { 2 } else { 1 };
            let share = left.0 / left.1;
            let sizes: Vec<usize> = (0..pools).map(|_| share).collect();
            left = (left.0 - share * pools, left.1 - pools);
            let weights = Weights {
                rollout: random.random_range(0..10),
                buffer: random.random_range(0..10),
                moves: random.random_range(0..10),
            };
            sample(&format!("team-{at}"), seed + at, 9, &sizes, 3, 5, weights)
        })
        .collect()
}

fn sample(
    name: &str,
    seed: u64,
    centres: usize,
    sizes: &[usize],
    width: u32,
    down: u32,
    weights: Weights,
) -> Sample {
    let mut random = StdRng::seed_from_u64(seed);
    let mut units = Vec::new();
    let mut services = Vec::new();
    for (at, size) in sizes.iter().enumerate() {
        let pool = format!("{name}-{at}");
        for _ in 0..*size {
            let number = units.len();
            let centre = format!("dc{}", number % centres);
            units.push(FleetInstance {
                id: format!("{name}-{number}"),
                pool: pool.clone(),
                rack: format!("{centre}-r{}", number / centres / RACK),
                centre,
                availability: Availability::Serving,
                pending: None,
            });
        }
        services.push(Service {
            name: format!("service-{at}"),
            pool,
            held: u32::try_from(size * 7 / 10).unwrap_or(1).max(1),
            max_down: width,
            urgency: Urgency::Waiting,
            repeat: Repeat::Allowed,
            default_deadline: std::time::Duration::from_secs(1),
            max_in_flight: 256,
            max_body: 1 << 20,
        });
    }
    units.shuffle(&mut random);
    let teams = vec![Team { name: "team".to_owned(), cores: 64, accelerators: 8 }];
    let customer = name.to_owned();
    let survive = Domain::Rack;
    Sample {
        contract: Contract { customer, weights, survive, max_down: down, services, teams },
        units,
    }
}

impl Sample {
    /// Lets every instance wait for a maintenance stop.
    #[must_use]
    pub fn waiting(mut self) -> Self {
        self.units.iter_mut().for_each(|unit| unit.pending = Some(Operation::Maintenance));
        self
    }

    /// Runs a maintenance wave in steps; a stop takes one, and a loss, one in `losses`, two.
    pub fn rollout(mut self, policy: Policy, losses: Option<u32>, seed: u64) -> Rollout {
        let mut random = StdRng::seed_from_u64(seed);
        let mut lost: HashMap<String, usize> = HashMap::new();
        let bound = min_steps(Fleet { contract: &self.contract, instances: &self.units });
        let mut result = Rollout { steps: 0, bound, down: 0, broken: 0 };
        while result.steps < LAST_STEP && self.units.iter().any(|unit| unit.pending.is_some()) {
            result.steps += 1;
            if let Some(losses) = losses {
                self.lose(losses, &mut lost, result.steps, &mut random);
            }
            let choices = policy(Fleet { contract: &self.contract, instances: &self.units });
            let given: Vec<String> = choices
                .into_iter()
                .filter(|choice| choice.verdict.is_ok())
                .map(|choice| choice.id)
                .collect();
            self.stop(&given, &mut result);
            for unit in &mut self.units {
                if unit.availability == Availability::Stopped {
                    (unit.availability, unit.pending) = (Availability::Serving, None);
                }
            }
        }
        result
    }

    fn lose(
        &mut self,
        losses: u32,
        lost: &mut HashMap<String, usize>,
        step: usize,
        random: &mut StdRng,
    ) {
        for unit in &mut self.units {
            match lost.get(&unit.id) {
                Some(until) if *until <= step => {
                    unit.availability = Availability::Serving;
                    lost.remove(&unit.id);
                }
                None if random.random_ratio(1, losses) => {
                    unit.availability = Availability::Lost;
                    lost.insert(unit.id.clone(), step + 2);
                }
                _ => {}
            }
        }
    }

    /// Stops the permitted instances and checks the budgets by plain counting.
    fn stop(&mut self, given: &[String], result: &mut Rollout) {
        for unit in &mut self.units {
            if given.contains(&unit.id) {
                unit.availability = Availability::Stopped;
            }
        }
        if given.is_empty() {
            return;
        }
        let down = |pool: Option<&str>| {
            let of = self.units.iter().filter(|unit| pool.is_none_or(|pool| unit.pool == pool));
            of.filter(|unit| unit.availability != Availability::Serving).count()
        };
        result.down = result.down.max(down(None));
        result.broken += usize::from(down(None) > self.contract.max_down as usize);
        for service in &self.contract.services {
            let given =
                self.units.iter().any(|unit| unit.pool == service.pool && given.contains(&unit.id));
            let serving = self
                .units
                .iter()
                .filter(|unit| {
                    unit.pool == service.pool && unit.availability == Availability::Serving
                })
                .count();
            let over = down(Some(&service.pool)) > service.max_down as usize;
            let under = serving < service.held as usize;
            result.broken += usize::from(given && (over || under));
        }
    }

    /// Sizes of the pools after a change of load, with the same number of instances in all.
    pub fn wants(&self, seed: u64) -> Vec<PoolTarget> {
        let mut random = StdRng::seed_from_u64(seed);
        let mut wants: Vec<PoolTarget> = self
            .contract
            .services
            .iter()
            .map(|service| PoolTarget {
                pool: service.pool.clone(),
                count: self.units.iter().filter(|unit| unit.pool == service.pool).count(),
            })
            .collect();
        for _ in 0..self.units.len() / 4 {
            let pools: Vec<usize> = (0..wants.len()).collect();
            let (Some(from), Some(to)) = (pools.choose(&mut random), pools.choose(&mut random))
            else {
                continue;
            };
            if wants[*from].count > 1 {
                wants[*from].count -= 1;
                wants[*to].count += 1;
            }
        }
        wants
    }
}

/// The plainest policy: in order of names, whatever the budgets let through.
pub fn plainest(fleet: Fleet<'_>) -> Vec<DrainDecision> {
    let mut tally = fleet.counts();
    let mut units: Vec<&FleetInstance> =
        fleet.instances.iter().filter(|unit| unit.pending.is_some()).collect();
    units.sort_by_key(|unit| &unit.id);
    let mut choices = Vec::new();
    for unit in units {
        let verdict = plan::check_budgets(fleet, &tally, unit);
        if verdict.is_ok() {
            tally.record_stop(unit);
        }
        choices.push(DrainDecision { id: unit.id.clone(), verdict });
    }
    choices
}

/// The plainest moves: pools are filled anew in order of names.
pub fn plainest_moves(units: &[FleetInstance], wants: &[PoolTarget]) -> usize {
    let mut order: Vec<&FleetInstance> = units.iter().collect();
    order.sort_by_key(|unit| &unit.id);
    let mut order = order.into_iter();
    let mut moves = 0;
    for want in wants {
        moves += order.by_ref().take(want.count).filter(|unit| unit.pool != want.pool).count();
    }
    moves
}
