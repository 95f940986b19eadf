//! Maintenance and data halls: VMs go down hall by hall, and nothing new goes down while a hall is
//! lost, for a bounded time.
//!
//! On where data halls are told apart. Both rules only put VMs off: a wave has to end in time, so
//! that the VMs of other halls follow at once where those of one hall can't go down yet, and the
//! whole time for which a wave waits for lost halls is limited.

use std::collections::BTreeMap;

use crate::Millis;

/// Longest time for which a wave puts off VMs because a data hall is lost, in milliseconds, over
/// all losses together: a hall is away for three to five seconds, and half of the VMs have about
/// 25 s.
pub const HALL_LOSS_WAIT_MAX_MS: Millis = 6_000;

/// How long a wave has waited for lost halls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HallLossWait {
    waited: Millis,
    /// When the wave last waited; none while no hall is lost.
    last: Option<Millis>,
}

impl HallLossWait {
    /// Whether the wave begins nothing new now.
    pub fn is_due(&mut self, any_lost: bool, now: Millis) -> bool {
        if !any_lost {
            self.last = None;
            return false;
        }
        if let Some(last) = self.last.replace(now) {
            self.waited += now.saturating_sub(last);
        }
        self.waited < HALL_LOSS_WAIT_MAX_MS
    }

    /// Time that the wave has waited so far, in milliseconds.
    pub fn waited(&self) -> Millis {
        self.waited
    }
}

/// The hall in which a wave works: the one with the most VMs that are down or about to be, by
/// name among equals; none before the first.
pub fn worked_hall<'a>(halls: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for hall in halls {
        *counts.entry(hall).or_default() += 1;
    }
    let first_of_most = counts.into_iter().rev().max_by_key(|(_, count)| *count);
    first_of_most.map(|(hall, _)| hall)
}
