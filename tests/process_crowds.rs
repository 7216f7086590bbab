//! Crowds of clients that send too much, too slowly or without end, against real gateway and
//! scheduler processes.
//!
//! Each case opens its whole crowd and leaves it open. The process lives, its memory and its
//! descriptors stay within its settings, and an ordinary job and an ordinary request are answered
//! while the crowd is there. Nothing here depends on the machine's speed.

mod support;

use std::net::SocketAddr;

use serde_json::json;
use standins::caller;
use standins::condition::wait_for;
use standins::crowd::{
    BODY_MAX_BYTES, Crowd, FILE_DESCRIPTORS, empty_lines, head_over_the_limit, head_without_end,
    large_chunks, nothing, small_chunks, stalled_body, stalled_body_in_pieces, stalled_message,
    whole_body,
};
use standins::deployment_host::DeploymentHost;
use standins::process_use::process_use;
use support::{DeploymentBuilder, first_ticket, gang};

/// Memory of each process, in MB.
const MEMORY_MB: u64 = 64;
/// Descriptors of each process.
const MAX_FDS: usize = 400;

const POST_REQUEST: &str = "POST /requests/photos/x HTTP/1.1\r\nHost: x\r\n\
    Hemlockramp-Idempotent: true\r\n";
const POST_JOB: &str = "POST /jobs HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n";
const GET_PEER: &str = "GET /peer HTTP/1.1\r\nHost: x\r\n";

/// A process of an entry host.
#[derive(Clone, Copy)]
enum Role {
    Gateway,
    Scheduler,
}

impl Role {
    fn address(self, host: &DeploymentHost) -> SocketAddr {
        match self {
            Self::Gateway => host.gateway_address,
            Self::Scheduler => host.scheduler_address,
        }
    }

    fn process_id(self, host: &DeploymentHost) -> u32 {
        let child = match self {
            Self::Gateway => &host.gateway,
            Self::Scheduler => &host.scheduler,
        };
        child.as_ref().expect("a started process").id()
    }
}

/// What each client of a crowd sends, in writes, before it falls silent and stays open.
struct CrowdCase {
    name: &'static str,
    role: Role,
    head: &'static str,
    writes: fn(&str) -> Vec<Vec<u8>>,
}

fn crowd_cases() -> Vec<CrowdCase> {
    let case = |name, role, head, writes| CrowdCase {
        name,
        role,
        head,
        writes,
    };
    let gateway = |name, writes| case(name, Role::Gateway, POST_REQUEST, writes);
    let scheduler = |name, writes| case(name, Role::Scheduler, GET_PEER, writes);
    vec![
        gateway("gateway-silent", nothing),
        gateway("gateway-head-over", head_over_the_limit),
        gateway("gateway-head-endless", head_without_end),
        gateway("gateway-empty-lines", empty_lines),
        gateway("gateway-body-whole", whole_body),
        gateway("gateway-body-stalled", stalled_body),
        gateway("gateway-body-pieces", stalled_body_in_pieces),
        gateway("gateway-chunks-large", large_chunks),
        gateway("gateway-chunks-small", small_chunks),
        case("gateway-job-stalled", Role::Gateway, POST_JOB, stalled_body),
        scheduler("scheduler-silent", nothing),
        scheduler("scheduler-head-endless", head_without_end),
        scheduler("scheduler-empty-lines", empty_lines),
        scheduler("scheduler-body-stalled", stalled_body),
        scheduler("scheduler-message-stalled", stalled_message),
    ]
}

/// Plays one case and returns what was wrong with it.
async fn play(case: &CrowdCase) -> Vec<String> {
    let builder = DeploymentBuilder::new(&format!("crowd-{}", case.name)).hosts(1);
    let builder = builder.requests(json!({ "body_max_bytes": BODY_MAX_BYTES }));
    let limits = json!({ "memory_mb": MEMORY_MB, "max_fds": MAX_FDS });
    let deployment = builder.machine(limits).start().await;
    let ticket = deployment.post(0, "/tickets", &first_ticket()).await;
    ticket.expect("ticket 1");
    let host = &deployment.entries[0];
    let id = case.role.process_id(host);
    let crowd = Crowd::open(case.role.address(host), (case.writes)(case.head));
    let most = crowd.settle(id).await;
    let gateway = host.gateway_address;
    let request = wait_for("an ordinary request is served", || async {
        let head = ["hemlockramp-idempotent: true"];
        let reply = caller::post(gateway, "/requests/photos/x", &head, "x").await;
        reply.is_ok_and(|reply| reply.status == 200)
    })
    .await;
    let job = gang("ordinary", "photos", 8, 1, "run 10");
    let job = wait_for("an ordinary job is accepted", || async {
        deployment.post(0, "/jobs", &job).await.is_ok()
            || deployment.get(0, "/jobs/ordinary").await.is_ok()
    })
    .await;
    let mut faults = Vec::new();
    for answered in [request, job] {
        if let Err(error) = answered {
            faults.push(format!("{}: {error}", case.name));
        }
    }
    let Some(used) = process_use(id) else {
        faults.push(format!("{}: the process has ended", case.name));
        return faults;
    };
    let descriptors = most.max(used.descriptors);
    let memory_mb = used.memory_bytes / 1_048_576;
    println!("{}: {memory_mb} MB, {descriptors} descriptors", case.name);
    if memory_mb >= MEMORY_MB {
        faults.push(format!("{}: {memory_mb} MB", case.name));
    }
    if descriptors > MAX_FDS - FILE_DESCRIPTORS {
        faults.push(format!("{}: {descriptors} descriptors", case.name));
    }
    crowd.close();
    deployment.close().await;
    faults
}

/// No crowd of clients ends a process, takes it beyond its memory or its descriptors, or keeps it
/// from ordinary work.
#[tokio::test(flavor = "multi_thread")]
async fn crowds_leave_the_processes_within_their_limits() {
    let mut faults = Vec::new();
    for case in crowd_cases() {
        faults.extend(play(&case).await);
    }
    assert!(faults.is_empty(), "{faults:#?}");
}
