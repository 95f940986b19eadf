//! Tests of quotas of teams: which part of a team's limit is allocated to each pool, and what a
//! plan starts within that allocation.

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

/// Time at which the pools of the cases plan, in milliseconds.
const NOW_MS: u64 = 2_000;

/// So many cores, and nothing else.
fn cores(cores: u64) -> ResourceAmounts {
    ResourceAmounts {
        cpu_milli: cores * 1_000,
        memory_mb: 0,
        gpus: 0,
    }
}

/// An allocation of so many cores, without a limit on memory and GPUs.
fn core_quota(count: u64) -> ResourceAmounts {
    ResourceAmounts {
        memory_mb: u64::MAX,
        gpus: u64::MAX,
        ..cores(count)
    }
}

/// Cores in use by a team's tasks, and requested by those that wait.
fn usage(used: u64, waiting: u64) -> TeamUsage {
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
    team_that_is_held_back_holds_up_no_other => delays_none();
    backlog_beyond_the_runners_takes_no_part_from_other_pools => leaves_what_cannot_run();
    part_that_is_not_needed_is_released_while_the_limit_is_scarce => releases_scarce();
}

/// An allocation covers what the pool's tasks request and at most half more, stays while their
/// requests are about the same, and shrinks with them.
async fn follows() -> Result<()> {
    let mut allocations = QuotaAllocations::default();
    let limit = cores(64);
    let allocation = allocations.next_allocation("halls", limit, usage(0, 8));
    ensure!(
        allocation.cpu_milli >= 8_000 && allocation.cpu_milli <= 12_000,
        "{allocation:?}"
    );
    allocations.set("halls", allocation);
    ensure!(
        allocations.next_allocation("halls", limit, usage(6, 2)) == allocation,
        "changed though the sum of the requests did not"
    );
    let less = allocations.next_allocation("halls", limit, usage(1, 0));
    ensure!(less.cpu_milli < allocation.cpu_milli, "{less:?}");
    let none = allocations.next_allocation("halls", limit, usage(0, 0));
    ensure!(none == ResourceAmounts::default(), "{none:?}");
    Ok(())
}

/// An allocation is at most what the other pools' allocations leave free.
async fn leaves() -> Result<()> {
    let mut allocations = QuotaAllocations::default();
    allocations.set("concerts", cores(60));
    let allocation = allocations.next_allocation("halls", cores(64), usage(0, 30));
    ensure!(allocation == cores(4), "{allocation:?}");
    ensure!(allocations.allowed("halls", cores(64)) == core_quota(0));
    Ok(())
}

/// When a limit is lowered below the sum of the allocations, what runs goes on, and allocations
/// shrink to what is in use.
async fn lowers() -> Result<()> {
    let mut allocations = QuotaAllocations::default();
    allocations.set("concerts", cores(30));
    allocations.set("halls", cores(30));
    let allowed = allocations.allowed("halls", cores(20));
    ensure!(allowed.cpu_milli == 10_000, "{allowed:?}");
    let kept = allocations.next_allocation("halls", cores(20), usage(25, 5));
    ensure!(kept == cores(25), "less than what runs: {kept:?}");
    let less = allocations.next_allocation("halls", cores(20), usage(5, 5));
    ensure!(less == cores(5), "{less:?}");
    Ok(())
}

