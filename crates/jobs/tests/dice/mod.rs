//! Repeatable random numbers for the simulations.

/// Random number generator (linear congruential) whose field is the seed and the state.
pub struct SeededRng(pub u64);

impl SeededRng {
    /// A uniformly distributed number from 0 to 1.
    pub fn uniform(&mut self) -> f64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        f64::from(u32::try_from(self.0 >> 33).unwrap()) / f64::from(1u32 << 31)
    }

    /// Random time to the next arrival, in milliseconds, at a mean of `rate` arrivals a second.
    pub fn arrival_gap(&mut self, rate: f64) -> f64 {
        -self.uniform().max(1e-9).ln() * 1_000.0 / rate
    }
}
