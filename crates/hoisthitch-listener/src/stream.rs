//! A client's connection, which hands the HTTP library bytes only as far as requests are served.

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

use bytes::{
    Buf,
    Bytes, //
};
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream,
    time::{
        Instant,
        Sleep,
        sleep_until, //
    },
};

use crate::{
    ledger::{
        CloseReason,
        ConnectionHandle, //
    },
    split::{
        PART_BYTES,
        PartSplitter, //
    },
};

/// Response to a request whose head is too long.
const LONG_HEAD_RESPONSE: &[u8] = b"HTTP/1.1 431 Request Header Fields Too Large\r\n\
    content-length: 0\r\nconnection: close\r\n\r\n";

/// Bytes that are read and dropped at once.
const DROPPED_BYTES: usize = 4 << 10;

/// A connection whose bytes its ledger counts and limits.
#[derive(Debug)]
pub(crate) struct GuardedStream {
    tcp: TcpStream,
    handle: Rc<ConnectionHandle>,
    splitter: PartSplitter,
    /// Bytes that were read beyond the end of a part.
    rest: Bytes,
    /// Whether a part was handed over and is not known to be decoded.
    part_read: bool,
    /// Whether everything that still arrives is dropped.
    is_refused: bool,
    timer: Option<Pin<Box<Sleep>>>,
}

impl GuardedStream {
    /// A connection with its entry in the ledger.
    pub(crate) fn new(tcp: TcpStream, handle: Rc<ConnectionHandle>) -> Self {
        Self {
            tcp,
            handle,
            splitter: PartSplitter::default(),
            rest: Bytes::new(),
            part_read: false,
            is_refused: false,
            timer: None,
        }
    }

    /// The connection's entry in the ledger.
    pub(crate) fn handle(&self) -> &Rc<ConnectionHandle> {
        &self.handle
    }

    /// Fails where the client is given up. Otherwise the task is woken when the time of the
    /// connection's phase is over.
    fn check_limits(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        self.handle.set_task(context);
        if let Some(reason) = self.handle.given_up() {
            return Err(closed(reason));
        }
        while let Some((deadline, reason)) = self.handle.deadline() {
            if self.poll_timer(context, deadline).is_pending() {
                break;
            }
            if reason == CloseReason::BodyTimeout {
                // The request is refused, with a response.
                self.handle.give_up_body(reason);
            } else {
                self.handle.give_up(reason);
                return Err(closed(reason));
            }
        }
        Ok(())
    }

    fn poll_timer(&mut self, context: &mut Context<'_>, deadline: Instant) -> Poll<()> {
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(sleep_until(deadline)));
        if timer.deadline() != deadline {
            timer.as_mut().reset(deadline);
        }
        timer.as_mut().poll(context)
    }

    /// Reads and drops what arrives, until the client closes the connection or its time is over.
    fn poll_drop(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.rest = Bytes::new();
        let mut bytes = [0; DROPPED_BYTES];
        let mut dropped = ReadBuf::new(&mut bytes);
        ready!(Pin::new(&mut self.tcp).poll_read(context, &mut dropped))?;
        if !dropped.filled().is_empty() {
            // One read a turn leaves time to other connections.
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(Ok(()))
    }

    /// Fails where the client has reset the connection.
    fn poll_reset(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.tcp.poll_read_ready(context))?;
        match self.tcp.take_error()? {
            Some(err) => Poll::Ready(Err(err)),
            None => Poll::Pending,
        }
    }

    /// Reads into `buf` up to the end of a part. Returns the length of the part; zero at the end
    /// of the stream.
    fn poll_part(
        &mut self,
        context: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<usize>> {
        let space = buf.remaining().min(PART_BYTES);
        if self.rest.is_empty() {
            let mut read = ReadBuf::new(buf.initialize_unfilled_to(space));
            ready!(Pin::new(&mut self.tcp).poll_read(context, &mut read))?;
            let read = read.filled();
            let part = self.splitter.next_part(read);
            self.rest = Bytes::copy_from_slice(&read[part..]);
            buf.advance(part);
            return Poll::Ready(Ok(part));
        }
        let available = &self.rest[..self.rest.len().min(space)];
        let part = self.splitter.next_part(available);
        buf.put_slice(&self.rest[..part]);
        self.rest.advance(part);
        if self.rest.is_empty() {
            self.rest = Bytes::new();
        }
        Poll::Ready(Ok(part))
    }

    /// Answers a request whose head is too long.
    fn refuse_long_head(&mut self) {
        // A client that does not read gets no response.
        let _ = self.tcp.try_write(LONG_HEAD_RESPONSE);
        self.handle.refuse_head();
        self.is_refused = true;
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
        if this.is_refused {
            return this.poll_drop(context);
        }
        if !this.handle.may_read() {
            return this.poll_reset(context);
        }
        if std::mem::take(&mut this.part_read) {
            // The library reads until there is nothing left, and only then decodes.
            if this.rest.is_empty() {
                ready!(this.tcp.poll_read_ready(context))?;
            }
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let part = ready!(this.poll_part(context, buf))?;
        if part == 0 {
            return Poll::Ready(Ok(()));
        }
        this.part_read = true;
        if this.handle.record_read(part) {
            return Poll::Ready(Ok(()));
        }
        this.refuse_long_head();
        this.check_limits(context)?;
        context.waker().wake_by_ref();
        buf.set_filled(buf.filled().len() - part);
        Poll::Pending
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
                this.check_limits(context)?;
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
