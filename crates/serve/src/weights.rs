//! Announcements of new weight versions by customers: `POST /v1/weights/{model}`.

use std::sync::Arc;

use http::StatusCode;
use kernel::Name;
use net::Call;
use net::Reply;
use net::body;
use plat::Guard;
use plat::PlatError;
use plat::Put;
use plat::Txn;
use plat::TxnOutcome;
use plat::keys;
use route::Attempt;
use route::Ran;
use serde::Deserialize;
use serde::Serialize;
use wire::Problem;
use wire::caller::AnnounceVersion;
use wire::caller::AnnouncedVersion;
use wire::problem::Type;

use crate::App;
use crate::audit;
use crate::auth;
use crate::completions;
use crate::reply;
use crate::trace::Trace;

/// Maximum number of attempts to write an announcement when other writers conflict with it.
const MAX_ATTEMPTS: usize = 5;

/// Retry delay for callers while the platform is unavailable, in milliseconds.
const RETRY_AFTER: u64 = 1_000;

/// An announcement as the platform stores it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredVersion {
    /// The newest announced version.
    pub version: u64,
    /// The customer that announced the version.
    pub customer: Name,
}

/// Handles `POST /v1/weights/{model}` and returns the newest announced version.
pub async fn announce(app: Arc<App>, call: Call) -> Reply {
    let mut trace = Trace::begin("weights", app.clock);
    let result = announce_version(&app, call, &mut trace).await;
    let reply = result.map(|version| body::json(StatusCode::OK, &AnnouncedVersion { version }));
    reply::finish(&app, trace, reply)
}

async fn announce_version(app: &Arc<App>, call: Call, trace: &mut Trace) -> Result<u64, Problem> {
    let active_contract = auth::authenticate(app, &call, trace)?;
    let model = call.segment(2).to_owned();
    completions::engine_dispatcher(app, &active_contract, &model)?;
    let announced: AnnounceVersion = completions::parse_body(app, call.body, &call.inbound).await?;
    let customer = active_contract.stored.contract.customer.clone();
    let new = StoredVersion {
        version: announced.version,
        customer,
    };
    let mut indeterminate = false;
    for _ in 0..MAX_ATTEMPTS {
        match try_write(app, &model, &new).await {
            Ok(Some(version)) => return Ok(version),
            Ok(None) => (),
            Err(error) if error.is_indeterminate() => indeterminate = true,
            Err(error) => return Err(refusal(&error, indeterminate)),
        }
    }
    Err(refusal(&PlatError::NoAnswer, indeterminate))
}

/// Returns the problem for a failed announcement; `indeterminate` is whether an earlier write may have
/// been applied.
fn refusal(error: &PlatError, indeterminate: bool) -> Problem {
    let ran = match indeterminate {
        true => Ran::Unknown,
        false => Attempt::new().refuse(),
    };
    let problem = Problem::new(Type::Platform, ran);
    problem
        .with_detail(error.to_string())
        .retry_after(RETRY_AFTER)
}

/// Writes an announcement unless the platform has the same or a newer version. Returns the newest version, or
/// [`None`] if a concurrent write changed the key.
///
/// A stored version never decreases, because the write is conditional on the revision that was read. If the
/// response to a write is lost, the next attempt reads the key and finds out whether the write was applied.
async fn try_write(app: &App, model: &str, new: &StoredVersion) -> Result<Option<u64>, PlatError> {
    let key = keys::weight(model);
    let item = app.plat.get(&key).await?;
    let rev = item.as_ref().map_or(0, |item| item.rev);
    let stored = item.and_then(|item| serde_json::from_slice::<StoredVersion>(&item.value).ok());
    let stored = stored.map_or(0, |stored| stored.version);
    if stored >= new.version {
        return Ok(Some(stored));
    }
    let value = serde_json::to_vec(new).map_err(|_| PlatError::Garbled)?;
    let txn = Txn {
        guards: vec![Guard::on(key.as_str(), rev)],
        puts: vec![Put::new(key, value)],
        ..Txn::default()
    };
    match app.plat.txn(&txn).await? {
        TxnOutcome::Conflict => Ok(None),
        TxnOutcome::At(rev) => {
            let instance = &app.settings.me.name;
            let (before, after) = (stored.to_string(), new.version.to_string());
            let message = format!("weights announced by {}", new.customer);
            audit::log_change(instance, &message, model, &before, &after, rev);
            Ok(Some(new.version))
        }
    }
}
