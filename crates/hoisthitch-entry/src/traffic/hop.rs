//! The hop to a runner: one connection carries one exchange at a time.
//!
//! `hyper`'s connection API is used here, not `awc`: it reports bodies that are
//! cut short, and hands a request back that was not sent (see
//! `docs/design/upstream-hop.md`). A connection is used for a single exchange:
//! in HTTP/1.1 nothing tells a late second answer from the answer to the next
//! request, so a connection that is used again could hand a caller the answer
//! to another's request. So that no request waits for its connection, the next
//! one is opened ahead.

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

/// Longest time that connecting to a runner may take.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Connections of one thread to one runner that are opened ahead.
const SPARE_LIMIT: usize = 1;

/// Age at which a spare connection is no longer used: well below the time after
/// which servers give up on a silent connection.
const SPARE_AGE: Duration = Duration::from_secs(2);

/// Longest head of an answer, and most that is read ahead of a body.
const BUFFER_LIMIT: usize = 64 << 10;

/// Most headers of an answer.
const HEADER_LIMIT: usize = 128;

/// Why an exchange with a runner failed.
#[derive(Debug, Error)]
pub enum HopError {
    /// No byte of the request was sent.
    #[error("not sent: {0}")]
    Unsent(String),
    /// The request was sent, or part of it, and no answer head came back.
    #[error("sent, no answer: {0}")]
    Sent(String),
}

/// Sends one request on a connection of its own and waits for the answer's
/// head, however long that takes; `deadline` is for connecting only. It sends if `may_send` still allows it
/// once the connection is there.
///
/// # Errors
///
/// Tells whether any byte of the request may have reached the runner.
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
    let answered = sender.try_send_request(request).await;
    answered.map_err(|mut err| {
        let unsent = err.take_message().is_some();
        let fault = err.into_error().to_string();
        if unsent {
            HopError::Unsent(fault)
        } else {
            HopError::Sent(fault)
        }
    })
}

/// A connection that was opened ahead and has carried nothing.
struct SpareConnection {
    sender: http1::SendRequest<RequestBody>,
    opened: Instant,
}

thread_local! {
    static SPARES: RefCell<HashMap<SocketAddr, Vec<SpareConnection>>> = RefCell::default();
}

/// Takes a connection that was opened ahead.
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

/// Opens a connection ahead for the next request, if few are there.
fn open_spare(address: SocketAddr) {
    let waiting = SPARES.with_borrow(|spares| spares.get(&address).map_or(0, Vec::len));
    if waiting >= SPARE_LIMIT {
        return;
    }
    actix_web::rt::spawn(async move {
        let opened = Instant::now();
        let Ok(sender) = connect(address, opened + CONNECT_LIMIT).await else {
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
        !self.sender.is_closed() && self.opened.elapsed() < SPARE_AGE
    }
}

async fn connect(
    address: SocketAddr,
    deadline: Instant,
) -> Result<http1::SendRequest<RequestBody>, HopError> {
    let limit = deadline.min(Instant::now() + CONNECT_LIMIT);
    let stream = tokio::time::timeout_at(limit, TcpStream::connect(address))
        .await
        .map_err(|_| HopError::Unsent("connecting took too long".to_owned()))?
        .map_err(|err| HopError::Unsent(err.to_string()))?;
    stream
        .set_nodelay(true)
        .map_err(|err| HopError::Unsent(err.to_string()))?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(BUFFER_LIMIT)
        .max_headers(HEADER_LIMIT)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|err| HopError::Unsent(err.to_string()))?;
    // A fault of the connection reaches the exchange that it carries.
    actix_web::rt::spawn(async move { drop(connection.await) });
    Ok(sender)
}
