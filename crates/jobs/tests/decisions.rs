//! Load patterns against the capacity decisions: rebalancing of pools, maintenance waves, admission
//! and the order of jobs.

mod dice;

use dice::SeededRng;
use indexmap::IndexMap;
use jobs::admit::{
    Amount, Incoming, JobWork, Load, Outlook, OutlookBuilder, Request, Verdict, decide,
    decide_by_outlook,
};
use jobs::order::{Candidate, Policy};
use jobs::relocate::{Action, Relocation};
use jobs::share::{Demand, Inflow, Rebalancer, machines_needed};
use jobs::wave::{self, ListedMachine, NextAction, Stage, Wave, plan_steps};
use jobs::{Job, Resources, Step};

const MACHINE_CPU: u64 = 16_000;

fn names(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|n| format!("{prefix}{n}")).collect()
}

fn pool(machines: usize, arrival_rate: u64, removable: Vec<String>) -> Demand {
    Demand { machines, arrival_rate, removable, ..Demand::default() }
}

#[test]
fn a_pool_at_its_peak_gets_standby_machines_first_and_then_spare_ones_of_other_pools() {
    let mut pools = IndexMap::new();
    pools.insert("idle".to_owned(), pool(9, 1_000, names("i", 8)));
    pools.insert("peak".to_owned(), pool(9, 300_000, Vec::new()));
    let standby = names("s", 4);
    let moves =
        Rebalancer::default().plan_moves(&pools, Some(("standby", &standby)), 22, MACHINE_CPU, 0);
    // 300 cores plus 25 % headroom are 24 machines, 15 more than the pool has. 4 machines are on
    // standby, and the idle pool keeps 5, half of an even share.
    assert_eq!(machines_needed(&pools["peak"], MACHINE_CPU), 24);
    assert!(moves.iter().all(|s| s.to == "peak"), "{moves:?}");
    assert_eq!(moves.iter().filter(|s| s.from == "standby").count(), 4);
    assert_eq!(moves.iter().filter(|s| s.from == "idle").count(), 4);
    assert!(moves[..4].iter().all(|s| s.from == "standby"), "machines on standby move first");
}

/// Guards against a pool that is left without machines because its executors, which have shrunk, are
/// counted at full size.
#[test]
fn a_pool_whose_executors_have_shrunk_gets_machines_for_the_capacity_that_they_lack() {
    let demand = |shortfall| Demand { shortfall, ..pool(20, 128_000, names("m", 18)) };
    assert_eq!(machines_needed(&demand(0), MACHINE_CPU), 10);
    // The same machines have 15, 10, 8 and 0 full-sized ones' worth of capacity.
    for (lost, needed) in [(5, 14), (10, 20), (12, 22), (20, 30)] {
        assert_eq!(machines_needed(&demand(lost * MACHINE_CPU), MACHINE_CPU), needed, "{lost}");
    }
    let idle = Demand { shortfall: 18 * MACHINE_CPU, ..pool(20, 0, names("m", 18)) };
    assert_eq!(machines_needed(&idle, MACHINE_CPU), 3, "a pool without work keeps no more of them");
    let mut pools = IndexMap::new();
    pools.insert(
        "shrunken".to_owned(),
        Demand { removable: Vec::new(), ..demand(12 * MACHINE_CPU) },
    );
    let standby = names("s", 4);
    let moves =
        Rebalancer::default().plan_moves(&pools, Some(("standby", &standby)), 24, MACHINE_CPU, 0);
    assert_eq!(moves.len(), 2, "{moves:?}");
    assert!(moves.iter().all(|s| s.from == "standby" && s.to == "shrunken"));
}

/// Guards against long-running tasks that can't leave a machine for its maintenance, or have no place
/// to go, as the pool has just as many machines as they need.
#[test]
fn a_pool_with_machines_in_maintenance_gets_others_for_its_long_running_tasks() {
    let lasting = Demand { long_running: 20_000, min_machines: 5, ..pool(6, 0, Vec::new()) };
    assert_eq!(machines_needed(&lasting, MACHINE_CPU), 6);
    let mut pools = IndexMap::new();
    pools.insert("p".to_owned(), Demand { away: 2, ..lasting.clone() });
    let standby = names("s", 4);
    let moves =
        Rebalancer::default().plan_moves(&pools, Some(("standby", &standby)), 6, MACHINE_CPU, 0);
    assert_eq!(moves.len(), 2, "{moves:?}");
    let none = Demand { away: 2, ..pool(6, 0, Vec::new()) };
    assert_eq!(machines_needed(&none, MACHINE_CPU), 3, "other tasks need not move");
}

