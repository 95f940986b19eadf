//! Tests of orders that get no response, are refused or come late, and of runners that become
//! unresponsive.

use eyre::{
    OptionExt,
    Result,
    ensure, //
};
use hoisthitch_jobs::{
    AbandonedRun,
    EndKind,
    EndedTask,
    EvacuationStage,
    EvacuationStatus,
    HeartbeatReport,
    InheritedRuns,
    JobPhase,
    PoolState,
    RunnerKey,
    RunnerLoss,
    StartOrder,
    StartOutcome,
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
    task_on_a_silent_runner_is_left_alone => silent();
    lapsed_lease_frees_the_tasks => lease_expires();
    refused_copy_of_an_unanswered_start_is_stopped_first => refused_copy();
    late_starts_shun_no_runner_for_long => late_start();
    runner_without_a_lease_gets_nothing_until_it_has_one => late_lease();
    ends_are_acknowledged_though_some_records_are_always_behind => flush_rounds();
    stopped_start_that_never_came_frees_its_room => stopped_start();
    unanswered_start_is_sent_again_under_its_run => unanswered();
    stop_of_a_task_at_work_is_not_repeated_while_others_are_away => repeated_stop();
    unanswered_start_is_withdrawn_by_each_end_of_its_run => abandoned_runs();
    answered_start_is_not_withdrawn_by_the_end_of_its_run => answered_run();
    run_missing_from_a_cut_list_of_ends_is_not_lost => unlisted_ends();
    run_missing_from_a_cut_list_is_not_lost_to_a_new_owner => unlisted_ends_after_takeover();
    run_missing_from_a_cut_list_outlasts_the_inherited_time => unlisted_ends_past_inherited_time();
    stopped_run_missing_from_a_cut_list_waits_for_the_whole => unlisted_stop();
    ends_dropped_at_once_pause_a_runner_once => dropped_at_once();
}

/// A copy of an unanswered start may be queued when the owner gives its run up, and the next run
/// of the task may begin elsewhere before that copy is sent. Whatever ends the run, the session
/// is told to withdraw it.
async fn abandoned_runs() -> Result<()> {
    type RunEnd = fn(&mut PoolState, &StartOrder);
    let ends: [(&str, RunEnd); 5] = [
        ("lapse of the lease", |state, order| {
            state.record_missed_heartbeat(order.runner, false, 1_950, 2_000);
            state.expire_leases(1_000_001);
        }),
        ("removal of the runner", |state, order| {
            state.remove_runner(order.runner, RunnerLoss::Crashed, 2_000);
        }),
        ("restart of the runner", |state, order| {
            state.replace_restarted_runner(order.runner, 9, 9_000, 2_000);
        }),
        ("end by a report", |state, order| {
            end_all(state, std::slice::from_ref(order), EndKind::Stopped, 2_000);
        }),
        ("acknowledged stop", |state, order| {
            state.cancel("a", 2_000);
            for stop in state.take_stop_orders() {
                state.record_stop_ack(&stop, 2_010);
            }
            state.record_heartbeat(order.runner, &HeartbeatReport::default(), 2_020, 2_030);
        }),
    ];
    for (cause, end) in ends {
        let mut state = pool_of(2, 8);
        state.add_job(new_job("a", vec![step(1)]), 1_000);
        let orders = decide(&mut state, 1_000);
        let order = orders.first().ok_or_eyre("no start was ordered")?;
        state.record_start_outcome(order, StartOutcome::Unclear, 1_900);
        ensure!(state.take_abandoned_runs().is_empty(), "{cause}: too early");
        end(&mut state, order);
        let expected = AbandonedRun {
            runner: order.runner,
            name: order.name.clone(),
            run: order.run,
        };
        let abandoned = state.take_abandoned_runs();
        ensure!(abandoned == [expected], "{cause}: {abandoned:?}");
    }
    Ok(())
}

/// Nothing of an answered start is queued, so that its end costs the session nothing.
async fn answered_run() -> Result<()> {
    let mut state = pool_of(1, 8);
    state.add_job(new_job("a", vec![step(1)]), 1_000);
    let orders = start_all(&mut state, 1_000);
    end_all(&mut state, &orders, EndKind::Done, 2_000);
    ensure!(state.take_abandoned_runs().is_empty());
    Ok(())
}

