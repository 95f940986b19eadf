//! What runners report about their runs, and the outcomes of start orders.

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndKind {
    /// The task is done.
    Done,
    /// The run failed.
    Failed,
    /// It was ordered to stop.
    Stopped,
    /// Its lease ran out.
    LeaseExpired,
    /// Another member of its gang ended.
    GangBroken,
    /// The other members of its gang did not start.
    GangIncomplete,
}

/// A task that is running on a runner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunningTask {
    /// Name of the task.
    pub name: String,
    /// Number of the run.
    pub run: u32,
    /// Last saved progress.
    pub checkpoint: String,
    /// Share of the work done, in percent.
    pub percent: u32,
    /// Tail latency in milliseconds for a serving task, else processor use in thousandths of a
    /// core.
    pub load: u64,
}

/// A run that ended and that the runner was not yet allowed to forget.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndedTask {
    /// Number of the end on its runner, counted up from 1.
    pub number: u64,
    /// Name of the task.
    pub name: String,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub kind: EndKind,
    /// Last saved progress.
    pub checkpoint: String,
}

/// A runner's response to a heartbeat: what runs there and what has ended.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HeartbeatReport {
    /// The runner's clock, in milliseconds.
    pub clock_ms: u64,
    /// When the instance that answers started, as in [`crate::RunnerInstance`]; none where the
    /// runner does not report it.
    pub started_at: Option<u64>,
    /// Tasks that are running.
    pub running: Vec<RunningTask>,
    /// Runs that ended, and were not yet acknowledged as recorded; the earliest come first.
    pub ended: Vec<EndedTask>,
    /// Whether more runs may have ended than are listed: a runner lists a limited number of ends
    /// at once. A run that is not listed at all may then have ended in any way.
    pub more_ends: bool,
}

/// What became of a start order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartOutcome {
    /// The runner has the run.
    Started,
    /// The runner had no free capacity; nothing was started.
    NoRoom,
    /// The runner reported trouble of its own; nothing was started.
    Refused,
    /// The order arrived after the end of the lease that it names; nothing was started.
    Late,
    /// It was not sent: it waited for too long, or its lease had ended.
    NotSent,
    /// The adviser's ticket is missing or has expired; nothing was started.
    NoTicket,
    /// The runner had already ended that run or a later one.
    Old,
    /// A later owner has taken control of the runner.
    Fenced,
    /// Another instance of the runner answered.
    WrongLife,
    /// There was no answer; the start may still be carried out.
    Unclear,
}
