//! Tries to get the score of a sample.

use batch::score::Answer;
use batch::score::Next;
use batch::score::Tries;

// Symptom: a sample fails after one failure of its scorer, though the route of the request allows three.
// Sequence: no configuration has that route at the first try; a newer one does.
// Cause: fixing the number of failures at the first try.
#[test]
fn a_route_that_comes_later_says_how_often_a_scorer_may_fail() {
    let mut tries = Tries::new(1);
    let waits = tries.next(Answer::Nothing);

    tries.allow(3);
    let after = [Answer::Failed, Answer::Failed, Answer::Failed].map(|answer| tries.next(answer));

    assert!(matches!(waits, Next::Again(_)));
    assert_eq!(after, [Next::Again(0), Next::Again(0), Next::Fail]);
}

#[test]
fn a_route_that_allows_less_takes_nothing_back() {
    let mut tries = Tries::new(2);

    tries.allow(1);

    assert_eq!(tries.next(Answer::Failed), Next::Again(0));
    assert_eq!(tries.next(Answer::Failed), Next::Fail);
}
