//! Tests of how long samples may be started after their step was last known to be open.

use batch::Confirmation;
use kernel::Millis;
use proptest::prelude::*;

/// Time within which the end of a step takes effect, in milliseconds.
const END_BOUND: Millis = 3_000;

/// How a check at the platform ends, and after how many milliseconds.
#[derive(Clone, Copy, Debug)]
enum CheckEnd {
    Answer(Millis),
    Outage(Millis),
    NoAnswer(Millis),
}

/// A confirmation and the check in flight.
struct Checker {
    confirmation: Confirmation,
    in_flight: Option<(Millis, CheckEnd)>,
}

impl Checker {
    /// Advances to `now`; the step ends at `end`.
    fn advance(&mut self, now: Millis, end: Millis, next: &mut impl Iterator<Item = CheckEnd>) {
        if let Some((sent, result)) = self.in_flight {
            let (CheckEnd::Answer(took) | CheckEnd::Outage(took) | CheckEnd::NoAnswer(took)) =
                result;
            if now < sent + took {
                return;
            }
            self.in_flight = None;
            match result {
                CheckEnd::Answer(_) if sent < end => self.confirmation.confirm(sent),
                CheckEnd::Outage(_) => self.confirmation.record_outage(sent),
                CheckEnd::Answer(_) | CheckEnd::NoAnswer(_) => (),
            }
        }
        if self.confirmation.is_check_due(now) {
            self.confirmation.start_check(now);
            self.in_flight = next.next().map(|result| (now, result));
        }
    }
}

fn checker() -> Checker {
    Checker {
        confirmation: Confirmation::new(END_BOUND, 0),
        in_flight: None,
    }
}

fn without_outage() -> impl Strategy<Value = CheckEnd> {
    prop_oneof![
        (1..1_500_u64).prop_map(CheckEnd::Answer),
        (1..1_500_u64).prop_map(CheckEnd::NoAnswer),
    ]
}

proptest! {
    /// Guards against samples that start long after the end of their step, whatever the checks
    /// return.
    #[test]
    fn no_sample_starts_later_than_two_thirds_of_the_bound_after_the_end(
        end in 1..20_000_u64,
        results in prop::collection::vec(without_outage(), 1..100),
    ) {
        let mut checker = checker();
        let mut results = results.into_iter();

        for now in 0..end + 2 * END_BOUND {
            checker.advance(now, end, &mut results);
            if let Some(permit) = checker.confirmation.permit(now) {
                prop_assert!(now < permit.deadline());
                prop_assert!(permit.deadline() <= end + END_BOUND * 2 / 3);
            }
        }
    }

    /// Guards against steps that stall while the platform answers, or while no instance reaches it.
    #[test]
    fn an_open_step_continues_while_checks_succeed_or_no_instance_reaches_the_platform(
        results in prop::collection::vec(
            prop_oneof![
                (1..900_u64).prop_map(CheckEnd::Answer),
                (1..1_000_u64).prop_map(CheckEnd::Outage),
            ],
            100,
        ),
    ) {
        let mut checker = checker();
        let mut results = results.into_iter();

        for now in 0..20_000 {
            checker.advance(now, Millis::MAX, &mut results);
            prop_assert!(checker.confirmation.permit(now).is_some(), "at {now}");
        }
    }
}

/// Guards against checks sent without a pause during an outage of the platform.
#[test]
fn an_outage_causes_no_more_checks_than_normal_operation() {
    let mut checker = checker();
    let mut count = 0;
    let mut results = std::iter::repeat_with(|| {
        count += 1;
        CheckEnd::Outage(1)
    });

    for now in 0..9_001 {
        checker.advance(now, Millis::MAX, &mut results);
    }

    assert!(count <= 10, "{count}");
}
