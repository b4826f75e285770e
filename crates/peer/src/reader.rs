//! Reads the platform for a data centre; the first live member by name does, the others wait.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::Event;
use fleet::ListedInstance;
use platform::{Error, Instances, Row, Table, Txn, keys};
use tokio::task::JoinHandle;

use crate::facts::Facts;
use crate::member::Member;
use crate::row::{BudgetRow, ContractRow, HeadRow, InstanceRow};
use crate::wire::WireMember;

/// Time between two reads of the head row.
const HEAD_EVERY: Duration = Duration::from_millis(250);
/// Time between two reads of the instance list, which lags by more.
const LIST_EVERY: Duration = Duration::from_millis(2_000);
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
    listed: Option<Instant>,
    tag: String,
    members: Option<Instant>,
}

impl Reader {
    /// Enters this process in the table and starts to read when it is its turn.
    pub fn spawn<P: Table + Instances + 'static>(facts: Facts, platform: Rc<P>) -> Self {
        let work = Work {
            facts,
            platform,
            reading: false,
            listed: None,
            tag: String::new(),
            members: None,
        };
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
            let away = self.facts.lock().platform_unreachable;
            if self.turn() || away {
                self.step().await;
            }
            tokio::time::sleep(if away { AWAY_EVERY } else { HEAD_EVERY }).await;
        }
    }

    /// Whether this process is the first live member of its data centre.
    fn turn(&mut self) -> bool {
        let first = self.facts.lock().is_reader();
        if first != self.reading {
            self.reading = first;
            let event = if first { Event::ReaderTaken } else { Event::ReaderLeft };
            self.facts.timeline().record(event, &[]);
        }
        first
    }

    async fn step(&mut self) {
        let result = self.read().await;
        let away = matches!(result, Err(Error::Unavailable { .. }));
        let was = std::mem::replace(&mut self.facts.lock().platform_unreachable, away);
        if was != away {
            let event = if away { Event::PlatformAway } else { Event::PlatformBack };
            self.facts.timeline().record(event, &[]);
        }
        if let Err(error) = result {
            log::debug!("{error}");
        }
    }

    async fn read(&mut self) -> Result<(), Error> {
        let rows = self.platform.read(&[keys::HEAD.to_owned(), keys::FLEET.to_owned()]).await?;
        let [head, fleet] = rows.as_slice() else { return Ok(()) };
        let head: HeadRow = decode(head).unwrap_or_default();
        let mut changed = self.contracts(head.revision).await?;
        changed |= self.work(fleet.version).await?;
        let now = Instant::now();
        if due(self.listed, now, LIST_EVERY) {
            changed |= self.list().await?;
            self.listed = Some(now);
        }
        if due(self.members, now, MEMBERS_EVERY) {
            self.read_members().await?;
            self.members = Some(now);
        }
        if changed {
            self.facts.notify_changed(true);
        }
        Ok(())
    }

    /// Reads the contracts when a change has been committed since the last one held.
    async fn contracts(&self, head: u64) -> Result<bool, Error> {
        if head <= self.facts.lock().contracts.watermark() {
            return Ok(false);
        }
        let mut changed = false;
        let mut newest = head;
        for row in self.platform.scan(keys::CONTRACTS).await? {
            let customer = row.key.trim_start_matches(keys::CONTRACTS);
            if let Some(found) = decode::<ContractRow>(&row) {
                changed |=
                    self.facts.apply_contract(customer, found.revision, found.text.as_deref());
                newest = newest.max(found.revision);
            }
        }
        self.facts.lock().contracts.advance_watermark(newest);
        Ok(changed)
    }

    /// Reads budgets and changed instance rows when a step was written since the last one held.
    async fn work(&self, marker: u64) -> Result<bool, Error> {
        if marker <= self.facts.lock().instances.watermark() {
            return Ok(false);
        }
        let budgets = self.platform.scan(keys::BUDGETS).await?;
        let rows = match self.stepped(&budgets) {
            Some(asked) if asked.is_empty() => Vec::new(),
            Some(asked) => self.platform.read(&asked).await?,
            None => self.platform.scan(keys::INSTANCES).await?,
        };
        // The budgets say which rows are new, so they are taken in with the rows or not at all.
        let mut state = self.facts.lock();
        let mut changed = false;
        for row in rows {
            let id = row.key.trim_start_matches(keys::INSTANCES);
            let Some(found) = decode::<InstanceRow>(&row) else { continue };
            match found.to_instance(id) {
                Ok(instance) => changed |= state.instances.apply(id, row.version, Some(instance)),
                Err(error) => log::warn!("row {}: {error}", row.key),
            }
        }
        for row in &budgets {
            let customer = row.key.trim_start_matches(keys::BUDGETS);
            changed |= state.budgets.apply(customer, row.version, decode(row));
        }
        state.instances.advance_watermark(marker);
        state.budgets.advance_watermark(marker);
        Ok(changed)
    }

    /// Keys of the instance rows that changed; none when all have to be read.
    fn stepped(&self, budgets: &[Row]) -> Option<Vec<String>> {
        let state = self.facts.lock();
        if state.instances.watermark() == 0 {
            return None;
        }
        let mut asked = Vec::new();
        for row in budgets {
            let customer = row.key.trim_start_matches(keys::BUDGETS);
            if row.version <= state.budgets.stamp(customer) {
                continue;
            }
            let held = state.budgets.find(customer).map_or(0, |held| held.steps);
            let found: BudgetRow = decode(row)?;
            asked.extend(found.changed_since(held)?.iter().map(|id| keys::instance(id)));
        }
        Some(asked)
    }

    /// Reads the data centre's list when it has changed.
    async fn list(&mut self) -> Result<bool, Error> {
        let centre = self.facts.lock().me.centre.clone();
        let Some(list) = self.platform.list(&centre, &self.tag).await? else { return Ok(false) };
        self.tag = list.etag;
        let mut state = self.facts.lock();
        let held = state.lists.entry(centre).or_default();
        let stamp = (held.watermark() + 1).max(base::timeline::wall_ms());
        let listed: HashSet<&str> = list.entries.iter().map(|line| line.id.as_str()).collect();
        let gone = held.live().map(|(id, _, _)| id).filter(|id| !listed.contains(id));
        let gone: Vec<String> = gone.map(str::to_owned).collect();
        let changed = list.entries.iter().filter(|line| held.find(&line.id) != Some(line));
        let changed: Vec<ListedInstance> = changed.cloned().collect();
        let any = !gone.is_empty() || !changed.is_empty();
        for id in &gone {
            held.apply(id, stamp, None);
        }
        for line in changed {
            held.apply(&line.id.clone(), stamp, Some(line));
        }
        held.advance_watermark(stamp);
        Ok(any)
    }

    async fn read_members(&self) -> Result<(), Error> {
        for row in self.platform.scan(keys::MEMBERS).await? {
            let Some(found) = decode::<WireMember>(&row) else { continue };
            match Member::try_from(found) {
                Ok(member) => self.facts.apply_member(member, None),
                Err(error) => log::warn!("row {}: {error}", row.key),
            }
        }
        Ok(())
    }
}

/// Writes this process's own row, again and again until the platform takes it.
async fn enter<P: Table>(facts: Facts, platform: Rc<P>) {
    let me = facts.lock().me.clone();
    let value = serde_json::to_string(&WireMember::from(&me)).unwrap_or_default();
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
