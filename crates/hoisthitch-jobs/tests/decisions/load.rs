//! Simulates a pool under load, for the tests of the order of jobs and of fair shares.
//!
//! Jobs of two steps of four tasks arrive at given times, each task runs for a time that
//! follows from its name, and starts are planned in passes at fixed intervals of simulated
//! time. The result is the time that each completed job took.

use std::collections::HashMap;

use hoisthitch_core::hash_name;
use hoisthitch_jobs::{
    EndKind,
    JobPhase,
    PoolState,
    StartOrder, //
};

use crate::{
    end_all,
    new_job,
    start_all,
    step, //
};

/// Mean time of a task, in milliseconds; the times vary by half of it.
const TASK_MS: u64 = 500;

/// Steps of a job, one after the other.
const STEPS: u64 = 2;

/// Time between two passes, in milliseconds.
pub const PASS_MS: u64 = 25;

/// Time within which a job is to be done, in milliseconds: the target latency of its queue,
/// plus the stretch times the mean time of its critical path.
pub const OBJECTIVE_MS: u64 = 600 + 2 * STEPS * TASK_MS;

/// Time of the first pass, in milliseconds.
pub const START_MS: u64 = 1_000;

/// A job that arrives in the pass that begins `at` milliseconds after the first one.
pub struct ComingJob {
    pub id: String,
    /// Its team; empty for none.
    pub team: String,
    pub at: u64,
}

/// Runs so many passes; returns the time that each completed job took, in milliseconds.
pub fn run_jobs(state: &mut PoolState, jobs: &[ComingJob], passes: u64) -> HashMap<String, u64> {
    let mut times: HashMap<String, u64> = HashMap::new();
    let mut running: Vec<(u64, StartOrder)> = Vec::new();
    for pass in 0..passes {
        let now = START_MS + pass * PASS_MS;
        let (ended, remaining): (Vec<_>, Vec<_>) =
            running.drain(..).partition(|(until, _)| *until <= now);
        running = remaining;
        let ended: Vec<StartOrder> = ended.into_iter().map(|(_, order)| order).collect();
        end_all(state, &ended, EndKind::Done, now);
        for job in jobs.iter().filter(|job| job.at == pass * PASS_MS) {
            submit(state, job, now);
        }
        for job in jobs {
            let found = state.job(&job.id);
            if found.is_some_and(|found| found.phase == JobPhase::Completed) {
                let took = now - START_MS - job.at;
                times.entry(job.id.clone()).or_insert(took);
            }
        }
        let orders = start_all(state, now);
        let timed = orders
            .into_iter()
            .map(|order| (now + time_of(&order), order));
        running.extend(timed);
    }
    times
}

/// Adds a job of two steps of four tasks, of four cores each, to the pool.
pub fn submit(state: &mut PoolState, coming: &ComingJob, now: u64) {
    let mut steps = vec![step(4), step(4)];
    steps[1].after = vec![0];
    for step in &mut steps {
        step.need.cpu_milli = 4_000;
    }
    let mut job = new_job(&coming.id, steps);
    job.accepted_at = now;
    job.submission.team.clone_from(&coming.team);
    job.submission.policy.target_latency_ms = 600;
    job.submission.policy.stretch = 2.0;
    state.add_job(job, now);
}

/// Number of times within the objective.
pub fn in_time<'a>(times: impl IntoIterator<Item = &'a u64>) -> usize {
    let times = times.into_iter();
    times.filter(|took| **took <= OBJECTIVE_MS).count()
}

/// Time of a task in milliseconds, between half and one and a half of the mean.
fn time_of(order: &StartOrder) -> u64 {
    let name = hash_name(&order.name.to_string());
    TASK_MS / 2 + name % (TASK_MS + 1)
}
