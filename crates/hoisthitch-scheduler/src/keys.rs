//! Keys of the job service's records in the store.

/// Names the records of the job service.
#[derive(Clone, Debug)]
pub struct JobKeys {
    root: String,
}

impl JobKeys {
    /// Records below `root`.
    pub fn new(root: &str) -> Self {
        Self {
            root: root.trim_end_matches('/').to_owned(),
        }
    }

    /// Nodes that are alive, and owners of pools.
    pub fn group_prefix(&self) -> String {
        format!("{}/group/", self.root)
    }

    /// A node that is alive; goes with its lease.
    pub fn member(&self, node: &str) -> String {
        format!("{}/group/member/{node}", self.root)
    }

    /// The owner of a pool.
    pub fn owner(&self, pool: &str) -> String {
        format!("{}/group/owner/{pool}", self.root)
    }

    /// Name of the node in the key of a member.
    pub fn member_of<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix(self.root.as_str())?
            .strip_prefix("/group/member/")
    }

    /// Name of the pool in the key of an owner.
    pub fn owner_of<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix(self.root.as_str())?
            .strip_prefix("/group/owner/")
    }

    /// Head of a pool's journal, which each of its owner's writes changes.
    pub fn journal_head(&self, pool: &str) -> String {
        format!("{}/head/{pool}", self.root)
    }

    /// Pool of a job.
    pub fn location(&self, id: &str) -> String {
        format!("{}/id/{id}", self.root)
    }

    /// What a pool's owner is told: submissions and cancels.
    pub fn inbox_prefix(&self, pool: &str) -> String {
        format!("{}/in/{pool}/", self.root)
    }

    /// A submission.
    pub fn submission(&self, pool: &str, id: &str) -> String {
        format!("{}/in/{pool}/job-{id}", self.root)
    }

    /// The cancel of a job.
    pub fn cancel(&self, pool: &str, id: &str) -> String {
        format!("{}/in/{pool}/cancel-{id}", self.root)
    }

    /// Progress of all jobs of a pool.
    pub fn progress_prefix(&self, pool: &str) -> String {
        format!("{}/run/{pool}/", self.root)
    }

    /// Progress of a job.
    pub fn progress(&self, pool: &str, id: &str) -> String {
        format!("{}/run/{pool}/{id}", self.root)
    }

    /// Counts of a pool's queues.
    pub fn counts(&self, pool: &str) -> String {
        format!("{}/count/{pool}", self.root)
    }

    /// What all pools have and want.
    pub fn vm_balances_prefix(&self) -> String {
        format!("{}/share/", self.root)
    }

    /// What a pool has and wants.
    pub fn vm_balance(&self, pool: &str) -> String {
        format!("{}/share/{pool}", self.root)
    }

    /// Parts of all teams' limits.
    pub fn quotas_prefix(&self) -> String {
        format!("{}/quota/", self.root)
    }

    /// Parts of a team's limit.
    pub fn quota(&self, team: &str) -> String {
        format!("{}/quota/{team}", self.root)
    }

    /// Name of the team in the key of its parts.
    pub fn quota_of<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix(self.root.as_str())?
            .strip_prefix("/quota/")
    }

    /// State of a wave.
    pub fn wave(&self, wave: u64) -> String {
        format!("{}/wave/{wave}", self.root)
    }
}

/// What a key of a pool's inbox holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum InboxKey<'a> {
    /// Submission of the job with this identifier.
    Submission(&'a str),
    /// Cancel of the job with this identifier.
    Cancel(&'a str),
}

impl<'a> InboxKey<'a> {
    /// Reads a key; `prefix` is the inbox's.
    pub(crate) fn parse(prefix: &str, key: &'a str) -> Option<Self> {
        let rest = key.strip_prefix(prefix)?;
        if let Some(id) = rest.strip_prefix("job-") {
            return Some(Self::Submission(id));
        }
        rest.strip_prefix("cancel-").map(Self::Cancel)
    }
}
