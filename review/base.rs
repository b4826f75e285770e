//! JSON, base64, HTTP and time for the stand-ins; the standard library only.

use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream, ToSocketAddrs};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

static NULL: Json = Json::Null;

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Obj(fields) => fields.iter().find(|(k, _)| k == name).map_or(&NULL, |(_, v)| v),
            _ => &NULL,
        }
    }

    pub fn text(&self) -> &str {
        if let Json::Str(text) = self { text } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Json::Num(n) = self { *n as u64 } else { 0 }
    }

    pub fn is_number(&self) -> bool {
        matches!(self, Json::Num(_))
    }

    pub fn list(&self) -> &[Json] {
        if let Json::Arr(items) = self { items } else { &[] }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        skip(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn write(&self, out: &mut String) {
        match self {
            Json::Null => out.push_str("null"),
            Json::Bool(b) => out.push_str(if *b { "true" } else { "false" }),
            Json::Num(n) if n.fract() == 0.0 => {
                let _ = write!(out, "{}", *n as i64);
            }
            Json::Num(n) => {
                let _ = write!(out, "{n}");
            }
            Json::Str(s) => write_text(s, out),
            Json::Arr(items) => {
                out.push('[');
                for (n, item) in items.iter().enumerate() {
                    if n > 0 {
                        out.push(',');
                    }
                    item.write(out);
                }
                out.push(']');
            }
            Json::Obj(fields) => {
                out.push('{');
                for (n, (name, value)) in fields.iter().enumerate() {
                    if n > 0 {
                        out.push(',');
                    }
                    write_text(name, out);
                    out.push(':');
                    value.write(out);
                }
                out.push('}');
            }
        }
    }

    pub fn to_text(&self) -> String {
        let mut out = String::new();
        self.write(&mut out);
        out
    }
}

fn write_text(text: &str, out: &mut String) {
    out.push('"');
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => {
                let _ = write!(out, "\\u{:04x}", c as u32);
            }
            c => out.push(c),
        }
    }
    out.push('"');
}

fn skip(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(bytes, at);
                match bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Obj(fields));
                    }
                    b',' => *at += 1,
                    b'"' => {
                        let name = parse_text(bytes, at)?;
                        skip(bytes, at);
                        if *bytes.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((name, parse_value(bytes, at)?));
                    }
                    _ => return None,
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(bytes, at);
                match bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::Arr(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(parse_value(bytes, at)?),
                }
            }
        }
        b'"' => parse_text(bytes, at).map(Json::Str),
        b't' => literal(bytes, at, b"true", Json::Bool(true)),
        b'f' => literal(bytes, at, b"false", Json::Bool(false)),
        b'n' => literal(bytes, at, b"null", Json::Null),
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                *at += 1;
            }
            std::str::from_utf8(&bytes[start..*at]).ok()?.parse().ok().map(Json::Num)
        }
    }
}

fn literal(bytes: &[u8], at: &mut usize, word: &[u8], value: Json) -> Option<Json> {
    bytes[*at..].starts_with(word).then(|| {
        *at += word.len();
        value
    })
}

fn parse_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut out = Vec::new();
    loop {
        match *bytes.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                *at += 1;
                let c = match *bytes.get(*at)? {
                    b'n' => '\n',
                    b't' => '\t',
                    b'r' => '\r',
                    b'b' => '\u{8}',
                    b'f' => '\u{c}',
                    b'u' => {
                        let digits = std::str::from_utf8(bytes.get(*at + 1..*at + 5)?).ok()?;
                        *at += 4;
                        char::from_u32(u32::from_str_radix(digits, 16).ok()?).unwrap_or('?')
                    }
                    other => other as char,
                };
                *at += 1;
                let mut buffer = [0; 4];
                out.extend_from_slice(c.encode_utf8(&mut buffer).as_bytes());
            }
            byte => {
                out.push(byte);
                *at += 1;
            }
        }
    }
}

/// Builds an object.
pub fn obj(fields: &[(&str, Json)]) -> Json {
    Json::Obj(fields.iter().map(|(k, v)| ((*k).to_owned(), v.clone())).collect())
}

pub fn s(text: &str) -> Json {
    Json::Str(text.to_owned())
}

