//! HTTP/1.1 connections to runners; each carries a single exchange.
//!
//! `hyper`'s connection API is used instead of `awc`, since it reports truncated
//! bodies and returns a request that was not sent (see
//! `docs/design/upstream-hop.md`).
//!
//! Connections are not reused. In HTTP/1.1 nothing distinguishes a late second
//! response from the response to the next request, so a reused connection could
//! give a caller the response to another caller's request. To save requests the
//! wait for a connection, the next one is opened in advance.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    time::Duration, //
};

use hyper::{
    Request,
    Response,
    body::Incoming,
    client::conn::http1, //
};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::{
    net::TcpStream,
    time::Instant, //
};

use crate::traffic::body::RequestBody;

/// Timeout of connecting to a runner.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Spare connections that each thread keeps to each runner.
const SPARE_CONNECTIONS: usize = 1;

/// Age at which a spare connection is no longer used; well below the idle timeouts
/// of servers.
const SPARE_MAX_AGE: Duration = Duration::from_secs(2);

/// Longest head of a response, and longest part of a body that is buffered.
const BUFFER_MAX_BYTES: usize = 64 << 10;

/// Most headers of a response.
const MAX_HEADERS: usize = 128;

/// Why an exchange with a runner failed.
#[derive(Debug, Error)]
pub enum HopError {
    /// No byte of the request was sent.
    #[error("not sent: {0}")]
    Unsent(String),
    /// The request was sent, at least in part, and no response head was received.
    #[error("sent, no answer: {0}")]
    Sent(String),
}

/// Sends one request on a connection of its own and waits for the response head.
///
/// `deadline` limits only the time to connect; the wait for the response has no
/// limit. The request is sent only if `may_send` returns true after connecting.
///
/// # Errors
///
/// The error distinguishes whether any byte of the request may have reached the
/// runner.
pub async fn send_request(
    address: SocketAddr,
    request: Request<RequestBody>,
    deadline: Instant,
    may_send: impl Fn() -> bool,
) -> Result<Response<Incoming>, HopError> {
    let mut sender = match take_spare(address) {
        Some(sender) => sender,
        None => connect(address, deadline).await?,
    };
    open_spare(address);
    if !may_send() {
        return Err(HopError::Unsent(
            "the view of the fleet is stale".to_owned(),
        ));
    }
    let sent = sender.try_send_request(request).await;
    sent.map_err(|mut err| {
        let unsent = err.take_message().is_some();
        let fault = err.into_error().to_string();
        if unsent {
            HopError::Unsent(fault)
        } else {
            HopError::Sent(fault)
        }
    })
}

/// A connection that was opened in advance and is still unused.
struct SpareConnection {
    sender: http1::SendRequest<RequestBody>,
    opened: Instant,
}

thread_local! {
    static SPARES: RefCell<HashMap<SocketAddr, Vec<SpareConnection>>> = RefCell::default();
}

/// Takes a spare connection, if there is a usable one.
fn take_spare(address: SocketAddr) -> Option<http1::SendRequest<RequestBody>> {
    SPARES.with_borrow_mut(|spares| {
        let waiting = spares.get_mut(&address)?;
        while let Some(spare) = waiting.pop() {
            if spare.is_usable() {
                return Some(spare.sender);
            }
        }
        spares.remove(&address);
        None
    })
}

/// Opens a spare connection for the next request, unless there are enough.
fn open_spare(address: SocketAddr) {
    let waiting = SPARES.with_borrow(|spares| spares.get(&address).map_or(0, Vec::len));
    if waiting >= SPARE_CONNECTIONS {
        return;
    }
    actix_web::rt::spawn(async move {
        let opened = Instant::now();
        let Ok(sender) = connect(address, opened + CONNECT_TIMEOUT).await else {
            return;
        };
        SPARES.with_borrow_mut(|spares| {
            let waiting = spares.entry(address).or_default();
            waiting.retain(SpareConnection::is_usable);
            waiting.push(SpareConnection { sender, opened });
        });
    });
}

impl SpareConnection {
    fn is_usable(&self) -> bool {
        !self.sender.is_closed() && self.opened.elapsed() < SPARE_MAX_AGE
    }
}

async fn connect(
    address: SocketAddr,
    deadline: Instant,
) -> Result<http1::SendRequest<RequestBody>, HopError> {
    let limit = deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let stream = tokio::time::timeout_at(limit, TcpStream::connect(address))
        .await
        .map_err(|_| HopError::Unsent("connecting took too long".to_owned()))?
        .map_err(|err| HopError::Unsent(err.to_string()))?;
    stream
        .set_nodelay(true)
        .map_err(|err| HopError::Unsent(err.to_string()))?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(BUFFER_MAX_BYTES)
        .max_headers(MAX_HEADERS)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|err| HopError::Unsent(err.to_string()))?;
    // The result is ignored here: the sender reports a connection error to the
    // exchange.
    actix_web::rt::spawn(async move { drop(connection.await) });
    Ok(sender)
}
