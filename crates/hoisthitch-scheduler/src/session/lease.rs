//! Leases of the runs on a runner, by the clocks of the runner and of this node.
//!
//! The end of a lease is sent in the runner's clock. The owner judges by its own clock when
//! all runs have ended, with allowances for a slow clock of the runner and for timers.

use std::cell::Cell;

use hoisthitch_jobs::Millis;

use super::{
    SessionContext,
    SessionEvent, //
};

/// Lease that each heartbeat grants, in milliseconds: long enough for another node to take
/// over after this one is lost, short enough to restart soon what a lost runner ran.
const LEASE_MS: Millis = 5_000;

/// Longest lease after the ownership was last confirmed, in milliseconds. Tasks survive an
/// outage of the store of about that length. The next owner waits for it before it gives up
/// runs that it can't see, and a long-running task may be unavailable for nine seconds, so
/// that this wait may take 8.3 s.
pub(crate) const LEASE_CAP_MS: Millis = 8_000;

/// Time after the last confirmation of its ownership by which everything that an owner ordered
/// has ended, in milliseconds.
pub(crate) const MAX_RUN_AFTER_CONFIRMATION_MS: Millis = max_run_ms(LEASE_CAP_MS);

/// Time by which everything on a runner has ended after an owner granted it the longest lease
/// of a heartbeat, in milliseconds.
pub(crate) const MAX_RUN_MS: Millis = max_run_ms(LEASE_MS);

/// Longest lease that a runner accepts, in milliseconds; the platform's longest limit in all
/// deployments.
const RUNNER_MAX_LEASE_MS: Millis = 10_000;

/// Time by which everything has ended on a restarted runner, from when it refuses orders for
/// its previous instance, in milliseconds. Until then such an order may have granted it a
/// lease by the previous instance's clock, and so of any length.
pub(crate) const MAX_STRAY_RUN_MS: Millis = max_run_ms(RUNNER_MAX_LEASE_MS);

/// Maximum drift by which a runner's clock may run slow, in percent; the platform's limit.
const MAX_CLOCK_DRIFT_PERCENT: Millis = 2;

/// Allowance for network delay and timers when the end of a lease is judged by this node's
/// clock, in milliseconds.
const LEASE_SLACK_MS: Millis = 150;

/// The runner's clock and lease as this node knows them, shared by heartbeats and orders.
#[derive(Default)]
pub(super) struct LeaseClock {
    /// The runner's clock minus this node's, as a lower bound.
    pub(super) offset: Cell<Option<i64>>,
    /// Latest end of a granted lease, by the runner's clock.
    pub(super) granted_until_remote: Cell<u64>,
    /// The same by this node's clock.
    pub(super) granted_until: Cell<Millis>,
}

/// The lease that a heartbeat grants.
#[derive(Clone, Copy)]
pub(super) struct GrantedLease {
    /// Its end by the runner's clock.
    pub(super) lease_end_ms: u64,
    /// Its end by this node's clock.
    pub(super) until: Millis,
}

impl<R> SessionContext<R> {
    /// The lease to grant with the next heartbeat, if any; reports to the owner how
    /// long runs may last under it.
    ///
    /// `may_extend` is false for a runner that did not respond to the last heartbeat: its lease
    /// is not extended, or its tasks could never be given up.
    pub(super) fn next_lease(
        &self,
        clock: &LeaseClock,
        now: Millis,
        may_extend: bool,
    ) -> Option<GrantedLease> {
        let offset = clock.offset.get().filter(|_| may_extend)?;
        let until = (now + LEASE_MS).min(self.confirmed_at.get() + LEASE_CAP_MS);
        if until <= now {
            return None;
        }
        self.emit(SessionEvent::LeaseGranted {
            runner: self.key,
            until: now + max_run_ms(until - now),
        });
        let lease_end_ms = until.checked_add_signed(offset)?;
        clock
            .granted_until_remote
            .set(clock.granted_until_remote.get().max(lease_end_ms));
        clock
            .granted_until
            .set(clock.granted_until.get().max(until));
        Some(GrantedLease {
            lease_end_ms,
            until,
        })
    }
}

/// Time within which everything under a lease of that length has ended, in milliseconds.
const fn max_run_ms(lease: Millis) -> Millis {
    lease * (100 + MAX_CLOCK_DRIFT_PERCENT) / 100 + LEASE_SLACK_MS
}

impl LeaseClock {
    /// Records a reading of the runner's clock that was received at `now`.
    pub(super) fn record_reading(&self, clock_ms: u64, now: Millis) {
        let offset = i64::try_from(clock_ms).ok().zip(i64::try_from(now).ok());
        self.offset
            .set(offset.map(|(remote, local)| remote - local));
    }
}
