//! Tests of runners that restart under their names: which runs ended with the previous
//! instance, and what the next one may run.
//!
//! They guard against a task that runs twice: a start whose outcome is unknown may have been
//! carried out by the next instance, and a run that was thought to have ended may show again.

use eyre::{
    OptionExt,
    Result,
    ensure, //
};
use hoisthitch_jobs::{
    EndKind,
    EndedTask,
    HeartbeatReport,
    InheritedRuns,
    PoolState,
    RunnerFacts,
    RunnerInstance,
    RunnerKey,
    RunningTask,
    StartOrder,
    StartOutcome,
    StepSpec, //
};
use hoisthitch_tests::cases;

use crate::{
    decide,
    new_job,
    pool_of,
    running_on,
    start_all,
    step, //
};

cases! {
    runs_that_were_heard_end_with_their_life => reported_runs();
    starts_after_the_last_answer_wait_for_the_next_life => unreported_starts();
    end_on_the_next_life_counts => unreported_end();
    run_ordered_from_the_life_before_is_stopped => stray_run();
    life_that_may_drop_ends_is_tried_with_one_start => unproven_instance();
    task_kept_off_unproven_runners_holds_back_no_other => unproven_beside_others();
    stray_lease_outlasts_the_recorded_end_of_a_silence => stray_lease();
    next_life_gets_nothing_before_it_is_listed => unlisted_instance();
    earlier_run_that_is_at_work_keeps_the_task => earlier_run();
    start_is_withdrawn_for_an_earlier_run => withdrawn_start();
    lives_are_told_by_birth_where_both_tell => parsed_instances();
}

/// Start time of the next instance, in Unix milliseconds.
const STARTED_AT_MS: u64 = 9_000;

/// Time until which a start of unknown outcome keeps its task, in milliseconds.
const UNTIL_MS: u64 = 20_000;

/// One task, started on the only runner.
fn one_started() -> Result<(PoolState, StartOrder)> {
    let mut state = pool_of(1, 8);
    state.add_job(new_job("a", vec![step(1)]), 1_000);
    let order = start_all(&mut state, 1_000).pop();
    Ok((state, order.ok_or_eyre("no start was ordered")?))
}

/// The runner reports that all runs of the state are running.
fn report_runs(state: &mut PoolState, runner: RunnerKey, asked_at: u64) {
    let report = HeartbeatReport {
        running: running_on(state, runner, None, 10),
        ..HeartbeatReport::default()
    };
    state.record_heartbeat(runner, &report, asked_at, asked_at + 1);
}

/// A run that the previous instance has reported ends with it.
async fn reported_runs() -> Result<()> {
    let (mut state, order) = one_started()?;
    report_runs(&mut state, order.runner, 1_100);
    let restarted = state.replace_restarted_runner(order.runner, STARTED_AT_MS, UNTIL_MS, 2_000);
    let restarted = restarted.ok_or_eyre("the runner is unknown")?;
    ensure!(
        (restarted.ended, restarted.unconfirmed) == (1, 0),
        "{restarted:?}"
    );
    ensure!(
        state.runner(order.runner).is_none(),
        "the previous instance is still listed"
    );
    let runner = state
        .runner(restarted.key)
        .ok_or_eyre("the next instance is unknown")?;
    ensure!(runner.last_seen_end == 0 && runner.tasks.is_empty());
    Ok(())
}

