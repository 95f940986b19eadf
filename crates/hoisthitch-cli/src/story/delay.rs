//! Why a job began late, or has not begun.

use super::event::{
    EventKind,
    EventSubject,
    OrderOutcome,
    StoryEvent, //
};

/// How long a job waited, by its own lines.
#[derive(Clone, Copy, Debug, Default)]
pub struct JobDelay {
    /// When it was accepted, in milliseconds since the epoch.
    accepted_at: u64,
    /// When an owner took it in.
    taken_at: Option<u64>,
    /// When its first task was started.
    begun_at: Option<u64>,
}

impl JobDelay {
    /// Reads the delay from a job's lines, in order of time.
    pub fn of(own: &[StoryEvent]) -> Self {
        let first = own.first().map_or(0, |event| event.time_ms);
        let taken = own.iter().find_map(|event| match &event.kind {
            // One that had begun before waits no longer, whatever its age.
            EventKind::Taken {
                age_ms,
                restored: false,
                ..
            } => Some((event.time_ms, *age_ms)),
            _ => None,
        });
        let begun = own
            .iter()
            .find(|event| is_order(event, OrderOutcome::Started));
        Self {
            accepted_at: taken.map_or(first, |(at, age)| at.saturating_sub(age)),
            taken_at: taken.map(|(at, _)| at),
            begun_at: begun.map(|event| event.time_ms),
        }
    }

    /// Time from the submission to the first start, in milliseconds; zero
    /// while there is none.
    pub fn total_ms(&self) -> u64 {
        let begun = self.begun_at.unwrap_or(self.accepted_at);
        begun.saturating_sub(self.accepted_at)
    }

    /// Whether most of the delay passed before an owner took the job in.
    fn is_owners(&self) -> bool {
        let Some(taken) = self.taken_at else {
            return self.begun_at.is_none();
        };
        let waited = taken.saturating_sub(self.accepted_at);
        let begun = self.begun_at.unwrap_or(u64::MAX);
        waited > begun.saturating_sub(taken)
    }
}

/// Why a job waited, in a sentence; both lists are in order of time.
pub fn wait_cause(own: &[StoryEvent], around: &[StoryEvent], delay: &JobDelay) -> String {
    let waited = match delay.begun_at {
        Some(_) => format!("it began {} ms after its submission: ", delay.total_ms()),
        None => String::new(),
    };
    let cause = if delay.is_owners() {
        owner_cause(around, delay)
    } else {
        start_cause(own, around, delay)
    };
    format!("{waited}{cause}.")
}

fn owner_cause(around: &[StoryEvent], delay: &JobDelay) -> String {
    let until = delay.taken_at.unwrap_or(u64::MAX);
    let within = |event: &&StoryEvent| (delay.accepted_at..=until).contains(&event.time_ms);
    let mut taken = around.iter().filter(within).filter(|event| is_taken(event));
    if let Some(event) = taken.next_back() {
        let (node, at) = (&event.node, event.clock());
        return format!("its pool had no owner until {node} took it at {at}");
    }
    let owner = around
        .iter()
        .rfind(|event| is_taken(event) && event.time_ms <= until);
    match (owner, ownerless(around)) {
        (_, Some(event)) => format!("no owner of its pool shows after {}", event.clock()),
        (Some(event), None) => {
            let node = &event.node;
            format!("its pool's owner {node} did not take it in; look at that node and the store")
        }
        (None, None) => "no line tells who owned its pool; add the logs of all nodes".to_owned(),
    }
}

/// The end of the last ownership, if no other one follows.
pub fn ownerless(around: &[StoryEvent]) -> Option<&StoryEvent> {
    let last = around.iter().rposition(is_taken)?;
    let owner = &around.get(last)?.node;
    let after = around.get(last + 1..).unwrap_or_default();
    after.iter().find(|event| match &event.kind {
        EventKind::PoolLeft { .. } => event.node == *owner,
        EventKind::NodeGone => event.subject == EventSubject::Node(owner.clone()),
        _ => false,
    })
}

fn start_cause(own: &[StoryEvent], around: &[StoryEvent], delay: &JobDelay) -> String {
    let from = delay.taken_at.unwrap_or(delay.accepted_at);
    let until = delay.begun_at.unwrap_or(u64::MAX);
    let within = |event: &&StoryEvent| (from..=until).contains(&event.time_ms);
    let own: Vec<&StoryEvent> = own.iter().filter(within).collect();
    let around: Vec<&StoryEvent> = around.iter().filter(within).collect();
    if let Some(event) = around.iter().rfind(|event| is_taken(event)) {
        return format!(
            "its pool changed its owner meanwhile, {} took it",
            event.node
        );
    }
    let told = |outcome| own.iter().filter(|event| is_order(event, outcome)).count();
    let unclear = told(OrderOutcome::Unclear);
    let refused = told(OrderOutcome::NoRoom) + told(OrderOutcome::Refused);
    let dropped = own
        .iter()
        .any(|event| event.kind == EventKind::StartDropped);
    if unclear > 0 {
        return format!("{unclear} of its starts had no answer from the runner");
    }
    if dropped {
        return "its start waited behind others of a runner that gave no answer".to_owned();
    }
    if around.iter().any(|event| is_unwritten(event)) {
        return "the owner could not write its journal, and orders nothing meanwhile".to_owned();
    }
    if refused > 0 {
        return format!("{refused} of its starts were refused by the runners");
    }
    room_cause(&around)
}

fn room_cause(around: &[&StoryEvent]) -> String {
    let needs = around.iter().rev().find_map(|event| match event.kind {
        EventKind::PoolNeeds { want, has } => Some((want, has)),
        _ => None,
    });
    match needs {
        Some((want, has)) => {
            format!("its pool had no room: it wanted {want} VMs and had {has}")
        }
        None => "no line tells why; its pool's room may have gone to other jobs".to_owned(),
    }
}

fn is_taken(event: &StoryEvent) -> bool {
    event.kind == EventKind::PoolTaken
}

fn is_unwritten(event: &StoryEvent) -> bool {
    matches!(
        event.kind,
        EventKind::JournalUnclear | EventKind::OwnerUnconfirmed
    )
}

fn is_order(event: &StoryEvent, wanted: OrderOutcome) -> bool {
    matches!(&event.kind, EventKind::Ordered { outcome, .. } if *outcome == wanted)
}