/// A task on a runner that misses heartbeats is neither stopped nor started elsewhere while the
/// lease lasts.
async fn silent() -> Result<()> {
    let mut state = pool_of(2, 8);
    state.add_job(new_job("a", vec![step(1)]), 1_000);
    let orders = start_all(&mut state, 1_000);
    state.record_missed_heartbeat(orders[0].runner, false, 100, 1_000);
    ensure!(state.stop_stalled(60_000).is_empty());
    ensure!(decide(&mut state, 60_000).is_empty());
    Ok(())
}

/// Once the lease of a runner that misses heartbeats has expired, its task is started elsewhere.
async fn lease_expires() -> Result<()> {
    let mut state = pool_of(2, 8);
    state.add_job(new_job("a", vec![step(1)]), 1_000);
    let orders = start_all(&mut state, 1_000);
    state.record_missed_heartbeat(orders[0].runner, false, 100, 1_000);
    ensure!(state.expire_leases(999_999).is_empty());
    ensure!(state.expire_leases(1_000_001) == [orders[0].runner]);
    let again = start_all(&mut state, 1_000_002);
    ensure!(again.len() == 1 && again[0].runner != orders[0].runner);
    Ok(())
}

/// A start got no response and may be carried out late; its second copy is refused. The task
/// may be started elsewhere only once the runner has acknowledged a stop.
async fn refused_copy() -> Result<()> {
    let mut state = pool_of(2, 8);
    state.add_job(new_job("a", vec![step(1)]), 1_000);
    let orders = decide(&mut state, 1_000);
    let order = orders.first().ok_or_eyre("no start was ordered")?;
    state.record_start_outcome(order, StartOutcome::Unclear, 1_900);
    let again = state.record_heartbeat(order.runner, &HeartbeatReport::default(), 1_950, 2_000);
    ensure!(again.len() == 1, "the same run is not sent again");
    state.record_start_outcome(order, StartOutcome::Refused, 2_100);
    ensure!(
        decide(&mut state, 2_200).is_empty(),
        "started elsewhere at once"
    );
    let stops = state.take_stop_orders();
    let stop = stops.first().ok_or_eyre("no stop was sent")?;
    state.record_stop_ack(stop, 2_300);
    state.record_heartbeat(order.runner, &HeartbeatReport::default(), 2_350, 2_400);
    let next = decide(&mut state, 4_000);
    ensure!(next.first().is_some_and(|next| next.run == 2), "{next:?}");
    Ok(())
}

/// A slow owner's orders arrive after the end of the lease that they name. The runners are
/// healthy, and a pool that backed off from all of them would start nothing.
async fn late_start() -> Result<()> {
    let mut state = pool_of(1, 8);
    state.add_job(new_job("a", vec![step(1)]), 1_000);
    for turn in 0..5 {
        let now = 1_000 + turn * 400;
        let orders = decide(&mut state, now);
        let order = orders
            .first()
            .ok_or_eyre("the runner gets no tasks after a late start")?;
        state.record_start_outcome(order, StartOutcome::Late, now + 50);
    }
    Ok(())
}

/// Guards against a flood of late starts: on a fleet of 1,100 VMs, an owner whose leases had
/// expired ordered 2,500 starts a second, all of which were refused as late, and its link had no
/// capacity left for the heartbeats that renew leases. No start is planned for a runner whose
/// lease is about to end, until the lease is renewed.
async fn late_lease() -> Result<()> {
    let mut state = pool_of(1, 8);
    let key = state.runner_key("i-0").ok_or_eyre("no runner")?;
    state.confirm_runner_lease(key, 2_000);
    state.add_job(new_job("a", vec![step(1)]), 1_500);
    ensure!(decide(&mut state, 1_500).is_empty());
    state.confirm_runner_lease(key, 6_500);
    ensure!(decide(&mut state, 1_600).len() == 1);
    Ok(())
}

