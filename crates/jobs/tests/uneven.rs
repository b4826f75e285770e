//! Days on which the queues of several pools peak in turn, against the rebalancer and its forecast.
//!
//! Run with `--nocapture` to see the figures.

mod dice;
mod maintenance;
mod replay;

use indexmap::IndexMap;
use jobs::forecast::Forecaster;
use jobs::share::{Demand, MachineMove, Rebalancer};
use replay::{Day, Figures, Replay, STANDBY};

/// Days with different arrivals that a figure is summed up over.
const SEEDS: u64 = 4;

/// Replays days without and with a forecast; returns the sums of their figures.
fn compare(name: &str, day: impl Fn(u64) -> Day) -> (Figures, Figures) {
    let run = |rebalancer: Rebalancer| {
        let mut sum = Figures::default();
        for seed in 0..SEEDS {
            sum.add(&Replay::new(&day(seed), rebalancer.clone()).run());
        }
        sum
    };
    let (plain, ahead) = (run(Rebalancer::default()), run(Rebalancer::with_forecast()));
    println!("{name}, without a forecast: {plain}");
    println!("{name}, with a forecast:    {ahead}");
    (plain, ahead)
}

/// Guards against a day on which the forecast costs service or worth.
fn assert_no_loss(name: &str, day: impl Fn(u64) -> Day) {
    let (plain, ahead) = compare(name, day);
    assert!(ahead.served >= plain.served * 0.999, "{name}: {ahead} against {plain}");
    assert!(ahead.worth() >= plain.worth(), "{name}: {ahead} against {plain}");
}

/// Bursts beside peaks or beside even demand.
fn bursts() -> Vec<(usize, u64, f64)> {
    vec![(1, 3_000, 2.0), (3, 9_500, 2.4), (0, 18_500, 1.6), (2, 22_000, 2.4), (1, 30_000, 2.0)]
}

/// Guards against machines that idle in pools whose peak is far away, and that arrive after the start
/// of a peak that could be foreseen.
#[test]
fn machines_are_ahead_of_peaks_that_come_in_turn_and_on_standby_between_them() {
    let (plain, ahead) = compare("in turn", Day::in_turn);
    assert!(ahead.served > plain.served * 1.003, "{ahead} against {plain}");
    assert!(ahead.pool_seconds < plain.pool_seconds * 0.85, "{ahead} against {plain}");
    assert!(ahead.moves < plain.moves, "{ahead} against {plain}");
}

#[test]
fn missing_peaks_cost_no_service() {
    assert_no_loss("missed", |seed| Day { missed: vec![5, 8], ..Day::in_turn(seed) });
}

#[test]
fn larger_peaks_are_served() {
    let larger = vec![(2, 1.4), (6, 1.6)];
    assert_no_loss("larger", |seed| Day { larger: larger.clone(), ..Day::in_turn(seed) });
}

#[test]
fn bursts_beside_the_peaks_do_not_hide_the_pattern() {
    assert_no_loss("bursts", |seed| Day { bursts: bursts(), ..Day::in_turn(seed) });
}

#[test]
fn old_states_during_outages_cost_no_service() {
    let outages = vec![(10_000, 12_000), (19_000, 21_000), (27_000, 28_500)];
    assert_no_loss("outages", |seed| Day { outages: outages.clone(), ..Day::in_turn(seed) });
}

/// Guards against machines that stay on standby while peaks come in another way than forecast.
#[test]
fn pauses_between_the_cycles_cost_no_service() {
    assert_no_loss("pauses", |seed| Day { pause_ms: 6_000, day_ms: 80_000, ..Day::in_turn(seed) });
}

#[test]
fn peaks_that_stop_coming_cost_no_service() {
    assert_no_loss("stops", |seed| Day { missed: (6..40).collect(), ..Day::in_turn(seed) });
}

#[test]
fn neither_the_number_of_pools_nor_the_spacing_is_built_in() {
    let pools = [40, 45, 48, 50, 52, 55].map(|size| (size, 5.0 * size as f64)).to_vec();
    assert_no_loss("six pools", |seed| Day {
        pools: pools.clone(),
        peak_ms: 5_000,
        day_ms: 80_000,
        ..Day::in_turn(seed)
    });
    assert_no_loss("long peaks", |seed| Day {
        peak_ms: 9_000,
        day_ms: 60_000,
        ..Day::in_turn(seed)
    });
}

/// Guards against a forecast that changes the moves of deployments without a pattern.
#[test]
fn without_a_pattern_the_moves_are_those_without_a_forecast() {
    for seed in 0..SEEDS {
        let even = Day { peak_ms: 0, bursts: bursts(), ..Day::in_turn(seed) };
        for day in [even, Day { shuffled: true, ..Day::in_turn(seed) }] {
            let (mut plain, mut ahead) = (
                Replay::new(&day, Rebalancer::default()),
                Replay::new(&day, Rebalancer::with_forecast()),
            );
            plain.run();
            ahead.run();
            assert_eq!(plain.moves, ahead.moves, "seed {seed}");
        }
    }
}

