//! Freshness of the entry's view of the fleet.
//!
//! An upstream that leaves must receive no new work after a few seconds. An
//! entry that has heard from nobody for longer than that - it was frozen, or it
//! is cut off from the platform and all other entries - can't know who leaves,
//! so it sends nothing until it has heard again.

use std::{
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::Duration, //
};

use tokio::time::Instant;

/// Age beyond which a view is no longer used.
pub const VIEW_LIMIT: Duration = Duration::from_millis(2_500);

/// When the view was last confirmed.
pub struct ViewGate {
    origin: Instant,
    /// Milliseconds from the origin to the last confirmation, plus one; zero
    /// where there was none.
    confirmed: AtomicU64,
}

impl Default for ViewGate {
    fn default() -> Self {
        Self {
            origin: Instant::now(),
            confirmed: AtomicU64::new(0),
        }
    }
}

impl ViewGate {
    /// Notes that the platform or another entry was heard from.
    pub fn confirm(&self) {
        self.confirmed.fetch_max(self.now() + 1, Ordering::Relaxed);
    }

    /// Whether the view is fresh enough to send work by.
    pub fn is_fresh(&self) -> bool {
        let confirmed = self.confirmed.load(Ordering::Relaxed);
        confirmed > 0 && Duration::from_millis(self.now() + 1 - confirmed) <= VIEW_LIMIT
    }

    fn now(&self) -> u64 {
        let elapsed = self.origin.elapsed().as_millis();
        u64::try_from(elapsed).unwrap_or(u64::MAX - 1)
    }
}
