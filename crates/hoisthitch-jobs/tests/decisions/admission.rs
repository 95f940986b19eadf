//! Tests of the second check of a planned start: whether it may still be sent when its record
//! is written, and whether it may be sent again after it got no response.

use eyre::{
    OptionExt,
    Result,
    ensure, //
};
use hoisthitch_jobs::{
    AdviceTicket,
    EvacuationStage,
    HeartbeatReport,
    NewJob,
    PoolState,
    ResourceAmounts,
    RunnerFacts,
    RunnerKey,
    StartOrder,
    StartOutcome,
    StepSpec,
    TaskState, //
};
use hoisthitch_tests::cases;

use crate::{
    decide,
    new_job,
    pool_of,
    running_on,
    step, //
};

cases! {
    repeat_is_stopped_on_a_runner_that_leaves => repeat(Change::Drains);
    repeat_is_stopped_on_a_runner_off_the_list => repeat(Change::Unlisted);
    repeat_is_stopped_on_a_runner_that_is_emptied => repeat(Change::Evacuates);
    repeat_is_stopped_where_the_room_has_shrunk => repeat(Change::Shrinks);
    repeat_is_stopped_once_its_ticket_is_over => repeat(Change::TicketEnds);
    repeat_is_stopped_once_its_team_is_over_its_limit => repeat(Change::LimitLowered);
    repeat_that_may_be_sent_is_sent => repeat(Change::None);
    first_order_is_not_sent_to_a_runner_that_leaves => first(Change::Drains);
    first_order_is_not_sent_into_room_that_has_shrunk => first(Change::Shrinks);
    first_order_is_not_sent_without_a_ticket => first(Change::TicketEnds);
    lasting_repeat_waits_off_the_list_while_others_are_away => repeat_while_unavailable(Change::Unlisted, false);
    lasting_repeat_is_sent_to_an_emptied_runner_while_others_are_away => repeat_while_unavailable(Change::Evacuates, true);
    lasting_repeat_is_withdrawn_once_expired_off_the_list => repeat_after_expiry(Change::Unlisted);
    lasting_repeat_is_withdrawn_once_expired_where_the_room_has_shrunk => repeat_after_expiry(Change::Shrinks);
    lasting_repeat_is_withdrawn_once_expired_without_a_ticket => repeat_after_expiry(Change::TicketEnds);
    lasting_repeat_is_withdrawn_once_expired_over_its_limit => repeat_after_expiry(Change::LimitLowered);
    lasting_repeat_that_may_be_sent_is_sent_after_expiry => repeat_after_expiry(Change::None);
    lasting_repeat_is_stopped_on_a_leaving_runner => drain_while_unavailable();
}

/// What changes between the planning of a start and its sending.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Change {
    None,
    Drains,
    Unlisted,
    Evacuates,
    Shrinks,
    TicketEnds,
    LimitLowered,
}

/// When the ticket of the tests ends, if it ends.
const TICKET_END_MS: u64 = 1_990;

/// Applies a change to a runner or its team.
fn change(state: &mut PoolState, key: RunnerKey, change: Change) -> Result<()> {
    let runner = state.runner(key).ok_or_eyre("no runner")?;
    let facts = runner.facts.clone();
    match change {
        Change::None | Change::TicketEnds => {}
        Change::Drains => {
            let draining = true;
            state.set_runner(RunnerFacts { draining, ..facts }, 1_500);
        }
        Change::Unlisted => state.unlist_runner(key),
        Change::Evacuates => state.begin_evacuation(key, EvacuationStage::Emptying, 1_500),
        Change::Shrinks => {
            let capacity = ResourceAmounts {
                cpu_milli: 500,
                ..facts.capacity
            };
            state.set_runner(RunnerFacts { capacity, ..facts }, 1_500);
        }
        Change::LimitLowered => state.set_quota_allocation("choir", ResourceAmounts::default()),
    }
    Ok(())
}

