//! Settings of the entry, read from an INI file.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    path::{
        Path,
        PathBuf, //
    },
    str::FromStr,
    time::Duration, //
};

use hoisthitch_core::{
    RosterEntry,
    SharePolicy, //
};
use hoisthitch_listener::{
    ListenerLimits,
    VmResources, //
};
use hoisthitch_settings::{
    SettingsError,
    SettingsFile,
    SettingsReader, //
};

/// Shortest operators' token.
const MIN_TOKEN_BYTES: usize = 16;

/// Example of `seeds`, for error messages.
const SEEDS_EXAMPLE: &str = "entry-2@10.0.0.2:7000, entry-3@10.0.0.3:7000";

/// Most bytes of a body that the entry holds at once: the part that is read before the request
/// waits for a slot, and the chunks that wait for the runner.
const BUFFERED_BODY_BYTES: usize = 96 << 10;

/// Time for which a caller's connection without a request is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Settings of one entry process.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Name of the entry; unique in the deployment.
    pub name: String,
    /// Data hall that the entry's VM is in.
    pub hall: String,
    /// Lowest level that is logged.
    pub log_level: String,
    /// Callers' side of the entry.
    pub callers: CallerSettings,
    /// Operators' side of the entry.
    pub operators: OperatorSettings,
    /// The platform's services.
    pub platform: PlatformSettings,
    /// How the entries share the runners' slots.
    pub share: SharePolicy,
    /// The mesh; none for an entry without other entries.
    pub mesh: Option<MeshSettings>,
}

/// Settings of the callers' side.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// Address that callers connect to.
    pub listen: SocketAddr,
    /// Number of threads that serve callers.
    pub threads: usize,
    /// Largest request body, in bytes.
    pub body_limit: usize,
    /// What callers may hold.
    pub limits: ListenerLimits,
    /// Time for which a stopping entry listens on, until the load balancer notices.
    pub stop_notice: Duration,
    /// Longest time that a stopping entry waits for requests in flight.
    pub stop_limit: Duration,
    /// Time for which the claim of an idempotency key is kept.
    pub claim_retention: Duration,
    /// Whether requests bypass the queue and the limits, to measure their cost.
    pub bypass: bool,
}

/// Settings of the operators' side.
#[derive(Clone, Debug)]
pub struct OperatorSettings {
    /// Address that operators connect to.
    pub listen: SocketAddr,
    /// Bearer token of operators' calls.
    pub token: String,
}

/// Settings of the platform's services.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// URL of the store's gateway.
    pub store: String,
    /// URL of the VM list.
    pub vms: String,
    /// Timeout of a call.
    pub timeout: Duration,
    /// Time between two readings of the VM list.
    pub vms_interval: Duration,
    /// Prefix of the records in the store.
    pub root: String,
}

/// Settings of the mesh between entries.
#[derive(Clone, Debug)]
pub struct MeshSettings {
    /// Address that other entries connect to.
    pub listen: SocketAddr,
    /// Address on the roster; by default the address listened on.
    pub advertise: SocketAddr,
    /// Entries to connect to before a roster is known, such as while the store is
    /// unavailable.
    pub seeds: Vec<RosterEntry>,
    /// Certificate of this entry.
    pub certificate: PathBuf,
    /// Private key of this entry.
    pub key: PathBuf,
    /// Certificate of the authority that signs the entries' certificates.
    pub authority: PathBuf,
}

impl EntrySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Reports all faults of the file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let file = SettingsFile::load(path)?;
        Self::read(&file)
    }

    /// Checks a settings file that was read.
    ///
    /// # Errors
    ///
    /// Reports all faults of the file.
    pub fn read(file: &SettingsFile) -> Result<Self, SettingsError> {
        let reader = SettingsReader::new(file);
        let settings = Self {
            name: text(&reader, "node", "name", "entry-1"),
            hall: text(&reader, "node", "hall", "charlotte"),
            log_level: reader
                .optional("node", "log_level", "info")
                .unwrap_or_else(|| "info".to_owned()),
            callers: read_callers(&reader),
            operators: read_operators(&reader),
            platform: read_platform(&reader),
            share: reader
                .optional("slots", "share", "demand")
                .unwrap_or_default(),
            mesh: read_mesh(&reader),
        };
        reader.finish()?;
        Ok(settings)
    }
}

fn read_callers(reader: &SettingsReader<'_>) -> CallerSettings {
    const SECTION: &str = "callers";
    CallerSettings {
        listen: address(reader, SECTION, "listen", "10.0.0.1:8080"),
        threads: reader.number(SECTION, "threads", 2, 1..=64),
        body_limit: reader.number(SECTION, "body_limit_bytes", 16 << 20, 0..=1 << 30),
        limits: read_limits(reader),
        stop_notice: reader.duration(
            SECTION,
            "stop_notice",
            Duration::from_secs(5),
            Duration::ZERO..=Duration::from_secs(300),
        ),
        stop_limit: reader.duration(
            SECTION,
            "stop_limit",
            Duration::from_secs(60),
            Duration::from_secs(1)..=Duration::from_secs(3_600),
        ),
        claim_retention: reader.duration(
            SECTION,
            "claim_retention",
            Duration::from_secs(3_600),
            Duration::from_secs(60)..=Duration::from_secs(86_400),
        ),
        bypass: reader.optional(SECTION, "bypass", "false").unwrap_or(false),
    }
}