#[test]
fn a_pool_releases_machines_only_after_it_was_too_large_for_a_while() {
    let mut pools = IndexMap::new();
    pools.insert("past".to_owned(), pool(20, 1_000, names("a", 18)));
    pools.insert("next".to_owned(), pool(4, 1_000, Vec::new()));
    let standby = Vec::new();
    let mut rebalancer = Rebalancer::default();
    assert!(
        rebalancer.plan_moves(&pools, Some(("standby", &standby)), 24, MACHINE_CPU, 0).is_empty()
    );
    assert!(
        rebalancer.plan_moves(&pools, Some(("standby", &standby)), 24, MACHINE_CPU, 900).is_empty()
    );
    let back = rebalancer.plan_moves(&pools, Some(("standby", &standby)), 24, MACHINE_CPU, 1_300);
    assert_eq!(back.len(), 8, "each of two pools has an even share of half the machines");
    assert!(back.iter().all(|s| s.from == "past" && s.to == "next"));
}

#[test]
fn machines_that_idle_for_later_steps_go_to_a_pool_whose_peak_begins() {
    let mut pools = IndexMap::new();
    // The peak is over: half of the machines are in use, and second steps wait for first steps.
    let past =
        Demand { used: 15 * MACHINE_CPU, backlog: 20 * MACHINE_CPU * 1_500, ..Demand::default() };
    let past = Demand { machines: 30, removable: names("a", 15), idle: 15, ..past };
    pools.insert("past".to_owned(), past);
    pools.insert("peak".to_owned(), pool(6, 12 * MACHINE_CPU, Vec::new()));
    let moves = Rebalancer::default().plan_moves(&pools, None, 36, MACHINE_CPU, 0);
    // The arriving work needs 12 machines plus 25 % headroom; the pool has 6.
    assert_eq!(moves.len(), 9, "{moves:?}");
    assert!(moves.iter().all(|s| s.from == "past" && s.to == "peak"));
}

#[test]
fn a_busy_pool_loses_no_machines_to_another_pools_peak() {
    let mut pools = IndexMap::new();
    // Tasks wait for resources. Not all resources are in use, because the rest of each machine is
    // too small for a task.
    let busy =
        Demand { used: 20 * MACHINE_CPU, backlog: 40 * MACHINE_CPU * 1_500, ..Demand::default() };
    pools.insert("busy".to_owned(), Demand { machines: 30, removable: names("b", 30), ..busy });
    pools.insert("peak".to_owned(), pool(6, 12 * MACHINE_CPU, Vec::new()));
    let moves = Rebalancer::default().plan_moves(&pools, None, 36, MACHINE_CPU, 0);
    assert!(moves.is_empty(), "{moves:?}");
}

#[test]
fn a_peak_does_not_empty_the_pool_whose_peak_is_next() {
    let mut pools = IndexMap::new();
    pools.insert("peak".to_owned(), pool(9, 3_000_000, Vec::new()));
    pools.insert("next".to_owned(), pool(9, 1_000, names("n", 9)));
    let moves = Rebalancer::default().plan_moves(&pools, None, 18, MACHINE_CPU, 0);
    assert_eq!(moves.len(), 5, "the pool keeps half of its even share: {moves:?}");
}

#[test]
fn long_running_tasks_keep_the_machines_that_they_run_on() {
    let demand = Demand { min_machines: 7, long_running: 9_000, ..Demand::default() };
    assert_eq!(
        machines_needed(&demand, MACHINE_CPU),
        8,
        "one more than they need, as one may be down"
    );
}

#[test]
fn a_rise_of_the_inflow_is_extrapolated_over_the_time_of_a_move() {
    let (mut steady, mut rising) = (Inflow::default(), Inflow::default());
    for at in (0..2_000).step_by(20) {
        steady.add(at, 1_000_000);
        if at >= 1_000 || at % 100 == 0 {
            rising.add(at, 1_000_000);
        }
    }
    let (steady, rising) = (steady.rate(2_000), rising.rate(2_000));
    assert!(rising > steady * 2, "{rising} against {steady}");
}

