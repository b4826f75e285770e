//! Guard rows: proof that no other process acts for a cell while the leases can't be read.
//!
//! Load pattern: for some seconds a part of the table does not answer while the others do. If that
//! is the part of the leases, no holder can see whether its lease still stands, though no other
//! process can claim it either. Each cell therefore has a guard row in several parts. A new holder
//! writes its epoch to all of them before its first order. A holder that finds its own epoch in any
//! of them knows that there was no later holder with orders when it read the row. What a new holder
//! has to know, such as the executors in use, is written under the condition of one of these rows.

use futures_util::future::{select_ok, try_join_all};

use crate::context::Context;
use crate::keys;
use crate::ports::{Place, Transaction, TransactionError};
use crate::rows;

/// Number of guard rows of a cell, each in a part of its own.
pub(crate) const GUARD_COUNT: usize = 3;

/// Reason why the guard rows of a cell could not be claimed.
#[derive(Debug)]
pub(crate) enum ClaimError {
    /// A later holder has claimed one of them.
    Lost,
    /// The table is unavailable, with the error.
    Unavailable(String),
}

/// Writes a holder's epoch to all guard rows of its cell, and returns their versions.
pub(crate) async fn claim(ctx: &Context, cell: &str, epoch: u64) -> Result<Vec<u64>, ClaimError> {
    try_join_all((0..GUARD_COUNT).map(|n| claim_row(ctx, keys::guard(n, cell), epoch))).await
}

async fn claim_row(ctx: &Context, place: Place, epoch: u64) -> Result<u64, ClaimError> {
    loop {
        let (version, found) = read_row(ctx, &place).await.map_err(ClaimError::Unavailable)?;
        if found == Some(epoch) {
            return Ok(version);
        }
        if found.is_some_and(|found| found > epoch) {
            return Err(ClaimError::Lost);
        }
        let transaction = Transaction {
            expect: vec![(place.clone(), version)],
            writes: vec![(place.clone(), rows::encode(&epoch))],
            removes: Vec::new(),
        };
        match ctx.ports.store.apply(&transaction).await {
            Ok(done) => return Ok(done.version),
            // Another process, or an earlier attempt of this one, has changed the row.
            Err(TransactionError::Conflict { .. }) => {}
            Err(error) => return Err(ClaimError::Unavailable(error.to_string())),
        }
    }
}

/// Returns whether any guard row of a cell can be read and holds the given epoch.
pub(crate) async fn holds(ctx: &Context, cell: &str, epoch: u64) -> bool {
    let read = |n: usize| {
        let place = keys::guard(n, cell);
        Box::pin(async move {
            let read = read_row(ctx, &place).await;
            read.is_ok_and(|(_, found)| found == Some(epoch)).then_some(()).ok_or(())
        })
    };
    // The first row that can be read decides; a part that does not answer holds up nothing.
    select_ok((0..GUARD_COUNT).map(read)).await.is_ok()
}

/// Reads the version of a guard row, 0 if it does not exist, and its epoch if it can be decoded.
async fn read_row(ctx: &Context, place: &Place) -> Result<(u64, Option<u64>), String> {
    let page = ctx.ports.store.read(place, 1).await.map_err(|error| error.to_string())?;
    let Some(row) = page.rows.into_iter().find(|row| row.place == *place) else {
        return Ok((0, None));
    };
    // A row that can't be decoded is no proof of an epoch, and the next claim replaces it. The other
    // guard rows still show a later holder.
    let epoch = rows::decode(row.value.as_deref().unwrap_or_default());
    if let Err(error) = &epoch {
        ctx.timeline.record(base::Event::RowUnreadable, &[("row", &place.key), ("error", error)]);
    }
    Ok((row.version, epoch.ok()))
}
