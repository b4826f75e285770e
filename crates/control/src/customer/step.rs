//! Steps of maintenance stops and moves: drain an instance, reboot it, see it serve again.
//!
//! Each step is a transaction that expects the lease's epoch and the rows on which the step was
//! decided. So the next holder of the lease continues exactly where the previous one stopped, and
//! the write of a paused holder fails.

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

use crate::customer::view::{CustomerView, InstanceView};
use crate::process::leases::LeaseToken;
use crate::process::metrics::Metrics;

/// Timeout of a step's transaction.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Error that ended a pass over a customer early.
///
/// The next pass reads all rows again.
#[derive(Debug, Snafu)]
pub enum StepError {
    /// The platform did not answer or rejected a request.
    #[snafu(display("{source}"))]
    Platform {
        /// Error of the platform client.
        source: Error,
    },
    /// The step is not known to have been committed.
    #[snafu(display("{source}"))]
    Commit {
        /// Error of the commit.
        source: CommitError,
    },
}

/// Executes the steps of one shard's customers under one lease.
pub struct Stepper {
    lease: LeaseToken,
    customer: String,
    facts: Facts,
    platform: Rc<HttpClient>,
    metrics: Metrics,
    client: awc::Client,
    /// Reason of the last refusal written, by instance; the same reason is not written again.
    reported_refusals: indexmap::IndexMap<String, String>,
    txn_count: u64,
}

impl Stepper {
    /// Creates a stepper for the shard of a lease.
    pub fn open(
        lease: LeaseToken,
        facts: Facts,
        platform: Rc<HttpClient>,
        metrics: Metrics,
    ) -> Self {
        let (client, reported_refusals) = (awc::Client::default(), indexmap::IndexMap::new());
        let customer = String::new();
        Self { lease, customer, facts, platform, metrics, client, reported_refusals, txn_count: 0 }
    }

    /// Advances each instance of a customer by one step if possible, then starts permitted drains.
    pub async fn advance_customer(&mut self, customer: &str) -> Result<(), StepError> {
        customer.clone_into(&mut self.customer);
        let view = CustomerView::read(&self.facts, &self.platform, &self.client, customer).await;
        let mut view = view.context(PlatformSnafu)?;
        for index in 0..view.instances.len() {
            self.advance_instance(&mut view, index).await?;
        }
        for decision in view.drain_decisions() {
            self.apply_decision(&mut view, decision).await?;
        }
        Ok(())
    }

    /// Advances a draining or rebooting instance by one step if its status allows it.
    async fn advance_instance(
        &mut self,
        view: &mut CustomerView,
        index: usize,
    ) -> Result<(), StepError> {
        let Some((id, instance)) = view.instances.get_index(index) else { return Ok(()) };
        let id = id.clone();
        match instance.phase() {
            Some(Phase::Draining) => self.continue_drain(view, &id).await,
            Some(Phase::Rebooting) => self.finish_reboot(view, &id).await,
            Some(Phase::Serving) | None => Ok(()),
        }
    }

    /// Starts a permitted drain, or writes why the instance waits if that reason is new.
    async fn apply_decision(
        &mut self,
        view: &mut CustomerView,
        decision: DrainDecision,
    ) -> Result<(), StepError> {
        let id = decision.id.as_str();
        let reason = match decision.verdict {
            Ok(()) => return self.start_drain(view, id).await,
            Err(reason) => reason.to_string(),
        };
        if self.reported_refusals.get(id) == Some(&reason) {
            return Ok(());
        }
        let row = self.decision_row("waits", &reason);
        let txn =
            self.new_txn("refuse").expect(keys::epoch(self.lease.shard), self.lease.epoch_version);
        self.commit(txn.put(keys::decision(id), json(&row))).await?;
        self.record_step(Event::DrainRefused, id, &reason);
        self.reported_refusals.insert(id.to_owned(), reason);
        Ok(())
    }

