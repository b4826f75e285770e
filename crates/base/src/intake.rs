//! Memory and connections that the clients of a server can hold together.
//!
//! Load pattern: hundreds of clients send bodies of legal size, whole or in tiny chunks, stop just
//! before the end and stay connected, while others send small requests. Bodies under way share a
//! budget of bytes. When it is used up, the one without progress for the longest time gives way to one
//! that makes progress. Small bodies have a part of their own, so that a crowd with large ones does not
//! keep them out. Further connections close those that have waited for their client for the longest
//! time.

use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use actix_web::http::header::{self, HeaderMap};
use actix_web::web::Bytes;
use futures_util::{Stream, StreamExt};
use indexmap::IndexMap;
use snafu::Snafu;
use tokio::sync::Notify;

/// Size up to which an announced body is small, in bytes; several usual requests.
const SMALL_BODY_BYTES: usize = 16 << 10;
/// Part of the budget that is kept for small bodies, in percent.
const SMALL_SHARE_PERCENT: usize = 25;
/// Memory of a body under way beside its content, in bytes: buffers of the connection.
const BODY_OVERHEAD_BYTES: usize = 32 << 10;
/// The same for a small body, whose connection holds little more than its content.
const SMALL_OVERHEAD_BYTES: usize = 2 << 10;
/// The same for a chunked body, in bytes: the server keeps up to a buffer of chunks, each with an entry
/// of its own, which is many times a chunk of one byte.
const CHUNKED_OVERHEAD_BYTES: usize = 1 << 20;
/// First capacity of the buffer of a body, in bytes; it doubles as the body arrives.
const FIRST_CAPACITY_BYTES: usize = 4 << 10;
/// Time without progress from which a body may have to give way; many times the gaps between the
/// packets of a body on a thin link.
const MIN_IDLE: Duration = Duration::from_millis(100);
/// Time without progress after which a body is given up.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time in which a body has to arrive; several times that of the largest on a link of 10 Mbit/s.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// Part of the connections from which a further one closes another, in percent.
const CROWDED_PERCENT: usize = 75;
/// Time in which a client can read a response before its connection is closed.
const LINGER: Duration = Duration::from_millis(500);

/// What the clients of a server can hold together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Memory of the bodies under way, in bytes.
    pub bytes: usize,
    /// Number of open connections.
    pub connections: usize,
}

/// Why a body was not read; its request has not run.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// The body is larger than the limit.
    #[snafu(display("the body is larger than {limit} bytes"))]
    TooLarge {
        /// Limit, in bytes.
        limit: usize,
    },
    /// Other bodies take all the memory, or take that of this one, which made no progress.
    #[snafu(display("too many bodies are under way"))]
    Crowded,
    /// The body did not arrive in time.
    #[snafu(display("the body did not arrive in time"))]
    Stalled,
    /// The connection ended or the encoding is invalid.
    #[snafu(display("the body can't be read: {detail}"))]
    Broken {
        /// Error of the server.
        detail: String,
    },
}

/// Bodies that share a part of the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Class {
    Small,
    Large,
}

/// A body under way, or one whose request is in progress.
#[derive(Debug)]
struct Entry {
    class: Class,
    held: usize,
    /// Time of its last progress; `None` once it has arrived.
    progressed_at: Option<Instant>,
    evicted: Arc<Notify>,
}

/// An open connection.
#[derive(Debug)]
struct Peer {
    /// Second handle of the socket.
    socket: Option<TcpStream>,
    /// Time since which it waits for its client; `None` while a request is in progress.
    waits_since: Option<Instant>,
}

impl Peer {
    fn close(&self) {
        // The socket may be closed already.
        let _ = self.socket.as_ref().map(|socket| socket.shutdown(Shutdown::Both));
    }
}

#[derive(Debug, Default)]
struct State {
    small: usize,
    large: usize,
    connections: IndexMap<u64, Peer>,
    entries: IndexMap<u64, Entry>,
    last_id: u64,
}

impl State {
    fn used(&mut self, class: Class) -> &mut usize {
        match class {
            Class::Small => &mut self.small,
            Class::Large => &mut self.large,
        }
    }

    fn release(&mut self, id: u64) {
        if let Some(entry) = self.entries.swap_remove(&id) {
            *self.used(entry.class) -= entry.held;
        }
    }

