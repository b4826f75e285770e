//! Facts only ever get newer, in whatever order and however often news arrives.

use std::net::SocketAddr;
use std::time::Instant;

use base::Timeline;
use peer::Facts;
use peer::member::{Member, Role};
use peer::wire::{Have, News};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use route::{Evidence, ServerState};

/// Seed of the random cases.
const SEED: u64 = 7;

fn facts(name: &str) -> Facts {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let member = Member {
        name: name.to_owned(),
        role: Role::Entry,
        centre: "dc1".to_owned(),
        incarnation: 1,
        listen: address,
        admin: address,
        peer: address,
    };
    Facts::open(member, Timeline::new(name))
}

fn text(deadline: u64) -> String {
    format!(
        "customer: acme\ndown: 1\nservices:\n  - \
         {{name: s, pool: p, held: 1, down: 1, deadline_ms: {deadline}}}\n"
    )
}

/// What a process knows of a contract: its revision, or none after a deletion.
fn revision(facts: &Facts) -> Option<u64> {
    facts.lock().contracts.find("acme").map(|agreed| agreed.revision)
}

fn whole(facts: &Facts, base: &Have) -> News {
    facts.news(base, true, false)
}

#[test]
fn an_older_text_does_not_replace_a_newer_or_a_deletion() {
    let (old, new) = (facts("old"), facts("new"));
    old.contract("acme", 1, Some(&text(1)));
    old.lock().contracts.advance(1);
    new.contract("acme", 2, Some(&text(2)));
    new.lock().contracts.advance(2);
    new.hear(whole(&old, &Have::default()), Instant::now());
    assert_eq!(revision(&new), Some(2));
    new.contract("acme", 3, None);
    new.lock().contracts.advance(3);
    new.hear(whole(&old, &Have::default()), Instant::now());
    assert_eq!(revision(&new), None);
    old.hear(whole(&new, &Have::default()), Instant::now());
    assert_eq!(revision(&old), None);
}

#[test]
fn news_with_a_gap_does_not_count_as_complete() {
    let (reader, peer) = (facts("reader"), facts("peer"));
    reader.contract("acme", 5, Some(&text(5)));
    reader.lock().contracts.advance(5);
    // The reader takes the peer for its predecessor, which held everything up to 5.
    let have = Have { contracts: 5, ..Have::default() };
    peer.hear(whole(&reader, &have), Instant::now());
    assert_eq!((revision(&peer), peer.lock().contracts.mark()), (None, 0));
    peer.hear(whole(&reader, &Have::default()), Instant::now());
    assert_eq!((revision(&peer), peer.lock().contracts.mark()), (Some(5), 5));
}

#[test]
fn a_text_that_can_not_be_read_keeps_the_last_in_force() {
    let facts = facts("a");
    facts.contract("acme", 1, Some(&text(1)));
    assert!(!facts.contract("acme", 2, Some("customer: [")));
    assert_eq!(revision(&facts), Some(1));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn changes_in_any_order_end_at_the_highest(
        order in proptest::collection::vec((1_u64..20, any::<bool>()), 1..60),
    ) {
        let facts = facts("a");
        let deleted = |revision: u64| revision.is_multiple_of(4);
        let mut highest = 0;
        for (revision, _) in &order {
            let text = text(*revision);
            let text = (!deleted(*revision)).then_some(text.as_str());
            facts.contract("acme", *revision, text);
            highest = highest.max(*revision);
            prop_assert_eq!(self::revision(&facts), (!deleted(highest)).then_some(highest));
        }
    }

    #[test]
    fn sightings_in_any_order_end_at_the_newest(
        order in proptest::collection::vec((1_u64..6, any::<bool>()), 1..40),
    ) {
        let facts = facts("a");
        let mut newest = None;
        for (incarnation, leaving) in order {
            let state = if leaving { ServerState::Leaving } else { ServerState::Serving };
            let seen = Evidence { incarnation, state };
            facts.sighting("i", seen);
            newest = newest.max(Some(seen));
            prop_assert_eq!(facts.lock().evidence.get("i").copied(), newest);
        }
    }

    #[test]
    fn processes_that_exchange_agree(
        steps in proptest::collection::vec((0_usize..3, 0_usize..3), 30..80),
    ) {
        let all = [facts("a"), facts("b"), facts("c")];
        let mut revision = 0;
        for (from, to) in steps {
            if from == to {
                revision += 1;
                all[from].contract("acme", revision, Some(&text(revision)));
                all[from].lock().contracts.advance(revision);
                continue;
            }
            let have = all[to].lock().have();
            all[to].hear(whole(&all[from], &have), Instant::now());
        }
        for (from, to) in [(0, 1), (1, 2), (2, 0), (0, 1), (1, 2)] {
            let have = all[to].lock().have();
            all[to].hear(whole(&all[from], &have), Instant::now());
        }
        let found: Vec<_> = all.iter().map(self::revision).collect();
        let wanted = (revision > 0).then_some(revision);
        prop_assert_eq!(found, vec![wanted; 3]);
    }
}
