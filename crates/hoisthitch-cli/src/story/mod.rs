//! The story of one job: its timeline, rebuilt from log lines, and a diagnosis.
//!
//! Log lines are parsed into events; those that can matter for the job are kept.
//! Once all lines are read, the events are sorted by time and the likeliest
//! cause is derived from them. Throughout, `own` holds the events that name the
//! job and `related` the events of its pool, runners and nodes, both sorted by
//! time. Nothing here reads or writes files.

mod cause;
mod collect;
mod delay;
mod event;
mod line;
mod runs;
mod window;
mod words;

use serde::Serialize;

pub use self::collect::StoryCollector;
use self::{
    cause::StoryEnd,
    event::StoryEvent,
    words::describe_event, //
};

/// The story of a job.
#[derive(Clone, Debug, Serialize)]
pub struct JobStory {
    /// Identifier.
    pub id: String,
    /// Its events, in order of time.
    pub rows: Vec<StoryRow>,
    /// Outcome of the job, and the likeliest cause.
    #[serde(flatten)]
    pub end: StoryEnd,
    /// Numbers of lines read.
    pub counts: LineCounts,
}

/// One event of a story, ready to print.
#[derive(Clone, Debug, Serialize)]
pub struct StoryRow {
    /// Time by the node's clock, as in the log.
    pub time: String,
    /// Node that logged it.
    pub node: String,
    /// What happened.
    pub happened: &'static str,
    /// The event's fields, as they were logged.
    pub inputs: String,
}

/// Numbers of lines read, by result.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct LineCounts {
    /// All lines.
    pub read: u64,
    /// Lines that are not whole log lines.
    pub broken: u64,
    /// Lines with an event that has no parser.
    pub unknown: u64,
    /// Lines dropped at the limit of events kept.
    pub dropped: u64,
}

impl StoryRow {
    fn new(event: &StoryEvent) -> Self {
        Self {
            time: event.formatted_time(),
            node: event.node.clone(),
            happened: describe_event(&event.kind),
            inputs: event.raw_fields.clone(),
        }
    }
}
