//! Running times of a task before the crashes of its runners, grouped by likeness.
//!
//! A task that crashes its runners mostly does so after the same running time, while runners
//! that are lost for other reasons are lost at any time of its runs. Only crashes that showed by
//! reset connections are given, since their times are known to a few milliseconds.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    Millis,
    record::is_default, //
};

/// Greatest difference of running times in a group, in milliseconds: the travel times of a
/// start's answer and of the reset.
const GROUP_WIDTH_MS: Millis = 40;

/// The same as a part of the shortest running time: one in this many.
const GROUP_WIDTH_DIVISOR: Millis = 20;

/// Number of alike crashes that make a pattern.
const PATTERN_CRASHES: u32 = 3;

/// The largest group of alike running times, and a second one that may become larger: a runner
/// may also be lost for another reason between two crashes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub(crate) struct CrashPattern {
    #[serde(rename = "m", skip_serializing_if = "is_default")]
    main: CrashGroup,
    #[serde(rename = "o", skip_serializing_if = "is_default")]
    other: CrashGroup,
    /// Number of all crashes.
    #[serde(rename = "n", skip_serializing_if = "is_default")]
    crashes: u32,
}

/// Crashes after alike running times.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
struct CrashGroup {
    /// Shortest running time, in milliseconds.
    #[serde(rename = "s", skip_serializing_if = "is_default")]
    shortest: Millis,
    /// Longest running time, in milliseconds.
    #[serde(rename = "l", skip_serializing_if = "is_default")]
    longest: Millis,
    /// Number of crashes.
    #[serde(rename = "n", skip_serializing_if = "is_default")]
    crashes: u32,
    /// Those of them in isolation.
    #[serde(rename = "i", skip_serializing_if = "is_default")]
    isolated: u32,
}

impl CrashPattern {
    /// Adds a crash after a running time.
    pub(crate) fn add(&mut self, ran: Millis, isolated: bool) {
        self.crashes += 1;
        if !self.main.add(ran, isolated) && !self.other.add(ran, isolated) {
            self.other = CrashGroup::default();
            self.other.add(ran, isolated);
        }
        if self.other.crashes > self.main.crashes {
            std::mem::swap(&mut self.main, &mut self.other);
        }
    }

    /// Running time after which the task crashes its runners, in milliseconds; none unless most
    /// crashes came after it, and one of them without other tasks on the runner.
    pub(crate) fn crash_time(&self) -> Option<Millis> {
        let main = self.main;
        let is_most = main.crashes >= PATTERN_CRASHES && 2 * main.crashes > self.crashes;
        (is_most && main.isolated > 0).then_some(main.longest)
    }
}

impl CrashGroup {
    /// Adds a crash if its running time is like the others; returns whether it is.
    fn add(&mut self, ran: Millis, isolated: bool) -> bool {
        let (shortest, longest) = if self.crashes == 0 {
            (ran, ran)
        } else {
            (self.shortest.min(ran), self.longest.max(ran))
        };
        if longest - shortest > GROUP_WIDTH_MS.max(shortest / GROUP_WIDTH_DIVISOR) {
            return false;
        }
        *self = Self {
            shortest,
            longest,
            crashes: self.crashes + 1,
            isolated: self.isolated + u32::from(isolated),
        };
        true
    }
}
