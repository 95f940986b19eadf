//! Proxy that injects network faults between two processes.
//!
//! It forwards TCP streams or UDP datagrams from the listening address (the near
//! side) to the target (the far side) and back. Both can be cut, held back or
//! delayed, and datagrams can be duplicated; holding back is set for each
//! direction separately.
//!
//! All open streams can also be silenced for good, as when a network loses its
//! connection state: they transfer nothing any more and neither end is closed,
//! while new streams work.

use std::{
    collections::BTreeMap,
    fmt,
    net::SocketAddr,
    sync::Arc,
    time::{
        Duration,
        SystemTime, //
    }, //
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
            ReadHalf,
            WriteHalf, //
        }, //
    },
    sync::watch, //
};

/// Size of the buffers, and so the largest piece that is forwarded at once.
const BUFFER_BYTES: usize = 64 << 10;

/// Delay before the proxy tries again to listen.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Proxy that injects network faults.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "proxy")]
pub struct ProxyArgs {
    /// address to listen on, as ip:port
    #[argh(option)]
    listen: SocketAddr,
    /// address to forward to, as ip:port
    #[argh(option)]
    to: SocketAddr,
    /// address that faults are set on, as ip:port
    #[argh(option)]
    control: SocketAddr,
    /// forward UDP datagrams instead of TCP streams
    #[argh(switch)]
    udp: bool,
}

/// Faults to inject. Where a stream is held back, a datagram is dropped.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct ProxyPlan {
    /// Whether streams are closed, new ones too, and datagrams dropped.
    cut: bool,
    /// Whether streams are reset and new ones refused, as by a firewall, and datagrams dropped.
    refuse: bool,
    /// Whether data from the near side is held back.
    hold_forward: bool,
    /// Whether data from the far side is held back.
    hold_back: bool,
    /// Delay of each piece of data, in milliseconds.
    delay_ms: u64,
    /// Whether datagrams are sent twice.
    double: bool,
}

#[derive(Clone, Copy, Debug)]
enum Direction {
    /// From the near side to the far side.
    Forward,
    /// From the far side to the near side.
    Back,
}

type PlanReceiver = watch::Receiver<ProxyPlan>;

/// Number of times that the open streams have been silenced.
type SilenceReceiver = watch::Receiver<u64>;

