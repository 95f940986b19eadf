//! Tests of the requests to an adviser: which steps they are for, which runners they name, and that
//! no answer is asked for twice.

use std::collections::BTreeSet;

use eyre::{
    OptionExt,
    Result,
    ensure, //
};
use hoisthitch_jobs::{
    AdviceRequest,
    AdviceTicket,
    HeartbeatReport,
    NewJob,
    PoolState,
    RunnerFacts,
    StartOutcome,
    StepSpec, //
};
use hoisthitch_tests::cases;

use crate::{
    decide,
    new_job,
    pool_of,
    start_all,
    step, //
};

cases! {
    few_permitted_runners_are_found_among_eight => finds_permitted(8, &[6, 7], 2);
    only_permitted_runner_is_found_among_many => finds_permitted(700, &[699], 11);
    step_without_room_leaves_its_turn => skips_step(Blocked::NoRoom);
    step_without_a_runner_of_its_label_leaves_its_turn => skips_step(Blocked::NoLabel);
    step_that_no_runner_may_run_leaves_its_turn => skips_step(Blocked::AllRefused);
    steps_without_an_answer_take_turns => takes_turns();
    new_steps_do_not_take_the_turns_of_older_ones => keeps_turn_of_older();
    refused_runner_is_not_named_again => names_refused_once();
    instance_under_a_refused_name_is_named => names_next_instance();
    answer_about_an_earlier_instance_is_not_used => ignores_late_answer();
    permitted_runner_is_named_again_beside_untried_ones => renews_tickets();
    runners_named_without_an_answer_take_turns => names_all_without_answers();
    permitted_runners_leave_turns_to_untried_ones => shares_request();
    runner_of_an_unanswered_start_is_named_first => names_repeat_first();
    refusal_is_followed_by_a_request_at_once => follows_refusal();
    runner_with_a_lasting_ticket_is_not_named => leaves_out_lasting();
    pass_without_a_request_is_not_repeated_at_once => spaces_passes();
    unanswered_request_names_fewer_runners_next_time => halves_request();
    runners_without_the_label_are_not_named => names_labelled();
    runners_with_enough_tasks_of_the_step_are_not_named => names_below_limit();
}

/// Time between two requests for a step, in milliseconds.
const INTERVAL_MS: u64 = 700;

/// Time for which tickets of the tests are valid, in milliseconds.
const VALID_MS: u64 = 1_500;

/// A job on a queue with an adviser.
fn advised_job(id: &str, steps: Vec<StepSpec>) -> NewJob {
    let mut new = new_job(id, steps);
    new.submission.policy.advised = true;
    new
}

/// A pool of runners of eight cores, with one advised job.
fn pool_with(runners: u32, advised: StepSpec) -> PoolState {
    let mut state = pool_of(runners, 8);
    state.add_job(advised_job("a", vec![advised]), 1_000);
    state.begin_due_rounds(1_000, 0);
    state
}

/// Answers a request of an adviser that permits the runners of these numbers.
fn answer(state: &mut PoolState, request: &AdviceRequest, permitted: &[u32], now: u64) {
    let permitted: Vec<String> = permitted
        .iter()
        .map(|number| format!("i-{number}"))
        .collect();
    let good = request
        .runners
        .iter()
        .filter(|name| permitted.contains(name));
    let tickets = good.map(|name| AdviceTicket {
        runner: name.clone(),
        ticket: format!("ticket for {name}"),
    });
    let tickets = tickets.collect();
    state.record_advice(request, tickets, now + VALID_MS);
}

/// A step of one task was advised on for the same four runners for good, those with the least
/// processor time in use (review/12): what the adviser had answered was not used, and permitted
/// runners beside them stayed idle. Each runner has to be named before any is named again.
async fn finds_permitted(runners: u32, permitted: &[u32], requests: usize) -> Result<()> {
    let mut state = pool_with(runners, step(1));
    let mut now = 1_000;
    let mut named = BTreeSet::new();
    for _ in 0..requests {
        let request = state.next_advice_request(now).ok_or_eyre("no request")?;
        for runner in &request.runners {
            ensure!(named.insert(runner.clone()), "{runner} is named again");
        }
        answer(&mut state, &request, permitted, now);
        let orders = decide(&mut state, now + 10);
        if let Some(order) = orders.first() {
            let runner = state.runner(order.runner).ok_or_eyre("no runner")?;
            let number = runner.facts.name.trim_start_matches("i-").parse::<u32>()?;
            ensure!(permitted.contains(&number), "started on i-{number}");
            return Ok(());
        }
        now += INTERVAL_MS;
    }
    eyre::bail!(
        "nothing started after {requests} requests, which named {}",
        named.len()
    )
}

