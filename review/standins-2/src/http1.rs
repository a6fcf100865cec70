//! Requests and answers of HTTP/1.1 as the samplers read and write them.

use std::collections::HashMap;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// A request as it was read, without its body.
pub struct Request {
    pub method: String,
    pub path: String,
    headers: HashMap<String, String>,
}

impl Request {
    /// The value of a header; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |value| value)
    }
}

/// Reads a request and its body; `None` when the connection has ended.
pub async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            break end;
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let mut first = lines.next()?.split(' ');
    let (method, path) = (first.next()?.to_owned(), first.next()?.to_owned());
    let headers: HashMap<_, _> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length: usize = headers
        .get("content-length")
        .and_then(|length| length.parse().ok())
        .unwrap_or(0);
    while buffer.len() < length {
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
    buffer.drain(..length);
    Some(Request {
        method,
        path,
        headers,
    })
}

/// An answer with a body of a known length.
pub fn text(status: u16, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} Status\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
}
