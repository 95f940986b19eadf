//! Stored records of jobs, which outlast every process.
//!
//! The entry that accepts a job writes its submission, once. Its progress is written by the
//! pool's owner alone: the runner of a task before the task is ordered to start, and the end
//! of a task before the runner is allowed to forget it.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    spec::JobSpec,
    suspicion::TaskSuspicion, //
};

/// A job as it was accepted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobSubmission {
    /// Queue that accepted the job.
    pub queue: String,
    /// The queue's policy at the time of acceptance.
    pub policy: QueuePolicy,
    /// Team whose key authorized the submission; empty where no key was needed.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub team: String,
    /// Version of the operators' configuration that was in effect; zero where the record does
    /// not have it.
    #[serde(default)]
    pub version: u64,
    /// When the entry accepted it, in milliseconds since 1970 by the entry's clock.
    pub accepted_ms: u64,
    /// Time until the first task starts as the entry estimated it, in milliseconds; none without
    /// an estimate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected_wait_ms: Option<u64>,
    /// Steps and schedule to run.
    pub spec: JobSpec,
}

/// What operators configure for a queue.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct QueuePolicy {
    /// Paid priority; zero is served first.
    pub priority: u32,
    /// Failed runs of one task after which its job fails.
    pub max_attempts: u32,
    /// Factor on the job's critical path in its objective.
    pub stretch: f64,
    /// Constant part of the objective, in milliseconds.
    #[serde(rename = "aim_ms")]
    pub target_latency_ms: u64,
    /// Whether an adviser decides which runners may run a step.
    #[serde(default)]
    pub advised: bool,
}

/// State of a job, as callers see it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobPhase {
    /// No task has started.
    #[default]
    Queued,
    /// Tasks have started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task used up its attempts.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

impl JobPhase {
    /// Whether the job has ended.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// Progress of a job, as it is stored.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobProgress {
    /// Phase of the job.
    pub phase: JobPhase,
    /// Tasks of the rounds begun so far, in order of round, step and index.
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub tasks: Vec<TaskProgress>,
}

/// State of a task, as it is stored.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum TaskPhase {
    /// The task runs nowhere.
    #[default]
    #[serde(rename = "w")]
    Waiting,
    /// A start of the task was ordered, or is about to be.
    #[serde(rename = "o")]
    Ordered,
    /// The task is done.
    #[serde(rename = "d")]
    Done,
}

/// Progress of a task, as it is stored.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct TaskProgress {
    /// State of the task.
    #[serde(rename = "p", skip_serializing_if = "is_default")]
    pub phase: TaskPhase,
    /// Number of its last run, from 1; zero where there was none.
    #[serde(rename = "n", skip_serializing_if = "is_default")]
    pub run: u32,
    /// Number of runs that failed.
    #[serde(rename = "f", skip_serializing_if = "is_default")]
    pub failed: u32,
    /// What the losses of runners that ran it say against the task.
    #[serde(rename = "x", skip_serializing_if = "is_default")]
    pub suspicion: TaskSuspicion,
    /// Runner of the last run, while the task is ordered.
    #[serde(rename = "r", skip_serializing_if = "String::is_empty")]
    pub runner: String,
    /// Start time of that instance of the runner, in milliseconds since 1970; none where it is
    /// not known.
    #[serde(rename = "b", skip_serializing_if = "is_default")]
    pub started_at: Option<u64>,
    /// Last saved progress; empty for none.
    #[serde(rename = "c", skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
}

pub(crate) fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
