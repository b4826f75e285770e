//! Quality and safety of the decisions of `plan` on sample fleets.
//!
//! Guards against waves that exceed a budget, above all when instances are lost during the wave,
//! and against waves, moves and buffers that cost far more than their lower bound.

use fleet::Domain;
use plan::buffer::{DomainCapacity, domain_capacities, spread};
use plan::moves::{min_moves, plan as moves};
use plan::{Fleet, next_step};
use proof::fleets::{Sample, baseline, bottler, full_scale, transit};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Seed of the sample fleets and of the property tests.
const SEED: u64 = 11;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 120,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

#[test]
fn roll_out_is_within_a_tenth_of_the_bound() {
    let samples = [transit(SEED), bottler(SEED)].into_iter().chain(full_scale(SEED));
    for sample in samples {
        let rollout = sample.with_pending_maintenance().rollout(next_step, None, SEED);
        assert_eq!(rollout.violations, 0);
        assert!(rollout.steps * 10 <= rollout.min_steps * 11, "{rollout:?}");
    }
}

#[test]
fn roll_out_is_no_slower_than_the_baseline_policy() {
    let samples: Vec<Sample> =
        [transit(SEED), bottler(SEED)].into_iter().chain(full_scale(SEED)).collect();
    let total_steps = |policy| -> usize {
        let rollouts = samples
            .iter()
            .map(|sample| sample.clone().with_pending_maintenance().rollout(policy, None, SEED));
        rollouts.map(|rollout| rollout.steps).sum()
    };
    assert!(total_steps(next_step) <= total_steps(baseline));
}

#[test]
fn moves_are_within_a_twentieth_of_the_fewest() {
    for sample in [transit(SEED), bottler(SEED)].into_iter().chain(full_scale(SEED)) {
        let targets = sample.pool_targets(SEED);
        let (planned, fewest) =
            (moves(&sample.instances, &targets).len(), min_moves(&sample.instances, &targets));
        assert!(planned * 20 <= fewest * 21, "{planned} moves, {fewest} would suffice");
    }
}

#[test]
fn a_buffer_is_no_more_than_the_largest_domain() {
    for sample in [transit(SEED), bottler(SEED)].into_iter().chain(full_scale(SEED)) {
        let domains = domain_capacities(&sample.instances, Domain::Rack);
        let largest = domains.iter().map(|domain| domain.capacity).max().unwrap();
        for service in &sample.contract.services {
            let spread = spread(&service.pool, service.held as usize, &domains).unwrap();
            assert!(spread.buffer <= largest, "{spread:?}");
        }
    }
}

#[test]
fn weights_change_the_plan() {
    let mut sample = bottler(SEED);
    let domains = domain_capacities(&sample.instances, Domain::Rack);
    let shared = plan::buffer::plan(&sample.contract, &domains).unwrap();
    sample.contract.weights.buffer = 0;
    let separate = plan::buffer::plan(&sample.contract, &domains).unwrap();
    assert!(shared.shared && !separate.shared, "{} / {}", shared.reason, separate.reason);
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_budget_is_broken_whatever_is_lost(seed in 0_u64..1_000, losses in 3_u32..60) {
        for sample in [transit(seed), bottler(seed)] {
            let rollout = sample.with_pending_maintenance().rollout(next_step, Some(losses), seed);
            prop_assert_eq!(rollout.violations, 0);
        }
    }

    #[test]
    fn a_spread_survives_the_loss_of_any_domain_and_no_smaller_one_does(
        capacities in proptest::collection::vec(0_usize..9, 1..8),
        held in 1_usize..30,
    ) {
        let domains: Vec<DomainCapacity> = capacities
            .iter()
            .enumerate()
            .map(|(at, capacity)| DomainCapacity { name: format!("r{at}"), capacity: *capacity })
            .collect();
        // With at most `per_domain` instances in each domain, `held` remain after any loss.
        let survives = |per_domain: usize| {
            let total: usize = capacities.iter().map(|capacity| (*capacity).min(per_domain)).sum();
            total >= held + per_domain
        };
        match spread("p", held, &domains) {
            Ok(spread) => {
                let total: usize = spread.counts.values().sum();
                let largest = spread.counts.values().copied().max().unwrap_or(0);
                prop_assert_eq!(total, held + spread.buffer);
                prop_assert!(total - largest >= held);
                for domain in &domains {
                    prop_assert!(spread.counts[&domain.name] <= domain.capacity);
                }
                prop_assert!((1..spread.buffer).all(|per_domain| !survives(per_domain)));
            }
            Err(shortage) => {
                prop_assert!((1..9).all(|per_domain| !survives(per_domain)));
                prop_assert!(shortage.max_held < held);
            }
        }
    }

    #[test]
    fn moves_are_the_fewest_possible_and_no_instance_moves_twice(seed in 0_u64..1_000) {
        for sample in [transit(seed), bottler(seed)] {
            let targets = sample.pool_targets(seed);
            let planned = moves(&sample.instances, &targets);
            prop_assert_eq!(planned.len(), min_moves(&sample.instances, &targets));
            let mut ids: Vec<&str> =
                planned.iter().map(|planned_move| planned_move.id.as_str()).collect();
            ids.sort_unstable();
            ids.dedup();
            prop_assert_eq!(ids.len(), planned.len());
        }
    }

    #[test]
    fn every_waiting_instance_gets_one_verdict(seed in 0_u64..1_000) {
        let sample = transit(seed).with_pending_maintenance();
        let decisions =
            next_step(Fleet { contract: &sample.contract, instances: &sample.instances });
        let mut ids: Vec<&str> = decisions.iter().map(|decision| decision.id.as_str()).collect();
        ids.sort_unstable();
        ids.dedup();
        prop_assert_eq!(ids.len(), sample.instances.len());
    }
}
