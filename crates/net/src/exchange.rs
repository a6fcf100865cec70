//! The bodies of a request and of its response, which note how far the two have come.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use gotham::helpers::http::Body;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::Inbound;

/// Marks the end of a response when it is dropped.
pub(crate) struct ResponseGuard(pub(crate) Arc<Inbound>);

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        self.0.response_ended();
    }
}

/// The body of a request, which notes when it has been read to its end.
pub(crate) struct RequestBody {
    pub(crate) body: Incoming,
    pub(crate) inbound: Arc<Inbound>,
}

impl http_body::Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if frame.is_none() || self.body.is_end_stream() {
            self.inbound.body_read();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Returns the body of a response, with a guard that is dropped once it has been passed on.
pub(crate) fn guard(body: Body, guard: ResponseGuard) -> Body {
    Body::new(body.map_frame(move |frame| {
        let _ = &guard;
        frame
    }))
}
