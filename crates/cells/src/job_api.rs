//! Client-facing API for jobs: submit, query, cancel and count.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::try_join_all;
use indexmap::{IndexMap, IndexSet};
use jobs::admit::{self, Incoming, Request, Verdict};
use jobs::organisation::{Credential, Denial};
use jobs::row::JobRow;
use jobs::{Job, Organisation, Queue, State, Terms, memory};

use crate::clock;
use crate::context::{Context, pause};
use crate::follow::read_keys;
use crate::keys;
use crate::metrics::Metrics;
use crate::pauses;
use crate::ports::{Place, ReadError, Transaction, TransactionError};
use crate::rows::{self, StateRow};
use crate::submission::{StoreOutcome, Submission, SubmissionWriter};
use crate::withdrawal;

/// Time limit for storing a job before its client is asked to retry, in milliseconds; a quarter of
/// the shortest usual client deadline.
const STORE_TIMEOUT_MS: u64 = 700;
/// Retry delay sent to clients while the table is unavailable, in milliseconds; about the time that
/// it takes to detect that the table responds again.
const UNAVAILABLE_RETRY_MS: u64 = 1_000;
/// Pause between attempts of a read or a cancellation, in milliseconds.
const RETRY_PAUSE_MS: u64 = 60;
/// Share of a request's remaining time in which attempts are made, in percent. The rest is left for
/// the response to reach the client.
const RETRY_SHARE_PERCENT: u64 = 80;
/// Maximum number of entries in each of the caches: final job states, which can't change any more,
/// and first request times of jobs that are not accepted yet.
const CACHE_CAPACITY: usize = 20_000;
/// Maximum age of a published count of pending jobs that is returned to clients, in milliseconds;
/// above the longest interval between two publications.
const MAX_COUNT_AGE_MS: u64 = 1_600;
/// Maximum time since the holder has read new jobs for such a count, in milliseconds; twice the
/// time after which a holder's feed request returns when nothing changes.
const MAX_FEED_AGE_MS: u64 = 3_000;
/// Longest wait for the table to confirm the configuration before a key is checked, in milliseconds;
/// a process that was suspended hears of a newer version within this time.
const CONFIRMATION_WAIT_MS: u64 = 400;
/// Time between checks whether the configuration was confirmed, in milliseconds.
const CONFIRMATION_CHECK_MS: u64 = 20;
/// Maximum age of a cell's published load that admission uses, in milliseconds.
const MAX_LOAD_AGE_MS: u64 = 3_000;

/// Response to a client.
#[derive(Debug, Clone, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Reply {
    /// The job is stored.
    Accepted,
    /// Current state of the job.
    State(State),
    /// The job is cancelled, or had already ended.
    Cancelled,
    /// Number of the queue's jobs that have not started.
    Pending(u64),
    /// The queue does not exist.
    NoQueue,
    /// The queue needs a valid key.
    Denied(Denial),
    /// The job does not exist.
    NoJob,
    /// The request or the job is invalid, with the reason.
    Invalid(String),
    /// The request had no effect and will have none.
    Refused {
        /// Whether the reason is load rather than an unavailable component.
        overloaded: bool,
        /// Delay before the client should retry, in milliseconds.
        retry_after: u64,
    },
    /// The request may have taken effect.
    Unknown {
        /// Delay before the client should retry, in milliseconds.
        retry_after: u64,
    },
}

/// A request's permission to use a queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Access {
    /// The queue.
    pub queue: Queue,
    /// Version of the configuration that the queue is from.
    pub version: u64,
    /// Organisation on whose behalf the request is made; `None` if the queue needs no key.
    pub organisation: Option<String>,
}

/// Why a job is refused, and when a retry can be accepted.
struct Refusal {
    why: &'static str,
    /// Delay before the client should retry, in milliseconds.
    retry_after: u64,
}

/// Handles client requests for the lifetime of the process.
#[expect(missing_debug_implementations, reason = "holds trait objects")]
pub struct JobApi {
    ctx: Rc<Context>,
    writer: Rc<SubmissionWriter>,
    /// Final states, by the jobs' parts and ids.
    final_states: RefCell<IndexMap<(String, String), State>>,
    /// Times of the first requests for jobs that are not accepted yet, in milliseconds, by id.
    first_requests: RefCell<IndexMap<String, u64>>,
}

