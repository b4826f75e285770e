//! Finds the owner of a request, the only process that may run it, and forwards the request to it.
//!
//! The owner is the process that issued the request's ticket, or that claimed its idempotency key.

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

use crate::process::claims::{ClaimResult, Claims};
use crate::process::desk::{OwnedRequest, Runner};
use crate::process::journal::{Journal, Registration, Stage};
use crate::request::answer;
use crate::request::attempt::Call;
use crate::version::{Rule, Rules};

/// Retry delay of a request whose claim the table did not confirm.
const CLAIM_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Maximum length of a key that a caller chooses, in bytes.
pub const MAX_KEY_BYTES: usize = 200;

/// Runs requests on their owners; clones share the same state.
#[derive(Debug, Clone)]
pub struct OwnerRouter {
    facts: Facts,
    links: Links,
    journal: Journal,
    claims: Claims,
    runner: Runner,
    rules: Arc<RwLock<Arc<Rules>>>,
}

/// Owner of a request, the only process that may run it.
enum Owner {
    /// This process.
    ///
    /// `ticket_number` is set if the key is a ticket; `fresh_claim` is true if this process has
    /// claimed the key and started no request under it.
    Local { ticket_number: Option<u64>, fresh_claim: bool },
    /// Another process, which is a live member.
    Remote(Member),
    /// A process that restarted or is not a live member.
    Unreachable,
    /// No known process, because the claim was not confirmed.
    Unconfirmed,
}

impl OwnerRouter {
    /// Creates the router of this process.
    pub fn open(
        facts: Facts,
        links: Links,
        journal: Journal,
        claims: Claims,
        runner: Runner,
        rules: Arc<RwLock<Arc<Rules>>>,
    ) -> Self {
        Self { facts, links, journal, claims, runner, rules }
    }

    /// Issues a ticket whose request this process owns.
    pub fn issue_ticket(&self) -> Ticket {
        self.journal.issue_ticket()
    }

    /// Runs a request under its key, or returns the result if it has run before.
    pub async fn submit(&self, rule: Arc<Rule>, request: ForwardedRequest) -> Answer {
        let deadline = Instant::now() + Duration::from_millis(request.remaining_ms);
        let owner = match request.key.parse::<Ticket>() {
            Ok(ticket) => self.ticket_owner(&ticket),
            Err(ParseError::Malformed) => return answer::bad_request("the ticket is damaged"),
            Err(ParseError::NotATicket) => self.claim_owner(&request, deadline).await,
        };
        match owner {
            Owner::Local { ticket_number, fresh_claim } => {
                self.run_local(rule, request, ticket_number, fresh_claim, deadline).await
            }
            Owner::Remote(member) => self.forward(member, request).await,
            Owner::Unreachable => answer::unknown("the process that may run the request is gone"),
            Owner::Unconfirmed => {
                answer::not_run("the platform's table is away", CLAIM_RETRY_DELAY)
            }
        }
    }

    /// Returns the result of a request without running it.
    pub async fn fetch_result(&self, mut request: ForwardedRequest) -> Answer {
        request.result_only = true;
        if let Some(stage) = self.journal.subscribe(&journal_key(&request)) {
            let deadline = Instant::now() + Duration::from_millis(request.remaining_ms);
            return wait_for_result(stage, deadline).await;
        }
        let owner = match request.key.parse::<Ticket>() {
            Ok(ticket) => self.ticket_owner(&ticket),
            // The owner of a key that the caller chose is not looked up in the table.
            Err(_) => Owner::Unreachable,
        };
        match owner {
            Owner::Remote(member) => self.forward(member, request).await,
            _ => answer::unknown("this process knows nothing of the request"),
        }
    }

    /// Returns the owner of a ticket.
    fn ticket_owner(&self, ticket: &Ticket) -> Owner {
        let (owner, incarnation) = (ticket.owner.as_str(), ticket.incarnation);
        self.find_owner(owner, incarnation, Some(ticket.number), false)
    }

    /// Returns the owner with the given name and incarnation.
    fn find_owner(
        &self,
        owner: &str,
        incarnation: u64,
        ticket_number: Option<u64>,
        fresh_claim: bool,
    ) -> Owner {
        let state = self.facts.lock();
        if owner == state.me.name {
            let same_incarnation = incarnation == state.me.incarnation;
            return if same_incarnation {
                Owner::Local { ticket_number, fresh_claim }
            } else {
                Owner::Unreachable
            };
        }
        let member = state.members.get(owner);
        let live = member.filter(|known| known.member.incarnation == incarnation);
        live.map_or(Owner::Unreachable, |known| Owner::Remote(known.member.clone()))
    }

    /// Returns the owner of a key that the caller chose, claiming the key if it is free.
    async fn claim_owner(&self, request: &ForwardedRequest, deadline: Instant) -> Owner {
        let journal_key = journal_key(request);
        if self.journal.subscribe(&journal_key).is_some() {
            return Owner::Local { ticket_number: None, fresh_claim: false };
        }
        let claim = self.claims.claim(&request.customer, &request.key, &journal_key);
        // A claim that is committed after the deadline stays with this process. No request was
        // started under it, so a retry of the request may still run here.
        match tokio::time::timeout_at(deadline.into(), claim).await {
            Ok(ClaimResult::Acquired) => Owner::Local { ticket_number: None, fresh_claim: true },
            Ok(ClaimResult::Taken(ClaimRow { owner, incarnation })) => {
                let fresh_claim = self.journal.is_unstarted(&journal_key);
                self.find_owner(&owner, incarnation, None, fresh_claim)
            }
            Ok(ClaimResult::Unconfirmed) | Err(_) => Owner::Unconfirmed,
        }
    }

