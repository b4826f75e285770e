//! The time line over all processes.

use base::admin::Status;
use base::timeline::{TimelineEntry, sort};
use futures_util::future::join_all;

use crate::call::Control;
use crate::error::Error;
use crate::print;

/// Shows the events of all processes that can be reached.
pub async fn show(control: &Control, filter: Option<&str>, json: bool) -> Result<(), Error> {
    let status: Status = control.get("/status").await?;
    let mut entries: Vec<TimelineEntry> = control.get("/timeline").await?;
    let others = status.members.iter().map(|member| async {
        let found: Result<Vec<TimelineEntry>, Error> =
            Control::at(member.admin).get("/timeline").await;
        (member.name.as_str(), found)
    });
    for (name, found) in join_all(others).await {
        match found {
            Ok(found) => entries.extend(found),
            Err(error) => eprintln!("jtally: events of {name} are missing: {error}"),
        }
    }
    sort(&mut entries);
    entries.retain(|entry| filter.is_none_or(|text| line(entry).contains(text)));
    if json {
        print::json(&entries);
    } else {
        entries.iter().for_each(|entry| println!("{}", line(entry)));
    }
    Ok(())
}

fn line(entry: &TimelineEntry) -> String {
    let TimelineEntry { clock, at_ms, process, number, event, fields } = entry;
    let mut line = format!("{clock:>6} {at_ms} {process:<12} E{number} {event}");
    for (name, value) in fields {
        line.push_str(&format!(" {name}={value:?}"));
    }
    line
}
