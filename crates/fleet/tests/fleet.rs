//! Tests of membership, rumours and leases.

use fleet::FencingToken;
use fleet::Lease;
use fleet::Member;
use fleet::MemberState;
use fleet::Rumour;
use fleet::View;
use fleet::lease::HolderAction;
use fleet::rumour::Demand;
use fleet::view::DEAD_RETENTION;
use fleet::view::PROBE_INTERVAL;
use fleet::view::ProbeFailure;
use fleet::view::SUSPICION_TIMEOUT;
use kernel::Name;
use proptest::prelude::*;
use yare::parameterized;

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

fn member(text: &str, domain: &str) -> Member {
    Member {
        name: name(text),
        domain: name(domain),
        addr: "127.0.0.1:1".parse().unwrap(),
        incarnation: 1,
        state: MemberState::Alive,
    }
}

fn view(me: &str, others: &[&str]) -> View {
    let mut view = View::new(member(me, "nord"), 0);
    for other in others {
        view.add_member(member(other, "nord"), 0);
    }
    view
}

fn state_of(view: &View, name: &str) -> Option<MemberState> {
    let found = view.all().find(|member| &*member.name == name);
    found.map(|member| member.state)
}

fn rumour(text: &str, incarnation: u64, state: MemberState) -> Rumour {
    Rumour::Member(Member {
        incarnation,
        state,
        ..member(text, "nord")
    })
}

// Guards against the removal of an instance that is merely slow, whose work would then be done twice. One instance
// that gets no answer to one probe must not suffice to remove it.
#[test]
fn a_failed_probe_leads_to_helpers_then_suspicion_then_removal() {
    let mut view = view("a", &["b", "c"]);

    let first = view.probe_failed("b", false, 0);
    let second = view.probe_failed("b", true, 100);
    view.tick(100 + SUSPICION_TIMEOUT - 1);
    let during = state_of(&view, "b");
    view.tick(100 + SUSPICION_TIMEOUT);
    let after = state_of(&view, "b");
    view.tick(100 + SUSPICION_TIMEOUT + DEAD_RETENTION);

    assert!(matches!(first, ProbeFailure::AskHelpers(helpers) if &*helpers[0].name == "c"));
    assert_eq!(second, ProbeFailure::Suspected);
    assert_eq!(
        (during, after),
        (Some(MemberState::Suspect), Some(MemberState::Dead))
    );
    assert_eq!(state_of(&view, "b"), None);
}

// Guards against a restarted instance that stays removed for as long as its peers keep the state of its previous
// start. It died, was suspected and removed, and started again under the same name; without incarnations the two
// starts cannot be distinguished.
#[parameterized(
    same_incarnation = { 1, MemberState::Dead, 1, MemberState::Alive, MemberState::Dead },
    next_incarnation = { 1, MemberState::Dead, 2, MemberState::Alive, MemberState::Alive },
    refuted = { 1, MemberState::Suspect, 2, MemberState::Alive, MemberState::Alive },
    late_rumour = { 2, MemberState::Alive, 1, MemberState::Dead, MemberState::Alive },
    suspicion = { 1, MemberState::Alive, 1, MemberState::Suspect, MemberState::Suspect },
)]
fn incarnations_are_distinguished(
    first: u64,
    was: MemberState,
    second: u64,
    then: MemberState,
    expected: MemberState,
) {
    let mut view = view("a", &["b"]);
    view.receive(rumour("b", first, was), 0);

    view.receive(rumour("b", second, then), 1);

    assert_eq!(state_of(&view, "b"), Some(expected));
}

#[test]
fn a_suspected_instance_refutes() {
    let mut view = view("a", &["b"]);
    view.outgoing(&name("nord"));

    view.receive(rumour("a", 1, MemberState::Suspect), 0);

    let rumours = view.outgoing(&name("nord"));
    let mine = |r: &Rumour| matches!(r, Rumour::Member(m) if &*m.name == "a" && m.incarnation == 2);
    assert!(rumours.iter().any(mine), "{rumours:?}");
    assert_eq!(view.me().state, MemberState::Alive);
}

#[test]
fn the_first_live_name_reads_and_the_next_takes_over() {
    let mut view = view("b", &["a", "c"]);
    let before = view.is_reader();

    view.probe_failed("a", true, 0);

    assert!(!before);
    assert!(view.is_reader());
}

#[test]
fn a_graceful_leave_takes_effect_at_once() {
    let (mut leaving, mut peer) = (view("a", &["b"]), view("b", &["a"]));

    leaving.leave();
    for rumour in leaving.outgoing(&name("nord")) {
        peer.receive(rumour, 0);
    }

    assert_eq!(state_of(&peer, "a"), Some(MemberState::Left));
}

#[test]
fn older_rumours_about_an_upstream_are_ignored() {
    let mut view = view("a", &[]);
    let upstream = |leaving, at| Rumour::Upstream {
        name: name("engine-1"),
        leaving,
        at,
    };

    let first = view.receive(upstream(true, 9), 0);
    let late = view.receive(upstream(false, 7), 0);

    assert_eq!((first, late), (true, false));
    assert_eq!(view.is_leaving("engine-1"), Some(true));
}

