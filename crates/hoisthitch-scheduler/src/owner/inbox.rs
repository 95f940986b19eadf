//! What a pool's owner is told by the nodes that take jobs in.

use std::collections::HashMap;

use hoisthitch_jobs::{
    JobProgress,
    JobSubmission,
    NewJob, //
};
use hoisthitch_store::StoredValue;
use hoisthitch_telemetry::event;

use super::PoolOwner;
use crate::{
    follow::FollowEvent,
    keys::InboxKey,
    platform::Platform, //
};

impl<P: Platform> PoolOwner<P> {
    pub(super) fn take_inbox(
        &mut self,
        change: FollowEvent,
        recorded: &mut HashMap<String, JobProgress>,
    ) {
        match change {
            FollowEvent::Snapshot(values) => {
                // Cancels come before submissions in the order of keys.
                let (cancels, jobs): (Vec<_>, Vec<_>) = values
                    .into_iter()
                    .partition(|value| value.key.contains("/cancel-"));
                for value in jobs.into_iter().chain(cancels) {
                    self.take_letter(&value, recorded);
                }
            }
            FollowEvent::Put(value) => self.take_letter(&value, recorded),
            FollowEvent::Deleted(_) | FollowEvent::Progress(_) => {}
        }
    }

    fn take_letter(&mut self, value: &StoredValue, recorded: &mut HashMap<String, JobProgress>) {
        let prefix = self.context.keys.inbox_prefix(&self.context.pool);
        let now = self.now();
        match InboxKey::parse(&prefix, &value.key) {
            Some(InboxKey::Submission(id)) => {
                match serde_json::from_slice::<JobSubmission>(&value.value) {
                    Ok(submission) => self.take_job(id, submission, recorded.remove(id)),
                    Err(err) => event!(Error, "job_unreadable", job = id, error = err),
                }
            }
            Some(InboxKey::Cancel(id)) => {
                if self.state.cancel(id, now) {
                    event!(
                        Info,
                        "job_cancelled",
                        job = id,
                        key_revision = value.revision.0
                    );
                }
            }
            None => event!(Warn, "inbox_key_unknown", key = value.key),
        }
    }

    fn take_job(&mut self, id: &str, submission: JobSubmission, progress: Option<JobProgress>) {
        let now = self.now();
        let clock = &self.context.shared.clock;
        let age = clock.unix_ms().saturating_sub(submission.accepted_ms);
        self.await_policy(id, submission.version, now);
        let queue = submission.queue.clone();
        let restored = progress.is_some();
        let new = NewJob {
            id: id.to_owned(),
            submission,
            progress,
            accepted_at: now.saturating_sub(age),
        };
        if self.state.add_job(new, now) {
            event!(
                Info,
                "job_taken",
                job = id,
                queue = queue,
                pool = self.context.pool,
                age_ms = age,
                restored = restored
            );
        }
    }
}
