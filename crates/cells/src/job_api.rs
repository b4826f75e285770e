//! Answers clients: submits, shows and cancels jobs.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::try_join_all;
use indexmap::{IndexMap, IndexSet};
use jobs::admit::{self, Verdict};
use jobs::row::JobRow;
use jobs::{Job, Queue, State};

use crate::clock;
use crate::context::{Context, pause};
use crate::follow::read_all;
use crate::keys;
use crate::metrics::Metrics;
use crate::ports::{Change, ChangeError, Place, ReadError};
use crate::rows::{self, StateRow};
use crate::submission::{Entry, Intake, Stored};

/// How long a job may wait for the table before its client is told to come back, in milliseconds;
/// a quarter of the shortest usual deadline.
const STORE_PATIENCE: u64 = 700;
/// When to come back after the table was away, in milliseconds; about as long as it takes to
/// notice its return.
const AWAY_RETRY: u64 = 1_000;
/// Pause between tries of a read or a cancel, in milliseconds.
const RETRY: u64 = 60;
/// Share of a request's time, in percent, after which tries end, so that the answer arrives.
const TRY_SHARE: u64 = 80;
/// Ended jobs whose state is kept in memory, as it can't change any more, and jobs that were not
/// accepted.
const KEPT: usize = 20_000;
/// Age up to which a holder's count of waiting jobs is given to clients, in milliseconds; over the
/// longest time between two publications.
const COUNT_AGE: u64 = 1_600;
/// Age up to which the jobs that such a count is about are recent enough, in milliseconds; twice
/// the time in which a holder's feed answers while nothing changes.
const KNOWN_AGE: u64 = 3_000;
/// Age up to which a cell's published load counts, in milliseconds.
const LOAD_AGE: u64 = 3_000;

/// Answer to a client.
#[derive(Debug, Clone, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Reply {
    /// The job is stored.
    Accepted,
    /// State of the job.
    State(State),
    /// The job is cancelled, or had ended.
    Cancelled,
    /// Number of the queue's jobs that have not begun.
    Pending(u64),
    /// No such queue.
    NoQueue,
    /// No such job.
    NoJob,
    /// The job breaks a rule.
    Invalid(String),
    /// Nothing was done and nothing will be; when to come back, in milliseconds.
    Refused {
        /// Whether load is the reason, not a part that is away.
        overloaded: bool,
        /// When to come back, in milliseconds.
        retry_after: u64,
    },
    /// It may have been done; when to ask again, in milliseconds.
    Unknown {
        /// When to ask again, in milliseconds.
        retry_after: u64,
    },
}

/// Takes requests for the life of the process.
#[expect(missing_debug_implementations, reason = "holds trait objects")]
pub struct JobApi {
    ctx: Rc<Context>,
    intake: Rc<Intake>,
    ended: RefCell<IndexMap<(String, String), State>>,
    /// When jobs that were not accepted were first asked for, in milliseconds.
    asked: RefCell<IndexMap<String, u64>>,
}

impl JobApi {
    pub(crate) fn new(ctx: Rc<Context>) -> Rc<Self> {
        Rc::new(Self {
            ctx,
            intake: Rc::default(),
            ended: RefCell::default(),
            asked: RefCell::default(),
        })
    }

    /// Notes in the metrics how a request was answered.
    pub fn measure(&self, kind: &str, reply: &Reply, took: Duration) {
        Metrics::observe(&self.ctx.metrics.requests, &[kind, reply.into()], took);
    }

    /// Largest request body, in bytes; `None` before a configuration is there.
    pub fn body_limit(&self) -> Option<usize> {
        self.ctx.config().map(|config| config.body)
    }

    /// Finds the queue of a request.
    pub fn queue(&self, host: &str, path: &str) -> Result<Queue, Reply> {
        let Some(config) = self.ctx.config() else { return Err(self.unavailable()) };
        config.find(host, path).cloned().ok_or(Reply::NoQueue)
    }

    fn unavailable(&self) -> Reply {
        Reply::Refused { overloaded: false, retry_after: AWAY_RETRY }
    }

    /// Submits a job; `left` is how long its client waits, in milliseconds.
    pub async fn submit(&self, queue: &Queue, id: &str, job: &Job, left: u64) -> Reply {
        if let Err(error) = job.check() {
            return Reply::Invalid(error.to_string());
        }
        let cell = &queue.pool;
        let part = keys::part(&queue.name, id);
        let waited = self.waited(id);
        let now = self.ctx.table_now();
        let refusal = self.overload(queue, cell, job, waited);
        let entry = Entry {
            id: id.to_owned(),
            cell: cell.clone(),
            job: refusal.is_none().then(|| JobRow::new(&queue.name, now, job)),
            asked: now.saturating_sub(waited),
            until: clock::now() + STORE_PATIENCE.min(left * TRY_SHARE / 100),
        };
        let stored = self.intake.store(&self.ctx, &part, entry).await;
        match (stored, refusal) {
            // A job that came before and was accepted stays accepted.
            (Stored::Yes, Some(_)) => Reply::Accepted,
            (Stored::Yes, None) => {
                self.asked.borrow_mut().swap_remove(id);
                self.ctx.timeline.record(
                    base::Event::JobAccepted,
                    &[("job", &id), ("queue", &queue.name), ("cell", cell), ("waited_ms", &waited)],
                );
                Reply::Accepted
            }
            (Stored::Never, Some(after)) => {
                self.refused_for_load(id, queue, cell, job, after);
                Reply::Refused { overloaded: true, retry_after: after }
            }
            (Stored::Never, None) | (Stored::Unknown, _) => self.unsettled(id),
        }
    }

