//! Adapter that makes async functions handlers of gotham's router.

use std::future::Future;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::sync::Arc;

use gotham::handler::Handler;
use gotham::handler::HandlerFuture;
use gotham::handler::NewHandler;
use gotham::helpers::http::Body;
use gotham::state::FromState;
use gotham::state::State;
use gotham::state::client_addr;
use http::HeaderMap;
use http::Method;
use http::Uri;

use crate::Inbound;
use crate::Reply;
use crate::inbound::RequestInbound;

/// A request as a server received it.
#[derive(Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
    /// The body, not yet read.
    pub body: Body,
    /// Address of the client, if known.
    pub from: Option<SocketAddr>,
    /// The connection on which it has come.
    pub inbound: Arc<Inbound>,
}

impl Call {
    /// Returns the value of a header, unless it is absent or not visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the path segment at `index`, counted from 0; empty if there is none.
    pub fn segment(&self, index: usize) -> &str {
        self.uri.path().split('/').nth(index + 1).unwrap_or("")
    }

    /// Returns the path from the segment at `index` on and the query, with a leading slash.
    pub fn rest(&self, index: usize) -> String {
        let path = self.uri.path_and_query().map_or("/", |path| path.as_str());
        let rest = path.splitn(index + 2, '/').nth(index + 1).unwrap_or("");
        format!("/{rest}")
    }
}

/// Takes the connection out of gotham's state; a request that another server has accepted gets one of its own.
fn take_inbound(state: &mut State) -> Arc<Inbound> {
    match RequestInbound::try_take_from(state) {
        Some(RequestInbound(inbound)) => inbound,
        None => {
            let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
            Arc::new(Inbound::new(client_addr(state).unwrap_or(unknown)))
        }
    }
}

type ReplyFuture = Pin<Box<dyn Future<Output = Reply> + Send>>;
type BoxedFn<A> = Arc<dyn Fn(Arc<A>, Call) -> ReplyFuture + Send + Sync>;

/// Async function as a handler of gotham's router; `A` is the application state that it is called with.
pub struct HandlerFn<A> {
    app: AssertUnwindSafe<Arc<A>>,
    function: AssertUnwindSafe<BoxedFn<A>>,
}

impl<A> HandlerFn<A> {
    /// Wraps a function and the application state that it is called with.
    pub fn new<F, Fut>(app: &Arc<A>, function: F) -> Self
    where
        F: Fn(Arc<A>, Call) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = Reply> + Send + 'static,
    {
        let boxed: BoxedFn<A> = Arc::new(move |app, call| Box::pin(function(app, call)));
        Self {
            app: AssertUnwindSafe(app.clone()),
            function: AssertUnwindSafe(boxed),
        }
    }
}

impl<A> Clone for HandlerFn<A> {
    fn clone(&self) -> Self {
        Self {
            app: AssertUnwindSafe(self.app.0.clone()),
            function: AssertUnwindSafe(self.function.0.clone()),
        }
    }
}

impl<A: Send + Sync + 'static> NewHandler for HandlerFn<A> {
    type Instance = Self;

    fn new_handler(&self) -> gotham::anyhow::Result<Self> {
        Ok(self.clone())
    }
}

impl<A: Send + Sync + 'static> Handler for HandlerFn<A> {
    fn handle(self, mut state: State) -> Pin<Box<HandlerFuture>> {
        let call = Call {
            method: Method::take_from(&mut state),
            uri: Uri::take_from(&mut state),
            headers: HeaderMap::take_from(&mut state),
            body: Body::take_from(&mut state),
            from: client_addr(&state),
            inbound: take_inbound(&mut state),
        };
        let reply = (self.function.0)(self.app.0, call);
        Box::pin(async move { Ok((state, reply.await)) })
    }
}
