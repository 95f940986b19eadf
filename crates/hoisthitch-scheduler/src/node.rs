//! The control thread of a node.

use std::{
    collections::BTreeMap,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

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
    identity::NodeIdentity,
    keys::JobKeys,
    metrics::seconds,
    operators::OperatorWatcher,
    owner::{
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

/// Time between two looks at the group.
const TICK: Duration = Duration::from_millis(100);

/// Pause after a lost election, in which this node hears who won.
const ELECTION_PAUSE: Duration = Duration::from_millis(400);

/// Pause between two looks at what runners write: they write often, and a
/// change has two seconds to be in force.
const RUNNERS_PAUSE: Duration = Duration::from_millis(300);

/// Longest time that a stopping node waits for its owners to write what they
/// hold.
const HAND_OVER: Duration = Duration::from_millis(800);

struct NodeControl<P: Platform> {
    platform: P,
    shared: Arc<NodeShared>,
    keys: JobKeys,
    identity: NodeIdentity,
    fleet: Rc<watch::Sender<Arc<FleetView>>>,
    /// Pools that this node owns or stands for, each with its order to stop.
    running: BTreeMap<String, watch::Sender<bool>>,
    ended: mpsc::UnboundedSender<String>,
}

/// Runs the control side of a node until it is told to stop; returns once its
/// pools are handed over.
pub async fn run_node<P: Platform>(
    platform: P,
    shared: Arc<NodeShared>,
    keys: JobKeys,
    identity: NodeIdentity,
) {
    let store = platform.store().clone();
    let codec = platform.codec().clone();
    let watched = shared.clone();
    let follow = |order: FollowOptions| {
        let (sender, told) = mpsc::unbounded_channel();
        let follower = follow_prefix(store.clone(), order, watched.clone(), sender);
        actix_rt::spawn(follower);
        told
    };
    let mut runners = None;
    let mut changes = follow(FollowOptions {
        prefix: keys.group_prefix(),
        pause: FollowPause::ByNodes,
        confirms: FollowProgress::Never,
        retry: FollowRetry::ByNodes,
    });
    let (shows, listed) = watch::channel(true);
    let member = maintain_membership(
        store.clone(),
        shared.clone(),
        keys.clone(),
        identity.clone(),
        listed,
    );
    let member = actix_rt::spawn(member);
    let (fleet, _) = watch::channel(Arc::new(FleetView::default()));
    let fleet = Rc::new(fleet);
    let mut operators = OperatorWatcher::start(&platform, shared.clone(), fleet.clone());
    let (ended, mut ends) = mpsc::unbounded_channel();
    let mut control = NodeControl {
        platform,
        shared,
        keys,
        identity,
        fleet,
        running: BTreeMap::new(),
        ended,
    };
    let mut group = GroupView::default();
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut is_standby = false;
    while !control.shared.is_stopping() {
        let mut regroup = false;
        tokio::select! {
            Some(()) = operators.recv() => regroup = true,
            Some(change) = next_change(&mut runners) => control.apply_runner_change(change),
            Some(change) = changes.recv() => {
                group.take(&control.keys, change, control.shared.clock.now());
                control.shared.store.note_nodes(group.members.len());
                shows.send_replace(group.lists(&control.identity));
                regroup = true;
            }
            Some(pool) = ends.recv() => drop(control.running.remove(&pool)),
            _ = tick.tick() => control.relieve(&group),
        }
        control.elect(&mut group);
        if regroup {
            let pools = control.fleet.borrow().pools.clone();
            is_standby = group.is_standby(&pools, &control.identity.node);
        }
        let follows = is_standby || !control.running.is_empty();
        if follows && runners.is_none() {
            event!(Info, "runners_followed", node = control.identity.node);
            runners = Some(follow(FollowOptions {
                prefix: codec.runners_prefix(),
                pause: FollowPause::Fixed(RUNNERS_PAUSE),
                confirms: FollowProgress::Often,
                retry: FollowRetry::Short,
            }));
        } else if !follows && runners.take().is_some() {
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
    if tokio::time::timeout(HAND_OVER, handed_over).await.is_err() {
        event!(Warn, "hand_over_cut_short", pools = control.running.len());
    }
    member.abort();
    leave_group(&store, &control.keys, &control.identity).await;
}

/// The next change of what is followed; none comes while nothing is.
async fn next_change(
    followed: &mut Option<mpsc::UnboundedReceiver<FollowEvent>>,
) -> Option<FollowEvent> {
    match followed {
        Some(changes) => changes.recv().await,
        None => std::future::pending().await,
    }
}

impl<P: Platform> NodeControl<P> {
    /// Forgets the runners, which are not followed any more.
    fn forget_runners(&self) {
        update_fleet(&self.fleet, |fleet| {
            fleet.forget_runners();
            true
        });
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

    /// Stands for election where this node should.
    fn elect(&mut self, group: &mut GroupView) {
        let now = self.shared.clock.now();
        if !self.shared.store.is_usable(now) {
            return;
        }
        let pools = self.fleet.borrow().pools.clone();
        let quiet_since = self.shared.store.last_failure();
        let running = self.running.keys().cloned().collect();
        let wanted = group.wanted(&pools, &self.identity, &running, quiet_since, now);
        for (pool, revision) in wanted {
            let (stop, told) = watch::channel(false);
            self.running.insert(pool.clone(), stop);
            let context = OwnerContext {
                platform: self.platform.clone(),
                shared: self.shared.clone(),
                keys: self.keys.clone(),
                identity: self.identity.clone(),
                pool: pool.clone(),
                fleet: self.fleet.subscribe(),
                stop: told,
            };
            let ended = self.ended.clone();
            actix_rt::spawn(async move {
                stand_for(context, revision).await;
                // A node that is gone counts no pools.
                let _ = ended.send(pool);
            });
        }
    }
}

impl<P: Platform> NodeControl<P> {
    /// Hands a pool over that another node has much more power for.
    fn relieve(&self, group: &GroupView) {
        let now = self.shared.clock.now();
        let pools = &self.fleet.borrow().pools;
        let Some(handover) = group.pick_handover(pools, &self.identity, now) else {
            return;
        };
        // One after the other, so that each is weighed against the last.
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

/// Tries to become the owner of a pool, and owns it if that succeeds.
async fn stand_for<P: Platform>(context: OwnerContext<P>, seen: StoreRevision) {
    let pool = context.pool.clone();
    let taken = take_over(
        context.platform.store(),
        &context.shared,
        &context.keys,
        &context.identity,
        &pool,
        seen,
    );
    match taken.await {
        Ok(Some(takeover)) => own(context, takeover).await,
        Ok(None) => tokio::time::sleep(ELECTION_PAUSE).await,
        Err(err) => {
            event!(Warn, "takeover_unclear", pool = pool, error = err);
            tokio::time::sleep(ELECTION_PAUSE).await;
        }
    }
}

/// Owns a pool to the end, and leaves it to another node if this one goes on.
async fn own<P: Platform>(context: OwnerContext<P>, takeover: PoolTakeover<P::Store>) {
    let pool = context.pool.clone();
    let shared = context.shared.clone();
    let store = context.platform.store().clone();
    let key = context.keys.owner(&pool);
    let elected = takeover.elected;
    match run_owner(context, takeover).await {
        Ok(OwnerEnd::Stopped) if !shared.is_stopping() => {
            release(&store, key, elected, &pool).await;
        }
        Ok(OwnerEnd::Stopped | OwnerEnd::Deposed) => {}
        Err(err) => event!(Error, "pool_not_read", pool = pool, error = err),
    }
}

/// Removes the record of an owner that goes on as a node, so that others stand for
/// its pool at once.
async fn release<S: StoreClient>(store: &S, key: String, elected: StoreRevision, pool: &str) {
    let item = SwapItem {
        key,
        expected: elected,
        value: None,
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
