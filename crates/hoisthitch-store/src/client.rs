//! The seam between hoisthitch and the platform's store.

use std::time::Duration;

use tokio::time::Instant;

use crate::error::StoreError;

/// Revision of a value in the store; zero where there is none.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct StoreRevision(pub i64);

impl StoreRevision {
    /// A revision that no value has: a swap that expects it only reads.
    pub const UNKNOWN: Self = Self(i64::MAX);

    /// In a swap of several values: this one may have any revision. Only safe
    /// beside a value of the same swap whose revision is expected and changes.
    pub const ANY: Self = Self(-1);
}

/// A lease in the store.
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

/// What became of a compare-and-swap.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SwapOutcome {
    /// The value was written at this revision.
    Written(StoreRevision),
    /// Another revision was found; the value found is returned.
    Conflict(Option<StoredValue>),
}

/// One of several values that are swapped together.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SwapItem {
    /// Key of the value.
    pub key: String,
    /// Revision that the value must still have.
    pub expected: StoreRevision,
    /// New value; none to remove it.
    pub value: Option<Vec<u8>>,
    /// Lease that the value goes with.
    pub lease: Option<LeaseId>,
}

/// What became of several values that were swapped together.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BatchOutcome {
    /// All were written at this revision.
    Written(StoreRevision),
    /// None was written, since at least one had another revision; the values
    /// found are returned in the order of the items.
    Conflict(Vec<Option<StoredValue>>),
}

/// One change seen by a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchEvent {
    /// The watch is in place; what there is has to be read.
    Created,
    /// The watch is in place, and this is all there is.
    Snapshot(Vec<StoredValue>),
    /// Nothing changed for a while; the watch is alive.
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

/// Changes seen by a watch, in order.
pub trait WatchStream {
    /// The next change; `None` once the watch has ended.
    fn next(&mut self) -> impl Future<Output = Option<Result<WatchEvent, StoreError>>>;

    /// Whether every change that has come in was given out.
    fn is_buffer_empty(&self) -> bool;

    /// A time before which nothing was written that this watch has not told of, or
    /// holds ready; none where that can't be known.
    fn complete_as_of(&self) -> Option<Instant> {
        None
    }

    /// Has the next look wait only shortly, to learn soon whether there is more.
    fn shorten_next_wait(&mut self) {}

    /// Whether more may be ready than the last look was answered with.
    fn may_have_more(&self) -> bool {
        false
    }

    /// Whether the watch goes on where it was after such an error, and misses nothing.
    fn can_resume_after(&self, _err: &StoreError) -> bool {
        false
    }
}

/// The platform's store.
///
/// A failed write is unclear: it may have taken effect. Only
/// [`crate::RecordWriter`] resolves that.
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

    /// Writes a value if its revision is still `expected`.
    fn swap(
        &self,
        key: &str,
        expected: StoreRevision,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> impl Future<Output = Result<SwapOutcome, StoreError>>;

    /// Removes a value if its revision is still `expected`.
    fn remove(
        &self,
        key: &str,
        expected: StoreRevision,
    ) -> impl Future<Output = Result<SwapOutcome, StoreError>>;

    /// Swaps several values in one call, all or none.
    fn swap_all(
        &self,
        items: Vec<SwapItem>,
    ) -> impl Future<Output = Result<BatchOutcome, StoreError>>;

    /// Grants a lease.
    fn grant_lease(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId, StoreError>>;

    /// Keeps a lease alive; returns whether it still was.
    fn keep_alive(&self, lease: LeaseId) -> impl Future<Output = Result<bool, StoreError>>;

    /// Watches the keys that start with `prefix`, from a revision on.
    fn watch(
        &self,
        prefix: &str,
        from: StoreRevision,
    ) -> impl Future<Output = Result<Self::Watch, StoreError>>;
}
