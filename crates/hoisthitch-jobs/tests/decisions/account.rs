//! Tests of a job's time account: its time until the owner had it, waiting for a runner,
//! ordering its starts, and running.

use eyre::{
    OptionExt,
    Result,
    ensure, //
};
use hoisthitch_jobs::{
    EndKind,
    JobPhase,
    StartOutcome,
    StepSpec, //
};
use hoisthitch_tests::cases;

use crate::{
    decide,
    end_all,
    new_job,
    pool_of,
    start_all,
    step, //
};

cases! {
    time_is_put_down_to_what_held_the_job_up => time_uses();
    lasting_jobs_are_not_told_of => long_running();
}

/// The owner has the job 300 ms after its acceptance; it waits 700 ms for free capacity, its
/// starts are ordered for 50 ms, and then its tasks run for 2 s.
async fn time_uses() -> Result<()> {
    let mut state = pool_of(1, 8);
    state.add_job(new_job("first", vec![step(8)]), 1_000);
    let first = start_all(&mut state, 1_000);
    state.add_job(new_job("second", vec![step(8)]), 1_300);
    ensure!(decide(&mut state, 1_400).is_empty());
    end_all(&mut state, &first, EndKind::Done, 2_000);
    let second = decide(&mut state, 2_000);
    for order in &second {
        state.record_start_outcome(order, StartOutcome::Started, 2_050);
    }
    end_all(&mut state, &second, EndKind::Done, 4_050);
    let ended = state.take_ended_jobs();
    ensure!(ended.len() == 2 && state.take_ended_jobs().is_empty());
    let second = ended.last().ok_or_eyre("no job ended")?;
    ensure!(second.id == "second" && second.phase == JobPhase::Completed);
    let account = second.account;
    ensure!(second.took == 3_050, "{second:?}");
    ensure!(
        account.taking == 300 && account.waiting == 700,
        "{account:?}"
    );
    ensure!(
        account.ordering == 50 && account.running == 2_000,
        "{account:?}"
    );
    Ok(())
}

/// Long-running jobs are not reported among the ended ones.
async fn long_running() -> Result<()> {
    let mut state = pool_of(1, 8);
    let work = StepSpec {
        long_running: true,
        ..step(1)
    };
    state.add_job(new_job("a", vec![work]), 1_000);
    start_all(&mut state, 1_000);
    state.cancel("a", 2_000);
    ensure!(state.take_ended_jobs().is_empty());
    Ok(())
}