/// Highest estimated rates within each 1.2 s of a random inflow with a constant mean, in percent of
/// that mean, in ascending order.
///
/// `a_second` jobs arrive each second with a mean of `work`; they are reported every
/// `report_interval` milliseconds, not more often than every 50 ms.
fn steady_rates(a_second: f64, work: u64, report_interval: u64) -> Vec<u64> {
    let (mut inflow, mut rng) = (Inflow::default(), SeededRng(7));
    let (mut next, mut waiting, mut rates) = (0.0, Vec::new(), Vec::new());
    for now in (0..40_000u64).step_by(50) {
        while next < now as f64 {
            waiting.push((next as u64, (work as f64 * 2.0 * rng.uniform()) as u64));
            next += rng.arrival_gap(a_second);
        }
        if now % report_interval.max(50) == 0 {
            waiting.drain(..).for_each(|(at, work)| inflow.add(at, work));
        }
        if now > 2_000 {
            let mean = (a_second * work as f64 / 1_000.0) as u64;
            rates.push(inflow.rate(now) * 100 / mean);
        }
    }
    // Pools release machines only some time after a peak, so the highest rate counts.
    let mut peaks: Vec<u64> =
        rates.windows(24).map(|window| window.iter().copied().max().unwrap()).collect();
    peaks.sort_unstable();
    peaks
}

/// Highest estimates of a steady inflow, in percent of its mean: for half of the time, and for nine
/// tenths of it. A queue at its peak needs half of the machines.
const MAX_RATE_PERCENT: (u64, u64) = (125, 200);

#[test]
fn random_arrivals_of_large_jobs_are_not_taken_for_a_rise() {
    let rates = steady_rates(27.0, 90_000_000, 0);
    let (half, most) = (rates[rates.len() / 2], rates[rates.len() * 9 / 10]);
    assert!(
        half <= MAX_RATE_PERCENT.0 && most <= MAX_RATE_PERCENT.1,
        "{half} and {most} percent of the mean"
    );
    assert!(half >= 75, "{half} percent of the mean is too low");
}

#[test]
fn jobs_reported_in_batches_are_not_taken_for_a_rise() {
    let rates = steady_rates(180.0, 12_000_000, 600);
    let (half, most) = (rates[rates.len() / 2], rates[rates.len() * 9 / 10]);
    assert!(
        half <= MAX_RATE_PERCENT.0 && most <= MAX_RATE_PERCENT.1,
        "{half} and {most} percent of the mean"
    );
}

/// Simulates a wave whose machines take 500 ms to empty and `stop` milliseconds to stop.
///
/// Returns the duration of the wave in milliseconds and the most machines down at once.
fn run_wave(wave: &Wave, stop: u64) -> (u64, usize) {
    let mut stages: IndexMap<String, Stage> = IndexMap::new();
    let mut since: IndexMap<String, u64> = IndexMap::new();
    let mut most = 0;
    for now in (0..).step_by(100) {
        for (machine, stage) in &mut stages {
            if *stage == Stage::Down && now >= since[machine] + stop {
                *stage = Stage::Done;
            }
        }
        let steps = plan_steps(wave, &stages, now, &|m| now >= since[m] + 500, &|_| 0, &|_| false);
        if steps.complete {
            return (now, most);
        }
        for machine in steps.start_emptying {
            since.insert(machine.clone(), now);
            stages.insert(machine, Stage::Emptying);
        }
        for machine in steps.take_down {
            since.insert(machine.clone(), now);
            stages.insert(machine, Stage::Down);
        }
        let down = stages.values().filter(|s| **s == Stage::Down).count();
        assert!(down <= wave.max_down, "{down} machines are down");
        most = most.max(down);
        assert!(now < 10 * wave.time_limit, "the wave has not ended in ten times its limit");
    }
    unreachable!("the loop returns or fails an assertion")
}

#[test]
fn a_wave_ends_in_time_with_no_more_machines_down_than_that_takes() {
    let wave = Wave { number: 1, machines: names("m", 21), max_down: 9, time_limit: 26_000 };
    let (ended, most) = run_wave(&wave, 2_000);
    assert!(ended < wave.time_limit, "ended after {ended} ms");
    assert!(
        most < wave.max_down,
        "{most} machines down at once, although the deadline needs fewer"
    );
}