/// All runners were turned down: there is nothing to ask.
async fn names_refused_once() -> Result<()> {
    let mut state = pool_with(4, step(1));
    let request = state.next_advice_request(1_000).ok_or_eyre("no request")?;
    ensure!(request.runners.len() == 4, "{request:?}");
    answer(&mut state, &request, &[], 1_010);
    let again = state.next_advice_request(20_000);
    ensure!(
        again.is_none(),
        "refused runners are named again: {again:?}"
    );
    Ok(())
}

/// An answer holds for one instance of a runner; the next one under its name has to be named.
async fn names_next_instance() -> Result<()> {
    let mut state = pool_with(1, step(1));
    let request = state.next_advice_request(1_000).ok_or_eyre("no request")?;
    answer(&mut state, &request, &[], 1_010);
    replace(&mut state, 2_000)?;
    let request = state.next_advice_request(3_000).ok_or_eyre("no request")?;
    ensure!(request.runners == ["i-0"], "{request:?}");
    Ok(())
}

/// Replaces the only runner by its next instance, which is listed and has a lease.
fn replace(state: &mut PoolState, now: u64) -> Result<()> {
    let key = state.runner_key("i-0").ok_or_eyre("no runner")?;
    let facts = state.runner(key).ok_or_eyre("no runner")?.facts.clone();
    state.replace_restarted_runner(key, 7, now, now);
    let facts = RunnerFacts {
        started_at: Some(7),
        ..facts
    };
    let key = state.set_runner(facts, now);
    state.record_heartbeat(key, &HeartbeatReport::default(), now, now);
    state.mark_runner_ready(key);
    Ok(())
}

/// The answer comes after the runner was replaced: neither its ticket nor its refusal holds for the
/// next instance.
async fn ignores_late_answer() -> Result<()> {
    for permitted in [&[0][..], &[]] {
        let mut state = pool_with(1, step(1));
        let request = state.next_advice_request(1_000).ok_or_eyre("no request")?;
        replace(&mut state, 1_005)?;
        answer(&mut state, &request, permitted, 1_010);
        let orders = decide(&mut state, 1_020);
        ensure!(
            orders.is_empty(),
            "started with the ticket of another instance"
        );
        let request = state.next_advice_request(3_000).ok_or_eyre("no request")?;
        ensure!(request.runners == ["i-0"], "{request:?}");
    }
    Ok(())
}

/// A permitted runner whose ticket has expired is named again at once, and others keep their turn.
async fn renews_tickets() -> Result<()> {
    let mut state = pool_with(20, step(1));
    let request = state.next_advice_request(1_000).ok_or_eyre("no request")?;
    let first: BTreeSet<String> = request.runners.iter().cloned().collect();
    let number = request.runners[0].trim_start_matches("i-").parse()?;
    // No plan is made before the ticket has expired.
    answer(&mut state, &request, &[number], 1_010);
    let request = state.next_advice_request(5_000).ok_or_eyre("no request")?;
    let renewed: Vec<&String> = request
        .runners
        .iter()
        .filter(|name| first.contains(*name))
        .collect();
    ensure!(renewed == [&format!("i-{number}")], "{request:?}");
    ensure!(
        request.runners.len() == 4,
        "untried runners lose their turn: {request:?}"
    );
    Ok(())
}

/// An adviser that is too slow for a hundred runners is asked about fewer, instead of about the
/// same hundred for good.
async fn halves_request() -> Result<()> {
    let mut state = pool_with(100, step(60));
    let mut lengths = Vec::new();
    for number in 0..9 {
        let now = 1_000 + number * 4_000;
        let request = state.next_advice_request(now).ok_or_eyre("no request")?;
        lengths.push(request.runners.len());
        state.record_missing_advice(&request);
    }
    ensure!(lengths == [100, 50, 25, 12, 6, 3, 1, 1, 1], "{lengths:?}");
    Ok(())
}

