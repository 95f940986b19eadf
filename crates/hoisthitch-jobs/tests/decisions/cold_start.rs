//! Slow start: a cold runner gets starts at its rate, and warm runners come first.
//!
//! The failure: runners that are slow after their start got as many tasks at once as fit.

use eyre::{
    OptionExt,
    Result,
    ensure, //
};
use hoisthitch_jobs::{
    ColdCause,
    ColdStart,
    ColdStartBounds,
    PoolState,
    PoolTerms,
    RunnerFacts,
    RunnerKey, //
};
use hoisthitch_tests::cases;
use quickcheck::quickcheck;

use crate::{
    decide,
    gang,
    new_job,
    pool_of,
    start_all,
    step, //
};

cases! {
    cold_runner_gets_starts_at_its_rate => keeps_rate();
    warm_runner_comes_first => prefers_warm();
    runner_is_warm_after_its_time => becomes_warm();
    inherited_runner_gets_no_tolerance => inherits();
    inherited_runner_that_is_old_is_warm => inherits_old();
    end_of_a_cordon_makes_runners_cold => cordon();
    restarted_runner_is_cold_again => restarts();
    gang_beyond_the_rate_waits_as_a_whole => gang_waits();
    start_that_is_not_ordered_costs_nothing => cancels();
    nothing_is_cold_without_figures => is_off();
}

const COLD: ColdStart = ColdStart {
    duration_ms: 10_000,
    starts_per_s: 2.0,
};

/// Two starts a second and half as many again.
const BOUNDS: ColdStartBounds = ColdStartBounds {
    overage_percent: 50,
    tolerance: 4,
};

/// A time of day, in milliseconds since 1970.
const TODAY_MS: u64 = 1_000_000;

/// A pool of runners with 32 cores that have just started.
fn cold_pool(runners: u32, inherited: bool) -> PoolState {
    let mut state = pool_of(runners, 32);
    state.set_terms(PoolTerms {
        cold_bounds: BOUNDS,
        ..PoolTerms::default()
    });
    state.update_warmth(Some(COLD), inherited, TODAY_MS, 0);
    state
}

async fn keeps_rate() -> Result<()> {
    let mut state = cold_pool(1, false);
    state.add_job(new_job("a", vec![step(30)]), 0);
    let times = (0..3_000).step_by(100);
    let starts: Vec<usize> = times.map(|now| start_all(&mut state, now).len()).collect();
    ensure!(starts[0] == 4, "{starts:?}");
    for window in starts.windows(10) {
        ensure!(window.iter().sum::<usize>() <= 7, "{starts:?}");
    }
    let all: usize = starts.iter().sum();
    ensure!((11..=13).contains(&all), "{all} starts");
    ensure!(state.held_back_starts() > 0);
    Ok(())
}

async fn prefers_warm() -> Result<()> {
    let mut state = cold_pool(1, false);
    state.update_warmth(Some(COLD), false, TODAY_MS, 10_000);
    let facts = RunnerFacts {
        name: "new".to_owned(),
        ..state
            .runners()
            .next()
            .ok_or_eyre("no runner")?
            .1
            .facts
            .clone()
    };
    let new = state.set_runner(facts, 10_000);
    state.mark_runner_ready(new);
    state.extend_lease(new, 1_000_000);
    state.add_job(new_job("a", vec![step(32)]), 10_000);
    ensure!(state.needs_plan());
    // It was not decided yet whether the runner is cold.
    let orders = start_all(&mut state, 10_000);
    ensure!(orders.len() == 32 && orders.iter().all(|order| order.runner != new));
    state.update_warmth(Some(COLD), false, TODAY_MS, 10_050);
    state.add_job(new_job("b", vec![step(32)]), 10_050);
    let orders = start_all(&mut state, 10_050);
    ensure!(orders.len() == 4 && orders.iter().all(|order| order.runner == new));
    Ok(())
}

async fn becomes_warm() -> Result<()> {
    let mut state = cold_pool(1, false);
    let changes = state.take_warmth_changes();
    ensure!(changes.len() == 1 && changes[0].cold == Some((ColdCause::Started, 10_000)));
    state.add_job(new_job("a", vec![step(30)]), 0);
    state.update_warmth(Some(COLD), false, TODAY_MS, 9_999);
    ensure!(decide(&mut state, 9_999).len() == 4);
    state.update_warmth(Some(COLD), false, TODAY_MS, 10_000);
    ensure!(decide(&mut state, 10_000).len() == 26);
    let changes = state.take_warmth_changes();
    ensure!(
        changes.len() == 1 && changes[0].cold.is_none(),
        "{changes:?}"
    );
    ensure!(state.held_back_starts() == 0);
    Ok(())
}

/// The owner before may have used the tolerance right before the takeover.
async fn inherits() -> Result<()> {
    let mut state = cold_pool(1, true);
    state.add_job(new_job("a", vec![step(30)]), 0);
    ensure!(decide(&mut state, 0).is_empty());
    ensure!(decide(&mut state, 300).is_empty());
    ensure!(decide(&mut state, 400).len() == 1);
    Ok(())
}

