//! Keys of the job service's records in the store.
//!
//! The keys are part of the stored format and must not change.

/// Builds and parses the keys of the job service's records.
#[derive(Clone, Debug)]
pub struct JobKeys {
    root: String,
}

impl JobKeys {
    /// Builds keys below `root`.
    pub fn new(root: &str) -> Self {
        Self {
            root: root.trim_end_matches('/').to_owned(),
        }
    }

    /// Prefix of the records of living nodes and of owners of pools.
    pub fn group_prefix(&self) -> String {
        format!("{}/group/", self.root)
    }

    /// Key of a living node's record, which is removed when its lease expires.
    pub fn member(&self, node: &str) -> String {
        format!("{}/group/member/{node}", self.root)
    }

    /// Key of the record of a pool's owner.
    pub fn owner(&self, pool: &str) -> String {
        format!("{}/group/owner/{pool}", self.root)
    }

    /// Name of the node in the key of a living node's record.
    pub fn member_of<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix(self.root.as_str())?
            .strip_prefix("/group/member/")
    }

    /// Name of the pool in the key of an owner's record.
    pub fn owner_of<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix(self.root.as_str())?
            .strip_prefix("/group/owner/")
    }

    /// Key of the report by which nodes admit jobs of a pool. It is in the group, which every node
    /// follows.
    pub fn intake_report(&self, pool: &str) -> String {
        format!("{}/group/intake/{pool}", self.root)
    }

    /// Name of the pool in the key of its intake report.
    pub fn intake_report_of<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix(self.root.as_str())?
            .strip_prefix("/group/intake/")
    }

    /// Key of the head of a pool's journal, which each write of the pool's owner changes.
    pub fn journal_head(&self, pool: &str) -> String {
        format!("{}/head/{pool}", self.root)
    }

    /// Key of the location of a job: its pool, queue and team.
    pub fn location(&self, id: &str) -> String {
        format!("{}/id/{id}", self.root)
    }

    /// Prefix of the submissions and cancels for a pool's owner.
    pub fn inbox_prefix(&self, pool: &str) -> String {
        format!("{}/in/{pool}/", self.root)
    }

    /// Key of the submission of a job.
    pub fn submission(&self, pool: &str, id: &str) -> String {
        format!("{}/in/{pool}/job-{id}", self.root)
    }

    /// Key of the cancel of a job.
    pub fn cancel(&self, pool: &str, id: &str) -> String {
        format!("{}/in/{pool}/cancel-{id}", self.root)
    }

    /// Prefix of the progress records of a pool's jobs.
    pub fn progress_prefix(&self, pool: &str) -> String {
        format!("{}/run/{pool}/", self.root)
    }

    /// Key of the progress of a job.
    pub fn progress(&self, pool: &str, id: &str) -> String {
        format!("{}/run/{pool}/{id}", self.root)
    }

    /// Key of the numbers of waiting jobs in a pool's queues.
    pub fn counts(&self, pool: &str) -> String {
        format!("{}/count/{pool}", self.root)
    }

    /// Prefix of the reports of all pools on cordoned halls.
    pub fn cordon_reports_prefix(&self) -> String {
        format!("{}/cordon/", self.root)
    }

    /// Key of the report of a pool on cordoned halls: what it still runs there.
    pub fn cordon_report(&self, pool: &str) -> String {
        format!("{}/cordon/{pool}", self.root)
    }

    /// Prefix of the VM balances of all pools.
    pub fn vm_balances_prefix(&self) -> String {
        format!("{}/share/", self.root)
    }

    /// Key of the VM balance of a pool: the VMs that it has and wants.
    pub fn vm_balance(&self, pool: &str) -> String {
        format!("{}/share/{pool}", self.root)
    }

    /// Prefix of the quota allocations of all teams.
    pub fn quotas_prefix(&self) -> String {
        format!("{}/quota/", self.root)
    }

    /// Key of the allocations of a team's limit to pools.
    pub fn quota(&self, team: &str) -> String {
        format!("{}/quota/{team}", self.root)
    }

    /// Name of the team in the key of its quota allocations.
    pub fn quota_of<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix(self.root.as_str())?
            .strip_prefix("/quota/")
    }

    /// Key of the state of a wave.
    pub fn wave(&self, wave: u64) -> String {
        format!("{}/wave/{wave}", self.root)
    }
}

/// Kind of a key in a pool's inbox.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum InboxKey<'a> {
    /// Submission of the job with this identifier.
    Submission(&'a str),
    /// Cancel of the job with this identifier.
    Cancel(&'a str),
}

impl<'a> InboxKey<'a> {
    /// Parses a key; `prefix` is that of the inbox. Names of pools are chosen by operators: only
    /// what follows the prefix says what an entry is.
    pub(crate) fn parse(prefix: &str, key: &'a str) -> Option<Self> {
        let rest = key.strip_prefix(prefix).filter(|rest| is_own(rest))?;
        if let Some(id) = rest.strip_prefix("job-") {
            return Some(Self::Submission(id));
        }
        rest.strip_prefix("cancel-").map(Self::Cancel)
    }
}

/// Whether the rest of a key after the prefix of a pool's records is of that pool. The records of
/// another pool begin with the same prefix if its name is longer by a slash and more; identifiers
/// have no slash.
pub(crate) fn is_own(rest: &str) -> bool {
    !rest.contains('/')
}
