//! The bound on log lines.

use super::{Budget, LINES};
use crate::event::Event;

#[test]
fn lines_beyond_the_bound_are_left_out_and_told_in_the_next_second() {
    let mut budget = Budget::default();
    let logged = (0..LINES + 7).filter(|_| budget.spend(Event::StartSent, 5_000).0).count();
    assert_eq!(logged, LINES as usize);
    assert!(budget.spend(Event::JobAccepted, 5_000).0, "other events have lines of their own");
    assert_eq!(budget.spend(Event::StartSent, 6_000), (true, Some(7)));
    assert_eq!(budget.spend(Event::StartSent, 6_001), (true, None));
}
