//! Carries out planned actions, each by compare-and-swap on the state that it was
//! planned on.
//!
//! The order of the writes makes crashes harmless: a permit is taken before its VM
//! is drained and released after the VM serves again. An unused permit is released
//! only after the VM's fence was raised. If the steward that took the permit was
//! frozen, its plan is then outdated when it continues.

use std::{
    collections::BTreeSet,
    time::{
        Duration,
        SystemTime,
        UNIX_EPOCH, //
    }, //
};

use hoisthitch_core::{
    AbsencePermit,
    FleetAction,
    HallError,
    HallRecord,
    PermitError,
    PermitLedger,
    RosterRecord,
    TransitionError,
    VmAssignment,
    VmTarget,
    VmTask,
    WaveRecord,
    WaveState,
    WriterStamp,
    lost_vms, //
};
use hoisthitch_store::{
    KeySpace,
    RebootRequest,
    RecordWriter,
    StoreClient,
    StoreError,
    VmLister,
    WriteError, //
};
use hoisthitch_telemetry::event;
use thiserror::Error;
use tokio::{
    net::TcpStream,
    time::Instant, //
};

use crate::{
    barrier::{
        BarrierOutcome,
        DrainBarrier, //
    },
    view::{
        FleetView,
        RosteredEntry, //
    }, //
};

/// Age above which a view is no longer acted on.
pub const VIEW_MAX_AGE: Duration = Duration::from_secs(3);

/// Timeout of connecting to the service of a rebooted VM.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Carries out planned actions.
pub struct ActionExecutor<S> {
    records: RecordWriter<S>,
    lister: VmLister,
    barrier: DrainBarrier,
    keys: KeySpace,
}

/// Conditions under which a permit may be taken.
struct PermitConditions<'a> {
    /// VMs of the pool that are absent without a plan.
    lost: &'a BTreeSet<String>,
    /// Most VMs of the pool that may be absent.
    budget: usize,
    /// When the fleet was read.
    read_at: Instant,
}

