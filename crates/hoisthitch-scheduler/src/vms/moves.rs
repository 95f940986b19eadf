//! Moves of VMs between pools.
//!
//! The loop publishes which VMs the pool has and needs, reads the same of all pools, and works
//! out the moves that are due. It orders only those of its own VMs: it evacuates the runner,
//! writes the pool's record, whose revision is the order's fencing token, and then calls the
//! platform.

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
    SpareVm,
    VmBalance,
    choose_vms,
    plan_moves, //
};
use hoisthitch_telemetry::event;
use tokio::sync::oneshot;

use super::{
    DemandAnswer,
    EvacuationPurpose,
    MAX_EVACUATING,
    VmLoop,
    VmRequest,
    VmWorkError,
    ledger::{
        EARLIER_ORDER_BLOCK_MS,
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

/// Maximum number of moves that a pool orders in one pass: a pool with many VMs to spare
/// releases them within some passes. The platform accepts 64 a second of all pools, or more,
/// and what it refuses is ordered again.
const MOVES_PER_PASS: usize = 40;

/// The loop that moves VMs of a pool to pools that need them more.
pub(super) struct MoveLoop<P> {
    pub(super) ledger: Rc<VmLedger<P>>,
    pub(super) list: Rc<VmList>,
    /// When the VMs on their way to the pool were last counted.
    pub(super) coming_read_at: Millis,
    /// The balance that was last published.
    pub(super) balance: VmBalance,
    /// Number of VMs that the pool wanted in the last second.
    pub(super) demand: DemandHistory,
    /// VMs that were sent away, with the target pool and the time.
    pub(super) sent: BTreeMap<String, (String, Millis)>,
    /// VMs without a runner, and since when each has been listed.
    pub(super) idle: BTreeMap<String, Millis>,
    /// Data halls of those VMs, where halls are told apart.
    pub(super) idle_halls: BTreeMap<String, String>,
    /// Data halls of the VMs that were sent away, where halls are told apart.
    pub(super) sent_halls: BTreeMap<String, String>,
    /// Whether VMs without a runner were listed before.
    pub(super) idle_listed: bool,
    /// Runners that are being evacuated so that their VMs can be moved, by VM.
    evacuating: BTreeMap<String, RunnerInstance>,
}

impl<P: Platform> VmLoop for MoveLoop<P> {
    const NAME: &'static str = "moves";

    async fn run_pass(&mut self) -> Result<(), VmWorkError> {
        if !self.ledger.is_adopted() {
            self.adopt_record().await?;
        }
        self.rebalance().await
    }
}

impl<P: Platform> MoveLoop<P> {
    pub(super) fn new(ledger: Rc<VmLedger<P>>, list: Rc<VmList>) -> Self {
        Self {
            ledger,
            list,
            coming_read_at: 0,
            balance: VmBalance::default(),
            demand: DemandHistory::default(),
            sent: BTreeMap::new(),
            idle: BTreeMap::new(),
            idle_halls: BTreeMap::new(),
            sent_halls: BTreeMap::new(),
            idle_listed: false,
            evacuating: BTreeMap::new(),
        }
    }

    /// Publishes the pool's balance, and moves VMs to pools that need them more.
    async fn rebalance(&mut self) -> Result<(), VmWorkError> {
        let now = self.ledger.now();
        let Some(demand) = self.request_demand().await else {
            return Ok(());
        };
        let spare = self.is_spare();
        let vms = if spare {
            self.list_idle(now).await?
        } else {
            demand.vms.clone()
        };
        let balance = self.make_balance(&demand, vms, spare, now);
        self.publish_balance(balance).await?;
        if !spare {
            self.report_coming(&demand, now).await?;
        }
        // A pool without a VM to release needs no targets.
        let kept = if spare { 0 } else { demand.want.steady };
        let staying = u32::try_from(self.balance.staying());
        if staying.is_ok_and(|staying| staying <= kept) && self.evacuating.is_empty() {
            return Ok(());
        }
        let (pools, targets) = self.find_targets().await?;
        let vms = if spare {
            self.idle_vms(now)
        } else {
            self.evacuated_vms(&demand, &pools, &targets).await
        };
        let mut moves = choose_vms(&pools, &self.ledger.context.pool, vms, &targets);
        moves.truncate(MOVES_PER_PASS);
        if moves.is_empty() {
            return Ok(());
        }
        self.order_moves(moves, now).await
    }

    /// Asks the owner what the pool needs; none if the owner has ended.
    async fn request_demand(&self) -> Option<DemandAnswer> {
        let (reply, answer) = oneshot::channel();
        let request = VmRequest::Demand { reply };
        self.ledger.context.owner.send(request).await.ok()?;
        answer.await.ok()
    }

    /// Publishes the pool's balance, if it changed.
    async fn publish_balance(&mut self, balance: VmBalance) -> Result<(), VmWorkError> {
        if balance == self.balance {
            return Ok(());
        }
        event!(
            Info,
            "pool_needs",
            pool = self.ledger.context.pool,
            want = balance.want,
            keep = balance.keep,
            has = balance.vms.len(),
            sent = balance.sent.len()
        );
        self.ledger.publish(Some(balance.clone())).await?;
        self.balance = balance;
        Ok(())
    }

    /// The balances of all pools, and the pools that get VMs of this one, one entry for each VM.
    async fn find_targets(
        &self,
    ) -> Result<(BTreeMap<String, VmBalance>, Vec<String>), VmWorkError> {
        let pool = &self.ledger.context.pool;
        let mut pools = self.read_balances().await?;
        pools.insert(pool.clone(), self.balance.clone());
        let own = plan_moves(&pools)
            .into_iter()
            .filter(|planned| planned.from == *pool);
        let targets = own.flat_map(|planned| std::iter::repeat_n(planned.to, planned.count));
        let targets = targets.take(MAX_EVACUATING).collect();
        Ok((pools, targets))
    }

    /// VMs without a runner that may be moved.
    fn idle_vms(&self, now: Millis) -> Vec<SpareVm> {
        self.idle
            .iter()
            .filter(|(vm, since)| {
                !self.sent.contains_key(*vm) && **since + EARLIER_ORDER_BLOCK_MS <= now
            })
            .filter(|(vm, _)| !self.ledger.is_blocked(vm))
            .filter(|(vm, _)| !self.ledger.is_claimed(vm, VmClaim::Move))
            .map(|(vm, _)| SpareVm {
                vm: vm.clone(),
                hall: self.idle_halls.get(vm).cloned().unwrap_or_default(),
                ..SpareVm::default()
            })
            .collect()
    }

    /// Evacuates a runner for each target, and returns the VMs whose evacuation is complete.
    /// Cancels those that are not candidates any more.
    async fn evacuated_vms(
        &mut self,
        demand: &DemandAnswer,
        pools: &BTreeMap<String, VmBalance>,
        targets: &[String],
    ) -> Vec<SpareVm> {
        let spare: Vec<SpareVm> = demand
            .spare
            .iter()
            .filter(|spare| !self.ledger.is_claimed(&spare.vm, VmClaim::Move))
            .filter(|spare| !self.sent.contains_key(&spare.vm))
            .filter(|spare| !self.ledger.is_blocked(&spare.vm))
            .cloned()
            .collect();
        let chosen = choose_vms(pools, &self.ledger.context.pool, spare, targets);
        let candidates: Vec<SpareVm> = chosen.into_iter().map(|(spare, _)| spare).collect();
        let dropped: Vec<String> = self
            .evacuating
            .keys()
            .filter(|vm| !candidates.iter().any(|candidate| candidate.vm == **vm))
            .cloned()
            .collect();
        self.cancel_moves(dropped).await;
        for candidate in &candidates {
            let (vm, Some(runner)) = (&candidate.vm, &candidate.runner) else {
                continue;
            };
            self.ledger.claim(vm, VmClaim::Move);
            if self.evacuating.insert(vm.clone(), runner.clone()).is_none() {
                event!(
                    Info,
                    "vm_emptying",
                    vm = vm,
                    runner = runner,
                    pool = self.ledger.context.pool
                );
            }
        }
        let runners = candidates.iter().map(|candidate| &candidate.runner);
        let runners =
            runners.map(|runner| runner.as_ref().map_or_else(String::new, |r| r.name.clone()));
        let runners: Vec<String> = runners.collect();
        let statuses = self
            .ledger
            .request_evacuation(runners, EvacuationPurpose::Move)
            .await;
        let answered = candidates.into_iter().zip(statuses);
        answered
            .filter(|(_, status)| *status == Some(EvacuationStatus::Free))
            .map(|(vm, _)| vm)
            .collect()
    }

    /// Cancels the moves of VMs, and the evacuation of their runners.
    async fn cancel_moves(&mut self, vms: Vec<String>) {
        let mut runners = Vec::new();
        for vm in vms {
            self.ledger.release(&vm, VmClaim::Move);
            let Some(runner) = self.evacuating.remove(&vm) else {
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
        self.ledger.cancel_evacuation(runners).await;
    }

    /// Orders moves of VMs to other pools, all under one token.
    async fn order_moves(
        &mut self,
        moves: Vec<(SpareVm, String)>,
        now: Millis,
    ) -> Result<(), VmWorkError> {
        let mut balance = self.balance.clone();
        for (spare, target) in &moves {
            let vm = &spare.vm;
            if self.tells_halls_apart() {
                self.sent_halls.insert(vm.clone(), spare.hall.clone());
                balance.sent_halls.insert(vm.clone(), spare.hall.clone());
                if let Some(count) = balance.halls.get_mut(&spare.hall) {
                    *count = count.saturating_sub(1);
                }
            }
            self.ledger.claim(vm, VmClaim::Move);
            self.sent.insert(vm.clone(), (target.clone(), now));
            balance.sent.insert(vm.clone(), target.clone());
        }
        let vms = moves.iter().map(|(spare, _)| &spare.vm);
        let token = self.ledger.issue_token(vms, Some(balance.clone())).await?;
        self.balance = balance;
        self.ledger.check_ownership()?;
        let context = &self.ledger.context;
        let vms = context.platform.vms();
        let orders = moves
            .iter()
            .map(|(spare, target)| vms.move_to_pool(&spare.vm, target, &context.node, token));
        let outcomes = join_all(orders).await;
        for ((spare, target), outcome) in moves.into_iter().zip(outcomes) {
            let vm = spare.vm;
            event!(
                Info,
                "vm_moved",
                vm = vm,
                from = self.ledger.context.pool,
                to = target,
                token = token,
                outcome = format_args!("{outcome:?}")
            );
            self.handle_move_outcome(vm, &outcome).await;
        }
        Ok(())
    }

    /// Handles the response to the order of a move.
    async fn handle_move_outcome(&mut self, vm: String, outcome: &Result<(), VmError>) {
        match outcome {
            Ok(()) => {
                self.idle.remove(&vm);
                if let Some(instance) = self.evacuating.remove(&vm) {
                    self.ledger
                        .notify_owner(VmRequest::VmDown { instance })
                        .await;
                }
            }
            // The move may have been made; the list of runners shows it.
            Err(VmError::NoAnswer(_)) => {}
            Err(_) => {
                self.sent.remove(&vm);
                self.cancel_moves(vec![vm]).await;
            }
        }
    }
}
