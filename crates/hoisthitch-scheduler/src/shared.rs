//! State that the threads of a node share: its clock, the configuration in effect, the health of
//! its store calls, and how current its view of the store is.
//!
//! A node answers requests by the configuration, and starts tasks by its list of runners, only
//! while the [`ViewLease`] of each is valid.

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

use arc_swap::{
    ArcSwap,
    ArcSwapOption, //
};
use hoisthitch_jobs::Millis;
use tokio::sync::{
    Notify,
    Semaphore, //
};

use crate::{
    clock::NodeClock,
    cordons::HallCordons,
    create::CreateLog,
    group_halls::HallNodes,
    intake::{
        IntakeRules,
        IntakeView, //
    },
    metrics::NodeMetrics,
    platform::FleetPolicy,
    terms::DeploymentTerms, //
};

/// Time without a successful call after which the store counts as lost, in milliseconds: longer
/// than its slowest answers, shorter than a caller waits.
const STORE_LOST_MS: Millis = 1_800;

/// Number of nodes up to which waits for the store don't grow. Each further node adds to the
/// waits of all, since the store limits the calls per second of all nodes together.
const UNTHROTTLED_NODES: u32 = 40;

/// Wait after the first failed call to the store; it doubles with each further one.
pub(crate) const RETRY_WAIT: Duration = Duration::from_millis(150);

/// What each node above [`UNTHROTTLED_NODES`] adds to the longest such wait, in milliseconds.
const RETRY_WAIT_PER_NODE_MS: Millis = 8;

/// Longest such wait while the size of the group is not known.
const MAX_RETRY_WAIT_UNKNOWN_GROUP: Duration = Duration::from_millis(600);

/// What each node above [`UNTHROTTLED_NODES`] adds to the pause between two waits for changes of
/// the group. Each change wakes all nodes, and more nodes also make more changes.
const GROUP_PAUSE_PER_NODE: Duration = Duration::from_millis(2);

/// When calls to the store last succeeded and failed, and how many nodes call the store.
#[derive(Debug, Default)]
pub struct StoreHealth {
    succeeded: AtomicU64,
    failed: AtomicU64,
    /// Number of nodes in the group as last seen; zero before it was seen.
    nodes: AtomicU32,
}

impl StoreHealth {
    /// Records that a call sent at `at` succeeded.
    pub fn record_success(&self, at: Millis) {
        self.succeeded.fetch_max(at, Ordering::Relaxed);
    }

    /// Records that a call failed at `at`.
    pub fn record_failure(&self, at: Millis) {
        self.failed.fetch_max(at, Ordering::Relaxed);
    }

    /// Whether a call to the store succeeded recently.
    pub fn is_usable(&self, now: Millis) -> bool {
        self.succeeded.load(Ordering::Relaxed) + STORE_LOST_MS > now
    }

    /// Records how many nodes the group has.
    pub(crate) fn record_node_count(&self, nodes: usize) {
        let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
        self.nodes.store(nodes, Ordering::Relaxed);
    }

    /// Number of nodes above [`UNTHROTTLED_NODES`].
    fn further_nodes(&self) -> u32 {
        self.nodes
            .load(Ordering::Relaxed)
            .saturating_sub(UNTHROTTLED_NODES)
    }

    /// What the number of nodes adds to the longest wait for the store, in milliseconds.
    pub(crate) fn added_wait(&self) -> Millis {
        RETRY_WAIT_PER_NODE_MS * Millis::from(self.further_nodes())
    }

    /// Wait after this many failed calls in a row: an exponential backoff with jitter. Without the
    /// jitter, nodes that are refused together would retry together and be refused again.
    pub(crate) fn retry_wait(&self, failures: u32) -> Duration {
        let longest = if self.nodes.load(Ordering::Relaxed) == 0 {
            MAX_RETRY_WAIT_UNKNOWN_GROUP
        } else {
            RETRY_WAIT + Duration::from_millis(self.added_wait())
        };
        let doubled = RETRY_WAIT.saturating_mul(1 << failures.saturating_sub(1).min(8));
        if longest <= RETRY_WAIT || doubled <= RETRY_WAIT {
            return RETRY_WAIT;
        }
        doubled.min(longest).mul_f64(rand::random_range(0.6..1.0))
    }

