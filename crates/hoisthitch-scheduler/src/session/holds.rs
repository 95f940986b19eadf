//! Holds: one after the other, for as long as the session lasts.

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
        Notify,
        watch, //
    },
    time::timeout, //
};

use super::{
    SessionContext,
    SessionEvent,
    lease::{
        HoldLease,
        LeaseClock, //
    }, //
};
use crate::platform::{
    HeartbeatRequest,
    RunnerControl,
    RunnerError, //
};

/// Time for which a hold waits for an end: the pace of fillers is decided as
/// often, and several times within the time that a tail may be over its target.
const HOLD_WAIT: Duration = Duration::from_millis(700);

/// Longest wait of a hold for ends, or for the end of a silence, to be recorded.
const RECORD_WAIT: Duration = Duration::from_millis(500);

/// Least time between two holds, so that ends which come together are read
/// together.
const HOLD_GAP: Duration = Duration::from_millis(15);

/// The same for each runner of the pool: an owner of hundreds of them otherwise spends
/// on holds, one for each end, the processor time that its starts need. With 700 runners
/// an end is read up to 70 ms later, and 5 in 100 more of what is owed is earned in time
/// on a fleet of 1,100 VMs (two plays, together with leaner calls, docs/MEASURED.md).
const HOLD_GAP_EACH: Duration = Duration::from_micros(100);

/// Age of the last answer up to which the next hold may acknowledge ends, in milliseconds:
/// shorter than a runner takes to start again (its process ends, begins and listens), and
/// longer than the time between two holds. A life that came since would forget ends that
/// nobody has read. Otherwise a hold that acknowledges nothing goes before.
const ANSWER_FRESH_MS: Millis = 140;

/// Longest time between two holds of a runner that answers.
const HOLD_GAP_MOST: Duration = Duration::from_millis(100);

/// Time beyond its wait within which a hold fails whose connection was reset or refused;
/// one that gets no answer takes longer.
const RESET_LIMIT: Duration = Duration::from_millis(500);

/// Wait after a hold that failed.
const RETRY_WAIT: Duration = Duration::from_millis(250);

/// Holds in a row that find nothing listening at the address of a runner that answered
/// before, after which its process has ended: one connection may be refused for its own
/// reasons.
const REFUSALS_OF_ENDED: u32 = 2;

/// What the holds of a session go by.
pub(super) struct HoldSignals {
    /// Last end that is recorded.
    pub(super) told: watch::Receiver<u64>,
    /// Silences after which the runner may have leases again.
    pub(super) settled: watch::Receiver<u64>,
    /// Told that the runner may have another life.
    pub(super) hint: Rc<Notify>,
}

/// The holds of a session.
pub(super) struct HoldLoop<R> {
    context: Rc<SessionContext<R>>,
    clock: Rc<LeaseClock>,
    signals: HoldSignals,
    /// Birth of the life that is there, as far as it is told.
    instance: Option<u64>,
    /// When the last answer came; none after a hold without one.
    answered: Option<Millis>,
    /// Silences of the runner so far; it is silent before its first answer.
    silences: u64,
    /// Holds in a row that found nothing listening; none before the first answer.
    refusals: Option<u32>,
}

/// A hold that is about to be sent.
#[derive(Clone, Copy)]
struct HoldPlan {
    asked_at: Millis,
    /// Last end that is recorded, whether it is acknowledged with this hold or not.
    recorded: u64,
    /// Whether the hold acknowledges it.
    acknowledges: bool,
    lease: Option<HoldLease>,
}

impl<R: RunnerControl> HoldLoop<R> {
    pub(super) fn new(
        context: Rc<SessionContext<R>>,
        clock: Rc<LeaseClock>,
        signals: HoldSignals,
    ) -> Self {
        Self {
            instance: context.address.instance.started_at,
            context,
            clock,
            signals,
            answered: None,
            silences: 1,
            refusals: None,
        }
    }

