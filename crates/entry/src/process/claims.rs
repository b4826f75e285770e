//! Claims callers' own idempotency keys in the table, many in one transaction.

use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexSet;
use peer::reader::decode;
use peer::row::ClaimRow;
use platform::{CommitError, Http, Row, Table, Txn, keys};
use tokio::sync::{mpsc, oneshot};

use crate::process::journal::Journal;

/// Claims in one transaction at most.
const BATCH: usize = 64;
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
    /// Starts to take claims for one incarnation of a process.
    pub fn spawn(platform: Rc<Http>, journal: Journal, owner: String, incarnation: u64) -> Self {
        let (sender, receiver) = mpsc::channel(WAITING);
        actix::spawn(run(platform, journal, receiver, ClaimRow { owner, incarnation }));
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
    platform: Rc<Http>,
    journal: Journal,
    mut receiver: mpsc::Receiver<Ask>,
    me: ClaimRow,
) {
    let mut asks = Vec::with_capacity(BATCH);
    let mut number = 0_u64;
    // While one transaction is on its way the next claims gather.
    while receiver.recv_many(&mut asks, BATCH).await > 0 {
        for ask in &asks {
            journal.vacate(&ask.name);
        }
        while !asks.is_empty() {
            number += 1;
            let id = format!("claim-{}-{}-{number}", me.owner, me.incarnation);
            asks = commit(&platform, &journal, &me, id, asks).await;
        }
    }
}

/// Commits a batch and gives back those that have to be tried again without the taken ones.
async fn commit(
    platform: &Http,
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
