//! Calls about jobs, between `hoisthitch job` and a node of the job service.

use hoisthitch_jobs::{
    JobPhase,
    JobSpec, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Path of jobs; a job's own path adds `/` and its identifier.
pub const JOBS_PATH: &str = "/jobs";

/// Path of the queues.
pub const QUEUES_PATH: &str = "/queues";

/// Hands a job in.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct JobCall {
    /// Name of the queue.
    pub queue: String,
    /// What is to be run.
    pub spec: JobSpec,
}

/// How far a job is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobAnswer {
    /// Identifier.
    pub id: String,
    /// Pool that runs it.
    pub pool: String,
    /// State.
    pub phase: JobPhase,
    /// Tasks that wait, of the rounds that have begun.
    pub waiting: usize,
    /// Tasks that were told to run.
    pub ordered: usize,
    /// Tasks that are done.
    pub done: usize,
    /// Runs that failed.
    pub failed_runs: u32,
}

/// A queue.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QueueRow {
    /// Name.
    pub queue: String,
    /// Pool that runs its jobs.
    pub pool: String,
    /// Paid priority; zero goes first.
    pub priority: u32,
    /// Jobs of which nothing has begun; none while that can't be read.
    pub waiting: Option<u32>,
}

/// Path of the list of teams.
pub const TEAMS_PATH: &str = "/teams";

/// A team of callers. Amounts of zero among the limits stand for none.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TeamRow {
    /// Name.
    pub team: String,
    /// Its share where there is not enough for all.
    pub weight: f64,
    /// Keys that stand for it.
    pub keys: usize,
    /// What it may have running, in thousandths of a core.
    pub cpu_limit: u64,
    /// The same, in MB of memory.
    pub memory_limit: u64,
    /// The same, in accelerators.
    pub gpu_limit: u64,
    /// What pools hold of the limit of processors; none while that can't be read.
    pub cpu_held: Option<u64>,
    /// Version of the configuration that the node goes by.
    pub policy: u64,
}
