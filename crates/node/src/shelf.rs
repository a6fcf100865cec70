//! What an instance has read of the results of a step that another one runs.
//!
//! Results at the platform never change, so whatever was read once is right for good. Only "there
//! is no result yet" can be out of date, and is said after a look at the newest state alone.

use std::sync::Arc;

use batch::Entry;
use batch::Head;
use batch::keys;
use batch::record;
use http::StatusCode;
use kernel::Millis;
use net::Reply;
use net::body;
use plat::Change;
use plat::Client;
use plat::Item;
use plat::PlatError;
use tokio::sync::Mutex;

use crate::App;

/// What an instance has read of a step's results.
#[derive(Debug)]
pub struct Shelf {
    step: Arc<str>,
    total: u32,
    read: Mutex<Results>,
}

#[derive(Debug, Default)]
struct Results {
    entries: Vec<Entry>,
    segments: u32,
    rev: i64,
    used: Millis,
}

/// Results from a position on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Samples of the step.
    pub total: u32,
    /// Segments that the results up to the end of the page stand in.
    pub segments: u32,
    /// The results.
    pub entries: Vec<Entry>,
}

impl Page {
    /// The answer to a caller, who asked for results from a position on.
    pub(crate) fn reply(&self, app: &App, from: usize) -> Reply {
        let bytes = app.dialect.page(self.total, from, &self.entries);
        body::reply(StatusCode::OK, "application/json", bytes)
    }
}

impl Shelf {
    /// Makes a shelf for a step whose head was read.
    pub fn new(step: Arc<str>, head: &Head) -> Self {
        Self {
            step,
            total: head.total,
            read: Mutex::default(),
        }
    }

    /// When it was last read from.
    pub async fn used(&self) -> Millis {
        self.read.lock().await.used
    }

    /// Reads the results from a position on, and waits up to `wait` milliseconds for the first.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`] when there are none here and the platform does not tell.
    pub async fn page(&self, app: &App, from: usize, wait: Millis) -> Result<Page, PlatError> {
        let plat = &app.plat;
        let mut read = self.read.lock().await;
        read.used = app.clock.now();
        let whole = read.entries.len() == self.total as usize;
        if read.entries.len() <= from && !whole {
            if read.rev > 0 && wait > 0 {
                self.wait(plat, &mut read, wait).await?;
            }
            // A watch may hear nothing of a result that is there, and that others have read.
            if read.entries.len() <= from {
                self.fetch(plat, &mut read).await?;
            }
        }
        let entries = read.entries.get(from..).unwrap_or_default().to_vec();
        Ok(Page {
            total: self.total,
            segments: read.segments,
            entries,
        })
    }

    /// Reads what is new. The answer is the newest state, so nothing means that there is nothing.
    async fn fetch(&self, plat: &Client, read: &mut Results) -> Result<(), PlatError> {
        let prefix = keys::segments(&self.step);
        let range = match read.segments.checked_sub(1) {
            Some(last) => {
                plat.behind(&keys::segment(&self.step, last), &prefix)
                    .await?
            }
            None => plat.list(&prefix).await?,
        };
        read.rev = range.rev;
        for item in &range.items {
            self.add(read, item)?;
        }
        Ok(())
    }

    /// Waits for the next segment, from the last known revision on: a segment that is there
    /// already ends the wait at once, so that one call does for both.
    async fn wait(&self, plat: &Client, read: &mut Results, wait: Millis) -> Result<(), PlatError> {
        let prefix = keys::segments(&self.step);
        let Ok((changes, rev)) = plat.poll(&prefix, read.rev, wait).await else {
            // What follows reads the newest state.
            return Ok(());
        };
        for change in &changes {
            if let Change::Put(item) = change {
                self.add(read, item)?;
            }
        }
        read.rev = rev;
        Ok(())
    }

    /// Takes in a segment if it is the next one.
    fn add(&self, read: &mut Results, item: &Item) -> Result<(), PlatError> {
        if item.key != keys::segment(&self.step, read.segments) {
            return Ok(());
        }
        let entries: Vec<Entry> = record::decode(&item.value).map_err(|_| PlatError::Garbled)?;
        read.entries.extend(entries);
        read.segments += 1;
        Ok(())
    }
}
