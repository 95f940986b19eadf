//! The journal of a pool: grouped writes that only its owner can make.
//!
//! Every write expects the revision of the pool's head record and changes it.
//! So a deposed owner writes nothing more, a write that is carried out late
//! changes nothing, and a write whose answer was lost is recognised.

use std::{
    collections::BTreeMap,
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

/// Wait before a write whose outcome is not known is sent again.
const RETRY_WAIT: Duration = Duration::from_millis(100);

/// Most values in one write beside the head; the platform takes 32 entries.
pub(crate) const BATCH_LIMIT: usize = 30;

/// Head of a pool's journal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct HeadRecord {
    /// Node of the owner.
    pub(crate) node: String,
    /// Life of the node.
    #[serde(rename = "life")]
    pub(crate) instance: u64,
    /// Number of the ownership.
    pub(crate) term: u64,
    /// Number of the write in this term.
    pub(crate) sequence: u64,
    /// Time from this write on after which all runs have ended on runners that
    /// are silent, in milliseconds, by name. The owner gives none of them a new
    /// lease before it has written a head without it.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub(crate) silent: BTreeMap<String, Millis>,
}

/// Why a write was not made.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub(crate) enum JournalError {
    /// Another node owns the pool now.
    #[error("another node owns the pool")]
    Deposed,
}

/// Writes as the owner of a pool.
pub(crate) struct PoolJournal<S> {
    store: S,
    shared: Arc<NodeShared>,
    key: String,
    head: HeadRecord,
    revision: StoreRevision,
}

impl<S: StoreClient> PoolJournal<S> {
    /// Goes on after the write that made this node the owner.
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

    /// Writes values, and what is known of silent runners; answers when the write
    /// that succeeded was sent, at which time this node owned the pool.
    ///
    /// # Errors
    ///
    /// Fails only when another node owns the pool. While the store fails, the
    /// write is tried again.
    pub(crate) async fn write(
        &mut self,
        values: Vec<SwapItem>,
        silent: BTreeMap<String, Millis>,
    ) -> Result<Millis, JournalError> {
        let head = HeadRecord {
            sequence: self.head.sequence + 1,
            silent,
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
                    if self.settle(found.into_iter().next().flatten(), &head)? {
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

    /// Tells, from the head that was found, whether the write was made before.
    fn settle(
        &mut self,
        found: Option<StoredValue>,
        wanted: &HeadRecord,
    ) -> Result<bool, JournalError> {
        let Some(stored) = found else {
            return Err(JournalError::Deposed);
        };
        let record = decode_head(&stored).ok_or(JournalError::Deposed)?;
        let made = record == *wanted;
        if !made && record != self.head {
            return Err(JournalError::Deposed);
        }
        self.revision = stored.revision;
        self.head = record;
        Ok(made)
    }

    /// Revision of the last write: lower than any write of a later owner, its election
    /// included.
    pub(crate) fn token(&self) -> u64 {
        u64::try_from(self.revision.0).unwrap_or(0)
    }

    /// Makes sure that this node still owns the pool; answers as [`Self::write`].
    ///
    /// # Errors
    ///
    /// The inner error says that another node owns the pool, the outer one
    /// that the store failed.
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

pub(crate) fn decode_head(stored: &StoredValue) -> Option<HeadRecord> {
    let record = serde_json::from_slice(&stored.value);
    if let Err(err) = &record {
        event!(Error, "head_unreadable", key = stored.key, error = err);
    }
    record.ok()
}

pub(crate) fn encode_record<R: Serialize>(record: &R) -> Vec<u8> {
    serde_json::to_vec(record).unwrap_or_else(|err| {
        event!(Error, "record_not_encoded", error = err);
        Vec::new()
    })
}
