//! What an entry adds to a call in time and processor time.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::Full;
use load::Table;
use load::report::histogram;
use rig::Rig;
use rig::RigConfig;
use rig::contracts;

use crate::cpu;

/// Calls of each part.
const CALLS: u32 = 20_000;

/// Calls at the same time.
const WIDTH: u32 = 4;

/// Calls before the measurement.
const WARM: u32 = 500;

struct Part {
    micros: Histogram<u64>,
    cpu: Duration,
}

async fn part(to: SocketAddr, path: &'static str) -> Part {
    calls(to, path, WARM).await;
    let before = cpu::used();
    let micros = calls(to, path, CALLS).await;
    let cpu = cpu::used() - before;
    Part { micros, cpu }
}

async fn calls(to: SocketAddr, path: &'static str, count: u32) -> Histogram<u64> {
    let http = net::Client::new();
    let run = |_| {
        let http = http.clone();
        tokio::spawn(async move {
            let mut micros = histogram();
            for _ in 0..count / WIDTH {
                let start = Instant::now();
                call(&http, to, path).await;
                // The histogram grows by itself, so a value is never out of its range.
                let _ = micros.record(start.elapsed().as_micros() as u64);
            }
            micros
        })
    };
    let runs: Vec<_> = (0..WIDTH).map(run).collect();
    let mut all = histogram();
    for run in runs {
        if let Ok(micros) = run.await {
            let _ = all.add(micros);
        }
    }
    all
}

async fn call(http: &net::Client, to: SocketAddr, path: &str) {
    let request = Request::get(net::client::uri(to, path))
        .header(
            "authorization",
            format!("Bearer {}", contracts::token("one")),
        )
        .body(Full::new(Bytes::new()));
    if let Ok(request) = request {
        // A failed call shows in the latency.
        let _ = http.fetch(request, Duration::from_secs(5), 1 << 20).await;
    }
}

/// Runs the measurement.
pub(crate) async fn run() -> eyre::Result<()> {
    let make = RigConfig {
        domains: vec!["nord"],
        engines: 0,
        services: 1,
        service_time: Duration::ZERO,
        service_slots: 64,
        contracts: vec![contracts::text("one", "rate = 1000000\nburst = 100000\n")],
        ..RigConfig::default()
    };
    let rig = Rig::start(&make).await?;
    let straight = part(rig.standins.services[0].host.addr, "/size/1").await;
    let entry = part(rig.addrs()[0], "/v1/services/portal/size/1").await;
    let mut table = Table::default();
    table.latency("straight", &straight.micros);
    table.latency("through an entry", &entry.micros);
    let p50 = |part: &Part| part.micros.value_at_quantile(0.5) as i64;
    table.row("added at p50 [us]", p50(&entry) - p50(&straight));
    let added = (entry.cpu.saturating_sub(straight.cpu)).as_secs_f64() / f64::from(CALLS);
    table.row(
        "added processor time a call [us]",
        format!("{:.0}", added * 1e6),
    );
    table.row(
        "calls a second and core, by that",
        format!("{:.0}", 1.0 / added.max(1e-9)),
    );
    args::output::write(format_args!("{table}"));
    rig.shutdown().await
}
