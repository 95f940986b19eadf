//! Slot shares: each slot of each runner belongs to the share of exactly one
//! entry.

use hoisthitch_core::EntryShare;
use quickcheck::quickcheck;

/// Largest number of entries in a case.
const ENTRIES: usize = 12;

quickcheck! {
    fn shares_by_demand_add_up(demands: Vec<u16>, runner: u16, slots: u8) -> bool {
        let demands: Vec<u32> = demands.into_iter().take(ENTRIES).map(u32::from).collect();
        if demands.is_empty() {
            return true;
        }
        let runner = format!("vm-{runner}");
        let slots = u32::from(slots);
        let shares = (0..demands.len()).map(|own| EntryShare::by_demand(&demands, own, 0));
        shares.map(|share| share.slots_of(&runner, slots)).sum::<u32>() == slots
    }

    fn even_shares_add_up(count: u8, runner: u16, slots: u8) -> bool {
        let count = usize::from(count) % ENTRIES + 1;
        let runner = format!("vm-{runner}");
        let slots = u32::from(slots);
        let shares = (0..count).map(|own| EntryShare::even(count, own));
        shares.map(|share| share.slots_of(&runner, slots)).sum::<u32>() == slots
    }
}

#[test]
fn busy_entry_gets_most_of_a_pool() {
    let demands = [60, 1, 1, 1, 1, 1];
    let share = EntryShare::by_demand(&demands, 0, 80);
    let total: u32 = (0..10).map(|n| share.slots_of(&format!("vm-{n}"), 8)).sum();
    assert!(total > 50, "{total} of 80");
}

#[test]
fn slots_are_not_divided_at_low_demand() {
    let demands = [10, 0, 0];
    for own in 0..demands.len() {
        let share = EntryShare::by_demand(&demands, own, 80);
        assert_eq!(share, EntryShare::WHOLE);
    }
}
