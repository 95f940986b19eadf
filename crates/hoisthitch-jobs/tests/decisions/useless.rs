//! Tests of accepted work whose end is of no use any more.
//!
//! They guard against a backlog that goes on pressing after a burst: six seconds after one, the
//! windows stood at 0.5 to 0.6 although the demand was ordinary, because VMs were asked for jobs
//! that nobody waited for, and their tasks held the room of others. They also guard against the
//! opposite, that such a job is never done.

use eyre::{
    OptionExt,
    Result,
    ensure, //
};
use hoisthitch_jobs::{
    EndKind,
    HeartbeatReport,
    InheritedRuns,
    NewJob,
    PoolState,
    PoolTerms,
    StartOrder, //
};
use hoisthitch_tests::cases;
use quickcheck::quickcheck;

use crate::{
    decide,
    end_all,
    gang,
    new_job,
    pool_of,
    running_on,
    start_all,
    step, //
};

cases! {
    useless_work_asks_for_no_vm => no_demand();
    useless_work_keeps_one_vm_if_there_is_nothing_else => one_vm();
    useless_work_starts_after_other_work_of_any_priority => goes_last();
    useless_work_leaves_room_for_what_arrives => leaves_room();
    useless_work_may_use_half_of_a_pool => half();
    useless_gang_takes_room_as_its_tasks_do => gangs();
    job_that_began_in_time_yields_too => begun();
    vms_with_useless_work_are_spared_first => spared();
    task_that_runs_to_its_end_in_time_is_of_use => runs_in_time();
}

/// Time at which the tests decide, in milliseconds.
const NOW_MS: u64 = 60_000;

/// A pool of so many runners of eight cores each, in which useless work yields.
fn yielding_pool(runners: u32) -> PoolState {
    let mut state = pool_of(runners, 8);
    state.set_terms(PoolTerms {
        useless_work_yields: true,
        ..PoolTerms::default()
    });
    state
}

/// Adds a job of one step of tasks of one core.
fn add(state: &mut PoolState, id: &str, tasks: u32, accepted_at: u64) {
    let job = NewJob {
        accepted_at,
        ..new_job(id, vec![step(tasks)])
    };
    state.add_job(job, NOW_MS);
    state.begin_due_rounds(NOW_MS, 0);
}

fn started_of(orders: &[StartOrder], job: &str) -> usize {
    orders.iter().filter(|order| order.name.job == job).count()
}

async fn no_demand() -> Result<()> {
    let wanted = |useless_tasks| {
        let mut state = yielding_pool(4);
        add(&mut state, "new", 24, NOW_MS);
        for number in 0..useless_tasks {
            add(&mut state, &format!("old{number}"), 100, 1_000);
        }
        state.wanted_vms(NOW_MS)
    };
    ensure!(wanted(0) == wanted(30), "{:?} {:?}", wanted(0), wanted(30));
    Ok(())
}

async fn one_vm() -> Result<()> {
    let mut state = PoolState::new(InheritedRuns::default());
    state.set_terms(PoolTerms {
        useless_work_yields: true,
        ..PoolTerms::default()
    });
    ensure!(state.wanted_vms(NOW_MS).now == 0);
    add(&mut state, "old", 1_000, 1_000);
    let wanted = state.wanted_vms(NOW_MS);
    ensure!(wanted.now == 1 && wanted.steady == 0, "{wanted:?}");
    Ok(())
}

async fn goes_last() -> Result<()> {
    let mut state = yielding_pool(2);
    add(&mut state, "old", 16, 1_000);
    let mut new = new_job("new", vec![step(16)]);
    new.submission.policy.priority = 3;
    new.accepted_at = NOW_MS;
    state.add_job(new, NOW_MS);
    let orders = start_all(&mut state, NOW_MS);
    ensure!(started_of(&orders, "new") == 16 && started_of(&orders, "old") == 0);
    Ok(())
}

/// Work of 20 cores arrives all the time, and 20 of 32 cores are in use by it: useless tasks get
/// the rest once no more arrives, and less before.
async fn leaves_room() -> Result<()> {
    let started = |arrives: bool| {
        let mut state = yielding_pool(4);
        for at in (0..4_000).step_by(100).filter(|_| arrives) {
            let id = format!("new{at}");
            let at = NOW_MS - 4_000 + at;
            let job = NewJob {
                accepted_at: at,
                ..new_job(&id, vec![step(2)])
            };
            state.add_job(job, at);
            state.cancel(&id, at);
        }
        // It was accepted before the arrivals that count, and is still of use.
        add(&mut state, "busy", 20, NOW_MS - 4_500);
        ensure!(start_all(&mut state, NOW_MS).len() == 20);
        add(&mut state, "old", 100, 1_000);
        Ok(start_all(&mut state, NOW_MS).len())
    };
    let (alone, beside) = (started(false)?, started(true)?);
    ensure!(alone == 12, "{alone} tasks on 12 free cores");
    ensure!((1..=12 - 20 / 4).contains(&beside), "{beside} tasks");
    Ok(())
}

/// However much arrives, useless tasks start while less than half of the pool is in use, and not
/// beyond; also with a plan each second for as long as the demand stays.
async fn half() -> Result<()> {
    let mut state = yielding_pool(4);
    add(&mut state, "busy", 10, NOW_MS);
    ensure!(start_all(&mut state, NOW_MS).len() == 10);
    // Four tasks of eight cores fit nowhere beside them, and wait.
    let mut wide = step(5);
    wide.need.cpu_milli = 8_000;
    let job = NewJob {
        accepted_at: NOW_MS,
        ..new_job("waits", vec![wide])
    };
    state.add_job(job, NOW_MS);
    add(&mut state, "old", 100, 1_000);
    let orders = start_all(&mut state, NOW_MS);
    let (waits, old) = (started_of(&orders, "waits"), started_of(&orders, "old"));
    let used = 10 + 8 * waits + old;
    ensure!(used >= 16, "{used} cores in use, {old} by useless tasks");
    ensure!(
        old == 16_usize.saturating_sub(10 + 8 * waits),
        "{old} beyond the half"
    );
    Ok(())
}

