//! Replay of a maintenance wave beside peaks in turn, moves of machines, lost racks, outages of the
//! table and long-running tasks.

use indexmap::IndexMap;
use jobs::wave::{self, Stage, Wave, plan_steps};

use crate::dice::SeededRng;

/// Interval between two rounds of the fleet's duties, in milliseconds.
const ROUND_MS: u64 = 150;
/// Time from the order for a machine to its next executor, in milliseconds.
const MAINTENANCE_MS: u64 = 2_000;
/// Duration of a peak, in milliseconds.
const PEAK_MS: u64 = 4_000;
/// Number of pools.
const POOLS: u64 = 4;

/// A machine of the wave.
struct Machine {
    pool: u64,
    long_running: bool,
    /// Times between which the machine is down on its own.
    lost: (u64, u64),
    /// Time at which emptying its present executor began.
    emptying_since: Option<u64>,
    /// Time of its accepted order.
    ordered_at: u64,
}

/// A replayed wave.
struct Replay {
    wave: Wave,
    machines: IndexMap<String, Machine>,
    stages: IndexMap<String, Stage>,
    /// Times between which the table is down.
    outage: (u64, u64),
    /// Time that long-running tasks take to run elsewhere, in milliseconds.
    relocation_ms: u64,
}

impl Replay {
    /// Creates a wave over a number of machines of four pools; `racks` racks of 20 machines are lost
    /// one after the other.
    fn new(seed: u64, count: usize, racks: u64, outage: (u64, u64), relocation_ms: u64) -> Self {
        let mut rng = SeededRng(seed);
        let mut machines = IndexMap::new();
        for n in 0..count as u64 {
            // Whole racks are named in order.
            let lost = (0..racks).find(|rack| n / 20 == rack * 3 + 1).map_or((0, 0), |rack| {
                let from = 6_000 + rack * 9_000;
                (from, from + 8_000)
            });
            let machine = Machine {
                pool: (rng.uniform() * POOLS as f64) as u64,
                long_running: rng.uniform() < 0.1,
                lost,
                emptying_since: None,
                ordered_at: 0,
            };
            machines.insert(format!("m{n:03}"), machine);
        }
        let wave = Wave {
            number: 1,
            machines: machines.keys().cloned().collect(),
            max_down: 24,
            time_limit: 30_000,
        };
        Self { wave, machines, stages: IndexMap::new(), outage, relocation_ms }
    }

    fn is_up(&self, name: &str, now: u64) -> bool {
        let machine = &self.machines[name];
        !(machine.lost.0..machine.lost.1).contains(&now)
    }

    /// Whether the rebalancer moves a machine: a third of each pool moves before its peak.
    fn is_moving(&self, name: &str, now: u64) -> bool {
        let machine = &self.machines[name];
        let begun = matches!(self.stages.get(name), Some(Stage::Emptying | Stage::Down));
        let index = self.machines.get_index_of(name).unwrap() as u64;
        !begun
            && !machine.long_running
            && index % 3 == now / PEAK_MS % 3
            && (now + 2_500) / PEAK_MS % POOLS == machine.pool
            && now % PEAK_MS >= 1_500
    }

    fn peaks(&self, name: &str, now: u64) -> bool {
        now / PEAK_MS % POOLS == self.machines[name].pool
    }

    /// Time that emptying a machine takes.
    fn emptying_time(&self, name: &str, now: u64) -> u64 {
        match &self.machines[name] {
            machine if machine.long_running => self.relocation_ms,
            _ if self.peaks(name, now) => 1_800,
            _ => 500,
        }
    }

    fn is_empty(&self, name: &str, now: u64) -> bool {
        let since = self.machines[name].emptying_since;
        self.is_up(name, now)
            && since.is_some_and(|since| now >= since + self.emptying_time(name, now))
    }

