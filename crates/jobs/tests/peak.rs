//! Replay of demand peaks without a network: how work waits, is refused and is served while a pool
//! is short of capacity.

mod dice;
mod pool;

use std::ops::RangeInclusive;
use std::thread;

use pool::{Replayed, Scenario, replay};

/// Small jobs on 62 executors, and 60 more that arrive during the peak.
fn small_jobs() -> Scenario {
    Scenario {
        rate: 28.6,
        second_half: 1.0,
        steps: 1.6,
        duration: 640.0,
        needs: (3_100.0, 5_700.0),
        estimate_error: 0.2,
        machines: (62, 60),
        weights: Vec::new(),
        shared: false,
        hot: None,
    }
}

/// Large jobs on 70 executors.
fn large_jobs() -> Scenario {
    Scenario {
        rate: 3.6,
        steps: 2.0,
        duration: 2_100.0,
        needs: (6_700.0, 12_000.0),
        machines: (70, 0),
        ..small_jobs()
    }
}

/// Result of a group of jobs.
#[derive(Debug, Default, Clone, Copy)]
struct Score {
    offered: usize,
    accepted: usize,
    timely: usize,
    late: usize,
    /// Accepted only for their late results.
    accepted_late: usize,
    turned_away: usize,
    servable: usize,
    /// Value of the results, and that of all jobs if they were in time.
    value: (f64, f64),
}

impl Score {
    fn of<'a>(jobs: impl Iterator<Item = &'a Replayed>, mean_work: f64) -> Self {
        let mut score = Self::default();
        for job in jobs {
            score.offered += 1;
            score.accepted += usize::from(job.accepted_at.is_some() && !job.is_accepted_late());
            score.accepted_late += usize::from(job.is_accepted_late());
            score.turned_away += usize::from(job.is_turned_away());
            score.servable += usize::from(job.servable);
            let value = 0.3 + 0.7 * job.work() as f64 / mean_work;
            score.value.1 += value;
            if job.is_timely() {
                score.timely += 1;
                score.value.0 += value;
            } else if job.is_useful() {
                score.late += 1;
                score.value.0 += 0.07 * value;
            }
        }
        score
    }

    fn value(&self) -> f64 {
        100.0 * self.value.0 / self.value.1
    }

    /// Share of the accepted jobs that ended in time, in percent.
    fn kept(&self) -> f64 {
        100.0 * self.timely as f64 / self.accepted as f64
    }

    /// Share of the offered jobs that ended in time, in percent.
    fn served(&self) -> f64 {
        100.0 * self.timely as f64 / self.offered as f64
    }

    /// Share of the refused jobs that idle capacity would have served, in percent.
    fn servable_share(&self) -> f64 {
        100.0 * self.servable as f64 / self.turned_away.max(1) as f64
    }
}

fn mean_work(jobs: &[Replayed]) -> f64 {
    jobs.iter().map(|j| j.work() as f64).sum::<f64>() / jobs.len() as f64
}

/// Scores of the tenths of the jobs by their work, the smallest first.
fn by_tenth(jobs: &[Replayed]) -> Vec<Score> {
    let mean = mean_work(jobs);
    let mut sorted: Vec<&Replayed> = jobs.iter().collect();
    sorted.sort_by_key(|j| j.work());
    let tenth = sorted.len().div_ceil(10);
    sorted.chunks(tenth).map(|part| Score::of(part.iter().copied(), mean)).collect()
}

/// Replays a scenario with several seeds, each in a thread of its own.
fn replay_all(scenario: &Scenario, seeds: RangeInclusive<u64>) -> Vec<Replayed> {
    thread::scope(|scope| {
        let replays: Vec<_> =
            seeds.map(|seed| scope.spawn(move || replay(scenario, seed))).collect();
        replays.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    })
}

