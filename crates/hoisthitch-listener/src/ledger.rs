//! What the clients of one thread of a listener hold, and who is given up at a limit.
//!
//! The ledger knows each connection's phase, since when it lasts, and how much memory the body
//! of its request takes. A connection whose request is being served is never given up: its
//! effect may already be stored. Of the others, the first to go are those that don't read a
//! response or don't end a refused request, then those that have not sent a whole request yet,
//! then those that have; each time the one that has been in its phase for the longest. Where
//! memory for bodies runs short, the one with the most bytes for the longest goes.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    task::{
        Context,
        Waker, //
    },
    time::Duration, //
};

use slotmap::{
    SlotMap,
    new_key_type, //
};
use tokio::time::Instant;

use crate::{
    limits::ListenerLimits,
    metrics::ListenerMeter, //
};

/// Bytes of a body that count as a part of the connection, so that requests of ordinary length
/// are served beside any number of long ones.
const FREE_BODY_BYTES: usize = 8 << 10;

/// How often the bytes of a body are counted: they are copied as they are read, and parsed.
const BODY_COPIES: usize = 2;

/// Encoded bytes of a body that are read before its reader has taken what is decoded.
const UNTAKEN_BODY_BYTES: usize = 32 << 10;

new_key_type! {
    /// A connection.
    struct ConnectionKey;
}

/// Why a client was given up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CloseReason {
    /// The listener has as many connections as it may have.
    Connections,
    /// Bodies take as much memory as they may take.
    BodyMemory,
    /// The head of a request is too long.
    LongHead,
    /// The head of a request did not end in time.
    HeadTimeout,
    /// The body of a request did not end in time.
    BodyTimeout,
    /// The body of a request that has its response did not end in time.
    LingerTimeout,
    /// A response was not read in time.
    WriteTimeout,
}

impl CloseReason {
    /// Name in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::BodyMemory => "body_memory",
            Self::LongHead => "long_head",
            Self::HeadTimeout => "head_timeout",
            Self::BodyTimeout => "body_timeout",
            Self::LingerTimeout => "linger_timeout",
            Self::WriteTimeout => "write_timeout",
        }
    }
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ConnectionPhase {
    /// It has no request.
    Idle,
    /// The head of a request is incomplete.
    Head,
    /// A request is being served, and its body is incomplete.
    Body,
    /// A whole request is being served.
    Serving,
    /// The request has its response, and its body is incomplete.
    Linger,
}

/// A connection's entry in the ledger.
#[derive(Debug)]
struct ConnectionEntry {
    phase: ConnectionPhase,
    /// Begin of the phase.
    since: Instant,
    /// Whether a request on the connection was served.
    was_served: bool,
    /// Since when the client has not read what is written to it.
    blocked_since: Option<Instant>,
    /// Bytes of the head so far.
    head_bytes: usize,
    /// Encoded bytes of the body that were read since its reader last took all that is decoded.
    untaken_bytes: usize,
    /// Decoded bytes of the body so far.
    body_bytes: usize,
    /// Bytes that count for the body.
    counted_bytes: usize,
    /// Why the request is refused before its body is complete, if it is.
    body_given_up: Option<CloseReason>,
    /// Why the connection is given up, if it is.
    given_up: Option<CloseReason>,
    /// Task of the connection.
    waker: Option<Waker>,
    /// Task that reads the body; it may be another one.
    body_waker: Option<Waker>,
}

impl ConnectionEntry {
    fn new(now: Instant) -> Self {
        Self {
            phase: ConnectionPhase::Idle,
            since: now,
            was_served: false,
            blocked_since: None,
            head_bytes: 0,
            untaken_bytes: 0,
            body_bytes: 0,
            counted_bytes: 0,
            body_given_up: None,
            given_up: None,
            waker: None,
            body_waker: None,
        }
    }

    fn enter(&mut self, phase: ConnectionPhase) {
        if self.phase != phase {
            self.phase = phase;
            self.since = Instant::now();
        }
        self.wake();
    }

