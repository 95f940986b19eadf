//! Registers the entry on the roster of its data hall.
//!
//! An entry must be on the roster before it routes requests, since stewards ask
//! only the entries on the rosters whether they are done with a VM.

use std::{
    sync::Arc,
    time::Duration, //
};

use actix::Addr;
use hoisthitch_core::{
    RosterEntry,
    RosterRecord, //
};
use hoisthitch_store::{
    KeySpace,
    RecordWriter,
    StoreClient,
    WriteError, //
};
use hoisthitch_telemetry::event;

use crate::{
    control::{
        keeper::ViewKeeper,
        messages::ApplyRoster, //
    },
    state::SharedState, //
};

/// Time between two checks whether the entry is on the roster.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Adds an entry to the roster and removes it.
pub struct RosterKeeper<S> {
    records: RecordWriter<S>,
    key: String,
    hall: String,
    entry: RosterEntry,
    keeper: Addr<ViewKeeper>,
}

impl<S: StoreClient> RosterKeeper<S> {
    /// Prepares to register `entry` in the data hall of the settings.
    pub fn new(
        shared: &SharedState,
        store: S,
        entry: RosterEntry,
        keeper: Addr<ViewKeeper>,
    ) -> Self {
        let settings = &shared.settings;
        let resolve_timeout = settings.platform.timeout * 3;
        Self {
            records: RecordWriter::new(store, &settings.name, resolve_timeout),
            key: KeySpace::new(&settings.platform.root).roster(&settings.hall),
            hall: settings.hall.clone(),
            entry,
            keeper,
        }
    }

    /// Keeps the entry on the roster until a planned stop begins.
    pub async fn keep_registered(&self, shared: &Arc<SharedState>) {
        while !shared.is_stopping() {
            if !shared.is_registered() {
                match self.write(true).await {
                    Ok(()) => shared.reread.notify_one(),
                    Err(err) => event!(Warn, "not_registered", error = err),
                }
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Removes the entry from the roster.
    pub async fn unregister(&self) {
        if let Err(err) = self.write(false).await {
            event!(Warn, "not_unregistered", error = err);
        }
    }

    async fn write(&self, present: bool) -> Result<(), WriteError> {
        let change = |stored: Option<RosterRecord>, stamp| {
            let mut record = stored.unwrap_or_else(|| RosterRecord::new(&self.hall));
            if present {
                if record.holds(&self.entry) {
                    return Err(RosterError::Unchanged);
                }
                record.put(self.entry.clone());
            } else {
                record.remove(&self.entry.name);
            }
            record.sign(stamp);
            Ok(record)
        };
        match self.records.update(&self.key, change).await {
            Ok(record) => self.keeper.do_send(ApplyRoster { record }),
            Err(RosterError::Unchanged) => {}
            Err(RosterError::Write(err)) => return Err(err),
        }
        Ok(())
    }
}

/// Why the roster was not written.
enum RosterError {
    /// It contains the entry already.
    Unchanged,
    /// The write failed.
    Write(WriteError),
}

impl From<WriteError> for RosterError {
    fn from(err: WriteError) -> Self {
        Self::Write(err)
    }
}
