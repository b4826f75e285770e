//! Replays bursts of calls to a service that processes one call after the other, and also those whose
//! senders no longer wait.

use std::collections::VecDeque;

use jobs::window::{CallWindow, Outcome};

/// Calls that the service lets wait; it rejects further ones.
const MAX_WAITING: usize = 32;

/// A service and the caller's window.
struct Replay {
    /// Time that the service needs for a call, in milliseconds.
    service_ms: u64,
    /// Expected time of a call by the configuration, in milliseconds.
    expected_ms: u64,
    /// Calls that wait or are processed, of which 0 stands for one of an earlier process.
    waiting: VecDeque<u64>,
    /// When the first of them is done, in milliseconds.
    done_at: u64,
    /// Period in which the service takes and processes no calls, from and until.
    outage: (u64, u64),
    /// Whether the calls that wait when the outage begins get no response.
    loses_calls: bool,
    /// Whether the caller hears nothing of the outage: calls before and in it never get an outcome.
    silent: bool,
}

impl Replay {
    /// Calls until `steps` have been answered; returns the time and the number of calls.
    fn play(&mut self, steps: usize) -> (u64, usize) {
        let mut window = CallWindow::default();
        let (mut calls, mut answered) = (0, 0);
        self.done_at = self.service_ms;
        for now in 0..10_000_000 {
            let is_out = (self.outage.0..self.outage.1).contains(&now);
            if is_out {
                self.done_at += 1;
                if now == self.outage.0 && self.loses_calls {
                    for call in self.waiting.drain(..) {
                        if !self.silent {
                            window.end(call, Outcome::Unanswered, now);
                        }
                    }
                }
            } else if now >= self.done_at
                && let Some(call) = self.waiting.pop_front()
            {
                self.done_at = now + self.service_ms;
                let open = window.open_calls();
                window.end(call, Outcome::Answered, now);
                answered += open - window.open_calls();
                if answered >= steps {
                    return (now, calls);
                }
            }
            // An overdue step may be asked about again, so that some calls are in excess.
            if window.is_open(now) {
                calls += 1;
                let call = window.begin(self.expected_ms, now);
                assert!(window.open_calls() <= 16);
                if is_out && self.silent {
                    continue;
                }
                if is_out || self.waiting.len() > MAX_WAITING {
                    window.end(call, Outcome::Rejected, now);
                    continue;
                }
                if self.waiting.is_empty() {
                    self.done_at = now + self.service_ms;
                }
                self.waiting.push_back(call);
            }
        }
        panic!("{answered} of {steps} answered, {} waiting", self.waiting.len());
    }
}

fn replay(service_ms: u64, expected_ms: u64, backlog: usize) -> Replay {
    Replay {
        service_ms,
        expected_ms,
        waiting: std::iter::repeat_n(0, backlog).collect(),
        done_at: 0,
        outage: (0, 0),
        loses_calls: false,
        silent: false,
    }
}

/// Guards against a burst that never ends, for any time of a call and any number of steps.
#[test]
fn a_burst_of_calls_ends_for_any_time_of_a_call() {
    for service_ms in [1, 20, 300, 5_000, 40_000] {
        for steps in [1, 30, 150] {
            let (took, calls) = replay(service_ms, service_ms, 0).play(steps);
            let least = service_ms * steps as u64;
            assert!(took <= least + 2 * steps as u64, "{service_ms} ms, {steps} steps: {took} ms");
            assert_eq!(calls, steps);
        }
    }
}

/// Guards against calls that wait behind those of an earlier process, or of others, and time out each
/// time; up to a full service, which rejects calls.
#[test]
fn calls_behind_a_backlog_are_answered() {
    for (service_ms, backlog) in [(300, 12), (300, 33), (5_000, 33), (40_000, 20)] {
        let (took, calls) = replay(service_ms, service_ms, backlog).play(30);
        let least = service_ms * (30 + backlog as u64);
        assert!(took <= least * 5 / 4 + 3_000, "{service_ms} ms, {backlog}: {took} ms");
        assert!(
            calls <= 30 + 8 + took as usize / 2_000,
            "{service_ms} ms, {backlog}: {calls} calls"
        );
    }
}

/// Guards against a service that is slower than its configuration says, so that all calls are
/// overdue, and their late responses would be lost.
#[test]
fn calls_to_a_service_slower_than_configured_are_answered() {
    for (service_ms, expected_ms) in [(3_000, 10), (20_000, 100), (90_000, 300)] {
        let (took, calls) = replay(service_ms, expected_ms, 0).play(30);
        assert!(took <= service_ms * 45, "{service_ms} ms: {took} ms");
        // A third of the calls are in excess at most; a fixed time sends as many as may be open.
        assert!(calls <= 40, "{service_ms} ms: {calls} calls");
    }
}

/// Guards against a service whose outage leaves it with calls that no one waits for, and against
/// pauses that go on after its return.
#[test]
fn calls_are_answered_soon_after_an_outage() {
    for loses_calls in [false, true] {
        let mut replay = replay(300, 300, 5);
        (replay.outage, replay.loses_calls) = ((2_000, 22_000), loses_calls);
        let (took, _) = replay.play(30);
        assert!(took <= 22_000 + 35 * 300 + 4_000, "{loses_calls}: {took} ms");
    }
}

/// Guards against a window that stays closed for calls that were lost without a word; the time after
/// which the next one is sent grows no faster than the outage.
#[test]
fn calls_are_answered_after_an_outage_without_any_sign() {
    for length in [5_000, 20_000, 60_000] {
        let mut replay = replay(300, 300, 0);
        (replay.loses_calls, replay.silent) = (true, true);
        replay.outage = (2_000, 2_000 + length);
        let (took, _) = replay.play(30);
        let longest = 2_000 + 2 * length + 30 * 300 + 4_000;
        assert!(took <= longest, "outage of {length} ms: {took} ms");
    }
}