/// Guards against executors that stand empty and closed for seconds: machines that shut down on their
/// own refuse their orders, and held the wave's slots meanwhile.
#[test]
fn machines_that_refuse_their_orders_do_not_hold_up_the_others_of_their_wave() {
    let wave = Wave { number: 1, machines: names("m", 12), max_down: 4, time_limit: 24_000 };
    let refuses = |m: &str| ["m0", "m1", "m2", "m3"].contains(&m);
    let mut stages: IndexMap<String, Stage> = IndexMap::new();
    let mut since: IndexMap<String, u64> = IndexMap::new();
    let mut busy: IndexMap<String, u64> = IndexMap::new();
    for now in (0..wave.time_limit).step_by(100) {
        let is_busy = |m: &str| busy.get(m).is_some_and(|until| now < *until);
        for (machine, stage) in &mut stages {
            if *stage == Stage::Down && !refuses(machine) && now >= since[machine] + 2_000 {
                *stage = Stage::Done;
            }
        }
        let planned =
            stages.iter().map(|(m, s)| (m.clone(), wave::planned_stage(*s, is_busy(m)))).collect();
        let is_empty = |m: &str| now >= since[m] + 500;
        let cost = |m: &str| if is_busy(m) { u64::MAX } else { u64::from(!refuses(m)) };
        let steps = plan_steps(&wave, &planned, now, &is_empty, &cost, &|_| false);
        for machine in steps.start_emptying {
            since.entry(machine.clone()).or_insert(now);
            stages.entry(machine).or_insert(Stage::Emptying);
        }
        for machine in steps.take_down {
            let refused = refuses(&machine);
            let stage = if refused { wave::after_refusal(false) } else { Stage::Down };
            if refused {
                busy.insert(machine.clone(), now + wave::BUSY_RETRY_MS);
            } else {
                since.insert(machine.clone(), now);
            }
            stages.insert(machine, stage);
        }
    }
    let done = stages.values().filter(|stage| **stage == Stage::Done).count();
    assert_eq!(done, 8, "all machines that take their orders have had their maintenance");
}

/// Guards against waves that miss their deadline for a few machines: those with long-running tasks
/// of one step, of which only two may be unavailable at once, were begun last, and after an outage in
/// which no order could be sent.
#[test]
fn machines_with_long_running_tasks_of_one_step_are_done_in_time_despite_an_outage() {
    const TASK_MOVE_MS: u64 = 2_200;
    const OUTAGE_MS: std::ops::Range<u64> = 8_000..14_000;
    let wave = Wave { number: 1, machines: names("m", 160), max_down: 60, time_limit: 25_000 };
    let lasting: Vec<String> = names("m", 160).into_iter().step_by(13).collect();
    let has_long_running = |m: &str| lasting.iter().any(|l| l == m);
    let mut stages: IndexMap<String, Stage> = IndexMap::new();
    let mut since: IndexMap<String, u64> = IndexMap::new();
    // Times at which the places of the step's unavailable tasks are free again.
    let mut free_at = [0_u64; 2];
    let mut empty_at: IndexMap<String, u64> = IndexMap::new();
    for now in (0..wave.time_limit).step_by(100).filter(|now| !OUTAGE_MS.contains(now)) {
        for (machine, stage) in &mut stages {
            if *stage == Stage::Down && now >= since[machine] + 2_000 {
                *stage = Stage::Done;
            }
            if *stage == Stage::Emptying
                && has_long_running(machine)
                && !empty_at.contains_key(machine)
                && let Some(place) = free_at.iter_mut().find(|at| **at <= now)
            {
                *place = now + TASK_MOVE_MS;
                empty_at.insert(machine.clone(), now + TASK_MOVE_MS / 2);
            }
        }
        let is_empty = |m: &str| {
            let empty = empty_at.get(m).is_some_and(|at| now >= *at);
            if has_long_running(m) { empty } else { now >= since[m] + 500 }
        };
        let cost = |m: &str| {
            let begun = stages.get(m).is_some_and(|stage| *stage == Stage::Emptying);
            match has_long_running(m) {
                _ if begun => wave::CANNOT_BEGIN,
                true => 1_100,
                false => 1_000,
            }
        };
        let is_stuck = |m: &str| wave::empties_slowly(now - since[m]) && !is_empty(m);
        let planned = stages
            .iter()
            .map(|(m, s)| {
                let stuck = *s == Stage::Emptying && is_stuck(m);
                (m.clone(), wave::planned_stage(*s, stuck))
            })
            .collect();
        let steps = plan_steps(&wave, &planned, now, &is_empty, &cost, &has_long_running);
        for machine in steps.start_emptying {
            since.entry(machine.clone()).or_insert(now);
            stages.entry(machine).or_insert(Stage::Emptying);
        }
        for machine in steps.take_down {
            since.insert(machine.clone(), now);
            stages.insert(machine, Stage::Down);
        }
    }
    let late: Vec<&String> = wave
        .machines
        .iter()
        .filter(|m| !matches!(stages.get(*m), Some(Stage::Down | Stage::Done)))
        .collect();
    assert!(late.is_empty(), "not begun by the deadline: {late:?}");
}

