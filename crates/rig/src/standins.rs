//! The stand-ins of a rig, and the settings that list them.

use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use standin::Engine;
use standin::Platform;
use standin::Server;
use standin::Service;
use standin::WeightStore;

use crate::RigConfig;

/// The secret that authenticates instances to each other.
pub const PEER_SECRET: &str = "the rig's shared key";

/// A running stand-in.
pub struct Standin<T> {
    /// Name of the stand-in, also in the settings if it is an upstream.
    pub name: String,
    /// The identity that it gives to instances, unlike that of any other stand-in.
    pub identity: String,
    /// The state of the stand-in, which its server shares.
    pub state: Arc<T>,
    /// The server, with its address and the faults to inject.
    pub host: Server,
}

/// The stand-ins of a rig.
pub struct Standins {
    /// The platform's key-value store.
    pub platform: Standin<Platform>,
    /// The engines, grouped by failure domain.
    pub engines: Vec<Standin<Engine>>,
    /// The plain services, grouped by failure domain.
    pub services: Vec<Standin<Service>>,
    /// The weight store, if the configuration has one.
    pub store: Option<Standin<WeightStore>>,
    /// Settings text that all instances have in common.
    pub shared: String,
}

/// Returns a loopback address with port 0, for which the system picks a free port.
pub fn loopback_addr() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

impl Standins {
    /// Starts the stand-ins.
    ///
    /// # Errors
    ///
    /// Returns an error if one cannot listen.
    pub async fn start(config: &RigConfig) -> eyre::Result<Self> {
        let platform = Arc::new(Platform::default());
        let host = platform.serve(loopback_addr()).await?;
        let platform = standin("platform", platform, host)?;
        let mut standins = Self {
            shared: String::new(),
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            store: None,
        };
        if let Some((size, rate)) = config.store {
            let store = Arc::new(WeightStore::new(size, rate));
            let host = store.serve(loopback_addr()).await?;
            standins.store = Some(standin("store", store, host)?);
        }
        standins.write_shared(config)?;
        for domain in &config.domains {
            standins.start_domain(config, domain).await?;
        }
        Ok(standins)
    }

    /// Writes the settings that do not depend on a single upstream.
    fn write_shared(&mut self, config: &RigConfig) -> std::fmt::Result {
        let text = &mut self.shared;
        writeln!(text, "[platform]\naddresses = {}", self.platform.host.addr)?;
        writeln!(text, "[peers]\nsecret = {PEER_SECRET}")?;
        let (order, chooser) = (config.queue_order, config.chooser);
        for (name, kind) in [("fitting", "engine"), ("portal", "service")] {
            writeln!(
                text,
                "[pool {name}]\nkind = {kind}\norder = {order}\nchooser = {chooser}"
            )?;
        }
        writeln!(text, "[steps]\npolicy = {}", config.policy)?;
        writeln!(text, "[weights]\npoll = {}", config.report_interval)?;
        if let Some(store) = &self.store {
            writeln!(text, "store = http://{}/weights", store.host.addr)?;
        }
        writeln!(text, "{}", config.extra_settings)
    }

    async fn start_domain(&mut self, config: &RigConfig, domain: &str) -> eyre::Result<()> {
        for index in 0..config.engines {
            let engine = Arc::new(Engine::new(config.engine));
            let host = engine.serve(loopback_addr()).await?;
            let standin = standin(&format!("engine-{domain}-{index}"), engine, host)?;
            self.write_upstream(&standin, "fitting", domain, config.engine.slots as usize)?;
            self.engines.push(standin);
        }
        for index in 0..config.services {
            let service = Arc::new(Service::new(config.service_time, config.service_slots));
            let host = service.serve(loopback_addr()).await?;
            let standin = standin(&format!("portal-{domain}-{index}"), service, host)?;
            self.write_upstream(&standin, "portal", domain, config.service_slots)?;
            self.services.push(standin);
        }
        Ok(())
    }

    fn write_upstream<T>(
        &mut self,
        standin: &Standin<T>,
        pool: &str,
        domain: &str,
        slots: usize,
    ) -> std::fmt::Result {
        let (name, addr) = (&standin.name, standin.host.addr);
        let identity = &standin.identity;
        writeln!(
            self.shared,
            "[upstream {name}]\nidentity = {identity}\naddress = {addr}\npool = {pool}\ndomain = {domain}\n\
             slots = {slots}\nfencing = true"
        )
    }

    /// Returns the idempotency keys that the services' logs hold more than once, sorted; a key with more than two
    /// executions is repeated.
    pub fn repeated_orders(&self) -> Vec<String> {
        let mut keys: Vec<_> = self
            .services
            .iter()
            .flat_map(|s| s.state.executed_keys())
            .collect();
        keys.sort_unstable();
        let repeated = keys.windows(2).filter(|pair| pair[0] == pair[1]);
        repeated.map(|pair| pair[0].clone()).collect()
    }

    /// Returns the idempotency keys of all executed orders, from the services' logs.
    pub fn executed_orders(&self) -> Vec<String> {
        self.services
            .iter()
            .flat_map(|s| s.state.executed_keys())
            .collect()
    }
}

fn standin<T>(name: &str, state: Arc<T>, host: Server) -> io::Result<Standin<T>> {
    let name = name.to_owned();
    let identity = format!("{name}-{:08x}", rand::random::<u32>());
    host.set_identity(&identity)?;
    Ok(Standin {
        name,
        identity,
        state,
        host,
    })
}
