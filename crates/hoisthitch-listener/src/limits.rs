//! Limits of a listener, and how they follow from the resources of its VM.

use std::time::Duration;

use crate::vm::VmResources;

/// Memory that one connection takes, in bytes: its receive buffer in the kernel, the buffers of
/// the HTTP library, a head that is incomplete, and the first part of a body.
pub(crate) const CONNECTION_BYTES: usize = 64 << 10;

/// Part of the memory that callers' connections may take, in percent. As much is for bodies;
/// the rest is for the process itself.
const CONNECTION_MEMORY_PERCENT: u64 = 20;

/// Part of the memory that callers' bodies may take, in percent.
const BODY_MEMORY_PERCENT: u64 = 20;

/// Descriptors that a process needs for files.
const FILE_DESCRIPTORS: usize = 200;

/// Part of the remaining descriptors that callers may take, in percent. The rest is for the
/// process's own connections, for operators and for the readiness check.
const CONNECTION_DESCRIPTORS_PERCENT: usize = 60;

/// Connections that every listener serves, however small its VM is.
const MIN_CONNECTIONS: usize = 16;

/// Connections of a listener for operators or for readiness checks.
const SIDE_CONNECTIONS: usize = 32;

/// Part of the memory that bodies of operators may take, in percent.
const SIDE_MEMORY_PERCENT: u64 = 4;

/// What the clients of one listener may hold together, and each of them alone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenerLimits {
    /// Open connections.
    pub connections: usize,
    /// Memory for bodies, in bytes. A body counts twice: it is copied as it is read, and
    /// parsed.
    pub body_memory_bytes: usize,
    /// Most that the body of one request counts, in bytes: how much of it is buffered at once.
    pub buffered_body_bytes: usize,
    /// Length of a request's head, in bytes.
    pub head_bytes: usize,
    /// Time from the first byte of a request's head to its last.
    pub head_timeout: Duration,
    /// Time for a whole body, where the request has no earlier deadline of its own.
    pub body_timeout: Duration,
    /// Time in which a client must read some of a response.
    pub write_timeout: Duration,
    /// Time for which a connection is kept after a response that its client did not wait for
    /// with its body.
    pub linger_timeout: Duration,
    /// Time for which a connection without a request is kept.
    pub idle_timeout: Duration,
}

impl ListenerLimits {
    /// Limits of a listener for callers.
    pub fn for_callers(vm: VmResources) -> Self {
        let part = |percent| usize_of(vm.memory_bytes / 100 * percent);
        let by_memory = part(CONNECTION_MEMORY_PERCENT) / CONNECTION_BYTES;
        let descriptors = vm.descriptors.saturating_sub(FILE_DESCRIPTORS);
        let by_descriptors = descriptors / 100 * CONNECTION_DESCRIPTORS_PERCENT;
        Self {
            connections: by_memory.min(by_descriptors).max(MIN_CONNECTIONS),
            body_memory_bytes: part(BODY_MEMORY_PERCENT),
            buffered_body_bytes: usize::MAX,
            head_bytes: 64 << 10,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(60),
            write_timeout: Duration::from_secs(10),
            linger_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(75),
        }
    }

    /// Limits of a listener for operators, or for readiness checks.
    pub fn for_operators(vm: VmResources) -> Self {
        Self {
            connections: SIDE_CONNECTIONS,
            body_memory_bytes: usize_of(vm.memory_bytes / 100 * SIDE_MEMORY_PERCENT),
            body_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(30),
            ..Self::for_callers(vm)
        }
    }

    /// The part of one of several threads that serve the listener together.
    #[must_use]
    pub(crate) fn per_thread(self, threads: usize) -> Self {
        let threads = threads.max(1);
        Self {
            connections: (self.connections / threads).max(1),
            body_memory_bytes: self.body_memory_bytes / threads,
            ..self
        }
    }
}

fn usize_of(bytes: u64) -> usize {
    usize::try_from(bytes).unwrap_or(usize::MAX)
}