/// Under load each write leaves some records out, and jobs that change meanwhile have to be
/// written again. Ends are still acknowledged, each once all the records that it changed are
/// written.
async fn flush_rounds() -> Result<()> {
    let mut state = pool_of(1, 512);
    for number in 0..4 {
        state.add_job(new_job(&format!("j{number}"), vec![step(40)]), 1_000);
    }
    let first = start_all(&mut state, 1_000);
    let mut acknowledged = 0;
    for (turn, now) in (1..30).zip((1_010..).step_by(10)) {
        // In each turn a task of each job ends, so that all records have to be written again.
        let ended = first.iter().filter(|order| order.name.index == turn);
        let ended: Vec<_> = ended.cloned().collect();
        end_all(&mut state, &ended, EndKind::Done, now);
        let plan = state.begin_flush(2);
        for (_, end) in &plan.acked_ends {
            ensure!(*end >= acknowledged, "{end} after {acknowledged}");
            acknowledged = *end;
        }
        state.finish_flush(&plan, now);
    }
    ensure!(acknowledged > 10, "{acknowledged} ends were acknowledged");
    Ok(())
}

/// A job is cancelled while its start is under way; the stop arrives first, and the start is
/// refused. No end is ever reported, and the capacity is free once the stop is acknowledged.
async fn stopped_start() -> Result<()> {
    let mut state = pool_of(1, 8);
    state.add_job(new_job("a", vec![step(1)]), 1_000);
    let orders = decide(&mut state, 1_000);
    let order = orders.first().ok_or_eyre("no start was ordered")?;
    state.cancel("a", 1_100);
    let next_pass = |state: &mut PoolState, now: u64| {
        state.resend_stops(now);
        let stops = state.take_stop_orders();
        state.record_heartbeat(order.runner, &HeartbeatReport::default(), now - 1, now);
        let runner = state.runner(order.runner);
        (stops, runner.is_some_and(|runner| runner.tasks.is_empty()))
    };
    // While no stop is acknowledged, the start may still be carried out.
    let mut last = Vec::new();
    for now in (1_200..9_000).step_by(100) {
        let (stops, free) = next_pass(&mut state, now);
        ensure!(!free, "free at {now}");
        last.extend(stops);
    }
    let stop = last.last().ok_or_eyre("no stop was sent")?;
    state.record_stop_ack(stop, 9_000);
    state.record_start_outcome(order, StartOutcome::Old, 9_010);
    let (_, free) = next_pass(&mut state, 9_100);
    ensure!(free, "the capacity is not free");
    Ok(())
}

/// A heartbeat that was sent before the start ended says nothing about it; a later one that
/// does not list the run has the same run sent again.
async fn unanswered() -> Result<()> {
    let mut state = pool_of(1, 8);
    state.add_job(new_job("a", vec![step(1)]), 1_000);
    let orders = decide(&mut state, 1_000);
    state.record_start_outcome(&orders[0], StartOutcome::Unclear, 1_900);
    let report = HeartbeatReport::default();
    let early = state.record_heartbeat(orders[0].runner, &report, 1_800, 2_000);
    ensure!(
        early.is_empty(),
        "sent again for a heartbeat from before the start ended"
    );
    let again = state.record_heartbeat(orders[0].runner, &report, 2_100, 2_101);
    ensure!(again.len() == 1 && again[0].run == orders[0].run);
    Ok(())
}

