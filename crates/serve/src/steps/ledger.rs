//! What the platform keeps of a step: who opened it, and its prompts.
//!
//! It is written once and never changed: what was delivered stands in the trainer's cursor. So a
//! step costs a handful of writes, whatever the number of its samples and pulls.

use std::sync::Arc;
use std::time::Duration;

use kernel::Name;
use plat::Done;
use plat::PlatError;
use plat::Put;
use plat::Txn;
use plat::keys;
use serde::Deserialize;
use serde::Serialize;
use step::Spec;

use super::work::Work;
use crate::App;

/// Bytes of one part; the platform takes values of up to a megabyte.
const PART: usize = 256 << 10;

/// Time after which the platform forgets a step that nobody ended.
const TTL: kernel::Millis = 6 * kernel::time::HOUR;

/// Pause between two tries to save a step.
const PAUSE: Duration = Duration::from_secs(2);

/// What the platform keeps of a step.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct Head {
    pub(super) customer: Name,
    pub(super) spec: Spec,
    /// Parts that hold the prompts, which the head itself leaves out.
    pub(super) parts: usize,
}

/// Writes a step. The head comes last, so that a step with a head is whole.
pub(super) async fn save(app: &App, id: &str, head: &Head) -> Result<(), PlatError> {
    let prompts = serde_json::to_vec(&head.spec.prompts).map_err(|_| PlatError::Garbled)?;
    let lease = app.plat.grant(TTL).await?.id;
    let put = |key: String, value: Vec<u8>| Txn {
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
    app.plat.txn(&put(keys::step(id), value)).await.map(drop)
}

/// Goes on trying to save a step that was opened while the platform was away.
pub(super) fn save_later(app: &Arc<App>, id: &str, head: Head, work: &Arc<Work>) {
    let (app, id, work) = (app.clone(), id.to_owned(), work.clone());
    tokio::spawn(async move {
        while !work.is_cancelled() {
            tokio::time::sleep(PAUSE).await;
            if save(&app, &id, &head).await.is_ok() {
                work.note("saved at the platform".into());
                return;
            }
        }
    });
}

/// Reads a step; [`None`] when there is none.
pub(super) async fn load(app: &App, id: &str) -> Result<Option<Head>, PlatError> {
    let range = app.plat.list(&keys::step_all(id)).await?;
    let key = keys::step(id);
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

/// Removes a step of a customer; tells whether there was one.
pub(super) async fn remove(app: &App, id: &str, customer: &Name) -> Result<bool, PlatError> {
    match load(app, id).await? {
        Some(head) if head.customer == *customer => (),
        _ => return Ok(false),
    }
    let prefix = keys::step_all(id);
    let end = String::from_utf8(plat::proto::end(prefix.as_bytes()));
    let end = end.map_err(|_| PlatError::Garbled)?;
    let txn = Txn {
        deletes: vec![plat::Delete::Span(prefix, end)],
        ..Txn::default()
    };
    Ok(matches!(app.plat.txn(&txn).await?, Done::At(_)))
}
