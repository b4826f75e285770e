//! Tests of the log limit, which keeps a frequent event from flooding the log.

use super::{LogLimit, MAX_LINES_PER_SECOND};
use crate::event::Event;

#[test]
fn lines_beyond_the_limit_are_left_out_and_counted_in_the_next_second() {
    let mut limit = LogLimit::default();
    let logged =
        (0..MAX_LINES_PER_SECOND + 7).filter(|_| limit.admit(Event::StartSent, 5_000).0).count();
    assert_eq!(logged, MAX_LINES_PER_SECOND as usize);
    assert!(limit.admit(Event::JobAccepted, 5_000).0, "each event has its own limit");
    assert_eq!(limit.admit(Event::StartSent, 6_000), (true, Some(7)));
    assert_eq!(limit.admit(Event::StartSent, 6_001), (true, None));
}
