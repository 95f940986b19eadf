//! Bodies of requests on their way to a runner.

use std::{
    pin::Pin,
    task::{
        Context,
        Poll, //
    }, //
};

use bytes::Bytes;
use hyper::body::{
    Body,
    Frame,
    SizeHint, //
};
use thiserror::Error;
use tokio::sync::mpsc;

/// The caller's body ended before its end.
#[derive(Clone, Copy, Debug, Error)]
#[error("the caller's body was cut short")]
pub struct BodyCut;

/// Body of a request.
#[derive(Debug)]
pub enum RequestBody {
    /// The whole body; it can be sent again.
    Whole(Bytes),
    /// A long body that is passed on as it comes; it can be sent once.
    Stream(BodyStream),
}

/// A body that is passed on as it comes.
#[derive(Debug)]
pub struct BodyStream {
    /// Length, where the caller named it.
    pub length: Option<u64>,
    /// What was read ahead.
    pub first: Option<Bytes>,
    /// The rest; bounded, so that a slow runner slows the caller.
    pub rest: mpsc::Receiver<Result<Bytes, BodyCut>>,
}

impl RequestBody {
    /// A copy for another send, where one can be made.
    pub fn again(&self) -> Option<Self> {
        match self {
            Self::Whole(bytes) => Some(Self::Whole(bytes.clone())),
            Self::Stream(_) => None,
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyCut;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyCut>>> {
        match self.get_mut() {
            Self::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Stream(stream) => stream.poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Stream(stream) => stream
                .length
                .map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

impl BodyStream {
    fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyCut>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        self.rest
            .poll_recv(context)
            .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
    }
}
