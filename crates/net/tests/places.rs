//! Tests of the places for the connections of a server, and of responses to clients that go on sending.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use net::Call;
use net::Drain;
use net::HandlerFn;
use net::Limits;
use net::Reply;
use net::UploadLimits;
use net::Uploads;
use net::body::ReadError;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;
use yare::parameterized;

/// Number of places.
const PLACES: usize = 4;

/// Longest body that the server takes, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Time that a request to `/slow` takes.
const SLOW: Duration = Duration::from_secs(1);

/// Time within which an answer has to come.
const LIMIT: Duration = Duration::from_secs(5);

async fn answer(uploads: Arc<Uploads>, call: Call) -> Reply {
    let text = |status| net::body::reply(status, "text/plain", "ok");
    match call.uri.path() {
        "/slow" => sleep(SLOW).await,
        "/long" => return net::body::reply(StatusCode::OK, "text/plain", vec![b'x'; 8 << 20]),
        "/unread" => return text(StatusCode::UNAUTHORIZED),
        _ => (),
    }
    let limits = UploadLimits {
        max_bytes: MAX_BODY_BYTES,
        deadline: Instant::now() + LIMIT,
    };
    match uploads.receive(call.body, &call.inbound, limits).await {
        Ok(_) => text(StatusCode::OK),
        Err(ReadError::TooLong(_)) => text(StatusCode::PAYLOAD_TOO_LARGE),
        Err(_) => text(StatusCode::SERVICE_UNAVAILABLE),
    }
}

/// Starts a server with few places.
async fn server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let handler = HandlerFn::new(&Arc::new(Uploads::new(4 << 20)), answer);
    let limits = Limits {
        connections: PLACES,
        ..Limits::default()
    };
    tokio::spawn(net::server::serve(
        listener,
        handler,
        limits,
        Drain::default(),
    ));
    addr
}

/// Opens a connection and sends this on it.
async fn begin(addr: SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    stream
}

/// Reads the status of an answer; empty if the connection is closed before.
async fn status(stream: &mut TcpStream) -> String {
    let mut bytes = [0; 12];
    match timeout(LIMIT, stream.read_exact(&mut bytes)).await {
        Ok(Ok(_)) => String::from_utf8_lossy(&bytes[9..]).into_owned(),
        _ => String::new(),
    }
}

// Guards against ordinary callers that are kept out by connections on which nothing happens.
#[parameterized(
    silent = { "" },
    head = { "POST / HTTP/1.1\r\nhost: a\r\n" },
    body = { "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nhalf" },
    unread = { "GET /long HTTP/1.1\r\nhost: a\r\n\r\n" },
    served = { "GET / HTTP/1.1\r\nhost: a\r\n\r\n" },
)]
#[test_macro(tokio::test)]
async fn a_connection_without_progress_gives_its_place_to_an_ordinary_one(start: &str) {
    let addr = server().await;
    let mut crowd = Vec::new();
    for _ in 0..2 * PLACES {
        crowd.push(begin(addr, start).await);
    }

    let mut ordinary = begin(addr, "GET / HTTP/1.1\r\nhost: a\r\n\r\n").await;

    assert_eq!(status(&mut ordinary).await, "200");
}

// Guards against a request under way that is cut off for a new connection.
#[tokio::test]
async fn a_request_under_way_keeps_its_place() {
    let addr = server().await;
    let mut slow = Vec::new();
    for _ in 0..PLACES {
        slow.push(begin(addr, "GET /slow HTTP/1.1\r\nhost: a\r\n\r\n").await);
    }

    let mut other = begin(addr, "GET / HTTP/1.1\r\nhost: a\r\n\r\n").await;

    for stream in &mut slow {
        assert_eq!(status(stream).await, "200");
    }
    assert_eq!(status(&mut other).await, "200");
}

// Guards against a refusal that the kernel's reset takes from its client, and with it the promise that nothing has run.
#[parameterized(
    announced = { "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 8388608\r\n\r\n", "413" },
    unread = { "POST /unread HTTP/1.1\r\nhost: a\r\ncontent-length: 8388608\r\n\r\n", "401" },
)]
#[test_macro(tokio::test)]
async fn a_refusal_reaches_a_client_that_sends_its_whole_body_first(head: &str, expected: &str) {
    let addr = server().await;
    let length = head
        .split("length: ")
        .nth(1)
        .unwrap()
        .trim()
        .parse()
        .unwrap();
    let mut client = begin(addr, head).await;

    client.write_all(&vec![b'x'; length]).await.unwrap();

    assert_eq!(status(&mut client).await, expected);
}

// Guards against requests behind a refused body that are taken for requests of their own.
#[tokio::test]
async fn nothing_behind_a_refused_body_is_answered() {
    let addr = server().await;
    let head = format!(
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n",
        8 << 20
    );
    let mut client = begin(addr, &head).await;

    client
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        .await
        .unwrap();

    let mut answers = String::new();
    let _ = timeout(LIMIT, client.read_to_string(&mut answers)).await;
    assert_eq!(answers.matches("HTTP/1.1").count(), 1, "{answers}");
}

// Guards against a body whose length is told in two ways, which one side may end where the other goes on.
#[parameterized(
    twice = { "content-length: 2\r\ncontent-length: 3\r\n" },
    both = { "content-length: 2\r\ntransfer-encoding: chunked\r\n" },
    extension = { "transfer-encoding: chunked\r\nx: y\r\n" },
)]
#[test_macro(tokio::test)]
async fn a_request_with_two_lengths_is_answered_at_most_once(lines: &str) {
    let addr = server().await;
    let text = format!("POST / HTTP/1.1\r\nhost: a\r\n{lines}\r\n2\r\nok\r\n0\r\n\r\n");
    let mut client = begin(addr, &text).await;
    let _ = client.shutdown().await;

    let mut answers = String::new();
    let _ = timeout(LIMIT, client.read_to_string(&mut answers)).await;

    assert!(answers.matches("HTTP/1.1 200").count() <= 1, "{answers}");
}
