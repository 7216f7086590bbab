//! Callers whose requests keep many runners busy at once, against a real gateway process.

mod support;

use serde_json::json;
use standins::crowd_shapes::unread_answers;
use support::crowd_play::{ONE_AT_A_TIME, gateway, low_limits, play_on};

/// Number of runners; together they have more slots than the gateway has sockets.
const RUNNERS: usize = 30;
/// Requests that a client sends without reading an answer.
const REQUESTS: usize = 20;

const POST_SLOW: &str = "POST /requests/photos/x?work_ms=200 HTTP/1.1\r\nHost: x\r\n\
    Hemlockramp-Idempotent: true\r\nContent-Length: 0\r\n";

/// Requests at once do not take more descriptors than the gateway has, however many runners there are.
#[tokio::test(flavor = "multi_thread")]
async fn connections_to_runners_are_bounded() {
    let _guard = ONE_AT_A_TIME.lock().await;
    let case = gateway("gateway-many-runners", || {
        unread_answers(POST_SLOW, REQUESTS)
    });
    let deployment = low_limits(case.name).runners(RUNNERS).start().await;
    let ticket = json!({ "number": 1, "author": "operator", "teams": [
        { "team": "photos", "quota_accelerators": 64, "max_requests_in_flight": 1_000 }] });
    let ticket = deployment.post(0, "/tickets", &ticket).await;
    ticket.expect("ticket 1");
    let faults = play_on(deployment, &case).await;
    assert!(faults.is_empty(), "{faults:#?}");
}
