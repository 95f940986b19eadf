//! Moves VMs from pools that have too many to pools that have too few.
//!
//! The owner of each pool publishes what the pool has and needs. All owners compute the same
//! moves from the same figures, and each carries out the moves of its own pool's VMs.
//!
//! VMs that no pool needs are shared evenly and stay on: a VM that is off can't be ordered
//! back for 3.2 s and costs two moves. Compared to turning off the VMs beyond 95 percent of an
//! even share, this brings 1 to 2 percent of the attainable value (80 simulated days,
//! docs/decisions.md).

use std::collections::{
    BTreeMap,
    HashSet, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// VMs that a pool has and needs.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmBalance {
    /// VMs needed now.
    pub want: u32,
    /// VMs needed for the work that arrives and runs all the time; VMs beyond this number may
    /// go to a pool that lacks VMs.
    pub keep: u32,
    /// VMs that are in the pool.
    pub vms: Vec<String>,
    /// VMs of the pool that are on their way to another pool, and that pool.
    pub sent: BTreeMap<String, String>,
    /// Whether the VMs of this pool are turned off.
    pub spare: bool,
    /// Number of VMs that stay in the pool, by data hall; empty where halls are not told apart.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub halls: BTreeMap<String, u32>,
    /// Data halls of the VMs that are on their way to another pool, where halls are told apart.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub sent_halls: BTreeMap<String, String>,
}

impl VmBalance {
    /// Number of VMs that stay in the pool.
    pub fn staying(&self) -> usize {
        let sent = |vm: &&String| self.sent.contains_key(*vm);
        self.vms.len() - self.vms.iter().filter(sent).count()
    }
}

/// An order to move VMs from one pool to another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmMove {
    /// Pool that gives VMs.
    pub from: String,
    /// Pool that gets them.
    pub to: String,
    /// Number of VMs.
    pub count: usize,
}

/// Part of an even share of all VMs that a pool keeps even if other pools lack VMs, in
/// percent: work arrives faster than a VM can be moved.
const KEEP_PERCENT: usize = 50;

/// How much larger the lack of a pool must be than that of a pool that gives it VMs while
/// lacking some itself, in thousandths of what each needs: VMs must not be moved back and
/// forth. Such moves bring half a percent of the attainable value (40 simulated days,
/// docs/decisions.md).
const LACK_MARGIN_MILLI: usize = 250;

/// State of a pool while moves are planned.
struct PoolLevel<'a> {
    name: &'a String,
    balance: &'a VmBalance,
    /// VMs in the pool that may still be given.
    staying: usize,
    /// VMs that the pool has or will get.
    have: usize,
    /// Whether it gives VMs; such a pool gets none.
    gives: bool,
}

impl PoolLevel<'_> {
    /// VMs that it needs for its own work.
    fn needed(&self) -> usize {
        to_usize(self.balance.keep.max(self.balance.want))
    }

    /// Part of `wanted` that it lacks, in thousandths.
    fn missing_part(&self, wanted: usize) -> usize {
        wanted.saturating_sub(self.have) * 1_000 / wanted.max(1)
    }
}

/// Plans the moves that are due: first to pools that lack VMs for their work, then to pools
/// below an even share.
pub fn plan_moves(pools: &BTreeMap<String, VmBalance>) -> Vec<VmMove> {
    let mut levels: Vec<PoolLevel<'_>> = pools
        .iter()
        .map(|(name, balance)| PoolLevel {
            name,
            balance,
            staying: balance.staying(),
            have: count_vms(pools, name),
            gives: false,
        })
        .collect();
    let vms: usize = pools.values().map(|balance| balance.vms.len()).sum();
    let active = pools
        .values()
        .filter(|balance| !balance.spare)
        .count()
        .max(1);
    let floor = vms * KEEP_PERCENT / 100 / active;
    let level = vms.div_ceil(active);
    let mut moves = Vec::new();
    fill(
        &mut levels,
        &mut moves,
        |pool| to_usize(pool.balance.want).max(floor),
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

/// Gives VMs one by one to the pool that has the smallest part of what it wants, so that no
/// pool takes all. VMs that are off are given first, then those of the pool with the largest
/// surplus. If `least` is given, pools that lack far less than the taker give VMs last, down
/// to `least`.
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
    let candidates = levels.iter().enumerate();
    let lacking = candidates
        .filter(|(_, pool)| !pool.balance.spare && !pool.gives && wanted(pool) > pool.have);
    lacking
        .max_by_key(|(_, pool)| (pool.missing_part(wanted(pool)), pool.name))
        .map(|(index, _)| index)
}

/// The pool with the most VMs beyond those it keeps; a pool whose VMs are off comes first.
fn most_spare(levels: &[PoolLevel<'_>], kept: impl Fn(&PoolLevel<'_>) -> usize) -> Option<usize> {
    let surplus = |pool: &PoolLevel<'_>| {
        let kept = if pool.balance.spare { 0 } else { kept(pool) };
        pool.staying.saturating_sub(kept)
    };
    let candidates = levels.iter().enumerate();
    candidates
        .filter(|(_, pool)| surplus(pool) > 0)
        .max_by_key(|(_, pool)| (pool.balance.spare, surplus(pool), pool.name))
        .map(|(index, _)| index)
}

/// The pool that lacks the smallest part of what it wants, among those that have VMs beyond
/// their steady work and lack far less than the taker.
fn least_lacking(
    levels: &[PoolLevel<'_>],
    taker: usize,
    wanted: impl Fn(&PoolLevel<'_>) -> usize,
    least: usize,
) -> Option<usize> {
    let lack = |pool: &PoolLevel<'_>| pool.missing_part(wanted(pool));
    let missing = lack(levels.get(taker)?);
    let candidates = levels.iter().enumerate();
    candidates
        .filter(|(index, pool)| *index != taker && !pool.balance.spare)
        .filter(|(_, pool)| pool.staying > to_usize(pool.balance.keep).max(least))
        .filter(|(_, pool)| lack(pool) + LACK_MARGIN_MILLI < missing)
        .min_by_key(|(_, pool)| (lack(pool), pool.name))
        .map(|(index, _)| index)
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

/// Number of VMs that are in a pool or on their way to it.
fn count_vms(pools: &BTreeMap<String, VmBalance>, pool: &str) -> usize {
    let Some(balance) = pools.get(pool) else {
        return 0;
    };
    let here: HashSet<&String> = balance.vms.iter().collect();
    let coming = pools
        .iter()
        .filter(|(from, _)| *from != pool)
        .flat_map(|(_, other)| &other.sent)
        .filter(|(vm, to)| *to == pool && !here.contains(vm))
        .count();
    balance.staying() + coming
}

fn to_usize(count: u32) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX)
}
