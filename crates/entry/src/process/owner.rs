//! Finds the one process that may run a request, and hands the request to it.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::{Duration, Instant};

use futures_util::future::BoxFuture;
use peer::member::Member;
use peer::row::ClaimRow;
use peer::{Answer, Facts, ForwardedRequest, Links, RequestHandler};
use route::Ticket;
use route::ticket::ParseError;
use tokio::sync::watch;

use crate::process::claims::{Claimed, Claims};
use crate::process::desk::{Clerk, Order};
use crate::process::journal::{Entry, Journal, Stage};
use crate::request::answer;
use crate::request::attempt::Call;
use crate::version::{Rule, Rules};

/// Time to come back after while the table does not confirm claims.
const AWAY_RETRY: Duration = Duration::from_secs(2);
/// Longest key that a caller may choose, in bytes.
pub const KEY_LIMIT: usize = 200;

/// Handle on the ownership of requests; copies share it.
#[derive(Debug, Clone)]
pub struct Owners {
    facts: Facts,
    links: Links,
    journal: Journal,
    claims: Claims,
    clerk: Clerk,
    rules: Arc<RwLock<Arc<Rules>>>,
}

/// Who may run a request.
enum Owner {
    /// This process; `fresh` when its claim has just been taken.
    Me { number: Option<u64>, fresh: bool },
    /// Another process that lives.
    Other(Member),
    /// A process that is gone or out of reach.
    Lost,
    /// Nobody yet, and nobody can be made owner now.
    Nobody,
}

impl Owners {
    /// Opens the ownership of one process.
    pub fn open(
        facts: Facts,
        links: Links,
        journal: Journal,
        claims: Claims,
        clerk: Clerk,
        rules: Arc<RwLock<Arc<Rules>>>,
    ) -> Self {
        Self { facts, links, journal, claims, clerk, rules }
    }

    /// Hands out a ticket that this process owns.
    pub fn issue(&self) -> Ticket {
        self.journal.issue()
    }

    /// Runs a request under a key, or fetches the result of an earlier one.
    pub async fn submit(&self, rule: Arc<Rule>, submit: ForwardedRequest) -> Answer {
        let deadline = Instant::now() + Duration::from_millis(submit.remaining_ms);
        let owner = match submit.key.parse::<Ticket>() {
            Ok(ticket) => self.by_ticket(&ticket),
            Err(ParseError::Malformed) => return answer::bad("the ticket is damaged"),
            Err(ParseError::NotATicket) => self.by_claim(&submit, deadline).await,
        };
        match owner {
            Owner::Me { number, fresh } => self.run(rule, submit, number, fresh, deadline).await,
            Owner::Other(member) => self.forward(member, submit).await,
            Owner::Lost => answer::unknown("the process that may run the request is gone"),
            Owner::Nobody => answer::not_run("the platform's table is away", AWAY_RETRY),
        }
    }

    /// Fetches the result of a request without running it.
    pub async fn fetch(&self, mut submit: ForwardedRequest) -> Answer {
        submit.result_only = true;
        if let Some(stage) = self.journal.follow(&submit_key(&submit)) {
            let deadline = Instant::now() + Duration::from_millis(submit.remaining_ms);
            return wait(stage, deadline).await;
        }
        let owner = match submit.key.parse::<Ticket>() {
            Ok(ticket) => self.by_ticket(&ticket),
            Err(_) => Owner::Lost,
        };
        match owner {
            Owner::Other(member) => self.forward(member, submit).await,
            _ => answer::unknown("this process knows nothing of the request"),
        }
    }

    fn by_ticket(&self, ticket: &Ticket) -> Owner {
        let (owner, incarnation) = (ticket.owner.as_str(), ticket.incarnation);
        self.by_name(owner, incarnation, Some(ticket.number), false)
    }

    fn by_name(&self, owner: &str, incarnation: u64, number: Option<u64>, fresh: bool) -> Owner {
        let state = self.facts.lock();
        if owner == state.me.name {
            let same = incarnation == state.me.incarnation;
            return if same { Owner::Me { number, fresh } } else { Owner::Lost };
        }
        let known = state.members.get(owner);
        let live = known.filter(|known| known.member.incarnation == incarnation);
        live.map_or(Owner::Lost, |known| Owner::Other(known.member.clone()))
    }

