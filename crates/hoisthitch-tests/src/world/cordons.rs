//! Cordoned data halls, and the checker that nothing is started in one too late.

use std::time::Duration;

use tokio::time::Instant;

use super::{
    MemoryFleet,
    rules::CONTACT_TIME,
    runners::FleetState, //
};

/// Time after the acknowledged cordon of a hall in which tasks may still be started there: below
/// the platform's shortest bound.
const CORDON_TIME: Duration = Duration::from_secs(2);

/// Number of data halls; the VMs are in them by turns.
pub const HALLS: u16 = 3;

/// Number of a VM, from its name.
pub fn vm_number(vm: &str) -> u16 {
    vm.trim_start_matches("vm-").parse().unwrap_or(0)
}

/// Data hall of a VM.
pub fn hall_of(vm: &str) -> String {
    format!("hall-{}", vm_number(vm) % HALLS)
}

impl MemoryFleet {
    /// Records that a data hall is cordoned from now on.
    pub fn mark_cordoned(&self, hall: &str) {
        let mut state = self.state.borrow_mut();
        state
            .cordoned
            .entry(hall.to_owned())
            .or_insert_with(Instant::now);
    }

    /// Records that a data hall is not cordoned any more.
    pub fn mark_uncordoned(&self, hall: &str) {
        self.state.borrow_mut().cordoned.remove(hall);
    }
}

impl FleetState {
    /// Checks a start that was carried out without delay, on a runner that may be in a cordoned
    /// hall. Where a fault may have delayed orders, the start may have been sent in time and is
    /// allowed.
    pub(super) fn check_cordoned(&mut self, name: &str, task: &str, now: Instant) {
        let Some(runner) = self.runners.get(name) else {
            return;
        };
        let hall = hall_of(&runner.vm);
        let Some(since) = self.cordoned.get(&hall) else {
            return;
        };
        let was_cut =
            runner.cut_changed_at > runner.began && runner.cut_changed_at + CONTACT_TIME > now;
        let held_up = !runner.cut.is_empty() || was_cut || !self.rules.is_calm(now);
        if *since + CORDON_TIME < now && !held_up {
            let late = now.duration_since(*since).as_millis();
            let violation = format!("{task} began in {hall} {late} ms after it was cordoned");
            self.violations.push(violation);
        }
    }
}
