//! End-to-end tests of jobs and requests across separate processes, also with a host killed while
//! they run and with invalid input.

mod support;

use serde_json::json;
use standins::caller;
use support::{DeploymentBuilder, first_ticket, gang};

#[tokio::test(flavor = "multi_thread")]
async fn jobs_and_requests_run_end_to_end() {
    let deployment = DeploymentBuilder::new("both_paths").start().await;
    deployment
        .post(0, "/tickets", &first_ticket())
        .await
        .expect("ticket 1");
    let borrower = gang("borrower", "photos", 8, 8, "run 20000");
    deployment
        .post(0, "/jobs", &borrower)
        .await
        .expect("borrower");
    deployment
        .wait_job(1, "borrower", "running")
        .await
        .expect("borrower runs");
    let claimer = gang("claimer", "restock", 32, 1, "run 200");
    deployment
        .post(1, "/jobs", &claimer)
        .await
        .expect("claimer");
    deployment
        .wait_job(0, "claimer", "finished")
        .await
        .expect("claimer ends");
    let report = deployment.get_text(0, "/report").await.expect("report");
    assert!(report.contains("restock"), "{report}");

    let gateway = deployment.entries[0].gateway_address;
    let idempotent_header = ["hemlockramp-idempotent: true"];
    let response = caller::post(gateway, "/requests/photos/slots", &idempotent_header, "a").await;
    assert_eq!(response.expect("idempotent").body, "a");
    let keyed = ["idempotency-key: k1"];
    let response = caller::post(gateway, "/requests/photos/book", &keyed, "b").await;
    assert_eq!(response.expect("keyed").body, "b");
    assert_eq!(deployment.violations(), Vec::<String>::new());
    deployment.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn jobs_and_keyed_requests_survive_a_killed_host() {
    let mut deployment = DeploymentBuilder::new("killed_midway").start().await;
    deployment
        .post(0, "/tickets", &first_ticket())
        .await
        .expect("ticket 1");
    for index in 0..4 {
        let job = gang(&format!("job{index}"), "photos", 8, 2, "run 2000");
        deployment.post(0, "/jobs", &job).await.expect("job");
    }
    deployment
        .wait_job(1, "job0", "running")
        .await
        .expect("job0 runs");
    let keyed = ["idempotency-key: k1"];
    let first = caller::post(
        deployment.entries[0].gateway_address,
        "/requests/photos/book",
        &keyed,
        "b",
    );
    assert_eq!(first.await.expect("first").status, 200);

    deployment.kill_scheduler(0);
    deployment.kill_gateway(0);
    for index in 0..4 {
        let id = format!("job{index}");
        deployment
            .wait_job(1, &id, "finished")
            .await
            .expect("job ends");
        let job = deployment
            .get(1, &format!("/jobs/{id}"))
            .await
            .expect("job");
        assert_eq!(job["attempts"], 1, "a killed host costs no attempt: {job}");
    }
    let again = caller::post(
        deployment.entries[1].gateway_address,
        "/requests/photos/book",
        &keyed,
        "b",
    );
    // The host may have died before it recorded the first response.
    let again = again.await.expect("again");
    let known = again.status == 200 && again.body == "b";
    let unsure = again.status == 409 && again.verdict == "may-have-run";
    assert!(known || unsure, "{again:?}");
    let effects = deployment
        .runners
        .iter()
        .flat_map(|(runner, _)| runner.effects());
    assert_eq!(effects.count(), 1, "the keyed request ran once");
    assert_eq!(deployment.violations(), Vec::<String>::new());
    deployment.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_input_is_refused_without_side_effects() {
    struct Case {
        name: &'static str,
        path: &'static str,
        body: String,
        status: u16,
    }
    let deployment = DeploymentBuilder::new("bad_input").hosts(1).start().await;
    deployment
        .post(0, "/tickets", &first_ticket())
        .await
        .expect("ticket 1");
    let known = gang("known", "photos", 1, 1, "run 60000");
    deployment.post(0, "/jobs", &known).await.expect("known");
    let mut changed = known.clone();
    changed["count"] = json!(2);
    let mut unknown_team = known.clone();
    unknown_team["team"] = json!("nobody");
    unknown_team["id"] = json!("other");
    let cases = [
        Case {
            name: "malformed",
            path: "/jobs",
            body: "{".to_owned(),
            status: 400,
        },
        Case {
            name: "unknown key",
            path: "/jobs",
            body: r#"{"idd":1}"#.to_owned(),
            status: 400,
        },
        Case {
            name: "oversized",
            path: "/jobs",
            body: "x".repeat(2_000_000),
            status: 413,
        },
        Case {
            name: "unknown team",
            path: "/jobs",
            body: unknown_team.to_string(),
            status: 422,
        },
        Case {
            name: "duplicate id",
            path: "/jobs",
            body: changed.to_string(),
            status: 409,
        },
        Case {
            name: "impossible shape",
            path: "/jobs",
            body: gang("odd", "photos", 3, 1, "run 1").to_string(),
            status: 400,
        },
        Case {
            name: "above quota",
            path: "/jobs",
            body: gang("big", "photos", 128, 1, "run 1").to_string(),
            status: 422,
        },
        Case {
            name: "ticket number taken",
            path: "/tickets",
            body: json!({ "number": 1, "author": "other", "teams": [] }).to_string(),
            status: 409,
        },
        Case {
            name: "neither key nor idempotent",
            path: "/requests/photos/x",
            body: String::new(),
            status: 400,
        },
    ];
    let before = deployment.log.dump("hemlockramp-journal").len();
    let gateway = deployment.entries[0].gateway_address;
    for case in cases {
        let response = caller::post(gateway, case.path, &[], &case.body).await;
        let response = response.expect(case.name);
        assert_eq!(
            response.status, case.status,
            "{}: {}",
            case.name, response.body
        );
        assert_eq!(response.verdict, "not-run", "{}", case.name);
    }
    let records = deployment.log.dump("hemlockramp-journal");
    let submits = records[before..]
        .iter()
        .filter(|record| record.text.contains("\"submit\""));
    // The submission with a duplicate id is appended and refused by the fold.
    assert!(submits.count() <= 1);
    for id in ["other", "odd", "big"] {
        assert!(
            deployment.get(0, &format!("/jobs/{id}")).await.is_err(),
            "{id} is not recorded"
        );
    }
    deployment.close().await;
}
