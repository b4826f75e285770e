//! Requests that may not be repeated and that this process owns.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use peer::Answer;
use route::Ticket;
use tokio::sync::watch;

/// Time that a finished request is remembered.
const KEPT_FOR: Duration = Duration::from_secs(600);
/// Time between two notes of the newest ticket's number.
const ISSUED_PERIOD: Duration = Duration::from_secs(1);
/// Bytes of answers that are kept at most.
const KEPT_BYTES: usize = 8 << 20;
/// Pause between two looks whether all requests have ended.
const QUIET_POLL: Duration = Duration::from_millis(20);

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
    vacant: HashSet<String>,
    ended: VecDeque<(Instant, String)>,
    bytes: usize,
    next: u64,
    issued: VecDeque<(Instant, u64)>,
    floor: u64,
    running: usize,
}

/// One request and how far it came.
#[derive(Debug)]
struct Record {
    stage: watch::Sender<Stage>,
    mark: u64,
}

/// How far a request came.
#[derive(Debug, Clone)]
pub enum Stage {
    /// Nothing that could start it has left the process.
    Held,
    /// It may run on a backend server.
    Sent,
    /// It has its final answer.
    Ended(Arc<Answer>),
}

/// What to do with a request that came in.
#[derive(Debug)]
pub enum Entry {
    /// It is new, or was proved not to have run: run it.
    Run,
    /// It is under way or has ended: wait for its answer.
    Join(watch::Receiver<Stage>),
    /// The key was used for another request.
    Other,
    /// What became of it is no longer known.
    Forgotten,
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
    pub fn issue(&self) -> Ticket {
        let mut state = self.lock();
        state.next += 1;
        let (number, now) = (state.next, Instant::now());
        // One entry a period tells the age of all its tickets.
        let last = state.issued.back().map(|(at, _)| now.saturating_duration_since(*at));
        if last.is_none_or(|age| age >= ISSUED_PERIOD) {
            state.issued.push_back((now, number));
        }
        Ticket { owner: self.owner.to_string(), incarnation: self.incarnation, number }
    }

    /// Notes a key that this process is about to claim and under which it has started nothing.
    pub fn vacate(&self, key: &str) {
        let mut state = self.lock();
        if !state.records.contains_key(key) {
            state.vacant.insert(key.to_owned());
        }
    }

    /// Forgets a key that another process has claimed.
    pub fn cede(&self, key: &str) {
        self.lock().vacant.remove(key);
    }

    /// Whether this process tried to claim the key and has started nothing under it.
    pub fn vacant(&self, key: &str) -> bool {
        self.lock().vacant.contains(key)
    }

    /// Enters a request; `mark` tells requests under the same key apart.
    ///
    /// `number` is that of a ticket; a claimed key that is `fresh` can't be in the journal.
    pub fn enter(&self, key: &str, mark: u64, number: Option<u64>, fresh: bool) -> Entry {
        let mut state = self.lock();
        state.forget(Instant::now());
        if let Some(record) = state.records.get_mut(key) {
            if record.mark != mark {
                return Entry::Other;
            }
            let rerun = matches!(&*record.stage.borrow(), Stage::Ended(answer) if answer.outcome == "not-run");
            if !rerun {
                return Entry::Join(record.stage.subscribe());
            }
            record.stage.send_replace(Stage::Held);
            state.running += 1;
            return Entry::Run;
        }
        let known = match number {
            Some(number) => number > state.floor && number <= state.next,
            None => fresh,
        };
        if !known {
            return Entry::Forgotten;
        }
        state.vacant.remove(key);
        let (stage, _) = watch::channel(Stage::Held);
        state.records.insert(key.to_owned(), Record { stage, mark });
        state.running += 1;
        Entry::Run
    }

    /// Follows a request without entering one.
    pub fn follow(&self, key: &str) -> Option<watch::Receiver<Stage>> {
        self.lock().records.get(key).map(|record| record.stage.subscribe())
    }

    /// Marks that the request is about to leave; false when it was given up before.
    pub fn send(&self, key: &str) -> bool {
        let state = self.lock();
        let Some(record) = state.records.get(key) else { return false };
        record.stage.send_if_modified(|stage| {
            let held = matches!(stage, Stage::Held);
            if held {
                *stage = Stage::Sent;
            }
            held
        })
    }

    /// Marks that a try was proved not to have run.
    pub fn hold(&self, key: &str) {
        if let Some(record) = self.lock().records.get(key) {
            record.stage.send_replace(Stage::Held);
        }
    }

    /// Gives a request up that has not left; false when it may run.
    pub fn give_up(&self, key: &str, answer: Answer) -> bool {
        let mut state = self.lock();
        let Some(record) = state.records.get(key) else { return false };
        let held = record.stage.send_if_modified(|stage| {
            let held = matches!(stage, Stage::Held);
            if held {
                *stage = Stage::Ended(Arc::new(answer));
            }
            held
        });
        if held {
            state.finish(key, 0);
        }
        held
    }

    /// Records the final answer of a request that had left.
    pub fn end(&self, key: &str, answer: Answer) {
        let mut state = self.lock();
        let size = answer.body.len();
        let Some(record) = state.records.get(key) else { return };
        if matches!(&*record.stage.borrow(), Stage::Ended(_)) {
            return;
        }
        record.stage.send_replace(Stage::Ended(Arc::new(answer)));
        state.finish(key, size);
    }

    /// Completes when no request is under way.
    pub async fn quiet(&self) {
        while self.lock().running > 0 {
            tokio::time::sleep(QUIET_POLL).await;
        }
    }
}

impl State {
    fn finish(&mut self, key: &str, size: usize) {
        self.running = self.running.saturating_sub(1);
        self.bytes += size;
        self.ended.push_back((Instant::now(), key.to_owned()));
    }

    /// Forgets the oldest answers; tickets that old are no longer taken.
    fn forget(&mut self, now: Instant) {
        while let Some((at, _)) = self.ended.front() {
            let old = now.saturating_duration_since(*at) > KEPT_FOR;
            if !old && self.bytes <= KEPT_BYTES {
                break;
            }
            let Some((_, key)) = self.ended.pop_front() else { break };
            self.remove(&key);
        }
        while let Some((at, number)) = self.issued.front().copied() {
            if now.saturating_duration_since(at) <= KEPT_FOR {
                break;
            }
            self.floor = self.floor.max(number);
            self.issued.pop_front();
        }
    }

    fn remove(&mut self, key: &str) {
        let again = self.ended.iter().any(|(_, later)| later == key);
        let ended = |record: &Record| match &*record.stage.borrow() {
            Stage::Ended(answer) => Some(answer.body.len()),
            _ => None,
        };
        let Some(size) = self.records.get(key).and_then(ended).filter(|_| !again) else { return };
        self.records.remove(key);
        self.bytes = self.bytes.saturating_sub(size);
        if let Ok(ticket) = key.parse::<Ticket>() {
            self.floor = self.floor.max(ticket.number);
        }
    }
}
