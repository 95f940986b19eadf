//! Heartbeats of a session: sent one after the other for as long as the session lasts.
//!
//! A heartbeat renews the lease of what runs on the runner, and returns what runs there and what
//! has ended. It is a long poll, except where it acknowledges the last recorded end. What the
//! owner has to know is sent to it as [`SessionEvent`]s.

use std::{
    rc::Rc,
    time::Duration, //
};

use hoisthitch_jobs::{
    HeartbeatReport,
    Millis, //
};
use hoisthitch_telemetry::event;
use tokio::{
    sync::{
        MutexGuard,
        Notify,
        watch, //
    },
    time::timeout, //
};

use super::{
    SessionContext,
    SessionEvent,
    gate::TransitGate,
    lease::{
        GrantedLease,
        LeaseClock, //
    }, //
};
use crate::platform::{
    HeartbeatRequest,
    RunnerControl,
    RunnerError, //
};

/// Time for which a heartbeat waits for an end. The pace of best-effort tasks is decided once
/// for each heartbeat, which has to happen several times within the time for which a tail
/// latency may be over its target.
const HEARTBEAT_WAIT: Duration = Duration::from_millis(700);

/// Maximum delay of the next heartbeat while ends, or the end of a silence, are not recorded.
const RECORD_TIMEOUT: Duration = Duration::from_millis(500);

/// Minimum interval between two heartbeats, so that ends at about the same time are read
/// together.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(15);

/// The same for each runner of the pool: an owner of hundreds of runners otherwise spends the
/// processor time that its starts need on heartbeats, one for each end. With 700 runners an
/// end is read up to 70 ms later, and 5 percent more of the attainable value is reached on a
/// fleet of 1,100 VMs (two simulated days, together with cheaper calls, docs/MEASURED.md).
const HEARTBEAT_INTERVAL_PER_RUNNER: Duration = Duration::from_micros(100);

/// Age of the last response up to which the next heartbeat may acknowledge ends, in
/// milliseconds: shorter than the restart of a runner (its process ends, starts and listens),
/// and longer than the interval between two heartbeats. An instance that started since the
/// last response would take the acknowledgement for its own ends, and forget ends that were
/// never read. After a longer time, a heartbeat that acknowledges nothing is sent first.
const FRESH_RESPONSE_MS: Millis = 140;

/// Longest wait of a heartbeat that has ends to acknowledge for starts in transit; after that
/// it is sent without the acknowledgement, since it also renews the lease.
const ACK_TURN_TIMEOUT: Duration = Duration::from_millis(50);

/// Maximum interval between two heartbeats of a runner that responds.
const MAX_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Time beyond its wait within which a heartbeat fails if its connection was reset or refused;
/// without a response it takes longer.
const RESET_TIMEOUT: Duration = Duration::from_millis(500);

/// Time beyond its wait after which a heartbeat without a response is overdue, in milliseconds:
/// half of the time after which calls to runners fail.
const RESPONSE_OVERDUE_MS: Millis = 450;

/// Delay after a failed heartbeat.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Number of consecutive heartbeats that find nothing listening at the address of a runner
/// which responded before, after which its loss is suspected. They don't show that its process
/// has ended: a firewall between may refuse connections to a runner that goes on.
const REFUSALS_OF_SUSPECTED_LOSS: u32 = 2;

/// Signals of the owner to the heartbeats of a session.
pub(super) struct HeartbeatSignals {
    /// Number of the last recorded end.
    pub(super) recorded_end: watch::Receiver<u64>,
    /// Number of missed heartbeats up to which the runner may have leases again; it gets none
    /// while it has missed more.
    pub(super) cleared_misses: watch::Receiver<u64>,
    /// Notified when the runner may have another instance.
    pub(super) instance_check: Rc<Notify>,
    pub(super) gate: Rc<TransitGate>,
}

/// The heartbeats of a session.
pub(super) struct HeartbeatLoop<R> {
    context: Rc<SessionContext<R>>,
    clock: Rc<LeaseClock>,
    signals: HeartbeatSignals,
    /// Start time of the current instance, if it is known.
    started_at: Option<u64>,
    /// When the last response came; none after a heartbeat without one.
    responded_at: Option<Millis>,
    /// Number of heartbeats without a response so far; one at the beginning, since a runner
    /// counts as silent before its first response.
    misses: u64,
    /// Consecutive heartbeats that found nothing listening; none before the first response.
    refusals: Option<u32>,
    /// Number of the last end whose acknowledgement was answered.
    acked_end: u64,
}

