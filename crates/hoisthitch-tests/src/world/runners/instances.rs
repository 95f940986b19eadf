//! Restarts of runners that keep their names, and the late starts that a new instance can't yet
//! reject.

use std::time::Duration;

use tokio::time::Instant;

use super::{
    super::instance::Runner,
    FleetState,
    MemoryFleet, //
};

/// Time after its start, or after a cut was healed, within which a reachable instance gets a
/// heartbeat. Where the previous instance ended without a reset, this covers the heartbeat in
/// progress and its timeout, the wait after it, the travel times of two heartbeats, and the write
/// that raises the owner's fencing token.
const UNGUARDED_TIME: Duration = Duration::from_secs(2);

impl MemoryFleet {
    /// Ends an instance and starts the next one at once under the same name: it knows nothing of
    /// the previous one, and all its counts start anew.
    pub fn restart(&self, name: &str) {
        self.crash(name);
        let mut state = self.state.borrow_mut();
        let started_at = state.next_start_time();
        if let Some(runner) = state.runners.get_mut(name) {
            *runner = Runner {
                cut: std::mem::take(&mut runner.cut),
                cut_resets: runner.cut_resets,
                unanswered: std::mem::take(&mut runner.unanswered),
                label: std::mem::take(&mut runner.label),
                stop_time: runner.stop_time,
                ..Runner::begin(&runner.vm, started_at)
            };
        }
        state.trace(name, "runner_restarted", format_args!(""));
    }

    /// Start time of a runner's process in milliseconds since 1970, if the runner reports it.
    pub fn started_at(&self, name: &str) -> Option<u64> {
        self.state.borrow().runners.get(name)?.started_at
    }

    /// Sets whether runners that start from now on report their start times.
    pub fn set_start_times_reported(&self, reported: bool) {
        self.state.borrow_mut().start_times_hidden = !reported;
    }

    /// Sets whether a runner, on an acknowledgement, also discards later ends with the numbers
    /// acknowledged, or only the ends that it has; the platform's description allows both.
    pub fn set_acks_cover_later_ends(&self, covered: bool) {
        self.state.borrow_mut().acks_cover_later_ends = covered;
    }

    /// Sets back, by `time_ms` milliseconds, the clock from which runners that start from now on
    /// take their start times.
    pub fn set_start_times_back(&self, time_ms: u64) {
        self.state.borrow_mut().start_times_behind_ms = time_ms;
    }

    /// When the present instance with a name started.
    pub(in crate::world) fn instance_began(&self, name: &str) -> Option<Instant> {
        let state = self.state.borrow();
        state.runners.get(name).map(|runner| runner.began)
    }

    /// Whether an instance that started after an order was sent may not have had a heartbeat
    /// yet, so that it can't reject orders for the previous instance. Nothing prevents such an
    /// order from being carried out; from the first heartbeat on, the owner's fencing token does.
    pub(super) fn is_unguarded(&self, name: &str, sent: Instant) -> bool {
        let state = self.state.borrow();
        state.runners.get(name).is_some_and(|runner| {
            let cut = !runner.cut.is_empty() || !runner.unanswered.is_empty();
            let reached = runner.began.max(runner.cut_changed_at);
            runner.began > sent && (cut || reached.elapsed() <= UNGUARDED_TIME)
        })
    }
}

impl FleetState {
    /// Start time that an instance which starts now reports; unique to it.
    pub(super) fn next_start_time(&mut self) -> Option<u64> {
        self.started_instances += 1;
        let today = self.rules.unix_ms() - self.start_times_behind_ms;
        (!self.start_times_hidden).then_some(today + self.started_instances)
    }
}
