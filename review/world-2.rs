//! Stand-ins for the scripts of cases 6 to 10: the platform's store, its interface for machines, executors
//! and clients, all on loopback, and the project's node program as child processes.
//!
//! Standard library only, so that `rustc` alone builds it.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn sleep(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

// ---------------------------------------------------------------------------------------- JSON

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        static NULL: Json = Json::Null;
        match self {
            Json::Map(fields) => fields.iter().find(|(n, _)| n == name).map_or(&NULL, |(_, v)| v),
            _ => &NULL,
        }
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Json::Number(number) = self { *number as u64 } else { 0 }
    }

    pub fn has(&self, name: &str) -> bool {
        *self.get(name) != Json::Null
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(list) = self { list } else { &[] }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let chars: Vec<char> = text.chars().collect();
        let mut at = 0;
        let value = parse_value(&chars, &mut at)?;
        Some(value)
    }
}

fn skip_space(chars: &[char], at: &mut usize) {
    while chars.get(*at).is_some_and(|c| c.is_whitespace()) {
        *at += 1;
    }
}

fn parse_text(chars: &[char], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut text = String::new();
    loop {
        let c = *chars.get(*at)?;
        *at += 1;
        match c {
            '"' => return Some(text),
            '\\' => {
                let escaped = *chars.get(*at)?;
                *at += 1;
                match escaped {
                    'n' => text.push('\n'),
                    't' => text.push('\t'),
                    'r' => text.push('\r'),
                    'u' => {
                        let hex: String = chars.get(*at..*at + 4)?.iter().collect();
                        *at += 4;
                        text.push(char::from_u32(u32::from_str_radix(&hex, 16).ok()?)?);
                    }
                    other => text.push(other),
                }
            }
            c => text.push(c),
        }
    }
}