/// Why an action was not carried out.
#[derive(Debug, Error)]
pub enum ActionError {
    /// The state has changed since the action was planned, or is not ready for it.
    #[error("the action can't be carried out now: {0}")]
    Inapplicable(&'static str),
    /// The VM's assignment is not in the planned state.
    #[error(transparent)]
    Transition(#[from] TransitionError),
    /// The pool's availability budget does not allow the absence.
    #[error(transparent)]
    Permit(#[from] PermitError),
    /// The VM is no longer in the hall record.
    #[error(transparent)]
    Hall(#[from] HallError),
    /// A write to the store failed.
    #[error(transparent)]
    Write(#[from] WriteError),
    /// A read from the store or a call to the platform failed.
    #[error(transparent)]
    Platform(#[from] StoreError),
}

impl<S: StoreClient> ActionExecutor<S> {
    /// Creates an executor that writes through `records` and reboots through `lister`.
    pub fn new(
        records: RecordWriter<S>,
        lister: VmLister,
        barrier: DrainBarrier,
        keys: KeySpace,
    ) -> Self {
        Self {
            records,
            lister,
            barrier,
            keys,
        }
    }

    /// Carries out one action.
    ///
    /// # Errors
    ///
    /// Fails as described by [`ActionError`]. A failed action is planned again from
    /// the next view.
    pub async fn execute(&self, view: &FleetView, action: FleetAction) -> Result<(), ActionError> {
        match action {
            FleetAction::WithdrawPermit { pool, target } => {
                self.withdraw_permit(view, &pool, &target).await
            }
            FleetAction::BeginLeave { pool, target, task } => {
                self.begin_drain(view, &pool, &target, task).await
            }
            FleetAction::FinishMove { pool, target, to } => {
                self.finish_move(view, &pool, &target, &to).await
            }
            FleetAction::BeginReboot {
                target,
                wave,
                boots,
            } => self.begin_reboot(view, &target, &wave, boots).await,
            FleetAction::RepeatReboot { target, boots } => self.reboot(&target, boots).await,
            FleetAction::EndMaintenance { pool, target, wave } => {
                self.end_maintenance(view, &pool, &target, &wave).await
            }
            FleetAction::PauseWave { wave, reason } => self.pause_wave(&wave, &reason).await,
        }
    }

    /// Releases an unused permit: first raises the VM's fence, then releases the
    /// permit.
    async fn withdraw_permit(
        &self,
        view: &FleetView,
        pool: &str,
        target: &VmTarget,
    ) -> Result<(), ActionError> {
        let raised = self.change_vm(target, |assignment| {
            assignment.invalidate_plans(target.fence, pool)
        });
        match raised.await {
            Ok(()) | Err(ActionError::Hall(HallError::Unassigned(_))) => {}
            Err(err) => return Err(err),
        }
        self.release_permit(view, pool, &target.vm).await?;
        event!(Info, "permit_withdrawn", pool = pool, vm = target.vm);
        Ok(())
    }

    /// Takes a permit, then starts to drain the VM.
    async fn begin_drain(
        &self,
        view: &FleetView,
        pool: &str,
        target: &VmTarget,
        task: VmTask,
    ) -> Result<(), ActionError> {
        let lost = lost_vms(&view.snapshot(), pool);
        let budget = view.table.pool(pool).map_or(0, |row| row.max_absent);
        let conditions = PermitConditions {
            lost: &lost,
            budget: budget as usize,
            read_at: view.read_at,
        };
        self.take_permit(pool, target, &conditions).await?;
        let kind = task_name(&task);
        let begun = self.change_vm(target, |assignment| {
            assignment.begin_drain(target.fence, pool, task.clone())
        });
        begun.await?;
        event!(
            Info,
            "drain_begun",
            pool = pool,
            vm = target.vm,
            hall = target.hall,
            task = kind,
            lost = lost.len(),
            budget = budget,
        );
        Ok(())
    }

    async fn finish_move(
        &self,
        view: &FleetView,
        pool: &str,
        target: &VmTarget,
        to: &str,
    ) -> Result<(), ActionError> {
        if view.table.pool(to).is_none() {
            return self
                .cancel_drain(view, pool, target, "the pool is gone")
                .await;
        }
        self.pass_barrier(view, target).await?;
        let moved = self.change_vm(target, |assignment| {
            assignment.finish_move(target.fence, to)
        });
        moved.await?;
        event!(Info, "vm_moved", vm = target.vm, from = pool, to = to);
        self.release_permit(view, pool, &target.vm).await
    }

    async fn begin_reboot(
        &self,
        view: &FleetView,
        target: &VmTarget,
        wave: &str,
        boots: u64,
    ) -> Result<(), ActionError> {
        self.pass_barrier(view, target).await?;
        let begun = self.change_vm(target, |assignment| {
            assignment.begin_reboot(target.fence, wave, boots)
        });
        begun.await?;
        self.reboot(target, boots).await
    }

    async fn reboot(&self, target: &VmTarget, boots: u64) -> Result<(), ActionError> {
        let vm = target.vm.clone();
        self.lister.reboot(&RebootRequest { vm, boots }).await?;
        event!(Info, "reboot_asked", vm = target.vm, boots = boots);
        Ok(())
    }

    /// Returns a rebooted VM to its pool once its service accepts connections.
    async fn end_maintenance(
        &self,
        view: &FleetView,
        pool: &str,
        target: &VmTarget,
        wave: &str,
    ) -> Result<(), ActionError> {
        let key = self.keys.hall(&target.hall);
        let stored = self.records.store().read(&key).await?;
        let record: Option<HallRecord> =
            stored.and_then(|stored| serde_json::from_slice(&stored.value).ok());
        let address = record
            .as_ref()
            .and_then(|record| record.find(&target.vm))
            .map(|assignment| assignment.address)
            .ok_or_else(|| HallError::Unassigned(target.vm.clone()))?;
        let connecting = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address));
        if !matches!(connecting.await, Ok(Ok(_))) {
            return Err(ActionError::Inapplicable(
                "the VM's service does not accept connections yet",
            ));
        }
        let returned = self.change_vm(target, |assignment| {
            assignment.end_maintenance(target.fence, wave)
        });
        returned.await?;
        event!(Info, "vm_back", vm = target.vm, pool = pool, wave = wave);
        self.release_permit(view, pool, &target.vm).await
    }

    /// Cancels a drain: the VM serves its pool again.
    async fn cancel_drain(
        &self,
        view: &FleetView,
        pool: &str,
        target: &VmTarget,
        reason: &str,
    ) -> Result<(), ActionError> {
        let returned = self.change_vm(target, |assignment| assignment.cancel_drain(target.fence));
        returned.await?;
        event!(
            Info,
            "vm_kept",
            vm = target.vm,
            pool = pool,
            reason = reason
        );
        self.release_permit(view, pool, &target.vm).await
    }

    /// Succeeds if no entry has requests at the VM or will send any.
    async fn pass_barrier(&self, view: &FleetView, target: &VmTarget) -> Result<(), ActionError> {
        let version = view
            .halls
            .get(&target.hall)
            .map_or(0, |record| record.version);
        let outcome = self
            .barrier
            .check(view, &target.hall, &target.vm, version)
            .await;
        match outcome {
            BarrierOutcome::Passed => Ok(()),
            BarrierOutcome::Pending => Err(ActionError::Inapplicable(
                "an entry is not done with the VM",
            )),
            BarrierOutcome::EntryLost(rostered) => {
                self.deregister(&rostered).await?;
                Err(ActionError::Inapplicable(
                    "an entry was removed from the roster",
                ))
            }
        }
    }

    /// Removes an entry from the roster whose VM the platform no longer lists.
    async fn deregister(&self, rostered: &RosteredEntry) -> Result<(), ActionError> {
        let key = self.keys.roster(&rostered.hall);
        let change = |stored: Option<RosterRecord>, stamp| {
            let mut record =
                stored.ok_or(ActionError::Inapplicable("the roster does not exist"))?;
            if !record.holds(&rostered.entry) {
                return Err(ActionError::Inapplicable(
                    "the entry is no longer on the roster",
                ));
            }
            record.remove(&rostered.entry.name);
            record.sign(stamp);
            Ok(record)
        };
        self.records.update(&key, change).await?;
        event!(Warn, "entry_deregistered", entry = rostered.entry.name);
        Ok(())
    }

    async fn pause_wave(&self, wave: &str, reason: &str) -> Result<(), ActionError> {
        let change = |stored: Option<WaveRecord>, stamp| {
            let mut record = stored.ok_or(ActionError::Inapplicable("the wave does not exist"))?;
            if record.state != WaveState::Running {
                return Err(ActionError::Inapplicable("the wave is not running"));
            }
            record.state = WaveState::Paused;
            reason.clone_into(&mut record.reason);
            record.sign(stamp);
            Ok(record)
        };
        self.records.update(&self.keys.wave(wave), change).await?;
        event!(Warn, "wave_paused", wave = wave, reason = reason);
        Ok(())
    }

    async fn take_permit(
        &self,
        pool: &str,
        target: &VmTarget,
        conditions: &PermitConditions<'_>,
    ) -> Result<(), ActionError> {
        let change = |stored: Option<PermitLedger>, stamp: WriterStamp| {
            if conditions.read_at.elapsed() > VIEW_MAX_AGE {
                return Err(ActionError::Inapplicable("the view is too old"));
            }
            let mut ledger = stored.unwrap_or_else(|| PermitLedger::new(pool));
            let permit = AbsencePermit {
                vm: target.vm.clone(),
                hall: target.hall.clone(),
                operation: stamp.operation,
                since_ms: unix_ms(),
            };
            ledger.take(permit, conditions.lost, conditions.budget)?;
            ledger.sign(stamp);
            Ok::<_, ActionError>(ledger)
        };
        self.records
            .update(&self.keys.permits(pool), change)
            .await?;
        Ok(())
    }

    /// Releases the permit that the plan was based on, but no later one.
    async fn release_permit(
        &self,
        view: &FleetView,
        pool: &str,
        vm: &str,
    ) -> Result<(), ActionError> {
        let ledger = view.ledgers.get(pool);
        let Some(permit) = ledger.and_then(|ledger| ledger.find(vm)) else {
            return Ok(());
        };
        let change = |stored: Option<PermitLedger>, stamp| {
            let mut ledger = stored.unwrap_or_else(|| PermitLedger::new(pool));
            if !ledger.release(permit.operation) {
                return Err(ActionError::Inapplicable("the permit was released already"));
            }
            ledger.sign(stamp);
            Ok(ledger)
        };
        match self.records.update(&self.keys.permits(pool), change).await {
            Ok(_) | Err(ActionError::Inapplicable(_)) => Ok(()),
            Err(err) => Err(err),
        }
    }

    /// Applies a transition to one VM's assignment.
    async fn change_vm(
        &self,
        target: &VmTarget,
        change: impl Fn(&mut VmAssignment) -> Result<(), TransitionError>,
    ) -> Result<(), ActionError> {
        let change_record = |stored: Option<HallRecord>, stamp| {
            let unassigned = || HallError::Unassigned(target.vm.clone());
            let mut record = stored.ok_or_else(unassigned)?;
            change(record.find_mut(&target.vm)?)?;
            record.sign(stamp);
            Ok::<_, ActionError>(record)
        };
        let key = self.keys.hall(&target.hall);
        self.records.update(&key, change_record).await?;
        Ok(())
    }
}

fn task_name(task: &VmTask) -> &'static str {
    match task {
        VmTask::Move { .. } => "move",
        VmTask::Maintain { .. } => "maintain",
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.unwrap_or_default().as_millis();
    u64::try_from(millis).unwrap_or(u64::MAX)
}
