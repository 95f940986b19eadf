//! Runners of an owned pool that do not answer.

use hoisthitch_jobs::Millis;
use hoisthitch_telemetry::event;

use super::PoolOwner;
use crate::platform::Platform;

impl<P: Platform> PoolOwner<P> {
    /// Looks which runners with tasks are silent, and says what is new.
    pub(super) fn look_for_silence(&mut self, now: Millis) {
        let silent = self.state.silent_runs(self.owned_since, now);
        for (runner, runs) in &silent {
            if !self.silent.contains_key(runner) {
                event!(
                    Warn,
                    "runner_silent",
                    pool = self.context.pool,
                    epoch = self.epoch,
                    runner = runner,
                    tasks = runs.tasks,
                    wait_ms = runs.until.saturating_sub(now)
                );
            }
        }
        for runner in self.silent.keys() {
            if !silent.contains_key(runner) {
                event!(
                    Info,
                    "runner_silence_over",
                    pool = self.context.pool,
                    runner = runner
                );
            }
        }
        self.silent = silent;
    }
}
