//! The pool's part in cordoned data halls: what it has there, in the log, the metrics and the
//! store.

use std::collections::BTreeMap;

use hoisthitch_jobs::{
    CordonedLoad,
    Millis, //
};
use hoisthitch_store::SwapItem;
use hoisthitch_telemetry::event;

use super::{
    PoolOwner,
    writes::put, //
};
use crate::{
    cordons::HallCordons,
    journal::encode_record,
    platform::Platform, //
};

/// Minimum interval between two writes of what runs in cordoned halls, in milliseconds: operators
/// read it, nothing depends on it.
const REPORT_INTERVAL_MS: Millis = 1_000;

/// What the pool has in cordoned halls, by hall.
pub(crate) type CordonReport = BTreeMap<String, CordonedLoad>;

/// The report of cordoned halls that the owner has written last.
#[derive(Debug, Default)]
pub(super) struct CordonReporter {
    written: CordonReport,
    written_at: Millis,
}

impl<P: Platform> PoolOwner<P> {
    /// Logs which cordons have come into force for the pool, and which are over.
    pub(super) fn log_cordons(&self, before: &CordonReport, cordons: &HallCordons) {
        let now = self.now();
        let pool = &self.context.pool;
        for (hall, load) in self.state.cordoned_load() {
            let since = cordons.iter().find(|(name, _)| **name == hall);
            if !before.contains_key(&hall) {
                event!(
                    Info,
                    "hall_cordon_in_force",
                    pool = pool,
                    hall = hall,
                    runners = load.runners,
                    tasks = load.tasks,
                    age_ms = since.map_or(0, |(_, since)| now.saturating_sub(since))
                );
            }
        }
        for hall in before.keys().filter(|hall| !cordons.contains(hall)) {
            event!(Info, "hall_cordon_over", pool = pool, hall = hall);
        }
    }

    /// The report with times of day, which other nodes know too.
    fn in_unix_time(&self, report: &CordonReport, now: Millis) -> CordonReport {
        let unix_ms = self.context.shared.clock.unix_ms();
        let mut report = report.clone();
        for load in report.values_mut() {
            let end = load.expected_end.as_mut();
            if let Some(end) = end {
                *end = (unix_ms + *end).saturating_sub(now);
            }
        }
        report
    }

    /// The entry that tells operators what the pool still runs in cordoned halls, if that changed
    /// and a write of it is due.
    pub(super) fn cordon_item(&mut self, now: Millis) -> Option<SwapItem> {
        if now < self.cordon_reporter.written_at + REPORT_INTERVAL_MS {
            return None;
        }
        let report = self.state.cordoned_load();
        if report == self.cordon_reporter.written {
            return None;
        }
        let pool = &self.context.pool;
        let gauge = &self.context.shared.metrics.cordoned_tasks;
        for hall in self.cordon_reporter.written.keys() {
            // Fails only where the hall was never set.
            let _ = gauge.remove_label_values(&[pool, hall]);
        }
        for (hall, load) in &report {
            let tasks = i64::try_from(load.tasks).unwrap_or(i64::MAX);
            gauge.with_label_values(&[pool, hall]).set(tasks);
        }
        let item = put(
            self.context.keys.cordon_report(pool),
            encode_record(&self.in_unix_time(&report, now)),
        );
        self.cordon_reporter = CordonReporter {
            written: report,
            written_at: now,
        };
        Some(item)
    }
}
