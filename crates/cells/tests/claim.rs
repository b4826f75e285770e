//! Which process takes which cell, replayed from what the table showed.

use cells::claim::Observations;
use cells::rows::{Heartbeat, Lease};
use indexmap::IndexMap;

const POLL: u64 = 400;

struct World {
    seen: Observations,
    beats: IndexMap<String, (u64, Heartbeat)>,
    leases: IndexMap<String, (u64, Lease)>,
    now: u64,
}

impl World {
    fn new(processes: &[&str]) -> Self {
        let beat = |(n, name): (usize, &&str)| {
            let beat = Heartbeat { count: 1, start_time: 1, accepts_cells: true, cpu: 250 };
            ((*name).to_owned(), (n as u64 + 1, beat))
        };
        Self {
            seen: Observations::default(),
            beats: processes.iter().enumerate().map(beat).collect(),
            leases: IndexMap::new(),
            now: 1_000,
        }
    }

    /// Lets the processes named beat, and reads the table.
    fn poll(&mut self, alive: &[&str]) {
        self.now += POLL;
        for name in alive {
            let (version, beat) = &mut self.beats[*name];
            *version += 100;
            beat.count += 1;
        }
        self.seen.observe(self.beats.clone(), self.leases.clone(), self.now);
    }

    fn hold(&mut self, cell: &str, holder: &str) {
        let lease = Lease { holder: holder.to_owned(), term: 1 };
        self.leases.insert(cell.to_owned(), (9, lease));
    }

    fn claims(&mut self, me: &str) -> Vec<String> {
        self.seen.claims(&["x".to_owned()], me, self.now)
    }
}

#[test]
fn a_holder_that_beats_keeps_its_cell() {
    let mut world = World::new(&["a", "b"]);
    world.hold("x", "a~1");
    for _ in 0..20 {
        world.poll(&["a", "b"]);
        assert!(world.claims("b~1").is_empty());
    }
}

#[test]
fn the_cell_of_a_silent_holder_is_taken() {
    let mut world = World::new(&["a", "b"]);
    world.hold("x", "a~1");
    (0..5).for_each(|_| world.poll(&["a", "b"]));
    let taken = (0..20).any(|_| {
        world.poll(&["b"]);
        world.claims("b~1") == ["x"]
    });
    assert!(taken);
}

#[test]
fn nobody_is_judged_by_time_in_which_the_table_was_away() {
    let mut world = World::new(&["a", "b"]);
    world.hold("x", "a~1");
    (0..5).for_each(|_| world.poll(&["a", "b"]));
    // No read for five seconds: neither could write its heartbeat.
    world.now += 5_000;
    world.poll(&[]);
    assert!(world.claims("b~1").is_empty());
    world.poll(&["a", "b"]);
    assert!(world.claims("b~1").is_empty());
}

#[test]
fn a_holder_whose_machine_has_restarted_is_known_to_have_ended() {
    let mut world = World::new(&["a", "b"]);
    world.hold("x", "a~1");
    world.poll(&["a", "b"]);
    assert!(!world.seen.has_restarted("a~1"));
    world.beats["a"].1.start_time = 2;
    world.poll(&["a", "b"]);
    assert!(world.seen.has_restarted("a~1"));
}

#[test]
fn a_cell_that_was_handed_over_goes_to_one_process_at_a_time() {
    let mut world = World::new(&["a", "b", "c"]);
    world.hold("x", "");
    (0..5).for_each(|_| world.poll(&["a", "b", "c"]));
    world.seen = Observations::default();
    let mut first = Vec::new();
    while first.is_empty() {
        world.poll(&["a", "b", "c"]);
        first =
            ["a~1", "b~1", "c~1"].into_iter().filter(|me| !world.claims(me).is_empty()).collect();
    }
    assert_eq!(first.len(), 1, "{first:?} claim at once");
}

/// Most that may pass from the last beat of a cell's holder until another takes it, in milliseconds;
/// a quarter of a turn of the queues, which last eight seconds.
const FAILOVER: u64 = 2_000;

#[test]
fn a_turn_does_not_pass_without_a_holder_that_reaches_the_table() {
    let mut world = World::new(&["a", "b", "c"]);
    world.hold("x", "a~1");
    (0..5).for_each(|_| world.poll(&["a", "b", "c"]));
    let last = world.now;
    while world.claims("b~1").is_empty() && world.claims("c~1").is_empty() {
        world.poll(&["b", "c"]);
    }
    assert!(world.now - last <= FAILOVER, "{} ms", world.now - last);
}

#[test]
fn a_slow_table_makes_nobody_suspect() {
    let mut world = World::new(&["a", "b", "c"]);
    world.hold("x", "a~1");
    (0..5).for_each(|_| world.poll(&["a", "b", "c"]));
    // The table takes a heartbeat of each every two seconds.
    for n in 0..40 {
        world.poll(if n % 5 == 0 { &["a", "b", "c"] } else { &[] });
        assert!(world.claims("b~1").is_empty(), "taken at {n}");
    }
}

/// Most that may pass from the first read after an outage of the table until the cell of a holder
/// that does not reach it is taken, in milliseconds; the part of a small job's objective that its
/// own work leaves.
const FAILOVER_AFTER_OUTAGE: u64 = 1_200;

#[test]
fn a_holder_that_does_not_return_from_an_outage_is_replaced_before_new_small_jobs_are_late() {
    let mut world = World::new(&["a", "b", "c", "d"]);
    world.hold("x", "a~1");
    (0..5).for_each(|_| world.poll(&["a", "b", "c", "d"]));
    world.now += 4_500;
    world.poll(&["b"]);
    let back = world.now;
    while ["b~1", "c~1", "d~1"].into_iter().all(|me| world.claims(me).is_empty()) {
        world.poll(&["b", "c", "d"]);
    }
    assert!(world.now - back <= FAILOVER_AFTER_OUTAGE, "{} ms", world.now - back);
}

#[test]
fn a_holder_whose_beats_return_late_after_an_outage_keeps_its_cell() {
    // The requests that an outage has left unanswered end one after the other, within a limit.
    for late in 0..3 {
        let mut world = World::new(&["a", "b", "c", "d"]);
        world.hold("x", "a~1");
        (0..5).for_each(|_| world.poll(&["a", "b", "c", "d"]));
        world.now += 4_500;
        for n in 0..20 {
            let back: &[&str] = match n {
                n if n < late => &["b"],
                n if n < late + 1 => &["b", "c"],
                _ => &["a", "b", "c", "d"],
            };
            world.poll(back);
            let claimed = ["b~1", "c~1", "d~1"].into_iter().any(|me| !world.claims(me).is_empty());
            assert!(!claimed, "taken at {n}, when beats return at {late}");
        }
    }
}

#[test]
fn a_process_that_was_started_during_an_outage_replaces_a_holder_that_does_not_return() {
    let mut world = World::new(&["a", "b", "c", "d"]);
    world.hold("x", "a~1");
    world.poll(&["b", "c", "d"]);
    let back = world.now;
    // Beats come more often after an outage.
    while ["b~1", "c~1", "d~1"].into_iter().all(|me| world.claims(me).is_empty()) {
        world.now -= POLL - 150;
        world.poll(&["b", "c", "d"]);
    }
    assert!(world.now - back <= FAILOVER_AFTER_OUTAGE / 2, "{} ms", world.now - back);
}
