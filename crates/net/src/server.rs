//! HTTP server with graceful shutdown.
//!
//! gotham's own server can't drain, limit its connections or time out slow headers. This accept loop serves
//! connections with hyper-util and passes each request to gotham's router.

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

/// Limits of a server's connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Number of concurrent connections; further ones wait to be accepted.
    pub connections: usize,
    /// Time within which the headers of a request must arrive.
    pub header_timeout: Duration,
    /// Size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Time for running requests to end after a drain begins; then their connections are closed.
    pub grace: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            header_timeout: Duration::from_secs(10),
            head_bytes: 32 << 10,
            grace: Duration::from_secs(600),
        }
    }
}

/// Delay after a failed accept, which is usually caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

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
    let permits = Arc::new(Semaphore::new(limits.connections));
    loop {
        let permit = tokio::select! {
            biased;
            () = drain.begun() => break,
            permit = permits.clone().acquire_owned() => permit,
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
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let connection = serve_connection(stream, from, &handler, limits, &graceful);
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

fn serve_connection<H>(
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
    // Otherwise small responses wait for a delayed acknowledgment. A failure only adds latency.
    let _ = stream.set_nodelay(true);
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
