//! What an instance has read of the results of a step that another one runs.
//!
//! Results at the platform never change, so whatever was read once is right for good. Only "there
//! is no result yet" can be out of date, and is said after a look at the newest state alone.
//!
//! Results are read page by page, and a reader is answered with the first page that has one for it. What
//! was read stays when the reader leaves meanwhile, so that the next one goes on there.

use std::sync::Arc;

use batch::Entry;
use batch::Head;
use batch::Window;
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
use plat::Range;
use tokio::sync::Mutex;

use crate::App;

/// Positions before the one that is asked for at which reading begins, in turn, before it begins with the
/// first result. A reader mostly asks for the position at which a segment begins; another one is within the
/// segment of some dozen results that begins a little before it.
const SEEK_OFFSETS: [usize; 2] = [0, 64];

/// What an instance has read of a step's results.
#[derive(Debug)]
pub struct ResultCache {
    step: Arc<str>,
    total: u32,
    results: Mutex<CachedResults>,
}

#[derive(Debug, Default)]
struct CachedResults {
    window: Window,
    /// The platform's revision at the last read.
    rev: i64,
    last_used: Millis,
}

/// Results from a position on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResultPage {
    /// Samples of the step.
    pub total: u32,
    /// The results.
    pub entries: Vec<Entry>,
}

impl ResultPage {
    /// The answer to a caller, who asked for results from a position on.
    pub(crate) fn reply(&self, app: &App, from: usize) -> Reply {
        let bytes = app.dialect.encode_page(self.total, from, &self.entries);
        body::reply(StatusCode::OK, "application/json", bytes)
    }
}

impl ResultCache {
    /// Makes a shelf for a step whose head was read.
    pub fn new(step: Arc<str>, head: &Head) -> Self {
        Self {
            step,
            total: head.total,
            results: Mutex::default(),
        }
    }

    /// When it was last read from.
    pub async fn last_used(&self) -> Millis {
        self.results.lock().await.last_used
    }

    /// Reads results from a position on, and waits up to `wait` milliseconds for the first.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`] when there are none here and the platform does not tell.
    pub async fn page(
        &self,
        app: &App,
        from: usize,
        wait: Millis,
    ) -> Result<ResultPage, PlatError> {
        let plat = &app.plat;
        let mut read = self.results.lock().await;
        read.last_used = app.clock.now();
        if from < self.total as usize && read.window.entries_from(from).is_none_or(<[_]>::is_empty)
        {
            if !read.window.covers(from) {
                self.seek(plat, &mut read, from).await?;
            } else if read.rev > 0 && wait > 0 {
                self.wait_for_segment(plat, &mut read, wait).await?;
            }
            // A watch may hear nothing of a result that is there, and that others have read.
            self.read_until(plat, &mut read, from).await?;
        }
        read.window.trim(from);
        let entries = read.window.entries_from(from).unwrap_or_default().to_vec();
        Ok(ResultPage {
            total: self.total,
            entries,
        })
    }

    /// Begins anew at a segment that does not begin behind a position, as near to it as it is found.
    async fn seek(
        &self,
        plat: &Client,
        read: &mut CachedResults,
        from: usize,
    ) -> Result<(), PlatError> {
        let prefix = keys::segments_prefix(&self.step);
        for back in SEEK_OFFSETS {
            let Some(before) = from.checked_sub(back + 1) else {
                break;
            };
            let after = keys::segment(&self.step, before as u32);
            let page = plat.page(&prefix, Some(after)).await?;
            let first = page.items.first();
            let first = first.and_then(|item| keys::segment_start(&self.step, &item.key));
            if let Some(first) = first.filter(|first| *first as usize <= from) {
                read.window = Window::starting_at(first as usize);
                return self.add_range(read, &page);
            }
        }
        read.window = Window::default();
        Ok(())
    }

    /// Reads page after page until there is a result for a position or none is left. The last answer is
    /// the newest state, so nothing means that there is nothing.
    async fn read_until(
        &self,
        plat: &Client,
        read: &mut CachedResults,
        from: usize,
    ) -> Result<(), PlatError> {
        let prefix = keys::segments_prefix(&self.step);
        while read.window.end() <= from {
            let last = read.window.newest_segment();
            let after = last.map(|last| keys::segment(&self.step, last as u32));
            let page = plat.page(&prefix, after).await?;
            self.add_range(read, &page)?;
            read.window.trim(from);
            if !page.more {
                break;
            }
        }
        Ok(())
    }

    /// Waits for the next segment, from the last known revision on: a segment that is there
    /// already ends the wait at once, so that one call does for both.
    async fn wait_for_segment(
        &self,
        plat: &Client,
        read: &mut CachedResults,
        wait: Millis,
    ) -> Result<(), PlatError> {
        let prefix = keys::segments_prefix(&self.step);
        let Ok((changes, rev)) = plat.poll(&prefix, read.rev, wait).await else {
            // What follows reads the newest state.
            return Ok(());
        };
        for change in &changes {
            if let Change::Put(item) = change {
                self.add_segment(read, item)?;
            }
        }
        read.rev = rev;
        Ok(())
    }

    fn add_range(&self, read: &mut CachedResults, page: &Range) -> Result<(), PlatError> {
        read.rev = page.rev;
        for item in &page.items {
            self.add_segment(read, item)?;
        }
        Ok(())
    }

    /// Takes in a segment if it is the next one.
    fn add_segment(&self, read: &mut CachedResults, item: &Item) -> Result<(), PlatError> {
        let first = keys::segment_start(&self.step, &item.key).map(|first| first as usize);
        let Some(first) = first.filter(|first| *first == read.window.end()) else {
            return Ok(());
        };
        let entries: Vec<Entry> = record::decode(&item.value).map_err(|_| PlatError::Garbled)?;
        read.window.add(first, entries);
        Ok(())
    }
}
