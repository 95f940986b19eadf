//! Makes this node the owner of a pool.
//!
//! A node becomes the owner by one write under compare-and-swap that replaces the head of the
//! pool's journal and the owner record. The revision of that write is the owner's epoch
//! and its first fencing token.

use std::sync::Arc;

use hoisthitch_jobs::Millis;
use hoisthitch_store::{
    BatchOutcome,
    StoreClient,
    StoreError,
    StoreRevision,
    SwapItem, //
};
use hoisthitch_telemetry::event;

use crate::{
    identity::{
        NodeIdentity,
        OwnerRecord, //
    },
    journal::{
        HeadRecord,
        PoolJournal,
        RunnerNotes,
        decode_head,
        encode_record, //
    },
    keys::JobKeys,
    shared::NodeShared, //
};

/// A won election.
pub(crate) struct PoolTakeover<S> {
    /// Journal of the pool.
    pub(crate) journal: PoolJournal<S>,
    /// Revision of the election.
    pub(crate) elected: StoreRevision,
    /// The same as a number: the owner's first fencing token.
    pub(crate) epoch: u64,
    /// Number of the ownership.
    pub(crate) term: u64,
    /// When the election's write was sent; no other node owned the pool at that time. Every
    /// lease is limited relative to the last such time.
    pub(crate) confirmed_at: Millis,
    /// What the previous owner recorded about runners.
    pub(crate) notes: RunnerNotes,
}

/// Tries to become the owner; none when another node was first, or when the outcome can't be
/// known. `seen` is the expected revision of the owner record.
///
/// # Errors
///
/// Returns the errors of the store.
pub(crate) async fn take_over<S: StoreClient>(
    store: &S,
    shared: &Arc<NodeShared>,
    keys: &JobKeys,
    identity: &NodeIdentity,
    pool: &str,
    seen: StoreRevision,
) -> Result<Option<PoolTakeover<S>>, StoreError> {
    let found = store.read(&keys.journal_head(pool)).await?;
    let previous = found.as_ref().and_then(decode_head);
    let term = previous.as_ref().map_or(0, |head| head.term) + 1;
    // The notes on runners are kept, since an owner may be lost before it writes anything.
    // Times in them then count from this later write, which only makes them longer.
    let notes = previous.map(HeadRecord::runner_notes).unwrap_or_default();
    let expected = found.map_or(StoreRevision::default(), |stored| stored.revision);
    let head = HeadRecord {
        node: identity.node.clone(),
        instance: identity.instance,
        term,
        sequence: 0,
        silent: notes.silent.clone(),
        unproven: notes.unproven.clone(),
        stray: notes.stray.clone(),
    };
    let owner = OwnerRecord {
        node: head.node.clone(),
        instance: head.instance,
        term: head.term,
        hall: if shared.terms.tolerated_halls > 0 {
            identity.hall.clone()
        } else {
            String::new()
        },
    };
    let items = vec![
        SwapItem {
            key: keys.journal_head(pool),
            expected,
            value: Some(encode_record(&head)),
            lease: None,
        },
        SwapItem {
            key: keys.owner(pool),
            expected: seen,
            value: Some(encode_record(&owner)),
            lease: None,
        },
    ];
    let sent = shared.clock.now();
    let BatchOutcome::Written(revision) = store.swap_all(items).await? else {
        event!(Info, "pool_not_taken", pool = pool, term = head.term);
        return Ok(None);
    };
    let epoch = u64::try_from(revision.0).unwrap_or(0);
    event!(
        Info,
        "pool_taken",
        pool = pool,
        term = head.term,
        epoch = epoch
    );
    let term = head.term;
    let journal = PoolJournal::new(store.clone(), shared.clone(), keys, pool, head, revision);
    Ok(Some(PoolTakeover {
        journal,
        elected: revision,
        epoch,
        term,
        confirmed_at: sent,
        notes,
    }))
}
