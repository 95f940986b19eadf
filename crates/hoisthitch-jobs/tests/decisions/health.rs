//! Tests of runners that fail their tasks, and of tasks that fail on any runner.
//!
//! They guard against a sound runner that gets no tasks because of what failed there by its own
//! fault, and against a runner that gets none for good.

use eyre::{
    OptionExt,
    Result,
    ensure, //
};
use hoisthitch_jobs::{
    EndKind,
    HeartbeatReport,
    PoolState,
    RunnerKey,
    StartOrder,
    StepSpec, //
};
use hoisthitch_tests::cases;

use crate::{
    decide,
    end_all,
    new_job,
    pool_of,
    running_on,
    start_all,
    step, //
};

cases! {
    hopeless_long_running_job_shuns_no_runner => hopeless_long_running();
    failing_runner_with_long_running_tasks_is_tried_again => tried_beside_long_running();
    failures_of_a_hopeless_step_end_with_its_next_runner => counts_once();
    failures_before_a_success_elsewhere_count_afterwards => counts_afterwards();
    hopeless_jobs_on_the_only_runner_shun_it_for_a_while => only_runner();
    long_running_trial_that_stays_available_ends_the_state => long_running_trial();
    long_running_task_that_fails_after_its_start_says_nothing => fails_later();
}

/// A step of `count` long-running tasks, each on a runner of its own.
fn lasting(count: u32) -> StepSpec {
    StepSpec {
        long_running: true,
        max_per_runner: 1,
        max_unavailable: 2,
        ..step(count)
    }
}

/// Starts a job with a long-running task on each runner, and has all of them available.
fn fill_with_lasting(state: &mut PoolState, runners: u32, now: u64) -> Result<()> {
    state.add_job(new_job("lasting", vec![lasting(runners)]), now);
    let orders = start_all(state, now);
    ensure!(orders.len() == runners as usize, "{} starts", orders.len());
    report_available(state, now + 500);
    Ok(())
}

/// Each runner reports that all its tasks are available.
fn report_available(state: &mut PoolState, now: u64) {
    let keys: Vec<RunnerKey> = state.runners().map(|(key, _)| key).collect();
    for key in keys {
        let report = HeartbeatReport {
            running: running_on(state, key, None, 100),
            ..HeartbeatReport::default()
        };
        state.record_heartbeat(key, &report, now - 1, now);
    }
}

/// Ends the runs of these starts: as failed on the runner `broken`, elsewhere as done.
fn end_by_runner(
    state: &mut PoolState,
    orders: Vec<StartOrder>,
    broken: RunnerKey,
    now: u64,
) -> usize {
    let (bad, good): (Vec<StartOrder>, Vec<StartOrder>) =
        orders.into_iter().partition(|order| order.runner == broken);
    end_all(state, &bad, EndKind::Failed, now);
    end_all(state, &good, EndKind::Done, now);
    bad.len()
}

/// Has jobs of one task run until the runner is failing; returns the number of failed runs.
fn break_runner(state: &mut PoolState, broken: RunnerKey, from: u64) -> Result<usize> {
    let mut failed = 0;
    for number in 0..40 {
        let now = from + number * 20;
        state.add_job(new_job(&format!("b{number}"), vec![step(2)]), now);
        let orders = start_all(state, now);
        failed += end_by_runner(state, orders, broken, now + 10);
        if !state.take_health_changes().is_empty() {
            return Ok(failed);
        }
    }
    eyre::bail!("{failed} runs failed, and the runner is still trusted")
}

/// The tasks of a long-running job failed within each start, on every runner. Three failures in a
/// row put each of them on probation, which only a runner without tasks could leave; all had
/// long-running tasks, and a job that was accepted later never began (review/5).
async fn hopeless_long_running() -> Result<()> {
    let mut state = pool_of(8, 32);
    fill_with_lasting(&mut state, 8, 1_000)?;
    state.add_job(new_job("hopeless", vec![lasting(5)]), 3_000);
    for attempt in 0..20 {
        let now = 3_000 + attempt * 500;
        let orders = start_all(&mut state, now);
        end_all(&mut state, &orders, EndKind::Failed, now + 400);
    }
    let changes = state.take_health_changes();
    ensure!(changes.is_empty(), "{changes:?}");
    state.cancel("hopeless", 13_000);
    state.add_job(new_job("good", vec![step(6)]), 13_100);
    let orders = decide(&mut state, 13_100);
    ensure!(orders.len() == 6, "{} of 6 tasks start", orders.len());
    Ok(())
}

/// A runner that fails what it starts, and has a long-running task from before, is given one task
/// after its backoff; once that is done, it is used as before.
async fn tried_beside_long_running() -> Result<()> {
    let mut state = pool_of(2, 8);
    fill_with_lasting(&mut state, 2, 1_000)?;
    let broken = state.runner_key("i-0").ok_or_eyre("no runner")?;
    let failed = break_runner(&mut state, broken, 2_000)?;
    ensure!((2..=5).contains(&failed), "{failed} runs failed");
    state.add_job(new_job("waits", vec![step(14)]), 3_000);
    let early = decide(&mut state, 3_000);
    let shunned = early.iter().all(|order| order.runner != broken);
    ensure!(shunned, "not shunned");
    let orders = start_all(&mut state, 9_000);
    let trials: Vec<StartOrder> = orders
        .into_iter()
        .filter(|order| order.runner == broken)
        .collect();
    ensure!(trials.len() == 1, "{} trials", trials.len());
    ensure!(
        decide(&mut state, 9_100).is_empty(),
        "a second trial beside the first"
    );
    end_all(&mut state, &trials, EndKind::Done, 9_500);
    let changes = state.take_health_changes();
    let recovered = changes.iter().any(|change| change.failures.is_none());
    ensure!(recovered, "{changes:?}");
    ensure!(
        decide(&mut state, 9_600).len() > 1,
        "the runner is still on trial"
    );
    Ok(())
}

