//! Team quotas: limits on what a team may have running over all pools.
//!
//! A limit is divided into allocations, one for each pool that runs work of the team. The
//! allocations are stored in one record of the team, which pool owners change by
//! compare-and-swap, so that their sum never exceeds the limit whoever owns the pools. An
//! owner only starts work that fits its pool's allocation. It allocates more of what is free
//! before that is needed, and releases what it does not use.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    job::{
        JobEntry,
        JobKey, //
    },
    pool::PoolState,
    resources::ResourceAmounts,
    task::TaskState, //
};

/// Extra amount allocated beyond the current need, so that the next task need not wait for a
/// write of the record: the need divided by this number.
const EXTRA_DIVISOR: u64 = 4;

/// Least extra amount that is allocated to a pool with any work of the team: the limit divided
/// by this number.
const LIMIT_DIVISOR: u64 = 64;

/// Part of the limit below which what is left of it counts as scarce: the limit divided by this
/// number. Other pools may then lack what this one does not need.
const SCARCE_DIVISOR: u64 = 8;

/// Resources of a pool that a team uses or waits for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TeamUsage {
    /// Reserved by tasks that run or may run.
    pub used: ResourceAmounts,
    /// Requested by ready tasks that wait.
    pub waiting: ResourceAmounts,
}

/// Allocations of a team's limit, by pool.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct QuotaAllocations {
    allocations: BTreeMap<String, ResourceAmounts>,
}

impl QuotaAllocations {
    /// The pool's allocation.
    pub fn allocation(&self, pool: &str) -> ResourceAmounts {
        self.allocations.get(pool).copied().unwrap_or_default()
    }

    /// Sets the pool's allocation.
    pub fn set(&mut self, pool: &str, allocation: ResourceAmounts) {
        if allocation == ResourceAmounts::default() {
            self.allocations.remove(pool);
        } else {
            self.allocations.insert(pool.to_owned(), allocation);
        }
    }

    /// The sum of all allocations.
    pub fn total(&self) -> ResourceAmounts {
        let allocations = self.allocations.values();
        allocations.fold(ResourceAmounts::default(), |sum, allocation| {
            sum.plus(*allocation)
        })
    }

    fn others(&self, pool: &str) -> ResourceAmounts {
        let others = self.allocations.iter().filter(|(other, _)| *other != pool);
        others.fold(ResourceAmounts::default(), |sum, (_, allocation)| {
            sum.plus(*allocation)
        })
    }

    /// The allocation that the pool should have now. An amount whose limit is zero is not
    /// limited, and its allocation is zero.
    pub fn next_allocation(
        &self,
        pool: &str,
        limit: ResourceAmounts,
        needs: TeamUsage,
    ) -> ResourceAmounts {
        let limits = limit.amounts();
        let allocations = self.allocation(pool).amounts();
        let others = self.others(pool).amounts();
        let used = needs.used.amounts();
        let need = needs.used.plus(needs.waiting).amounts();
        ResourceAmounts::each(|index| {
            let free = limits[index].saturating_sub(others[index]);
            next_amount(
                limits[index],
                allocations[index],
                free,
                used[index],
                need[index],
            )
        })
    }

    /// What the pool's allocation can grow to while the other pools keep theirs. An amount whose
    /// limit is zero is not limited.
    pub fn reachable(&self, pool: &str, limit: ResourceAmounts) -> ResourceAmounts {
        let limits = limit.amounts();
        let others = self.others(pool).amounts();
        ResourceAmounts::each(|index| match limits[index] {
            0 => u64::MAX,
            limit => limit.saturating_sub(others[index]),
        })
    }

    /// What the team may have running in the pool. After the limit was lowered below the sum
    /// of the allocations, each of them is scaled down in proportion until the stored
    /// allocations follow.
    pub fn allowed(&self, pool: &str, limit: ResourceAmounts) -> ResourceAmounts {
        let limits = limit.amounts();
        let allocations = self.allocation(pool).amounts();
        let sums = self.allocation(pool).plus(self.others(pool)).amounts();
        ResourceAmounts::each(|index| match limits[index] {
            0 => u64::MAX,
            limit => {
                let allocation = u128::from(allocations[index]) * u128::from(limit);
                let allocation = allocation / u128::from(sums[index].max(1));
                u64::try_from(allocation)
                    .unwrap_or(u64::MAX)
                    .min(allocations[index])
            }
        })
    }
}

/// The allocation of one amount that a pool should have: its need and some extra, as far as
/// the other pools leave that much, and never less than it uses. An allocation that is close
/// enough stays as it is: up to twice the target, or a quarter beyond it while the limit is
/// scarce. Without a limit (zero) it is zero.
fn next_amount(limit: u64, allocation: u64, free: u64, used: u64, need: u64) -> u64 {
    if limit == 0 || need == 0 {
        return 0;
    }
    let target = need + need / EXTRA_DIVISOR + limit / LIMIT_DIVISOR;
    let wanted = used.max(target.min(free));
    let is_scarce = free.saturating_sub(allocation) < limit / SCARCE_DIVISOR;
    let most = if is_scarce {
        wanted.saturating_add(wanted / EXTRA_DIVISOR)
    } else {
        wanted.saturating_mul(2)
    };
    let close_enough = allocation >= need && allocation <= most && allocation <= free;
    if close_enough { allocation } else { wanted }
}

/// What limited teams may still start while a plan is made.
#[derive(Default)]
pub(crate) struct QuotaBudget {
    indexes: HashMap<String, usize>,
    left: Vec<ResourceAmounts>,
}

