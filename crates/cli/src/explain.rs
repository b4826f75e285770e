//! Tells the story of one job from the log lines of many processes.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::path::PathBuf;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::error::{Error, ReadSnafu};
use crate::print;

/// Lines of a job that are kept at most; a job's own lines are far fewer.
const KEPT: usize = 20_000;
/// Longest line that is read, in bytes; longer ones are no lines of ours.
const LINE: usize = 64 << 10;

/// One log line, as the processes write it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Wall clock of the process, in milliseconds since 1970.
    pub at_ms: u64,
    /// Number and name of the event.
    pub message: String,
    /// Details by name.
    #[serde(default)]
    pub fields: IndexMap<String, String>,
    /// What stood before the line, such as the process's name, or the file.
    #[serde(default)]
    pub source: String,
}

/// What was found of a job.
#[derive(Debug, Default, Serialize)]
pub struct Story {
    /// Lines in the order of their times.
    pub lines: Vec<Line>,
    /// Lines that could not be read.
    pub torn: u64,
    /// Lines of the job beyond those kept.
    pub beyond: u64,
    /// What became of the job, and why.
    pub cause: String,
}

impl Line {
    fn event(&self) -> &str {
        self.message.split_once(' ').map_or(self.message.as_str(), |(_, name)| name)
    }

    fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    fn concerns(&self, id: &str) -> bool {
        self.field("job") == id
            || ["task", "step"]
                .iter()
                .any(|name| self.field(name).split('.').next().is_some_and(|job| job == id))
    }
}

impl Story {
    /// Takes in the lines of one log; `source` names it where the lines do not.
    pub fn read(&mut self, mut log: impl BufRead, source: &str, id: &str) -> io::Result<()> {
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
            let start = text.find('{').filter(|_| text.len() <= LINE);
            let line = start.and_then(|n| serde_json::from_str::<Line>(text[n..].trim()).ok());
            let Some(mut line) = line else {
                self.torn += 1;
                continue;
            };
            if !line.concerns(id) {
                continue;
            }
            if self.lines.len() >= KEPT {
                self.beyond += 1;
                continue;
            }
            let before = text[..start.unwrap_or(0)].split_whitespace().last().unwrap_or(source);
            line.source = before.to_owned();
            self.lines.push(line);
        }
    }

    /// Orders the lines and finds the cause.
    pub fn finish(&mut self) {
        self.lines.sort_by_key(|line| line.at_ms);
        self.cause = cause(&self.lines);
    }
}

/// What became of a job, in a sentence.
fn cause(lines: &[Line]) -> String {
    let of = |name: &'static str| lines.iter().filter(move |line| line.event() == name);
    let mut ends: BTreeMap<&str, usize> = BTreeMap::new();
    for line in of("run-ended") {
        *ends.entry(line.field("how")).or_default() += 1;
    }
    let ends: Vec<String> = ends.iter().map(|(how, count)| format!("{count} {how}")).collect();
    let runs = format!(
        "{} starts{}",
        of("start-sent").count(),
        if ends.is_empty() { String::new() } else { format!(", of them {}", ends.join(", ")) }
    );
    let accepted = of("job-accepted").next();
    let since = |line: &Line| {
        accepted.map_or_else(String::new, |first| {
            format!(" {} ms after it was accepted", line.at_ms.saturating_sub(first.at_ms))
        })
    };
    if let Some(end) = of("job-ended").next_back() {
        let wait = of("start-sent")
            .next()
            .map_or_else(String::new, |start| format!(", first start{}", since(start)));
        let last = of("run-ended").rfind(|line| line.field("how") == "failed");
        let blame = match last {
            Some(line) if end.field("state") == "failed" => {
                format!("; the last failed run was on {}", line.field("executor"))
            }
            _ => String::new(),
        };
        return format!("{}{} ({runs}{wait}{blame})", end.field("state"), since(end));
    }
    if accepted.is_some() || of("start-sent").next().is_some() {
        return format!("accepted, no end is logged ({runs})");
    }
    if of("write-unsettled").next().is_some() {
        return "not known: the table's answer was lost and came in no later try".to_owned();
    }
    match of("job-refused").next_back() {
        Some(line) if line.field("why") == "load" => format!(
            "refused, it would have come too late: backlog {} against room {}, seen {} ms before",
            line.field("backlog"),
            line.field("room"),
            line.field("load_age_ms")
        ),
        Some(line) => format!(
            "refused: {}, last heard {} ms before",
            line.field("why"),
            line.field("table_age_ms")
        ),
        None => match of("state-unread").next_back() {
            Some(line) => format!(
                "its state could not be read, the table was last heard {} ms before",
                line.field("table_age_ms")
            ),
            None => "not in these logs".to_owned(),
        },
    }
}

/// Reads logs, or standard input when none is named, and prints a job's story.
pub fn show(id: &str, logs: &[PathBuf], json: bool) -> Result<(), Error> {
    let mut story = Story::default();
    if logs.is_empty() {
        story.read(io::stdin().lock(), "", id).context(ReadSnafu { file: "standard input" })?;
    }
    for log in logs {
        let name = log.display().to_string();
        let file = File::open(log).context(ReadSnafu { file: &name })?;
        story.read(BufReader::new(file), &name, id).context(ReadSnafu { file: &name })?;
    }
    story.finish();
    if json {
        print::json(&story);
        return Ok(());
    }
    let mut out = io::stdout().lock();
    // A reader that closes the pipe early wants no more.
    let _ = tell(&mut out, id, &story);
    Ok(())
}

fn tell(out: &mut impl Write, id: &str, story: &Story) -> io::Result<()> {
    let first = story.lines.first().map_or(0, |line| line.at_ms);
    for line in &story.lines {
        write!(out, "{:>8} ms {:<24} {}", line.at_ms - first, line.source, line.message)?;
        for (name, value) in &line.fields {
            write!(out, " {name}={value}")?;
        }
        writeln!(out)?;
    }
    if story.torn + story.beyond > 0 {
        writeln!(out, "left out: {} torn lines, {} beyond the limit", story.torn, story.beyond)?;
    }
    writeln!(out, "{id}: {}", story.cause)
}

#[cfg(test)]
#[path = "../tests/unit/explain.rs"]
mod tests;
