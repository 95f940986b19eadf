//! Orders about the simulated VMs, and the checker that no two nodes alternate in giving them.

use std::time::Duration;

use hoisthitch_scheduler::platform::{
    VmCondition,
    VmControl,
    VmError,
    VmStatus, //
};
use tokio::{
    sync::oneshot,
    time::Instant, //
};

use super::{
    super::{
        POOL,
        cordons::hall_of,
        spawn_detached, //
    },
    CALL_TIMEOUT,
    FleetState,
    MemoryFleet,
    ONE_WAY_TIME, //
};

/// Time within which orders about one VM may come from one holder only.
const TURN_TIME: Duration = Duration::from_secs(3);

/// Time that maintenance of a VM takes.
const MAINTENANCE_TIME: Duration = Duration::from_secs(2);

impl MemoryFleet {
    /// Records an order about a VM, with or without a response, and a violation if another
    /// holder gave one shortly before.
    fn check_turn(&self, vm: &str, holder: &str) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        let last = state
            .vm_orders
            .insert(vm.to_owned(), (holder.to_owned(), now));
        if let Some((other, at)) = last
            && other != holder
            && now < at + TURN_TIME
        {
            let violation = format!("{vm}: {other} and {holder} take turns");
            state.violations.push(violation);
        }
    }

    fn count_maintenance_order(&self, vm: &str) {
        let mut state = self.state.borrow_mut();
        *state.maintenance_orders.entry(vm.to_owned()).or_insert(0) += 1;
    }

    /// Most maintenance orders that arrived for one VM.
    pub fn most_maintenance_orders(&self) -> usize {
        let state = self.state.borrow();
        state
            .maintenance_orders
            .values()
            .copied()
            .max()
            .unwrap_or(0)
    }

    /// Whether an order about the VM has arrived.
    pub fn was_ordered(&self, vm: &str) -> bool {
        self.state.borrow().vm_orders.contains_key(vm)
    }
}

impl VmControl for MemoryFleet {
    async fn list(&self) -> Result<Vec<VmStatus>, VmError> {
        tokio::time::sleep(ONE_WAY_TIME * 2).await;
        if self.state.borrow().rules.is_unanswered(&self.node) {
            tokio::time::sleep(CALL_TIMEOUT).await;
            return Err(VmError::NoAnswer("response lost".to_owned()));
        }
        self.check_vm_service()?;
        let state = self.state.borrow();
        let mut rows: Vec<VmStatus> = state
            .runners
            .iter()
            .filter(|(_, runner)| runner.alive)
            .map(|(name, runner)| VmStatus {
                hall: hall_of(&runner.vm),
                name: runner.vm.clone(),
                pool: POOL.to_owned(),
                condition: VmCondition::Up,
                runner: Some(name.clone()),
            })
            .collect();
        rows.extend(state.in_maintenance.keys().map(|vm| VmStatus {
            hall: hall_of(vm),
            name: vm.clone(),
            pool: POOL.to_owned(),
            condition: VmCondition::Maintenance,
            runner: None,
        }));
        Ok(rows)
    }

    async fn start_maintenance(
        &self,
        vm: &str,
        _wave: u64,
        holder: &str,
        epoch: u64,
    ) -> Result<(), VmError> {
        self.begin_vm_outage();
        self.check_vm_service()?;
        let (done, answer) = oneshot::channel();
        let (fleet, vm, holder) = (self.clone(), vm.to_owned(), holder.to_owned());
        // Not a task of the node: the order continues even if the node stops.
        spawn_detached(async move {
            tokio::time::sleep(ONE_WAY_TIME).await;
            fleet.check_turn(&vm, &holder);
            fleet.count_maintenance_order(&vm);
            let delay = fleet.state.borrow().vm_order_delay;
            tokio::time::sleep(delay).await;
            if !fleet.state.borrow().vms_lost {
                // Fails if the node has stopped and waits no more.
                let _ = done.send(fleet.begin_maintenance(&vm, epoch));
            }
        });
        let outcome = answer.await;
        let unanswered =
            |state: &FleetState| state.vm_answers_lost || state.rules.is_unanswered(&self.node);
        if unanswered(&self.state.borrow()) {
            tokio::time::sleep(CALL_TIMEOUT).await;
            return Err(VmError::NoAnswer("response lost".to_owned()));
        }
        let Ok(outcome) = outcome else {
            tokio::time::sleep(CALL_TIMEOUT).await;
            return Err(VmError::NoAnswer("lost".to_owned()));
        };
        outcome
    }

    async fn move_to_pool(
        &self,
        _vm: &str,
        _pool: &str,
        _holder: &str,
        _token: u64,
    ) -> Result<(), VmError> {
        Err(VmError::NotListed)
    }
}

impl MemoryFleet {
    /// Begins the outage of the VM service that was requested, if one was.
    fn begin_vm_outage(&self) {
        let mut state = self.state.borrow_mut();
        if let Some(time) = state.vm_outage.take() {
            state.vms_down_until = Some(Instant::now() + time);
        }
    }

    /// Fails while the VM service is down.
    fn check_vm_service(&self) -> Result<(), VmError> {
        let until = self.state.borrow().vms_down_until;
        if until.is_some_and(|until| Instant::now() < until) {
            return Err(VmError::NoAnswer("status 503".to_owned()));
        }
        Ok(())
    }

    /// Takes a VM down for maintenance, unless that was done before.
    fn begin_maintenance(&self, vm: &str, epoch: u64) -> Result<(), VmError> {
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let last = state
            .maintenance_starts
            .iter()
            .rev()
            .find(|row| row.0 == vm);
        if let Some((_, token, _)) = last {
            if *token > epoch {
                state
                    .violations
                    .push(format!("{vm}: a lower token after a higher"));
            }
            return Ok(());
        }
        let ends: Vec<String> = state
            .runners
            .values()
            .filter(|runner| runner.vm == vm && runner.alive)
            .flat_map(|runner| &runner.running)
            .filter(|(_, run)| !run.unguarded)
            .map(|(task, _)| task.clone())
            .collect();
        for task in &ends {
            state.check_end(task);
        }
        for runner in state.runners.values_mut() {
            if runner.vm == vm {
                runner.alive = false;
                runner.running.clear();
            }
        }
        let now = Instant::now();
        state.maintenance_starts.push((vm.to_owned(), epoch, now));
        state
            .in_maintenance
            .insert(vm.to_owned(), now + MAINTENANCE_TIME);
        state.down_most = state.down_most.max(state.in_maintenance.len());
        Ok(())
    }
}
