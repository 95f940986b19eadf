//! Mesh hub: the actor that holds the connections to other entries.
//!
//! An entry connects to a fixed number of neighbours, selected by rank, and accepts
//! connections from all entries. A frame that does not fit into a connection's
//! queue is dropped; the peer requests what it missed after the next heartbeat.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use actix::{
    Actor,
    Addr,
    AsyncContext,
    Context,
    Handler,
    Message, //
};
use hoisthitch_core::{
    RosterEntry,
    mesh_neighbours, //
};
use hoisthitch_telemetry::event;
use hoisthitch_wire::{
    FrameReader,
    FrameWriter,
    MeshEndpoint,
    MeshFrame,
    PeerConnection, //
};
use tokio::sync::mpsc;

use crate::{
    control::{
        keeper::ViewKeeper,
        messages::PeerFrame, //
    },
    state::SharedState, //
};

/// Number of entries that an entry connects to.
const NEIGHBOURS: usize = 4;

/// Time between two checks for missing connections.
const DIAL_INTERVAL: Duration = Duration::from_millis(500);

/// Length of the queue of frames to one entry.
const QUEUE_FRAMES: usize = 256;

/// Connections of the mesh.
pub struct MeshHub {
    shared: Arc<SharedState>,
    endpoint: MeshEndpoint,
    keeper: Addr<ViewKeeper>,
    members: Vec<RosterEntry>,
    links: BTreeMap<LinkId, PeerLink>,
    next_link: u64,
    dialing: BTreeMap<String, SocketAddr>,
}

/// Identifies a connection.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct LinkId(u64);

/// A connection to another entry.
struct PeerLink {
    node: String,
    /// Whether this entry opened it.
    dialed: bool,
    frames: mpsc::Sender<MeshFrame>,
}

/// Sets the members of the mesh.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SetMembers {
    /// All entries, including this one.
    pub members: Vec<RosterEntry>,
}

/// Sends a frame to all connected entries.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SendAll {
    /// The frame.
    pub frame: MeshFrame,
}

/// Sends a frame to one connected entry.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SendTo {
    /// Name of the entry.
    pub node: String,
    /// The frame.
    pub frame: MeshFrame,
}

/// A connection was established.
#[derive(Message)]
#[rtype(result = "()")]
struct LinkUp {
    peer: PeerConnection,
    dialed: bool,
}

/// A connection could not be opened.
#[derive(Message)]
#[rtype(result = "()")]
struct DialFailed {
    node: String,
}

/// A connection ended.
#[derive(Message)]
#[rtype(result = "()")]
struct LinkDown {
    id: LinkId,
    cause: String,
}

impl MeshHub {
    /// Creates the hub without connections; the first members are the seeds of the
    /// settings.
    pub fn new(shared: Arc<SharedState>, endpoint: MeshEndpoint, keeper: Addr<ViewKeeper>) -> Self {
        Self {
            members: seeds(&shared),
            shared,
            endpoint,
            keeper,
            links: BTreeMap::new(),
            next_link: 0,
            dialing: BTreeMap::new(),
        }
    }

    /// Opens the connections that are missing.
    fn dial(&mut self, context: &mut Context<Self>) {
        let own = self.shared.settings.name.clone();
        let names: Vec<&str> = self
            .members
            .iter()
            .map(|member| member.name.as_str())
            .collect();
        let wanted: Vec<RosterEntry> = mesh_neighbours(&own, &names, NEIGHBOURS)
            .into_iter()
            .filter(|name| !self.is_linked(name) && !self.dialing.contains_key(*name))
            .filter_map(|name| self.members.iter().find(|member| member.name == name))
            .cloned()
            .collect();
        for member in wanted {
            self.dialing.insert(member.name.clone(), member.mesh);
            let endpoint = self.endpoint.clone();
            let hub = context.address();
            actix_web::rt::spawn(async move {
                match endpoint.connect(&member.name, member.mesh).await {
                    Ok(peer) => hub.do_send(LinkUp { peer, dialed: true }),
                    Err(err) => {
                        event!(Warn, "peer_not_reached", peer = member.name, error = err);
                        hub.do_send(DialFailed { node: member.name });
                    }
                }
            });
        }
    }

    fn is_linked(&self, node: &str) -> bool {
        self.links.values().any(|link| link.node == node)
    }

    fn send(&self, link: &PeerLink, frame: MeshFrame) {
        if link.frames.try_send(frame).is_err() {
            event!(Warn, "peer_frame_dropped", peer = link.node);
        }
    }
}

