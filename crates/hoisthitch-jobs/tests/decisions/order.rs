//! The order of a queue whose jobs need more room than there is.
//!
//! Seen: in rises of several seconds a sixth of a queue's jobs were done in time,
//! where there was room for half of them. Cause: jobs went by the latest time at
//! which they could start. Under overload that is the time at which each gets its
//! turn, so that all began too late, one like the other. Proof: the first case,
//! which needs no platform: jobs come at twice the rate at which they can be done.

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_core::hash_name;
use hoisthitch_jobs::{
    EndKind,
    JobPhase,
    PoolState,
    StartOrder, //
};
use hoisthitch_tests::cases;

use crate::{
    end_all,
    new_job,
    pool_of,
    start_all,
    step, //
};

/// Mean time of a task, in milliseconds; they vary by half of it.
const TASK_MS: u64 = 500;

/// Steps of a job, one after the other.
const STEPS: u64 = 2;

/// Time between two looks, in milliseconds.
const LOOK_MS: u64 = 25;

/// Objective of the jobs: the aim, and the stretch of the longest chain.
const OBJECTIVE_MS: u64 = 600 + 2 * STEPS * TASK_MS;

cases! {
    overload_serves_as_many_in_time_as_there_is_room_for => overload(25, 240, 85);
    rise_that_can_be_served_is_served_in_time => overload(75, 80, 76);
}

/// Hands in `jobs` of two steps of four tasks, one each `gap_ms`, to runners that
/// can do sixteen in a second; at least `least` of them have to be in time.
async fn overload(gap_ms: u64, jobs: u64, least: usize) -> Result<()> {
    let mut state = pool_of(8, 32);
    let mut running: Vec<(u64, StartOrder)> = Vec::new();
    let mut in_time = 0;
    let mut done = Vec::new();
    for look in 0..2 * jobs * gap_ms / LOOK_MS + 400 {
        let now = 1_000 + look * LOOK_MS;
        let (ended, going): (Vec<_>, Vec<_>) =
            running.drain(..).partition(|(until, _)| *until <= now);
        running = going;
        let ended: Vec<StartOrder> = ended.into_iter().map(|(_, order)| order).collect();
        end_all(&mut state, &ended, EndKind::Done, now);
        hand_in(&mut state, look * LOOK_MS, gap_ms, jobs, now);
        for number in 0..jobs {
            let id = format!("j{number}");
            let completed = state
                .job(&id)
                .is_some_and(|job| job.phase == JobPhase::Completed);
            if completed && !done.contains(&number) {
                done.push(number);
                in_time += usize::from(now <= 1_000 + number * gap_ms + OBJECTIVE_MS);
            }
        }
        let orders = start_all(&mut state, now);
        running.extend(
            orders
                .into_iter()
                .map(|order| (now + time_of(&order), order)),
        );
    }
    ensure!(done.len() as u64 == jobs, "{} jobs are done", done.len());
    ensure!(in_time >= least, "{in_time} jobs in time");
    Ok(())
}

/// Time of a task, between half and one and a half of the mean.
fn time_of(order: &StartOrder) -> u64 {
    let name = hash_name(&order.name.to_string());
    TASK_MS / 2 + name % (TASK_MS + 1)
}

/// Hands the job in that comes at this time, if one does.
fn hand_in(state: &mut PoolState, time: u64, gap_ms: u64, jobs: u64, now: u64) {
    if time.is_multiple_of(gap_ms) && time / gap_ms < jobs {
        let mut steps = vec![step(4), step(4)];
        steps[1].after = vec![0];
        for step in &mut steps {
            step.need.cpu_milli = 4_000;
        }
        let mut job = new_job(&format!("j{}", time / gap_ms), steps);
        job.accepted_at = now;
        job.submission.policy.aim_ms = 600;
        job.submission.policy.stretch = 2.0;
        state.add_job(job, now);
    }
}