    async fn by_claim(&self, submit: &ForwardedRequest, deadline: Instant) -> Owner {
        let name = submit_key(submit);
        if self.journal.follow(&name).is_some() {
            return Owner::Me { number: None, fresh: false };
        }
        let claim = self.claims.claim(&submit.customer, &submit.key, &name);
        // A claim that is confirmed too late is this process's own and nothing has run under it.
        match tokio::time::timeout_at(deadline.into(), claim).await {
            Ok(Claimed::Mine) => Owner::Me { number: None, fresh: true },
            Ok(Claimed::Taken(ClaimRow { owner, incarnation })) => {
                let fresh = self.journal.vacant(&name);
                self.by_name(&owner, incarnation, None, fresh)
            }
            Ok(Claimed::Away) | Err(_) => Owner::Nobody,
        }
    }

    async fn run(
        &self,
        rule: Arc<Rule>,
        submit: ForwardedRequest,
        number: Option<u64>,
        fresh: bool,
        deadline: Instant,
    ) -> Answer {
        let key = submit_key(&submit);
        match self.journal.enter(&key, mark(&submit), number, fresh) {
            Entry::Other => answer::clash("the key was used for another request"),
            Entry::Forgotten => answer::unknown("the request's result is no longer held"),
            Entry::Join(stage) => wait(stage, deadline).await,
            Entry::Run => {
                let urgency = submit.urgency.parse().unwrap_or(rule.service.urgency);
                let call = Call::from(submit);
                let stage = self.journal.follow(&key);
                self.clerk.take(Order { key: key.clone(), rule, urgency, call, deadline });
                self.answer(&key, stage, deadline).await
            }
        }
    }

    /// Waits for the answer; at the deadline a request that has not left is given up.
    async fn answer(
        &self,
        key: &str,
        stage: Option<watch::Receiver<Stage>>,
        deadline: Instant,
    ) -> Answer {
        let Some(stage) = stage else { return answer::unknown("the request was lost") };
        if Instant::now() < deadline {
            let answer = wait(stage.clone(), deadline).await;
            if answer.outcome != "unknown" {
                return answer;
            }
        }
        let late = answer::not_run("no slot before the deadline", route::queue::MIN_RETRY_DELAY);
        if self.journal.give_up(key, late.clone()) {
            return late;
        }
        wait(stage, deadline).await
    }

    async fn forward(&self, member: Member, mut submit: ForwardedRequest) -> Answer {
        submit.incarnation = member.incarnation;
        let limit = Duration::from_millis(submit.remaining_ms);
        match self.links.submit(member.peer, submit, limit).await {
            Ok(answer) => answer,
            Err(error) => {
                log::debug!("{error}");
                answer::unknown("the process that may run the request does not answer")
            }
        }
    }

    /// Takes a request that another process handed on.
    async fn handed(self, rules: Arc<Rules>, submit: ForwardedRequest) -> Answer {
        if submit.incarnation != self.facts.lock().me.incarnation {
            return answer::unknown("the process that may run the request is gone");
        }
        if submit.result_only {
            return self.fetch(submit).await;
        }
        match rules.find(&submit.customer, &submit.service) {
            Ok(rule) => {
                let deadline = Instant::now() + Duration::from_millis(submit.remaining_ms);
                let number = submit.key.parse::<Ticket>().ok().map(|ticket| ticket.number);
                let fresh = self.journal.vacant(&submit_key(&submit));
                self.run(rule, submit, number, fresh, deadline).await
            }
            Err(_) => answer::unknown("the owner holds no contract for the request"),
        }
    }
}

impl RequestHandler for Owners {
    fn submit(&self, submit: ForwardedRequest) -> BoxFuture<'static, Answer> {
        let owners = self.clone();
        let rules = self.rules.read().unwrap_or_else(PoisonError::into_inner).clone();
        Box::pin(owners.handed(rules, submit))
    }
}

/// Name of a request in the journal.
fn submit_key(submit: &ForwardedRequest) -> String {
    if submit.key.parse::<Ticket>().is_ok() {
        return submit.key.clone();
    }
    format!("{}/{}", submit.customer, submit.key)
}

/// Digest that tells two requests under one key apart.
fn mark(submit: &ForwardedRequest) -> u64 {
    let mut hasher = DefaultHasher::new();
    (&submit.customer, &submit.service, &submit.method, &submit.path, &submit.body)
        .hash(&mut hasher);
    hasher.finish()
}

/// Waits for a request's final answer until the deadline.
async fn wait(mut stage: watch::Receiver<Stage>, deadline: Instant) -> Answer {
    let ended = stage.wait_for(|stage| matches!(stage, Stage::Ended(_)));
    match tokio::time::timeout_at(deadline.into(), ended).await {
        Ok(Ok(stage)) => match &*stage {
            Stage::Ended(answer) => Answer::clone(answer),
            _ => answer::unknown("the request was lost"),
        },
        _ => answer::unknown("no answer before the deadline"),
    }
}
