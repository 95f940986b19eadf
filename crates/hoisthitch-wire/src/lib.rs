//! Mesh protocol between entries, and between stewards and entries.
//!
//! Frames are a version, a length and a postcard-encoded body. Each connection has
//! one QUIC stream in each direction, under mutual TLS. Only processes whose
//! certificate is signed by the deployment's authority can connect.

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
    HEADER_BYTES,
    HallDelta,
    HallVersion,
    Heartbeat,
    HeartbeatEcho,
    LeavingNotice,
    MAX_BODY_BYTES,
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
