//! Claims and fencing tokens for orders about a pool's VMs, and the record that its owner
//! publishes of them.
//!
//! The two VM loops run independently and share this ledger. Before any order about a VM the
//! pool's record is written under compare-and-swap; the revision of that write is the order's
//! fencing token. Writes go one after the other, so that the tokens of a VM's orders increase
//! whichever loop gives them. A VM is claimed by at most one of the loops at a time.

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

/// Time for which a new owner gives no order about a VM that an earlier owner may have given
/// an order about, in milliseconds: that order may be in transit until its owner's right to
/// give orders ([`super::OWNERSHIP_VALID_MS`]) and the timeout of a call are over, and orders of two
/// owners about one VM may not alternate within the platform's three seconds.
pub(super) const EARLIER_ORDER_BLOCK_MS: Millis = 3_200;

/// Time for which an order about a VM counts as recent, in milliseconds; the time above with a
/// margin.
const RECENT_ORDER_MS: Millis = 4_000;

/// Record that the pool's owner publishes; written before each order about a VM.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct BalanceRecord {
    /// Epoch of the owner: the revision of its election.
    pub(super) epoch: u64,
    /// Number of the write under this owner.
    pub(super) sequence: u64,
    /// VMs that the pool has, wants and keeps.
    #[serde(rename = "share")]
    pub(super) balance: VmBalance,
    /// VMs that this owner gave orders about recently, or is about to.
    #[serde(default)]
    pub(super) recent: Vec<String>,
    /// VMs that earlier owners may have given orders about, with the time for which this owner
    /// gives none, in milliseconds. The next owner must not give any either, or the orders of
    /// two holders of a VM would alternate.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub(super) blocked: BTreeMap<String, Millis>,
}

/// Purpose of a claim on a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum VmClaim {
    /// To be moved to another pool.
    Move,
    /// To go through maintenance.
    Maintenance,
}

/// The record in the store, as last written or found.
#[derive(Debug, Default)]
struct BalanceWriter {
    record: BalanceRecord,
    revision: StoreRevision,
}

