//! The socket of a server's connection: it notes when the other side does not take what is written, and lets a response
//! reach a client that is still sending.

use std::future::Future;
use std::io;
use std::io::IoSlice;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;
use tokio::time::sleep;

use crate::Inbound;
use crate::server::Buffers;

/// Number of bytes that are read at a time: hyper enlarges the buffer of a connection whose reads fill it, and keeps it.
const READ_BYTES: usize = (8 << 10) - 1;

/// Time for which the rest of a body that is not wanted is read after the response.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Number of bytes that are read of it: that of the longest body that deployments allow.
const LINGER_BYTES: usize = 32 << 20;

/// Number of bytes that are read of it at a time.
const LINGER_READ_BYTES: usize = 16 << 10;

/// A connection's socket.
#[derive(Debug)]
pub(crate) struct InboundStream {
    stream: TcpStream,
    inbound: Arc<Inbound>,
    buffers: Buffers,
    /// Whether the receive buffer has the size for long bodies.
    is_wide: bool,
    linger: Option<Linger>,
}

/// The wait for the other side to close.
#[derive(Debug)]
struct Linger {
    end: Pin<Box<Sleep>>,
    left: usize,
}

impl InboundStream {
    pub(crate) fn new(stream: TcpStream, inbound: &Arc<Inbound>, buffers: Buffers) -> Self {
        Self {
            stream,
            inbound: inbound.clone(),
            buffers,
            is_wide: false,
            linger: None,
        }
    }

    /// Gives the receive buffer the size that fits what is received.
    fn fit_buffer(&mut self) {
        let is_wide = self.inbound.receives_long_body();
        if std::mem::replace(&mut self.is_wide, is_wide) == is_wide {
            return;
        }
        let bytes = match is_wide {
            true => self.buffers.body,
            false => self.buffers.receive,
        };
        // A failure leaves a long body slow, or more room for one client.
        let _ = SockRef::from(&self.stream).set_recv_buffer_size(bytes);
    }

    /// Notes whether a write has to wait.
    fn note_write<T>(&self, result: Poll<T>) -> Poll<T> {
        self.inbound.record_write(result.is_pending());
        result
    }

    /// Reads and throws away what still arrives. Without it the kernel answers those bytes with a reset, and the client may
    /// lose the response.
    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let linger = self.linger.get_or_insert_with(|| Linger {
            end: Box::pin(sleep(LINGER_TIME)),
            left: LINGER_BYTES,
        });
        let mut bytes = [0; LINGER_READ_BYTES];
        while linger.left > 0 && linger.end.as_mut().poll(cx).is_pending() {
            let mut buf = ReadBuf::new(&mut bytes);
            let result = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf));
            let count = buf.filled().len();
            if result.is_err() || count == 0 {
                break;
            }
            linger.left = linger.left.saturating_sub(count);
        }
        Poll::Ready(())
    }
}

impl AsyncRead for InboundStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.fit_buffer();
        let mut bytes = [MaybeUninit::uninit(); READ_BYTES];
        let size = buf.remaining().min(READ_BYTES);
        let mut part = ReadBuf::uninit(&mut bytes[..size]);
        let result = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part));
        buf.put_slice(part.filled());
        Poll::Ready(result)
    }
}

impl AsyncWrite for InboundStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.fit_buffer();
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.note_write(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.fit_buffer();
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.note_write(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
            if !self.inbound.has_unread_body() {
                return Poll::Ready(Ok(()));
            }
            self.inbound.closing();
        }
        ready!(self.poll_linger(cx));
        Poll::Ready(Ok(()))
    }
}
