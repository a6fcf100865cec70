//! Tests of admission by key and by the age of the configuration, and of the names of records.

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

const REJECT_UNKNOWN_MS: u64 = 1_500;
const FAIL_CLOSED_MS: u64 = 5_000;

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

fn limits(fail_closed: bool) -> StalenessLimits {
    StalenessLimits {
        reject_unknown: REJECT_UNKNOWN_MS,
        fail_closed: fail_closed.then_some(FAIL_CLOSED_MS),
    }
}

fn key(text: &str) -> Credential {
    Credential::Key(Key::of(text))
}

fn admitted_as(name: &str) -> Result<Principal, Denial> {
    Ok(Principal::Team(name.into()))
}

#[parameterized(
    known_key = { false, key("k2"), Some(0), false, admitted_as("a") },
    key_of_another_team = { false, key("k3"), Some(0), false, admitted_as("b") },
    no_key = { false, Credential::None, Some(REJECT_UNKNOWN_MS), false, Err(Denial::Missing) },
    malformed = { false, Credential::Malformed, Some(REJECT_UNKNOWN_MS), false, Err(Denial::Malformed) },
    unknown_key = { false, key("x"), Some(REJECT_UNKNOWN_MS), false, Err(Denial::Unknown) },
    unknown_key_stale = { false, key("x"), Some(REJECT_UNKNOWN_MS + 1), false, Err(Denial::StaleConfig) },
    no_key_stale = { false, Credential::None, Some(REJECT_UNKNOWN_MS + 1), false, Err(Denial::StaleConfig) },
    unknown_key_no_age = { false, key("x"), None, false, Err(Denial::StaleConfig) },
    known_key_stale = { false, key("k1"), Some(600_000), false, admitted_as("a") },
    known_key_no_age = { false, key("k1"), None, false, admitted_as("a") },
    known_key_stale_fail_closed = { false, key("k1"), Some(FAIL_CLOSED_MS + 1), true, Err(Denial::StaleConfig) },
    known_key_no_age_fail_closed = { false, key("k1"), None, true, Err(Denial::StaleConfig) },
    known_key_fresh_fail_closed = { false, key("k1"), Some(FAIL_CLOSED_MS), true, admitted_as("a") },
    open_without_key = { true, Credential::None, Some(0), false, Ok(Principal::Anonymous) },
    open_with_unknown_key = { true, key("x"), Some(0), false, Ok(Principal::Anonymous) },
    open_with_key = { true, key("k1"), Some(0), false, admitted_as("a") },
    open_no_age_fail_closed = { true, Credential::None, None, true, Ok(Principal::Anonymous) },
)]
fn a_request_is_admitted_or_denied(
    open: bool,
    credential: Credential,
    age: Option<u64>,
    fail_closed: bool,
    expected: Result<Principal, Denial>,
) {
    let teams = teams();

    let admitted = admit(Some(&teams), open, credential, age, limits(fail_closed));

    assert_eq!(admitted, expected);
}

#[parameterized(
    none = { Credential::None },
    malformed = { Credential::Malformed },
    some = { key("k1") },
)]
fn no_key_is_needed_without_teams(credential: Credential) {
    let admitted = admit(None, false, credential, None, limits(true));

    assert_eq!(admitted, Ok(Principal::NoTeams));
}

#[test]
fn two_teams_cannot_share_a_key_or_a_name() {
    let key = vec![Key::of("k")];

    let keys = Teams::new([(team("a"), key.clone()), (team("b"), key)]);
    let names = Teams::new([(team("a"), vec![]), (team("a"), vec![])]);

    assert_eq!(keys, Err(TeamsError::Key("a".into(), "b".into())));
    assert_eq!(names, Err(TeamsError::Name("a".into())));
}

proptest! {
    // A caller without a key of a team never runs as that team, whatever text it sends as a key.
    #[test]
    fn only_a_key_holder_runs_as_a_team(held in "\\PC{1,40}", tried in "\\PC{0,40}", age in any::<Option<u64>>()) {
        let teams = Teams::new([(team("a"), vec![Key::of(&held)])]).unwrap();

        let admitted = admit(Some(&teams), false, key(&tried), age, limits(false));

        prop_assert_eq!(admitted.is_ok(), held == tried);
    }

    // A record of one team is never found under the name of another team's record.
    #[test]
    fn record_names_differ_between_teams(one in "\\PC{0,20}", other in "\\PC{0,20}", name in "[a-z0-9-]{1,30}") {
        let record_name = |team: &str| Principal::Team(team.into()).scoped_name(&name);

        prop_assert_eq!(record_name(&one) == record_name(&other), one == other);
        prop_assert_ne!(&*record_name(&one), &*name);
    }

    #[test]
    fn a_key_does_not_appear_in_debug_output(text in "[a-zA-Z0-9]{8,40}") {
        let shown = format!("{:?}", key(&text));

        prop_assert!(!shown.contains(&text));
    }
}
