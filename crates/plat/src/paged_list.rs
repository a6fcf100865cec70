//! Reading a list of many pages, several pages at once.
//!
//! Load pattern: a list of thousands takes dozens of pages. Read one after the other they took longer than
//! news may be late whenever the platform was slow; the time of a read should not grow with the list.

use futures_util::StreamExt;
use futures_util::TryStreamExt;
use futures_util::stream;

use crate::Client;
use crate::Item;
use crate::PlatError;
use crate::call::Listing;

/// Calls that one read makes at once.
pub const MAX_CONCURRENT_READS: usize = 16;

/// A list that is read again and again.
#[derive(Clone, Debug)]
pub struct PagedList {
    prefix: Box<str>,
    /// Keys between which the list is read in pieces of about a page: some of those that it had last.
    marks: Vec<String>,
    /// Most entries that a page had.
    page: usize,
}

/// A list to which pages are added.
fn nothing() -> Listing {
    Listing {
        since: i64::MAX,
        ..Listing::default()
    }
}

/// The keys behind `after`, up to `end`.
struct Piece {
    after: Option<String>,
    end: Option<String>,
}

impl PagedList {
    /// A list of the keys with a prefix.
    pub fn new(prefix: &str) -> Self {
        Self {
            prefix: prefix.into(),
            marks: Vec::new(),
            page: 0,
        }
    }

    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`].
    pub async fn read(&mut self, plat: &Client) -> Result<Listing, PlatError> {
        let prefix = &*self.prefix;
        let reads = self
            .pieces()
            .into_iter()
            .map(|piece| piece.read(plat, prefix));
        let reads = stream::iter(reads).buffered(MAX_CONCURRENT_READS);
        let parts: Vec<(Listing, usize)> = reads.try_collect().await?;
        let mut all = nothing();
        for (part, page) in parts {
            all.join(part);
            self.page = self.page.max(page);
        }
        self.mark(&all.items);
        Ok(all)
    }

    fn pieces(&self) -> Vec<Piece> {
        let begins = std::iter::once(None).chain(self.marks.iter().cloned().map(Some));
        let ends = self.marks.iter().cloned().map(Some);
        let ends = ends.chain(std::iter::once(None));
        let pieces = begins.zip(ends);
        pieces.map(|(after, end)| Piece { after, end }).collect()
    }

    /// Notes where the next read divides the list.
    fn mark(&mut self, items: &[Item]) {
        let last = items.len().saturating_sub(1);
        let marks = items.iter().take(last).skip(self.page.max(1) - 1);
        let marks = marks.step_by(self.page.max(1));
        self.marks = marks.map(|item| item.key.clone()).collect();
    }
}

impl Piece {
    /// Reads the piece; gives with it the most entries that a page had.
    async fn read(self, plat: &Client, prefix: &str) -> Result<(Listing, usize), PlatError> {
        let mut all = nothing();
        let (mut after, mut most) = (self.after, 0);
        loop {
            let page = plat.page(prefix, after).await?;
            all.since = all.since.min(page.rev);
            most = most.max(page.items.len());
            let last = page.items.last().map(|item| item.key.clone());
            let is_in = |item: &Item| self.end.as_ref().is_none_or(|end| item.key <= *end);
            all.items.extend(page.items.into_iter().filter(is_in));
            let ends = last.as_ref().zip(self.end.as_ref());
            let is_over = ends.is_some_and(|(last, end)| last >= end);
            if last.is_none() || !page.more || is_over {
                return Ok((all, most));
            }
            after = last;
        }
    }
}
