//! The owner of a pool: decides, records, orders, and takes in what happens.
//!
//! One task runs all of it for a pool, so that nothing is decided on a state
//! that another decision changes. What has to be recorded first waits for the
//! journal; meanwhile events are taken in and further decisions gathered.

use std::{
    cell::Cell,
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use hoisthitch_jobs::{
    FlushPlan,
    JobProgress,
    JobSubmission,
    Millis,
    NewJob,
    PoolState,
    RunnerKey,
    StartOrder,
    UpkeepView, //
};
use hoisthitch_store::{
    StoreClient,
    StoreError,
    StoreRevision,
    StoredValue,
    SwapItem, //
};
use hoisthitch_telemetry::event;
use tokio::{
    sync::{
        mpsc,
        watch, //
    },
    time::{
        Instant,
        sleep_until, //
    }, //
};

use crate::{
    follow::{
        FollowEvent,
        follow_prefix, //
    },
    journal::{
        BATCH_LIMIT,
        JournalError,
        PoolJournal,
        encode, //
    },
    keys::{
        InboxKey,
        JobKeys, //
    },
    node::{
        FleetView,
        NodeIdentity, //
    },
    platform::{
        Platform,
        RunnerAddress, //
    },
    session::{
        LEASE_CAP_MS,
        RunnerOrder,
        RunnerSession,
        SessionContext,
        SessionEvent,
        SessionTerms, //
    },
    shared::NodeShared,
    takeover::PoolTakeover,
    vms::{
        PoolNeed,
        SPARE_LIMIT,
        VmContext,
        VmRequest,
        run_vms, //
    }, //
};

/// Least time between two writes of the journal, in milliseconds: what comes
/// meanwhile shares a write.
const WRITE_GAP_MS: Millis = 25;

/// Time between two looks at what time alone changes.
const TICK: Duration = Duration::from_millis(100);

/// Time without a write after which the owner makes sure that it is the owner,
/// in milliseconds.
const CONFIRM_MS: Millis = 500;

/// Least time between two writes of the queues' counts, in milliseconds; they
/// may be two seconds old.
const COUNT_GAP_MS: Millis = 600;

/// Time that ended jobs are kept, beyond the bound in force, in milliseconds.
const KEPT_MS: Millis = 300_000;

/// Entries that the forgetting of a job takes in a write.
const FORGET_ENTRIES: usize = 4;

/// Events taken in before the next decision.
const EVENT_BATCH: usize = 256;

/// What the owner of a pool works with.
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
    /// The node was told to stop.
    Stopped,
}

type JournalReturn<S> = (PoolJournal<S>, FlushPlan, Result<Millis, JournalError>);

