//! Follows the platform: the store's records and the list of VMs.
//!
//! Changes of the store are watched, and its revisions are read at intervals as
//! well, since a watch can fail without an error. Everything that is read goes to
//! the [`ViewKeeper`].

use std::{
    cell::RefCell,
    sync::Arc,
    time::Duration, //
};

use actix::Addr;
use hoisthitch_core::{
    HallRecord,
    PolicyTable,
    RosterRecord, //
};
use hoisthitch_store::{
    KeySpace,
    StoreClient,
    StoreError,
    StoreRevision,
    StoredValue,
    VmLister,
    VmListing,
    WatchEvent,
    WatchStream, //
};
use hoisthitch_telemetry::event;
use hoisthitch_wire::HallVersion;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use crate::{
    control::{
        followed::{
            FollowedContent,
            FollowedRecords, //
        },
        keeper::ViewKeeper,
        messages::{
            ApplyHall,
            ApplyListing,
            ApplyRoster,
            ApplyTable,
            CompareStore, //
        }, //
    },
    state::SharedState, //
};

/// Shortest wait before the store is followed again after a failure.
const BACKOFF_MIN: Duration = Duration::from_millis(100);

/// Longest wait before the store is followed again after a failure.
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Time between two readings of the store's revisions beside the watch, which may
/// fail without an error.
const READ_INTERVAL: Duration = Duration::from_secs(2);

/// Follows the store's records; never returns.
pub async fn follow_store<S: StoreClient>(
    store: S,
    keys: KeySpace,
    keeper: Addr<ViewKeeper>,
    shared: Arc<SharedState>,
) {
    let follower = StoreFollower {
        known: RefCell::default(),
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

/// Reads the list of VMs at intervals; never returns.
pub async fn follow_vms(
    lister: VmLister,
    interval: Duration,
    keeper: Addr<ViewKeeper>,
    shared: Arc<SharedState>,
) {
    let mut known = String::new();
    loop {
        let requested_at = shared.freshness.now();
        match lister.list_changes(&known).await {
            Ok(VmListing::Unchanged) => keeper.do_send(ApplyListing {
                vms: None,
                requested_at,
            }),
            Ok(VmListing::Changed { vms, tag }) => {
                known = tag;
                let vms = Some(vms);
                keeper.do_send(ApplyListing { vms, requested_at });
            }
            Err(err) => event!(Warn, "vms_not_listed", error = err),
        }
        tokio::time::sleep(interval).await;
    }
}

struct StoreFollower<S> {
    /// Records as last read or watched.
    known: RefCell<FollowedRecords>,
    store: S,
    keys: KeySpace,
    keeper: Addr<ViewKeeper>,
    shared: Arc<SharedState>,
}

impl<S: StoreClient> StoreFollower<S> {
    /// Reads the records, then applies their changes until the watch ends.
    async fn follow(&self) -> Result<(), StoreError> {
        let highest = self.read_all().await?;
        let from = StoreRevision(highest.0 + 1);
        let mut watch = self.store.watch(&self.keys.records(), from).await?;
        let mut next_reading = Instant::now() + READ_INTERVAL;
        loop {
            tokio::select! {
                change = watch.next() => match change {
                    Some(change) => self.apply_change(change?),
                    None => return Ok(()),
                },
                () = self.wait_for_reading(next_reading) => {
                    self.read_all().await?;
                    next_reading = Instant::now() + READ_INTERVAL;
                }
            }
        }
    }

    /// Waits until the next regular reading or a requested one.
    async fn wait_for_reading(&self, next_reading: Instant) {
        // Both a timeout and a notification lead to the same reading.
        let _ = tokio::time::timeout_at(next_reading, self.shared.reread.notified()).await;
    }

    /// Reads and applies the records if any of them changed, and has the keeper
    /// compare the store with what is in effect. Returns the highest revision.
    async fn read_all(&self) -> Result<StoreRevision, StoreError> {
        let requested_at = self.shared.freshness.now();
        let root = self.keys.records();
        let revisions = self.store.read_revisions(&root).await?;
        if !self.known.borrow().has_exactly(&revisions) {
            let stored = self.store.read_prefix(&root).await?;
            self.known.borrow_mut().clear();
            for stored in &stored {
                self.apply(stored);
            }
        }
        let known = self.known.borrow();
        self.keeper.do_send(CompareStore {
            table: known.table(),
            halls: known.halls(),
            registered: self.shared.is_member(&known.entries()),
            requested_at,
        });
        Ok(known.highest())
    }

    fn apply_change(&self, change: WatchEvent) {
        if let WatchEvent::Put(stored) = change {
            self.apply(&stored);
        }
    }

    /// Applies a record and remembers its content.
    fn apply(&self, stored: &StoredValue) {
        let content = self.apply_content(stored);
        self.known.borrow_mut().put(stored, content);
    }

    fn apply_content(&self, stored: &StoredValue) -> FollowedContent {
        if stored.key == self.keys.table() {
            if let Some(table) = decode::<PolicyTable>(stored) {
                let revision = table.revision;
                let source = "store";
                self.keeper.do_send(ApplyTable { table, source });
                return FollowedContent::Table(revision);
            }
        } else if stored.key.starts_with(&self.keys.halls()) {
            if let Some(record) = decode::<HallRecord>(stored) {
                let version = HallVersion {
                    hall: record.hall.clone(),
                    version: record.version,
                };
                self.keeper.do_send(ApplyHall { record });
                return FollowedContent::Hall(version);
            }
        } else if stored.key.starts_with(&self.keys.rosters())
            && let Some(record) = decode::<RosterRecord>(stored)
        {
            let entries = record.entries.clone();
            self.keeper.do_send(ApplyRoster { record });
            return FollowedContent::Roster(entries);
        }
        FollowedContent::Other
    }
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
