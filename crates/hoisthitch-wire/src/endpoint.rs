//! Endpoint of a process in the mesh: opens and accepts connections.
//!
//! Both sides send a `Hello` frame with their name first. A connection is returned
//! only after the other side's hello was received.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use quinn::{
    Connection,
    Endpoint,
    Incoming,
    VarInt, //
};

use crate::{
    error::WireError,
    frame::MeshFrame,
    link::{
        FrameReader,
        FrameWriter, //
    },
    tls::MeshKeys, //
};

/// Timeout of establishing a connection, including the hello frames.
const OPEN_TIMEOUT: Duration = Duration::from_secs(3);

/// Opens and accepts connections.
#[derive(Clone)]
pub struct MeshEndpoint {
    endpoint: Endpoint,
    node: String,
}

/// An established connection, after both sides have sent their hello.
pub struct PeerConnection {
    /// Name of the other side.
    pub node: String,
    /// Frames from it.
    pub reader: FrameReader,
    /// Frames to it.
    pub writer: FrameWriter,
    connection: Connection,
}

impl PeerConnection {
    /// Closes the connection.
    pub fn close(&self) {
        self.connection.close(VarInt::from_u32(0), b"");
    }

    /// Handle of the connection, with which it can be closed while the reader and the
    /// writer are in use.
    pub fn connection(&self) -> Connection {
        self.connection.clone()
    }
}

impl MeshEndpoint {
    /// Listens on an address under the name `node`.
    ///
    /// # Errors
    ///
    /// Fails if the address or the keys can't be used.
    pub fn open(node: &str, listen: SocketAddr, keys: &MeshKeys) -> Result<Self, WireError> {
        let mut endpoint = Endpoint::server(keys.server()?, listen)?;
        endpoint.set_default_client_config(keys.client()?);
        Ok(Self {
            endpoint,
            node: node.to_owned(),
        })
    }

    /// Waits for the next incoming connection; none once the endpoint is closed.
    pub async fn incoming(&self) -> Option<Incoming> {
        self.endpoint.accept().await
    }

    /// Completes an incoming connection.
    ///
    /// # Errors
    ///
    /// Fails if the other side has no valid certificate, uses another protocol
    /// version, or sends another first frame than a hello.
    pub async fn accept(&self, incoming: Incoming) -> Result<PeerConnection, WireError> {
        let opening = async {
            let connection = incoming
                .await
                .map_err(|err| WireError::Connection(err.to_string()))?;
            self.exchange_hellos(connection).await
        };
        with_timeout(opening).await
    }

    /// Connects to the entry `node`.
    ///
    /// # Errors
    ///
    /// Fails if the entry can't be reached, or its certificate is not valid for
    /// `node`.
    pub async fn connect(
        &self,
        node: &str,
        address: SocketAddr,
    ) -> Result<PeerConnection, WireError> {
        let opening = async {
            let connection = self
                .endpoint
                .connect(address, node)
                .map_err(|err| WireError::Connection(err.to_string()))?
                .await
                .map_err(|err| WireError::Connection(err.to_string()))?;
            self.exchange_hellos(connection).await
        };
        with_timeout(opening).await
    }

    /// Closes all connections.
    pub fn close(&self) {
        self.endpoint.close(VarInt::from_u32(0), b"");
    }

    /// Opens the outgoing stream, sends a hello, and waits for the other side's.
    async fn exchange_hellos(&self, connection: Connection) -> Result<PeerConnection, WireError> {
        let stream = connection
            .open_uni()
            .await
            .map_err(|err| WireError::Connection(err.to_string()))?;
        let mut writer = FrameWriter::new(stream);
        let hello = MeshFrame::Hello {
            node: self.node.clone(),
        };
        writer.write(&hello).await?;
        let stream = connection
            .accept_uni()
            .await
            .map_err(|err| WireError::Connection(err.to_string()))?;
        let mut reader = FrameReader::new(stream);
        match reader.read().await? {
            (MeshFrame::Hello { node }, _) => Ok(PeerConnection {
                node,
                reader,
                writer,
                connection,
            }),
            _ => Err(WireError::Malformed(
                "the first frame is no hello".to_owned(),
            )),
        }
    }
}

async fn with_timeout<T>(
    opening: impl Future<Output = Result<T, WireError>>,
) -> Result<T, WireError> {
    tokio::time::timeout(OPEN_TIMEOUT, opening)
        .await
        .unwrap_or_else(|_| Err(WireError::Connection("it took too long".to_owned())))
}