/// A job of one task, of a team with a quota, on a queue with an adviser.
fn advised_job() -> NewJob {
    let mut new = new_job("a", vec![step(1)]);
    new.submission.policy.advised = true;
    new.submission.team = "choir".to_owned();
    new
}

/// Requests advice for the waiting task and records a ticket for the first runner, valid
/// until then.
fn advise(state: &mut PoolState, until: u64) -> Result<()> {
    let request = state
        .next_advice_request(1_000)
        .ok_or_eyre("no advice was requested")?;
    let ticket = AdviceTicket {
        runner: "i-0".to_owned(),
        ticket: "t".to_owned(),
    };
    state.record_advice(&request, vec![ticket], until);
    Ok(())
}

/// A pool of one runner, in which the job waits with a ticket; `ends` says whether the ticket
/// ends before the start is checked again.
fn advised_pool(ends: bool) -> Result<PoolState> {
    let mut state = pool_of(1, 8);
    let plenty = ResourceAmounts {
        cpu_milli: 64_000,
        memory_mb: 64_000,
        gpus: 8,
    };
    state.set_quota_allocation("choir", plenty);
    state.add_job(advised_job(), 1_000);
    state.begin_due_rounds(1_000, 0);
    advise(&mut state, if ends { TICKET_END_MS } else { 9_000 })?;
    Ok(state)
}

/// A start gets no response, something changes, and a later heartbeat does not list its run:
/// the start is sent again if nothing changed, else its run is stopped.
async fn repeat(what: Change) -> Result<()> {
    let mut state = advised_pool(what == Change::TicketEnds)?;
    let order = decide(&mut state, 1_000).pop().ok_or_eyre("no order")?;
    state.record_start_outcome(&order, StartOutcome::Unclear, 1_400);
    change(&mut state, order.runner, what)?;
    let again = state.record_heartbeat(order.runner, &HeartbeatReport::default(), 1_950, 2_000);
    let stops = state.take_stop_orders();
    if what == Change::None {
        ensure!(again.len() == 1 && stops.is_empty(), "{again:?}, {stops:?}");
        ensure!(again[0].copy == 2, "{again:?}");
    } else {
        ensure!(again.is_empty() && stops.len() == 1, "{again:?}, {stops:?}");
    }
    Ok(())
}

/// Something changes while the record of a start is written: it is never sent, and needs no
/// stop.
async fn first(what: Change) -> Result<()> {
    let mut state = advised_pool(what == Change::TicketEnds)?;
    state.plan(1_000);
    let plan = state.begin_flush(100);
    let key = state.runner_key("i-0").ok_or_eyre("no runner")?;
    change(&mut state, key, what)?;
    let orders = state.finish_flush(&plan, 2_000);
    ensure!(orders.is_empty(), "{orders:?}");
    ensure!(
        state.take_stop_orders().is_empty(),
        "a start that was not sent is stopped"
    );
    Ok(())
}

/// A pool with a long-running step of three tasks, one of which may be unavailable: one task
/// is available, one is unavailable, and the start of the third got no response. Returns the
/// order of the third.
fn two_unavailable() -> Result<(PoolState, StartOrder)> {
    let mut state = pool_of(3, 1);
    let long_running = StepSpec {
        long_running: true,
        max_per_runner: 1,
        max_unavailable: 1,
        ..step(3)
    };
    state.add_job(new_job("long", vec![long_running]), 1_000);
    let orders = decide(&mut state, 1_000);
    ensure!(orders.len() == 3, "{orders:?}");
    // The first is available, the second never began, the third's start got no response.
    state.record_start_outcome(&orders[0], StartOutcome::Started, 1_010);
    let report = HeartbeatReport {
        running: running_on(&state, orders[0].runner, None, 100),
        ..HeartbeatReport::default()
    };
    state.record_heartbeat(orders[0].runner, &report, 1_300, 1_310);
    state.record_start_outcome(&orders[1], StartOutcome::Started, 1_010);
    state.record_start_outcome(&orders[2], StartOutcome::Unclear, 1_400);
    Ok((state, orders[2].clone()))
}

