//! Keys and key prefixes of hoisthitch's records in the store.

/// Keys of the records of one deployment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeySpace {
    root: String,
}

impl KeySpace {
    /// Creates the keys below `root`.
    pub fn new(root: &str) -> Self {
        Self {
            root: root.trim_end_matches('/').to_owned(),
        }
    }

    /// Prefix of the records that every entry watches: the table, hall records and
    /// rosters.
    pub fn records(&self) -> String {
        format!("{}/", self.root)
    }

    /// Key of the operators' table.
    pub fn table(&self) -> String {
        format!("{}/table", self.root)
    }

    /// Prefix of the records of all data halls.
    pub fn halls(&self) -> String {
        format!("{}/hall/", self.root)
    }

    /// Key of the record of a data hall.
    pub fn hall(&self, hall: &str) -> String {
        format!("{}/hall/{hall}", self.root)
    }

    /// Prefix of the rosters of all data halls.
    pub fn rosters(&self) -> String {
        format!("{}/roster/", self.root)
    }

    /// Key of the roster of a data hall.
    pub fn roster(&self, hall: &str) -> String {
        format!("{}/roster/{hall}", self.root)
    }

    /// Prefix of the records that stewards watch: permits, waves and live stewards.
    pub fn fleet(&self) -> String {
        format!("{}-fleet/", self.root)
    }

    /// Prefix of the permits of all pools.
    pub fn all_permits(&self) -> String {
        format!("{}-fleet/permits/", self.root)
    }

    /// Key of the permits of a pool, which only stewards watch.
    pub fn permits(&self, pool: &str) -> String {
        format!("{}-fleet/permits/{pool}", self.root)
    }

    /// Prefix of the records of all waves.
    pub fn waves(&self) -> String {
        format!("{}-fleet/wave/", self.root)
    }

    /// Key of the record of a wave.
    pub fn wave(&self, name: &str) -> String {
        format!("{}-fleet/wave/{name}", self.root)
    }

    /// Prefix of the records of live stewards.
    pub fn stewards(&self) -> String {
        format!("{}-fleet/steward/", self.root)
    }

    /// Key of the record of a live steward.
    pub fn steward(&self, name: &str) -> String {
        format!("{}-fleet/steward/{name}", self.root)
    }

    /// Key of the claim of an idempotency key. It is outside of the prefix that
    /// every entry watches, since claims change with each request that has a key.
    pub fn claim(&self, pool: &str, team: &str, key: &str) -> String {
        format!("{}-claims/{pool}/{team}/{key}", self.root)
    }
}

impl Default for KeySpace {
    fn default() -> Self {
        Self::new("hoisthitch")
    }
}
