//! Fault tests with real processes that are killed, frozen and replaced, and with a log that is
//! down, slow or loses responses.

mod support;

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use standins::caller;
use standins::fault::{FaultMode, FaultSetting};
use standins::test_deployment::TestDeployment;
use support::{DeploymentBuilder, first_ticket, gang};

/// Short timing settings, so that leases expire within a test.
fn short_timing() -> Value {
    json!({
        "lease_ms": 3_000, "lease_margin_ms": 500, "renew_ms": 500, "worker_timeout_ms": 500,
        "lost_after_ms": 1_500, "heartbeat_ms": 150, "peer_dead_ms": 700,
        "append_timeout_ms": 500, "settle_timeout_ms": 3_000,
        "snapshot_every_records": 40, "snapshot_every_ms": 5_000,
    })
}

async fn start(name: &str) -> TestDeployment {
    let deployment = DeploymentBuilder::new(name)
        .timing(short_timing())
        .start()
        .await;
    deployment
        .post(0, "/tickets", &first_ticket())
        .await
        .expect("ticket 1");
    deployment
}

fn fault(mode: FaultMode, ms: u64, count: u64) -> FaultSetting {
    FaultSetting { mode, ms, count }
}

/// Submits four gangs of two workers each and waits until they run.
async fn submit_four(deployment: &TestDeployment, command: &str) {
    for index in 0..4 {
        let job = gang(&format!("job{index}"), "photos", 8, 2, command);
        deployment.post(0, "/jobs", &job).await.expect("job");
    }
    for index in 0..4 {
        let id = format!("job{index}");
        deployment
            .wait_job(1, &id, "running")
            .await
            .expect("job runs");
    }
}

/// Waits until all four jobs are finished and returns the sum of their attempts.
async fn wait_four_finished(deployment: &TestDeployment, index: usize) -> u64 {
    let mut attempts = 0;
    for number in 0..4 {
        let id = format!("job{number}");
        deployment
            .wait_job(index, &id, "finished")
            .await
            .expect("job ends");
        let job = deployment
            .get(index, &format!("/jobs/{id}"))
            .await
            .expect("job");
        attempts += job["attempts"].as_u64().expect("a number");
    }
    attempts
}