impl JobApi {
    pub(crate) fn new(ctx: Rc<Context>) -> Rc<Self> {
        let context = Rc::clone(&ctx);
        actix::spawn(async move {
            loop {
                context.pauses.observe(clock::now());
                pause(pauses::OBSERVATION_INTERVAL_MS).await;
            }
        });
        Rc::new(Self {
            ctx,
            writer: Rc::default(),
            final_states: RefCell::default(),
            first_requests: RefCell::default(),
        })
    }

    /// Records the outcome and duration of a request in the metrics.
    pub fn measure(&self, kind: &str, reply: &Reply, took: Duration) {
        Metrics::observe(&self.ctx.metrics.request_seconds, &[kind, reply.into()], took);
    }

    /// Maximum size of a request body, in bytes; `None` before a configuration is loaded.
    pub fn body_limit(&self) -> Option<usize> {
        self.ctx.config().map(|config| config.max_body_bytes)
    }

    /// Finds the queue that a request's host and path belong to, and the organisation that uses it.
    ///
    /// Where queues need keys and the table has not confirmed the configuration for longer than a
    /// withdrawn key may be in use, the check waits briefly for that: a process that was suspended would
    /// otherwise accept keys that were withdrawn meanwhile.
    pub async fn authorise(
        &self,
        host: &str,
        path: &str,
        credential: Credential,
    ) -> Result<Access, Reply> {
        let Some(config) = self.ctx.config() else { return Err(self.unavailable()) };
        let needs_key =
            config.organisations.is_some() && !config.find(host, path).is_some_and(|q| q.public);
        let confirmed = !needs_key || self.config_confirmed().await;
        let Some(config) = self.ctx.config() else { return Err(self.unavailable()) };
        let queue = config.find(host, path).ok_or(Reply::NoQueue)?;
        if !confirmed && self.ctx.settings.bounds.revoke_when_cut {
            return Err(self.unavailable());
        }
        match config.authorise(queue, credential) {
            Ok(organisation) => {
                let organisation = organisation.map(str::to_owned);
                Ok(Access { queue: queue.clone(), version: config.version, organisation })
            }
            Err(denial) => {
                self.log_denial(queue, credential, denial);
                Err(Reply::Denied(denial))
            }
        }
    }

    /// Whether the table has confirmed the configuration recently enough; waits briefly for that.
    async fn config_confirmed(&self) -> bool {
        let limit = self.ctx.settings.bounds.revocation;
        let is_recent = || self.ctx.config_age() <= limit;
        let deadline = clock::now() + CONFIRMATION_WAIT_MS;
        while limit > 0 && !is_recent() && clock::now() < deadline {
            pause(CONFIRMATION_CHECK_MS).await;
        }
        limit == 0 || is_recent()
    }

    /// Logs a denied request; the digest of its key, not the key.
    fn log_denial(&self, queue: &Queue, credential: Credential, denial: Denial) {
        let key = match credential {
            Credential::Key(digest) => digest.to_string(),
            Credential::Missing | Credential::Malformed => String::new(),
        };
        let version = self.ctx.config().map_or(0, |config| config.version);
        self.ctx.timeline.record(
            base::Event::AccessDenied,
            &[
                ("queue", &queue.name),
                ("why", &denial),
                ("key", &key),
                ("version", &version),
                ("config_age_ms", &self.ctx.config_age()),
            ],
        );
    }

    /// Builds the response to a request while the table or the configuration is unavailable.
    fn unavailable(&self) -> Reply {
        Reply::Refused { overloaded: false, retry_after: UNAVAILABLE_RETRY_MS }
    }

