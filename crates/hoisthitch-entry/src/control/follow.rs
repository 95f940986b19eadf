//! Following the platform: the store's records and the list of VMs.

use std::{
    sync::Arc,
    time::Duration, //
};

use actix::Addr;
use hoisthitch_core::{
    HallRecord,
    PolicyTable, //
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
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use crate::{
    control::keeper::{
        ApplyHall,
        ApplyListing,
        ApplyTable,
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
        match lister.list().await {
            Ok(vms) => {
                shared.gate.confirm();
                keeper.do_send(ApplyListing { vms });
            }
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
        let root = self.keys.records();
        let mut highest = StoreRevision::default();
        for stored in self.store.read_prefix(&root).await? {
            highest = highest.max(stored.revision);
            self.apply(&stored);
        }
        self.shared.gate.confirm();
        let from = StoreRevision(highest.0 + 1);
        let mut watch = self.store.watch(&root, from).await?;
        loop {
            match tokio::time::timeout(CHECK_INTERVAL, watch.next()).await {
                Ok(Some(change)) => self.apply_change(change?),
                Ok(None) => return Ok(()),
                Err(_) => self.check_table().await?,
            }
        }
    }

    fn apply_change(&self, change: WatchEvent) {
        self.shared.gate.confirm();
        if let WatchEvent::Put(stored) = change {
            self.apply(&stored);
        }
    }

    /// Reads the records anew, in case the watch is dead without a sign.
    async fn check_table(&self) -> Result<(), StoreError> {
        for stored in self.store.read_prefix(&self.keys.records()).await? {
            self.apply(&stored);
        }
        self.shared.gate.confirm();
        Ok(())
    }

    fn apply(&self, stored: &StoredValue) {
        if stored.key == self.keys.table() {
            if let Some(table) = decode::<PolicyTable>(stored) {
                let source = "store";
                self.keeper.do_send(ApplyTable { table, source });
            }
        } else if stored.key.starts_with(&self.keys.halls())
            && let Some(record) = decode::<HallRecord>(stored)
        {
            self.keeper.do_send(ApplyHall { record });
        }
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