/// Six tasks of one hopeless job fail at once on the runner that they were packed on. They counted
/// as six failures in a row, there and on the next one, and each runner got nothing for four
/// seconds. Now the first gets nothing until they have failed on the second, which shows that they
/// are at fault.
async fn counts_once() -> Result<()> {
    let mut state = pool_of(2, 8);
    state.add_job(new_job("hopeless", vec![step(6)]), 1_000);
    let first = start_all(&mut state, 1_000);
    end_all(&mut state, &first, EndKind::Failed, 1_500);
    let second = start_all(&mut state, 1_600);
    ensure!(second.len() == 6, "{} starts", second.len());
    let avoids = second.iter().all(|order| order.runner != first[0].runner);
    ensure!(avoids, "the first runner gets tasks");
    end_all(&mut state, &second, EndKind::Failed, 2_100);
    let changes = state.take_health_changes();
    ensure!(changes.is_empty(), "{changes:?}");
    state.cancel("hopeless", 2_100);
    state.add_job(new_job("good", vec![step(16)]), 2_200);
    let orders = decide(&mut state, 2_200);
    ensure!(orders.len() == 16, "{} of 16 tasks start", orders.len());
    Ok(())
}

/// Tasks of one job fail on a runner, and are done on another one: then each of those failures
/// counts, though no other job failed there.
async fn counts_afterwards() -> Result<()> {
    let mut state = pool_of(2, 8);
    state.add_job(new_job("a", vec![step(6)]), 1_000);
    let orders = start_all(&mut state, 1_000);
    let broken = orders.first().ok_or_eyre("nothing was started")?.runner;
    ensure!(orders.iter().all(|order| order.runner == broken));
    end_all(&mut state, &orders, EndKind::Failed, 1_500);
    ensure!(state.take_health_changes().is_empty(), "judged too early");
    let again = start_all(&mut state, 1_600);
    ensure!(again.iter().all(|order| order.runner != broken));
    end_all(&mut state, &again[..1], EndKind::Done, 2_000);
    let changes = state.take_health_changes();
    let failures = changes.first().and_then(|change| change.failures);
    ensure!(failures == Some(6), "{changes:?}");
    Ok(())
}

/// The pool has one runner, and nothing shows elsewhere whether it or its jobs are at fault. Three
/// jobs that fail keep it from tasks for the backoff, and the first task that is done shows that
/// they are at fault: what fails of them afterwards does not count. That task must get its trial,
/// though the three are older and would take it each time.
async fn only_runner() -> Result<()> {
    let mut state = pool_of(1, 32);
    let runner = state.runner_key("i-0").ok_or_eyre("no runner")?;
    for name in ["x", "y", "z"] {
        state.add_job(new_job(name, vec![lasting(1)]), 1_000);
    }
    let orders = start_all(&mut state, 1_000);
    ensure!(orders.len() == 3);
    end_all(&mut state, &orders, EndKind::Failed, 1_400);
    ensure!(state.take_health_changes().len() == 1, "it is not shunned");
    state.add_job(new_job("good", vec![step(1)]), 1_500);
    let mut now = 5_500;
    let done = loop {
        let orders = start_all(&mut state, now);
        ensure!(orders.len() <= 1, "more than one trial");
        if let Some(order) = orders.iter().find(|order| order.name.job == "good") {
            break order.clone();
        }
        end_all(&mut state, &orders, EndKind::Failed, now + 400);
        now += 500;
        ensure!(now < 40_000, "the good job is never tried");
    };
    end_all(&mut state, &[done], EndKind::Done, now + 400);
    ensure!(state.runner(runner).is_some());
    state.take_health_changes();
    for attempt in 1..10 {
        let at = now + attempt * 500;
        let orders = start_all(&mut state, at);
        ensure!(orders.len() == 3, "{} starts", orders.len());
        end_all(&mut state, &orders, EndKind::Failed, at + 400);
    }
    let changes = state.take_health_changes();
    ensure!(changes.is_empty(), "{changes:?}");
    Ok(())
}

/// The trial is a long-running task, which never is done. It ends the state once it has been
/// available for long enough.
async fn long_running_trial() -> Result<()> {
    let mut state = pool_of(2, 8);
    let broken = state.runner_key("i-0").ok_or_eyre("no runner")?;
    break_runner(&mut state, broken, 1_000)?;
    let rest = start_all(&mut state, 2_000);
    end_all(&mut state, &rest, EndKind::Done, 2_100);
    state.take_health_changes();
    state.add_job(new_job("lasting", vec![lasting(2)]), 9_000);
    ensure!(start_all(&mut state, 9_000).len() == 2);
    report_available(&mut state, 9_500);
    let changes = state.take_health_changes();
    ensure!(changes.is_empty(), "too early: {changes:?}");
    report_available(&mut state, 12_500);
    let changes = state.take_health_changes();
    let recovered = changes.iter().any(|change| change.failures.is_none());
    ensure!(recovered, "{changes:?}");
    Ok(())
}

/// Long-running tasks of three jobs fail after they were available, as they may at any time.
async fn fails_later() -> Result<()> {
    let mut state = pool_of(1, 8);
    for name in ["x", "y", "z"] {
        state.add_job(new_job(name, vec![lasting(1)]), 1_000);
    }
    let orders = start_all(&mut state, 1_000);
    report_available(&mut state, 1_500);
    end_all(&mut state, &orders, EndKind::Failed, 60_000);
    let changes = state.take_health_changes();
    ensure!(changes.is_empty(), "{changes:?}");
    ensure!(decide(&mut state, 60_100).len() == 3);
    Ok(())
}
