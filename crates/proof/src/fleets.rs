//! Sample fleets, and a simulation of maintenance waves on them.
//!
//! The same seed gives the same fleet and the same losses.

use std::collections::HashMap;

use fleet::{Contract, Domain, Repeat, Service, Team, Urgency, Weights};
use plan::moves::PoolTarget;
use plan::wave::min_steps;
use plan::{Availability, DrainDecision, Fleet, FleetInstance, Operation};
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};

/// Maximum number of simulated steps, because losses can keep a wave from finishing.
const MAX_STEPS: usize = 400;
/// Instances of a customer in each rack; the last rack of a data centre may have fewer.
const INSTANCES_PER_RACK: usize = 4;

/// Policy that decides which instances with a pending operation are drained now.
pub type Policy = fn(Fleet<'_>) -> Vec<DrainDecision>;

/// Result of a simulated maintenance wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rollout {
    /// Steps until every instance had been stopped, or 400 when losses prevented that.
    pub steps: usize,
    /// Lower bound for the steps of any policy when no instance is lost.
    pub min_steps: usize,
    /// Maximum number of instances down, lost ones included, over the steps with a stop.
    pub max_down: usize,
    /// Violations of a budget or of a service's `held`, counted in the steps with a stop.
    pub violations: usize,
}

/// A customer with its contract and its instances.
#[derive(Debug, Clone)]
pub struct Sample {
    /// Contract of the customer.
    pub contract: Contract,
    /// Instances in all pools of the contract.
    pub instances: Vec<FleetInstance>,
}

/// Fleet of a transit agency: three data centres, five services, highest weight on roll-out.
pub fn transit(seed: u64) -> Sample {
    let weights = Weights { rollout: 6, buffer: 2, moves: 2 };
    sample("stcn", seed, 3, &[12, 10, 8, 9, 11], 2, 4, weights)
}

/// Fleet of a bottling company: four data centres, five services, high weights on buffer and moves.
pub fn bottler(seed: u64) -> Sample {
    let weights = Weights { rollout: 1, buffer: 5, moves: 4 };
    sample("vasconcelos", seed, 4, &[8, 10, 9, 12, 11], 1, 2, weights)
}

/// Fleets at the planned scale: 8,100 instances in 173 pools, 130 customers, nine data centres.
pub fn full_scale(seed: u64) -> Vec<Sample> {
    let mut random = StdRng::seed_from_u64(seed);
    // Numbers of instances and pools that have no customer yet.
    let mut unassigned = (8_100, 173);
    (0..130_u64)
        .map(|at| {
            let customers_left = 130 - at as usize;
            let pools = if unassigned.1 > customers_left { 2 } else { 1 };
            let pool_size = unassigned.0 / unassigned.1;
            let pool_sizes: Vec<usize> = (0..pools).map(|_| pool_size).collect();
            unassigned = (unassigned.0 - pool_size * pools, unassigned.1 - pools);
            let weights = Weights {
                rollout: random.random_range(0..10),
                buffer: random.random_range(0..10),
                moves: random.random_range(0..10),
            };
            sample(&format!("team-{at}"), seed + at, 9, &pool_sizes, 3, 5, weights)
        })
        .collect()
}

/// Makes a customer with one service and pool for each of the `pool_sizes`.
///
/// Each service holds 70% of its instances; `service_max_down` and `max_down` are the budgets of
/// each service and of the customer.
fn sample(
    name: &str,
    seed: u64,
    centres: usize,
    pool_sizes: &[usize],
    service_max_down: u32,
    max_down: u32,
    weights: Weights,
) -> Sample {
    let mut random = StdRng::seed_from_u64(seed);
    let mut instances = Vec::new();
    let mut services = Vec::new();
    for (at, size) in pool_sizes.iter().enumerate() {
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
            max_down: service_max_down,
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
        contract: Contract { customer, weights, survive, max_down, services, teams },
        instances,
    }
}

impl Sample {
    /// Marks every instance as waiting for a maintenance stop.
    #[must_use]
    pub fn with_pending_maintenance(mut self) -> Self {
        self.instances
            .iter_mut()
            .for_each(|instance| instance.pending = Some(Operation::Maintenance));
        self
    }

    /// Simulates a maintenance wave in steps.
    ///
    /// A stop lasts one step. With `losses`, each serving instance is lost with a probability of 1
    /// in `losses` per step, and a loss lasts two steps.
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
            let drained: Vec<String> = decisions
                .into_iter()
                .filter(|decision| decision.verdict.is_ok())
                .map(|decision| decision.id)
                .collect();
            self.stop(&drained, &mut result);
            for instance in &mut self.instances {
                if instance.availability == Availability::Stopped {
                    (instance.availability, instance.pending) = (Availability::Serving, None);
                }
            }
        }
        result
    }

    /// Ends the losses that are due and draws new ones; `lost` has the step in which each ends.
    fn inject_losses(
        &mut self,
        losses: u32,
        lost: &mut HashMap<String, usize>,
        step: usize,
        random: &mut StdRng,
    ) {
        for instance in &mut self.instances {
            match lost.get(&instance.id) {
                Some(end_step) if *end_step <= step => {
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

    /// Stops the drained instances and checks the budgets with counts of its own.
    ///
    /// It does not use the counts of `plan`, so that a fault in them shows up as a violation.
    fn stop(&mut self, drained: &[String], result: &mut Rollout) {
        for instance in &mut self.instances {
            if drained.contains(&instance.id) {
                instance.availability = Availability::Stopped;
            }
        }
        if drained.is_empty() {
            return;
        }
        let down = |pool: Option<&str>| {
            let members = self
                .instances
                .iter()
                .filter(|instance| pool.is_none_or(|pool| instance.pool == pool));
            members.filter(|instance| instance.availability != Availability::Serving).count()
        };
        result.max_down = result.max_down.max(down(None));
        result.violations += usize::from(down(None) > self.contract.max_down as usize);
        for service in &self.contract.services {
            let any_drained = self
                .instances
                .iter()
                .any(|instance| instance.pool == service.pool && drained.contains(&instance.id));
            let serving = self
                .instances
                .iter()
                .filter(|instance| {
                    instance.pool == service.pool && instance.availability == Availability::Serving
                })
                .count();
            let too_many_down = down(Some(&service.pool)) > service.max_down as usize;
            let too_few_serving = serving < service.held as usize;
            result.violations += usize::from(any_drained && (too_many_down || too_few_serving));
        }
    }

    /// Target sizes of the pools after a random change of load; their sum stays the same.
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

/// Baseline policy: drains in the order of ids, as far as the budgets allow.
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

/// Number of moves when every pool is refilled in the order of instance ids, as a baseline.
pub fn baseline_moves(instances: &[FleetInstance], targets: &[PoolTarget]) -> usize {
    let mut order: Vec<&FleetInstance> = instances.iter().collect();
    order.sort_by_key(|instance| &instance.id);
    let mut order = order.into_iter();
    let mut moves = 0;
    for target in targets {
        moves += order
            .by_ref()
            .take(target.count)
            .filter(|instance| instance.pool != target.pool)
            .count();
    }
    moves
}
