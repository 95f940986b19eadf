//! Proxy that injects faults between two processes: TCP streams and UDP
//! datagrams are passed on, cut, held back, delayed or doubled, each direction
//! by itself. All streams that are open can also be silenced for good, as where a
//! network forgets them: nothing passes them any more and no end closes them,
//! while new ones work.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use actix_web::{
    App,
    HttpResponse,
    HttpServer,
    web, //
};
use argh::FromArgs;
use eyre::Result;
use serde::Deserialize;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream,
        UdpSocket,
        tcp::{
            OwnedReadHalf,
            OwnedWriteHalf, //
        }, //
    },
    sync::watch, //
};

/// Largest piece passed on at once.
const CHUNK: usize = 64 << 10;

/// Proxy that injects faults.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "proxy")]
pub struct ProxyArgs {
    /// address to listen on, as ip:port
    #[argh(option)]
    listen: SocketAddr,
    /// address to pass on to, as ip:port
    #[argh(option)]
    to: SocketAddr,
    /// address that faults are set on, as ip:port
    #[argh(option)]
    control: SocketAddr,
    /// pass on UDP datagrams instead of TCP streams
    #[argh(switch)]
    udp: bool,
}

/// Faults in force.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct ProxyPlan {
    /// Whether connections are closed and new ones refused.
    cut: bool,
    /// Whether what comes from the listening side is held back.
    hold_forward: bool,
    /// Whether what comes from the far side is held back.
    hold_back: bool,
    /// Time that each piece is held back, in milliseconds.
    delay_ms: u64,
    /// Whether datagrams are sent twice.
    double: bool,
}

#[derive(Clone, Copy)]
enum Direction {
    Forward,
    Back,
}

type PlanReceiver = watch::Receiver<ProxyPlan>;

/// How many times the open streams were silenced.
type SilenceReceiver = watch::Receiver<u64>;

/// Runs until the process is told to stop.
///
/// # Errors
///
/// Fails when an address can't be listened on.
pub async fn run(args: ProxyArgs) -> Result<()> {
    let (sender, plan) = watch::channel(ProxyPlan::default());
    let sender = Arc::new(sender);
    let (silencer, silence) = watch::channel(0);
    let silencer = Arc::new(silencer);
    if args.udp {
        let socket = UdpSocket::bind(args.listen).await?;
        actix_web::rt::spawn(pass_datagrams(Arc::new(socket), args.to, plan));
    } else {
        let listener = TcpListener::bind(args.listen).await?;
        actix_web::rt::spawn(pass_streams(listener, args.to, plan, silence));
    }
    println!("standin=proxy listen={} to={}", args.listen, args.to);
    HttpServer::new(move || {
        App::new()
            .app_data(web::Data::from(sender.clone()))
            .app_data(web::Data::from(silencer.clone()))
            .route("/standin/plan", web::put().to(put_plan))
            .route("/standin/silence", web::post().to(silence_open))
    })
    .workers(1)
    .shutdown_timeout(1)
    .bind(args.control)?
    .run()
    .await?;
    Ok(())
}

async fn put_plan(
    sender: web::Data<watch::Sender<ProxyPlan>>,
    plan: web::Json<ProxyPlan>,
) -> HttpResponse {
    sender.send_replace(plan.into_inner());
    HttpResponse::NoContent().finish()
}

async fn silence_open(silencer: web::Data<watch::Sender<u64>>) -> HttpResponse {
    silencer.send_modify(|times| *times += 1);
    HttpResponse::NoContent().finish()
}

async fn pass_streams(
    listener: TcpListener,
    to: SocketAddr,
    plan: PlanReceiver,
    silence: SilenceReceiver,
) {
    loop {
        let Ok((near, _)) = listener.accept().await else {
            continue;
        };
        if plan.borrow().cut {
            continue;
        }
        let mut silence = silence.clone();
        // What was silenced before this stream came does not concern it.
        silence.mark_unchanged();
        actix_web::rt::spawn(pass_stream(near, to, plan.clone(), silence));
    }
}

async fn pass_stream(
    near: TcpStream,
    to: SocketAddr,
    plan: PlanReceiver,
    mut silence: SilenceReceiver,
) {
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let mut cut = plan.clone();
    let cut = cut.wait_for(|plan| plan.cut);
    tokio::pin!(cut);
    let copies = async {
        tokio::join!(
            copy(near_read, far_write, plan.clone(), Direction::Forward),
            copy(far_read, near_write, plan.clone(), Direction::Back),
        );
    };
    tokio::pin!(copies);
    tokio::select! {
        () = &mut copies => {}
        _ = &mut cut => {}
        // The copies are kept, and with them both ends open.
        Ok(()) = silence.changed() => drop(cut.await),
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut plan: PlanReceiver,
    direction: Direction,
) {
    let mut buffer = vec![0; CHUNK];
    loop {
        let Ok(size) = from.read(&mut buffer).await else {
            return;
        };
        if size == 0 {
            let _ = to.shutdown().await;
            return;
        }
        hold(&mut plan, direction).await;
        if to.write_all(&buffer[..size]).await.is_err() {
            return;
        }
    }
}

async fn hold(plan: &mut PlanReceiver, direction: Direction) {
    let delay = plan.borrow().delay_ms;
    if delay > 0 {
        tokio::time::sleep(Duration::from_millis(delay)).await;
    }
    let _ = plan.wait_for(|plan| !held(plan, direction)).await;
}

fn held(plan: &ProxyPlan, direction: Direction) -> bool {
    match direction {
        Direction::Forward => plan.hold_forward,
        Direction::Back => plan.hold_back,
    }
}

async fn pass_datagrams(near: Arc<UdpSocket>, to: SocketAddr, plan: PlanReceiver) {
    let mut links: BTreeMap<SocketAddr, Arc<UdpSocket>> = BTreeMap::new();
    let mut buffer = vec![0; CHUNK];
    loop {
        let Ok((size, peer)) = near.recv_from(&mut buffer).await else {
            continue;
        };
        if let std::collections::btree_map::Entry::Vacant(e) = links.entry(peer) {
            let Ok(link) = open_link(near.clone(), peer, to, plan.clone()).await else {
                continue;
            };
            e.insert(link);
        }
        if let Some(link) = links.get(&peer) {
            let link = link.clone();
            let datagram = buffer[..size].to_vec();
            let plan = plan.clone();
            actix_web::rt::spawn(async move {
                for _ in 0..copies(&plan, Direction::Forward).await {
                    let _ = link.send(&datagram).await;
                }
            });
        }
    }
}

async fn open_link(
    near: Arc<UdpSocket>,
    peer: SocketAddr,
    to: SocketAddr,
    plan: PlanReceiver,
) -> std::io::Result<Arc<UdpSocket>> {
    let link = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
    link.connect(to).await?;
    let back = link.clone();
    actix_web::rt::spawn(async move {
        let mut buffer = vec![0; CHUNK];
        while let Ok(size) = back.recv(&mut buffer).await {
            for _ in 0..copies(&plan, Direction::Back).await {
                let _ = near.send_to(&buffer[..size], peer).await;
            }
        }
    });
    Ok(link)
}

/// How often a datagram is sent; zero when it is lost.
async fn copies(plan: &PlanReceiver, direction: Direction) -> usize {
    let plan = plan.borrow().clone();
    if plan.cut || held(&plan, direction) {
        return 0;
    }
    if plan.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(plan.delay_ms)).await;
    }
    if plan.double { 2 } else { 1 }
}
