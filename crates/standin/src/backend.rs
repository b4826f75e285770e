//! State of a backend server stand-in: executors, injected faults and the record of runs.

use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::record::Run;

/// Body of `POST /standin/faults`, which replaces the injected faults.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every request fails with 500 without doing its work.
    pub fail: bool,
    /// Additional time that every request takes, in milliseconds.
    pub slow_ms: u64,
    /// Requests run, but their responses are held back while this is set.
    pub pause: bool,
    /// Responses are truncated after half of their body.
    pub cut: bool,
}

/// Response to `GET /status`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// Number of requests in progress.
    pub in_flight: u32,
    /// Whether the server drains and refuses new requests.
    pub draining: bool,
    /// Incarnation: 1 at first, and one more after each reboot.
    pub incarnation: u64,
    /// Pool that the server serves.
    pub pool: String,
    /// Times of the requests refused as leaving, in milliseconds since 1970.
    pub refused: Vec<u64>,
}

/// Reason why a request was refused before it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// All slots of the executor are in use.
    Busy,
    /// The server drains.
    Leaving,
    /// The server has no such executor.
    NoExecutor,
    /// The request is for another pool.
    Pool,
}

impl RefusalReason {
    /// Returns the value of the `X-Refused` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Leaving => "leaving",
            Self::NoExecutor => "no-executor",
            Self::Pool => "pool",
        }
    }
}

/// Backend server stand-in.
#[derive(Debug)]
pub struct Backend {
    /// Injected faults.
    pub faults: Faults,
    /// Whether the server drains and refuses new requests.
    pub draining: bool,
    /// Incarnation: 1 at first, and one more after each reboot.
    pub incarnation: u64,
    /// Pool that the server serves.
    pub pool: String,
    /// Number of slots per executor.
    slots: u32,
    /// Slots in use, by executor.
    used_slots: Vec<u32>,
    runs: Vec<Run>,
    /// Times of the requests refused as leaving, in milliseconds since 1970.
    refused_at_ms: Vec<u64>,
}

impl Backend {
    /// Creates a server with idle executors, each with a number of slots.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut server = standin::backend::Backend::new("boards", 1, 8);
    /// let run = server.begin(0, "boards", "r1", "", "/stcn/boards").unwrap();
    /// server.end(run);
    /// assert_eq!(server.runs()[0].id, "r1");
    /// ```
    pub fn new(pool: &str, executors: u32, slots: u32) -> Self {
        let (faults, used_slots) = (Faults::default(), vec![0; executors as usize]);
        let (pool, runs, refused_at_ms) = (pool.to_owned(), Vec::new(), Vec::new());
        Self {
            faults,
            draining: false,
            incarnation: 1,
            pool,
            slots,
            used_slots,
            runs,
            refused_at_ms,
        }
    }

    /// Starts a request on an executor and returns the index of its run.
    ///
    /// The pool is not checked if `pool` is empty.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request is refused.
    pub fn begin(
        &mut self,
        executor: u32,
        pool: &str,
        id: &str,
        key: &str,
        path: &str,
    ) -> Result<usize, RefusalReason> {
        if self.draining {
            self.refused_at_ms.push(now_ms());
            return Err(RefusalReason::Leaving);
        }
        if !pool.is_empty() && pool != self.pool {
            return Err(RefusalReason::Pool);
        }
        let used = self.used_slots.get_mut(executor as usize).ok_or(RefusalReason::NoExecutor)?;
        if *used == self.slots {
            return Err(RefusalReason::Busy);
        }
        *used += 1;
        let (id, key, path) = (id.to_owned(), key.to_owned(), path.to_owned());
        let begin_ms = now_ms();
        self.runs.push(Run { id, key, path, executor, begin_ms, end_ms: None, cut: false });
        Ok(self.runs.len() - 1)
    }

    /// Ends a run, unless a reboot has interrupted it.
    pub fn end(&mut self, run: usize) {
        let Some(run) = self.runs.get_mut(run).filter(|run| run.end_ms.is_none()) else { return };
        run.end_ms = Some(now_ms());
        self.used_slots[run.executor as usize] -= 1;
    }

    /// Reboots into a pool; runs in progress are interrupted.
    pub fn reboot(&mut self, pool: &str) {
        for run in self.runs.iter_mut().filter(|run| run.end_ms.is_none()) {
            run.end_ms = Some(now_ms());
            run.cut = true;
        }
        self.used_slots.fill(0);
        self.incarnation += 1;
        pool.clone_into(&mut self.pool);
        self.draining = false;
    }

    /// Returns all runs, in the order of their start.
    pub fn runs(&self) -> &[Run] {
        &self.runs
    }

    /// Returns the response to `GET /status`.
    pub fn status(&self) -> Status {
        Status {
            in_flight: self.used_slots.iter().sum(),
            draining: self.draining,
            incarnation: self.incarnation,
            pool: self.pool.clone(),
            refused: self.refused_at_ms.clone(),
        }
    }
}

/// Returns the wall clock in milliseconds since 1970.
///
/// # Examples
///
/// ```
/// assert!(standin::backend::now_ms() > 0);
/// ```
pub fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
