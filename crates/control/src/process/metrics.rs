//! Metrics of the control process.

use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

/// Handles on the metrics; clones share their values.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// Number of leases that this process holds.
    pub leases: IntGauge,
    /// Number of instance steps by event name.
    pub steps: IntCounterVec,
}

impl Metrics {
    /// Creates the metrics and registers them.
    pub fn open(registry: &Registry) -> Result<Self, prometheus::Error> {
        let steps = Opts::new("jtally_steps_total", "Steps of instances by kind.");
        let metrics = Self {
            leases: IntGauge::new("jtally_leases", "Leases that this process holds.")?,
            steps: IntCounterVec::new(steps, &["step"])?,
        };
        registry.register(Box::new(metrics.leases.clone()))?;
        registry.register(Box::new(metrics.steps.clone()))?;
        Ok(metrics)
    }
}
