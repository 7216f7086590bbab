//! Tests of requests through real gateways: idempotency keys across hosts, crashes, graceful
//! shutdown and log outages.

mod support;

use std::time::Duration;

use serde_json::json;
use standins::caller::{self, CallerResponse};
use standins::fault::{FaultMode, FaultSetting};
use standins::test_deployment::TestDeployment;
use support::{DeploymentBuilder, first_ticket};

async fn start(name: &str) -> TestDeployment {
    let deployment = DeploymentBuilder::new(name).workers(4).start().await;
    let mut ticket = first_ticket();
    ticket["teams"][0]["guarantees"] = json!([]);
    deployment
        .post(0, "/tickets", &ticket)
        .await
        .expect("ticket 1");
    deployment
}

async fn book(deployment: &TestDeployment, index: usize, key: &str, query: &str) -> CallerResponse {
    let key = format!("idempotency-key: {key}");
    let headers = [key.as_str(), "hemlockramp-deadline-ms: 4000"];
    let path = format!("/requests/photos/book{query}");
    let gateway = deployment.entries[index].gateway_address;
    caller::post(gateway, &path, &headers, "a couch")
        .await
        .expect("a response")
}

fn effects(deployment: &TestDeployment) -> usize {
    deployment
        .runners
        .iter()
        .map(|(runner, _)| runner.effects().len())
        .sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_requests_with_one_key_run_once() {
    let deployment = start("same_key").await;
    for round in 0..10 {
        let key = format!("k{round}");
        let (one, other) = tokio::join!(
            book(&deployment, 0, &key, "?work_ms=50"),
            book(&deployment, 1, &key, "?work_ms=50")
        );
        for response in [one, other] {
            assert_eq!((response.status, response.body.as_str()), (200, "a couch"));
        }
        assert_eq!(effects(&deployment), round + 1);
    }
    let gateway = deployment.entries[0].gateway_address;
    let other = caller::post(
        gateway,
        "/requests/photos/book",
        &["idempotency-key: k0"],
        "other",
    );
    let other = other.await.expect("a response");
    assert_eq!(
        (other.status, other.verdict.as_str()),
        (422, "not-run"),
        "{}",
        other.body
    );
    let old = ["idempotency-key: k99", "idempotency-issued-ms: 1000"];
    let old = caller::post(gateway, "/requests/photos/book", &old, "x")
        .await
        .expect("a response");
    assert_eq!(
        (old.status, old.verdict.as_str()),
        (409, "may-have-run"),
        "{}",
        old.body
    );
    deployment.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_interrupted_by_a_gateway_crash_may_have_run() {
    let mut deployment = start("killed_sending").await;
    let gateway = deployment.entries[0].gateway_address;
    let headers = ["idempotency-key: k1"];
    let lost = caller::post(
        gateway,
        "/requests/photos/book?work_ms=600",
        &headers,
        "a couch",
    );
    let kill = async {
        tokio::time::sleep(Duration::from_millis(350)).await;
        deployment.kill_gateway(0);
    };
    let (lost, ()) = tokio::join!(lost, kill);
    assert!(
        lost.is_err(),
        "the connection of the caller is broken: {lost:?}"
    );
    let again = book(&deployment, 1, "k1", "?work_ms=600").await;
    assert_eq!(
        (again.status, again.verdict.as_str()),
        (409, "may-have-run"),
        "{}",
        again.body
    );
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(effects(&deployment), 1);
    deployment.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_log_outage_refuses_keyed_requests_and_serves_idempotent_ones() {
    let deployment = start("requests_log_down").await;
    deployment.log.append_fault.set(FaultSetting {
        mode: FaultMode::Down,
        ms: 0,
        count: 0,
    });
    let refused = book(&deployment, 0, "k1", "").await;
    assert_eq!(
        (refused.status, refused.verdict.as_str()),
        (503, "not-run"),
        "{}",
        refused.body
    );
    assert_eq!(effects(&deployment), 0);
    let gateway = deployment.entries[0].gateway_address;
    let idempotent_header = ["hemlockramp-idempotent: true"];
    let response = caller::post(gateway, "/requests/photos/slots", &idempotent_header, "a").await;
    assert_eq!(response.expect("idempotent").body, "a");
    deployment.log.append_fault.set(FaultSetting::default());
    assert_eq!(
        book(&deployment, 1, "k1", "").await.status,
        200,
        "the refused request left the key unused"
    );
    deployment.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_under_load_completes_all_requests() {
    let mut deployment = start("shutdown").await;
    let gateway = deployment.entries[0].gateway_address;
    let ready = format!("http://{gateway}/ready");
    let mut calls = Vec::new();
    for index in 0..60 {
        let body = format!("b{index}");
        calls.push(tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(10 * index)).await;
            let idempotent_header = ["hemlockramp-idempotent: true"];
            let path = "/requests/photos/slots?work_ms=300";
            (
                caller::post(gateway, path, &idempotent_header, &body).await,
                body,
            )
        }));
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    deployment.terminate_gateway(0).expect("terminated");
    tokio::time::sleep(Duration::from_millis(100)).await;
    let client = hemlockramp::wire::http::HttpClient::default();
    let response = client.get_text(&ready, Duration::from_secs(1)).await;
    assert!(
        response.is_err(),
        "the gateway is not ready any more while it still accepts requests"
    );
    for call in calls {
        let (response, body) = call.await.expect("joined");
        // All were sent within the notice period of the load balancer, in which requests are accepted.
        assert_eq!(response.expect("a response").body, body);
    }
    assert!(deployment.wait_gateway_end(0).expect("ended").success());
    deployment.close().await;
}
