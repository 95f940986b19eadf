//! A configuration that a job was taken by, and that the owner's node lacks.
//!
//! An owner hears of jobs and of the configuration on different ways. Where the
//! second is the slower one, it would start tasks of a queue and its node would tell
//! callers that there is no such queue. So it plans nothing until its node has the
//! configuration, which it has read at once.

use hoisthitch_jobs::Millis;
use hoisthitch_telemetry::event;

use super::PoolOwner;
use crate::platform::Platform;

/// Longest wait for a configuration, in milliseconds: a change has two seconds to be
/// in force. A node that can't read it would else keep its pools at rest for good.
const WAIT_MS: Millis = 2_000;

/// A configuration that is waited for.
#[derive(Clone, Copy, Debug)]
pub(super) struct AwaitedPolicy {
    version: u64,
    since: Millis,
}

impl<P: Platform> PoolOwner<P> {
    /// Takes in by which configuration a job was taken.
    pub(super) fn await_policy(&mut self, job: &str, version: u64, now: Millis) {
        let known = self.context.shared.policy_version();
        let awaited = self.awaited.map_or(known, |awaited| awaited.version);
        if version <= known.max(awaited) {
            return;
        }
        event!(
            Info,
            "policy_awaited",
            pool = self.context.pool,
            job = job,
            version = version,
            known = known
        );
        self.context.shared.request_policy_refresh(version);
        let since = self.awaited.map_or(now, |awaited| awaited.since);
        self.awaited = Some(AwaitedPolicy { version, since });
    }

    /// Whether a configuration is waited for still.
    pub(super) fn awaits_policy(&mut self, now: Millis) -> bool {
        let Some(awaited) = self.awaited else {
            return false;
        };
        let known = self.context.shared.policy_version();
        let is_over = now >= awaited.since + WAIT_MS;
        if known < awaited.version && !is_over {
            return true;
        }
        if known < awaited.version {
            event!(
                Warn,
                "policy_wait_over",
                pool = self.context.pool,
                version = awaited.version,
                known = known
            );
        }
        self.awaited = None;
        false
    }
}
