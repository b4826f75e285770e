//! Repeatable chance for the replays.

/// Numbers that are the same in each run.
pub struct Dice(pub u64);

impl Dice {
    /// A number from 0 to 1.
    pub fn roll(&mut self) -> f64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        f64::from(u32::try_from(self.0 >> 33).unwrap()) / f64::from(1u32 << 31)
    }

    /// Time until the next of so many random arrivals a second, in milliseconds.
    pub fn gap(&mut self, rate: f64) -> f64 {
        -self.roll().max(1e-9).ln() * 1_000.0 / rate
    }
}
