//! Tests of VMs: which may go down for maintenance, which pools give and get VMs, and how a
//! runner that drains gets its long-running tasks moved.

use std::collections::BTreeMap;

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_jobs::{
    EvacuationStatus,
    HeartbeatReport,
    InheritedRuns,
    JobPhase,
    JobProgress,
    NewJob,
    PoolState,
    StepSpec,
    TaskPhase,
    TaskProgress,
    VmBalance,
    VmMove,
    plan_moves, //
};
use hoisthitch_tests::cases;
use quickcheck::quickcheck;

use crate::{
    new_job,
    pool_of,
    running_on,
    start_all,
    step, //
};

cases! {
    task_that_may_be_at_work_by_now_counts_for_an_upkeep => maintenance_counts_starting();
    runner_that_is_not_listed_counts_with_its_tasks => maintenance_counts_unlisted();
    lack_is_met_from_what_is_off_first => balance_off_first();
    vms_on_their_way_are_counted => balance_counts_sent();
    floor_is_kept => balance_floor();
    pools_are_levelled_while_none_lacks_vms => balance_levels();
    jobs_of_an_earlier_owner_are_no_rise => no_false_rise();
    pool_that_lacks_vms_gives_none => balance_gives_none();
    pool_that_lacks_far_more_gets_vms_of_one_that_lacks_some => balance_lacks();
    no_more_tasks_leave_than_have_room => drain_capacity();
    tasks_that_may_not_be_missed_leave_too => drain_undisruptable();
}

/// A long-running step with at most one task on each runner, one of which may be unavailable.
fn long_running_step(count: u32) -> StepSpec {
    StepSpec {
        long_running: true,
        max_unavailable: 1,
        max_per_runner: 1,
        ..step(count)
    }
}

/// Two of four tasks were started a moment ago and are unavailable by their runners' last
/// reports. Each may have become available since, so that no VM can go down.
async fn maintenance_counts_starting() -> Result<()> {
    let mut state = pool_of(6, 8);
    state.add_job(new_job("a", vec![long_running_step(4)]), 1_000);
    let orders = start_all(&mut state, 1_000);
    for order in &orders {
        let percent = if order.name.index < 2 { 60 } else { 100 };
        let report = HeartbeatReport {
            started_at: None,
            clock_ms: 1_200,
            running: running_on(&state, order.runner, None, percent),
            ended: Vec::new(),
            more_ends: false,
        };
        state.record_heartbeat(order.runner, &report, 1_199, 1_200);
    }
    for order in &orders {
        let status = state.evacuation_status(order.runner);
        ensure!(
            status == EvacuationStatus::Held,
            "{}: {status:?}",
            order.name
        );
    }
    Ok(())
}

/// A new owner may learn of the wave before it learns of the runner: until the inherited runs
/// expire, recorded tasks keep an unlisted runner's VM from going down.
async fn maintenance_counts_unlisted() -> Result<()> {
    let mut state = PoolState::new(InheritedRuns {
        until: 9_000,
        ..InheritedRuns::default()
    });
    let ordered = |runner: &str| TaskProgress {
        phase: TaskPhase::Ordered,
        run: 1,
        runner: runner.to_owned(),
        ..TaskProgress::default()
    };
    let job = NewJob {
        progress: Some(JobProgress {
            phase: JobPhase::Running,
            tasks: vec![ordered("i-0"), ordered("i-1")],
        }),
        ..new_job("a", vec![long_running_step(2)])
    };
    state.add_job(job, 1_000);
    ensure!(state.unlisted_evacuation_status("i-0") == Some(EvacuationStatus::Held));
    ensure!(state.unlisted_evacuation_status("i-5").is_none());
    state.expire_leases(9_001);
    ensure!(state.unlisted_evacuation_status("i-0").is_none());
    Ok(())
}

/// What a pool publishes that wants and keeps so many VMs and has these.
fn balance(want: u32, vms: &[&str]) -> VmBalance {
    VmBalance {
        want,
        keep: want,
        vms: vms.iter().map(|vm| (*vm).to_owned()).collect(),
        ..VmBalance::default()
    }
}

