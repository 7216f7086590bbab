//! Builders and fixtures shared by the integration tests.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub mod answering_pool;
pub mod crowd_play;
pub mod crowded_pool;
pub mod fold;
pub mod log;
pub mod memory_store;
pub mod naive;
pub mod order_log;
pub mod pool_sim;

use std::path::PathBuf;
use std::time::Duration;

use serde_json::{Value, json};
use standins::test_deployment::{DaemonCommand, DeploymentPlan, TestDeployment};

/// Builds a test cluster that runs the daemons of the current build.
pub struct DeploymentBuilder {
    plan: DeploymentPlan,
}

impl DeploymentBuilder {
    /// Creates a builder with two entry hosts, eight workers and two runners.
    pub fn new(name: &str) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        // Removes the logs of an earlier run.
        let _ = std::fs::remove_dir_all(&folder);
        Self {
            plan: DeploymentPlan {
                scheduler: program(env!("CARGO_BIN_EXE_hemlockramp-scheduler")),
                gateway: program(env!("CARGO_BIN_EXE_hemlockramp-gateway")),
                hosts: 2,
                workers: 8,
                runners: 2,
                timing: json!({}),
                requests: json!({}),
                machine: json!({}),
                list_lag: Duration::from_millis(300),
                folder,
            },
        }
    }

    pub fn hosts(mut self, hosts: usize) -> Self {
        self.plan.hosts = hosts;
        self
    }

    pub fn workers(mut self, workers: usize) -> Self {
        self.plan.workers = workers;
        self
    }

    pub fn runners(mut self, runners: usize) -> Self {
        self.plan.runners = runners;
        self
    }

    pub fn timing(mut self, timing: Value) -> Self {
        self.plan.timing = timing;
        self
    }

    pub fn requests(mut self, requests: Value) -> Self {
        self.plan.requests = requests;
        self
    }

    pub fn machine(mut self, machine: Value) -> Self {
        self.plan.machine = machine;
        self
    }

    pub async fn start(self) -> TestDeployment {
        TestDeployment::start(self.plan)
            .await
            .expect("start the test cluster")
    }
}

fn program(path: &str) -> DaemonCommand {
    DaemonCommand {
        words: vec![path.into()],
    }
}

/// Returns a gang job of `count` members with the given shape.
pub fn gang(id: &str, team: &str, shape: u32, count: u32, command: &str) -> Value {
    json!({
        "id": id, "team": team, "shape": shape, "count": count,
        "declared_ms": 1_000, "command": command,
    })
}

/// Returns ticket 1 with a team that has a guarantee and a team that only borrows.
pub fn first_ticket() -> Value {
    json!({
        "number": 1, "author": "operator",
        "teams": [
            { "team": "restock", "quota_accelerators": 64,
              "guarantees": [{ "domain": "d0", "shape": 32, "count": 1 }] },
            { "team": "photos", "quota_accelerators": 64 },
        ],
    })
}
