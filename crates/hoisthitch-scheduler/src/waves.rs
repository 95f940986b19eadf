//! Takes the VMs of a pool through the waves that operators ask for.
//!
//! A wave's record in the store counts the VMs that are down, whichever pool
//! they belong to. An owner writes its VM into it before it takes the VM down,
//! and out of it once the VM is back with a new life of its runner.

use std::{
    cell::Cell,
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use hoisthitch_jobs::{
    Millis,
    UpkeepView, //
};
use hoisthitch_store::{
    BatchOutcome,
    StoreClient,
    StoreError,
    StoreRevision,
    SwapItem, //
};
use hoisthitch_telemetry::event;
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::sync::{
    mpsc,
    oneshot,
    watch, //
};

use crate::{
    journal::encode,
    keys::JobKeys,
    node::FleetView,
    platform::{
        FleetCodec,
        Platform,
        VmCondition,
        VmControl,
        VmError,
        VmRow,
        WaveOrder, //
    },
    shared::NodeShared, //
};

/// Time between two looks at a wave that is under way: a fraction of the time
/// that an upkeep takes.
const WAVE_TICK: Duration = Duration::from_millis(350);

/// Time that a new owner waits before it gives orders about VMs, in
/// milliseconds: an earlier one may send some until its own doubt stops it
/// ([`DOUBT_MS`]), and they may be under way for the limit of a call. Nor may
/// two owners take turns within the platform's three seconds.
const SETTLE_MS: Millis = 3_200;

/// Time after the owner last made sure that it is the owner in which it gives
/// orders about VMs, in milliseconds.
const DOUBT_MS: Millis = 1_200;

/// VMs of a pool that are emptied at once. More would cost a pool of about ten
/// VMs too much of its room.
const EMPTY_AT_ONCE: usize = 1;

/// What the wave worker asks the owner.
#[derive(Debug)]
pub(crate) enum WaveRequest {
    /// Empty the runner; the answer says how far that is, or nothing when the
    /// runner is not known.
    Leave {
        runner: String,
        reply: oneshot::Sender<Option<UpkeepView>>,
    },
    /// The runner goes on.
    Stay { runner: String },
    /// The runner's VM went down.
    Down { runner: String },
}

/// How far a wave is.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct WaveProgress {
    /// VMs that are down or about to be, with the life of their runner before.
    down: BTreeMap<String, String>,
    /// VMs that had their upkeep.
    done: BTreeSet<String>,
}

struct WaveWorker<P: Platform> {
    platform: P,
    keys: JobKeys,
    node: String,
    pool: String,
    epoch: u64,
    owner: mpsc::Sender<WaveRequest>,
    shared: Arc<NodeShared>,
    /// When the owner last made sure that it is the owner.
    confirmed: Rc<Cell<Millis>>,
    /// Runners that are being emptied, by VM.
    leaving: BTreeMap<String, String>,
    /// VMs that went down on this worker's order.
    went_down: BTreeSet<(u64, String)>,
}

/// What a wave worker works with.
pub(crate) struct WaveContext<P> {
    pub(crate) platform: P,
    pub(crate) shared: Arc<NodeShared>,
    pub(crate) keys: JobKeys,
    pub(crate) node: String,
    pub(crate) pool: String,
    pub(crate) epoch: u64,
    pub(crate) confirmed: Rc<Cell<Millis>>,
    pub(crate) fleet: watch::Receiver<Arc<FleetView>>,
    pub(crate) owner: mpsc::Sender<WaveRequest>,
}

/// Takes the pool's VMs through all waves until the owner ends.
pub(crate) async fn run_waves<P: Platform>(context: WaveContext<P>) {
    let mut fleet = context.fleet;
    let mut worker = WaveWorker {
        platform: context.platform,
        keys: context.keys,
        node: context.node,
        pool: context.pool,
        epoch: context.epoch,
        owner: context.owner,
        shared: context.shared,
        confirmed: context.confirmed,
        leaving: BTreeMap::new(),
        went_down: BTreeSet::new(),
    };
    tokio::time::sleep(Duration::from_millis(SETTLE_MS)).await;
    let mut completed = BTreeSet::new();
    loop {
        let orders: Vec<WaveOrder> = fleet
            .borrow_and_update()
            .waves
            .values()
            .filter(|order| !completed.contains(&order.wave))
            .cloned()
            .collect();
        if orders.is_empty() {
            if fleet.changed().await.is_err() {
                return;
            }
            continue;
        }
        for order in orders {
            match worker.advance(&order).await {
                Ok(true) => drop(completed.insert(order.wave)),
                Ok(false) => {}
                Err(err) => event!(Warn, "wave_stalled", wave = order.wave, error = err),
            }
        }
        tokio::time::sleep(WAVE_TICK).await;
    }
}

