//! Following the rows of a table that others write.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use crate::context::{Context, pause};
use crate::ports::{Place, ReadError, Row};

/// How long the table may wait for a change before it answers, in milliseconds; short enough that
/// a connection that has gone silent is found well within the bound for changes.
const WAIT: u64 = 800;
/// Pause after a failed read, in milliseconds.
const RETRY: u64 = 150;
/// Rows in one read.
const PAGE: usize = 500;

/// Reads all rows of a part from a key on; gives them with the version of the first page.
pub(crate) async fn read_all(ctx: &Context, from: Place) -> Result<(Vec<Row>, u64), ReadError> {
    let (mut all, mut version, mut from) = (Vec::new(), None, from);
    loop {
        let page = ctx.ports.store.read(&from, PAGE).await?;
        ctx.record_page_clock(&page);
        version.get_or_insert(page.version);
        let last = page.rows.last().map(|row| row.place.key.clone());
        all.extend(page.rows);
        match last {
            // The next key in order is the last one with a zero byte after it.
            Some(last) if page.more => from.key = format!("{last}\0"),
            _ => return Ok((all, version.unwrap_or(0))),
        }
    }
}

/// Follows a table whose rows are all in one part, for as long as `go` says, and hands over each row:
/// first all that are there, then all that change. Rows that vanish while the history is lost are
/// handed over without value.
pub(crate) async fn follow(
    ctx: Rc<Context>,
    (table, part): (String, &str),
    gap: u64,
    go: impl Fn() -> bool,
    mut take: impl FnMut(&Row),
    mut whole: impl FnMut(),
) {
    let mut known: HashSet<Place> = HashSet::new();
    let mut version = None;
    while go() {
        let Some(after) = version else {
            match read_all(&ctx, Place::new(&table, part, "")).await {
                Ok((rows, at)) => {
                    ctx.record_table_call(false, &table);
                    let now: HashSet<Place> = rows.iter().map(|row| row.place.clone()).collect();
                    for place in known.difference(&now) {
                        take(&Row { place: place.clone(), version: at, value: None });
                    }
                    rows.iter().for_each(&mut take);
                    whole();
                    known = now;
                    version = Some(at);
                }
                Err(error) => {
                    ctx.record_table_call(true, &error.to_string());
                    pause(RETRY).await;
                }
            }
            continue;
        };
        let wait = Duration::from_millis(WAIT);
        match ctx.ports.store.feed(&table, after, wait).await {
            Ok(page) => {
                ctx.record_table_call(false, &table);
                ctx.record_page_clock(&page);
                for row in page.rows.iter().filter(|row| row.version > after) {
                    if row.value.is_some() {
                        known.insert(row.place.clone());
                    } else {
                        known.remove(&row.place);
                    }
                    take(row);
                }
                // A page that ends early is continued from its last row.
                let last = page.rows.last().map_or(page.version, |row| row.version);
                version = Some(after.max(if page.more { last } else { page.version.max(last) }));
                pause(gap).await;
            }
            Err(ReadError::HistoryDropped) => {
                ctx.timeline.record(base::Event::HistoryLost, &[("table", &table)]);
                version = None;
            }
            Err(error) => {
                ctx.record_table_call(true, &error.to_string());
                pause(RETRY).await;
            }
        }
    }
}
