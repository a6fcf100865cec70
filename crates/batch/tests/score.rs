//! Tries to get the score of a sample.

use batch::score::AttemptResult;
use batch::score::Decision;
use batch::score::Retries;

// Symptom: a sample fails after one failure of its scorer, though the route of the request allows three.
// Sequence: no configuration has that route at the first try; a newer one does.
// Cause: fixing the number of failures at the first try.
#[test]
fn a_route_that_comes_later_says_how_often_a_scorer_may_fail() {
    let mut tries = Retries::new(1);
    let waits = tries.decide(AttemptResult::Inconclusive);

    tries.raise_limit(3);
    let after = [
        AttemptResult::Failed,
        AttemptResult::Failed,
        AttemptResult::Failed,
    ]
    .map(|answer| tries.decide(answer));

    assert!(matches!(waits, Decision::Retry(_)));
    assert_eq!(
        after,
        [Decision::Retry(0), Decision::Retry(0), Decision::Fail]
    );
}

#[test]
fn a_route_that_allows_less_takes_nothing_back() {
    let mut tries = Retries::new(2);

    tries.raise_limit(1);

    assert_eq!(tries.decide(AttemptResult::Failed), Decision::Retry(0));
    assert_eq!(tries.decide(AttemptResult::Failed), Decision::Fail);
}
