//! The story of one job, told from log lines.
//!
//! Lines are parsed into events; those that matter for the job are kept and,
//! once all lines were read, put in order and judged. Nothing here reads or
//! writes files.

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
    words::happened, //
};

/// The story of a job.
#[derive(Clone, Debug, Serialize)]
pub struct JobStory {
    /// Identifier.
    pub id: String,
    /// What happened, in order of time.
    pub rows: Vec<StoryRow>,
    /// What became of the job, and why.
    #[serde(flatten)]
    pub end: StoryEnd,
    /// What was read.
    pub counts: LineCounts,
}

/// One event of a story, ready to print.
#[derive(Clone, Debug, Serialize)]
pub struct StoryRow {
    /// Time, by the node's clock.
    pub time: String,
    /// Node that logged it.
    pub node: String,
    /// What happened.
    pub happened: &'static str,
    /// What the line names besides, as it was logged.
    pub inputs: String,
}

/// Lines that were read, by what came of them.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct LineCounts {
    /// All lines.
    pub read: u64,
    /// Lines that are not whole log lines.
    pub broken: u64,
    /// Lines of events without a rule.
    pub unknown: u64,
    /// Lines that no longer fitted the memory set aside.
    pub dropped: u64,
}

impl StoryRow {
    fn new(event: &StoryEvent) -> Self {
        Self {
            time: event.clock(),
            node: event.node.clone(),
            happened: happened(&event.kind),
            inputs: event.inputs.clone(),
        }
    }
}
