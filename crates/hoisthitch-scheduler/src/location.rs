//! The pool, queue and team of a job, which any node needs to serve a call about it, and the check
//! whether a caller may know of the job.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    platform::QueueRoute,
    teams::CallerTeam, //
};

/// Pool, queue and team of a job; written once, together with the job.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct JobLocation {
    /// Pool that runs it.
    #[serde(rename = "p")]
    pub(crate) pool: String,
    /// Queue to which it was submitted.
    #[serde(rename = "q", default, skip_serializing_if = "String::is_empty")]
    pub(crate) queue: String,
    /// Team whose key it was submitted with; empty if no key was needed.
    #[serde(rename = "t", default, skip_serializing_if = "String::is_empty")]
    pub(crate) team: String,
}

impl JobLocation {
    /// Parses a record. Older records contain only the name of the pool.
    pub(crate) fn read(value: &[u8]) -> Self {
        serde_json::from_slice(value).unwrap_or_else(|_| Self {
            pool: String::from_utf8_lossy(value).into_owned(),
            ..Self::default()
        })
    }
}

/// Jobs that a call may be about.
#[derive(Clone, Copy, Debug)]
pub enum CallScope<'a> {
    /// All jobs: an operator's call.
    All,
    /// Jobs that a caller of the queue may know of.
    Caller {
        /// The queue.
        queue: &'a QueueRoute,
        /// Team of the caller.
        team: &'a CallerTeam,
    },
}

impl CallScope<'_> {
    /// Whether a call may be about a job: a job of the caller's team, of no team, or of the queue
    /// of the call if that needs no key. Other jobs are treated as absent, so that nobody learns
    /// of them.
    pub(crate) fn covers(self, job: &JobLocation) -> bool {
        match self {
            Self::All => true,
            Self::Caller { queue, team } => {
                let own = || team.0.as_deref() == Some(job.team.as_str());
                let anonymous = || queue.anonymous && queue.name == job.queue;
                job.team.is_empty() || own() || anonymous()
            }
        }
    }

    /// Name of the team for which a job is submitted; empty for none.
    pub(crate) fn team_name(self) -> String {
        match self {
            Self::All => String::new(),
            Self::Caller { team, .. } => team.0.as_deref().unwrap_or_default().to_owned(),
        }
    }
}
