//! What the threads of a node share.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            AtomicU32,
            AtomicU64,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use arc_swap::ArcSwapOption;
use hoisthitch_jobs::Millis;
use tokio::sync::{
    Notify,
    Semaphore, //
};

use crate::{
    clock::NodeClock,
    metrics::NodeMetrics,
    platform::FleetPolicy, //
};

/// Time without a successful call after which the store counts as lost, in
/// milliseconds: longer than its slowest answers, shorter than a caller waits.
const STORE_LOST_MS: Millis = 1_800;

/// Nodes that may ask the store at will; each further one adds to what all of them wait, for
/// the store answers so many calls a second to all of them together.
const FREE_NODES: u32 = 40;

/// Wait after the first call of the store that failed; it doubles with each.
pub(crate) const RETRY_WAIT: Duration = Duration::from_millis(150);

/// What each node beyond those that are free adds to the longest such wait, in milliseconds,
/// and that wait while the group is not known.
const RETRY_EACH_MS: Millis = 8;
const RETRY_UNKNOWN: Duration = Duration::from_millis(600);

/// What each of them adds to the pause between two waits for changes of the group: all
/// nodes are woken by each change, and their number brings as many more of them.
const PAUSE_EACH: Duration = Duration::from_millis(2);

/// When calls to the store last succeeded and failed, and how many nodes call it.
#[derive(Debug, Default)]
pub struct StoreHealth {
    succeeded: AtomicU64,
    failed: AtomicU64,
    /// Nodes of the group as last seen; zero while it was not.
    nodes: AtomicU32,
}

impl StoreHealth {
    /// Notes that a call sent at `at` succeeded.
    pub fn record_success(&self, at: Millis) {
        self.succeeded.fetch_max(at, Ordering::Relaxed);
    }

    /// Notes that a call failed at `at`.
    pub fn record_failure(&self, at: Millis) {
        self.failed.fetch_max(at, Ordering::Relaxed);
    }

    /// Whether the store could be used of late.
    pub fn is_usable(&self, now: Millis) -> bool {
        self.succeeded.load(Ordering::Relaxed) + STORE_LOST_MS > now
    }

    /// Notes how many nodes the group has.
    pub(crate) fn note_nodes(&self, nodes: usize) {
        let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
        self.nodes.store(nodes, Ordering::Relaxed);
    }

    /// Nodes beyond those that may ask at will.
    fn further_nodes(&self) -> u32 {
        self.nodes
            .load(Ordering::Relaxed)
            .saturating_sub(FREE_NODES)
    }

    /// What the number of nodes adds to the longest wait for the store, in milliseconds.
    pub(crate) fn added_wait(&self) -> Millis {
        RETRY_EACH_MS * Millis::from(self.further_nodes())
    }

    /// Wait after so many calls in a row that failed: nodes that are turned away together
    /// would otherwise come again together, and be turned away again.
    pub(crate) fn retry_wait(&self, failures: u32) -> Duration {
        let most = if self.nodes.load(Ordering::Relaxed) == 0 {
            RETRY_UNKNOWN
        } else {
            RETRY_WAIT + Duration::from_millis(self.added_wait())
        };
        let doubled = RETRY_WAIT.saturating_mul(1 << failures.saturating_sub(1).min(8));
        if most <= RETRY_WAIT || doubled <= RETRY_WAIT {
            return RETRY_WAIT;
        }
        doubled.min(most).mul_f64(rand::random_range(0.6..1.0))
    }

    /// Pause between two waits for changes of the group.
    pub(crate) fn group_pause(&self) -> Duration {
        PAUSE_EACH.saturating_mul(self.further_nodes())
    }

    /// When a call last failed.
    pub fn last_failure(&self) -> Millis {
        self.failed.load(Ordering::Relaxed)
    }
}

/// The right to act on what the store was last seen to hold: for a time after it last
/// showed that nothing newer was there. Waits for the store each have a limit, and what
/// they add up to has none; so the age of what is known is what counts.
#[derive(Debug)]
pub struct ViewLease {
    /// How long it lasts, in milliseconds.
    hold: Millis,
    /// Time, of the node's clock, before which no change was made that is not known; zero
    /// while nothing is known.
    complete: AtomicU64,
}

impl ViewLease {
    /// A lease that lasts for a time after each confirmation.
    fn new(hold: Duration) -> Self {
        Self {
            hold: Millis::try_from(hold.as_millis()).unwrap_or(Millis::MAX),
            complete: AtomicU64::new(0),
        }
    }

    /// Takes in that all changes made before `at` are known.
    pub(crate) fn renew(&self, at: Millis) {
        self.complete.fetch_max(at, Ordering::Release);
    }

    /// Time since which a change may have been made that is not known.
    pub(crate) fn age(&self, now: Millis) -> Millis {
        now.saturating_sub(self.complete.load(Ordering::Acquire))
    }