async fn inherits_old() -> Result<()> {
    for (age, expected) in [(3_000, Some(7_000)), (10_000, None)] {
        let mut state = pool_of(1, 32);
        let facts = state
            .runners()
            .next()
            .ok_or_eyre("no runner")?
            .1
            .facts
            .clone();
        let started_at = Some(TODAY_MS - age);
        state.set_runner(
            RunnerFacts {
                started_at,
                ..facts
            },
            0,
        );
        state.update_warmth(Some(COLD), true, TODAY_MS, 50_000);
        let changes = state.take_warmth_changes();
        let left = changes.first().and_then(|change| change.cold);
        ensure!(
            left == expected.map(|left| (ColdCause::Inherited, left)),
            "{age}: {left:?}"
        );
    }
    Ok(())
}

async fn cordon() -> Result<()> {
    let mut state = cold_pool(2, false);
    state.update_warmth(Some(COLD), false, TODAY_MS, 20_000);
    state.take_warmth_changes();
    state.set_cordoned_halls(["hall-0".to_owned()].into());
    state.update_warmth(Some(COLD), false, TODAY_MS, 21_000);
    ensure!(state.take_warmth_changes().is_empty());
    state.set_cordoned_halls([].into());
    state.update_warmth(Some(COLD), false, TODAY_MS, 22_000);
    let changes = state.take_warmth_changes();
    ensure!(changes.len() == 1, "{changes:?}");
    ensure!(changes[0].cold == Some((ColdCause::CordonOver, 10_000)));
    state.add_job(new_job("a", vec![step(60)]), 22_000);
    let orders = decide(&mut state, 22_000);
    let back = state.runner_key("i-0");
    let there = orders.iter().filter(|order| Some(order.runner) == back);
    ensure!(there.count() == 4 && orders.len() == 36, "{}", orders.len());
    Ok(())
}

async fn restarts() -> Result<()> {
    let mut state = cold_pool(1, false);
    state.update_warmth(Some(COLD), false, TODAY_MS, 20_000);
    let key = state.runner_key("i-0").ok_or_eyre("no runner")?;
    let next = state.replace_restarted_runner(key, 77, 0, 20_100);
    let next: RunnerKey = next.ok_or_eyre("not replaced")?.key;
    let facts = state.runner(next).ok_or_eyre("no runner")?.facts.clone();
    state.set_runner(facts, 20_100);
    state.mark_runner_ready(next);
    state.extend_lease(next, 1_000_000);
    state.add_job(new_job("a", vec![step(30)]), 20_100);
    ensure!(
        decide(&mut state, 20_100).is_empty(),
        "started before it was decided"
    );
    state.update_warmth(Some(COLD), false, TODAY_MS, 20_150);
    ensure!(decide(&mut state, 20_150).len() == 4);
    Ok(())
}

async fn gang_waits() -> Result<()> {
    let mut state = cold_pool(1, false);
    state.add_job(new_job("g", vec![gang(5)]), 0);
    state.add_job(new_job("a", vec![gang(3)]), 0);
    let orders = decide(&mut state, 0);
    ensure!(orders.len() == 3 && orders[0].name.job == "a", "{orders:?}");
    state.update_warmth(Some(COLD), false, TODAY_MS, 10_000);
    ensure!(decide(&mut state, 10_000).len() == 5);
    Ok(())
}

async fn cancels() -> Result<()> {
    let mut state = cold_pool(1, false);
    state.add_job(new_job("a", vec![step(30)]), 0);
    state.begin_due_rounds(0, 0);
    for _ in 0..3 {
        ensure!(state.plan(0) == 4);
        state.cancel_planned_starts(0);
    }
    ensure!(decide(&mut state, 0).len() == 4);
    Ok(())
}

async fn is_off() -> Result<()> {
    let mut state = pool_of(1, 32);
    state.update_warmth(None, true, TODAY_MS, 0);
    state.add_job(new_job("a", vec![step(30)]), 0);
    ensure!(decide(&mut state, 0).len() == 30);
    ensure!(state.take_warmth_changes().is_empty() && state.held_back_starts() == 0);
    Ok(())
}

quickcheck! {
    /// However long records take to be written and whenever the owner changes, no second holds
    /// more starts of a runner than the rate with its overage and the tolerance.
    fn two_owners_share_the_rate(turns: Vec<(u8, u8)>, change_at: u8) -> bool {
        let mut state = cold_pool(1, false);
        state.add_job(new_job("a", vec![step(200)]), 0);
        let mut starts: Vec<u64> = Vec::new();
        let mut now = 0;
        for (turn, (wait, write)) in turns.iter().take(40).enumerate() {
            if turn == usize::from(change_at % 40) {
                state = cold_pool(1, true);
                state.update_warmth(None, true, TODAY_MS, now);
                state.update_warmth(Some(COLD), true, TODAY_MS, now);
                state.add_job(new_job("b", vec![step(200)]), now);
            }
            now += u64::from(*wait);
            state.begin_due_rounds(now, 0);
            state.plan(now);
            let plan = state.begin_flush(100);
            now += u64::from(*write);
            starts.extend(state.finish_flush(&plan, now).iter().map(|_| now));
        }
        let most = starts.iter().map(|first| {
            let window = starts.iter().filter(|at| (*first..first + 1_000).contains(*at));
            window.count()
        });
        most.max().unwrap_or(0) <= 7
    }
}