/// Forwards until the process is stopped.
///
/// # Errors
///
/// Fails if the process cannot listen on an address.
pub async fn run(args: ProxyArgs) -> Result<()> {
    let (sender, plan) = watch::channel(ProxyPlan::default());
    let sender = Arc::new(sender);
    let (silencer, silence) = watch::channel(0);
    let silencer = Arc::new(silencer);
    if args.udp {
        let socket = UdpSocket::bind(args.listen).await?;
        actix_web::rt::spawn(forward_datagrams(Arc::new(socket), args.to, plan));
    } else {
        let listener = TcpListener::bind(args.listen).await?;
        actix_web::rt::spawn(forward_streams(listener, args.to, plan, silence));
    }
    println!("standin=proxy listen={} to={}", args.listen, args.to);
    HttpServer::new(move || {
        App::new()
            .app_data(web::Data::from(sender.clone()))
            .app_data(web::Data::from(silencer.clone()))
            .route("/standin/plan", web::put().to(put_plan))
            .route("/standin/silence", web::post().to(silence_streams))
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
    log_event(format_args!("event=plan_set plan={:?}", plan.0));
    sender.send_replace(plan.into_inner());
    HttpResponse::NoContent().finish()
}

async fn silence_streams(silencer: web::Data<watch::Sender<u64>>) -> HttpResponse {
    silencer.send_modify(|times| *times += 1);
    HttpResponse::NoContent().finish()
}

/// Accepts streams, except while new ones are refused: then nothing listens.
async fn forward_streams(
    first: TcpListener,
    to: SocketAddr,
    plan: PlanReceiver,
    silence: SilenceReceiver,
) {
    let Ok(listen) = first.local_addr() else {
        return;
    };
    let mut listener = Some(first);
    loop {
        let mut changes = plan.clone();
        let Some(open) = listener.take() else {
            let _ = changes.wait_for(|plan| !plan.refuse).await;
            match TcpListener::bind(listen).await {
                Ok(open) => listener = Some(open),
                Err(err) => {
                    log_event(format_args!("event=bind_failed error={err}"));
                    tokio::time::sleep(BIND_RETRY_DELAY).await;
                }
            }
            continue;
        };
        tokio::select! {
            _ = changes.wait_for(|plan| plan.refuse) => drop(open),
            accepted = open.accept() => {
                listener = Some(open);
                let Ok((near, _)) = accepted else {
                    continue;
                };
                if plan.borrow().cut {
                    continue;
                }
                let mut silence = silence.clone();
                // Earlier requests to silence streams do not apply to this one.
                silence.mark_unchanged();
                actix_web::rt::spawn(forward_stream(near, to, plan.clone(), silence));
            }
        }
    }
}

async fn forward_stream(
    mut near: TcpStream,
    to: SocketAddr,
    plan: PlanReceiver,
    mut silence: SilenceReceiver,
) {
    let Ok(mut far) = TcpStream::connect(to).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    {
        let (near_read, near_write) = near.split();
        let (far_read, far_write) = far.split();
        let mut cut = plan.clone();
        let cut = cut.wait_for(|plan| plan.cut || plan.refuse);
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
            // `copies` is no longer polled but still has both connections, so that they
            // stay open until the proxy is cut.
            Ok(()) = silence.changed() => drop(cut.await),
        }
    }
    if plan.borrow().refuse {
        let _ = near.set_zero_linger();
    }
}

/// Forwards one direction of a stream until its end.
async fn copy(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut plan: PlanReceiver,
    direction: Direction,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(size) = from.read(&mut buffer).await else {
            return;
        };
        if size == 0 {
            let _ = to.shutdown().await;
            return;
        }
        wait_to_forward(&mut plan, direction).await;
        if to.write_all(&buffer[..size]).await.is_err() {
            return;
        }
    }
}

/// Waits for the delay and while the direction is held back.
async fn wait_to_forward(plan: &mut PlanReceiver, direction: Direction) {
    let delay = plan.borrow().delay_ms;
    if delay > 0 {
        tokio::time::sleep(Duration::from_millis(delay)).await;
    }
    let held = is_held(&plan.borrow(), direction);
    let _ = plan.wait_for(|plan| !is_held(plan, direction)).await;
    if held {
        log_event(format_args!("event=data_released direction={direction:?}"));
    }
}

/// Logs an event with the time of day, so that it can be compared with the logs of the nodes.
fn log_event(event: fmt::Arguments<'_>) {
    let time = humantime::format_rfc3339_millis(SystemTime::now());
    println!("time={time} process=proxy {event}");
}

fn is_held(plan: &ProxyPlan, direction: Direction) -> bool {
    match direction {
        Direction::Forward => plan.hold_forward,
        Direction::Back => plan.hold_back,
    }
}

/// Forwards datagrams, with a socket to the far side for each near peer.
async fn forward_datagrams(near: Arc<UdpSocket>, to: SocketAddr, plan: PlanReceiver) {
    let mut links: BTreeMap<SocketAddr, Arc<UdpSocket>> = BTreeMap::new();
    let mut buffer = vec![0; BUFFER_BYTES];
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
                for _ in 0..send_count(&plan, Direction::Forward).await {
                    let _ = link.send(&datagram).await;
                }
            });
        }
    }
}

/// Opens the socket to the far side for a near peer and starts to forward the
/// datagrams that come back on it.
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
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(size) = back.recv(&mut buffer).await {
            for _ in 0..send_count(&plan, Direction::Back).await {
                let _ = near.send_to(&buffer[..size], peer).await;
            }
        }
    });
    Ok(link)
}

/// Waits for the delay and returns how many times a datagram is sent; zero if it
/// is dropped.
async fn send_count(plan: &PlanReceiver, direction: Direction) -> usize {
    let plan = plan.borrow().clone();
    if plan.cut || plan.refuse || is_held(&plan, direction) {
        return 0;
    }
    if plan.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(plan.delay_ms)).await;
    }
    if plan.double { 2 } else { 1 }
}
