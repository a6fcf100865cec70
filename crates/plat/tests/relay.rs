//! Tests of calls that are relayed through another instance.

use std::net::SocketAddr;
use std::sync::Arc;

use plat::Answer;
use plat::Call;
use plat::Client;
use plat::PlatError;
use plat::Put;
use plat::Relay;
use plat::Txn;
use plat::TxnOutcome;
use plat::relay::RelayFuture;

struct FixedRelay(Result<Answer, PlatError>);

impl Relay for FixedRelay {
    fn relay(&self, _: Call) -> RelayFuture {
        let answer = self.0.clone();
        Box::pin(async move { answer })
    }
}

fn txn() -> Txn {
    Txn {
        puts: vec![Put::new("a", "b")],
        ..Txn::default()
    }
}

fn client(relayed: Result<Answer, PlatError>) -> Client {
    // Nothing listens at this address, so that a direct call cannot be applied.
    let client = Client::new(vec![SocketAddr::from(([127, 0, 0, 1], 1))]);
    client.set_relay(Arc::new(FixedRelay(relayed)));
    client
}

#[tokio::test]
async fn a_call_that_fails_directly_is_relayed() {
    let client = client(Ok(Answer::Done(TxnOutcome::At(7))));

    let done = client.txn(&txn()).await;

    assert!(matches!(done, Ok(TxnOutcome::At(7))));
}

// Symptom: a step is refused as not started, although it runs.
// Sequence: the direct call cannot reach the platform, and the instance that relays it does not answer; the write may
// have been applied through that instance.
// Cause: the error of the direct call hides that the outcome of the relayed call is unknown.
#[tokio::test]
async fn a_relayed_write_without_an_answer_is_indeterminate() {
    let client = client(Err(PlatError::NoAnswer));

    let first = client.txn(&txn()).await.unwrap_err();
    let second = client.txn(&txn()).await.unwrap_err();

    assert!(first.is_indeterminate());
    assert!(second.is_indeterminate());
}

#[tokio::test]
async fn a_read_that_fails_both_ways_returns_the_error_of_the_direct_call() {
    let client = client(Err(PlatError::NoAnswer));

    let error = client.get("a").await.unwrap_err();

    assert!(matches!(error, PlatError::Unreachable));
}
