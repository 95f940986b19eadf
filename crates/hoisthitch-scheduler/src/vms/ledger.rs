//! What is published of a pool's VMs, and which of them orders are given about.
//!
//! Moves and waves each run by themselves and share this. Before any order about a VM
//! the pool's share is written under compare-and-swap; the revision of that write is
//! the order's fencing token. Writes go one after the other, so that tokens rise for
//! each VM whoever orders about it, and a VM is claimed by one of the two at a time.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
};

use hoisthitch_jobs::{
    Millis,
    RunnerInstance,
    VmBalance, //
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
use tokio::sync::Mutex;

use super::{
    VmContext,
    VmWorkError, //
};
use crate::{
    journal::encode_record,
    platform::{
        Platform,
        VmStatus, //
    }, //
};

/// Time for which a new owner gives no order about a VM that an earlier one may
/// have given an order about, in milliseconds: that order may be under way
/// until the doubt of its owner ([`super::DOUBT_MS`]) and the limit of a call are
/// over, and two owners may not take turns within the platform's three seconds.
pub(super) const SETTLE_MS: Millis = 3_200;

/// Time for which a VM counts as lately ordered about, in milliseconds; the
/// time above, with some to spare.
const RECENT_MS: Millis = 4_000;

/// What the pool's owner publishes; written before each order about a VM.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct ShareRecord {
    /// Epoch of the owner.
    pub(super) epoch: u64,
    /// Number of the write under this owner.
    pub(super) sequence: u64,
    /// What the pool has and wants.
    pub(super) share: VmBalance,
    /// VMs that this owner gives orders about, or lately did.
    #[serde(default)]
    pub(super) recent: Vec<String>,
    /// VMs that earlier owners may have given orders about, with the time for
    /// which this one gives none, in milliseconds. The owner after it must not
    /// either, or two holders of one VM would take turns.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub(super) blocked: BTreeMap<String, Millis>,
}

/// What a VM is claimed for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum VmClaim {
    /// To be given to another pool.
    Move,
    /// To be taken through its upkeep.
    Upkeep,
}

/// The record in the store, as last written or found.
#[derive(Debug, Default)]
struct ShareWriter {
    record: ShareRecord,
    revision: StoreRevision,
}

/// VMs of a pool, as far as orders about them go.
pub(super) struct VmLedger<P> {
    pub(super) context: VmContext<P>,
    writer: Mutex<ShareWriter>,
    /// VMs that orders were given about, and when.
    ordered: RefCell<BTreeMap<String, Millis>>,
    /// VMs that an earlier owner may have given orders about, and until when
    /// none is given here.
    blocked: RefCell<BTreeMap<String, Millis>>,
    claims: RefCell<BTreeMap<String, VmClaim>>,
    /// Whether the share was written under this owner.
    settled: Cell<bool>,
}

impl<P: Platform> VmLedger<P> {
    /// The ledger of a new owner.
    pub(super) fn new(context: VmContext<P>) -> Self {
        Self {
            context,
            writer: Mutex::default(),
            ordered: RefCell::default(),
            blocked: RefCell::default(),
            claims: RefCell::default(),
            settled: Cell::new(false),
        }
    }

    /// The life of a VM's runner: the platform's list names the runner, the runner's record
    /// tells the life.
    pub(super) fn life_on(&self, row: &VmStatus) -> Option<RunnerInstance> {
        let name = row.runner.as_ref()?;
        Some(self.context.fleet.borrow().instance_of(name))
    }

    /// Now.
    pub(super) fn now(&self) -> Millis {
        self.context.shared.clock.now()
    }

    /// Whether orders of earlier owners were taken in.
    pub(super) fn is_settled(&self) -> bool {
        self.settled.get()
    }

    /// Notes that orders of earlier owners were taken in.
    pub(super) fn settle(&self) {
        self.settled.set(true);
    }

    /// Claims a VM; answers whether nothing else claims it.
    pub(super) fn claim(&self, vm: &str, claim: VmClaim) -> bool {
        let mut claims = self.claims.borrow_mut();
        *claims.entry(vm.to_owned()).or_insert(claim) == claim
    }

