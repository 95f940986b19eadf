//! Takes the VMs of a pool through the waves that operators ask for.
//!
//! A wave's record in the store counts the VMs that are down, whichever pool
//! they belong to. An owner writes its VM into it before it takes the VM down,
//! and out of it once the VM is back with a new life of its runner.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    mem::discriminant, //
};

use hoisthitch_jobs::{
    Millis,
    UpkeepView, //
};
use hoisthitch_store::{
    BatchOutcome,
    StoreClient,
    StoreRevision,
    SwapItem, //
};
use hoisthitch_telemetry::event;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    journal::encode,
    platform::{
        FleetCodec,
        Platform,
        VmCondition,
        VmControl,
        VmError,
        VmRow,
        WaveOrder, //
    },
    vms::{
        VmRequest,
        VmWorkError,
        VmWorker, //
    }, //
};

/// Part of the VMs of a pool that are emptied at once: one in this many, and one
/// at least. More would cost the pool too much of its room, fewer would make the
/// waves of large pools late.
const EMPTY_PART: usize = 10;

/// Time after an order for upkeep in which the list shows the VM as down, in
/// milliseconds; an upkeep takes two seconds.
const BACK_MS: Millis = 1_500;

/// Time for which a VM is missing from the list before it counts as gone, in
/// milliseconds: longer than any way back takes.
const GONE_MS: Millis = 10_000;

/// How far a wave is.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct WaveProgress {
    /// VMs that are down or about to be, with the life of their runner before.
    down: BTreeMap<String, String>,
    /// Those of them whose upkeep the platform has confirmed. A VM that is up
    /// with a new life without that had a crash.
    #[serde(default)]
    begun: BTreeSet<String>,
    /// VMs that had their upkeep.
    done: BTreeSet<String>,
}

impl WaveProgress {
    /// Notes that a VM has had its upkeep, or is no more.
    fn finish(&mut self, vm: &str) {
        self.down.remove(vm);
        self.begun.remove(vm);
        self.done.insert(vm.to_owned());
    }
}

impl<P: Platform> VmWorker<P> {
    /// Takes a wave further; answers whether it is completed.
    pub(crate) async fn advance(&mut self, order: &WaveOrder) -> Result<bool, VmWorkError> {
        let (mut progress, mut revision) = self.read_wave(order).await?;
        if order.vms.iter().all(|vm| progress.done.contains(vm)) {
            return Ok(true);
        }
        let rows = self.context.platform.vms().list().await?;
        let own = |vm: &&String| {
            let row = Self::find(&rows, vm);
            row.is_none_or(|row| row.pool == self.context.pool)
        };
        let due: Vec<String> = order.vms.iter().filter(own).cloned().collect();
        for vm in &due {
            let row = Self::find(&rows, vm);
            if progress.done.contains(vm) {
                continue;
            }
            let mut next = progress.clone();
            match (row, progress.down.get(vm)) {
                // The VM is no more; nothing is left to be done for it.
                (None, _) if self.is_gone(vm) => next.finish(vm),
                (Some(row), Some(before)) if row.condition == VmCondition::Up => {
                    if !progress.begun.contains(vm) {
                        let again = self.take_down(order, row, progress, revision).await?;
                        (progress, revision) = again;
                        continue;
                    }
                    if !self.is_back(order, row, before) {
                        continue;
                    }
                    next.finish(vm);
                }
                _ => continue,
            }
            event!(Info, "upkeep_done", wave = order.wave, vm = vm);
            (progress, revision) = self.write_wave(order, next, revision).await?;
        }
        self.empty_next(order, &due, &rows, progress, revision)
            .await
    }

    /// Empties the next VMs, and takes down those that may go.
    async fn empty_next(
        &mut self,
        order: &WaveOrder,
        due: &[String],
        rows: &[VmRow],
        mut progress: WaveProgress,
        mut revision: StoreRevision,
    ) -> Result<bool, VmWorkError> {
        let mut waiting: Vec<&VmRow> = due
            .iter()
            .filter(|vm| !progress.done.contains(*vm) && !progress.down.contains_key(*vm))
            .filter_map(|vm| Self::find(rows, vm))
            .filter(|row| row.condition == VmCondition::Up && !self.is_blocked(&row.name))
            .collect();
        // What is being emptied already goes on.
        waiting.sort_by_key(|row| !self.leaving.contains_key(&row.name));
        let mut emptied = 0;
        let own = rows.iter().filter(|row| row.pool == self.context.pool);
        let at_once = (own.count() / EMPTY_PART).max(1);
        for row in waiting {
            if emptied >= at_once {
                break;
            }
            let view = self.ask_row(row).await;
            if view == Some(UpkeepView::Held) {
                self.stay(&row.name).await;
                continue;
            }
            let free = matches!(view, Some(UpkeepView::Free) | None);
            // A VM without a runner costs no room.
            emptied += usize::from(row.runner.is_some());
            if !free || progress.down.len() >= order.at_once.max(1) {
                continue;
            }
            let mut next = progress.clone();
            let before = row.runner.clone().unwrap_or_default();
            next.down.insert(row.name.clone(), before);
            (progress, revision) = self.write_wave(order, next, revision).await?;
            if progress.down.contains_key(&row.name) {
                let taken = self.take_down(order, row, progress, revision).await?;
                (progress, revision) = taken;
            }
        }
        Ok(order.vms.iter().all(|vm| progress.done.contains(vm)))
    }

