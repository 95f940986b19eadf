//! Membership of the group of nodes, and the choice of which node campaigns for which pool.
//!
//! A node is alive while its leased record exists. A pool whose owner is not alive goes to the
//! node that owns the fewest pools for its processor time; if that node does not take it, the
//! others campaign for it one after the other. [`GroupView`] is given the group's records and
//! returns the pools that this node should campaign for, and the one that it should hand over.
//!
//! Safety does not depend on any of this: an election is a compare-and-swap, and the revision of
//! the election fences all orders.

use std::{
    cell::Cell,
    cmp::{
        Ordering,
        Reverse, //
    },
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
    group_halls::{
        HallNodes,
        HallRank,
        alternate_halls, //
    },
    identity::{
        NodeIdentity,
        OwnerRecord, //
    },
    journal::encode_record,
    keys::JobKeys,
    shared::NodeShared, //
};

/// Lease of a member's record: time without renewal after which a node counts as gone. It bounds
/// the time for which the pools of a lost owner make no progress; the platform takes a second or
/// more.
const MEMBER_TTL: Duration = Duration::from_millis(1_600);

/// Time between two renewals of the lease.
const RENEW_INTERVAL: Duration = Duration::from_millis(400);

/// Longest wait after a failed renewal: two more attempts fit into the lease.
const MAX_RETRY_WAIT: Duration = Duration::from_millis(500);

/// Unanswered renewals in a row after which a node renews only once the store has answered a
/// read. Where only the answers are lost, further renewals would keep its record alive while it
/// can't do anything for its pools.
const MAX_UNANSWERED: u32 = 2;

/// Time within which a written record appears in the group, in milliseconds. It covers slow
/// answers to the write and to the watch.
const LISTING_TIMEOUT_MS: Millis = 1_000;

/// Time for which the next node in order waits for the one before it, in milliseconds: the
/// duration of a takeover with slow answers.
const ELECTION_STEP_MS: Millis = 1_200;

/// Time after a store failure, or after the start, within which living nodes write their lapsed
/// records again, in milliseconds.
const SETTLE_MS: Millis = 700;

/// Standbys of each pool. They follow the runners, whose records change hundreds of times a
/// second in a large fleet. If that many nodes are lost at once, another node reads the records
/// only when it takes over.
pub(crate) const STANDBYS: usize = 3;

/// Scale of a node's relative load, which is its number of pools per thousandth of a core.
const LOAD_SCALE: usize = 1_000_000;

/// Ratio at which an owner hands a pool over, in halves: its own relative load to the load that
/// another node would have with the pool. A handover costs as much as a planned stop, some tens
/// of milliseconds in which the pool starts nothing. A node with an eighth of a core is too slow
/// for a hundred runners; one with half a core is not. Beside an idle node with a whole core,
/// their ratios with one pool are 8 and 2.
const HANDOVER_RATIO_HALVES: usize = 5;

/// Time for which the group has to be unchanged before a pool is handed over, in milliseconds.
/// In a rolling restart, nodes come back one to two seconds apart.
const STABLE_MS: Millis = 3_000;

/// Width of the windows in which start times count as equal, in milliseconds. Nodes that start
/// together do so within a third of a second, by clocks that differ.
const START_WINDOW_MS: u64 = 2_000;

/// Record of a node that is alive.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct MemberRecord {
    /// Random number of this instance of the node's process.
    #[serde(rename = "life")]
    pub(crate) instance: u64,
    /// Data hall of the node.
    pub(crate) hall: String,
    /// Processor time that the node has, in thousandths of a core.
    #[serde(default = "default_cpu_milli")]
    #[serde(rename = "power")]
    pub(crate) cpu_milli: u64,
    /// When the node started, in milliseconds since 1970; zero if the record does not say.
    #[serde(default)]
    pub(crate) started_ms: u64,
}

