//! The inbox of a pool: submissions and cancels that any node writes to the store for the
//! pool's owner.

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
    /// Applies a change of the inbox. `recorded` holds the progress of jobs that an earlier
    /// owner recorded, by identifier; an entry is removed when its job is added.
    pub(super) fn apply_inbox_change(
        &mut self,
        change: FollowEvent,
        recorded: &mut HashMap<String, JobProgress>,
    ) {
        match change {
            FollowEvent::Snapshot(values) => {
                // Keys are sorted so that cancels come before submissions; a cancel applies
                // only to a job that is known.
                let (cancels, jobs): (Vec<_>, Vec<_>) = values
                    .into_iter()
                    .partition(|value| value.key.contains("/cancel-"));
                for value in jobs.into_iter().chain(cancels) {
                    self.apply_entry(&value, recorded);
                }
            }
            FollowEvent::Put(value) => self.apply_entry(&value, recorded),
            FollowEvent::Deleted(_) | FollowEvent::Progress(_) => {}
        }
    }

    /// Applies one entry of the inbox.
    fn apply_entry(&mut self, value: &StoredValue, recorded: &mut HashMap<String, JobProgress>) {
        let prefix = self.context.keys.inbox_prefix(&self.context.pool);
        let now = self.now();
        match InboxKey::parse(&prefix, &value.key) {
            Some(InboxKey::Submission(id)) => {
                match serde_json::from_slice::<JobSubmission>(&value.value) {
                    Ok(submission) => self.add_submission(id, submission, recorded.remove(id)),
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

    /// Adds a submitted job, with the progress that was recorded of it.
    fn add_submission(
        &mut self,
        id: &str,
        submission: JobSubmission,
        progress: Option<JobProgress>,
    ) {
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
