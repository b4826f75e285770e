//! Buffer, roll-out time, moves and decision time, beside the plainest policy and the lower bound.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use fleet::{Domain, Team, Urgency};
use plan::buffer::{domain_capacities, plan as buffer};
use plan::moves::{min_moves, plan as moves};
use plan::place::{Job, Resources, Worker, place};
use plan::{Fleet, next_wave};
use proof::fleets::{Sample, baseline, baseline_moves, bottler, full_scale, transit};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Seed of all fleets.
const SEED: u64 = 1;
/// Workers and jobs of the placement run.
const WORKERS: usize = 8_100;
const JOBS: usize = 5_000;

fn main() {
    println!("{:<14}{:<26}{:>8}{:>10}{:>8}", "deployment", "measure", "plan", "plainest", "bound");
    report("stcn", &[transit(SEED)]);
    report("vasconcelos", &[bottler(SEED)]);
    report("planned", &full_scale(SEED));
    times(&full_scale(SEED));
    placement();
}

fn report(name: &str, samples: &[Sample]) {
    let mut totals: [[usize; 3]; 4] = [[0; 3]; 4];
    for sample in samples {
        let waiting = sample.clone().with_pending_maintenance();
        let plain = waiting.clone().rollout(baseline, None, SEED);
        let mine = waiting.clone().rollout(next_wave, None, SEED);
        add(&mut totals[0], [mine.steps, plain.steps, mine.min_steps]);
        let plain = waiting.clone().rollout(baseline, Some(200), SEED);
        let mine = waiting.rollout(next_wave, Some(200), SEED);
        add(&mut totals[1], [mine.steps, plain.steps, mine.min_steps]);
        let domains = domain_capacities(&sample.instances, Domain::Rack);
        let planned = buffer(&sample.contract, &domains).expect("a buffer");
        let spares = planned.pools.values().map(|spread| spread.buffer).sum();
        let services = sample.contract.services.iter();
        // The plainest buffer holds a whole rack for each pool; no plan does with less than the
        // held instances' share of one domain.
        let held: usize = services.clone().map(|service| service.held as usize).sum();
        let bound = if planned.shared {
            held.div_ceil(domains.len() - 1)
        } else {
            services
                .clone()
                .map(|service| (service.held as usize).div_ceil(domains.len() - 1))
                .sum()
        };
        let rack = domains.iter().map(|place| place.capacity).max().unwrap_or(0);
        add(&mut totals[2], [spares, rack * services.len(), bound]);
        let targets = sample.pool_targets(SEED);
        let planned = moves(&sample.instances, &targets).len();
        let bound = min_moves(&sample.instances, &targets);
        add(&mut totals[3], [planned, baseline_moves(&sample.instances, &targets), bound]);
    }
    let measures = ["roll-out, steps", "roll-out with losses, steps", "buffer, instances", "moves"];
    for (measure, [plan, plain, bound]) in measures.iter().zip(totals) {
        println!("{name:<14}{measure:<28}{plan:>6}{plain:>10}{bound:>8}");
    }
}

fn add(total: &mut [usize; 3], each: [usize; 3]) {
    total.iter_mut().zip(each).for_each(|(total, each)| *total += each);
}

fn times(samples: &[Sample]) {
    let waiting: Vec<Sample> =
        samples.iter().cloned().map(Sample::with_pending_maintenance).collect();
    let replan = || {
        for sample in &waiting {
            let fleet = Fleet { contract: &sample.contract, instances: &sample.instances };
            std::hint::black_box(next_wave(fleet));
            std::hint::black_box(moves(&sample.instances, &sample.pool_targets(SEED)));
            let domains = domain_capacities(&sample.instances, Domain::Rack);
            std::hint::black_box(buffer(&sample.contract, &domains).is_ok());
        }
    };
    println!("full replan, {} instances: {:?}", total(samples), median(replan));
    let one = &waiting[0];
    let fleet = Fleet { contract: &one.contract, instances: &one.instances };
    let step = || drop(std::hint::black_box(next_wave(fleet)));
    println!("incremental replan, one customer: {:?}", median(step));
}

fn total(samples: &[Sample]) -> usize {
    samples.iter().map(|sample| sample.instances.len()).sum()
}

fn placement() {
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
    let run = || place(&workers, &jobs, &teams, &HashMap::new(), &HashMap::new());
    let placed = run();
    let urgent = jobs.iter().filter(|job| job.urgency == Urgency::Urgent).count();
    println!(
        "placement of {JOBS} jobs ({urgent} urgent) on {WORKERS} workers: {} start, {:?}",
        placed.assignments.len(),
        median(|| drop(std::hint::black_box(run())))
    );
}

/// Middle of eleven runs.
fn median(mut run: impl FnMut()) -> Duration {
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
