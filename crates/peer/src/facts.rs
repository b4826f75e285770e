//! A process's copy of the facts that all processes share.
//!
//! Facts are the contracts, instance rows, budgets and instance lists of the platform, observations
//! of backend servers, and the members, which are the processes of the product.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::admin::{MemberStatus, Status};
use base::{Event, Timeline};
use fleet::{Contract, Instance, ListedInstance};
use indexmap::IndexMap;
use route::{Evidence, ServerState};
use tokio::sync::{Notify, watch};

use crate::member::{KnownMember, Member, Role};
use crate::row::BudgetRow;
use crate::versions::VersionedMap;
use crate::wire::{
    GossipMessage, Watermarks, WireBudget, WireContract, WireEvidence, WireInstance, WireListEntry,
    WireListedInstance, WireMember,
};

/// Time without a message after which a member is considered lost.
pub const MEMBER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Contract in force, with its revision and source text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveContract {
    /// Revision of the contract change that put it in force.
    pub revision: u64,
    /// YAML text as the operator wrote it.
    pub text: String,
    /// Contract parsed from the text.
    pub contract: Contract,
}

/// Handle to a process's facts; clones share the same facts.
#[derive(Debug, Clone)]
pub struct Facts {
    state: Arc<Mutex<State>>,
    change_count: Arc<watch::Sender<u64>>,
    push_request: Arc<Notify>,
    timeline: Timeline,
}

/// The facts, behind the lock of [`Facts`].
#[derive(Debug)]
pub struct State {
    /// This process as a member.
    pub me: Member,
    /// Contracts in force, by customer.
    pub contracts: VersionedMap<ActiveContract>,
    /// Instance rows, by instance.
    pub instances: VersionedMap<Instance>,
    /// Budgets and open orders, by customer.
    pub budgets: VersionedMap<BudgetRow>,
    /// The platform's instance lists, by data centre and instance.
    pub lists: IndexMap<String, VersionedMap<ListedInstance>>,
    /// Latest observation of each instance's server.
    pub evidence: IndexMap<String, Evidence>,
    /// Other members, by name.
    pub members: IndexMap<String, KnownMember>,
    /// Whether the platform failed to answer this process's last read.
    pub platform_unreachable: bool,
}

impl Facts {
    /// Creates an empty copy of the facts for a process.
    pub fn open(me: Member, timeline: Timeline) -> Self {
        let state = State {
            me,
            contracts: VersionedMap::default(),
            instances: VersionedMap::default(),
            budgets: VersionedMap::default(),
            lists: IndexMap::new(),
            evidence: IndexMap::new(),
            members: IndexMap::new(),
            platform_unreachable: false,
        };
        let (change_count, _) = watch::channel(0);
        let (state, change_count) = (Arc::new(Mutex::new(state)), Arc::new(change_count));
        Self { state, change_count, push_request: Arc::default(), timeline }
    }

    /// Locks the facts; the guard must be held only for a short read or change.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the timeline of the process.
    pub fn timeline(&self) -> &Timeline {
        &self.timeline
    }

