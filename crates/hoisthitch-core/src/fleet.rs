//! Plans a steward's next actions for one pool.
//!
//! A steward is the process on an entry VM that moves VMs between pools and reboots
//! them in maintenance waves; an entry sends callers' requests to the VMs.
//!
//! [`plan_pool`] is given a snapshot of the fleet and returns a list of
//! [`FleetAction`]s. It has no side effects. Each action is carried out by
//! compare-and-swap, which checks again the state that the action was planned
//! on. Two stewards with the same plan, or a steward that was frozen after
//! planning, therefore do no harm. Actions that are planned together must not
//! invalidate each other.

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

/// Number of lost VMs of a pool in one rack at which its waves are paused.
const RACK_LOSS_PAUSE_VMS: usize = 2;

/// State of a VM as the platform lists it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ObservedVm {
    /// Whether the VM runs and is not about to be removed.
    pub live: bool,
    /// Number of times that the VM was started.
    pub boots: u64,
}

/// State of the fleet that a plan is based on.
pub struct FleetSnapshot<'a> {
    /// The operators' table.
    pub table: &'a PolicyTable,
    /// Hall records by name of the data hall.
    pub halls: &'a BTreeMap<String, HallRecord>,
    /// Permit ledgers by name of the pool.
    pub ledgers: &'a BTreeMap<String, PermitLedger>,
    /// Records of all waves.
    pub waves: &'a [WaveRecord],
    /// VMs that the platform lists, by name.
    pub listed: &'a BTreeMap<String, ObservedVm>,
}

/// A VM together with the state that an action was planned on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmTarget {
    /// Data hall of the VM.
    pub hall: String,
    /// Name of the VM.
    pub vm: String,
    /// Fencing token of the VM's assignment; the action fails if it has changed.
    pub fence: u64,
}

/// One action of a steward.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FleetAction {
    /// Releases an unused permit: its VM is not [`AssignmentState::Leaving`] in
    /// the pool.
    WithdrawPermit {
        /// Pool of the permit.
        pool: String,
        /// VM of the permit.
        target: VmTarget,
    },
    /// Takes a permit and starts to drain a VM.
    BeginLeave {
        /// Pool that holds the VM.
        pool: String,
        /// The VM.
        target: VmTarget,
        /// Why the VM is drained.
        task: VmTask,
    },
    /// Assigns a drained VM to another pool, once no entry has requests at the VM.
    FinishMove {
        /// Pool that held the VM.
        pool: String,
        /// The VM.
        target: VmTarget,
        /// Pool that the VM is assigned to.
        to: String,
    },
    /// Reboots a drained VM, once no entry has requests at the VM.
    BeginReboot {
        /// The VM.
        target: VmTarget,
        /// Name of the wave.
        wave: String,
        /// Boot count before the reboot.
        boots: u64,
    },
    /// Requests a reboot again, since the platform has not started it.
    RepeatReboot {
        /// The VM.
        target: VmTarget,
        /// Boot count before the reboot.
        boots: u64,
    },
    /// Returns a rebooted VM to its pool.
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
        /// Reason, for operators.
        reason: String,
    },
}

/// Plans a steward's next actions for a pool.
pub fn plan_pool(snapshot: &FleetSnapshot<'_>, row: &PoolRow) -> Vec<FleetAction> {
    let planner = PoolPlanner {
        snapshot,
        row,
        lost: lost_vms(snapshot, &row.name),
    };
    let mut actions = planner.permit_withdrawals();
    actions.extend(planner.drain_continuations());
    actions.extend(planner.moves());
    actions.extend(planner.wave_drains());
    actions
}

/// VMs of a pool that are absent without a plan: their assignment says that they
/// serve, but the platform does not list them as live.
pub fn lost_vms(snapshot: &FleetSnapshot<'_>, pool: &str) -> BTreeSet<String> {
    assignments(snapshot, pool)
        .filter(|(_, assignment)| assignment.state == AssignmentState::Serving)
        .filter(|(_, assignment)| !is_live(snapshot, &assignment.vm))
        .map(|(_, assignment)| assignment.vm.clone())
        .collect()
}

/// Plans the actions of one pool.
struct PoolPlanner<'a> {
    snapshot: &'a FleetSnapshot<'a>,
    row: &'a PoolRow,
    lost: BTreeSet<String>,
}

