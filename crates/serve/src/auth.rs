//! Authentication of callers by bearer token.

use contract::registry::ActiveContract;
use http::header::AUTHORIZATION;
use net::Call;
use route::Attempt;
use wire::Problem;
use wire::problem::Type;

use crate::App;
use crate::trace::Trace;

/// Returns the contract that a call's bearer token belongs to and records its customer in the trace.
///
/// # Errors
///
/// Returns a [`Problem`] of type [`Type::Unauthorized`] if the token is missing or no contract in force
/// has it.
pub fn authenticate(app: &App, call: &Call, trace: &mut Trace) -> Result<ActiveContract, Problem> {
    let header = call.header(AUTHORIZATION.as_str());
    let token = header.and_then(|header| header.strip_prefix("Bearer "));
    let deny = |detail: &str| {
        let problem = Problem::new(Type::Unauthorized, Attempt::new().refuse());
        Err(problem.with_detail(detail))
    };
    let Some(token) = token else {
        return deny("the header Authorization: Bearer TOKEN is missing");
    };
    let found = app.contracts.read().by_token(token.trim()).cloned();
    let Some(active_contract) = found else {
        return deny("no contract in force has this token");
    };
    trace.customer = Some(active_contract.stored.contract.customer.clone());
    trace.note(format!("contract at revision {}", active_contract.rev));
    Ok(active_contract)
}
