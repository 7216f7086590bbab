//! Tests that configuration, host list changes, failures and shutdowns take effect within seconds
//! in a cluster of real processes.
//!
//! Elapsed times are only printed, since they vary under load; the waits have generous limits.

mod support;

use std::time::{Duration, Instant};

use hemlockramp::wire::log::HostState;
use serde_json::{Value, json};
use standins::caller;
use standins::fault::{FaultMode, FaultSetting};
use standins::test_deployment::{TestDeployment, wait_for};
use support::{DeploymentBuilder, first_ticket, gang};

/// Time after which a leaving runner must get no new work, in s.
const LEAVE_GRACE_S: u64 = 5;

fn short_timing() -> Value {
    json!({
        "lease_ms": 3_000, "lease_margin_ms": 500, "renew_ms": 500, "worker_timeout_ms": 500,
        "lost_after_ms": 1_500, "heartbeat_ms": 150, "peer_dead_ms": 700,
    })
}

async fn start(name: &str, hosts: usize, workers: usize) -> TestDeployment {
    let builder = DeploymentBuilder::new(name).hosts(hosts).workers(workers);
    let deployment = builder.timing(short_timing()).start().await;
    deployment
        .post(0, "/tickets", &first_ticket())
        .await
        .expect("ticket 1");
    deployment
}

#[tokio::test(flavor = "multi_thread")]
async fn a_ticket_is_in_force_on_every_host() {
    let deployment = start("in_force", 3, 8).await;
    let ticket = json!({ "number": 2, "author": "ann",
        "teams": [{ "team": "photos", "quota_accelerators": 8 }] });
    let submitted_at = Instant::now();
    deployment
        .post(2, "/tickets", &ticket)
        .await
        .expect("ticket 2");
    wait_for("all three hosts have ticket 2", || async {
        let shown = deployment.get(0, "/tickets/2").await.unwrap_or_default();
        shown["in_force"]
            .as_array()
            .is_some_and(|hosts| hosts.len() == 3)
    })
    .await
    .expect("in force");
    println!(
        "ticket known to be in force on 3 hosts after {:?}",
        submitted_at.elapsed()
    );
    for index in 0..3 {
        let big = gang(&format!("big{index}"), "photos", 8, 2, "run 1");
        assert!(
            deployment.post(index, "/jobs", &big).await.is_err(),
            "the lower quota is enforced at host {index}"
        );
    }
    deployment.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_runner_marked_leaving_in_the_host_list_gets_no_new_work() {
    let deployment = start("leaving", 2, 8).await;
    let send = |index: usize| {
        let gateway = deployment.entries[index % 2].gateway_address;
        let idempotent_header = ["hemlockramp-idempotent: true"];
        async move { caller::post(gateway, "/requests/photos/x", &idempotent_header, "x").await }
    };
    for index in 0..40 {
        send(index).await.expect("a response");
    }
    assert!(
        !deployment.runners[0].0.effects().is_empty(),
        "the runner had work before"
    );
    let mut listing = deployment.listing();
    let host = listing
        .hosts
        .iter_mut()
        .find(|host| host.name == "run0")
        .expect("run0");
    host.state = HostState::Leaving;
    deployment.list.publish(listing);
    tokio::time::sleep(Duration::from_secs(LEAVE_GRACE_S)).await;
    let before = deployment.runners[0].0.effects().len();
    for index in 0..60 {
        assert_eq!(send(index).await.expect("a response").status, 200);
    }
    assert_eq!(deployment.runners[0].0.effects().len(), before);
    deployment.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn jobs_of_a_lost_failure_domain_are_rerun_in_the_other() {
    let deployment = start("domain_lost", 2, 16).await;
    for index in 0..4 {
        let job = gang(&format!("job{index}"), "photos", 8, 2, "run 4000");
        deployment.post(0, "/jobs", &job).await.expect("job");
    }
    for index in 0..4 {
        let id = format!("job{index}");
        deployment
            .wait_job(0, &id, "running")
            .await
            .expect("job runs");
    }
    let lost = Instant::now();
    for (worker, _) in &deployment.workers[..8] {
        worker.fault.set(FaultSetting {
            mode: FaultMode::Silent,
            ms: 0,
            count: 0,
        });
    }
    wait_for("the report shows the guarantee as short", || async {
        let report = deployment
            .get(0, "/report?json=true")
            .await
            .unwrap_or_default();
        let rows = report["rows"].as_array().cloned().unwrap_or_default();
        rows.iter()
            .any(|row| row["team"] == "restock" && row["short"] == 32)
    })
    .await
    .expect("the shortfall is reported");
    println!("the shortfall was reported after {:?}", lost.elapsed());
    for index in 0..4 {
        let id = format!("job{index}");
        deployment
            .wait_job(1, &id, "finished")
            .await
            .expect("job ends");
    }
    assert_eq!(deployment.violations(), Vec::<String>::new());
    deployment.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn graceful_scheduler_shutdown_hands_over_running_jobs() {
    let deployment = start("scheduler_ends", 2, 8).await;
    for index in 0..4 {
        let job = gang(&format!("job{index}"), "photos", 8, 2, "run 5000");
        deployment.post(0, "/jobs", &job).await.expect("job");
    }
    for index in 0..4 {
        let id = format!("job{index}");
        deployment
            .wait_job(0, &id, "running")
            .await
            .expect("job runs");
    }
    deployment.terminate_scheduler(0).expect("terminated");
    for index in 0..4 {
        let id = format!("job{index}");
        deployment
            .wait_job(0, &id, "finished")
            .await
            .expect("job ends");
        let job = deployment
            .get(0, &format!("/jobs/{id}"))
            .await
            .expect("job");
        assert_eq!(job["attempts"], 1, "{job}");
    }
    assert_eq!(deployment.violations(), Vec::<String>::new());
    deployment.close().await;
}
