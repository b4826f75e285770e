//! In-memory journal of the requests that this process owns and that must run at most once.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use peer::Answer;
use route::Ticket;
use tokio::sync::watch;

/// Time for which the result of a finished request is kept.
const RESULT_RETENTION: Duration = Duration::from_secs(600);
/// Interval at which the issue time of a ticket is recorded.
const ISSUE_TIME_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum total size of the kept results, in bytes.
const MAX_RESULT_BYTES: usize = 8 << 20;
/// Interval at which `wait_until_idle` checks for requests in progress.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Handle to the journal; clones share the same records.
#[derive(Debug, Clone)]
pub struct Journal {
    state: Arc<Mutex<State>>,
    owner: Arc<str>,
    incarnation: u64,
}

#[derive(Debug, Default)]
struct State {
    records: HashMap<String, Record>,
    /// Keys that this process tried to claim and under which it has started no request.
    unstarted: HashSet<String>,
    /// Finished requests with their end times, oldest first.
    finished: VecDeque<(Instant, String)>,
    /// Total size of the kept results.
    result_bytes: usize,
    /// Number of the last issued ticket.
    last_ticket: u64,
    /// Issue times of some tickets with their numbers, oldest first.
    issue_times: VecDeque<(Instant, u64)>,
    /// Tickets up to this number start no new request, as their results may have been removed.
    ticket_floor: u64,
    /// Number of requests in progress.
    in_progress: usize,
}

/// Stage of one request, and the digest that identifies its content.
#[derive(Debug)]
struct Record {
    stage: watch::Sender<Stage>,
    digest: u64,
}

/// Stage of a request.
#[derive(Debug, Clone)]
pub enum Stage {
    /// The request was not sent, or every attempt so far provably did not run.
    Unsent,
    /// The request was sent and may run on a backend server.
    Sent,
    /// The request has its final answer.
    Finished(Arc<Answer>),
}

/// Result of registering a request.
#[derive(Debug)]
pub enum Registration {
    /// The request is new or provably has not run; the caller must run it.
    Run,
    /// The request is in progress or finished; the caller waits for its answer.
    Join(watch::Receiver<Stage>),
    /// The key was used for a request with other content.
    KeyConflict,
    /// The journal has no record of the request, which may have run.
    Unknown,
}