    /// Submits a job; `remaining` is the remaining time of the request, in milliseconds.
    pub async fn submit(&self, access: &Access, id: &str, job: &Job, remaining: u64) -> Reply {
        let queue = &access.queue;
        if let Err(error) = job.validate() {
            return Reply::Invalid(error.to_string());
        }
        let cell = &queue.pool;
        let part = keys::part(&queue.name, id);
        let waited = self.time_since_first_request(id);
        let now = self.ctx.table_now();
        let refusal = self.refusal(access, id, job, waited);
        let config = self.ctx.config();
        let organisations = config.as_ref().and_then(|config| config.organisations.as_ref());
        let organisation = access.organisation.as_ref().map(|name| {
            let known = organisations.and_then(|all| all.get(name)).cloned();
            known.unwrap_or_else(|| Organisation { name: name.clone(), ..Organisation::default() })
        });
        let terms = Terms::of(queue, access.version);
        let row = JobRow::new(&queue.name, terms, now, job).on_behalf_of(organisation.as_ref());
        let (bytes, limit) = (rows::encode(&row).len(), self.ctx.settings.max_row_bytes);
        if bytes > limit {
            return Reply::Invalid(format!("the job takes {bytes} bytes; {limit} can be stored"));
        }
        let submission = Submission {
            id: id.to_owned(),
            cell: cell.clone(),
            job: refusal.is_none().then_some(row),
            requested_at: now.saturating_sub(waited),
            arrived_at: now.saturating_sub(self.ctx.pauses.age_of_arrivals(clock::now())),
            deadline: clock::now() + STORE_TIMEOUT_MS.min(remaining * RETRY_SHARE_PERCENT / 100),
        };
        let stored = self.writer.store(&self.ctx, &part, submission).await;
        match (stored, refusal) {
            // A job that an earlier request has stored stays accepted.
            (StoreOutcome::Stored, Some(_)) => Reply::Accepted,
            (StoreOutcome::Stored, None) => {
                self.first_requests.borrow_mut().swap_remove(id);
                self.ctx.timeline.record(
                    base::Event::JobAccepted,
                    &[
                        ("job", &id),
                        ("queue", &queue.name),
                        ("cell", cell),
                        ("organisation", &access.organisation.as_deref().unwrap_or_default()),
                        ("waited_ms", &waited),
                    ],
                );
                Reply::Accepted
            }
            (StoreOutcome::Refused, Some(refusal)) => {
                self.log_refusal(id, access, job, &refusal, waited);
                Reply::Refused { overloaded: true, retry_after: refusal.retry_after }
            }
            (StoreOutcome::Rejected, _) => {
                Reply::Invalid("the table does not accept the job as it is".to_owned())
            }
            // Another process has refused the job since this request arrived.
            (StoreOutcome::Refused, None) => {
                let refusal = Refusal { why: "earlier", retry_after: UNAVAILABLE_RETRY_MS };
                self.log_refusal(id, access, job, &refusal, waited);
                Reply::Refused { overloaded: true, retry_after: refusal.retry_after }
            }
            (StoreOutcome::Unknown, _) => self.outcome_unknown(id),
        }
    }

    /// Time since the first request for a job at this process, in milliseconds; records a first
    /// request.
    fn time_since_first_request(&self, id: &str) -> u64 {
        let now = clock::now();
        let mut first_requests = self.first_requests.borrow_mut();
        if let Some(first) = first_requests.get(id) {
            return now.saturating_sub(*first);
        }
        if first_requests.len() >= CACHE_CAPACITY {
            first_requests.drain(..CACHE_CAPACITY / 2);
        }
        first_requests.insert(id.to_owned(), now);
        0
    }

    /// Builds the response to a write whose outcome is unknown.
    ///
    /// An earlier attempt for the same job, at any process, may still be applied to the table, so
    /// "not accepted" could be false.
    fn outcome_unknown(&self, id: &str) -> Reply {
        let age = self.ctx.table_clock_age();
        self.ctx
            .timeline
            .record(base::Event::WriteUnsettled, &[("job", &id), ("table_age_ms", &age)]);
        Reply::Unknown { retry_after: UNAVAILABLE_RETRY_MS }
    }

