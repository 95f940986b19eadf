//! Counts of the calls made to the store, which its owner pays for.

use std::sync::{
    Arc,
    atomic::{
        AtomicU64,
        Ordering, //
    }, //
};

/// Counts calls by kind; clones count together.
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

/// Calls made since the process started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallCounts {
    /// Reads.
    pub reads: u64,
    /// Writes, failed ones included.
    pub writes: u64,
    /// Watches opened.
    pub watches: u64,
}

impl CallCounter {
    /// Calls counted so far.
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