/// A pool that lacks two VMs gets them from those that are off, though another pool has VMs to
/// spare.
async fn balance_off_first() -> Result<()> {
    let off = VmBalance {
        spare: true,
        ..balance(0, &["s1", "s2"])
    };
    let pools = BTreeMap::from([
        ("a".to_owned(), balance(6, &["a1", "a2", "a3", "a4"])),
        ("b".to_owned(), balance(1, &["b1", "b2", "b3", "b4"])),
        ("off".to_owned(), off),
    ]);
    let moves = plan_moves(&pools);
    let first = VmMove {
        from: "off".to_owned(),
        to: "a".to_owned(),
        count: 2,
    };
    ensure!(moves.contains(&first), "{moves:?}");
    Ok(())
}

/// A pool that lacks two VMs gets no more while two are on their way to it.
async fn balance_counts_sent() -> Result<()> {
    let mut giver = balance(1, &["b1", "b2", "b3", "b4", "b5", "b6"]);
    giver.sent.insert("b1".to_owned(), "a".to_owned());
    giver.sent.insert("b2".to_owned(), "a".to_owned());
    let pools = BTreeMap::from([
        ("a".to_owned(), balance(4, &["a1", "a2"])),
        ("b".to_owned(), giver),
    ]);
    ensure!(plan_moves(&pools).is_empty());
    Ok(())
}

/// A pool that wants no VMs keeps two of its five: half of an even share of five,
/// rounded down.
async fn balance_floor() -> Result<()> {
    let pools = BTreeMap::from([
        ("a".to_owned(), balance(50, &["a1", "a2", "a3", "a4", "a5"])),
        ("b".to_owned(), balance(0, &["b1", "b2", "b3", "b4", "b5"])),
    ]);
    let given: usize = plan_moves(&pools).iter().map(|order| order.count).sum();
    ensure!(given == 3, "{given} VMs");
    Ok(())
}

/// While no pool lacks VMs, those that are off go to pools that need none now, and so do those
/// that a pool has beyond its even share; no pool both gives and gets.
async fn balance_levels() -> Result<()> {
    let names: Vec<String> = (0..20).map(|vm| format!("vm-{vm}")).collect();
    let vms: Vec<&str> = names.iter().map(String::as_str).collect();
    let off = VmBalance {
        spare: true,
        ..balance(0, &vms[..6])
    };
    let pools = BTreeMap::from([
        ("a".to_owned(), balance(0, &vms[6..8])),
        ("b".to_owned(), balance(0, &vms[8..20])),
        ("off".to_owned(), off),
    ]);
    let moves = plan_moves(&pools);
    let count = |from: &str, to: &str| -> usize {
        let between = moves.iter().filter(|m| m.from == from && m.to == to);
        between.map(|m| m.count).sum()
    };
    // An even share is 10 VMs, and so is the level.
    ensure!(count("off", "a") == 6, "{moves:?}");
    ensure!(count("b", "a") == 2 && moves.len() == 2, "{moves:?}");
    Ok(())
}

/// A new owner finds all jobs at once, though they arrived over a long time: they are no rise
/// of demand.
async fn no_false_rise() -> Result<()> {
    let mut state = pool_of(4, 8);
    for number in 0..200 {
        state.add_job(new_job(&format!("job-{number}"), vec![step(8)]), 30_000);
    }
    let wanted = state.wanted_vms(30_000);
    ensure!(wanted.steady == 0, "{wanted:?}");
    Ok(())
}

/// A pool whose demand rises publishes that it keeps fewer VMs than it wants. It gives none for
/// that, since it lacks VMs.
async fn balance_gives_none() -> Result<()> {
    let rising = VmBalance {
        keep: 2,
        ..balance(9, &["a1", "a2", "a3", "a4", "a5", "a6"])
    };
    let pools = BTreeMap::from([("a".to_owned(), rising)]);
    ensure!(plan_moves(&pools).is_empty(), "{:?}", plan_moves(&pools));
    Ok(())
}

