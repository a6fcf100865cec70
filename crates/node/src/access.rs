//! Authorization of requests against the configuration in force, limited by its age.
//!
//! The decision itself is made by [`team::admit()`]. Order of the checks: without a configuration a request is
//! refused as not executed, then an unknown route is reported as not found, then the key is checked. The latter two
//! refusals are given only while the configuration is fresh.

use std::time::Duration;

use kernel::Millis;
use spread::ConfigUse;
use spread::confirmation::ATTEMPT_TIME;
use table::Config;
use table::Route;
use team::Credential;
use team::Denial;
use team::Principal;
use team::StalenessLimits;
use tokio::time::timeout;

use crate::App;
use crate::dialect::Caller;
use crate::refusal::Refusal;
use crate::replication;

/// Divisor of `apply_limit`; the quotient is the age up to which a configuration counts as fresh. A newer one may
/// have been acknowledged while this one was being read.
const FRESHNESS_DIVISOR: u64 = 2;

/// Time for which a request waits for a confirmation of the configuration.
const CONFIRM_WAIT: Duration = Duration::from_millis(ATTEMPT_TIME);

/// Returns the age of the configuration: milliseconds since it was last known to be the newest.
pub(crate) fn config_age(app: &App) -> Option<Millis> {
    app.replica.lock().config_age(app.clock.now())
}

/// Returns the version of the configuration in force and its age, and logs if it has become late.
pub(crate) fn check_config_age(app: &App) -> (Option<u64>, Option<Millis>) {
    let age = config_age(app);
    let (now, limit) = (app.clock.now(), app.settings.apply_limit);
    app.sync_status.lock().check_age(age, limit, now);
    if let Some(age) = age {
        metrics::gauge!(crate::telemetry::CONFIG_AGE).set(age as f64);
    }
    let config = app.config.load();
    (config.as_ref().map(|config| config.version), age)
}

/// Waits until the configuration is confirmed if it may be out of date. Called before a configuration decides on a
/// request: after a pause, what has waited in the sockets is handled before the next update.
pub(crate) async fn confirm_config(app: &App) {
    if needs_confirmation(app) {
        // An instance that reaches nobody goes on with what it has.
        let _ = timeout(CONFIRM_WAIT, wait_confirmed(app)).await;
    }
}

/// Returns whether the configuration may be out of date, and a confirmation can be expected.
pub(crate) fn needs_confirmation(app: &App) -> bool {
    let (age, now) = (config_age(app), app.clock.now());
    let config_use = app.confirmation.policy.lock().config_use(age, now);
    let follows = replication::needs_state(app) && app.config.load().is_some();
    follows && config_use == ConfigUse::Confirmed
}

async fn wait_confirmed(app: &App) {
    let mut ended = app.confirmation.ended.subscribe();
    while needs_confirmation(app) {
        app.confirmation.wanted.notify_one();
        if ended.changed().await.is_err() {
            return;
        }
    }
}

fn staleness_limits(app: &App) -> StalenessLimits {
    let settings = &app.settings;
    StalenessLimits {
        reject_unknown: settings.apply_limit / FRESHNESS_DIVISOR,
        fail_closed: settings.fail_closed.then_some(settings.revoke_limit),
    }
}

/// Returns the refusal for an unknown route: not found if the configuration is fresh enough to contain every
/// acknowledged route, else not executed.
pub(crate) fn missing_route(app: &App, age: Option<Millis>) -> Refusal {
    match age {
        Some(age) if age <= staleness_limits(app).reject_unknown => Refusal::NotFound,
        _ => Refusal::NotExecuted,
    }
}

/// Returns the principal on whose behalf a request for a route runs.
pub(crate) fn authorize_route(
    app: &App,
    config: &Config,
    route: &Route,
    caller: &Caller,
) -> Result<Principal, Refusal> {
    authorize(app, config, route.open, caller)
}

/// Returns the principal of a request that concerns a step submitted before.
pub(crate) fn authorize_step(app: &App, caller: &Caller) -> Result<Principal, Refusal> {
    let Some(config) = app.config.load_full() else {
        // A step submitted without a key is found without one, unless its name may be that of a team's step. The team of
        // a key is not known yet.
        let is_scoped = caller
            .operation
            .step()
            .is_some_and(|step| team::has_scope(step));
        return match caller.credential {
            Credential::None if !is_scoped => Ok(Principal::NoTeams),
            Credential::None | Credential::Malformed | Credential::Key(_) => {
                Err(Refusal::NotExecuted)
            }
        };
    };
    authorize(app, &config, config.has_open_steps(&caller.host), caller)
}

/// Returns the principal of a request for a route as [`authorize_route`] does; [`None`] if it would be refused. Nothing
/// is logged, since the refusal is not given.
pub(crate) fn provisional_principal(
    app: &App,
    config: &Config,
    route: &Route,
    caller: &Caller,
) -> Option<Principal> {
    admit(app, config, route.open, caller).ok()
}

fn admit(app: &App, config: &Config, open: bool, caller: &Caller) -> Result<Principal, Denial> {
    let (age, teams) = (config_age(app), config.teams.as_ref());
    team::admit(teams, open, caller.credential, age, staleness_limits(app))
}

fn authorize(
    app: &App,
    config: &Config,
    open: bool,
    caller: &Caller,
) -> Result<Principal, Refusal> {
    let age = config_age(app);
    let denial = match admit(app, config, open, caller) {
        Ok(principal) => return Ok(principal),
        Err(denial) => denial,
    };
    let (why, refusal) = match denial {
        Denial::Missing => ("no key", Refusal::Unauthorized),
        Denial::Malformed => ("malformed key", Refusal::Unauthorized),
        Denial::Unknown => ("unknown key", Refusal::Unauthorized),
        Denial::StaleConfig => ("configuration may be stale", Refusal::NotExecuted),
    };
    log::info!(target: "front", id = &*caller.id, why, version = config.version, age_ms = age,
        outcome = refusal.name(); "key refused");
    Err(refusal)
}

/// Returns whether requests that need a key are refused because `fail_closed` is set and the configuration is too
/// old.
pub(crate) fn is_failing_closed(app: &App) -> bool {
    let config = app.config.load();
    let has_teams = config.as_ref().is_some_and(|config| config.teams.is_some());
    let Some(max_age) = staleness_limits(app).fail_closed.filter(|_| has_teams) else {
        return false;
    };
    config_age(app).is_none_or(|age| age > max_age)
}
