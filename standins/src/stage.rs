//! A whole deployment on loopback: stand-ins in this process, daemons in their own.

use std::ffi::OsString;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use dropshot::HttpServer;
use eyre::{Report, WrapErr, ensure, eyre};
use hemlockramp::wire::http::HttpClient;
use hemlockramp::wire::log::{HostEntry, HostKind, HostListing, HostState};
use serde_json::{Value, json};

use crate::host_list::{HostList, SharedHosts, start_hosts};
use crate::log_service::{LogService, SharedLog, start_log};
use crate::process::{any_port, free_address, kill, send_signal};
use crate::run_invariants::{RunFindings, check_runs};
use crate::runner::{Runner, SharedRunner, start_runner};
use crate::worker::{SharedWorker, Worker, start_worker};

/// Time for a condition to come true before a step fails, in ms.
const CONDITION_TIMEOUT_MS: u64 = 30_000;
/// Time between two looks at a condition, in ms.
const POLL_MS: u64 = 25;
/// Time for a call to be answered, in ms.
const CALL_TIMEOUT_MS: u64 = 15_000;
/// Slots of a runner.
const RUNNER_SLOTS: usize = 8;

/// How the daemons are started: program and first arguments.
#[derive(Clone, Debug)]
pub struct DaemonCommand {
    /// Program and arguments before the settings file.
    pub words: Vec<OsString>,
}

/// What a stage consists of.
#[derive(Clone, Debug)]
pub struct StagePlan {
    /// Starts a scheduler.
    pub scheduler: DaemonCommand,
    /// Starts a gateway.
    pub gateway: DaemonCommand,
    /// Entry hosts, each with a scheduler and a gateway.
    pub hosts: usize,
    /// Workers, four to a rack, two racks to a failure domain.
    pub workers: usize,
    /// Runners.
    pub runners: usize,
    /// Overrides of the schedulers' `timing` settings.
    pub timing: Value,
    /// Overrides of the gateways' `requests` settings.
    pub requests: Value,
    /// Lag of the host list.
    pub list_lag: Duration,
    /// Where settings files and logs are kept.
    pub folder: PathBuf,
}

/// One entry host's daemons.
pub struct EntryRow {
    /// Its name.
    pub name: String,
    /// Its scheduler's address.
    pub scheduler_address: SocketAddr,
    /// Its gateway's address.
    pub gateway_address: SocketAddr,
    /// Its scheduler, while it was not killed.
    pub scheduler: Option<Child>,
    /// Its gateway, while it was not killed.
    pub gateway: Option<Child>,
}

/// A running deployment. `close` it; dropping it kills the daemons.
pub struct Stage {
    plan: StagePlan,
    client: HttpClient,
    /// The log service.
    pub log: SharedLog,
    /// The host list.
    pub list: SharedHosts,
    /// Workers with their addresses.
    pub workers: Vec<(SharedWorker, SocketAddr)>,
    /// Runners with their addresses.
    pub runners: Vec<(SharedRunner, SocketAddr)>,
    /// Entry hosts.
    pub entries: Vec<EntryRow>,
    log_address: SocketAddr,
    list_address: SocketAddr,
    servers: FakeServers,
}

/// Servers of the stand-ins; dropping one ends it.
struct FakeServers {
    _log: HttpServer<SharedLog>,
    _list: HttpServer<SharedHosts>,
    workers: Vec<HttpServer<SharedWorker>>,
    runners: Vec<HttpServer<SharedRunner>>,
}

