//! The steady clock of a node, in milliseconds since the process started.

use std::time::{
    SystemTime,
    UNIX_EPOCH, //
};

use hoisthitch_jobs::Millis;
use tokio::time::Instant;

/// Milliseconds since the process started, by the runtime's clock.
#[derive(Clone, Copy, Debug)]
pub struct NodeClock {
    start: Instant,
    day: DaySource,
}

/// Where a clock takes the time of day from.
#[derive(Clone, Copy, Debug)]
enum DaySource {
    /// The system's clock.
    System,
    /// The steady clock, from this time of day at the start on.
    Steady(u64),
}

/// Offset of the clock, so that no time before the start is negative.
const START_MS: Millis = 1_000_000;

impl NodeClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
            day: DaySource::System,
        }
    }

    /// A clock that starts now, whose time of day is `today_ms` now and goes on
    /// with the runtime's clock, paused or not.
    pub fn start_at(today_ms: u64) -> Self {
        Self {
            start: Instant::now(),
            day: DaySource::Steady(today_ms),
        }
    }

    /// Now.
    pub fn now(&self) -> Millis {
        START_MS + self.start.elapsed().as_millis() as Millis
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
