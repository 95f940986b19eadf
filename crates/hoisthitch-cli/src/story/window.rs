//! Chooses the lines that don't name the job but belong to its story: of its
//! pool, of the runners that its tasks ran on, and of the nodes behind both.

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

/// Difference that nodes' clocks may have, in milliseconds; nodes keep theirs
/// by a time service.
const SKEW_MS: u64 = 1_000;

/// Time before a failed submission in which its cause is looked for, in
/// milliseconds: some renewals of a membership.
const BEFORE_MS: u64 = 10_000;

/// Time after the last line of the job or its runners that is still shown, in
/// milliseconds: longer than a lost owner is replaced in.
const AFTER_MS: u64 = 30_000;

/// What surrounds a job, by its own lines.
#[derive(Debug)]
struct StoryWindow<'a> {
    /// First moment of the job.
    start: u64,
    /// Last moment that is shown.
    end: u64,
    /// First start of a task, or the end.
    begun: u64,
    pool: Option<&'a str>,
    /// Time since which each runner was used.
    runners: BTreeMap<&'a str, u64>,
    vms: BTreeSet<&'a str>,
    /// Nodes that owned the pool meanwhile, in order of time.
    owners: Vec<OwnerSpan<'a>>,
    /// Time since which owners of the pool are shown.
    owned: u64,
    calls: Vec<FailedCall<'a>>,
}

/// Time in which a node owned the pool.
#[derive(Debug)]
struct OwnerSpan<'a> {
    node: &'a str,
    from: u64,
    /// When the next owner took the pool.
    to: u64,
}

/// A submission that was not accepted.
#[derive(Debug)]
struct FailedCall<'a> {
    node: &'a str,
    from: u64,
    to: u64,
    losses: Vec<StoreLoss<'a>>,
}

/// A loss of the store that lasted into a call.
#[derive(Debug)]
struct StoreLoss<'a> {
    prefix: &'a str,
    from: u64,
    to: u64,
}

/// Chooses from `around` what belongs to the job of the lines `own`; both are
/// in order of time. `pools` holds the pools of queues.
pub fn choose(
    own: &[StoryEvent],
    around: &[StoryEvent],
    pools: &HashMap<String, String>,
) -> Vec<StoryEvent> {
    let mut window = StoryWindow::open(own, pools);
    window.find_vms(around);
    window.find_end(own, around);
    window.find_owners(around);
    window.find_losses(around);
    let chosen = around.iter().filter(|event| window.holds(event));
    chosen.cloned().collect()
}

/// Whether the job was kept, or may have been.
pub fn may_run(own: &[StoryEvent]) -> bool {
    let mut submissions = own.iter().filter_map(submit_outcome).peekable();
    let refused = |outcome| {
        matches!(
            outcome,
            SubmitOutcome::StoreLost
                | SubmitOutcome::Refused
                | SubmitOutcome::NoQueue
                | SubmitOutcome::Unconfirmed
        )
    };
    submissions.peek().is_none() || is_taken(own) || !submissions.all(refused)
}

