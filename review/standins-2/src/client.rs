//! A client: one request on a connection of its own.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The host of all routes.
pub const HOST: &str = "shop.example";

/// Sends a request and reads the answer to the end of its connection. Returns the status and the body; status 0 if there
/// was no answer in time.
pub async fn send(addr: SocketAddr, head: &str, headers: &str, body: &[u8]) -> (u16, Vec<u8>) {
    let exchange = async {
        let mut stream = TcpStream::connect(addr).await.ok()?;
        let length = body.len();
        let request = format!(
            "{head} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n{headers}Content-Length: {length}\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await.ok()?;
        stream.write_all(body).await.ok()?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.ok()?;
        let end = answer.windows(4).position(|four| four == b"\r\n\r\n")?;
        let status = String::from_utf8_lossy(answer.get(9..12)?).parse().ok()?;
        Some((status, answer[end + 4..].to_vec()))
    };
    let answer = timeout(Duration::from_secs(6), exchange).await;
    answer.ok().flatten().unwrap_or((0, Vec::new()))
}
