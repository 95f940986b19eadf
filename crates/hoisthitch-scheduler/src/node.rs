//! Control loop of a node.
//!
//! [`run_node`] is given the platform, the node's shared state and its identity. It follows the
//! group of nodes and the records of operators and runners, campaigns for pools without a living
//! owner, and runs an owner for each pool that it wins. It returns once the node is stopping and
//! its owners have ended, or the time for that is over.
//!
//! Runners are followed only while this node owns a pool or is a standby for one.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use hoisthitch_jobs::Millis;
use hoisthitch_store::{
    StoreClient,
    StoreRevision,
    SwapItem, //
};
use hoisthitch_telemetry::event;
use tokio::sync::{
    mpsc,
    watch, //
};

use crate::{
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
    group::{
        GroupView,
        leave_group,
        maintain_membership, //
    },
    identity::{
        NodeIdentity,
        OwnerRecord, //
    },
    intake::{
        IntakeView,
        is_report_change, //
    },
    journal::encode_record,
    keys::JobKeys,
    metrics::seconds,
    operators::OperatorWatcher,
    owner::{
        CutHandover,
        OwnerContext,
        OwnerEnd,
        run_owner, //
    },
    platform::{
        FleetCodec,
        Platform, //
    },
    shared::NodeShared,
    takeover::{
        PoolTakeover,
        take_over, //
    }, //
};

/// Interval of the checks for elections and handovers that no change triggers.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Pause after a lost election, in which the winner's record reaches this node.
const ELECTION_PAUSE: Duration = Duration::from_millis(400);

/// Pause between two reads of changes to runners' records. Runners write often, and a change
/// has two seconds to take effect.
const RUNNERS_PAUSE: Duration = Duration::from_millis(300);

/// Longest time that a stopping node waits for its owners to write their unsaved state.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(800);

struct NodeControl<P: Platform> {
    platform: P,
    shared: Arc<NodeShared>,
    keys: JobKeys,
    identity: NodeIdentity,
    fleet: Rc<watch::Sender<Arc<FleetView>>>,
    /// Pools that this node owns or campaigns for, each with its stop signal.
    running: BTreeMap<String, watch::Sender<bool>>,
    /// Handovers of these pools because of a cut between data halls.
    cuts: BTreeMap<String, Rc<RefCell<CutHandover>>>,
    ended: mpsc::UnboundedSender<String>,
}

/// Runs the control loop of a node until the node stops, and hands its pools over.
pub async fn run_node<P: Platform>(
    platform: P,
    shared: Arc<NodeShared>,
    keys: JobKeys,
    identity: NodeIdentity,
) {
    let store = platform.store().clone();
    let codec = platform.codec().clone();
    let watched = shared.clone();
    let follow = |options: FollowOptions| {
        let (sender, changes) = mpsc::unbounded_channel();
        let follower = follow_prefix(store.clone(), options, watched.clone(), sender);
        actix_rt::spawn(follower);
        changes
    };
    let mut runner_changes = None;
    let mut group_changes = follow(FollowOptions {
        prefix: keys.group_prefix(),
        pause: FollowPause::ByNodes,
        progress: FollowProgress::Never,
        retry: FollowRetry::ByNodes,
    });
    let (listed, listed_receiver) = watch::channel(true);
    let member = maintain_membership(
        store.clone(),
        shared.clone(),
        keys.clone(),
        identity.clone(),
        listed_receiver,
    );
    let member = actix_rt::spawn(member);
    let (fleet, _) = watch::channel(Arc::new(FleetView::default()));
    let fleet = Rc::new(fleet);
    let mut operator_changes = OperatorWatcher::start(&platform, shared.clone(), fleet.clone());
    let (ended, mut ends) = mpsc::unbounded_channel();
    let mut control = NodeControl {
        platform,
        shared,
        keys,
        identity,
        fleet,
        running: BTreeMap::new(),
        cuts: BTreeMap::new(),
        ended,
    };
    let mut group = GroupView::default();
    group.spreads_halls = control.shared.terms.tolerated_halls > 0;
    let mut check = tokio::time::interval(CHECK_INTERVAL);
    check.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut is_standby = false;
    while !control.shared.is_stopping() {
        let mut group_changed = false;
        tokio::select! {
            biased;
            _ = check.tick() => {
                control.hand_over_pool(&group);
                control.hand_over_beyond_cut(&group);
            }
            Some(pool) = ends.recv() => {
                control.running.remove(&pool);
                control.cuts.remove(&pool);
            }
            Some(()) = operator_changes.recv() => group_changed = true,
            Some(change) = group_changes.recv() => {
                let now = control.shared.clock.now();
                group_changed = control.apply_group_change(&mut group, change, now);
                // One decision for all changes of a watch's response.
                while let Ok(change) = group_changes.try_recv() {
                    group_changed |= control.apply_group_change(&mut group, change, now);
                }
                // Reports of pools under pressure arrive all the time.
                if !group_changed {
                    continue;
                }
                control.shared.store.record_node_count(group.members.len());
                control.publish_hall_nodes(&group);
                listed.send_replace(group.has_instance(&control.identity));
            }
            Some(change) = next_change(&mut runner_changes) => control.apply_runner_change(change),
        }
        control.campaign(&mut group);
        if group_changed {
            let pools = control.fleet.borrow().pools.clone();
            is_standby = group.is_standby(&pools, &control.identity.node);
        }
        let visited = &control.shared.metrics.members_visited;
        visited.inc_by(group.take_visited());
        let needs_runners = is_standby || !control.running.is_empty();
        if needs_runners && runner_changes.is_none() {
            event!(Info, "runners_followed", node = control.identity.node);
            runner_changes = Some(follow(FollowOptions {
                prefix: codec.runners_prefix(),
                pause: FollowPause::Fixed(RUNNERS_PAUSE),
                progress: FollowProgress::Often,
                retry: FollowRetry::Short,
            }));
        } else if !needs_runners && runner_changes.take().is_some() {
            event!(Info, "runners_left", node = control.identity.node);
            control.forget_runners();
        }
    }
    for stop in control.running.values() {
        stop.send_replace(true);
    }
    let handed_over = async {
        while !control.running.is_empty() {
            let Some(pool) = ends.recv().await else { break };
            control.running.remove(&pool);
        }
    };
    if tokio::time::timeout(HANDOVER_TIMEOUT, handed_over)
        .await
        .is_err()
    {
        event!(Warn, "hand_over_cut_short", pools = control.running.len());
    }
    member.abort();
    leave_group(&store, &control.keys, &control.identity).await;
}

