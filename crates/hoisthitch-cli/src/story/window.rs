//! Selects the events that don't name the job but are related to it: those of
//! its pool, of the runners that its tasks ran on, and of the nodes that served
//! both.
//!
//! Given the job's own events and all other events that were kept, it returns
//! the related ones. Each subject has its own window of time, derived from the
//! job's own events.

use std::collections::{
    BTreeMap,
    BTreeSet,
    HashMap, //
};

use super::event::{
    EventKind,
    EventSubject,
    OrderOutcome,
    StoryEvent,
    SubmitOutcome, //
};

/// Largest difference between the clocks of two nodes, in milliseconds; nodes
/// synchronize their clocks with a time service.
const MAX_CLOCK_SKEW_MS: u64 = 1_000;

/// Time before a failed submission that is searched for its cause, in
/// milliseconds: several membership renewals.
const CAUSE_LOOKBACK_MS: u64 = 10_000;

/// Time after the last event of the job or its runners that is still shown, in
/// milliseconds: longer than the replacement of a lost owner takes.
const TRAILING_MS: u64 = 30_000;

/// Times and subjects that relate an event to a job, derived from the job's own
/// events. All times are in milliseconds since the epoch.
#[derive(Debug)]
struct StoryWindow<'a> {
    /// First event of the job, or start of its first failed submission.
    start_ms: u64,
    /// Latest time that is shown.
    end_ms: u64,
    /// First start of a task; the maximum if none was started.
    first_start_ms: u64,
    /// Pool of the job, if it may have run and its pool is known.
    pool: Option<&'a str>,
    /// Runners that were sent starts, with the time of the first one.
    runners: BTreeMap<&'a str, u64>,
    /// VMs of these runners, as far as events name them.
    vms: BTreeSet<&'a str>,
    /// Nodes that owned the pool within the window, in order of time.
    owners: Vec<OwnerSpan<'a>>,
    /// Time from which owners of the pool are shown.
    owners_since_ms: u64,
    /// Submissions of the job that were not accepted.
    failed_calls: Vec<FailedCall<'a>>,
}

/// Period in which a node owned the pool.
#[derive(Debug)]
struct OwnerSpan<'a> {
    node: &'a str,
    from_ms: u64,
    /// When the next owner took the pool.
    to_ms: u64,
}

/// A submission that was not accepted.
#[derive(Debug)]
struct FailedCall<'a> {
    node: &'a str,
    from_ms: u64,
    to_ms: u64,
    /// Losses of the store that may explain the failure.
    losses: Vec<StoreLoss<'a>>,
}

/// A loss of the store that had not ended when the call began.
#[derive(Debug)]
struct StoreLoss<'a> {
    /// Prefix of the keys that the node followed.
    prefix: &'a str,
    from_ms: u64,
    to_ms: u64,
}

/// Selects the events of `candidates` that relate to the job of the events
/// `own`; both are in order of time. `pools` maps queues to their pools.
pub fn select_related(
    own: &[StoryEvent],
    candidates: &[StoryEvent],
    pools: &HashMap<String, String>,
) -> Vec<StoryEvent> {
    let mut window = StoryWindow::from_events(own, pools);
    window.find_vms(candidates);
    window.find_end(own, candidates);
    window.find_owners(candidates);
    window.find_losses(candidates);
    let related = candidates.iter().filter(|event| window.contains(event));
    related.cloned().collect()
}

/// Whether the job was stored, or may have been.
pub fn may_run(own: &[StoryEvent]) -> bool {
    let mut submissions = own.iter().filter_map(submit_outcome).peekable();
    let refused = |outcome| {
        matches!(
            outcome,
            SubmitOutcome::StoreLost
                | SubmitOutcome::Refused
                | SubmitOutcome::Overloaded
                | SubmitOutcome::Cordoned
                | SubmitOutcome::Foreign
                | SubmitOutcome::NoQueue
                | SubmitOutcome::Unconfirmed
        )
    };
    submissions.peek().is_none() || is_picked_up(own) || !submissions.all(refused)
}

/// Whether an owner picked the job up.
pub fn is_picked_up(own: &[StoryEvent]) -> bool {
    let mut kinds = own.iter().map(|event| &event.kind);
    kinds.any(|kind| {
        matches!(
            kind,
            EventKind::JobTaken { .. }
                | EventKind::TaskOrdered { .. }
                | EventKind::JobCancelled
                | EventKind::JobEnded
        )
    })
}

fn submit_outcome(event: &StoryEvent) -> Option<SubmitOutcome> {
    match &event.kind {
        EventKind::Submitted { outcome, .. } => Some(*outcome),
        _ => None,
    }
}

