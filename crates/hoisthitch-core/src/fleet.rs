//! What a steward does next for a pool, from a snapshot of the fleet.
//!
//! The plan only reads. Each action is carried out by compare-and-swap that
//! checks again what the plan was based on, so that two stewards with the same
//! plan, or one that was frozen since, do no harm.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use crate::{
    hall::{
        AssignmentState,
        HallRecord,
        MaintainStep,
        VmAssignment,
        VmTask, //
    },
    permit::PermitLedger,
    table::{
        PolicyTable,
        PoolRow, //
    },
    wave::{
        WaveRecord,
        WaveState,
        wave_candidates, //
    }, //
};

/// Lost VMs of one rack at which a wave is paused.
const LOST_RACK: usize = 2;

/// A VM as the platform lists it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ObservedVm {
    /// Whether the VM runs and does not leave.
    pub live: bool,
    /// Times that the VM was started.
    pub boots: u64,
}

/// The fleet at one moment.
pub struct FleetSnapshot<'a> {
    /// The operators' table.
    pub table: &'a PolicyTable,
    /// Hall records by data hall.
    pub halls: &'a BTreeMap<String, HallRecord>,
    /// Permit ledgers by pool.
    pub ledgers: &'a BTreeMap<String, PermitLedger>,
    /// Waves.
    pub waves: &'a [WaveRecord],
    /// VMs that the platform lists.
    pub listed: &'a BTreeMap<String, ObservedVm>,
}

/// A VM, and the state that an action was planned on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmTarget {
    /// Data hall of the VM.
    pub hall: String,
    /// Name of the VM.
    pub vm: String,
    /// Fence of the VM's assignment; an action on another one is dropped.
    pub fence: u64,
}

/// What a steward does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FleetAction {
    /// Returns a permit whose VM is not absent under it.
    WithdrawPermit {
        /// Pool of the permit.
        pool: String,
        /// VM of the permit.
        target: VmTarget,
    },
    /// Takes a permit and has a VM's requests end, for a task.
    BeginLeave {
        /// Pool that holds the VM.
        pool: String,
        /// The VM.
        target: VmTarget,
        /// What the VM leaves for.
        task: VmTask,
    },
    /// Gives a VM that is empty everywhere to another pool.
    FinishMove {
        /// Pool that held the VM.
        pool: String,
        /// The VM.
        target: VmTarget,
        /// Pool that gets it.
        to: String,
    },
    /// Reboots a VM that is empty everywhere.
    BeginReboot {
        /// The VM.
        target: VmTarget,
        /// Name of the wave.
        wave: String,
        /// Boots before the reboot.
        boots: u64,
    },
    /// Asks for a reboot again, since the platform has not begun it.
    RepeatReboot {
        /// The VM.
        target: VmTarget,
        /// Boots before the reboot.
        boots: u64,
    },
    /// Returns a VM that was rebooted to its pool.
    EndMaintenance {
        /// Pool that holds the VM.
        pool: String,
        /// The VM.
        target: VmTarget,
        /// Name of the wave.
        wave: String,
    },
    /// Pauses a wave.
    PauseWave {
        /// Name of the wave.
        wave: String,
        /// Why.
        reason: String,
    },
}

/// Plans what a steward does next for a pool.
pub fn plan_pool(snapshot: &FleetSnapshot<'_>, row: &PoolRow) -> Vec<FleetAction> {
    let planner = PoolPlanner {
        snapshot,
        row,
        lost: lost_vms(snapshot, &row.name),
    };
    let mut actions = planner.withdrawals();
    actions.extend(planner.continuations());
    actions.extend(planner.moves());
    actions.extend(planner.drains());
    actions
}

/// VMs of a pool that are absent without being planned.
pub fn lost_vms(snapshot: &FleetSnapshot<'_>, pool: &str) -> BTreeSet<String> {
    assignments(snapshot, pool)
        .filter(|(_, assignment)| assignment.state == AssignmentState::Serving)
        .filter(|(_, assignment)| !is_live(snapshot, &assignment.vm))
        .map(|(_, assignment)| assignment.vm.clone())
        .collect()
}

struct PoolPlanner<'a> {
    snapshot: &'a FleetSnapshot<'a>,
    row: &'a PoolRow,
    lost: BTreeSet<String>,
}

