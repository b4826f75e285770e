//! Command that explains one job from the log lines of many processes.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::path::PathBuf;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::error::{Error, ReadFileSnafu};
use crate::print;

/// Maximum number of log lines kept for a job; a job normally has far fewer.
const MAX_LINES: usize = 20_000;
/// Maximum length of a log line; longer lines were not written by this project's processes.
const MAX_LINE_BYTES: usize = 64 << 10;

/// Log line in the JSON format that the processes write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogLine {
    /// Wall clock of the process, in milliseconds since 1970.
    pub at_ms: u64,
    /// Number and name of the event.
    pub message: String,
    /// Fields of the event by name.
    #[serde(default)]
    pub fields: IndexMap<String, String>,
    /// Origin: the last word before the JSON object, such as a process name, or else the file.
    #[serde(default)]
    pub source: String,
}

/// Log lines of a job and the outcome found in them.
#[derive(Debug, Default, Serialize)]
pub struct JobReport {
    /// Log lines of the job, sorted by time.
    pub lines: Vec<LogLine>,
    /// Number of lines with the job's id that could not be parsed.
    #[serde(rename = "torn")]
    pub unparsed: u64,
    /// Number of lines of the job that exceed the maximum and are left out.
    #[serde(rename = "beyond")]
    pub omitted: u64,
    /// Outcome of the job and its reason, in one sentence.
    #[serde(rename = "cause")]
    pub outcome: String,
}

impl LogLine {
    /// Returns the name of the event, which follows its number in the message.
    pub(crate) fn event(&self) -> &str {
        self.message.split_once(' ').map_or(self.message.as_str(), |(_, name)| name)
    }

    /// Returns a field, or an empty text if there is none.
    pub(crate) fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    /// Returns whether the line names the job itself, or one of its tasks or steps.
    fn concerns(&self, id: &str) -> bool {
        self.field("job") == id
            || ["task", "step"]
                .iter()
                .any(|name| self.field(name).split('.').next().is_some_and(|job| job == id))
    }
}

impl JobReport {
    /// Adds the job's lines from one log.
    ///
    /// `source` is the origin of lines that have no prefix of their own.
    pub fn read_log(&mut self, mut log: impl BufRead, source: &str, id: &str) -> io::Result<()> {
        let mut text = Vec::new();
        loop {
            text.clear();
            if log.read_until(b'\n', &mut text)? == 0 {
                return Ok(());
            }
            let text = String::from_utf8_lossy(&text);
            if !text.contains(id) {
                continue;
            }
            let start = text.find('{').filter(|_| text.len() <= MAX_LINE_BYTES);
            let line = start.and_then(|n| serde_json::from_str::<LogLine>(text[n..].trim()).ok());
            let Some(mut line) = line else {
                self.unparsed += 1;
                continue;
            };
            if !line.concerns(id) {
                continue;
            }
            if self.lines.len() >= MAX_LINES {
                self.omitted += 1;
                continue;
            }
            let source = text[..start.unwrap_or(0)].split_whitespace().last().unwrap_or(source);
            line.source = source.to_owned();
            self.lines.push(line);
        }
    }

    /// Sorts the lines and determines the outcome.
    pub fn finish(&mut self) {
        self.lines.sort_by_key(|line| line.at_ms);
        self.outcome = describe_outcome(&self.lines);
    }
}

/// Describes the outcome of a job and its reason in one sentence.
fn describe_outcome(lines: &[LogLine]) -> String {
    let events = |name: &'static str| lines.iter().filter(move |line| line.event() == name);
    let mut run_counts: BTreeMap<&str, usize> = BTreeMap::new();
    for line in events("run-ended") {
        *run_counts.entry(line.field("how")).or_default() += 1;
    }
    let run_counts: Vec<String> =
        run_counts.iter().map(|(how, count)| format!("{count} {how}")).collect();
    let runs = format!(
        "{} starts{}",
        events("start-sent").count(),
        if run_counts.is_empty() {
            String::new()
        } else {
            format!(", of them {}", run_counts.join(", "))
        }
    );
    let accepted = events("job-accepted").next();
    let delay = |line: &LogLine| {
        accepted.map_or_else(String::new, |accepted| {
            format!(" {} ms after it was accepted", line.at_ms.saturating_sub(accepted.at_ms))
        })
    };
    if let Some(end) = events("job-ended").next_back() {
        let first_start = events("start-sent")
            .next()
            .map_or_else(String::new, |start| format!(", first start{}", delay(start)));
        let failed_run = events("run-ended").rfind(|line| line.field("how") == "failed");
        let last_failure = match failed_run {
            Some(line) if end.field("state") == "failed" => {
                format!("; the last failed run was on {}", line.field("executor"))
            }
            _ => String::new(),
        };
        return format!("{}{} ({runs}{first_start}{last_failure})", end.field("state"), delay(end));
    }
    if accepted.is_some() || events("start-sent").next().is_some() {
        return format!("accepted, no end is logged ({runs})");
    }
    if events("write-unsettled").next().is_some() {
        return "not known: the table's answer was lost and came in no later try".to_owned();
    }
    match events("job-refused").next_back() {
        Some(line) if line.field("why") == "load" => format!(
            "refused, it would have come too late: backlog {} against room {}, seen {} ms before",
            line.field("backlog"),
            line.field("room"),
            line.field("load_age_ms")
        ),
        Some(line) if line.field("why") == "size" => {
            "refused: a task is larger than each executor of the pool".to_owned()
        }
        Some(line) if line.field("why") == "limit" => {
            "refused: a task is larger than its organisation's limit".to_owned()
        }
        Some(line) => format!(
            "refused: {}, last heard {} ms before",
            line.field("why"),
            line.field("table_age_ms")
        ),
        None => match events("state-unread").next_back() {
            Some(line) => format!(
                "its state could not be read, the table was last heard {} ms before",
                line.field("table_age_ms")
            ),
            None => "not in these logs".to_owned(),
        },
    }
}

/// Reads logs, or the standard input if none is given, and prints the report on a job.
pub fn show(id: &str, logs: &[PathBuf], json: bool) -> Result<(), Error> {
    let mut report = JobReport::default();
    if logs.is_empty() {
        report
            .read_log(io::stdin().lock(), "", id)
            .context(ReadFileSnafu { file: "standard input" })?;
    }
    for log in logs {
        let name = log.display().to_string();
        let file = File::open(log).context(ReadFileSnafu { file: &name })?;
        report.read_log(BufReader::new(file), &name, id).context(ReadFileSnafu { file: &name })?;
    }
    report.finish();
    if json {
        print::json(&report);
        return Ok(());
    }
    let mut out = io::stdout().lock();
    // A write fails if the reader closes the pipe early, and then no more output is needed.
    let _ = write_report(&mut out, id, &report);
    Ok(())
}

/// Writes the report as text, with times relative to the first line.
fn write_report(out: &mut impl Write, id: &str, report: &JobReport) -> io::Result<()> {
    let first = report.lines.first().map_or(0, |line| line.at_ms);
    for line in &report.lines {
        write!(out, "{:>8} ms {:<24} {}", line.at_ms - first, line.source, line.message)?;
        for (name, value) in &line.fields {
            write!(out, " {name}={value}")?;
        }
        writeln!(out)?;
    }
    if report.unparsed + report.omitted > 0 {
        writeln!(
            out,
            "left out: {} torn lines, {} beyond the limit",
            report.unparsed, report.omitted
        )?;
    }
    writeln!(out, "{id}: {}", report.outcome)
}

#[cfg(test)]
#[path = "../tests/unit/explain.rs"]
mod tests;