    /// How long ago this process was first asked for a job, in milliseconds.
    fn waited(&self, id: &str) -> u64 {
        let now = clock::now();
        let mut asked = self.asked.borrow_mut();
        if let Some(first) = asked.get(id) {
            return now.saturating_sub(*first);
        }
        if asked.len() >= KEPT {
            asked.drain(..KEPT / 2);
        }
        asked.insert(id.to_owned(), now);
        0
    }

    /// Answers a request of which the table has not said what became of it.
    ///
    /// An earlier try of the same job, at any process, may be stored yet, so that "not accepted"
    /// could be false.
    fn unsettled(&self, id: &str) -> Reply {
        let age = self.ctx.table_age();
        self.ctx
            .timeline
            .record(base::Event::WriteUnsettled, &[("job", &id), ("table_age_ms", &age)]);
        Reply::Unknown { retry_after: AWAY_RETRY }
    }

    /// Logs a refusal with the load that decided it and its age.
    fn refused_for_load(&self, id: &str, queue: &Queue, cell: &str, job: &Job, after: u64) {
        let load = self.ctx.loads.borrow().get(cell).cloned().unwrap_or_default();
        let age = self.ctx.table_now().saturating_sub(load.clock);
        self.ctx.timeline.record(
            base::Event::JobRefused,
            &[
                ("job", &id),
                ("why", &"load"),
                ("queue", &queue.name),
                ("cell", &cell),
                ("after_ms", &after),
                ("chain_ms", &job.chain()),
                ("ahead", &load.waiting),
                ("backlog", &load.backlog),
                ("room", &load.room),
                ("coming", &load.coming),
                ("jobs", &load.jobs),
                ("load_age_ms", &age),
            ],
        );
    }

    /// When to come back, if the job can't be served in time.
    fn overload(&self, queue: &Queue, cell: &str, job: &Job, waited: u64) -> Option<u64> {
        let loads = self.ctx.loads.borrow();
        let load = loads.get(cell)?;
        if self.ctx.table_now() > load.clock + LOAD_AGE || job.is_lasting() {
            return None;
        }
        let chain = job.chain();
        let objective = chain * queue.stretch / 1_000 + queue.target;
        let load = admit::Load {
            jobs: usize::try_from(load.jobs).unwrap_or(usize::MAX),
            ahead: load.waiting,
            backlog: load.backlog,
            room: load.room,
            coming: load.coming,
            due: load.due.saturating_sub(self.ctx.table_now()),
        };
        match admit::judge(&load, objective, chain, waited) {
            Verdict::Accept => None,
            Verdict::Refuse(after) => Some(after),
        }
    }

    /// Shows a job's state.
    pub async fn state(&self, queue: &Queue, id: &str, left: u64) -> Reply {
        let part = keys::part(&queue.name, id);
        let key = (part.clone(), id.to_owned());
        if let Some(state) = self.ended.borrow().get(&key) {
            return Reply::State(*state);
        }
        match self.find(&part, id, clock::now() + left * TRY_SHARE / 100).await {
            Ok(None) => Reply::NoJob,
            Ok(Some((_, row))) => match row.state() {
                Some(state) => {
                    if state.is_final() {
                        self.keep(key, state);
                    }
                    Reply::State(state)
                }
                None => self.unread(id),
            },
            Err(()) => self.unread(id),
        }
    }

    /// Answers a question that the table has not answered.
    fn unread(&self, id: &str) -> Reply {
        let age = self.ctx.table_age();
        self.ctx.timeline.record(base::Event::StateUnread, &[("job", &id), ("table_age_ms", &age)]);
        self.unavailable()
    }

    fn keep(&self, key: (String, String), state: State) {
        let mut ended = self.ended.borrow_mut();
        if ended.len() >= KEPT {
            ended.swap_remove_index(0);
        }
        ended.insert(key, state);
    }