/// Why a wave does not go on for now.
#[derive(Debug, thiserror::Error)]
enum WaveError {
    #[error("{0}")]
    Store(#[from] StoreError),
    #[error("{0}")]
    Vm(#[from] VmError),
    #[error("the wave's record can't be read: {0}")]
    Record(#[from] serde_json::Error),
    #[error("whether this node still owns the pool is not known")]
    Doubt,
}

impl<P: Platform> WaveWorker<P> {
    /// Takes a wave further; answers whether it is completed.
    async fn advance(&mut self, order: &WaveOrder) -> Result<bool, WaveError> {
        let (mut progress, mut revision) = self.read(order).await?;
        if order.vms.iter().all(|vm| progress.done.contains(vm)) {
            return Ok(true);
        }
        let rows = self.platform.vms().list().await?;
        let own = |vm: &&String| {
            let row = rows.iter().find(|row| row.name == **vm);
            row.is_none_or(|row| row.pool == self.pool)
        };
        let due: Vec<String> = order.vms.iter().filter(own).cloned().collect();
        for vm in &due {
            let row = rows.iter().find(|row| row.name == *vm);
            if progress.done.contains(vm) {
                continue;
            }
            let mut next = progress.clone();
            match (row, progress.down.get(vm)) {
                (None, _) => {
                    // The VM is no more; nothing is left to be done for it.
                    next.down.remove(vm);
                    next.done.insert(vm.clone());
                }
                (Some(row), Some(before)) if self.is_back(order, row, before) => {
                    next.down.remove(vm);
                    next.done.insert(vm.clone());
                }
                (Some(row), Some(_)) if row.condition == VmCondition::Up => {
                    self.take_down(order, row).await?;
                    continue;
                }
                _ => continue,
            }
            event!(Info, "upkeep_done", wave = order.wave, vm = vm);
            (progress, revision) = self.write(order, next, revision).await?;
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
    ) -> Result<bool, WaveError> {
        let waiting: Vec<&VmRow> = due
            .iter()
            .filter(|vm| !progress.done.contains(*vm) && !progress.down.contains_key(*vm))
            .filter_map(|vm| rows.iter().find(|row| row.name == *vm))
            .filter(|row| row.condition == VmCondition::Up)
            .collect();
        let mut emptied = 0;
        for row in waiting {
            if emptied >= EMPTY_AT_ONCE {
                break;
            }
            let view = self.ask(row).await;
            if view == Some(UpkeepView::Held) {
                self.stay(&row.name).await;
                continue;
            }
            emptied += 1;
            let free = matches!(view, Some(UpkeepView::Free) | None);
            if !free || progress.down.len() >= order.at_once.max(1) {
                continue;
            }
            let mut next = progress.clone();
            let before = row.runner.clone().unwrap_or_default();
            next.down.insert(row.name.clone(), before);
            (progress, revision) = self.write(order, next, revision).await?;
            if progress.down.contains_key(&row.name) {
                self.take_down(order, row).await?;
            }
        }
        Ok(order.vms.iter().all(|vm| progress.done.contains(vm)))
    }

    /// Asks the owner to empty a VM's runner.
    async fn ask(&mut self, row: &VmRow) -> Option<UpkeepView> {
        let runner = row.runner.clone()?;
        self.leaving.insert(row.name.clone(), runner.clone());
        let (reply, answer) = oneshot::channel();
        let request = WaveRequest::Leave { runner, reply };
        if self.owner.send(request).await.is_err() {
            return Some(UpkeepView::Held);
        }
        answer.await.unwrap_or(Some(UpkeepView::Held))
    }

    async fn stay(&mut self, vm: &str) {
        if let Some(runner) = self.leaving.remove(vm) {
            // An owner that is gone keeps no runner.
            let _ = self.owner.send(WaveRequest::Stay { runner }).await;
        }
    }

    /// Whether a VM that went down is up again: with a new life of its runner,
    /// or, where it runs none, after it went down on this worker's order.
    fn is_back(&self, order: &WaveOrder, row: &VmRow, before: &str) -> bool {
        let renewed = row.runner.as_deref().is_some_and(|now| now != before);
        let went_down = || self.went_down.contains(&(order.wave, row.name.clone()));
        let runs_none = before.is_empty() && row.runner.is_none();
        row.condition == VmCondition::Up && (renewed || (runs_none && went_down()))
    }

    async fn take_down(&mut self, order: &WaveOrder, row: &VmRow) -> Result<(), WaveError> {
        if self.shared.clock.now() > self.confirmed.get() + DOUBT_MS {
            return Err(WaveError::Doubt);
        }
        // The record may have taken long to write; what runs there may have
        // changed since.
        if !matches!(self.ask(row).await, Some(UpkeepView::Free) | None) {
            return Ok(());
        }
        let vms = self.platform.vms();
        let done = vms
            .upkeep(&row.name, order.wave, &self.node, self.epoch)
            .await;
        event!(
            Info,
            "upkeep_ordered",
            wave = order.wave,
            vm = row.name,
            epoch = self.epoch,
            outcome = format_args!("{done:?}")
        );
        done?;
        self.went_down.insert((order.wave, row.name.clone()));
        self.leaving.remove(&row.name);
        if let Some(runner) = row.runner.clone() {
            // An owner that is gone knows no runner.
            let _ = self.owner.send(WaveRequest::Down { runner }).await;
        }
        Ok(())
    }

    async fn read(&self, order: &WaveOrder) -> Result<(WaveProgress, StoreRevision), WaveError> {
        let found = self
            .platform
            .store()
            .read(&self.keys.wave(order.wave))
            .await?;
        let Some(stored) = found else {
            return Ok((WaveProgress::default(), StoreRevision::default()));
        };
        Ok((serde_json::from_slice(&stored.value)?, stored.revision))
    }

    /// Writes the wave's record; answers with the record in force, which is
    /// another when someone else was first.
    async fn write(
        &self,
        order: &WaveOrder,
        next: WaveProgress,
        expected: StoreRevision,
    ) -> Result<(WaveProgress, StoreRevision), WaveError> {
        let completed = order.vms.iter().all(|vm| next.done.contains(vm));
        let (status, told) = self.platform.codec().wave_status(order.wave, completed);
        let items = vec![
            SwapItem {
                key: self.keys.wave(order.wave),
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
        match self.platform.store().swap_all(items).await? {
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
            BatchOutcome::Conflict(_) => self.read(order).await,
        }
    }
}
