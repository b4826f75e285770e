//! Takes instances through maintenance stops and moves, one row at a time.
//!
//! Each step is a transaction that expects the lease's epoch and the rows it was decided on, so a
//! successor finds exactly where a predecessor stopped, and a paused holder's write fails.

use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

use base::Event;
use fleet::Phase;
use peer::Facts;
use peer::row::{BudgetRow, DecisionRow, InstanceRow, json};
use plan::DrainDecision;
use platform::{CommitError, Error, HttpClient, Instances, Table, Txn, keys};
use route::{Evidence, ServerState};
use snafu::{ResultExt, Snafu};

use crate::customer::view::{Known, View};
use crate::process::leases::Holding;
use crate::process::metrics::Metrics;

/// Time that a step's transaction may take.
const LIMIT: Duration = Duration::from_millis(2_000);

/// A round that stopped early; the next one begins anew from the rows.
#[derive(Debug, Snafu)]
pub enum StepError {
    /// The platform did not answer.
    #[snafu(display("{source}"))]
    Platform {
        /// What the client said.
        source: Error,
    },
    /// The step was not committed.
    #[snafu(display("{source}"))]
    Commit {
        /// What the client said.
        source: CommitError,
    },
}

/// Steps of the instances of one shard's customers under one lease.
pub struct Stepper {
    holding: Holding,
    customer: String,
    facts: Facts,
    platform: Rc<HttpClient>,
    metrics: Metrics,
    client: awc::Client,
    refused: indexmap::IndexMap<String, String>,
    count: u64,
}

impl Stepper {
    /// Opens the steps under a lease.
    pub fn open(
        holding: Holding,
        facts: Facts,
        platform: Rc<HttpClient>,
        metrics: Metrics,
    ) -> Self {
        let (client, refused) = (awc::Client::default(), indexmap::IndexMap::new());
        let customer = String::new();
        Self { holding, customer, facts, platform, metrics, client, refused, count: 0 }
    }

    /// Moves every instance of a customer on by one step, where it can.
    pub async fn round(&mut self, customer: &str) -> Result<(), StepError> {
        customer.clone_into(&mut self.customer);
        let view = View::read(&self.facts, &self.platform, &self.client, customer).await;
        let mut view = view.context(PlatformSnafu)?;
        for at in 0..view.known.len() {
            self.advance(&mut view, at).await?;
        }
        for choice in view.choices() {
            self.choose(&mut view, choice).await?;
        }
        Ok(())
    }

    async fn advance(&mut self, view: &mut View, at: usize) -> Result<(), StepError> {
        let Some((id, known)) = view.known.get_index(at) else { return Ok(()) };
        let id = id.clone();
        match known.phase() {
            Some(Phase::Draining) => self.drained(view, &id).await,
            Some(Phase::Rebooting) => self.rebooted(view, &id).await,
            Some(Phase::Serving) | None => Ok(()),
        }
    }

    /// Starts a drain that was permitted, or notes why it was not.
    async fn choose(&mut self, view: &mut View, choice: DrainDecision) -> Result<(), StepError> {
        let id = choice.id.as_str();
        let reason = match choice.verdict {
            Ok(()) => return self.drain(view, id).await,
            Err(reason) => reason.to_string(),
        };
        if self.refused.get(id) == Some(&reason) {
            return Ok(());
        }
        let row = self.decision("waits", &reason);
        let txn = self.txn("refuse").expect(keys::epoch(self.holding.shard), self.holding.fence);
        self.commit(txn.put(keys::decision(id), json(&row))).await?;
        self.record(Event::DrainRefused, id, &reason);
        self.refused.insert(id.to_owned(), reason);
        Ok(())
    }

    /// Takes a permit and writes the intent to drain, together.
    async fn drain(&mut self, view: &mut View, id: &str) -> Result<(), StepError> {
        let Some(known) = view.known.get(id) else { return Ok(()) };
        let mut budget = view.budget.clone();
        let order = budget.orders.get(id);
        let target = order.and_then(|order| order.target.clone());
        let reason = order.map(|order| order.reason.clone()).unwrap_or_default();
        budget.permits.insert(id.to_owned(), known.pool().to_owned());
        let row = InstanceRow {
            pool: known.pool().to_owned(),
            phase: Phase::Draining.to_string(),
            target,
            reason: reason.clone(),
            incarnation: known.status.as_ref().map_or(known.listed.incarnation, |s| s.incarnation),
        };
        let decision = self.decision("drains", &reason);
        let txn = self.step("drain", view, known, id, &row, &mut budget);
        let version = self.commit(txn.put(keys::decision(id), json(&decision))).await?;
        self.refused.shift_remove(id);
        self.record(Event::DrainStarted, id, &reason);
        let incarnation = row.incarnation;
        self.sight(id, incarnation, ServerState::Leaving);
        written(view, id, row, version, budget);
        self.order_drain(id, incarnation).await
    }

    /// Tells the platform to drain an incarnation; one that is gone needs no drain.
    async fn order_drain(&self, id: &str, incarnation: u64) -> Result<(), StepError> {
        match self.platform.drain(id, incarnation).await {
            Err(error) if !error.is_stale() => Err(StepError::Platform { source: error }),
            _ => Ok(()),
        }
    }

