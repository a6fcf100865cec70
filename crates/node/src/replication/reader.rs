//! Reads the configuration and the lists from the platform.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use plat::Listing;
use plat::PagedList;
use plat::PlatError;
use spread::timing;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;

use super::CRASH_RECORDS_PREFIX;
use super::applied_state::AppliedState;
use super::confirmation;
use crate::App;
use crate::member;

/// Time for which a read of the list waits for the members.
const MEMBERS_WAIT: Duration = Duration::from_millis(100);

/// Reads the platform's state, page by page where lists are long.
pub(super) struct PlatformReader {
    /// Number of reads so far.
    reads: u64,
    /// The list of upstreams.
    upstreams: PagedList,
    /// The records of requests that crash upstreams.
    crashes: PagedList,
    /// The last deletion of expired records.
    deletion: Option<JoinHandle<()>>,
    /// The last read of the members.
    members: Option<JoinHandle<()>>,
}

impl PlatformReader {
    pub(super) fn new(app: &App) -> Self {
        Self {
            reads: 0,
            upstreams: PagedList::new(app.dialect.store_keys().upstreams),
            crashes: PagedList::new(CRASH_RECORDS_PREFIX),
            deletion: None,
            members: None,
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
        self.delete_expired(app, &records);
        list.join(records);
        self.reads += 1;
        if self.reads % timing::READS_PER_MEMBER_READ == 1 {
            self.read_members(app).await;
        }
        // The age counts from the end of the read. If it counted from the start, a read that takes longer than the
        // largest age of an update would never be passed on, and every instance would read the platform.
        let now = app.clock.now();
        let changes = app.update_replica(|replica| replica.apply_read(list, rand::random(), now));
        applied.apply_changes(app, changes);
        match config {
            // The platform answers again.
            None => confirmation::confirm(app).await,
            Some(config) => config,
        }
    }

    /// Deletes the expired ones of these records, unless earlier deletions are still under way. The next read does not
    /// wait for that.
    fn delete_expired(&mut self, app: &Arc<App>, records: &Listing) {
        if self
            .deletion
            .as_ref()
            .is_some_and(|task| !task.is_finished())
        {
            return;
        }
        let (app, records) = (app.clone(), records.items.clone());
        self.deletion = Some(tokio::spawn(async move {
            crash::report::delete_expired(&app.plat, &records, app.clock.wall()).await;
        }));
    }

    /// Reads the members unless an earlier read is still under way. The list of upstreams is useful without them and
    /// waits for them only for a moment, so that usually one update has both.
    async fn read_members(&mut self, app: &Arc<App>) {
        if self
            .members
            .as_ref()
            .is_some_and(|task| !task.is_finished())
        {
            return;
        }
        let app = app.clone();
        let task = self.members.insert(tokio::spawn(async move {
            match member::list_members(&app).await {
                Ok(members) => {
                    let now = app.clock.now();
                    app.update_replica(|replica| replica.set_members(members, now));
                }
                Err(error) => member::log_read_failure(&error),
            }
        }));
        // The task goes on if it takes longer.
        let _ = timeout(MEMBERS_WAIT, task).await;
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
