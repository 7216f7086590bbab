//! Clients that come back at once whenever they are closed, or are always busy, against a real
//! gateway process.

mod support;

use standins::caller;
use standins::crowd::{empty_lines, head_over_the_limit, nothing, small_chunks, stalled_body};
use standins::crowd_shapes::{UNREAD_REQUESTS, unread_answers};
use standins::returning_crowd::{ClientKind, ReturningCrowd};
use support::crowd_play::{HostSamplers, ONE_AT_A_TIME, find_ended, start_deployment};

/// Ordinary requests that are sent one after the other while a crowd comes back.
const ORDINARY_REQUESTS: usize = 8;

const POST_REQUEST: &str = "POST /requests/photos/x HTTP/1.1\r\nHost: x\r\n\
    Hemlockramp-Idempotent: true\r\n";
const GET_JOB: &str = "GET /jobs/unknown HTTP/1.1\r\nHost: x\r\n";
const GET_METRICS: &str = "GET /metrics HTTP/1.1\r\nHost: x\r\n";
const GET_LIVE: &str = "GET /live HTTP/1.1\r\nHost: x\r\n";

/// Plays a crowd that comes back, and sends ordinary requests, each once, while it is there.
async fn play_returning(name: &str, kinds: Vec<ClientKind>) {
    let _guard = ONE_AT_A_TIME.lock().await;
    let mut deployment = start_deployment(name).await;
    let samplers = HostSamplers::start(&deployment.entries[0]);
    let address = deployment.entries[0].gateway_address;
    let crowd = ReturningCrowd::open(address, kinds);
    crowd.settle().await;
    let mut faults = Vec::new();
    for index in 0..ORDINARY_REQUESTS {
        let head = ["hemlockramp-idempotent: true"];
        let reply = caller::post(address, "/requests/photos/x", &head, "x").await;
        let status = reply.map(|reply| reply.status);
        if !matches!(status, Ok(200)) {
            faults.push(format!(
                "{name}: request {index} was answered with {status:?}"
            ));
        }
    }
    crowd.close();
    faults.extend(find_ended(name, &mut deployment));
    faults.extend(samplers.close(name));
    deployment.close().await;
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Ordinary callers get their answers while clients of all kinds come back whenever they are closed.
#[tokio::test(flavor = "multi_thread")]
async fn ordinary_callers_are_served_beside_clients_that_come_back() {
    let once = |writes| ClientKind::once(writes);
    let kinds = vec![
        once(nothing(POST_REQUEST)),
        once(head_over_the_limit(POST_REQUEST)),
        once(empty_lines(POST_REQUEST)),
        once(stalled_body(POST_REQUEST)),
        once(small_chunks(POST_REQUEST)),
        once(unread_answers(GET_JOB, UNREAD_REQUESTS)),
        once(unread_answers(GET_METRICS, UNREAD_REQUESTS)),
    ];
    play_returning("gateway-returning", kinds).await;
}

/// Ordinary callers get their answers while clients that are always busy hold all places.
#[tokio::test(flavor = "multi_thread")]
async fn ordinary_callers_are_served_beside_clients_that_are_always_busy() {
    let requests = unread_answers(GET_LIVE, UNREAD_REQUESTS);
    play_returning("gateway-busy", vec![ClientKind::repeating(requests)]).await;
}