    /// The same; none while nothing is known.
    pub(crate) fn known_age(&self, now: Millis) -> Option<Millis> {
        let is_known = self.complete.load(Ordering::Acquire) > 0;
        is_known.then(|| self.age(now))
    }

    /// Whether what is known may be acted on.
    pub(crate) fn is_valid(&self, now: Millis) -> bool {
        self.age(now) <= self.hold
    }
}

/// For how long a node acts on what it knows of the store without a confirmation.
#[derive(Clone, Copy, Debug)]
pub struct StalenessLimits {
    /// On the configuration.
    pub policy: Duration,
    /// On the list of runners.
    pub runners: Duration,
}

/// The configuration, as a request may be answered by it.
#[derive(Clone, Debug)]
pub enum PolicyStatus {
    /// There is none yet.
    Missing,
    /// There may be a newer one, for too long.
    Unconfirmed {
        /// Version that is known.
        version: u64,
        /// Time since which a newer one may be in force, in milliseconds.
        age_ms: Millis,
    },
    /// It is in force.
    Current(Arc<FleetPolicy>),
}

/// A version of the configuration that this node was told of and may not have.
#[derive(Debug, Default)]
pub(crate) struct PolicyRefresh {
    version: AtomicU64,
    raised: Notify,
}

impl PolicyRefresh {
    /// Waits until a version is asked for that is newer than those before.
    pub(crate) async fn raised(&self) -> u64 {
        self.raised.notified().await;
        self.version.load(Ordering::Relaxed)
    }
}

/// State that all threads of a node see.
#[derive(Debug)]
pub struct NodeShared {
    /// The node's clock.
    pub clock: NodeClock,
    /// Configuration in force.
    pub policy: ArcSwapOption<FleetPolicy>,
    /// The store as this node sees it.
    pub store: StoreHealth,
    /// Whether the node was told to stop.
    pub stopping: AtomicBool,
    /// Metrics.
    pub metrics: NodeMetrics,
    /// For how long the node may answer by it.
    pub(crate) policy_lease: ViewLease,
    /// For how long the node may start tasks by its list of runners.
    pub(crate) runner_list_lease: ViewLease,
    /// Version of the configuration that is to be read at once.
    pub(crate) policy_refresh: PolicyRefresh,
    /// Leave to ask an adviser, which serves one call of a node at a time.
    pub(crate) advice_permit: Semaphore,
}

impl NodeShared {
    /// State of a node that starts, and that acts on what it knows of the store for those
    /// times after it was last confirmed.
    pub fn new(metrics: NodeMetrics, holds: StalenessLimits) -> Arc<Self> {
        Self::with_clock(metrics, holds, NodeClock::start())
    }

    /// State of a node that starts, with a clock.
    pub fn with_clock(metrics: NodeMetrics, holds: StalenessLimits, clock: NodeClock) -> Arc<Self> {
        Arc::new(Self {
            clock,
            policy: ArcSwapOption::empty(),
            store: StoreHealth::default(),
            stopping: AtomicBool::new(false),
            metrics,
            policy_lease: ViewLease::new(holds.policy),
            runner_list_lease: ViewLease::new(holds.runners),
            policy_refresh: PolicyRefresh::default(),
            advice_permit: Semaphore::new(1),
        })
    }

    /// The configuration by which a request is to be answered now.
    pub fn policy_status(&self) -> PolicyStatus {
        // The age first: it tells of the configuration of this moment or an older one.
        let age_ms = self.policy_lease.age(self.clock.now());
        let Some(policy) = self.policy.load_full() else {
            return PolicyStatus::Missing;
        };
        if age_ms > self.policy_lease.hold {
            return PolicyStatus::Unconfirmed {
                version: policy.version,
                age_ms,
            };
        }
        PolicyStatus::Current(policy)
    }

    /// Version of the configuration in force; zero before the first.
    pub fn policy_version(&self) -> u64 {
        let policy = self.policy.load();
        policy.as_ref().map_or(0, |policy| policy.version)
    }

    /// Has the configuration read at once, unless it is as new as that version or was
    /// asked for before.
    pub(crate) fn request_policy_refresh(&self, version: u64) {
        if version <= self.policy_version() {
            return;
        }
        if self
            .policy_refresh
            .version
            .fetch_max(version, Ordering::Relaxed)
            < version
        {
            self.policy_refresh.raised.notify_one();
        }
    }

    /// Whether the node was told to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Whether new callers should come to this node.
    pub fn is_ready(&self) -> bool {
        let now = self.clock.now();
        let serves = matches!(self.policy_status(), PolicyStatus::Current(_));
        !self.is_stopping() && serves && self.store.is_usable(now)
    }
}
