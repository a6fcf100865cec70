//! What it costs that a connection carries a limited number of requests with IDs, and none twice.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use load::Table;
use load::report::histogram;
use net::Arrival;
use net::Drain;
use net::HandlerFn;
use net::Limits;
use net::SendCondition;
use tokio::net::TcpListener;

use crate::cpu;

/// Number of measured requests.
const REQUESTS: u32 = 200_000;

/// Number of requests at the same time.
const CONCURRENCY: u32 = 16;

/// Time limit of a request.
const LIMIT: Duration = Duration::from_secs(5);

/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 10;

/// How requests are sent.
#[derive(Clone, Copy, Debug)]
enum Mode {
    /// Without an ID, so that a connection may carry any number of them.
    Anonymous,
    /// With an ID of its own each.
    Identified,
}

struct Measurement {
    micros: Histogram<u64>,
    connections: u32,
}

/// Runs the benchmark and prints its results.
pub(crate) async fn run() -> eyre::Result<()> {
    let addr = start_server().await?;
    let mut table = Table::default();
    for (name, mode) in [
        ("without IDs", Mode::Anonymous),
        ("with IDs", Mode::Identified),
    ] {
        measure(addr, mode, REQUESTS / 20).await;
        let (started, before) = (Instant::now(), cpu::process_time());
        let measurement = measure(addr, mode, REQUESTS).await;
        let (took, cpu) = (started.elapsed(), cpu::process_time() - before);
        table.latency(name, &measurement.micros);
        let rate = f64::from(REQUESTS) / took.as_secs_f64();
        table.row(format!("{name}: requests per second"), format!("{rate:.0}"));
        let opened = f64::from(measurement.connections);
        let thousands = f64::from(REQUESTS) / 1e3;
        table.row(
            format!("{name}: connections per 1,000 requests"),
            format!("{:.2}", opened / thousands),
        );
        table.row(
            format!("{name}: connections per second"),
            format!("{:.0}", opened / took.as_secs_f64()),
        );
        let each = cpu.as_secs_f64() * 1e6 / f64::from(REQUESTS);
        table.row(
            format!("{name}: processor time per request [us]"),
            format!("{each:.1}"),
        );
    }
    args::output::write(format_args!("{table}"));
    Ok(())
}

/// Starts a server that answers at once.
async fn start_server() -> eyre::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    let handler = HandlerFn::new(&Arc::new(()), async |_, _| {
        net::body::reply(StatusCode::OK, "text/plain", "done")
    });
    tokio::spawn(net::server::serve(
        listener,
        handler,
        Limits::default(),
        Drain::default(),
    ));
    Ok(addr)
}

/// Sends requests, some at the same time.
async fn measure(addr: SocketAddr, mode: Mode, count: u32) -> Measurement {
    let client = net::Client::new();
    let senders: Vec<_> = (0..CONCURRENCY)
        .map(|sender| {
            tokio::spawn(send_requests(
                client.clone(),
                addr,
                mode,
                sender,
                count / CONCURRENCY,
            ))
        })
        .collect();
    let mut micros = histogram();
    let mut connections = 0;
    for sender in senders {
        if let Ok(measurement) = sender.await {
            // Cannot fail: the histogram resizes itself.
            let _ = micros.add(measurement.micros);
            connections += measurement.connections;
        }
    }
    Measurement {
        micros,
        connections,
    }
}

async fn send_requests(
    client: net::Client,
    addr: SocketAddr,
    mode: Mode,
    sender: u32,
    count: u32,
) -> Measurement {
    let mut micros = histogram();
    let mut connections = 0;
    for number in 0..count {
        let started = Instant::now();
        let is_first = send(&client, addr, mode, &format!("{sender}-{number}")).await;
        connections += u32::from(is_first == Some(true));
        // Cannot fail: the histogram resizes itself.
        let _ = micros.record(started.elapsed().as_micros() as u64);
    }
    Measurement {
        micros,
        connections,
    }
}

/// Sends one request; returns whether its answer is the first on its connection, or [`None`] without an answer.
async fn send(client: &net::Client, addr: SocketAddr, mode: Mode, id: &str) -> Option<bool> {
    let request = Request::get(net::client::uri(addr, "/"))
        .body(Full::new(Bytes::new()))
        .ok()?;
    let response = match mode {
        Mode::Anonymous => client.send(request, LIMIT).await.ok()?,
        Mode::Identified => {
            let always = SendCondition::always();
            client
                .send_identified(request, id, LIMIT, always)
                .await
                .ok()?
        }
    };
    let position = Arrival::of(&response).map(Arrival::position);
    client
        .read_body(response.into_body(), MAX_ANSWER_BYTES)
        .await
        .ok()?;
    Some(position == Some(1))
}
