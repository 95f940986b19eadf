//! Leases of what runs on a runner, by its clock and this node's.

use std::cell::Cell;

use hoisthitch_jobs::Millis;

use super::{
    SessionContext,
    SessionEvent, //
};

/// Lease that each hold gives, in milliseconds: long enough for another node to
/// take over after this one is lost, short enough to start anew soon what a
/// lost runner ran.
const LEASE_MS: Millis = 5_000;

/// Longest lease after the owner last made sure that it is the owner, in
/// milliseconds. Tasks outlast an outage of the store of about that length. The
/// next owner waits for it before it gives up on runs that it can't see, and a
/// lasting task may be away for nine seconds, so that 8.3 s are left for it.
pub(crate) const LEASE_CAP_MS: Millis = 8_000;

/// Time after which everything that an owner ordered has ended once it can't make
/// sure any more that it is the owner, in milliseconds.
pub(crate) const LAST_RUN_MS: Millis = longest_run(LEASE_CAP_MS);

/// Time after which everything has ended on a runner that an owner gave its
/// longest lease, in milliseconds.
pub(crate) const FULL_RUN_MS: Millis = longest_run(LEASE_MS);

/// Longest lease that a runner takes, in milliseconds; the platform's longest bound of all
/// deployments.
const LEASE_MOST_MS: Millis = 10_000;

/// Time after which everything has ended on a runner that refuses what was ordered of the
/// life before, in milliseconds. Until then that may have given it a lease, by a clock that
/// is not its own and so of any length.
pub(crate) const STRAY_RUN_MS: Millis = longest_run(LEASE_MOST_MS);

/// Share by which a runner's clock may run slow, in percent; the platform's
/// bound.
const SLOW_CLOCK_PERCENT: Millis = 2;

/// Allowance for the way and for timers when a lease's end is judged from
/// here, in milliseconds.
const LEASE_SLACK_MS: Millis = 150;

/// What is known of the runner's clock and lease, shared by holds and orders.
#[derive(Default)]
pub(super) struct LeaseClock {
    /// Runner's clock less this node's; the runner's is at least this far.
    pub(super) offset: Cell<Option<i64>>,
    /// End of the lease last given, by the runner's clock.
    pub(super) granted: Cell<u64>,
    /// The same by this node's clock.
    pub(super) granted_here: Cell<Millis>,
}

/// The lease that a hold gives.
#[derive(Clone, Copy)]
pub(super) struct HoldLease {
    /// Its end by the runner's clock.
    pub(super) lease_end_ms: u64,
    /// Its end by this node's clock.
    pub(super) until: Millis,
}

impl<R> SessionContext<R> {
    /// End of the lease to give with the next hold, by the runner's clock.
    ///
    /// A runner that did not answer the last hold gets no longer lease, or its
    /// tasks could never be given up; `may_run` tells.
    pub(super) fn lease(
        &self,
        clock: &LeaseClock,
        now: Millis,
        may_run: bool,
    ) -> Option<HoldLease> {
        let offset = clock.offset.get().filter(|_| may_run)?;
        let until = (now + LEASE_MS).min(self.confirmed.get() + LEASE_CAP_MS);
        if until <= now {
            return None;
        }
        self.tell(SessionEvent::Extended {
            runner: self.key,
            until: now + longest_run(until - now),
        });
        let lease_end_ms = until.checked_add_signed(offset)?;
        clock.granted.set(clock.granted.get().max(lease_end_ms));
        clock.granted_here.set(clock.granted_here.get().max(until));
        Some(HoldLease {
            lease_end_ms,
            until,
        })
    }
}

/// Time within which all has ended under a lease of that length, in
/// milliseconds.
const fn longest_run(lease: Millis) -> Millis {
    lease * (100 + SLOW_CLOCK_PERCENT) / 100 + LEASE_SLACK_MS
}

impl LeaseClock {
    /// Takes in what the runner's clock showed by `now`.
    pub(super) fn read(&self, clock_ms: u64, now: Millis) {
        let offset = i64::try_from(clock_ms).ok().zip(i64::try_from(now).ok());
        self.offset.set(offset.map(|(theirs, ours)| theirs - ours));
    }
}
