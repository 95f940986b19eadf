//! Finds the queue of a request by host and path, at a cost that hardly grows
//! with the number of queues.

use std::{
    cmp::Reverse,
    collections::HashMap, //
};

use crate::platform::QueueRoute;

/// Places of queues in a list, by host and prefix.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct QueueIndex {
    /// By host, in lower case.
    hosts: HashMap<String, PrefixIndex>,
}

/// Places of the queues of one host.
#[derive(Clone, Debug, Default, PartialEq)]
struct PrefixIndex {
    /// By prefix; of equal ones, the last queue counts.
    places: HashMap<String, usize>,
    /// Lengths of the prefixes in bytes, the longest first; each once.
    lengths: Vec<usize>,
}

impl QueueIndex {
    /// Index of a list.
    pub(crate) fn new(queues: &[QueueRoute]) -> Self {
        let mut hosts: HashMap<String, PrefixIndex> = HashMap::new();
        for (place, queue) in queues.iter().enumerate() {
            let host = queue.host.to_ascii_lowercase();
            let index = hosts.entry(host).or_default();
            index.places.insert(queue.prefix.clone(), place);
        }
        for index in hosts.values_mut() {
            index.lengths = index.places.keys().map(String::len).collect();
            index
                .lengths
                .sort_unstable_by_key(|length| Reverse(*length));
            index.lengths.dedup();
        }
        Self { hosts }
    }

    /// Place of the queue with the longest prefix of the path, and what follows
    /// the prefix.
    pub(crate) fn find<'a>(&self, host: &str, path: &'a str) -> Option<(usize, &'a str)> {
        let index = self.hosts.get(&host.to_ascii_lowercase())?;
        index.lengths.iter().find_map(|length| {
            let (prefix, rest) = path.split_at_checked(*length)?;
            Some((*index.places.get(prefix)?, rest))
        })
    }
}
