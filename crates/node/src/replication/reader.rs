//! Reads the configuration and the lists from the platform.

use std::time::Duration;

use plat::Listing;
use plat::PagedList;
use plat::PlatError;
use spread::timing;
use tokio::time::sleep;

use super::CRASH_RECORDS_PREFIX;
use super::applied_state::AppliedState;
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

    /// Reads everything, the configuration first: it must not wait for a long list.
    pub(super) async fn read(
        &mut self,
        app: &App,
        applied: &mut AppliedState,
    ) -> Result<(), PlatError> {
        read_config(app, applied).await?;
        let (records, mut list) = self.read_lists(app, applied).await?;
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
        Ok(())
    }

    /// Reads the records of requests that crash upstreams, and the list of upstreams.
    async fn read_lists(
        &mut self,
        app: &App,
        applied: &mut AppliedState,
    ) -> Result<(Listing, Listing), PlatError> {
        // A ready instance must know which requests crash upstreams, also right after its start. Reading the two
        // lists one after the other would lengthen each round by a call, which takes a third of a second at a busy
        // store.
        let lists =
            async { tokio::join!(self.crashes.read(&app.plat), self.upstreams.read(&app.plat)) };
        tokio::pin!(lists);
        loop {
            tokio::select! {
                (records, list) = &mut lists => return Ok((records?, list?)),
                // A list of thousands takes seconds at a busy platform, and the configuration must be in force by
                // then.
                () = sleep(Duration::from_millis(timing::READ_INTERVAL)) => read_config(app, applied).await?,
            }
        }
    }
}

async fn read_config(app: &App, applied: &mut AppliedState) -> Result<(), PlatError> {
    let began = app.clock.now();
    let config = app.plat.get(app.dialect.store_keys().configuration).await?;
    if app.update_replica(|replica| replica.set_configuration(config, began)) {
        applied.apply_config(app);
    }
    Ok(())
}
