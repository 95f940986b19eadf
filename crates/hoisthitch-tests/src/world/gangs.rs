//! Gangs on the simulated runners: the members start their work once all of them are present.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use hoisthitch_jobs::{
    EndKind,
    StartOrder, //
};
use tokio::time::Instant;

use super::{
    MemoryFleet,
    instance::GangPart,
    rules::step_name,
    runners::FleetState, //
};

/// Time for which a member waits for the others.
const GANG_WAIT: Duration = Duration::from_secs(3);

/// A member that is present: its runner and its name.
type MemberKey = (String, String);

impl FleetState {
    /// Starts the work of a gang if all its members are present.
    pub(super) fn start_complete_gang(&mut self, order: &StartOrder, now: Instant) {
        let step = step_name(order);
        let mut members: Vec<&mut GangPart> = self
            .runners
            .values_mut()
            .filter(|runner| runner.alive)
            .flat_map(|runner| runner.running.values_mut())
            .filter(|run| run.run == order.run)
            .filter_map(|run| run.gang.as_mut())
            .filter(|part| part.step == step)
            .collect();
        if members
            .first()
            .is_some_and(|part| part.size == members.len())
        {
            for part in &mut members {
                part.complete_since = Some(now);
            }
        }
    }

    /// Ends members that waited too long for the others, and those whose gang lost a member.
    pub(super) fn settle_gangs(&mut self, now: Instant) {
        let mut gangs: BTreeMap<(String, u32), Vec<MemberKey>> = BTreeMap::new();
        for (name, runner) in self.runners.iter().filter(|(_, runner)| runner.alive) {
            for (task, run) in &runner.running {
                if let Some(part) = &run.gang {
                    let members = gangs.entry((part.step.clone(), run.run)).or_default();
                    members.push((name.clone(), task.clone()));
                }
            }
        }
        for members in gangs.into_values() {
            let broken = self.is_broken(&members, now);
            for (runner, task) in members {
                self.settle_member(&runner, &task, broken, now);
            }
        }
    }

    /// Whether a gang that has started its work lost a member before the work was done.
    fn is_broken(&self, members: &[MemberKey], now: Instant) -> bool {
        members.iter().any(|(runner, task)| {
            let Some(instance) = self.runners.get(runner) else {
                return false;
            };
            let Some(run) = instance.running.get(task) else {
                return false;
            };
            let Some(part) = &run.gang else {
                return false;
            };
            let Some(since) = part.complete_since else {
                return false;
            };
            let lapsed = instance.lease <= now && instance.lease < since + run.work;
            members.len() < part.size || lapsed
        })
    }

    fn settle_member(&mut self, runner: &str, task: &str, broken: bool, now: Instant) {
        let Some(instance) = self.runners.get_mut(runner) else {
            return;
        };
        let Some(run) = instance.running.get(task).cloned() else {
            return;
        };
        let until = now.min(instance.lease);
        let whole = run.work_since().is_some();
        if whole && broken && instance.lease > now {
            instance.end(task, EndKind::GangBroken);
            self.rules.broken_runs.push((task.to_owned(), run.run));
        }
        if !whole && run.began + GANG_WAIT <= until {
            instance.end(task, EndKind::GangIncomplete);
            self.rules.alone.push((task.to_owned(), run.run));
            let job = task.split('.').next().unwrap_or_default();
            if self.rules.is_calm(run.began) && !self.cancelled.contains(job) {
                let violation =
                    format!("{task} run {} ended as its gang stayed incomplete", run.run);
                self.violations.push(violation);
            }
        }
    }
}

impl MemoryFleet {
    /// Runs that ended because other members of their gang did not start.
    pub fn incomplete_runs(&self) -> Vec<(String, u32)> {
        self.settle();
        self.state.borrow().rules.alone.clone()
    }

    /// Runs that ended because another member of their gang ended.
    pub fn broken_runs(&self) -> Vec<(String, u32)> {
        self.settle();
        self.state.borrow().rules.broken_runs.clone()
    }
}
