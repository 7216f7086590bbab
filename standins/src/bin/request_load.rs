//! Load test of the gateway: latency and throughput of requests through it, compared with a
//! client that calls the runners directly in the same run.
//!
//! Build everything with `cargo build --release --workspace`, then run
//! `target/release/request_load`: it starts the daemons from its own directory.

use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::{Report, eyre};
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use serde_json::json;
use standins::test_deployment::{DaemonCommand, DeploymentPlan, TestDeployment};
use tokio::net::TcpStream;
use tokio::sync::Barrier;

/// Maximum number of requests of one measurement.
const REQUESTS: usize = 8_000;
/// Maximum number of requests on one connection.
const REQUESTS_EACH: usize = 1_000;
/// Maximum number of keyed requests on one connection; lower, since each waits for the log
/// service.
const KEYED_EACH: usize = 40;
/// Numbers of concurrent requests to measure.
const IN_FLIGHT: [usize; 3] = [1, 50, 400];
/// Number of runners; their slots limit the requests executed at once.
const RUNNERS: usize = 8;
/// Clock ticks per second in `/proc/PID/stat` on Linux.
const TICKS_A_SECOND: f64 = 100.0;

#[tokio::main]
async fn main() -> Result<(), Report> {
    let folder = std::env::temp_dir().join(format!("hemlockramp-load-{}", std::process::id()));
    let deployment = TestDeployment::start(DeploymentPlan {
        scheduler: sibling_program("hemlockramp-scheduler")?,
        gateway: sibling_program("hemlockramp-gateway")?,
        hosts: 1,
        workers: 1,
        runners: RUNNERS,
        timing: json!({}),
        requests: json!({ "runner_connections": 16 }),
        machine: json!({}),
        list_lag: Duration::ZERO,
        folder,
    })
    .await?;
    let ticket = json!({ "number": 1, "author": "operator", "teams": [
        { "team": "load", "quota_accelerators": 1, "max_requests_in_flight": 1000 }] });
    deployment.post(0, "/tickets", &ticket).await?;
    let gateway = deployment.entries[0].gateway_address;
    let pid = deployment.entries[0]
        .gateway
        .as_ref()
        .map(std::process::Child::id)
        .unwrap_or(0);
    println!(
        "{:<10} {:>9} {:>11} {:>9} {:>9} {:>8} {:>13}",
        "path", "in flight", "requests/s", "p50 us", "p99 us", "failed", "gateway cpu us"
    );
    for in_flight in IN_FLIGHT {
        let direct: Vec<SocketAddr> = deployment
            .runners
            .iter()
            .map(|(_, address)| *address)
            .collect();
        // Without the gateway there is no queue, so the direct client sends no more requests at
        // once than the runners have slots.
        let most = in_flight.min(RUNNERS * 8);
        print_load(
            "direct",
            in_flight,
            &load(&direct, "/run/x", most, 0).await,
            0.0,
        );
        for (kind, path) in [
            ("idempotent", "/requests/load/x"),
            ("keyed", "/requests/load/x"),
        ] {
            let keyed = usize::from(kind == "keyed");
            let before = cpu_seconds(pid);
            let figures = load(&[gateway], path, in_flight, keyed * in_flight).await;
            let count = figures.micros.len().max(1) as f64;
            let cpu = (cpu_seconds(pid) - before) * 1e6 / count;
            print_load(kind, in_flight, &figures, cpu);
        }
    }
    deployment.close().await;
    Ok(())
}

fn sibling_program(program: &str) -> Result<DaemonCommand, Report> {
    let own = std::env::current_exe()?;
    let folder = own.parent().ok_or_else(|| {
        eyre!("cannot find the daemons: this program's path has no parent directory")
    })?;
    Ok(DaemonCommand {
        words: vec![folder.join(program).into_os_string()],
    })
}

struct LoadFigures {
    took: Duration,
    micros: Vec<u128>,
    failed: usize,
}

/// Sends requests over `in_flight` connections. If `keyed` is above 0, each request has an
/// idempotency key that includes `keyed`, so that it runs at most once.
async fn load(addresses: &[SocketAddr], path: &str, in_flight: usize, keyed: usize) -> LoadFigures {
    let most = if keyed > 0 { KEYED_EACH } else { REQUESTS_EACH };
    let each = (REQUESTS / in_flight).min(most);
    // Timing starts once all connections are open; the extra participant is this task.
    let all_connected = Arc::new(Barrier::new(in_flight + 1));
    let tasks: Vec<_> = (0..in_flight)
        .map(|number| {
            let address = addresses[number % addresses.len()];
            let path = path.to_owned();
            let connected = Arc::clone(&all_connected);
            tokio::spawn(async move {
                connection_load(address, &path, each, keyed, number, connected).await
            })
        })
        .collect();
    all_connected.wait().await;
    let started = Instant::now();
    let mut figures = LoadFigures {
        took: Duration::ZERO,
        micros: Vec::new(),
        failed: 0,
    };
    for task in tasks {
        match task.await {
            Ok(Ok(times)) => {
                figures.failed += each - times.len();
                figures.micros.extend(times);
            }
            _ => figures.failed += each,
        }
    }
    figures.took = started.elapsed();
    figures.micros.sort_unstable();
    figures
}

async fn connection_load(
    address: SocketAddr,
    path: &str,
    count: usize,
    keyed: usize,
    number: usize,
    all_connected: Arc<Barrier>,
) -> Result<Vec<u128>, Report> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, driver) = handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(driver);
    all_connected.wait().await;
    let mut times = Vec::new();
    for step in 0..count {
        let header = match keyed {
            0 => ("hemlockramp-idempotent", "true".to_owned()),
            _ => ("idempotency-key", format!("k{keyed}-{number}-{step}")),
        };
        let started = Instant::now();
        if one_request(&mut sender, address, path, header).await? {
            times.push(started.elapsed().as_micros());
        }
    }
    driver.abort();
    Ok(times)
}

async fn one_request(
    sender: &mut SendRequest<Full<Bytes>>,
    address: SocketAddr,
    path: &str,
    header: (&str, String),
) -> Result<bool, Report> {
    let request = Request::post(path)
        .header("host", address.to_string())
        .header(header.0, header.1)
        .body(Full::new(Bytes::from_static(b"0123456789abcdef")))?;
    sender.ready().await?;
    let response = sender.send_request(request).await?;
    let succeeded = response.status().is_success();
    response.into_body().collect().await?;
    Ok(succeeded)
}

fn print_load(kind: &str, in_flight: usize, figures: &LoadFigures, cpu: f64) {
    let at = |percent: usize| {
        let index = figures.micros.len() * percent / 100;
        figures
            .micros
            .get(index.min(figures.micros.len().saturating_sub(1)))
            .copied()
            .unwrap_or(0)
    };
    let rate = figures.micros.len() as f64 / figures.took.as_secs_f64();
    println!(
        "{kind:<10} {in_flight:>9} {rate:>11.0} {:>9} {:>9} {:>8} {cpu:>13.0}",
        at(50),
        at(99),
        figures.failed
    );
}

/// Returns the CPU time that a process has used, in seconds; 0 if it cannot be read.
fn cpu_seconds(pid: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or("").split_whitespace();
    let ticks: Vec<f64> = fields
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse().ok())
        .collect();
    ticks.iter().sum::<f64>() / TICKS_A_SECOND
}
