//! A fleet in this process.

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

use crate::Make;
use crate::Parts;
use crate::parts::SECRET;
use crate::parts::free;

/// Time in which contracts must be in force everywhere.
const SPREAD: Duration = Duration::from_secs(19);

/// Time in which the address of a killed entry must be free again.
const REBIND: Duration = Duration::from_secs(5);

/// Time between two looks at whether they are.
const LOOK: Duration = Duration::from_millis(10);

/// Adds the caches of an entry's failure domain to its settings, and its folder if it is one.
fn with_cache(
    text: &str,
    name: &str,
    domain: &str,
    addr: SocketAddr,
    caches: &[(&str, SocketAddr)],
) -> String {
    let near = caches.iter().filter(|(of, _)| *of == domain);
    let list: Vec<_> = near.map(|(_, addr)| addr.to_string()).collect();
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

/// A fleet in this process.
pub struct Rig {
    /// The stand-ins.
    pub parts: Parts,
    /// The entries; one that was killed is [`None`].
    pub entries: Vec<Option<RunningInstance>>,
    /// The entries' control.
    pub controls: Vec<Controller>,
    /// Settings and address of each entry, in their order.
    pub files: Vec<(String, SocketAddr)>,
}

impl Rig {
    /// Starts a fleet and applies its contracts.
    ///
    /// # Errors
    ///
    /// Returns an error when a part cannot start, or the contracts do not come into force.
    pub async fn start(make: &Make) -> eyre::Result<Self> {
        let parts = Parts::start(make).await?;
        let mut sockets = Vec::new();
        let mut text = parts.shared.clone();
        for domain in &make.domains {
            for at in 0..make.entries {
                let listener = TcpListener::bind(free()).await?;
                let addr = listener.local_addr()?;
                let name = format!("{domain}-{at}");
                text += &format!("[peer {name}]\ndomain = {domain}\naddress = {addr}\n");
                sockets.push((name, *domain, listener, addr));
            }
        }
        let caches: Vec<_> = sockets
            .iter()
            .filter(|(name, ..)| make.cache && name.ends_with("-0"))
            .map(|(_, domain, _, addr)| (*domain, *addr))
            .collect();
        let mut rig = Self {
            parts,
            entries: Vec::new(),
            controls: Vec::new(),
            files: Vec::new(),
        };
        for (name, domain, listener, addr) in sockets {
            let me = format!("[instance]\nname = {name}\ndomain = {domain}\nlisten = {addr}\n");
            let file = format!("{}{me}", with_cache(&text, &name, domain, addr, &caches));
            let settings = serve::settings::read(&name, &file)?;
            let entry = RunningInstance::start_on(listener, settings)?;
            if make.control {
                let control = Controller::start(&entry.app.settings, entry.addr);
                rig.controls.push(control);
            }
            rig.entries.push(Some(entry));
            rig.files.push((file, addr));
        }
        rig.apply(&make.contracts).await?;
        Ok(rig)
    }

    /// Works with the contracts at the platform.
    pub fn contracts(&self) -> Contracts {
        Contracts::new(plat::Client::new(vec![self.parts.platform.host.addr]))
    }

    /// Applies contracts and waits until they are in force on every entry.
    ///
    /// # Errors
    ///
    /// Returns an error when they are not after 19 s.
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
        self.reach(newest).await?;
        Ok(newest)
    }

    /// Waits until a revision is in force on every entry that runs.
    ///
    /// # Errors
    ///
    /// Returns an error when it is not after 19 s.
    pub async fn reach(&self, rev: i64) -> eyre::Result<Duration> {
        let start = Instant::now();
        while self
            .running()
            .any(|entry| entry.app.newest_revision() < rev)
        {
            if start.elapsed() > SPREAD {
                bail!("revision {rev} is not in force everywhere after {SPREAD:?}");
            }
            tokio::time::sleep(LOOK).await;
        }
        Ok(start.elapsed())
    }

    /// The entries that run.
    pub fn running(&self) -> impl Iterator<Item = &RunningInstance> {
        self.entries.iter().flatten()
    }

    /// The addresses of the entries that run.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.running().map(|entry| entry.addr).collect()
    }

    /// Asks the entries as an operator does.
    pub fn fleet(&self) -> Fleet {
        let peers = self.running().map(|entry| Peer {
            name: entry.app.settings.me.name.clone(),
            domain: entry.app.settings.me.domain.clone(),
            address: entry.addr,
        });
        Fleet::new(peers.collect(), Secret::new(SECRET))
    }

    /// Stops an entry at once, as a crash does.
    pub fn kill(&mut self, at: usize) {
        if let Some(entry) = self.entries[at].take() {
            entry.kill();
        }
    }

    /// Starts an entry again that was killed, at its old address.
    ///
    /// # Errors
    ///
    /// Returns an error when it cannot start.
    pub async fn revive(&mut self, at: usize) -> eyre::Result<()> {
        let settings = serve::settings::read("rig", &self.files[at].0)?;
        // The killed entry's socket closes when its tasks are dropped, which is a moment later.
        let start = Instant::now();
        loop {
            match RunningInstance::start(settings.clone()).await {
                Ok(entry) => {
                    self.entries[at] = Some(entry);
                    return Ok(());
                }
                Err(error) if start.elapsed() > REBIND => return Err(error.into()),
                Err(_) => tokio::time::sleep(LOOK).await,
            }
        }
    }

    /// Makes every entry leave gracefully.
    ///
    /// # Errors
    ///
    /// Returns an error when one cut requests off.
    pub async fn leave(self) -> eyre::Result<()> {
        for control in self.controls {
            control.stop().await;
        }
        let entries = self.entries.into_iter().flatten();
        let leaving: Vec<_> = entries.map(|entry| tokio::spawn(entry.drain())).collect();
        for left in leaving {
            if !left.await? {
                bail!("an entry cut requests off when it left");
            }
        }
        Ok(())
    }
}
