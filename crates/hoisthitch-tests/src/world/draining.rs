//! Runners that have announced their own shutdown, and the checker that nothing is started on
//! them too late.

use std::time::Duration;

use tokio::time::Instant;

use super::{
    MemoryFleet,
    rules::CONTACT_TIME,
    runners::FleetState, //
};

/// Time after the acknowledged announcement of a shutdown in which tasks may still be started on
/// the runner; the platform's shortest bound.
const DRAIN_TIME: Duration = Duration::from_secs(2);

impl MemoryFleet {
    /// Records that a runner instance is listed as draining from now on.
    pub fn mark_draining(&self, name: &str) {
        if let Some(runner) = self.state.borrow_mut().runners.get_mut(name) {
            runner.draining_since.get_or_insert(Instant::now());
        }
    }

    /// Whether a runner instance is listed as draining.
    pub fn is_draining(&self, name: &str) -> bool {
        let state = self.state.borrow();
        let runner = state.runners.get(name);
        runner.is_some_and(|runner| runner.draining_since.is_some())
    }
}

impl FleetState {
    /// Checks a start that was carried out without delay, on a runner that may be draining.
    /// Where a fault may have delayed orders, the start may have been sent in time and is allowed.
    pub(super) fn check_draining(&mut self, name: &str, task: &str, now: Instant) {
        let Some(runner) = self.runners.get(name) else {
            return;
        };
        let Some(since) = runner.draining_since else {
            return;
        };
        let was_cut =
            runner.cut_changed_at > runner.began && runner.cut_changed_at + CONTACT_TIME > now;
        let held_up = !runner.cut.is_empty() || was_cut || !self.rules.is_calm(now);
        if since + DRAIN_TIME < now && !held_up {
            let late = now.duration_since(since).as_millis();
            let violation =
                format!("{task} began on {name} {late} ms after {name} announced its shutdown");
            self.violations.push(violation);
        }
    }
}
