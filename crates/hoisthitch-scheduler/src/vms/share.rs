//! What a pool publishes of its VMs, written under compare-and-swap.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use hoisthitch_jobs::{
    Millis,
    PoolShare, //
};
use hoisthitch_store::{
    BatchOutcome,
    StoreClient,
    StoreRevision,
    SwapItem, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    PoolNeed,
    VmWorkError,
    VmWorker, //
};
use crate::{
    journal::encode,
    platform::{
        Platform,
        VmCondition,
        VmControl, //
    }, //
};

/// Time for which a new owner gives no order about a VM that an earlier one may
/// have given an order about, in milliseconds: that order may be under way
/// until the doubt of its owner ([`DOUBT_MS`]) and the limit of a call are over,
/// and two owners may not take turns within the platform's three seconds.
pub(super) const SETTLE_MS: Millis = 3_200;

/// Time for which a VM counts as lately ordered about, in milliseconds; the
/// time above, with some to spare.
const RECENT_MS: Millis = 4_000;

/// Time after which a VM that was sent away and did not arrive is counted no
/// more, in milliseconds; a move takes one and a half seconds.
const ARRIVE_MS: Millis = 6_000;

/// What the pool's owner publishes; written before each order about a VM.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct ShareRecord {
    /// Epoch of the owner.
    pub(super) epoch: u64,
    /// Number of the write under this owner.
    pub(super) sequence: u64,
    /// What the pool has and wants.
    pub(super) share: PoolShare,
    /// VMs that this owner gives orders about, or lately did.
    #[serde(default)]
    pub(super) recent: Vec<String>,
    /// VMs that earlier owners may have given orders about, with the time for
    /// which this one gives none, in milliseconds. The owner after it must not
    /// either, or two holders of one VM would take turns.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub(super) blocked: BTreeMap<String, Millis>,
}

impl<P: Platform> VmWorker<P> {
    /// Takes the pool's share over from an earlier owner, whose orders may be
    /// under way still.
    pub(super) async fn settle_in(&mut self) -> Result<(), VmWorkError> {
        for (pool, share) in self.read_shares().await? {
            if pool != self.context.pool {
                let sent = share.sent.iter();
                let here = sent.filter(|(_, to)| **to == self.context.pool);
                self.block(here.map(|(vm, _)| vm.clone()).collect::<Vec<_>>());
            }
        }
        // A write that finds the share of an earlier owner blocks its VMs.
        let share = self.record.share.clone();
        self.publish(share).await?;
        self.settled = true;
        Ok(())
    }

    /// Gives no orders about these VMs for a while.
    pub(super) fn block(&mut self, vms: impl IntoIterator<Item = String>) {
        self.block_for(vms.into_iter().map(|vm| (vm, SETTLE_MS)));
    }

    /// Gives no orders about VMs, each for the time beside it.
    fn block_for(&mut self, vms: impl IntoIterator<Item = (String, Millis)>) {
        let now = self.context.shared.clock.now();
        for (vm, time) in vms {
            let until = self.blocked.entry(vm).or_insert(0);
            *until = (*until).max(now + time);
        }
    }

    /// VMs that no order is given about now, with the time left.
    fn still_blocked(&mut self, now: Millis) -> BTreeMap<String, Millis> {
        self.blocked.retain(|_, until| *until > now);
        let blocked = self.blocked.iter();
        blocked
            .map(|(vm, until)| (vm.clone(), until - now))
            .collect()
    }

    /// Whether an earlier owner may have given an order about the VM lately.
    pub(crate) fn is_blocked(&self, vm: &str) -> bool {
        let now = self.context.shared.clock.now();
        self.blocked.get(vm).is_some_and(|until| *until > now)
    }

    pub(super) fn is_spare(&self) -> bool {
        let policy = self.context.shared.policy.load();
        let pools = policy.as_ref().map(|policy| policy.pools.as_slice());
        let pool = &self.context.pool;
        pools.is_some_and(|pools| pools.iter().any(|row| row.name == *pool && row.spare))
    }

    pub(super) fn make_share(
        &mut self,
        need: &PoolNeed,
        vms: Vec<String>,
        spare: bool,
        now: Millis,
    ) -> PoolShare {
        let forecast = self.wants.forecast(need.want, now);
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
            want: forecast.want,
            keep: forecast.keep,
            vms,
            sent: sent.map(|(vm, (to, _))| (vm.clone(), to.clone())).collect(),
            spare,
        }
    }

    /// VMs of a pool whose VMs are off, once they may be ordered about.
    pub(super) async fn list_idle(&mut self, now: Millis) -> Result<Vec<String>, VmWorkError> {
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

    pub(super) async fn read_shares(&self) -> Result<BTreeMap<String, PoolShare>, VmWorkError> {
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

    /// Writes down that an order about a VM follows; answers with its token.
    pub(crate) async fn authorize(&mut self, vm: &str) -> Result<u64, VmWorkError> {
        let now = self.context.shared.clock.now();
        self.ordered.insert(vm.to_owned(), now);
        self.publish(self.record.share.clone()).await
    }

    /// What to write down now.
    fn make_record(&mut self, share: PoolShare) -> ShareRecord {
        let now = self.context.shared.clock.now();
        self.ordered.retain(|_, at| *at + RECENT_MS > now);
        ShareRecord {
            epoch: self.context.epoch,
            sequence: self.record.sequence + 1,
            share,
            recent: self.ordered.keys().cloned().collect(),
            blocked: self.still_blocked(now),
        }
    }

    /// Writes the pool's share; answers with the write's revision.
    pub(super) async fn publish(&mut self, share: PoolShare) -> Result<u64, VmWorkError> {
        let key = self.context.keys.share(&self.context.pool);
        loop {
            let record = self.make_record(share.clone());
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
                        self.block(other.share.sent.into_keys());
                        self.block_for(other.blocked);
                    }
                }
            }
        }
    }
}