impl<'a> StoryWindow<'a> {
    fn from_events(own: &'a [StoryEvent], pools: &'a HashMap<String, String>) -> Self {
        let failed_calls: Vec<FailedCall> = own.iter().filter_map(FailedCall::from_event).collect();
        let first = own.first().map_or(0, |event| event.time_ms);
        let called = failed_calls.first().map_or(first, |call| call.from_ms);
        let first_start = own.iter().find(|event| is_accepted_start(event));
        Self {
            start_ms: first.min(called),
            end_ms: u64::MAX,
            first_start_ms: first_start.map_or(u64::MAX, |event| event.time_ms),
            pool: may_run(own).then(|| find_pool(own, pools)).flatten(),
            runners: find_runners(own),
            vms: BTreeSet::new(),
            owners: Vec::new(),
            owners_since_ms: first.min(called),
            failed_calls,
        }
    }

    /// Finds the VMs of the runners, as far as events name them.
    fn find_vms(&mut self, candidates: &'a [StoryEvent]) {
        for event in candidates {
            if let (EventSubject::Vm(vm), EventKind::UpkeepWaits { runner }) =
                (&event.subject, &event.kind)
                && self.runners.contains_key(runner.as_str())
            {
                self.vms.insert(vm);
            }
        }
    }

    /// Sets the end of the window; it stays open while the job waits for an owner.
    fn find_end(&mut self, own: &[StoryEvent], candidates: &[StoryEvent]) {
        if may_run(own) && !is_picked_up(own) {
            return;
        }
        let theirs = candidates
            .iter()
            .filter(|event| self.is_about_runner(event));
        let last = own.iter().chain(theirs).map(|event| event.time_ms).max();
        self.end_ms = last.unwrap_or_default().saturating_add(TRAILING_MS);
    }

    /// Finds the owners of the pool, from the one at the start of the window on.
    fn find_owners(&mut self, candidates: &'a [StoryEvent]) {
        let taken = |event: &&StoryEvent| {
            event.kind == EventKind::PoolTaken && event.pool() == self.pool && self.pool.is_some()
        };
        let taken: Vec<&StoryEvent> = candidates.iter().filter(taken).collect();
        let before = taken.iter().rfind(|event| event.time_ms <= self.start_ms);
        if let Some(event) = before {
            self.owners_since_ms = event.time_ms;
        }
        let shown = taken
            .into_iter()
            .filter(|event| (self.owners_since_ms..=self.end_ms).contains(&event.time_ms));
        for event in shown {
            if let Some(last) = self.owners.last_mut() {
                last.to_ms = event.time_ms;
            }
            self.owners.push(OwnerSpan {
                node: &event.node,
                from_ms: event.time_ms,
                to_ms: self.end_ms,
            });
        }
    }

    fn find_losses(&mut self, candidates: &'a [StoryEvent]) {
        for call in &mut self.failed_calls {
            call.find_losses(candidates);
        }
    }

    fn contains(&self, event: &StoryEvent) -> bool {
        self.is_about_runner(event)
            || self.is_about_pool(event)
            || self.is_about_owner(event)
            || self.is_about_capacity(event)
            || self.failed_calls.iter().any(|call| call.contains(event))
    }

    fn is_about_runner(&self, event: &StoryEvent) -> bool {
        match &event.subject {
            EventSubject::Runner(name) => {
                let first_use = self.runners.get(name.as_str());
                first_use.is_some_and(|first_use| event.time_ms + MAX_CLOCK_SKEW_MS >= *first_use)
            }
            EventSubject::Vm(name) => {
                self.vms.contains(name.as_str())
                    && event.time_ms + MAX_CLOCK_SKEW_MS >= self.start_ms
            }
            _ => false,
        }
    }

    fn is_about_pool(&self, event: &StoryEvent) -> bool {
        let from = match event.kind {
            EventKind::PoolNeeds { .. } => return false,
            // A hall may have been cordoned before the job was submitted.
            EventKind::PoolTaken
            | EventKind::HallCordoned { .. }
            | EventKind::HallReleased { .. } => self.owners_since_ms,
            _ => self.start_ms.saturating_sub(MAX_CLOCK_SKEW_MS),
        };
        event.pool().is_some()
            && event.pool() == self.pool
            && (from..=self.end_ms).contains(&event.time_ms)
    }

