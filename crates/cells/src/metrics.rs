//! Counters and latency histograms of a process.

use std::time::{Duration, Instant};

use futures_util::future::LocalBoxFuture;
use prometheus::{
    CounterVec, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
};

use crate::ports::{Committed, Page, Place, ReadError, Store, Transaction, TransactionError};

/// Upper bounds of the latency buckets, in seconds.
const BUCKETS: [f64; 10] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 3.0];

/// Metrics of a process; queues, cells and outcomes are their only labels.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// Clients' requests by kind and outcome, in seconds.
    pub request_seconds: HistogramVec,
    /// Starts by outcome, in seconds from order to answer.
    pub start_seconds: HistogramVec,
    /// Calls to the table by call and outcome, in seconds.
    pub table_seconds: HistogramVec,
    /// Jobs that ended, by queue and state.
    pub jobs_ended: IntCounterVec,
    /// Jobs from acceptance to their durable end, by state, in seconds.
    pub job_seconds: HistogramVec,
    /// Jobs in a cell.
    pub cell_jobs: IntGaugeVec,
    /// Room of a cell's executors and what is in use, in thousandths of a core.
    pub cell_millicores: IntGaugeVec,
    /// Processor time of ended jobs by queue and result, in core seconds.
    pub work_core_seconds: CounterVec,
    /// Version of the configuration in force.
    pub configuration_version: IntGauge,
    /// Cells held.
    pub cells_held: IntGauge,
    /// Executors that the registry lists.
    pub executors_listed: IntGauge,
}

impl Metrics {
    /// Registers the metrics.
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
    /// When a name is taken.
    pub fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let seconds = |name: &str, help: &str, labels: &[&str]| {
            let options = HistogramOpts::new(name, help).buckets(BUCKETS.to_vec());
            let family = HistogramVec::new(options, labels)?;
            registry.register(Box::new(family.clone()))?;
            Ok::<_, prometheus::Error>(family)
        };
        let gauges = |name: &str, help: &str, labels: &[&str]| {
            let family = IntGaugeVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(family.clone()))?;
            Ok::<_, prometheus::Error>(family)
        };
        let gauge = |name: &str, help: &str| {
            let metric = IntGauge::new(name, help)?;
            registry.register(Box::new(metric.clone()))?;
            Ok::<_, prometheus::Error>(metric)
        };
        let ended = IntCounterVec::new(
            Opts::new("jtally_jobs_ended_total", "Jobs that ended."),
            &["queue", "state"],
        )?;
        registry.register(Box::new(ended.clone()))?;
        let work = CounterVec::new(
            Opts::new("jtally_work_core_seconds_total", "Processor time of ended jobs."),
            &["queue", "result"],
        )?;
        registry.register(Box::new(work.clone()))?;
        Ok(Self {
            request_seconds: seconds(
                "jtally_request_seconds",
                "Clients' requests.",
                &["kind", "outcome"],
            )?,
            start_seconds: seconds("jtally_start_seconds", "Starts on executors.", &["outcome"])?,
            table_seconds: seconds(
                "jtally_table_seconds",
                "Calls to the table.",
                &["call", "outcome"],
            )?,
            jobs_ended: ended,
            job_seconds: seconds(
                "jtally_job_seconds",
                "Jobs from acceptance to their durable end.",
                &["state"],
            )?,
            cell_jobs: gauges("jtally_cell_jobs", "Jobs in a cell.", &["cell"])?,
            cell_millicores: gauges(
                "jtally_cell_millicores",
                "Room of a cell's executors.",
                &["cell", "part"],
            )?,
            work_core_seconds: work,
            configuration_version: gauge(
                "jtally_configuration_version",
                "Configuration in force.",
            )?,
            cells_held: gauge("jtally_cells_held", "Cells held by this process.")?,
            executors_listed: gauge("jtally_executors_listed", "Executors in the registry.")?,
        })
    }

    /// Notes how long something took.
    pub(crate) fn observe(family: &HistogramVec, labels: &[&str], took: Duration) {
        family.with_label_values(labels).observe(took.as_secs_f64());
    }
}

/// A table whose calls are measured.
pub(crate) struct MeasuredStore {
    store: std::rc::Rc<dyn Store>,
    metrics: Metrics,
}

impl MeasuredStore {
    pub fn new(store: std::rc::Rc<dyn Store>, metrics: Metrics) -> Self {
        Self { store, metrics }
    }

    fn note(&self, call: &str, outcome: &str, start: Instant) {
        Metrics::observe(&self.metrics.table_seconds, &[call, outcome], start.elapsed());
    }

    fn note_read<T>(&self, call: &str, result: &Result<T, ReadError>, start: Instant) {
        let outcome = match result {
            Ok(_) => "answered",
            Err(ReadError::HistoryDropped) => "forgotten",
            Err(ReadError::Unavailable { .. }) => "away",
        };
        self.note(call, outcome, start);
    }
}

impl Store for MeasuredStore {
    fn apply<'a>(
        &'a self,
        change: &'a Transaction,
    ) -> LocalBoxFuture<'a, Result<Committed, TransactionError>> {
        Box::pin(async move {
            let start = Instant::now();
            let result = self.store.apply(change).await;
            let outcome = match &result {
                Ok(_) => "committed",
                Err(TransactionError::Conflict { .. }) => "conflict",
                Err(TransactionError::Refused { .. }) => "refused",
                Err(TransactionError::Unknown { .. }) => "unknown",
            };
            self.note("apply", outcome, start);
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
            self.note_read("read", &result, start);
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
            self.note_read("parts", &result, start);
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
            self.note_read("feed", &result, start);
            result
        })
    }
}
