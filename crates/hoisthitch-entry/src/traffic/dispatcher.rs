//! Dispatcher of one pool: its request scheduler, shared by the traffic threads.
//!
//! A request waits here for a slot on a runner, at most until its deadline. A slot
//! and a part of a team's quota are released when their permits are dropped.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError,
        atomic::{
            AtomicU32,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use hoisthitch_core::{
    PaidPriority,
    PoolRow,
    PoolScheduler,
    RefusalReason,
    RunnerKey,
    RunnerSlots,
    TeamKey,
    WorkAdmission,
    WorkGrant,
    WorkRefusal,
    WorkResult,
    WorkTicket,
    WorkUnit, //
};
use tokio::{
    sync::oneshot,
    time::Instant, //
};

/// Result for a waiting request.
#[derive(Debug)]
pub enum WorkNotice {
    /// It was granted a slot on this runner.
    Granted(RunnerKey),
    /// It was refused.
    Refused(WorkRefusal),
}

/// Sender in the queue that wakes a waiting request.
pub type Waiter = oneshot::Sender<WorkNotice>;

/// Dispatcher of one pool.
pub struct PoolDispatcher {
    name: String,
    scheduler: Mutex<PoolScheduler<Waiter>>,
    /// Highest demand in slots since it was last taken.
    peak_demand: AtomicU32,
}

/// Parameters of a request for a slot.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequest {
    /// Priority that the request is served at.
    pub priority: PaidPriority,
    /// Team that pays for it.
    pub team: TeamKey,
    /// Weight of the team.
    pub weight: u32,
    /// Time after which the request must not be started.
    pub deadline: Instant,
}

/// A slot on a runner; released when dropped.
pub struct SlotPermit {
    dispatcher: Arc<PoolDispatcher>,
    runner: RunnerKey,
    /// VM that the runner is on.
    pub vm: Arc<str>,
    /// Address of the runner.
    pub address: SocketAddr,
    priority: PaidPriority,
    started: Instant,
    healthy: Option<bool>,
    /// Whether the slot is counted by the scheduler; false when it was bypassed.
    counted: bool,
}

/// A request's part of its team's in-flight quota; released when dropped.
pub struct TeamPermit {
    dispatcher: Arc<PoolDispatcher>,
    team: TeamKey,
}

impl PoolDispatcher {
    /// Creates the dispatcher without runners.
    pub fn new(row: PoolRow) -> Self {
        let name = row.name.clone();
        let now = Instant::now().into_std();
        Self {
            name,
            scheduler: Mutex::new(PoolScheduler::new(row, now)),
            peak_demand: AtomicU32::new(0),
        }
    }

    /// Name of the pool.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Changes the scheduler, then grants free slots to waiting requests.
    pub fn update(self: &Arc<Self>, change: impl FnOnce(&mut PoolScheduler<Waiter>)) {
        let mut scheduler = self.lock();
        change(&mut scheduler);
        grant_waiting(&mut scheduler);
    }