    fn is_about_owner(&self, event: &StoryEvent) -> bool {
        let is_node_state = matches!(
            event.kind,
            EventKind::NodeGone
                | EventKind::NodeStarted
                | EventKind::NodeStopping
                | EventKind::NodeStopped
                | EventKind::StoreLost { .. }
                | EventKind::StoreRegained { .. }
                | EventKind::MemberNotRenewed
                | EventKind::JournalUnclear
                | EventKind::OwnerUnconfirmed
        );
        let EventSubject::Node(node) = &event.subject else {
            return false;
        };
        is_node_state
            && event.time_ms >= self.start_ms
            && self.owners.iter().any(|span| span.contains(node, event))
    }

    /// Whether the event is about capacity that the job may have waited for.
    fn is_about_capacity(&self, event: &StoryEvent) -> bool {
        let pool = match &event.kind {
            EventKind::PoolNeeds { .. } => event.pool(),
            EventKind::VmMoved { to } => Some(to.as_str()),
            _ => return false,
        };
        pool.is_some()
            && pool == self.pool
            && (self.start_ms..=self.first_start_ms.min(self.end_ms)).contains(&event.time_ms)
    }
}

impl OwnerSpan<'_> {
    fn contains(&self, node: &str, event: &StoryEvent) -> bool {
        self.node == node && (self.from_ms..=self.to_ms).contains(&event.time_ms)
    }
}

impl<'a> FailedCall<'a> {
    fn from_event(event: &'a StoryEvent) -> Option<Self> {
        let EventKind::Submitted {
            outcome, took_ms, ..
        } = &event.kind
        else {
            return None;
        };
        if matches!(outcome, SubmitOutcome::Accepted | SubmitOutcome::Present) {
            return None;
        }
        Some(Self {
            node: &event.node,
            from_ms: event.time_ms.saturating_sub(*took_ms),
            to_ms: event.time_ms,
            losses: Vec::new(),
        })
    }

    /// Finds the losses of the store, as the node saw them, that overlap the call.
    fn find_losses(&mut self, candidates: &'a [StoryEvent]) {
        let here = candidates.iter().filter(|event| event.node == self.node);
        for event in here {
            match &event.kind {
                EventKind::StoreLost { prefix } if event.time_ms <= self.to_ms => {
                    self.losses.push(StoreLoss {
                        prefix,
                        from_ms: event.time_ms,
                        to_ms: u64::MAX,
                    });
                }
                EventKind::StoreRegained { prefix } => {
                    let mut losses = self.losses.iter_mut();
                    let unended =
                        losses.find(|loss| loss.prefix == prefix && loss.to_ms == u64::MAX);
                    if let Some(loss) = unended {
                        loss.to_ms = event.time_ms;
                    }
                }
                _ => {}
            }
        }
        self.losses.retain(|loss| loss.to_ms >= self.from_ms);
    }

    fn contains(&self, event: &StoryEvent) -> bool {
        if event.node != self.node {
            return false;
        }
        let time = event.time_ms;
        match &event.kind {
            EventKind::MemberNotRenewed => {
                (self.from_ms.saturating_sub(CAUSE_LOOKBACK_MS)..=self.to_ms).contains(&time)
            }
            EventKind::CreateFailed { .. } => {
                (self.from_ms..=self.to_ms + MAX_CLOCK_SKEW_MS).contains(&time)
            }
            EventKind::StoreLost { prefix } => {
                let mut losses = self.losses.iter();
                losses.any(|loss| loss.prefix == prefix && loss.from_ms == time)
            }
            EventKind::StoreRegained { prefix } => {
                let mut losses = self.losses.iter();
                losses.any(|loss| loss.prefix == prefix && loss.to_ms == time)
            }
            _ => false,
        }
    }
}

fn is_accepted_start(event: &StoryEvent) -> bool {
    let started = OrderOutcome::Started;
    matches!(&event.kind, EventKind::TaskOrdered { outcome, .. } if *outcome == started)
}

fn find_pool<'a>(own: &'a [StoryEvent], pools: &'a HashMap<String, String>) -> Option<&'a str> {
    let logged = own.iter().find_map(|event| match &event.kind {
        EventKind::JobTaken { pool, .. } => Some(pool),
        _ => None,
    });
    let pool_of_queue = || {
        own.iter().find_map(|event| match &event.kind {
            EventKind::Submitted { queue, .. } => pools.get(queue),
            _ => None,
        })
    };
    logged.or_else(pool_of_queue).map(String::as_str)
}

fn find_runners(own: &[StoryEvent]) -> BTreeMap<&str, u64> {
    let mut runners = BTreeMap::new();
    for event in own {
        if let EventKind::TaskOrdered { run, .. } = &event.kind {
            let first_use = runners.entry(run.runner.as_str());
            first_use.or_insert(event.time_ms);
        }
    }
    runners
}