    fn wake(&mut self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Refuses the request, and wakes the reader of its body.
    fn refuse_body(&mut self, reason: CloseReason) {
        self.body_given_up = Some(reason);
        if let Some(waker) = self.body_waker.take() {
            waker.wake();
        }
        self.wake();
    }

    /// Whether the connection may be closed without a loss to an ordinary client, and how soon:
    /// lower ranks go first.
    fn close_rank(&self) -> Option<u8> {
        if self.blocked_since.is_some() {
            return Some(0);
        }
        match self.phase {
            ConnectionPhase::Serving => None,
            ConnectionPhase::Linger => Some(0),
            _ if !self.was_served => Some(1),
            _ => Some(2),
        }
    }
}

/// Connections of one thread of a listener.
#[derive(Debug)]
pub(crate) struct ConnectionLedger {
    limits: ListenerLimits,
    meter: ListenerMeter,
    connections: RefCell<SlotMap<ConnectionKey, ConnectionEntry>>,
    /// Connections that are given up and not closed yet.
    closing: Cell<usize>,
    /// Memory that bodies take.
    body_bytes: Cell<usize>,
}

impl ConnectionLedger {
    /// An empty ledger.
    pub(crate) fn new(limits: ListenerLimits, meter: ListenerMeter) -> Rc<Self> {
        Rc::new(Self {
            limits,
            meter,
            connections: RefCell::default(),
            closing: Cell::default(),
            body_bytes: Cell::default(),
        })
    }

    /// Records a new connection; none where all others are needed.
    pub(crate) fn open_connection(self: &Rc<Self>) -> Option<ConnectionHandle> {
        if self.open_connections() >= self.limits.connections && !self.give_up_connection() {
            self.record(CloseReason::Connections);
            return None;
        }
        let entry = ConnectionEntry::new(Instant::now());
        let key = self.connections.borrow_mut().insert(entry);
        self.meter.add_connection();
        Some(ConnectionHandle {
            ledger: self.clone(),
            key,
        })
    }

    fn open_connections(&self) -> usize {
        self.connections.borrow().len() - self.closing.get()
    }

    fn record(&self, reason: CloseReason) {
        let connections = self.connections.borrow().len();
        self.meter
            .record_given_up(reason, connections, self.body_bytes.get());
    }

    /// Closes the connection that is needed the least. Returns whether there is one.
    fn give_up_connection(&self) -> bool {
        {
            let mut connections = self.connections.borrow_mut();
            let victim = connections
                .values_mut()
                .filter(|entry| entry.given_up.is_none())
                .filter_map(|entry| Some(((entry.close_rank()?, entry.since), entry)))
                .min_by_key(|(rank, _)| *rank);
            let Some((_, entry)) = victim else {
                return false;
            };
            entry.given_up = Some(CloseReason::Connections);
            entry.wake();
        }
        self.closing.set(self.closing.get() + 1);
        self.record(CloseReason::Connections);
        true
    }

    /// Refuses requests with long bodies until all bodies fit into their memory.
    fn shrink_bodies(&self) {
        while self.body_bytes.get() > self.limits.body_memory_bytes {
            let released = {
                let mut connections = self.connections.borrow_mut();
                let now = Instant::now();
                let victim = connections
                    .values_mut()
                    .filter(|entry| entry.phase == ConnectionPhase::Body)
                    .filter(|entry| entry.counted_bytes > 0 && entry.body_given_up.is_none())
                    .max_by_key(|entry| {
                        let age = now.duration_since(entry.since).as_millis().max(1);
                        age.saturating_mul(entry.counted_bytes as u128)
                    });
                let Some(entry) = victim else {
                    return;
                };
                entry.refuse_body(CloseReason::BodyMemory);
                std::mem::take(&mut entry.counted_bytes)
            };
            self.release_body(released);
            self.record(CloseReason::BodyMemory);
        }
    }

