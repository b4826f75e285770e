//! Compares the decisions of `plan` with a baseline and a lower bound, and measures their time.
//!
//! The column `baseline` has the result of the simplest policy, the column `bound` a lower bound
//! for every policy. All measures are better when they are smaller.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use fleet::{Domain, Team, Urgency};
use plan::buffer::{domain_capacities, plan as buffer};
use plan::moves::{min_moves, plan as moves};
use plan::place::{Job, Resources, Worker, place};
use plan::{Fleet, next_step};
use proof::fleets::{Sample, baseline, baseline_moves, bottler, full_scale, transit};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Seed of all fleets, losses and jobs.
const SEED: u64 = 1;
/// Number of workers that jobs are placed on.
const WORKERS: usize = 8_100;
/// Number of jobs that are placed.
const JOBS: usize = 5_000;

fn main() {
    println!("{:<14}{:<26}{:>8}{:>10}{:>8}", "deployment", "measure", "plan", "baseline", "bound");
    report_quality("stcn", &[transit(SEED)]);
    report_quality("vasconcelos", &[bottler(SEED)]);
    report_quality("planned", &full_scale(SEED));
    report_planning_time(&full_scale(SEED));
    report_placement_time();
}

/// Prints the quality of the decisions, summed over the samples.
fn report_quality(name: &str, samples: &[Sample]) {
    // A row for each of the `measures` below, with the values of plan, baseline and bound.
    let mut totals: [[usize; 3]; 4] = [[0; 3]; 4];
    for sample in samples {
        let waiting = sample.clone().with_pending_maintenance();
        let baseline_rollout = waiting.clone().rollout(baseline, None, SEED);
        let rollout = waiting.clone().rollout(next_step, None, SEED);
        add(&mut totals[0], [rollout.steps, baseline_rollout.steps, rollout.min_steps]);
        let baseline_rollout = waiting.clone().rollout(baseline, Some(200), SEED);
        let rollout = waiting.rollout(next_step, Some(200), SEED);
        add(&mut totals[1], [rollout.steps, baseline_rollout.steps, rollout.min_steps]);
        let domains = domain_capacities(&sample.instances, Domain::Rack);
        let planned = buffer(&sample.contract, &domains).expect("held instances fit the domains");
        let spares = planned.pools.values().map(|spread| spread.buffer).sum();
        let services = sample.contract.services.iter();
        // The baseline buffer is a whole rack for each pool. After the loss of one domain, each
        // other domain has at most `buffer` instances, so `buffer` is at least `held` divided by
        // their number.
        let held: usize = services.clone().map(|service| service.held as usize).sum();
        let bound = if planned.shared {
            held.div_ceil(domains.len() - 1)
        } else {
            services
                .clone()
                .map(|service| (service.held as usize).div_ceil(domains.len() - 1))
                .sum()
        };
        let rack_capacity = domains.iter().map(|domain| domain.capacity).max().unwrap_or(0);
        add(&mut totals[2], [spares, rack_capacity * services.len(), bound]);
        let targets = sample.pool_targets(SEED);
        let planned = moves(&sample.instances, &targets).len();
        let bound = min_moves(&sample.instances, &targets);
        add(&mut totals[3], [planned, baseline_moves(&sample.instances, &targets), bound]);
    }
    let measures = ["roll-out, steps", "roll-out with losses, steps", "buffer, instances", "moves"];
    for (measure, [plan, baseline, bound]) in measures.iter().zip(totals) {
        println!("{name:<14}{measure:<28}{plan:>6}{baseline:>10}{bound:>8}");
    }
}

fn add(totals: &mut [usize; 3], values: [usize; 3]) {
    totals.iter_mut().zip(values).for_each(|(total, value)| *total += value);
}

/// Prints the time to plan all fleets, and to plan the next step of one customer's wave.
fn report_planning_time(samples: &[Sample]) {
    let waiting: Vec<Sample> =
        samples.iter().cloned().map(Sample::with_pending_maintenance).collect();
    let plan_all = || {
        for sample in &waiting {
            let fleet = Fleet { contract: &sample.contract, instances: &sample.instances };
            std::hint::black_box(next_step(fleet));
            std::hint::black_box(moves(&sample.instances, &sample.pool_targets(SEED)));
            let domains = domain_capacities(&sample.instances, Domain::Rack);
            std::hint::black_box(buffer(&sample.contract, &domains).is_ok());
        }
    };
    println!("full replan, {} instances: {:?}", instance_count(samples), median_time(plan_all));
    let customer = &waiting[0];
    let fleet = Fleet { contract: &customer.contract, instances: &customer.instances };
    let plan_step = || drop(std::hint::black_box(next_step(fleet)));
    println!("incremental replan, one customer: {:?}", median_time(plan_step));
}

fn instance_count(samples: &[Sample]) -> usize {
    samples.iter().map(|sample| sample.instances.len()).sum()
}

/// Prints the time to place random jobs on workers.
fn report_placement_time() {
    let mut random = StdRng::seed_from_u64(SEED);
    let workers: Vec<Worker> = (0..WORKERS)
        .map(|at| {
            let accelerators = if at % 4 == 0 { 5 } else { 0 };
            let free = Resources { accelerators, millicores: 32_000, memory_mib: 65_536 };
            Worker { id: format!("worker-{at}"), free, schedulable: true }
        })
        .collect();
    let teams: Vec<Team> = (0..130)
        .map(|at| Team { name: format!("team-{at}"), cores: 1_000, accelerators: 90 })
        .collect();
    let jobs: Vec<Job> = (0..JOBS)
        .map(|at| Job {
            id: format!("job-{at}"),
            team: format!("team-{}", random.random_range(0..130)),
            kind: "rebuild".to_owned(),
            urgency: if at % 10 == 0 { Urgency::Urgent } else { Urgency::Waiting },
            resources: Resources {
                accelerators: u32::from(random.random_ratio(1, 5)),
                millicores: random.random_range(500..16_000),
                memory_mib: random.random_range(512..32_768),
            },
            run_time: Duration::from_secs(random.random_range(10..3_600)),
            deadline: Some(Duration::from_secs(7_200)),
            excluded_workers: Vec::new(),
        })
        .collect();
    let place_all = || place(&workers, &jobs, &teams, &HashMap::new(), &HashMap::new());
    let placement = place_all();
    let urgent = jobs.iter().filter(|job| job.urgency == Urgency::Urgent).count();
    println!(
        "placement of {JOBS} jobs ({urgent} urgent) on {WORKERS} workers: {} start, {:?}",
        placement.assignments.len(),
        median_time(|| drop(std::hint::black_box(place_all())))
    );
}

/// Median time of eleven runs.
fn median_time(mut run: impl FnMut()) -> Duration {
    let mut times: Vec<Duration> = (0..11)
        .map(|_| {
            let start = Instant::now();
            run();
            start.elapsed()
        })
        .collect();
    times.sort_unstable();
    times[5]
}
