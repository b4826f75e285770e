//! A budget that keeps retries a small share of first tries.

/// Part of a retry that each first try pays for.
const SHARE: f64 = 0.1;
/// Retries that can be saved up.
const SAVED: f64 = 10.0;

/// Retries that may still be spent.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    left: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { left: SAVED }
    }
}

impl RetryBudget {
    /// Notes a first try.
    pub fn deposit(&mut self) {
        self.left = (self.left + SHARE).min(SAVED);
    }

    /// Spends one retry, if one is left.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut budget = route::RetryBudget::default();
    /// assert_eq!((0..100).filter(|_| budget.withdraw()).count(), 10);
    /// ```
    pub fn withdraw(&mut self) -> bool {
        let paid = self.left >= 1.0;
        if paid {
            self.left -= 1.0;
        }
        paid
    }
}