#[test]
fn a_short_wave_uses_its_whole_limit() {
    let wave = Wave { number: 1, machines: names("m", 21), max_down: 3, time_limit: 22_000 };
    let (ended, most) = run_wave(&wave, 2_000);
    assert!(ended < wave.time_limit, "ended after {ended} ms");
    assert_eq!(most, 3);
}

#[test]
fn the_machines_with_the_least_cost_go_first() {
    let wave = Wave { number: 1, machines: names("m", 4), max_down: 1, time_limit: 60_000 };
    let steps =
        plan_steps(&wave, &IndexMap::new(), 0, &|_| false, &|m| u64::from(m != "m2"), &|_| false);
    assert_eq!(steps.start_emptying, ["m2"]);
}

#[test]
fn jobs_are_accepted_while_their_results_are_useful() {
    let mut load = Load { jobs: 100, capacity: 144_000, ..Load::default() };
    // During a peak, work for 310 cores arrives at a pool of 144 cores, which leaves a growing
    // backlog.
    let mut accepted = 0;
    for _ in 0..100 {
        load.backlog += 166_000 * 100;
        load.timely_backlog = load.backlog;
        if decide(&load, 2_200, 1_000, 0) == Verdict::Accept {
            accepted += 1;
        }
    }
    // Results are useful for three objectives. Less the job's own work, that leaves 5.6 s of
    // backlog, which is reached after 4.9 s.
    assert_eq!(accepted, 48);
    let Verdict::Refuse(delay) = decide(&load, 2_200, 1_000, 0) else {
        panic!("a full backlog must refuse")
    };
    assert_eq!(delay, load.backlog / load.capacity - 5_600);
}

#[test]
fn a_pool_keeps_the_machines_that_large_jobs_use_between_two_bursts() {
    let mut pools = IndexMap::new();
    let busy = Demand { used: 19 * MACHINE_CPU, ..pool(20, 0, names("a", 18)) };
    pools.insert("bursts".to_owned(), busy);
    let standby = Vec::new();
    let mut rebalancer = Rebalancer::default();
    for now in [0, 2_000, 4_000] {
        let back = rebalancer.plan_moves(&pools, Some(("standby", &standby)), 20, MACHINE_CPU, now);
        assert!(back.len() <= 1, "at {now} ms: {back:?}");
    }
}

#[test]
fn an_order_is_not_repeated_to_a_machine_that_has_another_executor() {
    let emptied = ListedMachine {
        listed_after_order: None,
        accepted: false,
        recently_ordered: false,
        still_empty: true,
    };
    assert_eq!(emptied.next_action(), NextAction::RepeatOrder);
    // Tasks may have started on the new executor, and the outcome of the first order is unknown.
    assert_eq!(
        ListedMachine { still_empty: false, ..emptied }.next_action(),
        NextAction::EmptyAgain
    );
    // An order of a former holder may still be on its way.
    assert_eq!(ListedMachine { recently_ordered: true, ..emptied }.next_action(), NextAction::Wait);
    assert_eq!(
        ListedMachine { listed_after_order: Some(false), ..emptied }.next_action(),
        NextAction::Wait
    );
    assert_eq!(
        ListedMachine { listed_after_order: Some(true), still_empty: false, ..emptied }
            .next_action(),
        NextAction::Done
    );
}

