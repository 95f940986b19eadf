//! The VMs of a pool: their upkeep in waves, and their moves between pools.
//!
//! One worker for each owned pool gives all orders about its VMs. Before each
//! of them it writes the pool's share under compare-and-swap; the revision of
//! that write is the order's fencing token. So tokens rise for each VM, whatever
//! pool it belongs to, and a deposed owner's worker finds its share changed.

use std::{
    cell::Cell,
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use futures_util::future::join_all;
use hoisthitch_jobs::{
    Millis,
    PoolShare,
    UpkeepView,
    WantedVms,
    plan_moves, //
};
use hoisthitch_store::{
    BatchOutcome,
    StoreClient,
    StoreError,
    StoreRevision,
    SwapItem, //
};
use hoisthitch_telemetry::event;
use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;
use tokio::sync::{
    mpsc,
    oneshot,
    watch, //
};

use crate::{
    journal::encode,
    keys::JobKeys,
    node::FleetView,
    platform::{
        Platform,
        VmCondition,
        VmControl,
        VmError,
        VmRow, //
    },
    shared::NodeShared, //
};

/// Time between two looks at the pool's VMs: a fraction of the time that an
/// upkeep or a move takes.
const VM_TICK: Duration = Duration::from_millis(200);

/// Time for which a new owner gives no order about a VM that an earlier one may
/// have given an order about, in milliseconds: that order may be under way
/// until the doubt of its owner ([`DOUBT_MS`]) and the limit of a call are over,
/// and two owners may not take turns within the platform's three seconds.
const SETTLE_MS: Millis = 3_200;

/// Time for which a VM counts as lately ordered about, in milliseconds; the
/// time above, with some to spare.
const RECENT_MS: Millis = 4_000;

/// Time after the owner last made sure that it is the owner in which it gives
/// orders about VMs, in milliseconds.
const DOUBT_MS: Millis = 1_200;

/// Time for which VMs are left on after they were wanted, in milliseconds: one
/// that goes off and comes back costs two moves of one and a half seconds.
const HOLD_MS: Millis = 3_000;

/// Time over which a rise of what is wanted is looked at, in milliseconds.
const TREND_MS: Millis = 1_000;

/// How far a rise is carried on: a move takes about twice the time over which
/// the rise is looked at, from the decision to the first task.
const RISE_FACTOR: u32 = 2;

/// Time after which a VM that was sent away and did not arrive is counted no
/// more, in milliseconds; a move takes one and a half seconds.
const ARRIVE_MS: Millis = 6_000;

/// Moves that a pool makes in one look; the platform takes 64 a second of all.
pub(crate) const SPARE_LIMIT: usize = 40;

/// What the VM worker asks the owner.
#[derive(Debug)]
pub(crate) enum VmRequest {
    /// Empty the runner; the answer says how far that is, or nothing when the
    /// runner is not known.
    Leave {
        runner: String,
        reply: oneshot::Sender<Option<UpkeepView>>,
    },
    /// The runner goes on.
    Stay { runner: String },
    /// The runner's VM went down.
    Down { runner: String },
    /// The runner's VM was told to go down, and there was no answer.
    Doubt { runner: String },
    /// What does the pool need, and which runner can it spare?
    Need { reply: oneshot::Sender<PoolNeed> },
}

/// What a pool needs.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolNeed {
    /// VMs wanted.
    pub(crate) want: WantedVms,
    /// VMs of its runners.
    pub(crate) vms: Vec<String>,
    /// Runners and VMs that can be spared, the first in front.
    pub(crate) spare: Vec<(String, String)>,
}

/// What the pool's owner publishes; written before each order about a VM.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct ShareRecord {
    /// Epoch of the owner.
    epoch: u64,
    /// Number of the write under this owner.
    sequence: u64,
    /// What the pool has and wants.
    share: PoolShare,
    /// VMs that this owner gives orders about, or lately did.
    #[serde(default)]
    recent: Vec<String>,
}

