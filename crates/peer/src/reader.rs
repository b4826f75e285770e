//! Reads the shared facts from the platform on behalf of a data centre.
//!
//! Only the first live member of the data centre by name is the reader. The others receive the
//! facts by gossip, and the next of them takes over if the reader is lost or the platform does not
//! answer it.

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

/// Interval between reads of the rows that mark a change of contracts or instances.
const HEAD_READ_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between reads of the instance list, whose contents lag by more than this.
const LIST_READ_INTERVAL: Duration = Duration::from_millis(2_000);
/// Interval between reads of the member rows.
const MEMBERS_READ_INTERVAL: Duration = Duration::from_millis(5_000);
/// Interval between read attempts while the platform does not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time limit for one attempt to write this process's member row.
const MEMBER_ROW_TIMEOUT: Duration = Duration::from_secs(5);

/// Running reader task of a process.
#[derive(Debug)]
pub struct Reader {
    task: JoinHandle<()>,
}

struct ReaderTask<P> {
    facts: Facts,
    platform: Rc<P>,
    is_reader: bool,
    last_list_read: Option<Instant>,
    /// Entity tag of the instance list that was read last.
    etag: String,
    last_members_read: Option<Instant>,
}

impl Reader {
    /// Starts to write this process's member row, and to read while this process is the reader.
    pub fn spawn<P: Table + Instances + 'static>(facts: Facts, platform: Rc<P>) -> Self {
        let task = ReaderTask {
            facts,
            platform,
            is_reader: false,
            last_list_read: None,
            etag: String::new(),
            last_members_read: None,
        };
        Self { task: actix::spawn(task.run()) }
    }

    /// Stops reading.
    pub fn close(self) {
        self.task.abort();
    }
}