/// A limit of cores alone neither limits nor allocates memory and GPUs.
async fn frees() -> Result<()> {
    let allocations = QuotaAllocations::default();
    let allocation = allocations.next_allocation(
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
    ensure!(
        allocation.memory_mb == 0 && allocation.gpus == 0,
        "{allocation:?}"
    );
    let allowed = allocations.allowed("halls", cores(8));
    ensure!(allowed.memory_mb == u64::MAX && allowed.gpus == u64::MAX);
    Ok(())
}

/// Adds a job of a team, with four tasks of a core each.
fn submit(state: &mut PoolState, id: &str, team: &str) {
    let mut new = new_job(id, vec![step(4)]);
    new.submission.team = team.to_owned();
    state.add_job(new, NOW_MS);
}

/// A plan starts tasks up to the team's allocation, none once that is below what runs, and the
/// rest once it is raised.
async fn plans() -> Result<()> {
    let mut state = pool_of(4, 8);
    state.set_quota_allocation("choir", core_quota(6));
    submit(&mut state, "a", "choir");
    submit(&mut state, "b", "choir");
    decide(&mut state, NOW_MS);
    let used = state.team_usage()["choir"].used;
    ensure!(
        used.cpu_milli <= 6_000 && used.cpu_milli > 5_000,
        "{used:?}"
    );
    ensure!(
        state
            .tasks_over_quota()
            .get("choir")
            .is_some_and(|over| *over > 0)
    );
    state.set_quota_allocation("choir", core_quota(2));
    ensure!(
        decide(&mut state, NOW_MS).is_empty(),
        "tasks were started under a lowered limit"
    );
    state.set_quota_allocation("choir", core_quota(60));
    ensure!(!decide(&mut state, NOW_MS).is_empty());
    ensure!(state.tasks_over_quota().is_empty());
    Ok(())
}

/// Tasks of a team that is at its limit delay neither another team's tasks nor those without a
/// team.
async fn delays_none() -> Result<()> {
    let mut state = pool_of(4, 8);
    state.set_quota_allocation("choir", core_quota(0));
    submit(&mut state, "a", "choir");
    submit(&mut state, "b", "band");
    submit(&mut state, "c", "");
    ensure!(
        decide(&mut state, NOW_MS).len() == 8,
        "not all tasks of the two other jobs start"
    );
    Ok(())
}

/// A team's flood in one pool asked for the whole limit, far more than that pool's runners take,
/// and the team's jobs in another pool waited beside idle runners until the backlog was done.
async fn leaves_what_cannot_run() -> Result<()> {
    let limit = ResourceAmounts {
        memory_mb: 9_600,
        ..cores(96)
    };
    let mut allocations = QuotaAllocations::default();
    for (pool, jobs) in [("flooded", 100), ("idle", 8)] {
        let mut state = pool_of(4, 8);
        for number in 0..jobs {
            submit(&mut state, &format!("{pool}-{number}"), "choir");
        }
        state.begin_due_rounds(NOW_MS, 0);
        let usage = state.servable_usage()["choir"];
        allocations.set(pool, allocations.next_allocation(pool, limit, usage));
    }
    for pool in ["flooded", "idle"] {
        let allocation = allocations.allocation(pool);
        ensure!(
            allocation.cpu_milli >= 32_000,
            "{pool} may not use all of its 32 cores: {allocation:?}"
        );
    }
    // Tasks of a core and 100 MB: 32 cores hold no more than 3,200 MB of them.
    let flooded = allocations.allocation("flooded");
    ensure!(
        flooded.memory_mb <= 3_200 * 3 / 2,
        "memory for more tasks than the cores hold: {flooded:?}"
    );
    Ok(())
}

/// A pool that lost most of its runners kept an allocation up to twice its need, and with it
/// nearly the whole limit, while another pool of the team had nothing.
async fn releases_scarce() -> Result<()> {
    let mut allocations = QuotaAllocations::default();
    let limit = cores(96);
    allocations.set("shrunk", cores(90));
    let allocation = allocations.next_allocation("shrunk", limit, usage(30, 6));
    ensure!(
        allocation.cpu_milli >= 36_000 && allocation.cpu_milli <= 54_000,
        "{allocation:?} for 36 cores of work"
    );
    allocations.set("shrunk", cores(64));
    allocations.set("other", cores(8));
    let kept = allocations.next_allocation("shrunk", limit, usage(30, 6));
    ensure!(
        kept == cores(64),
        "a quarter of the limit is free, and the allocation changed to {kept:?}"
    );
    Ok(())
}

quickcheck! {
    /// Pools that raise and lower their allocations in any order, each by the team's record,
    /// never use more than the limit in sum, and each pool's allocation always covers what it
    /// uses.
    fn parts_never_pass_the_limit(limit: u16, turns: Vec<(u8, u16, u16)>) -> bool {
        let limit = u64::from(limit) + 1;
        let mut allocations = QuotaAllocations::default();
        let mut used: BTreeMap<u8, u64> = BTreeMap::new();
        turns.into_iter().all(|(pool, wants, ends)| {
            let pool = pool % 5;
            let name = format!("pool-{pool}");
            let running = used.entry(pool).or_default();
            *running = running.saturating_sub(u64::from(ends) * 1_000);
            let usage = TeamUsage {
                used: ResourceAmounts { cpu_milli: *running, ..ResourceAmounts::default() },
                waiting: cores(u64::from(wants)),
            };
            let allocation = allocations.next_allocation(&name, cores(limit), usage);
            allocations.set(&name, allocation);
            let allowed = allocations.allowed(&name, cores(limit)).cpu_milli;
            let start = (u64::from(wants) * 1_000).min(allowed.saturating_sub(*running));
            *running += start;
            let sum: u64 = used.values().sum();
            sum <= limit * 1_000 && used[&pool] <= allocation.cpu_milli
        })
    }
}
