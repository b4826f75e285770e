//! Replays bulk calls of several processes to a table that accepts a limited number a second.

use cells::throttle::Throttle;

/// Makes `calls` calls by each of `processes`, against a table that accepts `rate` calls a second;
/// returns the time that it takes in milliseconds, and the number of refused calls.
fn replay(processes: usize, calls: usize, rate: u64) -> (u64, usize) {
    let mut throttles = vec![(Throttle::default(), calls); processes];
    let (mut left, mut refused) = (rate * 1_000, 0);
    for now in 0.. {
        left = (left + rate).min(rate * 1_000);
        for (throttle, calls) in throttles.iter_mut().filter(|(_, calls)| *calls > 0) {
            // A process makes at most a few calls within a millisecond.
            for _ in 0..4 {
                if *calls == 0 || throttle.take(now) > 0 {
                    break;
                }
                if left >= 1_000 {
                    left -= 1_000;
                    *calls -= 1;
                } else {
                    throttle.refused(now);
                    refused += 1;
                }
            }
        }
        if throttles.iter().all(|(_, calls)| *calls == 0) {
            return (now, refused);
        }
    }
    unreachable!()
}

/// Guards against bulk calls that keep a table beyond its rate, so that nobody gets an answer.
#[test]
fn processes_that_take_cells_over_together_share_the_rate_of_the_table() {
    for (processes, rate) in [(1, 2_000), (1, 400), (4, 2_000), (8, 600)] {
        let calls = 3_500;
        let (took, refused) = replay(processes, calls, rate);
        let made = calls * processes;
        let least = made as u64 * 1_000 / rate.min(1_200 * processes as u64);
        assert!(took <= 2 * least + 1_000, "{processes} at {rate}: {took} ms, {least} at best");
        assert!(refused * 10 <= made, "{processes} at {rate}: {refused} of {made} refused");
    }
}

/// Guards against a rate that stays low after the table was overloaded.
#[test]
fn the_rate_recovers_within_seconds() {
    let mut throttle = Throttle::default();
    (0..5_000).for_each(|now| throttle.refused(now));
    assert!(throttle.rate() < 60, "{} calls a second", throttle.rate());
    (5_000..11_000).for_each(|now| {
        throttle.take(now);
    });
    assert_eq!(throttle.rate(), 1_200);
}
