//! The steady clock of a node, in milliseconds since the process started.

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
use tokio::time::Instant;

/// Milliseconds since the process started, by the steady clock.
#[derive(Clone, Debug)]
pub struct NodeClock {
    start: Instant,
    day: DaySource,
    sleep: SleepSource,
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
    /// The system, whose steady clock does.
    System,
    /// A test, on the runtime's paused clock, which goes on meanwhile.
    Test(Arc<AtomicU64>),
}

/// Offset of the clock, so that no time before the start is negative.
const START_MS: Millis = 1_000_000;

impl NodeClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
            day: DaySource::System,
            sleep: SleepSource::System,
        }
    }

    /// A clock that starts now, whose time of day is `today_ms` now and goes on
    /// with the runtime's clock, paused or not; `asleep` tells for how many milliseconds its
    /// VM was suspended so far, while the runtime's clock went on.
    pub fn start_at(today_ms: u64, asleep: Arc<AtomicU64>) -> Self {
        Self {
            start: Instant::now(),
            day: DaySource::Steady(today_ms),
            sleep: SleepSource::Test(asleep),
        }
    }

    /// Now.
    pub fn now(&self) -> Millis {
        START_MS + self.steady()
    }

    /// Time since the start, but for that for which the VM was suspended.
    fn steady(&self) -> Millis {
        let elapsed = self.start.elapsed().as_millis() as Millis;
        match &self.sleep {
            SleepSource::System => elapsed,
            SleepSource::Test(asleep) => elapsed.saturating_sub(asleep.load(Ordering::Relaxed)),
        }
    }

    /// The time of day, in milliseconds since 1970.
    pub fn today_ms(&self) -> u64 {
        match self.day {
            DaySource::System => SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |time| time.as_millis() as u64),
            DaySource::Steady(first) => first + self.start.elapsed().as_millis() as u64,
        }
    }
}
