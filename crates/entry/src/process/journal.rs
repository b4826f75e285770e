//! Requests that may not be repeated and that this process owns.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use peer::Answer;
use route::Ticket;
use tokio::sync::watch;

/// Time that a finished request is remembered.
const RESULT_RETENTION: Duration = Duration::from_secs(600);
/// Time between two notes of the newest ticket's number.
const ISSUE_TIME_INTERVAL: Duration = Duration::from_secs(1);
/// Bytes of answers that are kept at most.
const MAX_RESULT_BYTES: usize = 8 << 20;
/// Pause between two looks whether all requests have ended.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Handle on the journal; copies share it.
#[derive(Debug, Clone)]
pub struct Journal {
    state: Arc<Mutex<State>>,
    owner: Arc<str>,
    incarnation: u64,
}

#[derive(Debug, Default)]
struct State {
    records: HashMap<String, Record>,
    unstarted: HashSet<String>,
    finished: VecDeque<(Instant, String)>,
    result_bytes: usize,
    last_ticket: u64,
    issue_times: VecDeque<(Instant, u64)>,
    ticket_floor: u64,
    in_progress: usize,
}

/// One request and how far it came.
#[derive(Debug)]
struct Record {
    stage: watch::Sender<Stage>,
    digest: u64,
}

/// How far a request came.
#[derive(Debug, Clone)]
pub enum Stage {
    /// Nothing that could start it has left the process.
    Unsent,
    /// It may run on a backend server.
    Sent,
    /// It has its final answer.
    Finished(Arc<Answer>),
}

/// What to do with a request that came in.
#[derive(Debug)]
pub enum Registration {
    /// It is new, or was proved not to have run: run it.
    Run,
    /// It is under way or has ended: wait for its answer.
    Join(watch::Receiver<Stage>),
    /// The key was used for another request.
    KeyConflict,
    /// What became of it is no longer known.
    Unknown,
}

impl Journal {
    /// Opens an empty journal for one incarnation of a process.
    pub fn open(owner: String, incarnation: u64) -> Self {
        Self { state: Arc::default(), owner: owner.into(), incarnation }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Hands out a new ticket.
    pub fn issue_ticket(&self) -> Ticket {
        let mut state = self.lock();
        state.last_ticket += 1;
        let (number, now) = (state.last_ticket, Instant::now());
        // One entry a period tells the age of all its tickets.
        let last = state.issue_times.back().map(|(at, _)| now.saturating_duration_since(*at));
        if last.is_none_or(|age| age >= ISSUE_TIME_INTERVAL) {
            state.issue_times.push_back((now, number));
        }
        Ticket { owner: self.owner.to_string(), incarnation: self.incarnation, number }
    }

    /// Notes a key that this process is about to claim and under which it has started nothing.
    pub fn mark_unstarted(&self, key: &str) {
        let mut state = self.lock();
        if !state.records.contains_key(key) {
            state.unstarted.insert(key.to_owned());
        }
    }

    /// Forgets a key that another process has claimed.
    pub fn unmark_unstarted(&self, key: &str) {
        self.lock().unstarted.remove(key);
    }

    /// Whether this process tried to claim the key and has started nothing under it.
    pub fn is_unstarted(&self, key: &str) -> bool {
        self.lock().unstarted.contains(key)
    }

    /// Enters a request; `digest` tells requests under the same key apart.
    ///
    /// `number` is that of a ticket; a claimed key that is `fresh` can't be in the journal.
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
            let not_run = matches!(&*record.stage.borrow(), Stage::Finished(answer) if answer.outcome == "not-run");
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

    /// Follows a request without entering one.
    pub fn subscribe(&self, key: &str) -> Option<watch::Receiver<Stage>> {
        self.lock().records.get(key).map(|record| record.stage.subscribe())
    }

    /// Marks that the request is about to leave; false when it was given up before.
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

    /// Marks that a try was proved not to have run.
    pub fn mark_unsent(&self, key: &str) {
        if let Some(record) = self.lock().records.get(key) {
            record.stage.send_replace(Stage::Unsent);
        }
    }

    /// Gives a request up that has not left; false when it may run.
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

    /// Records the final answer of a request that had left.
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

    /// Completes when no request is under way.
    pub async fn wait_until_idle(&self) {
        while self.lock().in_progress > 0 {
            tokio::time::sleep(IDLE_POLL_INTERVAL).await;
        }
    }
}

impl State {
    fn add_finished(&mut self, key: &str, size: usize) {
        self.in_progress = self.in_progress.saturating_sub(1);
        self.result_bytes += size;
        self.finished.push_back((Instant::now(), key.to_owned()));
    }

    /// Forgets the oldest answers; tickets that old are no longer taken.
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
