//! Sessions of an owner with the runners of its pool.
//!
//! A session sends heartbeats without a break: each renews the lease of what runs on the
//! runner, acknowledges the last recorded end, and waits for the next end ([`heartbeats`]).
//! Independently of them, orders are sent one after the other ([`orders`]). The owner drops a
//! [`RunnerSession`] to end the session, and receives [`SessionEvent`]s.

mod gate;
mod heartbeats;
mod lease;
mod orders;

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    sync::Arc, //
};

use hoisthitch_jobs::{
    AbandonedRun,
    HeartbeatReport,
    Millis,
    PaceOrder,
    RunnerKey,
    StartOrder,
    StartOutcome,
    StopOrder,
    TaskName, //
};
use tokio::sync::{
    Notify,
    mpsc,
    watch, //
};

pub(crate) use self::lease::{
    MAX_RUN_AFTER_CONFIRMATION_MS,
    MAX_RUN_MS,
    MAX_STRAY_RUN_MS, //
};
use self::{
    gate::TransitGate,
    heartbeats::{
        HeartbeatLoop,
        HeartbeatSignals, //
    },
    lease::LeaseClock,
    orders::{
        OrderQueue,
        OrderSender,
        Withdrawal,
        WithdrawnRuns, //
    }, //
};
use crate::{
    fleet::FleetView,
    owner::LostHalls,
    platform::{
        RunnerAddress,
        RunnerControl, //
    },
    shared::NodeShared, //
};

/// Maximum number of orders that are queued for one runner.
const ORDER_QUEUE_LEN: usize = 1_024;

/// Events that sessions send to the owner.
#[derive(Debug)]
pub(crate) enum SessionEvent {
    /// A lease is granted with the next heartbeat: what runs on the runner may go on until `until`.
    LeaseGranted { runner: RunnerKey, until: Millis },
    /// A heartbeat succeeded.
    HeartbeatSucceeded {
        runner: RunnerKey,
        report: HeartbeatReport,
        /// When the heartbeat was sent.
        sent_at: Millis,
        /// End of the lease that it granted, under which starts can be ordered; none if it
        /// granted none.
        leased_until: Option<Millis>,
        /// Number of heartbeats that the runner missed so far.
        misses: u64,
    },
    /// A heartbeat got no response.
    HeartbeatMissed {
        runner: RunnerKey,
        /// Whether it failed at once, since its connection was reset or refused.
        reset: bool,
        /// When the heartbeat was sent.
        sent_at: Millis,
    },
    /// Nothing listens at the runner's address, or something between refuses connections to it.
    LossSuspected { runner: RunnerKey },
    /// Another runner responded at the runner's address.
    Replaced { runner: RunnerKey },
    /// Another instance of the runner responded, which started at `started_at`.
    Restarted { runner: RunnerKey, started_at: u64 },
    /// The runner has seen a higher fencing token.
    Fenced { runner: RunnerKey },
    /// The outcome of a start.
    StartFinished {
        order: StartOrder,
        outcome: StartOutcome,
    },
    /// A stop was acknowledged.
    StopAcknowledged(StopOrder),
    /// The pace of a best-effort task was not set.
    PaceFailed(PaceOrder),
}

/// An order for one runner.
#[derive(Debug)]
pub(crate) enum RunnerOrder {
    /// Start a task; with the time at which the start was admitted and queued.
    Start(StartOrder, Millis),
    /// Stop a run.
    Stop(StopOrder),
    /// Set the pace of a best-effort task.
    Pace(PaceOrder),
    /// Forget that a run was given up; nothing is sent. Queued behind all starts of that run.
    Forget(TaskName, u32),
}

/// The owner's end of a session; the session ends when it is dropped.
pub(crate) struct RunnerSession {
    /// Number of the last recorded end.
    recorded_end: watch::Sender<u64>,
    orders: mpsc::Sender<RunnerOrder>,
    withdrawn: WithdrawnRuns,
    /// Number of missed heartbeats up to which the runner may have leases again.
    cleared_misses: watch::Sender<u64>,
    /// Notified when the runner may have another instance.
    instance_check: Rc<Notify>,
    gate: Rc<TransitGate>,
    /// Where the runner listens.
    pub(crate) address: SocketAddr,
}

