//! Moves VMs from pools that have too many to pools that have too few.
//!
//! Each pool's owner publishes what the pool has and wants. All of them work
//! out the same moves from the same figures, and each carries out those of its
//! own VMs.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};

/// What a pool has and wants.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolShare {
    /// VMs wanted now.
    pub want: u32,
    /// VMs wanted for what comes in all the time; what is above it can go to a
    /// pool that lacks VMs.
    pub keep: u32,
    /// VMs that were kept at most in the last seconds; what is above it can be
    /// turned off.
    pub hold: u32,
    /// VMs of the pool.
    pub vms: Vec<String>,
    /// VMs on their way to other pools.
    pub sent: BTreeMap<String, String>,
    /// Whether the pool's VMs are off.
    pub spare: bool,
}

impl PoolShare {
    /// VMs that are counted in the pool still though they were sent away.
    pub fn sent_here(&self) -> usize {
        let sent = self.sent.keys();
        sent.filter(|vm| self.vms.contains(*vm)).count()
    }
}

/// VMs that go from one pool to another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolMove {
    /// Pool that gives.
    pub from: String,
    /// Pool that gets.
    pub to: String,
    /// Number of VMs.
    pub count: usize,
}

/// Part of an even share of all VMs that each pool keeps whatever it needs, in
/// percent: work comes sooner than a VM can be moved, and what is late for want
/// of one earns less than the VM costs.
const FLOOR_PERCENT: usize = 60;

/// Works out the moves that are due.
pub fn plan_moves(pools: &BTreeMap<String, PoolShare>) -> Vec<PoolMove> {
    let floor = pool_floor(pools);
    let have: BTreeMap<&String, usize> = pools
        .keys()
        .map(|pool| (pool, count_vms(pools, pool)))
        .collect();
    let mut surplus: Vec<(&String, usize)> = pools
        .iter()
        .map(|(pool, share)| {
            let staying = share.vms.len() - share.sent_here();
            let keep = if share.spare {
                0
            } else {
                // A pool that lacks VMs gives none, however few it keeps.
                to_usize(share.keep.max(share.want)).max(floor)
            };
            (pool, staying.saturating_sub(keep))
        })
        .filter(|(_, count)| *count > 0)
        .collect();
    // What is off costs nothing to give; then the pool with the most.
    surplus.sort_by_key(|(pool, count)| {
        let spare = pools.get(*pool).is_some_and(|share| share.spare);
        (!spare, std::cmp::Reverse(*count), (*pool).clone())
    });
    let mut shortage: Vec<(&String, usize)> = pools
        .iter()
        .filter(|(_, share)| !share.spare)
        .map(|(pool, share)| {
            let have = have.get(pool).copied().unwrap_or(0);
            (pool, to_usize(share.want).max(floor).saturating_sub(have))
        })
        .filter(|(_, count)| *count > 0)
        .collect();
    let mut moves = Vec::new();
    // One VM after the other goes to the pool that has the smallest part of
    // what it wants, so that none takes all.
    while let Some((to, missing)) = shortage
        .iter_mut()
        .filter(|(_, missing)| *missing > 0)
        .max_by_key(|(pool, missing)| (missing_part(pools, pool, *missing), *pool))
    {
        let Some((from, left)) = surplus.iter_mut().find(|(_, left)| *left > 0) else {
            break;
        };
        *missing -= 1;
        *left -= 1;
        add_move(&mut moves, from, to);
    }
    moves.extend(park(pools, &surplus, floor));
    moves
}

/// VMs that each pool keeps.
fn pool_floor(pools: &BTreeMap<String, PoolShare>) -> usize {
    let vms: usize = pools.values().map(|share| share.vms.len()).sum();
    let active = pools.values().filter(|share| !share.spare).count();
    vms * FLOOR_PERCENT / 100 / active.max(1)
}

/// Part of what a pool wants that it lacks, in thousandths.
fn missing_part(pools: &BTreeMap<String, PoolShare>, pool: &str, missing: usize) -> usize {
    let want = pools.get(pool).map_or(1, |share| to_usize(share.want));
    missing * 1_000 / want.max(1)
}

fn add_move(moves: &mut Vec<PoolMove>, from: &str, to: &str) {
    let same = moves
        .iter_mut()
        .find(|order| order.from == from && order.to == to);
    if let Some(order) = same {
        order.count += 1;
        return;
    }
    moves.push(PoolMove {
        from: from.to_owned(),
        to: to.to_owned(),
        count: 1,
    });
}

/// Moves what nobody wanted for seconds to a pool whose VMs are off.
fn park(
    pools: &BTreeMap<String, PoolShare>,
    surplus: &[(&String, usize)],
    floor: usize,
) -> Vec<PoolMove> {
    let Some((off, _)) = pools.iter().find(|(_, share)| share.spare) else {
        return Vec::new();
    };
    let idle = surplus.iter().filter_map(|(pool, left)| {
        let share = pools.get(*pool).filter(|share| !share.spare)?;
        // The surplus is counted above what is kept; more may be held.
        let keep = to_usize(share.keep.max(share.want)).max(floor);
        let hold = to_usize(share.hold).max(floor);
        let count = left.saturating_sub(hold.saturating_sub(keep));
        (count > 0).then_some((*pool, count))
    });
    idle.map(|(pool, count)| PoolMove {
        from: pool.clone(),
        to: off.clone(),
        count,
    })
    .collect()
}

/// VMs that are in a pool or on their way to it.
fn count_vms(pools: &BTreeMap<String, PoolShare>, pool: &str) -> usize {
    let Some(share) = pools.get(pool) else {
        return 0;
    };
    let coming = pools
        .iter()
        .filter(|(from, _)| *from != pool)
        .flat_map(|(_, other)| &other.sent)
        .filter(|(vm, to)| *to == pool && !share.vms.contains(vm))
        .count();
    share.vms.len() - share.sent_here() + coming
}

fn to_usize(count: u32) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX)
}
