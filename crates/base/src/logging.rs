//! Log output through fern, one line per numbered event.
//!
//! Lines go to standard output through a bounded queue: a reader that is slow or gone costs lines,
//! which are counted, and never time.

use std::fmt;
use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, SyncSender};
use std::thread;
use std::time::Duration;

use fern::Dispatch;
use indexmap::IndexMap;
use log::kv::{self, Key, Value, VisitSource};
use log::{Level, LevelFilter, Log, Metadata, Record};
use serde::Serialize;
use snafu::Snafu;

use crate::event::Event;

/// Target that marks numbered events.
const EVENT_TARGET: &str = "event";

/// Settings of the log.
#[derive(Debug, Clone, Copy)]
pub struct Logging {
    /// Whether lines are JSON objects.
    pub json: bool,
    /// Least level that is written.
    pub level: LevelFilter,
}

impl Default for Logging {
    fn default() -> Self {
        Self { json: false, level: LevelFilter::Info }
    }
}

/// The log could not be started.
#[derive(Debug, Snafu)]
#[snafu(display("the log is already open: {source}"))]
pub struct InitError {
    source: log::SetLoggerError,
}

/// One line of the JSON log.
#[derive(Serialize)]
struct Line<'a> {
    at_ms: u64,
    level: &'a str,
    target: &'a str,
    message: String,
    #[serde(skip_serializing_if = "IndexMap::is_empty")]
    fields: IndexMap<String, String>,
}

impl Logging {
    /// Starts the log on standard output for the life of the process.
    ///
    /// # Errors
    ///
    /// When a log was started before.
    pub fn init(self) -> Result<(), InitError> {
        let json = self.json;
        Dispatch::new()
            .level(self.level)
            .level_for("tarpc", LevelFilter::Error)
            .level_for("actix_server", LevelFilter::Warn)
            .format(move |out, message, record| {
                let (at_ms, level) = (crate::timeline::wall_ms(), record.level());
                let fields = fields(record);
                if json {
                    let (message, target) = (message.to_string(), record.target());
                    let line = Line { at_ms, level: level.as_str(), target, message, fields };
                    out.finish(format_args!(
                        "{}",
                        serde_json::to_string(&line).unwrap_or_default()
                    ));
                } else {
                    out.finish(format_args!("{at_ms} {level} {message}{}", Pairs(&fields)));
                }
            })
            .chain(Box::new(Bounded::spawn(Box::new(io::stdout()))) as Box<dyn Log>)
            .apply()
            .map_err(|source| InitError { source })
    }
}

/// Lines that wait for the writer at most; some seconds of the usual volume.
const QUEUE: usize = 4_096;
/// Time between two writes, in milliseconds, so that lines share a write.
const BATCH: u64 = 25;
/// Longest wait for the queue to become empty at the end of the process, in milliseconds.
const FLUSH: u64 = 300;

/// What goes through the queue.
enum Item {
    Line(String),
    Flush(SyncSender<()>),
}

/// A log that never waits for its reader.
pub(crate) struct Bounded {
    queue: SyncSender<Item>,
    dropped: Arc<AtomicU64>,
}

impl Bounded {
    /// Starts the thread that writes.
    pub(crate) fn spawn(out: Box<dyn Write + Send>) -> Self {
        let (queue, items) = mpsc::sync_channel(QUEUE);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped);
        thread::spawn(move || write_out(&items, &counter, out));
        Self { queue, dropped }
    }
}

impl Log for Bounded {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        if self.queue.try_send(Item::Line(record.args().to_string())).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {
        let (done, wait) = mpsc::sync_channel(1);
        if self.queue.try_send(Item::Flush(done)).is_ok() {
            // A reader that does not read in time loses the rest.
            let _ = wait.recv_timeout(Duration::from_millis(FLUSH));
        }
    }
}

/// Writes lines as they come; a reader that is gone is no reason to end.
fn write_out(items: &Receiver<Item>, dropped: &AtomicU64, mut out: Box<dyn Write + Send>) {
    while let Ok(first) = items.recv() {
        thread::sleep(Duration::from_millis(BATCH));
        let (mut text, mut waiting) = (String::new(), Vec::new());
        for item in std::iter::once(first).chain(items.try_iter()) {
            match item {
                Item::Line(line) => {
                    text.push_str(&line);
                    text.push('\n');
                }
                Item::Flush(done) => waiting.push(done),
            }
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            text.push_str(&format!("{{\"message\":\"lines dropped\",\"count\":{lost}}}\n"));
        }
        let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
        for done in waiting {
            let _ = done.send(());
        }
    }
}

/// Fields in the human form.
struct Pairs<'a>(&'a IndexMap<String, String>);

impl fmt::Display for Pairs<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|(name, value)| write!(f, " {name}={value:?}"))
    }
}

/// Collects the fields of a log record.
struct Fields(IndexMap<String, String>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

fn fields(record: &Record<'_>) -> IndexMap<String, String> {
    let mut fields = Fields(IndexMap::new());
    // Collecting into a map can't fail.
    let _ = record.key_values().visit(&mut fields);
    fields.0
}

/// Writes a numbered event with its fields.
pub(crate) fn write(event: Event, fields: &IndexMap<String, String>) {
    let pairs: Vec<(&str, &str)> =
        fields.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
    let pairs = pairs.as_slice();
    log::logger().log(
        &Record::builder()
            .args(format_args!("E{} {event}", event.number()))
            .level(Level::Info)
            .target(EVENT_TARGET)
            .key_values(&pairs)
            .build(),
    );
}

#[cfg(test)]
#[path = "../tests/unit/logging.rs"]
mod tests;