/// Everything that a session is given.
pub(crate) struct SessionContext<R> {
    pub(crate) runners: R,
    pub(crate) shared: Arc<NodeShared>,
    /// The listed runners; read when an order is about to be sent.
    pub(crate) fleet: watch::Receiver<Arc<FleetView>>,
    /// Fencing token of the orders, higher than those of all earlier sessions with a runner of
    /// that name: an order for an ended instance may arrive seconds later, and the next
    /// instance refuses it once it has seen this token.
    pub(crate) token: u64,
    /// When the ownership was last confirmed. Shared and read for each lease: when it was sent
    /// together with the recorded ends, it stood still while the owner had more to record than
    /// it could write, and all leases expired after eight seconds.
    pub(crate) confirmed_at: Rc<Cell<Millis>>,
    /// Number of the owner's sessions.
    pub(crate) session_count: Rc<Cell<u32>>,
    /// Data halls that count as lost; read when a start is about to be sent.
    pub(crate) lost_halls: LostHalls,
    pub(crate) key: RunnerKey,
    pub(crate) address: RunnerAddress,
    pub(crate) events: mpsc::UnboundedSender<SessionEvent>,
}

impl RunnerSession {
    /// Opens a session: starts its heartbeats and the sending of its orders.
    pub(crate) fn open<R: RunnerControl>(context: SessionContext<R>) -> Self {
        let (recorded_end, end_receiver) = watch::channel(0);
        let (orders, queue) = mpsc::channel(ORDER_QUEUE_LEN);
        let context = Rc::new(context);
        let clock = Rc::new(LeaseClock::default());
        let (cleared_misses, miss_receiver) = watch::channel(0);
        let instance_check = Rc::new(Notify::new());
        let gate = Rc::new(TransitGate::default());
        let withdrawn = WithdrawnRuns::default();
        let address = context.address.address;
        let order_queue = OrderQueue {
            queue,
            withdrawn: withdrawn.clone(),
        };
        let sender = OrderSender {
            context: context.clone(),
            clock: clock.clone(),
            gate: gate.clone(),
        };
        actix_rt::spawn(sender.run(order_queue));
        let signals = HeartbeatSignals {
            recorded_end: end_receiver,
            cleared_misses: miss_receiver,
            instance_check: instance_check.clone(),
            gate: gate.clone(),
        };
        actix_rt::spawn(HeartbeatLoop::new(context, clock, signals).run());
        Self {
            recorded_end,
            orders,
            withdrawn,
            cleared_misses,
            instance_check,
            gate,
            address,
        }
    }

    /// Whether an acknowledgement of ends may still be in transit to the runner.
    pub(crate) fn has_unanswered_acks(&self) -> bool {
        self.gate.has_unanswered_acks()
    }

    /// Sends a heartbeat at once, to learn which instance of the runner is current.
    pub(crate) fn check_instance(&self) {
        self.instance_check.notify_one();
    }

    /// Lets the runner have leases again after that many missed heartbeats: an earlier end of
    /// its runs is not relied on any more.
    pub(crate) fn allow_leases(&self, misses: u64) {
        self.cleared_misses.send_if_modified(|cleared_misses| {
            let later = misses > *cleared_misses;
            *cleared_misses = misses.max(*cleared_misses);
            later
        });
    }

    /// Acknowledges the ends up to that number with the next heartbeat; the runner may forget
    /// them.
    pub(crate) fn acknowledge(&self, number: u64) {
        self.recorded_end.send_if_modified(|recorded| {
            let changed = *recorded != number;
            *recorded = number;
            changed
        });
    }

    /// Queues an order; returns whether there was room for it.
    pub(crate) fn queue_order(&self, order: RunnerOrder) -> bool {
        if let RunnerOrder::Stop(stop) = &order {
            let run = (stop.name.clone(), stop.run);
            let mut withdrawn = self.withdrawn.borrow_mut();
            withdrawn.insert(run, Withdrawal::StopQueued);
        }
        self.orders.try_send(order).is_ok()
    }
}

impl RunnerSession {
    /// Withdraws the starts of a run that are queued, since the owner has given it up.
    pub(crate) fn withdraw_run(&self, abandoned: AbandonedRun) {
        let run = (abandoned.name.clone(), abandoned.run);
        let mut withdrawn = self.withdrawn.borrow_mut();
        withdrawn.entry(run).or_insert(Withdrawal::Abandoned);
        // Without room in the queue the run stays withdrawn until the session ends.
        let _ = self
            .orders
            .try_send(RunnerOrder::Forget(abandoned.name, abandoned.run));
    }

    /// Revokes the stops of a run that are queued: none is sent until the next one is decided on.
    pub(crate) fn revoke_stop(&self, stop: &StopOrder) {
        let run = (stop.name.clone(), stop.run);
        let mut withdrawn = self.withdrawn.borrow_mut();
        withdrawn.insert(run, Withdrawal::StopRevoked);
    }
}

impl<R> SessionContext<R> {
    fn emit(&self, event: SessionEvent) {
        // The send fails only if the owner has ended.
        let _ = self.events.send(event);
    }
}
