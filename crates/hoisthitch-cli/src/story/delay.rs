//! Finds why a job began late, or has not begun.

use std::collections::BTreeMap;

use super::event::{
    EventKind,
    EventSubject,
    OrderOutcome,
    StoryEvent, //
};

/// How long a job waited, according to its own events.
#[derive(Clone, Copy, Debug, Default)]
pub struct JobDelay {
    /// When it was accepted, in milliseconds since the epoch.
    accepted_ms: u64,
    /// When an owner picked it up.
    picked_up_ms: Option<u64>,
    /// When its first task was started.
    started_ms: Option<u64>,
}

impl JobDelay {
    /// Computes the delay from a job's own events, in order of time.
    pub fn from_events(own: &[StoryEvent]) -> Self {
        let first = own.first().map_or(0, |event| event.time_ms);
        let picked_up = own.iter().find_map(|event| match &event.kind {
            // A restored job had begun under an earlier owner: its age is no delay.
            EventKind::JobTaken {
                age_ms,
                restored: false,
                ..
            } => Some((event.time_ms, *age_ms)),
            _ => None,
        });
        let started = own
            .iter()
            .find(|event| is_order(event, OrderOutcome::Started));
        Self {
            accepted_ms: picked_up.map_or(first, |(at, age)| at.saturating_sub(age)),
            picked_up_ms: picked_up.map(|(at, _)| at),
            started_ms: started.map(|event| event.time_ms),
        }
    }

    /// Time from the submission to the first start, in milliseconds; zero
    /// if there was no start.
    pub fn total_ms(&self) -> u64 {
        let started = self.started_ms.unwrap_or(self.accepted_ms);
        started.saturating_sub(self.accepted_ms)
    }

    /// Whether most of the delay passed before an owner picked the job up.
    fn waited_for_owner(&self) -> bool {
        let Some(picked_up) = self.picked_up_ms else {
            return self.started_ms.is_none();
        };
        let waited = picked_up.saturating_sub(self.accepted_ms);
        let started = self.started_ms.unwrap_or(u64::MAX);
        waited > started.saturating_sub(picked_up)
    }
}

/// Explains in a sentence why a job waited; both lists are in order of time.
pub fn wait_cause(own: &[StoryEvent], related: &[StoryEvent], delay: &JobDelay) -> String {
    let waited = match delay.started_ms {
        Some(_) => format!("it began {} ms after its submission: ", delay.total_ms()),
        None => String::new(),
    };
    let cause = if delay.waited_for_owner() {
        owner_cause(related, delay)
    } else {
        start_cause(own, related, delay)
    };
    format!("{waited}{cause}.")
}

fn owner_cause(related: &[StoryEvent], delay: &JobDelay) -> String {
    let until = delay.picked_up_ms.unwrap_or(u64::MAX);
    let within = |event: &&StoryEvent| (delay.accepted_ms..=until).contains(&event.time_ms);
    let mut takeovers = related
        .iter()
        .filter(within)
        .filter(|event| is_takeover(event));
    if let Some(event) = takeovers.next_back() {
        let (node, at) = (&event.node, event.formatted_time());
        return format!("its pool had no owner until {node} took it at {at}");
    }
    let owner = related
        .iter()
        .rfind(|event| is_takeover(event) && event.time_ms <= until);
    match (owner, find_owner_loss(related)) {
        (_, Some(event)) => format!(
            "no owner of its pool shows after {}",
            event.formatted_time()
        ),
        (Some(event), None) => {
            let node = &event.node;
            format!("its pool's owner {node} did not take it in; look at that node and the store")
        }
        (None, None) => "no line tells who owned its pool; add the logs of all nodes".to_owned(),
    }
}

/// Finds the end of the pool's last ownership, if no other one follows.
pub fn find_owner_loss(related: &[StoryEvent]) -> Option<&StoryEvent> {
    let last = related.iter().rposition(is_takeover)?;
    let owner = &related.get(last)?.node;
    let after = related.get(last + 1..).unwrap_or_default();
    after.iter().find(|event| match &event.kind {
        EventKind::PoolLeft { .. } => event.node == *owner,
        EventKind::NodeGone => event.subject == EventSubject::Node(owner.clone()),
        _ => false,
    })
}

fn start_cause(own: &[StoryEvent], related: &[StoryEvent], delay: &JobDelay) -> String {
    let from = delay.picked_up_ms.unwrap_or(delay.accepted_ms);
    let until = delay.started_ms.unwrap_or(u64::MAX);
    let within = |event: &&StoryEvent| (from..=until).contains(&event.time_ms);
    let cordon = cordon_cause(related, from, until);
    let own: Vec<&StoryEvent> = own.iter().filter(within).collect();
    let related: Vec<&StoryEvent> = related.iter().filter(within).collect();
    if let Some(event) = related.iter().rfind(|event| is_takeover(event)) {
        return format!(
            "its pool changed its owner meanwhile, {} took it",
            event.node
        );
    }
    let count_orders = |outcome| own.iter().filter(|event| is_order(event, outcome)).count();
    let unclear = count_orders(OrderOutcome::Unclear);
    let refused = count_orders(OrderOutcome::NoRoom) + count_orders(OrderOutcome::Refused);
    let dropped = own
        .iter()
        .any(|event| event.kind == EventKind::StartDropped);
    if unclear > 0 {
        return format!("{unclear} of its starts had no answer from the runner");
    }
    if dropped {
        return "its start waited behind others of a runner that gave no answer".to_owned();
    }
    if related.iter().any(|event| blocks_orders(event)) {
        return "the owner could not write its journal, and orders nothing meanwhile".to_owned();
    }
    if refused > 0 {
        return format!("{refused} of its starts were refused by the runners");
    }
    cordon.unwrap_or_else(|| capacity_cause(&related))
}

/// Names the data halls of the pool that were cordoned at some time from `from` to `until`.
fn cordon_cause(related: &[StoryEvent], from: u64, until: u64) -> Option<String> {
    let mut cordons: BTreeMap<&str, String> = BTreeMap::new();
    for event in related.iter().filter(|event| event.time_ms <= until) {
        match &event.kind {
            EventKind::HallCordoned { hall } => {
                cordons.insert(hall, event.formatted_time());
            }
            EventKind::HallReleased { hall } if event.time_ms < from => {
                cordons.remove(hall.as_str());
            }
            _ => {}
        }
    }
    let halls = cordons
        .iter()
        .map(|(hall, at)| format!("{hall} since {at}"));
    let halls: Vec<String> = halls.collect();
    (!halls.is_empty()).then(|| {
        format!(
            "its pool has runners in cordoned data halls, which get no starts ({})",
            halls.join(", ")
        )
    })
}

fn capacity_cause(related: &[&StoryEvent]) -> String {
    let needs = related.iter().rev().find_map(|event| match event.kind {
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

/// Whether a node became the pool's owner.
fn is_takeover(event: &StoryEvent) -> bool {
    event.kind == EventKind::PoolTaken
}

/// Whether the owner can't write its journal or confirm that it is the owner,
/// and so sends no orders.
fn blocks_orders(event: &StoryEvent) -> bool {
    matches!(
        event.kind,
        EventKind::JournalUnclear | EventKind::OwnerUnconfirmed
    )
}

fn is_order(event: &StoryEvent, wanted: OrderOutcome) -> bool {
    matches!(&event.kind, EventKind::TaskOrdered { outcome, .. } if *outcome == wanted)
}
