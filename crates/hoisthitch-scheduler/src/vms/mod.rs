//! The VMs of a pool: their upkeep in waves, and their moves between pools.
//!
//! Two loops for each owned pool give all orders about its VMs: one moves VMs between
//! pools, the other takes them through waves. Neither waits for the other's calls, for
//! a wave of hundreds of VMs takes many of them and the load of a pool changes within a
//! second. What both have to agree on is in the [`ledger`].

mod ledger;
mod list;
mod moves;
mod share;
mod wave_state;
mod waves;

use std::{
    cell::Cell,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use hoisthitch_jobs::{
    EvacuationStatus,
    Millis,
    RunnerInstance,
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
    moves::MoveWorker,
    waves::WaveWorker, //
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

/// Time between the begins of two looks at the pool's VMs: a fraction of the time that
/// an upkeep or a move takes.
const VM_TICK: Duration = Duration::from_millis(200);

/// Least pause between two looks, so that a slow platform is not asked without end.
const VM_PAUSE: Duration = Duration::from_millis(50);

/// Time of a look from which on a line tells of it: five times the usual tick, and as
/// long as a turn's begin may stay unseen.
const SLOW_LOOK: Duration = Duration::from_secs(1);

/// Time after the owner last made sure that it is the owner in which it gives
/// orders about VMs, in milliseconds.
const DOUBT_MS: Millis = 1_200;

/// VMs of a pool that are emptied at once to be given away; emptying takes one to three
/// seconds, in which the limit of moves lets two hundred go. With forty, pools of two
/// hundred VMs gave 20 a second: 6 in 100 of what is owed there (10 plays,
/// docs/decisions.md).
pub(crate) const SPARE_LIMIT: usize = 200;

/// What the VM worker asks the owner.
#[derive(Debug)]
pub(crate) enum VmRequest {
    /// Empty the runners; the answer says how far each is, or nothing when the
    /// runner is not known. Those that are free may go down together.
    Leave {
        runners: Vec<String>,
        /// Whether their tasks are to go on elsewhere where they can.
        vacate: bool,
        reply: oneshot::Sender<Vec<Option<EvacuationStatus>>>,
    },
    /// The runners go on.
    Stay { runners: Vec<String> },
    /// A VM went down with that life of its runner.
    Down { instance: RunnerInstance },
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
    pub(crate) spare: Vec<(RunnerInstance, String)>,
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

/// One of the loops.
trait VmLoop {
    /// Name in logs and metrics.
    const NAME: &'static str;

    /// Looks once, and orders what is due.
    async fn look(&mut self) -> Result<(), VmWorkError>;
}

/// Looks after the pool's VMs until the owner ends.
pub(crate) async fn run_vms<P: Platform>(context: VmContext<P>) {
    let ledger = Rc::new(VmLedger::new(context));
    let list = Rc::new(VmList::default());
    let moves = MoveWorker::new(ledger.clone(), list.clone());
    let waves = WaveWorker::new(ledger.clone(), list);
    // The first that finds another owner ends both.
    tokio::select! {
        () = run_loop(&ledger, moves) => {}
        () = run_loop(&ledger, waves) => {}
    }
}

async fn run_loop<P: Platform, L: VmLoop>(ledger: &VmLedger<P>, mut worker: L) {
    let context = &ledger.context;
    while !context.owner.is_closed() {
        let begun = Instant::now();
        match worker.look().await {
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
        if took >= SLOW_LOOK {
            event!(
                Warn,
                "look_slow",
                pool = context.pool,
                work = L::NAME,
                took_ms = took.as_millis()
            );
        }
        sleep_until((begun + VM_TICK).max(Instant::now() + VM_PAUSE)).await;
    }
}

impl<P: Platform> VmLedger<P> {
    /// Asks the owner to empty runners; answers for each.
    async fn ask_leave(&self, runners: Vec<String>, vacate: bool) -> Vec<Option<EvacuationStatus>> {
        let held = vec![Some(EvacuationStatus::Held); runners.len()];
        if runners.is_empty() {
            return held;
        }
        let (reply, answer) = oneshot::channel();
        let request = VmRequest::Leave {
            runners,
            vacate,
            reply,
        };
        if self.context.owner.send(request).await.is_err() {
            return held;
        }
        answer.await.unwrap_or(held)
    }

    /// Tells the owner something.
    async fn tell(&self, request: VmRequest) {
        // An owner that is gone needs no word.
        let _ = self.context.owner.send(request).await;
    }

    /// Lets runners go on that were to be emptied.
    async fn let_stay(&self, runners: Vec<String>) {
        if !runners.is_empty() {
            self.tell(VmRequest::Stay { runners }).await;
        }
    }

    /// Makes sure that this node owned the pool a moment ago.
    fn check_owner(&self) -> Result<(), VmWorkError> {
        if self.now() > self.context.confirmed.get() + DOUBT_MS {
            return Err(VmWorkError::Doubt);
        }
        Ok(())
    }
}
