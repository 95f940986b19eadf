//! The VMs of a pool: their maintenance in waves, and their moves between pools.
//!
//! Two loops for each owned pool give all orders about its VMs: one moves VMs between pools,
//! the other takes them through waves. Neither waits for the calls of the other, since a wave
//! of hundreds of VMs needs many calls, and the load of a pool changes within a second. The
//! [`ledger`] holds what both have to agree on: which VM is claimed by which loop, and the
//! fencing token of each order.
//!
//! The loops know nothing of tasks. They ask the pool's owner by [`VmRequest`]s to evacuate
//! runners and what the pool needs.

mod balance;
mod ledger;
mod list;
mod moves;
mod wave_state;
mod waves;

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
    EvacuationStage,
    EvacuationStatus,
    Millis,
    RunnerInstance,
    SpareVm,
    WantedVms, //
};
use hoisthitch_store::StoreError;
use hoisthitch_telemetry::event;
use thiserror::Error;
use tokio::{
    sync::{
        mpsc,
        oneshot,
        watch, //
    },
    time::{
        Instant,
        sleep_until, //
    }, //
};

use self::{
    ledger::VmLedger,
    list::VmList,
    moves::MoveLoop,
    waves::WaveLoop, //
};
use crate::{
    fleet::FleetView,
    keys::JobKeys,
    platform::{
        Platform,
        VmError, //
    },
    shared::NodeShared, //
};

/// Interval between the starts of two passes: a fraction of the time that a VM's maintenance
/// or move takes.
const PASS_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum pause between two passes, so that a slow platform is not called without a break.
const MIN_PAUSE: Duration = Duration::from_millis(50);

/// Duration from which on a pass is logged as slow: five times the usual interval, and as long as
/// the start of a demand peak may go unnoticed.
const SLOW_PASS: Duration = Duration::from_secs(1);

/// Time after the last confirmation of ownership for which orders about VMs may be given, in
/// milliseconds.
const OWNERSHIP_VALID_MS: Millis = 1_200;

/// Maximum number of VMs of a pool that are evacuated at once to be moved to other pools. An
/// evacuation takes one to three seconds, in which the limit of moves admits two hundred VMs.
/// With forty, pools of two hundred VMs released 20 a second, which cost 6 percent of the
/// attainable value there (10 simulated days, docs/decisions.md).
pub(crate) const MAX_EVACUATING: usize = 200;

/// What a VM loop asks the owner to evacuate runners for; the later, the further it goes.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum EvacuationPurpose {
    /// Maintenance for which there is no room yet.
    PrepareAhead,
    /// Maintenance for which there is room, and that is not ordered before the loop asks again.
    Prepare,
    /// Maintenance that is ordered now for all that are free.
    Maintain,
    /// Moves that are ordered now for all that are free; tasks that can resume elsewhere are
    /// evicted.
    Move,
}

impl EvacuationPurpose {
    /// How far the evacuation goes.
    pub(crate) fn stage(self) -> EvacuationStage {
        match self {
            Self::PrepareAhead => EvacuationStage::Ahead,
            Self::Prepare | Self::Maintain | Self::Move => EvacuationStage::Emptying,
        }
    }

    /// Whether the VMs of the runners that are free are ordered down without another request.
    pub(crate) fn orders_follow(self) -> bool {
        matches!(self, Self::Maintain | Self::Move)
    }
}

/// Requests of the VM loops to the pool's owner.
#[derive(Debug)]
pub(crate) enum VmRequest {
    /// Evacuate the runners. The reply has the status of each, or none if the runner is not
    /// known; all VMs whose runners are free may go down together.
    Evacuate {
        runners: Vec<String>,
        purpose: EvacuationPurpose,
        reply: oneshot::Sender<Vec<Option<EvacuationStatus>>>,
    },
    /// Cancel the evacuation of the runners.
    CancelEvacuation { runners: Vec<String> },
    /// A VM went down with that instance of its runner.
    VmDown { instance: RunnerInstance },
    /// The runner's VM was ordered to go down, and there was no response.
    VmDownUnconfirmed { runner: String },
    /// This number of VMs of other pools is on its way to the pool.
    Coming { vms: u32 },
    /// Ask which data halls count as lost.
    LostHalls {
        reply: oneshot::Sender<BTreeSet<String>>,
    },
    /// Ask what the pool needs, and which runners it can spare.
    Demand {
        reply: oneshot::Sender<DemandAnswer>,
    },
}

