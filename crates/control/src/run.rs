//! Starts the controller of one instance and runs it until SIGTERM.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use args::ParsedArgs;
use clock::Clock;
use kernel::Map;
use kernel::Name;
use plat::Client;
use route::UpstreamKind;
use route::UpstreamSpec;
use serve::Settings;
use tokio::task::JoinHandle;
use wire::peer;
use wire::peer::Status;

use crate::rollout::WeightRollout;
use crate::sources::WeightSources;

/// Time between two checks of whether the local entry has become the reader.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a status request to the local entry.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Path of the entry's status.
const STATUS_PATH: &str = "/operator/status";

/// Runs the program.
///
/// # Errors
///
/// Returns an error when the settings are invalid or the process cannot start.
pub fn run(parsed: ParsedArgs) -> eyre::Result<()> {
    let file: String = parsed.require("config", "a file")?;
    let settings = serve::settings::read(&file, &conf::load(&file)?)?;
    logs::init(&settings.logs)?;
    args::program::block_on(async {
        let controller = Controller::start(&settings, settings.me.address);
        serve::server::wait_for_termination().await;
        controller.stop().await;
        Ok(())
    })
}

/// The control tasks of one instance.
pub struct Controller {
    tasks: Vec<JoinHandle<()>>,
}

/// Time that [`Controller::stop`] waits for leases to be revoked.
const REVOKE_WAIT: Duration = Duration::from_millis(300);

impl Controller {
    /// Starts a control task for each model that has engines in this instance's failure domain;
    /// `entry_addr` is the address of the local entry.
    pub fn start(settings: &Settings, entry_addr: SocketAddr) -> Self {
        let platform = Client::new(settings.platform.clone());
        let http = net::Client::new();
        let clock = Clock::default();
        let mut engines: Map<Name, Vec<UpstreamSpec>> = Map::default();
        for spec in &settings.upstreams {
            if spec.kind == UpstreamKind::Engine && spec.domain == settings.me.domain {
                engines
                    .entry(spec.pool.clone())
                    .or_default()
                    .push(spec.clone());
            }
        }
        let local_entry = Arc::new(LocalEntry {
            entry_addr,
            http: http.clone(),
            secret: settings.secret.clone(),
        });
        let rollouts = engines.into_iter().map(|(model, engines)| WeightRollout {
            model,
            domain: settings.me.domain.clone(),
            instance: settings.me.name.clone(),
            engines,
            sources: WeightSources::new(&settings.weights),
            platform: platform.clone(),
            http: http.clone(),
            clock,
        });
        let tasks = rollouts
            .map(|rollout| tokio::spawn(run_while_reader(rollout, local_entry.clone())))
            .collect();
        Self { tasks }
    }

    /// Aborts the control tasks and revokes their leases.
    pub async fn stop(self) {
        self.tasks.iter().for_each(JoinHandle::abort);
        tokio::time::sleep(REVOKE_WAIT).await;
    }
}

/// Runs the rollout whenever the local entry is the reader of its failure domain.
async fn run_while_reader(rollout: WeightRollout, local_entry: Arc<LocalEntry>) {
    loop {
        if local_entry.is_reader().await {
            rollout.acquire_and_run().await;
        } else {
            tokio::time::sleep(READER_CHECK_INTERVAL).await;
        }
    }
}

/// The entry on the same instance.
struct LocalEntry {
    entry_addr: SocketAddr,
    http: net::Client,
    secret: peer::Secret,
}

impl LocalEntry {
    /// Whether the entry reads the platform for its failure domain; false if it does not respond.
    async fn is_reader(&self) -> bool {
        self.status().await.is_some_and(|status| status.reader)
    }

    async fn status(&self) -> Option<Status> {
        let bytes = serde_json::to_vec(&()).ok()?;
        let request = http::Request::post(net::client::uri(self.entry_addr, STATUS_PATH))
            .header(peer::VERSION_HEADER, peer::VERSION)
            .header(peer::MAC_HEADER, self.secret.sign(STATUS_PATH, &bytes))
            .body(bytes.into())
            .ok()?;
        let response = self
            .http
            .fetch(request, STATUS_TIMEOUT, 1 << 20)
            .await
            .ok()?;
        serde_json::from_slice(response.body()).ok()
    }
}