    /// Asks the owner to empty a VM's runner.
    async fn ask_row(&mut self, row: &VmRow) -> Option<UpkeepView> {
        let runner = row.runner.clone()?;
        self.leaving.insert(row.name.clone(), runner.clone());
        let view = self.ask_leave(&runner, false).await;
        self.note_wait(&row.name, &runner, view);
        view
    }

    /// Logs why a VM's upkeep waits, when that changes.
    fn note_wait(&mut self, vm: &str, runner: &str, view: Option<UpkeepView>) {
        let Some(view) = view.filter(|view| *view != UpkeepView::Free) else {
            self.waits.remove(vm);
            return;
        };
        let before = self.waits.insert(vm.to_owned(), view);
        // How many tasks run changes with each look.
        if before.map(|before| discriminant(&before)) != Some(discriminant(&view)) {
            event!(
                Info,
                "upkeep_waits",
                vm = vm,
                runner = runner,
                pool = self.context.pool,
                view = format_args!("{view:?}")
            );
        }
    }

    async fn stay(&mut self, vm: &str) {
        if let Some(runner) = self.leaving.remove(vm) {
            // An owner that is gone keeps no runner.
            let _ = self.context.owner.send(VmRequest::Stay { runner }).await;
        }
    }

    /// Whether a VM that is up again has been through its upkeep: with a new
    /// life of its runner, or, where that can't tell, some time after the order.
    fn is_back(&self, order: &WaveOrder, row: &VmRow, before: &str) -> bool {
        let renewed = row.runner.as_deref().is_some_and(|now| now != before);
        let now = self.context.shared.clock.now();
        let ordered = self.went_down.get(&(order.wave, row.name.clone()));
        renewed || ordered.is_none_or(|at| *at + BACK_MS <= now)
    }

    /// Whether a VM has been missing from the list for long.
    fn is_gone(&mut self, vm: &str) -> bool {
        let now = self.context.shared.clock.now();
        let since = self.missing.entry(vm.to_owned()).or_insert(now);
        *since + GONE_MS <= now
    }

    /// Takes a VM down, if it may go; answers with the wave's record then.
    async fn take_down(
        &mut self,
        order: &WaveOrder,
        row: &VmRow,
        progress: WaveProgress,
        revision: StoreRevision,
    ) -> Result<(WaveProgress, StoreRevision), VmWorkError> {
        if self.is_blocked(&row.name) {
            return Ok((progress, revision));
        }
        let token = self.authorize(&row.name).await?;
        // The writes may have taken long; what runs there may have changed.
        if !matches!(self.ask_row(row).await, Some(UpkeepView::Free) | None) {
            return Ok((progress, revision));
        }
        self.check_owner()?;
        let vms = self.context.platform.vms();
        let done = vms
            .upkeep(&row.name, order.wave, &self.context.node, token)
            .await;
        event!(
            Info,
            "upkeep_ordered",
            wave = order.wave,
            vm = row.name,
            token = token,
            outcome = format_args!("{done:?}")
        );
        // An order that was done before leaves a later life as it is.
        let same_life = progress.down.get(&row.name) == row.runner.as_ref();
        if let Some(runner) = row.runner.clone() {
            let told = match &done {
                Ok(()) if same_life => Some(VmRequest::Down { runner }),
                Ok(()) | Err(VmError::NoAnswer(_)) => Some(VmRequest::Doubt { runner }),
                Err(_) => None,
            };
            if let Some(told) = told {
                // An owner that is gone knows no runner.
                let _ = self.context.owner.send(told).await;
            }
        }
        done?;
        let now = self.context.shared.clock.now();
        self.went_down.insert((order.wave, row.name.clone()), now);
        self.leaving.remove(&row.name);
        let mut next = progress;
        next.begun.insert(row.name.clone());
        self.write_wave(order, next, revision).await
    }

    async fn read_wave(
        &self,
        order: &WaveOrder,
    ) -> Result<(WaveProgress, StoreRevision), VmWorkError> {
        let key = self.context.keys.wave(order.wave);
        let found = self.context.platform.store().read(&key).await?;
        let Some(stored) = found else {
            return Ok((WaveProgress::default(), StoreRevision::default()));
        };
        Ok((serde_json::from_slice(&stored.value)?, stored.revision))
    }

    /// Writes the wave's record; answers with the record in force, which is
    /// another when someone else was first.
    async fn write_wave(
        &self,
        order: &WaveOrder,
        next: WaveProgress,
        expected: StoreRevision,
    ) -> Result<(WaveProgress, StoreRevision), VmWorkError> {
        let completed = order.vms.iter().all(|vm| next.done.contains(vm));
        let platform = &self.context.platform;
        let (status, told) = platform.codec().wave_status(order.wave, completed);
        let items = vec![
            SwapItem {
                key: self.context.keys.wave(order.wave),
                expected,
                value: Some(encode(&next)),
                lease: None,
            },
            SwapItem {
                key: status,
                expected: StoreRevision::ANY,
                value: Some(told),
                lease: None,
            },
        ];
        match platform.store().swap_all(items).await? {
            BatchOutcome::Written(revision) => {
                event!(
                    Info,
                    "wave_written",
                    wave = order.wave,
                    done = next.done.len(),
                    due = order.vms.len(),
                    down = next.down.len()
                );
                Ok((next, revision))
            }
            BatchOutcome::Conflict(_) => self.read_wave(order).await,
        }
    }
}
