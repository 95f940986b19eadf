//! Starts HTTP servers whose clients are bounded.

use std::{
    io,
    net::SocketAddr,
    time::Duration, //
};

use actix_http::{
    HttpService,
    Request,
    Response,
    body::MessageBody,
    error::DispatchError, //
};
use actix_server::{
    Server,
    ServerBuilder, //
};
use actix_service::{
    IntoServiceFactory,
    Service,
    ServiceFactory,
    ServiceFactoryExt,
    apply_fn_factory,
    fn_service,
    map_config, //
};
use actix_web::{
    Error,
    dev::AppConfig, //
};
use hoisthitch_telemetry::event;
use tokio::net::{
    TcpSocket,
    TcpStream, //
};

use crate::{
    call::{
        ConnectionData,
        GuardedCall, //
    },
    ledger::ConnectionLedger,
    limits::ListenerLimits,
    metrics::ListenerMetrics,
    refuse::ConnectionRefuser,
    stream::GuardedStream,
};

/// Connections that may wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1_024;

/// Connections of each thread beyond its limit that are accepted while others are closed for
/// them.
const CLOSING_CONNECTIONS: usize = 32;

/// Receive and send buffers of a connection in the kernel, in bytes; Linux doubles them. Without
/// a limit, each may grow to several megabytes, which count as memory of the process.
const SOCKET_BUFFER_BYTES: u32 = 16 << 10;

/// A server to be started.
#[derive(Clone, Debug)]
pub struct ServerPlan {
    /// Name of the listener in logs and metrics.
    pub name: &'static str,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Threads that serve its clients.
    pub threads: usize,
    /// Longest time that a stop waits for requests.
    pub stop_limit: Duration,
    /// What its clients may hold.
    pub limits: ListenerLimits,
    /// Metrics of the process's listeners.
    pub metrics: ListenerMetrics,
}

/// Starts a server; `app` makes the application of each thread.
///
/// # Errors
///
/// Fails when the address can't be listened on.
pub fn start_server<F, A, S, B>(plan: ServerPlan, app: F) -> io::Result<Server>
where
    F: Fn() -> A + Clone + Send + 'static,
    A: IntoServiceFactory<S, Request>,
    S: ServiceFactory<Request, Config = AppConfig, Error = Error> + 'static,
    S::InitError: std::fmt::Debug,
    S::Response: Into<Response<B>> + 'static,
    <S::Service as Service<Request>>::Future: 'static,
    B: MessageBody + 'static,
{
    let listener = listen(&plan)?;
    let limits = plan.limits.per_thread(plan.threads);
    event!(
        Info,
        "listening",
        listener = plan.name,
        address = plan.address,
        threads = plan.threads,
        connections = plan.limits.connections,
        body_memory_bytes = plan.limits.body_memory_bytes,
        head_bytes = plan.limits.head_bytes
    );
    let builder = ServerBuilder::new()
        .workers(plan.threads)
        .max_concurrent_connections(limits.connections + CLOSING_CONNECTIONS)
        .shutdown_timeout(plan.stop_limit.as_secs())
        .disable_signals();
    let stop = builder.graceful_shutdown_signal();
    let server = builder.listen(plan.name, listener, move || {
        let ledger = ConnectionLedger::new(limits, plan.metrics.meter(plan.name));
        let stop = stop.clone();
        let app = map_config(app().into_factory(), |()| AppConfig::default());
        let followed = apply_fn_factory(app, |mut request: Request, service: &S::Service| {
            let call = GuardedCall::begin(&mut request);
            let response = service.call(request);
            async move {
                let response: Response<B> = response.await?.into();
                Ok::<_, Error>(call.respond(response))
            }
        });
        let http = HttpService::build()
            .graceful_shutdown_signal(move || {
                let stop = stop.clone();
                async move { stop.notified().await }
            })
            .keep_alive(limits.idle_timeout)
            .client_request_timeout(limits.head_timeout)
            .client_disconnect_timeout(limits.linger_timeout)
            .local_addr(plan.address)
            .on_connect_ext(
                |stream: &GuardedStream, data: &mut actix_http::Extensions| {
                    data.insert::<ConnectionData>(stream.handle().clone());
                },
            )
            .h1(followed);
        let refuser = ConnectionRefuser::default();
        let guard = move |tcp: TcpStream| {
            let ledger = ledger.clone();
            let refuser = refuser.clone();
            async move {
                let Some(handle) = ledger.open_connection() else {
                    refuser.refuse(tcp).await;
                    return Err(DispatchError::DisconnectTimeout);
                };
                let peer = tcp.peer_addr().ok();
                Ok((GuardedStream::new(tcp, handle.into()), peer))
            }
        };
        fn_service(guard).and_then(http)
    })?;
    Ok(server.run())
}

fn listen(plan: &ServerPlan) -> io::Result<std::net::TcpListener> {
    let socket = if plan.address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    let limited = socket
        .set_recv_buffer_size(SOCKET_BUFFER_BYTES)
        .and_then(|()| socket.set_send_buffer_size(SOCKET_BUFFER_BYTES));
    if let Err(err) = limited {
        event!(
            Warn,
            "socket_buffers_unlimited",
            listener = plan.name,
            error = err
        );
    }
    socket.set_reuseaddr(true)?;
    socket.bind(plan.address)?;
    socket.listen(ACCEPT_BACKLOG)?.into_std()
}
