//! The inbox of a pool: submissions and cancels that any node writes to the store for the
//! pool's owner.
//!
//! A cancel is written once, and a further one changes nothing. So it holds in whatever order the
//! owner learns of the two: a cancel of a job that is not known is kept until the job is added.

use std::collections::HashMap;

use hoisthitch_jobs::{
    JobProgress,
    JobSubmission,
    NewJob, //
};
use hoisthitch_store::{
    StoreRevision,
    StoredValue, //
};
use hoisthitch_telemetry::event;

use super::PoolOwner;
use crate::{
    follow::FollowEvent,
    keys::InboxKey,
    platform::Platform, //
};

/// Cancels of jobs that are not known, by identifier, with the revisions of their keys.
#[derive(Default)]
pub(super) struct EarlyCancels(HashMap<String, StoreRevision>);

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
                // It contains all cancels that there are.
                self.early_cancels.0.clear();
                let prefix = self.context.keys.inbox_prefix(&self.context.pool);
                let is_cancel = |value: &StoredValue| {
                    matches!(
                        InboxKey::parse(&prefix, &value.key),
                        Some(InboxKey::Cancel(_))
                    )
                };
                let (cancels, jobs): (Vec<_>, Vec<_>) = values.into_iter().partition(is_cancel);
                for value in jobs.into_iter().chain(cancels) {
                    self.apply_entry(&value, recorded);
                }
            }
            FollowEvent::Put(value) => self.apply_entry(&value, recorded),
            FollowEvent::Deleted(key) => {
                let prefix = self.context.keys.inbox_prefix(&self.context.pool);
                if let Some(InboxKey::Cancel(id)) = InboxKey::parse(&prefix, &key) {
                    self.early_cancels.0.remove(id);
                }
            }
            FollowEvent::Progress(_) => {}
        }
    }

    /// Applies one entry of the inbox.
    fn apply_entry(&mut self, value: &StoredValue, recorded: &mut HashMap<String, JobProgress>) {
        let prefix = self.context.keys.inbox_prefix(&self.context.pool);
        match InboxKey::parse(&prefix, &value.key) {
            Some(InboxKey::Submission(id)) => {
                match serde_json::from_slice::<JobSubmission>(&value.value) {
                    Ok(submission) => self.add_submission(id, submission, recorded.remove(id)),
                    Err(err) => event!(Error, "job_unreadable", job = id, error = err),
                }
            }
            Some(InboxKey::Cancel(id)) if self.state.job(id).is_none() => {
                event!(
                    Info,
                    "cancel_early",
                    job = id,
                    key_revision = value.revision.0
                );
                self.early_cancels.0.insert(id.to_owned(), value.revision);
            }
            Some(InboxKey::Cancel(id)) => self.cancel_job(id, value.revision),
            None => event!(Warn, "inbox_key_unknown", key = value.key),
        }
    }

    /// Cancels a job that is known.
    fn cancel_job(&mut self, id: &str, revision: StoreRevision) {
        let now = self.now();
        if self.state.cancel(id, now) {
            event!(Info, "job_cancelled", job = id, key_revision = revision.0);
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
        if let Some(revision) = self.early_cancels.0.remove(id) {
            self.cancel_job(id, revision);
        }
    }
}
