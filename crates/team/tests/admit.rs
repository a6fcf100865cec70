//! Who may run, on whose behalf, by what the configuration knows and how old it is.

use proptest::prelude::*;
use team::Credential;
use team::Denial;
use team::Key;
use team::Principal;
use team::StalenessLimits;
use team::Team;
use team::Teams;
use team::TeamsError;
use team::admit;
use yare::parameterized;

const SURE: u64 = 1_500;
const CLOSED: u64 = 5_000;

fn team(name: &str) -> Team {
    Team {
        name: name.into(),
        priority: None,
    }
}

fn teams() -> Teams {
    let keys = |all: &[&str]| all.iter().map(|key| Key::of(key)).collect();
    Teams::new([(team("a"), keys(&["k1", "k2"])), (team("b"), keys(&["k3"]))]).unwrap()
}

fn bounds(closed: bool) -> StalenessLimits {
    StalenessLimits {
        reject_unknown: SURE,
        fail_closed: closed.then_some(CLOSED),
    }
}

fn key(text: &str) -> Credential {
    Credential::Key(Key::of(text))
}

fn of(name: &str) -> Result<Principal, Denial> {
    Ok(Principal::Team(name.into()))
}

#[parameterized(
    held = { false, key("k2"), Some(0), false, of("a") },
    of_another = { false, key("k3"), Some(0), false, of("b") },
    none = { false, Credential::None, Some(SURE), false, Err(Denial::Missing) },
    malformed = { false, Credential::Malformed, Some(SURE), false, Err(Denial::Malformed) },
    unknown = { false, key("x"), Some(SURE), false, Err(Denial::Unknown) },
    unknown_on_old_news = { false, key("x"), Some(SURE + 1), false, Err(Denial::StaleConfig) },
    none_on_old_news = { false, Credential::None, Some(SURE + 1), false, Err(Denial::StaleConfig) },
    unknown_without_news = { false, key("x"), None, false, Err(Denial::StaleConfig) },
    held_on_old_news = { false, key("k1"), Some(600_000), false, of("a") },
    held_without_news = { false, key("k1"), None, false, of("a") },
    held_on_old_news_closed = { false, key("k1"), Some(CLOSED + 1), true, Err(Denial::StaleConfig) },
    held_without_news_closed = { false, key("k1"), None, true, Err(Denial::StaleConfig) },
    held_in_time_closed = { false, key("k1"), Some(CLOSED), true, of("a") },
    open_without_key = { true, Credential::None, Some(0), false, Ok(Principal::Anonymous) },
    open_with_unknown_key = { true, key("x"), Some(0), false, Ok(Principal::Anonymous) },
    open_with_key = { true, key("k1"), Some(0), false, of("a") },
    open_on_old_news_closed = { true, Credential::None, None, true, Ok(Principal::Anonymous) },
)]
fn a_request_is_admitted_or_denied(
    open: bool,
    credential: Credential,
    age: Option<u64>,
    closed: bool,
    expected: Result<Principal, Denial>,
) {
    let teams = teams();

    let got = admit(Some(&teams), open, credential, age, bounds(closed));

    assert_eq!(got, expected);
}

#[parameterized(
    none = { Credential::None },
    malformed = { Credential::Malformed },
    some = { key("k1") },
)]
fn nobody_needs_a_key_where_there_are_no_teams(credential: Credential) {
    let got = admit(None, false, credential, None, bounds(true));

    assert_eq!(got, Ok(Principal::NoTeams));
}

#[test]
fn two_teams_do_not_share_a_key_or_a_name() {
    let key = vec![Key::of("k")];

    let keys = Teams::new([(team("a"), key.clone()), (team("b"), key)]);
    let names = Teams::new([(team("a"), vec![]), (team("a"), vec![])]);

    assert_eq!(keys, Err(TeamsError::Key("a".into(), "b".into())));
    assert_eq!(names, Err(TeamsError::Name("a".into())));
}

proptest! {
    // Whoever holds no key of a team never runs as that team, whatever is written in place of one.
    #[test]
    fn only_a_holder_runs_as_a_team(held in "\\PC{1,40}", tried in "\\PC{0,40}", age in any::<Option<u64>>()) {
        let teams = Teams::new([(team("a"), vec![Key::of(&held)])]).unwrap();

        let got = admit(Some(&teams), false, key(&tried), age, bounds(false));

        prop_assert_eq!(got.is_ok(), held == tried);
    }

    // What is kept for one team is never found under another's name.
    #[test]
    fn names_of_records_differ_between_teams(one in "\\PC{0,20}", other in "\\PC{0,20}", name in "[a-z0-9-]{1,30}") {
        let of = |team: &str| Principal::Team(team.into()).scoped_name(&name);

        prop_assert_eq!(of(&one) == of(&other), one == other);
        prop_assert_ne!(&*of(&one), &*name);
    }

    #[test]
    fn a_key_shows_in_no_debug_output(text in "[a-zA-Z0-9]{8,40}") {
        let shown = format!("{:?}", key(&text));

        prop_assert!(!shown.contains(&text));
    }
}