/// Guards against maintenance that a new holder of the duties begins again, although its predecessor
/// has recorded that the order was accepted.
#[test]
fn a_machine_that_is_back_after_a_recorded_acceptance_is_not_emptied_again() {
    let back = ListedMachine {
        listed_after_order: None,
        accepted: true,
        recently_ordered: false,
        still_empty: false,
    };
    assert_eq!(back.next_action(), NextAction::Done);
    assert_eq!(ListedMachine { recently_ordered: true, ..back }.next_action(), NextAction::Done);
    // The list still shows the executor that was emptied.
    assert_eq!(ListedMachine { still_empty: true, ..back }.next_action(), NextAction::RepeatOrder);
}

#[test]
fn a_late_backlog_after_an_outage_refuses_no_job_that_can_be_in_time() {
    // 30 s of late work for the few machines that a pool has when its peak begins.
    let load = Load { jobs: 170, backlog: 3_840_000_000, capacity: 128_000, ..Load::default() };
    assert_eq!(decide(&load, 2_200, 1_000, 0), Verdict::Accept);
    // The jobs that go before the new one take longer than it can wait.
    let load = Load { timely_backlog: 400_000_000, ..load };
    assert_eq!(decide(&load, 2_200, 1_000, 0), Verdict::Refuse(1_925));
}

#[test]
fn no_job_is_refused_at_the_start_of_a_peak_when_incoming_machines_can_serve_it() {
    // 4 machines have arrived, and 21 were ordered 1.2 s ago.
    let load = Load {
        jobs: 130,
        timely_backlog: 267_531_300,
        backlog: 2_415_005_050,
        capacity: 128_000,
        incoming_capacity: 672_000,
        incoming_delay: 400,
    };
    // The timely backlog takes 2,090 ms without the incoming machines and 670 ms with them; the
    // whole backlog takes 3,354 ms with them.
    assert_eq!(decide(&load, 2_500, 1_400, 0), Verdict::Accept);
    assert_eq!(decide(&load, 1_400, 1_100, 0), Verdict::Refuse(254));
    assert_eq!(
        decide(&Load { incoming_capacity: 0, incoming_delay: 0, ..load }, 2_500, 1_400, 0),
        Verdict::Refuse(990)
    );
}

/// A job of equal tasks, each of which takes half a second.
fn job_of(count: u32, cpu: u64, memory: u64) -> Job {
    let resources = Resources { cpu, memory, gpus: 0 };
    Job {
        steps: vec![Step { count, resources, estimate: 500, ..Step::default() }],
        ..Job::default()
    }
}

/// Outlook of a pool of four full machines with equal started jobs, each of which has eight small tasks
/// to start; some were accepted in the last 400 ms.
fn outlook(started: usize, accepted: usize, memory: u64) -> Outlook {
    let job = job_of(8, 1_000, memory);
    let candidate = Candidate {
        policy: Policy::LatestStart,
        long_running: false,
        started: true,
        priority: 0,
        beyond_share: false,
        requested_at: 9_900,
        objective: 11_300,
        critical_path: 500,
        work: job.work(),
    };
    let mut builder = OutlookBuilder::default();
    for n in 0..started {
        let accepted = (n < accepted).then(|| JobWork::of(&job));
        builder.add_job(&candidate, JobWork::of(&job), accepted, 10_000);
    }
    let machine = Resources { cpu: MACHINE_CPU, memory: 32_000, gpus: 0 };
    builder.build(Amount(4 * MACHINE_CPU, 128_000), Amount::default(), machine)
}

/// Decides on a job that needs 500 ms and should be completed in 1,400 ms.
fn decide_on(outlook: &Outlook, job: &Job, waited: u64, incoming: Incoming, age: u64) -> Verdict {
    let request =
        Request { id: "a", job, priority: 0, beyond_share: false, objective: 1_400, waited };
    decide_by_outlook(outlook, 10, &request, incoming, age)
}