async fn close(deployment: TestDeployment) {
    assert_eq!(deployment.violations(), Vec::<String>::new());
    println!("partial gangs: {:?}", deployment.findings());
    deployment.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn owner_frozen_past_its_lease_is_taken_over() {
    let deployment = start("frozen").await;
    submit_four(&deployment, "run 9000").await;
    deployment.freeze_scheduler(0, true).expect("frozen");
    tokio::time::sleep(Duration::from_secs(6)).await;
    deployment.freeze_scheduler(0, false).expect("thawed");
    assert_eq!(
        wait_four_finished(&deployment, 1).await,
        4,
        "no attempt is lost"
    );
    close(deployment).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn running_jobs_survive_a_log_outage_and_the_loss_of_their_owner() {
    let mut deployment = start("log_down").await;
    submit_four(&deployment, "run 5000").await;
    for switch in [&deployment.log.append_fault, &deployment.log.read_fault] {
        switch.set(fault(FaultMode::Down, 0, 0));
    }
    deployment.kill_scheduler(0);
    let submitted_at = Instant::now();
    let refused = gang("refused", "photos", 1, 1, "run 1");
    let gateway = deployment.entries[1].gateway_address;
    let response = caller::post(gateway, "/jobs", &[], &refused.to_string())
        .await
        .expect("a response");
    assert_eq!(
        (response.status, response.verdict.as_str()),
        (503, "not-run"),
        "{}",
        response.body
    );
    assert!(
        submitted_at.elapsed() < Duration::from_secs(6),
        "refused in {:?}",
        submitted_at.elapsed()
    );
    // Longer than the leases (3 s) and the jobs (5 s).
    tokio::time::sleep(Duration::from_secs(8)).await;
    for switch in [&deployment.log.append_fault, &deployment.log.read_fault] {
        switch.set(FaultSetting::default());
    }
    assert_eq!(
        wait_four_finished(&deployment, 1).await,
        4,
        "finished runs are recorded once the log is available again"
    );
    assert!(
        deployment.get(1, "/jobs/refused").await.is_err(),
        "the refused job is not recorded"
    );
    close(deployment).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn resubmission_succeeds_after_a_lost_append_response_and_an_owner_crash() {
    let mut deployment = start("lost_answer").await;
    deployment
        .log
        .append_fault
        .set(fault(FaultMode::LoseAnswer, 0, 1));
    let job = gang("job", "photos", 8, 2, "run 300");
    let gateway = deployment.entries[0].gateway_address;
    let text = job.to_string();
    let first = caller::post(gateway, "/jobs", &[], &text);
    let kill = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        deployment.kill_scheduler(0);
    };
    let (first, ()) = tokio::join!(first, kill);
    println!("first: {first:?}");
    deployment
        .post(1, "/jobs", &job)
        .await
        .expect("resubmitted");
    deployment
        .wait_job(1, "job", "finished")
        .await
        .expect("job ends");
    close(deployment).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_tickets_with_one_number_have_one_winner() {
    let deployment = start("ticket_race").await;
    deployment
        .log
        .append_fault
        .set(fault(FaultMode::Slow, 300, 0));
    let ticket = |author: &str, quota: u32| {
        json!({ "number": 2, "author": author,
                "teams": [{ "team": "photos", "quota_accelerators": quota }] })
    };
    let (one, other) = (ticket("ann", 40).to_string(), ticket("bo", 48).to_string());
    let first = caller::post(deployment.entries[0].gateway_address, "/tickets", &[], &one);
    let second = caller::post(
        deployment.entries[1].gateway_address,
        "/tickets",
        &[],
        &other,
    );
    let (first, second) = tokio::join!(first, second);
    let responses = [first.expect("first"), second.expect("second")];
    let accepted = responses
        .iter()
        .filter(|response| response.status == 201)
        .count();
    assert_eq!(accepted, 1, "{responses:?}");
    let loser = responses
        .iter()
        .find(|response| response.status != 201)
        .expect("a refused ticket");
    assert_eq!(loser.verdict, "not-run");
    assert!(loser.body.contains("next free is 3"), "{}", loser.body);
    deployment.log.append_fault.set(FaultSetting::default());
    for index in 0..2 {
        let shown = deployment.get(index, "/tickets/2").await.expect("ticket 2");
        let winner = if responses[0].status == 201 {
            "ann"
        } else {
            "bo"
        };
        assert_eq!(shown["author"], winner);
    }
    close(deployment).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn state_is_restored_from_a_snapshot_when_all_hosts_are_replaced() {
    let mut deployment = start("all_replaced").await;
    for index in 0..30 {
        let job = gang(&format!("small{index}"), "photos", 1, 1, "run 20");
        deployment
            .post(index % 2, "/jobs", &job)
            .await
            .expect("job");
    }
    for index in 0..30 {
        let id = format!("small{index}");
        deployment
            .wait_job(0, &id, "finished")
            .await
            .expect("job ends");
    }
    submit_four(&deployment, "run 6000").await;
    standins::test_deployment::wait_for("a snapshot covers the ticket", || async {
        let parts = deployment.log.dump("hemlockramp-snapshots");
        let last = parts
            .last()
            .and_then(|part| serde_json::from_str::<Value>(&part.text).ok());
        last.is_some_and(|part| part["covers"].as_u64() > Some(60))
    })
    .await
    .expect("snapshot");
    for index in 0..2 {
        deployment.kill_scheduler(index);
        deployment.kill_gateway(index);
    }
    deployment.log.retain_newest("hemlockramp-journal", 60);
    for index in 0..2 {
        deployment.start_scheduler(index).expect("scheduler");
        deployment.start_gateway(index).expect("gateway");
    }
    for index in 0..2 {
        deployment.wait_ready(index).await.expect("ready");
        let shown = deployment
            .get(index, "/tickets/1")
            .await
            .expect("ticket 1 is in force");
        assert_eq!(shown["author"], "operator");
    }
    assert_eq!(
        wait_four_finished(&deployment, 0).await,
        4,
        "running jobs survive the replacement of all hosts"
    );
    close(deployment).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn rolling_restart_under_load_costs_no_attempt() {
    let mut deployment = start("rolling").await;
    submit_four(&deployment, "run 8000").await;
    for index in 0..2 {
        deployment.kill_scheduler(index);
        deployment.kill_gateway(index);
        deployment.start_scheduler(index).expect("scheduler");
        deployment.start_gateway(index).expect("gateway");
        deployment.wait_ready(index).await.expect("ready");
    }
    assert_eq!(wait_four_finished(&deployment, 0).await, 4);
    close(deployment).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_worker_causes_its_whole_gang_to_rerun_elsewhere() {
    let deployment = start("silent_worker").await;
    let job = gang("gang", "photos", 8, 3, "run 5000");
    deployment.post(0, "/jobs", &job).await.expect("job");
    deployment
        .wait_job(1, "gang", "running")
        .await
        .expect("gang runs");
    let used = deployment
        .workers
        .iter()
        .position(|(worker, _)| !worker.runs().is_empty());
    let silent = &deployment.workers[used.expect("a used worker")].0;
    silent.fault.set(fault(FaultMode::Silent, 0, 0));
    deployment
        .wait_job(1, "gang", "finished")
        .await
        .expect("gang ends");
    let shown = deployment.get(0, "/jobs/gang").await.expect("job");
    assert_eq!(shown["attempts"], 2, "{shown}");
    close(deployment).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gang_with_a_silent_worker_stops_during_a_log_outage() {
    let deployment = start("silent_log_down").await;
    let job = gang("gang", "photos", 8, 3, "run 20000");
    deployment.post(0, "/jobs", &job).await.expect("job");
    deployment
        .wait_job(1, "gang", "running")
        .await
        .expect("gang runs");
    for switch in [&deployment.log.append_fault, &deployment.log.read_fault] {
        switch.set(fault(FaultMode::Down, 0, 0));
    }
    let used = deployment
        .workers
        .iter()
        .position(|(worker, _)| !worker.runs().is_empty());
    let silent = &deployment.workers[used.expect("a used worker")].0;
    silent.fault.set(fault(FaultMode::Silent, 0, 0));
    let stopped = || {
        let runs = deployment
            .workers
            .iter()
            .flat_map(|(worker, _)| worker.runs());
        runs.filter(|run| run.ended_ms.is_some()).count()
    };
    // The lease of the silent worker expires after 3 s; as much again for the other workers to be
    // stopped.
    let until = Instant::now() + Duration::from_secs(8);
    while stopped() < 3 && Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(
        stopped(),
        3,
        "the whole gang stopped while the log was down"
    );
    for switch in [&deployment.log.append_fault, &deployment.log.read_fault] {
        switch.set(FaultSetting::default());
    }
    // The state alone could still be the one from before the outage.
    standins::test_deployment::wait_for("the second attempt runs", || async {
        let shown = deployment.get(0, "/jobs/gang").await;
        shown.is_ok_and(|job| job["attempts"] == 2 && job["state"] == "running")
    })
    .await
    .expect("it runs again");
    close(deployment).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_worker_that_fails_every_task_is_quarantined() {
    let deployment = start("quarantine").await;
    for index in 0..3 {
        let job = gang(&format!("bad{index}"), "photos", 1, 1, "fail 20");
        deployment.post(0, "/jobs", &job).await.expect("job");
        deployment
            .wait_job(0, &format!("bad{index}"), "failed")
            .await
            .expect("job fails");
        let shown = deployment
            .get(0, &format!("/jobs/bad{index}"))
            .await
            .expect("job");
        let reason = shown["reason"].as_str().unwrap_or("").to_owned();
        assert!(
            reason.contains("distinct workers") || reason.contains("used up"),
            "{reason}"
        );
    }
    let hosts = deployment.get(0, "/hosts").await.expect("hosts");
    let workers = hosts["workers"].as_array().expect("workers");
    let quarantined = workers
        .iter()
        .filter(|worker| worker["state"] == "quarantined")
        .count();
    assert!(
        (1..=2).contains(&quarantined),
        "at most a quarter of the workers: {quarantined} of 8"
    );
    close(deployment).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_team_reclaims_its_guarantee_from_a_full_cluster() {
    let deployment = start("reclaim").await;
    for index in 0..8 {
        let job = gang(&format!("fill{index}"), "photos", 8, 1, "run 60000");
        deployment.post(0, "/jobs", &job).await.expect("filler");
    }
    for index in 0..8 {
        deployment
            .wait_job(0, &format!("fill{index}"), "running")
            .await
            .expect("filler runs");
    }
    let mut urgent = gang("urgent", "restock", 32, 1, "run 200");
    urgent["urgent"] = json!(true);
    let submitted_at = Instant::now();
    deployment.post(1, "/jobs", &urgent).await.expect("urgent");
    deployment
        .wait_job(0, "urgent", "finished")
        .await
        .expect("urgent ends");
    println!(
        "urgent job finished {:?} after its submission",
        submitted_at.elapsed()
    );
    let report = deployment
        .get(0, "/report?json=true")
        .await
        .expect("report");
    let rows = report["rows"].as_array().expect("rows");
    let photos = rows
        .iter()
        .find(|row| row["team"] == "photos")
        .expect("photos");
    assert_eq!(
        photos["evicted"], 4,
        "only the four jobs on the guaranteed shape are evicted: {photos}"
    );
    close(deployment).await;
}
