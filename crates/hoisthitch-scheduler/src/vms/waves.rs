//! Takes the VMs of a pool through the maintenance waves that operators request.
//!
//! The record of a wave in the store lists the VMs that are down, of all pools together, so
//! that their number is limited. An owner adds its VMs to the record before it takes them
//! down, and removes them once they are back with a new instance of their runner. All changes
//! of a pass go into one write, and orders about many VMs are given at once.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    mem::discriminant,
    rc::Rc, //
};

use futures_util::future::join_all;
use hoisthitch_jobs::{
    EvacuationStatus,
    RunnerInstance,
    worked_hall, //
};
use hoisthitch_telemetry::event;
use tokio::sync::oneshot;

use super::{
    EvacuationPurpose,
    VmLoop,
    VmRequest,
    VmWorkError,
    ledger::{
        VmClaim,
        VmLedger, //
    },
    list::{
        VmList,
        VmListing, //
    },
    wave_state::{
        SHOWN_DOWN_MS,
        WaveState, //
    }, //
};
use crate::platform::{
    Platform,
    VmCondition,
    VmControl,
    VmError,
    VmStatus,
    WaveRequest, //
};

/// Part of a pool's VMs that may be evacuated at once: one in this many, and at least one.
/// More would cost the pool too much of its capacity, fewer would make the waves of large
/// pools late.
const EVACUATION_DIVISOR: usize = 10;

/// Maximum number of VMs whose maintenance is ordered in one pass: with five passes a second,
/// about a hundred a second for each pool, of the six hundred that large platforms accept of
/// all pools.
const ORDERS_PER_PASS: usize = 20;

/// The loop that takes the VMs of a pool through waves.
pub(super) struct WaveLoop<P> {
    ledger: Rc<VmLedger<P>>,
    list: Rc<VmList>,
    /// State of the waves that are not completed, by number.
    waves: BTreeMap<u64, WaveState>,
    completed: BTreeSet<u64>,
    /// Runners that are being evacuated for a wave, by VM.
    evacuating: BTreeMap<String, String>,
    /// Why VMs wait for their maintenance, as last logged.
    logged_waits: BTreeMap<String, EvacuationStatus>,
    /// The furthest that VMs were evacuated for, as logged.
    logged_purposes: BTreeMap<String, EvacuationPurpose>,
}

impl<P: Platform> VmLoop for WaveLoop<P> {
    const NAME: &'static str = "waves";

    async fn run_pass(&mut self) -> Result<(), VmWorkError> {
        // Before the record of an earlier owner is adopted, it is not known which VMs earlier
        // owners gave orders about.
        if !self.ledger.is_adopted() {
            return Ok(());
        }
        let requests: Vec<WaveRequest> = {
            let fleet = self.ledger.context.fleet.borrow();
            let open = fleet.waves.values();
            let open = open.filter(|request| !self.completed.contains(&request.wave));
            open.cloned().collect()
        };
        for request in requests {
            let mut state = self.waves.remove(&request.wave).unwrap_or_default();
            let advanced = self.advance(&request, &mut state).await;
            if state.progress.is_completed(&request.vms) {
                self.completed.insert(request.wave);
            } else {
                self.waves.insert(request.wave, state);
            }
            advanced?;
        }
        Ok(())
    }
}

impl<P: Platform> WaveLoop<P> {
    pub(super) fn new(ledger: Rc<VmLedger<P>>, list: Rc<VmList>) -> Self {
        Self {
            ledger,
            list,
            waves: BTreeMap::new(),
            completed: BTreeSet::new(),
            evacuating: BTreeMap::new(),
            logged_waits: BTreeMap::new(),
            logged_purposes: BTreeMap::new(),
        }
    }

    /// Advances a wave: records the VMs that are done, evacuates the next ones, and orders the
    /// maintenance of those that may go down.
    async fn advance(
        &mut self,
        request: &WaveRequest,
        state: &mut WaveState,
    ) -> Result<(), VmWorkError> {
        state.refresh(&self.ledger, request).await?;
        if state.progress.is_completed(&request.vms) {
            return Ok(());
        }
        let context = &self.ledger.context;
        let rows = self.list.read(context).await?;
        let own_vms = self.own_vms(request, &rows);
        self.record_done(&own_vms, &rows, state).await;
        let mut ready = self.unconfirmed(&own_vms, &rows, state);
        let fresh = if self.waits_for_halls(request, state).await {
            self.put_off(&own_vms, state).await;
            Vec::new()
        } else {
            self.evacuate_next(request, &own_vms, &rows, state, ready.len())
                .await
        };
        // Drop VMs of an earlier write that failed: they may not be able to go down now.
        state.pending.down.clear();
        for row in &fresh {
            let before = self.ledger.instance_on(row);
            let before = before.map_or_else(String::new, |instance| instance.to_string());
            state.pending.down.insert(row.name.clone(), before);
        }
        state.write_pending(&self.ledger, request).await?;
        ready.extend(fresh);
        ready.retain(|row| state.progress.down.contains_key(&row.name));
        ready.truncate(ORDERS_PER_PASS);
        self.order_maintenance(request, state, &ready).await
    }

