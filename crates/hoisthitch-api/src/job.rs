//! Messages about jobs, queues and teams, between `hoisthitch` and a node of the
//! job service.

use std::collections::BTreeSet;

use hoisthitch_jobs::{
    JobPhase,
    JobSpec, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Path of jobs; the path of one job adds `/` and its identifier.
pub const JOBS_PATH: &str = "/jobs";

/// Path of the queues.
pub const QUEUES_PATH: &str = "/queues";

/// Request to submit a job.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct JobCall {
    /// Name of the queue.
    pub queue: String,
    /// Specification of the job.
    pub spec: JobSpec,
}

/// State and progress of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobAnswer {
    /// Identifier.
    pub id: String,
    /// Pool that runs it.
    pub pool: String,
    /// State.
    pub phase: JobPhase,
    /// Tasks that wait, in rounds that have begun.
    pub waiting: usize,
    /// Tasks that were ordered to run.
    pub ordered: usize,
    /// Tasks that are done.
    pub done: usize,
    /// Runs that failed.
    pub failed_runs: u32,
}

/// State of a queue.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QueueRow {
    /// Name.
    pub queue: String,
    /// Pool that runs its jobs.
    pub pool: String,
    /// Paid priority; zero is served first.
    pub priority: u32,
    /// Jobs of which no task has begun; `None` while the number can't be read.
    pub waiting: Option<u32>,
}

/// Path of the list of teams.
pub const TEAMS_PATH: &str = "/teams";

/// Path of the cordoned data halls.
pub const CORDONS_PATH: &str = "/cordons";

/// A data hall that operators have cordoned: nothing is started there.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CordonRow {
    /// Name.
    pub hall: String,
    /// Time since the node noticed, in milliseconds.
    pub cordoned_ms: u64,
    /// Runners of all pools in it; `None` while that can't be read.
    pub runners: Option<usize>,
    /// Tasks that still run there, as pools reported within the last second or two; `None` while
    /// that can't be read.
    pub tasks: Option<usize>,
    /// Expected time until those that end by themselves have ended, in milliseconds, zero once they
    /// are overdue; `None` without such tasks, or while that is not known.
    #[serde(default)]
    pub empty_in_ms: Option<u64>,
    /// Tasks there that are long-running, and so stay; `None` while that can't be read.
    #[serde(default)]
    pub long_running: Option<usize>,
    /// Identifiers of their jobs, the first eight; `None` while that can't be read.
    #[serde(default)]
    pub long_running_jobs: Option<BTreeSet<String>>,
    /// Time since the node's list of cordoned halls was last confirmed, in milliseconds; `None`
    /// before the first time.
    pub confirmed_ms: Option<u64>,
}

/// A team of callers. A limit of zero means no limit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TeamRow {
    /// Name.
    pub team: String,
    /// Weight of its share if there is not enough for all teams.
    pub weight: f64,
    /// Number of keys that authenticate its callers.
    pub keys: usize,
    /// Limit of the processor time that its tasks may hold, in thousandths of a core.
    pub cpu_limit: u64,
    /// Limit of the memory that its tasks may hold, in MB.
    pub memory_limit: u64,
    /// Limit of the accelerators that its tasks may hold.
    pub gpu_limit: u64,
    /// Part of `cpu_limit` allocated to pools; `None` while it can't be read.
    pub cpu_held: Option<u64>,
    /// Version of the configuration that the node uses.
    pub policy: u64,
}
