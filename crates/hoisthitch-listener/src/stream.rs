//! A client's connection, which its ledger can close.

use std::{
    io::{
        self,
        ErrorKind, //
    },
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll,
        ready, //
    },
};

use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream, //
};

use crate::ledger::{
    CloseReason,
    ConnectionHandle, //
};

/// A connection with its entry in the ledger.
#[derive(Debug)]
pub(crate) struct GuardedStream {
    tcp: TcpStream,
    handle: Rc<ConnectionHandle>,
}

impl GuardedStream {
    /// A connection with its entry in the ledger.
    pub(crate) fn new(tcp: TcpStream, handle: Rc<ConnectionHandle>) -> Self {
        Self { tcp, handle }
    }

    /// The connection's entry in the ledger.
    pub(crate) fn handle(&self) -> &Rc<ConnectionHandle> {
        &self.handle
    }

    /// Fails where the client is given up.
    fn check_limits(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        self.handle.set_task(context);
        if let Some(reason) = self.handle.given_up() {
            return Err(closed(reason));
        }
        Ok(())
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        this.check_limits(context)?;
        let before = buf.filled().len();
        ready!(Pin::new(&mut this.tcp).poll_read(context, buf))?;
        if buf.filled().len() > before {
            this.handle.record_read();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.check_limits(context)?;
        let written = Pin::new(&mut this.tcp).poll_write(context, bytes);
        match &written {
            Poll::Ready(Ok(length)) => this.handle.record_write(*length < bytes.len(), *length > 0),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => {
                this.handle.record_write(true, false);
            }
        }
        written
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().tcp).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().tcp).poll_shutdown(context)
    }
}

fn closed(reason: CloseReason) -> io::Error {
    io::Error::new(ErrorKind::TimedOut, reason.as_str())
}
