//! A fleet that runs in this process.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use contract::ini;
use control::Controller;
use eyre::bail;
use operate::ApplyOutcome;
use operate::Contracts;
use operate::Fleet;
use serve::RunningInstance;
use serve::settings::Peer;
use tokio::net::TcpListener;
use wire::peer::Secret;

use crate::RigConfig;
use crate::Standins;
use crate::standins::PEER_SECRET;
use crate::standins::loopback_addr;

/// Time within which a revision must be in force on every entry.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(19);

/// Time within which the address of a killed entry must be free again.
const REBIND_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause between two checks of a condition that is waited for.
const CHECK_PAUSE: Duration = Duration::from_millis(10);

/// Adds the weight caches of an entry's failure domain to its settings, and a directory if the entry is a cache itself.
fn with_cache(
    text: &str,
    name: &str,
    domain: &str,
    addr: SocketAddr,
    caches: &[(&str, SocketAddr)],
) -> String {
    let local = caches.iter().filter(|(of, _)| *of == domain);
    let list: Vec<_> = local.map(|(_, addr)| addr.to_string()).collect();
    if list.is_empty() {
        return text.to_owned();
    }
    let mut lines = format!("[weights]\ncaches = {}\n", list.join(", "));
    if caches.iter().any(|(_, cache)| *cache == addr) {
        let folder = std::env::temp_dir().join(format!("snipeway-cache-{name}-{}", addr.port()));
        lines += &format!("folder = {}\n", folder.display());
    }
    text.replace("[weights]\n", &lines)
}

/// A fleet that runs in this process.
pub struct Rig {
    /// The stand-ins.
    pub standins: Standins,
    /// The entries; [`None`] for one that was killed.
    pub entries: Vec<Option<RunningInstance>>,
    /// The controllers that run beside the entries.
    pub controllers: Vec<Controller>,
    /// Settings text and address of each entry, in the order of `entries`.
    pub entry_settings: Vec<(String, SocketAddr)>,
}

impl Rig {
    /// Starts a fleet and applies the contracts of its configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if a part cannot start, or if the contracts are not in force after 19 s.
    pub async fn start(config: &RigConfig) -> eyre::Result<Self> {
        let standins = Standins::start(config).await?;
        let mut sockets = Vec::new();
        let mut text = standins.shared.clone();
        for domain in &config.domains {
            for index in 0..config.entries {
                let listener = TcpListener::bind(loopback_addr()).await?;
                let addr = listener.local_addr()?;
                let name = format!("{domain}-{index}");
                text += &format!("[peer {name}]\ndomain = {domain}\naddress = {addr}\n");
                sockets.push((name, *domain, listener, addr));
            }
        }
        let caches: Vec<_> = sockets
            .iter()
            .filter(|(name, ..)| config.with_cache && name.ends_with("-0"))
            .map(|(_, domain, _, addr)| (*domain, *addr))
            .collect();
        let mut rig = Self {
            standins,
            entries: Vec::new(),
            controllers: Vec::new(),
            entry_settings: Vec::new(),
        };
        for (name, domain, listener, addr) in sockets {
            let me = format!("[instance]\nname = {name}\ndomain = {domain}\nlisten = {addr}\n");
            let file = format!("{}{me}", with_cache(&text, &name, domain, addr, &caches));
            let settings = serve::settings::read(&name, &file)?;
            let entry = RunningInstance::start_on(listener, settings)?;
            if config.with_control {
                let controller = Controller::start(&entry.app.settings, entry.addr);
                rig.controllers.push(controller);
            }
            rig.entries.push(Some(entry));
            rig.entry_settings.push((file, addr));
        }
        rig.apply(&config.contracts).await?;
        Ok(rig)
    }

    /// Returns a client for the contracts that the platform stores.
    pub fn contracts(&self) -> Contracts {
        Contracts::new(plat::Client::new(vec![self.standins.platform.host.addr]))
    }

    /// Applies contracts, waits until they are in force on every entry that runs, and returns their newest revision.
    ///
    /// # Errors
    ///
    /// Returns an error if a contract is invalid or not applied, or if one is not in force after 19 s.
    pub async fn apply(&self, texts: &[String]) -> eyre::Result<i64> {
        let mut newest = 0;
        for text in texts {
            let contract = ini::parse("rig", text)?;
            match self.contracts().apply("rig", None, contract).await? {
                ApplyOutcome::InForce(rev) | ApplyOutcome::Unchanged(rev) => {
                    newest = newest.max(rev)
                }
                other => bail!("a contract was not applied: {other:?}"),
            }
        }
        self.wait_for_revision(newest).await?;
        Ok(newest)
    }

    /// Waits until a revision is in force on every entry that runs, and returns how long that took.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not in force after 19 s.
    pub async fn wait_for_revision(&self, rev: i64) -> eyre::Result<Duration> {
        let start = Instant::now();
        while self
            .running()
            .any(|entry| entry.app.newest_revision() < rev)
        {
            if start.elapsed() > PROPAGATION_TIMEOUT {
                bail!("revision {rev} is not in force everywhere after {PROPAGATION_TIMEOUT:?}");
            }
            tokio::time::sleep(CHECK_PAUSE).await;
        }
        Ok(start.elapsed())
    }

    /// Returns the entries that run.
    pub fn running(&self) -> impl Iterator<Item = &RunningInstance> {
        self.entries.iter().flatten()
    }

    /// Returns the addresses of the entries that run.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.running().map(|entry| entry.addr).collect()
    }

    /// Returns an operator's client for the entries that run.
    pub fn fleet(&self) -> Fleet {
        let peers = self.running().map(|entry| Peer {
            name: entry.app.settings.me.name.clone(),
            domain: entry.app.settings.me.domain.clone(),
            address: entry.addr,
        });
        Fleet::new(peers.collect(), Secret::new(PEER_SECRET))
    }

    /// Stops the entry at `index` abruptly, as a crash does.
    pub fn kill(&mut self, index: usize) {
        if let Some(entry) = self.entries[index].take() {
            entry.kill();
        }
    }

    /// Restarts the killed entry at `index`, with its former address.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot start.
    pub async fn restart(&mut self, index: usize) -> eyre::Result<()> {
        let settings = serve::settings::read("rig", &self.entry_settings[index].0)?;
        // The killed entry's socket closes only when its tasks are dropped, which is shortly after the kill.
        let start = Instant::now();
        loop {
            match RunningInstance::start(settings.clone()).await {
                Ok(entry) => {
                    self.entries[index] = Some(entry);
                    return Ok(());
                }
                Err(error) if start.elapsed() > REBIND_TIMEOUT => return Err(error.into()),
                Err(_) => tokio::time::sleep(CHECK_PAUSE).await,
            }
        }
    }

    /// Stops the controllers, then drains and stops every entry.
    ///
    /// # Errors
    ///
    /// Returns an error if an entry aborted requests.
    pub async fn shutdown(self) -> eyre::Result<()> {
        for controller in self.controllers {
            controller.stop().await;
        }
        let entries = self.entries.into_iter().flatten();
        let drains: Vec<_> = entries.map(|entry| tokio::spawn(entry.drain())).collect();
        for drain in drains {
            if !drain.await? {
                bail!("an entry cut requests off when it left");
            }
        }
        Ok(())
    }
}
