//! The owner of a pool: plans its tasks, records decisions, and gives orders to its runners.
//!
//! One event loop per pool handles everything that changes the pool's state: submissions and
//! cancels from the inbox, events of the sessions with runners, changes of the fleet, requests
//! of the VM loops, and results of writes. No decision is therefore made on a state that
//! another decision changes at the same time.
//!
//! The rule that the loop must keep: nothing is ordered before it is recorded in the pool's
//! journal. While a write is in progress, events are handled and further decisions collected
//! for the next write.

mod advice;
mod awaited;
mod events;
mod inbox;
mod lives;
mod quota;
mod runners;
mod silent;
mod writes;

use std::{
    cell::Cell,
    collections::{
        BTreeMap,
        HashMap, //
    },
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use hoisthitch_jobs::{
    FlushPlan,
    JobProgress,
    Millis,
    PoolState,
    RunnerKey,
    SilentRuns,
    StartOrder,
    StartOutcome, //
};
use hoisthitch_store::{
    StoreClient,
    StoreError,
    StoredValue, //
};
use hoisthitch_telemetry::event;
use tokio::{
    sync::{
        mpsc,
        watch, //
    },
    task::JoinHandle,
    time::{
        Instant,
        sleep_until,
        timeout, //
    }, //
};

use self::advice::AdviceReturn;
use self::awaited::AwaitedPolicy;
use self::lives::LifeNotes;
use self::quota::{
    QuotaLedger,
    QuotaReturn, //
};
use self::runners::GoneReason;
use self::silent::{
    SilenceNotes,
    inherited_runs, //
};
use crate::{
    fleet::FleetView,
    follow::{
        FollowEvent,
        FollowOptions,
        FollowPause,
        FollowProgress,
        FollowRetry,
        follow_prefix, //
    },
    identity::NodeIdentity,
    journal::{
        JournalError,
        PoolJournal, //
    },
    keys::JobKeys,
    platform::Platform,
    session::{
        RunnerOrder,
        RunnerSession,
        SessionEvent, //
    },
    shared::NodeShared,
    takeover::PoolTakeover,
    vms::{
        VmContext,
        VmRequest,
        run_vms, //
    }, //
};

/// Longest sleep of the event loop, after which deadlines are checked without any event.
const MAX_SLEEP: Duration = Duration::from_millis(100);

/// Minimum interval between two checks of deadlines, in milliseconds: a check visits all
/// tasks, and events arrive by the hundred in a second.
const DEADLINE_CHECK_INTERVAL_MS: Millis = 50;

/// Maximum wait of a new owner for the list of runners: some reads of a slow store. After it,
/// the owner continues without the list and adds runners as their records arrive.
const RUNNER_LIST_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Number of requests of the VM loops that may be queued.
const VM_REQUEST_QUEUE_LEN: usize = 16;

/// Maximum number of session events that are handled before the next decision.
const EVENT_BATCH_LEN: usize = 256;

/// Everything that the owner of a pool is given.
pub(crate) struct OwnerContext<P> {
    pub(crate) platform: P,
    pub(crate) shared: Arc<NodeShared>,
    pub(crate) keys: JobKeys,
    pub(crate) identity: NodeIdentity,
    pub(crate) pool: String,
    pub(crate) fleet: watch::Receiver<Arc<FleetView>>,
    pub(crate) stop: watch::Receiver<bool>,
}

/// Why an owner ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OwnerEnd {
    /// Another node owns the pool.
    Deposed,
    /// The node stops.
    Stopped,
}

/// A journal that comes back from a write, with what was written and the result: the time at
/// which the write was sent.
type JournalReturn<S> = (PoolJournal<S>, FlushPlan, Result<Millis, JournalError>);

struct PoolOwner<P: Platform> {
    context: OwnerContext<P>,
    epoch: u64,
    state: PoolState,
    /// The journal; none while a write is in progress.
    journal: Option<PoolJournal<P::Store>>,
    returns: mpsc::UnboundedSender<JournalReturn<P::Store>>,
    advice: mpsc::UnboundedSender<AdviceReturn>,
    /// Whether a request to an adviser is in progress.
    asking: bool,
    /// The pool's quota allocations.
    quotas: QuotaLedger,
    quota_returns: mpsc::UnboundedSender<QuotaReturn>,
    events: mpsc::UnboundedSender<SessionEvent>,
    sessions: HashMap<RunnerKey, RunnerSession>,
    /// Number of sessions, shared with them.
    open_sessions: Rc<Cell<u32>>,
    /// Whether the list of runners was applied before.
    synced: bool,
    /// Which instances of runners are current, and which have ended.
    instances: LifeNotes,
    /// Configuration that this node does not have yet, though a job was accepted under it.
    awaited: Option<AwaitedPolicy>,
    /// Whether the pool is being handed over to the next owner.
    leaving: bool,
    /// When this node became the owner.
    owned_since: Millis,
    /// Silent runners that may still run something, as of the last check.
    silent: BTreeMap<String, SilentRuns>,
    /// What the journal records of silent runners.
    notes: SilenceNotes,
    /// When the ownership was last confirmed; shared with sessions and VM loops.
    confirmed: Rc<Cell<Millis>>,
    checked_at: Millis,
    wrote_at: Millis,
    counts: HashMap<String, u32>,
    counted_at: Millis,
}