/// Waits for the next change; never returns while there is nothing to follow.
async fn next_change(
    changes: &mut Option<mpsc::UnboundedReceiver<FollowEvent>>,
) -> Option<FollowEvent> {
    match changes {
        Some(changes) => changes.recv().await,
        None => std::future::pending().await,
    }
}

impl<P: Platform> NodeControl<P> {
    /// Clears the list of runners, which are no longer followed.
    fn forget_runners(&self) {
        update_fleet(&self.fleet, |fleet| {
            fleet.forget_runners();
            true
        });
    }

    /// Applies a change of the group's records; returns whether it is about more than an intake
    /// report.
    fn apply_group_change(&self, group: &mut GroupView, change: FollowEvent, now: Millis) -> bool {
        let is_report = is_report_change(&self.keys, &change);
        let may_have_reports = is_report || matches!(change, FollowEvent::Snapshot(_));
        if self.shared.terms.admission_control && may_have_reports {
            let mut view = IntakeView::clone(&self.shared.intake.load());
            view.apply(&self.keys, &change, now);
            self.shared.intake.store(Arc::new(view));
        }
        if !is_report {
            group.apply(&self.keys, change, now);
        }
        !is_report
    }

    fn apply_runner_change(&mut self, change: FollowEvent) {
        let codec = self.platform.codec().clone();
        let now = self.shared.clock.now();
        let lease = &self.shared.runner_list_lease;
        let age = match &change {
            FollowEvent::Progress(at) => return lease.renew(*at),
            FollowEvent::Snapshot(_) => None,
            FollowEvent::Put(_) | FollowEvent::Deleted(_) => lease.known_age(now),
        };
        if let Some(age) = age {
            let histogram = &self.shared.metrics.runner_change_age;
            histogram.observe(seconds(age));
        }
        update_fleet(&self.fleet, |fleet| {
            fleet.apply_runner_change(&codec, change, age, now)
        });
    }

    /// Starts a campaign for each pool that this node should try to own now.
    fn campaign(&mut self, group: &mut GroupView) {
        let now = self.shared.clock.now();
        if !self.shared.store.is_usable(now) {
            return;
        }
        let pools = self.fleet.borrow().pools.clone();
        let last_store_failure = self.shared.store.last_failure();
        let running = self.running.keys().cloned().collect();
        let to_own = group.pools_to_own(&pools, &self.identity, &running, last_store_failure, now);
        for (pool, revision) in to_own {
            let (stop, stop_receiver) = watch::channel(false);
            self.running.insert(pool.clone(), stop);
            let cut = Rc::<RefCell<CutHandover>>::default();
            self.cuts.insert(pool.clone(), cut.clone());
            let context = OwnerContext {
                platform: self.platform.clone(),
                shared: self.shared.clone(),
                keys: self.keys.clone(),
                identity: self.identity.clone(),
                pool: pool.clone(),
                fleet: self.fleet.subscribe(),
                stop: stop_receiver,
                offered: group.names_owner(&pool, &self.identity),
                cut,
            };
            let ended = self.ended.clone();
            actix_rt::spawn(async move {
                campaign_for_pool(context, revision).await;
                // Fails only once the control loop has ended.
                let _ = ended.send(pool);
            });
        }
    }
}

