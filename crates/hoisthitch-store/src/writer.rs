//! Record writer that resolves writes whose outcome is unknown.
//!
//! After a failed write the same swap is sent again, with the same expected
//! revision and the same content, so at most one of the two can take effect. If the
//! revision has changed, the swap returns the current record. If that record
//! carries the writer's stamp, the write took effect. Otherwise, the write can no
//! longer take effect.

use std::time::Duration;

use hoisthitch_core::{
    HallRecord,
    PermitLedger,
    PolicyTable,
    RosterRecord,
    WaveRecord,
    WriterStamp, //
};
use rand::Rng;
use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use thiserror::Error;
use tokio::time::Instant;

use crate::{
    client::{
        StoreClient,
        StoreRevision,
        StoredValue,
        SwapOutcome, //
    },
    error::StoreError, //
};

/// Delay before a write whose outcome is unknown is sent again.
const RESEND_DELAY: Duration = Duration::from_millis(50);

/// Largest number of attempts to write a change after conflicts with other writers.
const UPDATE_ATTEMPTS: usize = 20;

/// A record with the stamps of its last writers.
pub trait StampedRecord: Serialize + DeserializeOwned {
    /// Whether this version or one of the recent ones was written by the operation.
    fn was_written_by(&self, stamp: &WriterStamp) -> bool;
}

/// Implements [`StampedRecord`] for records with the fields `stamp` and `recent`.
macro_rules! stamped_records {
    ($($record:ident),+ $(,)?) => {
        $(impl StampedRecord for $record {
            fn was_written_by(&self, stamp: &WriterStamp) -> bool {
                self.stamp == *stamp || self.recent.contains(stamp)
            }
        })+
    };
}

stamped_records!(
    HallRecord,
    PermitLedger,
    PolicyTable,
    RosterRecord,
    WaveRecord
);

/// Why a record was not written.
#[derive(Debug, Error)]
pub enum WriteError {
    /// Another writer changed the record first.
    #[error("another writer changed {key} first")]
    Conflict {
        /// Key of the record.
        key: String,
        /// The current record.
        found: Option<StoredValue>,
    },
    /// The outcome of the write could not be determined in time.
    #[error(
        "whether {key} was written is not known: {source}; read it again before you repeat the change"
    )]
    OutcomeUnknown {
        /// Key of the record.
        key: String,
        /// Last error of the store.
        source: StoreError,
    },
    /// The record in the store can't be parsed.
    #[error("the record {key} can't be read: {fault}; restore it from an export")]
    Malformed {
        /// Key of the record.
        key: String,
        /// What is wrong.
        fault: String,
    },
    /// The store could not be read; nothing was written.
    #[error("the store could not be read: {0}")]
    Read(#[from] StoreError),
    /// The record could not be encoded.
    #[error("{key} could not be encoded: {fault}")]
    Encode {
        /// Key of the record.
        key: String,
        /// What is wrong.
        fault: String,
    },
}

/// Writes records and resolves writes whose outcome is unknown.
#[derive(Clone, Debug)]
pub struct RecordWriter<S> {
    store: S,
    writer: String,
    resolve_timeout: Duration,
}

impl<S: StoreClient> RecordWriter<S> {
    /// Creates a writer named `writer`. A write whose outcome is unknown is sent
    /// again for `resolve_timeout`.
    pub fn new(store: S, writer: &str, resolve_timeout: Duration) -> Self {
        Self {
            store,
            writer: writer.to_owned(),
            resolve_timeout,
        }
    }

    /// The client of the store.
    pub fn store(&self) -> &S {
        &self.store
    }

    /// Creates a stamp for a new operation.
    pub fn stamp(&self) -> WriterStamp {
        WriterStamp {
            writer: self.writer.clone(),
            operation: rand::rng().random(),
        }
    }

    /// Reads a record, changes it and writes it. If another writer changed the
    /// record first, the change is applied to the record of that writer.
    ///
    /// # Errors
    ///
    /// Fails if `change` fails, if the store fails, or after too many conflicts
    /// with other writers.
    pub async fn update<R, E, F>(&self, key: &str, change: F) -> Result<R, E>
    where
        R: StampedRecord,
        E: From<WriteError>,
        F: Fn(Option<R>, WriterStamp) -> Result<R, E>,
    {
        let read = self.store.read(key).await;
        let mut stored = read.map_err(WriteError::from)?;
        for _ in 0..UPDATE_ATTEMPTS {
            let revision = stored
                .as_ref()
                .map_or(StoreRevision::default(), |stored| stored.revision);
            let current = stored
                .map(|stored| decode::<R>(key, &stored.value))
                .transpose()?;
            let stamp = self.stamp();
            let record = change(current, stamp.clone())?;
            match self.write(key, revision, &record, &stamp).await {
                Ok(_) => return Ok(record),
                Err(WriteError::Conflict { found, .. }) => stored = found,
                Err(err) => return Err(err.into()),
            }
        }
        let key = key.to_owned();
        Err(WriteError::Conflict { key, found: stored }.into())
    }

    /// Writes a record that carries `stamp`, if the stored revision is `expected`.
    ///
    /// # Errors
    ///
    /// After [`WriteError::Conflict`] the write has not taken effect and won't;
    /// after [`WriteError::OutcomeUnknown`] this is not known.
    pub async fn write<R: StampedRecord>(
        &self,
        key: &str,
        expected: StoreRevision,
        record: &R,
        stamp: &WriterStamp,
    ) -> Result<StoreRevision, WriteError> {
        let value = serde_json::to_vec(record).map_err(|err| WriteError::Encode {
            key: key.to_owned(),
            fault: err.to_string(),
        })?;
        let deadline = Instant::now() + self.resolve_timeout;
        let mut outcome_unknown = false;
        loop {
            let err = match self.store.swap(key, expected, &value, None).await {
                Ok(SwapOutcome::Written(revision)) => return Ok(revision),
                Ok(SwapOutcome::Conflict(found)) => {
                    return resolve_conflict::<R>(key, found, stamp, outcome_unknown);
                }
                Err(err) => err,
            };
            outcome_unknown = true;
            if Instant::now() >= deadline {
                let key = key.to_owned();
                return Err(WriteError::OutcomeUnknown { key, source: err });
            }
            tokio::time::sleep(RESEND_DELAY).await;
        }
    }
}

fn decode<R: StampedRecord>(key: &str, value: &[u8]) -> Result<R, WriteError> {
    serde_json::from_slice(value).map_err(|err| WriteError::Malformed {
        key: key.to_owned(),
        fault: err.to_string(),
    })
}

/// After a conflict, finds out whether the writer's own earlier attempt took effect.
///
/// The swap that failed with the conflict returned the current record, so it need
/// not be read.
fn resolve_conflict<R: StampedRecord>(
    key: &str,
    found: Option<StoredValue>,
    stamp: &WriterStamp,
    outcome_unknown: bool,
) -> Result<StoreRevision, WriteError> {
    if outcome_unknown && let Some(stored) = &found {
        let record: Option<R> = serde_json::from_slice(&stored.value).ok();
        if record.is_some_and(|record| record.was_written_by(stamp)) {
            return Ok(stored.revision);
        }
    }
    let key = key.to_owned();
    Err(WriteError::Conflict { key, found })
}
