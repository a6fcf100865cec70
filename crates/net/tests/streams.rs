//! Tests of streamed bodies whose receiver is slow.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::time::timeout;

/// Time after which a send counts as one that waits.
const WAIT: Duration = Duration::from_millis(50);

fn chunk(length: usize) -> std::io::Result<Bytes> {
    Ok(Bytes::from(vec![b'x'; length]))
}

// Guards against chunks that are bounded by their number: a slow receiver of long ones then takes any memory.
#[tokio::test]
async fn a_second_long_chunk_waits_until_the_first_one_is_taken() {
    let (sender, mut body) = net::body::stream();
    sender.send(chunk(1 << 20)).await.unwrap();

    let waiting = timeout(WAIT, sender.send(chunk(1 << 20))).await;
    body.frame().await.unwrap().unwrap();
    let sent = timeout(WAIT, sender.send(chunk(1 << 20))).await;

    assert!(waiting.is_err());
    assert!(sent.is_ok());
}

// Guards against a bound that has the sender of short chunks wait for each of them.
#[tokio::test]
async fn short_chunks_do_not_wait() {
    let (sender, _body) = net::body::stream();

    for _ in 0..30 {
        let sent = timeout(WAIT, sender.send(chunk(200))).await;
        assert!(sent.is_ok());
    }
}

// Guards against a sender that waits for ever for a receiver that is gone.
#[tokio::test]
async fn a_waiting_sender_is_told_that_the_receiver_has_left() {
    let (sender, body) = net::body::stream();
    sender.send(chunk(1 << 20)).await.unwrap();
    let waiting = tokio::spawn(async move { sender.send(chunk(1 << 20)).await });
    tokio::time::sleep(WAIT).await;

    drop(body);

    let sent = timeout(WAIT * 20, waiting).await.unwrap().unwrap();
    assert_eq!(sent, Err(net::body::ReceiverLeft));
}
