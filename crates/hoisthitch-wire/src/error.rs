//! Errors of the mesh protocol.

use std::path::PathBuf;

use thiserror::Error;

/// Why a connection or frame was refused.
#[derive(Debug, Error)]
pub enum WireError {
    /// A key or certificate can't be used.
    #[error("{}: {fault}; 'hoisthitch keys' makes a set", file.display())]
    Keys {
        /// The file.
        file: PathBuf,
        /// What is wrong.
        fault: String,
    },
    /// The endpoint can't listen on its address.
    #[error("the mesh address can't be listened on: {0}")]
    Listen(#[from] std::io::Error),
    /// A connection failed.
    #[error("connection: {0}")]
    Connection(String),
    /// The other side uses another protocol version.
    #[error("protocol version {found}, this process speaks {wanted}")]
    Version {
        /// Version of the other side.
        found: u8,
        /// Version of this process.
        wanted: u8,
    },
    /// A frame is longer than [`MAX_BODY_BYTES`](crate::MAX_BODY_BYTES).
    #[error("a frame of {length} bytes; at most {limit} are taken")]
    TooLong {
        /// Length of the frame's body, in bytes.
        length: usize,
        /// Longest body that is accepted, in bytes.
        limit: usize,
    },
    /// A frame can't be decoded.
    #[error("a frame can't be read: {0}")]
    Malformed(String),
    /// The stream has ended.
    #[error("the stream has ended")]
    Ended,
}