impl Journal {
    /// Creates an empty journal for one incarnation of a process.
    pub fn open(owner: String, incarnation: u64) -> Self {
        Self { state: Arc::default(), owner: owner.into(), incarnation }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Issues a new ticket.
    pub fn issue_ticket(&self) -> Ticket {
        let mut state = self.lock();
        state.last_ticket += 1;
        let (number, now) = (state.last_ticket, Instant::now());
        // One recorded time per interval is enough to expire tickets by their age.
        let last = state.issue_times.back().map(|(at, _)| now.saturating_duration_since(*at));
        if last.is_none_or(|age| age >= ISSUE_TIME_INTERVAL) {
            state.issue_times.push_back((now, number));
        }
        Ticket { owner: self.owner.to_string(), incarnation: self.incarnation, number }
    }

    /// Records that this process is about to claim a key and has started no request under it.
    ///
    /// Has no effect if the journal has a request under the key.
    pub fn mark_unstarted(&self, key: &str) {
        let mut state = self.lock();
        if !state.records.contains_key(key) {
            state.unstarted.insert(key.to_owned());
        }
    }

    /// Removes a key from the unstarted ones because another process has claimed it.
    pub fn unmark_unstarted(&self, key: &str) {
        self.lock().unstarted.remove(key);
    }

    /// Returns whether this process tried to claim a key and started no request under it.
    pub fn is_unstarted(&self, key: &str) -> bool {
        self.lock().unstarted.contains(key)
    }

    /// Registers a request before it is run; `digest` distinguishes requests under the same key.
    ///
    /// `ticket_number` is set if the key is a ticket. `fresh_claim` is true if this process has
    /// claimed the key and started no request under it, so that no record can have expired.
    pub fn register(
        &self,
        key: &str,
        digest: u64,
        ticket_number: Option<u64>,
        fresh_claim: bool,
    ) -> Registration {
        let mut state = self.lock();
        state.remove_expired(Instant::now());
        if let Some(record) = state.records.get_mut(key) {
            if record.digest != digest {
                return Registration::KeyConflict;
            }
            let not_run = matches!(
                &*record.stage.borrow(),
                Stage::Finished(answer) if answer.outcome == "not-run"
            );
            if !not_run {
                return Registration::Join(record.stage.subscribe());
            }
            record.stage.send_replace(Stage::Unsent);
            state.in_progress += 1;
            return Registration::Run;
        }
        let valid = match ticket_number {
            Some(number) => number > state.ticket_floor && number <= state.last_ticket,
            None => fresh_claim,
        };
        if !valid {
            return Registration::Unknown;
        }
        state.unstarted.remove(key);
        let (stage, _) = watch::channel(Stage::Unsent);
        state.records.insert(key.to_owned(), Record { stage, digest });
        state.in_progress += 1;
        Registration::Run
    }

    /// Returns a receiver for the stages of a registered request.
    pub fn subscribe(&self, key: &str) -> Option<watch::Receiver<Stage>> {
        self.lock().records.get(key).map(|record| record.stage.subscribe())
    }

    /// Marks a request as sent, before it is sent; returns false if it was cancelled.
    pub fn mark_sent(&self, key: &str) -> bool {
        let state = self.lock();
        let Some(record) = state.records.get(key) else { return false };
        record.stage.send_if_modified(|stage| {
            let unsent = matches!(stage, Stage::Unsent);
            if unsent {
                *stage = Stage::Sent;
            }
            unsent
        })
    }

    /// Marks a request as unsent after an attempt that provably did not run.
    pub fn mark_unsent(&self, key: &str) {
        if let Some(record) = self.lock().records.get(key) {
            record.stage.send_replace(Stage::Unsent);
        }
    }

    /// Finishes an unsent request with `answer`; returns false if the request may run.
    pub fn cancel(&self, key: &str, answer: Answer) -> bool {
        let mut state = self.lock();
        let Some(record) = state.records.get(key) else { return false };
        let unsent = record.stage.send_if_modified(|stage| {
            let unsent = matches!(stage, Stage::Unsent);
            if unsent {
                *stage = Stage::Finished(Arc::new(answer));
            }
            unsent
        });
        if unsent {
            state.add_finished(key, 0);
        }
        unsent
    }

    /// Records the final answer of a request that was sent.
    pub fn finish(&self, key: &str, answer: Answer) {
        let mut state = self.lock();
        let size = answer.body.len();
        let Some(record) = state.records.get(key) else { return };
        if matches!(&*record.stage.borrow(), Stage::Finished(_)) {
            return;
        }
        record.stage.send_replace(Stage::Finished(Arc::new(answer)));
        state.add_finished(key, size);
    }

    /// Waits until no request is in progress.
    pub async fn wait_until_idle(&self) {
        while self.lock().in_progress > 0 {
            tokio::time::sleep(IDLE_POLL_INTERVAL).await;
        }
    }
}

impl State {
    /// Counts a request as finished and queues its record for expiry.
    fn add_finished(&mut self, key: &str, size: usize) {
        self.in_progress = self.in_progress.saturating_sub(1);
        self.result_bytes += size;
        self.finished.push_back((Instant::now(), key.to_owned()));
    }

    /// Removes the oldest results beyond the limits on age and total size.
    ///
    /// Also raises the ticket floor, so that tickets of that age no longer start a request.
    fn remove_expired(&mut self, now: Instant) {
        while let Some((at, _)) = self.finished.front() {
            let expired = now.saturating_duration_since(*at) > RESULT_RETENTION;
            if !expired && self.result_bytes <= MAX_RESULT_BYTES {
                break;
            }
            let Some((_, key)) = self.finished.pop_front() else { break };
            self.remove(&key);
        }
        while let Some((at, number)) = self.issue_times.front().copied() {
            if now.saturating_duration_since(at) <= RESULT_RETENTION {
                break;
            }
            self.ticket_floor = self.ticket_floor.max(number);
            self.issue_times.pop_front();
        }
    }

    /// Removes the record of a finished request unless the request was run again since.
    fn remove(&mut self, key: &str) {
        let finished_again = self.finished.iter().any(|(_, later)| later == key);
        let result_size = |record: &Record| match &*record.stage.borrow() {
            Stage::Finished(answer) => Some(answer.body.len()),
            _ => None,
        };
        let Some(size) = self.records.get(key).and_then(result_size).filter(|_| !finished_again)
        else {
            return;
        };
        self.records.remove(key);
        self.result_bytes = self.result_bytes.saturating_sub(size);
        if let Ok(ticket) = key.parse::<Ticket>() {
            self.ticket_floor = self.ticket_floor.max(ticket.number);
        }
    }
}