    /// Logs a refusal with the load that caused it and the age of that load.
    fn log_refusal(&self, id: &str, access: &Access, job: &Job, refusal: &Refusal, waited: u64) {
        let (queue, cell) = (&access.queue, access.queue.pool.as_str());
        let load = self.ctx.loads.borrow().get(cell).cloned().unwrap_or_default();
        let age = self.ctx.table_now().saturating_sub(load.published_at);
        self.ctx.timeline.record(
            base::Event::JobRefused,
            &[
                ("job", &id),
                ("why", &refusal.why),
                ("queue", &queue.name),
                ("cell", &cell),
                ("organisation", &access.organisation.as_deref().unwrap_or_default()),
                ("after_ms", &refusal.retry_after),
                ("waited_ms", &waited),
                ("core_ms", &(job.work() / 1_000)),
                ("chain_ms", &job.critical_path()),
                ("ahead", &load.timely_backlog),
                ("backlog", &load.backlog),
                ("room", &load.capacity),
                ("coming", &load.incoming),
                ("jobs", &load.jobs),
                ("load_age_ms", &age),
                (
                    "beyond_share",
                    &access.organisation.as_ref().is_some_and(|o| load.beyond_share.contains(o)),
                ),
            ],
        );
    }

    /// Returns the reason and a retry delay in milliseconds if the job can't be completed in time, or
    /// not at all.
    fn refusal(&self, access: &Access, id: &str, job: &Job, waited: u64) -> Option<Refusal> {
        if self.exceeds_limit(access, job) {
            let retry_after = admit::unservable_retry(id);
            return Some(Refusal { why: "limit", retry_after });
        }
        let queue = &access.queue;
        let loads = self.ctx.loads.borrow();
        let load = loads.get(&queue.pool)?;
        let now = self.ctx.table_now();
        if now > load.published_at + MAX_LOAD_AGE_MS {
            return None;
        }
        if load.room.is_some_and(|room| !room.fits(memory::job_bytes(job))) {
            return Some(Refusal { why: "memory", retry_after: memory::RETRY_MS });
        }
        if job.is_long_running() {
            return None;
        }
        let critical_path = job.critical_path();
        let objective = critical_path * queue.stretch / 1_000 + queue.objective_base;
        let incoming_delay = load.incoming_by.saturating_sub(now);
        let by_outlook = load.outlook.as_ref().map_or(Verdict::Accept, |outlook| {
            let organisation = access.organisation.as_deref();
            let request = Request {
                id,
                job,
                priority: queue.priority,
                beyond_share: organisation.is_some_and(|o| load.beyond_share.contains(o)),
                objective,
                waited,
            };
            let incoming = Incoming { cpu: load.incoming, delay: incoming_delay };
            let jobs = usize::try_from(load.jobs).unwrap_or(usize::MAX);
            let age = now.saturating_sub(load.published_at);
            admit::decide_by_outlook(outlook, jobs, &request, incoming, age)
        });
        // The outlook leaves out late work, which may still fill the pool with long tasks.
        let verdict = if by_outlook == Verdict::Accept {
            let load = admit::Load {
                jobs: usize::try_from(load.jobs).unwrap_or(usize::MAX),
                timely_backlog: load.timely_backlog,
                backlog: load.backlog,
                capacity: load.capacity,
                incoming_capacity: load.incoming,
                incoming_delay,
            };
            admit::decide(&load, objective, critical_path, waited)
        } else {
            by_outlook
        };
        let is_too_large = load.outlook.as_ref().is_some_and(|outlook| !outlook.can_run(job));
        match verdict {
            Verdict::Accept => None,
            Verdict::Refuse(retry_after) => {
                Some(Refusal { why: if is_too_large { "size" } else { "load" }, retry_after })
            }
        }
    }

    /// Whether a task of the job needs more than its organisation may use at all.
    fn exceeds_limit(&self, access: &Access, job: &Job) -> bool {
        let config = self.ctx.config();
        let organisations = config.as_ref().and_then(|config| config.organisations.as_ref());
        let organisation = access.organisation.as_ref().and_then(|name| organisations?.get(name));
        organisation.is_some_and(|organisation| !organisation.allows_tasks_of(job))
    }