impl Stage {
    /// Starts all parts and waits until every gateway is ready.
    ///
    /// # Errors
    ///
    /// Fails when a part cannot start or a gateway does not become ready.
    pub async fn start(plan: StagePlan) -> Result<Self, Report> {
        fs::create_dir_all(&plan.folder).wrap_err("the stage's folder")?;
        let log: SharedLog = Arc::new(LogService::default());
        let list: SharedHosts = Arc::new(HostList::new(plan.list_lag));
        let log_server = start_log(Arc::clone(&log), any_port())?;
        let list_server = start_hosts(Arc::clone(&list), any_port())?;
        let mut stage = Self {
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
        stage.start_upstreams()?;
        for index in 0..stage.plan.hosts {
            stage.entries.push(new_entry(index)?);
        }
        stage.list.put(stage.listing());
        for index in 0..stage.plan.hosts {
            stage.start_scheduler(index)?;
            stage.start_gateway(index)?;
        }
        for index in 0..stage.plan.hosts {
            stage.wait_ready(index).await?;
        }
        Ok(stage)
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

    /// Returns the whole host list as it should be.
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

    /// Starts, or starts again, the scheduler of an entry host.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be started.
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

    /// Starts, or starts again, the gateway of an entry host.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be started.
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
        let file = self.plan.folder.join(format!("{name}.json"));
        fs::write(&file, serde_json::to_string_pretty(settings)?)?;
        let output = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.plan.folder.join(format!("{name}.log")))?;
        let (program, first) = command
            .words
            .split_first()
            .ok_or_else(|| eyre!("no program"))?;
        Command::new(program)
            .args(first)
            .arg(file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(output)
            .spawn()
            .wrap_err_with(|| format!("start {name}"))
    }

    /// Waits until a gateway is ready.
    ///
    /// # Errors
    ///
    /// Fails when it does not become ready in time.
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

    /// Calls a gateway with a JSON body; returns the answer or the failure as text.
    ///
    /// # Errors
    ///
    /// Fails as the gateway says.
    pub async fn post(&self, index: usize, path: &str, body: &Value) -> Result<Value, Report> {
        let url = format!("http://{}{path}", self.entries[index].gateway_address);
        let limit = Duration::from_millis(CALL_TIMEOUT_MS);
        Ok(self.client.post(&url, body, limit).await?)
    }

    /// Reads JSON from a gateway.
    ///
    /// # Errors
    ///
    /// Fails as the gateway says.
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
    /// Fails as the gateway says.
    pub async fn get_text(&self, index: usize, path: &str) -> Result<String, Report> {
        let url = format!("http://{}{path}", self.entries[index].gateway_address);
        Ok(self
            .client
            .get_text(&url, Duration::from_millis(CALL_TIMEOUT_MS))
            .await?)
    }

    /// Waits until a job is in a state, asking one gateway.
    ///
    /// # Errors
    ///
    /// Fails when it is not in time; the error holds the job's explanation.
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

    /// Kills a scheduler as a power cut would.
    pub fn kill_scheduler(&mut self, index: usize) {
        kill(self.entries[index].scheduler.take());
    }

    /// Kills a gateway as a power cut would.
    pub fn kill_gateway(&mut self, index: usize) {
        kill(self.entries[index].gateway.take());
    }

    /// Returns what the workers and runners saw that must never be.
    pub fn violations(&self) -> Vec<String> {
        let workers = self.workers.iter();
        let mut found: Vec<String> = workers
            .flat_map(|(worker, _)| worker.violations())
            .collect();
        for (runner, address) in &self.runners {
            if runner.most_busy() > RUNNER_SLOTS {
                found.push(format!("runner {address} had {} slots", runner.most_busy()));
            }
        }
        found.extend(self.findings().violations);
        found
    }

    /// Examines what the workers ran.
    pub fn findings(&self) -> RunFindings {
        let runs = self.workers.iter().flat_map(|(worker, _)| worker.runs());
        check_runs(&runs.collect::<Vec<_>>())
    }

    /// Stops a scheduler in its tracks, or lets it go on.
    ///
    /// # Errors
    ///
    /// Fails when the signal cannot be sent.
    pub fn freeze_scheduler(&self, index: usize, frozen: bool) -> Result<(), Report> {
        let name = if frozen { "-STOP" } else { "-CONT" };
        send_signal(self.entries[index].scheduler.as_ref(), name)
    }

    /// Asks a gateway to shut down.
    ///
    /// # Errors
    ///
    /// Fails when the signal cannot be sent.
    pub fn terminate_gateway(&self, index: usize) -> Result<(), Report> {
        send_signal(self.entries[index].gateway.as_ref(), "-TERM")
    }

    /// Asks a scheduler to shut down.
    ///
    /// # Errors
    ///
    /// Fails when the signal cannot be sent.
    pub fn terminate_scheduler(&self, index: usize) -> Result<(), Report> {
        send_signal(self.entries[index].scheduler.as_ref(), "-TERM")
    }

    /// Waits for a gateway's process to end.
    ///
    /// # Errors
    ///
    /// Fails when there is none.
    pub fn wait_gateway_end(&mut self, index: usize) -> Result<ExitStatus, Report> {
        let child = self.entries[index].gateway.take();
        Ok(child.ok_or_else(|| eyre!("no gateway {index}"))?.wait()?)
    }

    /// Stops the daemons and the stand-ins.
    pub async fn close(mut self) {
        // Dropped rather than closed: calls that hang on a fault would hold a graceful close.
        self.kill_all();
    }

    fn kill_all(&mut self) {
        for entry in &mut self.entries {
            kill(entry.scheduler.take());
            kill(entry.gateway.take());
        }
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        self.kill_all();
    }
}

fn new_entry(index: usize) -> Result<EntryRow, Report> {
    Ok(EntryRow {
        name: format!("e{index}"),
        scheduler_address: free_address()?,
        gateway_address: free_address()?,
        scheduler: None,
        gateway: None,
    })
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

/// Waits until a condition holds.
///
/// # Errors
///
/// Fails when it does not hold in time.
pub async fn wait_for<F, Fut>(what: &str, condition: F) -> Result<(), Report>
where
    F: Fn() -> Fut,
    Fut: Future<Output = bool>,
{
    let deadline = Instant::now() + Duration::from_millis(CONDITION_TIMEOUT_MS);
    while !condition().await {
        ensure!(
            Instant::now() < deadline,
            "not in {CONDITION_TIMEOUT_MS} ms: {what}"
        );
        tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
    }
    Ok(())
}
