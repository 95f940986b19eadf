//! Freshness of the entry's view of the fleet.
//!
//! An upstream that leaves must receive no new work after a few seconds. An
//! entry that has heard from nobody for longer than that - it was frozen, or it
//! is cut off from the platform and all other entries - can't know who leaves,
//! so it sends nothing until it has heard again.
//!
//! What counts is when the entry asked, not when it read the answer: a process
//! that was frozen finds answers in its sockets that are as old as the freeze.

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

/// A moment on the freshness's clock, in milliseconds since the process started.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ViewTime(pub u64);

/// When the view was last confirmed.
pub struct ViewFreshness {
    origin: Instant,
    /// Moment of the latest question that was answered; zero for none.
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
    /// The present moment.
    pub fn now(&self) -> ViewTime {
        let elapsed = self.origin.elapsed().as_millis();
        // A moment is never zero, which stands for none.
        ViewTime(u64::try_from(elapsed).unwrap_or(u64::MAX).max(1))
    }

    /// Notes that a question asked at `asked` was answered and the answer is in
    /// force.
    pub fn confirm(&self, asked: ViewTime) {
        self.confirmed.fetch_max(asked.0, Ordering::Relaxed);
    }

    /// Whether the view is fresh enough to send work by.
    pub fn is_fresh(&self) -> bool {
        let confirmed = self.confirmed.load(Ordering::Relaxed);
        let age = Duration::from_millis(self.now().0.saturating_sub(confirmed));
        confirmed > 0 && age <= VIEW_LIMIT
    }
}