/// Processor time of a node whose record does not say, in thousandths of a core.
fn default_cpu_milli() -> u64 {
    1_000
}

/// An owner, and the revision of its election.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct OwnerEntry {
    pub(crate) record: OwnerRecord,
    pub(crate) revision: StoreRevision,
}

/// The group of nodes as the store last showed it.
#[derive(Clone, Debug, Default)]
pub(crate) struct GroupView {
    /// Nodes that are alive, by name.
    pub(crate) members: BTreeMap<String, MemberRecord>,
    /// Owners by pool.
    pub(crate) owners: BTreeMap<String, OwnerEntry>,
    /// When a pool was first seen without a living owner.
    vacant_since: BTreeMap<String, Millis>,
    /// Time since which the instances of the members are unchanged.
    pub(crate) unchanged_since: Millis,
    /// Number of members visited by decisions. Every node decides after each change of the group,
    /// so that what a decision visits must not grow with the group while nothing is to be decided.
    visited: Cell<u64>,
    /// Whether data halls may be lost, so that a pool's owner and standbys stand in several.
    pub(crate) spreads_halls: bool,
    /// Number of members in each hall.
    pub(crate) hall_nodes: HallNodes,
}

/// A pool that this node should hand over to a node with much more capacity for it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct PoolHandover {
    pub(crate) pool: String,
    /// Relative load of this node.
    pub(crate) load: usize,
    /// The other node.
    pub(crate) node: String,
    /// Relative load that the other node would have with the pool.
    pub(crate) target_load: usize,
}

impl GroupView {
    /// Applies a change of the group's records.
    pub(crate) fn apply(&mut self, keys: &JobKeys, change: FollowEvent, now: Millis) {
        if self.apply_change(keys, change) {
            self.unchanged_since = now;
        }
    }

    /// Applies a change; returns whether the instances of the members changed.
    fn apply_change(&mut self, keys: &JobKeys, change: FollowEvent) -> bool {
        match change {
            FollowEvent::Snapshot(values) => {
                let before = std::mem::take(&mut self.members);
                self.hall_nodes.clear();
                self.owners.clear();
                for value in values {
                    self.put(keys, &value);
                }
                self.visit(before.len());
                !instances(&self.members).eq(instances(&before))
            }
            FollowEvent::Put(value) => self.put(keys, &value),
            FollowEvent::Progress(_) => false,
            FollowEvent::Deleted(key) => {
                if let Some(pool) = keys.owner_of(&key) {
                    self.owners.remove(pool);
                }
                let Some(node) = keys.member_of(&key) else {
                    return false;
                };
                event!(Warn, "node_gone", node = node);
                let left = self.members.remove(node);
                if let Some(member) = &left {
                    self.hall_nodes.remove(&member.hall);
                }
                left.is_some()
            }
        }
    }

