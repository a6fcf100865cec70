//! The accept loop.
//!
//! gotham's own server cannot drain, bound its connections or time out slow headers, so the loop
//! is hyper-util's and hands each request to gotham's router.

use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use gotham::handler::NewHandler;
use gotham::service::call_handler;
use gotham::state::State;
use http::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Bounds on connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections at the same time; more wait to be accepted.
    pub connections: usize,
    /// Time in which the headers of a request must come.
    pub headers: Duration,
    /// Bytes of a request's head.
    pub head: usize,
    /// Time that running requests have after a drain begins; then they are cut off.
    pub grace: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            headers: Duration::from_secs(10),
            head: 32 << 10,
            grace: Duration::from_secs(600),
        }
    }
}

/// Pause after a failed accept, which mostly means that file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Tells servers to stop.
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
    /// Makes servers stop accepting and end once their running requests have.
    pub fn begin(&self) {
        self.sender.send_replace(true);
    }

    /// Tells whether the drain has begun.
    pub fn is_begun(&self) -> bool {
        *self.sender.borrow()
    }

    /// Waits until the drain begins.
    pub async fn begun(&self) {
        let mut receiver = self.sender.subscribe();
        // The sender lives as long as `self`, so waiting cannot fail.
        let _ = receiver.wait_for(|begun| *begun).await;
    }
}

/// Serves connections until the drain begins, and then until running requests have ended.
///
/// Returns whether all requests ended within the grace period.
pub async fn serve<H>(listener: TcpListener, handler: H, limits: Limits, drain: Drain) -> bool
where
    H: NewHandler + 'static,
{
    let handler = Arc::new(handler);
    let graceful = GracefulShutdown::new();
    // Dropping the set ends its connections, so that a server that is stopped at once leaves none.
    let mut connections = JoinSet::new();
    let room = Arc::new(Semaphore::new(limits.connections));
    loop {
        let permit = tokio::select! {
            biased;
            () = drain.begun() => break,
            permit = room.clone().acquire_owned() => permit,
        };
        let accepted = tokio::select! {
            biased;
            () = drain.begun() => break,
            accepted = listener.accept() => accepted,
        };
        let (stream, from) = match accepted {
            Ok(pair) => pair,
            Err(error) => {
                log::warn!(error = error.to_string().as_str(); "could not accept a connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let connection = connect(stream, from, &handler, limits, &graceful);
        connections.spawn(async move {
            connection.await;
            drop(permit);
        });
        while connections.try_join_next().is_some() {}
    }
    drop(listener);
    tokio::time::timeout(limits.grace, graceful.shutdown())
        .await
        .is_ok()
}

fn connect<H>(
    stream: TcpStream,
    from: SocketAddr,
    handler: &Arc<H>,
    limits: Limits,
    graceful: &GracefulShutdown,
) -> impl Future<Output = ()> + Send + 'static
where
    H: NewHandler + 'static,
{
    let handler = handler.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let state = State::from_request(request, from);
        call_handler(handler.clone(), AssertUnwindSafe(state))
    });
    // Small answers must not wait for a delayed acknowledgement; an error here only costs time.
    let _ = stream.set_nodelay(true);
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.headers)
        .max_buf_size(limits.head);
    let watcher = graceful.watcher();
    async move {
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        if let Err(error) = watcher.watch(connection).await {
            log::debug!(error = error.to_string().as_str(); "a connection ended early");
        }
    }
}
