//! Lives of runners that keep their names, and which late starts nobody could keep them from.

use std::time::Duration;

use tokio::time::Instant;

use super::{
    super::instance::Runner,
    FleetState,
    MemoryFleet, //
};

/// Time within which a life that can be reached is asked, after it began or a cut was
/// healed: where the life before ended without a sign, the hold that was under way and its
/// limit, the wait after that, the way of two holds, and a write that raises the owner's token.
const UNGUARDED_TIME: Duration = Duration::from_secs(2);

impl MemoryFleet {
    /// Ends a life and begins the next one at once under the same name: it holds
    /// nothing of before, and all that it counts begins anew.
    pub fn restart(&self, name: &str) {
        self.crash(name);
        let mut state = self.state.borrow_mut();
        let started_at = state.next_start_time();
        if let Some(runner) = state.runners.get_mut(name) {
            *runner = Runner {
                cut: std::mem::take(&mut runner.cut),
                unheard: std::mem::take(&mut runner.unheard),
                label: std::mem::take(&mut runner.label),
                stop_time: runner.stop_time,
                ..Runner::begin(&runner.vm, started_at)
            };
        }
    }

    /// When a runner's life began, if it tells.
    pub fn started_at(&self, name: &str) -> Option<u64> {
        self.state.borrow().runners.get(name)?.started_at
    }

    /// Has runners that begin from now on tell when they did, or not.
    pub fn tell_births(&self, told: bool) {
        self.state.borrow_mut().start_times_hidden = !told;
    }

    /// Has runners also forget ends that come after an acknowledgement of their numbers,
    /// or only those that they have; the platform's words allow both.
    pub fn forget_ahead(&self, ahead: bool) {
        self.state.borrow_mut().acks_cover_later_ends = ahead;
    }

    /// Sets the time of day back by which runners that begin from now on tell when
    /// they did.
    pub fn set_births_back(&self, time_ms: u64) {
        self.state.borrow_mut().start_times_behind_ms = time_ms;
    }

    /// When the life that has a name began.
    pub(in crate::world) fn instance_began(&self, name: &str) -> Option<Instant> {
        let state = self.state.borrow();
        state.runners.get(name).map(|runner| runner.began)
    }

    /// Whether a life that began after an order was sent could not be asked yet, so that
    /// it refuses nothing that was ordered of the life before. Nobody can keep such an
    /// order from being carried out; from the first question on the owner's token does.
    pub(super) fn is_unguarded(&self, name: &str, sent: Instant) -> bool {
        let state = self.state.borrow();
        state.runners.get(name).is_some_and(|runner| {
            let cut = !runner.cut.is_empty() || !runner.unheard.is_empty();
            let reached = runner.began.max(runner.cut_changed_at);
            runner.began > sent && (cut || reached.elapsed() <= UNGUARDED_TIME)
        })
    }
}

impl FleetState {
    /// When a life that begins now says that it began; no two say the same.
    pub(super) fn next_start_time(&mut self) -> Option<u64> {
        self.started_instances += 1;
        let today = self.rules.unix_ms() - self.start_times_behind_ms;
        (!self.start_times_hidden).then_some(today + self.started_instances)
    }
}
