//! What a VM has for one process: memory and descriptors.

use nix::sys::{
    resource::{
        Resource,
        getrlimit, //
    },
    sysinfo::sysinfo, //
};

/// Memory of a VM whose system does not report it, in bytes: the smallest VM in use.
const UNKNOWN_MEMORY_BYTES: u64 = 128 << 20;

/// Descriptors of a process whose system does not report them.
const UNKNOWN_DESCRIPTORS: usize = 1_024;

/// Memory and descriptors that one process may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VmResources {
    /// Memory, in bytes.
    pub memory_bytes: u64,
    /// Descriptors.
    pub descriptors: usize,
}

impl VmResources {
    /// What the system reports for this process.
    pub fn detect() -> Self {
        let memory_bytes = sysinfo().map_or(UNKNOWN_MEMORY_BYTES, |info| info.ram_total());
        let descriptors = getrlimit(Resource::RLIMIT_NOFILE).map_or(UNKNOWN_DESCRIPTORS, |limit| {
            usize::try_from(limit.0).unwrap_or(usize::MAX)
        });
        Self {
            memory_bytes,
            descriptors,
        }
    }

    /// The lower of each figure.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            memory_bytes: self.memory_bytes.min(other.memory_bytes),
            descriptors: self.descriptors.min(other.descriptors),
        }
    }
}
