//! The journal of a pool: batched writes that only the pool's owner can make.
//!
//! Every write is a compare-and-swap on the revision of the pool's head record, and changes
//! that record. A deposed owner therefore can't write any more, a write that is carried out
//! late changes nothing, and a write whose answer was lost is recognised by its head.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc,
    time::Duration, //
};

use hoisthitch_jobs::Millis;
use hoisthitch_store::{
    BatchOutcome,
    StoreClient,
    StoreError,
    StoreRevision,
    StoredValue,
    SwapItem, //
};
use hoisthitch_telemetry::event;
use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;

use crate::{
    keys::JobKeys,
    shared::NodeShared, //
};

/// Delay before a write with an unknown outcome is sent again.
const RETRY_WAIT: Duration = Duration::from_millis(100);

/// Maximum number of values in one write besides the head; the platform accepts 32 entries.
pub(crate) const BATCH_LIMIT: usize = 30;

/// Head record of a pool's journal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct HeadRecord {
    /// Name of the owner's node.
    pub(crate) node: String,
    /// Instance of that node.
    #[serde(rename = "life")]
    pub(crate) instance: u64,
    /// Number of the ownership.
    pub(crate) term: u64,
    /// Number of the write in this term.
    pub(crate) sequence: u64,
    /// Silent runners by name, with the time from this write on after which all runs on each
    /// have ended, in milliseconds. The owner gives none of them a new lease before it has
    /// written a head that does not name it.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub(crate) silent: BTreeMap<String, Millis>,
    /// Instances of runners that may drop ends unread, as `name@start time`.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub(crate) unproven: BTreeSet<String>,
    /// Runners that have restarted lately, by name, with the time from this write on after which
    /// leases granted by orders for the previous instance have ended, in milliseconds.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub(crate) stray: BTreeMap<String, Millis>,
}

impl HeadRecord {
    /// What it says about runners.
    pub(crate) fn runner_notes(self) -> RunnerNotes {
        RunnerNotes {
            silent: self.silent,
            unproven: self.unproven,
            stray: self.stray,
        }
    }
}

/// What an owner's head record tells the next owner about runners, as in [`HeadRecord`].
#[derive(Clone, Debug, Default)]
pub(crate) struct RunnerNotes {
    pub(crate) silent: BTreeMap<String, Millis>,
    pub(crate) unproven: BTreeSet<String>,
    pub(crate) stray: BTreeMap<String, Millis>,
}

/// Error of a journal write.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub(crate) enum JournalError {
    /// Another node owns the pool now.
    #[error("another node owns the pool")]
    Deposed,
}

/// The journal, as its pool's owner writes it.
pub(crate) struct PoolJournal<S> {
    store: S,
    shared: Arc<NodeShared>,
    key: String,
    head: HeadRecord,
    revision: StoreRevision,
}

impl<S: StoreClient> PoolJournal<S> {
    /// Continues the journal after the write that made this node the owner.
    pub(crate) fn new(
        store: S,
        shared: Arc<NodeShared>,
        keys: &JobKeys,
        pool: &str,
        head: HeadRecord,
        revision: StoreRevision,
    ) -> Self {
        Self {
            store,
            shared,
            key: keys.journal_head(pool),
            head,
            revision,
        }
    }

    /// Writes values and the notes on runners. Returns the time at which the successful
    /// write was sent; this node owned the pool then.
    ///
    /// # Errors
    ///
    /// Fails only when another node owns the pool. While the store fails, the write is retried.
    pub(crate) async fn write(
        &mut self,
        values: Vec<SwapItem>,
        notes: RunnerNotes,
    ) -> Result<Millis, JournalError> {
        let head = HeadRecord {
            sequence: self.head.sequence + 1,
            silent: notes.silent,
            unproven: notes.unproven,
            stray: notes.stray,
            ..self.head.clone()
        };
        loop {
            let sent = self.shared.clock.now();
            let mut items = vec![SwapItem {
                key: self.key.clone(),
                expected: self.revision,
                value: Some(encode_record(&head)),
                lease: None,
            }];
            items.extend(values.iter().cloned());
            let timer = self.shared.metrics.journal.start_timer();
            let outcome = self.store.swap_all(items).await;
            timer.observe_duration();
            match outcome {
                Ok(BatchOutcome::Written(revision)) => {
                    self.shared.store.record_success(sent);
                    self.revision = revision;
                    self.head = head;
                    return Ok(sent);
                }
                Ok(BatchOutcome::Conflict(found)) => {
                    self.shared.store.record_success(sent);
                    if self.resolve_conflict(found.into_iter().next().flatten(), &head)? {
                        return Ok(sent);
                    }
                }
                Err(err) => {
                    self.shared.store.record_failure(self.shared.clock.now());
                    event!(Warn, "journal_unclear", key = self.key, error = err);
                    tokio::time::sleep(RETRY_WAIT).await;
                }
            }
        }
    }

    /// Resolves a conflict by the head that was found: whether an earlier attempt of the write
    /// was carried out. Fails if the head is another node's.
    fn resolve_conflict(
        &mut self,
        found: Option<StoredValue>,
        wanted: &HeadRecord,
    ) -> Result<bool, JournalError> {
        let Some(stored) = found else {
            return Err(JournalError::Deposed);
        };
        let record = decode_head(&stored).ok_or(JournalError::Deposed)?;
        let was_written = record == *wanted;
        if !was_written && record != self.head {
            return Err(JournalError::Deposed);
        }
        self.revision = stored.revision;
        self.head = record;
        Ok(was_written)
    }

    /// Fencing token: the revision of the last write, which is lower than that of any write of
    /// a later owner, its election included.
    pub(crate) fn token(&self) -> u64 {
        u64::try_from(self.revision.0).unwrap_or(0)
    }

    /// Confirms by a read that this node still owns the pool; returns the time at which the
    /// read was sent, as [`Self::write`] does.
    ///
    /// # Errors
    ///
    /// The inner error means that another node owns the pool, the outer one that the store
    /// failed.
    pub(crate) async fn confirm(&self) -> Result<Result<Millis, JournalError>, StoreError> {
        let sent = self.shared.clock.now();
        let found = self.store.read(&self.key).await?;
        self.shared.store.record_success(sent);
        let own = found.is_some_and(|stored| stored.revision == self.revision);
        Ok(if own {
            Ok(sent)
        } else {
            Err(JournalError::Deposed)
        })
    }
}

/// Decodes a head record; none, with a log event, if it is unreadable.
pub(crate) fn decode_head(stored: &StoredValue) -> Option<HeadRecord> {
    let record = serde_json::from_slice(&stored.value);
    if let Err(err) = &record {
        event!(Error, "head_unreadable", key = stored.key, error = err);
    }
    record.ok()
}

/// Encodes a record as JSON; a failure is logged and yields no bytes.
pub(crate) fn encode_record<R: Serialize>(record: &R) -> Vec<u8> {
    serde_json::to_vec(record).unwrap_or_else(|err| {
        event!(Error, "record_not_encoded", error = err);
        Vec::new()
    })
}