#[test]
fn older_rumours_about_an_engine_are_ignored() {
    let mut view = view("a", &[]);
    let engine = |version, at| Rumour::Engine {
        name: name("engine-1"),
        version: Some(version),
        leaving: false,
        at,
    };

    let applied = [
        view.receive(engine(3, 9), 0),
        view.receive(engine(2, 7), 0),
        view.receive(engine(3, 9), 0),
    ];

    assert_eq!(applied, [true, false, false]);
}

#[test]
fn peer_demands_expire() {
    let mut view = view("a", &["b"]);
    let rates = vec![Demand {
        customer: name("aarhus"),
        rate: 12.0,
    }];
    let from = name("b");
    let sequence = 1;

    view.receive(
        Rumour::Demand {
            from,
            sequence,
            rates,
        },
        0,
    );

    assert_eq!(view.peer_demands("aarhus", 1), [12.0]);
    assert!(view.peer_demands("aarhus", 60_000).is_empty());
    assert!(view.peer_demands("other", 1).is_empty());
}

// Guards against orders of two holders that reach an engine. The holder is paused for longer than its lease, and
// resumes between check and order. Checking against the time at which the grant arrived, or once for several orders,
// allows this.
#[parameterized(
    fresh = { 0, HolderAction::Work(FencingToken(7)) },
    third = { 3_400, HolderAction::Renew(FencingToken(7)) },
    margin = { 7_499, HolderAction::Renew(FencingToken(7)) },
    expired = { 7_500, HolderAction::Expired },
    long_after = { 1_000_000, HolderAction::Expired },
)]
fn a_lease_ends_at_the_holder_before_it_ends_at_the_platform(now: u64, expected: HolderAction) {
    let held = Lease::new(10_000).acquired(FencingToken(7), 1, 0);

    assert_eq!(held.check(now), expected);
}

#[test]
fn a_renewal_counts_from_when_it_was_sent() {
    let mut held = Lease::new(10_000).acquired(FencingToken(7), 1, 0);

    held.renewed(5_000);
    held.renewed(4_000);

    assert_eq!(held.check(12_499), HolderAction::Renew(FencingToken(7)));
    assert_eq!(held.check(12_500), HolderAction::Expired);
}

/// Lets every instance in `up` probe as its view says; `lost` returns whether a message is lost.
fn round(views: &mut [View], up: &[bool], now: u64, lost: &mut impl FnMut() -> bool) {
    for from in 0..views.len() {
        if !up[from] {
            continue;
        }
        for probe in views[from].tick(now) {
            let to = views.iter().position(|v| v.me().name == probe.name);
            let reached = to.filter(|to| up[*to] && !lost());
            let Some(to) = reached else {
                views[from].probe_failed(&probe.name, true, now);
                continue;
            };
            let rumours = views[from].outgoing(&name("nord"));
            for rumour in rumours {
                views[to].receive(rumour, now);
            }
            let answer = views[to].me().clone();
            let rumours = views[to].outgoing(&name("nord"));
            views[from].probe_answered(&answer, now);
            for rumour in rumours {
                views[from].receive(rumour, now);
            }
        }
    }
}

proptest! {
    // Whichever messages are lost, all instances learn of a death, and no live instance stays removed.
    #[test]
    fn views_converge(
        dead in 0usize..6,
        losses in prop::collection::vec(any::<prop::sample::Index>(), 0..12),
    ) {
        let names = ["a", "b", "c", "d", "e", "f"];
        let mut views: Vec<_> = names.iter().map(|me| view(me, &names)).collect();
        let mut up = [true; 6];
        up[dead] = false;
        let lost: Vec<_> = losses.iter().map(|index| index.index(60)).collect();
        let mut sent = 0;
        for turn in 1..60 {
            let mut lose = || { sent += 1; lost.contains(&sent) };
            round(&mut views, &up, turn * PROBE_INTERVAL, &mut lose);
        }
        for (index, view) in views.iter().enumerate().filter(|(index, _)| up[*index]) {
            let live = view.live().count();
            prop_assert_eq!(live, 5, "{} sees {:?}", names[index], view.all().collect::<Vec<_>>());
        }
    }

    // However holders are paused, at most one of them may work at any time, if each grant comes only after the
    // platform's time to live of the previous one has passed.
    #[test]
    fn at_most_one_holder(pauses in prop::collection::vec((0u64..20_000, 0u64..3_000), 1..30)) {
        let ttl = 10_000;
        let mut now = 0;
        let mut fence = 0;
        let mut holders: Vec<Lease<fleet::lease::Held>> = Vec::new();
        let mut ends = 0;
        for (pause, answer) in pauses {
            now += pause;
            if now >= ends {
                fence += 1;
                ends = now + answer + ttl;
                holders.push(Lease::new(ttl).acquired(FencingToken(fence), 1, now));
            }
            let work = |lease: &&Lease<_>| lease.check(now) != HolderAction::Expired;
            let workers: Vec<_> = holders.iter().filter(work).collect();
            prop_assert!(workers.len() <= 1);
            prop_assert!(workers.iter().all(|lease| lease.fencing_token() == FencingToken(fence)));
        }
    }
}
