//! Records of jobs that outlast every process.
//!
//! A submission is written once, by the entry that accepts the job. Progress is
//! written by the pool's owner alone: a task's place before it is ordered to
//! start, a task's end before the runner is told to forget it.

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
    /// Queue that took the job.
    pub queue: String,
    /// The queue's policy at that time.
    pub policy: QueuePolicy,
    /// Team whose key it came with; empty where none was needed.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub team: String,
    /// Version of the operators' configuration that it was taken by; zero where the
    /// record does not tell.
    #[serde(default)]
    pub version: u64,
    /// Time of day of the entry, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// What is to be run.
    pub spec: JobSpec,
}

/// What operators set for a queue.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct QueuePolicy {
    /// Paid priority; zero goes first.
    pub priority: u32,
    /// Runs of a task that may fail before its job has failed.
    pub max_attempts: u32,
    /// Factor on the longest chain of work in the objective.
    pub stretch: f64,
    /// Fixed part of the objective, in milliseconds.
    #[serde(rename = "aim_ms")]
    pub target_latency_ms: u64,
    /// Whether an adviser says which runners may run a step.
    #[serde(default)]
    pub advised: bool,
}

/// State of a job that callers see.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobPhase {
    /// No task was started yet.
    #[default]
    Queued,
    /// Tasks were started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task spent its attempts.
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

/// How far a job has come.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobProgress {
    /// State of the job.
    pub phase: JobPhase,
    /// Tasks of the rounds begun so far, in order of round, step and index.
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub tasks: Vec<TaskProgress>,
}

/// State of a task in the records.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum TaskPhase {
    /// The task runs nowhere.
    #[default]
    #[serde(rename = "w")]
    Waiting,
    /// The task was ordered to run, or is about to be.
    #[serde(rename = "o")]
    Ordered,
    /// The task is done.
    #[serde(rename = "d")]
    Done,
}

/// How far a task has come.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct TaskProgress {
    /// State of the task.
    #[serde(rename = "p", skip_serializing_if = "is_default")]
    pub phase: TaskPhase,
    /// Number of its last run.
    #[serde(rename = "n", skip_serializing_if = "is_default")]
    pub run: u32,
    /// Runs that failed.
    #[serde(rename = "f", skip_serializing_if = "is_default")]
    pub failed: u32,
    /// What counts against it of the runners that were lost under it.
    #[serde(rename = "x", skip_serializing_if = "is_default")]
    pub suspicion: TaskSuspicion,
    /// Runner of the last run while the task is ordered.
    #[serde(rename = "r", skip_serializing_if = "String::is_empty")]
    pub runner: String,
    /// Birth of its life, where that is told.
    #[serde(rename = "b", skip_serializing_if = "is_default")]
    pub started_at: Option<u64>,
    /// Last saved progress.
    #[serde(rename = "c", skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
}

pub(crate) fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
