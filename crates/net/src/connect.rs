//! Connector whose connections are reset, instead of closed, when a request on them is canceled.
//!
//! A request that is canceled during a network partition is still in the kernel's send buffer. After an ordinary
//! close the kernel goes on sending it, and it is delivered once the partition heals: a canceled order to load
//! weights reached its engine six seconds later, after the orders of the next leaseholder. A reset discards
//! undelivered bytes.

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

/// Connector that wraps [`HttpConnector`] and makes connections end with a reset.
#[derive(Clone, Debug)]
pub(crate) struct Connector(pub(crate) HttpConnector);

type Error = Box<dyn std::error::Error + Send + Sync>;
type ConnectFuture = Pin<Box<dyn Future<Output = Result<TokioIo<TcpStream>, Error>> + Send>>;

impl Service<Uri> for Connector {
    type Response = TokioIo<TcpStream>;
    type Error = Error;
    type Future = ConnectFuture;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Error>> {
        self.0.poll_ready(cx).map_err(Into::into)
    }

    fn call(&mut self, uri: Uri) -> ConnectFuture {
        let connecting = self.0.call(uri);
        Box::pin(async move {
            let stream = connecting.await?;
            reset_on_close(stream.inner())?;
            Ok(stream)
        })
    }
}

/// Makes closing the connection discard undelivered bytes and send a reset.
fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}