/// Guards against pools that look free because only their CPU is counted.
#[test]
fn a_pool_whose_memory_is_short_refuses_jobs_that_would_come_too_late() {
    let job = job_of(8, 1_000, 100);
    let none = Incoming::default();
    // 12 jobs of four core seconds take 0.8 s of 64 cores, and with 6 GB a task 2.4 s of 128 GB.
    assert_eq!(decide_on(&outlook(12, 0, 100), &job, 0, none, 100), Verdict::Accept);
    assert!(matches!(decide_on(&outlook(12, 0, 6_000), &job, 0, none, 100), Verdict::Refuse(_)));
}

/// Guards against processes that accept on the same load for as long as it is the newest that they
/// have.
#[test]
fn jobs_accepted_since_the_load_was_published_count_by_the_rate_of_the_latest() {
    let job = job_of(8, 1_000, 100);
    let none = Incoming::default();
    // 10 jobs in 400 ms bring 1.7 times as much work as the pool does.
    assert_eq!(decide_on(&outlook(10, 10, 100), &job, 0, none, 50), Verdict::Accept);
    assert!(matches!(decide_on(&outlook(10, 10, 100), &job, 0, none, 600), Verdict::Refuse(_)));
    assert_eq!(decide_on(&outlook(10, 0, 100), &job, 0, none, 600), Verdict::Accept);
}

/// Guards against a retry that is accepted although it has no time left, and against refusals while
/// the pool has room.
#[test]
fn a_retried_job_is_accepted_while_it_has_time_or_the_pool_has_room() {
    let job = job_of(8, 1_000, 100);
    let none = Incoming::default();
    assert_eq!(decide_on(&outlook(12, 0, 100), &job, 0, none, 100), Verdict::Accept);
    assert!(matches!(decide_on(&outlook(12, 0, 100), &job, 800, none, 100), Verdict::Refuse(_)));
    assert_eq!(decide_on(&outlook(0, 0, 100), &job, 3_000, none, 100), Verdict::Accept);
    assert!(matches!(decide_on(&outlook(18, 0, 100), &job, 0, none, 100), Verdict::Refuse(_)));
    let machines = Incoming { cpu: 16 * MACHINE_CPU, delay: 100 };
    assert_eq!(decide_on(&outlook(18, 0, 100), &job, 0, machines, 100), Verdict::Accept);
}

/// Guards against accepted jobs that no executor can run, and against clients that all come back at
/// once.
#[test]
fn a_job_larger_than_any_executor_is_refused_for_long_and_retries_are_spread() {
    let large = job_of(1, MACHINE_CPU + 1, 100);
    let free = outlook(0, 0, 100);
    let none = Incoming::default();
    assert!(matches!(decide_on(&free, &large, 0, none, 0), Verdict::Refuse(30_000..45_000)));
    let machines = Incoming { cpu: MACHINE_CPU, delay: 100 };
    assert_eq!(decide_on(&free, &large, 0, machines, 0), Verdict::Accept);
    let refused = |id: &str| {
        let request = Request {
            id,
            job: &large,
            priority: 0,
            beyond_share: false,
            objective: 1_400,
            waited: 0,
        };
        decide_by_outlook(&free, 10, &request, none, 0)
    };
    let ids: Vec<String> = (0..40).map(|n| format!("{n:016x}")).collect();
    let delays: IndexMap<String, ()> =
        ids.iter().map(|id| (format!("{:?}", refused(id)), ())).collect();
    assert!(delays.len() > 35, "{} different delays of 40", delays.len());
}

#[test]
fn a_job_that_may_be_in_time_without_time_to_spare_goes_before_late_jobs() {
    let job = |requested_at, critical_path: u64| Candidate {
        policy: Policy::LatestStart,
        long_running: false,
        started: false,
        priority: 0,
        beyond_share: false,
        requested_at,
        objective: requested_at + critical_path * 1_600 / 1_000 + 600,
        critical_path,
        work: critical_path * 14_000,
    };
    // 20 machines arrive at 2.7 s, after jobs have waited for them.
    let now = 2_700;
    let (late, tight, better) = (job(0, 800), job(1_800, 1_000), job(2_050, 500));
    let useless = job(0, 100);
    assert!(tight.rank(now) < late.rank(now));
    assert!(better.rank(now) < tight.rank(now));
    assert!(late.rank(now) < useless.rank(now));
    // A job with time to spare goes before all of them.
    assert!(job(2_500, 1_000).rank(now) < better.rank(now));
}