/// Replays a scenario with several seeds, and prints the result by organisation and size.
fn measure(name: &str, scenario: &Scenario) -> (Score, Vec<Score>) {
    let jobs = replay_all(scenario, SEEDS);
    let score = Score::of(jobs.iter(), mean_work(&jobs));
    let tenths = by_tenth(&jobs);
    println!(
        "{name}: value {:.1} %; of {} offered, {} accepted in time, {} later; {:.1} % of the accepted \
         in time, {} late; {} turned away, {:.1} % of them servable",
        score.value(),
        score.offered,
        score.accepted,
        score.accepted_late,
        score.kept(),
        score.late,
        score.turned_away,
        score.servable_share(),
    );
    let served: Vec<String> = tenths.iter().map(|s| format!("{:.0}", s.served())).collect();
    println!("  served by size, in percent of each tenth: {}", served.join(" "));
    (score, tenths)
}

/// Seeds of the replays.
const SEEDS: RangeInclusive<u64> = 1..=4;

/// Least value of the results at each peak, in percent of the value if all jobs ended in time.
///
/// With an order by work alone and a margin of 40 percent on estimates, these peaks gave 90.5, 75.1,
/// 72.4, 91.3 and 61.1; the last was not measured.
const MIN_VALUES: [(&str, f64); 6] = [
    ("small", 92.0),
    ("rising", 76.5),
    ("rising, rough estimates", 72.5),
    ("large", 91.0),
    ("short of machines", 61.5),
    ("short of memory", 80.0),
];

/// Guards against an order that serves less work in time at a peak, and against one that leaves out
/// the largest jobs.
#[test]
fn the_order_serves_the_most_work_in_time_without_leaving_out_large_jobs() {
    let rising = Scenario { second_half: 1.9, ..small_jobs() };
    let scenarios = [
        small_jobs(),
        rising.clone(),
        Scenario { estimate_error: 0.9, ..rising.clone() },
        large_jobs(),
        Scenario { machines: (62, 20), ..rising },
        Scenario { needs: (2_000.0, 9_000.0), ..small_jobs() },
    ];
    for (scenario, (name, least)) in scenarios.iter().zip(MIN_VALUES) {
        let (score, tenths) = measure(name, scenario);
        assert!(score.value() >= least, "{name}: {:.1} %", score.value());
        let largest = tenths.last().unwrap().served();
        assert!(largest >= score.served() / 2.0, "{name}: {largest:.0} % of the largest tenth");
    }
}

/// Twenty organisations with uneven weights at the peak of small jobs.
fn organisations() -> Scenario {
    let weights = (1..=20).map(|n| 1.0 / f64::from(n).sqrt()).collect();
    Scenario { weights, shared: true, ..small_jobs() }
}

/// Scores of the hot organisation, if any, and of the nineteen others.
fn of_hot_and_others(name: &str, scenario: &Scenario) -> (Score, Score) {
    let jobs = replay_all(scenario, SEEDS);
    let mean = mean_work(&jobs);
    let (hot, others): (Vec<&Replayed>, Vec<&Replayed>) =
        jobs.iter().partition(|job| job.organisation == Some(HOT));
    let (hot, others) = (Score::of(hot.into_iter(), mean), Score::of(others.into_iter(), mean));
    println!(
        "{name}: {:.1} % of {} of the organisation and {:.1} % of {} of the others in time",
        hot.served(),
        hot.offered,
        others.served(),
        others.offered
    );
    (hot, others)
}

/// Position of the organisation that sends beyond its weight.
const HOT: usize = 3;

/// Guards against an organisation that takes the capacity of others by sending more than its weight,
/// and against weights that keep out jobs while all keep to them.
#[test]
fn an_organisation_that_sends_beyond_its_weight_does_not_delay_the_others() {
    let calm = organisations();
    let hot = Scenario { hot: Some(HOT), ..calm.clone() };
    let (_, plain) = of_hot_and_others("no shares", &Scenario { shared: false, ..calm.clone() });
    let (_, calm) = of_hot_and_others("all within their weights", &calm);
    of_hot_and_others("hot, no shares", &Scenario { shared: false, ..hot.clone() });
    let (hot, others) = of_hot_and_others("hot", &hot);
    assert!(calm.served() >= plain.served() - 1.5, "weights cost {plain:?}, with them {calm:?}");
    assert!(others.served() >= calm.served() - 6.0, "{others:?} instead of {calm:?}");
    assert!(hot.served() > 20.0, "what is left is not used: {hot:?}");
}