/// What a pool needs, has and can spare.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandAnswer {
    /// Number of VMs that it needs.
    pub(crate) want: WantedVms,
    /// VMs of its runners.
    pub(crate) vms: Vec<String>,
    /// VMs that it can spare, the best to give up first.
    pub(crate) spare: Vec<SpareVm>,
    /// Number of its VMs by data hall; empty where halls are not told apart.
    pub(crate) halls: BTreeMap<String, u32>,
}

/// Everything that the VM loops are given.
pub(crate) struct VmContext<P> {
    pub(crate) platform: P,
    pub(crate) shared: Arc<NodeShared>,
    pub(crate) keys: JobKeys,
    pub(crate) node: String,
    pub(crate) pool: String,
    pub(crate) epoch: u64,
    pub(crate) confirmed_at: Rc<Cell<Millis>>,
    pub(crate) fleet: watch::Receiver<Arc<FleetView>>,
    pub(crate) owner: mpsc::Sender<VmRequest>,
}

/// Why a pass was cut short.
#[derive(Debug, Error)]
pub(crate) enum VmWorkError {
    #[error("{0}")]
    Store(#[from] StoreError),
    #[error("{0}")]
    Vm(#[from] VmError),
    #[error("a record can't be read: {0}")]
    Record(#[from] serde_json::Error),
    #[error("whether this node still owns the pool is not known")]
    OwnershipUnconfirmed,
    #[error("another node owns the pool")]
    Deposed,
}

/// One of the VM loops.
trait VmLoop {
    /// Name in logs and metrics.
    const NAME: &'static str;

    /// Makes one pass over the pool's VMs, and gives the orders that are due.
    async fn run_pass(&mut self) -> Result<(), VmWorkError>;
}

/// Runs the VM loops of a pool until its owner ends or another node owns the pool.
pub(crate) async fn run_vm_loops<P: Platform>(context: VmContext<P>) {
    let ledger = Rc::new(VmLedger::new(context));
    let list = Rc::new(VmList::default());
    let moves = MoveLoop::new(ledger.clone(), list.clone());
    let waves = WaveLoop::new(ledger.clone(), list);
    // The first loop that finds another owner ends both.
    tokio::select! {
        biased;
        () = run_loop(&ledger, moves) => {}
        () = run_loop(&ledger, waves) => {}
    }
}

/// Runs passes of one loop until the owner ends or another node owns the pool.
async fn run_loop<P: Platform, L: VmLoop>(ledger: &VmLedger<P>, mut worker: L) {
    let context = &ledger.context;
    while !context.owner.is_closed() {
        let begun = Instant::now();
        match worker.run_pass().await {
            Ok(()) => {}
            Err(VmWorkError::Deposed) => return,
            Err(err) => event!(
                Warn,
                "vm_work_stalled",
                pool = context.pool,
                work = L::NAME,
                error = err
            ),
        }
        let took = begun.elapsed();
        let loop_seconds = &context.shared.metrics.loop_seconds;
        loop_seconds
            .with_label_values(&[L::NAME])
            .observe(took.as_secs_f64());
        if took >= SLOW_PASS {
            event!(
                Warn,
                "look_slow",
                pool = context.pool,
                work = L::NAME,
                took_ms = took.as_millis()
            );
        }
        sleep_until((begun + PASS_INTERVAL).max(Instant::now() + MIN_PAUSE)).await;
    }
}

impl<P: Platform> VmLedger<P> {
    /// Asks the owner to evacuate runners; returns the status of each, all held if the owner
    /// has ended.
    async fn request_evacuation(
        &self,
        runners: Vec<String>,
        purpose: EvacuationPurpose,
    ) -> Vec<Option<EvacuationStatus>> {
        let held = vec![Some(EvacuationStatus::Held); runners.len()];
        if runners.is_empty() {
            return held;
        }
        let (reply, answer) = oneshot::channel();
        let request = VmRequest::Evacuate {
            runners,
            purpose,
            reply,
        };
        if self.context.owner.send(request).await.is_err() {
            return held;
        }
        answer.await.unwrap_or(held)
    }

    /// Sends a request without a reply to the owner.
    async fn notify_owner(&self, request: VmRequest) {
        // The send fails only if the owner has ended.
        let _ = self.context.owner.send(request).await;
    }

    /// Cancels the evacuation of runners.
    async fn cancel_evacuation(&self, runners: Vec<String>) {
        if !runners.is_empty() {
            self.notify_owner(VmRequest::CancelEvacuation { runners })
                .await;
        }
    }

    /// Checks that this node's ownership was confirmed a moment ago.
    fn check_ownership(&self) -> Result<(), VmWorkError> {
        if self.now() > self.context.confirmed_at.get() + OWNERSHIP_VALID_MS {
            return Err(VmWorkError::OwnershipUnconfirmed);
        }
        Ok(())
    }
}