quickcheck! {
    /// A pool gives at most the VMs that it has, and no pool both gives and gets.
    fn moves_add_up(wants: Vec<(u8, u8, u8)>) -> bool {
        let pools: BTreeMap<String, VmBalance> = wants
            .iter()
            .take(8)
            .enumerate()
            .map(|(number, (want, keep, has))| {
                let vms: Vec<String> = (0..has % 20).map(|vm| format!("{number}-{vm}")).collect();
                let vms: Vec<&str> = vms.iter().map(String::as_str).collect();
                let want = u32::from(want % 30);
                let balance = VmBalance {
                    keep: want.min(u32::from(*keep)),
                    ..balance(want, &vms)
                };
                (format!("p{number}"), balance)
            })
            .collect();
        let moves = plan_moves(&pools);
        pools.iter().all(|(pool, balance)| {
            let gives: usize = moves.iter().filter(|m| m.from == *pool).map(|m| m.count).sum();
            let gets: usize = moves.iter().filter(|m| m.to == *pool).map(|m| m.count).sum();
            gives <= balance.vms.len() && (gives == 0 || gets == 0)
        })
    }
}

/// A pool whose first runner has one long-running task of each of `jobs` jobs and then drains,
/// beside another runner with `free` cores; tasks to move are stopped.
fn draining(jobs: usize, max_unavailable: u32, free: u64) -> PoolState {
    let mut state = pool_of(1, 8);
    for number in 0..jobs {
        let long_running = StepSpec {
            long_running: true,
            max_unavailable,
            ..step(1)
        };
        state.add_job(new_job(&format!("l{number}"), vec![long_running]), 1_000);
    }
    let orders = start_all(&mut state, 1_000);
    let drains = orders[0].runner;
    let report = HeartbeatReport {
        started_at: None,
        clock_ms: 1_500,
        running: running_on(&state, drains, None, 100),
        ended: Vec::new(),
        more_ends: false,
    };
    state.record_heartbeat(drains, &report, 1_499, 1_500);
    let mut facts = state
        .runner(drains)
        .map(|r| r.facts.clone())
        .unwrap_or_default();
    let mut other = facts.clone();
    other.name = "i-9".to_owned();
    other.vm = "vm-9".to_owned();
    other.capacity.cpu_milli = free * 1_000;
    let key = state.set_runner(other, 1_500);
    state.mark_runner_ready(key);
    state.extend_lease(key, 1_000_000);
    facts.draining = true;
    state.set_runner(facts, 1_500);
    state.move_off_draining(1_600);
    state
}

/// Only as many tasks are moved off as another runner has free capacity for.
async fn drain_capacity() -> Result<()> {
    let mut state = draining(5, 1, 1);
    let stops = state.take_stop_orders().len();
    ensure!(stops == 1, "{stops} stops, and capacity for one elsewhere");
    Ok(())
}

/// Tasks of steps that may have none unavailable are moved off too, since they end with the
/// runner in any case.
async fn drain_undisruptable() -> Result<()> {
    let mut state = draining(2, 0, 8);
    let stops = state.take_stop_orders().len();
    ensure!(stops > 0, "no stop though there is free capacity");
    Ok(())
}

/// A pool whose peak of demand ends lacks some VMs, and one whose peak begins lacks nearly all.
/// The first one gives VMs but keeps what its steady work needs, and no VM goes back.
async fn balance_lacks() -> Result<()> {
    let names: Vec<String> = (0..37).map(|number| format!("v{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let ending = VmBalance {
        keep: 24,
        ..balance(36, &names[..31])
    };
    let beginning = VmBalance {
        keep: 5,
        ..balance(30, &names[31..])
    };
    let mut pools = BTreeMap::from([("a".to_owned(), ending), ("b".to_owned(), beginning)]);
    let moves = plan_moves(&pools);
    ensure!(moves.len() == 1, "{moves:?}");
    ensure!(moves[0].from == "a" && moves[0].count == 7, "{moves:?}");
    // Once both lack about as much, neither gives.
    if let Some(ending) = pools.get_mut("a") {
        ending.vms.truncate(24);
    }
    if let Some(beginning) = pools.get_mut("b") {
        beginning.vms = names[18..].iter().map(|vm| (*vm).to_owned()).collect();
    }
    ensure!(plan_moves(&pools).is_empty());
    Ok(())
}
