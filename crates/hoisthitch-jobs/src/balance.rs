//! Moves VMs from pools that have too many to pools that have too few.
//!
//! Each pool's owner publishes what the pool has and wants. All of them work
//! out the same moves from the same figures, and each carries out those of its
//! own VMs.
//!
//! What no pool needs is shared evenly, and nothing is turned off: a VM that is off can't
//! be ordered back for 3.2 s and costs two moves. Against turning off what is beyond 95
//! percent of an even share that buys 1 to 2 in 100 of what is owed (80 plays,
//! docs/decisions.md).

use std::collections::{
    BTreeMap,
    HashSet, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// What a pool has and wants.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmBalance {
    /// VMs wanted now.
    pub want: u32,
    /// VMs wanted for what comes in all the time; what is above it can go to a
    /// pool that lacks VMs.
    pub keep: u32,
    /// VMs of the pool.
    pub vms: Vec<String>,
    /// VMs on their way to other pools.
    pub sent: BTreeMap<String, String>,
    /// Whether the pool's VMs are off.
    pub spare: bool,
}

impl VmBalance {
    /// VMs of the pool that were not sent away.
    pub fn staying(&self) -> usize {
        let sent = |vm: &&String| self.sent.contains_key(*vm);
        self.vms.len() - self.vms.iter().filter(sent).count()
    }
}

/// VMs that go from one pool to another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmMove {
    /// Pool that gives.
    pub from: String,
    /// Pool that gets.
    pub to: String,
    /// Number of VMs.
    pub count: usize,
}

/// Part of an even share of all VMs that a pool keeps though others lack VMs, in
/// percent: work comes sooner than a VM can be moved.
const GIVE_FLOOR_PERCENT: usize = 50;

/// How much more of its want a pool has to lack than one that gives it VMs though
/// it lacks some itself, in thousandths: VMs must not go to and fro. Such gifts buy
/// half of 1 in 100 of what is owed (40 plays, docs/decisions.md).
const LACK_MARGIN: usize = 250;

/// A pool while moves are worked out.
struct PoolLevel<'a> {
    name: &'a String,
    share: &'a VmBalance,
    /// VMs that stay in it and may be given.
    staying: usize,
    /// VMs that it has or gets.
    have: usize,
    /// Whether it gives VMs; such a pool gets none.
    gives: bool,
}

impl PoolLevel<'_> {
    /// VMs that it needs for its work.
    fn needed(&self) -> usize {
        to_usize(self.share.keep.max(self.share.want))
    }

    /// Part of what it wants that it lacks, in thousandths.
    fn missing_part(&self, wanted: usize) -> usize {
        wanted.saturating_sub(self.have) * 1_000 / wanted.max(1)
    }
}

/// Works out the moves that are due: first to pools that lack VMs for their work,
/// then to those below an even share.
pub fn plan_moves(pools: &BTreeMap<String, VmBalance>) -> Vec<VmMove> {
    let mut levels: Vec<PoolLevel<'_>> = pools
        .iter()
        .map(|(name, share)| PoolLevel {
            name,
            share,
            staying: share.staying(),
            have: count_vms(pools, name),
            gives: false,
        })
        .collect();
    let vms: usize = pools.values().map(|share| share.vms.len()).sum();
    let active = pools.values().filter(|share| !share.spare).count().max(1);
    let floor = vms * GIVE_FLOOR_PERCENT / 100 / active;
    let level = vms.div_ceil(active);
    let mut moves = Vec::new();
    fill(
        &mut levels,
        &mut moves,
        |pool| to_usize(pool.share.want).max(floor),
        |pool| pool.needed().max(floor),
        Some(floor),
    );
    fill(
        &mut levels,
        &mut moves,
        |_| level,
        |pool| pool.needed().max(level),
        None,
    );
    moves
}

