//! Following the platform: the store's records and the list of VMs.

use std::{
    sync::Arc,
    time::Duration, //
};

use actix::Addr;
use hoisthitch_core::{
    HallRecord,
    PolicyTable,
    RosterEntry,
    RosterRecord, //
};
use hoisthitch_store::{
    KeySpace,
    StoreClient,
    StoreError,
    StoreRevision,
    StoredValue,
    VmLister,
    WatchEvent,
    WatchStream, //
};
use hoisthitch_telemetry::event;
use hoisthitch_wire::HallVersion;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use crate::{
    control::keeper::{
        ApplyHall,
        ApplyListing,
        ApplyRoster,
        ApplyTable,
        CompareStore,
        ViewKeeper, //
    },
    state::SharedState, //
};

/// First wait after the store could not be followed.
const BACKOFF_MIN: Duration = Duration::from_millis(100);

/// Longest wait after the store could not be followed.
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Time between two readings of the table beside the watch, which may be dead
/// without a sign.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Follows the store's records for ever.
pub async fn follow_store<S: StoreClient>(
    store: S,
    keys: KeySpace,
    keeper: Addr<ViewKeeper>,
    shared: Arc<SharedState>,
) {
    let follower = StoreFollower {
        store,
        keys,
        keeper,
        shared,
    };
    let mut backoff = BACKOFF_MIN;
    loop {
        let started = Instant::now();
        if let Err(err) = follower.follow().await {
            event!(Warn, "store_not_followed", error = err);
        }
        if started.elapsed() > BACKOFF_MAX {
            backoff = BACKOFF_MIN;
        }
        tokio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(BACKOFF_MAX);
    }
}

/// Follows the list of VMs for ever.
pub async fn follow_vms(
    lister: VmLister,
    interval: Duration,
    keeper: Addr<ViewKeeper>,
    shared: Arc<SharedState>,
) {
    loop {
        let asked = shared.gate.now();
        match lister.list().await {
            Ok(vms) => keeper.do_send(ApplyListing { vms, asked }),
            Err(err) => event!(Warn, "vms_not_listed", error = err),
        }
        tokio::time::sleep(interval).await;
    }
}

struct StoreFollower<S> {
    store: S,
    keys: KeySpace,
    keeper: Addr<ViewKeeper>,
    shared: Arc<SharedState>,
}

impl<S: StoreClient> StoreFollower<S> {
    /// Reads all records, then follows their changes until the watch fails.
    async fn follow(&self) -> Result<(), StoreError> {
        let highest = self.read_all().await?;
        let from = StoreRevision(highest.0 + 1);
        let mut watch = self.store.watch(&self.keys.records(), from).await?;
        let mut check = Instant::now() + CHECK_INTERVAL;
        loop {
            tokio::select! {
                change = watch.next() => match change {
                    Some(change) => self.apply_change(change?),
                    None => return Ok(()),
                },
                () = self.reading_due(check) => {
                    self.read_all().await?;
                    check = Instant::now() + CHECK_INTERVAL;
                }
            }
        }
    }

    /// Waits until a reading is due, in turn or out of it.
    async fn reading_due(&self, check: Instant) {
        // Either end of the wait asks for the same reading.
        let _ = tokio::time::timeout_at(check, self.shared.reread.notified()).await;
    }

    /// Reads all records, applies them, and has the store compared with what is
    /// in force; answers with the highest revision read.
    async fn read_all(&self) -> Result<StoreRevision, StoreError> {
        let asked = self.shared.gate.now();
        let mut highest = StoreRevision::default();
        let mut table = 0;
        let mut halls = Vec::new();
        let mut members = Vec::new();
        for stored in self.store.read_prefix(&self.keys.records()).await? {
            highest = highest.max(stored.revision);
            match self.apply(&stored) {
                Some(FollowedRecord::Table(revision)) => table = revision,
                Some(FollowedRecord::Hall(version)) => halls.push(version),
                Some(FollowedRecord::Roster(entries)) => members.extend(entries),
                None => {}
            }
        }
        self.keeper.do_send(CompareStore {
            table,
            halls,
            registered: self.shared.is_member(&members),
            asked,
        });
        Ok(highest)
    }

    fn apply_change(&self, change: WatchEvent) {
        if let WatchEvent::Put(stored) = change {
            self.apply(&stored);
        }
    }

    fn apply(&self, stored: &StoredValue) -> Option<FollowedRecord> {
        if stored.key == self.keys.table() {
            let table: PolicyTable = decode(stored)?;
            let revision = table.revision;
            let source = "store";
            self.keeper.do_send(ApplyTable { table, source });
            return Some(FollowedRecord::Table(revision));
        }
        if stored.key.starts_with(&self.keys.halls()) {
            let record: HallRecord = decode(stored)?;
            let version = HallVersion {
                hall: record.hall.clone(),
                version: record.version,
            };
            self.keeper.do_send(ApplyHall { record });
            return Some(FollowedRecord::Hall(version));
        }
        if stored.key.starts_with(&self.keys.rosters()) {
            let record: RosterRecord = decode(stored)?;
            let entries = record.entries.clone();
            self.keeper.do_send(ApplyRoster { record });
            return Some(FollowedRecord::Roster(entries));
        }
        None
    }
}

/// What a reading of the store is compared by.
enum FollowedRecord {
    /// Revision of the table.
    Table(u64),
    /// Version of a hall record.
    Hall(HallVersion),
    /// Entries of a roster.
    Roster(Vec<RosterEntry>),
}

fn decode<R: DeserializeOwned>(stored: &StoredValue) -> Option<R> {
    match serde_json::from_slice(&stored.value) {
        Ok(record) => Some(record),
        Err(err) => {
            event!(Error, "record_malformed", key = stored.key, error = err);
            None
        }
    }
}
