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
mod cold_start;
mod cordons;
mod halls;
mod inbox;
mod instances;
mod intake;
mod quota;
mod runners;
mod silent;
mod telemetry;
mod writes;

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::{
        BTreeMap,
        BTreeSet,
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

use self::advice::AdviceResult;
use self::awaited::AwaitedPolicy;
use self::cordons::CordonReporter;
use self::halls::HallWatch;
pub(crate) use self::halls::{
    CutHandover,
    LostHalls, //
};
use self::inbox::EarlyCancels;
use self::instances::InstanceTracker;
use self::intake::IntakeReporter;
use self::quota::{
    QuotaLedger,
    QuotaResult, //
};
use self::runners::RemovalReason;
use self::silent::{
    SilenceTracker,
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
        PoolJournal,
        RunnerNotes, //
    },
    keys::{
        JobKeys,
        is_own, //
    },
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
        run_vm_loops, //
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
    /// Whether the previous owner chose this node.
    pub(crate) offered: bool,
    /// Handover because of a cut between data halls, shared with the node's control loop.
    pub(crate) cut: Rc<RefCell<CutHandover>>,
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
type JournalResult<S> = (PoolJournal<S>, FlushPlan, Result<Millis, JournalError>);

/// State of the event loop of a pool's owner.
struct PoolOwner<P: Platform> {
    context: OwnerContext<P>,
    /// Revision of the owner's election.
    epoch: u64,
    state: PoolState,
    /// The journal; none while a write is in progress.
    journal: Option<PoolJournal<P::Store>>,
    journal_results: mpsc::UnboundedSender<JournalResult<P::Store>>,
    advice_results: mpsc::UnboundedSender<AdviceResult>,
    /// Whether a request to an adviser is in progress.
    advice_pending: bool,
    /// The pool's quota allocations.
    quotas: QuotaLedger,
    quota_results: mpsc::UnboundedSender<QuotaResult>,
    events: mpsc::UnboundedSender<SessionEvent>,
    sessions: BTreeMap<RunnerKey, RunnerSession>,
    /// Number of sessions, shared with them.
    session_count: Rc<Cell<u32>>,
    /// Whether a list of runners was applied before.
    has_synced: bool,
    /// Whether the list of runners was read when it was last applied.
    knew_list: bool,
    /// Which instances of runners are current, and which have ended.
    instances: InstanceTracker,
    early_cancels: EarlyCancels,
    /// Configuration that this node does not have yet, though a job was accepted under it.
    awaited_policy: Option<AwaitedPolicy>,
    /// Whether the pool is being handed over to the next owner.
    handing_over: bool,
    /// When this node became the owner.
    owner_since: Millis,
    /// Silent runners that may still run something, as of the last check.
    silent: BTreeMap<String, SilentRuns>,
    /// Instances that may drop ends unread, as the journal's head names them, or will once the
    /// write in progress is done.
    recorded_unproven: BTreeSet<String>,
    /// What the journal records of silent runners.
    silence: SilenceTracker,
    /// When the ownership was last confirmed; shared with sessions and VM loops.
    confirmed_at: Rc<Cell<Millis>>,
    /// When deadlines were last checked.
    checked_at: Millis,
    /// When the last write or confirmation began.
    wrote_at: Millis,
    /// Number of waiting jobs of each queue, as last written.
    waiting_counts: HashMap<String, u32>,
    counts_written_at: Millis,
    cordon_reporter: CordonReporter,
    intake_reporter: IntakeReporter,
    /// Time from the acceptance to the first start, of jobs that have not ended, by identifier.
    first_waits: HashMap<String, Millis>,
    /// VMs by data hall, as shown in the metrics.
    shown_halls: BTreeMap<String, u32>,
    halls: HallWatch,
    /// Number of tasks that cold runners hold back, as shown in the metrics.
    shown_held_back: usize,
}

/// Receiving ends of the owner's event sources.
struct OwnerChannels<S> {
    inbox: mpsc::UnboundedReceiver<FollowEvent>,
    events: mpsc::UnboundedReceiver<SessionEvent>,
    journal_results: mpsc::UnboundedReceiver<JournalResult<S>>,
    advice_results: mpsc::UnboundedReceiver<AdviceResult>,
    quota_results: mpsc::UnboundedReceiver<QuotaResult>,
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
    let mut recorded = decode_progress(&context, progress);
    let (vm_sender, vm_requests) = mpsc::channel(VM_REQUEST_QUEUE_LEN);
    let confirmed_at = Rc::new(Cell::new(takeover.confirmed_at));
    let vms = start_vm_loops(&context, takeover.epoch, confirmed_at.clone(), vm_sender);
    let (events, session_events) = mpsc::unbounded_channel();
    let (journal_results, journal_receiver) = mpsc::unbounded_channel();
    let (advice_results, advice_receiver) = mpsc::unbounded_channel();
    let (quota_results, quota_receiver) = mpsc::unbounded_channel();
    let mut channels = OwnerChannels {
        inbox,
        events: session_events,
        journal_results: journal_receiver,
        advice_results: advice_receiver,
        quota_results: quota_receiver,
        vm_requests,
    };
    let now = context.shared.clock.now();
    let reports = context.shared.intake.load();
    let inherits_pressure = reports.tells_of_pressure(&context.pool);
    drop(reports);
    let mut owner = PoolOwner {
        epoch: takeover.epoch,
        state: new_state(&context, &takeover.notes, now),
        journal: Some(takeover.journal),
        journal_results,
        advice_results,
        advice_pending: false,
        quotas: QuotaLedger::default(),
        quota_results,
        events,
        sessions: BTreeMap::new(),
        session_count: Rc::default(),
        instances: InstanceTracker::new(takeover.epoch, &takeover.notes.unproven),
        early_cancels: EarlyCancels::default(),
        awaited_policy: None,
        handing_over: false,
        owner_since: now,
        silent: BTreeMap::new(),
        silence: SilenceTracker::inherited(&takeover.notes.silent),
        recorded_unproven: takeover.notes.unproven,
        has_synced: false,
        knew_list: false,
        confirmed_at,
        checked_at: 0,
        wrote_at: 0,
        waiting_counts: HashMap::new(),
        counts_written_at: 0,
        cordon_reporter: CordonReporter::default(),
        intake_reporter: IntakeReporter::new(inherits_pressure),
        first_waits: HashMap::new(),
        shown_halls: BTreeMap::new(),
        halls: HallWatch::default(),
        shown_held_back: 0,
        context,
    };
    owner.count_event("pool_taken");
    // Sessions with runners are opened only once all jobs are known: runs of an unknown job
    // would be stopped, and its ends acknowledged and lost.
    if let Some(all) = channels.inbox.recv().await {
        owner.apply_inbox_change(all, &mut recorded);
    }
    // A node that was not a standby reads the list of runners only now.
    let mut fleet = owner.context.fleet.clone();
    let listed = fleet.wait_for(|fleet| fleet.listed);
    if timeout(RUNNER_LIST_TIMEOUT, listed).await.is_err() {
        event!(Warn, "runners_not_listed", pool = owner.context.pool);
    }
    owner.sync_fleet();
    let end = owner.run(&mut channels, &mut recorded).await;
    vms.abort();
    owner.forget_pressure();
    owner.forget_cold_start();
    owner.show_vms_by_hall(&BTreeMap::new());
    owner.count_event("pool_left");
    event!(
        Info,
        "pool_left",
        pool = owner.context.pool,
        epoch = owner.epoch,
        end = format_args!("{end:?}")
    );
    Ok(end)
}

/// The pool's state before anything is known of it but what earlier owners published.
fn new_state<P: Platform>(
    context: &OwnerContext<P>,
    notes: &RunnerNotes,
    now: Millis,
) -> PoolState {
    let mut state = PoolState::new(inherited_runs(notes, now));
    state.set_terms(context.shared.terms.pool_terms());
    state
}

/// Watches the pool's inbox in the store.
fn follow_inbox<P: Platform>(context: &OwnerContext<P>) -> mpsc::UnboundedReceiver<FollowEvent> {
    let (sender, inbox) = mpsc::unbounded_channel();
    let order = FollowOptions {
        prefix: context.keys.inbox_prefix(&context.pool),
        pause: FollowPause::None,
        progress: FollowProgress::Never,
        retry: FollowRetry::Short,
    };
    let store = context.platform.store().clone();
    actix_rt::spawn(follow_prefix(store, order, context.shared.clone(), sender));
    inbox
}

/// Starts the loops that manage the pool's VMs.
fn start_vm_loops<P: Platform>(
    context: &OwnerContext<P>,
    epoch: u64,
    confirmed_at: Rc<Cell<Millis>>,
    owner: mpsc::Sender<VmRequest>,
) -> JoinHandle<()> {
    actix_rt::spawn(run_vm_loops(VmContext {
        platform: context.platform.clone(),
        shared: context.shared.clone(),
        keys: context.keys.clone(),
        node: context.identity.node.clone(),
        pool: context.pool.clone(),
        epoch,
        confirmed_at,
        fleet: context.fleet.clone(),
        owner,
    }))
}

/// Decodes the recorded progress of jobs, by identifier; unreadable records are logged and
/// left out.
fn decode_progress<P: Platform>(
    context: &OwnerContext<P>,
    values: Vec<StoredValue>,
) -> HashMap<String, JobProgress> {
    let prefix = context.keys.progress_prefix(&context.pool);
    values
        .into_iter()
        .filter_map(|stored| {
            let rest = stored.key.strip_prefix(prefix.as_str());
            let id = rest.filter(|rest| is_own(rest))?.to_owned();
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

    /// Whether the lists of runners and of cordoned halls are recent enough to start tasks by
    /// them.
    fn are_lists_valid(&self, now: Millis) -> bool {
        let shared = &self.context.shared;
        shared.runner_list_lease.is_valid(now) && shared.cordons_lease.is_valid(now)
    }

    /// Runs the event loop until another node owns the pool or this node stops.
    async fn run(
        &mut self,
        channels: &mut OwnerChannels<P::Store>,
        recorded: &mut HashMap<String, JobProgress>,
    ) -> OwnerEnd {
        let mut fleet = self.context.fleet.clone();
        let mut stop = self.context.stop.clone();
        loop {
            // Each iteration handles queued session events below, so that the sources before
            // them can't starve them.
            tokio::select! {
                biased;
                Some(result) = channels.journal_results.recv() => {
                    if self.finish_write(result).is_err() {
                        return OwnerEnd::Deposed;
                    }
                }
                Some(request) = channels.vm_requests.recv() => self.handle_vm_request(request),
                Some(result) = channels.advice_results.recv() => self.apply_advice(result),
                Some(result) = channels.quota_results.recv() => self.apply_quota_result(result),
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
                Some(change) = channels.inbox.recv() => self.apply_inbox_change(change, recorded),
                Some(event) = channels.events.recv() => {
                    if self.handle_event(event) {
                        return OwnerEnd::Deposed;
                    }
                }
                () = sleep_until(self.next_wake()) => {}
            }
            // Leases that were extended must be known before deadlines are checked.
            if self.drain_events(&mut channels.events) {
                return OwnerEnd::Deposed;
            }
            if *stop.borrow() && self.journal.is_some() {
                self.begin_handover(&mut channels.events);
            }
            if self.journal.is_some() && self.is_handed_over() {
                return OwnerEnd::Stopped;
            }
            self.advance();
        }
    }

    /// Handles queued session events; returns whether one shows that another node owns the
    /// pool.
    fn drain_events(&mut self, events: &mut mpsc::UnboundedReceiver<SessionEvent>) -> bool {
        let mut deposed = false;
        for _ in 0..EVENT_BATCH_LEN {
            let Ok(event) = events.try_recv() else {
                break;
            };
            deposed |= self.handle_event(event);
        }
        deposed
    }

    /// When the loop has to wake without an event.
    fn next_wake(&self) -> Instant {
        let wanted = || {
            let writes = self.state.needs_flush()
                || !self.is_silence_recorded()
                || self.instances.needs_token();
            writes || (self.state.needs_plan() && self.are_lists_valid(self.now()))
        };
        if self.journal.is_none() || self.awaited_policy.is_some() || !wanted() {
            return Instant::now() + MAX_SLEEP;
        }
        let wait = self.next_write().saturating_sub(self.now());
        Instant::now() + Duration::from_millis(wait.max(1))
    }

    /// Makes the decisions that are due, sends orders, and starts the next write.
    fn advance(&mut self) {
        let now = self.now();
        self.withdraw_abandoned();
        if self.handing_over {
            return self.start_write(now);
        }
        let mut due = self.state.needs_plan();
        if now >= self.checked_at + DEADLINE_CHECK_INTERVAL_MS {
            self.checked_at = now;
            self.update_lost_halls(now);
            self.check_deadlines(now);
            self.update_silent(now);
            self.acknowledge_recorded();
            due = true;
        }
        // Nothing is ordered before it is recorded, so that a plan is made only when the
        // journal can be written. To plan at each event, by the order of a thousand jobs and
        // the free capacity of hundreds of runners, takes a large pool's owner the processor
        // time that its starts need: it cost 4 percent of the attainable value on a fleet of
        // 1,100 VMs (two simulated days, docs/MEASURED.md).
        self.update_quotas(now);
        if due && self.are_lists_valid(now) && self.may_write(now) && !self.awaits_policy(now) {
            self.state.plan(now);
            self.show_held_back_starts();
        }
        self.request_advice(now);
        // Those that the decisions above gave up.
        self.withdraw_abandoned();
        for stop in self.state.take_stop_orders() {
            self.queue_order(stop.runner, RunnerOrder::Stop(stop));
        }
        self.log_lost_runs();
        self.log_withdrawn_starts();
        self.log_health_changes();
        self.log_uneven_steps();
        self.log_ended_jobs();
        self.start_write(now);
    }

    /// Withdraws the queued starts of runs that were given up. Must follow each decision before
    /// the owner waits, since sessions send meanwhile.
    fn withdraw_abandoned(&mut self) {
        for run in self.state.take_abandoned_runs() {
            if let Some(session) = self.sessions.get(&run.runner) {
                session.withdraw_run(run);
            }
        }
    }

    /// Checks everything that changes by time alone: leases, rounds, unanswered stops, suspect
    /// tasks, draining runners and stalled tasks.
    fn check_deadlines(&mut self, now: Millis) {
        for runner in self.state.expire_leases(now) {
            self.count_event("lease_lapsed");
            event!(Warn, "lease_lapsed", runner = self.instance_text(runner));
        }
        for runner in self.state.lapse_evacuations(now) {
            event!(
                Info,
                "evacuation_lapsed",
                runner = self.instance_text(runner),
                pool = self.context.pool
            );
        }
        let today = self.context.shared.clock.unix_ms();
        self.state.begin_due_rounds(now, today);
        self.update_warmth(false, now);
        self.state.resend_stops(now);
        for stop in self.state.harmful_stops() {
            if let Some(session) = self.sessions.get(&stop.runner) {
                session.revoke_stop(&stop);
            }
        }
        self.state.clear_suspects(now);
        self.state.move_off_draining(now);
        for runner in self.state.stop_stalled(now) {
            self.count_event("task_stalled");
            event!(Warn, "task_stalled", runner = self.instance_text(runner));
        }
    }

    /// Queues an order at the runner's session.
    fn queue_order(&self, runner: RunnerKey, order: RunnerOrder) {
        let sent = self
            .sessions
            .get(&runner)
            .is_some_and(|session| session.queue_order(order));
        if !sent {
            event!(Warn, "order_not_queued", pool = self.context.pool);
        }
    }

    /// Handles a session event; returns whether it shows that another node owns the pool.
    fn handle_event(&mut self, event: SessionEvent) -> bool {
        let now = self.now();
        match event {
            SessionEvent::LeaseGranted { runner, until } => self.state.extend_lease(runner, until),
            SessionEvent::HeartbeatSucceeded {
                runner,
                report,
                sent_at,
                leased_until,
                misses,
            } => {
                if let Some(started_at) = report.started_at {
                    self.state.record_start_time(runner, started_at);
                }
                self.handle_first_response(runner, now);
                self.log_regained(runner, &report, now);
                let repeated_starts = self.state.record_heartbeat(runner, &report, sent_at, now);
                self.handle_response(runner, misses);
                if let Some(until) = leased_until {
                    self.state.confirm_runner_lease(runner, until);
                    self.state.mark_runner_ready(runner);
                }
                self.end_conflicting_instances(runner, sent_at);
                self.queue_starts(repeated_starts);
                for pace in self.state.pace(runner, now) {
                    self.queue_order(runner, RunnerOrder::Pace(pace));
                }
            }
            SessionEvent::HeartbeatMissed {
                runner,
                reset,
                sent_at,
            } => self
                .state
                .record_missed_heartbeat(runner, reset, sent_at, now),
            SessionEvent::LossSuspected { runner } => self.handle_suspected_loss(runner, now),
            SessionEvent::Replaced { runner } => {
                self.mark_ended(runner);
                self.remove_runner(runner, RemovalReason::Replaced);
            }
            SessionEvent::Restarted { runner, started_at } => {
                self.handle_restart(runner, started_at)
            }
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
            SessionEvent::StartFinished { order, outcome } => {
                self.state.record_start_outcome(&order, outcome, now);
                if outcome == StartOutcome::Started {
                    self.observe_first_start(&order, now);
                }
            }
            SessionEvent::StopAcknowledged(order) => self.state.record_stop_ack(&order, now),
            SessionEvent::PaceFailed(order) => self.state.record_pace_failure(&order, now),
        }
        false
    }

    /// Queues starts at their runners' sessions, as admitted now.
    fn queue_starts(&self, orders: Vec<StartOrder>) {
        let now = self.now();
        for order in orders {
            self.queue_order(order.runner, RunnerOrder::Start(order, now));
        }
    }
}
