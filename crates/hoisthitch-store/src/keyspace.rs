//! Keys of hoisthitch's records in the store.

/// Names the records of one deployment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeySpace {
    root: String,
}

impl KeySpace {
    /// Records below `root`.
    pub fn new(root: &str) -> Self {
        Self {
            root: root.trim_end_matches('/').to_owned(),
        }
    }

    /// Records that every entry follows: the table, hall records and rosters.
    pub fn records(&self) -> String {
        format!("{}/", self.root)
    }

    /// The operators' table.
    pub fn table(&self) -> String {
        format!("{}/table", self.root)
    }

    /// Records of all data halls.
    pub fn halls(&self) -> String {
        format!("{}/hall/", self.root)
    }

    /// Record of one data hall.
    pub fn hall(&self, hall: &str) -> String {
        format!("{}/hall/{hall}", self.root)
    }

    /// Entries of all data halls.
    pub fn rosters(&self) -> String {
        format!("{}/roster/", self.root)
    }

    /// Entries of one data hall.
    pub fn roster(&self, hall: &str) -> String {
        format!("{}/roster/{hall}", self.root)
    }

    /// Claim of an idempotency key; outside the records that every entry
    /// follows, since claims change with each keyed request.
    pub fn claim(&self, pool: &str, team: &str, key: &str) -> String {
        format!("{}-claims/{pool}/{team}/{key}", self.root)
    }
}

impl Default for KeySpace {
    fn default() -> Self {
        Self::new("hoisthitch")
    }
}
