//! State that the control thread and the traffic threads share.

use std::sync::{
    Arc,
    atomic::{
        AtomicBool,
        Ordering, //
    }, //
};

use arc_swap::ArcSwap;
use hoisthitch_core::RosterEntry;
use hoisthitch_store::{
    CallCounter,
    ClaimClient, //
};
use tokio::sync::Notify;

use crate::{
    control::{
        RouteTable,
        ViewFreshness, //
    },
    metrics::EntryMetrics,
    settings::EntrySettings, //
};

/// State that all threads of an entry share.
pub struct SharedState {
    /// Settings of the process.
    pub settings: EntrySettings,
    /// Routes in force; replaced whole by the control thread.
    pub routes: ArcSwap<RouteTable>,
    /// Whether the view of the fleet is fresh enough to send work by.
    pub freshness: ViewFreshness,
    /// Claims of idempotency keys.
    pub claims: ClaimClient,
    /// Counts of calls to the store.
    pub store_calls: CallCounter,
    /// Metrics of the traffic.
    pub metrics: EntryMetrics,
    stopping: AtomicBool,
    registered: AtomicBool,
    /// Wakes the follower of the store for a reading out of turn.
    pub reread: Notify,
}

impl SharedState {
    /// Starts without routes.
    ///
    /// # Errors
    ///
    /// Fails when the metrics can't be registered.
    pub fn new(
        settings: EntrySettings,
        claims: ClaimClient,
        store_calls: CallCounter,
    ) -> Result<Arc<Self>, prometheus::Error> {
        Ok(Arc::new(Self {
            settings,
            routes: ArcSwap::default(),
            freshness: ViewFreshness::default(),
            claims,
            store_calls,
            metrics: EntryMetrics::new()?,
            stopping: AtomicBool::new(false),
            registered: AtomicBool::new(false),
            reread: Notify::new(),
        }))
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Begins a planned stop.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Whether the entry is on the roster, which one without a mesh needn't be.
    pub fn is_registered(&self) -> bool {
        self.settings.mesh.is_none() || self.registered.load(Ordering::Relaxed)
    }

    /// Whether this entry is among the members of the rosters.
    pub fn is_member(&self, members: &[RosterEntry]) -> bool {
        let own = self.settings.mesh.as_ref().map(|mesh| RosterEntry {
            name: self.settings.name.clone(),
            mesh: mesh.advertise,
        });
        own.is_none_or(|own| members.contains(&own))
    }

    /// Notes whether the entry is on the roster.
    ///
    /// It counts as registered only by a reading of the store that shows it on
    /// the roster, once the hall records of the same reading are in force: a
    /// steward that does not know of the entry has then made no move that the
    /// entry does not know of.
    pub fn set_registered(&self, registered: bool) {
        self.registered.store(registered, Ordering::Relaxed);
    }

    /// Whether work may be sent: the entry is on the roster and its view of the
    /// fleet is fresh.
    pub fn may_send(&self) -> bool {
        self.is_registered() && self.freshness.is_fresh()
    }

    /// Whether the balancer should send requests here.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.routes.load().revision > 0 && self.may_send()
    }
}
