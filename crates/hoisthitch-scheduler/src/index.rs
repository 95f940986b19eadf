//! Index that finds the queue of a request by host and longest path prefix. The cost of a lookup
//! hardly grows with the number of queues.

use std::{
    cmp::Reverse,
    collections::HashMap, //
};

use crate::platform::QueueRoute;

/// Positions of queues in a list, by host and prefix.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct QueueIndex {
    /// By host, in lower case.
    hosts: HashMap<String, PrefixIndex>,
}

/// Positions of the queues of one host.
#[derive(Clone, Debug, Default, PartialEq)]
struct PrefixIndex {
    /// By prefix; of queues with the same prefix, the last one counts.
    positions: HashMap<String, usize>,
    /// Distinct lengths of the prefixes in bytes, the longest first.
    lengths: Vec<usize>,
}

impl QueueIndex {
    /// Builds the index of a list.
    pub(crate) fn new(queues: &[QueueRoute]) -> Self {
        let mut hosts: HashMap<String, PrefixIndex> = HashMap::new();
        for (position, queue) in queues.iter().enumerate() {
            let host = queue.host.to_ascii_lowercase();
            let index = hosts.entry(host).or_default();
            index.positions.insert(queue.prefix.clone(), position);
        }
        for index in hosts.values_mut() {
            index.lengths = index.positions.keys().map(String::len).collect();
            index
                .lengths
                .sort_unstable_by_key(|length| Reverse(*length));
            index.lengths.dedup();
        }
        Self { hosts }
    }

    /// Position of the queue whose prefix is the longest one of the path, and the rest of the path
    /// after the prefix.
    pub(crate) fn find<'a>(&self, host: &str, path: &'a str) -> Option<(usize, &'a str)> {
        let index = self.hosts.get(&host.to_ascii_lowercase())?;
        index.lengths.iter().find_map(|length| {
            let (prefix, rest) = path.split_at_checked(*length)?;
            Some((*index.positions.get(prefix)?, rest))
        })
    }
}
