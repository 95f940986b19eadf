//! Calls of nodes to simulated runners: travel times, cuts, lost responses, and orders that are
//! carried out late.

use std::time::Duration;

use hoisthitch_jobs::{
    HeartbeatReport,
    PaceOrder,
    StartOrder,
    StartOutcome,
    StopOrder, //
};
use hoisthitch_scheduler::platform::{
    HeartbeatRequest,
    OrderLease,
    RunnerAddress,
    RunnerControl,
    RunnerError, //
};
use tokio::time::Instant;

use super::{
    super::{
        order::yield_in_order,
        sharing::PaceFate,
        spawn_detached, //
    },
    CALL_TIMEOUT,
    MemoryFleet,
    ONE_WAY_TIME, //
};

/// Travels one way.
async fn travel() {
    yield_in_order().await;
    tokio::time::sleep(ONE_WAY_TIME).await;
}

/// Time between two checks whether a cut is healed.
const HEALED_TICK: Duration = Duration::from_millis(1);

impl MemoryFleet {
    /// Waits until calls of this node reach the runner.
    async fn wait_healed(&self, name: &str) {
        while !self.request_arrives(name) {
            tokio::time::sleep(HEALED_TICK).await;
        }
    }

    /// Whether a call that was sent at `sent` was in transit when a cut that resets began, and the
    /// network holds it back: its connection is reset, and it arrives once the cut is healed.
    fn is_reset_and_held(&self, name: &str, sent: Instant) -> bool {
        let state = self.state.borrow();
        let runner = state.runners.get(name);
        let in_transit = runner.is_some_and(|runner| sent <= runner.cut_changed_at);
        drop(state);
        self.state.borrow().holds_calls && in_transit && self.refuses(name)
    }

    /// Delivers a heartbeat once the cut is healed; nothing waits for its result.
    fn deliver_held(&self, name: &str, request: HeartbeatRequest) {
        let (fleet, name) = (self.clone(), name.to_owned());
        spawn_detached(async move {
            fleet.wait_healed(&name).await;
            let _ = MemoryFleet::heartbeat(&fleet, &name, request);
        });
    }

    /// Carries out a start that was sent at `sent` and held up since.
    fn start_late(&self, name: &str, order: &StartOrder, lease: OrderLease, sent: Instant) {
        let unguarded = self.is_unguarded(name, sent);
        self.state.borrow_mut().rules.set_late(true);
        self.state.borrow_mut().unguarded = unguarded;
        self.state.borrow_mut().sent = Some(sent);
        self.start(name, order, lease);
        self.state.borrow_mut().unguarded = false;
        self.state.borrow_mut().sent = None;
        self.state.borrow_mut().rules.set_late(false);
    }
}

impl RunnerControl for MemoryFleet {
    async fn start(
        &self,
        runner: &RunnerAddress,
        order: &StartOrder,
        lease: OrderLease,
    ) -> StartOutcome {
        let sent = Instant::now();
        travel().await;
        if self.is_reset_and_held(&runner.instance.name, sent) {
            let (fleet, name, order) = (self.clone(), runner.instance.name.clone(), order.clone());
            spawn_detached(async move {
                fleet.wait_healed(&name).await;
                fleet.start_late(&name, &order, lease, sent);
            });
            return StartOutcome::Unclear;
        }
        if self.refuses(&runner.instance.name) {
            return StartOutcome::NotSent;
        }
        let cut = !self.request_arrives(&runner.instance.name);
        let held = cut && self.state.borrow().holds_calls;
        if cut || self.is_late() {
            let (fleet, name, order) = (self.clone(), runner.instance.name.clone(), order.clone());
            let late_by = self.state.borrow().late_by;
            let late = late_by + Duration::from_millis(u64::from(order.run) * 700);
            let sent = Instant::now();
            spawn_detached(async move {
                if held {
                    fleet.wait_healed(&name).await;
                } else {
                    tokio::time::sleep(late).await;
                }
                fleet.start_late(&name, &order, lease, sent);
            });
            tokio::time::sleep(CALL_TIMEOUT).await;
            return StartOutcome::Unclear;
        }
        if self.is_refused() {
            travel().await;
            return StartOutcome::NoRoom;
        }
        let task = order.name.to_string();
        let before = self.starts(&task);
        let outcome = MemoryFleet::start(self, &runner.instance.name, order, lease);
        if self.starts(&task) > before {
            self.check_cancel(order);
        }
        travel().await;
        if self.refuses(&runner.instance.name) {
            return StartOutcome::Unclear;
        }
        if !self.response_arrives(&runner.instance.name) {
            tokio::time::sleep(CALL_TIMEOUT).await;
            return StartOutcome::Unclear;
        }
        outcome
    }

