//! Fixed split of a runner's slots among entries.

use crate::rank::hash_name;

/// Slots of `runner` that belong to the entry at `position` of `entries`.
///
/// The shares of all entries add up to `slots`. The remainder starts at an
/// offset derived from the runner's name, so that no entry collects all the
/// remainders of a pool.
pub fn fixed_share(runner: &str, slots: u32, position: usize, entries: usize) -> u32 {
    if entries == 0 || position >= entries {
        return 0;
    }
    let count = entries as u64;
    let base = u64::from(slots) / count;
    let remainder = u64::from(slots) % count;
    let offset = hash_name(runner) % count;
    let turn = (position as u64 + count - offset) % count;
    let extra = u64::from(turn < remainder);
    // CAST: the share is at most `slots`, which is a `u32`.
    (base + extra) as u32
}