    /// VMs of the wave that belong to this pool or are not listed.
    fn own_vms(&self, request: &WaveRequest, rows: &VmListing) -> Vec<String> {
        let pool = &self.ledger.context.pool;
        let own = |vm: &&String| rows.find(vm).is_none_or(|row| row.pool == *pool);
        request.vms.iter().filter(own).cloned().collect()
    }

    /// Records which VMs have completed their maintenance or are removed. If the maintenance was
    /// ordered twice, the current instance of the runner was evacuated for the second order;
    /// its evacuation has to be cancelled.
    async fn record_done(&mut self, own_vms: &[String], rows: &VmListing, state: &mut WaveState) {
        let now = self.ledger.now();
        let mut runners = Vec::new();
        for vm in own_vms {
            if state.progress.done.contains(vm) {
                continue;
            }
            let row = rows.find(vm);
            let is_done = match row {
                None => state.is_removed(vm, now),
                Some(row) => {
                    state.missing.remove(vm);
                    let instance = self.ledger.instance_on(row);
                    state.has_returned(row, instance.as_ref(), rows.requested_at)
                }
            };
            if is_done && state.pending.done.insert(vm.clone()) {
                self.evacuating.remove(vm);
                self.logged_purposes.remove(vm);
                self.ledger.release(vm, VmClaim::Maintenance);
                runners.extend(row.and_then(|row| row.runner.clone()));
            }
        }
        self.ledger.cancel_evacuation(runners).await;
    }

    /// Whether a VM is up, and no order of an earlier owner about it may be in transit.
    fn may_order(&self, row: &VmStatus) -> bool {
        row.condition == VmCondition::Up && !self.ledger.is_blocked(&row.name)
    }

