//! Sessions of an owner with the runners of its pool.
//!
//! A session sends heartbeats without a break: each renews the lease of what runs on the
//! runner, acknowledges the last recorded end, and waits for the next end ([`holds`]).
//! Independently of them, orders are sent one after the other ([`orders`]). The owner drops a
//! [`RunnerSession`] to end the session, and receives [`SessionEvent`]s.

mod holds;
mod lease;
mod orders;

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    sync::Arc, //
};

use hoisthitch_jobs::{
    HeartbeatReport,
    Millis,
    PaceOrder,
    RunnerKey,
    StartOrder,
    StartOutcome,
    StopOrder, //
};
use tokio::sync::{
    Notify,
    mpsc,
    watch, //
};

pub(crate) use self::lease::{
    FULL_RUN_MS,
    LAST_RUN_MS,
    STRAY_RUN_MS, //
};
use self::{
    holds::{
        HoldLoop, //
        HoldSignals,
    },
    lease::LeaseClock,
    orders::{
        OrderQueue,
        WithdrawnRuns,
        carry_orders, //
    }, //
};
use crate::{
    fleet::FleetView,
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
    /// A lease is granted with the next heartbeat: what runs on the runner has ended by `until`.
    Extended { runner: RunnerKey, until: Millis },
    /// A heartbeat succeeded.
    Held {
        runner: RunnerKey,
        report: HeartbeatReport,
        /// When the heartbeat was sent.
        asked_at: Millis,
        /// End of the lease that it granted, under which starts can be ordered; none if it
        /// granted none.
        leased_until: Option<Millis>,
        /// Number of heartbeats that the runner missed so far.
        silences: u64,
    },
    /// A heartbeat got no response.
    Missed {
        runner: RunnerKey,
        /// Whether it failed at once, since nothing listens at the address.
        reset: bool,
    },
    /// The runner's process has ended, and no other runs in its place.
    Ended { runner: RunnerKey },
    /// Another runner responded at the runner's address.
    Replaced { runner: RunnerKey },
    /// Another instance of the runner responded, which started at `started_at`.
    Renewed { runner: RunnerKey, started_at: u64 },
    /// The runner has seen a higher fencing token.
    Fenced { runner: RunnerKey },
    /// The outcome of a start.
    Started {
        order: StartOrder,
        outcome: StartOutcome,
    },
    /// A stop was acknowledged.
    Stopped(StopOrder),
    /// The pace of a best-effort task was not set.
    PaceFailed(PaceOrder),
}

/// An order for one runner.
#[derive(Debug)]
pub(crate) enum RunnerOrder {
    /// Start a task; with the time at which the start was admitted and queued.
    Start(StartOrder, Millis),
    Stop(StopOrder),
    Pace(PaceOrder),
}

/// The owner's end of a session; the session ends when it is dropped.
pub(crate) struct RunnerSession {
    /// Number of the last recorded end.
    recorded: watch::Sender<u64>,
    orders: mpsc::Sender<RunnerOrder>,
    withdrawn: WithdrawnRuns,
    /// Number of missed heartbeats up to which the runner may have leases again.
    settled: watch::Sender<u64>,
    /// Notified when the runner may have another instance.
    hint: Rc<Notify>,
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
    pub(crate) confirmed: Rc<Cell<Millis>>,
    /// Number of the owner's sessions.
    pub(crate) sessions: Rc<Cell<u32>>,
    pub(crate) key: RunnerKey,
    pub(crate) address: RunnerAddress,
    pub(crate) events: mpsc::UnboundedSender<SessionEvent>,
}

impl RunnerSession {
    /// Opens a session: starts its heartbeats and the sending of its orders.
    pub(crate) fn open<R: RunnerControl>(context: SessionContext<R>) -> Self {
        let (recorded, told) = watch::channel(0);
        let (orders, queue) = mpsc::channel(ORDER_QUEUE_LEN);
        let context = Rc::new(context);
        let clock = Rc::new(LeaseClock::default());
        let (settled, silences) = watch::channel(0);
        let hint = Rc::new(Notify::new());
        let withdrawn = WithdrawnRuns::default();
        let address = context.address.address;
        let carried = OrderQueue {
            queue,
            withdrawn: withdrawn.clone(),
        };
        actix_rt::spawn(carry_orders(context.clone(), clock.clone(), carried));
        let signals = HoldSignals {
            told,
            settled: silences,
            hint: hint.clone(),
        };
        actix_rt::spawn(HoldLoop::new(context, clock, signals).run());
        Self {
            recorded,
            orders,
            withdrawn,
            settled,
            hint,
            address,
        }
    }

    /// Sends a heartbeat at once, to learn which instance of the runner is current.
    pub(crate) fn ask_life(&self) {
        self.hint.notify_one();
    }

    /// Lets the runner have leases again after that many missed heartbeats: an earlier end of
    /// its runs is not relied on any more.
    pub(crate) fn settle(&self, silences: u64) {
        self.settled.send_if_modified(|settled| {
            let later = silences > *settled;
            *settled = silences.max(*settled);
            later
        });
    }

    /// Acknowledges the ends up to that number with the next heartbeat; the runner may forget
    /// them.
    pub(crate) fn set_recorded(&self, number: u64) {
        self.recorded.send_if_modified(|recorded| {
            let changed = *recorded != number;
            *recorded = number;
            changed
        });
    }

    /// Queues an order; returns whether there was room for it.
    pub(crate) fn order(&self, order: RunnerOrder) -> bool {
        if let RunnerOrder::Stop(stop) = &order {
            let run = (stop.name.clone(), stop.run);
            self.withdrawn.borrow_mut().insert(run);
        }
        self.orders.try_send(order).is_ok()
    }
}

impl<R> SessionContext<R> {
    fn tell(&self, event: SessionEvent) {
        // The send fails only if the owner has ended.
        let _ = self.events.send(event);
    }
}