    /// Gives up the body of a class without progress for the longest time; returns whether there was
    /// one.
    fn evict(&mut self, class: Class, except: u64) -> bool {
        let candidates =
            self.entries.iter().filter(|(id, entry)| class == entry.class && **id != except);
        let idle = candidates.filter_map(|(id, entry)| Some((entry.progressed_at?, *id)));
        let Some((_, id)) = idle.min().filter(|(since, _)| since.elapsed() >= MIN_IDLE) else {
            return false;
        };
        self.entries[&id].evicted.notify_one();
        self.release(id);
        true
    }

    /// Closes the connection that has waited for its client for the longest time; returns whether
    /// there was one.
    fn close_idle(&mut self) -> bool {
        let idle = self.connections.iter().filter_map(|(id, peer)| Some((peer.waits_since?, *id)));
        let Some((_, id)) = idle.min().filter(|(since, _)| since.elapsed() >= MIN_IDLE) else {
            return false;
        };
        if let Some(peer) = self.connections.get_mut(&id) {
            peer.waits_since = None;
            peer.close();
        }
        true
    }
}

/// Length of a request's body by its head; `None` for a chunked one.
///
/// # Examples
///
/// ```
/// use actix_web::http::header::HeaderMap;
/// assert_eq!(base::intake::announced_length(&HeaderMap::new()), Some(0));
/// ```
pub fn announced_length(headers: &HeaderMap) -> Option<usize> {
    if headers.contains_key(header::TRANSFER_ENCODING) {
        return None;
    }
    let Some(length) = headers.get(header::CONTENT_LENGTH) else { return Some(0) };
    Some(length.to_str().ok().and_then(|text| text.trim().parse().ok()).unwrap_or(usize::MAX))
}

/// Budget that the connections and bodies of a server's clients share.
#[derive(Debug, Clone)]
pub struct Intake {
    limits: Limits,
    state: Arc<Mutex<State>>,
}

/// An open connection, counted until the value is dropped.
#[derive(Debug)]
pub struct Connection {
    intake: Intake,
    id: u64,
}

/// Share of a body in the budget, returned when the value is dropped.
#[derive(Debug)]
struct Share {
    intake: Intake,
    id: u64,
}

/// A body that has arrived; it counts until the value is dropped.
#[derive(Debug)]
pub struct Body {
    bytes: Bytes,
    _share: Share,
}

impl Body {
    /// Content of the body.
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }
}

impl Intake {
    /// Creates a budget of which nothing is used.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::intake::{Intake, Limits};
    /// let intake = Intake::new(Limits { bytes: 1 << 20, connections: 4 });
    /// let connections: Vec<_> = (0..3).map(|_| intake.connect(None)).collect();
    /// assert!(!intake.is_crowded());
    /// ```
    pub fn new(limits: Limits) -> Self {
        Self { limits, state: Arc::default() }
    }

    /// What the clients can hold together.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Counts a new connection, whose `socket` can be closed; beyond a part of the limit, it closes
    /// another one that waits for its client.
    ///
    /// # Panics
    ///
    /// Panics outside of a runtime if no such connection can be closed at once.
    pub fn connect(&self, socket: Option<TcpStream>) -> Connection {
        let mut state = self.lock();
        if self.is_beyond(state.connections.len() + 1) && !state.close_idle() {
            tokio::spawn(self.clone().make_room());
        }
        state.last_id += 1;
        let id = state.last_id;
        state.connections.insert(id, Peer { socket, waits_since: Some(Instant::now()) });
        Connection { intake: self.clone(), id }
    }

    /// Closes a connection as soon as one has waited for its client for long enough.
    async fn make_room(self) {
        loop {
            tokio::time::sleep(MIN_IDLE).await;
            if !self.is_crowded() || self.lock().close_idle() {
                return;
            }
        }
    }

    /// Whether connections should close after their next response, as few more can be opened.
    pub fn is_crowded(&self) -> bool {
        self.is_beyond(self.lock().connections.len())
    }