/// What a VM worker works with.
pub(crate) struct VmContext<P> {
    pub(crate) platform: P,
    pub(crate) shared: Arc<NodeShared>,
    pub(crate) keys: JobKeys,
    pub(crate) node: String,
    pub(crate) pool: String,
    pub(crate) epoch: u64,
    pub(crate) confirmed: Rc<Cell<Millis>>,
    pub(crate) fleet: watch::Receiver<Arc<FleetView>>,
    pub(crate) owner: mpsc::Sender<VmRequest>,
}

/// Why there is no going on for now.
#[derive(Debug, Error)]
pub(crate) enum VmWorkError {
    #[error("{0}")]
    Store(#[from] StoreError),
    #[error("{0}")]
    Vm(#[from] VmError),
    #[error("a record can't be read: {0}")]
    Record(#[from] serde_json::Error),
    #[error("whether this node still owns the pool is not known")]
    Doubt,
    #[error("another node owns the pool")]
    Deposed,
}

/// Looks after the VMs of a pool.
pub(crate) struct VmWorker<P: Platform> {
    pub(crate) context: VmContext<P>,
    /// Runners that are being emptied for a wave, by VM.
    pub(crate) leaving: BTreeMap<String, String>,
    /// VMs that went down on this worker's order, and when.
    pub(crate) went_down: BTreeMap<(u64, String), Millis>,
    /// VMs of waves that are missing from the list, and since when.
    pub(crate) missing: BTreeMap<String, Millis>,
    record: ShareRecord,
    revision: StoreRevision,
    /// Steady wants of the last seconds.
    wants: Vec<(Millis, u32)>,
    /// VMs that orders were given about, and when.
    ordered: BTreeMap<String, Millis>,
    /// VMs that an earlier owner may have given orders about, and until when
    /// none is given here.
    blocked: BTreeMap<String, Millis>,
    /// Whether the share was written under this owner.
    settled: bool,
    /// VMs sent away, and when.
    sent: BTreeMap<String, (String, Millis)>,
    /// VMs without a runner, as last listed, and since when.
    idle: BTreeMap<String, Millis>,
    /// Whether those VMs were listed before.
    listed: bool,
    /// Runners that are being emptied to be given away, by VM.
    giving: BTreeMap<String, String>,
}

/// Looks after the pool's VMs until the owner ends.
pub(crate) async fn run_vms<P: Platform>(context: VmContext<P>) {
    let mut completed = BTreeSet::new();
    let mut worker = VmWorker {
        context,
        leaving: BTreeMap::new(),
        went_down: BTreeMap::new(),
        missing: BTreeMap::new(),
        record: ShareRecord::default(),
        revision: StoreRevision::default(),
        wants: Vec::new(),
        ordered: BTreeMap::new(),
        blocked: BTreeMap::new(),
        settled: false,
        sent: BTreeMap::new(),
        idle: BTreeMap::new(),
        listed: false,
        giving: BTreeMap::new(),
    };
    while !worker.context.owner.is_closed() {
        match worker.look(&mut completed).await {
            Ok(()) => {}
            Err(VmWorkError::Deposed) => return,
            Err(err) => event!(
                Warn,
                "vm_work_stalled",
                pool = worker.context.pool,
                error = err
            ),
        }
        tokio::time::sleep(VM_TICK).await;
    }
}

impl<P: Platform> VmWorker<P> {
    async fn look(&mut self, completed: &mut BTreeSet<u64>) -> Result<(), VmWorkError> {
        if !self.settled {
            self.settle_in().await?;
        }
        self.balance().await?;
        let orders: Vec<_> = {
            let fleet = self.context.fleet.borrow();
            let open = fleet.waves.values();
            let open = open.filter(|order| !completed.contains(&order.wave));
            open.cloned().collect()
        };
        for order in orders {
            if self.advance(&order).await? {
                completed.insert(order.wave);
            }
        }
        Ok(())
    }

    /// Takes the pool's share over from an earlier owner, whose orders may be
    /// under way still.
    async fn settle_in(&mut self) -> Result<(), VmWorkError> {
        for (pool, share) in self.read_shares().await? {
            if pool != self.context.pool {
                let sent = share.sent.iter();
                let here = sent.filter(|(_, to)| **to == self.context.pool);
                self.block(here.map(|(vm, _)| vm.clone()).collect());
            }
        }
        // A write that finds the share of an earlier owner blocks its VMs.
        let share = self.record.share.clone();
        self.publish(share).await?;
        self.settled = true;
        Ok(())
    }

    fn block(&mut self, vms: Vec<String>) {
        let until = self.context.shared.clock.now() + SETTLE_MS;
        self.blocked.extend(vms.into_iter().map(|vm| (vm, until)));
    }

    /// Whether an earlier owner may have given an order about the VM lately.
    pub(crate) fn is_blocked(&self, vm: &str) -> bool {
        let now = self.context.shared.clock.now();
        self.blocked.get(vm).is_some_and(|until| *until > now)
    }

    /// Publishes what the pool needs, and sends away what others need more.
    async fn balance(&mut self) -> Result<(), VmWorkError> {
        let now = self.context.shared.clock.now();
        let Some(need) = self.ask_need().await else {
            return Ok(());
        };
        let spare = self.is_spare();
        let vms = if spare {
            self.list_idle(now).await?
        } else {
            need.vms.clone()
        };
        let share = self.make_share(&need, vms, spare, now);
        if share != self.record.share {
            event!(
                Info,
                "pool_needs",
                pool = self.context.pool,
                want = share.want,
                keep = share.keep,
                hold = share.hold,
                has = share.vms.len(),
                sent = share.sent.len()
            );
            self.publish(share).await?;
        }
        // Without a VM to give there is nothing to look for.
        let kept = if spare { 0 } else { need.want.steady };
        let staying = self.record.share.vms.len() - self.record.share.sent_here();
        if u32::try_from(staying).is_ok_and(|staying| staying <= kept) && self.giving.is_empty() {
            return Ok(());
        }
        let mut pools = self.read_shares().await?;
        pools.insert(self.context.pool.clone(), self.record.share.clone());
        let own = plan_moves(&pools)
            .into_iter()
            .filter(|order| order.from == self.context.pool);
        let mut targets: Vec<String> = own
            .flat_map(|order| std::iter::repeat_n(order.to, order.count))
            .collect();
        targets.truncate(SPARE_LIMIT);
        let vms = if spare {
            self.idle_vms(now)
        } else {
            self.emptied_vms(&need, targets.len()).await
        };
        let moves: Vec<(String, String)> = vms.into_iter().zip(targets).collect();
        if moves.is_empty() {
            return Ok(());
        }
        self.send_away(moves, now).await
    }

    /// VMs without a runner that may be sent away.
    fn idle_vms(&self, now: Millis) -> Vec<String> {
        self.idle
            .iter()
            .filter(|(vm, since)| !self.sent.contains_key(*vm) && **since + SETTLE_MS <= now)
            .filter(|(vm, _)| !self.is_blocked(vm))
            .map(|(vm, _)| vm.clone())
            .collect()
    }

    /// Has up to `count` runners emptied; answers with the VMs that are.
    async fn emptied_vms(&mut self, need: &PoolNeed, count: usize) -> Vec<String> {
        let candidates: Vec<(String, String)> = need
            .spare
            .iter()
            .filter(|(_, vm)| !self.leaving.contains_key(vm) && !self.sent.contains_key(vm))
            .filter(|(_, vm)| !self.is_blocked(vm))
            .take(count)
            .cloned()
            .collect();
        let over: Vec<String> = self
            .giving
            .keys()
            .filter(|vm| !candidates.iter().any(|(_, candidate)| candidate == *vm))
            .cloned()
            .collect();
        for vm in over {
            self.keep_vm(&vm).await;
        }
        let mut emptied = Vec::new();
        for (runner, vm) in candidates {
            self.giving.insert(vm.clone(), runner.clone());
            if self.ask_leave(&runner).await == Some(UpkeepView::Free) {
                emptied.push(vm);
            }
        }
        emptied
    }

    /// Lets a runner go on that was to be given away.
    async fn keep_vm(&mut self, vm: &str) {
        if let Some(runner) = self.giving.remove(vm) {
            // An owner that is gone keeps no runner.
            let _ = self.context.owner.send(VmRequest::Stay { runner }).await;
        }
    }

    /// Sends VMs to other pools, under one token: a token is for one VM's
    /// orders, and each VM gets one here.
    async fn send_away(
        &mut self,
        moves: Vec<(String, String)>,
        now: Millis,
    ) -> Result<(), VmWorkError> {
        let mut share = self.record.share.clone();
        for (vm, target) in &moves {
            self.sent.insert(vm.clone(), (target.clone(), now));
            self.ordered.insert(vm.clone(), now);
            share.sent.insert(vm.clone(), target.clone());
        }
        let token = self.publish(share).await?;
        self.check_owner()?;
        let vms = self.context.platform.vms();
        let node = &self.context.node;
        let orders = moves
            .iter()
            .map(|(vm, target)| vms.reassign(vm, target, node, token));
        let outcomes = join_all(orders).await;
        for ((vm, target), outcome) in moves.into_iter().zip(outcomes) {
            event!(
                Info,
                "vm_moved",
                vm = vm,
                from = self.context.pool,
                to = target,
                token = token,
                outcome = format_args!("{outcome:?}")
            );
            self.take_move(vm, &outcome).await;
        }
        Ok(())
    }

    async fn take_move(&mut self, vm: String, outcome: &Result<(), VmError>) {
        match outcome {
            Ok(()) => {
                self.idle.remove(&vm);
                if let Some(runner) = self.giving.remove(&vm) {
                    // An owner that is gone knows no runner.
                    let _ = self.context.owner.send(VmRequest::Down { runner }).await;
                }
            }
            // It may have been done; the list of runners tells.
            Err(VmError::NoAnswer(_)) => {}
            Err(_) => {
                self.sent.remove(&vm);
                self.keep_vm(&vm).await;
            }
        }
    }

    fn is_spare(&self) -> bool {
        let policy = self.context.shared.policy.load();
        let pools = policy.as_ref().map(|policy| policy.pools.as_slice());
        let pool = &self.context.pool;
        pools.is_some_and(|pools| pools.iter().any(|row| row.name == *pool && row.spare))
    }

    fn make_share(
        &mut self,
        need: &PoolNeed,
        vms: Vec<String>,
        spare: bool,
        now: Millis,
    ) -> PoolShare {
        self.wants.retain(|(at, _)| at + HOLD_MS > now);
        self.wants.push((now, need.want.steady));
        let hold = self.wants.iter().map(|(_, want)| *want).max();
        self.sent.retain(|vm, (_, at)| {
            // A VM that is listed here no more has left for certain, and is
            // counted by the other pool once it has arrived there.
            *at + ARRIVE_MS > now || (vms.contains(vm) && *at + 2 * ARRIVE_MS > now)
        });
        let sent = self.sent.iter();
        let mut vms = vms;
        vms.sort();
        // A life that is over may be listed beside its successor.
        vms.dedup();
        PoolShare {
            want: need
                .want
                .now
                .saturating_add(self.expected_rise(need.want.steady, now)),
            keep: need.want.steady,
            hold: hold.unwrap_or(need.want.steady),
            vms,
            sent: sent.map(|(vm, (to, _))| (vm.clone(), to.clone())).collect(),
            spare,
        }
    }

    /// VMs that will be wanted beyond those of now when a move ordered now is
    /// made, if the want goes on rising.
    fn expected_rise(&self, steady: u32, now: Millis) -> u32 {
        let before = self
            .wants
            .iter()
            .find(|(at, _)| at + TREND_MS > now)
            .map_or(steady, |(_, want)| *want);
        steady.saturating_sub(before) * RISE_FACTOR
    }

    /// VMs of a pool whose VMs are off, once they may be ordered about.
    async fn list_idle(&mut self, now: Millis) -> Result<Vec<String>, VmWorkError> {
        let rows = self.context.platform.vms().list().await?;
        let own = rows
            .into_iter()
            .filter(|row| row.pool == self.context.pool && row.condition == VmCondition::Up);
        let names: BTreeSet<String> = own.map(|row| row.name).collect();
        self.idle.retain(|vm, _| names.contains(vm));
        // What was there before the first look has stayed long enough, or is
        // blocked.
        let since = if self.listed { now } else { 0 };
        self.listed = true;
        for vm in names {
            self.idle.entry(vm).or_insert(since);
        }
        Ok(self.idle.keys().cloned().collect())
    }

    async fn ask_need(&self) -> Option<PoolNeed> {
        let (reply, answer) = oneshot::channel();
        let request = VmRequest::Need { reply };
        self.context.owner.send(request).await.ok()?;
        answer.await.ok()
    }

    async fn read_shares(&self) -> Result<BTreeMap<String, PoolShare>, VmWorkError> {
        let prefix = self.context.keys.all_shares();
        let values = self.context.platform.store().read_prefix(&prefix).await?;
        let mut shares = BTreeMap::new();
        for value in values {
            let record: ShareRecord = serde_json::from_slice(&value.value)?;
            let pool = value.key.strip_prefix(prefix.as_str()).unwrap_or_default();
            shares.insert(pool.to_owned(), record.share);
        }
        Ok(shares)
    }

    /// Asks the owner to empty a runner.
    pub(crate) async fn ask_leave(&self, runner: &str) -> Option<UpkeepView> {
        let (reply, answer) = oneshot::channel();
        let request = VmRequest::Leave {
            runner: runner.to_owned(),
            reply,
        };
        if self.context.owner.send(request).await.is_err() {
            return Some(UpkeepView::Held);
        }
        answer.await.unwrap_or(Some(UpkeepView::Held))
    }

    /// Makes sure that this node owned the pool a moment ago.
    pub(crate) fn check_owner(&self) -> Result<(), VmWorkError> {
        let now = self.context.shared.clock.now();
        if now > self.context.confirmed.get() + DOUBT_MS {
            return Err(VmWorkError::Doubt);
        }
        Ok(())
    }

    /// Writes down that an order about a VM follows; answers with its token.
    pub(crate) async fn authorize(&mut self, vm: &str) -> Result<u64, VmWorkError> {
        let now = self.context.shared.clock.now();
        self.ordered.insert(vm.to_owned(), now);
        self.publish(self.record.share.clone()).await
    }

    /// Writes the pool's share; answers with the write's revision.
    async fn publish(&mut self, share: PoolShare) -> Result<u64, VmWorkError> {
        let now = self.context.shared.clock.now();
        self.ordered.retain(|_, at| *at + RECENT_MS > now);
        let record = ShareRecord {
            epoch: self.context.epoch,
            sequence: self.record.sequence + 1,
            share,
            recent: self.ordered.keys().cloned().collect(),
        };
        let key = self.context.keys.share(&self.context.pool);
        loop {
            let item = SwapItem {
                key: key.clone(),
                expected: self.revision,
                value: Some(encode(&record)),
                lease: None,
            };
            let written = self.context.platform.store().swap_all(vec![item]).await?;
            match written {
                BatchOutcome::Written(revision) => {
                    self.revision = revision;
                    self.record = record;
                    return Ok(u64::try_from(revision.0).unwrap_or(0));
                }
                BatchOutcome::Conflict(found) => {
                    let Some(stored) = found.into_iter().next().flatten() else {
                        self.revision = StoreRevision::default();
                        continue;
                    };
                    let other: ShareRecord = serde_json::from_slice(&stored.value)?;
                    if other.epoch > self.context.epoch {
                        return Err(VmWorkError::Deposed);
                    }
                    // An own write whose answer was lost, or an earlier owner's.
                    self.revision = stored.revision;
                    if other.epoch < self.context.epoch {
                        self.block(other.recent);
                        self.block(other.share.sent.into_keys().collect());
                    }
                }
            }
        }
    }

    /// A VM's row in the platform's list.
    pub(crate) fn find<'a>(rows: &'a [VmRow], vm: &str) -> Option<&'a VmRow> {
        rows.iter().find(|row| row.name == vm)
    }
}
