//! HTTP server with graceful shutdown.
//!
//! gotham's own server can't drain, limit its connections or time out slow headers. This accept loop serves
//! connections with hyper-util and passes each request to gotham's router. When all places are taken, the connection that
//! has waited longest without progress is closed for a new one.

use std::io;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use gotham::handler::NewHandler;
use gotham::helpers::http::Body;
use gotham::service::call_handler;
use gotham::state::State;
use http::Request;
use http::Response;
use http_body::Body as _;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::Inbound;
use crate::exchange;
use crate::exchange::RequestBody;
use crate::exchange::ResponseGuard;
use crate::inbound::RequestInbound;
use crate::inbound_stream::InboundStream;
use crate::places::Places;

/// Limits of a server's connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Number of concurrent connections. When there are as many, one that makes no progress is closed for a new one, which
    /// waits to be accepted if there is none.
    pub connections: usize,
    /// Time within which the headers of a request must arrive.
    pub header_timeout: Duration,
    /// Size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Time for running requests to end after a drain begins; then their connections are closed.
    pub grace: Duration,
    /// Time after which a connection is closed whose other side does not take its response.
    pub write_timeout: Duration,
    /// Sizes of the kernel's buffers of a connection.
    pub buffers: Buffers,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            header_timeout: Duration::from_secs(10),
            head_bytes: 32 << 10,
            grace: Duration::from_secs(600),
            write_timeout: Duration::from_secs(20),
            buffers: Buffers::default(),
        }
    }
}

/// Sizes of the kernel's buffers of a connection, in bytes. The kernel doubles them.
#[derive(Clone, Copy, Debug)]
pub struct Buffers {
    /// What arrives, also before the connection is accepted.
    pub receive: usize,
    /// What arrives of a long body, which is read at once.
    pub body: usize,
    /// What is sent.
    pub send: usize,
}

impl Default for Buffers {
    fn default() -> Self {
        Self {
            receive: 16 << 10,
            body: 64 << 10,
            send: 64 << 10,
        }
    }
}

/// Delay after a failed accept, which is usually caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Interval between two looks for connections whose other side does not take what is written.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Signal that makes servers shut down gracefully.
#[derive(Clone, Debug)]
pub struct Drain {
    sender: Arc<watch::Sender<bool>>,
}

impl Default for Drain {
    fn default() -> Self {
        let sender = Arc::new(watch::Sender::new(false));
        Self { sender }
    }
}

impl Drain {
    /// Makes servers stop accepting connections and return once their running requests have ended.
    pub fn begin(&self) {
        self.sender.send_replace(true);
    }

    /// Returns whether the drain has begun.
    pub fn is_begun(&self) -> bool {
        *self.sender.borrow()
    }

    /// Waits until the drain begins.
    pub async fn begun(&self) {
        let mut receiver = self.sender.subscribe();
        // Waiting can't fail: `self` keeps the sender alive.
        let _ = receiver.wait_for(|begun| *begun).await;
    }
}

/// Listens on an address, where so many connections may wait to be accepted.
///
/// # Errors
///
/// Returns the error of the operating system, for instance when the address is taken.
///
/// # Examples
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> std::io::Result<()> {
/// let listener = net::server::listen(([127, 0, 0, 1], 0).into(), 64)?;
/// assert_ne!(listener.local_addr()?.port(), 0);
/// # Ok(())
/// # }
/// ```
pub fn listen(addr: SocketAddr, backlog: usize) -> io::Result<TcpListener> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // Otherwise a restarted process cannot listen while connections of the one before are being closed.
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(backlog as u32)
}

/// Serves connections until the drain begins, then waits until running requests have ended.
///
/// Returns whether all requests ended within the grace period.
pub async fn serve<H>(listener: TcpListener, handler: H, limits: Limits, drain: Drain) -> bool
where
    H: NewHandler + 'static,
{
    let handler = Arc::new(handler);
    let graceful = GracefulShutdown::new();
    // Dropping the set closes its connections, so that a server whose future is dropped leaves none open.
    let mut connections = JoinSet::new();
    let places = Places::new(limits.connections, limits.write_timeout);
    set_buffers(&listener, limits.buffers);
    let mut sweep = tokio::time::interval(SWEEP_INTERVAL);
    loop {
        let accepted = tokio::select! {
            biased;
            () = drain.begun() => break,
            _ = sweep.tick() => {
                places.close_blocked();
                continue;
            }
            accepted = listener.accept() => accepted,
        };
        let (stream, from) = match accepted {
            Ok(pair) => pair,
            Err(error) => {
                log::warn!(error = error.to_string().as_str(); "could not accept a connection");
                places.make_room();
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let place = tokio::select! {
            biased;
            () = drain.begun() => break,
            place = places.take() => place,
        };
        // Otherwise small responses wait for a delayed acknowledgment. A failure only adds latency.
        let _ = stream.set_nodelay(true);
        let inbound = Arc::new(Inbound::new(from));
        let membership = places.open.add(&inbound);
        let stream = InboundStream::new(stream, &inbound, limits.buffers);
        let connection = serve_connection(stream, from, &inbound, &handler, limits, &graceful);
        connections.spawn(async move {
            tokio::select! {
                () = connection => (),
                () = inbound.closed() => (),
            }
            drop((membership, place));
        });
        while connections.try_join_next().is_some() {}
    }
    drop(listener);
    timeout(limits.grace, graceful.shutdown()).await.is_ok()
}

/// Bounds what the kernel holds for each connection that is accepted, or waits for that.
fn set_buffers(listener: &TcpListener, buffers: Buffers) {
    let socket = SockRef::from(listener);
    let result = socket
        .set_recv_buffer_size(buffers.receive)
        .and_then(|()| socket.set_send_buffer_size(buffers.send));
    if let Err(error) = result {
        log::warn!(error = error.to_string().as_str(); "could not bound the buffers of connections");
    }
}

fn serve_connection<H>(
    stream: InboundStream,
    from: SocketAddr,
    inbound: &Arc<Inbound>,
    handler: &Arc<H>,
    limits: Limits,
    graceful: &GracefulShutdown,
) -> impl Future<Output = ()> + Send + 'static
where
    H: NewHandler + 'static,
{
    let handler = handler.clone();
    let inbound = inbound.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        inbound.request_began(!request.body().is_end_stream());
        let end = ResponseGuard(inbound.clone());
        let request = request.map(|body| RequestBody {
            body,
            inbound: inbound.clone(),
        });
        let mut state = State::from_request(request, from);
        state.put(RequestInbound(inbound.clone()));
        let response = call_handler(handler.clone(), AssertUnwindSafe(state));
        async move {
            let response: Response<Body> = response.await?;
            Ok::<_, gotham::anyhow::Error>(response.map(|body| exchange::guard(body, end)))
        }
    });
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.head_bytes);
    let watcher = graceful.watcher();
    async move {
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        if let Err(error) = watcher.watch(connection).await {
            log::debug!(error = error.to_string().as_str(); "a connection ended with an error");
        }
    }
}
