//! Follows the operators' records: puts each newer configuration into effect on this node, and
//! adds the requested waves and the cordoned data halls to the [`FleetView`].
//!
//! It runs for as long as the process does. A node that stops hands over its pools and then serves
//! its callers' open connections for some seconds more, by the configuration of that moment.

use std::{
    rc::Rc,
    sync::Arc, //
};

use hoisthitch_jobs::Millis;
use hoisthitch_store::{
    StoreClient,
    StoreRevision,
    StoredValue, //
};
use hoisthitch_telemetry::event;
use tokio::sync::{
    mpsc,
    watch, //
};

use crate::{
    cordons::HallCordons,
    fleet::{
        FleetView,
        update_fleet, //
    },
    follow::{
        FollowEvent,
        FollowOptions,
        FollowPause,
        FollowProgress,
        FollowRetry,
        follow_prefix, //
    },
    platform::{
        FleetCodec,
        FleetPolicy,
        Platform, //
    },
    policy::{
        PolicyChange,
        format_names, //
    },
    shared::NodeShared, //
};

/// Follows the operators' records, and reads all of them again when this node learns of a version
/// that has not reached it yet.
async fn follow_operators<S: StoreClient>(
    store: S,
    prefix: String,
    shared: Arc<NodeShared>,
    changes: mpsc::UnboundedSender<FollowEvent>,
) {
    loop {
        let options = FollowOptions {
            prefix: prefix.clone(),
            pause: FollowPause::None,
            progress: FollowProgress::AfterChange,
            retry: FollowRetry::ByNodes,
        };
        let follow = follow_prefix(store.clone(), options, shared.clone(), changes.clone());
        tokio::select! {
            biased;
            () = follow => return,
            version = shared.policy_refresh.requested() => event!(
                Info,
                "policy_sought",
                version = version,
                known = shared.policy_version()
            ),
        }
    }
}

/// Applies the operators' records to the node's state.
pub(crate) struct OperatorWatcher<C> {
    codec: C,
    shared: Arc<NodeShared>,
    fleet: Rc<watch::Sender<Arc<FleetView>>>,
}

impl<C: FleetCodec> OperatorWatcher<C> {
    /// Starts to follow the operators' records. The returned receiver gets a message after each
    /// change that was applied.
    pub(crate) fn start<P>(
        platform: &P,
        shared: Arc<NodeShared>,
        fleet: Rc<watch::Sender<Arc<FleetView>>>,
    ) -> mpsc::UnboundedReceiver<()>
    where
        P: Platform<Codec = C>,
    {
        let watcher = Self {
            codec: platform.codec().clone(),
            shared: shared.clone(),
            fleet,
        };
        let (sender, mut changes) = mpsc::unbounded_channel();
        actix_rt::spawn(follow_operators(
            platform.store().clone(),
            watcher.codec.operators_prefix(),
            shared,
            sender,
        ));
        let (applied, applied_receiver) = mpsc::unbounded_channel();
        actix_rt::spawn(async move {
            while let Some(change) = changes.recv().await {
                let is_change = !matches!(change, FollowEvent::Progress(_));
                watcher.apply_change(change);
                if is_change {
                    // The control loop may have ended; the configuration is still followed.
                    let _ = applied.send(());
                }
            }
        });
        applied_receiver
    }

    fn apply_change(&self, change: FollowEvent) {
        match change {
            FollowEvent::Snapshot(values) => {
                // Cordons first, so that no owner starts anything in a cordoned hall meanwhile.
                self.replace_cordons(&values);
                values.iter().for_each(|value| self.apply_record(value));
            }
            FollowEvent::Put(value) => match self.codec.parse_cordon(&value.key) {
                Some(hall) => self.change_cordons(|cordons, now| cordons.add(hall, now)),
                None => self.apply_record(&value),
            },
            FollowEvent::Deleted(key) => match self.codec.parse_cordon(&key) {
                Some(hall) => self.change_cordons(|cordons, now| cordons.remove(hall, now)),
                None => event!(Warn, "operators_key_gone", key = key),
            },
            FollowEvent::Progress(at) => {
                self.shared.policy_lease.renew(at);
                self.shared.cordons_lease.renew(at);
            }
        }
    }

    /// Replaces the cordoned halls by those of a complete list of records.
    fn replace_cordons(&self, values: &[StoredValue]) {
        let keys = values.iter().map(|value| value.key.as_str());
        let listed = keys
            .filter_map(|key| self.codec.parse_cordon(key))
            .collect();
        self.change_cordons(|cordons, now| cordons.replace(&listed, now));
    }

    /// Changes the cordoned halls; `change` returns whether it did.
    fn change_cordons(&self, change: impl FnOnce(&mut HallCordons, Millis) -> bool) {
        let now = self.shared.clock.now();
        let mut cordons = HallCordons::clone(&self.shared.cordons.load());
        if !change(&mut cordons, now) {
            return;
        }
        self.shared.cordons.store(Arc::new(cordons.clone()));
        let number = i64::try_from(cordons.names().len()).unwrap_or(i64::MAX);
        self.shared.metrics.cordoned_halls.set(number);
        update_fleet(&self.fleet, |fleet| {
            fleet.cordons = cordons;
            true
        });
    }

    fn apply_record(&self, value: &StoredValue) {
        match self.codec.parse_policy(&value.key, &value.value) {
            Some(Ok(policy)) => self.apply_policy(policy, value.revision),
            Some(Err(err)) => event!(
                Error,
                "policy_unreadable",
                key = value.key,
                revision = value.revision.0,
                error = err
            ),
            None => {}
        }
        match self.codec.parse_wave(&value.key, &value.value) {
            Some(Ok(wave)) => {
                event!(Info, "wave_seen", wave = wave.wave, vms = wave.vms.len());
                update_fleet(&self.fleet, |fleet| {
                    let before = fleet.waves.insert(wave.wave, wave.clone());
                    before.as_ref() != Some(&wave)
                });
            }
            Some(Err(err)) => event!(Error, "wave_unreadable", key = value.key, error = err),
            None => {}
        }
    }

    /// Puts a configuration into effect if its version is higher than that of the current one.
    fn apply_policy(&self, policy: FleetPolicy, revision: StoreRevision) {
        let current = self.shared.policy.load();
        if current
            .as_ref()
            .is_some_and(|now| now.version >= policy.version)
        {
            return;
        }
        let change = PolicyChange::between(current.as_deref(), &policy);
        event!(
            Info,
            "policy_in_force",
            version = policy.version,
            revision = revision.0,
            before = current.as_ref().map_or(0, |before| before.version),
            queues = policy.queues().len(),
            pools = policy.pools.len(),
            added = format_names(&change.added),
            dropped = format_names(&change.dropped),
            moved = format_names(&change.moved),
            teams = policy.teams().map_or(0, |teams| teams.teams().len()),
            keys_added = change.keys_added,
            keys_dropped = change.keys_dropped
        );
        let version = i64::try_from(policy.version).unwrap_or(i64::MAX);
        self.shared.metrics.policy_version.set(version);
        let pools = policy.pools.iter().map(|pool| pool.name.clone()).collect();
        let cold_starts = policy.pools.iter();
        let cold_starts =
            cold_starts.filter_map(|pool| Some((pool.name.clone(), pool.cold_start?)));
        let cold_starts = cold_starts.collect();
        let policies = policy.policies();
        self.shared.policy.store(Some(Arc::new(policy)));
        update_fleet(&self.fleet, |fleet| {
            fleet.pools = pools;
            fleet.cold_starts = cold_starts;
            fleet.policies = policies;
            true
        });
    }
}
