//! Retry budget, which limits retries to a small share of the requests.

/// Retries that each new request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Largest number of retries that the budget can hold.
const MAX_BALANCE: f64 = 10.0;

/// Budget of retries, refilled by new requests.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance: MAX_BALANCE }
    }
}

impl RetryBudget {
    /// Refills the budget for the first attempt of a request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + RETRIES_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Takes one retry from the budget; returns false if there is none.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut budget = route::RetryBudget::default();
    /// assert_eq!((0..100).filter(|_| budget.withdraw()).count(), 10);
    /// ```
    pub fn withdraw(&mut self) -> bool {
        let available = self.balance >= 1.0;
        if available {
            self.balance -= 1.0;
        }
        available
    }
}