/// The step can't miss the third task, so that its start is not stopped; `is_sent` says
/// whether it is sent again.
async fn repeat_while_unavailable(what: Change, is_sent: bool) -> Result<()> {
    let (mut state, order) = two_unavailable()?;
    change(&mut state, order.runner, what)?;
    let again = state.record_heartbeat(order.runner, &HeartbeatReport::default(), 1_950, 2_000);
    ensure!(
        state.take_stop_orders().is_empty(),
        "a task that may be available was stopped"
    );
    ensure!(again.len() == usize::from(is_sent), "{again:?}");
    Ok(())
}

/// A runner that drains ends its tasks in any case, and the start there is stopped.
async fn drain_while_unavailable() -> Result<()> {
    let (mut state, order) = two_unavailable()?;
    change(&mut state, order.runner, Change::Drains)?;
    let again = state.record_heartbeat(order.runner, &HeartbeatReport::default(), 1_950, 2_000);
    ensure!(again.is_empty(), "{again:?}");
    ensure!(state.take_stop_orders().len() == 1);
    Ok(())
}

/// When the lease of the runner ends that a start without an answer names as its deadline.
const LEASE_END_MS: u64 = 1_000_000;

/// A long-running task none of which may be unavailable waited for good after one start without an
/// answer, for as long as an obstacle kept the start from being sent again (review/10): neither was
/// it sent, nor its run withdrawn, nor the task placed elsewhere. The obstacle need not end; the
/// copies that were sent expire with the lease, and then a stop ends nothing.
async fn repeat_after_expiry(what: Change) -> Result<()> {
    let mut state = pool_of(1, 8);
    let mut new = advised_job();
    new.submission.spec.steps[0].long_running = true;
    state.add_job(new, 1_000);
    state.begin_due_rounds(1_000, 0);
    let ticket_end = if what == Change::TicketEnds {
        TICKET_END_MS
    } else {
        2 * LEASE_END_MS
    };
    advise(&mut state, ticket_end)?;
    let order = decide(&mut state, 1_000).pop().ok_or_eyre("no order")?;
    state.record_start_outcome(&order, StartOutcome::Unclear, 1_400);
    change(&mut state, order.runner, what)?;
    let lacks_run = HeartbeatReport::default();
    // A copy may have begun after a heartbeat that was sent before its deadline.
    for sent_at in [2_000, LEASE_END_MS - 1] {
        let again = state.record_heartbeat(order.runner, &lacks_run, sent_at, LEASE_END_MS + 10);
        let sent = usize::from(what == Change::None && sent_at == 2_000);
        ensure!(again.len() == sent, "sent again at {sent_at}: {again:?}");
        ensure!(
            state.take_stop_orders().is_empty(),
            "a task that may be available was stopped"
        );
        for order in &again {
            state.record_start_outcome(order, StartOutcome::Unclear, LEASE_END_MS - 1);
        }
    }
    let again = state.record_heartbeat(order.runner, &lacks_run, LEASE_END_MS, LEASE_END_MS + 10);
    let (stops, withdrawn) = (state.take_stop_orders(), state.take_withdrawn_starts());
    if what == Change::None {
        ensure!(again.len() == 1 && stops.is_empty(), "{again:?}, {stops:?}");
        return Ok(());
    }
    ensure!(again.is_empty(), "sent though it may not be: {again:?}");
    ensure!(
        stops.len() == 1 && withdrawn.len() == 1,
        "neither sent nor withdrawn: {stops:?}, {withdrawn:?}"
    );
    state.record_stop_ack(&stops[0], LEASE_END_MS + 20);
    state.record_heartbeat(
        order.runner,
        &lacks_run,
        LEASE_END_MS + 30,
        LEASE_END_MS + 40,
    );
    let entry = state.task(order.task).ok_or_eyre("no task")?;
    ensure!(entry.state == TaskState::Waiting, "{:?}", entry.state);
    let runner = state.runner(order.runner).ok_or_eyre("no runner")?;
    ensure!(
        runner.used == ResourceAmounts::default(),
        "the run that never began keeps its room"
    );
    Ok(())
}
