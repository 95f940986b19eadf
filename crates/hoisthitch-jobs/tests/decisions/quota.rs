//! Limits of teams: what pools take of them in sum, and what a plan starts under one.

use std::collections::BTreeMap;

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_jobs::{
    PoolState,
    QuotaAllocations,
    ResourceAmounts,
    TeamUsage, //
};
use hoisthitch_tests::cases;
use quickcheck::quickcheck;

use super::{
    decide,
    new_job,
    pool_of,
    step, //
};

/// When the pools of the cases decide.
const NOW: u64 = 2_000;

fn cores(cores: u64) -> ResourceAmounts {
    ResourceAmounts {
        cpu_milli: cores * 1_000,
        memory_mb: 0,
        gpus: 0,
    }
}

/// Leave for so many cores, and any memory.
fn allowance(count: u64) -> ResourceAmounts {
    ResourceAmounts {
        memory_mb: u64::MAX,
        gpus: u64::MAX,
        ..cores(count)
    }
}

fn needs(used: u64, waiting: u64) -> TeamUsage {
    TeamUsage {
        used: cores(used),
        waiting: cores(waiting),
    }
}

cases! {
    part_follows_what_a_pool_needs => follows();
    part_never_passes_what_others_leave => leaves();
    parts_follow_a_limit_that_is_lowered => lowers();
    amounts_without_a_limit_are_free => frees();
    plan_starts_no_more_than_its_part => plans();
    team_that_is_held_back_holds_up_no_other => holds_up_none();
}

async fn follows() -> Result<()> {
    let mut parts = QuotaAllocations::default();
    let limit = cores(64);
    let part = parts.next_allocation("halls", limit, needs(0, 8));
    ensure!(
        part.cpu_milli >= 8_000 && part.cpu_milli <= 12_000,
        "{part:?}"
    );
    parts.set("halls", part);
    ensure!(
        parts.next_allocation("halls", limit, needs(6, 2)) == part,
        "near enough"
    );
    let less = parts.next_allocation("halls", limit, needs(1, 0));
    ensure!(less.cpu_milli < part.cpu_milli, "{less:?}");
    let none = parts.next_allocation("halls", limit, needs(0, 0));
    ensure!(none == ResourceAmounts::default(), "{none:?}");
    Ok(())
}

async fn leaves() -> Result<()> {
    let mut parts = QuotaAllocations::default();
    parts.set("concerts", cores(60));
    let part = parts.next_allocation("halls", cores(64), needs(0, 30));
    ensure!(part == cores(4), "{part:?}");
    ensure!(parts.allowed("halls", cores(64)) == allowance(0));
    Ok(())
}

async fn lowers() -> Result<()> {
    let mut parts = QuotaAllocations::default();
    parts.set("concerts", cores(30));
    parts.set("halls", cores(30));
    let allowed = parts.allowed("halls", cores(20));
    ensure!(allowed.cpu_milli == 10_000, "{allowed:?}");
    let kept = parts.next_allocation("halls", cores(20), needs(25, 5));
    ensure!(kept == cores(25), "what runs goes on: {kept:?}");
    let less = parts.next_allocation("halls", cores(20), needs(5, 5));
    ensure!(less == cores(5), "{less:?}");
    Ok(())
}

async fn frees() -> Result<()> {
    let parts = QuotaAllocations::default();
    let part = parts.next_allocation(
        "halls",
        cores(8),
        TeamUsage {
            used: ResourceAmounts::default(),
            waiting: ResourceAmounts {
                cpu_milli: 1_000,
                memory_mb: 9_000,
                gpus: 2,
            },
        },
    );
    ensure!(part.memory_mb == 0 && part.gpus == 0, "{part:?}");
    let allowed = parts.allowed("halls", cores(8));
    ensure!(allowed.memory_mb == u64::MAX && allowed.gpus == u64::MAX);
    Ok(())
}

/// A job of a team, in a pool with room for all.
fn hand_in(state: &mut PoolState, id: &str, team: &str) {
    let mut new = new_job(id, vec![step(4)]);
    new.submission.team = team.to_owned();
    state.add_job(new, NOW);
}

async fn plans() -> Result<()> {
    let mut state = pool_of(4, 8);
    state.set_quota_allocation("choir", allowance(6));
    hand_in(&mut state, "a", "choir");
    hand_in(&mut state, "b", "choir");
    decide(&mut state, NOW);
    let used = state.team_usage()["choir"].used;
    ensure!(
        used.cpu_milli <= 6_000 && used.cpu_milli > 5_000,
        "{used:?}"
    );
    ensure!(
        state
            .tasks_over_quota()
            .get("choir")
            .is_some_and(|held| *held > 0)
    );
    state.set_quota_allocation("choir", allowance(2));
    ensure!(
        decide(&mut state, NOW).is_empty(),
        "a limit that is lowered starts nothing"
    );
    state.set_quota_allocation("choir", allowance(60));
    ensure!(!decide(&mut state, NOW).is_empty());
    ensure!(state.tasks_over_quota().is_empty());
    Ok(())
}

async fn holds_up_none() -> Result<()> {
    let mut state = pool_of(4, 8);
    state.set_quota_allocation("choir", allowance(0));
    hand_in(&mut state, "a", "choir");
    hand_in(&mut state, "b", "band");
    hand_in(&mut state, "c", "");
    ensure!(
        decide(&mut state, NOW).len() == 8,
        "both others start whole"
    );
    Ok(())
}

quickcheck! {
    /// Pools that take and give back in any order, each by what the record says, never hold
    /// more than the limit in sum, and each always holds what it uses.
    fn parts_never_pass_the_limit(limit: u16, turns: Vec<(u8, u16, u16)>) -> bool {
        let limit = u64::from(limit) + 1;
        let mut parts = QuotaAllocations::default();
        let mut used: BTreeMap<u8, u64> = BTreeMap::new();
        turns.into_iter().all(|(pool, wants, ends)| {
            let pool = pool % 5;
            let name = format!("pool-{pool}");
            let running = used.entry(pool).or_default();
            *running = running.saturating_sub(u64::from(ends) * 1_000);
            let needs = TeamUsage {
                used: ResourceAmounts { cpu_milli: *running, ..ResourceAmounts::default() },
                waiting: cores(u64::from(wants)),
            };
            let part = parts.next_allocation(&name, cores(limit), needs);
            parts.set(&name, part);
            let allowed = parts.allowed(&name, cores(limit)).cpu_milli;
            let start = (u64::from(wants) * 1_000).min(allowed.saturating_sub(*running));
            *running += start;
            let sum: u64 = used.values().sum();
            sum <= limit * 1_000 && used[&pool] <= part.cpu_milli
        })
    }
}