    /// Acquires a permit and writes the draining phase in one transaction, then orders the drain.
    async fn start_drain(&mut self, view: &mut CustomerView, id: &str) -> Result<(), StepError> {
        let Some(instance) = view.instances.get(id) else { return Ok(()) };
        let mut budget = view.budget.clone();
        let order = budget.orders.get(id);
        let target = order.and_then(|order| order.target.clone());
        let reason = order.map(|order| order.reason.clone()).unwrap_or_default();
        budget.permits.insert(id.to_owned(), instance.pool().to_owned());
        let row = InstanceRow {
            pool: instance.pool().to_owned(),
            phase: Phase::Draining.to_string(),
            target,
            reason: reason.clone(),
            incarnation: instance
                .status
                .as_ref()
                .map_or(instance.listed.incarnation, |status| status.incarnation),
        };
        let decision = self.decision_row("drains", &reason);
        let txn = self.step_txn("drain", view, instance, id, &row, &mut budget);
        let version = self.commit(txn.put(keys::decision(id), json(&decision))).await?;
        self.reported_refusals.shift_remove(id);
        self.record_step(Event::DrainStarted, id, &reason);
        let incarnation = row.incarnation;
        self.publish_evidence(id, incarnation, ServerState::Leaving);
        apply_write(view, id, row, version, budget);
        self.order_drain(id, incarnation).await
    }

    /// Orders the platform to drain an incarnation.
    ///
    /// A refusal as stale is no error: the incarnation no longer runs and needs no drain.
    async fn order_drain(&self, id: &str, incarnation: u64) -> Result<(), StepError> {
        match self.platform.drain(id, incarnation).await {
            Err(error) if !error.is_stale() => Err(StepError::Platform { source: error }),
            _ => Ok(()),
        }
    }

    /// Orders the reboot of a draining instance once it is idle.
    ///
    /// Repeats a lost drain order, and drains an instance again that has restarted by itself.
    async fn continue_drain(&mut self, view: &mut CustomerView, id: &str) -> Result<(), StepError> {
        let Some(instance) = view.instances.get(id) else { return Ok(()) };
        let Some(row) = instance.row.clone() else { return Ok(()) };
        self.publish_evidence(id, row.incarnation, ServerState::Leaving);
        let Some(status) = &instance.status else { return Ok(()) };
        if status.incarnation != row.incarnation {
            return self.adopt_incarnation(view, id, status.incarnation).await;
        }
        if !status.draining {
            return self.order_drain(id, row.incarnation).await;
        }
        if status.in_flight > 0 {
            return Ok(());
        }
        let row = InstanceRow { phase: Phase::Rebooting.to_string(), ..row };
        let mut budget = view.budget.clone();
        let txn = self.step_txn("idle", view, instance, id, &row, &mut budget);
        let version = self.commit(txn).await?;
        self.record_step(Event::InstanceIdle, id, &row.pool);
        apply_write(view, id, row.clone(), version, budget);
        self.order_reboot(id, &row).await
    }

    /// Continues the drain of an instance that has restarted by itself.
    async fn adopt_incarnation(
        &mut self,
        view: &mut CustomerView,
        id: &str,
        incarnation: u64,
    ) -> Result<(), StepError> {
        let Some(instance) = view.instances.get(id) else { return Ok(()) };
        let Some(row) = instance.row.clone() else { return Ok(()) };
        let row = InstanceRow { incarnation, ..row };
        let mut budget = view.budget.clone();
        let txn = self.step_txn("adopt", view, instance, id, &row, &mut budget);
        let version = self.commit(txn).await?;
        apply_write(view, id, row, version, budget);
        self.order_drain(id, incarnation).await
    }

    /// Orders the platform to reboot an instance into its target pool.
    async fn order_reboot(&mut self, id: &str, row: &InstanceRow) -> Result<(), StepError> {
        let pool = row.target.as_ref().unwrap_or(&row.pool);
        match self.platform.reboot(id, row.incarnation, pool).await {
            Err(error) if !error.is_stale() => return Err(StepError::Platform { source: error }),
            _ => {}
        }
        self.record_step(Event::RebootOrdered, id, pool);
        Ok(())
    }

