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

    /// Records that stewards follow: permits, waves, stewards alive.
    pub fn fleet(&self) -> String {
        format!("{}-fleet/", self.root)
    }

    /// Permits of all pools.
    pub fn all_permits(&self) -> String {
        format!("{}-fleet/permits/", self.root)
    }

    /// Permits of a pool; stewards alone follow them.
    pub fn permits(&self, pool: &str) -> String {
        format!("{}-fleet/permits/{pool}", self.root)
    }

    /// All waves.
    pub fn waves(&self) -> String {
        format!("{}-fleet/wave/", self.root)
    }

    /// A wave.
    pub fn wave(&self, name: &str) -> String {
        format!("{}-fleet/wave/{name}", self.root)
    }

    /// Stewards that are alive.
    pub fn stewards(&self) -> String {
        format!("{}-fleet/steward/", self.root)
    }

    /// A steward.
    pub fn steward(&self, name: &str) -> String {
        format!("{}-fleet/steward/{name}", self.root)
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