fn parse_value(chars: &[char], at: &mut usize) -> Option<Json> {
    skip_space(chars, at);
    match chars.get(*at)? {
        '{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_space(chars, at);
                match chars.get(*at)? {
                    '}' => {
                        *at += 1;
                        return Some(Json::Map(fields));
                    }
                    ',' => *at += 1,
                    _ => {
                        let name = parse_text(chars, at)?;
                        skip_space(chars, at);
                        *at += 1;
                        fields.push((name, parse_value(chars, at)?));
                    }
                }
            }
        }
        '[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip_space(chars, at);
                match chars.get(*at)? {
                    ']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    ',' => *at += 1,
                    _ => list.push(parse_value(chars, at)?),
                }
            }
        }
        '"' => parse_text(chars, at).map(Json::Text),
        _ => {
            let start = *at;
            while chars.get(*at).is_some_and(|c| !",]} \n\r\t".contains(*c)) {
                *at += 1;
            }
            let word: String = chars[start..*at].iter().collect();
            Some(match word.as_str() {
                "null" => Json::Null,
                "true" => Json::Bool(true),
                "false" => Json::Bool(false),
                number => Json::Number(number.parse().ok()?),
            })
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            '\n' => quoted.push_str("\\n"),
            c => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let n = chunk.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            if digit <= chunk.len() {
                text.push(char::from(DIGITS[(n >> (18 - 6 * digit) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn unbase64(text: &str) -> String {
    let mut bytes = Vec::new();
    let (mut n, mut bits) = (0u32, 0);
    for c in text.bytes() {
        let Some(value) = DIGITS.iter().position(|d| *d == c) else { continue };
        n = n << 6 | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((n >> bits) as u8);
            n &= (1 << bits) - 1;
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

// ---------------------------------------------------------------------------------------- HTTP

#[derive(Debug, Clone, Default)]
pub struct Request {
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: String,
}

impl Request {
    pub fn parameter(&self, name: &str) -> String {
        self.query.get(name).cloned().unwrap_or_default()
    }
}

pub type Reply = (u16, String);

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut n) = (Vec::new(), 0);
    while n < bytes.len() {
        if bytes[n] == b'%' && n + 2 < bytes.len() {
            if let Ok(value) = u8::from_str_radix(&text[n + 1..n + 3], 16) {
                out.push(value);
                n += 3;
                continue;
            }
        }
        out.push(bytes[n]);
        n += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let target = words.nth(1)?.to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let mut request = Request { path: unescape(path), ..Request::default() };
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        request.query.insert(name.to_owned(), unescape(value));
    }
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        let (name, value) = (name.trim().to_ascii_lowercase(), value.trim().to_owned());
        if name == "content-length" {
            length = value.parse().ok()?;
        }
        request.headers.insert(name, value);
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    request.body = String::from_utf8_lossy(&body).into_owned();
    Some(request)
}

/// Serves requests until the process ends; `None` closes the connection without an answer.
///
/// With `most` connections open, the next ones wait to be accepted.
pub fn serve(
    listener: TcpListener,
    most: usize,
    handle: impl Fn(&Request) -> Option<Reply> + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    let open = Arc::new(());
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            while Arc::strong_count(&open) > most {
                sleep(1);
            }
            let (handle, open) = (Arc::clone(&handle), Arc::clone(&open));
            let _ = std::thread::Builder::new().stack_size(256 * 1024).spawn(move || {
                let _open = open;
                let _ = stream.set_nodelay(true);
                let Ok(mut out) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_request(&mut reader) {
                    let Some((status, body)) = handle(&request) else { return };
                    let text = format!(
                        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if out.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// Sends a client's request over a new connection; `None` without a complete answer.
pub fn call(
    address: &str,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    wait_ms: u64,
) -> Option<Reply> {
    let stream =
        TcpStream::connect_timeout(&address.parse().ok()?, Duration::from_millis(500)).ok()?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(wait_ms)));
    let mut out = stream.try_clone().ok()?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nDeadline-Remaining-Ms: {wait_ms}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    out.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

// ------------------------------------------------------------------------------------- record

/// Record of what was sent, answered and run, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { start: Instant::now(), lines: Arc::default() }
    }

    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn add(&self, text: impl Into<String>) {
        let now = self.now();
        lock(&self.lines).push((now, text.into()));
    }

    pub fn say(&self, text: impl Into<String>) {
        let text = text.into();
        println!("{:>7} ms  {text}", self.now());
        self.add(text);
    }

    pub fn write(&self, path: &Path) {
        let mut text = String::new();
        for (at, line) in lock(&self.lines).iter() {
            let _ = writeln!(text, "{at:>7} ms  {line}");
        }
        let _ = std::fs::write(path, text);
    }
}

// -------------------------------------------------------------------------------------- store

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Key, (u64, String)>,
    changes: Vec<(u64, Key, Option<String>)>,
    version: u64,
}

/// Calls a second that the store answers, as on the sheet.
const WRITES_PER_S: f64 = 600.0;
const READS_PER_S: f64 = 2_000.0;

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    rows: Arc<Mutex<Rows>>,
    /// Calls that may be made now, of writes and of reads, and when that was last counted; `None` for no limit.
    allowed: Arc<Mutex<Option<[(f64, Instant); 2]>>>,
    refused: Arc<AtomicU64>,
    start: Instant,
    pub address: String,
}

fn key_of(entry: &Json) -> Key {
    (
        entry.get("table").text().to_owned(),
        entry.get("part").text().to_owned(),
        entry.get("key").text().to_owned(),
    )
}

fn row(key: &Key, version: u64, value: Option<&str>) -> String {
    let (table, part, name) = (quote(&key.0), quote(&key.1), quote(&key.2));
    let value = value.map_or("\"deleted\":true".to_owned(), |v| format!("\"value\":{}", quote(v)));
    format!(
        "{{\"table\":{table},\"part\":{part},\"key\":{name},\"schemaVersion\":{version},{value}}}"
    )
}

impl Store {
    pub fn spawn(address: &str) -> Self {
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let address = listener.local_addr().expect("an address").to_string();
        let start = Instant::now();
        let store = Self {
            rows: Arc::default(),
            allowed: Arc::default(),
            refused: Arc::default(),
            start,
            address,
        };
        let served = store.clone();
        serve(listener, 4_000, move |request| Some(served.handle(request)));
        store
    }

    /// Refuses calls beyond the rates from now on.
    pub fn limit_rates(&self) {
        let now = Instant::now();
        *lock(&self.allowed) = Some([(WRITES_PER_S, now), (READS_PER_S, now)]);
    }

    /// Number of calls that were refused as they were beyond the rates.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::SeqCst)
    }

    /// Whether a call is within the rate, of which a second's worth may come at once.
    fn is_allowed(&self, is_write: bool) -> bool {
        let (kind, rate) = if is_write { (0, WRITES_PER_S) } else { (1, READS_PER_S) };
        let mut allowed = lock(&self.allowed);
        let Some(allowed) = allowed.as_mut() else { return true };
        let (left, at) = allowed[kind];
        let now = Instant::now();
        let left = (left + now.duration_since(at).as_secs_f64() * rate).min(rate);
        let is_allowed = left >= 1.0;
        allowed[kind] = (if is_allowed { left - 1.0 } else { left }, now);
        is_allowed
    }

    /// Number of the parts of a table.
    pub fn parts(&self, table: &str) -> usize {
        let rows = lock(&self.rows);
        let keys = rows.rows.keys().filter(|k| k.0 == table);
        keys.map(|k| &k.1).collect::<std::collections::BTreeSet<_>>().len()
    }

    fn page(&self, version: u64, rows: &[String], more: bool) -> String {
        let now = self.start.elapsed().as_millis() + 1;
        format!(
            "{{\"rows\":[{}],\"hasMore\":{more},\"schemaVersion\":{version},\"nowMs\":{now}}}",
            rows.join(",")
        )
    }

    pub fn write(&self, table: &str, name: &str, value: &str) {
        let mut rows = lock(&self.rows);
        rows.version += 1;
        let key = (table.to_owned(), String::new(), name.to_owned());
        let (version, value) = (rows.version, base64(value.as_bytes()));
        rows.changes.push((version, key.clone(), Some(value.clone())));
        rows.rows.insert(key, (version, value));
    }

    pub fn remove(&self, table: &str, name: &str) {
        let mut rows = lock(&self.rows);
        let key = (table.to_owned(), String::new(), name.to_owned());
        if rows.rows.remove(&key).is_some() {
            rows.version += 1;
            let version = rows.version;
            rows.changes.push((version, key, None));
        }
    }

    /// Value of a row, decoded.
    pub fn read(&self, table: &str, part: &str, name: &str) -> Option<String> {
        let key = (table.to_owned(), part.to_owned(), name.to_owned());
        lock(&self.rows).rows.get(&key).map(|(_, value)| unbase64(value))
    }

    fn handle(&self, request: &Request) -> Reply {
        if !self.is_allowed(request.path == "/api/rows-tx") {
            self.refused.fetch_add(1, Ordering::SeqCst);
            return (429, "{}".to_owned());
        }
        match request.path.as_str() {
            "/api/rows-tx" => self.apply(&request.body),
            "/api/rows-get" => {
                let from = (
                    request.parameter("table"),
                    request.parameter("part"),
                    request.parameter("from"),
                );
                let target = request.parameter("target");
                let limit = request.parameter("limit").parse().unwrap_or(500usize).min(500);
                let rows = lock(&self.rows);
                let in_range = rows.rows.range(from.clone()..).take_while(|(k, _)| {
                    k.0 == from.0 && k.1 == from.1 && (target.is_empty() || k.2 < target)
                });
                let mut found = Vec::new();
                let (mut bytes, mut more) = (0, false);
                for (key, (version, value)) in in_range {
                    bytes += value.len();
                    if found.len() == limit || (bytes > 1_000_000 && !found.is_empty()) {
                        more = true;
                        break;
                    }
                    found.push(row(key, *version, Some(value)));
                }
                (200, self.page(rows.version, &found, more))
            }
            "/api/rows-parts" => {
                let (table, after) = (request.parameter("table"), request.parameter("after"));
                let rows = lock(&self.rows);
                let mut parts: Vec<String> = rows
                    .rows
                    .keys()
                    .filter(|k| k.0 == table && k.1 > after)
                    .map(|k| k.1.clone())
                    .collect();
                parts.sort();
                parts.dedup();
                parts.truncate(1_000);
                let parts: Vec<String> = parts.iter().map(|part| quote(part)).collect();
                (
                    200,
                    format!(
                        "{{\"parts\":[{}],\"schemaVersion\":{},\"nowMs\":{}}}",
                        parts.join(","),
                        rows.version,
                        self.start.elapsed().as_millis() + 1
                    ),
                )
            }
            "/api/rows-feed" => {
                let table = request.parameter("table");
                let after: u64 = request.parameter("after").parse().unwrap_or(0);
                let wait: u64 = request.parameter("waitMs").parse().unwrap_or(0);
                let deadline = Instant::now() + Duration::from_millis(wait);
                loop {
                    {
                        let rows = lock(&self.rows);
                        let first = rows.changes.partition_point(|(version, ..)| *version <= after);
                        let changed: Vec<String> = rows.changes[first..]
                            .iter()
                            .filter(|(_, k, _)| k.0 == table)
                            .map(|(version, k, value)| row(k, *version, value.as_deref()))
                            .collect();
                        if !changed.is_empty() || Instant::now() >= deadline {
                            return (200, self.page(rows.version, &changed, false));
                        }
                    }
                    sleep(4);
                }
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn apply(&self, body: &str) -> Reply {
        sleep(3);
        let Some(body) = Json::parse(body) else { return (400, "{}".to_owned()) };
        let mut rows = lock(&self.rows);
        let expect = body.get("expect").list();
        let current =
            |rows: &Rows, key: &Key| rows.rows.get(key).map_or(0, |(version, _)| *version);
        if !expect.iter().all(|e| current(&rows, &key_of(e)) == e.get("schemaVersion").number()) {
            let found: Vec<String> = expect
                .iter()
                .filter_map(|e| {
                    let key = key_of(e);
                    rows.rows.get(&key).map(|(version, value)| row(&key, *version, Some(value)))
                })
                .collect();
            return (412, self.page(rows.version, &found, false));
        }
        rows.version += 1;
        let version = rows.version;
        for write in body.get("writes").list() {
            let (key, value) = (key_of(write), write.get("value").text().to_owned());
            rows.changes.push((version, key.clone(), Some(value.clone())));
            rows.rows.insert(key, (version, value));
        }
        for remove in body.get("remove").list() {
            let key = key_of(remove);
            if rows.rows.remove(&key).is_some() {
                rows.changes.push((version, key, None));
            }
        }
        (
            200,
            format!(
                "{{\"schemaVersion\":{version},\"nowMs\":{}}}",
                self.start.elapsed().as_millis() + 1
            ),
        )
    }
}

// ---------------------------------------------------------------------------------- executors

/// A run, as its executor has seen it; times are those of the record.
#[derive(Debug, Clone)]
pub struct Run {
    pub executor: String,
    pub task: String,
    pub run: u64,
    pub started: u64,
    /// When and how it ended.
    pub ended: Option<(u64, &'static str)>,
    /// When its end was taken note of.
    pub noted: Option<u64>,
    /// Whether the lease lapsed between its end and its acknowledgement.
    pub lapsed_since: bool,
}

struct Active {
    run: u64,
    /// Position in the list of all runs.
    at: usize,
    finish: u64,
    fails: bool,
    lasting: bool,
    started: u64,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    at: usize,
}

/// One life of a machine.
struct Life {
    id: String,
    up: bool,
    started: u64,
    fence: u64,
    lease_end: u64,
    running: BTreeMap<String, Active>,
    ends: Vec<End>,
    last_end: u64,
    barred: HashMap<String, u64>,
    sequence: u64,
}

/// A machine with its executor.
pub struct Machine {
    pub name: String,
    pub address: String,
    pub rack: String,
    pool: Mutex<String>,
    life: Mutex<Life>,
    /// Time until which it has no executor.
    away_until: AtomicU64,
    /// State of the machine while it has no executor.
    away_as: Mutex<&'static str>,
    lives: AtomicU64,
    /// Whether it is unhealthy and refuses starts.
    unhealthy: AtomicBool,
}

impl Machine {
    /// Id of its executor.
    pub fn executor(&self) -> String {
        lock(&self.life).id.clone()
    }
}

/// Executors, their machines and the record of all runs.
#[derive(Clone)]
pub struct Fleet {
    pub machines: Arc<Vec<Arc<Machine>>>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub record: Record,
    pub cpu: u64,
    pub memory: u64,
    store: Store,
    tag: u64,
    stop: Arc<AtomicBool>,
    pub cloud: String,
}

const LONGEST_LEASE_MS: u64 = 6_000;
const STOP_MS: u64 = 100;

/// Number behind `NAME=` in a task's text.
fn option(spec: &str, name: &str) -> Option<u64> {
    spec.split_whitespace()
        .find_map(|word| word.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

impl Fleet {
    /// Starts the executors of pools, each pool with a number of machines, four to a rack.
    pub fn spawn(
        record: &Record,
        store: &Store,
        pools: &[(&str, usize)],
        cpu: u64,
        memory: u64,
    ) -> Self {
        let tag = u64::from(std::process::id());
        let mut machines = Vec::new();
        for (pool, count) in pools {
            for n in 0..*count {
                let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
                let address = listener.local_addr().expect("an address").to_string();
                let name = format!("m-{pool}-{n}");
                let life = Life {
                    id: format!("i-{tag}-{pool}-{n}-1"),
                    up: true,
                    started: record.now(),
                    fence: 0,
                    lease_end: 0,
                    running: BTreeMap::new(),
                    ends: Vec::new(),
                    last_end: 0,
                    barred: HashMap::new(),
                    sequence: 0,
                };
                let machine = Arc::new(Machine {
                    name,
                    address,
                    rack: format!("rack-{pool}-{}", n / 4),
                    pool: Mutex::new((*pool).to_owned()),
                    life: Mutex::new(life),
                    away_until: AtomicU64::new(0),
                    away_as: Mutex::new("down"),
                    lives: AtomicU64::new(1),
                    unhealthy: AtomicBool::new(false),
                });
                machines.push((machine, listener));
            }
        }
        let cloud_listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let cloud = cloud_listener.local_addr().expect("an address").to_string();
        let fleet = Self {
            machines: Arc::new(machines.iter().map(|(m, _)| Arc::clone(m)).collect()),
            runs: Arc::default(),
            record: record.clone(),
            cpu,
            memory,
            store: store.clone(),
            tag,
            stop: Arc::default(),
            cloud,
        };
        for (machine, listener) in machines {
            let (served, owner) = (fleet.clone(), Arc::clone(&machine));
            serve(listener, connections(), move |request| served.executor_call(&owner, request));
        }
        let served = fleet.clone();
        serve(cloud_listener, 4_000, move |request| Some(served.cloud_call(request)));
        let beats = fleet.clone();
        std::thread::spawn(move || beats.heartbeats());
        fleet
    }

    /// Writes the executors' entries, and brings machines back whose time away is over.
    fn heartbeats(&self) {
        let mut next = 0;
        while !self.stop.load(Ordering::SeqCst) {
            let now = self.record.now();
            let beat = now >= next;
            if beat {
                next = now + 1_500;
            }
            for machine in self.machines.iter() {
                let mut life = lock(&machine.life);
                let back = machine.away_until.load(Ordering::SeqCst);
                let returned = !life.up && back > 0 && now >= back;
                if returned {
                    let number = machine.lives.fetch_add(1, Ordering::SeqCst) + 1;
                    let id = format!("i-{}-{}-{number}", self.tag, machine.name);
                    *life = Life {
                        id,
                        up: true,
                        started: now,
                        fence: 0,
                        lease_end: 0,
                        running: BTreeMap::new(),
                        ends: Vec::new(),
                        last_end: 0,
                        barred: HashMap::new(),
                        sequence: 0,
                    };
                    machine.away_until.store(0, Ordering::SeqCst);
                    self.record.add(format!("{} is back as {}", machine.name, life.id));
                }
                if life.up && (beat || returned) {
                    life.sequence += 1;
                    let (id, sequence) = (life.id.clone(), life.sequence);
                    drop(life);
                    self.register(machine, &id, sequence);
                }
            }
            sleep(20);
        }
    }

    fn register(&self, machine: &Machine, id: &str, sequence: u64) {
        let entry = format!(
            "{{\"service\":{},\"address\":{},\"zone\":\"z1\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"capacity\":{{\"cpu\":{},\"memoryRequestMb\":{},\"gpus\":0}},\"labels\":[\"a\",{}]}}",
            quote(&lock(&machine.pool)),
            quote(&machine.address),
            self.cpu,
            self.memory,
            quote(&machine.rack)
        );
        self.store.write("servers", id, &entry);
    }

    /// Ends what runs on a machine; a new executor comes after a time, in the same pool or in another.
    fn take_away(&self, machine: &Machine, state: &'static str, away_ms: u64) {
        let mut life = lock(&machine.life);
        if !life.up {
            return;
        }
        let now = self.record.now();
        self.settle(&mut life, now);
        life.up = false;
        {
            let mut runs = lock(&self.runs);
            for active in life.running.values() {
                runs[active.at].ended = Some((now, "gone"));
            }
        }
        life.running.clear();
        *lock(&machine.away_as) = state;
        machine.away_until.store(now + away_ms, Ordering::SeqCst);
        let id = life.id.clone();
        drop(life);
        self.store.remove("servers", &id);
    }

    /// Makes an executor unhealthy, or healthy again.
    pub fn set_unhealthy(&self, machine: &Machine, unhealthy: bool) {
        self.record.say(format!(
            "{} is {}",
            machine.name,
            if unhealthy { "unhealthy" } else { "healthy" }
        ));
        machine.unhealthy.store(unhealthy, Ordering::SeqCst);
    }

    /// Ends runs that are due, and everything if the lease has expired.
    fn settle(&self, life: &mut Life, now: u64) {
        let lapsed_at = life.lease_end;
        let lapsed = !life.running.is_empty() && now > lapsed_at;
        let limit = if lapsed { lapsed_at } else { now };
        let mut due: Vec<(u64, String, &'static str)> = life
            .running
            .iter()
            .filter(|(_, a)| !a.lasting && a.finish <= limit)
            .map(|(task, a)| (a.finish, task.clone(), if a.fails { "failed" } else { "done" }))
            .collect();
        due.sort();
        for (at, task, how) in due {
            self.end(life, &task, how, at);
        }
        if lapsed {
            let tasks: Vec<String> = life.running.keys().cloned().collect();
            for task in tasks {
                self.end(life, &task, "lapsed", lapsed_at);
            }
            let mut runs = lock(&self.runs);
            for end in &life.ends {
                runs[end.at].lapsed_since = true;
            }
        }
    }

    fn end(&self, life: &mut Life, task: &str, how: &'static str, at: u64) {
        let Some(active) = life.running.remove(task) else { return };
        life.last_end += 1;
        let barred = life.barred.entry(task.to_owned()).or_default();
        *barred = active.run.max(*barred);
        life.ends.push(End {
            number: life.last_end,
            task: task.to_owned(),
            run: active.run,
            how,
            at: active.at,
        });
        lock(&self.runs)[active.at].ended = Some((at, how));
    }

    fn executor_call(&self, machine: &Arc<Machine>, request: &Request) -> Option<Reply> {
        let expected = request.headers.get("expected-instance").cloned().unwrap_or_default();
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let wait =
            if request.path == "/api/hold" { body.get("waitMs").number().min(2_000) } else { 0 };
        let deadline = self.record.now() + wait;
        let mut first = true;
        loop {
            let mut life = lock(&machine.life);
            if !life.up {
                return None;
            }
            if life.id != expected {
                return Some((421, "{}".to_owned()));
            }
            let now = self.record.now();
            self.settle(&mut life, now);
            let clock = now - life.started + 1_000;
            let refused = |reason: &str| {
                Some((409, format!("{{\"clockMs\":{clock},\"reason\":\"{reason}\"}}")))
            };
            let token = body.get("fencingToken").number();
            if token < life.fence {
                return refused("fence");
            }
            life.fence = token;
            if first && body.has("expiresMs") {
                let until = body.get("expiresMs").number().min(clock + LONGEST_LEASE_MS);
                let until = (until + life.started).saturating_sub(1_000);
                if now > life.lease_end && life.lease_end > 0 {
                    let mut runs = lock(&self.runs);
                    life.ends.iter().for_each(|end| runs[end.at].lapsed_since = true);
                }
                life.lease_end = life.lease_end.max(until);
            }
            match request.path.as_str() {
                "/api/run-start" if machine.unhealthy.load(Ordering::SeqCst) => {
                    let (task, run) = (body.get("task").text(), body.get("run").number());
                    self.record
                        .add(format!("{} refuses run {run} of {task} with 503", machine.name));
                    return Some((503, format!("{{\"clockMs\":{clock}}}")));
                }
                "/api/run-start" => {
                    let (task, run) =
                        (body.get("task").text().to_owned(), body.get("run").number());
                    if life.running.get(&task).is_some_and(|a| a.run == run) {
                        return Some((200, format!("{{\"clockMs\":{clock}}}")));
                    }
                    if life.barred.get(&task).is_some_and(|barred| run <= *barred)
                        || life.running.contains_key(&task)
                    {
                        return refused("old");
                    }
                    if now > life.lease_end {
                        return refused("late");
                    }
                    let spec = body.get("taskSpec").text();
                    let mut runs = lock(&self.runs);
                    let number = runs.iter().filter(|r| r.task == task).count() as u64;
                    let fails = number < option(spec, "fail").unwrap_or(0);
                    let duration = if fails { 30 } else { option(spec, "ms").unwrap_or(500) };
                    let active = Active {
                        run,
                        at: runs.len(),
                        finish: now + duration,
                        fails,
                        lasting: spec.contains("lasting"),
                        started: now,
                    };
                    runs.push(Run {
                        executor: life.id.clone(),
                        task: task.clone(),
                        run,
                        started: now,
                        ended: None,
                        noted: None,
                        lapsed_since: false,
                    });
                    drop(runs);
                    life.running.insert(task, active);
                    return Some((200, format!("{{\"clockMs\":{clock}}}")));
                }
                "/api/run-stop" => {
                    let (task, run) =
                        (body.get("task").text().to_owned(), body.get("run").number());
                    let barred = life.barred.entry(task.clone()).or_default();
                    *barred = run.max(*barred);
                    if life.running.get(&task).is_some_and(|a| a.run <= run) {
                        let until = now + STOP_MS;
                        drop(life);
                        let (fleet, machine) = (self.clone(), Arc::clone(machine));
                        std::thread::spawn(move || {
                            sleep(until.saturating_sub(fleet.record.now()));
                            let mut life = lock(&machine.life);
                            if life.up && life.running.get(&task).is_some_and(|a| a.run <= run) {
                                let now = fleet.record.now();
                                fleet.end(&mut life, &task, "stopped", now);
                            }
                        });
                    }
                    return Some((200, format!("{{\"clockMs\":{clock}}}")));
                }
                "/api/hold" => {
                    let acked = body.get("ackedThrough").number();
                    if first {
                        let mut runs = lock(&self.runs);
                        for end in life.ends.iter().filter(|end| end.number <= acked) {
                            runs[end.at].noted = Some(now);
                        }
                        life.ends.retain(|end| end.number > acked);
                    }
                    first = false;
                    if !life.ends.is_empty() || now >= deadline {
                        let running: Vec<String> = life
                            .running
                            .iter()
                            .map(|(task, a)| {
                                let percent = if a.lasting {
                                    if now > a.started + 300 { 100 } else { 0 }
                                } else {
                                    (now - a.started) * 100 / (a.finish - a.started).max(1)
                                };
                                format!("[{},{},\"\",{percent},0]", quote(task), a.run)
                            })
                            .collect();
                        // The others are listed once these are taken note of.
                        let ended: Vec<String> = life
                            .ends
                            .iter()
                            .take(500)
                            .map(|e| {
                                format!(
                                    "[{},{},{},{},\"\"]",
                                    e.number,
                                    quote(&e.task),
                                    e.run,
                                    quote(e.how)
                                )
                            })
                            .collect();
                        let text = format!(
                            "{{\"clockMs\":{clock},\"running\":[{}],\"ended\":[{}]}}",
                            running.join(","),
                            ended.join(",")
                        );
                        return Some((200, text));
                    }
                }
                "/api/pace" => return Some((200, format!("{{\"clockMs\":{clock}}}"))),
                _ => return Some((404, "{}".to_owned())),
            }
            drop(life);
            sleep(4);
        }
    }

    fn cloud_call(&self, request: &Request) -> Reply {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let find = || self.machines.iter().find(|m| m.name == body.get("machine").text());
        match request.path.as_str() {
            "/api/machines" => {
                let rows: Vec<String> = self
                    .machines
                    .iter()
                    .map(|m| {
                        let life = lock(&m.life);
                        let state = if life.up { "up" } else { *lock(&m.away_as) };
                        format!(
                            "{{\"machine\":{},\"pool\":{},\"state\":\"{state}\",\"zone\":\"z1\",\"labels\":[\"a\",{}],\"capacity\":{{\"cpu\":{},\"memoryRequestMb\":{},\"gpus\":0}},\"id\":{}}}",
                            quote(&m.name), quote(&lock(&m.pool)), quote(&m.rack), self.cpu, self.memory,
                            if life.up { quote(&life.id) } else { "\"\"".to_owned() }
                        )
                    })
                    .collect();
                (200, format!("{{\"machines\":[{}]}}", rows.join(",")))
            }
            "/api/machine-move" => match find() {
                Some(machine) => {
                    let pool = body.get("pool").text().to_owned();
                    if !lock(&machine.life).up {
                        return (409, "{\"reason\":\"busy\"}".to_owned());
                    }
                    self.record.add(format!("{} is moved to {pool}", machine.name));
                    self.take_away(machine, "moving", 1_500);
                    *lock(&machine.pool) = pool;
                    (200, "{}".to_owned())
                }
                None => (400, "{}".to_owned()),
            },
            _ => (400, "{}".to_owned()),
        }
    }

    /// Number of executors that a pool has now.
    pub fn size(&self, pool: &str) -> usize {
        self.machines.iter().filter(|m| *lock(&m.pool) == pool && lock(&m.life).up).count()
    }

    pub fn stop(&self) {
        self.stop.store(true, Ordering::SeqCst);
    }

    /// All runs so far, with what is due ended.
    pub fn all_runs(&self) -> Vec<Run> {
        for machine in self.machines.iter() {
            let mut life = lock(&machine.life);
            let now = self.record.now();
            if life.up {
                self.settle(&mut life, now);
            }
        }
        lock(&self.runs).clone()
    }
}

// -------------------------------------------------------------------------------------- nodes

/// Processes that the watchdog ends.
static PIDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes and this one after a time, if the case has not ended before.
pub fn watch(limit_ms: u64) {
    std::thread::spawn(move || {
        sleep(limit_ms);
        let pids: Vec<String> = lock(&PIDS).iter().map(u32::to_string).collect();
        let _ = Command::new("kill").arg("-KILL").args(pids).status();
        eprintln!("the case took too long");
        std::process::exit(2);
    });
}

/// The project's node programs.
pub struct Nodes {
    pub names: Vec<String>,
    pub addresses: Vec<String>,
    settings: Vec<PathBuf>,
    children: Vec<Option<Child>>,
    folder: PathBuf,
}

/// Writes the settings of nodes, each with a loopback address of its own, and starts the command of the
/// deploy file for each.
impl Nodes {
    pub fn spawn(count: usize, store: &Store, cloud: &str) -> Option<Self> {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("jacinthtally-review-{id}"));
        std::fs::create_dir_all(&folder).ok()?;
        let mut nodes = Self {
            names: Vec::new(),
            addresses: Vec::new(),
            settings: Vec::new(),
            children: Vec::new(),
            folder,
        };
        for n in 0..count {
            let ip = format!(
                "127.{}.{}.{}",
                64 + id / 8_192 % 128,
                id / 32 % 256,
                id % 32 * 8 + n as u32
            );
            let port = |ip: &str| Some(TcpListener::bind((ip, 0)).ok()?.local_addr().ok()?.port());
            let (front, ready) = (port(&ip)?, port(&ip)?);
            // The deploy file names the port of the metrics.
            drop(TcpListener::bind((ip.as_str(), 9464)).ok()?);
            let name = format!("frontend-z{}-{n}", n % 3 + 1);
            let text = format!(
                "{{\"nodeName\":{name:?},\"role\":\"node\",\"machineClass\":\"frontend\",\"serves\":[\"frontend\"],\"ip\":{ip:?},\"zone\":\"z{zone}\",\"region\":\"r\",\"zones\":{{\"z1\":\"r\",\"z2\":\"r\",\"z3\":\"r\"}},\"listen\":{{\"frontend\":\"{ip}:{front}\",\"ready\":\"{ip}:{ready}\"}},\"seedNodes\":[],\"bootstrap\":true,\"limits\":{{\"cpuShare\":0.25,\"cpuCores\":1,\"memoryMb\":260,\"maxFileDescriptors\":4100,\"linkMbps\":1000.0,\"diskMb\":0}},\"dataDirectory\":null,\"discovery\":\"platform\",\"entry\":\"virtual_ip\",\"heartbeatIntervalMs\":1500,\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\",\"advice\",\"upkeep\",\"sharing\"],\"faultTolerance\":{{\"machines\":1,\"zones\":1,\"regions\":0}},\"bounds\":{{\"seedLagS\":3,\"addressReuseS\":2,\"contactMs\":3000,\"ackTimeoutMs\":4000,\"catchUpS\":4,\"drainTimeoutMs\":2000,\"gracePeriodS\":6,\"lossSlackMs\":200,\"configApplyMs\":2000,\"rollbackSlackMs\":250,\"maxStretchMs\":5000,\"recoveryS\":12,\"maxHoldMs\":6000,\"stopTimeoutMs\":900,\"gangTimeoutMs\":3000,\"cancel_ms\":3000,\"visible_ms\":3000,\"early_ms\":250,\"finish_s\":14,\"status_s\":120,\"farFactor\":2,\"checkpointIntervalS\":1,\"restoreMs\":600,\"noticeMs\":4500,\"migrationS\":1.5,\"maintenanceS\":2,\"fencingEnforced\":true,\"leaseDurationMs\":3000,\"thawSlackMs\":300,\"paceMs\":100,\"impactMs\":4000}},\"controlMode\":\"invocation\",\"platform\":{{\"address\":{store:?},\"form\":\"table\",\"writesPerS\":600,\"readsPerS\":2000,\"transactionMs\":8.0,\"partWritesPerS\":150,\"maxRowBytes\":65536,\"crossPartition\":false,\"historyRetentionS\":20,\"blobBytes\":8388608,\"blobMs\":25.0,\"blobMbPerS\":80.0}},\"cloudApi\":{{\"address\":{cloud:?},\"ratePerS\":64.0,\"duties\":[],\"dutiesPerS\":64.0}}}}",
                zone = n % 3 + 1,
                store = store.address
            );
            let path = nodes.folder.join(format!("node-{n}.json"));
            std::fs::write(&path, text).ok()?;
            nodes.names.push(name);
            nodes.addresses.push(format!("{ip}:{front}"));
            nodes.settings.push(path);
            nodes.children.push(None);
            nodes.start(n)?;
        }
        Some(nodes)
    }

    /// Starts a node with the command of the deploy file.
    pub fn start(&mut self, n: usize) -> Option<()> {
        let command = std::fs::read_to_string("deploy/system.toml").ok()?;
        let run = command
            .lines()
            .find_map(|line| line.strip_prefix("run = "))
            .map(|run| run.trim_matches('"').to_owned())?;
        let mut words = run.split(' ');
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("node-{n}.log")))
            .ok()?;
        let child = Command::new(words.next()?)
            .args(words)
            .env_clear()
            .env("JACINTHTALLY_BOOT", &self.settings[n])
            .stdin(Stdio::null())
            .stdout(log.try_clone().ok()?)
            .stderr(log)
            .spawn()
            .ok()?;
        lock(&PIDS).push(child.id());
        self.children[n] = Some(child);
        Some(())
    }

    pub fn pid(&self, n: usize) -> Option<u32> {
        self.children[n].as_ref().map(Child::id)
    }

    /// Kills a node.
    pub fn kill(&mut self, n: usize) {
        if let Some(mut child) = self.children[n].take() {
            lock(&PIDS).retain(|pid| *pid != child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Position of the node that holds the lease with a name, by the store's row.
    pub fn holder(&self, store: &Store, cell: &str) -> Option<usize> {
        let lease = Json::parse(&store.read("shared", "lease", cell)?)?;
        let holder = lease.get("h").text().rsplit_once('~')?.0.to_owned();
        self.names.iter().position(|name| *name == holder)
    }
}

impl Drop for Nodes {
    fn drop(&mut self) {
        for n in 0..self.children.len() {
            self.kill(n);
        }
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

// ------------------------------------------------------------------------------------- checks

/// Breaks of TWICE: overlapping runs of a task, or a start after a `done` that was taken note of.
pub fn twice(runs: &[Run]) -> Vec<String> {
    let mut by_task: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in runs {
        by_task.entry(&run.task).or_default().push(run);
    }
    let mut breaks = Vec::new();
    for (task, runs) in by_task {
        for (n, a) in runs.iter().enumerate() {
            for b in runs.iter().skip(n + 1) {
                let (first, second) = if a.started <= b.started { (a, b) } else { (b, a) };
                let Some((ended, how)) = first.ended else {
                    breaks.push((
                        second.started,
                        format!(
                            "{task}: run {} on {} started at {} while run {} on {} was at work",
                            second.run, second.executor, second.started, first.run, first.executor
                        ),
                    ));
                    continue;
                };
                if second.started < ended {
                    breaks.push((second.started, format!("{task}: run {} on {} started at {} while run {} on {} was at work until {ended} ({how})", second.run, second.executor, second.started, first.run, first.executor)));
                } else if let ("done", Some(noted), false) = (how, first.noted, first.lapsed_since)
                {
                    breaks.push((second.started, format!("{task}: run {} on {} started at {}, after run {} on {} had ended done at {ended}, taken note of at {noted}", second.run, second.executor, second.started, first.run, first.executor)));
                }
            }
        }
    }
    breaks.sort();
    breaks.into_iter().map(|(_, text)| text).collect()
}

/// A route of the configuration.
pub fn route(name: &str, host: &str, prefix: &str, service: &str, attempts: u64) -> String {
    format!(
        "{{\"name\":{name:?},\"host\":{host:?},\"prefix\":{prefix:?},\"service\":{service:?},\"priority\":0,\"maxAttempts\":{attempts},\"stretch\":1.6,\"targetDurationMs\":600,\"timeoutMs\":3000}}"
    )
}

/// The operator's configuration.
pub fn config(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|s| format!("{{\"name\":{s:?},\"admissionCheck\":false,\"healthPath\":\"/health\"}}"))
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxBodyBytes\":262144}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// Connections that an executor serves at a time.
fn connections() -> usize {
    std::env::var("CONNECTIONS").ok().and_then(|text| text.parse().ok()).unwrap_or(64)
}

/// Whether the disruption is left out.
pub fn calm() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}