    fn release_body(&self, bytes: usize) {
        self.body_bytes.set(self.body_bytes.get() - bytes);
        self.meter.remove_body_bytes(bytes);
    }
}

/// A connection in its ledger; it is removed when this value is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionHandle {
    ledger: Rc<ConnectionLedger>,
    key: ConnectionKey,
}

impl ConnectionHandle {
    fn with<T>(&self, change: impl FnOnce(&mut ConnectionEntry) -> T) -> Option<T> {
        let mut connections = self.ledger.connections.borrow_mut();
        connections.get_mut(self.key).map(change)
    }

    /// Why the connection is given up, if it is.
    pub(crate) fn given_up(&self) -> Option<CloseReason> {
        self.with(|entry| entry.given_up).flatten()
    }

    /// Gives the connection up.
    pub(crate) fn give_up(&self, reason: CloseReason) {
        let is_new = self.with(|entry| entry.given_up.replace(reason).is_none());
        if is_new == Some(true) {
            self.ledger.closing.set(self.ledger.closing.get() + 1);
            self.ledger.record(reason);
        }
    }

    /// Records the connection's task, which is woken when more bytes may be read or the
    /// connection is given up.
    pub(crate) fn set_task(&self, context: &Context<'_>) {
        self.with(|entry| match &mut entry.waker {
            Some(waker) => waker.clone_from(context.waker()),
            None => entry.waker = Some(context.waker().clone()),
        });
    }

    /// Whether more bytes may be read now.
    pub(crate) fn may_read(&self) -> bool {
        let may_read = self.with(|entry| {
            if entry.blocked_since.is_some() {
                return false;
            }
            match entry.phase {
                ConnectionPhase::Serving => false,
                ConnectionPhase::Body => entry.untaken_bytes < UNTAKEN_BODY_BYTES,
                _ => true,
            }
        });
        may_read.unwrap_or(true)
    }

    /// Records bytes that were read. Returns whether the head of the request is still in its
    /// limit.
    pub(crate) fn record_read(&self, bytes: usize) -> bool {
        let limit = self.ledger.limits.head_bytes;
        let is_short = self.with(|entry| {
            match entry.phase {
                ConnectionPhase::Idle => {
                    entry.enter(ConnectionPhase::Head);
                    entry.head_bytes = bytes;
                }
                ConnectionPhase::Head => entry.head_bytes += bytes,
                ConnectionPhase::Body => entry.untaken_bytes += bytes,
                ConnectionPhase::Serving | ConnectionPhase::Linger => {}
            }
            entry.phase != ConnectionPhase::Head || entry.head_bytes <= limit
        });
        is_short.unwrap_or(true)
    }

    /// Records whether the client read all that was written to it, or some of it.
    pub(crate) fn record_write(&self, is_blocked: bool, is_progress: bool) {
        self.with(|entry| {
            if !is_blocked {
                if entry.blocked_since.take().is_some() {
                    entry.wake();
                }
            } else if is_progress || entry.blocked_since.is_none() {
                entry.blocked_since = Some(Instant::now());
            }
        });
    }

    /// When the connection's phase must be over, and why the client is given up then.
    pub(crate) fn deadline(&self) -> Option<(Instant, CloseReason)> {
        let limits = &self.ledger.limits;
        let deadline = self.with(|entry| {
            let after = |since: Instant, limit: Duration, reason| Some((since + limit, reason));
            if let Some(since) = entry.blocked_since {
                return after(since, limits.write_timeout, CloseReason::WriteTimeout);
            }
            let (limit, reason) = match entry.phase {
                ConnectionPhase::Head => (limits.head_timeout, CloseReason::HeadTimeout),
                ConnectionPhase::Body if entry.body_given_up.is_none() => {
                    (limits.body_timeout, CloseReason::BodyTimeout)
                }
                ConnectionPhase::Linger => (limits.linger_timeout, CloseReason::LingerTimeout),
                _ => return None,
            };
            after(entry.since, limit, reason)
        });
        deadline.flatten()
    }

