//! Log output through fern, one line per numbered event.

use std::{fmt, io};

use fern::Dispatch;
use indexmap::IndexMap;
use log::kv::{self, Key, Value, VisitSource};
use log::{Level, LevelFilter, Record};
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
pub struct OpenError {
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
    /// Starts the log on standard error for the life of the process.
    ///
    /// # Errors
    ///
    /// When a log was started before.
    pub fn open(self) -> Result<(), OpenError> {
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
            .chain(io::stderr())
            .apply()
            .map_err(|source| OpenError { source })
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
