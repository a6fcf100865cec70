//! Tests of the memory for the bodies of requests.

use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use futures_util::FutureExt;
use gotham::helpers::http::Body;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::Full;
use http_body_util::StreamBody;
use net::Inbound;
use net::Payload;
use net::UploadLimits;
use net::Uploads;
use net::body::ReadError;
use net::body::Sender;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Memory for all bodies, in bytes.
const MEMORY: usize = 1 << 20;

/// Number of times that a race is played.
const ROUNDS: usize = 20;

/// Time in which a body may not stall, and a little more.
const STALL: Duration = Duration::from_millis(300);

fn inbound() -> Arc<Inbound> {
    Arc::new(Inbound::new(([127, 0, 0, 1], 1).into()))
}

fn limits(max_bytes: usize) -> UploadLimits {
    UploadLimits {
        max_bytes,
        deadline: Instant::now() + Duration::from_secs(5),
    }
}

/// A body of this length whose bytes come in frames of `frame` bytes.
fn body(length: usize, frame: usize) -> impl http_body::Body<Data = Bytes, Error = Infallible> {
    let bytes = Bytes::from(vec![b'x'; length]);
    let frames = (0..length).step_by(frame).map(move |start| {
        let end = length.min(start + frame);
        Ok(Frame::data(bytes.slice(start..end)))
    });
    StreamBody::new(futures_util::stream::iter(frames))
}

/// Begins to receive a body whose bytes come through the sender.
fn begin(uploads: &Uploads) -> (Sender, JoinHandle<Result<Payload, ReadError>>) {
    let (sender, body): (Sender, Body) = net::body::stream();
    let uploads = uploads.clone();
    let task = tokio::spawn(async move { uploads.receive(body, &inbound(), limits(MEMORY)).await });
    (sender, task)
}

async fn send(sender: &Sender, length: usize) {
    let bytes: io::Result<Bytes> = Ok(vec![b'x'; length].into());
    sender.send(bytes).await.unwrap();
}

/// A body with an announced length that must not be read.
struct Untouched(u64);

impl http_body::Body for Untouched {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        panic!("the body is read")
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.0)
    }
}

// Guards against a body over the limit of which as much as the limit is taken first.
#[tokio::test]
async fn an_announced_body_over_the_limit_is_not_read() {
    let uploads = Uploads::new(MEMORY);

    let result = uploads
        .receive(Untouched(1_001), &inbound(), limits(1_000))
        .await;

    assert!(matches!(result, Err(ReadError::TooLong(1_000))));
}

// Guards against a body that is read although it can never fit.
#[tokio::test]
async fn an_announced_body_that_never_fits_is_not_read() {
    let uploads = Uploads::new(MEMORY);

    let result = uploads
        .receive(Untouched(MEMORY as u64), &inbound(), limits(MEMORY))
        .await;

    assert!(matches!(result, Err(ReadError::OverBudget)));
}

// Guards against chunks that are each kept as an object, which a count of lengths does not see.
#[tokio::test]
async fn chunks_of_one_byte_are_joined() {
    let uploads = Uploads::new(MEMORY);

    let payload = uploads
        .receive(body(100_000, 1), &inbound(), limits(MEMORY))
        .await
        .unwrap();

    assert_eq!(payload.remaining(), 100_000);
    assert!(payload.segments().count() < 10);
    assert!(
        (100_000..200_000).contains(&uploads.held()),
        "{}",
        uploads.held()
    );
}

// Guards against memory that stays counted, or is not counted as long as it is held.
#[tokio::test]
async fn memory_counts_until_the_last_clone_is_dropped() {
    let uploads = Uploads::new(MEMORY);
    let payload = uploads
        .receive(body(300_000, 8_000), &inbound(), limits(MEMORY))
        .await
        .unwrap();
    let clone = payload.clone();
    drop(payload);
    assert!(uploads.held() >= 300_000);

    let mut rest = clone;
    // The buffer is held as a whole.
    rest.advance(200_000);
    let held = uploads.held();
    drop(rest);

    assert!(held >= 300_000, "{held}");
    assert_eq!(uploads.held(), 0);
}

// Guards against bodies without progress that keep others out for as long as they like.
#[tokio::test]
async fn a_body_without_progress_gives_way() {
    let uploads = Uploads::new(MEMORY);
    let (sender, stalled) = begin(&uploads);
    send(&sender, 900_000).await;
    tokio::time::sleep(STALL).await;

    let other = uploads
        .receive(body(900_000, 8_000), &inbound(), limits(MEMORY))
        .await;

    assert!(other.is_ok());
    assert!(matches!(stalled.await.unwrap(), Err(ReadError::OverBudget)));
}

// Guards against a byte now and then that passes for progress.
#[tokio::test]
async fn a_byte_now_and_then_is_no_progress() {
    let uploads = Uploads::new(MEMORY);
    let (sender, stalled) = begin(&uploads);
    send(&sender, 900_000).await;
    for _ in 0..10 {
        tokio::time::sleep(STALL / 10).await;
        send(&sender, 1).await;
    }

    let other = uploads
        .receive(body(900_000, 8_000), &inbound(), limits(MEMORY))
        .await;

    assert!(other.is_ok());
    assert!(matches!(stalled.await.unwrap(), Err(ReadError::OverBudget)));
}

