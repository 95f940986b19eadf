//! A pool under load on the paused clock: jobs of two steps of four tasks come at their
//! times, tasks take theirs, and starts are planned at each look.

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

/// Mean time of a task, in milliseconds; they vary by half of it.
const TASK_MS: u64 = 500;

/// Steps of a job, one after the other.
const STEPS: u64 = 2;

/// Time between two looks, in milliseconds.
pub const LOOK_MS: u64 = 25;

/// Objective of the jobs: the aim, and the stretch of the longest chain.
pub const OBJECTIVE_MS: u64 = 600 + 2 * STEPS * TASK_MS;

/// Time of the first look, in milliseconds.
pub const START_MS: u64 = 1_000;

/// A job that comes at a time after the first look.
pub struct ComingJob {
    pub id: String,
    /// Its team; empty for none.
    pub team: String,
    pub at: u64,
}

/// Plays so many looks; answers with the time that each job took which was done.
pub fn play_jobs(state: &mut PoolState, jobs: &[ComingJob], looks: u64) -> HashMap<String, u64> {
    let mut times: HashMap<String, u64> = HashMap::new();
    let mut running: Vec<(u64, StartOrder)> = Vec::new();
    for look in 0..looks {
        let now = START_MS + look * LOOK_MS;
        let (ended, going): (Vec<_>, Vec<_>) =
            running.drain(..).partition(|(until, _)| *until <= now);
        running = going;
        let ended: Vec<StartOrder> = ended.into_iter().map(|(_, order)| order).collect();
        end_all(state, &ended, EndKind::Done, now);
        for job in jobs.iter().filter(|job| job.at == look * LOOK_MS) {
            hand_in(state, job, now);
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

/// Hands a job in.
pub fn hand_in(state: &mut PoolState, coming: &ComingJob, now: u64) {
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

/// Times within the objective.
pub fn in_time<'a>(times: impl IntoIterator<Item = &'a u64>) -> usize {
    let times = times.into_iter();
    times.filter(|took| **took <= OBJECTIVE_MS).count()
}

/// Time of a task, between half and one and a half of the mean.
fn time_of(order: &StartOrder) -> u64 {
    let name = hash_name(&order.name.to_string());
    TASK_MS / 2 + name % (TASK_MS + 1)
}
