//! Which nodes are alive, and which of them owns which pool.
//!
//! A node is alive while its leased record is there. A pool whose owner is not
//! alive goes to the node that owns the fewest for its processor time; the others step in one
//! after the other if that one does not. No safety rests on any of this: an
//! election is a compare-and-swap, and its revision fences all orders.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc,
    time::Duration, //
};

use hoisthitch_core::hash_name;
use hoisthitch_jobs::Millis;
use hoisthitch_store::{
    BatchOutcome,
    LeaseId,
    StoreClient,
    StoreError,
    StoreRevision,
    StoredValue,
    SwapItem, //
};
use hoisthitch_telemetry::event;
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::sync::watch;

use crate::{
    follow::FollowEvent,
    identity::{
        NodeIdentity,
        OwnerRecord, //
    },
    journal::encode_record,
    keys::JobKeys,
    shared::NodeShared, //
};

/// Time without renewal after which a node counts as gone. It bounds the time
/// that a lost owner's pools stand still; the platform takes a second or more.
const MEMBER_TTL: Duration = Duration::from_millis(1_600);

/// Time between two renewals.
const RENEW_TIME: Duration = Duration::from_millis(400);

/// Longest wait after a renewal that failed: two more fit into the time that the record has.
const RETRY_MOST: Duration = Duration::from_millis(500);

/// Renewals in a row without an answer after which a node first makes sure that
/// it is answered at all. Where only the answers are lost, further renewals would
/// keep its record alive while it can't do anything for its pools.
const UNANSWERED_MOST: u32 = 2;

/// Time in which the group shows a record that was written, in milliseconds: slow
/// answers to the write and to the watch.
const LISTED_MS: Millis = 1_000;

/// Time that the next node in order waits for the one before it, in
/// milliseconds: the time of a takeover with slow answers.
const STEP_MS: Millis = 1_200;

/// Time after trouble with the store, or after the start, in which lapsed
/// records of living nodes come back, in milliseconds.
const SETTLE_MS: Millis = 700;

/// Nodes of each pool that are ready to step in: they follow the runners, whose
/// records change hundreds of times a second in a large fleet. Others read them
/// when they step in, if as many nodes are lost at once.
const STAND_BY: usize = 3;

/// Parts in which the pools of a node are compared with its power.
const STRAIN_PARTS: usize = 1_000_000;

/// Strain of an owner over that of another node with one pool more, in halves,
/// from which on it hands a pool over. A change costs what a planned stop costs,
/// some tens of milliseconds in which the pool starts nothing; a node of an eighth
/// of a core is too slow for a hundred runners, one of half a core is not.
const RELIEF_HALVES: usize = 5;

/// Time for which the group has to be the same before a pool is handed over, in
/// milliseconds: nodes that are restarted in turn come each one to two seconds.
const CALM_MS: Millis = 3_000;

/// Time within which nodes that started count as started together, in milliseconds:
/// all start within a third of a second, by clocks that differ.
const START_MS: u64 = 2_000;

/// Record of a node that is alive.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct MemberRecord {
    /// Life of the node.
    #[serde(rename = "life")]
    pub(crate) instance: u64,
    /// Data hall of the node.
    pub(crate) hall: String,
    /// Processor time that the node has, in thousandths of a core.
    #[serde(default = "usual_power")]
    #[serde(rename = "power")]
    pub(crate) cpu_milli: u64,
    /// Time of day at which the node started, in milliseconds since 1970; zero where
    /// it does not tell.
    #[serde(default)]
    pub(crate) started_ms: u64,
}

/// Power of a node that does not tell, in thousandths of a core.
fn usual_power() -> u64 {
    1_000
}

/// An owner, and the revision of its election.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct OwnerEntry {
    pub(crate) record: OwnerRecord,
    pub(crate) revision: StoreRevision,
}

