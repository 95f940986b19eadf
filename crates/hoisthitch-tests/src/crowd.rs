//! Crowds of clients that each claim a resource of a server and then stay connected.
//!
//! A [`ClientCrowd`] opens connections, writes the same bytes on each, and reads nothing. A
//! server may refuse or close any of them: the crowd goes on with the others.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use actix_rt::task::JoinHandle;
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::Instant, //
};

/// Time without any progress of the crowd after which it has sent what it can.
const SETTLED: Duration = Duration::from_secs(1);

/// Longest wait for a crowd to settle.
const SETTLE_LIMIT: Duration = Duration::from_secs(60);

/// Longest wait of a client for its connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);

/// What each client of a crowd does.
#[derive(Clone, Debug)]
pub struct CrowdPlan {
    /// Number of clients.
    pub clients: usize,
    /// What each writes, piece by piece.
    pub pieces: Vec<Vec<u8>>,
    /// Pause after each piece.
    pub pause: Duration,
}

impl CrowdPlan {
    /// A crowd whose clients write all they have at once.
    pub fn at_once(clients: usize, bytes: Vec<u8>) -> Self {
        Self {
            clients,
            pieces: vec![bytes],
            pause: Duration::ZERO,
        }
    }
}

/// Progress that all clients of a crowd share.
#[derive(Debug, Default)]
struct CrowdProgress {
    bytes: Cell<usize>,
    finished: Cell<usize>,
}

/// Connected clients; their connections close when the crowd is dropped.
#[derive(Debug)]
pub struct ClientCrowd {
    clients: Vec<JoinHandle<()>>,
    progress: Rc<CrowdProgress>,
}

impl ClientCrowd {
    /// Starts a crowd and waits until its clients have sent what they can.
    pub async fn gather(server: SocketAddr, plan: CrowdPlan) -> Self {
        let progress = Rc::<CrowdProgress>::default();
        let plan = Rc::new(plan);
        let clients = (0..plan.clients)
            .map(|_| actix_rt::spawn(run_client(server, plan.clone(), progress.clone())))
            .collect();
        let crowd = Self { clients, progress };
        crowd.settle(plan.pause).await;
        crowd
    }

    /// Bytes that the server's side took.
    pub fn sent_bytes(&self) -> usize {
        self.progress.bytes.get()
    }

    async fn settle(&self, pause: Duration) {
        let limit = Instant::now() + SETTLE_LIMIT;
        let mut last = (usize::MAX, Instant::now());
        while self.progress.finished.get() < self.clients.len() && Instant::now() < limit {
            let bytes = self.progress.bytes.get();
            if bytes != last.0 {
                last = (bytes, Instant::now());
            } else if last.1.elapsed() > SETTLED + 2 * pause {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        // What was written last may still be on its way into the server's buffers.
        tokio::time::sleep(SETTLED).await;
    }
}

impl Drop for ClientCrowd {
    fn drop(&mut self) {
        for client in &self.clients {
            client.abort();
        }
    }
}

async fn run_client(server: SocketAddr, plan: Rc<CrowdPlan>, progress: Rc<CrowdProgress>) {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(server)).await;
    let Ok(Ok(mut stream)) = connected else {
        progress.finished.set(progress.finished.get() + 1);
        return;
    };
    write_pieces(&mut stream, &plan, &progress).await;
    progress.finished.set(progress.finished.get() + 1);
    // Keeps the connection until the crowd is dropped.
    std::future::pending::<()>().await;
}

async fn write_pieces(stream: &mut TcpStream, plan: &CrowdPlan, progress: &CrowdProgress) {
    for piece in &plan.pieces {
        let mut left = &piece[..];
        while !left.is_empty() {
            // The server may have closed the connection, as it is allowed to.
            let Ok(written) = stream.write(left).await else {
                return;
            };
            progress.bytes.set(progress.bytes.get() + written);
            left = &left[written..];
        }
        if !plan.pause.is_zero() {
            tokio::time::sleep(plan.pause).await;
        }
    }
}