    /// Holds until the session is over, or the runner shows that it is.
    pub(super) async fn run(mut self) {
        while self.signals.told.has_changed().is_ok() {
            let plan = self.plan();
            let asked = self
                .context
                .runners
                .heartbeat(&self.context.address, self.request(plan));
            let answer = tokio::select! {
                answer = asked => Some(answer),
                () = self.signals.hint.notified() => None,
            };
            match answer {
                Some(Ok(report)) => {
                    if let Some(started_at) = self.new_birth(&report) {
                        let runner = self.context.key;
                        return self
                            .context
                            .tell(SessionEvent::Renewed { runner, started_at });
                    }
                    self.take_report(plan, report).await;
                }
                Some(Err(RunnerError::WrongLife)) => {
                    let runner = self.context.key;
                    return self.context.tell(SessionEvent::Replaced { runner });
                }
                Some(Err(RunnerError::Fenced)) => {
                    let runner = self.context.key;
                    return self.context.tell(SessionEvent::Fenced { runner });
                }
                Some(Err(err)) => {
                    self.log_loss(&err);
                    self.count_refusal(&err);
                    let now = self.context.shared.clock.now();
                    let waited = Duration::from_millis(now.saturating_sub(plan.asked_at));
                    self.miss(waited < self.request(plan).wait + RESET_LIMIT);
                    if self.refusals == Some(REFUSALS_OF_ENDED) {
                        let runner = self.context.key;
                        self.context.tell(SessionEvent::Ended { runner });
                    }
                    tokio::time::sleep(RETRY_WAIT).await;
                }
                None => self.miss(false),
            }
        }
    }

    fn plan(&mut self) -> HoldPlan {
        let recorded = *self.signals.told.borrow_and_update();
        let asked_at = self.context.shared.clock.now();
        let is_fresh = |at| asked_at < at + ANSWER_FRESH_MS;
        let is_settled = *self.signals.settled.borrow() >= self.silences;
        let may_run = self.answered.is_some() && is_settled;
        HoldPlan {
            asked_at,
            recorded,
            acknowledges: self.answered.is_some_and(is_fresh),
            lease: self.context.lease(&self.clock, asked_at, may_run),
        }
    }

    fn request(&self, plan: HoldPlan) -> HeartbeatRequest {
        let waits = plan.lease.is_some() && plan.is_whole();
        HeartbeatRequest {
            epoch: self.context.token,
            acked_end: if plan.acknowledges { plan.recorded } else { 0 },
            lease_end_ms: plan.lease.map(|lease| lease.lease_end_ms),
            wait: if waits { HOLD_WAIT } else { Duration::ZERO },
        }
    }

    /// Birth of the life that answers, where another one was there before. A session's holds
    /// go one after the other, so that the answer of another life is that of a later one,
    /// whatever their births say: a VM's time of day may have been set back.
    fn new_birth(&self, report: &HeartbeatReport) -> Option<u64> {
        let before = self.instance?;
        report.started_at.filter(|started_at| *started_at != before)
    }

    /// Takes in what the runner holds, and waits until the next hold is due.
    async fn take_report(&mut self, plan: HoldPlan, report: HeartbeatReport) {
        let now = self.context.shared.clock.now();
        self.answered = Some(now);
        self.refusals = Some(0);
        self.instance = report.started_at.or(self.instance);
        self.clock.read(report.clock_ms, now);
        let last = report.ended.iter().map(|end| end.number).max();
        self.context.tell(SessionEvent::Held {
            runner: self.context.key,
            report,
            asked_at: plan.asked_at,
            leased_until: plan.lease.map(|lease| lease.until),
            silences: self.silences,
        });
        if let Some(last) = last.filter(|last| *last > plan.recorded) {
            let all_recorded = self.signals.told.wait_for(|recorded| *recorded >= last);
            // The next hold reports the same ends if they are not.
            let _ = timeout(RECORD_WAIT, all_recorded).await;
        } else if plan.is_whole() {
            tokio::time::sleep(self.context.hold_gap()).await;
        }
        // Without a lease to give there is nothing to hold for.
        let silences = self.silences;
        let may_run = self
            .signals
            .settled
            .wait_for(|settled| *settled >= silences);
        let _ = timeout(RECORD_WAIT, may_run).await;
    }

    fn count_refusal(&mut self, err: &RunnerError) {
        let refused = *err == RunnerError::NotListening;
        if let Some(refusals) = &mut self.refusals {
            *refusals = if refused { *refusals + 1 } else { 0 };
        }
    }

    fn log_loss(&self, err: &RunnerError) {
        if self.answered.is_some() {
            event!(
                Warn,
                "runner_lost",
                runner = self.context.address.instance,
                error = err
            );
        }
    }

    /// Takes in that a hold got no answer; `reset`, at once.
    fn miss(&mut self, reset: bool) {
        self.answered = None;
        self.silences += 1;
        let runner = self.context.key;
        self.context.tell(SessionEvent::Missed { runner, reset });
    }
}

impl HoldPlan {
    /// Whether nothing is left to acknowledge with another hold.
    fn is_whole(self) -> bool {
        self.acknowledges || self.recorded == 0
    }
}

impl<R> SessionContext<R> {
    fn hold_gap(&self) -> Duration {
        let gap = HOLD_GAP.max(HOLD_GAP_EACH * self.sessions.get());
        gap.min(HOLD_GAP_MOST)
    }
}
