//! The stored form of a step at the platform: its customer, its prompts and its end.
//!
//! A step is written once and never updated: which samples were delivered is recorded in the
//! trainer's cursor. A step therefore costs a few writes, regardless of its samples and pulls.
//!
//! Once a step is saved, its head exists exactly while the step is open: one transaction writes the
//! end and deletes the head, and every other write to the step is conditional on the absence of the
//! end. An instance that finds a head may therefore start the step, and a delayed write cannot reopen
//! an ended one.

use std::sync::Arc;
use std::time::Duration;

use kernel::Name;
use plat::Delete;
use plat::Guard;
use plat::PlatError;
use plat::Put;
use plat::Txn;
use plat::TxnOutcome;
use plat::keys;
use serde::Deserialize;
use serde::Serialize;
use step::Spec;

use super::active::ActiveStep;
use crate::App;

/// Maximum size of one part of the prompts. The platform accepts values of up to a megabyte.
const MAX_PART_BYTES: usize = 256 << 10;

/// Time after which the platform deletes a step that was never ended, and the end of a step. The
/// end must outlive every delayed write of the head, which was sent before the end.
const STEP_TTL: kernel::Millis = 6 * kernel::time::HOUR;

/// Delay between two attempts to save a step or its end.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// Maximum number of attempts to write an end that conflicts with other writes to the step.
const MAX_END_ATTEMPTS: u32 = 3;

/// The stored head of a step.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct Head {
    pub(super) customer: Name,
    pub(super) spec: Spec,
    /// Number of parts that contain the prompts; a stored head contains none itself.
    pub(super) parts: usize,
}

/// The result of saving a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SaveResult {
    /// The step is stored completely.
    Saved,
    /// The step has ended, so it was not stored.
    Ended,
}

/// Returns the key of the end of a step; its value is the customer.
fn end_key(id: &str) -> String {
    format!("{}ended/{id}", keys::ROOT)
}

/// Writes a step. The head is written last, so that a step that has a head is complete.
pub(super) async fn save(app: &App, id: &str, head: &Head) -> Result<SaveResult, PlatError> {
    let prompts = serde_json::to_vec(&head.spec.prompts).map_err(|_| PlatError::Garbled)?;
    let lease = app.plat.grant(STEP_TTL).await?.id;
    let put = |key: String, value: Vec<u8>| Txn {
        guards: vec![Guard::Absent(end_key(id))],
        puts: vec![Put { key, value, lease }],
        ..Txn::default()
    };
    let mut parts = 0;
    for part in prompts.chunks(MAX_PART_BYTES) {
        let key = keys::step_part(id, parts);
        app.plat.txn(&put(key, part.to_vec())).await?;
        parts += 1;
    }
    let mut head = head.clone();
    head.parts = parts;
    head.spec.prompts = Vec::new();
    let value = serde_json::to_vec(&head).map_err(|_| PlatError::Garbled)?;
    match app.plat.txn(&put(keys::step_head(id), value)).await? {
        TxnOutcome::At(_) => Ok(SaveResult::Saved),
        TxnOutcome::Conflict => Ok(SaveResult::Ended),
    }
}

/// Retries in the background to save a step that was opened while the platform was unavailable.
pub(super) fn save_later(app: &Arc<App>, id: &str, head: Head, step: &Arc<ActiveStep>) {
    let (app, id, step) = (app.clone(), id.to_owned(), step.clone());
    tokio::spawn(async move {
        while !step.is_cancelled() {
            tokio::time::sleep(RETRY_DELAY).await;
            match save(&app, &id, &head).await {
                Ok(SaveResult::Saved) => step.note("saved at the platform".into()),
                Ok(SaveResult::Ended) => drop(step.cancel()),
                Err(_) => continue,
            }
            return;
        }
    });
}

/// Loads a step; [`None`] if there is no head.
pub(super) async fn load(app: &App, id: &str) -> Result<Option<Head>, PlatError> {
    let range = app.plat.list(&keys::step_prefix(id)).await?;
    let key = keys::step_head(id);
    let Some(item) = range.items.iter().find(|item| item.key == key) else {
        return Ok(None);
    };
    let mut head: Head = serde_json::from_slice(&item.value).map_err(|_| PlatError::Garbled)?;
    let mut prompts = Vec::new();
    for part in 0..head.parts {
        let key = keys::step_part(id, part);
        let item = range.items.iter().find(|item| item.key == key);
        prompts.extend_from_slice(&item.ok_or(PlatError::Garbled)?.value);
    }
    head.spec.prompts = serde_json::from_slice(&prompts).map_err(|_| PlatError::Garbled)?;
    Ok(Some(head))
}

/// Returns whether a step of a customer has ended.
pub(super) async fn is_ended(app: &App, id: &str, customer: &Name) -> Result<bool, PlatError> {
    let item = app.plat.get(&end_key(id)).await?;
    Ok(item.is_some_and(|item| item.value == customer.as_bytes()))
}

/// Writes the end of a customer's step and deletes the rest of it. Returns whether it has ended.
///
/// A step that is not stored can end only if it `was_running` on an instance; otherwise it does
/// not exist.
pub(super) async fn end(
    app: &App,
    id: &str,
    customer: &Name,
    was_running: bool,
) -> Result<bool, PlatError> {
    for _ in 0..MAX_END_ATTEMPTS {
        let revision = match app.plat.get(&keys::step_head(id)).await? {
            Some(item) => {
                let head: Head =
                    serde_json::from_slice(&item.value).map_err(|_| PlatError::Garbled)?;
                if head.customer != *customer {
                    return Ok(false);
                }
                item.rev
            }
            None if is_ended(app, id, customer).await? => return Ok(true),
            None if !was_running => return Ok(false),
            None => 0,
        };
        if app
            .plat
            .txn(&end_txn(app, id, customer, revision).await?)
            .await?
            != TxnOutcome::Conflict
        {
            return Ok(true);
        }
    }
    Err(PlatError::NoAnswer)
}

async fn end_txn(app: &App, id: &str, customer: &Name, revision: i64) -> Result<Txn, PlatError> {
    let prefix = keys::step_prefix(id);
    let prefix_end = String::from_utf8(plat::proto::prefix_end(prefix.as_bytes()));
    let prefix_end = prefix_end.map_err(|_| PlatError::Garbled)?;
    let end = Put {
        key: end_key(id),
        value: customer.as_bytes().to_vec(),
        lease: app.plat.grant(STEP_TTL).await?.id,
    };
    Ok(Txn {
        guards: vec![
            Guard::on(keys::step_head(id), revision),
            Guard::Absent(end_key(id)),
        ],
        puts: vec![end],
        deletes: vec![Delete::Span(prefix, prefix_end)],
    })
}

/// Keeps an ended step in memory until its end is stored at the platform, by any instance. Until
/// then the end is not acknowledged to any caller, and callers repeat it.
pub(super) fn end_later(app: &Arc<App>, step: Arc<ActiveStep>) {
    let app = app.clone();
    tokio::spawn(async move {
        let (id, customer) = (step.id(), step.customer());
        loop {
            tokio::time::sleep(RETRY_DELAY).await;
            let result = match is_ended(&app, id, customer).await {
                Ok(false) => end(&app, id, customer, true).await,
                result => result,
            };
            if result.is_ok() {
                app.steps.stop(id);
                return;
            }
        }
    });
}
