//! State of one backend server stand-in: executors, faults and the record.

use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::record::Run;

/// Body of `POST /standin/faults`: the faults in force from now on.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every request ends with 500 at once.
    pub fail: bool,
    /// Every request takes so many milliseconds longer.
    pub slow_ms: u64,
    /// Requests run, but their answers wait until this is taken back.
    pub pause: bool,
    /// Answers are cut off half-way.
    pub cut: bool,
}

/// Answer to `GET /standin/status`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// Requests in progress.
    pub in_flight: u32,
    /// Whether new requests are refused.
    pub draining: bool,
    /// Count of starts.
    pub incarnation: u64,
    /// Pool it serves.
    pub pool: String,
    /// Times of the requests refused as leaving, in milliseconds since 1970.
    pub refused: Vec<u64>,
}

/// Why a request was refused before it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// All slots of the executor are taken.
    Busy,
    /// The server is leaving.
    Leaving,
    /// There is no such executor.
    NoExecutor,
    /// The request is for another pool.
    Pool,
}

impl Refused {
    /// Text for the `X-Refused` header.
    pub fn text(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Leaving => "leaving",
            Self::NoExecutor => "no-executor",
            Self::Pool => "pool",
        }
    }
}

/// One backend server.
#[derive(Debug)]
pub struct Backend {
    /// Faults in force.
    pub faults: Faults,
    /// Whether new requests are refused.
    pub draining: bool,
    /// Count of starts.
    pub incarnation: u64,
    /// Pool it serves.
    pub pool: String,
    slots: u32,
    busy: Vec<u32>,
    runs: Vec<Run>,
    refused: Vec<u64>,
}

impl Backend {
    /// Starts with idle executors.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut server = standin::backend::Backend::open("boards", 1, 8);
    /// let run = server.begin(0, "boards", "r1", "", "/stcn/boards").unwrap();
    /// server.end(run);
    /// assert_eq!(server.runs()[0].id, "r1");
    /// ```
    pub fn open(pool: &str, executors: u32, slots: u32) -> Self {
        let (faults, busy) = (Faults::default(), vec![0; executors as usize]);
        let (pool, runs, refused) = (pool.to_owned(), Vec::new(), Vec::new());
        Self { faults, draining: false, incarnation: 1, pool, slots, busy, runs, refused }
    }

    /// Takes a request onto an executor and gives its place in the record.
    ///
    /// An empty `pool` stands for a caller that names none.
    ///
    /// # Errors
    ///
    /// The reason, when it did not start.
    pub fn begin(
        &mut self,
        executor: u32,
        pool: &str,
        id: &str,
        key: &str,
        path: &str,
    ) -> Result<usize, Refused> {
        if self.draining {
            self.refused.push(now_ms());
            return Err(Refused::Leaving);
        }
        if !pool.is_empty() && pool != self.pool {
            return Err(Refused::Pool);
        }
        let busy = self.busy.get_mut(executor as usize).ok_or(Refused::NoExecutor)?;
        if *busy == self.slots {
            return Err(Refused::Busy);
        }
        *busy += 1;
        let (id, key, path) = (id.to_owned(), key.to_owned(), path.to_owned());
        let begin_ms = now_ms();
        self.runs.push(Run { id, key, path, executor, begin_ms, end_ms: None, cut: false });
        Ok(self.runs.len() - 1)
    }

    /// Ends a run, unless a reboot has ended it before.
    pub fn end(&mut self, run: usize) {
        let Some(run) = self.runs.get_mut(run).filter(|run| run.end_ms.is_none()) else { return };
        run.end_ms = Some(now_ms());
        self.busy[run.executor as usize] -= 1;
    }

    /// Reboots into a pool and cuts off whatever still ran.
    pub fn reboot(&mut self, pool: &str) {
        for run in self.runs.iter_mut().filter(|run| run.end_ms.is_none()) {
            run.end_ms = Some(now_ms());
            run.cut = true;
        }
        self.busy.fill(0);
        self.incarnation += 1;
        pool.clone_into(&mut self.pool);
        self.draining = false;
    }

    /// Everything that ran.
    pub fn runs(&self) -> &[Run] {
        &self.runs
    }

    /// State for `GET /standin/status`.
    pub fn status(&self) -> Status {
        Status {
            in_flight: self.busy.iter().sum(),
            draining: self.draining,
            incarnation: self.incarnation,
            pool: self.pool.clone(),
            refused: self.refused.clone(),
        }
    }
}

/// Wall clock in milliseconds since 1970.
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
