//! Tests of the order of a queue whose jobs need more capacity than there is.
//!
//! They guard against an order by the latest time at which a job can start: under overload
//! each job then gets its turn just at that time, and all of them start too late. With that
//! order, a sixth of a queue's jobs were done in time in rises of several seconds, where there
//! was capacity for half of them. The first case shows it without a platform: jobs arrive at
//! twice the rate at which they can be done.

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_tests::cases;

use crate::{
    load::{
        ComingJob,
        PASS_MS,
        in_time,
        run_jobs, //
    },
    pool_of, //
};

cases! {
    overload_serves_as_many_in_time_as_there_is_room_for => overload(25, 240, 85);
    rise_that_can_be_served_is_served_in_time => overload(75, 80, 76);
}

/// Submits `jobs` jobs of two steps of four tasks, one each `gap_ms`, to runners that can do
/// sixteen jobs in a second; at least `least` of them have to be in time.
async fn overload(gap_ms: u64, jobs: u64, least: usize) -> Result<()> {
    let coming: Vec<ComingJob> = (0..jobs)
        .map(|number| ComingJob {
            id: format!("j{number}"),
            team: String::new(),
            at: number * gap_ms,
        })
        .collect();
    let passes = 2 * jobs * gap_ms / PASS_MS + 400;
    let times = run_jobs(&mut pool_of(8, 32), &coming, passes);
    ensure!(times.len() as u64 == jobs, "{} jobs are done", times.len());
    let in_time = in_time(times.values());
    ensure!(in_time >= least, "{in_time} jobs in time");
    Ok(())
}
