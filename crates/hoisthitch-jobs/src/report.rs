//! What runners report.

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndKind {
    /// The task is done.
    Done,
    /// The run failed.
    Failed,
    /// It was told to stop.
    Stopped,
    /// Its lease lapsed.
    LeaseExpired,
    /// Another member of its gang ended.
    GangBroken,
    /// The other members of its gang did not come.
    GangIncomplete,
}

/// A task that a runner runs.
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
    /// Tail of answers in milliseconds for a serving task, else thousandths of
    /// a core in use.
    pub load: u64,
}

/// A run that ended and that the runner has not been told to forget.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndedTask {
    /// Number of the end on its runner, rising from 1.
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

/// What a runner holds.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HeartbeatReport {
    /// Clock of the runner, in milliseconds.
    pub clock_ms: u64,
    /// When the life that answers started, as in [`crate::RunnerInstance`]; none where that
    /// is not told.
    pub started_at: Option<u64>,
    /// Tasks that run.
    pub running: Vec<RunningTask>,
    /// Runs that ended.
    pub ended: Vec<EndedTask>,
}

/// What became of an order to start a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartOutcome {
    /// The runner has the run.
    Started,
    /// The runner has no room; nothing was started.
    NoRoom,
    /// The runner is not well; nothing was started.
    Refused,
    /// The order came when the lease that it names was over; nothing was started.
    Late,
    /// It was not sent: it waited too long, or its lease was over.
    NotSent,
    /// The adviser's leave is missing or over; nothing was started.
    NoTicket,
    /// The runner ended that run, or a later one, before.
    Old,
    /// A later owner gives orders there.
    Fenced,
    /// Another life of the runner answered.
    WrongLife,
    /// There was no answer; the start may still happen.
    Unclear,
}