/// Receiving ends of the owner's event sources.
struct OwnerChannels<S> {
    inbox: mpsc::UnboundedReceiver<FollowEvent>,
    events: mpsc::UnboundedReceiver<SessionEvent>,
    returned: mpsc::UnboundedReceiver<JournalReturn<S>>,
    advised: mpsc::UnboundedReceiver<AdviceReturn>,
    quotas: mpsc::UnboundedReceiver<QuotaReturn>,
    vm_requests: mpsc::Receiver<VmRequest>,
}

/// Owns a pool until another node does, or the node stops.
///
/// # Errors
///
/// Fails when the pool's records can't be read.
pub(crate) async fn run_owner<P: Platform>(
    context: OwnerContext<P>,
    takeover: PoolTakeover<P::Store>,
) -> Result<OwnerEnd, StoreError> {
    let inbox = follow_inbox(&context);
    let prefix = context.keys.progress_prefix(&context.pool);
    let progress = context.platform.store().read_prefix(&prefix).await?;
    let mut recorded = read_progress(&context, progress);
    let (vm_sender, vm_requests) = mpsc::channel(VM_REQUEST_QUEUE_LEN);
    let confirmed = Rc::new(Cell::new(takeover.confirmed_at));
    let vms = start_vm_worker(&context, takeover.epoch, confirmed.clone(), vm_sender);
    let (events, session_events) = mpsc::unbounded_channel();
    let (returns, returned) = mpsc::unbounded_channel();
    let (advice, advised) = mpsc::unbounded_channel();
    let (quota_returns, quotas) = mpsc::unbounded_channel();
    let mut channels = OwnerChannels {
        inbox,
        events: session_events,
        returned,
        advised,
        quotas,
        vm_requests,
    };
    let now = context.shared.clock.now();
    let mut owner = PoolOwner {
        epoch: takeover.epoch,
        state: PoolState::new(inherited_runs(&takeover.silent, now)),
        journal: Some(takeover.journal),
        returns,
        advice,
        asking: false,
        quotas: QuotaLedger::default(),
        quota_returns,
        events,
        sessions: HashMap::new(),
        open_sessions: Rc::default(),
        instances: LifeNotes::new(takeover.epoch),
        awaited: None,
        leaving: false,
        owned_since: now,
        silent: BTreeMap::new(),
        notes: SilenceNotes::inherited(&takeover.silent),
        synced: false,
        confirmed,
        checked_at: 0,
        wrote_at: 0,
        counts: HashMap::new(),
        counted_at: 0,
        context,
    };
    owner.count("pool_taken");
    // Sessions with runners are opened only once all jobs are known: runs of an unknown job
    // would be stopped, and its ends acknowledged and lost.
    if let Some(all) = channels.inbox.recv().await {
        owner.take_inbox(all, &mut recorded);
    }
    // A node that was not a standby reads the list of runners only now.
    let mut fleet = owner.context.fleet.clone();
    let listed = fleet.wait_for(|fleet| fleet.listed);
    if timeout(RUNNER_LIST_TIMEOUT, listed).await.is_err() {
        event!(Warn, "runners_not_listed", pool = owner.context.pool);
    }
    owner.sync_fleet();
    let end = owner.serve(&mut channels, &mut recorded).await;
    vms.abort();
    owner.count("pool_left");
    event!(
        Info,
        "pool_left",
        pool = owner.context.pool,
        epoch = owner.epoch,
        end = format_args!("{end:?}")
    );
    Ok(end)
}

/// Watches the pool's inbox in the store.
fn follow_inbox<P: Platform>(context: &OwnerContext<P>) -> mpsc::UnboundedReceiver<FollowEvent> {
    let (sender, inbox) = mpsc::unbounded_channel();
    let order = FollowOptions {
        prefix: context.keys.inbox_prefix(&context.pool),
        pause: FollowPause::None,
        confirms: FollowProgress::Never,
        retry: FollowRetry::Short,
    };
    let store = context.platform.store().clone();
    actix_rt::spawn(follow_prefix(store, order, context.shared.clone(), sender));
    inbox
}

