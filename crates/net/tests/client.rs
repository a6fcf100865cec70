//! Tests of the HTTP client.

use std::io::ErrorKind;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

// Guards against an engine that executes an order of a former leaseholder: the order is sent during a network
// partition and times out, and the partition heals. After an ordinary close the kernel would still deliver the bytes;
// only a reset discards them.
#[tokio::test]
async fn a_request_that_times_out_resets_its_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let uri = format!("http://{}/", listener.local_addr().unwrap());
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut bytes = Vec::new();
        // Returns once the client closes the connection, or with an error if the reset arrives first.
        let _ = stream.read_to_end(&mut bytes).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        stream.write_all(b"too late").await
    });
    let request = Request::post(uri).body(Full::new(Bytes::from("order")));

    let client = net::Client::new();
    let response = client
        .send(request.unwrap(), Duration::from_millis(100))
        .await;

    assert!(matches!(response, Err(net::SendError::Timeout)));
    let written = server.await.unwrap();
    let kind = written.unwrap_err().kind();
    assert!(
        [ErrorKind::ConnectionReset, ErrorKind::BrokenPipe].contains(&kind),
        "{kind}"
    );
}
