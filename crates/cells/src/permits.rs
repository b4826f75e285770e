//! Limits the concurrent starts at each executor.
//!
//! Load pattern: a peak orders dozens of starts at one executor within a few milliseconds, and
//! executors come and go for as long as a process holds a cell.

use std::cell::RefCell;
use std::rc::Rc;

use indexmap::IndexMap;
use jobs::worker::MAX_CONCURRENT_STARTS;
use tokio::sync::{Semaphore, SemaphorePermit};

/// Permits for the starts at each executor that has starts under way or waiting.
#[derive(Debug, Default)]
pub struct StartPermits {
    by_executor: RefCell<IndexMap<String, Rc<Semaphore>>>,
}

impl StartPermits {
    /// Begins a start at an executor; it may be sent once [`Start::permit`] returns.
    ///
    /// # Examples
    ///
    /// ```
    /// use cells::permits::StartPermits;
    /// let permits = StartPermits::default();
    /// let start = permits.begin("e1");
    /// assert_eq!(permits.executor_count(), 1);
    /// drop(start);
    /// assert_eq!(permits.executor_count(), 0);
    /// ```
    pub fn begin(&self, executor: &str) -> Start<'_> {
        let mut by_executor = self.by_executor.borrow_mut();
        let semaphore = by_executor
            .entry(executor.to_owned())
            .or_insert_with(|| Rc::new(Semaphore::new(MAX_CONCURRENT_STARTS)));
        Start { permits: self, executor: executor.to_owned(), semaphore: Rc::clone(semaphore) }
    }

    /// Number of executors with starts that have begun and not ended.
    pub fn executor_count(&self) -> usize {
        self.by_executor.borrow().len()
    }
}

/// A start that is under way or waits for a permit.
#[derive(Debug)]
pub struct Start<'a> {
    permits: &'a StartPermits,
    executor: String,
    semaphore: Rc<Semaphore>,
}

impl Start<'_> {
    /// Waits until fewer than [`MAX_CONCURRENT_STARTS`] other starts at the executor have a permit.
    pub async fn permit(&self) -> Option<SemaphorePermit<'_>> {
        self.semaphore.acquire().await.ok()
    }
}

impl Drop for Start<'_> {
    /// Removes the executor's entry with its last start.
    fn drop(&mut self) {
        // The map and this start have one reference each.
        if Rc::strong_count(&self.semaphore) <= 2 {
            self.permits.by_executor.borrow_mut().swap_remove(&self.executor);
        }
    }
}