/// Starts the loops that manage the pool's VMs.
fn start_vm_worker<P: Platform>(
    context: &OwnerContext<P>,
    epoch: u64,
    confirmed: Rc<Cell<Millis>>,
    owner: mpsc::Sender<VmRequest>,
) -> JoinHandle<()> {
    actix_rt::spawn(run_vms(VmContext {
        platform: context.platform.clone(),
        shared: context.shared.clone(),
        keys: context.keys.clone(),
        node: context.identity.node.clone(),
        pool: context.pool.clone(),
        epoch,
        confirmed,
        fleet: context.fleet.clone(),
        owner,
    }))
}

/// Decodes the recorded progress of jobs, by identifier; unreadable records are logged and
/// left out.
fn read_progress<P: Platform>(
    context: &OwnerContext<P>,
    values: Vec<StoredValue>,
) -> HashMap<String, JobProgress> {
    let prefix = context.keys.progress_prefix(&context.pool);
    values
        .into_iter()
        .filter_map(|stored| {
            let id = stored.key.strip_prefix(prefix.as_str())?.to_owned();
            match serde_json::from_slice(&stored.value) {
                Ok(progress) => Some((id, progress)),
                Err(err) => {
                    event!(Error, "progress_unreadable", job = id, error = err);
                    None
                }
            }
        })
        .collect()
}

impl<P: Platform> PoolOwner<P> {
    fn now(&self) -> Millis {
        self.context.shared.clock.now()
    }

    /// Whether the list of runners is recent enough to start tasks by it.
    fn holds_list(&self, now: Millis) -> bool {
        self.context.shared.runner_list_lease.is_valid(now)
    }

    /// Runs the event loop until another node owns the pool or this node stops.
    async fn serve(
        &mut self,
        channels: &mut OwnerChannels<P::Store>,
        recorded: &mut HashMap<String, JobProgress>,
    ) -> OwnerEnd {
        let mut fleet = self.context.fleet.clone();
        let mut stop = self.context.stop.clone();
        loop {
            tokio::select! {
                Some(event) = channels.events.recv() => {
                    if self.take_event(event) {
                        return OwnerEnd::Deposed;
                    }
                }
                Some(change) = channels.inbox.recv() => self.take_inbox(change, recorded),
                Some(back) = channels.returned.recv() => {
                    if self.take_journal(back).is_err() {
                        return OwnerEnd::Deposed;
                    }
                }
                Some(request) = channels.vm_requests.recv() => self.take_vm_request(request),
                Some(back) = channels.advised.recv() => self.take_advice(back),
                Some(back) = channels.quotas.recv() => self.take_quotas(back),
                Ok(()) = fleet.changed() => {
                    fleet.borrow_and_update();
                    self.sync_fleet();
                }
                changed = stop.changed() => {
                    // The node has ended and does not wait for a handover.
                    if changed.is_err() {
                        return OwnerEnd::Stopped;
                    }
                }
                () = sleep_until(self.next_wake()) => {}
            }
            // Leases that were extended must be known before deadlines are checked.
            if self.take_events(&mut channels.events) {
                return OwnerEnd::Deposed;
            }
            if *stop.borrow() && self.journal.is_some() {
                self.begin_leaving(&mut channels.events);
            }
            if self.journal.is_some() && self.has_left_word() {
                return OwnerEnd::Stopped;
            }
            self.advance();
        }
    }

    /// Handles queued session events; returns whether one shows that another node owns the
    /// pool.
    fn take_events(&mut self, events: &mut mpsc::UnboundedReceiver<SessionEvent>) -> bool {
        let mut deposed = false;
        for _ in 0..EVENT_BATCH_LEN {
            let Ok(event) = events.try_recv() else {
                break;
            };
            deposed |= self.take_event(event);
        }
        deposed
    }

    /// When the loop has to wake without an event.
    fn next_wake(&self) -> Instant {
        let wanted = || {
            let writes =
                self.state.needs_flush() || !self.is_noted() || self.instances.wants_token();
            writes || (self.state.needs_plan() && self.holds_list(self.now()))
        };
        if self.journal.is_none() || self.awaited.is_some() || !wanted() {
            return Instant::now() + MAX_SLEEP;
        }
        let wait = self.next_write().saturating_sub(self.now());
        Instant::now() + Duration::from_millis(wait.max(1))
    }

