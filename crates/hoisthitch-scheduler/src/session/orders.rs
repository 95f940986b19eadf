//! Orders to a runner: sent one after the other, in the sequence in which they were decided.
//!
//! A start is checked once more right before it is sent, since it may have waited behind other
//! orders. A start that is not sent is reported to the owner, which decides again.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc, //
};

use hoisthitch_jobs::{
    Millis,
    PaceOrder,
    StartOrder,
    StartOutcome,
    StopOrder,
    TaskName, //
};
use hoisthitch_telemetry::event;
use tokio::sync::mpsc;

use super::{
    RunnerOrder,
    SessionContext,
    SessionEvent,
    gate::TransitGate,
    lease::LeaseClock, //
};
use crate::{
    metrics::seconds,
    platform::{
        OrderLease,
        RunnerControl,
        RunnerError, //
    }, //
};

/// Maximum time for which a start may be queued, in milliseconds. Behind orders that get no
/// response it could be sent seconds after it was decided, when its job is cancelled or its
/// runner is about to shut down; the platform allows two seconds.
const MAX_START_QUEUED_MS: Millis = 1_000;

/// Why a run is withdrawn.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Withdrawal {
    /// A stop of it is queued.
    StopQueued,
    /// The stops of it that are queued were decided on too long ago, and must not be sent.
    StopRevoked,
    /// The owner has given it up, and may have ordered the next run of its task.
    Abandoned,
}

/// Runs that were ordered to stop or given up, until all orders that were queued before that
/// are handled. A start of such a run is not sent: behind orders without a response the run
/// could begin a second after its job was cancelled, or while the next run of its task runs
/// elsewhere.
pub(super) type WithdrawnRuns = Rc<RefCell<HashMap<(TaskName, u32), Withdrawal>>>;

/// Why a queued start is not sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StartRefusal {
    /// A stop of its run is queued, its run was given up, or the session has ended.
    Withdrawn,
    /// Its runner is not listed any more, or is draining.
    RunnerDeparting,
    /// Its runner's data hall is cordoned.
    HallCordoned,
    /// Its runner's data hall counts as lost, and no copy of it was sent before.
    HallLost,
    /// The list of cordoned halls was not confirmed for too long.
    CordonsStale,
    /// The list of runners was not confirmed for too long, and the runner may be draining.
    ListStale,
    /// It was queued for too long.
    QueuedTooLong,
    /// The runner would refuse it, since the lease has expired.
    LeaseExpired,
    /// An acknowledgement of ends got no response, and may reach a later instance with it.
    AckUnanswered,
    /// The last heartbeat got no response or is overdue, and a later instance may have replaced
    /// the runner.
    RunnerSilent,
}

impl StartRefusal {
    fn as_str(self) -> &'static str {
        match self {
            Self::Withdrawn => "withdrawn",
            Self::RunnerDeparting => "runner_leaves",
            Self::HallCordoned => "hall_cordoned",
            Self::HallLost => "hall_lost",
            Self::CordonsStale => "cordons_old",
            Self::ListStale => "list_old",
            Self::QueuedTooLong => "waited",
            Self::LeaseExpired => "lease_over",
            Self::AckUnanswered => "ack_unanswered",
            Self::RunnerSilent => "runner_silent",
        }
    }
}

/// The queued orders of a session.
pub(super) struct OrderQueue {
    pub(super) queue: mpsc::Receiver<RunnerOrder>,
    pub(super) withdrawn: WithdrawnRuns,
}

impl OrderQueue {
    /// Whether a start is not wanted any more. After the end of the session nothing depends on
    /// it, and another instance of the runner may be current.
    fn is_withdrawn(&self, order: &StartOrder) -> bool {
        let withdrawn = self.withdrawn.borrow();
        // There may be thousands of starts in a second, of which hardly any is withdrawn.
        let is_named = || withdrawn.contains_key(&(order.name.clone(), order.run));
        self.queue.is_closed() || (!withdrawn.is_empty() && is_named())
    }

    /// Removes the withdrawal of a run, unless there is another reason for it by now.
    fn forget_withdrawal(&self, run: &(TaskName, u32), reason: Withdrawal) {
        let mut withdrawn = self.withdrawn.borrow_mut();
        if withdrawn.get(run) == Some(&reason) {
            withdrawn.remove(run);
        }
    }
}

