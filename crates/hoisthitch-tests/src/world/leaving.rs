//! Runners that say that they leave, and the judge of starts that come too late.

use std::time::Duration;

use tokio::time::Instant;

use super::{
    MemoryFleet,
    rules::CONTACT_TIME,
    runners::FleetState, //
};

/// Time from the acknowledgement that a runner leaves until nothing is started on it any more;
/// the platform's shortest bound.
const DRAIN_TIME: Duration = Duration::from_secs(2);

impl MemoryFleet {
    /// Notes that a runner's life is listed as leaving from now on.
    pub fn note_leaving(&self, name: &str) {
        if let Some(runner) = self.state.borrow_mut().runners.get_mut(name) {
            runner.draining_since.get_or_insert(Instant::now());
        }
    }

    /// Whether a runner's life is listed as leaving.
    pub fn is_leaving(&self, name: &str) -> bool {
        let state = self.state.borrow();
        let runner = state.runners.get(name);
        runner.is_some_and(|runner| runner.draining_since.is_some())
    }
}

impl FleetState {
    /// Judges a start that was carried out at once, on a runner that may have said that it
    /// leaves. Where something held orders up, it may have been sent in time.
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
            let broken = format!("{task} began on {name} {late} ms after that said that it leaves");
            self.broken.push(broken);
        }
    }
}
