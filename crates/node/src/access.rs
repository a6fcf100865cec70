//! Who may ask for what, by the configuration in force and its age.
//!
//! What is decided is [`team::admit`]'s matter. The order of the checks: without any configuration a request
//! is turned away unrun, then an unknown route is missing, then a key is looked at. Both of the latter are said
//! only while the configuration is fresh.

use kernel::Millis;
use table::Config;
use table::Route;
use team::Credential;
use team::Denial;
use team::Principal;
use team::StalenessLimits;

use crate::App;
use crate::dialect::Caller;
use crate::refuse::Refusal;

/// Part of the time in which a configuration has to be in force for which news count as fresh: a newer one may have
/// been acknowledged while they were read.
const FRESHNESS_DIVISOR: u64 = 2;

/// Age of the configuration, in milliseconds since it was known to be the newest.
pub(crate) fn config_age(app: &App) -> Option<Millis> {
    app.upstreams.lock().age(app.clock.now())
}

fn staleness_limits(app: &App) -> StalenessLimits {
    let settings = &app.settings;
    StalenessLimits {
        reject_unknown: settings.apply_limit / FRESHNESS_DIVISOR,
        fail_closed: settings.fail_closed.then_some(settings.revoke_limit),
    }
}

/// What a caller is told whose route is not there: that it is missing, if a configuration that has it would be
/// known here.
pub(crate) fn missing_route(app: &App, age: Option<Millis>) -> Refusal {
    match age {
        Some(age) if age <= staleness_limits(app).reject_unknown => Refusal::NotFound,
        _ => Refusal::NotExecuted,
    }
}

/// On whose behalf a request of a route runs.
pub(crate) fn authorize_route(
    app: &App,
    plan: &Config,
    route: &Route,
    caller: &Caller,
) -> Result<Principal, Refusal> {
    authorize(app, plan, route.open, caller)
}

/// On whose behalf somebody asks for a step that was submitted before.
pub(crate) fn authorize_step(app: &App, caller: &Caller) -> Result<Principal, Refusal> {
    let Some(plan) = app.config.load_full() else {
        // What was submitted without a key is found without one; with one nothing is known of its team.
        return match caller.credential {
            Credential::None => Ok(Principal::NoTeams),
            Credential::Malformed | Credential::Key(_) => Err(Refusal::NotExecuted),
        };
    };
    authorize(app, &plan, plan.has_open_steps(&caller.host), caller)
}

fn authorize(app: &App, plan: &Config, open: bool, caller: &Caller) -> Result<Principal, Refusal> {
    let age = config_age(app);
    let teams = plan.teams.as_ref();
    let denial = match team::admit(teams, open, caller.credential, age, staleness_limits(app)) {
        Ok(principal) => return Ok(principal),
        Err(denial) => denial,
    };
    let (why, refusal) = match denial {
        Denial::Missing => ("no key", Refusal::Unauthorized),
        Denial::Malformed => ("no proper key", Refusal::Unauthorized),
        Denial::Unknown => ("nobody holds the key", Refusal::Unauthorized),
        Denial::StaleConfig => ("the configuration may be too old", Refusal::NotExecuted),
    };
    log::info!(target: "front", id = &*caller.id, why, version = plan.version, age_ms = age,
        outcome = refusal.name(); "key refused");
    Err(refusal)
}

/// Tells whether the configuration is too old for requests that need a key, where operators want it so.
pub(crate) fn is_failing_closed(app: &App) -> bool {
    let plan = app.config.load();
    let keys = plan.as_ref().is_some_and(|plan| plan.teams.is_some());
    let Some(bound) = staleness_limits(app).fail_closed.filter(|_| keys) else {
        return false;
    };
    config_age(app).is_none_or(|age| age > bound)
}