    /// Gives a claim up.
    pub(super) fn release(&self, vm: &str, claim: VmClaim) {
        let mut claims = self.claims.borrow_mut();
        if claims.get(vm) == Some(&claim) {
            claims.remove(vm);
        }
    }

    /// Whether something else claims the VM.
    pub(super) fn is_claimed(&self, vm: &str, but: VmClaim) -> bool {
        let claims = self.claims.borrow();
        claims.get(vm).is_some_and(|claim| *claim != but)
    }

    /// Gives no orders about these VMs for a while.
    pub(super) fn block(&self, vms: impl IntoIterator<Item = String>) {
        self.block_for(vms.into_iter().map(|vm| (vm, SETTLE_MS)));
    }

    /// Gives no orders about VMs, each for the time beside it.
    fn block_for(&self, vms: impl IntoIterator<Item = (String, Millis)>) {
        let now = self.now();
        let mut blocked = self.blocked.borrow_mut();
        for (vm, time) in vms {
            let until = blocked.entry(vm).or_insert(0);
            *until = (*until).max(now + time);
        }
    }

    /// VMs that no order is given about now, with the time left.
    fn still_blocked(&self, now: Millis) -> BTreeMap<String, Millis> {
        let mut blocked = self.blocked.borrow_mut();
        blocked.retain(|_, until| *until > now);
        blocked
            .iter()
            .map(|(vm, until)| (vm.clone(), until - now))
            .collect()
    }

    /// Whether an earlier owner may have given an order about the VM lately.
    pub(super) fn is_blocked(&self, vm: &str) -> bool {
        let now = self.now();
        let blocked = self.blocked.borrow();
        blocked.get(vm).is_some_and(|until| *until > now)
    }

    /// Writes down that orders about VMs follow, with the share if that changes; answers
    /// with their token. A token is for one VM's orders, and each VM gets one order
    /// under it.
    pub(super) async fn authorize<'a>(
        &self,
        vms: impl IntoIterator<Item = &'a String>,
        share: Option<VmBalance>,
    ) -> Result<u64, VmWorkError> {
        let now = self.now();
        let vms = vms.into_iter().map(|vm| (vm.clone(), now));
        self.ordered.borrow_mut().extend(vms);
        self.publish(share).await
    }

    /// What to write down now.
    fn make_record(&self, share: VmBalance, sequence: u64) -> ShareRecord {
        let now = self.now();
        let mut ordered = self.ordered.borrow_mut();
        ordered.retain(|_, at| *at + RECENT_MS > now);
        ShareRecord {
            epoch: self.context.epoch,
            sequence,
            share,
            recent: ordered.keys().cloned().collect(),
            blocked: self.still_blocked(now),
        }
    }

    /// Writes the pool's share, or the same one again; answers with the write's
    /// revision.
    pub(super) async fn publish(&self, share: Option<VmBalance>) -> Result<u64, VmWorkError> {
        let key = self.context.keys.vm_balance(&self.context.pool);
        let mut writer = self.writer.lock().await;
        let share = share.unwrap_or_else(|| writer.record.share.clone());
        loop {
            let record = self.make_record(share.clone(), writer.record.sequence + 1);
            let item = SwapItem {
                key: key.clone(),
                expected: writer.revision,
                value: Some(encode_record(&record)),
                lease: None,
            };
            let written = self.context.platform.store().swap_all(vec![item]).await?;
            match written {
                BatchOutcome::Written(revision) => {
                    *writer = ShareWriter { record, revision };
                    return Ok(u64::try_from(revision.0).unwrap_or(0));
                }
                BatchOutcome::Conflict(found) => {
                    let Some(stored) = found.into_iter().next().flatten() else {
                        writer.revision = StoreRevision::default();
                        continue;
                    };
                    let other: ShareRecord = serde_json::from_slice(&stored.value)?;
                    if other.epoch > self.context.epoch {
                        return Err(VmWorkError::Deposed);
                    }
                    // An own write whose answer was lost, or an earlier owner's.
                    writer.revision = stored.revision;
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
