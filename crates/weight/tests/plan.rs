//! Tests of rollout plans.

use kernel::Name;
use proptest::prelude::*;
use weight::Action;
use weight::Plan;
use weight::WeightState;
use weight::plan::QuarantineReason;
use yare::parameterized;

fn name(index: usize) -> Name {
    format!("engine-{index}").parse().unwrap()
}

fn state(version: u64) -> WeightState {
    WeightState {
        versions: vec![version],
        loading: None,
    }
}

fn loading(version: u64, next: u64) -> WeightState {
    WeightState {
        loading: Some(next),
        ..state(version)
    }
}

fn plan(width: usize, engines: usize, version: u64) -> Plan {
    let mut plan = Plan::new(width);
    plan.announce(version);
    for index in 0..engines {
        plan.record_state(&name(index), &state(version), 0);
    }
    plan
}

fn orders(actions: &[Action]) -> usize {
    let order = |action: &&Action| matches!(action, Action::Order { .. });
    actions.iter().filter(order).count()
}

#[test]
fn a_wave_keeps_to_its_width_and_continues_as_engines_finish() {
    let mut plan = plan(2, 3, 1);
    plan.announce(2);

    let initial = orders(&plan.next_actions(0));
    let busy = orders(&plan.next_actions(10));
    plan.record_state(&name(0), &state(2), 20);
    let next = orders(&plan.next_actions(20));

    assert_eq!((initial, busy, next), (2, 0, 1));
}

#[test]
fn a_loading_engine_is_not_ordered_again() {
    let mut plan = plan(1, 1, 1);
    plan.announce(2);
    plan.next_actions(0);

    plan.record_state(&name(0), &loading(1, 2), 10_000);

    assert_eq!(plan.next_actions(10_000), []);
}

#[test]
fn an_order_without_effect_is_sent_again() {
    let mut plan = plan(1, 1, 1);
    plan.announce(2);
    plan.next_actions(0);

    assert_eq!(orders(&plan.next_actions(3_999)), 0);
    assert_eq!(orders(&plan.next_actions(4_000)), 1);
}

// Guards against samples labelled with a version that did not produce them: a load fails partway, or
// the late order of a paused lease holder takes an engine that ignores fencing tokens back to an older
// version. An order must not be assumed to have had its effect.
#[parameterized(
    two_versions = { WeightState { versions: vec![1, 2], loading: None }, QuarantineReason::Mixed },
    none = { WeightState::default(), QuarantineReason::Mixed },
    went_back = { state(1), QuarantineReason::WentBack },
    unannounced = { state(9), QuarantineReason::Unannounced },
)]
fn an_engine_with_contradictory_reports_is_quarantined(
    stated: WeightState,
    reason: QuarantineReason,
) {
    let mut plan = plan(1, 1, 2);

    plan.record_state(&name(0), &stated, 0);
    let first = plan.next_actions(0);
    let repair = plan.next_actions(5_000);
    plan.record_state(&name(0), &state(2), 6_000);
    let end = plan.next_actions(6_000);

    let engine = name(0);
    assert_eq!(
        first,
        [Action::Quarantine {
            engine: engine.clone(),
            reason
        }]
    );
    assert_eq!(orders(&repair), 1);
    assert_eq!(end, [Action::Release { engine }]);
    assert!(plan.is_settled());
}

#[test]
fn a_restarted_engine_may_start_with_an_older_version() {
    let mut plan = plan(1, 1, 2);
    plan.remove_engine("engine-0");

    plan.record_state(&name(0), &state(1), 0);

    let engine = name(0);
    assert_eq!(plan.next_actions(0), [Action::Order { engine, version: 2 }]);
}

proptest! {
    // For any announcements and reports, no order asks for an older version than the engine reports, and
    // no more engines than the width are ordered at once.
    #[test]
    fn orders_never_ask_for_an_older_version(
        width in 1usize..4,
        steps in prop::collection::vec((0usize..4, 0u64..6, 0u64..3_000), 1..80),
    ) {
        let mut plan = Plan::new(width);
        let mut stated = [0; 4];
        let mut now = 0;
        for (index, version, span) in steps {
            now += span;
            plan.announce(version);
            if version <= plan.target() {
                stated[index] = version;
                plan.record_state(&name(index), &state(version), now);
            }
            let actions = plan.next_actions(now);
            prop_assert!(orders(&actions) <= width);
            for action in actions {
                if let Action::Order { engine, version } = action {
                    let index = (0..4).find(|index| name(*index) == engine).unwrap();
                    prop_assert!(version >= stated[index]);
                    prop_assert_eq!(version, plan.target());
                }
            }
        }
    }
}
