//! Cancels of jobs that the table does not hold.
//!
//! Load pattern: a client whose job got no answer leaves and cancels the job at another process. The
//! job may still be on its way: in a request that a paused process has yet to read, or in a write that
//! the table carries out seconds later. The cancel therefore stores a withdrawal in place of the job's
//! state, under the condition that there is none, and an attempt that comes later finds it. As clients
//! may cancel any number of jobs, withdrawals are removed once no attempt can still be on its way.

use std::rc::Rc;

use crate::clock;
use crate::context::{Context, pause};
use crate::follow::read_all;
use crate::keys;
use crate::ports::{Place, ReadError, Row, Transaction, TransactionError};
use crate::rows::{self, StateRow};

/// Time for which withdrawals are kept, in milliseconds; many times as long as requests and writes
/// are known to be delayed.
pub const RETENTION_MS: u64 = 600_000;
/// Interval between two removals of old withdrawals, in milliseconds.
const REMOVAL_INTERVAL_MS: u64 = 60_000;
/// Pause before a failed removal is repeated, in milliseconds.
const RETRY_PAUSE_MS: u64 = 2_000;

/// Builds the transaction that withdraws a job at `now`, by the table's clock in milliseconds.
///
/// `version` is that of the job's state row, 0 if there is none.
pub(crate) fn transaction(part: &str, id: &str, cell: &str, version: u64, now: u64) -> Transaction {
    let state = keys::state(part, id);
    Transaction {
        expect: vec![(state.clone(), version)],
        writes: vec![
            (state, rows::encode(&StateRow::withdrawn(cell))),
            (keys::withdrawal(part, id), rows::encode(&now)),
        ],
        removes: Vec::new(),
    }
}

/// Removes old withdrawals again and again while `active` returns true.
pub(crate) async fn remove_old(ctx: Rc<Context>, active: impl Fn() -> bool) {
    while active() {
        let pause_ms = match remove_once(&ctx).await {
            Ok(()) => REMOVAL_INTERVAL_MS,
            Err(error) => {
                ctx.record_table_call(true, &error.to_string());
                RETRY_PAUSE_MS
            }
        };
        let until = clock::now() + pause_ms;
        while active() && clock::now() < until {
            pause(RETRY_PAUSE_MS).await;
        }
    }
}

/// Removes the withdrawals that are old now.
async fn remove_once(ctx: &Context) -> Result<(), ReadError> {
    let is_overload = |error: &ReadError| matches!(error, ReadError::Overloaded { .. });
    let mut after = String::new();
    loop {
        let page = ctx.ports.store.parts(keys::WITHDRAWAL_TABLE, &after);
        let page = ctx.call_in_bulk(page, is_overload).await?;
        let Some(last) = page.last() else { return Ok(()) };
        after.clone_from(last);
        for part in &page {
            let from = Place::new(keys::WITHDRAWAL_TABLE, part, "");
            let (found, _) = ctx.call_in_bulk(read_all(ctx, from), is_overload).await?;
            let oldest = ctx.table_now().saturating_sub(RETENTION_MS);
            for row in found.into_iter().filter(|row| is_older(row, oldest)) {
                remove(ctx, &row).await;
            }
        }
    }
}

/// Whether a withdrawal was stored before `oldest`.
fn is_older(row: &Row, oldest: u64) -> bool {
    let stored_at = row.value.as_ref().and_then(|value| rows::decode::<u64>(value).ok());
    stored_at.is_some_and(|at| at < oldest)
}

/// Removes a withdrawal, and the state of its job unless it has changed since.
async fn remove(ctx: &Context, row: &Row) {
    let state = keys::state(&row.place.part, &row.place.key);
    let is_refusal = |error: &TransactionError| matches!(error, TransactionError::Refused { .. });
    let with_state = Transaction {
        expect: vec![(row.place.clone(), row.version), (state.clone(), row.version)],
        writes: Vec::new(),
        removes: vec![row.place.clone(), state],
    };
    let removed = ctx.call_in_bulk(ctx.ports.store.apply(&with_state), is_refusal).await;
    if let Err(TransactionError::Conflict { .. }) = removed {
        let alone = Transaction {
            expect: vec![(row.place.clone(), row.version)],
            writes: Vec::new(),
            removes: vec![row.place.clone()],
        };
        // What fails now is repeated with the next removal.
        let _ = ctx.call_in_bulk(ctx.ports.store.apply(&alone), is_refusal).await;
    }
}
