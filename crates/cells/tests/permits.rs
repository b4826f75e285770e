//! Permits for concurrent starts at executors.

use cells::permits::StartPermits;
use futures_util::FutureExt;
use jobs::worker::MAX_CONCURRENT_STARTS;

/// Guards against memory that grows with each executor that has ever been in the pool.
#[test]
fn nothing_is_kept_for_executors_without_starts() {
    let permits = StartPermits::default();
    for n in 0..1_000 {
        let executor = format!("executor-{n}");
        let (first, second) = (permits.begin(&executor), permits.begin(&executor));
        assert!(first.permit().now_or_never().flatten().is_some());
        drop(first);
        assert_eq!(permits.executor_count(), 1, "the second start of {executor} is under way");
        drop(second);
    }
    assert_eq!(permits.executor_count(), 0);
}

/// Guards against a removed entry whose replacement permits more starts beside those under way.
#[test]
fn all_starts_at_an_executor_share_its_permits() {
    let permits = StartPermits::default();
    let starts: Vec<_> = (0..MAX_CONCURRENT_STARTS).map(|_| permits.begin("e1")).collect();
    let mut held: Vec<_> = starts.iter().map(|s| s.permit().now_or_never().flatten()).collect();
    assert!(held.iter().all(Option::is_some));
    // One that gives up its wait leaves the entry to the others.
    drop(permits.begin("e1"));
    let next = permits.begin("e1");
    assert!(next.permit().now_or_never().is_none());
    assert!(permits.begin("e2").permit().now_or_never().flatten().is_some());
    held.pop();
    assert!(next.permit().now_or_never().flatten().is_some());
}
