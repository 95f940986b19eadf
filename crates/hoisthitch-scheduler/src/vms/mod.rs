//! The VMs of a pool: their upkeep in waves, and their moves between pools.
//!
//! One worker for each owned pool gives all orders about its VMs. Before each
//! of them it writes the pool's share under compare-and-swap; the revision of
//! that write is the order's fencing token. So tokens rise for each VM, whatever
//! pool it belongs to, and a deposed owner's worker finds its share changed.

mod moves;
mod share;

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
    UpkeepView,
    WantHistory,
    WantedVms, //
};
use hoisthitch_store::{
    StoreError,
    StoreRevision, //
};
use hoisthitch_telemetry::event;
use thiserror::Error;
use tokio::sync::{
    mpsc,
    oneshot,
    watch, //
};

use self::share::ShareRecord;
use crate::{
    fleet::FleetView,
    keys::JobKeys,
    platform::{
        Platform,
        VmError,
        VmRow, //
    },
    shared::NodeShared, //
};

/// Time between two looks at the pool's VMs: a fraction of the time that an
/// upkeep or a move takes.
const VM_TICK: Duration = Duration::from_millis(200);

/// Time after the owner last made sure that it is the owner in which it gives
/// orders about VMs, in milliseconds.
const DOUBT_MS: Millis = 1_200;

/// Moves that a pool makes in one look: one with many VMs to spare gives them
/// within some looks. The platform takes 64 a second of all, or more, and what it
/// refuses is ordered again.
const MOVE_LIMIT: usize = 40;

/// VMs of a pool that are emptied at once to be given away; emptying takes one to three
/// seconds, in which the limit of moves lets two hundred go. With forty, pools of two
/// hundred VMs gave 20 a second: 6 in 100 of what is owed there (10 plays,
/// docs/decisions.md).
pub(crate) const SPARE_LIMIT: usize = 200;

/// What the VM worker asks the owner.
#[derive(Debug)]
pub(crate) enum VmRequest {
    /// Empty the runner; the answer says how far that is, or nothing when the
    /// runner is not known.
    Leave {
        runner: String,
        /// Whether its tasks are to go on elsewhere where they can.
        vacate: bool,
        reply: oneshot::Sender<Option<UpkeepView>>,
    },
    /// The runner goes on.
    Stay { runner: String },
    /// The runner's VM went down.
    Down { runner: String },
    /// The runner's VM was told to go down, and there was no answer.
    Doubt { runner: String },
    /// What does the pool need, and which runner can it spare?
    Need { reply: oneshot::Sender<PoolNeed> },
}

/// What a pool needs.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolNeed {
    /// VMs wanted.
    pub(crate) want: WantedVms,
    /// VMs of its runners.
    pub(crate) vms: Vec<String>,
    /// Runners and VMs that can be spared, the first in front.
    pub(crate) spare: Vec<(String, String)>,
}

/// What a VM worker works with.
pub(crate) struct VmContext<P> {
    pub(crate) platform: P,
    pub(crate) shared: Arc<NodeShared>,
    pub(crate) keys: JobKeys,
    pub(crate) node: String,
    pub(crate) pool: String,
    pub(crate) epoch: u64,
    pub(crate) confirmed: Rc<Cell<Millis>>,
    pub(crate) fleet: watch::Receiver<Arc<FleetView>>,
    pub(crate) owner: mpsc::Sender<VmRequest>,
}

