//! Runs the demo's job and judges it.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use args::Parsed;
use eyre::bail;
use load::Callers;
use load::Table;
use load::Trainer;
use load::callers;
use load::trainer;
use operate::Contracts;

use crate::contracts;
use crate::contracts::PORTAL;
use crate::contracts::TRAINER;
use crate::fleet;
use crate::fleet::Fleet;
use crate::fleet::MEDIAN;

/// Time in which the contracts must be in force everywhere.
const SPREAD: Duration = Duration::from_secs(19);

/// Time between two looks at whether they are.
const LOOK: Duration = Duration::from_millis(20);

/// Runs the program.
///
/// # Errors
///
/// Returns an error when the fleet cannot start or a promise was broken.
pub fn run(parsed: Parsed) -> eyre::Result<()> {
    let steps = parsed.get("steps", "a number of steps")?.unwrap_or(4);
    if parsed.has("verbose") {
        logs::begin(&logs::Settings::default())?;
    }
    args::program::block(demo(steps, parsed.has("stay")))
}

async fn demo(steps: u32, stay: bool) -> eyre::Result<()> {
    let fleet = fleet::start().await?;
    let plat = plat::Client::new(vec![fleet.platform.addr]);
    let before = Instant::now();
    let rev = contracts::apply(&Contracts::new(plat)).await?;
    spread(&fleet, rev).await?;
    let spread = before.elapsed();
    let addrs: Vec<_> = fleet.entries.iter().map(|entry| entry.addr).collect();
    let done = work(&addrs, steps).await;
    let mut table = Table::default();
    table.row("contracts in force everywhere [ms]", spread.as_millis());
    load::run::trainer_rows(&mut table, "trainer", &done.trainer);
    load::run::callers_rows(&mut table, "lookups", &done.lookups);
    load::run::callers_rows(&mut table, "orders", &done.orders);
    let twice = twice(&fleet);
    table.row("orders that ran more than once", twice);
    print!("{table}");
    let broken = done.broken() + twice;
    if stay {
        self::stay(fleet).await?;
    } else {
        leave(fleet).await?;
    }
    if broken > 0 {
        bail!("{broken} promises were broken");
    }
    println!("every promise was kept");
    Ok(())
}

async fn spread(fleet: &Fleet, rev: i64) -> eyre::Result<()> {
    let end = Instant::now() + SPREAD;
    while fleet.entries.iter().any(|entry| entry.app.newest() < rev) {
        if Instant::now() > end {
            bail!("the contracts are not in force everywhere after {SPREAD:?}");
        }
        tokio::time::sleep(LOOK).await;
    }
    Ok(())
}

struct Done {
    trainer: trainer::Seen,
    lookups: callers::Seen,
    orders: callers::Seen,
}

impl Done {
    fn broken(&self) -> u64 {
        self.trainer.broken() + self.lookups.foreign + self.orders.foreign
    }
}

/// A trainer, with lookups and orders beside it for as long as it trains.
async fn work(entries: &[SocketAddr], steps: u32) -> Done {
    let trainer = Trainer {
        entries: entries.to_vec(),
        token: TRAINER.into(),
        model: "fitting"
            .parse()
            .unwrap_or_else(|_| unreachable!("a good name")),
        groups: 16,
        samples: 8,
        tokens: 1_024,
        steps,
        train: Duration::from_millis(500),
        version: 1,
        label: "demo".into(),
        median: MEDIAN,
    };
    let callers = |path: &str, rate: f64, once: bool| Callers {
        entries: entries.to_vec(),
        token: PORTAL.into(),
        path: path.into(),
        rate,
        span: Duration::from_millis(1_500) * steps,
        once,
        timeout: 2_000,
        seed: 7,
    };
    let lookups = callers("/v1/services/portal/size/{n}", 100.0, false);
    let orders = callers("/v1/services/portal/orders", 20.0, true);
    let (trainer, lookups, orders) = tokio::join!(trainer.run(), lookups.run(), orders.run());
    Done {
        trainer,
        lookups,
        orders,
    }
}

/// Orders that the services' own logs show more than once.
fn twice(fleet: &Fleet) -> u64 {
    let mut keys: Vec<_> = fleet.services.iter().flat_map(|s| s.log()).collect();
    let all = keys.len();
    keys.sort_unstable();
    keys.dedup();
    (all - keys.len()) as u64
}

async fn leave(fleet: Fleet) -> eyre::Result<()> {
    for control in fleet.controls {
        control.stop().await;
    }
    let leaving = fleet
        .entries
        .into_iter()
        .map(|entry| tokio::spawn(entry.drain()));
    let leaving: Vec<_> = leaving.collect();
    for left in leaving {
        if !left.await? {
            bail!("an entry cut requests off when it left");
        }
    }
    Ok(())
}

/// Keeps the fleet up until interrupted.
async fn stay(fleet: Fleet) -> eyre::Result<()> {
    let settings = &fleet.settings;
    println!("\nplatform  http://{}", fleet.platform.addr);
    for entry in &fleet.entries {
        println!(
            "entry     http://{}  ({})",
            entry.addr, entry.app.settings.me.name
        );
    }
    println!("tokens    {PORTAL} (order portal), {TRAINER} (tailoring staff)");
    let file = std::env::temp_dir().join("snipeway-demo.ini");
    let mut text = format!(
        "[platform]\naddresses = {}\n[peers]\nsecret = the demo's shared key\n",
        settings.platform[0]
    );
    for entry in &fleet.entries {
        let me = &entry.app.settings.me;
        text += &format!(
            "[peer {}]\ndomain = {}\naddress = {}\n",
            me.name, me.domain, entry.addr
        );
    }
    std::fs::write(&file, text)?;
    println!("operators snipeway --config {} status", file.display());
    println!("interrupt to end");
    serve::server::terminated().await;
    leave(fleet).await
}
