//! A reader and writer of HTTP/1.1 messages that shows exactly which bytes arrived.

use std::io;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The start line and the headers of a message, with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header, or an empty string.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    /// Returns the status of a response, or 0.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were received and not yet used.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    async fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 16 << 10];
        let count = self.stream.read(&mut chunk).await?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buf.extend_from_slice(&chunk[..count]);
        Ok(())
    }

    /// Returns whether bytes were received that no message has used.
    pub fn has_more(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Reads the head of a message.
    pub async fn head(&mut self) -> io::Result<Head> {
        let end = loop {
            let found = self.buf.windows(4).position(|part| part == b"\r\n\r\n");
            match found {
                Some(end) => break end,
                None => self.fill().await?,
            }
        };
        let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let start = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        Ok(Head {
            start,
            headers: headers.collect(),
        })
    }

    async fn take(&mut self, count: usize, into: &mut Vec<u8>) -> io::Result<()> {
        while self.buf.len() < count {
            self.fill().await?;
        }
        into.extend(self.buf.drain(..count));
        Ok(())
    }

    async fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|part| part == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 2);
                return Ok(line);
            }
            self.fill().await?;
        }
    }

    /// Appends the body of a message to `into`; an error means that the body is not complete.
    pub async fn body(&mut self, head: &Head, into: &mut Vec<u8>) -> io::Result<()> {
        if head
            .header("transfer-encoding")
            .eq_ignore_ascii_case("chunked")
        {
            loop {
                let line = self.line().await?;
                let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
                self.take(size, into).await?;
                self.line().await?;
                if size == 0 {
                    return Ok(());
                }
            }
        }
        let length = head.header("content-length").parse().unwrap_or(0);
        self.take(length, into).await
    }

    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Waits until the peer has closed or reset the connection.
    pub async fn closed(&self) {
        let mut byte = [0; 1];
        while matches!(self.stream.peek(&mut byte).await, Ok(count) if count > 0) {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    }
}

/// Builds a message with a body of known length.
pub fn message(start: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{start}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