/// Runners on which the step can't run take no turn in a request: those without its label.
async fn names_labelled() -> Result<()> {
    let labelled = StepSpec {
        label: Some("fast".to_owned()),
        ..step(1)
    };
    let mut state = pool_with(12, labelled);
    for number in [9, 11] {
        let key = state
            .runner_key(&format!("i-{number}"))
            .ok_or_eyre("no runner")?;
        let facts = state.runner(key).ok_or_eyre("no runner")?.facts.clone();
        let labels = vec!["fast".to_owned()];
        state.set_runner(RunnerFacts { labels, ..facts }, 1_000);
    }
    let request = state.next_advice_request(1_000).ok_or_eyre("no request")?;
    ensure!(request.runners == ["i-11", "i-9"], "{request:?}");
    Ok(())
}

/// The same for runners that have as many tasks of the step as they may.
async fn names_below_limit() -> Result<()> {
    let spread = StepSpec {
        max_per_runner: 1,
        ..step(2)
    };
    let mut state = pool_with(3, spread);
    let request = state.next_advice_request(1_000).ok_or_eyre("no request")?;
    answer(&mut state, &request, &[1], 1_010);
    let orders = start_all(&mut state, 1_020);
    ensure!(orders.len() == 1, "{orders:?}");
    let again = state.next_advice_request(9_000);
    ensure!(
        again.is_none(),
        "named though it may get no other task: {again:?}"
    );
    Ok(())
}

/// Why no runner can be named for a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Blocked {
    NoRoom,
    NoLabel,
    AllRefused,
}

/// A step for which no runner could be named ended the advice of its whole pool: no request was
/// made for the steps behind it either (review/9).
async fn skips_step(blocked: Blocked) -> Result<()> {
    let mut first = step(1);
    match blocked {
        Blocked::NoRoom => first.need.cpu_milli = 9_000,
        Blocked::NoLabel => first.label = Some("fast".to_owned()),
        Blocked::AllRefused => {}
    }
    let mut state = pool_with(3, first);
    if blocked == Blocked::AllRefused {
        let request = state.next_advice_request(1_000).ok_or_eyre("no request")?;
        answer(&mut state, &request, &[], 1_010);
    }
    state.add_job(advised_job("b", vec![step(1)]), 2_000);
    state.begin_due_rounds(2_000, 0);
    let request = state.next_advice_request(2_000).ok_or_eyre("no request")?;
    ensure!(request.step == "b.0.0", "{request:?}");
    Ok(())
}

/// Time that an adviser takes for a request, in milliseconds.
const REQUEST_MS: u64 = 70;

/// Requests for some ten steps fill the time until the first of them is due again. Steps behind them
/// never had their turn, for steps were visited in the order of their jobs.
async fn takes_turns() -> Result<()> {
    let mut state = pool_of(3, 8);
    let steps: u64 = 30;
    for number in 0..steps {
        state.add_job(advised_job(&format!("j{number}"), vec![step(1)]), 1_000);
    }
    state.begin_due_rounds(1_000, 0);
    let mut requested = BTreeSet::new();
    for number in 0..steps {
        let request = state.next_advice_request(1_000 + number * REQUEST_MS);
        let request = request.ok_or_eyre("no request")?;
        state.record_missing_advice(&request);
        requested.insert(request.step);
    }
    let count = requested.len() as u64;
    ensure!(count == steps, "only {count} of {steps} steps had a turn");
    Ok(())
}

/// A step that was advised on before takes its turn among those that have come since.
async fn keeps_turn_of_older() -> Result<()> {
    let mut state = pool_with(3, step(1));
    let request = state.next_advice_request(1_000).ok_or_eyre("no request")?;
    state.record_missing_advice(&request);
    // New jobs arrive faster than the adviser answers.
    for number in 0..40 {
        let now = 1_010 + number * REQUEST_MS;
        for half in 0..2 {
            state.add_job(
                advised_job(&format!("n{number}-{half}"), vec![step(1)]),
                now,
            );
        }
        state.begin_due_rounds(now, 0);
        let request = state.next_advice_request(now).ok_or_eyre("no request")?;
        if request.step == "a.0.0" {
            return Ok(());
        }
        state.record_missing_advice(&request);
    }
    eyre::bail!("the first step had no second turn")
}

