//! Prometheus metrics of the entry process.

use fleet::Outcome;
use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Upper bounds of the latency histogram, in seconds.
const LATENCY_BOUNDS: [f64; 12] =
    [0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5];

/// Handles to the metrics; clones share the same values.
#[derive(Debug, Clone)]
pub struct Metrics {
    done: IntCounter,
    not_run: IntCounter,
    unknown: IntCounter,
    /// Time from a request's arrival to its answer, in seconds.
    pub latency: Histogram,
    /// Attempts beyond the first of a request.
    pub retries: IntCounter,
    /// Number of requests that wait for a slot.
    pub queued: IntGauge,
    /// Highest contract revision in force.
    pub revision: IntGauge,
}

impl Metrics {
    /// Creates the metrics and registers them.
    pub fn open(registry: &Registry) -> Result<Self, prometheus::Error> {
        let answers = Opts::new("jtally_answers_total", "Answers to callers by outcome.");
        let latency = HistogramOpts::new("jtally_answer_seconds", "Time to answer, in seconds.");
        let answers = IntCounterVec::new(answers, &["outcome"])?;
        let counter = |outcome: Outcome| answers.with_label_values(&[&outcome.to_string()]);
        let metrics = Self {
            done: counter(Outcome::Done),
            not_run: counter(Outcome::NotRun),
            unknown: counter(Outcome::Unknown),
            latency: Histogram::with_opts(latency.buckets(LATENCY_BOUNDS.to_vec()))?,
            retries: IntCounter::new("jtally_retries_total", "Tries beyond the first.")?,
            queued: IntGauge::new("jtally_queued", "Requests that wait for a slot.")?,
            revision: IntGauge::new("jtally_revision", "Highest contract revision in force.")?,
        };
        registry.register(Box::new(answers))?;
        registry.register(Box::new(metrics.latency.clone()))?;
        registry.register(Box::new(metrics.retries.clone()))?;
        registry.register(Box::new(metrics.queued.clone()))?;
        registry.register(Box::new(metrics.revision.clone()))?;
        Ok(metrics)
    }

    /// Counts an answer by its outcome.
    pub fn count(&self, outcome: Outcome) {
        match outcome {
            Outcome::Done => self.done.inc(),
            Outcome::NotRun => self.not_run.inc(),
            Outcome::Unknown => self.unknown.inc(),
        }
    }
}
