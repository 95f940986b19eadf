//! VMs of pools over data halls: which VMs a pool gives, so that the VMs of each pool stay level.
//!
//! How many VMs go from one pool to another is decided by [`crate::plan_moves`], whatever their
//! halls. A pool that gives chooses which: first those that can leave soonest, and of these the VM of
//! the hall in which the giver has the most beyond the taker; among equals, of that in which the
//! taker has the fewest. On where data halls are told apart;
//! elsewhere pools publish no counts by hall, and the VMs keep their order.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        VecDeque, //
    }, //
};

use crate::{
    balance::VmBalance,
    pool::PoolState,
    runner::{
        RunnerEntry,
        RunnerInstance,
        RunnerKey, //
    }, //
};

/// How soon a VM can leave its pool, the soonest first.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum SpareEase {
    /// Its runner is being evacuated already.
    Evacuating,
    /// Its runner has no tasks.
    Empty,
    /// Its runner has tasks, which take up to some seconds.
    #[default]
    Busy,
}

/// A VM that a pool can give to another one.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SpareVm {
    /// Name.
    pub vm: String,
    /// Data hall that it is in; empty where that is not known.
    pub hall: String,
    /// Its runner; none if it has no runner.
    pub runner: Option<RunnerInstance>,
    /// How soon it can leave.
    pub ease: SpareEase,
}

/// VMs of a pool by hall, with those that are on their way to it.
fn hall_levels(pools: &BTreeMap<String, VmBalance>, pool: &str) -> BTreeMap<String, i64> {
    let mut levels = BTreeMap::new();
    let Some(balance) = pools.get(pool) else {
        return levels;
    };
    for (hall, vms) in &balance.halls {
        *levels.entry(hall.clone()).or_default() += i64::from(*vms);
    }
    let others = pools.iter().filter(|(name, _)| *name != pool);
    let sent = others.flat_map(|(_, other)| other.sent.iter().map(move |sent| (other, sent)));
    for (other, (vm, _)) in sent.filter(|(_, (_, to))| *to == pool) {
        if let Some(hall) = other
            .sent_halls
            .get(vm)
            .filter(|_| !balance.vms.contains(vm))
        {
            *levels.entry(hall.clone()).or_default() += 1;
        }
    }
    levels
}

/// Chooses a VM of the giver for each target pool, in the order of the targets, as long as there
/// are VMs. Without counts by hall, the VMs are taken in their order.
pub fn choose_vms(
    pools: &BTreeMap<String, VmBalance>,
    giver: &str,
    spare: Vec<SpareVm>,
    targets: &[String],
) -> Vec<(SpareVm, String)> {
    let mut given = hall_levels(pools, giver);
    if given.is_empty() {
        return spare.into_iter().zip(targets.iter().cloned()).collect();
    }
    // Of each ease and hall, only the first VM is ever compared.
    let mut groups: BTreeMap<(SpareEase, String), VecDeque<(usize, SpareVm)>> = BTreeMap::new();
    for (place, vm) in spare.into_iter().enumerate() {
        let group = groups.entry((vm.ease, vm.hall.clone())).or_default();
        group.push_back((place, vm));
    }
    let mut takers: BTreeMap<&String, BTreeMap<String, i64>> = BTreeMap::new();
    let mut chosen = Vec::new();
    for target in targets {
        let taker = takers
            .entry(target)
            .or_insert_with(|| hall_levels(pools, target));
        let level =
            |levels: &BTreeMap<String, i64>, hall: &String| levels.get(hall).copied().unwrap_or(0);
        let best = groups
            .iter_mut()
            .filter(|(_, group)| !group.is_empty())
            .min_by_key(|((ease, hall), group)| {
                let got = level(taker, hall);
                let beyond = level(&given, hall) - got;
                let place = group.front().map(|(place, _)| *place);
                (*ease, Reverse(beyond), got, place)
            });
        let Some((_, vm)) = best.and_then(|(_, group)| group.pop_front()) else {
            break;
        };
        *given.entry(vm.hall.clone()).or_default() -= 1;
        *taker.entry(vm.hall.clone()).or_default() += 1;
        chosen.push((vm, target.clone()));
    }
    chosen
}

impl PoolState {
    /// Number of the pool's VMs by hall, as counted by [`PoolState::vms`]; empty where halls are
    /// not told apart.
    pub fn vms_by_hall(&self) -> BTreeMap<String, u32> {
        let mut counts = BTreeMap::new();
        if !self.tells_halls_apart() {
            return counts;
        }
        for runner in self.runners.values() {
            if runner.has_available_vm() {
                *counts.entry(runner.facts.hall.clone()).or_default() += 1;
            }
        }
        counts
    }

    /// How soon a runner's VM could leave, and where it is.
    pub fn spare_vm(&self, key: RunnerKey) -> Option<SpareVm> {
        let runner = self.runners.get(key)?;
        Some(SpareVm {
            vm: runner.facts.vm.clone(),
            hall: runner.facts.hall.clone(),
            runner: Some(runner.facts.instance()),
            ease: ease_of(runner),
        })
    }

    /// Orders runners that the pool can spare: those that can leave soonest, and of these by turns
    /// from the halls in which the pool has the most VMs.
    pub(crate) fn level_spare(&self, spare: Vec<RunnerKey>) -> Vec<RunnerKey> {
        let mut levels = self.vms_by_hall();
        let mut ranked: Vec<(SpareEase, Reverse<u32>, usize, RunnerKey)> = Vec::new();
        for (place, key) in spare.into_iter().enumerate() {
            let Some(runner) = self.runners.get(key) else {
                continue;
            };
            let level = levels.entry(runner.facts.hall.clone()).or_default();
            ranked.push((ease_of(runner), Reverse(*level), place, key));
            *level = level.saturating_sub(1);
        }
        ranked.sort();
        ranked.into_iter().map(|(_, _, _, key)| key).collect()
    }
}

fn ease_of(runner: &RunnerEntry) -> SpareEase {
    match (!runner.evacuation.takes_tasks(), runner.tasks.is_empty()) {
        (true, _) => SpareEase::Evacuating,
        (false, true) => SpareEase::Empty,
        (false, false) => SpareEase::Busy,
    }
}
