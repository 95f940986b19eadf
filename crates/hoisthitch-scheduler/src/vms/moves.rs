//! Moves of VMs between pools.

use futures_util::future::join_all;
use hoisthitch_jobs::{
    Millis,
    UpkeepView,
    plan_moves, //
};
use hoisthitch_telemetry::event;

use super::{
    MOVE_LIMIT,
    PoolNeed,
    SPARE_LIMIT,
    VmRequest,
    VmWorkError,
    VmWorker,
    share::SETTLE_MS, //
};
use crate::platform::{
    Platform,
    VmControl,
    VmError, //
};

impl<P: Platform> VmWorker<P> {
    /// Publishes what the pool needs, and sends away what others need more.
    pub(super) async fn balance(&mut self) -> Result<(), VmWorkError> {
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
        let moves: Vec<(String, String)> = vms.into_iter().zip(targets).take(MOVE_LIMIT).collect();
        if moves.is_empty() {
            return Ok(());
        }
        self.send_away(moves, now).await
    }

    /// VMs without a runner that may be sent away.
    pub(super) fn idle_vms(&self, now: Millis) -> Vec<String> {
        self.idle
            .iter()
            .filter(|(vm, since)| !self.sent.contains_key(*vm) && **since + SETTLE_MS <= now)
            .filter(|(vm, _)| !self.is_blocked(vm))
            .map(|(vm, _)| vm.clone())
            .collect()
    }

    /// Has up to `count` runners emptied; answers with the VMs that are.
    pub(super) async fn emptied_vms(&mut self, need: &PoolNeed, count: usize) -> Vec<String> {
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
            if self.giving.insert(vm.clone(), runner.clone()).is_none() {
                event!(
                    Info,
                    "vm_emptying",
                    vm = vm,
                    runner = runner,
                    pool = self.context.pool
                );
            }
            if self.ask_leave(&runner, true).await == Some(UpkeepView::Free) {
                emptied.push(vm);
            }
        }
        emptied
    }

    /// Lets a runner go on that was to be given away.
    pub(super) async fn keep_vm(&mut self, vm: &str) {
        if let Some(runner) = self.giving.remove(vm) {
            event!(
                Info,
                "vm_kept",
                vm = vm,
                runner = runner,
                pool = self.context.pool
            );
            // An owner that is gone keeps no runner.
            let _ = self.context.owner.send(VmRequest::Stay { runner }).await;
        }
    }

    /// Sends VMs to other pools, under one token: a token is for one VM's
    /// orders, and each VM gets one here.
    pub(super) async fn send_away(
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

    pub(super) async fn take_move(&mut self, vm: String, outcome: &Result<(), VmError>) {
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
}
