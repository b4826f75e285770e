//! Facts are replaced only by newer ones, whatever the order and number of the messages.
//!
//! Messages are sent repeatedly and over several paths, so an old fact can arrive after a newer
//! one.

use std::net::SocketAddr;
use std::time::Instant;

use base::Timeline;
use peer::Facts;
use peer::member::{Member, Role};
use peer::wire::{GossipMessage, Watermarks};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use route::{Evidence, ServerState};

/// Seed of the random cases.
const SEED: u64 = 7;

fn empty_facts(name: &str) -> Facts {
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

fn contract_text(deadline: u64) -> String {
    format!(
        "customer: acme\ndown: 1\nservices:\n  - \
         {{name: s, pool: p, held: 1, down: 1, deadline_ms: {deadline}}}\n"
    )
}

/// Returns the revision of the contract in force, or `None` if there is none.
fn active_revision(facts: &Facts) -> Option<u64> {
    facts.lock().contracts.find("acme").map(|active| active.revision)
}

/// Builds the message that brings a peer with the watermarks `base` up to date.
fn complete_message(facts: &Facts, base: &Watermarks) -> GossipMessage {
    facts.build_message(base, true, false)
}

#[test]
fn an_older_contract_does_not_replace_a_newer_one_or_a_tombstone() {
    let (old, new) = (empty_facts("old"), empty_facts("new"));
    old.apply_contract("acme", 1, Some(&contract_text(1)));
    old.lock().contracts.advance_watermark(1);
    new.apply_contract("acme", 2, Some(&contract_text(2)));
    new.lock().contracts.advance_watermark(2);
    new.apply_message(complete_message(&old, &Watermarks::default()), Instant::now());
    assert_eq!(active_revision(&new), Some(2));
    new.apply_contract("acme", 3, None);
    new.lock().contracts.advance_watermark(3);
    new.apply_message(complete_message(&old, &Watermarks::default()), Instant::now());
    assert_eq!(active_revision(&new), None);
    old.apply_message(complete_message(&new, &Watermarks::default()), Instant::now());
    assert_eq!(active_revision(&old), None);
}

#[test]
fn a_message_with_a_gap_does_not_advance_the_watermark() {
    let (reader, peer) = (empty_facts("reader"), empty_facts("peer"));
    reader.apply_contract("acme", 5, Some(&contract_text(5)));
    reader.lock().contracts.advance_watermark(5);
    // The reader still uses the watermarks of an earlier process at the peer's address. The new
    // process there lacks the contracts up to revision 5, so it must not raise its own watermark.
    let stale = Watermarks { contracts: 5, ..Watermarks::default() };
    peer.apply_message(complete_message(&reader, &stale), Instant::now());
    assert_eq!((active_revision(&peer), peer.lock().contracts.watermark()), (None, 0));
    peer.apply_message(complete_message(&reader, &Watermarks::default()), Instant::now());
    assert_eq!((active_revision(&peer), peer.lock().contracts.watermark()), (Some(5), 5));
}

#[test]
fn an_invalid_contract_leaves_the_previous_one_in_force() {
    let facts = empty_facts("a");
    facts.apply_contract("acme", 1, Some(&contract_text(1)));
    assert!(!facts.apply_contract("acme", 2, Some("customer: [")));
    assert_eq!(active_revision(&facts), Some(1));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn contracts_in_any_order_end_at_the_highest_revision(
        order in proptest::collection::vec((1_u64..20, any::<bool>()), 1..60),
    ) {
        let facts = empty_facts("a");
        let deleted = |revision: u64| revision.is_multiple_of(4);
        let mut highest = 0;
        for (revision, _) in &order {
            let text = contract_text(*revision);
            let text = (!deleted(*revision)).then_some(text.as_str());
            facts.apply_contract("acme", *revision, text);
            highest = highest.max(*revision);
            prop_assert_eq!(self::active_revision(&facts), (!deleted(highest)).then_some(highest));
        }
    }

    #[test]
    fn observations_in_any_order_end_at_the_newest(
        order in proptest::collection::vec((1_u64..6, any::<bool>()), 1..40),
    ) {
        let facts = empty_facts("a");
        let mut newest = None;
        for (incarnation, leaving) in order {
            let state = if leaving { ServerState::Leaving } else { ServerState::Serving };
            let observed = Evidence { incarnation, state };
            facts.apply_evidence("i", observed);
            newest = newest.max(Some(observed));
            prop_assert_eq!(facts.lock().evidence.get("i").copied(), newest);
        }
    }

    #[test]
    fn processes_that_exchange_messages_converge(
        steps in proptest::collection::vec((0_usize..3, 0_usize..3), 30..80),
    ) {
        let all = [empty_facts("a"), empty_facts("b"), empty_facts("c")];
        let mut revision = 0;
        for (from, to) in steps {
            // A step from a process to itself stands for a change that this process reads.
            if from == to {
                revision += 1;
                all[from].apply_contract("acme", revision, Some(&contract_text(revision)));
                all[from].lock().contracts.advance_watermark(revision);
                continue;
            }
            let base = all[to].lock().watermarks();
            all[to].apply_message(complete_message(&all[from], &base), Instant::now());
        }
        for (from, to) in [(0, 1), (1, 2), (2, 0), (0, 1), (1, 2)] {
            let base = all[to].lock().watermarks();
            all[to].apply_message(complete_message(&all[from], &base), Instant::now());
        }
        let found: Vec<_> = all.iter().map(self::active_revision).collect();
        let wanted = (revision > 0).then_some(revision);
        prop_assert_eq!(found, vec![wanted; 3]);
    }
}
