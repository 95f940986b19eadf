//! A node's view of the records that operators and runners write to the store.
//!
//! [`FleetView`] is given the changes of these records and keeps the latest state of each. The
//! control loop changes it through [`update_fleet`]; owners of pools read it.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    sync::Arc, //
};

use hoisthitch_jobs::{
    ColdStart,
    Millis,
    QueuePolicy,
    RunnerInstance, //
};
use hoisthitch_store::StoredValue;
use hoisthitch_telemetry::event;
use tokio::sync::watch;

use crate::{
    cordons::HallCordons,
    follow::FollowEvent,
    platform::{
        FleetCodec,
        RunnerRecord,
        WaveRequest, //
    }, //
};

/// Operators' and runners' records as this node last saw them.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetView {
    /// Runners by name, as last written.
    pub(crate) runners: BTreeMap<String, RunnerRecord>,
    /// Queue policies by name of the queue.
    pub(crate) policies: HashMap<String, QueuePolicy>,
    /// Pools.
    pub(crate) pools: Vec<String>,
    /// Slow start of runners, by pool that has one.
    pub(crate) cold_starts: HashMap<String, ColdStart>,
    /// Waves by number.
    pub(crate) waves: BTreeMap<u64, WaveRequest>,
    /// Cordoned data halls.
    pub(crate) cordons: HallCordons,
    /// Whether the list of runners was read; only nodes that own pools, or are standbys, follow
    /// it.
    pub(crate) listed: bool,
    /// Instances of runners that were listed since this node follows the list, by address and by
    /// VM, and when each was first listed.
    instances: BTreeMap<String, BTreeMap<RunnerInstance, Millis>>,
    /// Entries below the runners' prefix that can't be used, by name, and why. Their writers may
    /// renew them every second; a line is logged only when the reason changes.
    unreadable: BTreeMap<String, String>,
}

/// An instance of another runner at the same address or on the same VM.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct ConflictingInstance {
    /// The instance.
    pub(crate) instance: RunnerInstance,
    /// When this node first saw it listed.
    pub(crate) listed_at: Millis,
}

impl FleetView {
    /// Applies a change of runners' records and returns whether the view changed. `age` is an
    /// upper bound of the time since the record was written, where one is known.
    pub(crate) fn apply_runner_change<C: FleetCodec>(
        &mut self,
        codec: &C,
        change: FollowEvent,
        age: Option<Millis>,
        now: Millis,
    ) -> bool {
        match change {
            FollowEvent::Snapshot(mut values) => {
                self.runners.clear();
                self.listed = true;
                self.keep_unreadable(codec, &values);
                // A later record at the same address is that of a later instance.
                values.sort_by_key(|value| value.revision);
                for value in &values {
                    self.put_runner(codec, value, None, now);
                }
                true
            }
            FollowEvent::Put(value) => self.put_runner(codec, &value, age, now),
            FollowEvent::Progress(_) => false,
            FollowEvent::Deleted(key) => {
                let Some(name) = codec.parse_runner_name(&key) else {
                    return false;
                };
                self.unreadable.remove(name);
                self.remove_runner(name)
            }
        }
    }

    /// Drops what is known of unreadable entries that are gone.
    fn keep_unreadable<C: FleetCodec>(&mut self, codec: &C, values: &[StoredValue]) {
        let names = values
            .iter()
            .map(|value| codec.parse_runner_name(&value.key));
        let names: BTreeSet<&str> = names.flatten().collect();
        self.unreadable
            .retain(|name, _| names.contains(name.as_str()));
    }

    /// Clears the list of runners, which is no longer followed.
    pub(crate) fn forget_runners(&mut self) {
        self.runners.clear();
        self.unreadable.clear();
        self.instances.clear();
        self.listed = false;
    }

    /// Removes a runner from the list and returns whether it was there.
    fn remove_runner(&mut self, name: &str) -> bool {
        let Some(record) = self.runners.remove(name) else {
            return false;
        };
        event!(Info, "runner_unlisted", runner = record.facts.instance());
        true
    }

