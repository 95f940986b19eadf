//! Admission control for new jobs of a pool under pressure.
//!
//! A pool's owner knows what waits and what there is to run it on; every node accepts jobs. So
//! the owner publishes an [`IntakeReport`], and a node decides by the latest one before it stores
//! anything. A job is refused only if the work that is ahead of it, at the pool's capacity, would
//! take it past the time up to which its caller gains anything from its end.
//!
//! The decision errs on the side of admission: without a report, or with one that is too old,
//! every job is admitted.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    Millis,
    pool::PoolState,
    record::QueuePolicy,
    spec::JobSpec, //
};

/// Factor of a job's objective after which its end is of no use to its caller.
pub const USELESS_AFTER_OBJECTIVES: u64 = 3;

/// Work of one team in one priority class that can still be of use to its callers.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TeamLoad {
    /// Accepted work that is not done, in thousandths of a core times milliseconds.
    pub work: u64,
    /// Rate of arriving work, in thousandths of a core.
    pub arriving: u64,
    /// Weight of the team.
    pub weight: f64,
    /// What the team's limit lets it run in the pool, in thousandths of a core; none without a
    /// limit.
    pub allowed: Option<u64>,
}

/// What the owner of a pool publishes for the nodes that accept the pool's jobs.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct IntakeReport {
    /// Capacity for work that ends by itself, of VMs that are in the pool or on their way, in
    /// thousandths of a core.
    pub capacity: u64,
    /// Mean time of a task, by queue, in milliseconds.
    pub task_times: BTreeMap<String, Millis>,
    /// Work by paid priority and team; empty while the pool is not under pressure.
    pub loads: BTreeMap<u32, BTreeMap<String, TeamLoad>>,
}

/// A job that asks to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct IntakeRequest<'a> {
    /// Its identifier; equal ones get equal decisions from every node.
    pub id: &'a str,
    /// Its queue.
    pub queue: &'a str,
    /// Policy of the queue.
    pub policy: &'a QueuePolicy,
    /// Its team; empty for none.
    pub team: &'a str,
    /// Its specification.
    pub spec: &'a JobSpec,
    /// Time for which its caller goes on waiting for the answer, in milliseconds.
    pub remaining_ms: Millis,
}

/// Why a job is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// The job's team has more waiting than its share of the pool, or its limit, serves in time.
    TeamExcess,
    /// The pool has more waiting than it serves in time.
    PoolFull,
}

/// Refusal of a job that can't end while that is of use to its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IntakeRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// Estimated time until the job's first task would start, in milliseconds.
    pub wait_ms: Millis,
    /// Longest wait at which the job would have been admitted, in milliseconds.
    pub limit_ms: Millis,
    /// Time until room is expected, spread over callers, in milliseconds.
    pub retry_after_ms: Millis,
}

/// Decision on a job that asks to be admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IntakeDecision {
    /// It may be stored. The wait until its first task starts is an estimate, in milliseconds;
    /// none if there is nothing to estimate it by.
    Admit {
        /// The estimate.
        wait_ms: Option<Millis>,
    },
    /// It must not be stored.
    Refuse(IntakeRefusal),
}

impl IntakeReport {
    /// Decides on a job by this report, which was made `age` milliseconds ago.
    pub fn decide(&self, _request: &IntakeRequest<'_>, _age: Millis) -> IntakeDecision {
        IntakeDecision::Admit { wait_ms: None }
    }
}

impl PoolState {
    /// What to publish for the nodes that accept the pool's jobs. `coming` is the number of VMs
    /// that other pools have sent here and that have not arrived.
    pub fn intake_report(&self, _coming: u32, _now: Millis) -> IntakeReport {
        IntakeReport::default()
    }
}
