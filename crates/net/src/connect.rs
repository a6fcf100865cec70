//! Connections of the client: they are reset, instead of closed, when a request on them is canceled, and they check
//! the condition of a request before each write.
//!
//! A request that is canceled during a network partition is still in the kernel's send buffer. After an ordinary
//! close the kernel goes on sending it, and it is delivered once the partition heals: a canceled order to load
//! weights reached its engine six seconds later, after the orders of the next leaseholder. A reset discards
//! undelivered bytes.

use std::future::Future;
use std::io;
use std::io::IoSlice;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use http::Uri;
use hyper::rt::Read;
use hyper::rt::ReadBuf;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use hyper_util::client::legacy::connect::Connected;
use hyper_util::client::legacy::connect::Connection;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tower_service::Service;

use crate::arrival::ConnectionState;
use crate::condition::CurrentWrite;
use crate::identity;

/// Maximum number of bytes that one read takes from a connection.
const READ_BYTES: usize = 16 << 10;

/// Connector that wraps [`HttpConnector`].
#[derive(Clone, Debug)]
pub(crate) struct Connector(pub(crate) HttpConnector);

type Error = Box<dyn std::error::Error + Send + Sync>;
type ConnectFuture = Pin<Box<dyn Future<Output = Result<CheckedStream, Error>> + Send>>;

impl Service<Uri> for Connector {
    type Response = CheckedStream;
    type Error = Error;
    type Future = ConnectFuture;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Error>> {
        self.0.poll_ready(cx).map_err(Into::into)
    }

    fn call(&mut self, uri: Uri) -> ConnectFuture {
        let connecting = self.0.call(uri.clone());
        Box::pin(async move {
            let stream = connecting.await?;
            reset_on_close(stream.inner())?;
            let stream = CheckedStream {
                stream,
                current: CurrentWrite::default(),
                state: ConnectionState::new(),
            };
            match identity::expected(&uri) {
                Some(expected) => Ok(identity::check(stream, &uri, expected).await?),
                None => Ok(stream),
            }
        })
    }
}

/// Makes closing the connection discard undelivered bytes and send a reset.
fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

/// A connection that checks the condition of the request that it writes.
#[derive(Debug)]
pub(crate) struct CheckedStream {
    stream: TokioIo<TcpStream>,
    current: CurrentWrite,
    state: ConnectionState,
}

impl CheckedStream {
    /// Returns an error if nothing may be written now.
    fn check(&self) -> io::Result<()> {
        self.state.check()?;
        self.current.check()
    }

    /// Records a write. If the condition has ended since the check, as happens when the process is paused between the
    /// two, the error closes the connection, and the reset cancels the request at the server.
    fn finish_write(&self, written: usize) -> Poll<io::Result<usize>> {
        if written > 0 {
            self.current.record_written();
        }
        self.current.check()?;
        Poll::Ready(Ok(written))
    }
}

impl Connection for CheckedStream {
    fn connected(&self) -> Connected {
        self.stream
            .connected()
            .extra(self.current.clone())
            .extra(self.state.clone())
    }
}

impl Read for CheckedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        self.state.check_read(cx)?;
        let mut chunk = [MaybeUninit::uninit(); READ_BYTES];
        let size = buf.remaining().min(READ_BYTES);
        let mut read = ReadBuf::uninit(&mut chunk[..size]);
        let result = ready!(Pin::new(&mut self.stream).poll_read(cx, read.unfilled()));
        // The server has answered or closed the connection: the request is written.
        self.current.clear();
        self.state.record_read(read.filled().len())?;
        buf.put_slice(read.filled());
        Poll::Ready(result)
    }
}

impl Write for CheckedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.finish_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs))?;
        self.finish_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
