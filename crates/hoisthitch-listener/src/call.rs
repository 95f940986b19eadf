//! Follows a request from its head to the end of its response.

use std::{
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll,
        ready, //
    },
};

use actix_http::{
    ConnectionType, Payload, Request, Response,
    body::{
        BodySize,
        MessageBody, //
    },
    error::PayloadError,
};
use bytes::Bytes;
use futures_util::Stream;
use pin_project_lite::pin_project;

use crate::ledger::ConnectionHandle;

/// The entry in the ledger of the connection that a request came on.
pub(crate) type ConnectionData = Rc<ConnectionHandle>;

/// A request that is being served.
#[derive(Debug)]
pub(crate) struct GuardedCall {
    connection: Option<ConnectionData>,
}

impl GuardedCall {
    /// Records that a request begins to be served, and follows its body.
    pub(crate) fn begin(request: &mut Request) -> Self {
        let connection = request.conn_data::<ConnectionData>().cloned();
        if let Some(connection) = &connection {
            let payload = request.take_payload();
            let has_body = !matches!(payload, Payload::None);
            connection.begin_request(has_body);
            if has_body {
                let body = GuardedBody {
                    payload,
                    connection: connection.clone(),
                };
                *request.payload() = Payload::Stream {
                    payload: Box::pin(body),
                };
            }
        }
        Self { connection }
    }

    /// Records that the request has its response, which is still to be sent. The connection is
    /// closed after a response to a request whose body is incomplete.
    pub(crate) fn respond<B>(mut self, mut response: Response<B>) -> Response<GuardedResponse<B>> {
        let connection = self.connection.take();
        if let Some(connection) = &connection {
            connection.release_body();
            if connection.is_body_incomplete() {
                response
                    .head_mut()
                    .set_connection_type(ConnectionType::Close);
            }
        }
        let end = ResponseEnd { connection };
        response.map_body(|_, body| GuardedResponse { body, _end: end })
    }
}

impl Drop for GuardedCall {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.release_body();
            connection.end_request();
        }
    }
}

/// A request's body.
struct GuardedBody {
    payload: Payload,
    connection: ConnectionData,
}

impl Stream for GuardedBody {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = self.get_mut();
        if this.connection.refused_body().is_err() {
            return Poll::Ready(Some(Err(PayloadError::Overflow)));
        }
        let next = Pin::new(&mut this.payload).poll_next(context);
        if next.is_pending() {
            this.connection.await_body(context);
        }
        let next = ready!(next);
        Poll::Ready(match next {
            Some(Ok(bytes)) => match this.connection.take_body(bytes.len()) {
                Ok(()) => Some(Ok(bytes)),
                Err(_) => Some(Err(PayloadError::Overflow)),
            },
            other => {
                this.connection.end_body();
                other
            }
        })
    }
}

/// Ends a request when its response is sent or given up.
#[derive(Debug)]
struct ResponseEnd {
    connection: Option<ConnectionData>,
}

impl Drop for ResponseEnd {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            connection.end_request();
        }
    }
}

pin_project! {
    /// The body of a response.
    #[derive(Debug)]
    pub(crate) struct GuardedResponse<B> {
        #[pin]
        body: B,
        _end: ResponseEnd,
    }
}

impl<B: MessageBody> MessageBody for GuardedResponse<B> {
    type Error = B::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        self.project().body.poll_next(context)
    }
}
