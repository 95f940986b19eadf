//! Amounts of resources: processors, memory and accelerators.

use serde::{
    Deserialize,
    Serialize, //
};

/// Resources of a task, a runner, a pool or a limit.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct ResourceAmounts {
    /// Processors, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Accelerators.
    pub gpus: u64,
}

/// Sum of amounts that runners and callers name; the largest number where it is larger.
pub(crate) fn saturating_sum(amounts: impl Iterator<Item = u64>) -> u64 {
    amounts.fold(0, u64::saturating_add)
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

    /// The sum of both, amount by amount.
    pub fn plus(self, other: Self) -> Self {
        let (one, two) = (self.amounts(), other.amounts());
        Self::each(|index| one[index].saturating_add(two[index]))
    }

    /// The difference to the other, amount by amount; zero where the other is larger.
    pub(crate) fn minus(self, other: Self) -> Self {
        let (one, two) = (self.amounts(), other.amounts());
        Self::each(|index| one[index].saturating_sub(two[index]))
    }

    /// The minimum of both, amount by amount.
    pub fn least(self, other: Self) -> Self {
        let (one, two) = (self.amounts(), other.amounts());
        Self::each(|index| one[index].min(two[index]))
    }

    /// The largest part of these amounts that fits into `room`, with their proportions kept.
    pub(crate) fn scaled_to_fit(self, room: Self) -> Self {
        let (amounts, rooms) = (self.amounts(), room.amounts());
        let tight = (0..amounts.len()).filter(|index| amounts[*index] > rooms[*index]);
        // The least of the ratios of room to amount, compared without division.
        let least = tight.min_by(|one, other| {
            let left = u128::from(rooms[*one]) * u128::from(amounts[*other]);
            left.cmp(&(u128::from(rooms[*other]) * u128::from(amounts[*one])))
        });
        let Some(least) = least else {
            return self;
        };
        Self::each(|index| {
            let part = u128::from(amounts[index]) * u128::from(rooms[least]);
            u64::try_from(part / u128::from(amounts[least])).unwrap_or(u64::MAX)
        })
    }

    /// Whether this is enough for `asked`; only amounts that have a limit are compared.
    pub fn is_enough(self, limit: Self, asked: Self) -> bool {
        let has = self.amounts().into_iter().zip(limit.amounts());
        let mut each = has.zip(asked.amounts());
        each.all(|((has, limit), asked)| limit == 0 || asked <= has)
    }

    /// Whether every amount is at least that of the other.
    pub(crate) fn covers(self, other: Self) -> bool {
        let (one, two) = (self.amounts(), other.amounts());
        one.into_iter().zip(two).all(|(has, asked)| asked <= has)
    }
}
