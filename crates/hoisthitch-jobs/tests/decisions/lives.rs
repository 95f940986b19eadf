//! Runners that start again under their names: what ended with the life before, and what
//! the next one may run.

use eyre::{
    OptionExt,
    Result,
    ensure, //
};
use hoisthitch_jobs::{
    EndKind,
    EndedTask,
    HeartbeatReport,
    PoolState,
    RunnerInstance,
    RunnerKey,
    RunningTask,
    StartOrder,
    StartOutcome, //
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
    runs_that_were_heard_end_with_their_life => heard_runs();
    starts_after_the_last_answer_wait_for_the_next_life => doubtful_starts();
    end_on_the_next_life_counts => doubtful_end();
    next_life_gets_nothing_before_it_is_listed => unlisted_life();
    earlier_run_that_is_at_work_keeps_the_task => earlier_run();
    start_is_withdrawn_for_an_earlier_run => withdrawn_start();
    lives_are_told_by_birth_where_both_tell => told_lives();
}

/// Birth of the next life.
const BORN: u64 = 9_000;

/// Time until which a doubtful start is waited for.
const UNTIL: u64 = 20_000;

/// One task, started on the only runner.
fn one_started() -> Result<(PoolState, StartOrder)> {
    let mut state = pool_of(1, 8);
    state.add_job(new_job("a", vec![step(1)]), 1_000);
    let order = start_all(&mut state, 1_000).pop();
    Ok((state, order.ok_or_eyre("nothing was ordered")?))
}

/// The runner reports what it has.
fn hear(state: &mut PoolState, runner: RunnerKey, asked_at: u64) {
    let report = HeartbeatReport {
        running: running_on(state, runner, None, 10),
        ..HeartbeatReport::default()
    };
    state.record_heartbeat(runner, &report, asked_at, asked_at + 1);
}

async fn heard_runs() -> Result<()> {
    let (mut state, order) = one_started()?;
    hear(&mut state, order.runner, 1_100);
    let renewed = state.replace_restarted_runner(order.runner, BORN, UNTIL, 2_000);
    let renewed = renewed.ok_or_eyre("the runner is known")?;
    ensure!(
        (renewed.ended, renewed.unconfirmed) == (1, 0),
        "{renewed:?}"
    );
    ensure!(state.runner(order.runner).is_none(), "the life is over");
    let runner = state.runner(renewed.key).ok_or_eyre("the next life")?;
    ensure!(runner.last_seen_end == 0 && runner.tasks.is_empty());
    Ok(())
}

async fn doubtful_starts() -> Result<()> {
    let (mut state, order) = one_started()?;
    let renewed = state.replace_restarted_runner(order.runner, BORN, UNTIL, 2_000);
    let renewed = renewed.ok_or_eyre("the runner is known")?;
    ensure!(
        (renewed.ended, renewed.unconfirmed) == (0, 1),
        "{renewed:?}"
    );
    ensure!(decide(&mut state, 2_100).is_empty(), "started elsewhere");
    // The next life has it, and it goes on there.
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
    state.record_heartbeat(renewed.key, &report, 2_200, 2_201);
    ensure!(state.take_stop_orders().is_empty(), "it was stopped");
    let holds = |state: &PoolState| state.runner(renewed.key).map(|r| r.tasks.len());
    ensure!(holds(&state) == Some(1));
    state.record_heartbeat(renewed.key, &HeartbeatReport::default(), 2_300, 2_301);
    ensure!(holds(&state) == Some(0), "it is not there any more");
    Ok(())
}

async fn doubtful_end() -> Result<()> {
    let (mut state, order) = one_started()?;
    let renewed = state.replace_restarted_runner(order.runner, BORN, UNTIL, 2_000);
    let renewed = renewed.ok_or_eyre("the runner is known")?;
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
    state.record_heartbeat(renewed.key, &report, 2_200, 2_201);
    ensure!(state.task(order.task).is_some_and(|task| task.is_done()));
    Ok(())
}

async fn unlisted_life() -> Result<()> {
    let (mut state, order) = one_started()?;
    hear(&mut state, order.runner, 1_100);
    let facts = state.runner(order.runner).map(|r| r.facts.clone());
    let mut facts = facts.ok_or_eyre("the runner is known")?;
    let renewed = state.replace_restarted_runner(order.runner, BORN, UNTIL, 2_000);
    let renewed = renewed.ok_or_eyre("the runner is known")?;
    hear(&mut state, renewed.key, 2_100);
    state.mark_runner_ready(renewed.key);
    state.extend_lease(renewed.key, 1_000_000);
    ensure!(
        decide(&mut state, 2_200).is_empty(),
        "its kind is not known"
    );
    facts.started_at = Some(BORN);
    let key = state.set_runner(facts, 2_300);
    ensure!(key == renewed.key, "the record is that of the life");
    let again = decide(&mut state, 2_400);
    ensure!(again.len() == 1 && again[0].run == order.run + 1);
    Ok(())
}

/// A life reports a run of a task that nothing is under way for.
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

async fn earlier_run() -> Result<()> {
    let mut state = pool_of(2, 8);
    state.add_job(new_job("a", vec![step(1)]), 1_000);
    let order = start_all(&mut state, 1_000).pop().ok_or_eyre("no order")?;
    state.record_heartbeat(order.runner, &HeartbeatReport::default(), 1_100, 1_101);
    // It is free again, and its run shows all the same.
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

async fn withdrawn_start() -> Result<()> {
    let mut state = pool_of(2, 8);
    state.add_job(new_job("a", vec![step(1)]), 1_000);
    let first = start_all(&mut state, 1_000).pop().ok_or_eyre("no order")?;
    state.record_heartbeat(first.runner, &HeartbeatReport::default(), 1_100, 1_101);
    // The runner where it was may be down, so that it is started on the other one.
    state.mark_runner_unreachable(first.runner);
    let second = decide(&mut state, 1_150).pop().ok_or_eyre("no order")?;
    ensure!(second.runner != first.runner, "elsewhere");
    state.record_start_outcome(&second, StartOutcome::Unclear, 1_200);
    report_run(&mut state, first.runner, &first, 1_300);
    let stop = state
        .take_stop_orders()
        .pop()
        .ok_or_eyre("no stop was sent")?;
    ensure!(stop.runner == second.runner && stop.run == second.run);
    Ok(())
}

async fn told_lives() -> Result<()> {
    let instance = |text: &str| RunnerInstance::parse(text);
    ensure!(instance("i-1@7").to_string() == "i-1@7" && instance("i-1").started_at.is_none());
    ensure!(instance("i-1@x").name == "i-1@x", "no birth");
    ensure!(instance("i-1@7").may_be(&instance("i-1")));
    ensure!(!instance("i-1@7").may_be(&instance("i-1@8")));
    ensure!(!instance("i-1@7").may_be(&instance("i-2@7")));
    Ok(())
}