    /// Returns a job's state.
    pub async fn state(&self, queue: &Queue, id: &str, remaining: u64) -> Reply {
        let part = keys::part(&queue.name, id);
        let key = (part.clone(), id.to_owned());
        if let Some(state) = self.final_states.borrow().get(&key) {
            return Reply::State(*state);
        }
        match self.read_state(&part, id, clock::now() + remaining * RETRY_SHARE_PERCENT / 100).await
        {
            Ok(None) => Reply::NoJob,
            Ok(Some((_, row))) => match row.state() {
                Some(state) => {
                    if state.is_final() {
                        self.cache_state(key, state);
                    }
                    Reply::State(state)
                }
                None => self.state_unreadable(id),
            },
            Err(()) => self.state_unreadable(id),
        }
    }

    /// Builds the response to a query when the job's state could not be read.
    fn state_unreadable(&self, id: &str) -> Reply {
        let age = self.ctx.table_clock_age();
        self.ctx.timeline.record(base::Event::StateUnread, &[("job", &id), ("table_age_ms", &age)]);
        self.unavailable()
    }

    /// Caches a final state; the cache is bounded by [`CACHE_CAPACITY`].
    fn cache_state(&self, key: (String, String), state: State) {
        let mut final_states = self.final_states.borrow_mut();
        if final_states.len() >= CACHE_CAPACITY {
            final_states.swap_remove_index(0);
        }
        final_states.insert(key, state);
    }

    /// Cancels a job.
    pub async fn cancel(&self, queue: &Queue, id: &str, remaining: u64) -> Reply {
        let part = keys::part(&queue.name, id);
        let deadline = clock::now() + remaining * RETRY_SHARE_PERCENT / 100;
        loop {
            let found = match self.read_state_row(&part, id, deadline).await {
                Ok(found) => found,
                Err(()) => return self.outcome_unknown(id),
            };
            let (version, row) = match found {
                Some((_, row)) if row.is_withdrawn() => return Reply::NoJob,
                Some((version, row)) if !row.is_refused() => (version, row),
                absent => {
                    let version = absent.map_or(0, |(version, _)| version);
                    if self.withdraw(queue, &part, id, version).await {
                        return Reply::NoJob;
                    }
                    if clock::now() >= deadline {
                        return self.outcome_unknown(id);
                    }
                    continue;
                }
            };
            if row.state().is_some_and(State::is_final) {
                return Reply::Cancelled;
            }
            let place = keys::state(&part, id);
            let mut cancel_marker = keys::state(&part, &keys::cancel_key(id));
            cancel_marker.table = keys::jobs_table(&row.cell);
            let cancelled = StateRow::new(&row.cell, State::Cancelled);
            let transaction = Transaction {
                expect: vec![(place.clone(), version)],
                writes: vec![(place, rows::encode(&cancelled)), (cancel_marker, b"1".to_vec())],
                removes: Vec::new(),
            };
            match self.ctx.ports.store.apply(&transaction).await {
                Ok(_) => {
                    self.ctx.timeline.record(
                        base::Event::CancelTaken,
                        &[("job", &id), ("queue", &queue.name), ("cell", &row.cell)],
                    );
                    return Reply::Cancelled;
                }
                // The job's state has changed since it was read: read it again.
                Err(TransactionError::Conflict { .. }) => {}
                Err(error) => {
                    self.ctx.record_table_call(true, &error.to_string());
                    pause(RETRY_PAUSE_MS).await;
                }
            }
            if clock::now() >= deadline {
                return self.outcome_unknown(id);
            }
        }
    }

    /// Keeps a job that is not stored from being stored later; false if that has to be tried again.
    async fn withdraw(&self, queue: &Queue, part: &str, id: &str, version: u64) -> bool {
        let now = self.ctx.table_now();
        let transaction = withdrawal::transaction(part, id, &queue.pool, version, now);
        match self.ctx.ports.store.apply(&transaction).await {
            Ok(_) => {
                self.ctx.timeline.record(
                    base::Event::JobWithdrawn,
                    &[("job", &id), ("queue", &queue.name), ("refused", &(version > 0))],
                );
                true
            }
            // The job has been stored since its state was read.
            Err(TransactionError::Conflict { .. }) => false,
            Err(error) => {
                self.ctx.record_table_call(true, &error.to_string());
                pause(RETRY_PAUSE_MS).await;
                false
            }
        }
    }

