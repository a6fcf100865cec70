//! Cache of the results of a step that another instance runs.
//!
//! Results at the platform never change, so a cached result stays valid. Only the absence of a result can be out of
//! date, and is reported only after a read of the newest state.
//!
//! Results are read page by page, and a reader gets the first page that has a result for it. Pages stay cached when
//! the reader disconnects meanwhile, so that the next one continues from there.

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

/// Distances before the requested position at which reading starts, tried in turn before it starts with the first
/// result. A reader mostly requests the first position of a segment; any other position is in a segment of some
/// dozen results that starts a little earlier.
const SEEK_OFFSETS: [usize; 2] = [0, 64];

/// Caches the results of one step.
#[derive(Debug)]
pub struct ResultCache {
    step: Arc<str>,
    total: u32,
    results: Mutex<CachedResults>,
}

#[derive(Debug, Default)]
struct CachedResults {
    window: Window,
    /// The revision of the platform at the last read.
    rev: i64,
    last_used: Millis,
}

/// Results from a position on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResultPage {
    /// Number of samples of the step.
    pub total: u32,
    /// The results.
    pub entries: Vec<Entry>,
}

impl ResultPage {
    /// Builds the reply to a caller that requested results from a position on.
    pub(crate) fn reply(&self, app: &App, from: usize) -> Reply {
        let bytes = app.dialect.encode_page(self.total, from, &self.entries);
        body::reply(StatusCode::OK, "application/json", bytes)
    }
}

impl ResultCache {
    /// Creates an empty cache for a step from its head.
    pub fn new(step: Arc<str>, head: &Head) -> Self {
        Self {
            step,
            total: head.total,
            results: Mutex::default(),
        }
    }

    /// Returns when it was last used.
    pub async fn last_used(&self) -> Millis {
        self.results.lock().await.last_used
    }

    /// Reads results from a position on, and waits up to `wait` milliseconds for the first.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`] when none are cached and the platform does not answer.
    pub async fn page(
        &self,
        app: &App,
        from: usize,
        wait: Millis,
    ) -> Result<ResultPage, PlatError> {
        let plat = &app.plat;
        let mut results = self.results.lock().await;
        results.last_used = app.clock.now();
        if from < self.total as usize
            && results
                .window
                .entries_from(from)
                .is_none_or(<[_]>::is_empty)
        {
            if !results.window.covers(from) {
                self.seek(plat, &mut results, from).await?;
            } else if results.rev > 0 && wait > 0 {
                self.wait_for_segment(plat, &mut results, wait).await?;
            }
            // A watch may miss a result that exists and that other instances have read.
            self.read_until(plat, &mut results, from).await?;
        }
        results.window.trim(from);
        let entries = results
            .window
            .entries_from(from)
            .unwrap_or_default()
            .to_vec();
        Ok(ResultPage {
            total: self.total,
            entries,
        })
    }

    /// Restarts the cache at a segment that starts at or before a position, as close to it as can be found.
    async fn seek(
        &self,
        plat: &Client,
        results: &mut CachedResults,
        from: usize,
    ) -> Result<(), PlatError> {
        let prefix = keys::segments_prefix(&self.step);
        for distance in SEEK_OFFSETS {
            let Some(before) = from.checked_sub(distance + 1) else {
                break;
            };
            let after = keys::segment(&self.step, before as u32);
            let page = plat.page(&prefix, Some(after)).await?;
            let first = page.items.first();
            let first = first.and_then(|item| keys::segment_start(&self.step, &item.key));
            if let Some(first) = first.filter(|first| *first as usize <= from) {
                results.window = Window::starting_at(first as usize);
                return self.add_range(results, &page);
            }
        }
        results.window = Window::default();
        Ok(())
    }

    /// Reads page after page until there is a result for a position or no page is left. The last page is the newest
    /// state, so an empty one shows that there is no result.
    async fn read_until(
        &self,
        plat: &Client,
        results: &mut CachedResults,
        from: usize,
    ) -> Result<(), PlatError> {
        let prefix = keys::segments_prefix(&self.step);
        while results.window.end() <= from {
            let last = results.window.newest_segment();
            let after = last.map(|last| keys::segment(&self.step, last as u32));
            let page = plat.page(&prefix, after).await?;
            self.add_range(results, &page)?;
            results.window.trim(from);
            if !page.more {
                break;
            }
        }
        Ok(())
    }

    /// Waits for the next segment after the last known revision. A segment that exists already ends the wait at
    /// once, so that one call both reads and waits.
    async fn wait_for_segment(
        &self,
        plat: &Client,
        results: &mut CachedResults,
        wait: Millis,
    ) -> Result<(), PlatError> {
        let prefix = keys::segments_prefix(&self.step);
        let Ok((changes, rev)) = plat.poll(&prefix, results.rev, wait).await else {
            // The caller reads the newest state next.
            return Ok(());
        };
        for change in &changes {
            if let Change::Put(item) = change {
                self.add_segment(results, item)?;
            }
        }
        results.rev = rev;
        Ok(())
    }

    fn add_range(&self, results: &mut CachedResults, page: &Range) -> Result<(), PlatError> {
        results.rev = page.rev;
        for item in &page.items {
            self.add_segment(results, item)?;
        }
        Ok(())
    }

    /// Adds a segment if it is the next one.
    fn add_segment(&self, results: &mut CachedResults, item: &Item) -> Result<(), PlatError> {
        let first = keys::segment_start(&self.step, &item.key).map(|first| first as usize);
        let Some(first) = first.filter(|first| *first == results.window.end()) else {
            return Ok(());
        };
        let entries: Vec<Entry> = record::decode(&item.value).map_err(|_| PlatError::Garbled)?;
        results.window.add(first, entries);
        Ok(())
    }
}