    /// Subscribes to changes; each receiver is notified of every later change on its own.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.change_count.subscribe()
    }

    /// Waits until this process has changes to send to its peers without delay.
    pub async fn push_requested(&self) {
        self.push_request.notified().await;
    }

    /// Notifies the receivers of [`Facts::watch`] of a change.
    ///
    /// With `push_to_peers`, the change is also sent to the peers without delay. It is set for
    /// changes that originate in this process.
    pub fn notify_changed(&self, push_to_peers: bool) {
        self.change_count.send_modify(|count| *count += 1);
        if push_to_peers {
            self.push_request.notify_one();
        }
    }

    /// Applies a contract or, without a text, its tombstone; returns whether it was newer.
    ///
    /// A text that this version cannot parse is ignored, so the older contract stays in force.
    pub fn apply_contract(&self, customer: &str, revision: u64, text: Option<&str>) -> bool {
        let active = match text.map(|text| fleet::file::parse(customer, text)).transpose() {
            Ok(contract) => contract.map(|contract| {
                let text = text.unwrap_or_default().to_owned();
                ActiveContract { revision, text, contract }
            }),
            Err(problems) => {
                log::error!("invalid contract of {customer} at revision {revision}: {problems}");
                return false;
            }
        };
        let newer = self.lock().contracts.apply(customer, revision, active);
        if newer {
            let fields: [(&str, &dyn std::fmt::Display); 2] =
                [("customer", &customer), ("revision", &revision)];
            self.timeline.record(Event::ContractInForce, &fields);
        }
        newer
    }

    /// Applies an observation of an instance's server; returns whether it was newer.
    pub fn apply_evidence(&self, id: &str, observed: Evidence) -> bool {
        let mut state = self.lock();
        let newer = state.evidence.get(id).is_none_or(|held| observed.replaces(*held));
        if newer {
            state.evidence.insert(id.to_owned(), observed);
        }
        drop(state);
        if newer && observed.state == ServerState::Leaving {
            self.timeline.record(Event::ServerLeaving, &[("instance", &id)]);
        }
        newer
    }

    /// Adds or updates a member; an earlier incarnation than the known one is ignored.
    ///
    /// `last_seen` is the arrival time of a message from the member itself. It is `None` for a
    /// record from the table or from another member. A changed record, such as a new incarnation,
    /// does not keep the time of earlier messages.
    pub fn apply_member(&self, member: Member, last_seen: Option<Instant>) {
        let mut state = self.lock();
        if member.name == state.me.name {
            return;
        }
        let known = state.members.get(&member.name);
        if known.is_some_and(|known| known.member.incarnation > member.incarnation) {
            return;
        }
        let seen_before =
            known.filter(|known| known.member == member).and_then(|known| known.last_seen);
        let same_centre = member.centre == state.me.centre;
        let joined = same_centre && seen_before.is_none() && last_seen.is_some();
        let name = member.name.clone();
        let platform_unreachable = known.is_some_and(|known| known.platform_unreachable);
        state.members.insert(
            name.clone(),
            KnownMember { member, last_seen: last_seen.or(seen_before), platform_unreachable },
        );
        drop(state);
        if joined {
            self.timeline.record(Event::PeerJoined, &[("peer", &name)]);
            self.notify_changed(false);
        }
    }

    /// Marks members as lost whose last message is older than [`MEMBER_TIMEOUT`].
    ///
    /// Only losses in this process's data centre are recorded as events.
    pub fn expire_members(&self, now: Instant) {
        let mut lost = Vec::new();
        let mut state = self.lock();
        let centre = state.me.centre.clone();
        for known in state.members.values_mut() {
            let age = known.last_seen.map(|last_seen| now.saturating_duration_since(last_seen));
            if age.is_some_and(|age| age > MEMBER_TIMEOUT) {
                known.last_seen = None;
                if known.member.centre == centre {
                    lost.push(known.member.name.clone());
                }
            }
        }
        drop(state);
        for name in &lost {
            self.timeline.record(Event::PeerLost, &[("peer", name)]);
        }
        if !lost.is_empty() {
            self.notify_changed(false);
        }
    }

    /// Returns the status that is shown to operators.
    pub fn status(&self) -> Status {
        let state = self.lock();
        let contracts = state.contracts.live();
        let contracts = contracts.map(|(customer, revision, _)| (customer.to_owned(), revision));
        let members = state.members.values().map(|known| MemberStatus {
            name: known.member.name.clone(),
            role: known.member.role.to_string(),
            centre: known.member.centre.clone(),
            admin: known.member.admin,
            live: known.last_seen.is_some(),
        });
        Status {
            name: state.me.name.clone(),
            role: state.me.role.to_string(),
            centre: state.me.centre.clone(),
            platform_unreachable: state.platform_unreachable,
            reads_platform: state.is_reader(),
            contracts: contracts.collect(),
            members: members.collect(),
        }
    }

    /// Builds the message for a peer whose watermarks are `base`.
    ///
    /// A complete message holds everything that the peer lacks. Any other holds only the facts
    /// above this process's own watermarks, and observations. `reply_complete` asks the peer for
    /// a complete reply.
    pub fn build_message(
        &self,
        base: &Watermarks,
        complete: bool,
        reply_complete: bool,
    ) -> GossipMessage {
        let state = self.lock();
        let watermarks = state.watermarks();
        // Facts up to this process's own watermarks are sent only in complete messages.
        let base = if complete { base } else { &watermarks };
        let members = state.members.values().map(|known| WireMember::from(&known.member));
        let same_members = !complete || watermarks.members_digest == base.members_digest;
        let members = if same_members { Vec::new() } else { members.collect() };
        GossipMessage {
            sender: WireMember::from(&state.me),
            clock: self.timeline.clock(),
            platform_unreachable: state.platform_unreachable,
            watermarks: watermarks.clone(),
            complete,
            reply_complete,
            base: base.clone(),
            contracts: state.contracts_since(base.contracts),
            instances: state.instances_since(base.fleet),
            budgets: state.budgets_since(base.fleet),
            list_entries: state.list_entries_since(base),
            evidence: state.wire_evidence(),
            members,
        }
    }

    /// Applies a peer's message that arrived at `now`.
    pub fn apply_message(&self, message: GossipMessage, now: Instant) {
        self.timeline.observe(message.clock);
        let mut changed = false;
        for contract in &message.contracts {
            changed |= self.apply_contract(
                &contract.customer,
                contract.revision,
                contract.text.as_deref(),
            );
        }
        changed |= self.apply_instances(message.instances);
        changed |= self.apply_budgets(message.budgets);
        changed |= self.apply_list_entries(message.list_entries);
        for observed in &message.evidence {
            changed |= self.apply_evidence(&observed.id, observed.into());
        }
        if message.complete {
            self.lock().advance_watermarks(&message.base, &message.watermarks);
        }
        for member in message.members {
            self.apply_wire_member(member, None);
        }
        let name = message.sender.name.clone();
        self.apply_wire_member(message.sender, Some(now));
        if let Some(known) = self.lock().members.get_mut(&name) {
            known.platform_unreachable = message.platform_unreachable;
        }
        if changed {
            self.notify_changed(false);
        }
    }

    fn apply_wire_member(&self, member: WireMember, last_seen: Option<Instant>) {
        match Member::try_from(member) {
            Ok(member) => self.apply_member(member, last_seen),
            Err(error) => log::warn!("ignoring an invalid member from a peer: {error}"),
        }
    }

    fn apply_instances(&self, rows: Vec<WireInstance>) -> bool {
        let mut state = self.lock();
        let mut changed = false;
        for row in rows {
            let stamp = row.stamp;
            match Instance::try_from(row) {
                Ok(row) => changed |= state.instances.apply(&row.id.clone(), stamp, Some(row)),
                Err(error) => log::warn!("ignoring an invalid instance row from a peer: {error}"),
            }
        }
        changed
    }

    fn apply_budgets(&self, rows: Vec<WireBudget>) -> bool {
        let mut state = self.lock();
        let mut changed = false;
        for row in rows {
            match serde_json::from_str(&row.text) {
                Ok(budget) => {
                    changed |= state.budgets.apply(&row.customer, row.stamp, Some(budget));
                }
                Err(error) => log::warn!(
                    "ignoring an invalid budget row of {} from a peer: {error}",
                    row.customer
                ),
            }
        }
        changed
    }

    fn apply_list_entries(&self, entries: Vec<WireListEntry>) -> bool {
        let mut state = self.lock();
        let mut changed = false;
        for entry in entries {
            let listed = entry.listed.map(|listed| listed.into_listed_instance(&entry.id));
            let list = state.lists.entry(entry.centre).or_default();
            changed |= list.apply(&entry.id, entry.stamp, listed);
        }
        changed
    }
}

