//! Load test of the three slot policies, by which entry hosts share the runners' slots without
//! a coordinator.
//!
//! Runs nine routers and six fake runners in this process. The first host gets a third of the
//! load, because load balancers never spread it evenly.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::Report;
use hemlockramp::routing::connection::RunnerRequest;
use hemlockramp::routing::router::{RequestRouter, SendOptions};
use hemlockramp::routing::slots::SlotPolicy;
use hemlockramp::settings::gateway::{RawRequestSettings, RequestSettings};
use hemlockramp::tables::name::ObjectName;
use hemlockramp::wire::log::HostState;
use hemlockramp::wire::peer::RunnerView;
use standins::runner::{Runner, SharedRunner, start_runner};

/// Number of entry hosts.
const HOSTS: usize = 9;
/// Number of runners.
const RUNNERS: usize = 6;
/// Slots per runner.
const SLOTS: usize = 8;
/// Execution time of a request, in ms.
const WORK_MS: u64 = 10;
/// Numbers of clients, each with one request in flight: below, at and above the total number
/// of slots.
const CLIENTS: [usize; 3] = [24, 48, 96];
/// Requests per client.
const REQUESTS: usize = 150;

#[tokio::main]
async fn main() -> Result<(), Report> {
    println!(
        "{:<16} {:>7} {:>10} {:>8} {:>8} {:>9} {:>10} {:>7}",
        "policy", "clients", "requests/s", "p50 ms", "p99 ms", "refusals", "slots used", "failed"
    );
    for clients in CLIENTS {
        for policy in [
            SlotPolicy::FixedShare,
            SlotPolicy::BusyAnswers,
            SlotPolicy::BorrowingShare,
        ] {
            measure(policy, clients).await?;
        }
    }
    Ok(())
}

async fn measure(policy: SlotPolicy, clients: usize) -> Result<(), Report> {
    let mut runners: Vec<SharedRunner> = Vec::new();
    let mut servers = Vec::new();
    let mut views = Vec::new();
    for index in 0..RUNNERS {
        let runner: SharedRunner = Arc::new(Runner::new(SLOTS));
        let any = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
        let server = start_runner(Arc::clone(&runner), any)?;
        views.push(RunnerView {
            name: ObjectName::try_from(format!("run{index}"))?,
            address: server.local_addr(),
            state: HostState::Live,
        });
        runners.push(runner);
        servers.push(server);
    }
    let routers = start_routers(policy, &views)?;
    let started = Instant::now();
    let tasks: Vec<_> = (0..clients)
        .map(|client| {
            // Every third client uses the first host.
            let host = if client % 3 == 0 { 0 } else { client % HOSTS };
            tokio::spawn(send_all(routers[host].clone(), client))
        })
        .collect();
    let mut times = Vec::new();
    for task in tasks {
        times.extend(task.await?);
    }
    let took = started.elapsed().as_secs_f64();
    print_row(policy, clients, took, times, &runners);
    Ok(())
}

fn start_routers(policy: SlotPolicy, views: &[RunnerView]) -> Result<Vec<RequestRouter>, Report> {
    let raw = RawRequestSettings {
        slot_policy: policy,
        ..RawRequestSettings::default()
    };
    let settings = RequestSettings::try_from(raw)?;
    let routers = (0..HOSTS).map(|_| {
        let router = RequestRouter::start(settings.clone());
        router.refresh(views, HOSTS);
        router
    });
    Ok(routers.collect())
}

/// Sends a client's requests one after another and returns the latencies of the successful
/// ones, in ms.
async fn send_all(router: RequestRouter, client: usize) -> Vec<f64> {
    let mut times = Vec::new();
    for step in 0..REQUESTS {
        let request = RunnerRequest {
            id: format!("{client}-{step}"),
            path: format!("x?work_ms={WORK_MS}"),
            content_type: None,
            body: Bytes::from_static(b"0123456789abcdef"),
        };
        let rule = SendOptions {
            idempotent: false,
            deadline: tokio::time::Instant::now() + Duration::from_secs(10),
        };
        let started = Instant::now();
        if router.send(&request, rule).await.is_ok() {
            times.push(started.elapsed().as_secs_f64() * 1_000.0);
        }
    }
    times
}

fn print_row(
    policy: SlotPolicy,
    clients: usize,
    took: f64,
    mut times: Vec<f64>,
    runners: &[SharedRunner],
) {
    times.sort_by(f64::total_cmp);
    let at = |percent: usize| times[(times.len() - 1) * percent / 100];
    let refusals: usize = runners.iter().map(|runner| runner.refused()).sum();
    let worked = times.len() as f64 * WORK_MS as f64 / 1_000.0;
    let used = worked / (took * (RUNNERS * SLOTS) as f64);
    let failed = clients * REQUESTS - times.len();
    let policy = format!("{policy:?}");
    println!(
        "{policy:<16} {clients:>7} {:>10.0} {:>8.1} {:>8.1} {refusals:>9} {used:>10.2} {failed:>7}",
        times.len() as f64 / took,
        at(50),
        at(99)
    );
}
