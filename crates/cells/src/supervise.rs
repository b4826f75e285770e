//! Supervision of tasks without which a cell would stand still.

use std::future::Future;

/// Runs a task in the background, and calls `on_panic` if it panics.
///
/// A panic ends only the task that it happens in. If that is the scheduler of a cell, the process keeps
/// the cell's lease and renews the leases of its executors, but starts nothing any more.
///
/// # Examples
///
/// ```
/// use std::cell::Cell;
/// use std::rc::Rc;
///
/// actix::System::new().block_on(async {
///     let failed = Rc::new(Cell::new(false));
///     let flag = Rc::clone(&failed);
///     cells::supervise::spawn(async { panic!("an index is out of bounds") }, move || flag.set(true));
///     while !failed.get() {
///         tokio::task::yield_now().await;
///     }
/// });
/// ```
pub fn spawn(task: impl Future<Output = ()> + 'static, on_panic: impl FnOnce() + 'static) {
    let task = actix::spawn(task);
    actix::spawn(async move {
        if task.await.is_err_and(|error| error.is_panic()) {
            on_panic();
        }
    });
}