impl<P: Platform> NodeControl<P> {
    /// Hands over a pool for which another node has much more capacity.
    fn hand_over_pool(&self, group: &GroupView) {
        let now = self.shared.clock.now();
        let pools = &self.fleet.borrow().pools;
        let Some(handover) = group.pick_handover(pools, &self.identity, now) else {
            return;
        };
        // One pool at a time, so that each decision counts the one before.
        if self.running.values().any(|stop| *stop.borrow()) {
            return;
        }
        if let Some(stop) = self.running.get(&handover.pool) {
            event!(
                Info,
                "pool_offered",
                pool = handover.pool,
                strain = handover.load,
                to = handover.node,
                its_strain = handover.target_load
            );
            stop.send_replace(true);
        }
    }
}

impl<P: Platform> NodeControl<P> {
    /// Publishes how many nodes each data hall has, where halls may be lost.
    fn publish_hall_nodes(&self, group: &GroupView) {
        let published = &self.shared.hall_nodes;
        if group.spreads_halls && **published.load() != group.hall_nodes {
            published.store(Arc::new(group.hall_nodes.clone()));
        }
    }

    /// Hands over a pool whose runners in one data hall this node does not reach, to a node in a
    /// third hall. One pool at a time, so that each decision counts the one before.
    fn hand_over_beyond_cut(&self, group: &GroupView) {
        let now = self.shared.clock.now();
        if !group.spreads_halls || self.running.values().any(|stop| *stop.borrow()) {
            return;
        }
        let pools = &self.fleet.borrow().pools;
        for (pool, cut) in &self.cuts {
            let Some(hall) = cut.borrow().silent_hall.clone() else {
                continue;
            };
            let target = group.pick_beyond_cut(pools, pool, &self.identity, &hall, now);
            if let Some((node, member)) = target
                && let Some(stop) = self.running.get(pool)
            {
                event!(
                    Warn,
                    "pool_offered_beyond_cut",
                    pool = pool,
                    hall = hall,
                    to = node,
                    to_hall = member.hall
                );
                cut.borrow_mut().successor = Some(OwnerRecord {
                    node,
                    instance: member.instance,
                    term: 0,
                    hall: member.hall,
                });
                stop.send_replace(true);
                return;
            }
        }
    }
}

/// Campaigns for a pool, and owns the pool if that succeeds.
async fn campaign_for_pool<P: Platform>(context: OwnerContext<P>, seen: StoreRevision) {
    let pool = context.pool.clone();
    let election = take_over(
        context.platform.store(),
        &context.shared,
        &context.keys,
        &context.identity,
        &pool,
        seen,
    );
    match election.await {
        Ok(Some(takeover)) => own_pool(context, takeover).await,
        Ok(None) => tokio::time::sleep(ELECTION_PAUSE).await,
        Err(err) => {
            event!(Warn, "takeover_unclear", pool = pool, error = err);
            tokio::time::sleep(ELECTION_PAUSE).await;
        }
    }
}

/// Owns a pool until that ends, and releases it if it was stopped while the node runs on.
async fn own_pool<P: Platform>(context: OwnerContext<P>, takeover: PoolTakeover<P::Store>) {
    let pool = context.pool.clone();
    let shared = context.shared.clone();
    let store = context.platform.store().clone();
    let key = context.keys.owner(&pool);
    let elected = takeover.elected;
    let term = takeover.term;
    let cut = context.cut.clone();
    match run_owner(context, takeover).await {
        Ok(OwnerEnd::Stopped) if !shared.is_stopping() => {
            let successor = cut.borrow_mut().successor.take();
            let successor = successor.map(|record| OwnerRecord { term, ..record });
            release_pool(&store, key, elected, successor, &pool).await;
        }
        Ok(OwnerEnd::Stopped | OwnerEnd::Deposed) => {}
        Err(err) => event!(Error, "pool_not_read", pool = pool, error = err),
    }
}

/// Removes an owner's record while its node runs on, so that other nodes campaign for the pool
/// at once. Where a successor is chosen, its record takes the place, and it alone campaigns while
/// it is alive.
async fn release_pool<S: StoreClient>(
    store: &S,
    key: String,
    elected: StoreRevision,
    successor: Option<OwnerRecord>,
    pool: &str,
) {
    let item = SwapItem {
        key,
        expected: elected,
        value: successor.as_ref().map(encode_record),
        lease: None,
    };
    let released = store.swap_all(vec![item]).await;
    event!(
        Info,
        "pool_released",
        pool = pool,
        outcome = format_args!("{released:?}")
    );
}
