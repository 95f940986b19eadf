//! Tasks, their names and states, and the orders that start and stop them.
//!
//! Each start of a task is a run with a number of its own, counted up from 1. The owner knows
//! the state of a task's last run only from what it ordered and from what the runner reported.

use std::fmt::{
    self,
    Display, //
};

use crate::{
    Millis,
    job::JobKey,
    runner::RunnerKey,
    suspicion::TaskSuspicion, //
};

/// Reference to a task in the owner's memory.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskRef {
    /// Job of the task.
    pub job: JobKey,
    /// Index in the job's list of tasks.
    pub slot: usize,
}

/// Name of a task, as runners see it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct TaskName {
    /// Identifier of the job.
    pub job: String,
    /// Number of the round, from 0.
    pub round: u32,
    /// Number of the step, from 0.
    pub step: u32,
    /// Number within the step, from 0.
    pub index: u32,
}

impl Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{}.{}.{}",
            self.job, self.round, self.step, self.index
        )
    }
}

impl TaskName {
    /// Parses a name; `None` if the text is not a task's name.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('.');
        let name = Self {
            job: parts.next()?.to_owned(),
            round: parts.next()?.parse().ok()?,
            step: parts.next()?.parse().ok()?,
            index: parts.next()?.parse().ok()?,
        };
        parts.next().is_none().then_some(name)
    }
}

/// State of a task, as far as its owner knows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TaskState {
    /// It runs nowhere, and no start is planned.
    Waiting,
    /// A start is planned, and not recorded yet.
    Planned(RunnerKey),
    /// A start is recorded; it was sent, or is about to be.
    Ordered(RunnerKey),
    /// The runner reported that it runs.
    Running(RunnerKey),
    /// It was ordered to stop.
    Stopping(RunnerKey),
    /// It may run on a runner that has not responded since it was ordered. Either an earlier
    /// owner ordered it, or this owner sent the start to an instance of the runner that has
    /// ended, and it may have reached another one.
    Unconfirmed {
        /// Name of the runner.
        runner: String,
        /// Start time of the instance that was ordered to run it; none where that is not
        /// known.
        started_at: Option<u64>,
        /// Time by which the run has ended for certain.
        until: Millis,
    },
    /// It is done.
    Done,
}

/// A task of a job.
#[derive(Clone, Debug)]
pub struct TaskEntry {
    /// Number of the round.
    pub round: u32,
    /// Number of the step.
    pub step: u32,
    /// Number within the step.
    pub index: u32,
    /// State of the task.
    pub state: TaskState,
    /// Number of the last run; zero before the first.
    pub run: u32,
    /// Number of an earlier run whose start was carried out late and which is being stopped;
    /// none where the runner has the last run.
    pub earlier_run: Option<u32>,
    /// Number of runs that failed.
    pub failed: u32,
    /// What the losses of runners that ran it say against it.
    pub suspicion: TaskSuspicion,
    /// Last saved progress; empty for none.
    pub checkpoint: String,
    /// Progress that the runner reported last, in percent.
    pub percent: u32,
    /// When the state or the progress last changed.
    pub changed_at: Millis,
    /// When the last run was first reported as running.
    pub began_at: Millis,
    /// Tail latency in milliseconds for a serving task, else processor use in thousandths of a
    /// core.
    pub load: u64,
    /// Share of full speed at which a best-effort task may run, in percent.
    pub pace: u32,
    /// Time until which an earlier order about that share may still be carried out.
    pub pace_unconfirmed_until: Millis,
    /// When the last start or stop was sent.
    pub ordered_at: Millis,
    /// When the last run was decided on, that is, when its record was written.
    pub decided_at: Millis,
    /// Earliest time at which the last run may have begun; none where an earlier owner ordered it.
    pub begun_after: Option<Millis>,
    /// Number of copies of the last run's start that were sent, or are about to be.
    pub copies: u32,
    /// When the runner acknowledged a stop; none before.
    pub stopped_at: Option<Millis>,
    /// Whether the runner's last report contains the run.
    pub reported: bool,
    /// Whether the last copy of the start got no answer, so that it may have to be sent again.
    pub outcome_unknown: bool,
    /// Whether any copy of the run's start got no answer: it may be carried out late, whatever
    /// became of later copies.
    pub any_start_unanswered: bool,
    /// Time by which no copy of the start that got no answer can be carried out any more: each
    /// copy names the end of the runner's lease, and is rejected after it.
    pub start_expires_at: Millis,
    /// Runner on which the last failed run was.
    pub failed_on: Option<RunnerKey>,
    /// Since when the task is unavailable; none while it is available.
    pub unavailable_since: Option<Millis>,
}

