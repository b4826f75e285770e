//! The copy of the shared facts that one process keeps.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::admin::{MemberStatus, Status};
use base::{Event, Timeline};
use fleet::{Contract, Instance, ListedInstance};
use indexmap::IndexMap;
use route::{Evidence, ServerState};
use tokio::sync::{Notify, watch};

use crate::member::{Known, Member, Role};
use crate::row::BudgetRow;
use crate::versions::Versions;
use crate::wire::{
    Have, News, WireBudget, WireContract, WireEvidence, WireInstance, WireLine, WireListed,
    WireMember,
};

/// Silence after which a member counts as lost.
pub const LOST_AFTER: Duration = Duration::from_millis(2_000);

/// A contract that is in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Agreed {
    /// Revision of the change that brought it.
    pub revision: u64,
    /// Text as the operator wrote it.
    pub text: String,
    /// The contract.
    pub contract: Contract,
}

/// Handle on a process's facts; copies share them.
#[derive(Debug, Clone)]
pub struct Facts {
    state: Arc<Mutex<State>>,
    changed: Arc<watch::Sender<u64>>,
    push: Arc<Notify>,
    timeline: Timeline,
}

/// The facts themselves.
#[derive(Debug)]
pub struct State {
    /// This process.
    pub me: Member,
    /// Contracts by customer.
    pub contracts: Versions<Agreed>,
    /// Instance rows by instance.
    pub instances: Versions<Instance>,
    /// Budgets and open orders by customer.
    pub budgets: Versions<BudgetRow>,
    /// The platform's lists by data centre, each by instance.
    pub lists: IndexMap<String, Versions<ListedInstance>>,
    /// Newest sightings by instance.
    pub evidence: IndexMap<String, Evidence>,
    /// Other members by name.
    pub members: IndexMap<String, Known>,
    /// Whether the platform answered this process last.
    pub away: bool,
}

impl Facts {
    /// Opens an empty copy for a process.
    pub fn open(me: Member, timeline: Timeline) -> Self {
        let state = State {
            me,
            contracts: Versions::default(),
            instances: Versions::default(),
            budgets: Versions::default(),
            lists: IndexMap::new(),
            evidence: IndexMap::new(),
            members: IndexMap::new(),
            away: false,
        };
        let (changed, _) = watch::channel(0);
        let (state, changed) = (Arc::new(Mutex::new(state)), Arc::new(changed));
        Self { state, changed, push: Arc::default(), timeline }
    }

    /// Locks the facts for a short read or change.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time line of the process.
    pub fn timeline(&self) -> &Timeline {
        &self.timeline
    }

    /// Tells watchers apart from one another; each sees every later change.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Completes when this process has news that its peers should get at once.
    pub async fn pushed(&self) {
        self.push.notified().await;
    }

    /// Tells watchers that facts changed, and peers too when the news began here.
    pub fn announce(&self, own: bool) {
        self.changed.send_modify(|count| *count += 1);
        if own {
            self.push.notify_one();
        }
    }

    /// Takes in a contract or its tombstone; true when it was newer.
    ///
    /// A text that this version can't read keeps the older contract in force.
    pub fn contract(&self, customer: &str, revision: u64, text: Option<&str>) -> bool {
        let agreed = match text.map(|text| fleet::file::parse(customer, text)).transpose() {
            Ok(contract) => contract.map(|contract| {
                let text = text.unwrap_or_default().to_owned();
                Agreed { revision, text, contract }
            }),
            Err(problems) => {
                log::error!("contract of {customer} at revision {revision}: {problems}");
                return false;
            }
        };
        let new = self.lock().contracts.apply(customer, revision, agreed);
        if new {
            let fields: [(&str, &dyn std::fmt::Display); 2] =
                [("customer", &customer), ("revision", &revision)];
            self.timeline.record(Event::ContractInForce, &fields);
        }
        new
    }

    /// Takes in a sighting; true when it was newer.
    pub fn sighting(&self, id: &str, seen: Evidence) -> bool {
        let mut state = self.lock();
        let newer = state.evidence.get(id).is_none_or(|held| seen.replaces(*held));
        if newer {
            state.evidence.insert(id.to_owned(), seen);
        }
        drop(state);
        if newer && seen.state == ServerState::Leaving {
            self.timeline.record(Event::ServerLeaving, &[("instance", &id)]);
        }
        newer
    }

    /// Takes in a member that was read about or heard from.
    pub fn member(&self, member: Member, heard: Option<Instant>) {
        let mut state = self.lock();
        if member.name == state.me.name {
            return;
        }
        let known = state.members.get(&member.name);
        if known.is_some_and(|known| known.member.incarnation > member.incarnation) {
            return;
        }
        let was = known.filter(|known| known.member == member).and_then(|known| known.heard);
        let near = member.centre == state.me.centre;
        let joined = near && was.is_none() && heard.is_some();
        let name = member.name.clone();
        let away = known.is_some_and(|known| known.away);
        state.members.insert(name.clone(), Known { member, heard: heard.or(was), away });
        drop(state);
        if joined {
            self.timeline.record(Event::PeerJoined, &[("peer", &name)]);
            self.announce(false);
        }
    }

