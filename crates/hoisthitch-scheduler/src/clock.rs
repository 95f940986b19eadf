//! The clock of a node, in milliseconds since the process started.
//!
//! The steady clock stands still while a VM is suspended; leases at the store and on runners
//! do not, nor do owners elsewhere. A node's clock counts that time, so that a node that
//! wakes takes nothing for fresh that is seconds old. What the node waits for goes by the
//! runtime's timers, which go by the steady clock: it waits the longer for it.

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

/// Time that the process slept from which it counts, in milliseconds: two clocks that are
/// read one after the other differ by less.
const SLEEP_LEAST_MS: Millis = 20;

/// Milliseconds since the process started, with those for which it was suspended.
#[derive(Clone, Debug)]
pub struct NodeClock {
    start: Instant,
    day: DaySource,
    sleep: SleepSource,
    /// Time for which the VM was suspended so far, in milliseconds.
    suspended_ms: Arc<AtomicU64>,
}

/// Where a clock takes the time of day from.
#[derive(Clone, Copy, Debug)]
enum DaySource {
    /// The system's clock.
    System,
    /// The steady clock, from this time of day at the start on.
    Steady(u64),
}

/// Where a clock learns for how long the steady clock stood still.
#[derive(Clone, Debug)]
enum SleepSource {
    /// The system's clocks: the one that counts such time was that far ahead of the steady
    /// one at the start, in milliseconds.
    System(Millis),
    /// A test, on the runtime's paused clock, which goes on meanwhile.
    Test(Arc<AtomicU64>),
}

/// Readings of the time asleep at the start.
const START_READINGS: usize = 5;

/// Offset of the clock, so that no time before the start is negative.
const START_MS: Millis = 1_000_000;

impl SleepSource {
    /// For how long the steady clock stood still since the start, in milliseconds; none
    /// where that can't be read.
    fn read(&self) -> Option<Millis> {
        match self {
            Self::System(at_start) => Some(asleep_since_boot()?.saturating_sub(*at_start)),
            Self::Test(asleep) => Some(asleep.load(Ordering::Relaxed)),
        }
    }
}

impl NodeClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
            day: DaySource::System,
            sleep: SleepSource::System(asleep_at_start()),
            suspended_ms: Arc::default(),
        }
    }

    /// A clock that starts now, whose time of day is `unix_ms` now and goes on
    /// with the runtime's clock, paused or not; `asleep` tells for how many milliseconds its
    /// VM was suspended so far, while the runtime's clock went on.
    pub fn start_for_test(unix_ms: u64, asleep: Arc<AtomicU64>) -> Self {
        Self {
            start: Instant::now(),
            day: DaySource::Steady(unix_ms),
            sleep: SleepSource::Test(asleep),
            suspended_ms: Arc::default(),
        }
    }

    /// Now.
    pub fn now(&self) -> Millis {
        START_MS + self.steady() + self.suspended_ms()
    }

    /// Time for which the VM was suspended so far, in milliseconds.
    pub fn suspended_ms(&self) -> Millis {
        let before = self.suspended_ms.load(Ordering::Relaxed);
        let asleep = self.sleep.read().unwrap_or(before);
        if asleep < before + SLEEP_LEAST_MS {
            return before;
        }
        // Whoever notices first tells.
        let told = self.suspended_ms.fetch_max(asleep, Ordering::Relaxed);
        if told < asleep {
            event!(
                Warn,
                "node_slept",
                slept_ms = asleep - told,
                total_ms = asleep
            );
        }
        asleep.max(told)
    }

    /// Time since the start, but for that for which the VM was suspended.
    fn steady(&self) -> Millis {
        let elapsed = self.start.elapsed().as_millis() as Millis;
        match &self.sleep {
            SleepSource::System(_) => elapsed,
            SleepSource::Test(asleep) => elapsed.saturating_sub(asleep.load(Ordering::Relaxed)),
        }
    }

    /// The time of day, in milliseconds since 1970.
    pub fn unix_ms(&self) -> u64 {
        match self.day {
            DaySource::System => SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |time| time.as_millis() as u64),
            DaySource::Steady(first) => first + self.start.elapsed().as_millis() as u64,
        }
    }
}

/// For how long the system was asleep when the process started, in milliseconds: the most of
/// some readings, for what they miss would be taken for sleep later.
fn asleep_at_start() -> Millis {
    let readings = (0..START_READINGS).filter_map(|_| asleep_since_boot());
    readings.max().unwrap_or(0)
}

/// For how long the system was asleep since it booted, in milliseconds, or a little less;
/// none where that can't be read.
fn asleep_since_boot() -> Option<Millis> {
    // A process that is held up between the two readings must not take that for sleep.
    let counted = clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?;
    let steady = clock_gettime(ClockId::CLOCK_MONOTONIC).ok()?;
    let ahead = counted - steady;
    Millis::try_from(ahead.num_milliseconds()).ok()
}