pub fn n(number: u64) -> Json {
    Json::Num(number as f64)
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for chunk in bytes.chunks(3) {
        let word =
            chunk.iter().fold(0u32, |w, b| (w << 8) | u32::from(*b)) << (8 * (3 - chunk.len()));
        for n in 0..4 {
            if n <= chunk.len() {
                out.push(ALPHABET[(word >> (18 - 6 * n)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn unbase64(text: &str) -> Vec<u8> {
    let mut out = Vec::with_capacity(text.len() * 3 / 4);
    let (mut word, mut bits) = (0u32, 0);
    for byte in text.bytes() {
        let Some(value) = ALPHABET.iter().position(|a| *a == byte) else { continue };
        word = (word << 6) | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits) as u8);
        }
    }
    out
}

/// A request as a server has read it.
#[derive(Clone)]
pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(k, _)| k.eq_ignore_ascii_case(name)).map_or("", |(_, v)| v)
    }

    pub fn param(&self, name: &str) -> &str {
        self.query.iter().find(|(k, _)| k == name).map_or("", |(_, v)| v)
    }

    pub fn json(&self) -> Json {
        std::str::from_utf8(&self.body).ok().and_then(Json::parse).unwrap_or(Json::Null)
    }
}

/// Answer to a request: status and body.
pub type Answer = (u16, Json);

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let digits = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("");
            if let Ok(byte) = u8::from_str_radix(digits, 16) {
                out.push(byte);
                at += 3;
                continue;
            }
        }
        out.push(bytes[at]);
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A server of HTTP/1.1 with a thread for each connection, which can go down and come up again at
/// the same address.
pub struct Server {
    pub address: String,
    open: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

/// Handles a request; without an answer the connection is closed.
pub type Handler = Arc<dyn Fn(&Request) -> Option<Answer> + Send + Sync>;

impl Server {
    /// Starts a server that takes `limit` connections at a time; further ones wait in its queue.
    pub fn spawn(ip: &str, limit: usize, handler: Handler) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address").to_string();
        let server = Self {
            address: address.clone(),
            open: Arc::new(AtomicBool::new(true)),
            streams: Arc::default(),
        };
        let (open, streams) = (Arc::clone(&server.open), Arc::clone(&server.streams));
        let taken = Arc::new(AtomicUsize::new(0));
        thread::spawn(move || {
            let mut listener = Some(listener);
            loop {
                if !open.load(Ordering::SeqCst) {
                    listener = None;
                    thread::sleep(Duration::from_millis(2));
                    continue;
                }
                if listener.is_none() {
                    listener = TcpListener::bind(&address).ok();
                }
                if taken.load(Ordering::SeqCst) >= limit {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                }
                let Some(socket) = &listener else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = socket.set_nonblocking(true);
                let Ok((stream, _)) = socket.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(copy) = stream.try_clone() {
                    let mut streams = streams.lock().expect("no thread panics");
                    streams.retain(|s| s.peer_addr().is_ok());
                    streams.push(copy);
                }
                let (handler, taken) = (Arc::clone(&handler), Arc::clone(&taken));
                taken.fetch_add(1, Ordering::SeqCst);
                thread::Builder::new()
                    .stack_size(256 << 10)
                    .spawn(move || {
                        serve_connection(stream, &*handler);
                        taken.fetch_sub(1, Ordering::SeqCst);
                    })
                    .expect("a thread starts");
            }
        });
        server
    }

    /// Closes the port and all connections, as the end of a process does.
    pub fn go_down(&self) {
        self.open.store(false, Ordering::SeqCst);
        for stream in self.streams.lock().expect("no thread panics").drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    pub fn come_up(&self) {
        self.open.store(true, Ordering::SeqCst);
    }
}

fn serve_connection(
    stream: TcpStream,
    handler: &(dyn Fn(&Request) -> Option<Answer> + Send + Sync),
) {
    let _ = stream.set_nodelay(true);
    let Ok(mut out) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let Some((status, body)) = handler(&request) else { break };
        let body = if body == Json::Null { String::new() } else { body.to_text() };
        let head = format!(
            "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if out.write_all((head + &body).as_bytes()).is_err() {
            break;
        }
    }
    let _ = out.shutdown(std::net::Shutdown::Both);
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

fn length(headers: &[(String, String)]) -> usize {
    let found = headers.iter().find(|(k, _)| k.eq_ignore_ascii_case("content-length"));
    found.and_then(|(_, v)| v.parse().ok()).unwrap_or(0)
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let (_method, target) = (words.next()?, words.next()?.to_owned());
    let mut body = vec![0; length(&headers)];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| {
        let (k, v) = pair.split_once('=')?;
        Some((decode(k), decode(v)))
    });
    Some(Request { path: path.to_owned(), query: query.collect(), headers, body })
}

/// Sends a request on a connection of its own; none if no whole answer arrives in time.
pub fn call(
    method: &str,
    address: &str,
    path: &str,
    host: &str,
    body: Option<&str>,
    timeout: Duration,
) -> Option<Answer> {
    let deadline = Instant::now() + timeout;
    let target = address.to_socket_addrs().ok()?.next()?;
    let mut stream = TcpStream::connect_timeout(&target, timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    let body = body.unwrap_or("");
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         Deadline-Remaining-Ms: {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        timeout.as_millis(),
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    let left = deadline.checked_duration_since(Instant::now())?;
    stream.set_read_timeout(Some(left)).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let mut text = vec![0; length(&headers)];
    reader.read_exact(&mut text).ok()?;
    let json = std::str::from_utf8(&text).ok().and_then(Json::parse).unwrap_or(Json::Null);
    Some((status, json))
}
