//! Claims callers' idempotency keys in the table, in batches.
//!
//! The process whose claim is committed owns the key and is the only one that may run the request.

use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexSet;
use peer::Facts;
use peer::member::Role;
use peer::reader::decode;
use peer::row::ClaimRow;
use platform::{CommitError, HttpClient, Row, Table, Txn, keys};
use tokio::sync::{mpsc, oneshot};

use crate::process::journal::Journal;

/// Maximum number of claims in one transaction.
const MAX_BATCH_CLAIMS: usize = 256;
/// Time between two transactions of a process, multiplied by the number of entry processes.
///
/// Keeps the claims of the whole fleet below 200 writes per second.
const COMMIT_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(5);
/// Maximum number of claims that wait for a transaction; further ones are unconfirmed.
const MAX_PENDING_CLAIMS: usize = 1_024;
/// Timeout of a transaction.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Handle for claiming keys; clones share one queue.
#[derive(Debug, Clone)]
pub struct Claims {
    sender: mpsc::Sender<PendingClaim>,
}

/// Result of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResult {
    /// The key was free and now belongs to this process.
    Acquired,
    /// The key already belongs to another process, or to this one by an earlier claim.
    Taken(ClaimRow),
    /// The claim was not confirmed; it may still have been committed.
    Unconfirmed,
}

/// A claim that waits for a transaction.
#[derive(Debug)]
struct PendingClaim {
    /// Key of the claim's row in the table.
    row_key: String,
    /// Key of the request in the journal.
    journal_key: String,
    reply: oneshot::Sender<ClaimResult>,
}

impl Claims {
    /// Spawns the task that commits the claims of this process.
    pub fn spawn(platform: Rc<HttpClient>, journal: Journal, facts: Facts) -> Self {
        let (sender, receiver) = mpsc::channel(MAX_PENDING_CLAIMS);
        actix::spawn(run(platform, journal, receiver, facts));
        Self { sender }
    }

    /// Claims a customer's key; `journal_key` is the request's key in the journal.
    pub async fn claim(&self, customer: &str, key: &str, journal_key: &str) -> ClaimResult {
        let (reply, receiver) = oneshot::channel();
        let claim = PendingClaim {
            row_key: keys::claim(customer, key),
            journal_key: journal_key.to_owned(),
            reply,
        };
        if self.sender.try_send(claim).is_err() {
            return ClaimResult::Unconfirmed;
        }
        receiver.await.unwrap_or(ClaimResult::Unconfirmed)
    }
}

/// Commits claims in batches until all handles are dropped.
async fn run(
    platform: Rc<HttpClient>,
    journal: Journal,
    mut receiver: mpsc::Receiver<PendingClaim>,
    facts: Facts,
) {
    let own_row = {
        let state = facts.lock();
        ClaimRow { owner: state.me.name.clone(), incarnation: state.me.incarnation }
    };
    let mut pending = Vec::with_capacity(MAX_BATCH_CLAIMS);
    let mut txn_number = 0_u64;
    // Claims that arrive before the next commit is due wait in the channel and form a batch.
    while receiver.recv_many(&mut pending, MAX_BATCH_CLAIMS).await > 0 {
        for claim in &pending {
            journal.mark_unstarted(&claim.journal_key);
        }
        while !pending.is_empty() {
            let next_commit = Instant::now() + commit_interval(&facts);
            txn_number += 1;
            let txn_id = format!("claim-{}-{}-{txn_number}", own_row.owner, own_row.incarnation);
            pending = commit(&platform, &journal, &own_row, txn_id, pending).await;
            tokio::time::sleep_until(next_commit.into()).await;
        }
    }
}

/// Returns the time between two transactions of this process.
fn commit_interval(facts: &Facts) -> Duration {
    let state = facts.lock();
    let other_entries =
        state.members.values().filter(|peer| peer.member.role == Role::Entry).count();
    COMMIT_INTERVAL_PER_ENTRY * u32::try_from(other_entries + 1).unwrap_or(u32::MAX)
}

/// Commits a batch of claims in one transaction.
///
/// If some keys are taken, the transaction fails; returns the other claims, to be retried.
async fn commit(
    platform: &HttpClient,
    journal: &Journal,
    own_row: &ClaimRow,
    txn_id: String,
    pending: Vec<PendingClaim>,
) -> Vec<PendingClaim> {
    let value = serde_json::to_string(own_row).unwrap_or_default();
    // Two requests with the same key need only one claim; the journal lets one of them run.
    let row_keys: IndexSet<&str> = pending.iter().map(|claim| claim.row_key.as_str()).collect();
    let txn = row_keys
        .into_iter()
        .fold(Txn::new(txn_id), |txn, key| txn.expect(key, 0).put(key, value.clone()));
    match platform.commit(&txn, COMMIT_TIMEOUT).await {
        Ok(_) => reply_all(pending, &ClaimResult::Acquired),
        Err(CommitError::Conflict { rows }) => {
            return reply_conflicts(journal, own_row, pending, &rows);
        }
        Err(error) => {
            log::warn!("claim transaction was not confirmed: {error}");
            reply_all(pending, &ClaimResult::Unconfirmed);
        }
    }
    Vec::new()
}

fn reply_all(pending: Vec<PendingClaim>, result: &ClaimResult) {
    for claim in pending {
        let _ = claim.reply.send(result.clone());
    }
}

/// Answers the claims whose keys are taken and returns the others.
fn reply_conflicts(
    journal: &Journal,
    own_row: &ClaimRow,
    pending: Vec<PendingClaim>,
    rows: &[Row],
) -> Vec<PendingClaim> {
    let mut unclaimed = Vec::new();
    for claim in pending {
        let Some(row) = rows.iter().find(|row| row.key == claim.row_key) else {
            unclaimed.push(claim);
            continue;
        };
        let owner = decode::<ClaimRow>(row);
        if owner.as_ref().is_some_and(|owner| owner != own_row) {
            journal.unmark_unstarted(&claim.journal_key);
        }
        let _ = claim.reply.send(owner.map_or(ClaimResult::Unconfirmed, ClaimResult::Taken));
    }
    unclaimed
}