    /// Cancels a job.
    pub async fn cancel(&self, queue: &Queue, id: &str, left: u64) -> Reply {
        let part = keys::part(&queue.name, id);
        let until = clock::now() + left * TRY_SHARE / 100;
        loop {
            let (version, row) = match self.find(&part, id, until).await {
                Ok(None) => return Reply::NoJob,
                Ok(Some(found)) => found,
                Err(()) => return self.unsettled(id),
            };
            if row.state().is_some_and(State::is_final) {
                return Reply::Cancelled;
            }
            let place = keys::state(&part, id);
            let mut mark = keys::state(&part, &keys::cancel(id));
            mark.table = keys::jobs(&row.cell);
            let cancelled = StateRow::new(&row.cell, State::Cancelled);
            let change = Change {
                expect: vec![(place.clone(), version)],
                writes: vec![(place, rows::encode(&cancelled)), (mark, b"1".to_vec())],
                removes: Vec::new(),
            };
            match self.ctx.ports.store.apply(&change).await {
                Ok(_) => {
                    self.ctx.timeline.record(
                        base::Event::CancelTaken,
                        &[("job", &id), ("queue", &queue.name), ("cell", &row.cell)],
                    );
                    return Reply::Cancelled;
                }
                // The job has moved on meanwhile; look at it again.
                Err(ChangeError::Conflict { .. }) => {}
                Err(error) => {
                    self.ctx.set_away(true, &error.to_string());
                    pause(RETRY).await;
                }
            }
            if clock::now() >= until {
                return self.unsettled(id);
            }
        }
    }

    /// Counts the jobs of a queue that have not begun.
    pub async fn pending(&self, queue: &Queue, left: u64) -> Reply {
        let until = clock::now() + left * TRY_SHARE / 100;
        let cell = &queue.pool;
        loop {
            match self.ctx.ports.store.read(&keys::load(cell), 1).await {
                Ok(page) => {
                    self.ctx.set_away(false, "load was read");
                    self.ctx.saw(&page);
                    let place = keys::load(cell);
                    let row = page.rows.iter().find(|row| row.place == place);
                    let load: Option<rows::Load> =
                        row.and_then(|r| r.value.as_deref()).and_then(|v| rows::decode(v).ok());
                    let fresh = load.filter(|load| {
                        page.clock < load.clock + COUNT_AGE && page.clock < load.known + KNOWN_AGE
                    });
                    if let Some(load) = fresh {
                        let count = load.pending.get(&queue.name).copied().unwrap_or(0);
                        return Reply::Pending(count);
                    }
                    // The cell has no holder that counts.
                    if let Ok(count) = self.count(queue).await {
                        return Reply::Pending(count);
                    }
                }
                Err(error) => self.ctx.set_away(true, &error.to_string()),
            }
            if clock::now() >= until {
                return self.unavailable();
            }
            pause(RETRY).await;
        }
    }

    /// Counts the jobs of a queue in the table that have no progress.
    async fn count(&self, queue: &Queue) -> Result<u64, ReadError> {
        let counts = keys::parts(&queue.name).map(|part| self.count_part(&queue.pool, part));
        Ok(try_join_all(counts).await?.into_iter().sum())
    }

    async fn count_part(&self, cell: &str, part: String) -> Result<u64, ReadError> {
        let place = |table: &str| Place::new(table, &part, "");
        let (jobs, _) = read_all(&self.ctx, place(&keys::jobs(cell))).await?;
        let (begun, _) = read_all(&self.ctx, place(&keys::progress(cell))).await?;
        let begun: IndexSet<String> = begun.into_iter().map(|row| row.place.key).collect();
        let mut waiting: IndexSet<String> = jobs.into_iter().map(|row| row.place.key).collect();
        let cancelled: Vec<String> =
            waiting.iter().filter_map(|key| key.strip_suffix('!')).map(str::to_owned).collect();
        waiting.retain(|key| !key.ends_with('!') && !begun.contains(key));
        for id in cancelled {
            waiting.swap_remove(&id);
        }
        Ok(waiting.len() as u64)
    }

    /// Reads a job's state row, with its version; tries until `until`.
    async fn find(&self, part: &str, id: &str, until: u64) -> Result<Option<(u64, StateRow)>, ()> {
        let place = keys::state(part, id);
        loop {
            match self.ctx.ports.store.read(&place, 1).await {
                Ok(page) => {
                    self.ctx.set_away(false, "state was read");
                    self.ctx.saw(&page);
                    let Some(row) = page.rows.into_iter().find(|row| row.place == place) else {
                        return Ok(None);
                    };
                    let Some(value) = row.value else { return Ok(None) };
                    return match rows::decode::<StateRow>(&value) {
                        Ok(state) if state.is_refused() => Ok(None),
                        Ok(state) => Ok(Some((row.version, state))),
                        Err(error) => {
                            self.ctx.timeline.record(
                                base::Event::RowUnreadable,
                                &[("row", &id), ("error", &error)],
                            );
                            Err(())
                        }
                    };
                }
                Err(error) => {
                    self.ctx.set_away(true, &error.to_string());
                    if clock::now() + RETRY >= until {
                        return Err(());
                    }
                    pause(RETRY).await;
                }
            }
        }
    }
}
