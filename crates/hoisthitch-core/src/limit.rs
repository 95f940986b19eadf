//! Rate limiter with a token bucket.

use std::time::{
    Duration,
    Instant, //
};

/// Capacity of the bucket, in seconds of the rate.
const BURST_SECONDS: f64 = 1.0;

/// Token bucket that limits requests per second.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    rate: f64,
    tokens: f64,
    updated: Instant,
}

impl RateLimiter {
    /// Creates a full bucket; `rate` is in requests per second.
    pub fn new(rate: u32, now: Instant) -> Self {
        let rate = f64::from(rate);
        Self {
            rate,
            tokens: capacity(rate),
            updated: now,
        }
    }

    /// Changes the rate and keeps the tokens, up to the new capacity.
    pub fn set_rate(&mut self, rate: u32, now: Instant) {
        self.refill(now);
        self.rate = f64::from(rate);
        self.tokens = self.tokens.min(capacity(self.rate));
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// Returns the time until the next token if there is none.
    pub fn take(&mut self, now: Instant) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        if self.rate <= 0.0 {
            return Err(Duration::MAX);
        }
        Err(Duration::from_secs_f64((1.0 - self.tokens) / self.rate))
    }

    /// Refunds the token of a request that was refused by another limit.
    pub fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(capacity(self.rate));
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated);
        let gained = elapsed.as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(capacity(self.rate));
        self.updated = self.updated.max(now);
    }
}

fn capacity(rate: f64) -> f64 {
    if rate <= 0.0 {
        return 0.0;
    }
    (rate * BURST_SECONDS).max(1.0)
}