    /// Reads a body of at most `limit` bytes.
    ///
    /// `announced` is the length that its head states, if any. `connection` is the one that it comes
    /// from, if that is counted.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is too large, does not arrive in time or is broken, or if there is
    /// no memory for it.
    pub async fn read<E: std::fmt::Display>(
        &self,
        payload: impl Stream<Item = Result<Bytes, E>>,
        announced: Option<usize>,
        limit: usize,
        connection: Option<&Connection>,
    ) -> Result<Body, ReadError> {
        if announced.is_some_and(|length| length > limit) {
            return TooLargeSnafu { limit }.fail();
        }
        let is_small = announced.is_some_and(|length| length <= SMALL_BODY_BYTES);
        let (class, overhead) = match announced {
            _ if is_small => (Class::Small, SMALL_OVERHEAD_BYTES),
            Some(_) => (Class::Large, BODY_OVERHEAD_BYTES),
            None => (Class::Large, CHUNKED_OVERHEAD_BYTES),
        };
        let (share, evicted) = self.open(class);
        share.reserve(overhead)?;
        let read = async {
            let mut payload = std::pin::pin!(payload);
            let mut body = Vec::new();
            loop {
                let next = tokio::time::timeout(IDLE_TIMEOUT, payload.next());
                let Ok(next) = next.await else { return StalledSnafu.fail() };
                let chunk = match next {
                    None => return Ok(body),
                    Some(Ok(chunk)) => chunk,
                    Some(Err(error)) => {
                        return BrokenSnafu { detail: error.to_string() }.fail();
                    }
                };
                let length = body.len() + chunk.len();
                if length > limit {
                    return TooLargeSnafu { limit }.fail();
                }
                if length > body.capacity() {
                    let doubled = (body.capacity() * 2).max(FIRST_CAPACITY_BYTES);
                    let capacity = doubled.min(announced.unwrap_or(limit)).max(length);
                    share.reserve(capacity - body.capacity())?;
                    body.reserve_exact(capacity - body.len());
                }
                body.extend_from_slice(&chunk);
                share.record_progress();
                if let Some(connection) = connection {
                    connection.set_busy(false);
                }
            }
        };
        let body = tokio::select! {
            () = evicted.notified() => return CrowdedSnafu.fail(),
            read = tokio::time::timeout(BODY_TIMEOUT, read) => match read {
                Ok(body) => body?,
                Err(_) => return StalledSnafu.fail(),
            },
        };
        share.finish(body.len());
        Ok(Body { bytes: Bytes::from(body.into_boxed_slice()), _share: share })
    }

    fn open(&self, class: Class) -> (Share, Arc<Notify>) {
        let mut state = self.lock();
        state.last_id += 1;
        let (id, evicted) = (state.last_id, Arc::new(Notify::new()));
        let progressed_at = Some(Instant::now());
        let entry = Entry { class, held: 0, progressed_at, evicted: Arc::clone(&evicted) };
        state.entries.insert(id, entry);
        (Share { intake: self.clone(), id }, evicted)
    }

    fn budget(&self, class: Class) -> usize {
        let small = self.limits.bytes * SMALL_SHARE_PERCENT / 100;
        match class {
            Class::Small => small,
            Class::Large => self.limits.bytes - small,
        }
    }

    fn is_beyond(&self, connections: usize) -> bool {
        connections > self.limits.connections * CROWDED_PERCENT / 100
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Connection {
    /// Records whether a request is in progress; otherwise the connection waits for its client.
    pub fn set_busy(&self, is_busy: bool) {
        if let Some(peer) = self.intake.lock().connections.get_mut(&self.id) {
            peer.waits_since = (!is_busy).then(Instant::now);
        }
    }

    /// Closes the connection soon, whether or not the client has sent the rest of its request.
    pub fn close_soon(&self) {
        let (intake, id) = (self.intake.clone(), self.id);
        tokio::spawn(async move {
            tokio::time::sleep(LINGER).await;
            if let Some(peer) = intake.lock().connections.get(&id) {
                peer.close();
            }
        });
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.intake.lock().connections.swap_remove(&self.id);
    }
}

impl Share {
    /// Takes more of the budget, if necessary from bodies without progress.
    fn reserve(&self, bytes: usize) -> Result<(), ReadError> {
        let mut state = self.intake.lock();
        let Some(class) = state.entries.get(&self.id).map(|entry| entry.class) else {
            return CrowdedSnafu.fail();
        };
        let budget = self.intake.budget(class);
        while *state.used(class) + bytes > budget {
            if !state.evict(class, self.id) {
                return CrowdedSnafu.fail();
            }
        }
        *state.used(class) += bytes;
        if let Some(entry) = state.entries.get_mut(&self.id) {
            entry.held += bytes;
        }
        Ok(())
    }

    fn record_progress(&self) {
        if let Some(entry) = self.intake.lock().entries.get_mut(&self.id) {
            entry.progressed_at = Some(Instant::now());
        }
    }

    /// Keeps only the content of a body that has arrived, whose request can no longer be given up.
    fn finish(&self, length: usize) {
        let mut state = self.intake.lock();
        let Some(entry) = state.entries.get_mut(&self.id) else { return };
        entry.progressed_at = None;
        let (class, freed) = (entry.class, entry.held.saturating_sub(length));
        entry.held -= freed;
        *state.used(class) -= freed;
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.intake.lock().release(self.id);
    }
}
