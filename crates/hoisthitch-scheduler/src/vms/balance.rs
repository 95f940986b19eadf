//! The balance that a pool publishes of its VMs: which it has, has sent away, wants and keeps.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use hoisthitch_jobs::{
    Millis,
    VmBalance,
    plan_moves, //
};
use hoisthitch_store::StoreClient;

use super::{
    DemandAnswer,
    VmRequest,
    VmWorkError,
    ledger::{
        BalanceRecord,
        VmClaim, //
    },
    moves::MoveLoop, //
};
use crate::platform::{
    Platform,
    VmCondition, //
};

/// Time after which a VM that was sent away and did not arrive is not counted any more, in
/// milliseconds; a move takes one and a half seconds.
const ARRIVAL_TIMEOUT_MS: Millis = 6_000;

/// Minimum interval between two reads of the VMs that are on their way to the pool, in
/// milliseconds.
const COMING_INTERVAL_MS: Millis = 1_000;

impl<P: Platform> MoveLoop<P> {
    /// Takes over the pool's record from an earlier owner, whose orders may still be in transit:
    /// blocks the VMs of those orders, and VMs that other pools are sending here.
    pub(super) async fn adopt_record(&mut self) -> Result<(), VmWorkError> {
        let pool = &self.ledger.context.pool;
        for (other, balance) in self.read_balances().await? {
            if other != *pool {
                let here = balance.sent.into_iter().filter(|(_, to)| to == pool);
                self.ledger.block(here.map(|(vm, _)| vm));
            }
        }
        // A write that finds the record of an earlier owner blocks its VMs.
        self.ledger.publish(None).await?;
        self.ledger.mark_adopted();
        Ok(())
    }

    /// Whether the pool is configured as one whose VMs are off.
    pub(super) fn is_spare(&self) -> bool {
        let context = &self.ledger.context;
        let policy = context.shared.policy.load();
        let pools = policy.as_ref().map(|policy| policy.pools.as_slice());
        pools.is_some_and(|pools| {
            pools
                .iter()
                .any(|row| row.name == context.pool && row.spare)
        })
    }

    /// The balance to publish now. VMs that have arrived elsewhere, or should have, are
    /// released.
    pub(super) fn make_balance(
        &mut self,
        demand: &DemandAnswer,
        vms: Vec<String>,
        spare: bool,
        now: Millis,
    ) -> VmBalance {
        let forecast = self.demand.forecast(demand.want, now);
        let ledger = &self.ledger;
        self.sent.retain(|vm, (_, at)| {
            // A VM that is not listed here any more has certainly left; the other pool counts it
            // once it has arrived there.
            let in_transit = *at + ARRIVAL_TIMEOUT_MS > now
                || (vms.contains(vm) && *at + 2 * ARRIVAL_TIMEOUT_MS > now);
            if !in_transit {
                ledger.release(vm, VmClaim::Move);
            }
            in_transit
        });
        self.sent_halls.retain(|vm, _| self.sent.contains_key(vm));
        let sent = self.sent.iter();
        let mut vms = vms;
        vms.sort();
        // An instance that has ended may be listed beside its successor.
        vms.dedup();
        let mut halls = if spare {
            self.idle_by_hall()
        } else {
            demand.halls.clone()
        };
        // VMs that are on their way and are still listed here don't stay.
        let leaving = self.sent_halls.iter().filter(|(vm, _)| vms.contains(vm));
        for (_, hall) in leaving {
            if let Some(count) = halls.get_mut(hall) {
                *count = count.saturating_sub(1);
            }
        }
        VmBalance {
            want: forecast.want,
            keep: forecast.keep,
            vms,
            sent: sent.map(|(vm, (to, _))| (vm.clone(), to.clone())).collect(),
            spare,
            halls,
            sent_halls: self.sent_halls.clone(),
        }
    }

    /// Whether data halls are told apart.
    pub(super) fn tells_halls_apart(&self) -> bool {
        self.ledger.context.shared.terms.tolerated_halls > 0
    }

    /// VMs without a runner by hall, where halls are told apart.
    fn idle_by_hall(&self) -> BTreeMap<String, u32> {
        let mut counts = BTreeMap::new();
        for hall in self.idle_halls.values() {
            *counts.entry(hall.clone()).or_default() += 1;
        }
        counts
    }

    /// VMs of a pool whose VMs are off, without those in cordoned halls; records since when each
    /// has been listed.
    pub(super) async fn list_idle(&mut self, now: Millis) -> Result<Vec<String>, VmWorkError> {
        let context = &self.ledger.context;
        let rows = self.list.read(context).await?;
        // A VM in a cordoned hall gives no other pool any capacity.
        let fleet = context.fleet.borrow().clone();
        let own = rows
            .iter()
            .filter(|row| row.pool == context.pool && row.condition == VmCondition::Up)
            .filter(|row| !fleet.cordons.contains(&row.hall));
        let halls: BTreeMap<String, String> = own
            .map(|row| (row.name.clone(), row.hall.clone()))
            .collect();
        let names: BTreeSet<String> = halls.keys().cloned().collect();
        self.idle.retain(|vm, _| names.contains(vm));
        // VMs that were listed before the first pass have stayed long enough, or are blocked.
        let since = if self.idle_listed { now } else { 0 };
        self.idle_listed = true;
        if self.tells_halls_apart() {
            self.idle_halls = halls;
        }
        for vm in names {
            self.idle.entry(vm).or_insert(since);
        }
        Ok(self.idle.keys().cloned().collect())
    }

    /// Tells the owner how many VMs are on their way to a pool that has fewer than it wants, or
    /// are planned to be sent there, where jobs are admitted by that.
    pub(super) async fn report_coming(
        &mut self,
        demand: &DemandAnswer,
        now: Millis,
    ) -> Result<(), VmWorkError> {
        let context = &self.ledger.context;
        let lacks = u32::try_from(demand.vms.len()).is_ok_and(|has| has < demand.want.now);
        let is_due = now >= self.coming_read_at + COMING_INTERVAL_MS;
        if !context.shared.terms.admission_control || !lacks || !is_due {
            return Ok(());
        }
        self.coming_read_at = now;
        let mut balances = self.read_balances().await?;
        balances.insert(context.pool.clone(), self.balance.clone());
        let planned = plan_moves(&balances);
        let planned = planned.iter().filter(|order| order.to == context.pool);
        let planned: usize = planned.map(|order| order.count).sum();
        let sent = balances.values().flat_map(|balance| &balance.sent);
        let coming = sent.filter(|(vm, to)| **to == context.pool && !demand.vms.contains(vm));
        let vms = u32::try_from(coming.count() + planned).unwrap_or(u32::MAX);
        self.ledger.notify_owner(VmRequest::Coming { vms }).await;
        Ok(())
    }

    /// Reads the published balances of all pools, by pool.
    pub(super) async fn read_balances(&self) -> Result<BTreeMap<String, VmBalance>, VmWorkError> {
        let context = &self.ledger.context;
        let prefix = context.keys.vm_balances_prefix();
        let values = context.platform.store().read_prefix(&prefix).await?;
        let mut balances = BTreeMap::new();
        for value in values {
            let record: BalanceRecord = serde_json::from_slice(&value.value)?;
            let pool = value.key.strip_prefix(prefix.as_str()).unwrap_or_default();
            balances.insert(pool.to_owned(), record.balance);
        }
        Ok(balances)
    }
}