/// Sends the orders of a session.
pub(super) struct OrderSender<R> {
    pub(super) context: Rc<SessionContext<R>>,
    pub(super) clock: Rc<LeaseClock>,
    pub(super) gate: Rc<TransitGate>,
}

impl<R: RunnerControl> OrderSender<R> {
    /// Sends queued orders one after the other until the session ends.
    pub(super) async fn run(self, mut orders: OrderQueue) {
        let context = &*self.context;
        while let Some(order) = orders.queue.recv().await {
            match order {
                RunnerOrder::Start(order, admitted_at) => {
                    let _turn = self.gate.turn().await;
                    match self.start_refusal(&order, admitted_at, &orders) {
                        Some(refusal) => context.drop_start(order, admitted_at, refusal),
                        None => self.send_start(order).await,
                    }
                }
                RunnerOrder::Stop(order) => {
                    let run = (order.name.clone(), order.run);
                    let withdrawal = orders.withdrawn.borrow().get(&run).copied();
                    if withdrawal == Some(Withdrawal::StopRevoked) {
                        context.drop_stop(&order);
                        continue;
                    }
                    send_stop(context, order).await;
                    // It may have been revoked meanwhile, for further copies.
                    orders.forget_withdrawal(&run, Withdrawal::StopQueued);
                }
                RunnerOrder::Forget(name, run) => {
                    orders.forget_withdrawal(&(name, run), Withdrawal::Abandoned);
                }
                RunnerOrder::Pace(order) => send_pace(context, order).await,
            }
        }
    }

    /// Sends a start and reports its outcome to the owner.
    async fn send_start(&self, mut order: StartOrder) {
        order.sent_at = Some(self.context.shared.clock.now());
        let outcome = send_start(&self.context, &self.clock, &order).await;
        if outcome == StartOutcome::Unclear {
            let now = self.context.shared.clock.now();
            self.gate.record_unanswered_start(now);
        }
        self.context
            .emit(SessionEvent::StartFinished { order, outcome });
    }

    /// Why a start that was admitted and queued at `admitted_at` is not sent now; none if it is.
    fn start_refusal(
        &self,
        order: &StartOrder,
        admitted_at: Millis,
        orders: &OrderQueue,
    ) -> Option<StartRefusal> {
        let refusal = self
            .context
            .start_refusal(order, admitted_at, &self.clock, orders);
        let now = self.context.shared.clock.now();
        refusal.or_else(|| {
            if !self.gate.allows_start() {
                return Some(StartRefusal::AckUnanswered);
            }
            self.gate
                .is_silent(now)
                .then_some(StartRefusal::RunnerSilent)
        })
    }
}

/// Sends a start and logs its outcome.
async fn send_start<R: RunnerControl>(
    context: &SessionContext<R>,
    clock: &LeaseClock,
    order: &StartOrder,
) -> StartOutcome {
    let lease = OrderLease {
        token: context.token,
        lease_end_ms: clock.granted_until_remote.get(),
    };
    let sent = context.shared.clock.now();
    let age_ms = sent.saturating_sub(order.decided_at);
    let list_age_ms = context.shared.runner_list_lease.age(sent);
    context.shared.metrics.start_age.observe(seconds(age_ms));
    let histogram = &context.shared.metrics.start_list_age;
    histogram.observe(seconds(list_age_ms));
    let outcome = context.runners.start(&context.address, order, lease).await;
    event!(
        Info,
        "task_ordered",
        task = order.name,
        run = order.run,
        runner = context.address.instance,
        token = context.token,
        copy = order.copy,
        age_ms = age_ms,
        list_age_ms = list_age_ms,
        took_ms = context.shared.clock.now() - sent,
        outcome = format_args!("{outcome:?}")
    );
    let counted = if outcome == StartOutcome::Started {
        "started"
    } else {
        "refused"
    };
    context.count("start", counted);
    if outcome == StartOutcome::Fenced {
        let runner = context.key;
        context.emit(SessionEvent::Fenced { runner });
    }
    if outcome == StartOutcome::WrongLife {
        let runner = context.key;
        context.emit(SessionEvent::Replaced { runner });
    }
    outcome
}