/// A team in a [`QuotaBudget`]; `None` is a team without a limit.
#[derive(Clone, Copy)]
pub(crate) struct BudgetKey(Option<usize>);

impl BudgetKey {
    /// Whether the team has a limit.
    pub(crate) fn is_limited(self) -> bool {
        self.0.is_some()
    }
}

impl QuotaBudget {
    /// Looks up a team.
    pub(crate) fn find(&self, team: &str) -> BudgetKey {
        BudgetKey(self.indexes.get(team).copied())
    }

    /// Whether the team may start tasks with this much need.
    pub(crate) fn allows(&self, team: BudgetKey, need: ResourceAmounts) -> bool {
        let left = team.0.and_then(|index| self.left.get(index));
        left.is_none_or(|left| left.covers(need))
    }

    /// Deducts the need of planned tasks.
    pub(crate) fn take(&mut self, team: BudgetKey, need: ResourceAmounts) {
        if let Some(left) = team.0.and_then(|index| self.left.get_mut(index)) {
            *left = left.minus(need);
        }
    }
}

impl PoolState {
    /// Sets what a team may have running in this pool.
    pub fn set_quota_allocation(&mut self, team: &str, allowed: ResourceAmounts) {
        let before = self.quota_allocations.insert(team.to_owned(), allowed);
        self.plan_needed |= before != Some(allowed);
    }

    /// Sets what a team's allocation in this pool can grow to.
    pub fn set_reachable_quota(&mut self, team: &str, reachable: ResourceAmounts) {
        self.reachable_quotas.insert(team.to_owned(), reachable);
    }

    /// Drops the limits of all teams but those for which `limited` is true.
    pub fn retain_quota_allocations(&mut self, limited: impl Fn(&str) -> bool) {
        self.quota_allocations.retain(|team, _| limited(team));
        self.reachable_quotas.retain(|team, _| limited(team));
    }

    /// Resources that each team uses or waits for in this pool.
    pub fn team_usage(&self) -> HashMap<&str, TeamUsage> {
        let mut usage: HashMap<&str, TeamUsage> = HashMap::new();
        let active = self.active.iter().filter_map(|key| self.jobs.get(*key));
        for job in active.filter(|job| !job.team.is_empty()) {
            let team_usage = usage.entry(&job.team).or_default();
            for (slot, task) in job.tasks.iter().enumerate() {
                let need = || job.step_of(slot).map(|step| step.need).unwrap_or_default();
                match task.state {
                    TaskState::Done => {}
                    TaskState::Waiting if job.phase.is_final() || !job.is_ready(slot) => {}
                    TaskState::Waiting => team_usage.waiting = team_usage.waiting.plus(need()),
                    _ => team_usage.used = team_usage.used.plus(need()),
                }
            }
        }
        usage
    }

    /// The same, with no more waiting than the pool's runners could take beside what the team
    /// runs. A part of a limit that is allocated for work which can't run here is missing in the
    /// other pools.
    pub fn servable_usage(&self) -> HashMap<&str, TeamUsage> {
        let runners = self.runners.values();
        let usable = runners.filter(|runner| !runner.is_departing() && !runner.cordoned);
        let capacity = usable.fold(ResourceAmounts::default(), |sum, runner| {
            sum.plus(runner.facts.capacity)
        });
        let mut usage = self.team_usage();
        for team_usage in usage.values_mut() {
            let room = capacity.minus(team_usage.used);
            team_usage.waiting = team_usage.waiting.scaled_to_fit(room);
        }
        usage
    }

    /// Number of tasks, by team, that a quota kept from starting when starts were last
    /// planned.
    pub fn tasks_over_quota(&self) -> &HashMap<String, u32> {
        &self.tasks_over_quota
    }

    /// Uses of teams that a plan needs: none where no quota is set and the pool was not full.
    pub(crate) fn usage_for_plan(&self) -> HashMap<&str, TeamUsage> {
        if self.quota_allocations.is_empty() && !self.lacked_capacity {
            return HashMap::new();
        }
        self.team_usage()
    }

    /// What each limited team may start beyond what it uses already.
    pub(crate) fn quota_budget(&self, usage: &HashMap<&str, TeamUsage>) -> QuotaBudget {
        let mut budget = QuotaBudget::default();
        for (team, allowed) in &self.quota_allocations {
            let team_usage = usage.get(team.as_str()).copied().unwrap_or_default();
            budget.indexes.insert(team.clone(), budget.left.len());
            budget.left.push(allowed.minus(team_usage.used));
        }
        budget
    }

    /// Counts a task that a quota kept from starting.
    pub(crate) fn count_over_quota(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let count = self.tasks_over_quota.entry(job.team.clone()).or_default();
        *count += 1;
    }
}

/// Resources that the waiting members of a job's gangs need.
pub(crate) fn gangs_waiting(job: &JobEntry) -> ResourceAmounts {
    gang_needs(job, |state| *state == TaskState::Waiting)
}

/// Resources that the members of a job's gangs need which are planned and not ordered yet.
pub(crate) fn gangs_planned(job: &JobEntry) -> ResourceAmounts {
    gang_needs(job, |state| matches!(state, TaskState::Planned(_)))
}

fn gang_needs(job: &JobEntry, counts: impl Fn(&TaskState) -> bool) -> ResourceAmounts {
    let tasks = job.tasks.iter().enumerate();
    let needs = tasks
        .filter(|(_, task)| counts(&task.state))
        .filter_map(|(slot, _)| {
            let step = job.step_of(slot).filter(|step| step.gang)?;
            Some(step.need)
        });
    needs.fold(ResourceAmounts::default(), ResourceAmounts::plus)
}
