//! Opening connections that are reset, not closed, when a request on them is given up.
//!
//! A request that is given up while its receiver is cut off still stands in the kernel's buffer.
//! After an ordinary close the kernel goes on sending it, and it arrives whenever the network heals:
//! an order of weights that was given up reached its engine six seconds later, behind the orders of
//! the next holder. A reset throws away what was not delivered.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use http::Uri;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tower_service::Service;

/// Opens connections that end with a reset.
#[derive(Clone, Debug)]
pub(crate) struct Connector(pub(crate) HttpConnector);

type Error = Box<dyn std::error::Error + Send + Sync>;
type Opening = Pin<Box<dyn Future<Output = Result<TokioIo<TcpStream>, Error>> + Send>>;

impl Service<Uri> for Connector {
    type Response = TokioIo<TcpStream>;
    type Error = Error;
    type Future = Opening;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Error>> {
        self.0.poll_ready(cx).map_err(Into::into)
    }

    fn call(&mut self, uri: Uri) -> Opening {
        let opening = self.0.call(uri);
        Box::pin(async move {
            let stream = opening.await?;
            reset(stream.inner())?;
            Ok(stream)
        })
    }
}

/// Makes the end of a connection throw away what was not delivered.
fn reset(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}
