//! Moves of VMs between pools.

use std::{
    collections::BTreeMap,
    rc::Rc, //
};

use futures_util::future::join_all;
use hoisthitch_jobs::{
    DemandHistory,
    EvacuationStatus,
    Millis,
    RunnerInstance,
    VmBalance,
    plan_moves, //
};
use hoisthitch_telemetry::event;
use tokio::sync::oneshot;

use super::{
    PoolNeed,
    SPARE_LIMIT,
    VmLoop,
    VmRequest,
    VmWorkError,
    ledger::{
        SETTLE_MS,
        VmClaim,
        VmLedger, //
    },
    list::VmList, //
};
use crate::platform::{
    Platform,
    VmControl,
    VmError, //
};

/// Moves that a pool makes in one look: one with many VMs to spare gives them
/// within some looks. The platform takes 64 a second of all, or more, and what it
/// refuses is ordered again.
const MOVE_LIMIT: usize = 40;

/// Moves VMs of a pool that others need more.
pub(super) struct MoveWorker<P> {
    pub(super) ledger: Rc<VmLedger<P>>,
    pub(super) list: Rc<VmList>,
    /// What was last published.
    share: VmBalance,
    /// What the pool wanted in the last second.
    pub(super) wants: DemandHistory,
    /// VMs sent away, where to and when.
    pub(super) sent: BTreeMap<String, (String, Millis)>,
    /// VMs without a runner, as last listed, and since when.
    pub(super) idle: BTreeMap<String, Millis>,
    /// Whether those VMs were listed before.
    pub(super) listed: bool,
    /// Runners that are being emptied to be given away, by VM.
    giving: BTreeMap<String, RunnerInstance>,
}

impl<P: Platform> VmLoop for MoveWorker<P> {
    const NAME: &'static str = "moves";

    async fn look(&mut self) -> Result<(), VmWorkError> {
        if !self.ledger.is_settled() {
            self.settle_in().await?;
        }
        self.balance().await
    }
}

impl<P: Platform> MoveWorker<P> {
    pub(super) fn new(ledger: Rc<VmLedger<P>>, list: Rc<VmList>) -> Self {
        Self {
            ledger,
            list,
            share: VmBalance::default(),
            wants: DemandHistory::default(),
            sent: BTreeMap::new(),
            idle: BTreeMap::new(),
            listed: false,
            giving: BTreeMap::new(),
        }
    }

    /// Publishes what the pool needs, and sends away what others need more.
    async fn balance(&mut self) -> Result<(), VmWorkError> {
        let now = self.ledger.now();
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
        self.tell_share(share).await?;
        // Without a VM to give there is nothing to look for.
        let kept = if spare { 0 } else { need.want.steady };
        let staying = u32::try_from(self.share.staying());
        if staying.is_ok_and(|staying| staying <= kept) && self.giving.is_empty() {
            return Ok(());
        }
        let targets = self.find_targets().await?;
        let vms = if spare {
            self.idle_vms(now)
        } else {
            self.emptied_vms(&need, targets.len()).await
        };
        let moves: Vec<(String, String)> = vms.into_iter().zip(targets).take(MOVE_LIMIT).collect();
        if moves.is_empty() {
            return Ok(());
        }
        self.send_away(moves, now).await
    }

    async fn ask_need(&self) -> Option<PoolNeed> {
        let (reply, answer) = oneshot::channel();
        let request = VmRequest::Need { reply };
        self.ledger.context.owner.send(request).await.ok()?;
        answer.await.ok()
    }

    /// Publishes the pool's share, if it changed.
    async fn tell_share(&mut self, share: VmBalance) -> Result<(), VmWorkError> {
        if share == self.share {
            return Ok(());
        }
        event!(
            Info,
            "pool_needs",
            pool = self.ledger.context.pool,
            want = share.want,
            keep = share.keep,
            has = share.vms.len(),
            sent = share.sent.len()
        );
        self.ledger.publish(Some(share.clone())).await?;
        self.share = share;
        Ok(())
    }

    /// Pools that are to get VMs of this one, once for each VM.
    async fn find_targets(&self) -> Result<Vec<String>, VmWorkError> {
        let pool = &self.ledger.context.pool;
        let mut pools = self.read_shares().await?;
        pools.insert(pool.clone(), self.share.clone());
        let own = plan_moves(&pools)
            .into_iter()
            .filter(|order| order.from == *pool);
        let targets = own.flat_map(|order| std::iter::repeat_n(order.to, order.count));
        Ok(targets.take(SPARE_LIMIT).collect())
    }

