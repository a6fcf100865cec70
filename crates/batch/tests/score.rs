//! Tests of retrying scoring requests.

use batch::score::AttemptResult;
use batch::score::Decision;
use batch::score::Retries;

// Guards against a sample that fails after one failure of its scorer although the route allows
// three: the route is missing from the configuration at the first attempt and added later, so the
// limit must not be fixed at the first attempt.
#[test]
fn a_route_added_later_raises_the_failure_limit() {
    let mut retries = Retries::new(1);
    let first = retries.decide(AttemptResult::Inconclusive);

    retries.raise_limit(3);
    let decisions = [
        AttemptResult::Failed,
        AttemptResult::Failed,
        AttemptResult::Failed,
    ]
    .map(|result| retries.decide(result));

    assert!(matches!(first, Decision::Retry(_)));
    assert_eq!(
        decisions,
        [Decision::Retry(0), Decision::Retry(0), Decision::Fail]
    );
}

#[test]
fn a_lower_limit_does_not_reduce_the_allowed_failures() {
    let mut retries = Retries::new(2);

    retries.raise_limit(1);

    assert_eq!(retries.decide(AttemptResult::Failed), Decision::Retry(0));
    assert_eq!(retries.decide(AttemptResult::Failed), Decision::Fail);
}
