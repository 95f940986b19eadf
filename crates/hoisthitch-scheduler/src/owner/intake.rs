//! The owner's reports of the pool's pressure, by which all nodes admit jobs of the pool.

use hoisthitch_jobs::{
    IntakeReport,
    Millis, //
};
use hoisthitch_store::SwapItem;
use hoisthitch_telemetry::event;

use super::{
    PoolOwner,
    writes::put, //
};
use crate::{
    intake::IntakeRecord,
    journal::encode_record,
    platform::Platform, //
};

/// Minimum interval between two reports, in milliseconds. A report visits all jobs.
const REPORT_INTERVAL_MS: Millis = 500;

/// Interval at which an unchanged report is written again while the pool is under pressure, in
/// milliseconds, so that nodes can tell that its owner is there.
const REFRESH_INTERVAL_MS: Millis = 1_000;

/// Minimum interval between two log lines while the pressure lasts, in milliseconds.
const LOG_INTERVAL_MS: Millis = 1_000;

/// Time for which the number of VMs on their way is used, in milliseconds.
const COMING_VALID_MS: Millis = 3_000;

/// The report that the owner has written last.
#[derive(Debug, Default)]
pub(super) struct IntakeReporter {
    written: IntakeReport,
    written_at: Millis,
    /// When the last report was made.
    made_at: Millis,
    logged_at: Millis,
    /// Number of VMs on their way to the pool, and when that was read.
    coming: (u32, Millis),
    /// Whether the store may hold the report of an earlier owner, which tells of pressure.
    inherits_pressure: bool,
}

impl IntakeReporter {
    /// The reporter of an owner that starts; `inherits_pressure` says whether the last report of
    /// the owner before tells of pressure.
    pub(super) fn new(inherits_pressure: bool) -> Self {
        Self {
            inherits_pressure,
            ..Self::default()
        }
    }
}

/// Sums of a report, for the log and the metrics.
struct PressureSummary {
    /// Work of all teams, in thousandths of a core times milliseconds.
    work: u64,
    /// Number of teams with work.
    teams: usize,
    /// Number of teams whose part of the work is beyond the part of their weight.
    over: usize,
}

impl PressureSummary {
    #[expect(
        clippy::cast_precision_loss,
        reason = "sums of work are compared roughly"
    )]
    fn of(report: &IntakeReport) -> Self {
        let loads = || report.loads.values().flat_map(|teams| teams.values());
        let work = loads().fold(0u64, |sum, load| sum.saturating_add(load.work));
        let weight: f64 = loads().map(|load| load.weight).sum();
        let is_over = |load_work: u64, own: f64| {
            load_work as f64 * weight > work as f64 * own && weight > 0.0
        };
        Self {
            work,
            teams: loads().filter(|load| load.work > 0).count(),
            over: loads()
                .filter(|load| is_over(load.work, load.weight))
                .count(),
        }
    }
}

impl<P: Platform> PoolOwner<P> {
    /// Records how many VMs are on their way to the pool.
    pub(super) fn record_coming(&mut self, vms: u32) {
        self.intake_reporter.coming = (vms, self.now());
    }

    /// The entry with the pool's report, if a write of it is due. Nothing is written for a pool
    /// that is not under pressure, but for one report that takes the last one back.
    pub(super) fn intake_item(&mut self, now: Millis) -> Option<SwapItem> {
        let shared = &self.context.shared;
        if !shared.terms.admission_control {
            return None;
        }
        // A new owner first hears from its runners; the report of the owner before counts on.
        let since = self.intake_reporter.made_at.max(self.owner_since);
        if now < since + REPORT_INTERVAL_MS {
            return None;
        }
        let (coming, coming_at) = self.intake_reporter.coming;
        let is_coming_known = now <= coming_at + COMING_VALID_MS;
        let coming = if is_coming_known { coming } else { 0 };
        let report = (shared.intake_rules.report)(&self.state, coming, now);
        let reporter = &mut self.intake_reporter;
        reporter.made_at = now;
        let was_pressed = !reporter.written.loads.is_empty();
        let is_pressed = !report.loads.is_empty();
        let is_due = if is_pressed {
            report != reporter.written || now >= reporter.written_at + REFRESH_INTERVAL_MS
        } else {
            was_pressed || reporter.inherits_pressure
        };
        if !is_due {
            return None;
        }
        reporter.inherits_pressure = false;
        reporter.written.clone_from(&report);
        reporter.written_at = now;
        self.log_pressure(&report, was_pressed, coming, now);
        let record = IntakeRecord {
            epoch: self.epoch,
            made_ms: self.context.shared.clock.unix_ms(),
            report,
        };
        let key = self.context.keys.intake_report(&self.context.pool);
        Some(put(key, encode_record(&record)))
    }

    /// Logs the pressure when it begins and ends, and meanwhile once per [`LOG_INTERVAL_MS`].
    fn log_pressure(&mut self, report: &IntakeReport, was_pressed: bool, coming: u32, now: Millis) {
        let pool = &self.context.pool;
        let is_pressed = !report.loads.is_empty();
        let summary = PressureSummary::of(report);
        let metrics = &self.context.shared.metrics;
        let gauges = [
            (&metrics.intake_work, summary.work / 1_000),
            (&metrics.intake_capacity, report.capacity),
        ];
        for (gauge, value) in gauges {
            let value = if is_pressed { value } else { 0 };
            let value = i64::try_from(value).unwrap_or(i64::MAX);
            gauge.with_label_values(&[pool]).set(value);
        }
        let state = match (was_pressed, is_pressed) {
            (false, true) => "begins",
            (true, true) if now < self.intake_reporter.logged_at + LOG_INTERVAL_MS => return,
            (true, true) => "lasts",
            (_, false) => "ends",
        };
        self.intake_reporter.logged_at = now;
        event!(
            Info,
            "intake_pressure",
            pool = pool,
            epoch = self.epoch,
            state = state,
            wait_ms = summary.work / report.capacity.max(1),
            capacity = report.capacity,
            coming = coming,
            work = summary.work,
            teams = summary.teams,
            over = summary.over
        );
    }

    /// Removes the pool from the metrics when this node ceases to own it.
    pub(super) fn forget_pressure(&self) {
        let metrics = &self.context.shared.metrics;
        for gauge in [&metrics.intake_work, &metrics.intake_capacity] {
            // Fails only where the pool was never under pressure.
            let _ = gauge.remove_label_values(&[&self.context.pool]);
        }
    }
}
