//! State shared by the control thread and the traffic threads.

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

/// State shared by all threads of an entry.
pub struct SharedState {
    /// Settings of the process.
    pub settings: EntrySettings,
    /// Routes in effect; the control thread replaces the whole table.
    pub routes: ArcSwap<RouteTable>,
    /// When the view of the fleet was last confirmed.
    pub freshness: ViewFreshness,
    /// Claims of idempotency keys.
    pub claims: ClaimClient,
    /// Counts of calls to the store.
    pub store_calls: CallCounter,
    /// Metrics of the traffic.
    pub metrics: EntryMetrics,
    stopping: AtomicBool,
    registered: AtomicBool,
    /// Makes the follower of the store read it at once.
    pub reread: Notify,
}

impl SharedState {
    /// Creates the state without routes.
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

    /// Whether the entry is on the roster; always true without a mesh.
    pub fn is_registered(&self) -> bool {
        self.settings.mesh.is_none() || self.registered.load(Ordering::Relaxed)
    }

    /// Whether `members` contains this entry; always true without a mesh.
    pub fn is_member(&self, members: &[RosterEntry]) -> bool {
        let own = self.settings.mesh.as_ref().map(|mesh| RosterEntry {
            name: self.settings.name.clone(),
            mesh: mesh.advertise,
        });
        own.is_none_or(|own| members.contains(&own))
    }

    /// Records whether the entry is on the roster.
    ///
    /// It may be set only after a reading of the store showed the entry on the
    /// roster and the hall records of the same reading are in effect. A steward
    /// that has not seen the entry on the roster can then have made no move that
    /// the entry has not applied.
    pub fn set_registered(&self, registered: bool) {
        self.registered.store(registered, Ordering::Relaxed);
    }

    /// Whether requests may be sent: the entry is on the roster and its view of the
    /// fleet is fresh.
    pub fn may_send(&self) -> bool {
        self.is_registered() && self.freshness.is_fresh()
    }

    /// Whether the load balancer should send requests to this entry.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.routes.load().revision > 0 && self.may_send()
    }
}
