//! Sharing of a pool's slots among the entries.
//!
//! Every entry computes the shares of all entries from what it knows, and keeps
//! to its own. Entries that know the same compute the same, so the shares of a
//! runner's slots add up to its slots without anyone granting them.

use crate::rank::hash_name;

/// Part of the slots that is split evenly, whatever the entries ask for, so
/// that an entry without demand can start at once.
const EVEN_PART: f64 = 0.25;

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

    /// Share of the entry at `own` among entries that ask for `demands` slots.
    pub fn by_demand(demands: &[u32], own: usize) -> Self {
        let total: f64 = demands.iter().copied().map(f64::from).sum();
        if total == 0.0 {
            return Self::even(demands.len(), own);
        }
        let even = EVEN_PART / demands.len() as f64;
        let part = |demand: u32| even + (1.0 - EVEN_PART) * f64::from(demand) / total;
        let low: f64 = demands[..own].iter().copied().map(part).sum();
        let last = own + 1 == demands.len();
        let high = if last { 1.0 } else { low + part(demands[own]) };
        Self { low, high }
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