impl PoolPlanner<'_> {
    fn permit_withdrawals(&self) -> Vec<FleetAction> {
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
                    // A VM without an assignment has no fence to check.
                    target: VmTarget {
                        hall: permit.hall.clone(),
                        vm: permit.vm.clone(),
                        fence: assignment.map_or(0, |found| found.fence),
                    },
                })
            })
            .collect()
    }

    /// Next actions for the VMs that are draining or drained.
    fn drain_continuations(&self) -> Vec<FleetAction> {
        assignments(self.snapshot, &self.row.name)
            .filter(|(_, assignment)| assignment.state == AssignmentState::Leaving)
            .filter_map(|(hall, assignment)| self.continue_drain(hall, assignment))
            .collect()
    }

    fn continue_drain(&self, hall: &str, assignment: &VmAssignment) -> Option<FleetAction> {
        let target = target(hall, assignment);
        let pool = self.row.name.clone();
        match assignment.task.as_ref()? {
            VmTask::Move { to } => {
                let to = to.clone();
                Some(FleetAction::FinishMove { pool, target, to })
            }
            VmTask::Maintain { wave, step } => {
                let wave = wave.clone();
                let observed = self.snapshot.listed.get(&assignment.vm).copied();
                match (*step, observed) {
                    (MaintainStep::Drain, Some(observed)) => Some(FleetAction::BeginReboot {
                        target,
                        wave,
                        boots: observed.boots,
                    }),
                    (MaintainStep::Reboot { .. }, Some(observed)) if !observed.live => None,
                    (MaintainStep::Reboot { boots }, Some(observed)) if observed.boots > boots => {
                        Some(FleetAction::EndMaintenance { pool, target, wave })
                    }
                    (MaintainStep::Reboot { boots }, Some(_)) => {
                        Some(FleetAction::RepeatReboot { target, boots })
                    }
                    // The VM is not listed. It keeps its permit until it is.
                    (_, None) => None,
                }
            }
        }
    }

    /// Drains for moves to other pools, as far as the pool keeps its least number
    /// of VMs and the availability budget allows them.
    fn moves(&self) -> Vec<FleetAction> {
        let held = assignments(self.snapshot, &self.row.name).count();
        let spare = held.saturating_sub(self.row.min_vms as usize);
        let mut headroom = spare.min(self.absence_headroom());
        let mut actions = Vec::new();
        for (hall, assignment) in assignments(self.snapshot, &self.row.name) {
            let may_move =
                assignment.state == AssignmentState::Serving && self.may_drain(assignment);
            if let Some(task @ VmTask::Move { .. }) = &assignment.task
                && may_move
                && headroom > 0
            {
                headroom -= 1;
                actions.push(self.begin_drain(hall, assignment, task.clone()));
            }
        }
        actions
    }

    /// Drains for maintenance waves, as far as the availability budget allows
    /// them; waves are paused instead after losses in one rack.
    fn wave_drains(&self) -> Vec<FleetAction> {
        let mut headroom = self.absence_headroom();
        let mut actions = Vec::new();
        let running = self.snapshot.waves.iter();
        for wave in running.filter(|wave| wave.state == WaveState::Running) {
            if !wave.covers(&self.row.name) {
                continue;
            }
            if let Some(rack) = self.rack_with_losses() {
                actions.push(FleetAction::PauseWave {
                    wave: wave.name.clone(),
                    reason: format!("rack {rack} lost several VMs of pool {}", self.row.name),
                });
                continue;
            }
            let halls = self.snapshot.halls.values();
            for candidate in wave_candidates(wave, &self.row.name, halls) {
                if headroom == 0 {
                    break;
                }
                if !self.may_drain(candidate.assignment) {
                    continue;
                }
                headroom -= 1;
                let task = VmTask::Maintain {
                    wave: wave.name.clone(),
                    step: MaintainStep::Drain,
                };
                actions.push(self.begin_drain(candidate.hall, candidate.assignment, task));
            }
        }
        actions
    }

    fn begin_drain(&self, hall: &str, assignment: &VmAssignment, task: VmTask) -> FleetAction {
        FleetAction::BeginLeave {
            pool: self.row.name.clone(),
            target: target(hall, assignment),
            task,
        }
    }

    /// Whether a drain of the VM may be planned.
    ///
    /// Not while the VM has a permit. That permit is withdrawn first, which raises
    /// the fence; a drain planned on the fence before would take a permit again
    /// and then fail.
    fn may_drain(&self, assignment: &VmAssignment) -> bool {
        !self
            .ledger()
            .is_some_and(|ledger| ledger.holds(&assignment.vm))
    }

    /// Number of VMs that may still become absent within the availability budget.
    /// Moves and waves are each planned within all of it; a drain that exceeds the
    /// budget gets no permit when it is carried out.
    fn absence_headroom(&self) -> usize {
        let none = PermitLedger::default();
        let absent = self.ledger().unwrap_or(&none).absent(&self.lost);
        (self.row.max_absent as usize).saturating_sub(absent)
    }

    fn ledger(&self) -> Option<&PermitLedger> {
        self.snapshot.ledgers.get(&self.row.name)
    }

    /// A rack with [`RACK_LOSS_PAUSE_VMS`] or more lost VMs of the pool.
    fn rack_with_losses(&self) -> Option<String> {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for (_, assignment) in assignments(self.snapshot, &self.row.name) {
            if self.lost.contains(&assignment.vm) {
                *counts.entry(&assignment.rack).or_default() += 1;
            }
        }
        let found = counts
            .into_iter()
            .find(|(_, count)| *count >= RACK_LOSS_PAUSE_VMS);
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
    snapshot
        .listed
        .get(vm)
        .is_some_and(|observed| observed.live)
}

fn target(hall: &str, assignment: &VmAssignment) -> VmTarget {
    VmTarget {
        hall: hall.to_owned(),
        vm: assignment.vm.clone(),
        fence: assignment.fence,
    }
}
