//! Data halls in the choice of owners and standbys, where halls may be lost.
//!
//! Processor time comes first. Among nodes of equal relative load, a node outside the hall of the
//! pool's last owner comes before one inside, then one in the hall that owns fewer pools; the
//! order then alternates halls, so that no two candidates in a row are lost with one hall. All of
//! it depends on the group's records alone, and is the same at every node.

use std::collections::BTreeMap;

use hoisthitch_jobs::Millis;

use crate::{
    group::{
        GroupView,
        MemberRecord,
        STANDBYS, //
    },
    identity::NodeIdentity, //
};

/// Most standbys of a pool in one hall.
const STANDBYS_PER_HALL: usize = 2;

/// Time between the takeovers of two pools that are vacant together, in milliseconds: each of them
/// reads the pool's records from the store. The order is that of the pools' names in the
/// configuration, since only a pool's owner knows how much work it has.
const TAKEOVER_STEP_MS: Millis = 60;

/// Time for which the group has to be unchanged before a pool is handed over because of a cut
/// between halls, in milliseconds. It is longer than a lost node stays a member.
const CUT_STABLE_MS: Millis = 2_000;

/// Rank of a candidate by its hall: whether the pool's last owner was there, and how many pools
/// are owned there.
pub(crate) type HallRank = (bool, usize);

/// Number of nodes that are alive in each hall.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct HallNodes {
    counts: BTreeMap<String, usize>,
}

impl HallNodes {
    pub(crate) fn add(&mut self, hall: &str) {
        match self.counts.get_mut(hall) {
            Some(count) => *count += 1,
            None => drop(self.counts.insert(hall.to_owned(), 1)),
        }
    }

    pub(crate) fn remove(&mut self, hall: &str) {
        if let Some(count) = self.counts.get_mut(hall) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(hall);
            }
        }
    }

    pub(crate) fn clear(&mut self) {
        self.counts.clear();
    }

    /// Number of nodes in a hall.
    pub(crate) fn count(&self, hall: &str) -> usize {
        self.counts.get(hall).copied().unwrap_or(0)
    }
}

/// Orders candidates of equal load so that each hall's first comes before any hall's second.
/// `place_of` gives the load and the hall of a node.
pub(crate) fn alternate_halls<'a>(
    order: &mut [String],
    place_of: impl Fn(&str) -> (usize, &'a str),
) {
    let mut seen: BTreeMap<(usize, &str), usize> = BTreeMap::new();
    let turns: BTreeMap<String, (usize, usize)> = order
        .iter()
        .map(|node| {
            let (load, hall) = place_of(node);
            let turn = seen.entry((load, hall)).or_insert(0);
            *turn += 1;
            (node.clone(), (load, *turn))
        })
        .collect();
    order.sort_by_key(|node| turns.get(node).copied());
}

impl GroupView {
    /// Number of pools that are owned in each hall; empty where halls may not be lost.
    pub(crate) fn hall_counts(&self, pools: &[String]) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        if !self.spreads_halls {
            return counts;
        }
        for (node, owned) in self.owned_counts(pools) {
            if let Some(member) = self.members.get(node) {
                *counts.entry(member.hall.clone()).or_insert(0) += owned;
            }
        }
        counts
    }

    /// Rank of a candidate for a pool by its hall; the same for all where halls may not be lost.
    pub(crate) fn hall_rank(
        &self,
        pool: &str,
        member: Option<&MemberRecord>,
        hall_counts: &BTreeMap<String, usize>,
    ) -> HallRank {
        let Some(member) = member.filter(|_| self.spreads_halls) else {
            return HallRank::default();
        };
        let owner = self.owners.get(pool);
        let in_owner_hall = owner.is_some_and(|owner| owner.record.hall == member.hall);
        let owned = hall_counts.get(&member.hall).copied().unwrap_or(0);
        (in_owner_hall, owned)
    }

    /// Time that a vacant pool waits for those before it, in milliseconds.
    pub(crate) fn takeover_turn(&self, position: usize) -> Millis {
        if !self.spreads_halls {
            return 0;
        }
        TAKEOVER_STEP_MS * Millis::try_from(position).unwrap_or(0)
    }

    /// Whether a node is a standby of some pool: one of the first [`STANDBYS`] candidates, of
    /// which no hall has more than [`STANDBYS_PER_HALL`].
    pub(crate) fn is_standby_by_hall(
        &self,
        pools: &[String],
        node: &str,
        owned: &BTreeMap<&str, usize>,
    ) -> bool {
        let Some(hall) = self.members.get(node).map(|member| member.hall.as_str()) else {
            return false;
        };
        let hall_counts = self.hall_counts(pools);
        pools.iter().any(|pool| {
            let own = self.rank_of(pool, node, owned, &hall_counts);
            let mut taken: BTreeMap<&str, usize> = BTreeMap::new();
            let (mut standing, mut visited) = (0, 0);
            for (other, member) in &self.members {
                visited += 1;
                let is_before = other != node
                    && self
                        .rank_of(pool, other, owned, &hall_counts)
                        .is_before(&own);
                if !is_before {
                    continue;
                }
                let places = taken.entry(member.hall.as_str()).or_insert(0);
                if *places < STANDBYS_PER_HALL {
                    *places += 1;
                    standing += 1;
                }
                if standing >= STANDBYS || taken.get(hall) == Some(&STANDBYS_PER_HALL) {
                    self.visit(visited);
                    return false;
                }
            }
            self.visit(visited);
            true
        })
    }

    /// The node that reaches a pool's runners in a hall which this node does not reach: the first
    /// candidate in a third hall; none if there is none or the group has just changed.
    pub(crate) fn pick_beyond_cut(
        &self,
        pools: &[String],
        pool: &str,
        identity: &NodeIdentity,
        silent_hall: &str,
        now: Millis,
    ) -> Option<(String, MemberRecord)> {
        let is_stable = now >= self.unchanged_since + CUT_STABLE_MS;
        if !is_stable || !self.names_owner(pool, identity) || !self.has_instance(identity) {
            return None;
        }
        let order = self.candidates(pool, &self.pool_counts(pools), &self.hall_counts(pools));
        order.into_iter().find_map(|node| {
            let member = self.members.get(&node)?;
            let is_third = member.hall != identity.hall && member.hall != silent_hall;
            is_third.then(|| (node, member.clone()))
        })
    }
}
