//! Settings of the steward, read from an INI file.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    path::{
        Path,
        PathBuf, //
    },
    time::Duration, //
};

use hoisthitch_settings::{
    SettingsError,
    SettingsFile,
    SettingsReader, //
};

/// Settings of one steward process.
#[derive(Clone, Debug)]
pub struct StewardSettings {
    /// Name of the steward; unique in the deployment.
    pub name: String,
    /// Lowest level that is logged.
    pub log_level: String,
    /// URL of the store's gateway.
    pub store: String,
    /// URL of the VM list.
    pub vms: String,
    /// Timeout of a call.
    pub timeout: Duration,
    /// Time between two passes over the fleet.
    pub interval: Duration,
    /// Prefix of the records in the store.
    pub root: String,
    /// Local address of the mesh connections.
    pub mesh_listen: SocketAddr,
    /// Certificate of this steward.
    pub certificate: PathBuf,
    /// Private key of this steward.
    pub key: PathBuf,
    /// Certificate of the authority that signs the certificates.
    pub authority: PathBuf,
}

impl StewardSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Reports all faults of the file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        Self::read(&SettingsFile::load(path)?)
    }

    /// Checks a settings file that was read.
    ///
    /// # Errors
    ///
    /// Reports all faults of the file.
    pub fn read(file: &SettingsFile) -> Result<Self, SettingsError> {
        let reader = SettingsReader::new(file);
        let text = |section: &str, key: &str, example: &str| -> String {
            reader.required(section, key, example).unwrap_or_default()
        };
        let file = |key: &str, example: &str| -> PathBuf {
            reader.required("mesh", key, example).unwrap_or_default()
        };
        let settings = Self {
            name: text("node", "name", "steward-1"),
            log_level: reader
                .optional("node", "log_level", "info")
                .unwrap_or_else(|| "info".to_owned()),
            store: text("platform", "store", "http://10.0.0.9:2379"),
            vms: text("platform", "vms", "http://10.0.0.9:2379"),
            timeout: reader.duration(
                "platform",
                "timeout",
                Duration::from_secs(1),
                Duration::from_millis(10)..=Duration::from_secs(30),
            ),
            interval: reader.duration(
                "steward",
                "interval",
                Duration::from_millis(500),
                Duration::from_millis(50)..=Duration::from_secs(60),
            ),
            root: reader
                .optional("platform", "root", "hoisthitch")
                .unwrap_or_else(|| "hoisthitch".to_owned()),
            mesh_listen: reader
                .required("mesh", "listen", "10.0.0.1:7100")
                .unwrap_or_else(|| SocketAddr::from((Ipv4Addr::LOCALHOST, 0))),
            certificate: file("certificate", "keys/steward-1.pem"),
            key: file("key", "keys/steward-1.key"),
            authority: file("authority", "keys/authority.pem"),
        };
        reader.finish()?;
        Ok(settings)
    }
}
