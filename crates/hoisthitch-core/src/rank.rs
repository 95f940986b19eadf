//! Rendezvous (highest random weight) hashing: every process ranks the same nodes
//! for a subject in the same order.

use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

/// Hashes a name; the same in every process and version.
pub fn hash_name(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Hashes bytes; the same in every process and version.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Orders `nodes` for `subject`, highest rank first.
///
/// If a node is removed, only the subjects for which it ranked first get another
/// first node.
pub fn rendezvous_order<'a>(subject: &str, nodes: &[&'a str]) -> Vec<&'a str> {
    let seed = hash_name(subject);
    let mut order = nodes.to_vec();
    order.sort_by_key(|node| {
        let weight = xxh3_64_with_seed(node.as_bytes(), seed);
        (std::cmp::Reverse(weight), *node)
    });
    order
}