/// One of two long-running tasks on an evacuating runner is moved, and its stop gets no
/// response. The other fails meanwhile: a second stop would end the only task that is
/// available.
async fn repeated_stop() -> Result<()> {
    let mut state = pool_of(1, 8);
    let long_running = StepSpec {
        long_running: true,
        max_unavailable: 1,
        ..step(2)
    };
    state.add_job(new_job("long", vec![long_running]), 1_000);
    let orders = start_all(&mut state, 1_000);
    ensure!(orders.len() == 2, "{orders:?}");
    let key = orders[0].runner;
    report_available(&mut state, key, 2_000);
    state.begin_evacuation(key, EvacuationStage::Emptying, 2_100);
    let decision = state.evacuate(&[key], false, 2_100).remove(0);
    ensure!(
        decision.status == EvacuationStatus::Busy(1) && decision.relocated.is_some(),
        "no task is moved: {decision:?}"
    );
    let stops = state.take_stop_orders();
    let moved = orders.iter().find(|order| order.name == stops[0].name);
    let moved = moved.ok_or_eyre("another task was stopped")?;
    let other = orders.iter().find(|order| order.name != moved.name);
    let other = other.ok_or_eyre("no other task")?.clone();
    state.resend_stops(2_900);
    ensure!(
        state.take_stop_orders().len() == 1,
        "the stop is not sent again"
    );
    ensure!(state.harmful_stops().is_empty());
    end_all(&mut state, &[other], EndKind::Failed, 3_000);
    report_available(&mut state, key, 3_050);
    state.resend_stops(3_700);
    ensure!(
        state.take_stop_orders().is_empty(),
        "the stop leaves no task available"
    );
    // A copy that still waits behind other orders is revoked.
    let harmful = state.harmful_stops();
    ensure!(harmful.len() == 1 && harmful[0].name == moved.name);
    // Once the step can miss the task, or the runner does not list it, the stop is sent again.
    state.record_heartbeat(key, &HeartbeatReport::default(), 3_750, 3_760);
    state.resend_stops(4_500);
    ensure!(state.take_stop_orders().len() == 1);
    ensure!(state.harmful_stops().is_empty());
    Ok(())
}

/// A runner reports that all its runs are available.
fn report_available(state: &mut PoolState, key: RunnerKey, now: u64) {
    let report = HeartbeatReport {
        running: running_on(state, key, None, 100),
        ..HeartbeatReport::default()
    };
    state.record_heartbeat(key, &report, now - 5, now);
}

/// Ends that a runner lists at once in these tests.
const ENDS_AT_ONCE: usize = 4;

/// The runs of these orders have ended done on their runner, as ends 1 and up; it lists the next
/// [`ENDS_AT_ONCE`] after `acked`.
fn list_ends(orders: &[StartOrder], acked: usize) -> HeartbeatReport {
    let ended = (1..).zip(orders).skip(acked).take(ENDS_AT_ONCE);
    let ended = ended.map(|(number, order)| EndedTask {
        number,
        name: order.name.to_string(),
        run: order.run,
        kind: EndKind::Done,
        checkpoint: String::new(),
    });
    let ended: Vec<EndedTask> = ended.collect();
    HeartbeatReport {
        more_ends: ended.len() >= ENDS_AT_ONCE,
        ended,
        ..HeartbeatReport::default()
    }
}

/// Ten tasks end on one runner, which lists four ends at once until they are acknowledged. The
/// others were missing from its response, counted as lost and were started elsewhere, though
/// their ends `done` were listed and acknowledged later (review/8).
async fn unlisted_ends() -> Result<()> {
    let mut state = pool_of(2, 16);
    state.add_job(new_job("a", vec![step(10)]), 1_000);
    let orders = start_all(&mut state, 1_000);
    let runner = orders.first().ok_or_eyre("nothing was started")?.runner;
    ensure!(orders.iter().all(|order| order.runner == runner));
    for (acked, now) in [(0, 2_000), (0, 5_000), (4, 5_100), (8, 5_200)] {
        state.record_heartbeat(runner, &list_ends(&orders, acked), now - 1, now);
        ensure!(state.stop_stalled(now).is_empty(), "stalled at {now}");
        let again = decide(&mut state, now);
        ensure!(again.is_empty(), "started again at {now}: {again:?}");
    }
    let phase = state.job("a").map(|job| job.phase);
    ensure!(phase == Some(JobPhase::Completed), "{phase:?}");
    Ok(())
}

/// The same ends, read by an owner that has just taken over: it released what the runner's first
/// response did not list.
async fn unlisted_ends_after_takeover() -> Result<()> {
    let mut before = pool_of(1, 16);
    before.add_job(new_job("a", vec![step(10)]), 1_000);
    let orders = decide(&mut before, 1_000);
    let progress = before.job("a").map(|job| {
        job.progress(|task| {
            let runner = before.runner(task.runner()?)?;
            Some(runner.facts.instance())
        })
    });
    let mut state = pool_of(1, 16);
    let mut inherited = new_job("a", vec![step(10)]);
    inherited.progress = progress;
    state.add_job(inherited, 1_500);
    let runner = state.runner_key("i-0").ok_or_eyre("no runner")?;
    for (acked, now) in [(0, 2_000), (4, 2_100), (8, 2_200)] {
        state.record_heartbeat(runner, &list_ends(&orders, acked), now - 1, now);
        let again = decide(&mut state, now);
        ensure!(again.is_empty(), "started again at {now}: {again:?}");
    }
    let phase = state.job("a").map(|job| job.phase);
    ensure!(phase == Some(JobPhase::Completed), "{phase:?}");
    Ok(())
}

