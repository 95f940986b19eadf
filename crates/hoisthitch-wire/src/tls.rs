//! Keys and QUIC settings of the mesh, with mutual TLS.

use std::{
    path::Path,
    sync::Arc,
    time::Duration, //
};

use quinn::{
    ClientConfig,
    IdleTimeout,
    ServerConfig,
    TransportConfig,
    VarInt,
    crypto::rustls::{
        QuicClientConfig,
        QuicServerConfig, //
    }, //
};
use rustls::{
    RootCertStore,
    pki_types::{
        CertificateDer,
        PrivateKeyDer,
        pem::PemObject, //
    },
    server::WebPkiClientVerifier, //
};

use crate::error::WireError;

/// Name of the protocol in the TLS handshake (ALPN).
const PROTOCOL: &[u8] = b"hoisthitch-mesh";

/// Idle timeout of a connection, in milliseconds.
const IDLE_TIMEOUT_MS: u32 = 2_000;

/// Interval of keep-alive packets; well below the idle timeout.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(600);

/// Certificates and private key of a process, and the authority's certificates.
pub struct MeshKeys {
    certificates: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    authority: RootCertStore,
}

impl MeshKeys {
    /// Reads the keys from PEM files.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be read, or has no key or no certificate.
    pub fn load(certificate: &Path, key: &Path, authority: &Path) -> Result<Self, WireError> {
        let certificates = read_certificates(certificate)?;
        let key_der =
            PrivateKeyDer::from_pem_file(key).map_err(|err| fault(key, &err.to_string()))?;
        let mut roots = RootCertStore::empty();
        for root in read_certificates(authority)? {
            roots
                .add(root)
                .map_err(|err| fault(authority, &err.to_string()))?;
        }
        Ok(Self {
            certificates,
            key: key_der,
            authority: roots,
        })
    }

    /// QUIC settings of the accepting side.
    pub(crate) fn server(&self) -> Result<ServerConfig, WireError> {
        let roots = Arc::new(self.authority.clone());
        let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider())
            .build()
            .map_err(|err| connection(&err))?;
        let mut tls = rustls::ServerConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|err| connection(&err))?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.certificates.clone(), self.key.clone_key())
            .map_err(|err| connection(&err))?;
        tls.alpn_protocols = vec![PROTOCOL.to_vec()];
        let tls = QuicServerConfig::try_from(tls).map_err(|err| connection(&err))?;
        let mut config = ServerConfig::with_crypto(Arc::new(tls));
        config.transport_config(transport());
        Ok(config)
    }

    /// QUIC settings of the connecting side.
    ///
    /// # Errors
    ///
    /// Fails if the private key does not match the certificate.
    pub fn client(&self) -> Result<ClientConfig, WireError> {
        let mut tls = rustls::ClientConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|err| connection(&err))?
            .with_root_certificates(self.authority.clone())
            .with_client_auth_cert(self.certificates.clone(), self.key.clone_key())
            .map_err(|err| connection(&err))?;
        tls.alpn_protocols = vec![PROTOCOL.to_vec()];
        let tls = QuicClientConfig::try_from(tls).map_err(|err| connection(&err))?;
        let mut config = ClientConfig::new(Arc::new(tls));
        config.transport_config(transport());
        Ok(config)
    }
}

fn transport() -> Arc<TransportConfig> {
    let mut config = TransportConfig::default();
    config.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))));
    config.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    config.max_concurrent_bidi_streams(VarInt::from_u32(0));
    config.max_concurrent_uni_streams(VarInt::from_u32(1));
    Arc::new(config)
}

fn provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, WireError> {
    let certificates: Result<Vec<_>, _> = CertificateDer::pem_file_iter(path)
        .map_err(|err| fault(path, &err.to_string()))?
        .collect();
    let certificates = certificates.map_err(|err| fault(path, &err.to_string()))?;
    if certificates.is_empty() {
        return Err(fault(path, "holds no certificate"));
    }
    Ok(certificates)
}

fn fault(file: &Path, fault: &str) -> WireError {
    WireError::Keys {
        file: file.to_owned(),
        fault: fault.to_owned(),
    }
}

fn connection(err: &dyn std::error::Error) -> WireError {
    WireError::Connection(err.to_string())
}