/// Sends a stop; only an acknowledged stop is reported to the owner.
async fn send_stop<R: RunnerControl>(context: &SessionContext<R>, order: StopOrder) {
    let stopped = context
        .runners
        .stop(&context.address, &order, context.token)
        .await;
    let outcome = context.record_outcome("stop", &stopped);
    event!(
        Info,
        "task_stopped",
        task = order.name,
        run = order.run,
        runner = context.address.instance,
        outcome = outcome
    );
    if stopped.is_ok() {
        context.emit(SessionEvent::StopAcknowledged(order));
    }
}

/// Sends the pace of a best-effort task; only a failure is reported to the owner.
async fn send_pace<R: RunnerControl>(context: &SessionContext<R>, order: PaceOrder) {
    let paced = context
        .runners
        .pace(&context.address, &order, context.token)
        .await;
    let outcome = context.record_outcome("pace", &paced);
    event!(
        Info,
        "task_paced",
        task = order.name,
        run = order.run,
        runner = context.address.instance,
        percent = order.percent,
        outcome = outcome
    );
    if paced.is_err() {
        context.emit(SessionEvent::PaceFailed(order));
    }
}

impl<R> SessionContext<R> {
    /// Why a start that was admitted and queued at `admitted_at` is not sent now; none if it is.
    fn start_refusal(
        &self,
        order: &StartOrder,
        admitted_at: Millis,
        clock: &LeaseClock,
        orders: &OrderQueue,
    ) -> Option<StartRefusal> {
        let now = self.shared.clock.now();
        if orders.is_withdrawn(order) {
            return Some(StartRefusal::Withdrawn);
        }
        if self
            .fleet
            .borrow()
            .is_departing(&self.address.instance.name)
        {
            return Some(StartRefusal::RunnerDeparting);
        }
        if self.fleet.borrow().is_cordoned(&self.address.instance.name) {
            return Some(StartRefusal::HallCordoned);
        }
        if order.copy <= 1 && self.is_hall_lost() {
            return Some(StartRefusal::HallLost);
        }
        if !self.shared.runner_list_lease.is_valid(now) {
            return Some(StartRefusal::ListStale);
        }
        if !self.shared.cordons_lease.is_valid(now) {
            return Some(StartRefusal::CordonsStale);
        }
        if now > admitted_at + MAX_START_QUEUED_MS {
            return Some(StartRefusal::QueuedTooLong);
        }
        (clock.granted_until.get() <= now).then_some(StartRefusal::LeaseExpired)
    }

    /// Whether the runner's data hall counts as lost.
    fn is_hall_lost(&self) -> bool {
        let lost = self.lost_halls.borrow();
        // There is hardly ever a lost hall.
        !lost.is_empty() && {
            let fleet = self.fleet.borrow();
            let record = fleet.runners.get(&self.address.instance.name);
            record.is_some_and(|record| lost.contains(&record.facts.hall))
        }
    }

    /// Drops a start and reports that to the owner, which decides again.
    fn drop_start(&self, order: StartOrder, admitted_at: Millis, refusal: StartRefusal) {
        let now = self.shared.clock.now();
        event!(
            Info,
            "start_not_sent",
            task = order.name,
            run = order.run,
            runner = self.address.instance,
            reason = refusal.as_str(),
            copy = order.copy,
            age_ms = now.saturating_sub(order.decided_at),
            list_age_ms = self.shared.runner_list_lease.age(now),
            waited_ms = now - admitted_at
        );
        self.count("start", "not_sent");
        let counter = &self.shared.metrics.starts_not_sent;
        counter.with_label_values(&[refusal.as_str()]).inc();
        let outcome = StartOutcome::NotSent;
        self.emit(SessionEvent::StartFinished { order, outcome });
    }

    /// Drops a stop that was revoked.
    fn drop_stop(&self, order: &StopOrder) {
        event!(
            Info,
            "stop_not_sent",
            task = order.name,
            run = order.run,
            runner = self.address.instance,
            reason = "revoked"
        );
        self.count("stop", "not_sent");
    }

    /// Counts an order in the metrics.
    fn count(&self, order: &str, outcome: &str) {
        let counter = &self.shared.metrics.orders;
        counter.with_label_values(&[order, outcome]).inc();
    }

    /// Counts the outcome of an order, and returns it as text for the log.
    fn record_outcome(&self, order: &str, result: &Result<(), RunnerError>) -> String {
        self.count(order, if result.is_ok() { "done" } else { "failed" });
        match result {
            Ok(()) => "done".to_owned(),
            Err(err) => err.to_string(),
        }
    }
}
