//! Division of a pool's runner slots among the entries.
//!
//! Each entry computes the shares of all entries from the demands that it knows,
//! and uses only its own. Entries with the same information compute the same
//! shares, so the shares of a runner's slots add up to its slots without a
//! coordinator.

use crate::rank::hash_name;

/// Slots added to the demand of each entry, so that an entry without demand has
/// slots for its first requests.
const BASE_DEMAND_SLOTS: u32 = 1;

/// Fraction of a pool's slots below which the total demand does not lead to a
/// division. With so little demand, requests of two entries rarely meet at a
/// runner, and an entry whose demand rises can use any free slot at once.
const DIVISION_DEMAND_FRACTION: f64 = 0.7;

/// How the entries share the runners' slots.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum SharePolicy {
    /// Each entry uses all slots and counts only its own requests.
    Local,
    /// All entries use equal shares.
    Even,
    /// Each entry uses a share in proportion to its demand.
    #[default]
    Demand,
}

impl std::str::FromStr for SharePolicy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "local" => Ok(Self::Local),
            "even" => Ok(Self::Even),
            "demand" => Ok(Self::Demand),
            _ => Err("it is not a sharing policy; use local, even or demand".to_owned()),
        }
    }
}

/// Share of the slots that one entry may use, as a part of the interval [0, 1).
///
/// The shares of all entries, in the order of their names, cover the interval
/// without overlap.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EntryShare {
    low: f64,
    high: f64,
}

impl EntryShare {
    /// All slots.
    pub const WHOLE: Self = Self {
        low: 0.0,
        high: 1.0,
    };

    /// Share of the entry with the index `own`, given the demands of all entries
    /// and the number of slots of the pool.
    pub fn by_demand(demands: &[u32], own: usize, slots: u32) -> Self {
        let total_demand: f64 = demands.iter().copied().map(f64::from).sum();
        if total_demand < DIVISION_DEMAND_FRACTION * f64::from(slots) {
            return Self::WHOLE;
        }
        let weight = |demand: &u32| f64::from(demand.saturating_add(BASE_DEMAND_SLOTS));
        let total: f64 = demands.iter().map(weight).sum();
        let before: f64 = demands[..own].iter().map(weight).sum();
        let last = own + 1 == demands.len();
        Self {
            low: before / total,
            high: if last {
                1.0
            } else {
                (before + weight(&demands[own])) / total
            },
        }
    }

    /// Even share of the entry with the index `own` among `count` entries.
    pub fn even(count: usize, own: usize) -> Self {
        let count = count.max(1) as f64;
        Self {
            low: own as f64 / count,
            high: (own as f64 + 1.0) / count,
        }
    }

    /// Number of a runner's slots that belong to the share.
    ///
    /// The interval is scaled to the slots and shifted by an offset that is
    /// derived from the runner's name, so that rounding errors even out over a
    /// pool.
    pub fn slots_of(self, runner: &str, slots: u32) -> u32 {
        let offset = (hash_name(runner) >> 11) as f64 / (1_u64 << 53) as f64;
        let scale = f64::from(slots);
        let slot_at = |position: f64| (scale * position + offset).floor();
        // CAST: the difference lies between zero and `slots`.
        (slot_at(self.high) - slot_at(self.low)) as u32
    }
}