    /// Applies a runner's record and returns whether the view changed.
    fn put_runner<C: FleetCodec>(
        &mut self,
        codec: &C,
        value: &StoredValue,
        age: Option<Millis>,
        now: Millis,
    ) -> bool {
        let Some(name) = codec.parse_runner_name(&value.key) else {
            return false;
        };
        let record = match codec.parse_runner(name, &value.value) {
            Ok(record) => record,
            Err(err) => {
                if self.unreadable.get(name) != Some(&err) {
                    event!(Error, "runner_unreadable", runner = name, error = err);
                    self.unreadable.insert(name.to_owned(), err);
                }
                return self.remove_runner(name);
            }
        };
        self.unreadable.remove(name);
        if self.runners.get(name) == Some(&record) {
            return false;
        }
        event!(
            Info,
            "runner_listed",
            runner = record.facts.instance(),
            pool = record.pool,
            address = record.address,
            draining = record.facts.draining,
            age_ms = age.map_or_else(|| "unknown".to_owned(), |age| age.to_string())
        );
        for location in locations_of(&record) {
            let instances = self.instances.entry(location).or_default();
            instances.entry(record.facts.instance()).or_insert(now);
        }
        self.runners.insert(name.to_owned(), record);
        true
    }

    /// Instances of other runners that were listed at the address or on the VM of a runner.
    ///
    /// The records don't show which instance is the latest, since the record of an ended one may
    /// be written late. But while the runner answers, all that were listed before have ended.
    pub(crate) fn conflicting_instances(&self, name: &str) -> BTreeSet<ConflictingInstance> {
        let Some(record) = self.runners.get(name) else {
            return BTreeSet::new();
        };
        let locations = locations_of(record);
        let instances = locations
            .filter_map(|location| self.instances.get(&location))
            .flatten();
        let others = instances.filter(|(instance, _)| instance.name != name);
        others
            .map(|(instance, listed_at)| ConflictingInstance {
                instance: instance.clone(),
                listed_at: *listed_at,
            })
            .collect()
    }

    /// When this node first saw the instance that is listed under a name, if an earlier instance
    /// of that name was listed before it.
    pub(crate) fn restarted_at(&self, name: &str) -> Option<Millis> {
        let record = self.runners.get(name)?;
        let instance = record.facts.instance();
        let instances = self.instances.get(&record.address.to_string())?;
        let listed_at = *instances.get(&instance)?;
        let mut others = instances
            .iter()
            .filter(|(other, _)| !other.may_be(&instance));
        let is_restart = others.any(|(other, at)| other.name == name && *at < listed_at);
        is_restart.then_some(listed_at)
    }

    /// Whether a runner is draining or no longer listed.
    pub(crate) fn is_departing(&self, name: &str) -> bool {
        let record = self.runners.get(name);
        record.is_none_or(|record| record.facts.draining)
    }

    /// Whether a runner is in a cordoned data hall.
    pub(crate) fn is_cordoned(&self, name: &str) -> bool {
        let record = || self.runners.get(name);
        !self.cordons.is_empty()
            && record().is_some_and(|record| self.cordons.contains(&record.facts.hall))
    }

    /// The instance that is listed under a name.
    pub(crate) fn instance_of(&self, name: &str) -> RunnerInstance {
        let record = self.runners.get(name);
        record.map_or_else(
            || RunnerInstance::without_start_time(name),
            |record| record.facts.instance(),
        )
    }
}

/// Changes the view. Its watchers are notified if `change` returns true.
pub(crate) fn update_fleet(
    fleet: &watch::Sender<Arc<FleetView>>,
    change: impl FnOnce(&mut FleetView) -> bool,
) {
    fleet.send_if_modified(|fleet| change(Arc::make_mut(fleet)));
}

/// The address and the VM of a runner, as far as they are known.
fn locations_of(record: &RunnerRecord) -> impl Iterator<Item = String> {
    let locations = [record.address.to_string(), record.facts.vm.clone()];
    locations
        .into_iter()
        .filter(|location| !location.is_empty())
}
