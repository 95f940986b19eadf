//! Routing of requests to queues: the index finds the same queue as a scan of all queues.

use hoisthitch_jobs::QueuePolicy;
use hoisthitch_scheduler::platform::{
    FleetPolicy,
    QueueRoute, //
};
use quickcheck::quickcheck;

/// Hosts of the generated cases; two differ only in letter case.
const HOSTS: [&str; 5] = [
    "halls.example",
    "Halls.Example",
    "tunes.example",
    "ü.example",
    "",
];

/// Parts of the generated paths and prefixes, which are often prefixes of each other.
const PARTS: [&str; 6] = ["/", "/hold", "/hold/", "é", "hold", ""];

/// A path or prefix of at most three parts.
fn text(parts: &[u8]) -> String {
    let parts = parts.iter().take(3);
    parts
        .map(|part| PARTS[usize::from(*part) % PARTS.len()])
        .collect()
}

fn host(number: u8) -> &'static str {
    HOSTS[usize::from(number) % HOSTS.len()]
}

fn queue(name: usize, host: &str, prefix: String) -> QueueRoute {
    QueueRoute {
        name: format!("queue-{name}"),
        host: host.to_owned(),
        prefix,
        pool: "halls".to_owned(),
        anonymous: false,
        policy: QueuePolicy {
            priority: 0,
            max_attempts: 3,
            stretch: 1.6,
            target_latency_ms: 600,
            advised: false,
        },
    }
}

/// The queue of the longest matching prefix, by a scan of all queues, and the rest of the path;
/// of equal prefixes the last queue counts.
fn scan<'a>(queues: &[QueueRoute], host: &str, path: &'a str) -> Option<(String, &'a str)> {
    queues
        .iter()
        .filter(|queue| queue.host.eq_ignore_ascii_case(host))
        .filter_map(|queue| Some((queue, path.strip_prefix(queue.prefix.as_str())?)))
        .max_by_key(|(queue, _)| queue.prefix.len())
        .map(|(queue, rest)| (queue.name.clone(), rest))
}

fn policy(queues: Vec<QueueRoute>) -> FleetPolicy {
    FleetPolicy::new(1, queues, Vec::new(), 262_144)
}

quickcheck! {
    fn index_finds_what_a_scan_finds(rows: Vec<(u8, Vec<u8>)>, calls: Vec<(u8, Vec<u8>)>) -> bool {
        let rows = rows.iter().enumerate();
        let queues: Vec<QueueRoute> = rows
            .map(|(name, (number, parts))| queue(name, host(*number), text(parts)))
            .collect();
        let policy = policy(queues.clone());
        calls.iter().all(|(number, parts)| {
            let path = text(parts);
            let found = policy.find_queue(host(*number), &path);
            let found = found.map(|(queue, rest)| (queue.name.clone(), rest));
            found == scan(&queues, host(*number), &path)
        })
    }
}
