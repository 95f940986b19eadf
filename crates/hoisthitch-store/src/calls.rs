//! Counters of the calls to the store, whose owner pays for them.

use std::sync::{
    Arc,
    atomic::{
        AtomicU64,
        Ordering, //
    }, //
};

/// Counts calls by kind; clones share their counters.
#[derive(Clone, Debug, Default)]
pub struct CallCounter {
    totals: Arc<CallTotals>,
}

#[derive(Debug, Default)]
struct CallTotals {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
}

/// Numbers of calls since the counter was created.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallCounts {
    /// Reads.
    pub reads: u64,
    /// Writes and lease calls, including failed ones.
    pub writes: u64,
    /// Created watches.
    pub watches: u64,
}

impl CallCounter {
    /// Returns the numbers of calls so far.
    pub fn counts(&self) -> CallCounts {
        CallCounts {
            reads: self.totals.reads.load(Ordering::Relaxed),
            writes: self.totals.writes.load(Ordering::Relaxed),
            watches: self.totals.watches.load(Ordering::Relaxed),
        }
    }

    pub(crate) fn count_read(&self) {
        self.totals.reads.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_write(&self) {
        self.totals.writes.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_watch(&self) {
        self.totals.watches.fetch_add(1, Ordering::Relaxed);
    }
}
