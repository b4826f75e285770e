//! Command that shows the timeline of all processes.

use base::admin::Status;
use base::timeline::{TimelineEntry, sort};
use futures_util::future::join_all;

use crate::call::ControlClient;
use crate::error::Error;
use crate::print;

/// Shows the events of all processes, causes before effects.
///
/// Prints a warning for each process that can't be reached.
pub async fn show(client: &ControlClient, filter: Option<&str>, json: bool) -> Result<(), Error> {
    let status: Status = client.get("/status").await?;
    let mut entries: Vec<TimelineEntry> = client.get("/timeline").await?;
    let others = status.members.iter().map(|member| async {
        let result: Result<Vec<TimelineEntry>, Error> =
            ControlClient::new(member.admin).get("/timeline").await;
        (member.name.as_str(), result)
    });
    for (name, result) in join_all(others).await {
        match result {
            Ok(events) => entries.extend(events),
            Err(error) => eprintln!("jtally: events of {name} are missing: {error}"),
        }
    }
    sort(&mut entries);
    entries.retain(|entry| filter.is_none_or(|text| format_entry(entry).contains(text)));
    if json {
        print::json(&entries);
    } else {
        entries.iter().for_each(|entry| println!("{}", format_entry(entry)));
    }
    Ok(())
}

/// Formats an event as one line.
fn format_entry(entry: &TimelineEntry) -> String {
    let TimelineEntry { clock, at_ms, process, number, event, fields } = entry;
    let mut line = format!("{clock:>6} {at_ms} {process:<12} E{number} {event}");
    for (name, value) in fields {
        line.push_str(&format!(" {name}={value:?}"));
    }
    line
}