/// Which VMs of a pool orders may be given about, and under which token.
pub(super) struct VmLedger<P> {
    pub(super) context: VmContext<P>,
    writer: Mutex<BalanceWriter>,
    /// VMs that orders were given about recently, and when.
    ordered: RefCell<BTreeMap<String, Millis>>,
    /// VMs that an earlier owner may have given orders about, and until when this owner gives
    /// none.
    blocked: RefCell<BTreeMap<String, Millis>>,
    claims: RefCell<BTreeMap<String, VmClaim>>,
    /// Whether the record was written by this owner.
    adopted: Cell<bool>,
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
            adopted: Cell::new(false),
        }
    }

    /// The instance of a VM's runner: the platform's list names the runner, the runner's record
    /// has its start time.
    pub(super) fn instance_on(&self, row: &VmStatus) -> Option<RunnerInstance> {
        let name = row.runner.as_ref()?;
        Some(self.context.fleet.borrow().instance_of(name))
    }

    /// The time of the node's clock.
    pub(super) fn now(&self) -> Millis {
        self.context.shared.clock.now()
    }

    /// Whether the recent orders of earlier owners are known.
    pub(super) fn is_adopted(&self) -> bool {
        self.adopted.get()
    }

    /// Records that the recent orders of earlier owners are known.
    pub(super) fn mark_adopted(&self) {
        self.adopted.set(true);
    }

    /// Claims a VM; returns whether it has no other claim.
    pub(super) fn claim(&self, vm: &str, claim: VmClaim) -> bool {
        let mut claims = self.claims.borrow_mut();
        *claims.entry(vm.to_owned()).or_insert(claim) == claim
    }

    /// Releases a claim.
    pub(super) fn release(&self, vm: &str, claim: VmClaim) {
        let mut claims = self.claims.borrow_mut();
        if claims.get(vm) == Some(&claim) {
            claims.remove(vm);
        }
    }

    /// Whether the VM has another claim than `but`.
    pub(super) fn is_claimed(&self, vm: &str, but: VmClaim) -> bool {
        let claims = self.claims.borrow();
        claims.get(vm).is_some_and(|claim| *claim != but)
    }

    /// Blocks orders about VMs for [`EARLIER_ORDER_BLOCK_MS`].
    pub(super) fn block(&self, vms: impl IntoIterator<Item = String>) {
        self.block_for(vms.into_iter().map(|vm| (vm, EARLIER_ORDER_BLOCK_MS)));
    }

    /// Blocks orders about VMs, each for its own time in milliseconds.
    fn block_for(&self, vms: impl IntoIterator<Item = (String, Millis)>) {
        let now = self.now();
        let mut blocked = self.blocked.borrow_mut();
        for (vm, time) in vms {
            let until = blocked.entry(vm).or_insert(0);
            *until = (*until).max(now + time);
        }
    }

    /// VMs that are still blocked, with the remaining time in milliseconds.
    fn remaining_blocks(&self, now: Millis) -> BTreeMap<String, Millis> {
        let mut blocked = self.blocked.borrow_mut();
        blocked.retain(|_, until| *until > now);
        blocked
            .iter()
            .map(|(vm, until)| (vm.clone(), until - now))
            .collect()
    }

    /// Whether orders about a VM are blocked, since an earlier owner may have given one.
    pub(super) fn is_blocked(&self, vm: &str) -> bool {
        let now = self.now();
        let blocked = self.blocked.borrow();
        blocked.get(vm).is_some_and(|until| *until > now)
    }

    /// Records that orders about VMs follow, with the published state if that changes, and
    /// returns their fencing token. A token counts for the orders about one VM, so that several
    /// VMs may share it; each VM gets one order under it.
    pub(super) async fn issue_token<'a>(
        &self,
        vms: impl IntoIterator<Item = &'a String>,
        balance: Option<VmBalance>,
    ) -> Result<u64, VmWorkError> {
        let now = self.now();
        let vms = vms.into_iter().map(|vm| (vm.clone(), now));
        self.ordered.borrow_mut().extend(vms);
        self.publish(balance).await
    }

    /// The record to write now.
    fn make_record(&self, balance: VmBalance, sequence: u64) -> BalanceRecord {
        let now = self.now();
        let mut ordered = self.ordered.borrow_mut();
        ordered.retain(|_, at| *at + RECENT_ORDER_MS > now);
        BalanceRecord {
            epoch: self.context.epoch,
            sequence,
            balance,
            recent: ordered.keys().cloned().collect(),
            blocked: self.remaining_blocks(now),
        }
    }

    /// Writes the pool's record, with the last published state again if none is given; returns
    /// the revision of the write.
    pub(super) async fn publish(&self, balance: Option<VmBalance>) -> Result<u64, VmWorkError> {
        let key = self.context.keys.vm_balance(&self.context.pool);
        let mut writer = self.writer.lock().await;
        let balance = balance.unwrap_or_else(|| writer.record.balance.clone());
        loop {
            let record = self.make_record(balance.clone(), writer.record.sequence + 1);
            let item = SwapItem {
                key: key.clone(),
                expected: writer.revision,
                value: Some(encode_record(&record)),
                lease: None,
            };
            let written = self.context.platform.store().swap_all(vec![item]).await?;
            match written {
                BatchOutcome::Written(revision) => {
                    *writer = BalanceWriter { record, revision };
                    return Ok(u64::try_from(revision.0).unwrap_or(0));
                }
                BatchOutcome::Conflict(found) => {
                    let Some(stored) = found.into_iter().next().flatten() else {
                        writer.revision = StoreRevision::default();
                        continue;
                    };
                    let other: BalanceRecord = serde_json::from_slice(&stored.value)?;
                    if other.epoch > self.context.epoch {
                        return Err(VmWorkError::Deposed);
                    }
                    // A write of this owner whose response was lost, or an earlier owner's.
                    writer.revision = stored.revision;
                    if other.epoch < self.context.epoch {
                        self.block(other.recent);
                        self.block(other.balance.sent.into_keys());
                        self.block_for(other.blocked);
                    }
                }
            }
        }
    }
}