struct PoolOwner<P: Platform> {
    context: OwnerContext<P>,
    epoch: u64,
    state: PoolState,
    /// The journal; away while a write is under way.
    journal: Option<PoolJournal<P::Store>>,
    returns: mpsc::UnboundedSender<JournalReturn<P::Store>>,
    events: mpsc::UnboundedSender<SessionEvent>,
    sessions: HashMap<RunnerKey, RunnerSession>,
    /// When this node was last surely the owner.
    confirmed: Rc<Cell<Millis>>,
    wrote_at: Millis,
    counts: HashMap<String, u32>,
    counted_at: Millis,
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
    let store = context.platform.store().clone();
    let prefix = context.keys.inbox(&context.pool);
    let (inbox, mut told) = mpsc::unbounded_channel();
    let follower = follow_prefix(
        store.clone(),
        prefix,
        Duration::ZERO,
        context.shared.clone(),
        inbox,
    );
    actix_rt::spawn(follower);
    let progress_prefix = context.keys.all_progress(&context.pool);
    let progress = store.read_prefix(&progress_prefix).await?;
    let (events, mut session_events) = mpsc::unbounded_channel();
    let (returns, mut returned) = mpsc::unbounded_channel();
    let (vm_sender, mut vm_requests) = mpsc::channel(16);
    let mut fleet = context.fleet.clone();
    let mut stop = context.stop.clone();
    let confirmed = Rc::new(Cell::new(context.shared.clock.now()));
    let vms = run_vms(VmContext {
        platform: context.platform.clone(),
        shared: context.shared.clone(),
        keys: context.keys.clone(),
        node: context.identity.node.clone(),
        pool: context.pool.clone(),
        epoch: takeover.epoch,
        confirmed: confirmed.clone(),
        fleet: context.fleet.clone(),
        owner: vm_sender,
    });
    let vms = actix_rt::spawn(vms);
    let now = context.shared.clock.now();
    let mut owner = PoolOwner {
        epoch: takeover.epoch,
        state: PoolState::new(now + LEASE_CAP_MS + LEASE_CAP_MS / 20),
        journal: Some(takeover.journal),
        returns,
        events,
        sessions: HashMap::new(),
        confirmed,
        wrote_at: 0,
        counts: HashMap::new(),
        counted_at: 0,
        context,
    };
    let mut recorded = read_progress(&owner.context, progress);
    // Runners are asked only once all jobs are known: what they report of an
    // unknown job would be stopped, and its ends forgotten.
    if let Some(all) = told.recv().await {
        owner.take_inbox(all, &mut recorded);
    }
    owner.sync_fleet();
    let end = loop {
        tokio::select! {
            Some(event) = session_events.recv() => {
                let mut next = Some(event);
                for _ in 0..EVENT_BATCH {
                    let Some(event) = next else { break };
                    if owner.take_event(event) {
                        break;
                    }
                    next = session_events.try_recv().ok();
                }
            }
            Some(change) = told.recv() => owner.take_inbox(change, &mut recorded),
            Some(back) = returned.recv() => {
                if owner.take_journal(back).is_err() {
                    break OwnerEnd::Deposed;
                }
            }
            Some(request) = vm_requests.recv() => owner.take_vm_request(request),
            changed = fleet.changed() => {
                if changed.is_err() {
                    break OwnerEnd::Stopped;
                }
                fleet.borrow_and_update();
                owner.sync_fleet();
            }
            _ = stop.changed() => {}
            () = sleep_until(owner.next_wake()) => {}
        }
        if *stop.borrow() && owner.journal.is_some() {
            break OwnerEnd::Stopped;
        }
        owner.advance();
    };
    vms.abort();
    event!(
        Info,
        "pool_left",
        pool = owner.context.pool,
        epoch = owner.epoch,
        end = format_args!("{end:?}")
    );
    Ok(end)
}

