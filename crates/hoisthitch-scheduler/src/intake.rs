//! The reports by which this node admits jobs, as the owners of the pools publish them.
//!
//! [`IntakeView`] is given the reports' records as the group's followers deliver them, and returns
//! the report of a pool with its age. A report counts only while it is recent, by the time since
//! it was received and by its time of day: a node that starts may receive the report of an owner
//! that ended long ago. Without a report that counts, every job is admitted.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        }, //
    },
};

use hoisthitch_jobs::{
    IntakeDecision,
    IntakeReport,
    IntakeRequest,
    Millis,
    PoolState, //
};
use hoisthitch_store::StoredValue;
use hoisthitch_telemetry::event;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    follow::FollowEvent,
    keys::JobKeys, //
};

/// Age up to which a report is used, in milliseconds: an owner under pressure publishes one each
/// second, and a slow store takes another one.
const MAX_REPORT_AGE_MS: Millis = 2_500;

/// Difference up to which the times of day of two nodes are assumed to agree, in milliseconds.
const CLOCK_TOLERANCE_MS: Millis = 1_000;

/// A report as it is stored.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct IntakeRecord {
    /// Revision of the election of the owner that made it.
    pub(crate) epoch: u64,
    /// When it was made, in milliseconds since 1970.
    pub(crate) made_ms: u64,
    /// The report.
    pub(crate) report: IntakeReport,
}

/// How reports are made and jobs are decided on.
#[derive(Clone, Copy, Debug)]
pub struct IntakeRules {
    /// Makes the report of a pool; `coming` is the number of VMs on their way to it.
    pub report: fn(&PoolState, coming: u32, now: Millis) -> IntakeReport,
    /// Decides on a job by a report of this age.
    pub decide: for<'a> fn(&IntakeReport, &IntakeRequest<'a>, age: Millis) -> IntakeDecision,
}

impl Default for IntakeRules {
    fn default() -> Self {
        Self {
            report: PoolState::intake_report,
            decide: IntakeReport::decide,
        }
    }
}

/// The last report of a pool, and when it came.
#[derive(Debug)]
struct KnownReport {
    record: IntakeRecord,
    received_at: Millis,
    /// Whether it was logged that the report is too old.
    is_staleness_logged: AtomicBool,
}

/// What is known of a pool's reports.
#[derive(Clone, Debug, Default)]
struct PoolIntake {
    /// Highest epoch of a report so far.
    epoch: u64,
    last: Option<Arc<KnownReport>>,
}

/// A report that counts now.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CurrentReport<'a> {
    pub(crate) report: &'a IntakeReport,
    /// Time since it was made, in milliseconds.
    pub(crate) age: Millis,
    /// Epoch of the owner that made it.
    pub(crate) epoch: u64,
}

/// The last intake report of each pool.
#[derive(Clone, Debug, Default)]
pub struct IntakeView {
    pools: BTreeMap<String, PoolIntake>,
}

/// Whether a change of the group's records is about an intake report alone.
pub(crate) fn is_report_change(keys: &JobKeys, change: &FollowEvent) -> bool {
    match change {
        FollowEvent::Put(value) => keys.intake_report_of(&value.key).is_some(),
        FollowEvent::Deleted(key) => keys.intake_report_of(key).is_some(),
        FollowEvent::Snapshot(_) | FollowEvent::Progress(_) => false,
    }
}

impl IntakeView {
    /// Applies a change of the group's records.
    pub(crate) fn apply(&mut self, keys: &JobKeys, change: &FollowEvent, now: Millis) {
        match change {
            FollowEvent::Snapshot(values) => {
                let listed = values.iter();
                let listed: BTreeSet<&str> = listed
                    .filter_map(|value| keys.intake_report_of(&value.key))
                    .collect();
                for (pool, intake) in &mut self.pools {
                    if !listed.contains(pool.as_str()) {
                        intake.last = None;
                    }
                }
                for value in values {
                    self.put(keys, value, now);
                }
            }
            FollowEvent::Put(value) => self.put(keys, value, now),
            FollowEvent::Deleted(key) => {
                let pool = keys.intake_report_of(key);
                if let Some(intake) = pool.and_then(|pool| self.pools.get_mut(pool)) {
                    intake.last = None;
                }
            }
            FollowEvent::Progress(_) => {}
        }
    }

    /// Applies a record, unless it is of an earlier owner than a known one.
    fn put(&mut self, keys: &JobKeys, value: &StoredValue, now: Millis) {
        let Some(pool) = keys.intake_report_of(&value.key) else {
            return;
        };
        let record: IntakeRecord = match serde_json::from_slice(&value.value) {
            Ok(record) => record,
            Err(err) => {
                event!(Error, "intake_unreadable", pool = pool, error = err);
                if let Some(intake) = self.pools.get_mut(pool) {
                    intake.last = None;
                }
                return;
            }
        };
        let intake = self.pools.entry(pool.to_owned()).or_default();
        if record.epoch < intake.epoch {
            event!(
                Info,
                "intake_report_dropped",
                pool = pool,
                epoch = record.epoch,
                known = intake.epoch
            );
            return;
        }
        intake.epoch = record.epoch;
        // A record that is listed again is not newer for that.
        let is_known = |last: &Arc<KnownReport>| last.record == record;
        if intake.last.as_ref().is_some_and(is_known) {
            return;
        }
        intake.last = Some(Arc::new(KnownReport {
            record,
            received_at: now,
            is_staleness_logged: AtomicBool::new(false),
        }));
    }

    /// Whether the last report of a pool tells of pressure, whatever its age.
    pub(crate) fn tells_of_pressure(&self, pool: &str) -> bool {
        let last = self.pools.get(pool).and_then(|intake| intake.last.as_ref());
        last.is_some_and(|last| !last.record.report.loads.is_empty())
    }

    /// The report of a pool, if it is recent. `unix_ms` is the time of day.
    pub(crate) fn current(
        &self,
        pool: &str,
        now: Millis,
        unix_ms: u64,
    ) -> Option<CurrentReport<'_>> {
        let last = self.pools.get(pool)?.last.as_ref()?;
        let record = &last.record;
        // What the times of day prove: clocks may differ by the tolerance.
        let proven_age = unix_ms.saturating_sub(record.made_ms.saturating_add(CLOCK_TOLERANCE_MS));
        let age = now.saturating_sub(last.received_at).max(proven_age);
        // The age of a report from the future can't be told.
        let ahead = record.made_ms.saturating_sub(unix_ms);
        if age <= MAX_REPORT_AGE_MS && ahead <= CLOCK_TOLERANCE_MS {
            return Some(CurrentReport {
                report: &record.report,
                age,
                epoch: record.epoch,
            });
        }
        let is_pressed = !record.report.loads.is_empty();
        if is_pressed && !last.is_staleness_logged.swap(true, Ordering::Relaxed) {
            event!(
                Warn,
                "intake_report_stale",
                pool = pool,
                epoch = record.epoch,
                age_ms = age,
                ahead_ms = ahead
            );
        }
        None
    }
}

/// Value of `Retry-After` in whole seconds, for a caller that waits `remaining` milliseconds
/// longer: rounded up, and not beyond the caller's time unless that is under a second.
pub fn retry_after_s(retry_after_ms: Millis, remaining: Millis) -> u64 {
    let wanted = retry_after_ms.div_ceil(1_000);
    wanted.min(remaining / 1_000).max(1)
}
