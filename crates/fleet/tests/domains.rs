//! News between failure domains.

use std::collections::BTreeMap;

use fleet::Member;
use fleet::MemberState;
use fleet::Rumour;
use fleet::View;
use fleet::view::PROBE_INTERVAL;
use kernel::Millis;
use kernel::Name;
use poison::Seen;
use proptest::prelude::*;

/// Time within which all instances of two failure domains hear of what one has seen, in milliseconds.
const HEARD: Millis = 6_000;

/// Time after the start within which something is seen, in milliseconds: news of the start are still told.
const START: Millis = 9_000;

/// Engines whose state the first instance tells of at its start.
const ENGINES: usize = 4;

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

fn member(text: &str) -> Member {
    let domain = text.split_once('-').unwrap().0;
    Member {
        name: name(text),
        domain: name(domain),
        addr: "127.0.0.1:1".parse().unwrap(),
        incarnation: 1,
        state: MemberState::Alive,
    }
}

fn views(names: &[&str]) -> Vec<View> {
    let view = |me: &&str| {
        let mut view = View::new(member(me), 0);
        names
            .iter()
            .for_each(|other| view.add_member(member(other), 0));
        view
    };
    let mut views: Vec<_> = names.iter().map(view).collect();
    for engine in 0..ENGINES {
        views[0].receive(state(engine), 0);
    }
    views
}

fn state(engine: usize) -> Rumour {
    Rumour::Engine {
        name: name(&format!("engine-{engine}")),
        version: Some(1),
        leaving: false,
        at: 1,
    }
}

/// Passes on what one instance tells another; tells whether it was told of crashes that it did not know.
fn pass(views: &mut [View], from: usize, to: usize, now: Millis) -> bool {
    let domain = views[to].me().domain.clone();
    let told = views[from].outgoing(&domain);
    let mut news = false;
    for rumour in told {
        let crashes = matches!(rumour, Rumour::Crashes { .. });
        news |= views[to].receive(rumour, now) && crashes;
    }
    news
}

/// Lets the instances probe until a time; gives those that hear of crashes, with the time.
fn run(
    views: &mut [View],
    seen: Millis,
    end: Millis,
    pauses: &[Millis],
) -> BTreeMap<usize, Millis> {
    let mut heard = BTreeMap::new();
    let mut next: Vec<Millis> = pauses.iter().take(views.len()).copied().collect();
    let (mut told, mut turn) = (false, 0);
    while let Some((from, now)) = next.iter().copied().enumerate().min_by_key(|(_, at)| *at) {
        if now > end {
            break;
        }
        if from == 0 && now >= seen && !told {
            views[0].report_demand(1, Vec::new());
            views[0].report_crashes(now, Seen::default());
            told = true;
        }
        for probe in views[from].tick(now) {
            let to = views
                .iter()
                .position(|v| v.me().name == probe.name)
                .unwrap();
            for (from, to) in [(from, to), (to, from)] {
                if pass(views, from, to, now) {
                    heard.entry(to).or_insert(now);
                }
            }
        }
        turn += 1;
        next[from] = now + pauses[turn % pauses.len()];
    }
    heard
}

proptest! {
    // Symptom: a request that ended three upstreams of one failure domain ends three more of another, seconds
    // later. Sequence: instances tell their neighbours of crashes beside the news of the start; none of the
    // probes of the other domain has room for them. Cause: one count for those near and those far.
    #[test]
    fn another_failure_domain_hears_of_crashes_beside_other_news(
        pauses in prop::collection::vec(PROBE_INTERVAL * 9 / 10..PROBE_INTERVAL * 11 / 10, 64),
        seen in 0..START,
    ) {
        let mut views = views(&["nord-0", "nord-1", "syd-0", "syd-1"]);

        let heard = run(&mut views, seen, seen + HEARD, &pauses);

        let others: Vec<_> = heard.keys().filter(|at| **at > 0).copied().collect();
        prop_assert_eq!(others, [1, 2, 3], "{:?} after {}", heard, seen);
    }
}