/// What callers may hold; by default, that follows from the VM.
fn read_limits(reader: &SettingsReader<'_>) -> ListenerLimits {
    const SECTION: &str = "callers";
    let system = VmResources::detect();
    let memory_mb = reader.number(
        SECTION,
        "memory_limit_mb",
        system.memory_bytes >> 20,
        32..=1 << 24,
    );
    let vm = VmResources {
        memory_bytes: memory_mb << 20,
        ..system
    };
    let limits = ListenerLimits::for_callers(vm);
    let timeout = |key, default, longest| {
        let range = Duration::from_secs(1)..=Duration::from_secs(longest);
        reader.duration(SECTION, key, default, range)
    };
    ListenerLimits {
        connections: reader.number(
            SECTION,
            "connection_limit",
            limits.connections,
            16..=1 << 20,
        ),
        buffered_body_bytes: BUFFERED_BODY_BYTES,
        head_bytes: reader.number(
            SECTION,
            "head_limit_bytes",
            limits.head_bytes,
            1 << 10..=128 << 10,
        ),
        head_timeout: timeout("head_timeout", limits.head_timeout, 60),
        body_timeout: timeout("body_timeout", Duration::from_secs(300), 3_600),
        write_timeout: timeout("write_timeout", limits.write_timeout, 300),
        idle_timeout: IDLE_TIMEOUT,
        ..limits
    }
}

fn read_operators(reader: &SettingsReader<'_>) -> OperatorSettings {
    const SECTION: &str = "operators";
    let token = text(reader, SECTION, "token", "a-long-random-secret");
    if !token.is_empty() && token.len() < MIN_TOKEN_BYTES {
        let help = format!("use at least {MIN_TOKEN_BYTES} characters");
        reader.fault(SECTION, "token", "is too short", &help);
    }
    OperatorSettings {
        listen: address(reader, SECTION, "listen", "10.0.0.1:8081"),
        token,
    }
}

fn read_platform(reader: &SettingsReader<'_>) -> PlatformSettings {
    const SECTION: &str = "platform";
    PlatformSettings {
        store: text(reader, SECTION, "store", "http://10.0.0.9:2379"),
        vms: text(reader, SECTION, "vms", "http://10.0.0.9:2379"),
        timeout: reader.duration(
            SECTION,
            "timeout",
            Duration::from_secs(1),
            Duration::from_millis(10)..=Duration::from_secs(30),
        ),
        vms_interval: reader.duration(
            SECTION,
            "vms_interval",
            Duration::from_secs(1),
            Duration::from_millis(100)..=Duration::from_secs(60),
        ),
        root: reader
            .optional(SECTION, "root", "hoisthitch")
            .unwrap_or_else(|| "hoisthitch".to_owned()),
    }
}

fn read_mesh(reader: &SettingsReader<'_>) -> Option<MeshSettings> {
    const SECTION: &str = "mesh";
    let listen = reader.optional(SECTION, "listen", "10.0.0.1:7000");
    let advertise = reader.optional(SECTION, "advertise", "10.0.0.1:7000");
    let seeds: Option<SeedList> = reader.optional(SECTION, "seeds", SEEDS_EXAMPLE);
    let certificate = reader.optional(SECTION, "certificate", "keys/entry-1.pem");
    let key = reader.optional(SECTION, "key", "keys/entry-1.key");
    let authority = reader.optional(SECTION, "authority", "keys/authority.pem");
    let listen = listen?;
    let file = |name: &str, value: Option<PathBuf>| {
        if value.is_none() {
            reader.fault(SECTION, name, "is missing", "'hoisthitch keys' makes a set");
        }
        value.unwrap_or_default()
    };
    Some(MeshSettings {
        listen,
        advertise: advertise.unwrap_or(listen),
        seeds: seeds.unwrap_or_default().0,
        certificate: file("certificate", certificate),
        key: file("key", key),
        authority: file("authority", authority),
    })
}

fn text(reader: &SettingsReader<'_>, section: &str, key: &str, example: &str) -> String {
    reader.required(section, key, example).unwrap_or_default()
}

fn address(reader: &SettingsReader<'_>, section: &str, key: &str, example: &str) -> SocketAddr {
    reader
        .required(section, key, example)
        .unwrap_or_else(|| SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
}

/// Entries as written in settings: `name@ip:port`, separated by commas.
#[derive(Default)]
struct SeedList(Vec<RosterEntry>);

impl FromStr for SeedList {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let seeds: Result<Vec<RosterEntry>, String> = text.split(',').map(read_seed).collect();
        Ok(Self(seeds?))
    }
}

fn read_seed(text: &str) -> Result<RosterEntry, String> {
    let seed = text.trim().split_once('@');
    let (name, address) = seed.ok_or("a seed is name@ip:port")?;
    Ok(RosterEntry {
        name: name.to_owned(),
        mesh: address.parse().map_err(|_| "a seed's address is ip:port")?,
    })
}