    /// Applies a record; returns whether the instance of a member changed.
    fn put(&mut self, keys: &JobKeys, value: &StoredValue) -> bool {
        if let Some(node) = keys.member_of(&value.key) {
            match serde_json::from_slice::<MemberRecord>(&value.value) {
                Ok(record) => {
                    let instance = record.instance;
                    self.hall_nodes.add(&record.hall);
                    let before = self.members.insert(node.to_owned(), record);
                    if let Some(member) = &before {
                        self.hall_nodes.remove(&member.hall);
                    }
                    return before.is_none_or(|before| before.instance != instance);
                }
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
        false
    }

    /// Counts members that a decision visits.
    pub(crate) fn visit(&self, members: usize) {
        let members = u64::try_from(members).unwrap_or(u64::MAX);
        self.visited.set(self.visited.get().saturating_add(members));
    }

    /// Number of members visited since the last call.
    pub(crate) fn take_visited(&self) -> u64 {
        self.visited.take()
    }

    /// Whether this instance of a node is a member.
    pub(crate) fn has_instance(&self, identity: &NodeIdentity) -> bool {
        let member = self.members.get(&identity.node);
        member.is_some_and(|member| member.instance == identity.instance)
    }

    fn is_owned(&self, pool: &str) -> bool {
        self.owners.get(pool).is_some_and(|entry| {
            let member = self.members.get(&entry.record.node);
            member.is_some_and(|member| member.instance == entry.record.instance)
        })
    }

    /// Pools that this node should campaign for now, with the revision of their last election.
    /// `running` are the pools that it owns or campaigns for already.
    pub(crate) fn pools_to_own(
        &mut self,
        pools: &[String],
        identity: &NodeIdentity,
        running: &BTreeSet<String>,
        last_store_failure: Millis,
        now: Millis,
    ) -> Vec<(String, StoreRevision)> {
        let vacant: Vec<&String> = pools
            .iter()
            .filter(|pool| !running.contains(*pool))
            .filter(|pool| !self.is_owned(pool) || self.names_owner(pool, identity))
            .collect();
        self.vacant_since.retain(|pool, _| vacant.contains(&pool));
        if vacant.is_empty() {
            return Vec::new();
        }
        for pool in &vacant {
            self.vacant_since.entry((*pool).clone()).or_insert(now);
        }
        let mut pool_counts = self.pool_counts(pools);
        let mut hall_counts = self.hall_counts(pools);
        let mut to_own = Vec::new();
        for (position, pool) in vacant.into_iter().enumerate() {
            let order = self.candidates(pool, &pool_counts, &hall_counts);
            // Counted as taken, so that several vacant pools do not all go to one node.
            if let Some(first) = order.first() {
                *pool_counts.entry(first.clone()).or_insert(0) += 1;
                if let Some(member) = self.members.get(first).filter(|_| self.spreads_halls) {
                    *hall_counts.entry(member.hall.clone()).or_insert(0) += 1;
                }
            }
            let rank = order.iter().position(|node| *node == identity.node);
            let Some(rank) = rank.and_then(|rank| Millis::try_from(rank).ok()) else {
                continue;
            };
            let since = self.vacant_since.get(pool).copied().unwrap_or(now);
            // A node that the last owner chose does not wait for the candidates before it.
            let is_chosen = self.spreads_halls && self.names_owner(pool, identity);
            let rank = if is_chosen { 0 } else { rank };
            let turn = self.takeover_turn(position);
            let due = (since + rank * ELECTION_STEP_MS + turn).max(last_store_failure + SETTLE_MS);
            if now >= due {
                let revision = self
                    .owners
                    .get(pool)
                    .map_or(StoreRevision::default(), |entry| entry.revision);
                to_own.push((pool.clone(), revision));
            }
        }
        to_own
    }

    /// A pool that this node should hand over, if the group has been unchanged for a while.
    pub(crate) fn pick_handover(
        &self,
        pools: &[String],
        identity: &NodeIdentity,
        now: Millis,
    ) -> Option<PoolHandover> {
        if now < self.unchanged_since + STABLE_MS {
            return None;
        }
        let is_own = |pool: &&String| self.names_owner(pool, identity);
        let own_pools = pools.iter().filter(is_own).count();
        if own_pools == 0 || !self.has_instance(identity) {
            return None;
        }
        let pool_counts = self.pool_counts(pools);
        let load = relative_load(own_pools, identity.cpu_milli);
        let pool = pools.iter().find(|pool| self.names_owner(pool, identity))?;
        let order = self.candidates(pool, &pool_counts, &self.hall_counts(pools));
        let node = order.into_iter().find(|node| *node != identity.node)?;
        let cpu_milli = self.members.get(&node)?.cpu_milli;
        let target_load =
            relative_load(pool_counts.get(&node).copied().unwrap_or(0) + 1, cpu_milli);
        (load * 2 >= target_load * HANDOVER_RATIO_HALVES).then(|| PoolHandover {
            pool: pool.clone(),
            load,
            node,
            target_load,
        })
    }

    /// Whether this node is a standby of some pool.
    pub(crate) fn is_standby(&self, pools: &[String], node: &str) -> bool {
        if !self.members.contains_key(node) {
            return false;
        }
        let owned = self.owned_counts(pools);
        if self.spreads_halls {
            return self.is_standby_by_hall(pools, node, &owned);
        }
        pools.iter().any(|pool| {
            let own = self.rank_of(pool, node, &owned, &BTreeMap::new());
            let mut visited = 0;
            let better = self.members.keys().filter(|other| {
                visited += 1;
                *other != node
                    && self
                        .rank_of(pool, other, &owned, &BTreeMap::new())
                        .is_before(&own)
            });
            let standing = better.take(STANDBYS).count();
            self.visit(visited);
            standing < STANDBYS
        })
    }

    /// Whether the record of the pool's owner names this instance of this node. If the node does
    /// not run the pool, the answer to its election was lost.
    pub(crate) fn names_owner(&self, pool: &str, identity: &NodeIdentity) -> bool {
        self.owners.get(pool).is_some_and(|entry| {
            entry.record.node == identity.node && entry.record.instance == identity.instance
        })
    }

    /// Number of pools that each living owner owns.
    pub(crate) fn owned_counts(&self, pools: &[String]) -> BTreeMap<&str, usize> {
        let mut counts = BTreeMap::new();
        for pool in pools.iter().filter(|pool| self.is_owned(pool)) {
            if let Some(entry) = self.owners.get(pool) {
                *counts.entry(entry.record.node.as_str()).or_insert(0) += 1;
            }
        }
        counts
    }

    /// Number of pools that each living node owns.
    pub(crate) fn pool_counts(&self, pools: &[String]) -> BTreeMap<String, usize> {
        self.visit(self.members.len());
        let owned = self.owned_counts(pools);
        let nodes = self.members.keys();
        nodes
            .map(|node| (node.clone(), owned.get(node.as_str()).copied().unwrap_or(0)))
            .collect()
    }

    /// A node's place among the candidates for a pool.
    pub(crate) fn rank_of<'a>(
        &self,
        pool: &'a str,
        node: &'a str,
        owned: &BTreeMap<&str, usize>,
        hall_counts: &BTreeMap<String, usize>,
    ) -> CandidateRank<'a> {
        let member = self.members.get(node);
        let pools = owned.get(node).copied().unwrap_or(0);
        let hall = self.hall_rank(pool, member, hall_counts);
        CandidateRank::new(pool, node, member, pools, hall)
    }

