//! Room of runners, which may change while they run, and the judge of starts that go
//! over it. The runners in memory start whatever they are told.

use std::time::Duration;

use hoisthitch_jobs::{
    ResourceAmounts,
    StepSpec,
    TaskName, //
};
use tokio::time::Instant;

use super::{
    MemoryFleet,
    instance::Runner,
    runners::FleetState, //
};

/// Room of a runner that was told of no other.
pub const ROOM: ResourceAmounts = ResourceAmounts {
    cpu_milli: 8_000,
    memory_mb: 32_000,
    gpus: 0,
};

/// Time after which a room that has shrunk counts: three seconds and a beat.
const SHRINK_TIME: Duration = Duration::from_millis(4_500);

/// A room, and since when a runner says it.
#[derive(Clone, Copy, Debug)]
pub(super) struct TimedCapacity {
    room: ResourceAmounts,
    since: Instant,
}

impl TimedCapacity {
    pub(super) fn usual() -> Self {
        Self {
            room: ROOM,
            since: Instant::now(),
        }
    }
}

impl MemoryFleet {
    /// Changes a runner's room; its record is to be written then.
    pub fn set_room(&self, name: &str, room: ResourceAmounts) {
        if let Some(runner) = self.state.borrow_mut().runners.get_mut(name) {
            runner.rooms.push(TimedCapacity {
                room,
                since: Instant::now(),
            });
        }
    }

    /// Room of a runner, as it says.
    pub fn room(&self, name: &str) -> ResourceAmounts {
        let state = self.state.borrow();
        let rooms = state.runners.get(name).map(|runner| &runner.rooms);
        rooms
            .and_then(|rooms| rooms.last())
            .map_or(ROOM, |last| last.room)
    }
}

impl FleetState {
    /// Judges the room of a runner after a start was carried out.
    pub(super) fn check_room(&mut self, name: &str, task: &str, now: Instant) {
        let Some(runner) = self.runners.get(name) else {
            return;
        };
        let steps = runner.running.keys();
        let steps = steps.filter_map(|task| self.rules.step_named(&TaskName::parse(task)?));
        let used = steps.fold(ResourceAmounts::default(), add);
        let room = counted_capacity(runner, now);
        if used.cpu_milli > room.cpu_milli || used.memory_mb > room.memory_mb {
            let (used, room) = (used.cpu_milli, room.cpu_milli);
            let broken = format!("{task} brought {name} to {used} thousandths of a core of {room}");
            self.broken.push(broken);
        }
    }
}

/// Room that counts: the largest of those that were in force of late.
fn counted_capacity(runner: &Runner, now: Instant) -> ResourceAmounts {
    let mut counted = ResourceAmounts::default();
    for (place, row) in runner.rooms.iter().enumerate() {
        let next = runner.rooms.get(place + 1);
        if next.is_none_or(|next| next.since + SHRINK_TIME > now) {
            counted.cpu_milli = counted.cpu_milli.max(row.room.cpu_milli);
            counted.memory_mb = counted.memory_mb.max(row.room.memory_mb);
        }
    }
    counted
}

fn add(mut used: ResourceAmounts, step: &StepSpec) -> ResourceAmounts {
    if !step.best_effort {
        used.cpu_milli += step.need.cpu_milli;
    }
    used.memory_mb += step.need.memory_mb;
    used
}