impl State {
    /// Returns the watermarks of this process's facts.
    pub fn watermarks(&self) -> Watermarks {
        let lists = self.lists.iter().map(|(centre, list)| (centre.clone(), list.watermark()));
        Watermarks {
            contracts: self.contracts.watermark(),
            fleet: self.instances.watermark(),
            lists: lists.collect(),
            members_digest: self.members_digest(),
        }
    }

    /// Adopts a sender's watermarks where its message left no gap.
    ///
    /// There is a gap where `base`, from which the message starts, is above this process's
    /// watermark.
    fn advance_watermarks(&mut self, base: &Watermarks, sent: &Watermarks) {
        if base.contracts <= self.contracts.watermark() {
            self.contracts.advance_watermark(sent.contracts);
        }
        if base.fleet <= self.instances.watermark() {
            self.instances.advance_watermark(sent.fleet);
            self.budgets.advance_watermark(sent.fleet);
        }
        for (centre, watermark) in &sent.lists {
            let list = self.lists.entry(centre.clone()).or_default();
            if base.list(centre) <= list.watermark() {
                list.advance_watermark(*watermark);
            }
        }
    }

    /// Returns the entries of all instance lists.
    pub fn listed_instances(&self) -> impl Iterator<Item = &ListedInstance> {
        self.lists.values().flat_map(|list| list.live().map(|(_, _, listed)| listed))
    }

