//! HTTP server of a stand-in, which applies the faults that all stand-ins have in common.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use gotham::router::Router;
use gotham::router::builder::DefineSingleRoute;
use gotham::router::builder::DrawRoutes;
use gotham::router::builder::build_simple_router;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use net::Call;
use net::Drain;
use net::HandlerFn;
use net::Limits;
use net::Reply;
use net::body;
use net::identity;
use tokio::net::TcpListener;

use crate::Fault;
use crate::Faults;
use crate::fault::FATAL_MARKER;

/// Path of a stand-in's faults: GET reads them, any other method replaces them by the [`Fault`] in its JSON body.
pub const FAULT_PATH: &str = "/fault";

/// Maximum length of a request body.
const MAX_BODY_BYTES: usize = 16 << 20;

/// A stand-in that listens on an address.
#[derive(Debug)]
pub struct Server {
    /// The address that it listens on.
    pub addr: SocketAddr,
    /// Its faults.
    pub faults: Faults,
    identity: Arc<OnceLock<HeaderValue>>,
    drain: Drain,
}

impl Server {
    /// Sets the identity that the stand-in gives to instances.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be the value of a header, or if the stand-in has one already.
    pub fn set_identity(&self, identity: &str) -> io::Result<()> {
        let identity = HeaderValue::from_str(identity).map_err(io::Error::other)?;
        let result = self.identity.set(identity);
        result.map_err(|_| io::ErrorKind::AlreadyExists.into())
    }

    /// Stops accepting connections; running requests are completed.
    pub fn stop(&self) {
        self.drain.begin();
    }
}

/// A stand-in's handler of requests.
pub trait Handler: Send + Sync + 'static {
    /// The faults that can be injected.
    fn faults(&self) -> &Faults;

    /// Handles a request whose body has been read into `bytes`.
    fn handle(
        self: Arc<Self>,
        head: Call,
        bytes: bytes::Bytes,
    ) -> impl Future<Output = Reply> + Send;
}

/// Serves a stand-in at an address; port 0 selects a free port.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn serve<H: Handler>(addr: SocketAddr, handler: Arc<H>) -> io::Result<Server> {
    let listener = TcpListener::bind(addr).await?;
    let addr = listener.local_addr()?;
    let faults = handler.faults().clone();
    let drain = Drain::default();
    let identity = Arc::new(OnceLock::new());
    let identified = IdentifiedHandler {
        handler,
        identity: identity.clone(),
    };
    tokio::spawn(run(listener, Arc::new(identified), drain.clone()));
    Ok(Server {
        addr,
        faults,
        identity,
        drain,
    })
}

/// Serves until the stand-in is drained, or crashes without being restarted.
async fn run<H: Handler>(
    mut listener: TcpListener,
    identified: Arc<IdentifiedHandler<H>>,
    drain: Drain,
) -> io::Result<()> {
    let addr = listener.local_addr()?;
    let faults = identified.handler.faults().clone();
    loop {
        let server = net::server::serve(
            listener,
            router(&identified),
            Limits::default(),
            drain.clone(),
        );
        let crashed = tokio::select! {
            _ = server => false,
            () = faults.crash_requested() => true
        };
        faults.mark_stopped();
        let restart = faults.get().restart;
        if !crashed || restart == 0 {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(restart)).await;
        listener = TcpListener::bind(addr).await?;
        faults.change(|fault| fault.down = false);
    }
}

/// A stand-in's handler, and its identity once that is set.
struct IdentifiedHandler<H> {
    handler: Arc<H>,
    identity: Arc<OnceLock<HeaderValue>>,
}

fn router<H: Handler>(handler: &Arc<IdentifiedHandler<H>>) -> Router {
    let methods = vec![
        Method::GET,
        Method::HEAD,
        Method::POST,
        Method::PUT,
        Method::PATCH,
        Method::DELETE,
    ];
    build_simple_router(|route| {
        let glue = || HandlerFn::new(handler, handle_call::<H>);
        route.request(methods.clone(), "/").to_new_handler(glue());
        route.request(methods, "/*").to_new_handler(glue());
    })
}

/// Replies with the identity of the stand-in. Faults do not apply: the reply is a part of the connect.
fn identify(identity: &OnceLock<HeaderValue>) -> Reply {
    let mut reply = body::reply(StatusCode::OK, "text/plain", "");
    if let Some(identity) = identity.get() {
        let headers = reply.headers_mut();
        headers.insert(identity::HEADER, identity.clone());
    }
    reply
}

async fn handle_call<H: Handler>(identified: Arc<IdentifiedHandler<H>>, mut call: Call) -> Reply {
    if call.uri.path() == identity::PATH {
        return identify(&identified.identity);
    }
    let handler = identified.handler.clone();
    let body = std::mem::replace(&mut call.body, body::full(""));
    let Ok(bytes) = body::read(body, MAX_BODY_BYTES).await else {
        return body::reply(StatusCode::BAD_REQUEST, "text/plain", "bad body");
    };
    if call.uri.path() == FAULT_PATH {
        return handle_fault(handler.faults(), &call, &bytes);
    }
    let faults = handler.faults().clone();
    faults.delay().await;
    let fault = faults.get();
    if fault.fatal && contains(&bytes, FATAL_MARKER) {
        faults.crash().await;
        return aborted_reply();
    }
    if fault.down {
        return aborted_reply();
    }
    if fault.limited {
        return body::reply(
            StatusCode::TOO_MANY_REQUESTS,
            "text/plain",
            "too many calls",
        );
    }
    let reply = handler.handle(call, bytes).await;
    if fault.mute { aborted_reply() } else { reply }
}

fn contains(bytes: &[u8], marker: &str) -> bool {
    bytes
        .windows(marker.len())
        .any(|window| window == marker.as_bytes())
}

fn handle_fault(faults: &Faults, call: &Call, bytes: &[u8]) -> Reply {
    if call.method == Method::GET {
        return body::json(StatusCode::OK, &faults.get());
    }
    match serde_json::from_slice::<Fault>(bytes) {
        Ok(fault) => {
            faults.set(fault);
            body::json(StatusCode::OK, &fault)
        }
        Err(error) => body::reply(StatusCode::BAD_REQUEST, "text/plain", error.to_string()),
    }
}

/// Returns a reply whose body fails at once, so that the connection is closed before the first byte of the body is
/// sent.
pub fn aborted_reply() -> Reply {
    let error = io::Error::new(io::ErrorKind::ConnectionAborted, "cut");
    let mut reply = Reply::new(body::broken(error));
    *reply.status_mut() = StatusCode::OK;
    reply
}