/// The group as the store shows it.
#[derive(Clone, Debug, Default)]
pub(crate) struct GroupView {
    /// Nodes that are alive, by name.
    pub(crate) members: BTreeMap<String, MemberRecord>,
    /// Owners by pool.
    pub(crate) owners: BTreeMap<String, OwnerEntry>,
    /// When a pool was first seen without a living owner.
    vacant_since: BTreeMap<String, Millis>,
    /// Lives of the members as last looked at.
    instances: BTreeMap<String, u64>,
    /// Since when those are the same.
    same_since: Millis,
}

/// A pool that another node has much more power for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct PoolHandover {
    pub(crate) pool: String,
    /// Pools of this node for its power.
    pub(crate) load: usize,
    /// The other node.
    pub(crate) node: String,
    /// What it would have with the pool.
    pub(crate) target_load: usize,
}

impl GroupView {
    /// Takes in a change.
    pub(crate) fn take(&mut self, keys: &JobKeys, change: FollowEvent, now: Millis) {
        self.take_change(keys, change);
        self.note_members(now);
    }

    fn take_change(&mut self, keys: &JobKeys, change: FollowEvent) {
        match change {
            FollowEvent::Snapshot(values) => {
                self.members.clear();
                self.owners.clear();
                for value in values {
                    self.put(keys, &value);
                }
            }
            FollowEvent::Put(value) => self.put(keys, &value),
            FollowEvent::Progress(_) => {}
            FollowEvent::Deleted(key) => {
                if let Some(node) = keys.member_of(&key) {
                    event!(Warn, "node_gone", node = node);
                    self.members.remove(node);
                }
                if let Some(pool) = keys.owner_of(&key) {
                    self.owners.remove(pool);
                }
            }
        }
    }

    fn put(&mut self, keys: &JobKeys, value: &StoredValue) {
        if let Some(node) = keys.member_of(&value.key) {
            match serde_json::from_slice::<MemberRecord>(&value.value) {
                Ok(record) => drop(self.members.insert(node.to_owned(), record)),
                Err(err) => event!(Error, "member_unreadable", node = node, error = err),
            }
        } else if let Some(pool) = keys.owner_of(&value.key) {
            match serde_json::from_slice(&value.value) {
                Ok(record) => {
                    let revision = value.revision;
                    let entry = OwnerEntry { record, revision };
                    self.owners.insert(pool.to_owned(), entry);
                }
                Err(err) => event!(Error, "owner_unreadable", pool = pool, error = err),
            }
        }
    }

    /// Whether this life of a node is among those that are alive.
    pub(crate) fn lists(&self, identity: &NodeIdentity) -> bool {
        let member = self.members.get(&identity.node);
        member.is_some_and(|member| member.instance == identity.instance)
    }

    fn is_owned(&self, pool: &str) -> bool {
        self.owners.get(pool).is_some_and(|entry| {
            let member = self.members.get(&entry.record.node);
            member.is_some_and(|member| member.instance == entry.record.instance)
        })
    }

    /// Pools that this node should try to own now, with the revision of their
    /// last election.
    pub(crate) fn wanted(
        &mut self,
        pools: &[String],
        identity: &NodeIdentity,
        running: &BTreeSet<String>,
        quiet_since: Millis,
        now: Millis,
    ) -> Vec<(String, StoreRevision)> {
        let vacant: Vec<&String> = pools
            .iter()
            .filter(|pool| !running.contains(*pool))
            .filter(|pool| !self.is_owned(pool) || self.is_own(pool, identity))
            .collect();
        self.vacant_since.retain(|pool, _| vacant.contains(&pool));
        for pool in &vacant {
            self.vacant_since.entry((*pool).clone()).or_insert(now);
        }
        let mut loads = self.loads(pools);
        let mut wanted = Vec::new();
        for pool in vacant {
            let order = self.order(pool, &loads);
            if let Some(first) = order.first() {
                *loads.entry(first.clone()).or_insert(0) += 1;
            }
            let place = order.iter().position(|node| *node == identity.node);
            let Some(place) = place.and_then(|place| Millis::try_from(place).ok()) else {
                continue;
            };
            let since = self.vacant_since.get(pool).copied().unwrap_or(now);
            let due = (since + place * STEP_MS).max(quiet_since + SETTLE_MS);
            if now >= due {
                let revision = self
                    .owners
                    .get(pool)
                    .map_or(StoreRevision::default(), |entry| entry.revision);
                wanted.push((pool.clone(), revision));
            }
        }
        wanted
    }

