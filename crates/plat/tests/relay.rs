//! Calls through another instance.

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

struct Other(Result<Answer, PlatError>);

impl Relay for Other {
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

fn client(other: Result<Answer, PlatError>) -> Client {
    // Nobody listens there: nothing that is sent directly can take effect.
    let client = Client::new(vec![SocketAddr::from(([127, 0, 0, 1], 1))]);
    client.set_relay(Arc::new(Other(other)));
    client
}

#[tokio::test]
async fn a_call_that_cannot_be_made_goes_through_another() {
    let client = client(Ok(Answer::Done(TxnOutcome::At(7))));

    let done = client.txn(&txn()).await;

    assert!(matches!(done, Ok(TxnOutcome::At(7))));
}

// Symptom: a step is refused with the promise that nothing runs, and runs.
// Sequence: the platform turns this instance away, and the instance that it goes through does not
// answer: the write may have taken effect there.
// Cause: the refusal that came first must not hide that the outcome is unknown.
#[tokio::test]
async fn a_write_that_another_did_not_answer_is_unclear() {
    let client = client(Err(PlatError::NoAnswer));

    let first = client.txn(&txn()).await.unwrap_err();
    let second = client.txn(&txn()).await.unwrap_err();

    assert!(first.is_indeterminate());
    assert!(second.is_indeterminate());
}

#[tokio::test]
async fn a_read_that_nobody_answers_tells_its_own_failure() {
    let client = client(Err(PlatError::NoAnswer));

    let error = client.get("a").await.unwrap_err();

    assert!(matches!(error, PlatError::Unreachable));
}
