//! Keeps starts and acknowledgements of ends from being in transit to a runner together.
//!
//! Calls may be delayed for seconds, and reach the next instance of the runner before it has
//! seen a higher fencing token. A late start alone does no harm there: the run is found, or its
//! end is. A late acknowledgement makes the instance drop its first ends unread. Both together
//! would lose the end of the late run, and the task would run again after it was done.

use std::cell::Cell;

use hoisthitch_jobs::Millis;
use tokio::sync::{
    Mutex,
    MutexGuard, //
};

/// The gate of a session.
#[derive(Default)]
pub(super) struct TransitGate {
    turn: Mutex<()>,
    /// When a start got no response, if the runner has not responded to a later heartbeat.
    start_unanswered_at: Cell<Option<Millis>>,
    /// The same for an acknowledgement.
    ack_unanswered_at: Cell<Option<Millis>>,
    /// Number of acknowledgements that got no response. They may still arrive.
    unanswered_acks: Cell<u32>,
    /// Whether the last heartbeat got no response from the session's instance.
    silent: Cell<bool>,
    /// Time by which the heartbeat that is in transit should have its response.
    response_due_at: Cell<Option<Millis>>,
}

impl TransitGate {
    /// Waits until no other call that the gate keeps apart is in transit.
    pub(super) async fn turn(&self) -> MutexGuard<'_, ()> {
        self.turn.lock().await
    }

    /// Whether a start may be sent.
    pub(super) fn allows_start(&self) -> bool {
        self.ack_unanswered_at.get().is_none()
    }

    /// Whether an acknowledgement may be sent.
    pub(super) fn allows_ack(&self) -> bool {
        self.start_unanswered_at.get().is_none()
    }

    /// Records that a start got no response.
    pub(super) fn record_unanswered_start(&self, now: Millis) {
        self.start_unanswered_at.set(Some(now));
    }

    /// Records that an acknowledgement got no response.
    pub(super) fn record_unanswered_ack(&self, now: Millis) {
        self.ack_unanswered_at.set(Some(now));
        self.unanswered_acks.update(|count| count + 1);
    }

    /// Records that a heartbeat got no response from the session's instance.
    pub(super) fn record_silence(&self) {
        self.silent.set(true);
    }

    /// Records that a heartbeat is sent, and when its response should have come.
    pub(super) fn record_heartbeat(&self, due_at: Millis) {
        self.response_due_at.set(Some(due_at));
    }

    /// Whether the last heartbeat got no response from the session's instance, or the one in
    /// transit is overdue. The runner may have restarted since it last responded, and the next
    /// instance may take a start for its own: under a lease by the clock of the one before, past
    /// the time at which the owner starts the task elsewhere.
    pub(super) fn is_silent(&self, now: Millis) -> bool {
        let is_overdue = |due_at| due_at < now;
        self.silent.get() || self.response_due_at.get().is_some_and(is_overdue)
    }

    /// Records that the same instance responded to a heartbeat that was sent at `sent_at`.
    pub(super) fn record_response(&self, sent_at: Millis) {
        self.silent.set(false);
        self.response_due_at.set(None);
        let is_later = |at: &Millis| *at >= sent_at;
        self.start_unanswered_at.update(|at| at.filter(is_later));
        self.ack_unanswered_at.update(|at| at.filter(is_later));
    }

    /// Whether an acknowledgement may still be in transit.
    pub(super) fn has_unanswered_acks(&self) -> bool {
        self.unanswered_acks.get() > 0
    }
}
