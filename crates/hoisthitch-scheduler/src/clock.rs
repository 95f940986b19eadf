//! The clock of a node, in milliseconds since the process started.
//!
//! The monotonic clock stands still while the VM is suspended, but leases at the store and on
//! runners run on, and so do owners elsewhere. A node's clock therefore counts suspended time, so
//! that a node that resumes doesn't treat data as current that is seconds old. Waits use the
//! runtime's timers, which use the monotonic clock, so a suspension makes them longer.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    },
    time::{
        SystemTime,
        UNIX_EPOCH, //
    }, //
};

use hoisthitch_jobs::Millis;
use hoisthitch_telemetry::event;
use nix::{
    sys::time::TimeValLike,
    time::{
        ClockId,
        clock_gettime, //
    }, //
};
use tokio::time::Instant;

/// Shortest suspension that is counted, in milliseconds. Two clocks that are read one after the
/// other differ by less.
const MIN_SUSPEND_MS: Millis = 20;

/// Milliseconds since the process started, including those for which the VM was suspended.
#[derive(Clone, Debug)]
pub struct NodeClock {
    start: Instant,
    wall: WallSource,
    suspends: SuspendSource,
    /// Time for which the VM was suspended so far, in milliseconds.
    counted_suspended: Arc<AtomicU64>,
}

/// Source of the wall-clock time.
#[derive(Clone, Copy, Debug)]
enum WallSource {
    /// The system's clock.
    System,
    /// The monotonic clock, counted from this time at the start, in milliseconds since 1970.
    Monotonic(u64),
}

/// Source of the time for which the monotonic clock stood still.
#[derive(Clone, Debug)]
enum SuspendSource {
    /// The system's clocks. At the start, the one that counts suspended time was ahead of the
    /// monotonic one by this many milliseconds.
    System(Millis),
    /// A test's counter in milliseconds. The runtime's paused clock goes on during such a
    /// suspension.
    Test(Arc<AtomicU64>),
}

/// Number of readings of the suspended time at the start.
const START_READINGS: usize = 5;

/// Offset of the clock, so that no time before the start is negative.
const START_MS: Millis = 1_000_000;

impl SuspendSource {
    /// For how long the monotonic clock stood still since the start, in milliseconds; none where
    /// that can't be read.
    fn read(&self) -> Option<Millis> {
        match self {
            Self::System(at_start) => Some(suspended_since_boot()?.saturating_sub(*at_start)),
            Self::Test(suspended) => Some(suspended.load(Ordering::Relaxed)),
        }
    }
}

impl NodeClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
            wall: WallSource::System,
            suspends: SuspendSource::System(suspended_at_start()),
            counted_suspended: Arc::default(),
        }
    }

    /// A clock for tests that starts now. The Unix time is `unix_ms` now and advances with the
    /// runtime's clock, paused or not. `suspended` counts the milliseconds for which the VM was
    /// suspended so far, while the runtime's clock went on.
    pub fn start_for_test(unix_ms: u64, suspended: Arc<AtomicU64>) -> Self {
        Self {
            start: Instant::now(),
            wall: WallSource::Monotonic(unix_ms),
            suspends: SuspendSource::Test(suspended),
            counted_suspended: Arc::default(),
        }
    }

    /// The current time.
    pub fn now(&self) -> Millis {
        START_MS + self.running_ms() + self.suspended_ms()
    }

    /// Time for which the VM was suspended so far, in milliseconds.
    pub fn suspended_ms(&self) -> Millis {
        let counted = self.counted_suspended.load(Ordering::Relaxed);
        let suspended = self.suspends.read().unwrap_or(counted);
        if suspended < counted + MIN_SUSPEND_MS {
            return counted;
        }
        // Only the thread that notices a suspension first logs it.
        let logged = self
            .counted_suspended
            .fetch_max(suspended, Ordering::Relaxed);
        if logged < suspended {
            event!(
                Warn,
                "node_slept",
                slept_ms = suspended - logged,
                total_ms = suspended
            );
        }
        suspended.max(logged)
    }

    /// Time since the start, in milliseconds, without the time for which the VM was suspended.
    fn running_ms(&self) -> Millis {
        let elapsed = self.start.elapsed().as_millis() as Millis;
        match &self.suspends {
            SuspendSource::System(_) => elapsed,
            SuspendSource::Test(suspended) => {
                elapsed.saturating_sub(suspended.load(Ordering::Relaxed))
            }
        }
    }

    /// The Unix time, in milliseconds since 1970.
    pub fn unix_ms(&self) -> u64 {
        match self.wall {
            WallSource::System => SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |time| time.as_millis() as u64),
            WallSource::Monotonic(first) => first + self.start.elapsed().as_millis() as u64,
        }
    }
}

/// For how long the system had been suspended when the process started, in milliseconds. It is the
/// largest of some readings, since what a reading misses would later count as a suspension.
fn suspended_at_start() -> Millis {
    let readings = (0..START_READINGS).filter_map(|_| suspended_since_boot());
    readings.max().unwrap_or(0)
}

/// For how long the system was suspended since it booted, in milliseconds, or a little less; none
/// where that can't be read.
fn suspended_since_boot() -> Option<Millis> {
    // In this order, a delay of the process between the two readings doesn't count as a
    // suspension.
    let boottime = clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?;
    let monotonic = clock_gettime(ClockId::CLOCK_MONOTONIC).ok()?;
    let ahead = boottime - monotonic;
    Millis::try_from(ahead.num_milliseconds()).ok()
}
