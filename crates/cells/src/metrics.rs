//! Prometheus metrics of a process.

use std::time::{Duration, Instant};

use futures_util::future::LocalBoxFuture;
use prometheus::{
    CounterVec, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
};

use crate::ports::{Committed, Page, Place, ReadError, Store, Transaction, TransactionError};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 10] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 3.0];

/// Metrics of a process.
///
/// Labels name queues, cells, outcomes and a bounded number of organisations, never single jobs or
/// executors.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// Duration of clients' requests by kind and outcome.
    pub request_seconds: HistogramVec,
    /// Time from a start order to the executor's response, by outcome.
    pub start_seconds: HistogramVec,
    /// Duration of queries to the adviser by outcome.
    pub advice_seconds: HistogramVec,
    /// Duration of calls to the table by call and outcome.
    pub table_seconds: HistogramVec,
    /// Time from the last confirmation of the lease to the release of a run, by reason.
    pub release_seconds: HistogramVec,
    /// Duration of the phases of a round of the fleet's duties.
    pub fleet_round_seconds: HistogramVec,
    /// Number of expected peaks by whether they came.
    pub peak_forecasts: IntCounterVec,
    /// Number of machines that moved ahead of an expected peak, by pool.
    pub moves_ahead: IntCounterVec,
    /// Number of ended jobs by queue and state.
    pub jobs_ended: IntCounterVec,
    /// Time from the first request for a job to its durable end, by state.
    pub job_seconds: HistogramVec,
    /// Number of jobs in a cell.
    pub cell_jobs: IntGaugeVec,
    /// Capacity of a cell's executors and its use.
    pub cell_millicores: IntGaugeVec,
    /// Use of organisations' limits in a cell.
    pub organisation_millicores: IntGaugeVec,
    /// Processor time of ended jobs by queue and result.
    pub work_core_seconds: CounterVec,
    /// Version of the configuration in force.
    pub configuration_version: IntGauge,
    /// Number of cells that the process holds.
    pub cells_held: IntGauge,
    /// Number of executors in the registry.
    pub executors_listed: IntGauge,
}

impl Metrics {
    /// Creates the metrics and adds them to a registry.
    ///
    /// # Examples
    ///
    /// ```
    /// let registry = prometheus::Registry::new();
    /// let metrics = cells::metrics::Metrics::register(&registry).unwrap();
    /// metrics.cells_held.set(2);
    /// assert!(registry.gather().iter().any(|family| family.name() == "jtally_cells_held"));
    /// ```
    ///
    /// # Errors
    ///
    /// Returns an error if the registry already has a metric of the same name.
    pub fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let histogram = |name: &str, help: &str, labels: &[&str]| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_S.to_vec());
            let family = HistogramVec::new(options, labels)?;
            registry.register(Box::new(family.clone()))?;
            Ok::<_, prometheus::Error>(family)
        };
        let gauge_family = |name: &str, help: &str, labels: &[&str]| {
            let family = IntGaugeVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(family.clone()))?;
            Ok::<_, prometheus::Error>(family)
        };
        let gauge = |name: &str, help: &str| {
            let metric = IntGauge::new(name, help)?;
            registry.register(Box::new(metric.clone()))?;
            Ok::<_, prometheus::Error>(metric)
        };
        let jobs_ended = IntCounterVec::new(
            Opts::new("jtally_jobs_ended_total", "Jobs that ended."),
            &["queue", "state"],
        )?;
        registry.register(Box::new(jobs_ended.clone()))?;
        let counter_family = |name: &str, help: &str, labels: &[&str]| {
            let family = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(family.clone()))?;
            Ok::<_, prometheus::Error>(family)
        };
        let work_core_seconds = CounterVec::new(
            Opts::new("jtally_work_core_seconds_total", "Processor time of ended jobs."),
            &["queue", "result"],
        )?;
        registry.register(Box::new(work_core_seconds.clone()))?;
        Ok(Self {
            request_seconds: histogram(
                "jtally_request_seconds",
                "Clients' requests.",
                &["kind", "outcome"],
            )?,
            start_seconds: histogram("jtally_start_seconds", "Starts on executors.", &["outcome"])?,
            advice_seconds: histogram(
                "jtally_advice_seconds",
                "Queries to the adviser.",
                &["outcome"],
            )?,
            table_seconds: histogram(
                "jtally_table_seconds",
                "Calls to the table.",
                &["call", "outcome"],
            )?,
            release_seconds: histogram(
                "jtally_release_confirmation_seconds",
                "Age of the lease's confirmation when a run was released.",
                &["reason"],
            )?,
            fleet_round_seconds: histogram(
                "jtally_fleet_round_seconds",
                "Phases of a round of the fleet's duties.",
                &["phase"],
            )?,
            peak_forecasts: counter_family(
                "jtally_peak_forecasts_total",
                "Expected peaks of pools.",
                &["outcome"],
            )?,
            moves_ahead: counter_family(
                "jtally_moves_ahead_total",
                "Machines that moved ahead of an expected peak.",
                &["cell"],
            )?,
            jobs_ended,
            job_seconds: histogram(
                "jtally_job_seconds",
                "Jobs from acceptance to their durable end.",
                &["state"],
            )?,
            cell_jobs: gauge_family("jtally_cell_jobs", "Jobs in a cell.", &["cell"])?,
            cell_millicores: gauge_family(
                "jtally_cell_millicores",
                "Room of a cell's executors.",
                &["cell", "part"],
            )?,
            organisation_millicores: gauge_family(
                "jtally_organisation_millicores",
                "Use of organisations' limits in a cell.",
                &["cell", "organisation", "part"],
            )?,
            work_core_seconds,
            configuration_version: gauge(
                "jtally_configuration_version",
                "Configuration in force.",
            )?,
            cells_held: gauge("jtally_cells_held", "Cells held by this process.")?,
            executors_listed: gauge("jtally_executors_listed", "Executors in the registry.")?,
        })
    }

    /// Records a duration in a histogram.
    pub(crate) fn observe(family: &HistogramVec, labels: &[&str], duration: Duration) {
        family.with_label_values(labels).observe(duration.as_secs_f64());
    }
}