/// A start that the previous instance never reported keeps its task until the next instance
/// has reported: the task goes on there, or is free once it is not listed.
async fn unreported_starts() -> Result<()> {
    let (mut state, order) = one_started()?;
    let restarted = state.replace_restarted_runner(order.runner, STARTED_AT_MS, UNTIL_MS, 2_000);
    let restarted = restarted.ok_or_eyre("the runner is unknown")?;
    ensure!(
        (restarted.ended, restarted.unconfirmed) == (0, 1),
        "{restarted:?}"
    );
    ensure!(
        decide(&mut state, 2_100).is_empty(),
        "the task was started again"
    );
    // The next instance runs the task, which goes on there.
    let row = RunningTask {
        name: order.name.to_string(),
        run: order.run,
        checkpoint: String::new(),
        percent: 20,
        load: 0,
    };
    let report = HeartbeatReport {
        running: vec![row],
        ..HeartbeatReport::default()
    };
    state.record_heartbeat(restarted.key, &report, 2_200, 2_201);
    ensure!(state.take_stop_orders().is_empty(), "the task was stopped");
    let tasks_there = |state: &PoolState| state.runner(restarted.key).map(|r| r.tasks.len());
    ensure!(tasks_there(&state) == Some(1));
    state.record_heartbeat(restarted.key, &HeartbeatReport::default(), 2_300, 2_301);
    ensure!(
        tasks_there(&state) == Some(0),
        "the task is still counted on the runner"
    );
    Ok(())
}

/// A start and an acknowledgement of ends were delayed, and reached the next instance: it drops
/// the end of the run unread, and the task ran again after it was done. Such a run is stopped
/// before it ends.
async fn stray_run() -> Result<()> {
    let (mut state, order) = one_started()?;
    state.record_start_time(order.runner, STARTED_AT_MS - 1);
    let restarted = state.replace_restarted_runner(order.runner, STARTED_AT_MS, UNTIL_MS, 2_000);
    let next = restarted.ok_or_eyre("the runner is unknown")?.key;
    report_run(&mut state, next, &order, 2_200);
    let stop = state.take_stop_orders().pop();
    let stop = stop.ok_or_eyre("the run was not stopped")?;
    ensure!(stop.runner == next && stop.run == order.run);
    ensure!(decide(&mut state, 2_300).is_empty(), "a second run began");
    // An end that is reported all the same counts.
    let mut ended = state;
    let report = HeartbeatReport {
        ended: vec![EndedTask {
            number: 1,
            name: order.name.to_string(),
            run: order.run,
            kind: EndKind::Done,
            checkpoint: String::new(),
        }],
        ..HeartbeatReport::default()
    };
    ended.record_heartbeat(next, &report, 2_400, 2_401);
    ensure!(ended.task(order.task).is_some_and(|task| task.is_done()));
    Ok(())
}

/// The next instance reports the end of a start that the previous one never reported: the task
/// is done.
async fn unreported_end() -> Result<()> {
    let (mut state, order) = one_started()?;
    let restarted = state.replace_restarted_runner(order.runner, STARTED_AT_MS, UNTIL_MS, 2_000);
    let restarted = restarted.ok_or_eyre("the runner is unknown")?;
    let report = HeartbeatReport {
        ended: vec![EndedTask {
            number: 1,
            name: order.name.to_string(),
            run: order.run,
            kind: EndKind::Done,
            checkpoint: String::new(),
        }],
        ..HeartbeatReport::default()
    };
    state.record_heartbeat(restarted.key, &report, 2_200, 2_201);
    ensure!(state.task(order.task).is_some_and(|task| task.is_done()));
    Ok(())
}

/// An earlier owner recorded when the runs of a silent runner end. The runner restarted since,
/// and a delayed order granted a lease that lasts longer; a task that it kept ran twice.
async fn stray_lease() -> Result<()> {
    let name = "i-1".to_owned();
    let mut state = PoolState::new(InheritedRuns {
        until: 8_000,
        silent: [(name.clone(), 5_000)].into(),
        ..InheritedRuns::default()
    });
    let facts = RunnerFacts {
        name,
        started_at: Some(STARTED_AT_MS),
        ..RunnerFacts::default()
    };
    let runner = state.set_runner(facts, 0);
    state.record_stray_leases(runner, UNTIL_MS);
    state.fence_runner(runner, UNTIL_MS);
    let until = state.runner(runner).map(|runner| runner.lease_until);
    ensure!(until == Some(UNTIL_MS), "its runs end by {until:?}");
    Ok(())
}

