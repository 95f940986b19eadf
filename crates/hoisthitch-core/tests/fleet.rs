//! Plans of the stewards: the actions of one plan must not make each other fail.

use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

use hoisthitch_core::{
    AbsencePermit,
    AssignmentState,
    FleetAction,
    FleetSnapshot,
    HallRecord,
    ObservedVm,
    PermitLedger,
    PolicyTable,
    PoolRow,
    RetryRule,
    VmAssignment,
    VmTask,
    WaveRecord,
    plan_pool, //
};

/// Defines a test for each named case.
macro_rules! cases {
    ($($name:ident => $call:expr;)+) => {
        $(
            #[test]
            fn $name() {
                $call;
            }
        )+
    };
}

cases! {
    vm_of_a_withdrawn_permit_is_not_drained_in_the_same_plan => withdraws_first(None);
    vm_of_a_withdrawn_permit_is_not_moved_in_the_same_plan => withdraws_first(Some("picking"));
}

fn row() -> PoolRow {
    PoolRow {
        name: "quotes".to_owned(),
        revision: 1,
        path: "quotes".to_owned(),
        slots_per_runner: 8,
        connections_per_runner: 64,
        queue_limit: 10,
        in_flight_limit: 10,
        rate_limit: 10,
        urgent_deadline_ms: 1_000,
        background_deadline_ms: 1_000,
        background_percent: 80,
        retry_percent: 10,
        repeat: RetryRule::Method,
        min_vms: 0,
        max_absent: 2,
    }
}

fn hall(move_to: Option<&str>) -> HallRecord {
    let mut hall = HallRecord::new("augusta");
    for vm in ["vm-0", "vm-1"] {
        hall.vms.push(VmAssignment {
            vm: vm.to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
            rack: "rack-0".to_owned(),
            pool: "quotes".to_owned(),
            state: AssignmentState::Serving,
            task: move_to.map(|to| VmTask::Move { to: to.to_owned() }),
            fence: 7,
            last_wave: String::new(),
        });
    }
    hall
}

/// Guards against a plan that withdraws a VM's permit and drains the VM as well.
/// The withdrawal raises the VM's fence, so that the drain, planned on the fence
/// before, takes a permit again and then fails, in each round.
fn withdraws_first(move_to: Option<&str>) {
    let table = PolicyTable::default();
    let halls = BTreeMap::from([("augusta".to_owned(), hall(move_to))]);
    let mut ledger = PermitLedger::new("quotes");
    ledger.permits.push(AbsencePermit {
        vm: "vm-0".to_owned(),
        hall: "augusta".to_owned(),
        operation: 3,
        since_ms: 0,
    });
    let ledgers = BTreeMap::from([("quotes".to_owned(), ledger)]);
    let waves = [WaveRecord::new("spring", vec!["quotes".to_owned()])];
    let observed = ObservedVm {
        live: true,
        boots: 1,
    };
    let listed = ["vm-0", "vm-1"].map(|vm| (vm.to_owned(), observed));
    let listed = BTreeMap::from(listed);
    let snapshot = FleetSnapshot {
        table: &table,
        halls: &halls,
        ledgers: &ledgers,
        waves: &waves,
        listed: &listed,
    };
    let plan = plan_pool(&snapshot, &row());
    let withdrawn = plan.iter().any(|action| {
        matches!(action, FleetAction::WithdrawPermit { target, .. } if target.vm == "vm-0")
    });
    let drained: Vec<&str> = plan
        .iter()
        .filter_map(|action| match action {
            FleetAction::BeginLeave { target, .. } => Some(target.vm.as_str()),
            _ => None,
        })
        .collect();
    assert!(withdrawn, "{plan:?}");
    assert_eq!(drained, ["vm-1"], "{plan:?}");
}