#[test]
fn with_more_timely_jobs_than_capacity_the_smallest_go_first() {
    let job = |objective, work| Candidate {
        policy: Policy::LatestStart,
        long_running: false,
        started: false,
        priority: 0,
        beyond_share: false,
        requested_at: 0,
        objective,
        critical_path: 1_000,
        work,
    };
    // The large job has less time to spare, and needs as much work as twelve small ones.
    let (large, small) = (job(2_000, 120_000_000), job(2_200, 10_000_000));
    assert!(small.rank(100) < large.rank(100));
    // A started job keeps its precedence, so that the work done is not wasted.
    assert!(Candidate { started: true, ..large }.rank(100) < small.rank(100));
}

/// Guards against an order for competing organisations that also takes effect where there are none.
#[test]
fn the_least_work_goes_first_unless_another_order_is_set() {
    let job = |objective, work| Candidate {
        policy: Policy::default(),
        long_running: false,
        started: false,
        priority: 0,
        beyond_share: false,
        requested_at: 0,
        objective,
        critical_path: 500,
        work,
    };
    let (early, small) = (job(1_900, 21_000_000), job(9_000, 20_000_000));
    assert!(small.rank(100) < early.rank(100));
    let by_latest_start =
        |job: Candidate| Candidate { policy: Policy::LatestStart, ..job }.rank(100);
    assert!(by_latest_start(early) < by_latest_start(small));
}

/// Guards against large jobs and queues of low priority that wait without a bound, as smaller jobs and
/// those of other queues keep coming.
#[test]
fn a_job_is_overtaken_only_by_jobs_that_come_within_a_bounded_time() {
    let job = |requested_at, work, priority| Candidate {
        policy: Policy::LatestStart,
        long_running: false,
        started: false,
        priority,
        beyond_share: false,
        requested_at,
        objective: requested_at + 2_200,
        critical_path: 1_000,
        work,
    };
    let first = job(0, 320_000_000, 0);
    // Ten million is five doublings less, of 130 ms each.
    assert!(job(640, 10_000_000, 0).rank(100) < first.rank(100));
    assert!(job(660, 10_000_000, 0).rank(100) > first.rank(100));
    let low = job(0, 10_000_000, 3);
    assert!(job(590, 10_000_000, 0).rank(100) < low.rank(100));
    assert!(job(610, 10_000_000, 0).rank(100) > low.rank(100));
    assert!(job(2_010, 10_000_000, 0).rank(100) > job(0, 10_000_000, u32::MAX).rank(100));
}

/// Guards against an order that goes out twice: emptying the machine took long, and the answer to
/// its order is under way.
#[test]
fn an_order_to_move_a_machine_is_repeated_by_its_own_age_and_not_by_that_of_the_decision() {
    let ordered = Relocation {
        is_own: true,
        executor_ended: false,
        emptied: true,
        age: 2_900,
        order_age: Some(100),
        recently_ordered: false,
    };
    assert_eq!(ordered.next_action(), Action::Wait);
    let timed_out = Relocation { order_age: Some(1_700), ..ordered };
    assert_eq!(timed_out.next_action(), Action::Order);
}

/// Guards against two holders that act for one machine.
#[test]
fn a_move_that_a_former_holder_began_is_given_up() {
    let inherited = Relocation {
        is_own: false,
        executor_ended: false,
        emptied: true,
        age: 0,
        order_age: Some(5_000),
        recently_ordered: false,
    };
    assert_eq!(inherited.next_action(), Action::GiveUp);
}

/// Guards against tasks that end with their executor, as it gets them while the order of a former
/// holder is on its way.
#[test]
fn a_move_is_not_given_up_while_the_order_of_a_former_holder_may_be_carried_out() {
    let ordered = Relocation {
        is_own: false,
        executor_ended: false,
        emptied: true,
        age: 0,
        order_age: Some(200),
        recently_ordered: true,
    };
    assert_eq!(ordered.next_action(), Action::Wait);
    let carried_out = Relocation { executor_ended: true, ..ordered };
    assert_eq!(carried_out.next_action(), Action::GiveUp);
    let without_order = Relocation { order_age: None, ..ordered };
    assert_eq!(without_order.next_action(), Action::GiveUp);
}
