//! The runners of an owned pool, and the VMs that they run on.
//!
//! Keeps the pool's state in line with the list of runners, and serves the requests of the
//! pool's VM loops: evacuating runners, and reporting what the pool needs and can spare.

use std::fmt::{
    self,
    Display, //
};

use hoisthitch_jobs::{
    EvacuationDecision,
    EvacuationStatus,
    Millis,
    RunnerInstance,
    RunnerKey,
    RunnerLoss, //
};
use hoisthitch_telemetry::event;

use super::PoolOwner;
use crate::{
    platform::Platform,
    vms::{
        DemandAnswer,
        EvacuationPurpose,
        MAX_EVACUATING,
        VmRequest, //
    }, //
};

/// Why an owner removed a runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RemovalReason {
    /// Its VM was shut down as ordered.
    Down,
    /// Another instance runs in its place.
    Ended,
    /// Another runner answers at its address.
    Replaced,
    /// It did not respond until its lease had expired.
    Silent,
}

impl RemovalReason {
    /// Whether calls to the runner may still be in transit. If its VM was shut down, or another
    /// runner responds in its place, nothing holds them back.
    fn may_delay_calls(self) -> bool {
        match self {
            Self::Silent => true,
            Self::Down | Self::Ended | Self::Replaced => false,
        }
    }

    /// The kind of loss of its runs.
    fn loss_kind(self) -> RunnerLoss {
        match self {
            Self::Down => RunnerLoss::Planned,
            Self::Ended | Self::Replaced => RunnerLoss::Crashed,
            Self::Silent => RunnerLoss::Silent,
        }
    }
}

impl Display for RemovalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Down => "down",
            Self::Ended => "ended",
            Self::Replaced => "replaced",
            Self::Silent => "silent",
        })
    }
}

impl<P: Platform> PoolOwner<P> {
    /// Serves a request of the pool's VM loops.
    pub(super) fn handle_vm_request(&mut self, request: VmRequest) {
        let now = self.now();
        match request {
            VmRequest::Evacuate {
                runners,
                purpose,
                reply,
            } => {
                let statuses = self.evacuate(&runners, purpose, now);
                // A loop that does not wait any more asks again.
                let _ = reply.send(statuses);
            }
            VmRequest::CancelEvacuation { runners } => {
                for runner in runners {
                    if let Some(key) = self.state.runner_key(&runner) {
                        self.state.cancel_evacuation(key);
                    }
                }
            }
            VmRequest::LostHalls { reply } => {
                // A loop that does not wait any more asks again.
                let _ = reply.send(self.state.lost_halls().clone());
            }
            VmRequest::Demand { reply } => {
                let spare = self.state.spare_runners(now, MAX_EVACUATING);
                let spare = spare.into_iter();
                let spare = spare.filter_map(|key| self.state.spare_vm(key));
                let answer = DemandAnswer {
                    want: self.state.wanted_vms(now),
                    vms: self.state.vms(),
                    spare: spare.collect(),
                    halls: self.state.vms_by_hall(),
                };
                self.show_vms_by_hall(&answer.halls);
                // A loop that does not wait any more asks again.
                let _ = reply.send(answer);
            }
            VmRequest::Coming { vms } => self.record_coming(vms),
            VmRequest::VmDownUnconfirmed { runner } => {
                // Its next heartbeat shows whether it still runs.
                if let Some(key) = self.state.runner_key(&runner) {
                    self.state.mark_runner_unreachable(key);
                }
            }
            VmRequest::VmDown { instance } => self.handle_vm_down(&instance, now),
        }
    }

    /// Handles the shutdown of a VM with that instance of its runner. A later instance, which
    /// may have the same name, is not affected.
    fn handle_vm_down(&mut self, instance: &RunnerInstance, now: Millis) {
        let Some(key) = self.state.key_of_instance(instance) else {
            return;
        };
        self.state.record_planned_shutdown(key, now);
        // Its record stays listed until some of its heartbeats to the platform are missing.
        self.mark_ended(key);
        self.remove_runner(key, RemovalReason::Down);
        self.apply_listed_record(&instance.name);
    }

