//! Who calls.

use contract::registry::ActiveContract;
use http::header::AUTHORIZATION;
use net::Call;
use route::Attempt;
use wire::Problem;
use wire::problem::Type;

use crate::App;
use crate::trace::Trace;

/// Finds the contract of a call's bearer token.
///
/// # Errors
///
/// Returns a refusal when there is no token, or no contract has it.
pub fn authenticate(app: &App, call: &Call, trace: &mut Trace) -> Result<ActiveContract, Problem> {
    let text = call.header(AUTHORIZATION.as_str());
    let token = text.and_then(|text| text.strip_prefix("Bearer "));
    let refuse = |detail: &str| {
        let problem = Problem::new(Type::Unauthorized, Attempt::new().refuse());
        Err(problem.with_detail(detail))
    };
    let Some(token) = token else {
        return refuse("the header Authorization: Bearer TOKEN is missing");
    };
    let found = app.contracts.read().by_token(token.trim()).cloned();
    let Some(contract) = found else {
        return refuse("no contract in force has this token");
    };
    trace.customer = Some(contract.stored.contract.customer.clone());
    trace.note(format!("contract at revision {}", contract.rev));
    Ok(contract)
}
