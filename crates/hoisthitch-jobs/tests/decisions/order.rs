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
use hoisthitch_tests::cases;

use crate::{
    load::{
        ComingJob,
        LOOK_MS,
        in_time,
        play_jobs, //
    },
    pool_of, //
};

cases! {
    overload_serves_as_many_in_time_as_there_is_room_for => overload(25, 240, 85);
    rise_that_can_be_served_is_served_in_time => overload(75, 80, 76);
}

/// Hands in `jobs` of two steps of four tasks, one each `gap_ms`, to runners that
/// can do sixteen in a second; at least `least` of them have to be in time.
async fn overload(gap_ms: u64, jobs: u64, least: usize) -> Result<()> {
    let coming: Vec<ComingJob> = (0..jobs)
        .map(|number| ComingJob {
            id: format!("j{number}"),
            team: String::new(),
            at: number * gap_ms,
        })
        .collect();
    let looks = 2 * jobs * gap_ms / LOOK_MS + 400;
    let times = play_jobs(&mut pool_of(8, 32), &coming, looks);
    ensure!(times.len() as u64 == jobs, "{} jobs are done", times.len());
    let in_time = in_time(times.values());
    ensure!(in_time >= least, "{in_time} jobs in time");
    Ok(())
}