    /// Runs a request that this process owns, or waits for the one in the journal.
    async fn run_local(
        &self,
        rule: Arc<Rule>,
        request: ForwardedRequest,
        ticket_number: Option<u64>,
        fresh_claim: bool,
        deadline: Instant,
    ) -> Answer {
        let journal_key = journal_key(&request);
        match self.journal.register(
            &journal_key,
            request_digest(&request),
            ticket_number,
            fresh_claim,
        ) {
            Registration::KeyConflict => {
                answer::key_conflict("the key was used for another request")
            }
            Registration::Unknown => answer::unknown("the request's result is no longer held"),
            Registration::Join(stage) => wait_for_result(stage, deadline).await,
            Registration::Run => {
                let urgency = request.urgency.parse().unwrap_or(rule.service.urgency);
                let call = Call::from(request);
                let stage = self.journal.subscribe(&journal_key);
                self.runner.start(OwnedRequest {
                    journal_key: journal_key.clone(),
                    rule,
                    urgency,
                    call,
                    deadline,
                });
                self.wait_or_cancel(&journal_key, stage, deadline).await
            }
        }
    }

    /// Waits for the answer; at the deadline, cancels the request if it was not sent.
    async fn wait_or_cancel(
        &self,
        journal_key: &str,
        stage: Option<watch::Receiver<Stage>>,
        deadline: Instant,
    ) -> Answer {
        let Some(stage) = stage else { return answer::unknown("the request was lost") };
        if Instant::now() < deadline {
            let answer = wait_for_result(stage.clone(), deadline).await;
            if answer.outcome != "unknown" {
                return answer;
            }
        }
        let not_run = answer::not_run("no slot before the deadline", route::queue::MIN_RETRY_DELAY);
        if self.journal.cancel(journal_key, not_run.clone()) {
            return not_run;
        }
        wait_for_result(stage, deadline).await
    }

    /// Forwards a request to its owner and returns the owner's answer.
    async fn forward(&self, member: Member, mut request: ForwardedRequest) -> Answer {
        request.incarnation = member.incarnation;
        let timeout = Duration::from_millis(request.remaining_ms);
        match self.links.submit(member.peer, request, timeout).await {
            Ok(answer) => answer,
            Err(error) => {
                log::debug!("forwarding a request to its owner failed: {error}");
                answer::unknown("the process that may run the request does not answer")
            }
        }
    }

    /// Handles a request that another process forwarded.
    async fn submit_forwarded(self, rules: Arc<Rules>, request: ForwardedRequest) -> Answer {
        if request.incarnation != self.facts.lock().me.incarnation {
            return answer::unknown("the process that may run the request is gone");
        }
        if request.result_only {
            return self.fetch_result(request).await;
        }
        match rules.find(&request.customer, &request.service) {
            Ok(rule) => {
                let deadline = Instant::now() + Duration::from_millis(request.remaining_ms);
                let ticket_number = request.key.parse::<Ticket>().ok().map(|ticket| ticket.number);
                let fresh_claim = self.journal.is_unstarted(&journal_key(&request));
                self.run_local(rule, request, ticket_number, fresh_claim, deadline).await
            }
            Err(_) => answer::unknown("the owner holds no contract for the request"),
        }
    }
}

impl RequestHandler for OwnerRouter {
    fn submit(&self, request: ForwardedRequest) -> BoxFuture<'static, Answer> {
        let router = self.clone();
        let rules = self.rules.read().unwrap_or_else(PoisonError::into_inner).clone();
        Box::pin(router.submit_forwarded(rules, request))
    }
}

/// Returns the key of a request in the journal.
fn journal_key(request: &ForwardedRequest) -> String {
    if request.key.parse::<Ticket>().is_ok() {
        return request.key.clone();
    }
    format!("{}/{}", request.customer, request.key)
}

/// Returns a digest that distinguishes requests under the same key.
fn request_digest(request: &ForwardedRequest) -> u64 {
    let mut hasher = DefaultHasher::new();
    (&request.customer, &request.service, &request.method, &request.path, &request.body)
        .hash(&mut hasher);
    hasher.finish()
}

/// Waits for a request's final answer until the deadline.
async fn wait_for_result(mut stage: watch::Receiver<Stage>, deadline: Instant) -> Answer {
    let finished = stage.wait_for(|stage| matches!(stage, Stage::Finished(_)));
    match tokio::time::timeout_at(deadline.into(), finished).await {
        Ok(Ok(stage)) => match &*stage {
            Stage::Finished(answer) => Answer::clone(answer),
            _ => answer::unknown("the request was lost"),
        },
        _ => answer::unknown("no answer before the deadline"),
    }
}
