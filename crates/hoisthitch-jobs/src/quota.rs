//! Limits of what teams may have running, over all pools.
//!
//! A limit is cut into parts, one for each pool that runs work of the team. The parts lie in
//! one record of the team, which owners change by compare-and-swap, so that their sum never
//! passes the limit whoever owns the pools. An owner starts work within its pool's part
//! alone; it takes more of what is free ahead of need, and gives back what it does not use.

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
    need::TaskNeed,
    pool::PoolState,
    task::TaskPlace, //
};

/// Part of the need that is taken beside it, so that what comes next need not wait for a
/// write: one in this many.
const AHEAD_PART: u64 = 4;

/// Part of the limit that a pool with any work of the team takes at least: one in this many.
const LEAST_PART: u64 = 64;

/// What a pool has of a team's work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TeamUse {
    /// Taken by tasks that run, or may.
    pub used: TaskNeed,
    /// Asked for by tasks that could start.
    pub waiting: TaskNeed,
}

/// Parts of a team's limit, by pool.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct QuotaParts {
    parts: BTreeMap<String, TaskNeed>,
}

impl QuotaParts {
    /// The part of a pool.
    pub fn part(&self, pool: &str) -> TaskNeed {
        self.parts.get(pool).copied().unwrap_or_default()
    }

    /// Changes the part of a pool.
    pub fn set(&mut self, pool: &str, part: TaskNeed) {
        if part == TaskNeed::default() {
            self.parts.remove(pool);
        } else {
            self.parts.insert(pool.to_owned(), part);
        }
    }

    /// The sum of all parts.
    pub fn total(&self) -> TaskNeed {
        let parts = self.parts.values();
        parts.fold(TaskNeed::default(), |sum, part| sum.plus(*part))
    }

    fn others(&self, pool: &str) -> TaskNeed {
        let others = self.parts.iter().filter(|(other, _)| *other != pool);
        others.fold(TaskNeed::default(), |sum, (_, part)| sum.plus(*part))
    }

    /// The part that a pool should have now.
    pub fn next_part(&self, pool: &str, limit: TaskNeed, needs: TeamUse) -> TaskNeed {
        let limits = limit.amounts();
        let parts = self.part(pool).amounts();
        let others = self.others(pool).amounts();
        let used = needs.used.amounts();
        let need = needs.used.plus(needs.waiting).amounts();
        TaskNeed::each(|place| {
            let free = limits[place].saturating_sub(others[place]);
            next_amount(limits[place], parts[place], free, used[place], need[place])
        })
    }

    /// What a pool may have running by its part. Where a limit was lowered below the sum of
    /// the parts, each is lowered alike until the parts follow.
    pub fn allowed(&self, pool: &str, limit: TaskNeed) -> TaskNeed {
        let limits = limit.amounts();
        let parts = self.part(pool).amounts();
        let sums = self.part(pool).plus(self.others(pool)).amounts();
        TaskNeed::each(|place| match limits[place] {
            0 => u64::MAX,
            limit => {
                let part = u128::from(parts[place]) * u128::from(limit);
                let part = part / u128::from(sums[place].max(1));
                u64::try_from(part).unwrap_or(u64::MAX).min(parts[place])
            }
        })
    }
}

/// The amount of a limit that a pool should have: what it needs and some ahead, as far as
/// others leave it, and never less than it uses; the same as before where that is near
/// enough. Without a limit, where that is zero, nothing is taken.
fn next_amount(limit: u64, part: u64, free: u64, used: u64, need: u64) -> u64 {
    if limit == 0 || need == 0 {
        return 0;
    }
    let target = need + need / AHEAD_PART + limit / LEAST_PART;
    let wanted = used.max(target.min(free));
    let near = part >= need && part <= wanted.saturating_mul(2) && part <= free;
    if near { part } else { wanted }
}

/// What teams may have started yet, while a plan is made.
#[derive(Default)]
pub(crate) struct QuotaBudget {
    left: HashMap<String, TaskNeed>,
}

impl QuotaBudget {
    /// Whether a job's team may start so much more.
    pub(crate) fn allows(&self, team: &str, need: TaskNeed) -> bool {
        self.left.get(team).is_none_or(|left| left.covers(need))
    }

    /// Takes in that it was started.
    pub(crate) fn take(&mut self, team: &str, need: TaskNeed) {
        if let Some(left) = self.left.get_mut(team) {
            *left = left.minus(need);
        }
    }
}

impl PoolState {
    /// Limits what a team may have running in this pool.
    pub fn set_allowance(&mut self, team: &str, allowed: TaskNeed) {
        let before = self.allowances.insert(team.to_owned(), allowed);
        self.plan_needed |= before != Some(allowed);
    }

    /// Limits no team but those.
    pub fn keep_allowances(&mut self, limited: impl Fn(&str) -> bool) {
        self.allowances.retain(|team, _| limited(team));
    }

    /// What the pool has of each team's work.
    pub fn team_uses(&self) -> HashMap<String, TeamUse> {
        let mut uses: HashMap<String, TeamUse> = HashMap::new();
        let active = self.active.iter().filter_map(|key| self.jobs.get(*key));
        for job in active.filter(|job| !job.team.is_empty()) {
            let found = uses.entry(job.team.clone()).or_default();
            for (slot, task) in job.tasks.iter().enumerate() {
                let need = || job.step_of(slot).map(|step| step.need).unwrap_or_default();
                match task.place {
                    TaskPlace::Done => {}
                    TaskPlace::Waiting if job.phase.is_final() || !job.is_ready(slot) => {}
                    TaskPlace::Waiting => found.waiting = found.waiting.plus(need()),
                    _ => found.used = found.used.plus(need()),
                }
            }
        }
        uses
    }

    /// Work that limits held back when starts were last planned, in tasks by team.
    pub fn held_back(&self) -> &HashMap<String, u32> {
        &self.held_back
    }

    /// What teams may have started by now.
    pub(crate) fn quota_budget(&self) -> QuotaBudget {
        if self.allowances.is_empty() {
            return QuotaBudget::default();
        }
        let uses = self.team_uses();
        let left = self.allowances.iter().map(|(team, allowed)| {
            let used = uses.get(team).map(|found| found.used).unwrap_or_default();
            (team.clone(), allowed.minus(used))
        });
        QuotaBudget {
            left: left.collect(),
        }
    }

    /// Whether a job's gangs may start under its team's limit.
    pub(crate) fn allows_gangs(&self, key: JobKey, budget: &QuotaBudget) -> bool {
        self.jobs
            .get(key)
            .is_none_or(|job| budget.allows(&job.team, gangs_waiting(job)))
    }

    /// Takes in that gangs of a job were placed.
    pub(crate) fn take_gangs(&self, key: JobKey, budget: &mut QuotaBudget) {
        if let Some(job) = self.jobs.get(key) {
            budget.take(&job.team, gangs_planned(job));
        }
    }
}

fn gangs_waiting(job: &JobEntry) -> TaskNeed {
    gang_needs(job, |place| *place == TaskPlace::Waiting)
}

fn gangs_planned(job: &JobEntry) -> TaskNeed {
    gang_needs(job, |place| matches!(place, TaskPlace::Planned(_)))
}

fn gang_needs(job: &JobEntry, counts: impl Fn(&TaskPlace) -> bool) -> TaskNeed {
    let tasks = job.tasks.iter().enumerate();
    let needs = tasks
        .filter(|(_, task)| counts(&task.place))
        .filter_map(|(slot, _)| {
            let step = job.step_of(slot).filter(|step| step.gang)?;
            Some(step.need)
        });
    needs.fold(TaskNeed::default(), TaskNeed::plus)
}