/// Half of the pool is in use: a gang of five waits while much is needed by others.
async fn gangs() -> Result<()> {
    let started = |in_time_tasks| {
        let mut state = yielding_pool(4);
        add(&mut state, "busy", in_time_tasks, NOW_MS);
        ensure!(start_all(&mut state, NOW_MS).len() == in_time_tasks as usize);
        let job = NewJob {
            accepted_at: 1_000,
            ..new_job("old", vec![gang(5)])
        };
        state.add_job(job, NOW_MS);
        Ok(decide(&mut state, NOW_MS).len())
    };
    ensure!(
        started(8)? == 5,
        "a gang waits in a pool that is hardly used"
    );
    ensure!(started(29)? == 0, "a gang has no room");
    Ok(())
}

/// The first step ran in time, and the second comes too late to be of use: it waits for others.
async fn begun() -> Result<()> {
    let mut state = yielding_pool(2);
    let mut second = step(16);
    second.after = vec![0];
    state.add_job(new_job("old", vec![step(16), second]), 1_000);
    let orders = start_all(&mut state, 1_000);
    ensure!(orders.len() == 16);
    end_all(&mut state, &orders, EndKind::Done, 1_900);
    add(&mut state, "new", 16, NOW_MS);
    let orders = start_all(&mut state, NOW_MS);
    ensure!(started_of(&orders, "new") == 16, "{}", orders.len());
    Ok(())
}

/// Two of four runners have tasks, one of them useless ones only, which are more.
async fn spared() -> Result<()> {
    let mut state = yielding_pool(2);
    add(&mut state, "old", 8, 1_000);
    let old = start_all(&mut state, NOW_MS);
    let runner = old.first().ok_or_eyre("nothing started")?.runner;
    let on_one = old.iter().filter(|order| order.runner == runner).count();
    ensure!(on_one == 8, "{on_one} of 8 tasks on one runner");
    add(&mut state, "new", 4, NOW_MS);
    let new = start_all(&mut state, NOW_MS);
    ensure!(new.len() == 4 && new.iter().all(|order| order.runner != runner));
    ensure!(state.spare_runners(NOW_MS, 1) == [runner]);
    state.set_terms(PoolTerms::default());
    ensure!(
        state.spare_runners(NOW_MS, 1) != [runner],
        "with the term off"
    );
    Ok(())
}

/// A task of a second that has run for 0.9 s when 0.5 s of use are left will end in time.
async fn runs_in_time() -> Result<()> {
    let mut state = yielding_pool(1);
    state.add_job(new_job("a", vec![step(1)]), 1_000);
    let useful_until = 1_000 + 3 * (600 + 2 * 1_000);
    let now = useful_until - 500;
    ensure!(state.useless_work(now).tasks == 1, "it has not begun");
    let orders = start_all(&mut state, now - 900);
    let runner = orders.first().ok_or_eyre("nothing started")?.runner;
    let report = HeartbeatReport {
        started_at: None,
        clock_ms: now - 900,
        running: running_on(&state, runner, None, 10),
        ended: Vec::new(),
        more_ends: false,
    };
    state.record_heartbeat(runner, &report, now - 900, now - 900);
    ensure!(state.useless_work(now).tasks == 0);
    Ok(())
}

quickcheck! {
    /// With the term off, nothing depends on whether work is of use; with it on and no useless
    /// work, nothing is different either.
    fn term_changes_nothing_without_useless_work(jobs: Vec<(u8, u8)>, old: bool) -> bool {
        let play = |yields: bool| {
            let mut state = pool_of(3, 8);
            state.set_terms(PoolTerms { useless_work_yields: yields, ..PoolTerms::default() });
            for (number, (tasks, age)) in jobs.iter().take(30).enumerate() {
                let age = u64::from(*age) * if old { 200 } else { 10 };
                add(&mut state, &format!("j{number}"), u32::from(tasks % 12) + 1, NOW_MS - age);
            }
            let useless = state.useless_work(NOW_MS).tasks;
            let orders = start_all(&mut state, NOW_MS);
            let names: Vec<_> = orders.iter().map(|order| (order.name.clone(), order.runner)).collect();
            (useless, names, state.wanted_vms(NOW_MS), state.spare_runners(NOW_MS, 3))
        };
        let (off, on) = (play(false), play(true));
        off.0 > 0 || off == on
    }

    /// Useless work is done in the end, however it arrived: nothing waits while less than half of
    /// the pool is in use.
    fn useless_work_never_stands_still(jobs: Vec<(u8, bool)>) -> bool {
        let mut state = yielding_pool(3);
        for (number, (tasks, old)) in jobs.iter().take(40).enumerate() {
            let accepted_at = if *old { 1_000 } else { NOW_MS };
            add(&mut state, &format!("j{number}"), u32::from(tasks % 9) + 1, accepted_at);
        }
        start_all(&mut state, NOW_MS);
        let used: u64 = state.runners().map(|(_, runner)| runner.used.cpu_milli).sum();
        let waits = jobs.iter().take(40).enumerate().any(|(number, _)| {
            let job = state.job(&format!("j{number}"));
            job.is_some_and(|job| job.tasks.iter().any(|task| task.run == 0))
        });
        !waits || used >= 12_000
    }
}
