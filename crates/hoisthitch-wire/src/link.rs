//! Reads and writes frames on QUIC streams.

use quinn::{
    RecvStream,
    SendStream, //
};

use crate::{
    error::WireError,
    frame::{
        HEADER_BYTES,
        MeshFrame,
        decode_frame,
        decode_header,
        encode_frame, //
    }, //
};

/// Reads frames from a stream.
pub struct FrameReader {
    stream: RecvStream,
}

impl FrameReader {
    /// Creates a reader of `stream`.
    pub fn new(stream: RecvStream) -> Self {
        Self { stream }
    }

    /// Reads the next frame; also returns its length with the header, in bytes.
    ///
    /// # Errors
    ///
    /// Fails at the end of the stream and if the bytes are not a frame. The connection
    /// can't be used afterwards.
    pub async fn read(&mut self) -> Result<(MeshFrame, usize), WireError> {
        let mut header = [0; HEADER_BYTES];
        self.stream
            .read_exact(&mut header)
            .await
            .map_err(|_| WireError::Ended)?;
        let mut body = vec![0; decode_header(header)?];
        self.stream
            .read_exact(&mut body)
            .await
            .map_err(|_| WireError::Ended)?;
        Ok((decode_frame(&body)?, HEADER_BYTES + body.len()))
    }
}

/// Writes frames to a stream.
pub struct FrameWriter {
    stream: SendStream,
}

impl FrameWriter {
    /// Creates a writer to `stream`.
    pub fn new(stream: SendStream) -> Self {
        Self { stream }
    }

    /// Writes a frame; returns its length with the header, in bytes.
    ///
    /// # Errors
    ///
    /// Fails if the connection has ended or the frame is too long.
    pub async fn write(&mut self, frame: &MeshFrame) -> Result<usize, WireError> {
        let bytes = encode_frame(frame)?;
        self.stream
            .write_all(&bytes)
            .await
            .map_err(|err| WireError::Connection(err.to_string()))?;
        Ok(bytes.len())
    }
}