/// Order to start a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartOrder {
    /// Task to start.
    pub task: TaskRef,
    /// Runner of the task.
    pub runner: RunnerKey,
    /// Name of the task.
    pub name: TaskName,
    /// Number of the run.
    pub run: u32,
    /// Payload of the job.
    pub payload: String,
    /// Saved progress to resume from; empty for none.
    pub checkpoint: String,
    /// The adviser's ticket for this runner; empty where none is needed.
    pub ticket: String,
    /// When the run was decided on.
    pub decided_at: Millis,
    /// Number of this copy of the run's start, from 1.
    pub copy: u32,
    /// When it was sent; none before that.
    pub sent_at: Option<Millis>,
}

/// Order to stop a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StopOrder {
    /// Runner of the task.
    pub runner: RunnerKey,
    /// Name of the task.
    pub name: TaskName,
    /// Number of the run.
    pub run: u32,
}

/// A run that its owner has given up, by whatever way it ended, and of whose start a copy may
/// still be queued.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AbandonedRun {
    /// Runner that was ordered to run it.
    pub runner: RunnerKey,
    /// Name of the task.
    pub name: TaskName,
    /// Number of the run.
    pub run: u32,
}

impl TaskEntry {
    /// A waiting task that has never run.
    pub fn new(round: u32, step: u32, index: u32, now: Millis) -> Self {
        Self {
            round,
            step,
            index,
            state: TaskState::Waiting,
            run: 0,
            earlier_run: None,
            failed: 0,
            suspicion: TaskSuspicion::default(),
            checkpoint: String::new(),
            percent: 0,
            changed_at: now,
            began_at: now,
            load: 0,
            pace: 100,
            pace_unconfirmed_until: 0,
            ordered_at: 0,
            decided_at: 0,
            begun_after: None,
            copies: 0,
            stopped_at: None,
            reported: false,
            outcome_unknown: false,
            any_start_unanswered: false,
            start_expires_at: 0,
            failed_on: None,
            unavailable_since: Some(now),
        }
    }

    /// Runner on which the task has resources reserved.
    pub fn runner(&self) -> Option<RunnerKey> {
        match self.state {
            TaskState::Planned(runner)
            | TaskState::Ordered(runner)
            | TaskState::Running(runner)
            | TaskState::Stopping(runner) => Some(runner),
            TaskState::Waiting | TaskState::Unconfirmed { .. } | TaskState::Done => None,
        }
    }

    /// Runner for which a copy of the last run's start may be queued: before the first response
    /// to a start, and after a start without one.
    pub(crate) fn start_queued_for(&self) -> Option<RunnerKey> {
        match self.state {
            TaskState::Ordered(runner) => Some(runner),
            TaskState::Running(runner) | TaskState::Stopping(runner) => {
                Some(runner).filter(|_| self.any_start_unanswered)
            }
            TaskState::Waiting
            | TaskState::Planned(_)
            | TaskState::Unconfirmed { .. }
            | TaskState::Done => None,
        }
    }

    /// Number of the run that its runner has.
    pub(crate) fn current_run(&self) -> u32 {
        self.earlier_run.unwrap_or(self.run)
    }

    /// Whether its runner reported that it runs.
    pub(crate) fn is_running(&self) -> bool {
        matches!(self.state, TaskState::Running(_))
    }

    /// Whether the task is done.
    pub fn is_done(&self) -> bool {
        self.state == TaskState::Done
    }
}
