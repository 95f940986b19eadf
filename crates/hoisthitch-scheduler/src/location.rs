//! Where a job is, and whose it is: what any node needs to answer for it.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    platform::QueueRoute,
    teams::CallerTeam, //
};

/// A job's place, written once with the job.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct JobLocation {
    /// Pool that runs it.
    #[serde(rename = "p")]
    pub(crate) pool: String,
    /// Queue that took it.
    #[serde(rename = "q", default, skip_serializing_if = "String::is_empty")]
    pub(crate) queue: String,
    /// Team whose key it came with; empty where none was needed.
    #[serde(rename = "t", default, skip_serializing_if = "String::is_empty")]
    pub(crate) team: String,
}

impl JobLocation {
    /// Reads a record; an older one holds the pool's name and nothing else.
    pub(crate) fn read(value: &[u8]) -> Self {
        serde_json::from_slice(value).unwrap_or_else(|_| Self {
            pool: String::from_utf8_lossy(value).into_owned(),
            ..Self::default()
        })
    }
}

/// Whose jobs a call may be about.
#[derive(Clone, Copy, Debug)]
pub enum CallScope<'a> {
    /// Any: an operator's call.
    All,
    /// Those that a caller of the queue may know of.
    Caller {
        /// The queue.
        queue: &'a QueueRoute,
        /// Who calls.
        team: &'a CallerTeam,
    },
}

impl CallScope<'_> {
    /// Whether a call may be about a job: one of the caller's team, of no team, or of an
    /// open queue that the call came by. Others are as if they were not there, so that
    /// nobody learns of them.
    pub(crate) fn covers(self, job: &JobLocation) -> bool {
        match self {
            Self::All => true,
            Self::Caller { queue, team } => {
                let own = || team.0.as_deref() == Some(job.team.as_str());
                let open = || queue.anonymous && queue.name == job.queue;
                job.team.is_empty() || own() || open()
            }
        }
    }

    /// Name of the team that a job is handed in for; empty for none.
    pub(crate) fn team_name(self) -> String {
        match self {
            Self::All => String::new(),
            Self::Caller { team, .. } => team.0.as_deref().unwrap_or_default().to_owned(),
        }
    }
}
