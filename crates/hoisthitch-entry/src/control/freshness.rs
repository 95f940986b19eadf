//! Freshness of the entry's view of the fleet.
//!
//! An upstream that is draining must receive no new requests after a few seconds.
//! An entry that has received nothing for longer than that (it was frozen, or is
//! cut off from the platform and all other entries) can't know which upstreams
//! drain. It therefore sends no requests until its view is confirmed again.
//!
//! The age of the view counts from the time of the request that confirmed it, not
//! from the time when the response was read: a process that was frozen finds
//! responses in its sockets that are as old as the freeze.

use std::{
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::Duration, //
};

use tokio::time::Instant;

/// Age above which the view is stale.
pub const VIEW_MAX_AGE: Duration = Duration::from_millis(2_500);

/// Time in milliseconds since the process started.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ViewTime(pub u64);

/// Records when the view was last confirmed.
pub struct ViewFreshness {
    origin: Instant,
    /// [`ViewTime`] of the latest request that was answered; zero for none.
    confirmed: AtomicU64,
}

impl Default for ViewFreshness {
    fn default() -> Self {
        Self {
            origin: Instant::now(),
            confirmed: AtomicU64::new(0),
        }
    }
}

impl ViewFreshness {
    /// Current time.
    pub fn now(&self) -> ViewTime {
        let elapsed = self.origin.elapsed().as_millis();
        // Never zero, which in `confirmed` means that there was no confirmation.
        ViewTime(u64::try_from(elapsed).unwrap_or(u64::MAX).max(1))
    }

    /// Records that the response to a request sent at `requested_at` was received
    /// and is in effect.
    pub fn confirm(&self, requested_at: ViewTime) {
        self.confirmed.fetch_max(requested_at.0, Ordering::Relaxed);
    }

    /// Whether the view is fresh enough to send requests by it.
    pub fn is_fresh(&self) -> bool {
        let confirmed = self.confirmed.load(Ordering::Relaxed);
        let age = Duration::from_millis(self.now().0.saturating_sub(confirmed));
        confirmed > 0 && age <= VIEW_MAX_AGE
    }
}
