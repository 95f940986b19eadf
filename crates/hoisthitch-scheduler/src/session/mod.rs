//! Sessions of an owner with the runners of its pool.
//!
//! One call is always open at a runner: it renews the lease of what runs there,
//! tells the last end that is recorded, and waits for the next end ([`holds`]). Orders go
//! one after the other beside it ([`orders`]).

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

/// Orders that may wait for one runner.
const ORDER_QUEUE: usize = 1_024;

/// What sessions tell the owner.
#[derive(Debug)]
pub(crate) enum SessionEvent {
    /// What runs on the runner may go on until then.
    Extended { runner: RunnerKey, until: Millis },
    /// A hold was answered.
    Held {
        runner: RunnerKey,
        report: HeartbeatReport,
        asked_at: Millis,
        /// End of the lease that it gave, under which starts can be ordered; none
        /// where it gave none.
        leased_until: Option<Millis>,
        /// Silences of the runner so far.
        silences: u64,
    },
    /// A hold was not answered.
    Missed {
        runner: RunnerKey,
        /// Whether it failed at once: nothing listens there.
        reset: bool,
    },
    /// The runner's process has ended, and no other is in its place.
    Ended { runner: RunnerKey },
    /// Another runner answered at the runner's address.
    Replaced { runner: RunnerKey },
    /// The runner answered with another life, born then.
    Renewed { runner: RunnerKey, started_at: u64 },
    /// Orders of a higher token came to the runner.
    Fenced { runner: RunnerKey },
    /// What became of a start.
    Started {
        order: StartOrder,
        outcome: StartOutcome,
    },
    /// A stop was answered.
    Stopped(StopOrder),
    /// A pace was not set.
    PaceFailed(PaceOrder),
}

/// An order for one runner.
#[derive(Debug)]
pub(crate) enum RunnerOrder {
    /// Start a task, as admitted at that time.
    Start(StartOrder, Millis),
    Stop(StopOrder),
    Pace(PaceOrder),
}

/// The owner's end of a session; the session ends with it.
pub(crate) struct RunnerSession {
    /// Last end that is recorded.
    recorded: watch::Sender<u64>,
    orders: mpsc::Sender<RunnerOrder>,
    withdrawn: WithdrawnRuns,
    /// Silences of the runner after which it may have leases again.
    settled: watch::Sender<u64>,
    /// Told that the runner may have another life.
    hint: Rc<Notify>,
    /// Where the runner listens.
    pub(crate) address: SocketAddr,
}

/// What a session works with.
pub(crate) struct SessionContext<R> {
    pub(crate) runners: R,
    pub(crate) shared: Arc<NodeShared>,
    /// Which runners are listed, as the node knows when an order's turn comes.
    pub(crate) fleet: watch::Receiver<Arc<FleetView>>,
    /// Fencing token of the orders, higher than those of all earlier sessions with a
    /// runner of that name: what was ordered of a life that is over may be carried out
    /// seconds later, and the next life refuses it once it was asked under this token.
    pub(crate) token: u64,
    /// When the owner last made sure that it is the owner. Read for each lease: told
    /// together with what is recorded it stood still while the owner had more to record than it could
    /// write, and after eight seconds all leases lapsed.
    pub(crate) confirmed: Rc<Cell<Millis>>,
    /// Sessions that the owner has.
    pub(crate) sessions: Rc<Cell<u32>>,
    pub(crate) key: RunnerKey,
    pub(crate) address: RunnerAddress,
    pub(crate) events: mpsc::UnboundedSender<SessionEvent>,
}

impl RunnerSession {
    /// Opens a session.
    pub(crate) fn open<R: RunnerControl>(context: SessionContext<R>) -> Self {
        let (recorded, told) = watch::channel(0);
        let (orders, queue) = mpsc::channel(ORDER_QUEUE);
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

    /// Has the runner asked at once which life it is.
    pub(crate) fn ask_life(&self) {
        self.hint.notify_one();
    }

    /// Lets the runner have leases again after that many silences: nobody goes by
    /// an earlier end of its runs any more.
    pub(crate) fn settle(&self, silences: u64) {
        self.settled.send_if_modified(|settled| {
            let later = silences > *settled;
            *settled = silences.max(*settled);
            later
        });
    }

    /// Tells the last end that is recorded; the runner may forget it.
    pub(crate) fn set_recorded(&self, number: u64) {
        self.recorded.send_if_modified(|recorded| {
            let changed = *recorded != number;
            *recorded = number;
            changed
        });
    }

    /// Sends an order; answers whether there was room for it.
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
        // An owner that is gone needs no more events.
        let _ = self.events.send(event);
    }
}