    /// Living nodes in the order in which they should campaign for a pool: by relative load with
    /// the pool, and at equal load the node that started last first. In a rolling restart, a node
    /// that was not restarted yet would hand the pool on again, which takes three seconds where
    /// the store is slow.
    pub(crate) fn candidates(
        &self,
        pool: &str,
        pool_counts: &BTreeMap<String, usize>,
        hall_counts: &BTreeMap<String, usize>,
    ) -> Vec<String> {
        let mut order: Vec<String> = self.members.keys().cloned().collect();
        self.visit(order.len());
        order.sort_by_cached_key(|node| {
            let pools = pool_counts.get(node).copied().unwrap_or(0);
            let member = self.members.get(node);
            let hall = self.hall_rank(pool, member, hall_counts);
            let rank = CandidateRank::new(pool, node, member, pools, hall);
            (rank.order, rank.tie_breaker())
        });
        if self.spreads_halls {
            alternate_halls(&mut order, |node| {
                let member = self.members.get(node);
                let pools = pool_counts.get(node).copied().unwrap_or(0);
                let cpu_milli = member.map_or(1, |member| member.cpu_milli);
                let hall = member.map_or("", |member| member.hall.as_str());
                (relative_load(pools + 1, cpu_milli), hall)
            });
        }
        order
    }
}

