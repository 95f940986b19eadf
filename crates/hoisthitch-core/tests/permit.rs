//! Invariants of permits and fences over random interleavings of stewards. Each
//! write is one atomic step; a steward may pause for any time between two of its
//! writes, or stop.
//!
//! After each step, every VM in the state `Leaving` must have a permit, and there
//! must not be more permits than the budget.

use std::{
    collections::BTreeSet,
    net::SocketAddr, //
};

use hoisthitch_core::{
    AbsencePermit,
    AssignmentState,
    HallRecord,
    MaintainStep,
    PermitLedger,
    VmAssignment,
    VmTask, //
};
use quickcheck::{
    Arbitrary,
    Gen,
    QuickCheck, //
};

/// Number of VMs of the pool.
const VMS: usize = 4;

/// Largest number of VMs that may be absent.
const BUDGET: usize = 2;

/// Number of stewards.
const STEWARDS: usize = 3;

/// Number of random histories that are run.
const HISTORIES: u64 = 2_000;

/// One step of a history.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A steward reads the records and plans an action for a VM.
    Plan { steward: usize, vm: usize },
    /// A steward carries out the next write of its plan.
    Write { steward: usize },
    /// A steward is killed and restarts without a plan.
    Kill { steward: usize },
    /// A VM is lost or returns.
    Lose { vm: usize, lost: bool },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let steward = usize::arbitrary(g) % STEWARDS;
        let vm = usize::arbitrary(g) % VMS;
        match u8::arbitrary(g) % 16 {
            0..=5 => Self::Plan { steward, vm },
            6..=13 => Self::Write { steward },
            14 => Self::Kill { steward },
            _ => Self::Lose {
                vm,
                lost: bool::arbitrary(g),
            },
        }
    }
}

/// A plan with the state that it is based on, and its next write.
#[derive(Clone, Debug)]
struct Plan {
    vm: String,
    fence: u64,
    permit: Option<u64>,
    lost: BTreeSet<String>,
    next: Write,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Write {
    TakePermit,
    BeginLeave,
    EndMaintenance,
    VoidPlans,
    GiveBack,
}

/// The records in the store, the lost VMs and the plans of the stewards.
struct Fleet {
    hall: HallRecord,
    ledger: PermitLedger,
    lost: BTreeSet<String>,
    plans: Vec<Option<Plan>>,
    operations: u64,
}

impl Fleet {
    fn new() -> Self {
        let mut hall = HallRecord::new("athens");
        hall.vms = (0..VMS).map(assignment).collect();
        Self {
            hall,
            ledger: PermitLedger::new("quotes"),
            lost: BTreeSet::new(),
            plans: vec![None; STEWARDS],
            operations: 0,
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Plan { steward, vm } => self.plans[steward] = Some(self.plan(vm)),
            Step::Write { steward } => {
                if let Some(plan) = self.plans[steward].take() {
                    self.plans[steward] = self.write(plan);
                }
            }
            Step::Kill { steward } => self.plans[steward] = None,
            Step::Lose { vm, lost: true } => {
                self.lost.insert(name(vm));
            }
            Step::Lose { vm, lost: false } => {
                self.lost.remove(&name(vm));
            }
        }
    }

    /// Plans the same action for a VM as `plan_pool`.
    fn plan(&self, vm: usize) -> Plan {
        let vm = name(vm);
        let assignment = self.hall.find(&vm);
        let serves = assignment.is_some_and(|found| found.state == AssignmentState::Serving);
        let permit = self.ledger.find(&vm).map(|permit| permit.operation);
        let next = match (serves, permit) {
            (true, None) => Write::TakePermit,
            (true, Some(_)) => Write::VoidPlans,
            (false, _) => Write::EndMaintenance,
        };
        Plan {
            fence: assignment.map_or(0, |found| found.fence),
            permit,
            lost: self.lost.clone(),
            next,
            vm,
        }
    }

    /// Carries out a plan's next write; returns the rest of the plan.
    fn write(&mut self, mut plan: Plan) -> Option<Plan> {
        let fence = plan.fence;
        match plan.next {
            Write::TakePermit => {
                self.operations += 1;
                let permit = AbsencePermit {
                    vm: plan.vm.clone(),
                    hall: "athens".to_owned(),
                    operation: self.operations,
                    since_ms: 0,
                };
                self.ledger.take(permit, &plan.lost, BUDGET).ok()?;
                plan.next = Write::BeginLeave;
                Some(plan)
            }
            Write::BeginLeave => {
                let task = VmTask::Maintain {
                    wave: "kernel".to_owned(),
                    step: MaintainStep::Drain,
                };
                let assignment = self.hall.find_mut(&plan.vm).ok()?;
                assignment.begin_drain(fence, "quotes", task).ok()?;
                None
            }
            Write::EndMaintenance => {
                let assignment = self.hall.find_mut(&plan.vm).ok()?;
                assignment.end_maintenance(fence, "kernel").ok()?;
                plan.next = Write::GiveBack;
                Some(plan)
            }
            Write::VoidPlans => {
                let assignment = self.hall.find_mut(&plan.vm).ok()?;
                assignment.invalidate_plans(fence, "quotes").ok()?;
                plan.next = Write::GiveBack;
                Some(plan)
            }
            Write::GiveBack => {
                self.ledger.release(plan.permit?);
                None
            }
        }
    }

    fn invariants_hold(&self) -> bool {
        let mut leaving = self.hall.vms.iter();
        let covered = leaving
            .all(|found| found.state == AssignmentState::Serving || self.ledger.holds(&found.vm));
        covered && self.ledger.permits.len() <= BUDGET
    }
}

fn name(vm: usize) -> String {
    format!("vm-{vm}")
}

fn assignment(vm: usize) -> VmAssignment {
    VmAssignment {
        vm: name(vm),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        rack: "rack-0".to_owned(),
        pool: "quotes".to_owned(),
        state: AssignmentState::Serving,
        task: None,
        fence: 0,
        last_wave: String::new(),
    }
}

fn history_holds(steps: Vec<Step>) -> bool {
    let mut fleet = Fleet::new();
    steps.into_iter().all(|step| {
        fleet.apply(step);
        fleet.invariants_hold()
    })
}

#[test]
fn leaving_vms_have_permits_within_the_budget() {
    QuickCheck::new()
        .tests(HISTORIES)
        .quickcheck(history_holds as fn(Vec<Step>) -> bool);
}