    /// VMs without a runner that may be sent away.
    fn idle_vms(&self, now: Millis) -> Vec<String> {
        self.idle
            .iter()
            .filter(|(vm, since)| !self.sent.contains_key(*vm) && **since + SETTLE_MS <= now)
            .filter(|(vm, _)| !self.ledger.is_blocked(vm))
            .filter(|(vm, _)| !self.ledger.is_claimed(vm, VmClaim::Move))
            .map(|(vm, _)| vm.clone())
            .collect()
    }

    /// Has up to `count` runners emptied; answers with the VMs that are.
    async fn emptied_vms(&mut self, need: &PoolNeed, count: usize) -> Vec<String> {
        let candidates: Vec<(RunnerInstance, String)> = need
            .spare
            .iter()
            .filter(|(_, vm)| !self.ledger.is_claimed(vm, VmClaim::Move))
            .filter(|(_, vm)| !self.sent.contains_key(vm) && !self.ledger.is_blocked(vm))
            .take(count)
            .cloned()
            .collect();
        let over: Vec<String> = self
            .giving
            .keys()
            .filter(|vm| !candidates.iter().any(|(_, candidate)| candidate == *vm))
            .cloned()
            .collect();
        self.keep_vms(over).await;
        for (runner, vm) in &candidates {
            self.ledger.claim(vm, VmClaim::Move);
            if self.giving.insert(vm.clone(), runner.clone()).is_none() {
                event!(
                    Info,
                    "vm_emptying",
                    vm = vm,
                    runner = runner,
                    pool = self.ledger.context.pool
                );
            }
        }
        let candidates = candidates.into_iter();
        let (runners, vms): (Vec<String>, Vec<String>) =
            candidates.map(|(runner, vm)| (runner.name, vm)).unzip();
        let views = self.ledger.ask_leave(runners, true).await;
        let answered = vms.into_iter().zip(views);
        answered
            .filter(|(_, view)| *view == Some(EvacuationStatus::Free))
            .map(|(vm, _)| vm)
            .collect()
    }

    /// Lets runners go on that were to be given away.
    async fn keep_vms(&mut self, vms: Vec<String>) {
        let mut runners = Vec::new();
        for vm in vms {
            self.ledger.release(&vm, VmClaim::Move);
            let Some(runner) = self.giving.remove(&vm) else {
                continue;
            };
            event!(
                Info,
                "vm_kept",
                vm = vm,
                runner = runner,
                pool = self.ledger.context.pool
            );
            runners.push(runner.name);
        }
        self.ledger.let_stay(runners).await;
    }

    /// Sends VMs to other pools, under one token.
    async fn send_away(
        &mut self,
        moves: Vec<(String, String)>,
        now: Millis,
    ) -> Result<(), VmWorkError> {
        let mut share = self.share.clone();
        for (vm, target) in &moves {
            self.ledger.claim(vm, VmClaim::Move);
            self.sent.insert(vm.clone(), (target.clone(), now));
            share.sent.insert(vm.clone(), target.clone());
        }
        let vms = moves.iter().map(|(vm, _)| vm);
        let token = self.ledger.authorize(vms, Some(share.clone())).await?;
        self.share = share;
        self.ledger.check_owner()?;
        let context = &self.ledger.context;
        let vms = context.platform.vms();
        let orders = moves
            .iter()
            .map(|(vm, target)| vms.move_to_pool(vm, target, &context.node, token));
        let outcomes = join_all(orders).await;
        for ((vm, target), outcome) in moves.into_iter().zip(outcomes) {
            event!(
                Info,
                "vm_moved",
                vm = vm,
                from = self.ledger.context.pool,
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
                if let Some(instance) = self.giving.remove(&vm) {
                    self.ledger.tell(VmRequest::Down { instance }).await;
                }
            }
            // It may have been done; the list of runners tells.
            Err(VmError::NoAnswer(_)) => {}
            Err(_) => {
                self.sent.remove(&vm);
                self.keep_vms(vec![vm]).await;
            }
        }
    }
}
