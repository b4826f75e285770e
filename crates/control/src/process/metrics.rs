//! Counters of the control process.

use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

/// Handles on the counters; copies share them.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// Leases that this process holds.
    pub leases: IntGauge,
    /// Steps of instances by name of the step.
    pub steps: IntCounterVec,
}

impl Metrics {
    /// Registers the counters.
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