    /// Refuses the request whose body is incomplete.
    pub(crate) fn give_up_body(&self, reason: CloseReason) {
        self.with(|entry| entry.refuse_body(reason));
        self.ledger.record(reason);
    }

    /// Records that a request begins to be served.
    pub(crate) fn begin_request(&self, has_body: bool) {
        self.with(|entry| {
            entry.untaken_bytes = 0;
            entry.body_bytes = 0;
            entry.body_given_up = None;
            entry.enter(if has_body {
                ConnectionPhase::Body
            } else {
                ConnectionPhase::Serving
            });
        });
    }

    /// Records bytes of the body that its reader takes. Returns the reason where the request is
    /// refused.
    pub(crate) fn take_body(&self, bytes: usize) -> Result<(), CloseReason> {
        self.refused_body()?;
        let most = self.ledger.limits.buffered_body_bytes;
        let added = self.with(|entry| {
            entry.body_bytes = entry.body_bytes.saturating_add(bytes);
            let counted = entry.body_bytes.min(most);
            let counted = counted.saturating_sub(FREE_BODY_BYTES) * BODY_COPIES;
            let added = counted.saturating_sub(entry.counted_bytes);
            entry.counted_bytes += added;
            added
        });
        let added = added.unwrap_or_default();
        if added > 0 {
            self.ledger
                .body_bytes
                .set(self.ledger.body_bytes.get() + added);
            self.ledger.meter.add_body_bytes(added);
            self.ledger.shrink_bodies();
        }
        self.refused_body()
    }

    /// The reason for which the request is refused, if it is.
    pub(crate) fn refused_body(&self) -> Result<(), CloseReason> {
        match self.with(|entry| entry.body_given_up).flatten() {
            Some(reason) => Err(reason),
            None => Ok(()),
        }
    }

    /// Records that the body's reader has taken all that is decoded; its task is woken when the
    /// request is refused.
    pub(crate) fn await_body(&self, context: &Context<'_>) {
        self.with(|entry| {
            entry.body_waker = Some(context.waker().clone());
            let was_full = entry.untaken_bytes >= UNTAKEN_BODY_BYTES;
            entry.untaken_bytes = 0;
            if was_full {
                entry.wake();
            }
        });
    }

    /// Records that the body is complete.
    pub(crate) fn end_body(&self) {
        self.with(|entry| match entry.phase {
            ConnectionPhase::Body => entry.enter(ConnectionPhase::Serving),
            ConnectionPhase::Linger => entry.enter(ConnectionPhase::Idle),
            _ => {}
        });
    }

    /// Records that the body's memory is free again.
    pub(crate) fn release_body(&self) {
        let released = self.with(|entry| std::mem::take(&mut entry.counted_bytes));
        self.ledger.release_body(released.unwrap_or_default());
    }

    /// Whether the request's body is incomplete.
    pub(crate) fn is_body_incomplete(&self) -> bool {
        self.with(|entry| entry.phase == ConnectionPhase::Body) == Some(true)
    }

    /// Records that a request has its whole response.
    pub(crate) fn end_request(&self) {
        self.with(|entry| {
            entry.was_served = true;
            entry.head_bytes = 0;
            entry.enter(match entry.phase {
                ConnectionPhase::Body | ConnectionPhase::Linger => ConnectionPhase::Linger,
                _ => ConnectionPhase::Idle,
            });
        });
    }

    /// Records that the head of a request is too long; the connection has had its response.
    pub(crate) fn refuse_head(&self) {
        self.with(|entry| entry.enter(ConnectionPhase::Linger));
        self.ledger.record(CloseReason::LongHead);
    }
}

impl Drop for ConnectionHandle {
    fn drop(&mut self) {
        let removed = self.ledger.connections.borrow_mut().remove(self.key);
        let Some(entry) = removed else {
            return;
        };
        if entry.given_up.is_some() {
            self.ledger.closing.set(self.ledger.closing.get() - 1);
        }
        self.ledger.release_body(entry.counted_bytes);
        self.ledger.meter.remove_connection();
    }
}
