//! The owner's part in the slow start of runners: the figures in effect, the log and the metrics.

use hoisthitch_jobs::{
    ColdCause,
    Millis, //
};
use hoisthitch_telemetry::event;

use super::PoolOwner;
use crate::platform::Platform;

impl<P: Platform> PoolOwner<P> {
    /// Decides which runners are cold. `inherited` says whether runners that are new to this owner
    /// were listed before it took over.
    pub(super) fn update_warmth(&mut self, inherited: bool, now: Millis) {
        let pool = &self.context.pool;
        let cold_start = self.context.fleet.borrow().cold_starts.get(pool).copied();
        let unix_ms = self.context.shared.clock.unix_ms();
        self.state
            .update_warmth(cold_start, inherited, unix_ms, now);
        for change in self.state.take_warmth_changes() {
            let Some((cause, left)) = change.cold else {
                event!(Info, "runner_warm", runner = change.runner, pool = pool);
                continue;
            };
            let cause = match cause {
                ColdCause::Started => "started",
                ColdCause::Inherited => "inherited",
                ColdCause::CordonOver => "cordon_over",
            };
            self.count_event("runner_cold");
            event!(
                Info,
                "runner_cold",
                runner = change.runner,
                pool = pool,
                cause = cause,
                left_ms = left
            );
        }
    }

    /// Shows how many waiting tasks the rate of cold runners holds back.
    pub(super) fn show_held_back_starts(&mut self) {
        let held_back = self.state.held_back_starts();
        if held_back == self.shown_held_back {
            return;
        }
        self.shown_held_back = held_back;
        let gauge = &self.context.shared.metrics.held_back_starts;
        let gauge = gauge.with_label_values(&[&self.context.pool]);
        gauge.set(i64::try_from(held_back).unwrap_or(i64::MAX));
    }

    /// Removes the pool, which this node no longer owns, from the metric.
    pub(super) fn forget_cold_start(&self) {
        let gauge = &self.context.shared.metrics.held_back_starts;
        // Fails only where it was never set.
        let _ = gauge.remove_label_values(&[&self.context.pool]);
    }
}