    /// Forgets that silent members were heard; those of other data centres are not reported.
    pub fn expire(&self, now: Instant) {
        let mut lost = Vec::new();
        let mut state = self.lock();
        let centre = state.me.centre.clone();
        for known in state.members.values_mut() {
            let age = known.heard.map(|heard| now.saturating_duration_since(heard));
            if age.is_some_and(|age| age > LOST_AFTER) {
                known.heard = None;
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
            self.announce(false);
        }
    }

    /// State for operators.
    pub fn status(&self) -> Status {
        let state = self.lock();
        let contracts = state.contracts.live();
        let contracts = contracts.map(|(customer, revision, _)| (customer.to_owned(), revision));
        let members = state.members.values().map(|known| MemberStatus {
            name: known.member.name.clone(),
            role: known.member.role.to_string(),
            centre: known.member.centre.clone(),
            admin: known.member.admin,
            live: known.heard.is_some(),
        });
        Status {
            name: state.me.name.clone(),
            role: state.me.role.to_string(),
            centre: state.me.centre.clone(),
            platform_unreachable: state.away,
            reads_platform: state.reads(),
            contracts: contracts.collect(),
            members: members.collect(),
        }
    }

    /// What to tell a peer that holds `base`; everything it lacks when `whole`.
    pub fn news(&self, base: &Have, whole: bool, want: bool) -> News {
        let state = self.lock();
        let have = state.have();
        // A peer that lacks nothing is told nothing.
        let base = if whole { base } else { &have };
        let members = state.members.values().map(|known| WireMember::from(&known.member));
        let same = !whole || have.members == base.members;
        let members = if same { Vec::new() } else { members.collect() };
        News {
            from: WireMember::from(&state.me),
            clock: self.timeline.clock(),
            away: state.away,
            have: have.clone(),
            whole,
            want,
            base: base.clone(),
            contracts: state.contract_news(base.contracts),
            instances: state.instance_news(base.work),
            budgets: state.budget_news(base.work),
            lines: state.line_news(base),
            evidence: state.evidence_news(),
            members,
        }
    }

    /// Takes in what a peer told.
    pub fn hear(&self, news: News, now: Instant) {
        self.timeline.observe(news.clock);
        let mut changed = false;
        for contract in &news.contracts {
            changed |=
                self.contract(&contract.customer, contract.revision, contract.text.as_deref());
        }
        changed |= self.rows(news.instances);
        changed |= self.budgets(news.budgets);
        changed |= self.lines(news.lines);
        for seen in &news.evidence {
            changed |= self.sighting(&seen.id, seen.into());
        }
        if news.whole {
            self.lock().advance(&news.base, &news.have);
        }
        for member in news.members {
            self.known(member, None);
        }
        let name = news.from.name.clone();
        self.known(news.from, Some(now));
        if let Some(known) = self.lock().members.get_mut(&name) {
            known.away = news.away;
        }
        if changed {
            self.announce(false);
        }
    }

    fn known(&self, member: WireMember, heard: Option<Instant>) {
        match Member::try_from(member) {
            Ok(member) => self.member(member, heard),
            Err(error) => log::warn!("a peer spoke of a member: {error}"),
        }
    }

    fn rows(&self, rows: Vec<WireInstance>) -> bool {
        let mut state = self.lock();
        let mut changed = false;
        for row in rows {
            let stamp = row.stamp;
            match Instance::try_from(row) {
                Ok(row) => changed |= state.instances.apply(&row.id.clone(), stamp, Some(row)),
                Err(error) => log::warn!("a peer sent an instance row: {error}"),
            }
        }
        changed
    }

    fn budgets(&self, rows: Vec<WireBudget>) -> bool {
        let mut state = self.lock();
        let mut changed = false;
        for row in rows {
            match serde_json::from_str(&row.text) {
                Ok(budget) => {
                    changed |= state.budgets.apply(&row.customer, row.stamp, Some(budget));
                }
                Err(error) => log::warn!("a peer sent a budget of {}: {error}", row.customer),
            }
        }
        changed
    }

    fn lines(&self, lines: Vec<WireLine>) -> bool {
        let mut state = self.lock();
        let mut changed = false;
        for line in lines {
            let listed = line.line.map(|listed| listed.named(&line.id));
            let list = state.lists.entry(line.centre).or_default();
            changed |= list.apply(&line.id, line.stamp, listed);
        }
        changed
    }
}

impl State {
    /// Stamps up to which everything is held.
    pub fn have(&self) -> Have {
        let lists = self.lists.iter().map(|(centre, list)| (centre.clone(), list.mark()));
        Have {
            contracts: self.contracts.mark(),
            work: self.instances.mark(),
            lists: lists.collect(),
            members: self.digest(),
        }
    }

