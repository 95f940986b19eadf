//! Retry budget: retries are a share of first tries.

/// Retries that a quiet pool may always spend.
const RESERVE: f64 = 10.0;

/// Most retries that can be saved up.
const CEILING: f64 = 100.0;

/// Share of first tries that may be spent on retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    balance: f64,
}

impl RetryBudget {
    /// `percent` of first tries may be retried.
    pub fn new(percent: u32) -> Self {
        Self {
            share: f64::from(percent) / 100.0,
            balance: if percent == 0 { 0.0 } else { RESERVE },
        }
    }

    /// Changes the share and keeps what was saved up.
    pub fn set_percent(&mut self, percent: u32) {
        self.share = f64::from(percent) / 100.0;
        if percent == 0 {
            self.balance = 0.0;
        }
    }

    /// Counts a first try.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.share).min(CEILING);
    }

    /// Takes one retry if the budget holds it.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
