//! Waits for a newer configuration, under which a job was accepted.
//!
//! Jobs and the configuration reach an owner by different paths. If the configuration is the
//! slower of the two, the owner would start tasks of a queue while its node still answers
//! callers that there is no such queue. The owner therefore plans nothing until its node has
//! the configuration, and requests a read of it at once.

use hoisthitch_jobs::Millis;
use hoisthitch_telemetry::event;

use super::PoolOwner;
use crate::platform::Platform;

/// Maximum wait for a configuration, in milliseconds: a change has to be in effect within two
/// seconds. Without a limit, a node that can't read the configuration would never plan again.
const MAX_WAIT_MS: Millis = 2_000;

/// A configuration that the owner waits for.
#[derive(Clone, Copy, Debug)]
pub(super) struct AwaitedPolicy {
    version: u64,
    since: Millis,
}

impl<P: Platform> PoolOwner<P> {
    /// Begins to wait if a job was accepted under a newer configuration than the node has.
    pub(super) fn await_policy(&mut self, job: &str, version: u64, now: Millis) {
        let known = self.context.shared.policy_version();
        let awaited = self.awaited_policy.map_or(known, |awaited| awaited.version);
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
        let since = self.awaited_policy.map_or(now, |awaited| awaited.since);
        self.awaited_policy = Some(AwaitedPolicy { version, since });
    }

    /// Whether the owner still waits for a configuration; ends the wait if it is over.
    pub(super) fn awaits_policy(&mut self, now: Millis) -> bool {
        let Some(awaited) = self.awaited_policy else {
            return false;
        };
        let known = self.context.shared.policy_version();
        let has_ended = now >= awaited.since + MAX_WAIT_MS;
        if known < awaited.version && !has_ended {
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
        self.awaited_policy = None;
        false
    }
}