/// A node's place among the candidates for a pool. The hash that decides between equal ones is
/// computed only where it is needed.
pub(crate) struct CandidateRank<'a> {
    /// Relative load with the pool, then its data hall's rank, and the start of the node, the
    /// latest first.
    order: (usize, HallRank, Reverse<u64>),
    pool: &'a str,
    node: &'a str,
}

impl<'a> CandidateRank<'a> {
    /// The place of a node that owns that many pools.
    fn new(
        pool: &'a str,
        node: &'a str,
        member: Option<&MemberRecord>,
        pools: usize,
        hall: HallRank,
    ) -> Self {
        let cpu_milli = member.map_or(1, |member| member.cpu_milli);
        let started_ms = member.map_or(0, |member| member.started_ms);
        Self {
            order: (
                relative_load(pools + 1, cpu_milli),
                hall,
                Reverse(started_ms / START_WINDOW_MS),
            ),
            pool,
            node,
        }
    }

    fn tie_breaker(&self) -> u64 {
        hash_name(&format!("{}/{}", self.pool, self.node))
    }

    /// Whether it comes before another one.
    pub(crate) fn is_before(&self, other: &Self) -> bool {
        match self.order.cmp(&other.order) {
            Ordering::Equal => self.tie_breaker() < other.tie_breaker(),
            order => order == Ordering::Less,
        }
    }
}

/// Names of the members and their instances.
fn instances(members: &BTreeMap<String, MemberRecord>) -> impl Iterator<Item = (&str, u64)> {
    let members = members.iter();
    members.map(|(node, member)| (node.as_str(), member.instance))
}

/// Number of pools of a node in relation to its processor time, scaled by [`LOAD_SCALE`].
fn relative_load(pools: usize, cpu_milli: u64) -> usize {
    pools * LOAD_SCALE / usize::try_from(cpu_milli.max(1)).unwrap_or(1)
}

/// Keeps the node's record alive until the node stops.
///
/// `listed` says whether the group contains the record. The record may be removed, or overwritten
/// by a late write that belongs to an older lease, while its own lease is still renewed. In that
/// case a new lease and record are written.
pub(crate) async fn maintain_membership<S: StoreClient>(
    store: S,
    shared: Arc<NodeShared>,
    keys: JobKeys,
    identity: NodeIdentity,
    listed: watch::Receiver<bool>,
) {
    let mut lease = None;
    let mut lease_recorded_at = 0;
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
        let listed_by = lease_recorded_at + LISTING_TIMEOUT_MS + shared.store.added_wait();
        if lease.is_some() && !*listed.borrow() && sent >= listed_by {
            event!(
                Warn,
                "member_missing",
                node = identity.node,
                life = identity.instance
            );
            lease = None;
        }
        match renew_if_answered(&store, &key, &record, lease, unanswered).await {
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
                    lease_recorded_at = sent;
                }
                unanswered = 0;
                lease = renewed;
                tokio::time::sleep(RENEW_INTERVAL).await;
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
                let wait = shared.store.retry_wait(unanswered).min(MAX_RETRY_WAIT);
                tokio::time::sleep(wait).await;
            }
        }
    }
}

/// Renews the lease; after [`MAX_UNANSWERED`] unanswered renewals only once the store has answered
/// a read.
async fn renew_if_answered<S: StoreClient>(
    store: &S,
    key: &str,
    record: &MemberRecord,
    lease: Option<LeaseId>,
    unanswered: u32,
) -> Result<Option<LeaseId>, StoreError> {
    if unanswered >= MAX_UNANSWERED {
        store.read(key).await?;
    }
    renew_lease(store, key, record, lease).await
}

/// Renews the lease, or writes the record under a new one. Returns none where the new lease
/// lapsed before the record was written.
async fn renew_lease<S: StoreClient>(
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

/// Removes the node's record, so that other nodes take over its pools at once.
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
