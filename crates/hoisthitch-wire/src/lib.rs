//! The inner protocol between entries.
//!
//! Frames are postcard behind a version and a length, on one QUIC stream in
//! each direction of a connection, under mutual TLS. Only entries whose
//! certificate the deployment's authority signed get in.

mod endpoint;
mod error;
mod frame;
mod link;
mod tls;

pub use endpoint::{
    MeshEndpoint,
    PeerConnection, //
};
pub use error::WireError;
pub use frame::{
    DrainReport,
    FRAME_LIMIT,
    HEADER_LENGTH,
    HallDelta,
    HallVersion,
    Heartbeat,
    HeartbeatEcho,
    LeavingNotice,
    MeshFrame,
    PROTOCOL_VERSION,
    PoolDemand, //
};

pub use frame::{
    TableDelta,
    decode_frame,
    decode_header,
    encode_frame, //
};
pub use link::{
    FrameReader,
    FrameWriter, //
};
pub use tls::MeshKeys;