const QUIET_RATE: u64 = 20_000;
const PEAK_RATE: u64 = 900_000;
const FLOOR_RATE: u64 = 300_000;

/// Shows a forecaster the rates of pools from one time to another; `peak` names the pool that has a
/// peak at a time.
fn observe(
    forecaster: &mut Forecaster,
    pools: &[&str],
    times: std::ops::Range<u64>,
    peak: impl Fn(u64) -> Option<usize>,
) {
    for at in times.step_by(100) {
        for (n, pool) in pools.iter().enumerate() {
            let rate = if peak(at) == Some(n) { PEAK_RATE } else { QUIET_RATE };
            forecaster.observe(pool, at, rate, FLOOR_RATE);
        }
        forecaster.upcoming(at);
    }
}

const POOLS: [&str; 4] = ["a", "b", "c", "d"];

#[test]
fn the_next_pool_and_its_time_are_forecast_although_a_peak_is_missing() {
    let mut forecaster = Forecaster::default();
    let peak = |at: u64| (at / 3_000 != 6).then_some(at as usize / 3_000 % 4);
    observe(&mut forecaster, &POOLS, 0..20_900, peak);
    let next: Vec<(String, u64)> =
        forecaster.upcoming(20_900).into_iter().map(|p| (p.pool, p.starts_at)).collect();
    let expected = [("d", 21_000), ("a", 24_000), ("b", 27_000), ("c", 30_000)];
    assert_eq!(next, expected.map(|(pool, at)| (pool.to_owned(), at)));
}

#[test]
fn a_new_holder_makes_no_forecast_before_it_has_seen_three_peaks() {
    let mut forecaster = Forecaster::default();
    let peak = |at: u64| Some(at as usize / 3_000 % 4);
    observe(&mut forecaster, &POOLS, 5_500..9_100, peak);
    assert_eq!(forecaster.upcoming(9_100), []);
}

#[test]
fn peaks_at_random_times_give_no_forecast() {
    let mut forecaster = Forecaster::default();
    let starts = [0, 2_100, 7_300, 9_000, 15_800, 18_100, 24_900];
    let peak = |at: u64| {
        let last = starts.iter().rposition(|start| *start <= at)?;
        (at < starts[last] + 1_500).then_some(last * 3 % 4)
    };
    for end in (1_000..30_000).step_by(1_000) {
        let mut forecaster = forecaster.clone();
        observe(&mut forecaster, &POOLS, 0..end, peak);
        assert_eq!(forecaster.upcoming(end), [], "at {end} ms");
    }
    observe(&mut forecaster, &POOLS, 0..30_000, peak);
}

/// An expected peak of pool `d` at 9 s, of which nothing is to be seen.
fn plan(rebalancer: &mut Rebalancer, now: u64, busy: bool) -> Vec<MachineMove> {
    let size = 16_000;
    let demand = |n: u64, pool: &str| {
        let peaks = now / 3_000 == n && n < 3;
        let rate = if peaks { 2 * PEAK_RATE } else { QUIET_RATE };
        let names = (0..60).map(|n| format!("{pool}{n}")).collect();
        let used = if busy { 60 * size } else { 0 };
        let idle = if busy { 0 } else { 60 };
        let demand = Demand {
            machines: 60,
            arrival_rate: rate,
            removable: names,
            idle,
            ..Demand::default()
        };
        (pool.to_owned(), Demand { used, ..demand })
    };
    let pools: IndexMap<String, Demand> =
        POOLS.iter().enumerate().map(|(n, pool)| demand(n as u64, pool)).collect();
    rebalancer.plan_moves(&pools, Some((STANDBY, &[])), 240, size, now)
}

/// Guards against a wrong forecast that takes machines from running work, or that holds on.
#[test]
fn an_expected_peak_that_does_not_come_moves_only_idle_machines_and_is_dropped() {
    let run = |busy: bool| {
        let mut rebalancer = Rebalancer::with_forecast();
        let mut ahead = 0;
        for now in (0..11_000).step_by(150) {
            plan(&mut rebalancer, now, busy && now >= 6_000);
            let outlook = rebalancer.outlook();
            let d_expected = outlook.peaks.first().is_some_and(|peak| peak.pool == "d");
            assert!(!d_expected || now < 10_500, "at {now} ms: {:?}", outlook.peaks);
            ahead += outlook.moved_ahead.values().sum::<u64>();
        }
        ahead
    };
    assert!(run(false) > 0, "idle machines move ahead");
    assert_eq!(run(true), 0, "no machine with runs moves ahead");
}
