//! Command that summarises from the log lines of many processes how jobs were served.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::PathBuf;

use indexmap::IndexMap;
use serde::Serialize;
use snafu::ResultExt;

use crate::error::{Error, ReadFileSnafu};
use crate::explain::LogLine;
use crate::print;

/// Maximum number of jobs that are kept; later ones are left out and counted.
const MAX_JOBS: usize = 1_000_000;

/// What the logs tell of one job.
#[derive(Debug, Default)]
struct JobRecord {
    group: (String, String),
    accepted: bool,
    refused: bool,
    /// `in-time`, `late` or `none`; empty while no end is logged.
    result: String,
    /// Time from the first request to the first start, in milliseconds.
    wait: Option<u64>,
}

/// Jobs of one queue and organisation.
#[derive(Debug, Default, PartialEq, Eq, Serialize)]
pub struct Group {
    /// Jobs that were accepted, also after a refusal.
    pub accepted: u64,
    /// Accepted jobs that ended in time.
    pub in_time: u64,
    /// Accepted jobs that were completed late.
    pub late: u64,
    /// Accepted jobs that failed, were cancelled or have no logged end.
    pub unserved: u64,
    /// Jobs that were refused and not accepted later.
    pub refused: u64,
    /// Median time from the first request to the first start, in milliseconds.
    pub median_wait_ms: u64,
    /// The time that nine tenths of the waits do not exceed, in milliseconds.
    pub most_wait_ms: u64,
}

/// Jobs of the logs by id.
#[derive(Debug, Default)]
pub struct ServiceReport {
    jobs: IndexMap<String, JobRecord>,
    omitted: u64,
}

impl ServiceReport {
    /// Adds the lines of one log; lines of other events are skipped.
    pub fn read_log(&mut self, mut log: impl BufRead) -> io::Result<()> {
        let mut text = Vec::new();
        loop {
            text.clear();
            if log.read_until(b'\n', &mut text)? == 0 {
                return Ok(());
            }
            let text = String::from_utf8_lossy(&text);
            let Some(start) = text.find('{').filter(|_| text.contains(" job-")) else { continue };
            if let Ok(line) = serde_json::from_str::<LogLine>(text[start..].trim()) {
                self.add(&line);
            }
        }
    }

    fn add(&mut self, line: &LogLine) {
        let event = line.event();
        if !matches!(event, "job-accepted" | "job-refused" | "job-ended") {
            return;
        }
        let id = line.field("job");
        if !self.jobs.contains_key(id) && self.jobs.len() >= MAX_JOBS {
            self.omitted += 1;
            return;
        }
        let job = self.jobs.entry(id.to_owned()).or_default();
        job.group = (line.field("queue").to_owned(), line.field("organisation").to_owned());
        match event {
            "job-accepted" => job.accepted = true,
            "job-refused" => job.refused = true,
            _ => {
                // The line about its acceptance may be lost; only accepted jobs end.
                job.accepted = true;
                line.field("result").clone_into(&mut job.result);
                job.wait = line.field("first_start_ms").parse().ok();
            }
        }
    }

    /// Summarises the jobs by queue and organisation.
    pub fn groups(&self) -> BTreeMap<(&str, &str), Group> {
        let mut groups: BTreeMap<(&str, &str), (Group, Vec<u64>)> = BTreeMap::new();
        for job in self.jobs.values() {
            let (queue, organisation) = &job.group;
            let (group, waits) = groups.entry((queue, organisation)).or_default();
            group.accepted += u64::from(job.accepted);
            group.refused += u64::from(job.refused && !job.accepted);
            match job.result.as_str() {
                "in-time" => group.in_time += 1,
                "late" => group.late += 1,
                _ => group.unserved += u64::from(job.accepted),
            }
            waits.extend(job.wait);
        }
        let summary = |(key, (group, mut waits)): (_, (Group, Vec<u64>))| {
            waits.sort_unstable();
            let at = |percent: usize| {
                let last = waits.len().saturating_sub(1);
                waits.get(last * percent / 100).copied().unwrap_or(0)
            };
            (key, Group { median_wait_ms: at(50), most_wait_ms: at(90), ..group })
        };
        groups.into_iter().map(summary).collect()
    }
}

/// Reads logs, or the standard input if none is given, and prints the summary.
pub fn show(logs: &[PathBuf], json: bool) -> Result<(), Error> {
    let mut report = ServiceReport::default();
    if logs.is_empty() {
        report.read_log(io::stdin().lock()).context(ReadFileSnafu { file: "standard input" })?;
    }
    for log in logs {
        let name = log.display().to_string();
        let file = File::open(log).context(ReadFileSnafu { file: &name })?;
        report.read_log(BufReader::new(file)).context(ReadFileSnafu { file: &name })?;
    }
    if json {
        let groups: BTreeMap<String, Group> = report
            .groups()
            .into_iter()
            .map(|((q, o), group)| (format!("{q}/{o}"), group))
            .collect();
        print::json(&groups);
        return Ok(());
    }
    let headings = [
        "queue",
        "organisation",
        "accepted",
        "in time",
        "late",
        "unserved",
        "refused",
        "% in time",
        "median wait ms",
        "90 % wait ms",
    ];
    let row = |((queue, organisation), group): (&(&str, &str), &Group)| {
        let share = (group.in_time * 100).checked_div(group.accepted);
        let numbers = [group.accepted, group.in_time, group.late, group.unserved, group.refused];
        let mut cells = vec![(*queue).to_owned(), (*organisation).to_owned()];
        cells.extend(numbers.iter().map(ToString::to_string));
        cells.push(share.map_or_else(|| "-".to_owned(), |share| share.to_string()));
        cells.push(group.median_wait_ms.to_string());
        cells.push(group.most_wait_ms.to_string());
        cells
    };
    let groups = report.groups();
    print::table(&headings, &groups.iter().map(row).collect::<Vec<_>>());
    if report.omitted > 0 {
        println!("left out: {} lines of jobs beyond the limit", report.omitted);
    }
    Ok(())
}

#[cfg(test)]
#[path = "../tests/unit/service.rs"]
mod tests;
