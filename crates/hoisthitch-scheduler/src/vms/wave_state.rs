//! State of a maintenance wave at one owner: the record that all owners share, the changes to
//! write into it, and the orders that this owner gave.

use std::collections::BTreeMap;

use hoisthitch_jobs::{
    HallLossWait,
    Millis,
    RunnerInstance,
    WaveChange,
    WaveProgress, //
};
use hoisthitch_store::{
    BatchOutcome,
    StoreClient,
    StoreRevision,
    StoredValue,
    SwapItem, //
};
use hoisthitch_telemetry::event;

use super::{
    VmWorkError,
    ledger::VmLedger, //
};
use crate::{
    journal::encode_record,
    platform::{
        FleetCodec,
        Platform,
        VmCondition,
        VmStatus,
        WaveRequest, //
    }, //
};

/// Time after an order for maintenance during which the list shows the VM as down, in
/// milliseconds; maintenance takes two seconds.
pub(super) const SHOWN_DOWN_MS: Millis = 1_500;

/// Time for which a VM is missing from the list before it counts as removed, in milliseconds:
/// longer than any VM takes to come back.
const REMOVED_AFTER_MS: Millis = 10_000;

/// Maximum age of the known record of a wave, in milliseconds: VMs of other pools come back
/// within it. A write that finds a later record is repeated on top of that.
const MAX_RECORD_AGE_MS: Millis = 600;

/// State of a wave at this owner.
#[derive(Debug, Default)]
pub(super) struct WaveState {
    /// The record as last written or read.
    pub(super) progress: WaveProgress,
    revision: StoreRevision,
    /// When the record was last written or read; none before the first time.
    known_at: Option<Millis>,
    /// Changes that are not written yet.
    pub(super) pending: WaveChange,
    /// VMs that this owner ordered to go down, and when.
    pub(super) ordered: BTreeMap<String, Millis>,
    /// VMs that are missing from the list, and since when.
    pub(super) missing: BTreeMap<String, Millis>,
    /// How long the wave has waited for lost halls.
    pub(super) hall_wait: HallLossWait,
    /// Whether it waited for them in the last pass.
    pub(super) waits_for_halls: bool,
}

impl WaveState {
    /// Applies the record that was found in the store.
    fn apply_record(&mut self, found: Option<StoredValue>, now: Millis) -> Result<(), VmWorkError> {
        (self.progress, self.revision) = match found {
            Some(stored) => (serde_json::from_slice(&stored.value)?, stored.revision),
            None => Default::default(),
        };
        self.known_at = Some(now);
        Ok(())
    }

    /// Whether the platform has confirmed that a VM's maintenance began.
    pub(super) fn has_begun(&self, vm: &str) -> bool {
        self.progress.begun.contains(vm) || self.pending.begun.contains(vm)
    }

    /// Whether a VM has completed its maintenance and is up again: it has a new instance of its
    /// runner or, where start times can't tell, some time has passed since the order. A list
    /// that was requested at `requested_at`, before the order, shows nothing.
    pub(super) fn has_returned(
        &self,
        row: &VmStatus,
        instance: Option<&RunnerInstance>,
        requested_at: Millis,
    ) -> bool {
        if !self.progress.down.contains_key(&row.name) {
            return false;
        }
        if row.condition != VmCondition::Up || !self.has_begun(&row.name) {
            return false;
        }
        let ordered = self.ordered.get(&row.name).copied();
        if requested_at < ordered.or(self.known_at).unwrap_or(0) {
            return false;
        }
        let has_restarted =
            instance.is_some_and(|instance| !self.went_down_with(&row.name, instance));
        has_restarted || ordered.is_none_or(|at| at + SHOWN_DOWN_MS <= requested_at)
    }

    /// Whether a VM was recorded as down with that instance of its runner, as far as start
    /// times tell.
    pub(super) fn went_down_with(&self, vm: &str, instance: &RunnerInstance) -> bool {
        let before = self.progress.down.get(vm);
        before.is_some_and(|before| RunnerInstance::parse(before).may_be(instance))
    }

    /// Whether a VM has been missing from the list for so long that it counts as removed.
    pub(super) fn is_removed(&mut self, vm: &str, now: Millis) -> bool {
        let since = self.missing.entry(vm.to_owned()).or_insert(now);
        *since + REMOVED_AFTER_MS <= now
    }

    /// Reads the wave's record, if the known one is too old.
    pub(super) async fn refresh<P: Platform>(
        &mut self,
        ledger: &VmLedger<P>,
        request: &WaveRequest,
    ) -> Result<(), VmWorkError> {
        let now = ledger.now();
        if self.known_at.is_some_and(|at| at + MAX_RECORD_AGE_MS > now) {
            return Ok(());
        }
        let context = &ledger.context;
        let key = context.keys.wave(request.wave);
        let found = context.platform.store().read(&key).await?;
        self.apply_record(found, now)
    }

    /// Writes the pending changes into the wave's record, on top of the changes of other owners.
    pub(super) async fn write_pending<P: Platform>(
        &mut self,
        ledger: &VmLedger<P>,
        request: &WaveRequest,
    ) -> Result<(), VmWorkError> {
        if self.pending.is_empty() {
            return Ok(());
        }
        let context = &ledger.context;
        loop {
            let now = ledger.now();
            let next = self.progress.with(&self.pending, request.max_down());
            if next == self.progress {
                self.pending = WaveChange::default();
                return Ok(());
            }
            let completed = next.is_completed(&request.vms);
            let (status_key, status) = context
                .platform
                .codec()
                .encode_wave_status(request.wave, completed);
            let items = vec![
                SwapItem {
                    key: context.keys.wave(request.wave),
                    expected: self.revision,
                    value: Some(encode_record(&next)),
                    lease: None,
                },
                SwapItem {
                    key: status_key,
                    expected: StoreRevision::ANY,
                    value: Some(status),
                    lease: None,
                },
            ];
            match context.platform.store().swap_all(items).await? {
                BatchOutcome::Written(revision) => {
                    self.log_written(&context.pool, request, &next);
                    self.progress = next;
                    self.revision = revision;
                    self.known_at = Some(now);
                    self.pending = WaveChange::default();
                    return Ok(());
                }
                BatchOutcome::Conflict(found) => {
                    self.apply_record(found.into_iter().next().flatten(), now)?;
                }
            }
        }
    }

    fn log_written(&self, pool: &str, request: &WaveRequest, next: &WaveProgress) {
        for vm in &self.pending.done {
            event!(Info, "upkeep_done", wave = request.wave, vm = vm);
        }
        event!(
            Info,
            "wave_written",
            wave = request.wave,
            pool = pool,
            done = next.done.len(),
            due = request.vms.len(),
            down = next.down.len()
        );
    }
}
