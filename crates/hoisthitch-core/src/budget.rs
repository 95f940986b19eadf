//! Retry budget: limits retries to a share of first attempts.

/// Balance of a new budget, so that a pool with few requests can retry too.
const INITIAL_RETRIES: f64 = 10.0;

/// Largest number of retries that can accumulate.
const MAX_RETRIES: f64 = 100.0;

/// Budget of retries, as a share of first attempts.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    balance: f64,
}

impl RetryBudget {
    /// Allows retries up to `percent` of the first attempts.
    pub fn new(percent: u32) -> Self {
        Self {
            share: f64::from(percent) / 100.0,
            balance: if percent == 0 { 0.0 } else { INITIAL_RETRIES },
        }
    }

    /// Changes the share and keeps the balance; at 0 % the balance is cleared.
    pub fn set_percent(&mut self, percent: u32) {
        self.share = f64::from(percent) / 100.0;
        if percent == 0 {
            self.balance = 0.0;
        }
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.share).min(MAX_RETRIES);
    }

    /// Takes one retry from the budget; returns whether there was one.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
