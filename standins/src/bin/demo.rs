//! Demo: runs jobs and requests on a deployment on loopback, then prints the report.
//!
//! The same program also runs the daemons: `demo role scheduler SETTINGS` is a scheduler and
//! `demo role gateway SETTINGS` a gateway.

use std::ffi::OsString;
use std::process::ExitCode;
use std::time::Duration;

use eyre::{Report, ensure, eyre};
use hemlockramp::command::daemon::run_program;
use hemlockramp::command::programs::{GatewayProgram, SchedulerProgram};
use serde_json::{Value, json};
use standins::caller;
use standins::test_deployment::{DaemonCommand, DeploymentPlan, TestDeployment};

/// Number of bookings, each with its own idempotency key.
const BOOKINGS: usize = 5;

fn main() -> ExitCode {
    let mut arguments = std::env::args_os().skip(1);
    if arguments.next().is_none_or(|word| word != "role") {
        return run_demo();
    }
    match arguments.next().as_deref().and_then(|role| role.to_str()) {
        Some("scheduler") => run_program::<SchedulerProgram>(arguments),
        Some("gateway") => run_program::<GatewayProgram>(arguments),
        _ => ExitCode::from(2),
    }
}

fn run_demo() -> ExitCode {
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error.into()),
    };
    match runtime.block_on(demo()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

fn fail(error: &Report) -> ExitCode {
    eprintln!("demo: {error:?}");
    ExitCode::FAILURE
}

async fn demo() -> Result<(), Report> {
    let folder = std::env::temp_dir().join(format!("hemlockramp-demo-{}", std::process::id()));
    println!(
        "Starts 2 entry hosts, 8 workers and 2 runners; logs are in {}.",
        folder.display()
    );
    let deployment = TestDeployment::start(DeploymentPlan {
        scheduler: role("scheduler")?,
        gateway: role("gateway")?,
        hosts: 2,
        workers: 8,
        runners: 2,
        timing: json!({}),
        requests: json!({}),
        machine: json!({}),
        list_lag: Duration::from_millis(500),
        folder,
    })
    .await?;
    show_jobs(&deployment).await?;
    show_requests(&deployment).await?;
    println!("\n{}", deployment.get_text(0, "/report").await?);
    let violations = deployment.violations();
    deployment.close().await;
    ensure!(
        violations.is_empty(),
        "the fake servers recorded violated invariants: {violations:?}"
    );
    println!("All good.");
    Ok(())
}

fn role(name: &str) -> Result<DaemonCommand, Report> {
    let program = std::env::current_exe()?.into_os_string();
    Ok(DaemonCommand {
        words: vec![program, OsString::from("role"), OsString::from(name)],
    })
}

/// Job path: applies a ticket, then runs a gang on borrowed capacity and a guaranteed gang
/// that reclaims it.
async fn show_jobs(deployment: &TestDeployment) -> Result<(), Report> {
    let ticket = json!({
        "number": 1,
        "author": "depot-operator",
        "teams": [
            { "team": "restock", "quota_accelerators": 64,
              "guarantees": [{ "domain": "d0", "shape": 32, "count": 1 }] },
            { "team": "photos", "quota_accelerators": 64 },
        ],
    });
    println!(
        "\nTicket 1: {}",
        deployment.post(0, "/tickets", &ticket).await?
    );
    let photos = gang("photo-sort", "photos", 8, 8, 1_500);
    println!(
        "Borrowing gang: {}",
        deployment.post(0, "/jobs", &photos).await?
    );
    deployment.wait_job(1, "photo-sort", "running").await?;
    let restock = gang("restock-plan", "restock", 32, 1, 300);
    println!(
        "Guaranteed gang: {}",
        deployment.post(1, "/jobs", &restock).await?
    );
    deployment.wait_job(0, "restock-plan", "finished").await?;
    deployment.wait_job(1, "photo-sort", "finished").await?;
    println!("Ticket 1 now: {}", deployment.get(1, "/tickets/1").await?);
    for id in ["restock-plan", "photo-sort"] {
        print_steps(&deployment.get(0, &format!("/jobs/{id}/explain")).await?);
    }
    Ok(())
}

fn gang(id: &str, team: &str, shape: u32, count: u32, run_ms: u64) -> Value {
    json!({
        "id": id, "team": team, "shape": shape, "count": count,
        "declared_ms": run_ms, "command": format!("run {run_ms}"),
    })
}

fn print_steps(explained: &Value) {
    println!("\nexplain {}:", explained["job"]["id"]);
    for step in explained["steps"].as_array().into_iter().flatten() {
        println!(
            "  offset {:>3}: {}",
            step["offset"],
            step["text"].as_str().unwrap_or("?")
        );
    }
}

/// Request path: sends an idempotent request, then keyed bookings through both gateways.
///
/// # Errors
///
/// Returns an error if a response belongs to another request, or if the number of effects
/// differs from the number of bookings.
async fn show_requests(deployment: &TestDeployment) -> Result<(), Report> {
    let gateway = deployment.entries[0].gateway_address;
    let slots = caller::post(
        gateway,
        "/requests/photos/slots",
        &["hemlockramp-idempotent: true"],
        "free?",
    )
    .await?;
    println!("\nIdempotent request: {} {}", slots.status, slots.body);
    ensure!(
        slots.body == "free?",
        "the response to the idempotent request is not the body sent, `free?`"
    );
    for booking in 0..BOOKINGS {
        let key = format!("idempotency-key: booking-{booking}");
        let body = format!("couch {booking}");
        for entry in &deployment.entries {
            let address = entry.gateway_address;
            let answer = caller::post(address, "/requests/photos/book", &[&key], &body).await?;
            ensure!(
                answer.status == 200,
                "booking {booking}: {} {}",
                answer.status,
                answer.body
            );
            ensure!(
                answer.body == body,
                "booking {booking} got the response to another request"
            );
        }
    }
    let effects = deployment
        .runners
        .iter()
        .flat_map(|(runner, _)| runner.effects());
    let booked = effects.filter(|effect| effect.path == "book").count();
    println!("{BOOKINGS} bookings, each sent to both gateways: {booked} effects.");
    match booked == BOOKINGS {
        true => Ok(()),
        false => Err(eyre!(
            "{BOOKINGS} bookings had {booked} effects instead of one each"
        )),
    }
}
