//! Reads the platform for a data centre; the first live member by name does, the others wait.

use std::rc::Rc;
use std::time::{Duration, Instant};

use base::Event;
use fleet::Listed;
use platform::{Error, Instances, Row, Table, Txn, keys};
use tokio::task::JoinHandle;

use crate::facts::Facts;
use crate::member::Member;
use crate::row::{ContractRow, HeadRow, InstanceRow, MemberRow};
use crate::wire::WireMember;

/// Time between two reads of the head row.
const HEAD_EVERY: Duration = Duration::from_millis(250);
/// Time between two reads of the instance list and rows.
const FLEET_EVERY: Duration = Duration::from_millis(1_000);
/// Time between two reads of the members' rows.
const MEMBERS_EVERY: Duration = Duration::from_millis(5_000);
/// Time between two tries while the platform does not answer.
const AWAY_EVERY: Duration = Duration::from_millis(1_000);
/// Time that a member's own row may take to be written.
const ENTER_LIMIT: Duration = Duration::from_secs(5);

/// The running reader of one process.
#[derive(Debug)]
pub struct Reader {
    task: JoinHandle<()>,
}

struct Work<P> {
    facts: Facts,
    platform: Rc<P>,
    reading: bool,
    fleet: Option<Instant>,
    members: Option<Instant>,
}

impl Reader {
    /// Enters this process in the table and starts to read when it is its turn.
    pub fn spawn<P: Table + Instances + 'static>(facts: Facts, platform: Rc<P>) -> Self {
        let work = Work { facts, platform, reading: false, fleet: None, members: None };
        Self { task: actix::spawn(work.run()) }
    }

    /// Stops.
    pub fn close(self) {
        self.task.abort();
    }
}

impl<P: Table + Instances + 'static> Work<P> {
    async fn run(mut self) {
        actix::spawn(enter(self.facts.clone(), self.platform.clone()));
        loop {
            let away = self.facts.lock().away;
            if self.turn() || away {
                self.step().await;
            }
            tokio::time::sleep(if away { AWAY_EVERY } else { HEAD_EVERY }).await;
        }
    }

    /// Whether this process is the first live member of its data centre.
    fn turn(&mut self) -> bool {
        let first = self.facts.lock().reads();
        if first != self.reading {
            self.reading = first;
            let event = if first { Event::ReaderTaken } else { Event::ReaderLeft };
            self.facts.timeline().record(event, &[]);
        }
        first
    }

    async fn step(&mut self) {
        let result = self.read().await;
        let away = matches!(result, Err(Error::Away { .. }));
        let was = std::mem::replace(&mut self.facts.lock().away, away);
        if was != away {
            let event = if away { Event::PlatformAway } else { Event::PlatformBack };
            self.facts.timeline().record(event, &[]);
        }
        if let Err(error) = result {
            log::debug!("{error}");
        }
    }

    async fn read(&mut self) -> Result<(), Error> {
        let mut changed = self.contracts().await?;
        let now = Instant::now();
        if due(self.fleet, now, FLEET_EVERY) {
            changed |= self.instances().await?;
            changed |= self.list().await?;
            self.fleet = Some(now);
        }
        if due(self.members, now, MEMBERS_EVERY) {
            self.read_members().await?;
            self.members = Some(now);
        }
        if changed {
            self.facts.announce(true);
        }
        Ok(())
    }

    async fn contracts(&self) -> Result<bool, Error> {
        let rows = self.platform.read(&[keys::HEAD.to_owned()]).await?;
        let head: HeadRow = rows.first().map(decode).unwrap_or_default().unwrap_or_default();
        if head.revision <= self.facts.lock().contracts.top() {
            return Ok(false);
        }
        let mut changed = false;
        for row in self.platform.scan(keys::CONTRACTS).await? {
            let customer = row.key.trim_start_matches(keys::CONTRACTS);
            if let Some(found) = decode::<ContractRow>(&row) {
                changed |= self.facts.contract(customer, found.revision, found.text.as_deref());
            }
        }
        Ok(changed)
    }

    async fn instances(&self) -> Result<bool, Error> {
        let rows = self.platform.scan(keys::INSTANCES).await?;
        let mut state = self.facts.lock();
        let mut changed = false;
        for row in rows {
            let id = row.key.trim_start_matches(keys::INSTANCES);
            let Some(found) = decode::<InstanceRow>(&row) else { continue };
            match found.named(id) {
                Ok(instance) => changed |= state.instances.apply(id, row.version, Some(instance)),
                Err(error) => log::warn!("row {}: {error}", row.key),
            }
        }
        Ok(changed)
    }

    async fn list(&self) -> Result<bool, Error> {
        let lines = self.platform.list().await?;
        let mut state = self.facts.lock();
        let stamp = (state.list.top() + 1).max(base::timeline::wall_ms());
        let gone: Vec<String> = state
            .list
            .live()
            .filter(|(id, _, _)| !lines.iter().any(|line| line.id == *id))
            .map(|(id, _, _)| id.to_owned())
            .collect();
        let changed: Vec<Listed> =
            lines.into_iter().filter(|line| state.list.find(&line.id) != Some(line)).collect();
        for id in &gone {
            state.list.apply(id, stamp, None);
        }
        let any = !gone.is_empty() || !changed.is_empty();
        for line in changed {
            state.list.apply(&line.id.clone(), stamp, Some(line));
        }
        Ok(any)
    }

    async fn read_members(&self) -> Result<(), Error> {
        for row in self.platform.scan(keys::MEMBERS).await? {
            let Some(found) = decode::<MemberRow>(&row) else { continue };
            match Member::try_from(WireMember::from(found)) {
                Ok(member) => self.facts.member(member, None),
                Err(error) => log::warn!("row {}: {error}", row.key),
            }
        }
        Ok(())
    }
}

/// Writes this process's own row, again and again until the platform takes it.
async fn enter<P: Table>(facts: Facts, platform: Rc<P>) {
    let me = facts.lock().me.clone();
    let row = MemberRow::from(WireMember::from(&me));
    let value = serde_json::to_string(&row).unwrap_or_default();
    let id = format!("member-{}-{}", me.name, me.incarnation);
    let txn = Txn::new(id).put(keys::member(&me.centre, &me.name), value);
    while let Err(error) = platform.commit(&txn, ENTER_LIMIT).await {
        log::warn!("this process is not entered yet: {error}");
        tokio::time::sleep(HEAD_EVERY).await;
    }
}

fn due(last: Option<Instant>, now: Instant, every: Duration) -> bool {
    last.is_none_or(|last| now.saturating_duration_since(last) >= every)
}

/// Reads a row's JSON; an absent or unreadable row gives nothing, the latter with a warning.
pub fn decode<T: serde::de::DeserializeOwned>(row: &Row) -> Option<T> {
    if row.version == 0 {
        return None;
    }
    let found = serde_json::from_str(&row.value);
    if let Err(error) = &found {
        log::warn!("row {} can't be read: {error}", row.key);
    }
    found.ok()
}
