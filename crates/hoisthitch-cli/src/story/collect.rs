//! Keeps the lines that can matter for one job, within a bound.

use std::collections::{
    HashMap,
    VecDeque, //
};

use super::{
    JobStory,
    LineCounts,
    StoryRow,
    cause::judge,
    event::{
        EventKind,
        EventSubject,
        ReadLine,
        StoryEvent, //
    },
    window::choose, //
};

/// Events kept of the job, and as many of its surroundings; an event takes a
/// few hundred bytes, so that both together fit a small machine.
const EVENT_LIMIT: usize = 100_000;

/// Queues whose pool is remembered; the largest tables have a few hundred.
const QUEUE_LIMIT: usize = 10_000;

/// Collects the lines of one job.
#[derive(Debug)]
pub struct StoryCollector {
    id: String,
    own: BoundedEvents,
    around: BoundedEvents,
    /// Pools of queues, as seen in the lines of all jobs.
    pools: HashMap<String, String>,
    counts: LineCounts,
}

/// The latest events that were read.
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
            around: BoundedEvents::default(),
            pools: HashMap::new(),
            counts: LineCounts::default(),
        }
    }

    /// Takes a line in.
    pub fn take_line(&mut self, text: &str) {
        self.counts.read += 1;
        match StoryEvent::read(text) {
            ReadLine::Known(event) => self.take_event(event),
            ReadLine::Unknown => self.counts.unknown += 1,
            ReadLine::Broken => self.counts.broken += 1,
        }
    }

    /// Counts a line that was too long to be read.
    pub fn skip_line(&mut self) {
        self.counts.read += 1;
        self.counts.broken += 1;
    }

    /// Tells the story.
    ///
    /// # Errors
    ///
    /// Without a line that names the job, what was read is returned.
    pub fn finish(self) -> Result<JobStory, LineCounts> {
        let counts = LineCounts {
            dropped: self.own.dropped + self.around.dropped,
            ..self.counts
        };
        let own = self.own.in_order();
        if own.is_empty() {
            return Err(counts);
        }
        let around = choose(&own, &self.around.in_order(), &self.pools);
        let end = judge(&self.id, &own, &around);
        let mut events: Vec<StoryEvent> = own.into_iter().chain(around).collect();
        events.sort_by_key(|event| event.time_ms);
        Ok(JobStory {
            id: self.id,
            rows: events.iter().map(StoryRow::new).collect(),
            end,
            counts,
        })
    }

    fn take_event(&mut self, event: StoryEvent) {
        if let EventKind::Taken { queue, pool, .. } = &event.kind
            && self.pools.len() < QUEUE_LIMIT
        {
            self.pools.insert(queue.clone(), pool.clone());
        }
        match &event.subject {
            EventSubject::Job(job) if *job == self.id => self.own.push(event),
            EventSubject::Job(_) => {}
            _ if has_room(&event.kind) => {}
            _ => self.around.push(event),
        }
    }
}

/// Whether a pool tells that it lacks nothing, which explains no delay.
fn has_room(kind: &EventKind) -> bool {
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
