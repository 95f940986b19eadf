//! Refuses connections for which the listener has no room.

use std::{
    cell::Cell,
    rc::Rc,
    time::Duration, //
};

use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    time::timeout, //
};

/// Response to whatever a client asks that can't be served. It has no effect, and the client may
/// return.
const FULL_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n\
    content-length: 0\r\nconnection: close\r\n\r\n";

/// Connections that are refused at the same time with a response; more are closed at once.
const MAX_REFUSED: usize = 16;

/// Longest time for which a refused connection is kept.
const REFUSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Refuses connections.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionRefuser {
    refused: Rc<Cell<usize>>,
}

impl ConnectionRefuser {
    /// Writes the refusal, and closes the connection once its client has read it.
    pub(crate) async fn refuse(&self, tcp: TcpStream) {
        if self.refused.get() >= MAX_REFUSED {
            return;
        }
        self.refused.set(self.refused.get() + 1);
        // A client that doesn't take the refusal in time gets none.
        let _ = timeout(REFUSE_TIMEOUT, write_refusal(tcp)).await;
        self.refused.set(self.refused.get() - 1);
    }
}

async fn write_refusal(mut tcp: TcpStream) -> std::io::Result<()> {
    tcp.write_all(FULL_RESPONSE).await?;
    tcp.shutdown().await?;
    // A connection that is closed with unread bytes is reset, and the refusal may be lost.
    let mut dropped = [0; 1 << 10];
    while tcp.read(&mut dropped).await? > 0 {}
    Ok(())
}