impl<P: Table + Instances + 'static> ReaderTask<P> {
    async fn run(mut self) {
        actix::spawn(write_member_row(self.facts.clone(), self.platform.clone()));
        loop {
            let unreachable = self.facts.lock().platform_unreachable;
            // The other members pass over a process that the platform does not answer. It keeps
            // reading, to detect when the platform answers again.
            if self.update_is_reader() || unreachable {
                self.attempt_read().await;
            }
            tokio::time::sleep(if unreachable { RETRY_INTERVAL } else { HEAD_READ_INTERVAL }).await;
        }
    }

    /// Determines whether this process is the reader, and records a change as an event.
    fn update_is_reader(&mut self) -> bool {
        let is_reader = self.facts.lock().is_reader();
        if is_reader != self.is_reader {
            self.is_reader = is_reader;
            let event = if is_reader { Event::ReaderTaken } else { Event::ReaderLeft };
            self.facts.timeline().record(event, &[]);
        }
        is_reader
    }

    /// Reads from the platform once and records whether it answered.
    async fn attempt_read(&mut self) {
        let result = self.read().await;
        let unreachable = matches!(result, Err(Error::Unavailable { .. }));
        let before = std::mem::replace(&mut self.facts.lock().platform_unreachable, unreachable);
        if before != unreachable {
            let event = if unreachable { Event::PlatformAway } else { Event::PlatformBack };
            self.facts.timeline().record(event, &[]);
        }
        if let Err(error) = result {
            log::debug!("failed to read from the platform: {error}");
        }
    }

    async fn read(&mut self) -> Result<(), Error> {
        let rows = self.platform.read(&[keys::HEAD.to_owned(), keys::FLEET.to_owned()]).await?;
        let [head, fleet] = rows.as_slice() else { return Ok(()) };
        let head: HeadRow = decode(head).unwrap_or_default();
        let mut changed = self.read_contracts(head.revision).await?;
        changed |= self.read_instances_and_budgets(fleet.version).await?;
        let now = Instant::now();
        if due(self.last_list_read, now, LIST_READ_INTERVAL) {
            changed |= self.read_list().await?;
            self.last_list_read = Some(now);
        }
        if due(self.last_members_read, now, MEMBERS_READ_INTERVAL) {
            self.read_members().await?;
            self.last_members_read = Some(now);
        }
        if changed {
            self.facts.notify_changed(true);
        }
        Ok(())
    }

    /// Reads the contracts if `head_revision`, that of the latest change, is above the watermark.
    async fn read_contracts(&self, head_revision: u64) -> Result<bool, Error> {
        if head_revision <= self.facts.lock().contracts.watermark() {
            return Ok(false);
        }
        let mut changed = false;
        let mut highest = head_revision;
        for row in self.platform.scan(keys::CONTRACTS).await? {
            let customer = row.key.trim_start_matches(keys::CONTRACTS);
            if let Some(contract) = decode::<ContractRow>(&row) {
                changed |= self.facts.apply_contract(
                    customer,
                    contract.revision,
                    contract.text.as_deref(),
                );
                highest = highest.max(contract.revision);
            }
        }
        self.facts.lock().contracts.advance_watermark(highest);
        Ok(changed)
    }

    /// Reads budgets and changed instance rows if the fleet row is newer than the watermark.
    ///
    /// Every change of an instance row also writes the fleet row, whose version is `fleet_version`.
    async fn read_instances_and_budgets(&self, fleet_version: u64) -> Result<bool, Error> {
        if fleet_version <= self.facts.lock().instances.watermark() {
            return Ok(false);
        }
        let budgets = self.platform.scan(keys::BUDGETS).await?;
        let rows = match self.changed_instance_keys(&budgets) {
            Some(changed_keys) if changed_keys.is_empty() => Vec::new(),
            Some(changed_keys) => self.platform.read(&changed_keys).await?,
            None => self.platform.scan(keys::INSTANCES).await?,
        };
        // The budgets determine which instance rows are read next time, so both are applied
        // together, after all reads have succeeded.
        let mut state = self.facts.lock();
        let mut changed = false;
        for row in rows {
            let id = row.key.trim_start_matches(keys::INSTANCES);
            let Some(instance_row) = decode::<InstanceRow>(&row) else { continue };
            match instance_row.to_instance(id) {
                Ok(instance) => changed |= state.instances.apply(id, row.version, Some(instance)),
                Err(error) => log::warn!("ignoring the invalid row {}: {error}", row.key),
            }
        }
        for row in &budgets {
            let customer = row.key.trim_start_matches(keys::BUDGETS);
            changed |= state.budgets.apply(customer, row.version, decode(row));
        }
        state.instances.advance_watermark(fleet_version);
        state.budgets.advance_watermark(fleet_version);
        Ok(changed)
    }

    /// Returns the keys of the changed instance rows, or `None` if all rows have to be read.
    fn changed_instance_keys(&self, budgets: &[Row]) -> Option<Vec<String>> {
        let state = self.facts.lock();
        if state.instances.watermark() == 0 {
            return None;
        }
        let mut changed_keys = Vec::new();
        for row in budgets {
            let customer = row.key.trim_start_matches(keys::BUDGETS);
            if row.version <= state.budgets.stamp(customer) {
                continue;
            }
            let known_steps = state.budgets.find(customer).map_or(0, |budget| budget.steps);
            let budget: BudgetRow = decode(row)?;
            changed_keys
                .extend(budget.changed_since(known_steps)?.iter().map(|id| keys::instance(id)));
        }
        Some(changed_keys)
    }

    /// Reads the data centre's instance list if it has changed.
    async fn read_list(&mut self) -> Result<bool, Error> {
        let centre = self.facts.lock().me.centre.clone();
        let Some(list) = self.platform.list(&centre, &self.etag).await? else { return Ok(false) };
        self.etag = list.etag;
        let mut state = self.facts.lock();
        let known = state.lists.entry(centre).or_default();
        // The list has no version number, so the stamp is the wall-clock time, or the next number
        // after the watermark if that is higher.
        let stamp = (known.watermark() + 1).max(base::timeline::wall_ms());
        let listed: HashSet<&str> = list.entries.iter().map(|entry| entry.id.as_str()).collect();
        let removed = known.live().map(|(id, _, _)| id).filter(|id| !listed.contains(id));
        let removed: Vec<String> = removed.map(str::to_owned).collect();
        let changed = list.entries.iter().filter(|entry| known.find(&entry.id) != Some(entry));
        let changed: Vec<ListedInstance> = changed.cloned().collect();
        let any = !removed.is_empty() || !changed.is_empty();
        for id in &removed {
            known.apply(id, stamp, None);
        }
        for entry in changed {
            known.apply(&entry.id.clone(), stamp, Some(entry));
        }
        known.advance_watermark(stamp);
        Ok(any)
    }

    async fn read_members(&self) -> Result<(), Error> {
        for row in self.platform.scan(keys::MEMBERS).await? {
            let Some(member_row) = decode::<WireMember>(&row) else { continue };
            match Member::try_from(member_row) {
                Ok(member) => self.facts.apply_member(member, None),
                Err(error) => log::warn!("ignoring the invalid row {}: {error}", row.key),
            }
        }
        Ok(())
    }
}

/// Writes this process's member row; retries until the platform has committed it.
async fn write_member_row<P: Table>(facts: Facts, platform: Rc<P>) {
    let me = facts.lock().me.clone();
    let value = serde_json::to_string(&WireMember::from(&me)).unwrap_or_default();
    let id = format!("member-{}-{}", me.name, me.incarnation);
    let txn = Txn::new(id).put(keys::member(&me.centre, &me.name), value);
    while let Err(error) = platform.commit(&txn, MEMBER_ROW_TIMEOUT).await {
        log::warn!("failed to write the member row of this process: {error}");
        tokio::time::sleep(HEAD_READ_INTERVAL).await;
    }
}

fn due(last: Option<Instant>, now: Instant, interval: Duration) -> bool {
    last.is_none_or(|last| now.saturating_duration_since(last) >= interval)
}

/// Decodes the JSON of a row.
///
/// Returns `None` if the row is absent, or if its JSON cannot be decoded, which is logged.
pub fn decode<T: serde::de::DeserializeOwned>(row: &Row) -> Option<T> {
    if row.version == 0 {
        return None;
    }
    let decoded = serde_json::from_str(&row.value);
    if let Err(error) = &decoded {
        log::warn!("failed to decode row {}: {error}", row.key);
    }
    decoded.ok()
}