// Guards against large bodies that push each other out for ever: one that makes progress stays, and the other is refused.
#[tokio::test]
async fn a_body_that_makes_progress_stays() {
    let uploads = Uploads::new(MEMORY);
    let (sender, first) = begin(&uploads);
    send(&sender, 900_000).await;
    while uploads.held() < 900_000 {
        tokio::task::yield_now().await;
    }

    let second = uploads
        .receive(body(900_000, 8_000), &inbound(), limits(MEMORY))
        .await;
    send(&sender, 10_000).await;
    drop(sender);

    assert!(matches!(second, Err(ReadError::OverBudget)));
    assert_eq!(first.await.unwrap().unwrap().remaining(), 910_000);
}

// Guards against a large body, which is held while its request runs, that keeps ordinary requests out.
#[tokio::test]
async fn ordinary_bodies_are_received_beside_a_large_one() {
    let uploads = Uploads::new(MEMORY);
    let large = uploads
        .receive(body(900_000, 8_000), &inbound(), limits(MEMORY))
        .await
        .unwrap();
    let more = uploads
        .receive(body(200_000, 8_000), &inbound(), limits(MEMORY))
        .await;
    assert!(matches!(more, Err(ReadError::OverBudget)));

    let mut ordinary = Vec::new();
    for _ in 0..20 {
        ordinary.push(
            uploads
                .receive(body(2_000, 2_000), &inbound(), limits(MEMORY))
                .await
                .unwrap(),
        );
    }

    assert!(uploads.held() <= MEMORY);
    drop((large, ordinary));
    assert_eq!(uploads.held(), 0);
}

// Guards against a body that stops short of its end and holds its memory for ever.
#[tokio::test]
async fn a_body_has_to_be_complete_in_time() {
    let uploads = Uploads::new(MEMORY);
    let (sender, body): (Sender, Body) = net::body::stream();
    send(&sender, 500_000).await;
    let limits = UploadLimits {
        max_bytes: MEMORY,
        deadline: Instant::now() + Duration::from_millis(50),
    };

    let result = uploads.receive(body, &inbound(), limits).await;

    assert!(matches!(result, Err(ReadError::Timeout)));
    assert_eq!(uploads.held(), 0);
}

// Guards against memory that is lost with a request whose client has gone.
#[tokio::test]
async fn memory_is_free_again_when_a_request_is_dropped() {
    let uploads = Uploads::new(MEMORY);
    let (sender, task) = begin(&uploads);
    send(&sender, 900_000).await;
    tokio::time::sleep(STALL / 10).await;
    assert!(uploads.held() >= 900_000);

    task.abort();
    assert!(task.await.is_err());

    assert_eq!(uploads.held(), 0);
}

// Guards against joined bytes that are not counted.
#[tokio::test]
async fn joined_bytes_count_as_well() {
    let uploads = Uploads::new(MEMORY);

    let bytes = uploads
        .receive_bytes(body(200_000, 900), &inbound(), limits(MEMORY))
        .await
        .unwrap();

    assert_eq!(bytes.len(), 200_000);
    assert!(
        (200_000..300_000).contains(&uploads.held()),
        "{}",
        uploads.held()
    );
    drop(bytes);
    assert_eq!(uploads.held(), 0);
}

// Guards against a body without bytes that is counted or waited for.
#[tokio::test]
async fn a_body_without_bytes_is_received_at_once() {
    let uploads = Uploads::new(MEMORY);

    let empty = uploads
        .receive(Full::new(Bytes::new()), &inbound(), limits(MEMORY))
        .now_or_never();

    assert_eq!(empty.unwrap().unwrap().remaining(), 0);
}

/// Lets the first body of a connection end by itself just after it was chosen to give way; returns whether the next one on the
/// connection is received.
async fn is_next_received() -> bool {
    let uploads = Uploads::new(MEMORY);
    let connection = inbound();
    let (sender, body): (Sender, Body) = net::body::stream();
    let task = {
        let (uploads, connection) = (uploads.clone(), connection.clone());
        tokio::spawn(async move { uploads.receive(body, &connection, limits(MEMORY)).await })
    };
    send(&sender, 900_000).await;
    tokio::time::sleep(STALL).await;
    drop(sender);
    let other = uploads
        .receive(self::body(200_000, 8_000), &inbound(), limits(MEMORY))
        .await;
    drop((task.await, other));
    let next = uploads
        .receive(self::body(2_000, 2_000), &connection, limits(MEMORY))
        .await;
    next.is_ok()
}

// Guards against a body that is refused because an earlier one on its connection was to give way, and ended by itself.
#[tokio::test]
async fn the_next_body_on_a_connection_does_not_give_way_for_the_last_one() {
    let rounds = (0..ROUNDS).map(|_| is_next_received());

    let received = futures_util::future::join_all(rounds).await;

    assert!(received.into_iter().all(|is_received| is_received));
}