    /// Starts the evacuation of runners, or continues it. Returns the status of each, or none
    /// for a runner that is not known and has no recorded tasks. All VMs whose runners are
    /// free may go down together.
    fn evacuate(
        &mut self,
        runners: &[String],
        purpose: EvacuationPurpose,
        now: Millis,
    ) -> Vec<Option<EvacuationStatus>> {
        let keys: Vec<Option<RunnerKey>> = runners
            .iter()
            .map(|runner| self.state.runner_key(runner))
            .collect();
        for key in keys.iter().flatten() {
            self.state.begin_evacuation(*key, purpose.stage(), now);
            if purpose == EvacuationPurpose::Move {
                self.state.evict_resumable(*key, now);
            }
        }
        let known: Vec<RunnerKey> = keys.iter().flatten().copied().collect();
        let mut decisions = self
            .state
            .evacuate(&known, purpose.orders_follow(), now)
            .into_iter();
        let requested = runners.iter().zip(keys);
        requested
            .map(|(runner, key)| match key {
                Some(_) => {
                    let decision = decisions.next()?;
                    self.log_relocation(runner, &decision, purpose);
                    Some(decision.status)
                }
                None => self.state.unlisted_evacuation_status(runner),
            })
            .collect()
    }

    /// Logs that a task is moved off a runner whose evacuation waits for it.
    fn log_relocation(
        &self,
        runner: &str,
        decision: &EvacuationDecision,
        purpose: EvacuationPurpose,
    ) {
        if let Some(task) = &decision.relocated {
            event!(
                Info,
                "task_relocated",
                task = task,
                runner = runner,
                pool = self.context.pool,
                purpose = format_args!("{purpose:?}")
            );
        }
    }

    /// Applies the listed runners of the pool and the queue policies in effect.
    pub(super) fn sync_fleet(&mut self) {
        let now = self.now();
        // Runners that were listed before this owner took over count as long-standing
        // members of the pool; the VM loops know of those that have just been moved.
        let since = if self.has_synced { now } else { 0 };
        self.has_synced = true;
        self.instances.handle_list_change();
        let fleet = self.context.fleet.borrow().clone();
        self.state.set_policies(&fleet.policies);
        let cordoned_before = self.state.cordoned_load();
        let cordons_changed = self.state.set_cordoned_halls(fleet.cordons.names());
        let own: Vec<_> = fleet
            .runners
            .values()
            .filter(|record| record.pool == self.context.pool)
            .collect();
        for record in own {
            self.apply_runner_record(record, since);
        }
        self.update_warmth(!self.knew_list, now);
        self.knew_list = fleet.listed;
        let known: Vec<(RunnerKey, String)> = self
            .state
            .runners()
            .map(|(key, runner)| (key, runner.facts.name.clone()))
            .collect();
        for (key, name) in known {
            if !fleet.runners.contains_key(&name) {
                self.state.unlist_runner(key);
                self.remove_if_expired(key, now);
            }
        }
        if cordons_changed {
            self.log_cordons(&cordoned_before, &fleet.cordons);
        }
    }

    /// Removes a runner that is not listed any more, once nothing can run on it.
    fn remove_if_expired(&mut self, key: RunnerKey, now: Millis) {
        let is_expired = self
            .state
            .runner(key)
            .is_some_and(|runner| !runner.ready && runner.lease_until <= now);
        if is_expired {
            self.remove_runner(key, RemovalReason::Silent);
        }
    }

    /// Publishes the number of sessions, by which each session paces its heartbeats.
    pub(super) fn publish_session_count(&self) {
        let sessions = u32::try_from(self.sessions.len());
        self.session_count.set(sessions.unwrap_or(u32::MAX));
    }

    /// Removes a runner and ends its session.
    pub(super) fn remove_runner(&mut self, key: RunnerKey, reason: RemovalReason) {
        let now = self.now();
        let instance = self.state.instance_of(key);
        self.end_session(key, reason.may_delay_calls());
        self.instances.remove_key(key);
        self.publish_session_count();
        if let Some(instance) = instance {
            self.count_event("runner_gone");
            event!(Info, "runner_gone", runner = instance, why = reason);
            self.state.remove_runner(key, reason.loss_kind(), now);
        }
    }

    /// Lets sessions acknowledge the ends that are recorded, if nothing waits to be written.
    pub(super) fn acknowledge_recorded(&mut self) {
        if self.journal.is_none() || self.state.needs_flush() {
            return;
        }
        for (key, session) in &self.sessions {
            if let Some(runner) = self.state.runner(*key) {
                session.acknowledge(runner.last_seen_end);
            }
        }
    }
}