    /// Reads from the scheduler.
    pub fn inspect<A>(&self, read: impl FnOnce(&PoolScheduler<Waiter>) -> A) -> A {
        read(&self.lock())
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Fails if the request is refused on arrival, if another request evicts it
    /// from the queue, or if no slot is granted by the deadline.
    pub async fn acquire(
        self: &Arc<Self>,
        request: SlotRequest,
    ) -> Result<(SlotPermit, TeamPermit), WorkRefusal> {
        let (sender, receiver) = oneshot::channel();
        let unit = WorkUnit {
            item: sender,
            priority: request.priority,
            team: request.team,
            weight: request.weight,
            deadline: request.deadline.into_std(),
        };
        let admission = self.admit(unit)?;
        let team_permit = TeamPermit {
            dispatcher: self.clone(),
            team: request.team,
        };
        let runner = match admission {
            WorkAdmission::Granted(runner) => runner,
            WorkAdmission::Queued { ticket, .. } => {
                let mut place = QueuePlace {
                    dispatcher: self,
                    request,
                    ticket,
                    receiver,
                    settled: false,
                };
                place.wait().await?
            }
        };
        Ok((self.permit(runner, request.priority), team_permit))
    }

    /// Selects the runners in turn, without limits, queue or counts, as a plain
    /// proxy would do. Used to measure the cost of scheduling.
    pub fn bypass(self: &Arc<Self>, request: SlotRequest) -> Option<(SlotPermit, TeamPermit)> {
        let turn = self.peak_demand.fetch_add(1, Ordering::Relaxed) as usize;
        let runner = self.inspect(|scheduler| {
            let keys: Vec<RunnerKey> = scheduler.ledger().keys().collect();
            (!keys.is_empty()).then(|| keys[turn % keys.len()])
        })?;
        let mut permit = self.permit(runner, request.priority);
        permit.counted = false;
        let team_permit = TeamPermit {
            dispatcher: self.clone(),
            team: request.team,
        };
        Some((permit, team_permit))
    }

    /// Takes a slot on another runner, after the attempt on `failed` got no
    /// response.
    ///
    /// This uses retry budget only if the request was sent.
    pub fn acquire_other(
        self: &Arc<Self>,
        failed: &SlotPermit,
        was_sent: bool,
    ) -> Option<SlotPermit> {
        let now = Instant::now().into_std();
        let priority = failed.priority;
        let mut scheduler = self.lock();
        let runner = if was_sent {
            scheduler.retry(priority, failed.runner, now)
        } else {
            scheduler.reassign(priority, failed.runner, now)
        }?;
        drop(scheduler);
        Some(self.permit(runner, priority))
    }

    /// Highest demand since the last call, in slots: requests in flight and
    /// waiting.
    pub fn take_peak_demand(&self) -> u32 {
        let now = self.inspect(demand);
        self.peak_demand.swap(now, Ordering::Relaxed).max(now)
    }

    /// Number of requests that this entry has in flight at a VM.
    pub fn in_flight_at(&self, vm: &str) -> u32 {
        let count = |runner: &RunnerSlots| u32::from(*runner.vm == *vm) * runner.in_flight;
        self.inspect(|scheduler| scheduler.ledger().iter().map(count).sum())
    }

    /// Refuses all waiting requests, since the entry stops.
    pub fn refuse_all(&self, refusal: WorkRefusal) {
        for unit in self.lock().drain_queue() {
            // Sending fails if the request was cancelled; then nobody waits for it.
            let _ = unit.item.send(WorkNotice::Refused(refusal));
        }
    }

    fn admit(&self, unit: WorkUnit<Waiter>) -> Result<WorkAdmission<Waiter>, WorkRefusal> {
        let now = Instant::now().into_std();
        let mut scheduler = self.lock();
        let mut admission = scheduler.admit(unit, now)?;
        self.peak_demand
            .fetch_max(demand(&scheduler), Ordering::Relaxed);
        if let WorkAdmission::Queued { evicted, .. } = &mut admission
            && let Some(waiter) = evicted.take()
        {
            let refusal = WorkRefusal {
                reason: RefusalReason::QueueFull,
                retry_after: scheduler.expected_wait(PaidPriority::Background),
            };
            let _ = waiter.send(WorkNotice::Refused(refusal));
        }
        Ok(admission)
    }

    fn permit(self: &Arc<Self>, runner: RunnerKey, priority: PaidPriority) -> SlotPermit {
        let (vm, address) = self.inspect(|scheduler| match scheduler.ledger().get(runner) {
            Some(slots) => (slots.vm.clone(), slots.address),
            None => (Arc::from(""), SocketAddr::from(([127, 0, 0, 1], 0))),
        });
        SlotPermit {
            dispatcher: self.clone(),
            runner,
            vm,
            address,
            priority,
            started: Instant::now(),
            healthy: None,
            counted: true,
        }
    }

    fn finish(&self, result: WorkResult) {
        let now = Instant::now().into_std();
        let mut scheduler = self.lock();
        scheduler.finish(result, now);
        grant_waiting(&mut scheduler);
    }

    fn lock(&self) -> MutexGuard<'_, PoolScheduler<Waiter>> {
        self.scheduler
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Demand in slots: requests in flight and waiting.
fn demand(scheduler: &PoolScheduler<Waiter>) -> u32 {
    let queued = u32::try_from(scheduler.queue().len()).unwrap_or(u32::MAX);
    scheduler.ledger().in_flight().saturating_add(queued)
}

/// Grants free slots to waiting requests.
fn grant_waiting(scheduler: &mut PoolScheduler<Waiter>) {
    let now = Instant::now().into_std();
    while let Some(grant) = scheduler.grant_next(now) {
        match grant {
            WorkGrant::Granted(unit, runner) => {
                let priority = unit.priority;
                if unit.item.send(WorkNotice::Granted(runner)).is_err() {
                    scheduler.finish(unused_result(runner, priority), now);
                }
            }
            WorkGrant::Refused(unit, refusal) => {
                // Sending fails if the request was cancelled; then nobody waits for it.
                let _ = unit.item.send(WorkNotice::Refused(refusal));
            }
        }
    }
}

/// Result to report for a slot that was granted and not used.
fn unused_result(runner: RunnerKey, priority: PaidPriority) -> WorkResult {
    WorkResult {
        runner,
        priority,
        healthy: None,
        service: Duration::ZERO,
    }
}

/// A request's place in the queue; cancelled when dropped.
struct QueuePlace<'a> {
    dispatcher: &'a Arc<PoolDispatcher>,
    request: SlotRequest,
    ticket: WorkTicket,
    receiver: oneshot::Receiver<WorkNotice>,
    settled: bool,
}

impl QueuePlace<'_> {
    async fn wait(&mut self) -> Result<RunnerKey, WorkRefusal> {
        let notice = tokio::time::timeout_at(self.request.deadline, &mut self.receiver).await;
        match notice {
            Ok(Ok(WorkNotice::Granted(runner))) => {
                self.settled = true;
                Ok(runner)
            }
            Ok(Ok(WorkNotice::Refused(refusal))) => {
                self.settled = true;
                Err(refusal)
            }
            Ok(Err(_)) | Err(_) => Err(WorkRefusal {
                reason: RefusalReason::Deadline,
                retry_after: self.expected_wait(),
            }),
        }
    }

    fn expected_wait(&self) -> Duration {
        let priority = self.request.priority;
        self.dispatcher
            .inspect(|scheduler| scheduler.expected_wait(priority))
    }
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        let request = self.request;
        let deadline = request.deadline.into_std();
        self.dispatcher
            .lock()
            .cancel(self.ticket, request.priority, request.team, deadline);
        // The slot may have been granted just before the cancellation.
        if let Ok(WorkNotice::Granted(runner)) = self.receiver.try_recv() {
            self.dispatcher
                .finish(unused_result(runner, request.priority));
        }
    }
}

impl SlotPermit {
    /// Records whether the runner handled the request well, for outlier ejection.
    pub fn set_healthy(&mut self, healthy: bool) {
        self.healthy = Some(healthy);
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        if !self.counted {
            return;
        }
        self.dispatcher.finish(WorkResult {
            runner: self.runner,
            priority: self.priority,
            healthy: self.healthy,
            service: self.started.elapsed(),
        });
    }
}

impl Drop for TeamPermit {
    fn drop(&mut self) {
        self.dispatcher.lock().finish_admitted(self.team);
    }
}
