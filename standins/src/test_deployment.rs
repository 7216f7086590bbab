//! Test deployment on loopback: fake servers in this process, daemons as child processes.

use std::fs;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

use dropshot::HttpServer;
use eyre::{Report, WrapErr, eyre};
use hemlockramp::wire::http::HttpClient;
use hemlockramp::wire::log::{HostEntry, HostKind, HostListing, HostState};
use serde_json::{Value, json};

pub use crate::condition::wait_for;
pub use crate::deployment_host::DeploymentHost;
pub use crate::deployment_plan::{DaemonCommand, DeploymentPlan};
use crate::host_list::{HostList, SharedHosts, start_hosts};
use crate::log_service::{LogService, SharedLog, start_log};
use crate::process::{any_port, kill};
use crate::run_invariants::{RunFindings, check_runs};
use crate::runner::{Runner, SharedRunner, start_runner};
use crate::worker::{SharedWorker, Worker, start_worker};

/// Timeout of a call to a gateway, in ms.
const CALL_TIMEOUT_MS: u64 = 15_000;
/// Request slots of each runner.
const RUNNER_SLOTS: usize = 8;

/// Running test deployment. `close` and dropping it both kill the daemons.
pub struct TestDeployment {
    plan: DeploymentPlan,
    client: HttpClient,
    /// Fake log service.
    pub log: SharedLog,
    /// Fake host list.
    pub list: SharedHosts,
    /// Workers with their addresses.
    pub workers: Vec<(SharedWorker, SocketAddr)>,
    /// Runners with their addresses.
    pub runners: Vec<(SharedRunner, SocketAddr)>,
    /// Entry hosts with their daemons.
    pub entries: Vec<DeploymentHost>,
    log_address: SocketAddr,
    list_address: SocketAddr,
    servers: FakeServers,
}

/// HTTP servers of the fake services; dropping one stops it.
struct FakeServers {
    _log: HttpServer<SharedLog>,
    _list: HttpServer<SharedHosts>,
    workers: Vec<HttpServer<SharedWorker>>,
    runners: Vec<HttpServer<SharedRunner>>,
}

impl TestDeployment {
    /// Starts all servers and daemons and waits until every gateway is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a server or daemon cannot start or a gateway does not become ready
    /// in time.
    pub async fn start(plan: DeploymentPlan) -> Result<Self, Report> {
        fs::create_dir_all(&plan.folder)
            .wrap_err("cannot create the directory of the deployment's settings and logs")?;
        let log: SharedLog = Arc::new(LogService::default());
        let list: SharedHosts = Arc::new(HostList::new(plan.list_lag));
        let log_server = start_log(Arc::clone(&log), any_port())?;
        let list_server = start_hosts(Arc::clone(&list), any_port())?;
        let mut deployment = Self {
            client: HttpClient::default(),
            log,
            list,
            workers: Vec::new(),
            runners: Vec::new(),
            entries: Vec::new(),
            log_address: log_server.local_addr(),
            list_address: list_server.local_addr(),
            servers: FakeServers {
                _log: log_server,
                _list: list_server,
                workers: Vec::new(),
                runners: Vec::new(),
            },
            plan,
        };
        deployment.start_upstreams()?;
        for index in 0..deployment.plan.hosts {
            deployment.entries.push(DeploymentHost::new(index)?);
        }
        deployment.list.publish(deployment.listing());
        for index in 0..deployment.plan.hosts {
            deployment.start_scheduler(index)?;
            deployment.start_gateway(index)?;
        }
        for index in 0..deployment.plan.hosts {
            deployment.wait_ready(index).await?;
        }
        Ok(deployment)
    }

    fn start_upstreams(&mut self) -> Result<(), Report> {
        for _ in 0..self.plan.workers {
            let worker: SharedWorker = Arc::new(Worker::default());
            let server = start_worker(Arc::clone(&worker), any_port())?;
            self.workers.push((worker, server.local_addr()));
            self.servers.workers.push(server);
        }
        for _ in 0..self.plan.runners {
            let runner: SharedRunner = Arc::new(Runner::new(RUNNER_SLOTS));
            let server = start_runner(Arc::clone(&runner), any_port())?;
            self.runners.push((runner, server.local_addr()));
            self.servers.runners.push(server);
        }
        Ok(())
    }

    /// Returns the host list with all entry hosts, workers and runners live.
    pub fn listing(&self) -> HostListing {
        let mut hosts = Vec::new();
        for entry in &self.entries {
            hosts.push(host_entry(
                &entry.name,
                HostKind::Entry,
                entry.scheduler_address,
            ));
        }
        for (index, (_, address)) in self.workers.iter().enumerate() {
            let mut host = host_entry(&format!("w{index}"), HostKind::Worker, *address);
            host.failure_domain = format!("d{}", index / 8);
            host.rack = format!("r{}", index / 4);
            host.position = (index % 4) as u8;
            host.accelerators = 8;
            hosts.push(host);
        }
        for (index, (_, address)) in self.runners.iter().enumerate() {
            hosts.push(host_entry(
                &format!("run{index}"),
                HostKind::Runner,
                *address,
            ));
        }
        HostListing { hosts }
    }