/// A heartbeat that is about to be sent.
#[derive(Clone, Copy)]
struct HeartbeatPlan {
    sent_at: Millis,
    /// Number of the last recorded end, whether this heartbeat acknowledges it or not.
    recorded_end: u64,
    /// Whether the heartbeat acknowledges it. Each end is acknowledged by one heartbeat only,
    /// which does not wait: it is in transit for as short a time as possible.
    acknowledges: bool,
    /// Whether there is an end to acknowledge.
    has_unacked: bool,
    lease: Option<GrantedLease>,
}

impl<R: RunnerControl> HeartbeatLoop<R> {
    pub(super) fn new(
        context: Rc<SessionContext<R>>,
        clock: Rc<LeaseClock>,
        signals: HeartbeatSignals,
    ) -> Self {
        Self {
            started_at: context.address.instance.started_at,
            context,
            clock,
            signals,
            responded_at: None,
            misses: 1,
            refusals: None,
            acked_end: 0,
        }
    }

    /// Sends heartbeats until the owner ends the session, or a response shows another instance,
    /// another runner or a higher fencing token.
    pub(super) async fn run(mut self) {
        while self.signals.recorded_end.has_changed().is_ok() {
            let gate = self.signals.gate.clone();
            // The gate is passed first, since the plan depends on the time.
            let turn = self.turn_to_acknowledge(&gate).await;
            let plan = self.plan(turn.is_some());
            let wait_ms = self.request(plan).wait.as_millis() as Millis;
            gate.record_heartbeat(plan.sent_at + wait_ms + RESPONSE_OVERDUE_MS);
            let call = self
                .context
                .runners
                .heartbeat(&self.context.address, self.request(plan));
            let response = tokio::select! {
                biased;
                response = call => Some(response),
                () = self.signals.instance_check.notified() => None,
            };
            let now = self.context.shared.clock.now();
            let failed_at_once = self.failed_at_once(plan, &response, now);
            if plan.acknowledges && self.may_have_strayed(&response) {
                gate.record_unanswered_ack(now);
            }
            let responded =
                matches!(&response, Some(Ok(report)) if self.new_start_time(report).is_none());
            if !responded {
                // Recorded before the gate opens for a start that waits for it.
                gate.record_silence();
            }
            drop(turn);
            match response {
                Some(Ok(report)) => {
                    if let Some(started_at) = self.new_start_time(&report) {
                        let runner = self.context.key;
                        return self
                            .context
                            .emit(SessionEvent::Restarted { runner, started_at });
                    }
                    self.handle_report(plan, report).await;
                }
                Some(Err(RunnerError::WrongLife)) => {
                    let runner = self.context.key;
                    return self.context.emit(SessionEvent::Replaced { runner });
                }
                Some(Err(RunnerError::Fenced)) => {
                    let runner = self.context.key;
                    return self.context.emit(SessionEvent::Fenced { runner });
                }
                Some(Err(err)) => {
                    self.log_lost(&err);
                    self.count_refusal(&err);
                    self.record_miss(plan, failed_at_once);
                    if self.refusals == Some(REFUSALS_OF_SUSPECTED_LOSS) {
                        let runner = self.context.key;
                        self.context.emit(SessionEvent::LossSuspected { runner });
                    }
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                // The heartbeat was cancelled for one that is sent at once. Whether it arrived is
                // not known, so it counts as missed.
                None => self.record_miss(plan, false),
            }
        }
    }

    /// Plans the next heartbeat. It grants a lease only if the runner responded to the last one,
    /// and if the owner allows leases again after the missed ones.
    fn plan(&mut self, has_turn: bool) -> HeartbeatPlan {
        let recorded_end = *self.signals.recorded_end.borrow_and_update();
        let sent_at = self.context.shared.clock.now();
        let is_fresh = |at| sent_at < at + FRESH_RESPONSE_MS;
        let is_cleared = *self.signals.cleared_misses.borrow() >= self.misses;
        let may_extend = self.responded_at.is_some() && is_cleared;
        let is_safe = self.signals.gate.allows_ack() && self.responded_at.is_some_and(is_fresh);
        HeartbeatPlan {
            sent_at,
            recorded_end,
            acknowledges: has_turn && recorded_end > self.acked_end && is_safe,
            has_unacked: recorded_end > self.acked_end,
            lease: self.context.next_lease(&self.clock, sent_at, may_extend),
        }
    }

    fn request(&self, plan: HeartbeatPlan) -> HeartbeatRequest {
        let waits = plan.lease.is_some() && !plan.has_unacked;
        HeartbeatRequest {
            token: self.context.token,
            acked_end: if plan.acknowledges {
                plan.recorded_end
            } else {
                0
            },
            lease_end_ms: plan.lease.map(|lease| lease.lease_end_ms),
            wait: if waits {
                HEARTBEAT_WAIT
            } else {
                Duration::ZERO
            },
        }
    }

    /// Passes the gate if there are ends to acknowledge, and no start is in transit for long.
    async fn turn_to_acknowledge<'a>(&self, gate: &'a TransitGate) -> Option<MutexGuard<'a, ()>> {
        if *self.signals.recorded_end.borrow() <= self.acked_end {
            return None;
        }
        timeout(ACK_TURN_TIMEOUT, gate.turn()).await.ok()
    }

    /// Whether an acknowledgement that got this response may have reached, or may still reach,
    /// a later instance. One that was refused does not. One whose connection was reset may have
    /// been held up on the way, and arrive when the next instance runs.
    fn may_have_strayed(&self, response: &Option<Result<HeartbeatReport, RunnerError>>) -> bool {
        match response {
            Some(Ok(report)) => self.new_start_time(report).is_some(),
            Some(Err(RunnerError::NoAnswer(_) | RunnerError::ConnectionLost(_))) => true,
            Some(Err(_)) => false,
            None => true,
        }
    }

    /// Whether a heartbeat that failed by `now` did so because its connection was reset or
    /// refused. A connection that fails later may have been cut off.
    fn failed_at_once(
        &self,
        plan: HeartbeatPlan,
        response: &Option<Result<HeartbeatReport, RunnerError>>,
        now: Millis,
    ) -> bool {
        let has_failed = matches!(
            response,
            Some(Err(
                RunnerError::NotListening | RunnerError::ConnectionLost(_)
            ))
        );
        let waited = Duration::from_millis(now.saturating_sub(plan.sent_at));
        has_failed && waited < self.request(plan).wait + RESET_TIMEOUT
    }

    /// Start time of the instance that responded, if it is not the one before. Heartbeats of a
    /// session go one after the other, so that another instance is always a later one, whatever
    /// the start times say: a VM's time of day may have been set back.
    fn new_start_time(&self, report: &HeartbeatReport) -> Option<u64> {
        let before = self.started_at?;
        report.started_at.filter(|started_at| *started_at != before)
    }

    /// Handles the response to a heartbeat, and waits until the next one is due.
    async fn handle_report(&mut self, plan: HeartbeatPlan, report: HeartbeatReport) {
        let now = self.context.shared.clock.now();
        self.responded_at = Some(now);
        self.refusals = Some(0);
        self.started_at = report.started_at.or(self.started_at);
        self.signals.gate.record_response(plan.sent_at);
        if plan.acknowledges {
            self.acked_end = plan.recorded_end;
        }
        self.clock.record_reading(report.clock_ms, now);
        let last = report.ended.iter().map(|end| end.number).max();
        self.context.emit(SessionEvent::HeartbeatSucceeded {
            runner: self.context.key,
            report,
            sent_at: plan.sent_at,
            leased_until: plan.lease.map(|lease| lease.until),
            misses: self.misses,
        });
        if let Some(last) = last.filter(|last| *last > plan.recorded_end) {
            let all_recorded = self
                .signals
                .recorded_end
                .wait_for(|recorded| *recorded >= last);
            // If they are not recorded in time, the next heartbeat reports the same ends.
            let _ = timeout(RECORD_TIMEOUT, all_recorded).await;
        } else if !plan.has_unacked {
            tokio::time::sleep(self.context.heartbeat_interval()).await;
        }
        // A heartbeat that may not grant a lease is not useful yet.
        let misses = self.misses;
        let cleared = self
            .signals
            .cleared_misses
            .wait_for(|cleared_misses| *cleared_misses >= misses);
        let _ = timeout(RECORD_TIMEOUT, cleared).await;
    }

    /// Counts consecutive heartbeats that found nothing listening.
    fn count_refusal(&mut self, err: &RunnerError) {
        let refused = *err == RunnerError::NotListening;
        if let Some(refusals) = &mut self.refusals {
            *refusals = if refused { *refusals + 1 } else { 0 };
        }
    }

    /// Logs the first failed heartbeat after a response.
    fn log_lost(&self, err: &RunnerError) {
        if self.responded_at.is_some() {
            event!(
                Warn,
                "runner_lost",
                runner = self.context.address.instance,
                error = err
            );
        }
    }

    /// Handles a heartbeat without a response; `reset` says that it failed at once.
    fn record_miss(&mut self, plan: HeartbeatPlan, reset: bool) {
        self.responded_at = None;
        self.misses += 1;
        let runner = self.context.key;
        self.context.emit(SessionEvent::HeartbeatMissed {
            runner,
            reset,
            sent_at: plan.sent_at,
        });
    }
}

impl<R> SessionContext<R> {
    /// Interval between two heartbeats; it grows with the number of the owner's sessions.
    fn heartbeat_interval(&self) -> Duration {
        let gap =
            MIN_HEARTBEAT_INTERVAL.max(HEARTBEAT_INTERVAL_PER_RUNNER * self.session_count.get());
        gap.min(MAX_HEARTBEAT_INTERVAL)
    }
}