/// Client of the table that records the duration of each call.
pub(crate) struct MeasuredStore {
    store: std::rc::Rc<dyn Store>,
    metrics: Metrics,
}

impl MeasuredStore {
    pub fn new(store: std::rc::Rc<dyn Store>, metrics: Metrics) -> Self {
        Self { store, metrics }
    }

    fn record(&self, call: &str, outcome: &str, start: Instant) {
        Metrics::observe(&self.metrics.table_seconds, &[call, outcome], start.elapsed());
    }

    fn record_read<T>(&self, call: &str, result: &Result<T, ReadError>, start: Instant) {
        let outcome = match result {
            Ok(_) => "answered",
            Err(ReadError::HistoryDropped) => "forgotten",
            Err(ReadError::Overloaded { .. }) => "overloaded",
            Err(ReadError::Unavailable { .. }) => "away",
        };
        self.record(call, outcome, start);
    }
}

impl Store for MeasuredStore {
    fn apply<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> LocalBoxFuture<'a, Result<Committed, TransactionError>> {
        Box::pin(async move {
            let start = Instant::now();
            let result = self.store.apply(transaction).await;
            let outcome = match &result {
                Ok(_) => "committed",
                Err(TransactionError::Conflict { .. }) => "conflict",
                Err(TransactionError::Rejected { .. }) => "rejected",
                Err(TransactionError::Refused { .. }) => "refused",
                Err(TransactionError::Unknown { .. }) => "unknown",
            };
            self.record("apply", outcome, start);
            result
        })
    }

    fn read<'a>(
        &'a self,
        from: &'a Place,
        limit: usize,
    ) -> LocalBoxFuture<'a, Result<Page, ReadError>> {
        Box::pin(async move {
            let start = Instant::now();
            let result = self.store.read(from, limit).await;
            self.record_read("read", &result, start);
            result
        })
    }

    fn parts<'a>(
        &'a self,
        table: &'a str,
        after: &'a str,
    ) -> LocalBoxFuture<'a, Result<Vec<String>, ReadError>> {
        Box::pin(async move {
            let start = Instant::now();
            let result = self.store.parts(table, after).await;
            self.record_read("parts", &result, start);
            result
        })
    }

    fn feed<'a>(
        &'a self,
        table: &'a str,
        after: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<Page, ReadError>> {
        Box::pin(async move {
            let start = Instant::now();
            let result = self.store.feed(table, after, wait).await;
            self.record_read("feed", &result, start);
            result
        })
    }
}
