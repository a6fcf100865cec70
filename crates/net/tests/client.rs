//! The client.

use std::io::ErrorKind;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

// Symptom: an engine carries out an order of a holder that has long been replaced.
// Sequence: the order is sent while the network holds it up, and given up; the network heals.
// Cause: after an ordinary close the kernel goes on sending; only a reset takes the bytes back.
#[tokio::test]
async fn a_request_that_is_given_up_ends_its_connection_with_a_reset() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let uri = format!("http://{}/", listener.local_addr().unwrap());
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut bytes = Vec::new();
        // Ends with the client's last word, or with the reset if that is faster.
        let _ = stream.read_to_end(&mut bytes).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        stream.write_all(b"too late").await
    });
    let request = Request::post(uri).body(Full::new(Bytes::from("order")));

    let client = net::Client::new();
    let answer = client
        .send(request.unwrap(), Duration::from_millis(100))
        .await;

    assert!(matches!(answer, Err(net::SendError::Late)));
    let end = server.await.unwrap();
    let kind = end.unwrap_err().kind();
    assert!(
        [ErrorKind::ConnectionReset, ErrorKind::BrokenPipe].contains(&kind),
        "{kind}"
    );
}
