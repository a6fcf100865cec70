//! Latency and processor time that an entry adds to a call.

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

/// Number of measured calls.
const MEASURED_CALLS: u32 = 20_000;

/// Number of concurrent calls.
const CONCURRENCY: u32 = 4;

/// Number of calls before the measurement starts.
const WARMUP_CALLS: u32 = 500;

struct Measurement {
    micros: Histogram<u64>,
    cpu: Duration,
}

async fn measure(addr: SocketAddr, path: &'static str) -> Measurement {
    send_calls(addr, path, WARMUP_CALLS).await;
    let before = cpu::process_time();
    let micros = send_calls(addr, path, MEASURED_CALLS).await;
    let cpu = cpu::process_time() - before;
    Measurement { micros, cpu }
}

async fn send_calls(addr: SocketAddr, path: &'static str, count: u32) -> Histogram<u64> {
    let client = net::Client::new();
    let spawn_sender = |_| {
        let client = client.clone();
        tokio::spawn(async move {
            let mut micros = histogram();
            for _ in 0..count / CONCURRENCY {
                let start = Instant::now();
                send_call(&client, addr, path).await;
                // Cannot fail: the histogram resizes itself.
                let _ = micros.record(start.elapsed().as_micros() as u64);
            }
            micros
        })
    };
    let senders: Vec<_> = (0..CONCURRENCY).map(spawn_sender).collect();
    let mut all = histogram();
    for sender in senders {
        if let Ok(micros) = sender.await {
            let _ = all.add(micros);
        }
    }
    all
}

async fn send_call(client: &net::Client, addr: SocketAddr, path: &str) {
    let request = Request::get(net::client::uri(addr, path))
        .header(
            "authorization",
            format!("Bearer {}", contracts::token("one")),
        )
        .body(Full::new(Bytes::new()));
    if let Ok(request) = request {
        // A failed call is not reported but changes the latency.
        let _ = client.fetch(request, Duration::from_secs(5), 1 << 20).await;
    }
}

/// Runs the benchmark and prints its results.
pub(crate) async fn run() -> eyre::Result<()> {
    let settings = RigConfig {
        domains: vec!["nord"],
        engines: 0,
        services: 1,
        service_time: Duration::ZERO,
        service_slots: 64,
        contracts: vec![contracts::text("one", "rate = 1000000\nburst = 100000\n")],
        ..RigConfig::default()
    };
    let rig = Rig::start(&settings).await?;
    let direct = measure(rig.standins.services[0].host.addr, "/size/1").await;
    let entry = measure(rig.addrs()[0], "/v1/services/portal/size/1").await;
    let mut table = Table::default();
    table.latency("straight", &direct.micros);
    table.latency("through an entry", &entry.micros);
    let p50 = |measurement: &Measurement| measurement.micros.value_at_quantile(0.5) as i64;
    table.row("added at p50 [us]", p50(&entry) - p50(&direct));
    let added_seconds =
        (entry.cpu.saturating_sub(direct.cpu)).as_secs_f64() / f64::from(MEASURED_CALLS);
    table.row(
        "added processor time per call [us]",
        format!("{:.0}", added_seconds * 1e6),
    );
    table.row(
        "calls per second and core at that processor time",
        format!("{:.0}", 1.0 / added_seconds.max(1e-9)),
    );
    args::output::write(format_args!("{table}"));
    rig.shutdown().await
}
