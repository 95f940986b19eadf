//! Sharing of a pool's slots among the entries.
//!
//! Every entry computes the shares of all entries from what it knows, and keeps
//! to its own. Entries that know the same compute the same, so the shares of a
//! runner's slots add up to its slots without anyone granting them.

use crate::rank::hash_name;

/// Slots that every entry is taken to ask for beside what it does ask for, so
/// that an entry without demand can start at once.
const STANDING_DEMAND: u32 = 1;

/// Share of a pool's slots below which its entries don't divide them: while so
/// few are asked for, two entries hardly meet at a runner, and an entry whose
/// demand rises finds slots at once.
const DIVIDE_FROM: f64 = 0.7;

/// How the entries share the runners' slots.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum SharePolicy {
    /// Each entry uses all slots, by its own counts only.
    Local,
    /// Each entry uses an even part.
    Even,
    /// Each entry uses a part in proportion to what it asks for.
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
            _ => Err("it is not a way of sharing; use local, even or demand".to_owned()),
        }
    }
}

/// Part of the slots that one entry may use, as an interval of the unit line.
///
/// The intervals of all entries, in the order of their names, cover the line.
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

    /// Share of the entry at `own` among entries that ask for `demands` of the
    /// pool's `slots`.
    pub fn by_demand(demands: &[u32], own: usize, slots: u32) -> Self {
        let asked: f64 = demands.iter().copied().map(f64::from).sum();
        if asked < DIVIDE_FROM * f64::from(slots) {
            return Self::WHOLE;
        }
        let weight = |demand: &u32| f64::from(demand.saturating_add(STANDING_DEMAND));
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

    /// Even share of the entry at `own` of `count`.
    pub fn even(count: usize, own: usize) -> Self {
        let count = count.max(1) as f64;
        Self {
            low: own as f64 / count,
            high: (own as f64 + 1.0) / count,
        }
    }

    /// Slots of a runner that the share holds.
    ///
    /// The line is laid over the slots with an offset taken from the runner's
    /// name, so that what is lost and won by rounding evens out over a pool.
    pub fn slots_of(self, runner: &str, slots: u32) -> u32 {
        let offset = (hash_name(runner) >> 11) as f64 / (1_u64 << 53) as f64;
        let scale = f64::from(slots);
        let below = |position: f64| (scale * position + offset).floor();
        // CAST: the difference lies between zero and `slots`.
        (below(self.high) - below(self.low)) as u32
    }
}
