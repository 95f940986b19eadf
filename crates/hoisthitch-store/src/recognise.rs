//! Writes whose answer may be lost.
//!
//! After an unclear answer the record is read again. If it carries the writer's
//! stamp, the write took effect. If its revision is still the expected one, the
//! very same swap is sent again: with the same expected revision and the same
//! content, at most one of the two can take effect. If the revision has moved
//! on without the stamp, the write can no longer take effect.

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

/// Wait before an unclear write is looked into.
const SETTLE_WAIT: Duration = Duration::from_millis(50);

/// Times that a change is made anew on what another writer wrote.
const UPDATE_LIMIT: usize = 20;

/// A record that tells who wrote it.
pub trait StampedRecord: Serialize + DeserializeOwned {
    /// Whether the operation's write went into this record or one before it.
    fn was_written_by(&self, stamp: &WriterStamp) -> bool;
}

/// Records that carry their writer's stamp and those of the writers before.
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
    /// Another writer was first; the record found is returned.
    #[error("another writer changed {key} first")]
    Conflict {
        /// Key of the record.
        key: String,
        /// The record in force.
        found: Option<StoredValue>,
    },
    /// Whether the write took effect could not be found out in time.
    #[error(
        "whether {key} was written is not known: {source}; read it again before you repeat the change"
    )]
    OutcomeUnknown {
        /// Key of the record.
        key: String,
        /// Last error of the store.
        source: StoreError,
    },
    /// The record in the store can't be read.
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

/// Writes records and settles unclear answers.
#[derive(Clone, Debug)]
pub struct RecordWriter<S> {
    store: S,
    writer: String,
    patience: Duration,
}

impl<S: StoreClient> RecordWriter<S> {
    /// Writes as `writer`; unclear answers are looked into for `patience`.
    pub fn new(store: S, writer: &str, patience: Duration) -> Self {
        Self {
            store,
            writer: writer.to_owned(),
            patience,
        }
    }

    /// The store written to.
    pub fn store(&self) -> &S {
        &self.store
    }

    /// A stamp for a new operation.
    pub fn stamp(&self) -> WriterStamp {
        WriterStamp {
            writer: self.writer.clone(),
            operation: rand::rng().random(),
        }
    }

    /// Reads a record, changes it and writes it; when another writer was first,
    /// changes what that one wrote.
    ///
    /// # Errors
    ///
    /// Fails as `change` does, when the store fails, and when other writers are
    /// first too many times.
    pub async fn update<R, E, F>(&self, key: &str, change: F) -> Result<R, E>
    where
        R: StampedRecord,
        E: From<WriteError>,
        F: Fn(Option<R>, WriterStamp) -> Result<R, E>,
    {
        let read = self.store.read(key).await;
        let mut stored = read.map_err(WriteError::from)?;
        for _ in 0..UPDATE_LIMIT {
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

    /// Writes a record that carries `stamp`, if its revision is `expected`.
    ///
    /// # Errors
    ///
    /// [`WriteError::Conflict`] says that the write has not taken effect and
    /// won't; [`WriteError::OutcomeUnknown`] that this is not known.
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
        let deadline = Instant::now() + self.patience;
        let mut unclear = false;
        loop {
            let err = match self.store.swap(key, expected, &value, None).await {
                Ok(SwapOutcome::Written(revision)) => return Ok(revision),
                Ok(SwapOutcome::Conflict(found)) => {
                    return settle::<R>(key, found, stamp, unclear);
                }
                Err(err) => err,
            };
            unclear = true;
            if Instant::now() >= deadline {
                let key = key.to_owned();
                return Err(WriteError::OutcomeUnknown { key, source: err });
            }
            tokio::time::sleep(SETTLE_WAIT).await;
        }
    }
}

fn decode<R: StampedRecord>(key: &str, value: &[u8]) -> Result<R, WriteError> {
    serde_json::from_slice(value).map_err(|err| WriteError::Malformed {
        key: key.to_owned(),
        fault: err.to_string(),
    })
}

/// Tells an own write from another's after a conflict.
///
/// The swap that met the conflict also read the record, so no further read is
/// needed.
fn settle<R: StampedRecord>(
    key: &str,
    found: Option<StoredValue>,
    stamp: &WriterStamp,
    unclear: bool,
) -> Result<StoreRevision, WriteError> {
    if unclear && let Some(stored) = &found {
        let record: Option<R> = serde_json::from_slice(&stored.value).ok();
        if record.is_some_and(|record| record.was_written_by(stamp)) {
            return Ok(stored.revision);
        }
    }
    let key = key.to_owned();
    Err(WriteError::Conflict { key, found })
}