    /// Releases the permit once the instance is serving in its pool after the reboot.
    async fn finish_reboot(&mut self, view: &mut CustomerView, id: &str) -> Result<(), StepError> {
        let Some(instance) = view.instances.get(id) else { return Ok(()) };
        let Some(row) = instance.row.clone() else { return Ok(()) };
        let Some(status) = &instance.status else { return Ok(()) };
        let pool = row.target.clone().unwrap_or_else(|| row.pool.clone());
        if status.incarnation <= row.incarnation {
            // The reboot order may have been lost. A second one is safe, as the instance is idle.
            return self.order_reboot(id, &row).await;
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
        let decision = self.decision_row("serves", "seen serving after its stop");
        let txn = self.step_txn("serving", view, instance, id, &row, &mut budget);
        let txn = txn.put(keys::decision(id), json(&decision));
        let version = self.commit(txn).await?;
        self.record_step(Event::InstanceServing, id, &row.pool);
        self.publish_evidence(id, incarnation, ServerState::Serving);
        apply_write(view, id, row, version, budget);
        Ok(())
    }

    /// Creates a transaction that writes an instance and the budget under the lease's epoch.
    fn step_txn(
        &mut self,
        operation: &str,
        view: &CustomerView,
        instance: &InstanceView,
        id: &str,
        row: &InstanceRow,
        budget: &mut BudgetRow,
    ) -> Txn {
        budget.record_step(id);
        let (customer, shard) = (self.customer.clone(), self.lease.shard);
        let txn = self.new_txn(operation);
        let marker = json(&txn.id);
        txn.expect(keys::epoch(shard), self.lease.epoch_version)
            .expect(keys::budget(&customer), view.budget_version)
            .expect(keys::instance(id), instance.version)
            .put(keys::instance(id), json(row))
            .put(keys::budget(&customer), json(budget))
            .put(keys::FLEET, marker)
    }

    /// Creates a transaction with a unique id that starts with its operation.
    fn new_txn(&mut self, operation: &str) -> Txn {
        self.txn_count += 1;
        let (name, incarnation) = {
            let state = self.facts.lock();
            (state.me.name.clone(), state.me.incarnation)
        };
        let LeaseToken { shard, epoch, .. } = &self.lease;
        Txn::new(format!("{operation}-{shard}-{epoch}-{name}-{incarnation}-{}", self.txn_count))
    }

    /// Commits a transaction and records an event if its outcome remains unknown.
    async fn commit(&self, txn: Txn) -> Result<u64, StepError> {
        let result = self.platform.commit(&txn, COMMIT_TIMEOUT).await;
        if let Err(error) = &result
            && error.is_unsettled()
        {
            self.facts.timeline().record(Event::WriteUnsettled, &[("write", &txn.id)]);
        }
        result.context(CommitSnafu)
    }

    /// Creates the row of a decision that this process took now.
    fn decision_row(&self, decision: &str, reason: &str) -> DecisionRow {
        DecisionRow {
            decision: decision.to_owned(),
            reason: reason.to_owned(),
            by: self.facts.lock().me.name.clone(),
            at_ms: base::timeline::wall_ms(),
        }
    }

    /// Publishes evidence of a server's state to the peers if it supersedes earlier evidence.
    fn publish_evidence(&self, id: &str, incarnation: u64, state: ServerState) {
        if self.facts.apply_evidence(id, Evidence { incarnation, state }) {
            self.facts.notify_changed(true);
        }
    }

    /// Counts a step and records its event.
    fn record_step(&self, event: Event, id: &str, reason: &str) {
        self.metrics.steps.with_label_values(&[&event.to_string()]).inc();
        let (customer, epoch) = (&self.customer, self.lease.epoch);
        let fields: [(&str, &dyn Display); 4] =
            [("instance", &id), ("customer", customer), ("reason", &reason), ("epoch", &epoch)];
        self.facts.timeline().record(event, &fields);
    }
}

/// Updates the view with the rows of a step that was just committed.
fn apply_write(
    view: &mut CustomerView,
    id: &str,
    row: InstanceRow,
    version: u64,
    budget: BudgetRow,
) {
    (view.budget, view.budget_version) = (budget, version);
    if let Some(instance) = view.instances.get_mut(id) {
        (instance.row, instance.version) = (Some(row), version);
    }
}
