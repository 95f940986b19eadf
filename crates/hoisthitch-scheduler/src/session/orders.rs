//! Orders to a runner: one after the other, in the order in which they were decided.

use std::{
    cell::RefCell,
    collections::HashSet,
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

/// Longest wait of a start for its turn, in milliseconds. Behind orders that get
/// no answer it could be sent seconds after it was decided, when its job is
/// cancelled or its runner is about to leave; the platform allows two seconds.
const START_AGE_MS: Millis = 1_000;

/// Runs that were told to stop and whose stop waits for its turn: a start of one that waits
/// before it is not sent. Behind orders without an answer it could begin a second after its
/// job was cancelled, or its task was done elsewhere.
pub(super) type WithdrawnRuns = Rc<RefCell<HashSet<(TaskName, u32)>>>;

/// Why a start is not sent when its turn comes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StartRefusal {
    /// Its run was told to stop, or the session is over.
    Withdrawn,
    /// Its runner has left the list, or has said that it leaves.
    RunnerLeaves,
    /// The list of runners was not confirmed for too long: this one may leave.
    ListOld,
    /// It waited too long.
    Waited,
    /// The runner would refuse it: its lease is over.
    LeaseOver,
}

impl StartRefusal {
    fn as_str(self) -> &'static str {
        match self {
            Self::Withdrawn => "withdrawn",
            Self::RunnerLeaves => "runner_leaves",
            Self::ListOld => "list_old",
            Self::Waited => "waited",
            Self::LeaseOver => "lease_over",
        }
    }
}

/// Orders that wait for their turn.
pub(super) struct OrderQueue {
    pub(super) queue: mpsc::Receiver<RunnerOrder>,
    pub(super) withdrawn: WithdrawnRuns,
}

impl OrderQueue {
    /// Whether a start is not wanted any more. Without a session nobody goes by it, and
    /// another life may be there.
    fn is_withdrawn(&self, order: &StartOrder) -> bool {
        let withdrawn = self.withdrawn.borrow();
        // Starts come by the thousand in a second, and hardly any is withdrawn.
        let is_named = || withdrawn.contains(&(order.name.clone(), order.run));
        self.queue.is_closed() || (!withdrawn.is_empty() && is_named())
    }
}

/// Carries orders out, one after the other, until there are no more.
pub(super) async fn carry_orders<R: RunnerControl>(
    context: Rc<SessionContext<R>>,
    clock: Rc<LeaseClock>,
    mut orders: OrderQueue,
) {
    while let Some(order) = orders.queue.recv().await {
        match order {
            RunnerOrder::Start(order, admitted) => {
                match context.start_refusal(&order, admitted, &clock, &orders) {
                    Some(refusal) => context.drop_start(order, admitted, refusal),
                    None => start(&context, &clock, order).await,
                }
            }
            RunnerOrder::Stop(order) => {
                let run = (order.name.clone(), order.run);
                stop(&context, order).await;
                orders.withdrawn.borrow_mut().remove(&run);
            }
            RunnerOrder::Pace(order) => pace(&context, order).await,
        }
    }
}

async fn start<R: RunnerControl>(
    context: &SessionContext<R>,
    clock: &LeaseClock,
    order: StartOrder,
) {
    let lease = OrderLease {
        epoch: context.token,
        lease_end_ms: clock.granted.get(),
    };
    let sent = context.shared.clock.now();
    let age_ms = sent.saturating_sub(order.decided_at);
    let list_age_ms = context.shared.runner_list_lease.age(sent);
    context.shared.metrics.start_age.observe(seconds(age_ms));
    let histogram = &context.shared.metrics.start_list_age;
    histogram.observe(seconds(list_age_ms));
    let outcome = context.runners.start(&context.address, &order, lease).await;
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
        context.tell(SessionEvent::Fenced { runner });
    }
    if outcome == StartOutcome::WrongLife {
        let runner = context.key;
        context.tell(SessionEvent::Replaced { runner });
    }
    context.tell(SessionEvent::Started { order, outcome });
}

async fn stop<R: RunnerControl>(context: &SessionContext<R>, order: StopOrder) {
    let stopped = context
        .runners
        .stop(&context.address, &order, context.token)
        .await;
    let outcome = context.outcome("stop", &stopped);
    event!(
        Info,
        "task_stopped",
        task = order.name,
        run = order.run,
        runner = context.address.instance,
        outcome = outcome
    );
    if stopped.is_ok() {
        context.tell(SessionEvent::Stopped(order));
    }
}

async fn pace<R: RunnerControl>(context: &SessionContext<R>, order: PaceOrder) {
    let paced = context
        .runners
        .pace(&context.address, &order, context.token)
        .await;
    let outcome = context.outcome("pace", &paced);
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
        context.tell(SessionEvent::PaceFailed(order));
    }
}

impl<R> SessionContext<R> {
    /// Why a start that was admitted at that time is not sent now; none where it is.
    fn start_refusal(
        &self,
        order: &StartOrder,
        admitted: Millis,
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
            return Some(StartRefusal::RunnerLeaves);
        }
        if !self.shared.runner_list_lease.is_valid(now) {
            return Some(StartRefusal::ListOld);
        }
        if now > admitted + START_AGE_MS {
            return Some(StartRefusal::Waited);
        }
        (clock.granted_here.get() <= now).then_some(StartRefusal::LeaseOver)
    }

    /// Does not send a start, and says so: it is decided anew.
    fn drop_start(&self, order: StartOrder, admitted: Millis, refusal: StartRefusal) {
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
            waited_ms = now - admitted
        );
        self.count("start", "not_sent");
        let counter = &self.shared.metrics.starts_not_sent;
        counter.with_label_values(&[refusal.as_str()]).inc();
        let outcome = StartOutcome::NotSent;
        self.tell(SessionEvent::Started { order, outcome });
    }

    fn count(&self, order: &str, outcome: &str) {
        let counter = &self.shared.metrics.orders;
        counter.with_label_values(&[order, outcome]).inc();
    }

    fn outcome(&self, order: &str, result: &Result<(), RunnerError>) -> String {
        self.count(order, if result.is_ok() { "done" } else { "failed" });
        match result {
            Ok(()) => "done".to_owned(),
            Err(err) => err.to_string(),
        }
    }
}
