//! Announcements of weight versions: `POST /v1/weights/{model}`.

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
use crate::complete;
use crate::refuse;
use crate::trace::Trace;

/// Tries to write an announcement that others race with.
const TRIES: usize = 5;

/// When to come back while the platform is away, in milliseconds.
const LATER: u64 = 1_000;

/// An announcement as the platform keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredVersion {
    /// The newest version.
    pub version: u64,
    /// The customer that announced it.
    pub customer: Name,
}

/// Serves `POST /v1/weights/{model}`.
pub async fn announce(app: Arc<App>, call: Call) -> Reply {
    let mut trace = Trace::begin("weights", app.clock);
    let result = announced(&app, call, &mut trace).await;
    let reply = result.map(|version| body::json(StatusCode::OK, &AnnouncedVersion { version }));
    refuse::finish(&app, trace, reply)
}

async fn announced(app: &Arc<App>, call: Call, trace: &mut Trace) -> Result<u64, Problem> {
    let held = auth::authenticate(app, &call, trace)?;
    let model = call.segment(2).to_owned();
    complete::model(app, &held, &model)?;
    let asked: AnnounceVersion = complete::parse(app, call.body).await?;
    let customer = held.stored.contract.customer.clone();
    let new = StoredVersion {
        version: asked.version,
        customer,
    };
    let mut unclear = false;
    for _ in 0..TRIES {
        match write(app, &model, &new).await {
            Ok(Some(version)) => return Ok(version),
            Ok(None) => (),
            Err(error) if error.is_indeterminate() => unclear = true,
            Err(error) => return Err(refusal(&error, unclear)),
        }
    }
    Err(refusal(&PlatError::NoAnswer, unclear))
}

fn refusal(error: &PlatError, unclear: bool) -> Problem {
    let ran = match unclear {
        true => Ran::Unknown,
        false => Attempt::new().refuse(),
    };
    let problem = Problem::new(Type::Platform, ran);
    problem.with_detail(error.to_string()).retry_after(LATER)
}

/// Writes an announcement unless a newer one is there; [`None`] when another write came between.
///
/// A version never falls: the write is conditional on the revision that was read, and reading
/// back settles a write whose answer was lost.
async fn write(app: &App, model: &str, new: &StoredVersion) -> Result<Option<u64>, PlatError> {
    let key = keys::weight(model);
    let item = app.plat.get(&key).await?;
    let rev = item.as_ref().map_or(0, |item| item.rev);
    let known = item.and_then(|item| serde_json::from_slice::<StoredVersion>(&item.value).ok());
    let known = known.map_or(0, |known| known.version);
    if known >= new.version {
        return Ok(Some(known));
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
            let (before, after) = (known.to_string(), new.version.to_string());
            let what = format!("weights announced by {}", new.customer);
            audit::log_change(instance, &what, model, &before, &after, rev);
            Ok(Some(new.version))
        }
    }
}
