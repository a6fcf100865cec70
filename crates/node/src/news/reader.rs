//! Reading the configuration and the lists from the platform.

use std::time::Duration;

use plat::Listing;
use plat::PagedList;
use plat::PlatError;
use spread::timing;
use tokio::time::sleep;

use super::CRASHES;
use super::intake::Intake;
use crate::App;
use crate::member;

/// Whoever reads the platform.
pub(super) struct Reader {
    /// Reads so far.
    count: u64,
    /// The list of upstreams.
    upstreams: PagedList,
    /// What instances have seen of requests that crash upstreams.
    crashes: PagedList,
}

impl Reader {
    pub(super) fn new(app: &App) -> Self {
        Self {
            count: 0,
            upstreams: PagedList::new(app.dialect.store_keys().upstreams),
            crashes: PagedList::new(CRASHES),
        }
    }

    /// Reads the configuration first: it must not wait for a long list.
    pub(super) async fn read(&mut self, app: &App, intake: &mut Intake) -> Result<(), PlatError> {
        read_plan(app, intake).await?;
        let (seen, mut list) = self.lists(app, intake).await?;
        crash::report::delete_expired(&app.plat, &seen.items, app.clock.wall()).await;
        list.join(seen);
        self.count += 1;
        // Without them this read is as good.
        let members = match self.count % timing::READS_PER_MEMBER_READ == 1 {
            true => member::list_members(app).await.ok(),
            false => None,
        };
        // Counted from the end of the read: one that takes longer than news may be old would never be passed on, and
        // everybody would read.
        let now = app.clock.now();
        let changes = app.post(|board| {
            if let Some(members) = members {
                board.set_members(members, now);
            }
            board.apply_read(list, rand::random(), now)
        });
        intake.take(app, changes);
        Ok(())
    }

    /// Reads what instances have seen of requests that crash upstreams, and the list of upstreams.
    async fn lists(
        &mut self,
        app: &App,
        intake: &mut Intake,
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
                () = sleep(Duration::from_millis(timing::READ_INTERVAL)) => read_plan(app, intake).await?,
            }
        }
    }
}

async fn read_plan(app: &App, intake: &mut Intake) -> Result<(), PlatError> {
    let plan = app.plat.get(app.dialect.store_keys().configuration).await?;
    if app.post(|board| board.set_configuration(plan)) {
        intake.take_plan(app);
    }
    Ok(())
}