    /// Returns the list entry of an instance, in whichever data centre it is listed.
    pub fn listed_instance(&self, id: &str) -> Option<&ListedInstance> {
        self.lists.values().find_map(|list| list.find(id))
    }

    /// Returns the customer whose contract contains a pool.
    pub fn customer_of_pool(&self, pool: &str) -> Option<&str> {
        let mut contracts = self.contracts.live();
        let found =
            contracts.find(|(_, _, active)| active.contract.service_of_pool(pool).is_some());
        found.map(|(customer, _, _)| customer)
    }

    fn contracts_since(&self, base: u64) -> Vec<WireContract> {
        let newer = self.contracts.since(base).map(|(customer, revision, active)| WireContract {
            customer: customer.to_owned(),
            revision,
            text: active.map(|active| active.text.clone()),
        });
        newer.collect()
    }

    fn instances_since(&self, base: u64) -> Vec<WireInstance> {
        let newer = self.instances.since(base);
        newer.filter_map(|(_, stamp, row)| row.map(|row| WireInstance::new(stamp, row))).collect()
    }

    fn budgets_since(&self, base: u64) -> Vec<WireBudget> {
        let newer = self.budgets.since(base).filter_map(|(customer, stamp, row)| {
            let text = serde_json::to_string(row?).ok()?;
            Some(WireBudget { customer: customer.to_owned(), stamp, text })
        });
        newer.collect()
    }

    fn list_entries_since(&self, base: &Watermarks) -> Vec<WireListEntry> {
        let mut newer = Vec::new();
        for (centre, list) in &self.lists {
            newer.extend(list.since(base.list(centre)).map(|(id, stamp, listed)| WireListEntry {
                centre: centre.clone(),
                id: id.to_owned(),
                stamp,
                listed: listed.map(WireListedInstance::from),
            }));
        }
        newer
    }

    fn wire_evidence(&self) -> Vec<WireEvidence> {
        let evidence = self.evidence_not_in_lists().map(|(id, observed)| WireEvidence {
            id: id.clone(),
            incarnation: observed.incarnation,
            leaving: observed.state == ServerState::Leaving,
        });
        evidence.collect()
    }

    /// Returns the other live members of this process's data centre.
    pub fn live_centre_peers(&self) -> impl Iterator<Item = &Member> {
        let live = self.members.values().filter(|known| known.last_seen.is_some());
        live.map(|known| &known.member).filter(|member| member.centre == self.me.centre)
    }

    /// Returns the number of live entry processes in the data centre, including this process.
    pub fn live_entry_count(&self) -> usize {
        let others = self.live_centre_peers().filter(|member| member.role == Role::Entry).count();
        others + usize::from(self.me.role == Role::Entry)
    }

    /// Returns whether this process is the reader of its data centre.
    ///
    /// The reader is the one process that reads the platform for the data centre: the first live
    /// member by name. Other members that the platform does not answer are passed over.
    pub fn is_reader(&self) -> bool {
        let centre = &self.me.centre;
        let mut live = self.members.values().filter(|known| known.last_seen.is_some());
        !live.any(|known| {
            known.member.centre == *centre
                && !known.platform_unreachable
                && known.member.name < self.me.name
        })
    }

    /// Returns the observations that the platform's lists do not show yet.
    ///
    /// An observation of an earlier incarnation than the listed one is obsolete and left out.
    fn evidence_not_in_lists(&self) -> impl Iterator<Item = (&String, &Evidence)> {
        self.evidence.iter().filter(|(id, observed)| {
            self.listed_instance(id).is_none_or(|listed| {
                let leaving = listed.state == fleet::ListState::Leaving;
                let shown = listed.incarnation == observed.incarnation
                    && leaving == (observed.state == ServerState::Leaving);
                listed.incarnation <= observed.incarnation && !shown
            })
        })
    }

    fn members_digest(&self) -> u64 {
        let mut members: Vec<_> = self.members.values().map(|known| &known.member).collect();
        members.push(&self.me);
        members.sort_by_key(|member| &member.name);
        let mut hasher = DefaultHasher::new();
        members.hash(&mut hasher);
        hasher.finish()
    }
}
