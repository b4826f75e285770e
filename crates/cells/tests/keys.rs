//! Where the rows of jobs are kept.

use std::collections::BTreeMap;

use cells::keys;

/// Transactions that a part of the table takes in a second.
const PART_RATE: usize = 150;

/// Jobs a second in a queue's turn, each stored in a transaction of its own.
const TURN: usize = 200;

#[test]
fn a_turn_of_a_queue_leaves_each_part_most_of_its_transactions() {
    let mut parts: BTreeMap<String, usize> = BTreeMap::new();
    let mut seed = 1u64;
    for _ in 0..TURN {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        *parts.entry(keys::part("q", &format!("{seed:016x}"))).or_default() += 1;
    }
    let most = parts.values().max().copied().unwrap_or_default();
    assert!(most * 3 < PART_RATE, "{most} of {PART_RATE} go to the intake: {parts:?}");
}

#[test]
fn every_part_of_a_queue_is_listed() {
    let parts: Vec<String> = keys::parts("q").collect();
    for n in 0..1_000u64 {
        let part = keys::part("q", &format!("{:016x}", n * 7_919));
        assert!(parts.contains(&part), "{part} is not in {parts:?}");
    }
}
