//! The stand-ins of a fleet, and the settings that name them.

use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;

use standin::Engine;
use standin::Platform;
use standin::Server;
use standin::Service;
use standin::WeightStore;

use crate::Make;

/// The key that the instances share.
pub const SECRET: &str = "the rig's shared key";

/// A stand-in with its name and where it serves.
pub struct Part<T> {
    /// Its name.
    pub name: String,
    /// The stand-in.
    pub part: Arc<T>,
    /// Where it serves, and its faults.
    pub host: Server,
}

/// The stand-ins of a fleet.
pub struct Parts {
    /// The platform.
    pub platform: Part<Platform>,
    /// The engines, those of a failure domain side by side.
    pub engines: Vec<Part<Engine>>,
    /// The plain services.
    pub services: Vec<Part<Service>>,
    /// The weight store.
    pub store: Option<Part<WeightStore>>,
    /// Settings that every instance shares.
    pub shared: String,
}

/// A free loopback address.
pub fn free() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

impl Parts {
    /// Starts the stand-ins.
    ///
    /// # Errors
    ///
    /// Returns an error when one cannot listen.
    pub async fn start(make: &Make) -> eyre::Result<Self> {
        let platform = Arc::new(Platform::default());
        let host = platform.serve(free()).await?;
        let platform = part("platform", platform, host);
        let mut parts = Self {
            shared: String::new(),
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            store: None,
        };
        if let Some((size, rate)) = make.store {
            let store = Arc::new(WeightStore::new(size, rate));
            let host = store.serve(free()).await?;
            parts.store = Some(part("store", store, host));
        }
        parts.head(make)?;
        for domain in &make.domains {
            parts.domain(make, domain).await?;
        }
        Ok(parts)
    }

    fn head(&mut self, make: &Make) -> std::fmt::Result {
        let text = &mut self.shared;
        writeln!(text, "[platform]\naddresses = {}", self.platform.host.addr)?;
        writeln!(text, "[peers]\nsecret = {SECRET}")?;
        let (order, chooser) = (make.order, make.chooser);
        for (name, kind) in [("fitting", "engine"), ("portal", "service")] {
            writeln!(
                text,
                "[pool {name}]\nkind = {kind}\norder = {order}\nchooser = {chooser}"
            )?;
        }
        writeln!(text, "[steps]\npolicy = {}", make.policy)?;
        writeln!(text, "[weights]\npoll = {}", make.poll)?;
        if let Some(store) = &self.store {
            writeln!(text, "store = http://{}/weights", store.host.addr)?;
        }
        writeln!(text, "{}", make.more)
    }

    async fn domain(&mut self, make: &Make, domain: &str) -> eyre::Result<()> {
        for at in 0..make.engines {
            let engine = Arc::new(Engine::new(make.engine));
            let host = engine.serve(free()).await?;
            let part = part(&format!("engine-{domain}-{at}"), engine, host);
            self.upstream(&part, "fitting", domain, make.engine.slots as usize)?;
            self.engines.push(part);
        }
        for at in 0..make.services {
            let service = Arc::new(Service::new(make.work, make.slots));
            let host = service.serve(free()).await?;
            let part = part(&format!("portal-{domain}-{at}"), service, host);
            self.upstream(&part, "portal", domain, make.slots)?;
            self.services.push(part);
        }
        Ok(())
    }

    fn upstream<T>(
        &mut self,
        part: &Part<T>,
        pool: &str,
        domain: &str,
        slots: usize,
    ) -> std::fmt::Result {
        let (name, addr) = (&part.name, part.host.addr);
        writeln!(
            self.shared,
            "[upstream {name}]\naddress = {addr}\npool = {pool}\ndomain = {domain}\n\
             slots = {slots}\nfencing = true"
        )
    }

    /// Orders that ran more than once, by the services' own logs.
    pub fn twice(&self) -> Vec<String> {
        let mut keys: Vec<_> = self
            .services
            .iter()
            .flat_map(|s| s.part.executed_keys())
            .collect();
        keys.sort_unstable();
        let doubled = keys.windows(2).filter(|pair| pair[0] == pair[1]);
        doubled.map(|pair| pair[0].clone()).collect()
    }

    /// The keys of every order that ran.
    pub fn ran(&self) -> Vec<String> {
        self.services
            .iter()
            .flat_map(|s| s.part.executed_keys())
            .collect()
    }
}

fn part<T>(name: &str, part: Arc<T>, host: Server) -> Part<T> {
    let name = name.to_owned();
    Part { name, part, host }
}
