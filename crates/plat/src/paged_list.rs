//! Concurrent reads of a list that spans many pages.
//!
//! Load pattern: a list of thousands of keys spans dozens of pages. When the platform was slow, reading them one after
//! the other took longer than a change may go unnoticed. The duration of a read should not grow with the list.

use futures_util::StreamExt;
use futures_util::TryStreamExt;
use futures_util::stream;

use crate::Client;
use crate::Item;
use crate::PlatError;
use crate::call::Listing;

/// Maximum number of concurrent calls of one read of a list.
pub const MAX_CONCURRENT_READS: usize = 16;

/// A list of keys that is read repeatedly.
#[derive(Clone, Debug)]
pub struct PagedList {
    prefix: Box<str>,
    /// Keys that divide the list into ranges of about one page each, chosen from the keys of the last read.
    split_keys: Vec<String>,
    /// Maximum number of items that a page has had so far.
    page_size: usize,
}

/// An empty listing to which pages are added.
fn empty_listing() -> Listing {
    Listing {
        since: i64::MAX,
        ..Listing::default()
    }
}

/// The keys after `after`, up to and including `end`.
struct KeyRange {
    after: Option<String>,
    end: Option<String>,
}

impl PagedList {
    /// Creates a list of the keys with a prefix, without reading it.
    pub fn new(prefix: &str) -> Self {
        Self {
            prefix: prefix.into(),
            split_keys: Vec::new(),
            page_size: 0,
        }
    }

    /// Reads the whole list, several ranges of it concurrently.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`].
    pub async fn read(&mut self, plat: &Client) -> Result<Listing, PlatError> {
        let prefix = &*self.prefix;
        let reads = self
            .key_ranges()
            .into_iter()
            .map(|range| range.read(plat, prefix));
        let reads = stream::iter(reads).buffered(MAX_CONCURRENT_READS);
        let parts: Vec<(Listing, usize)> = reads.try_collect().await?;
        let mut all = empty_listing();
        for (part, page) in parts {
            all.join(part);
            self.page_size = self.page_size.max(page);
        }
        self.choose_splits(&all.items);
        Ok(all)
    }

    fn key_ranges(&self) -> Vec<KeyRange> {
        let begins = std::iter::once(None).chain(self.split_keys.iter().cloned().map(Some));
        let ends = self.split_keys.iter().cloned().map(Some);
        let ends = ends.chain(std::iter::once(None));
        let ranges = begins.zip(ends);
        ranges.map(|(after, end)| KeyRange { after, end }).collect()
    }

    /// Chooses the keys at which the next read divides the list.
    fn choose_splits(&mut self, items: &[Item]) {
        let last = items.len().saturating_sub(1);
        let splits = items.iter().take(last).skip(self.page_size.max(1) - 1);
        let splits = splits.step_by(self.page_size.max(1));
        self.split_keys = splits.map(|item| item.key.clone()).collect();
    }
}

impl KeyRange {
    /// Reads the range page by page; returns it with the number of items of its largest page.
    async fn read(self, plat: &Client, prefix: &str) -> Result<(Listing, usize), PlatError> {
        let mut all = empty_listing();
        let (mut after, mut page_size) = (self.after, 0);
        loop {
            let page = plat.page(prefix, after).await?;
            all.since = all.since.min(page.rev);
            page_size = page_size.max(page.items.len());
            let last = page.items.last().map(|item| item.key.clone());
            let in_range = |item: &Item| self.end.as_ref().is_none_or(|end| item.key <= *end);
            all.items.extend(page.items.into_iter().filter(in_range));
            let last_and_end = last.as_ref().zip(self.end.as_ref());
            let reached_end = last_and_end.is_some_and(|(last, end)| last >= end);
            if last.is_none() || !page.more || reached_end {
                return Ok((all, page_size));
            }
            after = last;
        }
    }
}