    /// Waits until a draining instance is idle, then orders its reboot.
    async fn drained(&mut self, view: &mut View, id: &str) -> Result<(), StepError> {
        let Some(known) = view.known.get(id) else { return Ok(()) };
        let Some(row) = known.row.clone() else { return Ok(()) };
        self.sight(id, row.incarnation, ServerState::Leaving);
        let Some(status) = &known.status else { return Ok(()) };
        if status.incarnation != row.incarnation {
            return self.adopt(view, id, status.incarnation).await;
        }
        if !status.draining {
            return self.order_drain(id, row.incarnation).await;
        }
        if status.in_flight > 0 {
            return Ok(());
        }
        let row = InstanceRow { phase: Phase::Rebooting.to_string(), ..row };
        let mut budget = view.budget.clone();
        let txn = self.step("idle", view, known, id, &row, &mut budget);
        let version = self.commit(txn).await?;
        self.record(Event::InstanceIdle, id, &row.pool);
        written(view, id, row.clone(), version, budget);
        self.reboot(id, &row).await
    }

    /// Goes on with the drain of an instance that has restarted by itself.
    async fn adopt(
        &mut self,
        view: &mut View,
        id: &str,
        incarnation: u64,
    ) -> Result<(), StepError> {
        let Some(known) = view.known.get(id) else { return Ok(()) };
        let Some(row) = known.row.clone() else { return Ok(()) };
        let row = InstanceRow { incarnation, ..row };
        let mut budget = view.budget.clone();
        let txn = self.step("adopt", view, known, id, &row, &mut budget);
        let version = self.commit(txn).await?;
        written(view, id, row, version, budget);
        self.order_drain(id, incarnation).await
    }

    async fn reboot(&mut self, id: &str, row: &InstanceRow) -> Result<(), StepError> {
        let pool = row.target.as_ref().unwrap_or(&row.pool);
        match self.platform.reboot(id, row.incarnation, pool).await {
            Err(error) if !error.is_stale() => return Err(StepError::Platform { source: error }),
            _ => {}
        }
        self.record(Event::RebootOrdered, id, pool);
        Ok(())
    }

    /// Returns the permit once the instance was seen serving in its pool.
    async fn rebooted(&mut self, view: &mut View, id: &str) -> Result<(), StepError> {
        let Some(known) = view.known.get(id) else { return Ok(()) };
        let Some(row) = known.row.clone() else { return Ok(()) };
        let Some(status) = &known.status else { return Ok(()) };
        let pool = row.target.clone().unwrap_or_else(|| row.pool.clone());
        if status.incarnation <= row.incarnation {
            // The order to reboot may have been lost; nothing runs there, so a second one is safe.
            return self.reboot(id, &row).await;
        }
        if status.draining || status.pool != pool {
            return Ok(());
        }
        let incarnation = status.incarnation;
        let phase = Phase::Serving.to_string();
        let row = InstanceRow { pool, phase, target: None, incarnation, ..row };
        let mut budget = view.budget.clone();
        budget.permits.shift_remove(id);
        budget.orders.shift_remove(id);
        let decision = self.decision("serves", "seen serving after its stop");
        let txn = self.step("serving", view, known, id, &row, &mut budget);
        let txn = txn.put(keys::decision(id), json(&decision));
        let version = self.commit(txn).await?;
        self.record(Event::InstanceServing, id, &row.pool);
        self.sight(id, incarnation, ServerState::Serving);
        written(view, id, row, version, budget);
        Ok(())
    }

    /// A transaction that changes an instance and the budget under the lease's epoch.
    fn step(
        &mut self,
        what: &str,
        view: &View,
        known: &Known,
        id: &str,
        row: &InstanceRow,
        budget: &mut BudgetRow,
    ) -> Txn {
        budget.record_step(id);
        let (customer, shard) = (self.customer.clone(), self.holding.shard);
        let txn = self.txn(what);
        let marker = json(&txn.id);
        txn.expect(keys::epoch(shard), self.holding.fence)
            .expect(keys::budget(&customer), view.budget_version)
            .expect(keys::instance(id), known.version)
            .put(keys::instance(id), json(row))
            .put(keys::budget(&customer), json(budget))
            .put(keys::FLEET, marker)
    }

    fn txn(&mut self, what: &str) -> Txn {
        self.count += 1;
        let (name, incarnation) = {
            let state = self.facts.lock();
            (state.me.name.clone(), state.me.incarnation)
        };
        let Holding { shard, epoch, .. } = &self.holding;
        Txn::new(format!("{what}-{shard}-{epoch}-{name}-{incarnation}-{}", self.count))
    }

    async fn commit(&self, txn: Txn) -> Result<u64, StepError> {
        let result = self.platform.commit(&txn, LIMIT).await;
        if let Err(error) = &result
            && error.is_unsettled()
        {
            self.facts.timeline().record(Event::WriteUnsettled, &[("write", &txn.id)]);
        }
        result.context(CommitSnafu)
    }

    fn decision(&self, decision: &str, reason: &str) -> DecisionRow {
        DecisionRow {
            decision: decision.to_owned(),
            reason: reason.to_owned(),
            by: self.facts.lock().me.name.clone(),
            at_ms: base::timeline::wall_ms(),
        }
    }

    fn sight(&self, id: &str, incarnation: u64, state: ServerState) {
        if self.facts.apply_evidence(id, Evidence { incarnation, state }) {
            self.facts.notify_changed(true);
        }
    }

    fn record(&self, event: Event, id: &str, reason: &str) {
        self.metrics.steps.with_label_values(&[&event.to_string()]).inc();
        let (customer, epoch) = (&self.customer, self.holding.epoch);
        let fields: [(&str, &dyn Display); 4] =
            [("instance", &id), ("customer", customer), ("reason", &reason), ("epoch", &epoch)];
        self.facts.timeline().record(event, &fields);
    }
}

/// Brings the view in step with a write that was just committed.
fn written(view: &mut View, id: &str, row: InstanceRow, version: u64, budget: BudgetRow) {
    (view.budget, view.budget_version) = (budget, version);
    if let Some(known) = view.known.get_mut(id) {
        (known.row, known.version) = (Some(row), version);
    }
}
