//! Amounts of processors, memory and accelerators.

use serde::{
    Deserialize,
    Serialize, //
};

/// Room that a task takes on its runner.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct ResourceAmounts {
    /// Thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Accelerators.
    pub gpus: u64,
}

impl ResourceAmounts {
    pub(crate) fn amounts(self) -> [u64; 3] {
        [self.cpu_milli, self.memory_mb, self.gpus]
    }

    pub(crate) fn each(amount: impl Fn(usize) -> u64) -> Self {
        Self {
            cpu_milli: amount(0),
            memory_mb: amount(1),
            gpus: amount(2),
        }
    }

    /// The sum of both, in each amount.
    pub fn plus(self, other: Self) -> Self {
        let (one, two) = (self.amounts(), other.amounts());
        Self::each(|place| one[place].saturating_add(two[place]))
    }

    /// What is left of this beside the other, in each amount.
    pub(crate) fn minus(self, other: Self) -> Self {
        let (one, two) = (self.amounts(), other.amounts());
        Self::each(|place| one[place].saturating_sub(two[place]))
    }

    /// The lesser of both, in each amount.
    pub fn least(self, other: Self) -> Self {
        let (one, two) = (self.amounts(), other.amounts());
        Self::each(|place| one[place].min(two[place]))
    }

    /// Whether so much is enough for what is asked, where only what has a limit counts.
    pub fn is_enough(self, limit: Self, asked: Self) -> bool {
        let has = self.amounts().into_iter().zip(limit.amounts());
        let mut each = has.zip(asked.amounts());
        each.all(|((has, limit), asked)| limit == 0 || asked <= has)
    }

    /// Whether there is so much of each amount.
    pub(crate) fn covers(self, other: Self) -> bool {
        let (one, two) = (self.amounts(), other.amounts());
        one.into_iter().zip(two).all(|(has, asked)| asked <= has)
    }
}
