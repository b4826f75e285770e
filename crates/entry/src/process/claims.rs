//! Claims callers' own idempotency keys in the table, many in one transaction.

use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexSet;
use peer::Facts;
use peer::member::Role;
use peer::reader::decode;
use peer::row::ClaimRow;
use platform::{CommitError, Http, Row, Table, Txn, keys};
use tokio::sync::{mpsc, oneshot};

use crate::process::journal::Journal;

/// Claims in one transaction at most.
const MAX_BATCH_CLAIMS: usize = 256;
/// Time between two transactions for each entry process of the fleet; it keeps the claims of all
/// of them below 200 writes a second.
const COMMIT_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(5);
/// Claims that wait at most.
const MAX_PENDING_CLAIMS: usize = 1_024;
/// Time that a transaction may take.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Handle on the claims; copies share it.
#[derive(Debug, Clone)]
pub struct Claims {
    sender: mpsc::Sender<PendingClaim>,
}

/// What became of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResult {
    /// This process may run the request; the key was free.
    Acquired,
    /// Another process, or an earlier claim of this one, has the key.
    Taken(ClaimRow),
    /// The table did not confirm the claim.
    Unconfirmed,
}

#[derive(Debug)]
struct PendingClaim {
    row_key: String,
    journal_key: String,
    reply: oneshot::Sender<ClaimResult>,
}

impl Claims {
    /// Starts to take claims for this process.
    pub fn spawn(platform: Rc<Http>, journal: Journal, facts: Facts) -> Self {
        let (sender, receiver) = mpsc::channel(MAX_PENDING_CLAIMS);
        actix::spawn(run(platform, journal, receiver, facts));
        Self { sender }
    }

    /// Claims a key of a customer; `name` is that of the request in the journal.
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

async fn run(
    platform: Rc<Http>,
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
    // While one transaction is on its way, or too soon after it, the next claims gather.
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

/// Time between two transactions of this process.
fn commit_interval(facts: &Facts) -> Duration {
    let state = facts.lock();
    let other_entries =
        state.members.values().filter(|peer| peer.member.role == Role::Entry).count();
    COMMIT_INTERVAL_PER_ENTRY * u32::try_from(other_entries + 1).unwrap_or(u32::MAX)
}

/// Commits a batch and gives back those that have to be tried again without the taken ones.
async fn commit(
    platform: &Http,
    journal: &Journal,
    own_row: &ClaimRow,
    txn_id: String,
    pending: Vec<PendingClaim>,
) -> Vec<PendingClaim> {
    let value = serde_json::to_string(own_row).unwrap_or_default();
    // Two requests under one key need one claim; the journal lets one of them run.
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
            log::warn!("claims were not confirmed: {error}");
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
