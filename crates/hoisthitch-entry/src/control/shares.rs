//! Shares of the pools' slots that this entry may use.
//!
//! The shares follow from the demands of all entries, received with heartbeats.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use hoisthitch_core::{
    EntryShare,
    SharePolicy,
    hash_name, //
};
use hoisthitch_wire::PoolDemand;
use tokio::time::Instant;

/// Time without a heartbeat after which an entry no longer gets a share.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);

/// Demands of the entries, and this entry's shares.
pub struct SlotShares {
    policy: SharePolicy,
    own: String,
    peers: BTreeMap<String, PeerDemands>,
    own_demands: Vec<PoolDemand>,
}

struct PeerDemands {
    received_at: Instant,
    demands: Vec<PoolDemand>,
}

impl SlotShares {
    /// Creates the shares without other entries.
    pub fn new(own: &str, policy: SharePolicy) -> Self {
        Self {
            policy,
            own: own.to_owned(),
            peers: BTreeMap::new(),
            own_demands: Vec::new(),
        }
    }

    /// Records another entry's demands; returns whether they changed.
    pub fn record_demands(&mut self, node: &str, demands: Vec<PoolDemand>) -> bool {
        let received_at = Instant::now();
        let known = self.peers.get(node);
        let changed = known.is_none_or(|known| known.demands != demands);
        self.peers.insert(
            node.to_owned(),
            PeerDemands {
                received_at,
                demands,
            },
        );
        changed
    }

    /// Records this entry's demands.
    pub fn set_own_demands(&mut self, demands: Vec<PoolDemand>) {
        self.own_demands = demands;
    }

    /// This entry's demands, as last sent to the other entries.
    pub fn own_demands(&self) -> &[PoolDemand] {
        &self.own_demands
    }

    /// Removes entries without a recent heartbeat.
    pub fn remove_silent(&mut self) {
        self.peers
            .retain(|_, peer| peer.received_at.elapsed() < HEARTBEAT_TIMEOUT);
    }

    /// Whether another entry counts in the shares.
    pub fn has_peer(&self, node: &str) -> bool {
        self.peers.contains_key(node)
    }

    /// This entry's share of a pool with `slots` slots in total.
    pub fn share_of(&self, pool: &str, slots: u32) -> EntryShare {
        let before = self.peers.range(..self.own.clone()).count();
        match self.policy {
            SharePolicy::Local => EntryShare::WHOLE,
            SharePolicy::Even => EntryShare::even(self.peers.len() + 1, before),
            SharePolicy::Demand => EntryShare::by_demand(&self.demands(pool), before, slots),
        }
    }

    /// Demands of all entries in a pool, in the order of the entries' names.
    fn demands(&self, pool: &str) -> Vec<u32> {
        let key = pool_key(pool);
        let mut demands: BTreeMap<&str, u32> = self
            .peers
            .iter()
            .map(|(node, peer)| (node.as_str(), demand_of(&peer.demands, key)))
            .collect();
        demands.insert(&self.own, demand_of(&self.own_demands, key));
        demands.into_values().collect()
    }
}

/// Key of a pool in heartbeats.
pub fn pool_key(pool: &str) -> u32 {
    // CAST: the low half of the hash is the key.
    hash_name(pool) as u32
}

fn demand_of(demands: &[PoolDemand], pool: u32) -> u32 {
    let found = demands.iter().find(|demand| demand.pool == pool);
    found.map_or(0, |demand| demand.slots)
}

/// Whether a demand rose by more than a quarter plus one slot, so that the other
/// entries should receive it soon.
pub fn demand_rose(old: &[PoolDemand], new: &[PoolDemand]) -> bool {
    new.iter()
        .any(|demand| demand.slots > demand_of(old, demand.pool) * 5 / 4 + 1)
}
