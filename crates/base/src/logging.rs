//! Log output on standard output, as text or JSON lines.
//!
//! A bounded queue and a writer thread keep log calls from blocking. When standard output is read
//! too slowly or not at all, lines are dropped and counted instead.

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

/// Log target of numbered events.
const EVENT_TARGET: &str = "event";

/// Settings of the log output.
#[derive(Debug, Clone, Copy)]
pub struct Logging {
    /// Whether each line is a JSON object instead of text.
    pub json: bool,
    /// Least severe level that is written.
    pub level: LevelFilter,
}

impl Default for Logging {
    fn default() -> Self {
        Self { json: false, level: LevelFilter::Info }
    }
}

/// Error of [`Logging::init`] when a logger is already installed.
#[derive(Debug, Snafu)]
#[snafu(display("can't install the logger: {source}"))]
pub struct InitError {
    source: log::SetLoggerError,
}

/// Line of the JSON log; its keys are the field names.
#[derive(Serialize)]
struct JsonLine<'a> {
    at_ms: u64,
    level: &'a str,
    target: &'a str,
    message: String,
    #[serde(skip_serializing_if = "IndexMap::is_empty")]
    fields: IndexMap<String, String>,
}

impl Logging {
    /// Installs the process-wide logger, which writes to standard output.
    ///
    /// # Errors
    ///
    /// Returns an error if a logger is already installed.
    pub fn init(self) -> Result<(), InitError> {
        let json = self.json;
        Dispatch::new()
            .level(self.level)
            .level_for("tarpc", LevelFilter::Error)
            .level_for("actix_server", LevelFilter::Warn)
            .format(move |out, message, record| {
                let (at_ms, level) = (crate::timeline::wall_ms(), record.level());
                let fields = collect_fields(record);
                if json {
                    let (message, target) = (message.to_string(), record.target());
                    let line = JsonLine { at_ms, level: level.as_str(), target, message, fields };
                    out.finish(format_args!(
                        "{}",
                        serde_json::to_string(&line).unwrap_or_default()
                    ));
                } else {
                    out.finish(format_args!("{at_ms} {level} {message}{}", TextFields(&fields)));
                }
            })
            .chain(Box::new(QueuedLog::spawn(Box::new(io::stdout()))) as Box<dyn Log>)
            .apply()
            .map_err(|source| InitError { source })
    }
}

/// Maximum number of queued lines, several seconds of the usual volume.
const QUEUE_CAPACITY: usize = 4_096;
/// Delay before each write, in milliseconds, so that several lines share a write.
const WRITE_DELAY_MS: u64 = 25;
/// Maximum time that a flush at process exit waits for the queue to empty, in milliseconds.
const FLUSH_TIMEOUT_MS: u64 = 300;

/// Item of the queue to the writer thread.
enum QueueItem {
    /// Formatted line without its line break.
    Line(String),
    /// Request for a signal once all lines queued before are written.
    Flush(SyncSender<()>),
}

/// Logger whose calls never block on its output; it drops lines while the queue is full.
pub(crate) struct QueuedLog {
    queue: SyncSender<QueueItem>,
    /// Lines dropped since the writer thread last reported them.
    dropped: Arc<AtomicU64>,
}

impl QueuedLog {
    /// Starts the writer thread for an output.
    pub(crate) fn spawn(out: Box<dyn Write + Send>) -> Self {
        let (queue, items) = mpsc::sync_channel(QUEUE_CAPACITY);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped);
        thread::spawn(move || run_writer(&items, &counter, out));
        Self { queue, dropped }
    }
}

impl Log for QueuedLog {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        if self.queue.try_send(QueueItem::Line(record.args().to_string())).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {
        let (done, written) = mpsc::sync_channel(1);
        if self.queue.try_send(QueueItem::Flush(done)).is_ok() {
            // After the time limit, lines that are still queued are lost when the process exits.
            let _ = written.recv_timeout(Duration::from_millis(FLUSH_TIMEOUT_MS));
        }
    }
}

/// Writes queued lines in batches until the queue is closed.
///
/// A failed write, such as to a closed pipe, does not end the thread.
fn run_writer(items: &Receiver<QueueItem>, dropped: &AtomicU64, mut out: Box<dyn Write + Send>) {
    while let Ok(first) = items.recv() {
        thread::sleep(Duration::from_millis(WRITE_DELAY_MS));
        let (mut text, mut flushes) = (String::new(), Vec::new());
        for item in std::iter::once(first).chain(items.try_iter()) {
            match item {
                QueueItem::Line(line) => {
                    text.push_str(&line);
                    text.push('\n');
                }
                QueueItem::Flush(done) => flushes.push(done),
            }
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            text.push_str(&format!("{{\"message\":\"lines dropped\",\"count\":{count}}}\n"));
        }
        let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
        for done in flushes {
            let _ = done.send(());
        }
    }
}

/// Displays the fields of a text line, each as ` name="value"` with the value escaped.
struct TextFields<'a>(&'a IndexMap<String, String>);

impl fmt::Display for TextFields<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|(name, value)| write!(f, " {name}={value:?}"))
    }
}

/// Visitor that collects the fields of a log record.
struct FieldCollector(IndexMap<String, String>);

impl<'kvs> VisitSource<'kvs> for FieldCollector {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

fn collect_fields(record: &Record<'_>) -> IndexMap<String, String> {
    let mut collector = FieldCollector(IndexMap::new());
    // Inserting into a map can't fail.
    let _ = record.key_values().visit(&mut collector);
    collector.0
}

/// Logs a numbered event with its fields.
pub(crate) fn write_event(event: Event, fields: &IndexMap<String, String>) {
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