/// Whether an owner took the job in.
pub fn is_taken(own: &[StoryEvent]) -> bool {
    let mut kinds = own.iter().map(|event| &event.kind);
    kinds.any(|kind| {
        matches!(
            kind,
            EventKind::Taken { .. }
                | EventKind::Ordered { .. }
                | EventKind::Cancelled
                | EventKind::Ended
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
    fn open(own: &'a [StoryEvent], pools: &'a HashMap<String, String>) -> Self {
        let calls: Vec<FailedCall> = own.iter().filter_map(FailedCall::of).collect();
        let first = own.first().map_or(0, |event| event.time_ms);
        let called = calls.first().map_or(first, |call| call.from);
        let begun = own.iter().find(|event| is_start(event));
        Self {
            start: first.min(called),
            end: u64::MAX,
            begun: begun.map_or(u64::MAX, |event| event.time_ms),
            pool: may_run(own).then(|| find_pool(own, pools)).flatten(),
            runners: find_runners(own),
            vms: BTreeSet::new(),
            owners: Vec::new(),
            owned: first.min(called),
            calls,
        }
    }

    /// Finds the VMs of the runners, as far as lines tell.
    fn find_vms(&mut self, around: &'a [StoryEvent]) {
        for event in around {
            if let (EventSubject::Vm(vm), EventKind::UpkeepWaits { runner }) =
                (&event.subject, &event.kind)
                && self.runners.contains_key(runner.as_str())
            {
                self.vms.insert(vm);
            }
        }
    }

    /// A job that waits for an owner has no end.
    fn find_end(&mut self, own: &[StoryEvent], around: &[StoryEvent]) {
        if may_run(own) && !is_taken(own) {
            return;
        }
        let theirs = around.iter().filter(|event| self.is_of_runner(event));
        let last = own.iter().chain(theirs).map(|event| event.time_ms).max();
        self.end = last.unwrap_or_default().saturating_add(AFTER_MS);
    }

    fn find_owners(&mut self, around: &'a [StoryEvent]) {
        let taken = |event: &&StoryEvent| {
            event.kind == EventKind::PoolTaken && event.pool() == self.pool && self.pool.is_some()
        };
        let taken: Vec<&StoryEvent> = around.iter().filter(taken).collect();
        let before = taken.iter().rfind(|event| event.time_ms <= self.start);
        if let Some(event) = before {
            self.owned = event.time_ms;
        }
        let shown = taken
            .into_iter()
            .filter(|event| (self.owned..=self.end).contains(&event.time_ms));
        for event in shown {
            if let Some(last) = self.owners.last_mut() {
                last.to = event.time_ms;
            }
            self.owners.push(OwnerSpan {
                node: &event.node,
                from: event.time_ms,
                to: self.end,
            });
        }
    }

    fn find_losses(&mut self, around: &'a [StoryEvent]) {
        for call in &mut self.calls {
            call.find_losses(around);
        }
    }

    fn holds(&self, event: &StoryEvent) -> bool {
        self.is_of_runner(event)
            || self.is_of_pool(event)
            || self.is_of_owner(event)
            || self.is_of_room(event)
            || self.calls.iter().any(|call| call.holds(event))
    }

    fn is_of_runner(&self, event: &StoryEvent) -> bool {
        match &event.subject {
            EventSubject::Runner(name) => {
                let used = self.runners.get(name.as_str());
                used.is_some_and(|used| event.time_ms + SKEW_MS >= *used)
            }
            EventSubject::Vm(name) => {
                self.vms.contains(name.as_str()) && event.time_ms + SKEW_MS >= self.start
            }
            _ => false,
        }
    }

    fn is_of_pool(&self, event: &StoryEvent) -> bool {
        let from = match event.kind {
            EventKind::PoolNeeds { .. } => return false,
            EventKind::PoolTaken => self.owned,
            _ => self.start.saturating_sub(SKEW_MS),
        };
        event.pool().is_some()
            && event.pool() == self.pool
            && (from..=self.end).contains(&event.time_ms)
    }

    fn is_of_owner(&self, event: &StoryEvent) -> bool {
        let tells = matches!(
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
        tells
            && event.time_ms >= self.start
            && self.owners.iter().any(|span| span.holds(node, event))
    }

    /// Room that the job may have waited for.
    fn is_of_room(&self, event: &StoryEvent) -> bool {
        let pool = match &event.kind {
            EventKind::PoolNeeds { .. } => event.pool(),
            EventKind::VmMoved { to } => Some(to.as_str()),
            _ => return false,
        };
        pool.is_some()
            && pool == self.pool
            && (self.start..=self.begun.min(self.end)).contains(&event.time_ms)
    }
}

impl OwnerSpan<'_> {
    fn holds(&self, node: &str, event: &StoryEvent) -> bool {
        self.node == node && (self.from..=self.to).contains(&event.time_ms)
    }
}

impl<'a> FailedCall<'a> {
    fn of(event: &'a StoryEvent) -> Option<Self> {
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
            from: event.time_ms.saturating_sub(*took_ms),
            to: event.time_ms,
            losses: Vec::new(),
        })
    }

    fn find_losses(&mut self, around: &'a [StoryEvent]) {
        let here = around.iter().filter(|event| event.node == self.node);
        for event in here {
            match &event.kind {
                EventKind::StoreLost { prefix } if event.time_ms <= self.to => {
                    self.losses.push(StoreLoss {
                        prefix,
                        from: event.time_ms,
                        to: u64::MAX,
                    });
                }
                EventKind::StoreRegained { prefix } => {
                    let mut open = self.losses.iter_mut();
                    let open = open.find(|loss| loss.prefix == prefix && loss.to == u64::MAX);
                    if let Some(loss) = open {
                        loss.to = event.time_ms;
                    }
                }
                _ => {}
            }
        }
        self.losses.retain(|loss| loss.to >= self.from);
    }

    fn holds(&self, event: &StoryEvent) -> bool {
        if event.node != self.node {
            return false;
        }
        let time = event.time_ms;
        match &event.kind {
            EventKind::MemberNotRenewed => {
                (self.from.saturating_sub(BEFORE_MS)..=self.to).contains(&time)
            }
            EventKind::CreateFailed { .. } => (self.from..=self.to + SKEW_MS).contains(&time),
            EventKind::StoreLost { prefix } => {
                let mut losses = self.losses.iter();
                losses.any(|loss| loss.prefix == prefix && loss.from == time)
            }
            EventKind::StoreRegained { prefix } => {
                let mut losses = self.losses.iter();
                losses.any(|loss| loss.prefix == prefix && loss.to == time)
            }
            _ => false,
        }
    }
}

fn is_start(event: &StoryEvent) -> bool {
    let started = OrderOutcome::Started;
    matches!(&event.kind, EventKind::Ordered { outcome, .. } if *outcome == started)
}

fn find_pool<'a>(own: &'a [StoryEvent], pools: &'a HashMap<String, String>) -> Option<&'a str> {
    let taken = own.iter().find_map(|event| match &event.kind {
        EventKind::Taken { pool, .. } => Some(pool),
        _ => None,
    });
    let asked = || {
        own.iter().find_map(|event| match &event.kind {
            EventKind::Submitted { queue, .. } => pools.get(queue),
            _ => None,
        })
    };
    taken.or_else(asked).map(String::as_str)
}

fn find_runners(own: &[StoryEvent]) -> BTreeMap<&str, u64> {
    let mut runners = BTreeMap::new();
    for event in own {
        if let EventKind::Ordered { run, .. } = &event.kind {
            let used = runners.entry(run.runner.as_str());
            used.or_insert(event.time_ms);
        }
    }
    runners
}
