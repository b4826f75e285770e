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
const MAX_STEPS: usize = 400;
/// Instances in a rack.
const INSTANCES_PER_RACK: usize = 4;

/// A policy that decides which waiting instances go down.
pub type Policy = fn(Fleet<'_>) -> Vec<DrainDecision>;

/// What a run of steps came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rollout {
    /// Steps until every instance had its stop.
    pub steps: usize,
    /// Fewest steps that any policy could need without losses.
    pub min_steps: usize,
    /// Most instances that were down at once, losses included.
    pub max_down: usize,
    /// Permits that were given although a budget was used up.
    pub violations: usize,
}

/// One customer with its instances.
#[derive(Debug, Clone)]
pub struct Sample {
    /// Contract.
    pub contract: Contract,
    /// Instances.
    pub instances: Vec<FleetInstance>,
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
pub fn full_scale(seed: u64) -> Vec<Sample> {
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
    let mut instances = Vec::new();
    let mut services = Vec::new();
    for (at, size) in sizes.iter().enumerate() {
        let pool = format!("{name}-{at}");
        for _ in 0..*size {
            let number = instances.len();
            let centre = format!("dc{}", number % centres);
            instances.push(FleetInstance {
                id: format!("{name}-{number}"),
                pool: pool.clone(),
                rack: format!("{centre}-r{}", number / centres / INSTANCES_PER_RACK),
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
    instances.shuffle(&mut random);
    let teams = vec![Team { name: "team".to_owned(), cores: 64, accelerators: 8 }];
    let customer = name.to_owned();
    let survive = Domain::Rack;
    Sample {
        contract: Contract { customer, weights, survive, max_down: down, services, teams },
        instances,
    }
}

impl Sample {
    /// Lets every instance wait for a maintenance stop.
    #[must_use]
    pub fn with_pending_maintenance(mut self) -> Self {
        self.instances
            .iter_mut()
            .for_each(|instance| instance.pending = Some(Operation::Maintenance));
        self
    }

    /// Runs a maintenance wave in steps; a stop takes one, and a loss, one in `losses`, two.
    pub fn rollout(mut self, policy: Policy, losses: Option<u32>, seed: u64) -> Rollout {
        let mut random = StdRng::seed_from_u64(seed);
        let mut lost: HashMap<String, usize> = HashMap::new();
        let min_steps = min_steps(Fleet { contract: &self.contract, instances: &self.instances });
        let mut result = Rollout { steps: 0, min_steps, max_down: 0, violations: 0 };
        while result.steps < MAX_STEPS
            && self.instances.iter().any(|instance| instance.pending.is_some())
        {
            result.steps += 1;
            if let Some(losses) = losses {
                self.inject_losses(losses, &mut lost, result.steps, &mut random);
            }
            let decisions = policy(Fleet { contract: &self.contract, instances: &self.instances });
            let given: Vec<String> = decisions
                .into_iter()
                .filter(|decision| decision.verdict.is_ok())
                .map(|decision| decision.id)
                .collect();
            self.stop(&given, &mut result);
            for instance in &mut self.instances {
                if instance.availability == Availability::Stopped {
                    (instance.availability, instance.pending) = (Availability::Serving, None);
                }
            }
        }
        result
    }

    fn inject_losses(
        &mut self,
        losses: u32,
        lost: &mut HashMap<String, usize>,
        step: usize,
        random: &mut StdRng,
    ) {
        for instance in &mut self.instances {
            match lost.get(&instance.id) {
                Some(until) if *until <= step => {
                    instance.availability = Availability::Serving;
                    lost.remove(&instance.id);
                }
                None if random.random_ratio(1, losses) => {
                    instance.availability = Availability::Lost;
                    lost.insert(instance.id.clone(), step + 2);
                }
                _ => {}
            }
        }
    }

    /// Stops the permitted instances and checks the budgets by plain counting.
    fn stop(&mut self, given: &[String], result: &mut Rollout) {
        for instance in &mut self.instances {
            if given.contains(&instance.id) {
                instance.availability = Availability::Stopped;
            }
        }
        if given.is_empty() {
            return;
        }
        let down = |pool: Option<&str>| {
            let of = self
                .instances
                .iter()
                .filter(|instance| pool.is_none_or(|pool| instance.pool == pool));
            of.filter(|instance| instance.availability != Availability::Serving).count()
        };
        result.max_down = result.max_down.max(down(None));
        result.violations += usize::from(down(None) > self.contract.max_down as usize);
        for service in &self.contract.services {
            let given = self
                .instances
                .iter()
                .any(|instance| instance.pool == service.pool && given.contains(&instance.id));
            let serving = self
                .instances
                .iter()
                .filter(|instance| {
                    instance.pool == service.pool && instance.availability == Availability::Serving
                })
                .count();
            let over = down(Some(&service.pool)) > service.max_down as usize;
            let under = serving < service.held as usize;
            result.violations += usize::from(given && (over || under));
        }
    }

    /// Sizes of the pools after a change of load, with the same number of instances in all.
    pub fn pool_targets(&self, seed: u64) -> Vec<PoolTarget> {
        let mut random = StdRng::seed_from_u64(seed);
        let mut targets: Vec<PoolTarget> = self
            .contract
            .services
            .iter()
            .map(|service| PoolTarget {
                pool: service.pool.clone(),
                count: self
                    .instances
                    .iter()
                    .filter(|instance| instance.pool == service.pool)
                    .count(),
            })
            .collect();
        for _ in 0..self.instances.len() / 4 {
            let pools: Vec<usize> = (0..targets.len()).collect();
            let (Some(from), Some(to)) = (pools.choose(&mut random), pools.choose(&mut random))
            else {
                continue;
            };
            if targets[*from].count > 1 {
                targets[*from].count -= 1;
                targets[*to].count += 1;
            }
        }
        targets
    }
}

/// The plainest policy: in order of names, whatever the budgets let through.
pub fn baseline(fleet: Fleet<'_>) -> Vec<DrainDecision> {
    let mut counts = fleet.counts();
    let mut instances: Vec<&FleetInstance> =
        fleet.instances.iter().filter(|instance| instance.pending.is_some()).collect();
    instances.sort_by_key(|instance| &instance.id);
    let mut decisions = Vec::new();
    for instance in instances {
        let verdict = plan::check_budgets(fleet, &counts, instance);
        if verdict.is_ok() {
            counts.record_stop(instance);
        }
        decisions.push(DrainDecision { id: instance.id.clone(), verdict });
    }
    decisions
}

/// The plainest moves: pools are filled anew in order of names.
pub fn baseline_moves(instances: &[FleetInstance], targets: &[PoolTarget]) -> usize {
    let mut order: Vec<&FleetInstance> = instances.iter().collect();
    order.sort_by_key(|instance| &instance.id);
    let mut order = order.into_iter();
    let mut moves = 0;
    for want in targets {
        moves +=
            order.by_ref().take(want.count).filter(|instance| instance.pool != want.pool).count();
    }
    moves
}