    fn cost(&self, name: &str, now: u64) -> u64 {
        let slow = self.machines[name].long_running;
        if !self.is_up(name, now) || self.is_moving(name, now) {
            return wave::CANNOT_BEGIN;
        }
        let cost = if self.peaks(name, now) { 1_200 } else { 50 };
        cost + if slow { 100 } else { 20 }
    }

    /// Replays the wave up to its deadline; returns the number of machines that are left.
    fn run(&mut self) -> usize {
        for now in (0..self.wave.time_limit).step_by(ROUND_MS as usize) {
            let names: Vec<String> = self.machines.keys().cloned().collect();
            for name in &names {
                if self.stages.get(name) == Some(&Stage::Emptying) && !self.is_up(name, now) {
                    // Its next executor has to be emptied again.
                    self.machines[name].emptying_since = None;
                    self.machines[name].long_running = false;
                }
            }
            if (self.outage.0..self.outage.1).contains(&now) {
                continue;
            }
            for name in &names {
                let back = now >= self.machines[name].ordered_at + MAINTENANCE_MS;
                let stage = self.stages.get(name).copied().unwrap_or_default();
                if stage == Stage::Down && back && self.is_up(name, now) {
                    self.stages.insert(name.clone(), Stage::Done);
                } else if stage == Stage::Emptying && self.is_up(name, now) {
                    self.machines[name].emptying_since.get_or_insert(now);
                }
            }
            let planned = self.stages.iter().map(|(name, stage)| {
                let since = self.machines[name].emptying_since;
                let emptying = since.map_or(0, |since| now - since);
                let is_empty = self.is_empty(name, now);
                let stuck = !self.is_up(name, now) || (!is_empty && wave::empties_slowly(emptying));
                (name.clone(), wave::planned_stage(*stage, stuck))
            });
            let planned = planned.collect();
            let is_empty = |name: &str| self.is_empty(name, now);
            let cost = |name: &str| {
                let begun = self.stages.get(name) == Some(&Stage::Emptying);
                if begun { wave::CANNOT_BEGIN } else { self.cost(name, now) }
            };
            let has_long_running = |name: &str| self.machines[name].long_running;
            let steps = plan_steps(&self.wave, &planned, now, &is_empty, &cost, &has_long_running);
            let begin = steps.start_emptying.iter().filter(|name| !self.is_moving(name, now));
            for name in begin.cloned().collect::<Vec<_>>() {
                self.stages.insert(name.clone(), Stage::Emptying);
                self.machines[&name].emptying_since = self.is_up(&name, now).then_some(now);
            }
            for name in steps.take_down {
                self.machines[&name].ordered_at = now;
                self.stages.insert(name, Stage::Down);
            }
            let down = self.stages.values().filter(|stage| **stage == Stage::Down).count();
            assert!(down <= self.wave.max_down, "{down} machines are down");
        }
        let done = self.stages.values().filter(|stage| **stage == Stage::Done).count();
        self.machines.len() - done
    }
}

/// Guards against machines that are left at the deadline, as others that can't be emptied hold up the
/// wave, or as those that take longest to empty begin last.
#[test]
fn a_wave_ends_in_time_beside_moves_lost_racks_outages_and_long_running_tasks() {
    let mut all = Vec::new();
    for (count, racks, outage, relocation_ms) in [
        (154, 2, (0, 0), 6_000),
        (154, 0, (18_000, 23_000), 6_000),
        (154, 2, (16_000, 20_000), 6_000),
        (179, 1, (9_000, 12_000), 6_000),
        (179, 2, (0, 0), 6_000),
        (154, 0, (0, 0), 14_000),
        (154, 0, (18_000, 23_000), 14_000),
    ] {
        let left: Vec<usize> = (0..3)
            .map(|seed| Replay::new(seed, count, racks, outage, relocation_ms).run())
            .collect();
        println!(
            "{count} machines, {racks} racks, outage {outage:?}, relocation {relocation_ms} ms: \
             {left:?} left"
        );
        all.extend(left);
    }
    assert!(all.iter().all(|left| *left == 0), "{all:?}");
}