/// Gives one VM after the other to the pool that has the smallest part of what is
/// wanted, so that none takes all. VMs that are off are given first, then those
/// of the pool with the most to spare, then, where `least` tells what a pool keeps then,
/// those of pools that lack far less than the taker.
fn fill(
    levels: &mut [PoolLevel<'_>],
    moves: &mut Vec<VmMove>,
    wanted: impl Fn(&PoolLevel<'_>) -> usize,
    kept: impl Fn(&PoolLevel<'_>) -> usize,
    least: Option<usize>,
) {
    while let Some(to) = most_lacking(levels, &wanted) {
        let lacking = || least_lacking(levels, to, &wanted, least?);
        let Some(from) = most_spare(levels, &kept).or_else(lacking) else {
            return;
        };
        add_move(moves, levels[from].name, levels[to].name);
        levels[from].gives = true;
        levels[from].staying -= 1;
        levels[from].have = levels[from].have.saturating_sub(1);
        levels[to].have += 1;
    }
}

/// The pool that lacks the largest part of what it wants.
fn most_lacking(
    levels: &[PoolLevel<'_>],
    wanted: impl Fn(&PoolLevel<'_>) -> usize,
) -> Option<usize> {
    let places = levels.iter().enumerate();
    let lacking =
        places.filter(|(_, pool)| !pool.share.spare && !pool.gives && wanted(pool) > pool.have);
    lacking
        .max_by_key(|(_, pool)| (pool.missing_part(wanted(pool)), pool.name))
        .map(|(place, _)| place)
}

/// The pool with the most VMs beyond what it keeps; one whose VMs are off first.
fn most_spare(levels: &[PoolLevel<'_>], kept: impl Fn(&PoolLevel<'_>) -> usize) -> Option<usize> {
    let surplus = |pool: &PoolLevel<'_>| {
        let kept = if pool.share.spare { 0 } else { kept(pool) };
        pool.staying.saturating_sub(kept)
    };
    let places = levels.iter().enumerate();
    places
        .filter(|(_, pool)| surplus(pool) > 0)
        .max_by_key(|(_, pool)| (pool.share.spare, surplus(pool), pool.name))
        .map(|(place, _)| place)
}

/// The pool that lacks least, where it has VMs beyond its steady work and lacks far
/// less than the taker.
fn least_lacking(
    levels: &[PoolLevel<'_>],
    taker: usize,
    wanted: impl Fn(&PoolLevel<'_>) -> usize,
    least: usize,
) -> Option<usize> {
    let lack = |pool: &PoolLevel<'_>| pool.missing_part(wanted(pool));
    let missing = lack(levels.get(taker)?);
    let places = levels.iter().enumerate();
    places
        .filter(|(place, pool)| *place != taker && !pool.share.spare)
        .filter(|(_, pool)| pool.staying > to_usize(pool.share.keep).max(least))
        .filter(|(_, pool)| lack(pool) + LACK_MARGIN < missing)
        .min_by_key(|(_, pool)| (lack(pool), pool.name))
        .map(|(place, _)| place)
}

fn add_move(moves: &mut Vec<VmMove>, from: &str, to: &str) {
    let same = moves
        .iter_mut()
        .find(|order| order.from == from && order.to == to);
    if let Some(order) = same {
        order.count += 1;
        return;
    }
    moves.push(VmMove {
        from: from.to_owned(),
        to: to.to_owned(),
        count: 1,
    });
}

/// VMs that are in a pool or on their way to it.
fn count_vms(pools: &BTreeMap<String, VmBalance>, pool: &str) -> usize {
    let Some(share) = pools.get(pool) else {
        return 0;
    };
    let here: HashSet<&String> = share.vms.iter().collect();
    let coming = pools
        .iter()
        .filter(|(from, _)| *from != pool)
        .flat_map(|(_, other)| &other.sent)
        .filter(|(vm, to)| *to == pool && !here.contains(vm))
        .count();
    share.staying() + coming
}

fn to_usize(count: u32) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX)
}
