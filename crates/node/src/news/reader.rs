//! Reading the configuration and the lists from the platform.

use std::time::Duration;

use plat::Listing;
use plat::PagedList;
use plat::PlatError;
use spread::timing;
use tokio::time::sleep;

use super::CRASH_REPORTS_PREFIX;
use super::intake::AppliedState;
use crate::App;
use crate::member;

/// Whoever reads the platform.
pub(super) struct PlatformReader {
    /// Reads so far.
    reads: u64,
    /// The list of upstreams.
    upstreams: PagedList,
    /// What instances have seen of requests that crash upstreams.
    crashes: PagedList,
}

impl PlatformReader {
    pub(super) fn new(app: &App) -> Self {
        Self {
            reads: 0,
            upstreams: PagedList::new(app.dialect.store_keys().upstreams),
            crashes: PagedList::new(CRASH_REPORTS_PREFIX),
        }
    }

    /// Reads the configuration first: it must not wait for a long list.
    pub(super) async fn read(
        &mut self,
        app: &App,
        intake: &mut AppliedState,
    ) -> Result<(), PlatError> {
        read_config(app, intake).await?;
        let (seen, mut list) = self.read_lists(app, intake).await?;
        crash::report::delete_expired(&app.plat, &seen.items, app.clock.wall()).await;
        list.join(seen);
        self.reads += 1;
        // Without them this read is as good.
        let members = match self.reads % timing::READS_PER_MEMBER_READ == 1 {
            true => member::list_members(app).await.ok(),
            false => None,
        };
        // Counted from the end of the read: one that takes longer than news may be old would never be passed on, and
        // everybody would read.
        let now = app.clock.now();
        let changes = app.update_replica(|board| {
            if let Some(members) = members {
                board.set_members(members, now);
            }
            board.apply_read(list, rand::random(), now)
        });
        intake.apply_changes(app, changes);
        Ok(())
    }

    /// Reads what instances have seen of requests that crash upstreams, and the list of upstreams.
    async fn read_lists(
        &mut self,
        app: &App,
        intake: &mut AppliedState,
    ) -> Result<(Listing, Listing), PlatError> {
        // Whoever is ready must know which requests crash upstreams, also after a start. Read one after the
        // other they would make each round longer by a call, which takes a third of a second at a busy store.
        let lists =
            async { tokio::join!(self.crashes.read(&app.plat), self.upstreams.read(&app.plat)) };
        tokio::pin!(lists);
        loop {
            tokio::select! {
                (seen, list) = &mut lists => return Ok((seen?, list?)),
                // A list of thousands takes seconds at a busy platform, and a configuration must be in force by then.
                () = sleep(Duration::from_millis(timing::READ_INTERVAL)) => read_config(app, intake).await?,
            }
        }
    }
}

async fn read_config(app: &App, intake: &mut AppliedState) -> Result<(), PlatError> {
    let plan = app.plat.get(app.dialect.store_keys().configuration).await?;
    if app.update_replica(|board| board.set_configuration(plan)) {
        intake.apply_config(app);
    }
    Ok(())
}