    /// Starts or restarts the scheduler of an entry host.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn start_scheduler(&mut self, index: usize) -> Result<(), Report> {
        let entry = &self.entries[index];
        let settings = json!({
            "host": entry.name,
            "failure_domain": "d0",
            "listen": entry.scheduler_address,
            "log_address": self.log_address,
            "host_list_address": self.list_address,
            "timing": self.plan.timing,
            "policy": { "checkpoint_grace_ms": 100 },
        });
        let name = format!("{}-scheduler", entry.name);
        let child = self.spawn(&self.plan.scheduler, &name, &settings)?;
        self.entries[index].scheduler = Some(child);
        Ok(())
    }

    /// Starts or restarts the gateway of an entry host.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn start_gateway(&mut self, index: usize) -> Result<(), Report> {
        let entry = &self.entries[index];
        let count = self.entries.len();
        let schedulers: Vec<SocketAddr> = (0..count)
            .map(|step| self.entries[(index + step) % count].scheduler_address)
            .collect();
        let settings = json!({
            "host": entry.name,
            "listen": entry.gateway_address,
            "schedulers": schedulers,
            "requests": self.plan.requests,
        });
        let name = format!("{}-gateway", entry.name);
        let child = self.spawn(&self.plan.gateway, &name, &settings)?;
        self.entries[index].gateway = Some(child);
        Ok(())
    }

    fn spawn(
        &self,
        command: &DaemonCommand,
        name: &str,
        settings: &Value,
    ) -> Result<Child, Report> {
        let mut settings = settings.clone();
        for (key, value) in self.plan.machine.as_object().into_iter().flatten() {
            settings[key] = value.clone();
        }
        let file = self.plan.folder.join(format!("{name}.json"));
        fs::write(&file, serde_json::to_string_pretty(&settings)?)?;
        let output = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.plan.folder.join(format!("{name}.log")))?;
        let (program, first) = command
            .words
            .split_first()
            .ok_or_else(|| eyre!("cannot start {name}: its command line is empty"))?;
        Command::new(program)
            .args(first)
            .arg(file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(output)
            .spawn()
            .wrap_err_with(|| format!("cannot start {name}"))
    }

    /// Waits until a gateway is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not become ready in time.
    pub async fn wait_ready(&self, index: usize) -> Result<(), Report> {
        let url = format!("http://{}/ready", self.entries[index].gateway_address);
        let what = format!("gateway {index} is ready");
        wait_for(&what, || async {
            self.client
                .get_text(&url, Duration::from_millis(CALL_TIMEOUT_MS))
                .await
                .is_ok()
        })
        .await
    }

    /// Posts a JSON body to a gateway and returns the JSON response.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or the gateway refuses the request.
    pub async fn post(&self, index: usize, path: &str, body: &Value) -> Result<Value, Report> {
        let url = format!("http://{}{path}", self.entries[index].gateway_address);
        let limit = Duration::from_millis(CALL_TIMEOUT_MS);
        Ok(self.client.post(&url, body, limit).await?)
    }

    /// Reads JSON from a gateway.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or the gateway refuses the request.
    pub async fn get(&self, index: usize, path: &str) -> Result<Value, Report> {
        let url = format!("http://{}{path}", self.entries[index].gateway_address);
        Ok(self
            .client
            .get(&url, Duration::from_millis(CALL_TIMEOUT_MS))
            .await?)
    }

    /// Reads text from a gateway.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or the gateway refuses the request.
    pub async fn get_text(&self, index: usize, path: &str) -> Result<String, Report> {
        let url = format!("http://{}{path}", self.entries[index].gateway_address);
        Ok(self
            .client
            .get_text(&url, Duration::from_millis(CALL_TIMEOUT_MS))
            .await?)
    }

    /// Polls one gateway until a job is in a state.
    ///
    /// # Errors
    ///
    /// Returns an error if the job does not reach the state in time; the error includes the
    /// response to `GET /jobs/ID/explain`.
    pub async fn wait_job(&self, index: usize, id: &str, state: &str) -> Result<(), Report> {
        let path = format!("/jobs/{id}");
        let reached = wait_for(&format!("job {id} is {state}"), || async {
            self.get(index, &path)
                .await
                .is_ok_and(|job| job["state"] == state)
        })
        .await;
        if let Err(error) = reached {
            let explained = self.get(index, &format!("{path}/explain")).await;
            return Err(error.wrap_err(format!("{explained:#?}")));
        }
        Ok(())
    }

    /// Returns the violated invariants that workers and runners recorded, and those found in
    /// the workers' runs.
    pub fn violations(&self) -> Vec<String> {
        let workers = self.workers.iter();
        let mut found: Vec<String> = workers
            .flat_map(|(worker, _)| worker.violations())
            .collect();
        for (runner, address) in &self.runners {
            if runner.peak_busy() > RUNNER_SLOTS {
                found.push(format!("runner {address} had {} slots", runner.peak_busy()));
            }
        }
        found.extend(self.findings().violations);
        found
    }

    /// Checks the runs of all workers against the invariants.
    pub fn findings(&self) -> RunFindings {
        let runs = self.workers.iter().flat_map(|(worker, _)| worker.runs());
        check_runs(&runs.collect::<Vec<_>>())
    }

    /// Stops the daemons and the fake servers.
    pub async fn close(mut self) {
        // The servers are dropped, not closed: a graceful close would wait for calls that hang
        // on an injected fault.
        self.kill_all();
    }

    fn kill_all(&mut self) {
        for entry in &mut self.entries {
            kill(entry.scheduler.take());
            kill(entry.gateway.take());
        }
    }
}

impl Drop for TestDeployment {
    fn drop(&mut self) {
        self.kill_all();
    }
}

fn host_entry(name: &str, kind: HostKind, address: SocketAddr) -> HostEntry {
    HostEntry {
        name: name.to_owned(),
        kind,
        address: address.to_string(),
        state: HostState::Live,
        failure_domain: "d0".to_owned(),
        rack: String::new(),
        position: 0,
        accelerators: 0,
    }
}