/// Why there is no going on for now.
#[derive(Debug, Error)]
pub(crate) enum VmWorkError {
    #[error("{0}")]
    Store(#[from] StoreError),
    #[error("{0}")]
    Vm(#[from] VmError),
    #[error("a record can't be read: {0}")]
    Record(#[from] serde_json::Error),
    #[error("whether this node still owns the pool is not known")]
    Doubt,
    #[error("another node owns the pool")]
    Deposed,
}

/// Looks after the VMs of a pool.
pub(crate) struct VmWorker<P: Platform> {
    pub(crate) context: VmContext<P>,
    /// Runners that are being emptied for a wave, by VM.
    pub(crate) leaving: BTreeMap<String, String>,
    /// Why VMs of waves wait, as last logged.
    pub(crate) waits: BTreeMap<String, UpkeepView>,
    /// VMs that went down on this worker's order, and when.
    pub(crate) went_down: BTreeMap<(u64, String), Millis>,
    /// VMs of waves that are missing from the list, and since when.
    pub(crate) missing: BTreeMap<String, Millis>,
    record: ShareRecord,
    revision: StoreRevision,
    /// What the pool wanted in the last second.
    wants: WantHistory,
    /// VMs that orders were given about, and when.
    ordered: BTreeMap<String, Millis>,
    /// VMs that an earlier owner may have given orders about, and until when
    /// none is given here.
    blocked: BTreeMap<String, Millis>,
    /// Whether the share was written under this owner.
    settled: bool,
    /// VMs sent away, and when.
    sent: BTreeMap<String, (String, Millis)>,
    /// VMs without a runner, as last listed, and since when.
    idle: BTreeMap<String, Millis>,
    /// Whether those VMs were listed before.
    listed: bool,
    /// Runners that are being emptied to be given away, by VM.
    giving: BTreeMap<String, String>,
}

/// Looks after the pool's VMs until the owner ends.
pub(crate) async fn run_vms<P: Platform>(context: VmContext<P>) {
    let mut completed = BTreeSet::new();
    let mut worker = VmWorker {
        context,
        leaving: BTreeMap::new(),
        waits: BTreeMap::new(),
        went_down: BTreeMap::new(),
        missing: BTreeMap::new(),
        record: ShareRecord::default(),
        revision: StoreRevision::default(),
        wants: WantHistory::default(),
        ordered: BTreeMap::new(),
        blocked: BTreeMap::new(),
        settled: false,
        sent: BTreeMap::new(),
        idle: BTreeMap::new(),
        listed: false,
        giving: BTreeMap::new(),
    };
    while !worker.context.owner.is_closed() {
        match worker.look(&mut completed).await {
            Ok(()) => {}
            Err(VmWorkError::Deposed) => return,
            Err(err) => event!(
                Warn,
                "vm_work_stalled",
                pool = worker.context.pool,
                error = err
            ),
        }
        tokio::time::sleep(VM_TICK).await;
    }
}

impl<P: Platform> VmWorker<P> {
    async fn look(&mut self, completed: &mut BTreeSet<u64>) -> Result<(), VmWorkError> {
        if !self.settled {
            self.settle_in().await?;
        }
        self.balance().await?;
        let orders: Vec<_> = {
            let fleet = self.context.fleet.borrow();
            let open = fleet.waves.values();
            let open = open.filter(|order| !completed.contains(&order.wave));
            open.cloned().collect()
        };
        for order in orders {
            if self.advance(&order).await? {
                completed.insert(order.wave);
            }
        }
        Ok(())
    }

    async fn ask_need(&self) -> Option<PoolNeed> {
        let (reply, answer) = oneshot::channel();
        let request = VmRequest::Need { reply };
        self.context.owner.send(request).await.ok()?;
        answer.await.ok()
    }

    /// Asks the owner to empty a runner.
    pub(crate) async fn ask_leave(&self, runner: &str, vacate: bool) -> Option<UpkeepView> {
        let (reply, answer) = oneshot::channel();
        let request = VmRequest::Leave {
            runner: runner.to_owned(),
            vacate,
            reply,
        };
        if self.context.owner.send(request).await.is_err() {
            return Some(UpkeepView::Held);
        }
        answer.await.unwrap_or(Some(UpkeepView::Held))
    }

    /// Makes sure that this node owned the pool a moment ago.
    pub(crate) fn check_owner(&self) -> Result<(), VmWorkError> {
        let now = self.context.shared.clock.now();
        if now > self.context.confirmed.get() + DOUBT_MS {
            return Err(VmWorkError::Doubt);
        }
        Ok(())
    }

    /// A VM's row in the platform's list.
    pub(crate) fn find<'a>(rows: &'a [VmRow], vm: &str) -> Option<&'a VmRow> {
        rows.iter().find(|row| row.name == vm)
    }
}
