//! What the platform keeps of a step: who opened it, its prompts, and its end.
//!
//! It is written once and never changed: what was delivered stands in the trainer's cursor. So a
//! step costs a handful of writes, whatever the number of its samples and pulls.
//!
//! The head is there while the step is open, and only then: the end is written and the head removed
//! in one transaction, and nothing of a step is written where its end is. So whoever finds a head
//! may begin the step, and a write that takes effect late brings none back.

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

use super::work::Work;
use crate::App;

/// Bytes of one part; the platform takes values of up to a megabyte.
const PART: usize = 256 << 10;

/// Time after which the platform forgets a step that nobody ended, and the end of one: a head that
/// is saved behind the end was sent before it, and is long gone by then.
const TTL: kernel::Millis = 6 * kernel::time::HOUR;

/// Pause between two tries to save a step, or its end.
const PAUSE: Duration = Duration::from_secs(2);

/// Tries to write an end while others write to the step.
const TRIES: u32 = 3;

/// What the platform keeps of a step.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct Head {
    pub(super) customer: Name,
    pub(super) spec: Spec,
    /// Parts that hold the prompts, which the head itself leaves out.
    pub(super) parts: usize,
}

/// What came of saving a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Saved {
    /// It is at the platform.
    Whole,
    /// It has ended, and is not.
    Ended,
}

/// The key of the end of a step, whose value is the customer.
fn ended(id: &str) -> String {
    format!("{}ended/{id}", keys::ROOT)
}

/// Writes a step. The head comes last, so that a step with a head is whole.
pub(super) async fn save(app: &App, id: &str, head: &Head) -> Result<Saved, PlatError> {
    let prompts = serde_json::to_vec(&head.spec.prompts).map_err(|_| PlatError::Garbled)?;
    let lease = app.plat.grant(TTL).await?.id;
    let put = |key: String, value: Vec<u8>| Txn {
        guards: vec![Guard::Absent(ended(id))],
        puts: vec![Put { key, value, lease }],
        ..Txn::default()
    };
    let mut parts = 0;
    for part in prompts.chunks(PART) {
        let key = keys::step_part(id, parts);
        app.plat.txn(&put(key, part.to_vec())).await?;
        parts += 1;
    }
    let mut head = head.clone();
    head.parts = parts;
    head.spec.prompts = Vec::new();
    let value = serde_json::to_vec(&head).map_err(|_| PlatError::Garbled)?;
    match app.plat.txn(&put(keys::step_head(id), value)).await? {
        TxnOutcome::At(_) => Ok(Saved::Whole),
        TxnOutcome::Conflict => Ok(Saved::Ended),
    }
}

/// Goes on trying to save a step that was opened while the platform was away.
pub(super) fn save_later(app: &Arc<App>, id: &str, head: Head, work: &Arc<Work>) {
    let (app, id, work) = (app.clone(), id.to_owned(), work.clone());
    tokio::spawn(async move {
        while !work.is_cancelled() {
            tokio::time::sleep(PAUSE).await;
            match save(&app, &id, &head).await {
                Ok(Saved::Whole) => work.note("saved at the platform".into()),
                Ok(Saved::Ended) => drop(work.cancel()),
                Err(_) => continue,
            }
            return;
        }
    });
}

/// Reads a step; [`None`] when there is none.
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

/// Tells whether a step of a customer has ended.
pub(super) async fn is_ended(app: &App, id: &str, customer: &Name) -> Result<bool, PlatError> {
    let item = app.plat.get(&ended(id)).await?;
    Ok(item.is_some_and(|item| item.value == customer.as_bytes()))
}

/// Writes the end of a step of a customer, and removes the rest; tells whether it has ended.
///
/// A step that is not at the platform ends only if an instance works on it: else there is none.
pub(super) async fn end(
    app: &App,
    id: &str,
    customer: &Name,
    is_known: bool,
) -> Result<bool, PlatError> {
    for _ in 0..TRIES {
        let rev = match app.plat.get(&keys::step_head(id)).await? {
            Some(item) => {
                let head: Head =
                    serde_json::from_slice(&item.value).map_err(|_| PlatError::Garbled)?;
                if head.customer != *customer {
                    return Ok(false);
                }
                item.rev
            }
            None if is_ended(app, id, customer).await? => return Ok(true),
            None if !is_known => return Ok(false),
            None => 0,
        };
        if app.plat.txn(&ending(app, id, customer, rev).await?).await? != TxnOutcome::Conflict {
            return Ok(true);
        }
    }
    Err(PlatError::NoAnswer)
}

async fn ending(app: &App, id: &str, customer: &Name, rev: i64) -> Result<Txn, PlatError> {
    let prefix = keys::step_prefix(id);
    let behind = String::from_utf8(plat::proto::prefix_end(prefix.as_bytes()));
    let behind = behind.map_err(|_| PlatError::Garbled)?;
    let end = Put {
        key: ended(id),
        value: customer.as_bytes().to_vec(),
        lease: app.plat.grant(TTL).await?.id,
    };
    Ok(Txn {
        guards: vec![
            Guard::on(keys::step_head(id), rev),
            Guard::Absent(ended(id)),
        ],
        puts: vec![end],
        deletes: vec![Delete::Span(prefix, behind)],
    })
}

/// Keeps a step that ended here in memory until its end is at the platform, whoever writes it: as
/// long as it is not, the end is acknowledged to nobody, and comes again.
pub(super) fn end_later(app: &Arc<App>, work: Arc<Work>) {
    let app = app.clone();
    tokio::spawn(async move {
        let (id, customer) = (work.id(), work.customer());
        loop {
            tokio::time::sleep(PAUSE).await;
            let done = match is_ended(&app, id, customer).await {
                Ok(false) => end(&app, id, customer, true).await,
                done => done,
            };
            if done.is_ok() {
                app.steps.stop(id);
                return;
            }
        }
    });
}