    /// Takes over a sender's stamps where its news left no gap.
    fn advance(&mut self, base: &Have, have: &Have) {
        if base.contracts <= self.contracts.mark() {
            self.contracts.advance(have.contracts);
        }
        if base.work <= self.instances.mark() {
            self.instances.advance(have.work);
            self.budgets.advance(have.work);
        }
        for (centre, mark) in &have.lists {
            let list = self.lists.entry(centre.clone()).or_default();
            if base.list(centre) <= list.mark() {
                list.advance(*mark);
            }
        }
    }

    /// All lines of all lists.
    pub fn listed(&self) -> impl Iterator<Item = &ListedInstance> {
        self.lists.values().flat_map(|list| list.live().map(|(_, _, line)| line))
    }

    /// Looks a listed instance up.
    pub fn line(&self, id: &str) -> Option<&ListedInstance> {
        self.lists.values().find_map(|list| list.find(id))
    }

    /// Customer whose contract names a pool.
    pub fn owner(&self, pool: &str) -> Option<&str> {
        let mut contracts = self.contracts.live();
        let found =
            contracts.find(|(_, _, agreed)| agreed.contract.service_of_pool(pool).is_some());
        found.map(|(customer, _, _)| customer)
    }

    fn contract_news(&self, base: u64) -> Vec<WireContract> {
        let news = self.contracts.since(base).map(|(customer, revision, agreed)| WireContract {
            customer: customer.to_owned(),
            revision,
            text: agreed.map(|agreed| agreed.text.clone()),
        });
        news.collect()
    }

    fn instance_news(&self, base: u64) -> Vec<WireInstance> {
        let news = self.instances.since(base);
        news.filter_map(|(_, stamp, row)| row.map(|row| WireInstance::new(stamp, row))).collect()
    }

    fn budget_news(&self, base: u64) -> Vec<WireBudget> {
        let news = self.budgets.since(base).filter_map(|(customer, stamp, row)| {
            let text = serde_json::to_string(row?).ok()?;
            Some(WireBudget { customer: customer.to_owned(), stamp, text })
        });
        news.collect()
    }

    fn line_news(&self, base: &Have) -> Vec<WireLine> {
        let mut news = Vec::new();
        for (centre, list) in &self.lists {
            news.extend(list.since(base.list(centre)).map(|(id, stamp, line)| WireLine {
                centre: centre.clone(),
                id: id.to_owned(),
                stamp,
                line: line.map(WireListed::from),
            }));
        }
        news
    }

    fn evidence_news(&self) -> Vec<WireEvidence> {
        let news = self.fresh_evidence().map(|(id, seen)| WireEvidence {
            id: id.clone(),
            incarnation: seen.incarnation,
            leaving: seen.state == ServerState::Leaving,
        });
        news.collect()
    }

    /// Other members of the data centre that were heard of lately.
    pub fn local(&self) -> impl Iterator<Item = &Member> {
        let live = self.members.values().filter(|known| known.heard.is_some());
        live.map(|known| &known.member).filter(|member| member.centre == self.me.centre)
    }

    /// Entry processes of the data centre, this one included when it is one.
    pub fn entries(&self) -> usize {
        let others = self.local().filter(|member| member.role == Role::Entry).count();
        others + usize::from(self.me.role == Role::Entry)
    }

    /// Whether this process reads the platform for its data centre.
    ///
    /// The first live member by name does, unless the platform does not answer it.
    pub fn reads(&self) -> bool {
        let centre = &self.me.centre;
        let mut live = self.members.values().filter(|known| known.heard.is_some());
        !live.any(|known| {
            known.member.centre == *centre && !known.away && known.member.name < self.me.name
        })
    }

    /// Sightings that the platform's list does not tell yet.
    fn fresh_evidence(&self) -> impl Iterator<Item = (&String, &Evidence)> {
        self.evidence.iter().filter(|(id, seen)| {
            self.line(id).is_none_or(|line| {
                let leaving = line.state == fleet::ListState::Leaving;
                let told = line.incarnation == seen.incarnation
                    && leaving == (seen.state == ServerState::Leaving);
                line.incarnation <= seen.incarnation && !told
            })
        })
    }

    fn digest(&self) -> u64 {
        let mut names: Vec<_> = self.members.values().map(|known| &known.member).collect();
        names.push(&self.me);
        names.sort_by_key(|member| &member.name);
        let mut hasher = DefaultHasher::new();
        names.hash(&mut hasher);
        hasher.finish()
    }
}