    /// VMs that are up though they are recorded as down, and whose maintenance the platform has
    /// not confirmed: the order or its response was lost. Those that are returned are claimed.
    fn unconfirmed<'a>(
        &self,
        own_vms: &[String],
        rows: &'a VmListing,
        state: &WaveState,
    ) -> Vec<&'a VmStatus> {
        own_vms
            .iter()
            .filter(|vm| state.progress.down.contains_key(*vm) && !state.has_begun(vm))
            .filter(|vm| {
                let ordered = state.ordered.get(*vm);
                ordered.is_none_or(|at| *at + SHOWN_DOWN_MS <= rows.requested_at)
            })
            .filter_map(|vm| rows.find(vm))
            .filter(|row| self.may_order(row))
            .filter(|row| self.ledger.claim(&row.name, VmClaim::Maintenance))
            .collect()
    }

    /// Whether the wave begins nothing new because a data hall is lost.
    async fn waits_for_halls(&self, request: &WaveRequest, state: &mut WaveState) -> bool {
        let context = &self.ledger.context;
        if context.shared.terms.tolerated_halls == 0 {
            return false;
        }
        let (reply, answer) = oneshot::channel();
        let asked = context.owner.send(VmRequest::LostHalls { reply }).await;
        // Neither fails before the owner has ended, and the wave with it.
        let lost = match asked {
            Ok(()) => answer.await.unwrap_or_default(),
            Err(_) => BTreeSet::new(),
        };
        let waits = state.hall_wait.is_due(!lost.is_empty(), self.ledger.now());
        if waits != state.waits_for_halls {
            state.waits_for_halls = waits;
            event!(
                Info,
                "wave_put_off",
                wave = request.wave,
                pool = context.pool,
                waits = waits,
                lost = format_args!("{lost:?}"),
                waited_ms = state.hall_wait.waited()
            );
        }
        waits
    }

    /// Cancels the evacuation of VMs that have not been recorded as going down: their runners have
    /// the room that the work of a lost hall needs.
    async fn put_off(&mut self, own_vms: &[String], state: &WaveState) {
        let begun: Vec<String> = own_vms
            .iter()
            .filter(|vm| self.evacuating.contains_key(*vm) && state.progress.is_due(vm))
            .cloned()
            .collect();
        self.cancel_evacuations(&begun).await;
    }

    /// Orders VMs for a wave: those that are being evacuated already come first, then those of the
    /// data hall in which the wave works, where halls are told apart.
    fn sort_candidates(&self, candidates: &mut [&VmStatus], rows: &VmListing, state: &WaveState) {
        if self.ledger.context.shared.terms.tolerated_halls == 0 {
            candidates.sort_by_key(|row| !self.evacuating.contains_key(&row.name));
            return;
        }
        let under_way = state.progress.down.keys().chain(self.evacuating.keys());
        let halls = under_way.filter_map(|vm| rows.find(vm));
        let worked = worked_hall(halls.map(|row| row.hall.as_str()));
        candidates.sort_by(|left, right| {
            let key = |row: &VmStatus| {
                let idle = !self.evacuating.contains_key(&row.name);
                (idle, worked != Some(row.hall.as_str()))
            };
            let by_hall = || left.hall.cmp(&right.hall);
            key(left).cmp(&key(right)).then_with(by_hall)
        });
    }

    /// Evacuates the next VMs, and returns those that may go down. `recorded` VMs are recorded as
    /// down and still up, so that they are evacuated too.
    async fn evacuate_next<'a>(
        &mut self,
        request: &WaveRequest,
        own_vms: &[String],
        rows: &'a VmListing,
        state: &WaveState,
        recorded: usize,
    ) -> Vec<&'a VmStatus> {
        let mut candidates: Vec<&VmStatus> = own_vms
            .iter()
            .filter(|vm| state.progress.is_due(vm) && !state.pending.done.contains(*vm))
            .filter_map(|vm| rows.find(vm))
            .filter(|row| self.may_order(row))
            .filter(|row| !self.ledger.is_claimed(&row.name, VmClaim::Maintenance))
            .collect();
        self.sort_candidates(&mut candidates, rows, state);
        let pool = &self.ledger.context.pool;
        let own = rows.iter().filter(|row| row.pool == *pool).count();
        let down = state.progress.down.len();
        let room = request.max_down().saturating_sub(down);
        // One more than may go down, so that little runs there when it may.
        let limit = (own / EVACUATION_DIVISOR).max(1).min(room + 1);
        let mut evacuated = recorded;
        let mut free = Vec::new();
        let mut candidates = candidates.into_iter();
        while evacuated < limit {
            // VMs for which there is no room yet are kept empty only as far as nothing waits for
            // them: that may take as long as the rest of the wave.
            let (purpose, most) = if evacuated < recorded + room {
                (EvacuationPurpose::Prepare, limit.min(recorded + room))
            } else {
                (EvacuationPurpose::PrepareAhead, limit)
            };
            let next: Vec<&VmStatus> = candidates.by_ref().take(most - evacuated).collect();
            if next.is_empty() {
                break;
            }
            let statuses = self.evacuate_vms(&next, purpose).await;
            for (row, status) in next.into_iter().zip(statuses) {
                // A VM without a runner takes no capacity from the pool.
                let counts = row.runner.is_some() && status != Some(EvacuationStatus::Held);
                evacuated += usize::from(counts);
                if may_go_down(status) {
                    free.push(row);
                }
            }
        }
        // They were evacuated when the limit was higher.
        let over_limit = candidates.map(|row| row.name.clone());
        let over_limit = over_limit.filter(|vm| self.evacuating.contains_key(vm));
        let over_limit: Vec<String> = over_limit.collect();
        self.cancel_evacuations(&over_limit).await;
        free.truncate(room);
        free
    }

    /// Claims VMs and asks the owner to evacuate their runners; returns the status of each. The
    /// evacuation is cancelled where a task may not be interrupted.
    async fn evacuate_vms(
        &mut self,
        rows: &[&VmStatus],
        purpose: EvacuationPurpose,
    ) -> Vec<Option<EvacuationStatus>> {
        let mut runners = Vec::new();
        for row in rows {
            self.ledger.claim(&row.name, VmClaim::Maintenance);
            if let Some(runner) = &row.runner {
                self.log_purpose(row, purpose);
                self.evacuating.insert(row.name.clone(), runner.clone());
                runners.push(runner.clone());
            }
        }
        let mut answers = self
            .ledger
            .request_evacuation(runners, purpose)
            .await
            .into_iter();
        let mut statuses = Vec::new();
        let mut held = Vec::new();
        for row in rows {
            let status = row.runner.as_ref().and_then(|_| answers.next().flatten());
            if row.runner.is_some() {
                self.log_wait(row, status);
            }
            if status == Some(EvacuationStatus::Held) {
                held.push(row.name.clone());
            }
            statuses.push(status);
        }
        self.cancel_evacuations(&held).await;
        statuses
    }

    /// Logs what a VM is evacuated for, when that goes further than before.
    fn log_purpose(&mut self, row: &VmStatus, purpose: EvacuationPurpose) {
        let before = self.logged_purposes.get(&row.name).copied();
        if before < Some(purpose) {
            self.logged_purposes.insert(row.name.clone(), purpose);
            event!(
                Info,
                "upkeep_prepared",
                vm = row.name,
                runner = row.runner.as_deref().unwrap_or_default(),
                pool = self.ledger.context.pool,
                purpose = format_args!("{purpose:?}")
            );
        }
    }

    /// Logs why a VM's maintenance waits, when the reason changes.
    fn log_wait(&mut self, row: &VmStatus, status: Option<EvacuationStatus>) {
        let Some(status) = status.filter(|status| *status != EvacuationStatus::Free) else {
            self.logged_waits.remove(&row.name);
            return;
        };
        let before = self.logged_waits.insert(row.name.clone(), status);
        // The number of running tasks changes with each pass and is not compared.
        if before.map(|before| discriminant(&before)) != Some(discriminant(&status)) {
            let instance = self.ledger.instance_on(row);
            event!(
                Info,
                "upkeep_waits",
                vm = row.name,
                runner = instance.map_or_else(String::new, |instance| instance.to_string()),
                pool = self.ledger.context.pool,
                view = format_args!("{status:?}")
            );
        }
    }

    /// Cancels the evacuation of VMs and releases their claims.
    async fn cancel_evacuations(&mut self, vms: &[String]) {
        let runners: Vec<String> = vms
            .iter()
            .filter_map(|vm| self.evacuating.remove(vm))
            .collect();
        for vm in vms {
            self.ledger.release(vm, VmClaim::Maintenance);
        }
        self.ledger.cancel_evacuation(runners).await;
    }

    /// Orders the maintenance of VMs that are recorded as down, as far as they may go down now.
    async fn order_maintenance(
        &mut self,
        request: &WaveRequest,
        state: &mut WaveState,
        ready: &[&VmStatus],
    ) -> Result<(), VmWorkError> {
        if ready.is_empty() {
            return Ok(());
        }
        let names = ready.iter().map(|row| &row.name);
        let token = self.ledger.issue_token(names, None).await?;
        // The writes may have taken long; what runs there may have changed.
        let statuses = self.evacuate_vms(ready, EvacuationPurpose::Maintain).await;
        self.ledger.check_ownership()?;
        let going: Vec<&VmStatus> = ready
            .iter()
            .zip(statuses)
            .filter(|(_, status)| may_go_down(*status))
            .map(|(row, _)| *row)
            .collect();
        // An instance that starts after the order is not the one that went down.
        let instances = going.iter().map(|row| self.ledger.instance_on(row));
        let instances: Vec<Option<RunnerInstance>> = instances.collect();
        let context = &self.ledger.context;
        let vms = context.platform.vms();
        let wave = request.wave;
        let orders = going
            .iter()
            .map(|row| vms.start_maintenance(&row.name, wave, &context.node, token));
        let outcomes = join_all(orders).await;
        for ((row, instance), outcome) in going.into_iter().zip(instances).zip(outcomes) {
            event!(
                Info,
                "upkeep_ordered",
                wave = wave,
                vm = row.name,
                token = token,
                outcome = format_args!("{outcome:?}")
            );
            self.handle_outcome(state, row, instance, &outcome).await;
        }
        Ok(())
    }

    /// Handles the response to an order for maintenance.
    async fn handle_outcome(
        &mut self,
        state: &mut WaveState,
        row: &VmStatus,
        instance: Option<RunnerInstance>,
        outcome: &Result<(), VmError>,
    ) {
        state.ordered.insert(row.name.clone(), self.ledger.now());
        if let Some(instance) = instance {
            // An order that had been carried out before does not affect a later instance.
            let same_instance = state.went_down_with(&row.name, &instance);
            let runner = instance.name.clone();
            let request = match outcome {
                Ok(()) if same_instance => Some(VmRequest::VmDown { instance }),
                Ok(()) | Err(VmError::NoAnswer(_)) => Some(VmRequest::VmDownUnconfirmed { runner }),
                Err(_) => None,
            };
            if let Some(request) = request {
                self.ledger.notify_owner(request).await;
            }
        }
        if outcome.is_ok() {
            state.pending.begun.insert(row.name.clone());
            self.evacuating.remove(&row.name);
        }
    }
}

/// Whether a VM may go down now; one without a runner may.
fn may_go_down(status: Option<EvacuationStatus>) -> bool {
    matches!(status, Some(EvacuationStatus::Free) | None)
}
