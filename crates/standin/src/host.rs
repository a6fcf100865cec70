//! Serving a stand-in on a loopback port.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use gotham::router::Router;
use gotham::router::builder::DefineSingleRoute;
use gotham::router::builder::DrawRoutes;
use gotham::router::builder::build_simple_router;
use http::Method;
use http::StatusCode;
use net::Call;
use net::Drain;
use net::Glue;
use net::Limits;
use net::Reply;
use net::body;
use tokio::net::TcpListener;

use crate::Fault;
use crate::Faults;
use crate::fault::FATAL_MARKER;

/// Path at which the faults of a stand-in are read and replaced.
pub const FAULT: &str = "/fault";

/// Bytes that a stand-in reads of a body.
const MOST: usize = 16 << 20;

/// A stand-in that listens on an address.
#[derive(Debug)]
pub struct Server {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its faults.
    pub faults: Faults,
    drain: Drain,
}

impl Server {
    /// Stops accepting.
    pub fn stop(&self) {
        self.drain.begin();
    }
}

/// What a stand-in does with a call whose body has been read.
pub trait Answer: Send + Sync + 'static {
    /// The switchable faults.
    fn faults(&self) -> &Faults;

    /// Answers a call.
    fn answer(
        self: Arc<Self>,
        head: Call,
        bytes: bytes::Bytes,
    ) -> impl Future<Output = Reply> + Send;
}

/// Serves a stand-in at an address; port 0 takes a free one.
///
/// # Errors
///
/// Returns the error of the bind.
pub async fn serve<A: Answer>(addr: SocketAddr, app: Arc<A>) -> io::Result<Server> {
    let listener = TcpListener::bind(addr).await?;
    let addr = listener.local_addr()?;
    let faults = app.faults().clone();
    let drain = Drain::default();
    let server = net::server::serve(listener, router(&app), Limits::default(), drain.clone());
    let ended = faults.clone();
    tokio::spawn(async move {
        tokio::select! {
            _ = server => (),
            () = ended.ended() => (),
        }
        ended.gone();
    });
    Ok(Server {
        addr,
        faults,
        drain,
    })
}

fn router<A: Answer>(app: &Arc<A>) -> Router {
    let methods = vec![
        Method::GET,
        Method::HEAD,
        Method::POST,
        Method::PUT,
        Method::PATCH,
        Method::DELETE,
    ];
    build_simple_router(|route| {
        let glue = || Glue::new(app, call::<A>);
        route.request(methods.clone(), "/").to_new_handler(glue());
        route.request(methods, "/*").to_new_handler(glue());
    })
}

async fn call<A: Answer>(app: Arc<A>, mut call: Call) -> Reply {
    let taken = std::mem::replace(&mut call.body, body::full(""));
    let Ok(bytes) = body::read(taken, MOST).await else {
        return body::reply(StatusCode::BAD_REQUEST, "text/plain", "bad body");
    };
    if call.uri.path() == FAULT {
        return fault(app.faults(), &call, &bytes);
    }
    let faults = app.faults().clone();
    faults.delay().await;
    let fault = faults.get();
    if fault.fatal && holds(&bytes, FATAL_MARKER) {
        faults.end().await;
        return cut();
    }
    if fault.down {
        return cut();
    }
    if fault.limited {
        return body::reply(
            StatusCode::TOO_MANY_REQUESTS,
            "text/plain",
            "too many calls",
        );
    }
    let reply = app.answer(call, bytes).await;
    if fault.mute { cut() } else { reply }
}

fn holds(bytes: &[u8], word: &str) -> bool {
    bytes
        .windows(word.len())
        .any(|part| part == word.as_bytes())
}

fn fault(faults: &Faults, call: &Call, bytes: &[u8]) -> Reply {
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

/// An answer that breaks the connection before its first byte of body is whole.
pub fn cut() -> Reply {
    let (sender, stream) = body::stream();
    let broken = io::Error::new(io::ErrorKind::ConnectionAborted, "cut");
    // The receiver is there: it is part of the reply that is returned.
    let _ = sender.try_send(Err(broken));
    let mut reply = Reply::new(stream);
    *reply.status_mut() = StatusCode::OK;
    reply
}