    /// Pause between two waits for changes of the group.
    pub(crate) fn group_pause(&self) -> Duration {
        GROUP_PAUSE_PER_NODE.saturating_mul(self.further_nodes())
    }

    /// When a call last failed.
    pub fn last_failure(&self) -> Millis {
        self.failed.load(Ordering::Relaxed)
    }
}

/// The right to act on a view of the store's records. It is valid for some time after the store
/// last confirmed that the view is complete.
///
/// It depends on the age of the view and not on timeouts, since each wait for the store has a limit
/// but the sum of the waits has none.
#[derive(Debug)]
pub struct ViewLease {
    /// How long it is valid after a confirmation, in milliseconds.
    duration_ms: Millis,
    /// Time, by the node's clock, up to which all changes are in the view; zero before the first
    /// confirmation.
    complete_until: AtomicU64,
}

impl ViewLease {
    /// A lease that is valid for this time after each confirmation.
    fn new(duration: Duration) -> Self {
        Self {
            duration_ms: Millis::try_from(duration.as_millis()).unwrap_or(Millis::MAX),
            complete_until: AtomicU64::new(0),
        }
    }

    /// Records the confirmation that all changes made before `at` are in the view.
    pub(crate) fn renew(&self, at: Millis) {
        self.complete_until.fetch_max(at, Ordering::Release);
    }

    /// Age of the view: changes made within this time may be missing from it.
    pub(crate) fn age(&self, now: Millis) -> Millis {
        now.saturating_sub(self.complete_until.load(Ordering::Acquire))
    }

    /// Age of the view; none before the first confirmation.
    pub(crate) fn known_age(&self, now: Millis) -> Option<Millis> {
        let is_known = self.complete_until.load(Ordering::Acquire) > 0;
        is_known.then(|| self.age(now))
    }

    /// Whether the view may be acted on.
    pub(crate) fn is_valid(&self, now: Millis) -> bool {
        self.age(now) <= self.duration_ms
    }
}

/// For how long a node acts on a view of the store's records without a confirmation.
#[derive(Clone, Copy, Debug)]
pub struct StalenessLimits {
    /// Time for the configuration.
    pub policy: Duration,
    /// Time for the list of runners.
    pub runners: Duration,
    /// Time for the list of cordoned data halls.
    pub cordons: Duration,
}

/// The configuration by which a request may be answered now.
#[derive(Clone, Debug)]
pub enum PolicyStatus {
    /// There is none yet.
    Missing,
    /// The known one was not confirmed for too long: there may be a newer one.
    Unconfirmed {
        /// Version that is known.
        version: u64,
        /// Time, in milliseconds, within which a newer one may have come into effect.
        age_ms: Millis,
    },
    /// The known one is in effect.
    Current(Arc<FleetPolicy>),
}

/// Request to read the configuration again, for a version that this node has learned of and may
/// not have.
#[derive(Debug, Default)]
pub(crate) struct PolicyRefresh {
    version: AtomicU64,
    requested: Notify,
}

impl PolicyRefresh {
    /// Waits until a version is requested that is newer than all before, and returns it.
    pub(crate) async fn requested(&self) -> u64 {
        self.requested.notified().await;
        self.version.load(Ordering::Relaxed)
    }
}