/// A task was stopped, and its end is not among those that are listed at once: it starts again only
/// once the list is whole, for it may have ended done before the stop. A task that is then still
/// missing is started again.
async fn unlisted_stop() -> Result<()> {
    let mut state = pool_of(1, 16);
    state.add_job(new_job("a", vec![step(6)]), 1_000);
    let orders = start_all(&mut state, 1_000);
    let last = orders.last().ok_or_eyre("nothing was started")?;
    let running = running_on(&state, last.runner, None, 10);
    for now in [1_700, 2_400] {
        let report = HeartbeatReport {
            running: running.clone(),
            ..HeartbeatReport::default()
        };
        state.record_heartbeat(last.runner, &report, now - 1, now);
    }
    ensure!(!state.stop_stalled(9_000).is_empty());
    for stop in state.take_stop_orders() {
        state.record_stop_ack(&stop, 9_010);
    }
    state.record_heartbeat(last.runner, &list_ends(&orders, 0), 9_020, 9_030);
    ensure!(decide(&mut state, 20_000).is_empty(), "started too early");
    let whole = list_ends(&orders[..5], 4);
    state.record_heartbeat(last.runner, &whole, 20_100, 20_110);
    let again = decide(&mut state, 30_000);
    ensure!(again.len() == 1 && again[0].run == 2, "{again:?}");
    Ok(())
}

/// A runner may drop ends unread, and a response lacks six runs at once. Each of them doubled the
/// pause of the runner, which then got no short tasks for 32 s instead of one.
async fn dropped_at_once() -> Result<()> {
    let mut state = pool_of(1, 16);
    state.add_job(new_job("a", vec![step(6)]), 1_000);
    let orders = start_all(&mut state, 1_000);
    let runner = orders.first().ok_or_eyre("nothing was started")?.runner;
    state.doubt_end_listing(runner);
    state.record_heartbeat(runner, &HeartbeatReport::default(), 1_900, 2_000);
    ensure!(decide(&mut state, 2_900).is_empty(), "not paused");
    let again = decide(&mut state, 3_100);
    ensure!(again.len() == 1, "{} starts after a second", again.len());
    Ok(())
}

/// A new owner renews the lease of a runner whose list of ends stays cut short while the store is
/// slow. The time by which the earlier owner's runs have ended passes meanwhile, and those that
/// are not listed are released, though no lease has lapsed and their ends `done` are listed later.
async fn unlisted_ends_past_inherited_time() -> Result<()> {
    let mut before = pool_of(1, 16);
    before.add_job(new_job("a", vec![step(10)]), 1_000);
    let orders = decide(&mut before, 1_000);
    let progress = before.job("a").map(|job| {
        job.progress(|task| {
            let runner = before.runner(task.runner()?)?;
            Some(runner.facts.instance())
        })
    });
    let mut state = PoolState::new(InheritedRuns {
        until: 6_000,
        ..InheritedRuns::default()
    });
    let facts = before.runners().map(|(_, runner)| runner.facts.clone());
    let facts = facts.last().ok_or_eyre("no runner")?;
    let mut inherited = new_job("a", vec![step(10)]);
    inherited.progress = progress;
    state.add_job(inherited, 1_500);
    let runner = state.set_runner(facts, 1_500);
    state.mark_runner_ready(runner);
    for (acked, now) in [(0, 2_000), (0, 5_000), (0, 7_000), (4, 7_100), (8, 7_200)] {
        state.extend_lease(runner, now + 5_000);
        state.record_heartbeat(runner, &list_ends(&orders, acked), now - 1, now);
        state.expire_leases(now);
        let again = decide(&mut state, now);
        ensure!(again.is_empty(), "started again at {now}");
    }
    Ok(())
}