/// An acknowledgement for the previous instance may have reached a runner, which then drops its
/// first ends unread; tasks that were done there ran again. One task is started and stopped at a
/// time, until an end is listed.
async fn unproven_instance() -> Result<()> {
    let mut state = pool_of(1, 8);
    state.add_job(new_job("a", vec![step(3)]), 1_000);
    let runner = state.runners().map(|(key, _)| key).next();
    let runner = runner.ok_or_eyre("the pool has no runner")?;
    state.doubt_end_listing(runner);
    let order = start_all(&mut state, 1_000);
    ensure!(order.len() == 1, "{} tasks were started", order.len());
    let stop = state.take_stop_orders().pop();
    let stop = stop.ok_or_eyre("the task was not stopped")?;
    ensure!(stop.run == order[0].run);
    // The end is not listed: the runner gets nothing for a while, and then another task.
    state.record_stop_ack(&stop, 1_100);
    state.record_heartbeat(runner, &HeartbeatReport::default(), 1_200, 1_201);
    ensure!(decide(&mut state, 1_300).is_empty(), "no pause was made");
    let order = start_all(&mut state, 2_300);
    ensure!(order.len() == 1, "{} tasks were started", order.len());
    state.take_stop_orders();
    let report = HeartbeatReport {
        ended: vec![EndedTask {
            number: 2,
            name: order[0].name.to_string(),
            run: order[0].run,
            kind: EndKind::Stopped,
            checkpoint: String::new(),
        }],
        ..HeartbeatReport::default()
    };
    state.record_heartbeat(runner, &report, 2_400, 2_401);
    let all = start_all(&mut state, 2_500);
    ensure!(all.len() == 3, "{} tasks were started", all.len());
    ensure!(state.take_stop_orders().is_empty(), "a task was stopped");
    Ok(())
}

/// The next instance gets no tasks before its record is read, since its capacity may differ.
async fn unlisted_instance() -> Result<()> {
    let (mut state, order) = one_started()?;
    report_runs(&mut state, order.runner, 1_100);
    let facts = state.runner(order.runner).map(|r| r.facts.clone());
    let mut facts = facts.ok_or_eyre("the runner is unknown")?;
    let restarted = state.replace_restarted_runner(order.runner, STARTED_AT_MS, UNTIL_MS, 2_000);
    let restarted = restarted.ok_or_eyre("the runner is unknown")?;
    report_runs(&mut state, restarted.key, 2_100);
    state.mark_runner_ready(restarted.key);
    state.extend_lease(restarted.key, 1_000_000);
    ensure!(
        decide(&mut state, 2_200).is_empty(),
        "a task was started on an unlisted instance"
    );
    facts.started_at = Some(STARTED_AT_MS);
    let key = state.set_runner(facts, 2_300);
    ensure!(
        key == restarted.key,
        "the record is not that of the next instance"
    );
    let again = decide(&mut state, 2_400);
    ensure!(again.len() == 1 && again[0].run == order.run + 1);
    Ok(())
}

/// A runner reports one run, which the state does not expect there.
fn report_run(state: &mut PoolState, runner: RunnerKey, order: &StartOrder, at: u64) {
    let report = HeartbeatReport {
        running: vec![RunningTask {
            name: order.name.to_string(),
            run: order.run,
            checkpoint: String::new(),
            percent: 5,
            load: 0,
        }],
        ..HeartbeatReport::default()
    };
    state.record_heartbeat(runner, &report, at, at + 1);
}