impl Actor for MeshHub {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        context.run_interval(DIAL_INTERVAL, Self::dial);
        let endpoint = self.endpoint.clone();
        let hub = context.address();
        actix_web::rt::spawn(async move {
            while let Some(incoming) = endpoint.incoming().await {
                let endpoint = endpoint.clone();
                let hub = hub.clone();
                actix_web::rt::spawn(async move {
                    let from = incoming.remote_address();
                    match endpoint.accept(incoming).await {
                        Ok(peer) => hub.do_send(LinkUp {
                            peer,
                            dialed: false,
                        }),
                        Err(err) => event!(Warn, "peer_refused", from = from, error = err),
                    }
                });
            }
        });
    }
}

impl Handler<SetMembers> for MeshHub {
    type Result = ();

    fn handle(&mut self, message: SetMembers, context: &mut Context<Self>) {
        self.members = message.members;
        self.dial(context);
    }
}

impl Handler<SendAll> for MeshHub {
    type Result = ();

    fn handle(&mut self, message: SendAll, _: &mut Context<Self>) {
        let mut reached: Vec<&str> = Vec::new();
        // The newest connection is used: an older one may lead to a process that has
        // ended.
        for link in self.links.values().rev() {
            if !reached.contains(&link.node.as_str()) {
                reached.push(&link.node);
                self.send(link, message.frame.clone());
            }
        }
    }
}

impl Handler<SendTo> for MeshHub {
    type Result = ();

    fn handle(&mut self, message: SendTo, _: &mut Context<Self>) {
        let mut links = self.links.values().rev();
        let link = links.find(|link| link.node == message.node);
        if let Some(link) = link {
            self.send(link, message.frame);
        }
    }
}

impl Handler<LinkUp> for MeshHub {
    type Result = ();

    fn handle(&mut self, message: LinkUp, context: &mut Context<Self>) {
        let LinkUp { peer, dialed } = message;
        if dialed {
            self.dialing.remove(&peer.node);
        }
        // Dropping the queue of the replaced link closes its connection.
        self.links
            .retain(|_, link| link.node != peer.node || link.dialed != dialed);
        let id = LinkId(self.next_link);
        self.next_link += 1;
        event!(Info, "peer_connected", peer = peer.node, dialed = dialed);
        let (frames, queue) = mpsc::channel(QUEUE_FRAMES);
        let connection = peer.connection();
        let sender = self.shared.clone();
        actix_web::rt::spawn(async move {
            write_frames(peer.writer, queue, &sender).await;
            connection.close(0_u32.into(), b"");
        });
        let node = peer.node.clone();
        let keeper = self.keeper.clone();
        let receiver = self.shared.clone();
        let hub = context.address();
        actix_web::rt::spawn(async move {
            let cause = read_frames(&node, peer.reader, &keeper, &receiver).await;
            hub.do_send(LinkDown { id, cause });
        });
        let node = peer.node;
        self.links.insert(
            id,
            PeerLink {
                node,
                dialed,
                frames,
            },
        );
        self.shared.metrics.set_mesh_links(self.links.len());
    }
}

impl Handler<DialFailed> for MeshHub {
    type Result = ();

    fn handle(&mut self, message: DialFailed, _: &mut Context<Self>) {
        self.dialing.remove(&message.node);
    }
}

impl Handler<LinkDown> for MeshHub {
    type Result = ();

    fn handle(&mut self, message: LinkDown, _: &mut Context<Self>) {
        let removed = self.links.remove(&message.id);
        self.shared.metrics.set_mesh_links(self.links.len());
        if let Some(link) = removed {
            event!(
                Info,
                "peer_disconnected",
                peer = link.node,
                dialed = link.dialed,
                cause = message.cause,
            );
        }
    }
}

/// Members of the mesh until a roster is known.
fn seeds(shared: &SharedState) -> Vec<RosterEntry> {
    let mesh = shared.settings.mesh.as_ref();
    mesh.map_or_else(Vec::new, |mesh| mesh.seeds.clone())
}

/// Passes frames to the keeper until the connection ends; returns the cause.
async fn read_frames(
    node: &str,
    mut reader: FrameReader,
    keeper: &Addr<ViewKeeper>,
    shared: &SharedState,
) -> String {
    loop {
        match reader.read().await {
            Ok((frame, length)) => {
                shared.metrics.count_mesh_received(length);
                keeper.do_send(PeerFrame {
                    node: node.to_owned(),
                    frame,
                });
            }
            Err(err) => return err.to_string(),
        }
    }
}

async fn write_frames(
    mut writer: FrameWriter,
    mut queue: mpsc::Receiver<MeshFrame>,
    shared: &SharedState,
) {
    while let Some(frame) = queue.recv().await {
        match writer.write(&frame).await {
            Ok(length) => shared.metrics.count_mesh_sent(length),
            Err(_) => return,
        }
    }
}
