//! Trace of the calls that reached the simulated runners: for each call when it arrived, at
//! which instance, and what it changed there.
//!
//! A call that the network delayed may reach a later instance than the one it was sent to. Only
//! the receiving end shows that, so the logs of the nodes are not enough to explain a violation.

use std::{
    collections::VecDeque,
    fmt,
    time::SystemTime, //
};

use hoisthitch_scheduler::platform::HeartbeatRequest;
use hoisthitch_telemetry::log;

use super::{
    MemoryFleet,
    instance::Runner,
    runners::FleetState, //
};

/// Number of lines that are kept; the oldest ones are dropped.
const LINES_MAX: usize = 50_000;

/// A line of the trace, with the time of day at which it was recorded.
type TraceLine = (SystemTime, String);

/// The latest calls to all runners of a fleet.
#[derive(Default)]
pub(super) struct CallTrace {
    lines: VecDeque<TraceLine>,
}

impl CallTrace {
    fn add(&mut self, line: String) {
        log::info!(target: "hoisthitch_tests", "{line}");
        if self.lines.len() == LINES_MAX {
            self.lines.pop_front();
        }
        self.lines.push_back((SystemTime::now(), line));
    }
}

/// Name and start time of an instance, as nodes log it.
struct InstanceName<'a>(&'a str, &'a Runner);

impl fmt::Display for InstanceName<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self(name, runner) = self;
        match runner.started_at {
            Some(started_at) => write!(f, "{name}@{started_at}"),
            None => f.write_str(name),
        }
    }
}

impl FleetState {
    /// Records a call, or another event, of a runner's present instance.
    pub(super) fn trace(&mut self, name: &str, event: &str, fields: fmt::Arguments<'_>) {
        let Some(runner) = self.runners.get(name) else {
            return;
        };
        let (instance, fence) = (InstanceName(name, runner), runner.fence);
        let line = format!("event={event} runner={instance} fence={fence} {fields}");
        self.trace.add(line);
    }
}

impl FleetState {
    /// Records a heartbeat, unless it is like the one before: it was sent under another token
    /// than the last call, or acknowledges ends that no heartbeat has acknowledged yet.
    pub(super) fn trace_heartbeat(&mut self, name: &str, request: HeartbeatRequest) {
        let Some(runner) = self.runners.get(name) else {
            return;
        };
        let (token, acked) = (request.token, request.acked_end);
        if token == runner.fence && acked <= runner.acked_end {
            return;
        }
        let (alive, last_end) = (runner.alive, runner.last_end);
        let ends = runner.ended.iter().filter(|end| end.number <= acked);
        let ends: Vec<String> = ends
            .map(|end| format!("{}:{}:{}:{:?}", end.number, end.name, end.run, end.kind))
            .collect();
        let ends = ends.join(",");
        let fields = format_args!(
            "token={token} acked={acked} last_end={last_end} alive={alive} ends={ends}"
        );
        self.trace(name, "heartbeat_arrived", fields);
    }
}

impl MemoryFleet {
    /// The trace, one event on a line, each with the time of day.
    pub fn trace_text(&self) -> String {
        let state = self.state.borrow();
        let lines = state.trace.lines.iter().map(|(time, line)| {
            let time = humantime::format_rfc3339_millis(*time);
            format!("time={time} process=runners {line}\n")
        });
        lines.collect()
    }
}
