//! Interface between hoisthitch and the platform's key-value store.
//!
//! [`StoreClient`] reads, watches and writes values. Writes are compare-and-swap
//! operations on revisions. [`WatchStream`] delivers the changes below a key
//! prefix in order.

use std::time::Duration;

use tokio::time::Instant;

use crate::error::StoreError;

/// Revision of a value in the store; zero if the value does not exist.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct StoreRevision(pub i64);

impl StoreRevision {
    /// A revision that no value has. A swap that expects it never writes, but
    /// returns the value.
    pub const UNKNOWN: Self = Self(i64::MAX);

    /// Matches any revision, in a swap of several values. This is only safe if the
    /// same swap expects a revision of another value and changes that value.
    pub const ANY: Self = Self(-1);
}

/// Identifier of a lease in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseId(pub i64);

/// A value with its key and revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredValue {
    /// Key of the value.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Revision that wrote the value.
    pub revision: StoreRevision,
}

/// A key and the revision that wrote its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyRevision {
    /// The key.
    pub key: String,
    /// Revision that wrote the value.
    pub revision: StoreRevision,
}

/// Result of a compare-and-swap.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SwapOutcome {
    /// The value was written at this revision.
    Written(StoreRevision),
    /// The value has another revision. The current value is returned.
    Conflict(Option<StoredValue>),
}

/// One value of a swap of several values.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SwapItem {
    /// Key of the value.
    pub key: String,
    /// Revision that the value must have.
    pub expected: StoreRevision,
    /// New value; `None` to remove it.
    pub value: Option<Vec<u8>>,
    /// Lease with which the value expires.
    pub lease: Option<LeaseId>,
}

/// Result of a swap of several values.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BatchOutcome {
    /// All values were written at this revision.
    Written(StoreRevision),
    /// No value was written, since at least one has another revision. The current
    /// values are returned in the order of the items.
    Conflict(Vec<Option<StoredValue>>),
}

/// Event of a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchEvent {
    /// The watch was created. The current values must be read separately.
    Created,
    /// The watch was created, or resumed after skipped changes. These are all the
    /// current values.
    Snapshot(Vec<StoredValue>),
    /// There was no change within the wait; the watch is alive.
    Unchanged,
    /// A value was written.
    Put(StoredValue),
    /// A value was removed.
    Delete {
        /// Key of the value.
        key: String,
        /// Revision of the removal.
        revision: StoreRevision,
    },
}

/// Events of a watch, in order.
pub trait WatchStream {
    /// Waits for the next event; `None` once the watch has ended.
    fn next(&mut self) -> impl Future<Output = Option<Result<WatchEvent, StoreError>>>;

    /// Whether every received event was returned by [`WatchStream::next`].
    fn is_buffer_empty(&self) -> bool;

    /// Time up to which the watch is complete: every change before it was returned
    /// or is buffered. `None` if this is not known.
    fn complete_as_of(&self) -> Option<Instant> {
        None
    }

    /// Makes the next call to the store wait only shortly for changes, to find out
    /// soon whether there are any.
    fn shorten_next_wait(&mut self) {}

    /// Whether the store may have more changes than its last response contained.
    fn may_have_more(&self) -> bool {
        false
    }

    /// Whether the watch continues after the error from where it was, without
    /// missing a change.
    fn can_resume_after(&self, _err: &StoreError) -> bool {
        false
    }
}

/// Client of the platform's store.
///
/// The outcome of a failed write is unknown: it may have taken effect. Only
/// [`crate::RecordWriter`] finds that out.
pub trait StoreClient: Clone + 'static {
    /// Type of the client's watches.
    type Watch: WatchStream;

    /// Reads one value.
    fn read(&self, key: &str) -> impl Future<Output = Result<Option<StoredValue>, StoreError>>;

    /// Reads the values whose keys start with `prefix`, ordered by key.
    fn read_prefix(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<Vec<StoredValue>, StoreError>>;

    /// Reads the revisions, without the values, of the keys that start with
    /// `prefix`.
    fn read_revisions(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<Vec<KeyRevision>, StoreError>>;

    /// Writes a value if its revision is `expected`.
    fn swap(
        &self,
        key: &str,
        expected: StoreRevision,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> impl Future<Output = Result<SwapOutcome, StoreError>>;

    /// Removes a value if its revision is `expected`.
    fn remove(
        &self,
        key: &str,
        expected: StoreRevision,
    ) -> impl Future<Output = Result<SwapOutcome, StoreError>>;

    /// Writes several values atomically if all have their expected revisions.
    fn swap_all(
        &self,
        items: Vec<SwapItem>,
    ) -> impl Future<Output = Result<BatchOutcome, StoreError>>;

    /// Grants a lease.
    fn grant_lease(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId, StoreError>>;

    /// Renews a lease; returns whether it had not expired.
    fn keep_alive(&self, lease: LeaseId) -> impl Future<Output = Result<bool, StoreError>>;

    /// Watches the keys that start with `prefix` for changes, starting at a
    /// revision; at zero, starting from the current state.
    fn watch(
        &self,
        prefix: &str,
        from: StoreRevision,
    ) -> impl Future<Output = Result<Self::Watch, StoreError>>;
}
