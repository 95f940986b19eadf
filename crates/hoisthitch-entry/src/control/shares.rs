//! Shares of the pools' slots that this entry may use.

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

/// Silence after which an entry no longer counts in the shares.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);

/// What entries ask for, and this entry's shares.
pub struct SlotShares {
    policy: SharePolicy,
    own: String,
    peers: BTreeMap<String, PeerDemands>,
    own_demands: Vec<PoolDemand>,
}

struct PeerDemands {
    heard: Instant,
    demands: Vec<PoolDemand>,
}

impl SlotShares {
    /// Starts without other entries.
    pub fn new(own: &str, policy: SharePolicy) -> Self {
        Self {
            policy,
            own: own.to_owned(),
            peers: BTreeMap::new(),
            own_demands: Vec::new(),
        }
    }

    /// Notes what another entry asks for; answers whether that changed.
    pub fn hear(&mut self, node: &str, demands: Vec<PoolDemand>) -> bool {
        let heard = Instant::now();
        let known = self.peers.get(node);
        let changed = known.is_none_or(|known| known.demands != demands);
        self.peers
            .insert(node.to_owned(), PeerDemands { heard, demands });
        changed
    }

    /// Notes what this entry asks for.
    pub fn set_own(&mut self, demands: Vec<PoolDemand>) {
        self.own_demands = demands;
    }

    /// What this entry asked for when it last told the others.
    pub fn own(&self) -> &[PoolDemand] {
        &self.own_demands
    }

    /// Forgets silent entries.
    pub fn forget_silent(&mut self) {
        self.peers
            .retain(|_, peer| peer.heard.elapsed() < SILENCE_LIMIT);
    }

    /// Whether another entry was heard from lately.
    pub fn hears(&self, node: &str) -> bool {
        self.peers.contains_key(node)
    }

    /// Share of the slots of a pool that has `slots` in all.
    pub fn of(&self, pool: &str, slots: u32) -> EntryShare {
        let before = self.peers.range(..self.own.clone()).count();
        match self.policy {
            SharePolicy::Local => EntryShare::WHOLE,
            SharePolicy::Even => EntryShare::even(self.peers.len() + 1, before),
            SharePolicy::Demand => EntryShare::by_demand(&self.demands(pool), before, slots),
        }
    }

    /// What the entries ask for, in the order of their names.
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
    // CAST: the low half of the hash serves as the key.
    hash_name(pool) as u32
}

fn demand_of(demands: &[PoolDemand], pool: u32) -> u32 {
    let found = demands.iter().find(|demand| demand.pool == pool);
    found.map_or(0, |demand| demand.slots)
}

/// Whether demands rose so much that the others should know at once.
pub fn rose(old: &[PoolDemand], new: &[PoolDemand]) -> bool {
    new.iter()
        .any(|demand| demand.slots > demand_of(old, demand.pool) * 5 / 4 + 1)
}
