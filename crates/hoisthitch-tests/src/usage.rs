//! Memory and descriptors that a process holds, sampled while a test runs.

use std::{
    fs,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        }, //
    },
    thread::{
        self,
        JoinHandle, //
    },
    time::Duration, //
};

use eyre::{
    Result,
    WrapErr,
    eyre, //
};

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Column of `/proc/net/tcp` with the local address.
const LOCAL_COLUMN: usize = 1;

/// Column of `/proc/net/tcp` with the state of the connection.
const STATE_COLUMN: usize = 3;

/// State of an open connection.
const ESTABLISHED: &str = "01";

/// Column of `/proc/net/tcp` with the lengths of the send and receive queues.
const QUEUE_COLUMN: usize = 4;

/// What a process holds.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUsage {
    /// Resident memory and bytes that arrived on its sockets and are not yet read.
    pub memory: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

impl ProcessUsage {
    /// Reads what a process holds; its sockets are those that are bound to `listeners`.
    ///
    /// # Errors
    ///
    /// Fails when the process is gone.
    pub fn read(process: u32, listeners: &[SocketAddr]) -> Result<Self> {
        let descriptors = fs::read_dir(format!("/proc/{process}/fd"))?.count();
        let memory = resident_bytes(process)? + unread_bytes(listeners)?;
        Ok(Self {
            memory,
            descriptors,
        })
    }

    fn max(self, other: Self) -> Self {
        Self {
            memory: self.memory.max(other.memory),
            descriptors: self.descriptors.max(other.descriptors),
        }
    }
}

/// Resident memory of a process, in bytes.
///
/// # Errors
///
/// Fails when the process is gone.
pub(crate) fn resident_bytes(process: u32) -> Result<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .ok_or_else(|| eyre!("the process is gone"))?;
    let kib: u64 = line.trim().trim_end_matches(" kB").parse()?;
    Ok(kib << 10)
}

/// Number of connections that a process has accepted on an address and not closed, whose client
/// has not closed them either.
///
/// # Errors
///
/// Fails when the system doesn't report its connections.
pub fn open_connections(address: SocketAddr) -> Result<usize> {
    let own = table_address(&address).ok_or_else(|| eyre!("{address} is no IPv4 address"))?;
    let table = fs::read_to_string("/proc/net/tcp").wrap_err("/proc/net/tcp")?;
    let open = table.lines().filter(|line| {
        let columns: Vec<&str> = line.split_ascii_whitespace().collect();
        columns.get(LOCAL_COLUMN) == Some(&own.as_str())
            && columns.get(STATE_COLUMN) == Some(&ESTABLISHED)
    });
    Ok(open.count())
}

/// Bytes in the receive queues of all connections to some addresses. The listening sockets
/// report connections there, which are few enough not to matter.
fn unread_bytes(listeners: &[SocketAddr]) -> Result<u64> {
    let own: Vec<String> = listeners.iter().filter_map(table_address).collect();
    let table = fs::read_to_string("/proc/net/tcp").wrap_err("/proc/net/tcp")?;
    let unread = table.lines().filter_map(|line| {
        let mut columns = line.split_ascii_whitespace();
        let local = columns.nth(LOCAL_COLUMN)?;
        let queues = columns.nth(QUEUE_COLUMN - LOCAL_COLUMN - 1)?;
        let (_, received) = queues.split_once(':')?;
        let is_own = own.iter().any(|own| own == local);
        is_own.then(|| u64::from_str_radix(received, 16).unwrap_or(0))
    });
    Ok(unread.sum())
}

/// An address as the kernel prints it: the IP address as a number in the byte order of the
/// machine. None for addresses of IPv6, which have a table of their own.
fn table_address(address: &SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}

/// Samples what a process holds, on a thread of its own.
#[derive(Debug)]
pub struct UsageWatch {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<ProcessUsage>,
}

impl UsageWatch {
    /// Starts to sample a process, with the bytes that arrive for its `listeners`.
    pub fn start(process: u32, listeners: &[SocketAddr]) -> Self {
        let listeners = listeners.to_vec();
        let stop = Arc::<AtomicBool>::default();
        let seen = stop.clone();
        let thread = thread::spawn(move || {
            let mut peak = ProcessUsage::default();
            while !seen.load(Ordering::Relaxed) {
                // A process that is gone is noticed by the test itself.
                peak = peak.max(ProcessUsage::read(process, &listeners).unwrap_or_default());
                thread::sleep(SAMPLE_INTERVAL);
            }
            peak
        });
        Self { stop, thread }
    }

    /// Stops to sample. Returns the most that was seen of each resource.
    ///
    /// # Errors
    ///
    /// Fails when the thread panicked.
    pub fn finish(self) -> Result<ProcessUsage> {
        self.stop.store(true, Ordering::Relaxed);
        self.thread
            .join()
            .map_err(|_| eyre!("the sampling thread panicked"))
    }
}
