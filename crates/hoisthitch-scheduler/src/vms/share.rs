//! What a pool publishes of its VMs.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use hoisthitch_jobs::{
    Millis,
    VmBalance, //
};
use hoisthitch_store::StoreClient;

use super::{
    PoolNeed,
    VmWorkError,
    ledger::{
        ShareRecord,
        VmClaim, //
    },
    moves::MoveWorker, //
};
use crate::platform::{
    Platform,
    VmCondition, //
};

/// Time after which a VM that was sent away and did not arrive is counted no
/// more, in milliseconds; a move takes one and a half seconds.
const ARRIVE_MS: Millis = 6_000;

impl<P: Platform> MoveWorker<P> {
    /// Takes the pool's share over from an earlier owner, whose orders may be
    /// under way still.
    pub(super) async fn settle_in(&mut self) -> Result<(), VmWorkError> {
        let pool = &self.ledger.context.pool;
        for (other, share) in self.read_shares().await? {
            if other != *pool {
                let here = share.sent.into_iter().filter(|(_, to)| to == pool);
                self.ledger.block(here.map(|(vm, _)| vm));
            }
        }
        // A write that finds the share of an earlier owner blocks its VMs.
        self.ledger.publish(None).await?;
        self.ledger.settle();
        Ok(())
    }

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

    pub(super) fn make_share(
        &mut self,
        need: &PoolNeed,
        vms: Vec<String>,
        spare: bool,
        now: Millis,
    ) -> VmBalance {
        let forecast = self.wants.forecast(need.want, now);
        let ledger = &self.ledger;
        self.sent.retain(|vm, (_, at)| {
            // A VM that is listed here no more has left for certain, and is
            // counted by the other pool once it has arrived there.
            let under_way =
                *at + ARRIVE_MS > now || (vms.contains(vm) && *at + 2 * ARRIVE_MS > now);
            if !under_way {
                ledger.release(vm, VmClaim::Move);
            }
            under_way
        });
        let sent = self.sent.iter();
        let mut vms = vms;
        vms.sort();
        // A life that is over may be listed beside its successor.
        vms.dedup();
        VmBalance {
            want: forecast.want,
            keep: forecast.keep,
            vms,
            sent: sent.map(|(vm, (to, _))| (vm.clone(), to.clone())).collect(),
            spare,
        }
    }

    /// VMs of a pool whose VMs are off, once they may be ordered about.
    pub(super) async fn list_idle(&mut self, now: Millis) -> Result<Vec<String>, VmWorkError> {
        let context = &self.ledger.context;
        let rows = self.list.read(context).await?;
        let own = rows
            .iter()
            .filter(|row| row.pool == context.pool && row.condition == VmCondition::Up);
        let names: BTreeSet<String> = own.map(|row| row.name.clone()).collect();
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

    pub(super) async fn read_shares(&self) -> Result<BTreeMap<String, VmBalance>, VmWorkError> {
        let context = &self.ledger.context;
        let prefix = context.keys.vm_balances_prefix();
        let values = context.platform.store().read_prefix(&prefix).await?;
        let mut shares = BTreeMap::new();
        for value in values {
            let record: ShareRecord = serde_json::from_slice(&value.value)?;
            let pool = value.key.strip_prefix(prefix.as_str()).unwrap_or_default();
            shares.insert(pool.to_owned(), record.share);
        }
        Ok(shares)
    }
}