/// A report leaves out a run, so that its task waits again, and a later report lists it: no
/// second run begins before it has ended.
async fn earlier_run() -> Result<()> {
    let mut state = pool_of(2, 8);
    state.add_job(new_job("a", vec![step(1)]), 1_000);
    let order = start_all(&mut state, 1_000).pop().ok_or_eyre("no order")?;
    state.record_heartbeat(order.runner, &HeartbeatReport::default(), 1_100, 1_101);
    // The task waits again, but a report lists its run.
    report_run(&mut state, order.runner, &order, 1_200);
    ensure!(decide(&mut state, 1_300).is_empty(), "a second run began");
    let stop = state
        .take_stop_orders()
        .pop()
        .ok_or_eyre("no stop was sent")?;
    ensure!(stop.run == order.run && stop.runner == order.runner);
    state.record_stop_ack(&stop, 1_400);
    state.record_heartbeat(order.runner, &HeartbeatReport::default(), 1_500, 1_501);
    let again = decide(&mut state, 1_600);
    ensure!(again.len() == 1 && again[0].run > order.run);
    Ok(())
}

/// A task that waits again is started on another runner with unknown outcome, and then a report
/// lists its earlier run: the later start is stopped.
async fn withdrawn_start() -> Result<()> {
    let mut state = pool_of(2, 8);
    state.add_job(new_job("a", vec![step(1)]), 1_000);
    let first = start_all(&mut state, 1_000).pop().ok_or_eyre("no order")?;
    state.record_heartbeat(first.runner, &HeartbeatReport::default(), 1_100, 1_101);
    // The task's earlier runner may be down, so that it is started on the other one.
    state.mark_runner_unreachable(first.runner);
    let second = decide(&mut state, 1_150).pop().ok_or_eyre("no order")?;
    ensure!(
        second.runner != first.runner,
        "the task was started on the unreachable runner"
    );
    state.record_start_outcome(&second, StartOutcome::Unclear, 1_200);
    report_run(&mut state, first.runner, &first, 1_300);
    let stop = state
        .take_stop_orders()
        .pop()
        .ok_or_eyre("no stop was sent")?;
    ensure!(stop.runner == second.runner && stop.run == second.run);
    Ok(())
}

/// Two names may be of one instance unless both give a start time and the times differ.
async fn parsed_instances() -> Result<()> {
    let instance = |text: &str| RunnerInstance::parse(text);
    ensure!(instance("i-1@7").to_string() == "i-1@7" && instance("i-1").started_at.is_none());
    ensure!(
        instance("i-1@x").name == "i-1@x",
        "a bad start time is not a part of the name"
    );
    ensure!(instance("i-1@7").may_be(&instance("i-1")));
    ensure!(!instance("i-1@7").may_be(&instance("i-1@8")));
    ensure!(!instance("i-1@7").may_be(&instance("i-2@7")));
    Ok(())
}

/// A runner with room that a task was kept off, for a reason that holds for its step alone, passed
/// for full: tasks of other steps, which could start there, were not placed for as long as the first
/// waited before them. Here it is the pause of a runner that may drop ends unread, which long-running
/// tasks do not have.
async fn unproven_beside_others() -> Result<()> {
    let mut state = pool_of(1, 8);
    state.add_job(new_job("a", vec![step(3)]), 1_000);
    let runner = state.runner_key("i-0").ok_or_eyre("no runner")?;
    state.doubt_end_listing(runner);
    start_all(&mut state, 1_000);
    let stop = state.take_stop_orders().pop();
    let stop = stop.ok_or_eyre("the task was not stopped")?;
    state.record_stop_ack(&stop, 1_100);
    state.record_heartbeat(runner, &HeartbeatReport::default(), 1_200, 1_201);
    let lasting = StepSpec {
        long_running: true,
        ..step(2)
    };
    let mut later = new_job("long", vec![lasting]);
    later.submission.policy.priority = 1;
    state.add_job(later, 1_250);
    let orders = decide(&mut state, 1_300);
    ensure!(
        orders.len() == 2,
        "{} of 2 long-running tasks start",
        orders.len()
    );
    ensure!(orders.iter().all(|order| order.name.job == "long"));
    Ok(())
}
