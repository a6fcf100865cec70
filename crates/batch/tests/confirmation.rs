//! Samples begin while their step is known to be open.

use batch::Confirmation;
use kernel::Millis;
use proptest::prelude::*;

/// Time in which the end of a step has to be in force, in milliseconds.
const BOUND: Millis = 3_000;

/// What a question to the platform comes to, and after how long.
#[derive(Clone, Copy, Debug)]
enum Came {
    Answer(Millis),
    Away(Millis),
    Nothing(Millis),
}

/// A word, and the question that is under way.
struct Asked {
    word: Confirmation,
    under_way: Option<(Millis, Came)>,
}

impl Asked {
    /// Moves on to a time; the step ends at `end`.
    fn step(&mut self, now: Millis, end: Millis, next: &mut impl Iterator<Item = Came>) {
        if let Some((asked, came)) = self.under_way {
            let (Came::Answer(took) | Came::Away(took) | Came::Nothing(took)) = came;
            if now < asked + took {
                return;
            }
            self.under_way = None;
            match came {
                Came::Answer(_) if asked < end => self.word.confirm(asked),
                Came::Away(_) => self.word.record_outage(asked),
                Came::Answer(_) | Came::Nothing(_) => (),
            }
        }
        if self.word.is_check_due(now) {
            self.word.start_check(now);
            self.under_way = next.next().map(|came| (now, came));
        }
    }
}

fn asked() -> Asked {
    Asked {
        word: Confirmation::new(BOUND, 0),
        under_way: None,
    }
}

fn without_outage() -> impl Strategy<Value = Came> {
    prop_oneof![
        (1..1_500_u64).prop_map(Came::Answer),
        (1..1_500_u64).prop_map(Came::Nothing),
    ]
}

proptest! {
    /// Guards against samples that begin long after the end of their step, whatever becomes of questions.
    #[test]
    fn nothing_begins_two_thirds_of_the_bound_after_the_end(
        end in 1..20_000_u64,
        came in prop::collection::vec(without_outage(), 1..100),
    ) {
        let mut asked = asked();
        let mut came = came.into_iter();

        for now in 0..end + 2 * BOUND {
            asked.step(now, end, &mut came);
            if let Some(permit) = asked.word.permit(now) {
                prop_assert!(now < permit.until());
                prop_assert!(permit.until() <= end + BOUND * 2 / 3);
            }
        }
    }

    /// Guards against steps that stand still while the platform answers, or while it is away for all.
    #[test]
    fn an_open_step_goes_on_while_there_is_word(
        came in prop::collection::vec(
            prop_oneof![
                (1..900_u64).prop_map(Came::Answer),
                (1..1_000_u64).prop_map(Came::Away),
            ],
            100,
        ),
    ) {
        let mut asked = asked();
        let mut came = came.into_iter();

        for now in 0..20_000 {
            asked.step(now, Millis::MAX, &mut came);
            prop_assert!(asked.word.permit(now).is_some(), "at {now}");
        }
    }
}

/// Guards against a platform that is asked all the time while it is away.
#[test]
fn an_outage_costs_no_more_questions_than_a_calm_time() {
    let mut asked = asked();
    let mut count = 0;
    let mut came = std::iter::repeat_with(|| {
        count += 1;
        Came::Away(1)
    });

    for now in 0..9_001 {
        asked.step(now, Millis::MAX, &mut came);
    }

    assert!(count <= 10, "{count}");
}
