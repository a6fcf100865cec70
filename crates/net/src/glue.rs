//! The bridge between gotham's router and plain async functions.

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

use crate::Reply;

/// One call as it came in.
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
    /// Who called.
    pub from: Option<SocketAddr>,
}

impl Call {
    /// The text of a header, when there is one and it is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The path's segment at `at`, counted from 0.
    pub fn segment(&self, at: usize) -> &str {
        self.uri.path().split('/').nth(at + 1).unwrap_or("")
    }

    /// The path and query from the segment at `at` on, with a leading slash.
    pub fn rest(&self, at: usize) -> String {
        let whole = self.uri.path_and_query().map_or("/", |all| all.as_str());
        let rest = whole.splitn(at + 2, '/').nth(at + 1).unwrap_or("");
        format!("/{rest}")
    }
}

type Answer = Pin<Box<dyn Future<Output = Reply> + Send>>;
type Function<A> = Arc<dyn Fn(Arc<A>, Call) -> Answer + Send + Sync>;

/// An async function as a handler of gotham's router.
pub struct Glue<A> {
    app: AssertUnwindSafe<Arc<A>>,
    function: AssertUnwindSafe<Function<A>>,
}

impl<A> Glue<A> {
    /// Wraps a function with what it works on.
    pub fn new<F, Fut>(app: &Arc<A>, function: F) -> Self
    where
        F: Fn(Arc<A>, Call) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = Reply> + Send + 'static,
    {
        let boxed: Function<A> = Arc::new(move |app, call| Box::pin(function(app, call)));
        Self {
            app: AssertUnwindSafe(app.clone()),
            function: AssertUnwindSafe(boxed),
        }
    }
}

impl<A> Clone for Glue<A> {
    fn clone(&self) -> Self {
        Self {
            app: AssertUnwindSafe(self.app.0.clone()),
            function: AssertUnwindSafe(self.function.0.clone()),
        }
    }
}

impl<A: Send + Sync + 'static> NewHandler for Glue<A> {
    type Instance = Self;

    fn new_handler(&self) -> gotham::anyhow::Result<Self> {
        Ok(self.clone())
    }
}

impl<A: Send + Sync + 'static> Handler for Glue<A> {
    fn handle(self, mut state: State) -> Pin<Box<HandlerFuture>> {
        let call = Call {
            method: Method::take_from(&mut state),
            uri: Uri::take_from(&mut state),
            headers: HeaderMap::take_from(&mut state),
            body: Body::take_from(&mut state),
            from: client_addr(&state),
        };
        let answer = (self.function.0)(self.app.0, call);
        Box::pin(async move { Ok((state, answer.await)) })
    }
}