    /// Notes when the members last changed.
    fn note_members(&mut self, now: Millis) {
        let instances = self
            .members
            .iter()
            .map(|(node, member)| (node, member.instance));
        if instances.eq(self
            .instances
            .iter()
            .map(|(node, instance)| (node, *instance)))
        {
            return;
        }
        let members = self.members.iter();
        self.instances = members
            .map(|(node, member)| (node.clone(), member.instance))
            .collect();
        self.same_since = now;
    }

    /// A pool of this node that it should leave to another one, if the group was
    /// the same for a while.
    pub(crate) fn pick_handover(
        &self,
        pools: &[String],
        identity: &NodeIdentity,
        now: Millis,
    ) -> Option<PoolHandover> {
        if now < self.same_since + CALM_MS {
            return None;
        }
        let loads = self.loads(pools);
        let own = loads
            .get(&identity.node)
            .copied()
            .filter(|load| *load > 0)?;
        let load = strain_of(own, identity.cpu_milli);
        let pool = pools.iter().find(|pool| self.is_own(pool, identity))?;
        let order = self.order(pool, &loads);
        let node = order.into_iter().find(|node| *node != identity.node)?;
        let cpu_milli = self.members.get(&node)?.cpu_milli;
        let target_load = strain_of(loads.get(&node).copied().unwrap_or(0) + 1, cpu_milli);
        (load * 2 >= target_load * RELIEF_HALVES).then(|| PoolHandover {
            pool: pool.clone(),
            load,
            node,
            target_load,
        })
    }

    /// Whether this node is among the first to step in for some pool.
    pub(crate) fn is_standby(&self, pools: &[String], node: &str) -> bool {
        let loads = self.loads(pools);
        pools.iter().any(|pool| {
            let order = self.order(pool, &loads);
            order.iter().take(STAND_BY).any(|other| other == node)
        })
    }

    /// Whether the records name this node. When it does not run the pool, the
    /// answer to its election was lost.
    fn is_own(&self, pool: &str, identity: &NodeIdentity) -> bool {
        self.owners.get(pool).is_some_and(|entry| {
            entry.record.node == identity.node && entry.record.instance == identity.instance
        })
    }

    /// Pools owned, by living node.
    fn loads(&self, pools: &[String]) -> BTreeMap<String, usize> {
        let mut loads: BTreeMap<String, usize> =
            self.members.keys().map(|node| (node.clone(), 0)).collect();
        for pool in pools.iter().filter(|pool| self.is_owned(pool)) {
            if let Some(entry) = self.owners.get(pool)
                && let Some(load) = loads.get_mut(&entry.record.node)
            {
                *load += 1;
            }
        }
        loads
    }

    /// Living nodes in the order in which they should step in for a pool: the least
    /// strained, and among those alike the one that started last. Nodes are restarted in
    /// turn, and one that was not yet would hand the pool on again, which takes three
    /// seconds where the store is slow.
    fn order(&self, pool: &str, loads: &BTreeMap<String, usize>) -> Vec<String> {
        let mut order: Vec<String> = self.members.keys().cloned().collect();
        order.sort_by_cached_key(|node| {
            let load = loads.get(node).copied().unwrap_or(0);
            let member = self.members.get(node);
            let cpu_milli = member.map_or(1, |member| member.cpu_milli);
            let started_ms = member.map_or(0, |member| member.started_ms);
            (
                strain_of(load + 1, cpu_milli),
                Reverse(started_ms / START_MS),
                hash_name(&format!("{pool}/{node}")),
            )
        });
        order
    }
}