    /// Returns the number of a queue's jobs that have not started.
    pub async fn pending(&self, queue: &Queue, remaining: u64) -> Reply {
        let deadline = clock::now() + remaining * RETRY_SHARE_PERCENT / 100;
        let cell = &queue.pool;
        loop {
            match self.ctx.ports.store.read(&keys::load(cell), 1).await {
                Ok(page) => {
                    self.ctx.record_table_call(false, "read of a cell's load succeeded");
                    self.ctx.record_page_clock(&page);
                    let place = keys::load(cell);
                    let row = page.rows.iter().find(|row| row.place == place);
                    let load: Option<rows::Load> =
                        row.and_then(|r| r.value.as_deref()).and_then(|v| rows::decode(v).ok());
                    let fresh = load.filter(|load| {
                        page.clock < load.published_at + MAX_COUNT_AGE_MS
                            && page.clock < load.jobs_read_until + MAX_FEED_AGE_MS
                    });
                    if let Some(load) = fresh {
                        let count = load.pending.get(&queue.name).copied().unwrap_or(0);
                        return Reply::Pending(count);
                    }
                    // No holder publishes a recent count: count the rows of the table.
                    if let Ok(count) = self.count_pending(queue).await {
                        return Reply::Pending(count);
                    }
                }
                Err(error) => self.ctx.record_table_call(true, &error.to_string()),
            }
            if clock::now() >= deadline {
                return self.unavailable();
            }
            pause(RETRY_PAUSE_MS).await;
        }
    }

    /// Counts the jobs of a queue in the table that have no progress row and no cancel marker.
    async fn count_pending(&self, queue: &Queue) -> Result<u64, ReadError> {
        let counts =
            keys::parts(&queue.name).map(|part| self.count_pending_in_part(&queue.pool, part));
        Ok(try_join_all(counts).await?.into_iter().sum())
    }

    /// Counts the pending jobs in one part of the table.
    async fn count_pending_in_part(&self, cell: &str, part: String) -> Result<u64, ReadError> {
        let place = |table: &str| Place::new(table, &part, "");
        let jobs = read_keys(&self.ctx, place(&keys::jobs_table(cell))).await?;
        let started = read_keys(&self.ctx, place(&keys::progress_table(cell))).await?;
        let started: IndexSet<String> = started.into_iter().collect();
        let mut waiting: IndexSet<String> = jobs.into_iter().collect();
        let cancelled: Vec<String> =
            waiting.iter().filter_map(|key| key.strip_suffix('!')).map(str::to_owned).collect();
        waiting.retain(|key| !key.ends_with('!') && !started.contains(key));
        for id in cancelled {
            waiting.swap_remove(&id);
        }
        Ok(waiting.len() as u64)
    }

    /// Reads the state row of a job that is stored, with its version, retrying until `deadline`.
    async fn read_state(
        &self,
        part: &str,
        id: &str,
        deadline: u64,
    ) -> Result<Option<(u64, StateRow)>, ()> {
        let found = self.read_state_row(part, id, deadline).await?;
        Ok(found.filter(|(_, row)| !row.is_refused() && !row.is_withdrawn()))
    }

    /// Reads a job's state row or tombstone with its version, retrying until `deadline`.
    async fn read_state_row(
        &self,
        part: &str,
        id: &str,
        deadline: u64,
    ) -> Result<Option<(u64, StateRow)>, ()> {
        let place = keys::state(part, id);
        loop {
            match self.ctx.ports.store.read(&place, 1).await {
                Ok(page) => {
                    self.ctx.record_table_call(false, "read of a job's state succeeded");
                    self.ctx.record_page_clock(&page);
                    let Some(row) = page.rows.into_iter().find(|row| row.place == place) else {
                        return Ok(None);
                    };
                    let Some(value) = row.value else { return Ok(None) };
                    return match rows::decode::<StateRow>(&value) {
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
                    self.ctx.record_table_call(true, &error.to_string());
                    if clock::now() + RETRY_PAUSE_MS >= deadline {
                        return Err(());
                    }
                    pause(RETRY_PAUSE_MS).await;
                }
            }
        }
    }
}