/// Decodes the progress of jobs, by identifier.
fn read_progress<P: Platform>(
    context: &OwnerContext<P>,
    values: Vec<StoredValue>,
) -> HashMap<String, JobProgress> {
    let prefix = context.keys.all_progress(&context.pool);
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

    /// When something is to be done without an event.
    fn next_wake(&self) -> Instant {
        let write_due = self.journal.is_some() && self.state.needs_flush();
        if !write_due {
            return Instant::now() + TICK;
        }
        let wait = (self.wrote_at + WRITE_GAP_MS).saturating_sub(self.now());
        Instant::now() + Duration::from_millis(wait.max(1))
    }

    /// Decides, and does what can be done now.
    fn advance(&mut self) {
        let now = self.now();
        for runner in self.state.expire(now) {
            let name = self.state.runner(runner).map(|r| r.facts.name.clone());
            event!(Warn, "lease_lapsed", runner = name.unwrap_or_default());
        }
        let today = self.context.shared.clock.today_ms();
        self.state.begin_rounds(now, today);
        if self.state.runs_tasks() {
            self.state.plan(now);
        }
        for stop in self.state.take_stops(now) {
            self.send(stop.runner, RunnerOrder::Stop(stop));
        }
        self.write(now);
        self.share_terms();
    }

    fn send(&self, runner: RunnerKey, order: RunnerOrder) {
        let sent = self
            .sessions
            .get(&runner)
            .is_some_and(|session| session.order(order));
        if !sent {
            event!(Warn, "order_not_queued", pool = self.context.pool);
        }
    }

    fn take_event(&mut self, event: SessionEvent) -> bool {
        let now = self.now();
        match event {
            SessionEvent::Extended { runner, until } => self.state.extend_lease(runner, until),
            SessionEvent::Held {
                runner,
                report,
                asked_at,
                leased,
            } => {
                let again = self.state.take_hold(runner, &report, asked_at, now);
                if leased {
                    self.state.open_runner(runner);
                }
                self.start_all(again);
                for pace in self.state.pace(runner) {
                    self.send(runner, RunnerOrder::Pace(pace));
                }
            }
            SessionEvent::Missed { runner } => self.state.miss_hold(runner),
            SessionEvent::Replaced { runner } => self.drop_runner(runner, "replaced"),
            SessionEvent::Fenced => return self.confirm_soon(),
            SessionEvent::Started { order, outcome } => {
                self.state.take_start(&order, outcome, now);
            }
            SessionEvent::PaceFailed(order) => self.state.fail_pace(&order),
        }
        false
    }

    /// Looks at once whether this node still owns the pool.
    fn confirm_soon(&mut self) -> bool {
        event!(
            Warn,
            "runner_fenced",
            pool = self.context.pool,
            epoch = self.epoch
        );
        let doubtful = self.now().saturating_sub(CONFIRM_MS);
        self.confirmed.set(self.confirmed.get().min(doubtful));
        true
    }

    fn start_all(&self, orders: Vec<StartOrder>) {
        for order in orders {
            self.send(order.runner, RunnerOrder::Start(order));
        }
    }

    fn take_inbox(&mut self, change: FollowEvent, recorded: &mut HashMap<String, JobProgress>) {
        match change {
            FollowEvent::All(values) => {
                // Cancels come before submissions in the order of keys.
                let (cancels, jobs): (Vec<_>, Vec<_>) = values
                    .into_iter()
                    .partition(|value| value.key.contains("/cancel-"));
                for value in jobs.into_iter().chain(cancels) {
                    self.take_letter(&value, recorded);
                }
            }
            FollowEvent::Put(value) => self.take_letter(&value, recorded),
            FollowEvent::Gone(_) => {}
        }
    }

    fn take_letter(&mut self, value: &StoredValue, recorded: &mut HashMap<String, JobProgress>) {
        let prefix = self.context.keys.inbox(&self.context.pool);
        let now = self.now();
        match InboxKey::parse(&prefix, &value.key) {
            Some(InboxKey::Submission(id)) => {
                match serde_json::from_slice::<JobSubmission>(&value.value) {
                    Ok(submission) => self.take_job(id, submission, recorded.remove(id)),
                    Err(err) => event!(Error, "job_unreadable", job = id, error = err),
                }
            }
            Some(InboxKey::Cancel(id)) => {
                if self.state.cancel(id, now) {
                    event!(
                        Info,
                        "job_cancelled",
                        job = id,
                        key_revision = value.revision.0
                    );
                }
            }
            None => event!(Warn, "inbox_key_unknown", key = value.key),
        }
    }

    fn take_job(&mut self, id: &str, submission: JobSubmission, progress: Option<JobProgress>) {
        let now = self.now();
        let clock = &self.context.shared.clock;
        let age = clock.today_ms().saturating_sub(submission.accepted_ms);
        let queue = submission.queue.clone();
        let restored = progress.is_some();
        let new = NewJob {
            id: id.to_owned(),
            submission,
            progress,
            accepted_at: now.saturating_sub(age),
        };
        if self.state.add_job(new, now) {
            event!(
                Info,
                "job_taken",
                job = id,
                queue = queue,
                pool = self.context.pool,
                age_ms = age,
                restored = restored
            );
        }
    }

    fn take_vm_request(&mut self, request: VmRequest) {
        let now = self.now();
        match request {
            VmRequest::Leave { runner, reply } => {
                let view = self.state.runner_key(&runner).map(|key| {
                    self.state.set_leaving(key, true);
                    let view = self.state.upkeep_view(key);
                    if view == UpkeepView::Held && self.state.relocate_one(key, now) {
                        return UpkeepView::Busy(1);
                    }
                    view
                });
                // A worker that is gone asks again.
                let _ = reply.send(view);
            }
            VmRequest::Stay { runner } => {
                if let Some(key) = self.state.runner_key(&runner) {
                    self.state.set_leaving(key, false);
                }
            }
            VmRequest::Need { reply } => {
                let spare = self.state.spare_runners(now, SPARE_LIMIT);
                let spare = spare.into_iter().filter_map(|key| {
                    let facts = &self.state.runner(key)?.facts;
                    Some((facts.name.clone(), facts.vm.clone()))
                });
                let need = PoolNeed {
                    want: self.state.wanted_vms(now),
                    vms: self.state.vms(),
                    spare: spare.collect(),
                };
                // A worker that is gone asks again.
                let _ = reply.send(need);
            }
            VmRequest::Down { runner } => {
                if let Some(key) = self.state.runner_key(&runner) {
                    self.state.note_down(key, now);
                    self.drop_runner(key, "upkeep");
                }
            }
        }
    }

    /// Takes in the runners of the pool, and the policies in force.
    fn sync_fleet(&mut self) {
        let now = self.now();
        let fleet = self.context.fleet.borrow().clone();
        self.state.set_policies(&fleet.policies);
        let own: Vec<_> = fleet
            .runners
            .values()
            .filter(|record| record.pool == self.context.pool)
            .collect();
        for record in &own {
            if fleet.ended.contains(&record.facts.name) {
                continue;
            }
            let key = self.state.set_runner(record.facts.clone(), now);
            if !self.sessions.contains_key(&key) {
                self.open_session(
                    key,
                    RunnerAddress {
                        name: record.facts.name.clone(),
                        address: record.address,
                    },
                );
            }
        }
        let known: Vec<(RunnerKey, String)> = self
            .state
            .runners()
            .map(|(key, runner)| (key, runner.facts.name.clone()))
            .collect();
        for (key, name) in known {
            if fleet.ended.contains(&name) {
                self.drop_runner(key, "ended");
            } else if !fleet.runners.contains_key(&name) {
                self.state.retire_runner(key);
                self.drop_if_empty(key, now);
            }
        }
        for name in &fleet.ended {
            self.state.forget_life(name, now);
        }
    }

    /// Forgets a runner that is listed no more, once nothing can run on it.
    fn drop_if_empty(&mut self, key: RunnerKey, now: Millis) {
        let over = self
            .state
            .runner(key)
            .is_some_and(|runner| !runner.open && runner.lease_until <= now);
        if over {
            self.drop_runner(key, "silent");
        }
    }

    fn open_session(&mut self, key: RunnerKey, address: RunnerAddress) {
        event!(
            Info,
            "runner_taken",
            runner = address.name,
            address = address.address,
            pool = self.context.pool,
            epoch = self.epoch
        );
        let context = SessionContext {
            runners: self.context.platform.runners().clone(),
            shared: self.context.shared.clone(),
            epoch: self.epoch,
            key,
            address,
            events: self.events.clone(),
        };
        let terms = SessionTerms {
            recorded: 0,
            confirmed_at: self.confirmed.get(),
        };
        self.sessions
            .insert(key, RunnerSession::open(context, terms));
    }

    fn drop_runner(&mut self, key: RunnerKey, why: &'static str) {
        let now = self.now();
        let name = self.state.runner(key).map(|r| r.facts.name.clone());
        self.sessions.remove(&key);
        if let Some(name) = name {
            event!(Info, "runner_gone", runner = name, why = why);
            self.state.remove_runner(key, now);
        }
    }

    /// Tells sessions what is recorded, and since when this node is surely the
    /// owner.
    fn share_terms(&mut self) {
        if self.journal.is_none() || self.state.needs_flush() {
            return;
        }
        for (key, session) in &self.sessions {
            if let Some(runner) = self.state.runner(*key) {
                session.set_terms(SessionTerms {
                    recorded: runner.seen,
                    confirmed_at: self.confirmed.get(),
                });
            }
        }
    }

    fn write(&mut self, now: Millis) {
        if now < self.wrote_at + WRITE_GAP_MS {
            return;
        }
        let Some(journal) = self.journal.take() else {
            return;
        };
        let plan = self.state.begin_flush(BATCH_LIMIT - 1);
        let mut items: Vec<SwapItem> = plan
            .records
            .iter()
            .map(|(id, progress)| {
                let key = self.context.keys.progress(&self.context.pool, id);
                put(key, encode(progress))
            })
            .collect();
        items.extend(self.count_item(now));
        self.add_forgotten(&mut items, now);
        if items.is_empty() {
            self.confirm(journal, now);
            return;
        }
        self.wrote_at = now;
        let returns = self.returns.clone();
        let mut journal = journal;
        actix_rt::spawn(async move {
            let result = journal.write(items).await;
            // An owner that is gone needs no journal.
            let _ = returns.send((journal, plan, result));
        });
    }

    fn confirm(&mut self, journal: PoolJournal<P::Store>, now: Millis) {
        if now < self.confirmed.get().max(self.wrote_at) + CONFIRM_MS {
            self.journal = Some(journal);
            return;
        }
        self.wrote_at = now;
        let returns = self.returns.clone();
        let known = self.confirmed.get();
        actix_rt::spawn(async move {
            let result = match journal.confirm().await {
                Ok(result) => result,
                Err(err) => {
                    event!(Warn, "owner_unconfirmed", error = err);
                    Ok(known)
                }
            };
            // An owner that is gone needs no journal.
            let _ = returns.send((journal, FlushPlan::default(), result));
        });
    }

    fn take_journal(&mut self, back: JournalReturn<P::Store>) -> Result<(), JournalError> {
        let (journal, plan, result) = back;
        let confirmed = result?;
        self.journal = Some(journal);
        self.confirmed.set(self.confirmed.get().max(confirmed));
        let now = self.now();
        let starts = self.state.finish_flush(&plan, now);
        self.start_all(starts);
        for (runner, seen) in &plan.seen {
            if let Some(session) = self.sessions.get(runner) {
                session.set_terms(SessionTerms {
                    recorded: *seen,
                    confirmed_at: self.confirmed.get(),
                });
            }
        }
        Ok(())
    }

    /// The counts of waiting jobs, if they changed.
    fn count_item(&mut self, now: Millis) -> Option<SwapItem> {
        if now < self.counted_at + COUNT_GAP_MS {
            return None;
        }
        let counts = self.state.waiting_jobs();
        if counts == self.counts {
            return None;
        }
        self.counted_at = now;
        self.counts.clone_from(&counts);
        let key = self.context.keys.counts(&self.context.pool);
        Some(put(key, encode(&counts)))
    }

    /// Removes the records of jobs that ended long ago.
    fn add_forgotten(&mut self, items: &mut Vec<SwapItem>, now: Millis) {
        let room = BATCH_LIMIT.saturating_sub(items.len()) / FORGET_ENTRIES;
        if room == 0 || now < KEPT_MS {
            return;
        }
        let old = self.state.ended_before(now - KEPT_MS);
        let keys = &self.context.keys;
        let pool = &self.context.pool;
        for id in old.into_iter().take(room) {
            let gone = [
                keys.submission(pool, &id),
                keys.cancel(pool, &id),
                keys.progress(pool, &id),
                keys.location(&id),
            ];
            items.extend(gone.map(remove));
            self.state.forget_job(&id);
        }
    }
}

fn put(key: String, value: Vec<u8>) -> SwapItem {
    SwapItem {
        key,
        expected: StoreRevision::ANY,
        value: Some(value),
        lease: None,
    }
}

fn remove(key: String) -> SwapItem {
    SwapItem {
        key,
        expected: StoreRevision::ANY,
        value: None,
        lease: None,
    }
}
