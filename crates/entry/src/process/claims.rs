//! Claims callers' own idempotency keys in the table, many in one transaction.

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

/// Claims in one transaction at most.
const BATCH: usize = 256;
/// Time between two transactions for each entry process of the fleet; it keeps the claims of all
/// of them below 200 writes a second.
const GAP: Duration = Duration::from_millis(5);
/// Claims that wait at most.
const WAITING: usize = 1_024;
/// Time that a transaction may take.
const LIMIT: Duration = Duration::from_millis(1_500);

/// Handle on the claims; copies share it.
#[derive(Debug, Clone)]
pub struct Claims {
    sender: mpsc::Sender<Ask>,
}

/// What became of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claimed {
    /// This process may run the request; the key was free.
    Mine,
    /// Another process, or an earlier claim of this one, has the key.
    Taken(ClaimRow),
    /// The table did not confirm the claim.
    Away,
}

#[derive(Debug)]
struct Ask {
    key: String,
    name: String,
    answer: oneshot::Sender<Claimed>,
}

impl Claims {
    /// Starts to take claims for this process.
    pub fn spawn(platform: Rc<HttpClient>, journal: Journal, facts: Facts) -> Self {
        let (sender, receiver) = mpsc::channel(WAITING);
        actix::spawn(run(platform, journal, receiver, facts));
        Self { sender }
    }

    /// Claims a key of a customer; `name` is that of the request in the journal.
    pub async fn claim(&self, customer: &str, key: &str, name: &str) -> Claimed {
        let (answer, receiver) = oneshot::channel();
        let ask = Ask { key: keys::claim(customer, key), name: name.to_owned(), answer };
        if self.sender.try_send(ask).is_err() {
            return Claimed::Away;
        }
        receiver.await.unwrap_or(Claimed::Away)
    }
}

async fn run(
    platform: Rc<HttpClient>,
    journal: Journal,
    mut receiver: mpsc::Receiver<Ask>,
    facts: Facts,
) {
    let me = {
        let state = facts.lock();
        ClaimRow { owner: state.me.name.clone(), incarnation: state.me.incarnation }
    };
    let mut asks = Vec::with_capacity(BATCH);
    let mut number = 0_u64;
    // While one transaction is on its way, or too soon after it, the next claims gather.
    while receiver.recv_many(&mut asks, BATCH).await > 0 {
        for ask in &asks {
            journal.vacate(&ask.name);
        }
        while !asks.is_empty() {
            let next = Instant::now() + gap(&facts);
            number += 1;
            let id = format!("claim-{}-{}-{number}", me.owner, me.incarnation);
            asks = commit(&platform, &journal, &me, id, asks).await;
            tokio::time::sleep_until(next.into()).await;
        }
    }
}

/// Time between two transactions of this process.
fn gap(facts: &Facts) -> Duration {
    let state = facts.lock();
    let others = state.members.values().filter(|known| known.member.role == Role::Entry).count();
    GAP * u32::try_from(others + 1).unwrap_or(u32::MAX)
}

/// Commits a batch and gives back those that have to be tried again without the taken ones.
async fn commit(
    platform: &HttpClient,
    journal: &Journal,
    me: &ClaimRow,
    id: String,
    asks: Vec<Ask>,
) -> Vec<Ask> {
    let value = serde_json::to_string(me).unwrap_or_default();
    // Two requests under one key need one claim; the journal lets one of them run.
    let claimed: IndexSet<&str> = asks.iter().map(|ask| ask.key.as_str()).collect();
    let txn = claimed
        .into_iter()
        .fold(Txn::new(id), |txn, key| txn.expect(key, 0).put(key, value.clone()));
    match platform.commit(&txn, LIMIT).await {
        Ok(_) => answer(asks, &Claimed::Mine),
        Err(CommitError::Conflict { rows }) => return taken(journal, me, asks, &rows),
        Err(error) => {
            log::warn!("claims were not confirmed: {error}");
            answer(asks, &Claimed::Away);
        }
    }
    Vec::new()
}

fn answer(asks: Vec<Ask>, claimed: &Claimed) {
    for ask in asks {
        let _ = ask.answer.send(claimed.clone());
    }
}

fn taken(journal: &Journal, me: &ClaimRow, asks: Vec<Ask>, rows: &[Row]) -> Vec<Ask> {
    let mut rest = Vec::new();
    for ask in asks {
        let Some(row) = rows.iter().find(|row| row.key == ask.key) else {
            rest.push(ask);
            continue;
        };
        let owner = decode::<ClaimRow>(row);
        if owner.as_ref().is_some_and(|owner| owner != me) {
            journal.cede(&ask.name);
        }
        let _ = ask.answer.send(owner.map_or(Claimed::Away, Claimed::Taken));
    }
    rest
}