    async fn stop(
        &self,
        runner: &RunnerAddress,
        order: &StopOrder,
        epoch: u64,
    ) -> Result<(), RunnerError> {
        travel().await;
        if self.refuses(&runner.instance.name) {
            return Err(RunnerError::NotListening);
        }
        if !self.request_arrives(&runner.instance.name) || self.is_late() {
            tokio::time::sleep(CALL_TIMEOUT).await;
            return Err(RunnerError::NoAnswer("lost".to_owned()));
        }
        let stopped = MemoryFleet::stop(self, &runner.instance.name, order, epoch);
        travel().await;
        if self.refuses(&runner.instance.name) {
            return Err(RunnerError::ConnectionLost("reset".to_owned()));
        }
        if !self.response_arrives(&runner.instance.name) {
            tokio::time::sleep(CALL_TIMEOUT).await;
            return Err(RunnerError::NoAnswer("response lost".to_owned()));
        }
        stopped
    }

    async fn heartbeat(
        &self,
        runner: &RunnerAddress,
        request: HeartbeatRequest,
    ) -> Result<HeartbeatReport, RunnerError> {
        let sent = Instant::now();
        travel().await;
        if self.is_reset_and_held(&runner.instance.name, sent) {
            self.deliver_held(&runner.instance.name, request);
            return Err(RunnerError::ConnectionLost("reset".to_owned()));
        }
        if self.refuses(&runner.instance.name) {
            return Err(RunnerError::NotListening);
        }
        if !self.request_arrives(&runner.instance.name) {
            if self.state.borrow().holds_calls {
                self.deliver_held(&runner.instance.name, request);
            }
            tokio::time::sleep(request.wait + CALL_TIMEOUT).await;
            return Err(RunnerError::NoAnswer("cut".to_owned()));
        }
        // The fencing token and the lease take effect when the request arrives.
        let instance = self.instance_began(&runner.instance.name);
        MemoryFleet::heartbeat(self, &runner.instance.name, request)?;
        let until = Instant::now() + request.wait;
        while Instant::now() < until && !self.has_end(&runner.instance.name, request.acked_end) {
            tokio::time::sleep(Duration::from_millis(5)).await;
            // The process at the other end has ended, or the connection was cut with a reset.
            if self.instance_began(&runner.instance.name) != instance
                || self.refuses(&runner.instance.name)
            {
                return Err(RunnerError::ConnectionLost("reset".to_owned()));
            }
        }
        let ahead = self.state.borrow().acks_cover_later_ends;
        let report = MemoryFleet::heartbeat(
            self,
            &runner.instance.name,
            HeartbeatRequest {
                lease_end_ms: None,
                acked_end: if ahead { request.acked_end } else { 0 },
                ..request
            },
        );
        travel().await;
        if self.refuses(&runner.instance.name) {
            return Err(RunnerError::ConnectionLost("reset".to_owned()));
        }
        if !self.response_arrives(&runner.instance.name) {
            tokio::time::sleep(CALL_TIMEOUT).await;
            return Err(RunnerError::NoAnswer("cut".to_owned()));
        }
        report
    }

    async fn pace(
        &self,
        runner: &RunnerAddress,
        order: &PaceOrder,
        epoch: u64,
    ) -> Result<(), RunnerError> {
        travel().await;
        if self.refuses(&runner.instance.name) {
            return Err(RunnerError::NotListening);
        }
        let fate = self.next_pace_fate();
        if !self.request_arrives(&runner.instance.name) || fate == PaceFate::Lost {
            tokio::time::sleep(CALL_TIMEOUT).await;
            return Err(RunnerError::NoAnswer("lost".to_owned()));
        }
        if let PaceFate::Late(late) = fate {
            let (fleet, name, order) = (self.clone(), runner.instance.name.clone(), order.clone());
            spawn_detached(async move {
                tokio::time::sleep(late).await;
                // The caller has timed out, so that nothing waits for the result.
                let _ = fleet.set_pace(&name, &order, epoch);
            });
            tokio::time::sleep(CALL_TIMEOUT).await;
            return Err(RunnerError::NoAnswer("late".to_owned()));
        }
        let paced = self.set_pace(&runner.instance.name, order, epoch);
        travel().await;
        if !self.response_arrives(&runner.instance.name) {
            tokio::time::sleep(CALL_TIMEOUT).await;
            return Err(RunnerError::NoAnswer("response lost".to_owned()));
        }
        paced
    }
}