/// Load of a node for its power, in parts of it.
fn strain_of(load: usize, cpu_milli: u64) -> usize {
    load * STRAIN_PARTS / usize::try_from(cpu_milli.max(1)).unwrap_or(1)
}

/// Keeps the node's record alive until the node stops. `listed` tells whether the
/// group shows it: the record may be taken away, or be overwritten by one that was
/// written late and goes with an older lease, while its own lease is renewed on.
pub(crate) async fn maintain_membership<S: StoreClient>(
    store: S,
    shared: Arc<NodeShared>,
    keys: JobKeys,
    identity: NodeIdentity,
    listed: watch::Receiver<bool>,
) {
    let mut lease = None;
    let mut recorded_at = 0;
    let mut unanswered = 0;
    let key = keys.member(&identity.node);
    let record = MemberRecord {
        instance: identity.instance,
        hall: identity.hall.clone(),
        cpu_milli: identity.cpu_milli,
        started_ms: shared.clock.unix_ms(),
    };
    while !shared.is_stopping() {
        let sent = shared.clock.now();
        let listed_by = recorded_at + LISTED_MS + shared.store.added_wait();
        if lease.is_some() && !*listed.borrow() && sent >= listed_by {
            event!(
                Warn,
                "member_missing",
                node = identity.node,
                life = identity.instance
            );
            lease = None;
        }
        match renew_if_heard(&store, &key, &record, lease, unanswered).await {
            Ok(renewed) => {
                shared.store.record_success(sent);
                if unanswered > 0 || lease != renewed {
                    event!(
                        Info,
                        "member_recorded",
                        node = identity.node,
                        life = identity.instance
                    );
                }
                if lease != renewed {
                    recorded_at = sent;
                }
                unanswered = 0;
                lease = renewed;
                tokio::time::sleep(RENEW_TIME).await;
            }
            Err(err) => {
                shared.store.record_failure(shared.clock.now());
                if unanswered == 0 {
                    event!(
                        Warn,
                        "member_not_renewed",
                        node = identity.node,
                        error = err
                    );
                }
                unanswered += 1;
                let wait = shared.store.retry_wait(unanswered).min(RETRY_MOST);
                tokio::time::sleep(wait).await;
            }
        }
    }
}

/// Renews the lease; after some renewals without an answer only once the store
/// has answered a read.
async fn renew_if_heard<S: StoreClient>(
    store: &S,
    key: &str,
    record: &MemberRecord,
    lease: Option<LeaseId>,
    unanswered: u32,
) -> Result<Option<LeaseId>, StoreError> {
    if unanswered >= UNANSWERED_MOST {
        store.read(key).await?;
    }
    renew(store, key, record, lease).await
}

/// Renews the lease, or makes a new one; none where it has just lapsed.
async fn renew<S: StoreClient>(
    store: &S,
    key: &str,
    record: &MemberRecord,
    lease: Option<LeaseId>,
) -> Result<Option<LeaseId>, StoreError> {
    if let Some(lease) = lease
        && store.keep_alive(lease).await?
    {
        return Ok(Some(lease));
    }
    let lease = store.grant_lease(MEMBER_TTL).await?;
    let item = SwapItem {
        key: key.to_owned(),
        expected: StoreRevision::ANY,
        value: Some(encode_record(record)),
        lease: Some(lease),
    };
    match store.swap_all(vec![item]).await? {
        BatchOutcome::Written(_) => Ok(Some(lease)),
        BatchOutcome::Conflict(_) => Ok(None),
    }
}

/// Removes the node's record, so that others take its pools at once.
pub(crate) async fn leave_group<S: StoreClient>(
    store: &S,
    keys: &JobKeys,
    identity: &NodeIdentity,
) {
    let item = SwapItem {
        key: keys.member(&identity.node),
        expected: StoreRevision::ANY,
        value: None,
        lease: None,
    };
    let left = store.swap_all(vec![item]).await;
    event!(
        Info,
        "group_left",
        node = identity.node,
        outcome = format_args!("{left:?}")
    );
}
