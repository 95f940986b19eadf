//! Collects the events that can matter for one job, in bounded memory.
//!
//! Log lines go in one by one; at the end the job's own events and the related
//! ones come out as one timeline with a diagnosis.

use std::collections::{
    HashMap,
    VecDeque, //
};

use super::{
    JobStory,
    LineCounts,
    StoryRow,
    cause::diagnose,
    event::{
        EventKind,
        EventSubject,
        ParsedLine,
        StoryEvent, //
    },
    window::select_related, //
};

/// Limit of the job's own events, and also of the events that may be related;
/// an event takes a few hundred bytes, so that both together fit in the memory
/// of a small machine.
const EVENT_LIMIT: usize = 100_000;

/// Queues whose pool is stored; the largest tables have a few hundred.
const QUEUE_LIMIT: usize = 10_000;

/// Collects the events of one job.
#[derive(Debug)]
pub struct StoryCollector {
    id: String,
    /// Events that name the job.
    own: BoundedEvents,
    /// Events about pools, runners, VMs and nodes, which may be related to it.
    candidates: BoundedEvents,
    /// Pool of each queue, as logged for any job.
    pools: HashMap<String, String>,
    counts: LineCounts,
}

/// The latest events that were read; the oldest are dropped at the limit.
#[derive(Debug, Default)]
struct BoundedEvents {
    events: VecDeque<StoryEvent>,
    dropped: u64,
}

impl StoryCollector {
    /// Collector for the job `id`.
    pub fn new(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            own: BoundedEvents::default(),
            candidates: BoundedEvents::default(),
            pools: HashMap::new(),
            counts: LineCounts::default(),
        }
    }

    /// Parses a line and keeps its event if it can matter.
    pub fn add_line(&mut self, text: &str) {
        self.counts.read += 1;
        match StoryEvent::parse(text) {
            ParsedLine::Known(event) => self.add_event(event),
            ParsedLine::Unknown => self.counts.unknown += 1,
            ParsedLine::Broken => self.counts.broken += 1,
        }
    }

    /// Counts a line that exceeded the length limit as broken.
    pub fn skip_line(&mut self) {
        self.counts.read += 1;
        self.counts.broken += 1;
    }

    /// Selects the related events and returns the story.
    ///
    /// # Errors
    ///
    /// Returns the counts of the lines read if no event names the job.
    pub fn finish(self) -> Result<JobStory, LineCounts> {
        let counts = LineCounts {
            dropped: self.own.dropped + self.candidates.dropped,
            ..self.counts
        };
        let own = self.own.in_order();
        if own.is_empty() {
            return Err(counts);
        }
        let related = select_related(&own, &self.candidates.in_order(), &self.pools);
        let end = diagnose(&self.id, &own, &related);
        let mut events: Vec<StoryEvent> = own.into_iter().chain(related).collect();
        events.sort_by_key(|event| event.time_ms);
        Ok(JobStory {
            id: self.id,
            rows: events.iter().map(StoryRow::new).collect(),
            end,
            counts,
        })
    }

    fn add_event(&mut self, event: StoryEvent) {
        if let EventKind::JobTaken { queue, pool, .. } = &event.kind
            && self.pools.len() < QUEUE_LIMIT
        {
            self.pools.insert(queue.clone(), pool.clone());
        }
        match &event.subject {
            EventSubject::Job(job) if *job == self.id => self.own.push(event),
            EventSubject::Job(_) => {}
            _ if has_enough_vms(&event.kind) => {}
            _ => self.candidates.push(event),
        }
    }
}

/// Whether a pool reports that it has all VMs it wants, which explains no delay.
fn has_enough_vms(kind: &EventKind) -> bool {
    matches!(kind, EventKind::PoolNeeds { want, has } if has >= want)
}

impl BoundedEvents {
    fn push(&mut self, event: StoryEvent) {
        if self.events.len() >= EVENT_LIMIT {
            self.events.pop_front();
            self.dropped += 1;
        }
        self.events.push_back(event);
    }

    fn in_order(self) -> Vec<StoryEvent> {
        let mut events: Vec<StoryEvent> = self.events.into();
        events.sort_by_key(|event| event.time_ms);
        events
    }
}