    /// Makes the decisions that are due, sends orders, and starts the next write.
    fn advance(&mut self) {
        let now = self.now();
        if self.leaving {
            return self.write(now);
        }
        let mut due = self.state.needs_plan();
        if now >= self.checked_at + DEADLINE_CHECK_INTERVAL_MS {
            self.checked_at = now;
            self.check_times(now);
            self.look_for_silence(now);
            self.tell_recorded();
            due = true;
        }
        // Nothing is ordered before it is recorded, so that a plan is made only when the
        // journal can be written. To plan at each event, by the order of a thousand jobs and
        // the free capacity of hundreds of runners, takes a large pool's owner the processor
        // time that its starts need: it cost 4 percent of the attainable value on a fleet of
        // 1,100 VMs (docs/MEASURED.md).
        self.look_at_quotas(now);
        if due && self.holds_list(now) && self.may_write(now) && !self.awaits_policy(now) {
            self.state.plan(now);
        }
        self.ask_advice(now);
        for stop in self.state.take_stop_orders() {
            self.send(stop.runner, RunnerOrder::Stop(stop));
        }
        self.log_lost();
        self.log_ended();
        self.write(now);
    }

    /// Checks everything that changes by time alone: leases, rounds, unanswered stops, suspect
    /// tasks, draining runners and stalled tasks.
    fn check_times(&mut self, now: Millis) {
        for runner in self.state.expire_leases(now) {
            self.count("lease_lapsed");
            event!(Warn, "lease_lapsed", runner = self.life_text(runner));
        }
        let today = self.context.shared.clock.unix_ms();
        self.state.begin_due_rounds(now, today);
        self.state.resend_stops(now);
        self.state.clear_suspects(now);
        self.state.move_off_draining(now);
        for runner in self.state.stop_stalled(now) {
            self.count("task_stalled");
            event!(Warn, "task_stalled", runner = self.life_text(runner));
        }
    }

    /// Queues an order at the runner's session.
    fn send(&self, runner: RunnerKey, order: RunnerOrder) {
        let sent = self
            .sessions
            .get(&runner)
            .is_some_and(|session| session.order(order));
        if !sent {
            event!(Warn, "order_not_queued", pool = self.context.pool);
        }
    }

    /// Handles a session event; returns whether it shows that another node owns the pool.
    fn take_event(&mut self, event: SessionEvent) -> bool {
        let now = self.now();
        match event {
            SessionEvent::Extended { runner, until } => self.state.extend_lease(runner, until),
            SessionEvent::Held {
                runner,
                report,
                asked_at,
                leased_until,
                silences,
            } => {
                if let Some(started_at) = report.started_at {
                    self.state.record_start_time(runner, started_at);
                }
                self.fence(runner, now);
                let again = self.state.record_heartbeat(runner, &report, asked_at, now);
                self.take_answer(runner, silences);
                if let Some(until) = leased_until {
                    self.state.confirm_runner_lease(runner, until);
                    self.state.mark_runner_ready(runner);
                }
                self.end_rivals(runner, asked_at);
                self.start_all(again);
                for pace in self.state.pace(runner, now) {
                    self.send(runner, RunnerOrder::Pace(pace));
                }
            }
            SessionEvent::Missed { runner, reset } => {
                self.state.record_missed_heartbeat(runner, reset, now)
            }
            SessionEvent::Ended { runner } => self.take_ended(runner, now),
            SessionEvent::Replaced { runner } => {
                self.note_over(runner);
                self.drop_runner(runner, GoneReason::Replaced);
            }
            SessionEvent::Renewed { runner, started_at } => self.take_renewed(runner, started_at),
            // An order of a session that has ended was refused because of this owner's next
            // session with the runner.
            SessionEvent::Fenced { runner } if !self.sessions.contains_key(&runner) => {}
            SessionEvent::Fenced { .. } => {
                // Only a later owner has a higher token.
                event!(
                    Warn,
                    "runner_fenced",
                    pool = self.context.pool,
                    epoch = self.epoch
                );
                return true;
            }
            SessionEvent::Started { order, outcome } => {
                self.state.record_start_outcome(&order, outcome, now);
                if outcome == StartOutcome::Started {
                    self.measure_start(&order, now);
                }
            }
            SessionEvent::Stopped(order) => self.state.record_stop_ack(&order, now),
            SessionEvent::PaceFailed(order) => self.state.record_pace_failure(&order, now),
        }
        false
    }

    /// Queues starts at their runners' sessions, as admitted now.
    fn start_all(&self, orders: Vec<StartOrder>) {
        let now = self.now();
        for order in orders {
            self.send(order.runner, RunnerOrder::Start(order, now));
        }
    }
}
