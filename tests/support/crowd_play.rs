//! Plays crowds of clients against gateway and scheduler processes whose limits are low.
//!
//! The bounds are those of `process_crowds.rs`; memory includes what has been received and not yet
//! read. The tests that use this run one at a time. Nothing here depends on the machine's speed.

use std::net::SocketAddr;
use std::sync::LazyLock;

use serde_json::json;
use standins::caller;
use standins::condition::wait_for;
use standins::crowd::{BODY_MAX_BYTES, Crowd, FILE_DESCRIPTORS};
use standins::deployment_host::DeploymentHost;
use standins::test_deployment::TestDeployment;
use standins::use_sampler::UseSampler;
use tokio::sync::Mutex;

use super::{DeploymentBuilder, first_ticket, gang};

/// Memory of each process, in MB.
const MEMORY_MB: u64 = 64;
/// Descriptors of each process.
const MAX_FDS: usize = 400;

/// Held by the test that runs.
pub static ONE_AT_A_TIME: LazyLock<Mutex<()>> = LazyLock::new(Mutex::default);

/// What each client of a crowd sends, in writes, before it falls silent and stays open.
pub struct CrowdCase {
    pub name: &'static str,
    address: fn(&DeploymentHost) -> SocketAddr,
    writes: fn() -> Vec<Vec<u8>>,
}

/// A crowd at the gateway.
pub fn gateway(name: &'static str, writes: fn() -> Vec<Vec<u8>>) -> CrowdCase {
    CrowdCase {
        name,
        address: |host| host.gateway_address,
        writes,
    }
}

/// A crowd at the scheduler.
pub fn scheduler(name: &'static str, writes: fn() -> Vec<Vec<u8>>) -> CrowdCase {
    CrowdCase {
        name,
        address: |host| host.scheduler_address,
        writes,
    }
}

/// Samplers of the gateway and of the scheduler.
pub struct HostSamplers {
    samplers: [(&'static str, UseSampler); 2],
}

impl HostSamplers {
    pub fn start(host: &DeploymentHost) -> Self {
        let processes = [
            ("gateway", &host.gateway, host.gateway_address),
            ("scheduler", &host.scheduler, host.scheduler_address),
        ];
        let samplers = processes.map(|(role, child, address)| {
            let id = child.as_ref().expect("a started process").id();
            (role, UseSampler::start(id, vec![address]))
        });
        Self { samplers }
    }

    /// Returns what was wrong with the processes.
    pub fn close(self, name: &str) -> Vec<String> {
        let mut faults = Vec::new();
        for (role, sampler) in self.samplers {
            let peak = sampler.close();
            let memory_mb = peak.memory_bytes / 1_048_576;
            let descriptors = peak.descriptors;
            println!("{name}, {role}: {memory_mb} MB, {descriptors} descriptors");
            if memory_mb >= MEMORY_MB {
                faults.push(format!("{name}, {role}: {memory_mb} MB"));
            }
            if descriptors > MAX_FDS - FILE_DESCRIPTORS {
                faults.push(format!("{name}, {role}: {descriptors} descriptors"));
            }
        }
        faults
    }
}

/// A deployment of one host whose limits are low.
pub async fn start_deployment(name: &str) -> TestDeployment {
    let deployment = low_limits(name).start().await;
    let ticket = deployment.post(0, "/tickets", &first_ticket()).await;
    ticket.expect("ticket 1");
    deployment
}

/// A plan of one host whose limits are low.
pub fn low_limits(name: &str) -> DeploymentBuilder {
    let builder = DeploymentBuilder::new(&format!("shape-{name}")).hosts(1);
    let builder = builder.requests(json!({ "body_max_bytes": BODY_MAX_BYTES }));
    builder.machine(json!({ "memory_mb": MEMORY_MB, "max_fds": MAX_FDS }))
}

/// Returns what was wrong with an ordinary request and an ordinary job.
async fn ask_ordinary(name: &str, deployment: &TestDeployment) -> Vec<String> {
    let address = deployment.entries[0].gateway_address;
    let request = wait_for("an ordinary request is served", || async {
        let head = ["hemlockramp-idempotent: true"];
        let reply = caller::post(address, "/requests/photos/x", &head, "x").await;
        reply.is_ok_and(|reply| reply.status == 200)
    })
    .await;
    let job = gang("ordinary", "photos", 8, 1, "run 10");
    let job = wait_for("an ordinary job is accepted", || async {
        deployment.post(0, "/jobs", &job).await.is_ok()
            || deployment.get(0, "/jobs/ordinary").await.is_ok()
    })
    .await;
    let answers = [request, job].into_iter();
    answers
        .filter_map(|answer| answer.err().map(|error| format!("{name}: {error}")))
        .collect()
}

/// Returns what was wrong with the processes' lives.
pub fn find_ended(name: &str, deployment: &mut TestDeployment) -> Vec<String> {
    let host = &mut deployment.entries[0];
    let children = [
        ("gateway", &mut host.gateway),
        ("scheduler", &mut host.scheduler),
    ];
    let mut faults = Vec::new();
    for (role, child) in children {
        let child = child.as_mut().expect("a started process");
        if child.try_wait().expect("query the process state").is_some() {
            faults.push(format!("{name}: the {role} has ended"));
        }
    }
    faults
}

/// Plays one case and returns what was wrong with it.
async fn play(case: &CrowdCase) -> Vec<String> {
    play_on(start_deployment(case.name).await, case).await
}

/// Plays one case on a deployment and returns what was wrong with it.
pub async fn play_on(mut deployment: TestDeployment, case: &CrowdCase) -> Vec<String> {
    let host = &deployment.entries[0];
    let samplers = HostSamplers::start(host);
    let address = (case.address)(host);
    let process = match address == host.gateway_address {
        true => &host.gateway,
        false => &host.scheduler,
    };
    let process = process.as_ref().expect("a started process").id();
    let crowd = Crowd::open(address, (case.writes)());
    crowd.settle(process).await;
    let mut faults = ask_ordinary(case.name, &deployment).await;
    faults.extend(find_ended(case.name, &mut deployment));
    faults.extend(samplers.close(case.name));
    crowd.close();
    deployment.close().await;
    faults
}

/// Plays cases and fails if something was wrong with one of them.
pub async fn play_all(cases: &[CrowdCase]) {
    let _guard = ONE_AT_A_TIME.lock().await;
    let mut faults = Vec::new();
    for case in cases {
        faults.extend(play(case).await);
    }
    assert!(faults.is_empty(), "{faults:#?}");
}