/// State that all threads of a node share.
#[derive(Debug)]
pub struct NodeShared {
    /// The node's clock.
    pub clock: NodeClock,
    /// The configuration in effect.
    pub policy: ArcSwapOption<FleetPolicy>,
    /// Health of this node's calls to the store.
    pub store: StoreHealth,
    /// Whether the node is stopping.
    pub stopping: AtomicBool,
    /// Metrics.
    pub metrics: NodeMetrics,
    /// Whether the node may still answer by its configuration.
    pub(crate) policy_lease: ViewLease,
    /// Whether the node may still start tasks by its list of runners.
    pub(crate) runner_list_lease: ViewLease,
    /// The cordoned data halls.
    pub cordons: ArcSwap<HallCordons>,
    /// Terms of the deployment.
    pub terms: DeploymentTerms,
    /// Number of nodes that are alive in each data hall; kept only where halls may be lost.
    pub(crate) hall_nodes: ArcSwap<HallNodes>,
    /// Whether the node may still start tasks by its list of cordoned halls.
    pub(crate) cordons_lease: ViewLease,
    /// Request to read the configuration at once.
    pub(crate) policy_refresh: PolicyRefresh,
    /// The pools' intake reports.
    pub intake: ArcSwap<IntakeView>,
    /// How jobs are admitted.
    pub(crate) intake_rules: IntakeRules,
    /// Creations of this node that may take effect.
    pub(crate) creates: CreateLog,
    /// Permit to call the adviser, which serves one call of a node at a time.
    pub(crate) advice_permit: Semaphore,
}

impl NodeShared {
    /// State of a node that starts. `limits` says for how long it acts on its views of the store
    /// after they were last confirmed.
    pub fn new(metrics: NodeMetrics, limits: StalenessLimits, terms: DeploymentTerms) -> Arc<Self> {
        let clock = NodeClock::start();
        Self::with_clock(metrics, limits, terms, clock, IntakeRules::default())
    }

    /// State of a node that starts, with a given clock and rules by which it admits jobs.
    pub fn with_clock(
        metrics: NodeMetrics,
        limits: StalenessLimits,
        terms: DeploymentTerms,
        clock: NodeClock,
        intake_rules: IntakeRules,
    ) -> Arc<Self> {
        Arc::new(Self {
            clock,
            policy: ArcSwapOption::empty(),
            store: StoreHealth::default(),
            stopping: AtomicBool::new(false),
            metrics,
            policy_lease: ViewLease::new(limits.policy),
            runner_list_lease: ViewLease::new(limits.runners),
            cordons: ArcSwap::default(),
            terms,
            hall_nodes: ArcSwap::default(),
            cordons_lease: ViewLease::new(limits.cordons),
            policy_refresh: PolicyRefresh::default(),
            intake: ArcSwap::default(),
            intake_rules,
            creates: CreateLog::default(),
            advice_permit: Semaphore::new(1),
        })
    }

    /// The configuration by which a request is to be answered now, or why there is none.
    pub fn policy_status(&self) -> PolicyStatus {
        // The age is read first: it then belongs to the configuration that is loaded next or to an
        // older one, never to a newer one.
        let age_ms = self.policy_lease.age(self.clock.now());
        let Some(policy) = self.policy.load_full() else {
            return PolicyStatus::Missing;
        };
        if age_ms > self.policy_lease.duration_ms {
            return PolicyStatus::Unconfirmed {
                version: policy.version,
                age_ms,
            };
        }
        PolicyStatus::Current(policy)
    }

    /// Version of the configuration in effect; zero before the first.
    pub fn policy_version(&self) -> u64 {
        let policy = self.policy.load();
        policy.as_ref().map_or(0, |policy| policy.version)
    }

    /// Requests that the configuration is read at once, unless the known one is at least as new as
    /// `version` or that version was requested before.
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
            self.policy_refresh.requested.notify_one();
        }
    }

    /// Time since the list of cordoned halls was last confirmed, in milliseconds; none before the
    /// first confirmation.
    pub(crate) fn cordons_age(&self) -> Option<Millis> {
        self.cordons_lease.known_age(self.clock.now())
    }

    /// Whether all data halls of the deployment are cordoned, so that nothing can be started.
    /// False while the list of cordoned halls is too old to tell: a cordon may be over.
    pub fn are_all_halls_cordoned(&self) -> bool {
        self.cordons_lease.is_valid(self.clock.now())
            && self.cordons.load().cover(&self.terms.halls)
    }

    /// Whether the node is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Whether new callers should be sent to this node.
    pub fn is_ready(&self) -> bool {
        let now = self.clock.now();
        let serves = matches!(self.policy_status(), PolicyStatus::Current(_));
        !self.is_stopping() && serves && self.store.is_usable(now)
    }
}
