//! Reads the configuration and the lists from the platform.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use plat::Listing;
use plat::PagedList;
use plat::PlatError;
use spread::timing;
use tokio::time::sleep;

use super::CRASH_RECORDS_PREFIX;
use super::applied_state::AppliedState;
use super::confirmation;
use crate::App;
use crate::member;

/// Reads the platform's state, page by page where lists are long.
pub(super) struct PlatformReader {
    /// Number of reads so far.
    reads: u64,
    /// The list of upstreams.
    upstreams: PagedList,
    /// The records of requests that crash upstreams.
    crashes: PagedList,
}

impl PlatformReader {
    pub(super) fn new(app: &App) -> Self {
        Self {
            reads: 0,
            upstreams: PagedList::new(app.dialect.store_keys().upstreams),
            crashes: PagedList::new(CRASH_RECORDS_PREFIX),
        }
    }

    /// Reads everything.
    pub(super) async fn read(
        &mut self,
        app: &Arc<App>,
        applied: &mut AppliedState,
    ) -> Result<(), PlatError> {
        // Neither waits for the other, nor fails with it.
        let lists = async {
            tokio::select! {
                lists = self.read_lists(app) => lists,
                // A list of thousands takes seconds at a busy platform.
                never = confirm_repeatedly(app) => match never {},
            }
        };
        let (config, lists) = tokio::join!(confirmation::confirm_unless_failed(app), lists);
        let (records, mut list) = lists?;
        crash::report::delete_expired(&app.plat, &records.items, app.clock.wall()).await;
        list.join(records);
        self.reads += 1;
        // The read is useful without the list of members too.
        let members = match self.reads % timing::READS_PER_MEMBER_READ == 1 {
            true => member::list_members(app).await.ok(),
            false => None,
        };
        // The age counts from the end of the read. If it counted from the start, a read that takes longer than the
        // largest age of an update would never be passed on, and every instance would read the platform.
        let now = app.clock.now();
        let changes = app.update_replica(|replica| {
            if let Some(members) = members {
                replica.set_members(members, now);
            }
            replica.apply_read(list, rand::random(), now)
        });
        applied.apply_changes(app, changes);
        match config {
            // The platform answers again.
            None => confirmation::confirm(app).await,
            Some(config) => config,
        }
    }

    /// Reads the records of requests that crash upstreams, and the list of upstreams.
    async fn read_lists(&mut self, app: &App) -> Result<(Listing, Listing), PlatError> {
        // A ready instance must know which requests crash upstreams, also right after its start. Reading the two
        // lists one after the other would lengthen each round by a call, which takes a third of a second at a busy
        // store.
        let (records, list) =
            tokio::join!(self.crashes.read(&app.plat), self.upstreams.read(&app.plat));
        Ok((records?, list?))
    }
}

/// Confirms the configuration at intervals; never returns.
async fn confirm_repeatedly(app: &Arc<App>) -> Infallible {
    loop {
        sleep(Duration::from_millis(timing::READ_INTERVAL)).await;
        // An attempt that fails is logged, and the next one follows.
        drop(confirmation::confirm(app).await);
    }
}
