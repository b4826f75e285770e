//! Stand-ins of the platform's store, of its interface for machines, and of the executors.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::base::{Answer, Json, Request, Server, n, obj, s, unbase64};

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Log of what was sent, answered and run, with the time since the start of the script.
#[derive(Clone)]
pub struct Record {
    pub start: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { start: Instant::now(), lines: Arc::default() }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}", self.now());
        lock(&self.lines).push(line);
    }

    /// Records a line and prints it.
    pub fn say(&self, text: &str) {
        println!("{:8.3} {text}", self.now());
        self.line(text);
    }

    pub fn text(&self) -> String {
        lock(&self.lines).join("\n") + "\n"
    }
}

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    /// Version and content, in base64, of each row.
    rows: BTreeMap<Key, (u64, String)>,
    changes: Vec<(u64, Key, Option<String>)>,
    version: u64,
}

/// The platform's store, with the latencies and limits of the site's sheet.
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    start: Instant,
    pub address: Mutex<String>,
    record: Record,
    /// Largest content of a row.
    pub max_row_bytes: usize,
}

/// Duration of a read and of a transaction, as on the sheet.
const READ: Duration = Duration::from_millis(4);
const TRANSACTION: Duration = Duration::from_millis(8);

impl Store {
    pub fn spawn(ip: &str, record: &Record) -> Arc<Self> {
        let store = Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            start: Instant::now(),
            address: Mutex::default(),
            record: record.clone(),
            max_row_bytes: 65_536,
        });
        let server = Arc::clone(&store);
        let server =
            Server::spawn(ip, usize::MAX, Arc::new(move |request| Some(server.handle(request))));
        lock(&store.address).clone_from(&server.address);
        store
    }

    pub fn address(&self) -> String {
        lock(&self.address).clone()
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64 + 1
    }

    /// Writes or removes a row, as the operator and the executors do.
    pub fn put(&self, table: &str, key: &str, value: Option<&Json>) {
        let mut rows = lock(&self.rows);
        rows.version += 1;
        let (version, key) = (rows.version, (table.to_owned(), String::new(), key.to_owned()));
        let text = value.map(|v| crate::base::base64(v.to_text().as_bytes()));
        match &text {
            Some(text) => rows.rows.insert(key.clone(), (version, text.clone())),
            None => rows.rows.remove(&key),
        };
        rows.changes.push((version, key, text));
        self.changed.notify_all();
    }

    /// Content of a row.
    pub fn get(&self, table: &str, part: &str, key: &str) -> Json {
        let key = (table.to_owned(), part.to_owned(), key.to_owned());
        let found = lock(&self.rows).rows.get(&key).map(|(_, text)| unbase64(text));
        let text = found.and_then(|bytes| String::from_utf8(bytes).ok());
        text.and_then(|text| Json::parse(&text)).unwrap_or(Json::Null)
    }

    fn handle(&self, request: &Request) -> Answer {
        match request.path.as_str() {
            "/api/rows-tx" => {
                thread::sleep(TRANSACTION);
                self.transact(&request.json())
            }
            "/api/rows-get" => {
                thread::sleep(READ);
                self.read(request)
            }
            "/api/rows-parts" => {
                thread::sleep(READ);
                let rows = lock(&self.rows);
                let (table, after) = (request.param("table"), request.param("after"));
                let mut parts: Vec<String> = Vec::new();
                for key in rows.rows.keys().filter(|k| k.0 == table && k.1.as_str() > after) {
                    if parts.last() != Some(&key.1) && parts.len() < 1_000 {
                        parts.push(key.1.clone());
                    }
                }
                (200, obj(&[("parts", Json::Arr(parts.iter().map(|p| s(p)).collect()))]))
            }
            "/api/rows-feed" => self.feed(request),
            _ => (404, Json::Null),
        }
    }

    fn row(key: &Key, version: u64, text: Option<&str>) -> Json {
        let mut fields = vec![
            ("table", s(&key.0)),
            ("part", s(&key.1)),
            ("key", s(&key.2)),
            ("schemaVersion", n(version)),
        ];
        match text {
            Some(text) => fields.push(("value", s(text))),
            None => fields.push(("deleted", Json::Bool(true))),
        }
        obj(&fields)
    }

    fn key(entry: &Json) -> Key {
        let field = |name| entry.get(name).text().to_owned();
        (field("table"), field("part"), field("key"))
    }

    fn transact(&self, body: &Json) -> Answer {
        let (expect, writes, removes) =
            (body.get("expect").list(), body.get("writes").list(), body.get("remove").list());
        let refuse = |why: &str, entry: &Json| {
            let key = Self::key(entry);
            self.record.line(&format!("store refuses (400) {why}: {}/{}/{}", key.0, key.1, key.2));
            (400, obj(&[("error", s(why))]))
        };
        let all: Vec<&Json> = expect.iter().chain(writes).chain(removes).collect();
        if let Some(entry) = all.get(100) {
            return refuse("more than 100 entries", entry);
        }
        if let Some(entry) = all.iter().find(|e| Self::key(e).1 != Self::key(all[0]).1) {
            return refuse("two parts", entry);
        }
        if let Some(entry) =
            writes.iter().find(|w| unbase64(w.get("value").text()).len() > self.max_row_bytes)
        {
            let size = unbase64(entry.get("value").text()).len();
            return refuse(&format!("a row of {size} bytes"), entry);
        }
        if let Some(entry) =
            writes.iter().find(|w| ["op", "servers"].contains(&w.get("table").text()))
        {
            let _ = refuse("operator's table", entry);
            return (403, Json::Null);
        }
        let mut rows = lock(&self.rows);
        let current = |rows: &Rows, key: &Key| rows.rows.get(key).map_or(0, |(v, _)| *v);
        let holds =
            expect.iter().all(|e| current(&rows, &Self::key(e)) == e.get("schemaVersion").number());
        if !holds {
            let found = expect.iter().filter_map(|e| {
                let key = Self::key(e);
                let (version, text) = rows.rows.get(&key)?;
                Some(Self::row(&key, *version, Some(text)))
            });
            let found = Json::Arr(found.collect());
            let fields =
                [("rows", found), ("schemaVersion", n(rows.version)), ("nowMs", n(self.now()))];
            return (412, obj(&fields));
        }
        rows.version += 1;
        let version = rows.version;
        for write in writes {
            let (key, text) = (Self::key(write), write.get("value").text().to_owned());
            rows.rows.insert(key.clone(), (version, text.clone()));
            rows.changes.push((version, key, Some(text)));
        }
        for remove in removes {
            let key = Self::key(remove);
            if rows.rows.remove(&key).is_some() {
                rows.changes.push((version, key, None));
            }
        }
        self.changed.notify_all();
        (200, obj(&[("schemaVersion", n(version)), ("nowMs", n(self.now()))]))
    }

    fn read(&self, request: &Request) -> Answer {
        let limit = request.param("limit").parse().unwrap_or(500).clamp(1, 500);
        let (table, part) = (request.param("table").to_owned(), request.param("part").to_owned());
        let (from, target) = (request.param("from").to_owned(), request.param("target").to_owned());
        let rows = lock(&self.rows);
        let (mut found, mut more, mut size) = (Vec::new(), false, 0);
        for (key, (version, text)) in rows.rows.range((table.clone(), part.clone(), from)..) {
            if key.0 != table || key.1 != part || (!target.is_empty() && key.2 >= target) {
                break;
            }
            if found.len() == limit || size > 1_000_000 {
                more = true;
                break;
            }
            size += text.len();
            found.push(Self::row(key, *version, Some(text)));
        }
        let fields = [
            ("rows", Json::Arr(found)),
            ("hasMore", Json::Bool(more)),
            ("schemaVersion", n(rows.version)),
            ("nowMs", n(self.now())),
        ];
        (200, obj(&fields))
    }

    fn feed(&self, request: &Request) -> Answer {
        let number = |name: &str| request.param(name).parse::<u64>().unwrap_or(0);
        let (table, after) = (request.param("table"), number("after"));
        let deadline = Instant::now() + Duration::from_millis(number("waitMs").min(30_000));
        let mut rows = lock(&self.rows);
        loop {
            let first = rows.changes.partition_point(|(version, ..)| *version <= after);
            let changed: Vec<Json> = rows.changes[first..]
                .iter()
                .filter(|(_, key, _)| key.0 == table)
                .map(|(version, key, text)| Self::row(key, *version, text.as_deref()))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let fields = [
                    ("rows", Json::Arr(changed)),
                    ("schemaVersion", n(rows.version)),
                    ("nowMs", n(self.now())),
                ];
                drop(rows);
                thread::sleep(READ);
                return (200, obj(&fields));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

/// A run in progress; times are on the executor's clock.
struct Run {
    number: u64,
    start: u64,
    finish: u64,
    fails: bool,
    /// Whether it lasts until it is stopped.
    lasts: bool,
    cpu: u64,
    /// Place in the history.
    place: usize,
}

/// What is known of a run for the checks.
#[derive(Clone, Debug)]
pub struct RunRecord {
    pub executor: String,
    pub task: String,
    pub run: u64,
    pub spec: String,
    pub started: f64,
    pub ended: Option<(f64, &'static str)>,
}

/// All runs of all executors, for the checks.
#[derive(Default)]
pub struct History {
    pub runs: Vec<RunRecord>,
    /// Number of runs that have ended `failed`, by task.
    pub failures: BTreeMap<String, u64>,
}

#[derive(Default)]
struct Runs {
    running: BTreeMap<String, Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    barred: BTreeMap<String, u64>,
    token: u64,
    lease_end: u64,
    dead: bool,
    /// Number of the life, which ends with a crash.
    life: u64,
}

/// An executor of a machine. `taskSpec` holds the duration of each run in milliseconds, the number
/// of first runs of each task that fail by the task's own fault, and the processor use, as in
/// `ms=300 fail=1 cpu=500`, or `ms=9000,300` for two steps. `lasts=1` stands for tasks that last.
pub struct Executor {
    pub id: String,
    pub machine: String,
    pub rack: String,
    pub service: String,
    server: Server,
    runs: Mutex<Runs>,
    /// Start of this life.
    start: Mutex<Instant>,
    /// Start in milliseconds since 1970, for executors that tell it; 0 for others.
    born: AtomicU64,
    /// Whether the executor is down.
    down: AtomicBool,
    /// Share of the orders, in thousandths, that get no answer and are carried out late.
    late: AtomicU64,
    /// Whether the executor fails all that it starts.
    pub grey: AtomicBool,
    history: Arc<Mutex<History>>,
    record: Record,
    /// Whether single runs are written to the record.
    verbose: bool,
    /// Whether starts need tickets.
    tickets: bool,
}

/// Time until a task that lasts is at work.
const STARTUP_MS: u64 = 300;
/// Connections of an executor, as on the sheet.
const MAX_CONNECTIONS: usize = 64;
pub const EXECUTOR_CPU: u64 = 16_000;
const EXECUTOR_MEMORY: u64 = 32_768;
const LONGEST_LEASE: u64 = 10_000;
/// One way within a data centre, as in the site file.
const HOP: Duration = Duration::from_micros(100);

/// Figure of a `taskSpec` for a task; one figure for each step, or one for all.
fn spec_number(spec: &str, name: &str, task: &str) -> u64 {
    let step = task.split('.').nth(2).and_then(|text| text.parse().ok()).unwrap_or(0);
    let found = spec.split(' ').find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
    let mut figures = found.unwrap_or("0").split(',');
    let figure = figures.clone().nth(step).or(figures.next_back());
    figure.and_then(|text| text.parse().ok()).unwrap_or(0)
}

impl Executor {
    #[expect(clippy::too_many_arguments, reason = "built in one place")]
    fn spawn(
        ip: &str,
        machine: &str,
        id: &str,
        service: &str,
        rack: &str,
        record: &Record,
        history: &Arc<Mutex<History>>,
        options: Options,
    ) -> Arc<Self> {
        let slot: Arc<Mutex<Option<Arc<Executor>>>> = Arc::default();
        let own = Arc::clone(&slot);
        let server = Server::spawn(
            ip,
            MAX_CONNECTIONS,
            Arc::new(move |request| {
                let executor = lock(&own).clone()?;
                executor.receive(request)
            }),
        );
        let executor = Arc::new(Self {
            id: id.to_owned(),
            machine: machine.to_owned(),
            rack: rack.to_owned(),
            service: service.to_owned(),
            server,
            runs: Mutex::default(),
            start: Mutex::new(Instant::now()),
            born: AtomicU64::new(if options.born { unix_ms() } else { 0 }),
            down: AtomicBool::new(false),
            late: AtomicU64::new(0),
            grey: AtomicBool::new(false),
            history: Arc::clone(history),
            record: record.clone(),
            verbose: options.verbose,
            tickets: options.tickets,
        });
        *lock(&slot) = Some(Arc::clone(&executor));
        executor
    }

    /// Receives an order: carries it out at once, or late and without an answer.
    fn receive(self: &Arc<Self>, request: &Request) -> Option<Answer> {
        thread::sleep(HOP);
        let late = self.late.load(Ordering::Relaxed);
        if late > 0 && random(1_000) < late {
            let delay = 2_000 + random(10_000);
            let path = &request.path[5..];
            let task = request.json().get("task").text().to_owned();
            self.record.line(&format!(
                "{} leaves {path} {task} unanswered, carries it out in {delay} ms",
                self.id
            ));
            let (executor, request) = (Arc::clone(self), request.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(delay));
                executor.handle(&Request { path: format!("{}?late", request.path), ..request });
            });
            thread::sleep(Duration::from_secs(13));
            return None;
        }
        let answer = self.handle(request);
        thread::sleep(HOP);
        answer
    }

    /// Lets orders be left unanswered and be carried out late, a share in thousandths.
    pub fn set_late(&self, share: u64) {
        self.late.store(share, Ordering::Relaxed);
    }

    /// Ends the process of the executor; its machine stays.
    pub fn crash(&self) {
        self.down.store(true, Ordering::SeqCst);
        self.server.go_down();
        let mut runs = lock(&self.runs);
        self.settle(&mut runs);
        let now = self.clock();
        let tasks: Vec<String> = runs.running.keys().cloned().collect();
        for task in tasks {
            self.finish(&mut runs, &task, now, "crashed");
        }
        runs.life += 1;
        self.record.line(&format!("{} crashes", self.id));
    }

    /// Starts the executor again under its id: it holds and knows nothing of before.
    pub fn come_back(&self) {
        let mut runs = lock(&self.runs);
        let life = runs.life + 1;
        *runs = Runs { life, ..Runs::default() };
        *lock(&self.start) = Instant::now();
        self.born.store(unix_ms(), Ordering::SeqCst);
        self.down.store(false, Ordering::SeqCst);
        self.server.come_up();
        self.record.line(&format!("{} is up again", self.id));
    }

    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }

    /// Adds the start to what the executor says of itself, if it tells it.
    fn with_born(&self, mut fields: Vec<(&str, Json)>) -> Json {
        let born = self.born.load(Ordering::SeqCst);
        if born > 0 {
            fields.push(("born", n(born)));
        }
        obj(&fields)
    }

    fn clock(&self) -> u64 {
        lock(&self.start).elapsed().as_millis() as u64 + 1
    }

    pub fn registration(&self, sequence: u64) -> Json {
        self.with_born(vec![
            ("service", s(&self.service)),
            ("address", s(&self.server.address)),
            ("zone", s("salle-est")),
            ("version", s("v1")),
            ("slots", n(8)),
            ("state", s("ready")),
            ("coldRemainingMs", n(0)),
            ("capacity", capacity()),
            ("labels", Json::Arr(vec![s("a"), s(&self.rack)])),
            ("clockMs", n(self.clock())),
            ("sequence", n(sequence)),
        ])
    }

    fn finish(&self, runs: &mut Runs, task: &str, at: u64, how: &'static str) {
        let Some(run) = runs.running.remove(task) else { return };
        let barred = runs.barred.entry(task.to_owned()).or_default();
        *barred = run.number.max(*barred);
        runs.last_end += 1;
        runs.ended.push((runs.last_end, task.to_owned(), run.number, how));
        let offset = (*lock(&self.start) - self.record.start).as_secs_f64();
        let time = offset + at as f64 / 1_000.0;
        let mut history = lock(&self.history);
        history.runs[run.place].ended = Some((time, how));
        if how == "failed" {
            *history.failures.entry(task.to_owned()).or_default() += 1;
        }
        drop(history);
        if self.verbose {
            self.record.line(&format!("{} run {task} {} ends {how}", self.id, run.number));
        }
    }

    /// Ends the runs that have finished or whose lease has expired.
    fn settle(&self, runs: &mut Runs) {
        let now = self.clock();
        let lease_end = runs.lease_end;
        let mut due: Vec<(u64, String, &'static str)> = Vec::new();
        for (task, run) in &runs.running {
            let at = run.finish.min(lease_end);
            if at <= now {
                let how = match () {
                    () if run.finish > lease_end => "lapsed",
                    () if run.fails => "failed",
                    () => "done",
                };
                due.push((at, task.clone(), how));
            }
        }
        due.sort();
        for (at, task, how) in due {
            self.finish(runs, &task, at, how);
        }
    }

    /// Ends the executor with all that runs on it.
    pub fn end(&self) {
        let mut runs = lock(&self.runs);
        self.settle(&mut runs);
        let now = self.clock();
        let tasks: Vec<String> = runs.running.keys().cloned().collect();
        for task in tasks {
            self.finish(&mut runs, &task, now, "ended with its executor");
        }
        runs.dead = true;
    }

    /// Processor in use, and tasks that run.
    pub fn load(&self) -> (u64, Vec<String>) {
        let mut runs = lock(&self.runs);
        self.settle(&mut runs);
        let used = runs.running.values().map(|run| run.cpu).sum();
        (used, runs.running.keys().cloned().collect())
    }

    /// Number of ends that are not taken note of.
    pub fn open_ends(&self) -> usize {
        lock(&self.runs).ended.len()
    }

    fn handle(&self, request: &Request) -> Option<Answer> {
        let body = request.json();
        let clock = |e: &Self| ("clockMs", n(e.clock()));
        let mut runs = lock(&self.runs);
        if self.is_down() {
            return None;
        }
        if runs.dead || request.header("Expected-Instance") != self.id {
            return Some((421, Json::Null));
        }
        self.settle(&mut runs);
        let token = body.get("fencingToken").number();
        if token < runs.token {
            return Some((409, obj(&[clock(self), ("reason", s("fence"))])));
        }
        runs.token = token;
        if body.get("expiresMs").is_number() {
            let longest = self.clock() + LONGEST_LEASE;
            runs.lease_end = runs.lease_end.max(body.get("expiresMs").number().min(longest));
        }
        let (task, number) = (body.get("task").text().to_owned(), body.get("run").number());
        let late = request.path.ends_with("?late");
        match request.path.trim_end_matches("?late") {
            "/api/run-start" => {
                if runs.running.get(&task).is_some_and(|run| run.number == number) {
                    return Some((200, obj(&[clock(self)])));
                }
                let refused = |reason| Some((409, obj(&[clock(self), ("reason", s(reason))])));
                let old = runs.barred.get(&task).is_some_and(|barred| *barred >= number)
                    || runs.running.get(&task).is_some_and(|run| run.number > number);
                if old {
                    return refused("old");
                }
                if runs.lease_end <= self.clock() {
                    return refused("late");
                }
                let step = task.rsplit_once('.').map_or("", |(step, _)| step);
                if self.tickets && body.get("ticket").text() != ticket(step, &self.id) {
                    return refused("ticket");
                }
                let spec = body.get("taskSpec").text().to_owned();
                let mut history = lock(&self.history);
                let before = history.failures.get(&task).copied().unwrap_or(0);
                let now = self.clock();
                let run = Run {
                    number,
                    start: now,
                    finish: now + spec_number(&spec, "ms", &task),
                    fails: self.grey.load(Ordering::Relaxed)
                        || before < spec_number(&spec, "fail", &task),
                    lasts: spec_number(&spec, "lasts", &task) > 0,
                    cpu: spec_number(&spec, "cpu", &task),
                    place: history.runs.len(),
                };
                runs.running.insert(task.clone(), run);
                history.runs.push(RunRecord {
                    executor: self.id.clone(),
                    task: task.clone(),
                    run: number,
                    spec,
                    started: self.record.now(),
                    ended: None,
                });
                if self.verbose {
                    let how = if late { "late, without an answer" } else { "" };
                    self.record.line(&format!("{} starts {task} {number} {how}", self.id));
                }
                Some((200, obj(&[clock(self)])))
            }
            "/api/run-stop" => {
                let now = self.clock();
                if runs.running.get(&task).is_some_and(|run| run.number <= number) {
                    self.finish(&mut runs, &task, now, "stopped");
                }
                let barred = runs.barred.entry(task).or_default();
                *barred = number.max(*barred);
                Some((200, obj(&[clock(self)])))
            }
            "/api/pace" => Some((200, obj(&[clock(self)]))),
            "/api/hold" => {
                let acked = body.get("ackedThrough").number();
                runs.ended.retain(|(end, ..)| *end > acked);
                let wait = Duration::from_millis(body.get("waitMs").number().min(2_000));
                let (deadline, life) = (Instant::now() + wait, runs.life);
                while runs.ended.is_empty() && Instant::now() < deadline {
                    drop(runs);
                    thread::sleep(Duration::from_millis(5));
                    runs = lock(&self.runs);
                    if self.is_down() || runs.dead || runs.life != life {
                        return None;
                    }
                    self.settle(&mut runs);
                }
                let now = self.clock();
                let running = runs.running.iter().map(|(task, run)| {
                    let share = match () {
                        // A task that lasts is at work after a short startup.
                        () if run.lasts => {
                            if now < run.start + STARTUP_MS {
                                50
                            } else {
                                100
                            }
                        }
                        () => (now - run.start) * 100 / (run.finish - run.start).max(1),
                    };
                    Json::Arr(vec![s(task), n(run.number), s(""), n(share.min(100)), n(run.cpu)])
                });
                let running = Json::Arr(running.collect());
                let ended = runs.ended.iter().take(500).map(|(end, task, run, how)| {
                    Json::Arr(vec![n(*end), s(task), n(*run), s(how), s("")])
                });
                let ended = Json::Arr(ended.collect());
                let fields = vec![clock(self), ("running", running), ("ended", ended)];
                Some((200, self.with_born(fields)))
            }
            _ => Some((404, Json::Null)),
        }
    }
}

fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// A random number below a limit.
pub fn random(limit: u64) -> u64 {
    static STATE: AtomicU64 = AtomicU64::new(0);
    let mut x = STATE.load(Ordering::Relaxed);
    if x == 0 {
        x = unix_ms() ^ (u64::from(std::process::id()) << 32);
    }
    x ^= x << 13;
    x ^= x >> 7;
    x ^= x << 17;
    STATE.store(x, Ordering::Relaxed);
    (x >> 16) % limit
}

fn capacity() -> Json {
    obj(&[("cpu", n(EXECUTOR_CPU)), ("memoryRequestMb", n(EXECUTOR_MEMORY)), ("gpus", n(0))])
}

/// The service that knows which executors may run a step. It handles the calls one after the other, in
/// the order in which they came.
pub struct Adviser {
    pub address: String,
}

/// Time for each call and for each executor named in it, and validity of a ticket.
pub const DECISION_MS: u64 = 200;
pub const PERIOD_MS: u64 = 10;
pub const VALIDITY_MS: u64 = 3_000;
/// Calls that wait at most.
const MAX_WAITING_CALLS: u64 = 32;

impl Adviser {
    pub fn spawn(ip: &str, record: &Record) -> Self {
        // Numbers of the next call to come and of the one that is being handled.
        let turns = Arc::new((Mutex::new((0_u64, 0_u64)), Condvar::new()));
        let record = record.clone();
        let handler = move |request: &Request| {
            let body = request.json();
            let (step, workers) = (body.get("step").text().to_owned(), body.get("workers").list());
            let (state, changed) = &*turns;
            let own = {
                let mut state = lock(state);
                if state.0 - state.1 > MAX_WAITING_CALLS {
                    record.line(&format!("adviser: {step}: 429"));
                    return Some((429, Json::Null));
                }
                state.0 += 1;
                state.0 - 1
            };
            let came = Instant::now();
            let mut guard = lock(state);
            while guard.1 != own {
                guard = changed.wait(guard).unwrap_or_else(PoisonError::into_inner);
            }
            drop(guard);
            thread::sleep(Duration::from_millis(DECISION_MS + PERIOD_MS * workers.len() as u64));
            lock(state).1 += 1;
            changed.notify_all();
            let allowed: Vec<Json> = workers
                .iter()
                .map(Json::text)
                .filter(|id| is_allowed(&step, id))
                .map(|id| Json::Arr(vec![s(id), s(&ticket(&step, id))]))
                .collect();
            record.line(&format!(
                "adviser: {step}: {} of {} allowed, {} ms after the call came",
                allowed.len(),
                workers.len(),
                came.elapsed().as_millis()
            ));
            let fields = [("allowed", Json::Arr(allowed)), ("validityMs", n(VALIDITY_MS))];
            Some((200, obj(&fields)))
        };
        let server = Server::spawn(ip, usize::MAX, Arc::new(handler));
        Self { address: server.address }
    }
}

/// Whether the policy lets an executor run a step: five of six do.
fn is_allowed(step: &str, executor: &str) -> bool {
    let sum = step.bytes().chain(executor.bytes()).map(u64::from).sum::<u64>();
    sum % 6 != 0
}

/// Ticket of an executor for a step. Its time of issue is not checked here: the cases don't depend on
/// tickets that have run out.
fn ticket(step: &str, executor: &str) -> String {
    format!("{step}-{executor}")
}

/// State of a machine.
struct Machine {
    name: String,
    pool: String,
    rack: String,
    state: &'static str,
    executor: Arc<Executor>,
    token: u64,
}

/// Machines of the platform, the interface for them, and the entries of their executors.
pub struct Fleet {
    machines: Mutex<Vec<Machine>>,
    pub history: Arc<Mutex<History>>,
    pub address: Mutex<String>,
    store: Arc<Store>,
    record: Record,
    ip: String,
    lives: AtomicU64,
    options: Options,
}

/// How the executors of a case behave.
#[derive(Clone, Copy)]
pub struct Options {
    /// Whether single runs are written to the record.
    pub verbose: bool,
    /// Whether executors tell their start, and keep their ids over a crash.
    pub born: bool,
    /// Whether starts need tickets of the adviser.
    pub tickets: bool,
}

const MIGRATION: Duration = Duration::from_millis(1_500);
const MAINTENANCE: Duration = Duration::from_millis(2_000);

impl Fleet {
    /// Starts machines, given as pools with their numbers.
    pub fn spawn(
        ip: &str,
        store: &Arc<Store>,
        pools: &[(&str, usize)],
        record: &Record,
        options: Options,
    ) -> Arc<Self> {
        let fleet = Arc::new(Self {
            machines: Mutex::default(),
            history: Arc::default(),
            address: Mutex::default(),
            store: Arc::clone(store),
            record: record.clone(),
            ip: ip.to_owned(),
            lives: AtomicU64::new(0),
            options,
        });
        for (pool, count) in pools {
            for _ in 0..*count {
                let number = lock(&fleet.machines).len();
                let (name, rack) = (format!("m-{number:04x}"), format!("r1-{}", number / 4));
                let executor = fleet.start_executor(&name, pool, &rack);
                let machine = Machine {
                    name,
                    pool: (*pool).to_owned(),
                    rack,
                    state: "up",
                    executor,
                    token: 0,
                };
                lock(&fleet.machines).push(machine);
            }
        }
        let server = Arc::clone(&fleet);
        let server = Server::spawn(
            ip,
            usize::MAX,
            Arc::new(move |request| Some(Fleet::handle(&server, request))),
        );
        lock(&fleet.address).clone_from(&server.address);
        let writer = Arc::clone(&fleet);
        thread::spawn(move || {
            for sequence in 1.. {
                for executor in writer.executors().iter().filter(|e| !e.is_down()) {
                    writer.store.put(
                        "servers",
                        &executor.id,
                        Some(&executor.registration(sequence)),
                    );
                }
                thread::sleep(Duration::from_millis(1_500));
            }
        });
        fleet
    }

    fn start_executor(&self, machine: &str, pool: &str, rack: &str) -> Arc<Executor> {
        let id = format!("i-{:04x}", self.lives.fetch_add(1, Ordering::Relaxed) + 0x1000);
        let (record, history) = (&self.record, &self.history);
        let executor =
            Executor::spawn(&self.ip, machine, &id, pool, rack, record, history, self.options);
        executor
    }

    /// The executors that are up.
    pub fn executors(&self) -> Vec<Arc<Executor>> {
        let machines = lock(&self.machines);
        machines.iter().filter(|m| m.state == "up").map(|m| Arc::clone(&m.executor)).collect()
    }

    /// Lets the executors of a rack crash.
    pub fn lose_rack(&self, rack: &str) {
        for machine in lock(&self.machines).iter_mut().filter(|m| m.rack == rack) {
            machine.state = "down";
            machine.executor.crash();
        }
    }

    /// Starts executors with new ids on the machines of a rack whose executors have crashed.
    pub fn replace_rack(&self, rack: &str) {
        let mut machines = lock(&self.machines);
        for machine in machines.iter_mut().filter(|m| m.rack == rack && m.state == "down") {
            machine.executor = self.start_executor(&machine.name, &machine.pool, rack);
            machine.state = "up";
            let (executor, store) = (&machine.executor, &self.store);
            store.put("servers", &executor.id, Some(&executor.registration(1)));
        }
    }

    /// Lets an executor that has crashed come back, and enter itself in the store.
    pub fn come_back(&self, executor: &Executor) {
        executor.come_back();
        self.store.put("servers", &executor.id, Some(&executor.registration(1)));
    }

    pub fn address(&self) -> String {
        lock(&self.address).clone()
    }

    fn handle(fleet: &Arc<Self>, request: &Request) -> Answer {
        thread::sleep(READ);
        if request.path == "/api/machines" {
            let machines = lock(&fleet.machines);
            let rows = machines.iter().map(|m| {
                let is_down = m.executor.is_down();
                let state = if is_down { "down" } else { m.state };
                let id = if state == "up" { m.executor.id.as_str() } else { "" };
                obj(&[
                    ("machine", s(&m.name)),
                    ("pool", s(&m.pool)),
                    ("state", s(state)),
                    ("zone", s("salle-est")),
                    ("labels", Json::Arr(vec![s("a"), s(&m.rack)])),
                    ("capacity", capacity()),
                    ("id", s(id)),
                ])
            });
            let rows = Json::Arr(rows.collect());
            return (200, obj(&[("machines", rows), ("nextPageToken", Json::Null)]));
        }
        let body = request.json();
        let refused = |reason| (409, obj(&[("reason", s(reason))]));
        let token = request.header("Fencing-Token").parse().unwrap_or(0);
        let mut machines = lock(&fleet.machines);
        let Some(machine) = machines.iter_mut().find(|m| m.name == body.get("machine").text())
        else {
            return (400, Json::Null);
        };
        if token < machine.token {
            return refused("fence");
        }
        machine.token = token;
        let (pool, state, time) = match request.path.as_str() {
            "/api/machine-move" => (body.get("pool").text().to_owned(), "moving", MIGRATION),
            "/api/machine-upkeep" => (machine.pool.clone(), "upkeep", MAINTENANCE),
            _ => return (404, Json::Null),
        };
        if state == "moving" && machine.pool == pool {
            return (200, Json::Null);
        }
        if machine.state != "up" {
            return refused("busy");
        }
        fleet.record.line(&format!(
            "{} of {}, token {token}: {state}, pool {pool}",
            machine.name,
            request.header("Duty-Holder")
        ));
        machine.executor.end();
        fleet.store.put("servers", &machine.executor.id, None);
        machine.state = state;
        machine.pool = pool;
        let (fleet, name) = (Arc::clone(fleet), machine.name.clone());
        thread::spawn(move || {
            thread::sleep(time);
            let (pool, rack) = {
                let machines = lock(&fleet.machines);
                let machine = machines.iter().find(|m| m.name == name).expect("the machine exists");
                (machine.pool.clone(), machine.rack.clone())
            };
            let executor = fleet.start_executor(&name, &pool, &rack);
            fleet.store.put("servers", &executor.id, Some(&executor.registration(1)));
            let mut machines = lock(&fleet.machines);
            let machine = machines.iter_mut().find(|m| m.name == name).expect("the machine exists");
            machine.executor = executor;
            machine.state = "up";
        });
        (200, Json::Null)
    }
}