/// An adviser that does not answer is not asked about the same runners for good: the runners that
/// were named the longest time ago come first.
async fn names_all_without_answers() -> Result<()> {
    let mut state = pool_with(12, step(1));
    let mut named = BTreeSet::new();
    for number in 0..12 {
        let request = state.next_advice_request(1_000 + number * INTERVAL_MS);
        let request = request.ok_or_eyre("no request")?;
        state.record_missing_advice(&request);
        named.extend(request.runners);
    }
    ensure!(named.len() == 12, "only {named:?} were named");
    Ok(())
}

/// Runners that were permitted before may be of no use for a task for other reasons. They take at
/// most half of a request while others were never named.
async fn shares_request() -> Result<()> {
    let mut state = pool_with(20, step(1));
    let request = state.next_advice_request(1_000).ok_or_eyre("no request")?;
    let first: BTreeSet<String> = request.runners.iter().cloned().collect();
    let all: Vec<u32> = (0..20).collect();
    answer(&mut state, &request, &all, 1_010);
    let request = state.next_advice_request(5_000).ok_or_eyre("no request")?;
    let known = request.runners.iter().filter(|name| first.contains(*name));
    let count = known.count();
    ensure!(request.runners.len() == 4 && count == 2, "{request:?}");
    Ok(())
}

/// A start without an answer can only be sent again to its own runner, whose ticket has expired: it
/// must not wait for the turns of other permitted runners (review/10).
async fn names_repeat_first() -> Result<()> {
    let long_running = StepSpec {
        long_running: true,
        ..step(1)
    };
    let mut state = pool_with(20, long_running);
    let request = state.next_advice_request(1_000).ok_or_eyre("no request")?;
    let all: Vec<u32> = (0..20).collect();
    answer(&mut state, &request, &all, 1_010);
    let order = decide(&mut state, 1_020).pop().ok_or_eyre("no order")?;
    state.record_start_outcome(&order, StartOutcome::Unclear, 1_900);
    let runner = state.runner(order.runner).ok_or_eyre("no runner")?;
    let name = runner.facts.name.clone();
    let request = state.next_advice_request(5_000).ok_or_eyre("no request")?;
    ensure!(
        request.runners[0] == name,
        "{name} is not first: {request:?}"
    );
    Ok(())
}

/// After a response that permits no runner others are named at once, not after the interval.
async fn follows_refusal() -> Result<()> {
    let mut state = pool_with(20, step(1));
    let request = state.next_advice_request(1_000).ok_or_eyre("no request")?;
    answer(&mut state, &request, &[], 1_070);
    let request = state.next_advice_request(1_070).ok_or_eyre("no request")?;
    ensure!(request.runners.len() == 8, "{request:?}");
    Ok(())
}

/// A runner whose ticket lasts beyond the next request takes no turn in this one.
async fn leaves_out_lasting() -> Result<()> {
    let mut state = pool_with(8, step(1));
    let request = state.next_advice_request(1_000).ok_or_eyre("no request")?;
    let all: Vec<u32> = (0..8).collect();
    answer(&mut state, &request, &all, 1_000 + INTERVAL_MS);
    let next = state.next_advice_request(1_000 + INTERVAL_MS);
    let next = next.ok_or_eyre("no request")?;
    let again = next
        .runners
        .iter()
        .find(|name| request.runners.contains(*name));
    ensure!(again.is_none(), "{again:?} has a ticket");
    Ok(())
}

/// A pass over the steps visits all runners for each of them, and the owner decides at each event: a
/// pass that led to no request is repeated after 50 ms.
async fn spaces_passes() -> Result<()> {
    let mut large = step(1);
    large.need.cpu_milli = 9_000;
    let mut state = pool_with(3, large);
    ensure!(state.next_advice_request(2_000).is_none());
    state.add_job(advised_job("b", vec![step(1)]), 2_010);
    state.begin_due_rounds(2_010, 0);
    let early = state.next_advice_request(2_010);
    ensure!(early.is_none(), "another pass after 10 ms: {early:?}");
    ensure!(state.next_advice_request(2_050).is_some(), "no request");
    Ok(())
}
