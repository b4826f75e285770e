//! Watching tables that other processes write.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::try_join_all;
use indexmap::IndexMap;
use serde::de::DeserializeOwned;

use crate::clock;
use crate::context::{Context, pause};
use crate::ports::{Page, Place, ReadError, Row};
use crate::rows;

/// Longest time for which the table may wait for a change before it responds, in milliseconds.
///
/// It is short enough to detect a dead connection well within the time in which a change has to
/// take effect.
const FEED_WAIT_MS: u64 = 800;
/// Pause after a failed read, in milliseconds.
const RETRY_PAUSE_MS: u64 = 150;
/// Largest number of rows in one read.
const PAGE_ROWS: usize = 500;

/// Reads all rows of a part from a key on, and returns them with the version of the first page.
pub(crate) async fn read_all(ctx: &Context, from: Place) -> Result<(Vec<Row>, u64), ReadError> {
    let read = async |from: &Place, limit| ctx.ports.store.read(from, limit).await;
    let mut all = Vec::new();
    let version = read_pages(ctx, from, read, |rows| all.extend(rows)).await?;
    Ok((all, version))
}

/// Returns the keys of all rows of a part; their values take more memory than a process may have.
pub(crate) async fn read_keys(ctx: &Context, from: Place) -> Result<Vec<String>, ReadError> {
    let read = async |from: &Place, limit| ctx.ports.store.read(from, limit).await;
    let mut keys = Vec::new();
    read_pages(ctx, from, read, |rows| keys.extend(rows.into_iter().map(|row| row.place.key)))
        .await?;
    Ok(keys)
}

/// Reads all rows of a part from a key on in the given way, passes each page on, and returns the
/// version of the first one.
pub(crate) async fn read_pages<E>(
    ctx: &Context,
    mut from: Place,
    read: impl AsyncFn(&Place, usize) -> Result<Page, E>,
    mut on_page: impl FnMut(Vec<Row>),
) -> Result<u64, E> {
    let mut version = None;
    loop {
        let page = read(&from, PAGE_ROWS).await?;
        ctx.record_page_clock(&page);
        version.get_or_insert(page.version);
        let last = page.rows.last().map(|row| row.place.key.clone());
        on_page(page.rows);
        match last {
            // The next possible key is the last one followed by a zero byte.
            Some(last) if page.more => from.key = format!("{last}\0"),
            _ => return Ok(version.unwrap_or(0)),
        }
    }
}

/// Decodes rows, by their keys and with their versions; logs those that can't be decoded.
pub(crate) fn decode_rows<T: DeserializeOwned>(
    ctx: &Context,
    rows: Vec<Row>,
) -> IndexMap<String, (u64, T)> {
    let mut decoded = IndexMap::new();
    for row in rows {
        let Some(value) = &row.value else { continue };
        match rows::decode(value) {
            Ok(value) => {
                decoded.insert(row.place.key, (row.version, value));
            }
            Err(error) => ctx
                .timeline
                .record(base::Event::RowUnreadable, &[("row", &row.place.key), ("error", &error)]),
        }
    }
    decoded
}

/// Watches parts of a table while `active` returns true, and passes each row to `on_row`.
///
/// It reads all existing rows first and then the changes, at most every `interval_ms` milliseconds.
/// After each complete read it calls `on_read` with the time at which the read was requested.
///
/// When the table no longer keeps the changes, it reads all rows again; rows that were removed
/// meanwhile are passed without a value.
pub(crate) async fn follow(
    ctx: Rc<Context>,
    (table, parts): (String, Vec<String>),
    interval_ms: u64,
    active: impl Fn() -> bool,
    mut on_row: impl FnMut(&Row),
    mut on_read: impl FnMut(u64),
) {
    let mut places: HashSet<Place> = HashSet::new();
    let mut version = None;
    while active() {
        let requested = clock::now();
        let Some(after) = version else {
            let reads = parts.iter().map(|part| read_all(&ctx, Place::new(&table, part, "")));
            match try_join_all(reads).await {
                Ok(pages) => {
                    // Changes after the earliest read are read again with the feed.
                    let at = pages.iter().map(|(_, version)| *version).min().unwrap_or(0);
                    let rows: Vec<Row> = pages.into_iter().flat_map(|(rows, _)| rows).collect();
                    ctx.record_table_call(false, &table);
                    let current: HashSet<Place> =
                        rows.iter().map(|row| row.place.clone()).collect();
                    for place in places.difference(&current) {
                        on_row(&Row { place: place.clone(), version: at, value: None });
                    }
                    rows.iter().for_each(&mut on_row);
                    on_read(requested);
                    places = current;
                    version = Some(at);
                }
                Err(error) => {
                    ctx.record_table_call(true, &error.to_string());
                    pause(RETRY_PAUSE_MS).await;
                }
            }
            continue;
        };
        let wait = Duration::from_millis(FEED_WAIT_MS);
        match ctx.ports.store.feed(&table, after, wait).await {
            Ok(page) => {
                ctx.record_table_call(false, &table);
                ctx.record_page_clock(&page);
                for row in page.rows.iter().filter(|row| row.version > after) {
                    if row.value.is_some() {
                        places.insert(row.place.clone());
                    } else {
                        places.remove(&row.place);
                    }
                    on_row(row);
                }
                // An incomplete page is continued after its last row.
                let last = page.rows.last().map_or(page.version, |row| row.version);
                version = Some(after.max(if page.more { last } else { page.version.max(last) }));
                if !page.more {
                    on_read(requested);
                }
                pause(interval_ms).await;
            }
            Err(ReadError::HistoryDropped) => {
                ctx.timeline.record(base::Event::HistoryLost, &[("table", &table)]);
                version = None;
            }
            Err(error) => {
                ctx.record_table_call(true, &error.to_string());
                pause(RETRY_PAUSE_MS).await;
            }
        }
    }
}
