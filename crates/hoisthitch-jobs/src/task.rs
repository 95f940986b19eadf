//! Tasks, their names and the orders about them.

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

/// Place of a task in the owner's memory.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct TaskRef {
    /// Its job.
    pub job: JobKey,
    /// Its number in the job's list of tasks.
    pub slot: usize,
}

/// Name of a task towards runners.
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
    /// Reads a name; `None` when it is none.
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

/// Where a task is, as far as its owner knows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TaskPlace {
    /// It runs nowhere.
    Waiting,
    /// A start is decided, and not recorded yet.
    Planned(RunnerKey),
    /// A start is recorded; it was sent, or is about to be.
    Ordered(RunnerKey),
    /// The runner said that it runs.
    Running(RunnerKey),
    /// It was told to stop.
    Stopping(RunnerKey),
    /// An earlier owner ordered it on a runner that has not been heard since, or this
    /// one did on a life of it that is over and may not have been the one that heard.
    Unlocated {
        /// Name of the runner.
        runner: String,
        /// Birth of its life that was told to run it; none where that is not known.
        started_at: Option<u64>,
        /// When the run has certainly ended.
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
    /// Where the task is.
    pub place: TaskPlace,
    /// Number of the last run.
    pub run: u32,
    /// Number of an earlier run, whose start was carried out late and which is being
    /// stopped; none where the last run is what its runner has.
    pub stray_run: Option<u32>,
    /// Runs that failed.
    pub failed: u32,
    /// What counts against it of the runners that were lost under it.
    pub suspicion: TaskSuspicion,
    /// Last saved progress.
    pub checkpoint: String,
    /// Share of the work done, as the runner last said.
    pub percent: u32,
    /// When the place or the share of the work last changed.
    pub moved_at: Millis,
    /// When the last run was first seen to run.
    pub began_at: Millis,
    /// Tail of answers in milliseconds, or thousandths of a core in use.
    pub load: u64,
    /// Share at which a filler may work.
    pub pace: u32,
    /// Until when an earlier order about that share may still be carried out.
    pub pace_doubt_until: Millis,
    /// When a start or stop was last sent.
    pub ordered_at: Millis,
    /// When the last run was decided on: its record was written then.
    pub decided_at: Millis,
    /// Copies of the last run's start that were sent, or are about to be.
    pub copies: u32,
    /// When the runner answered a stop; none while it did not.
    pub stopped_at: Option<Millis>,
    /// Whether its runner's last answer showed the run.
    pub shown: bool,
    /// Whether a start was sent whose answer is not known.
    pub unclear: bool,
    /// Whether some copy of the run's start was not answered: it may be carried
    /// out late, whatever became of later copies.
    pub unanswered: bool,
    /// Runner on which the last run failed.
    pub failed_on: Option<RunnerKey>,
    /// Since when the task is away; none while it is at work.
    pub away_since: Option<Millis>,
}

/// Tells a runner to start a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartOrder {
    /// The task.
    pub task: TaskRef,
    /// Its runner.
    pub runner: RunnerKey,
    /// Name of the task.
    pub name: TaskName,
    /// Number of the run.
    pub run: u32,
    /// What the task is to do.
    pub payload: String,
    /// Progress to resume from; empty for none.
    pub checkpoint: String,
    /// Leave of the queue's adviser; empty where none is needed.
    pub ticket: String,
    /// When the run was decided on.
    pub decided_at: Millis,
    /// Which copy of the run's start it is, from 1.
    pub copy: u32,
}

/// Tells a runner to stop a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StopOrder {
    /// Its runner.
    pub runner: RunnerKey,
    /// Name of the task.
    pub name: TaskName,
    /// Number of the run.
    pub run: u32,
}

impl TaskEntry {
    /// A task that waits.
    pub fn new(round: u32, step: u32, index: u32, now: Millis) -> Self {
        Self {
            round,
            step,
            index,
            place: TaskPlace::Waiting,
            run: 0,
            stray_run: None,
            failed: 0,
            suspicion: TaskSuspicion::default(),
            checkpoint: String::new(),
            percent: 0,
            moved_at: now,
            began_at: now,
            load: 0,
            pace: 100,
            pace_doubt_until: 0,
            ordered_at: 0,
            decided_at: 0,
            copies: 0,
            stopped_at: None,
            shown: false,
            unclear: false,
            unanswered: false,
            failed_on: None,
            away_since: Some(now),
        }
    }

    /// Runner that the task takes room on.
    pub fn runner(&self) -> Option<RunnerKey> {
        match self.place {
            TaskPlace::Planned(runner)
            | TaskPlace::Ordered(runner)
            | TaskPlace::Running(runner)
            | TaskPlace::Stopping(runner) => Some(runner),
            TaskPlace::Waiting | TaskPlace::Unlocated { .. } | TaskPlace::Done => None,
        }
    }

    /// Number of the run that its runner has.
    pub(crate) fn placed_run(&self) -> u32 {
        self.stray_run.unwrap_or(self.run)
    }

    /// Whether its runner said that it runs.
    pub(crate) fn is_running(&self) -> bool {
        matches!(self.place, TaskPlace::Running(_))
    }

    /// Whether the task is done.
    pub fn is_done(&self) -> bool {
        self.place == TaskPlace::Done
    }
}