impl PoolPlanner<'_> {
    fn withdrawals(&self) -> Vec<FleetAction> {
        let permits = self.ledger().into_iter().flat_map(|ledger| &ledger.permits);
        permits
            .filter_map(|permit| {
                let hall = self.snapshot.halls.get(&permit.hall)?;
                let assignment = hall.find(&permit.vm);
                let leaves = assignment.is_some_and(|found| {
                    found.pool == self.row.name && found.state == AssignmentState::Leaving
                });
                (!leaves).then(|| FleetAction::WithdrawPermit {
                    pool: self.row.name.clone(),
                    target: VmTarget {
                        hall: permit.hall.clone(),
                        vm: permit.vm.clone(),
                        fence: assignment.map_or(0, |found| found.fence),
                    },
                })
            })
            .collect()
    }

    fn continuations(&self) -> Vec<FleetAction> {
        assignments(self.snapshot, &self.row.name)
            .filter(|(_, assignment)| assignment.state == AssignmentState::Leaving)
            .filter_map(|(hall, assignment)| self.continuation(hall, assignment))
            .collect()
    }

    fn continuation(&self, hall: &str, assignment: &VmAssignment) -> Option<FleetAction> {
        let target = target(hall, assignment);
        let pool = self.row.name.clone();
        match assignment.task.as_ref()? {
            VmTask::Move { to } => {
                let to = to.clone();
                Some(FleetAction::FinishMove { pool, target, to })
            }
            VmTask::Maintain { wave, step } => {
                let wave = wave.clone();
                let seen = self.snapshot.listed.get(&assignment.vm).copied();
                match (*step, seen) {
                    (MaintainStep::Drain, Some(seen)) => Some(FleetAction::BeginReboot {
                        target,
                        wave,
                        boots: seen.boots,
                    }),
                    (MaintainStep::Reboot { .. }, Some(seen)) if !seen.live => None,
                    (MaintainStep::Reboot { boots }, Some(seen)) if seen.boots > boots => {
                        Some(FleetAction::EndMaintenance { pool, target, wave })
                    }
                    (MaintainStep::Reboot { boots }, Some(_)) => {
                        Some(FleetAction::RepeatReboot { target, boots })
                    }
                    // A VM that is not listed is waited for, under its permit.
                    (_, None) => None,
                }
            }
        }
    }

    fn moves(&self) -> Vec<FleetAction> {
        let held = assignments(self.snapshot, &self.row.name).count();
        let spare = held.saturating_sub(self.row.min_vms as usize);
        let mut room = spare.min(self.room());
        let mut actions = Vec::new();
        for (hall, assignment) in assignments(self.snapshot, &self.row.name) {
            let wanted = assignment.state == AssignmentState::Serving && self.may_begin(assignment);
            if let Some(task @ VmTask::Move { .. }) = &assignment.task
                && wanted
                && room > 0
            {
                room -= 1;
                actions.push(self.begin(hall, assignment, task.clone()));
            }
        }
        actions
    }

    fn drains(&self) -> Vec<FleetAction> {
        let mut room = self.room();
        let mut actions = Vec::new();
        let running = self.snapshot.waves.iter();
        for wave in running.filter(|wave| wave.state == WaveState::Running) {
            if !wave.covers(&self.row.name) {
                continue;
            }
            if let Some(rack) = self.lost_rack() {
                actions.push(FleetAction::PauseWave {
                    wave: wave.name.clone(),
                    reason: format!("rack {rack} lost several VMs of pool {}", self.row.name),
                });
                continue;
            }
            let halls = self.snapshot.halls.values();
            for candidate in wave_candidates(wave, &self.row.name, halls) {
                if room == 0 {
                    break;
                }
                if !self.may_begin(candidate.assignment) {
                    continue;
                }
                room -= 1;
                let task = VmTask::Maintain {
                    wave: wave.name.clone(),
                    step: MaintainStep::Drain,
                };
                actions.push(self.begin(candidate.hall, candidate.assignment, task));
            }
        }
        actions
    }

    fn begin(&self, hall: &str, assignment: &VmAssignment, task: VmTask) -> FleetAction {
        FleetAction::BeginLeave {
            pool: self.row.name.clone(),
            target: target(hall, assignment),
            task,
        }
    }

    /// Whether a VM may begin to leave. One with a permit is left out: its permit
    /// is withdrawn first, which raises the fence, so that what is planned on the
    /// fence before would take a permit again and fail.
    fn may_begin(&self, assignment: &VmAssignment) -> bool {
        !self
            .ledger()
            .is_some_and(|ledger| ledger.holds(&assignment.vm))
    }

    /// VMs that the budget still lets be absent.
    fn room(&self) -> usize {
        let none = PermitLedger::default();
        let absent = self.ledger().unwrap_or(&none).absent(&self.lost);
        (self.row.max_absent as usize).saturating_sub(absent)
    }

    fn ledger(&self) -> Option<&PermitLedger> {
        self.snapshot.ledgers.get(&self.row.name)
    }

    /// A rack that lost several VMs of the pool.
    fn lost_rack(&self) -> Option<String> {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for (_, assignment) in assignments(self.snapshot, &self.row.name) {
            if self.lost.contains(&assignment.vm) {
                *counts.entry(&assignment.rack).or_default() += 1;
            }
        }
        let found = counts.into_iter().find(|(_, count)| *count >= LOST_RACK);
        found.map(|(rack, _)| rack.to_owned())
    }
}

fn assignments<'a>(
    snapshot: &'a FleetSnapshot<'a>,
    pool: &'a str,
) -> impl Iterator<Item = (&'a str, &'a VmAssignment)> {
    snapshot.halls.values().flat_map(move |hall| {
        let held = hall.vms.iter();
        let held = held.filter(move |assignment| assignment.pool == pool);
        held.map(|assignment| (hall.hall.as_str(), assignment))
    })
}

fn is_live(snapshot: &FleetSnapshot<'_>, vm: &str) -> bool {
    snapshot.listed.get(vm).is_some_and(|seen| seen.live)
}

fn target(hall: &str, assignment: &VmAssignment) -> VmTarget {
    VmTarget {
        hall: hall.to_owned(),
        vm: assignment.vm.clone(),
        fence: assignment.fence,
    }
}
