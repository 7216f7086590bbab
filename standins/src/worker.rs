//! Fake worker: prepares, runs and stops simulated tasks under leases and fencing tokens.
//!
//! A task's command sets its outcome: `run MS` finishes after MS milliseconds of run time,
//! `fail MS` fails after that time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dropshot::{ApiDescription, HttpServer, RequestContext, TypedBody, endpoint};
use eyre::{Report, eyre};
use hemlockramp::daemons::http_reply::{HttpReply, json_reply, text_reply};
use hemlockramp::wire::worker::{
    DesiredState, SyncRequest, SyncResponse, TaskOrder, TaskStatus, WorkerTaskState,
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::fault::{FaultMode, FaultSetting, FaultSwitch};
use crate::server::{now_ms, start_server};

/// Interval between checks of leases and run times, in ms.
const TICK_MS: u64 = 10;
/// Run time of a command that has no valid number, in ms.
const DEFAULT_RUN_MS: u64 = 100;

/// One run of a task, recorded for invariant checks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct TaskRun {
    /// Task id, `JOB/INDEX`.
    pub task: String,
    /// Fencing token of the order that started the run.
    pub token: u64,
    /// Bit mask of the accelerators it uses.
    pub accelerators: u8,
    /// Start time, Unix ms.
    pub started_ms: u64,
    /// End time, Unix ms; `None` while the task runs.
    pub ended_ms: Option<u64>,
    /// Final state, or `Running`.
    pub state: WorkerTaskState,
}

struct TaskEntry {
    order: TaskOrder,
    state: WorkerTaskState,
    lease_until: Instant,
    started: Option<Instant>,
    stop_at: Option<Instant>,
    ran_ms: u64,
}

impl TaskEntry {
    fn has_ended(&self) -> bool {
        !matches!(
            self.state,
            WorkerTaskState::Prepared | WorkerTaskState::Running
        )
    }
}

#[derive(Default)]
struct WorkerTables {
    /// Newest entry of each task. Ended entries are kept so that a repeated order cannot
    /// start the task again.
    tasks: BTreeMap<String, TaskEntry>,
    digest: Option<u64>,
    /// Number of changes to any task's state.
    version: u64,
    ordered: Vec<String>,
    runs: Vec<TaskRun>,
    violations: Vec<String>,
    syncs: u64,
}

/// State of the fake worker.
#[derive(Default)]
pub struct Worker {
    tables: Mutex<WorkerTables>,
    /// Fault injected into `/sync`.
    pub fault: FaultSwitch,
}

/// Worker shared by the endpoint handlers.
pub type SharedWorker = Arc<Worker>;

impl Worker {
    fn lock(&self) -> MutexGuard<'_, WorkerTables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns all runs so far, including those in progress.
    pub fn runs(&self) -> Vec<TaskRun> {
        self.lock().runs.clone()
    }

    /// Returns descriptions of orders that a correct scheduler never gives: tasks started
    /// on accelerators that another task still uses.
    pub fn violations(&self) -> Vec<String> {
        self.lock().violations.clone()
    }

    /// Returns the number of sync requests processed.
    pub fn syncs(&self) -> u64 {
        self.lock().syncs
    }

    /// Ends tasks whose lease, stop grace or run time is over. Never returns.
    pub async fn run(self: Arc<Self>) {
        loop {
            tokio::time::sleep(Duration::from_millis(TICK_MS)).await;
            self.lock().end_due_tasks(Instant::now());
        }
    }

    fn sync(&self, request: &SyncRequest) -> SyncResponse {
        let mut tables = self.lock();
        let now = Instant::now();
        // Ends tasks with an expired lease first, so that this request cannot renew them.
        tables.end_due_tasks(now);
        tables.syncs += 1;
        let lease_until = now + Duration::from_millis(request.lease_ms);
        match &request.orders {
            Some(orders) => tables.apply_orders(request.digest, orders, lease_until, now),
            None if tables.digest == Some(request.digest) => tables.renew(lease_until),
            None => {
                return SyncResponse {
                    renewed: false,
                    version: tables.version + 1,
                    tasks: Vec::new(),
                };
            }
        }
        let brief = request.orders.is_none();
        SyncResponse {
            renewed: true,
            version: tables.version + 1,
            tasks: tables.statuses(brief),
        }
    }

    /// Returns the current task states without renewing any lease.
    fn current_response(&self, request: &SyncRequest) -> SyncResponse {
        let tables = self.lock();
        SyncResponse {
            renewed: tables.digest == Some(request.digest),
            version: tables.version + 1,
            tasks: tables.statuses(request.orders.is_none()),
        }
    }

    /// Waits until a task state is newer than the version the worker controller has seen,
    /// or `wait_ms` has passed (long polling).
    async fn wait_for_change(&self, request: &SyncRequest) {
        let deadline = Instant::now() + Duration::from_millis(request.wait_ms);
        while Instant::now() < deadline && self.is_unchanged(request) {
            tokio::time::sleep(Duration::from_millis(TICK_MS)).await;
        }
    }

    fn is_unchanged(&self, request: &SyncRequest) -> bool {
        let tables = self.lock();
        tables.version + 1 == request.seen && tables.digest == Some(request.digest)
    }
}

impl WorkerTables {
    fn end_due_tasks(&mut self, now: Instant) {
        let names: Vec<String> = self.tasks.keys().cloned().collect();
        for name in names {
            if let Some(state) = self.due_end_state(&name, now) {
                self.end(&name, state);
            }
        }
    }

    fn due_end_state(&self, name: &str, now: Instant) -> Option<WorkerTaskState> {
        let entry = self.tasks.get(name).filter(|entry| !entry.has_ended())?;
        if now >= entry.lease_until || entry.stop_at.is_some_and(|at| now >= at) {
            return Some(WorkerTaskState::Stopped);
        }
        let ran = now - entry.started?;
        let (run, fails) = parse_command(&entry.order.command);
        (ran >= run).then_some(match fails {
            true => WorkerTaskState::Failed,
            false => WorkerTaskState::Finished,
        })
    }

    fn end(&mut self, name: &str, state: WorkerTaskState) {
        let Some(entry) = self.tasks.get_mut(name).filter(|entry| !entry.has_ended()) else {
            return;
        };
        self.version += 1;
        entry.state = state;
        entry.ran_ms = entry
            .started
            .map_or(0, |at| at.elapsed().as_millis() as u64);
        let token = entry.order.token;
        let open = |run: &&mut TaskRun| run.task == name && run.token == token;
        if let Some(run) = self.runs.iter_mut().rev().find(open) {
            run.ended_ms = Some(now_ms());
            run.state = state;
        }
    }

    fn apply_orders(
        &mut self,
        digest: u64,
        orders: &[TaskOrder],
        lease_until: Instant,
        now: Instant,
    ) {
        for order in orders {
            self.apply_order(order, lease_until, now);
        }
        self.digest = Some(digest);
        self.ordered = orders.iter().map(|order| order.task.clone()).collect();
    }

    fn apply_order(&mut self, order: &TaskOrder, lease_until: Instant, now: Instant) {
        let old = self.tasks.get(&order.task);
        let old_token = old.map(|entry| entry.order.token);
        if old_token.is_some_and(|token| token > order.token) {
            return;
        }
        if old_token != Some(order.token) {
            self.end(&order.task, WorkerTaskState::Stopped);
            self.add(order, lease_until);
        }
        let Some(entry) = self.tasks.get_mut(&order.task) else {
            return;
        };
        if entry.has_ended() {
            return;
        }
        entry.lease_until = lease_until;
        match order.want {
            DesiredState::Prepare => {}
            DesiredState::Run if entry.stop_at.is_none() && entry.started.is_none() => {
                self.start(&order.task, now);
            }
            DesiredState::Run => {}
            DesiredState::Stop => {
                let grace = Duration::from_millis(order.grace_ms);
                entry.stop_at.get_or_insert(now + grace);
                self.end_due_tasks(now);
            }
        }
    }

    /// Adds a task. Only a task whose first order under a token is `Prepare` can ever run
    /// under that token; any other is recorded as stopped.
    fn add(&mut self, order: &TaskOrder, lease_until: Instant) {
        let state = match order.want {
            DesiredState::Prepare => WorkerTaskState::Prepared,
            _ => WorkerTaskState::Stopped,
        };
        let entry = TaskEntry {
            order: order.clone(),
            state,
            lease_until,
            started: None,
            stop_at: None,
            ran_ms: 0,
        };
        self.version += 1;
        self.tasks.insert(order.task.clone(), entry);
    }

    fn start(&mut self, name: &str, now: Instant) {
        let Some(entry) = self.tasks.get_mut(name) else {
            return;
        };
        self.version += 1;
        entry.started = Some(now);
        entry.state = WorkerTaskState::Running;
        let order = entry.order.clone();
        let conflict = self
            .runs
            .iter()
            .find(|run| run.ended_ms.is_none() && run.accelerators & order.accelerators != 0);
        if let Some(run) = conflict {
            let text = format!("{name} started on accelerators of {}", run.task);
            self.violations.push(text);
        }
        self.runs.push(TaskRun {
            task: order.task,
            token: order.token,
            accelerators: order.accelerators,
            started_ms: now_ms(),
            ended_ms: None,
            state: WorkerTaskState::Running,
        });
    }

    fn renew(&mut self, lease_until: Instant) {
        for name in &self.ordered {
            if let Some(entry) = self.tasks.get_mut(name).filter(|entry| !entry.has_ended()) {
                entry.lease_until = lease_until;
            }
        }
    }

    fn statuses(&self, brief: bool) -> Vec<TaskStatus> {
        let entries = self.ordered.iter().filter_map(|name| self.tasks.get(name));
        let shown = entries.filter(|entry| !brief || entry.state != WorkerTaskState::Running);
        shown
            .map(|entry| TaskStatus {
                task: entry.order.task.clone(),
                token: entry.order.token,
                state: entry.state,
                ran_ms: entry.ran_ms,
            })
            .collect()
    }
}

/// Returns the command's run time and whether the task then fails.
fn parse_command(command: &str) -> (Duration, bool) {
    let mut words = command.split_whitespace();
    let fails = words.next() == Some("fail");
    let ms = words.next().and_then(|word| word.parse().ok());
    (Duration::from_millis(ms.unwrap_or(DEFAULT_RUN_MS)), fails)
}

/// Starts an HTTP server for the worker, and the task that ends its runs.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn start_worker(
    worker: SharedWorker,
    listen: SocketAddr,
) -> Result<HttpServer<SharedWorker>, Report> {
    let mut api = ApiDescription::new();
    let registered = api
        .register(post_sync)
        .and_then(|()| api.register(get_runs))
        .and_then(|()| api.register(post_fault));
    registered
        .map_err(|error| eyre!("cannot register the endpoints of the fake worker: {error}"))?;
    tokio::spawn(Arc::clone(&worker).run());
    start_server(api, worker, listen)
}

#[endpoint { method = POST, path = "/sync" }]
async fn post_sync(
    request: RequestContext<SharedWorker>,
    body: TypedBody<SyncRequest>,
) -> HttpReply {
    let worker = request.context();
    let mode = worker.fault.apply_before_effect().await;
    if mode == FaultMode::Down {
        return text_reply(503, "the worker is down".to_owned());
    }
    let request = body.into_inner();
    let mut response = worker.sync(&request);
    if response.renewed && request.wait_ms > 0 {
        worker.wait_for_change(&request).await;
        response = worker.current_response(&request);
    }
    worker.fault.apply_after_effect(mode).await;
    json_reply(200, &response)
}

/// Response to `GET /runs`.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct RunsResponse {
    /// All runs so far.
    pub runs: Vec<TaskRun>,
    /// Orders that a correct scheduler never gives, as text.
    pub violations: Vec<String>,
}

#[endpoint { method = GET, path = "/runs" }]
async fn get_runs(request: RequestContext<SharedWorker>) -> HttpReply {
    let worker = request.context();
    json_reply(
        200,
        &RunsResponse {
            runs: worker.runs(),
            violations: worker.violations(),
        },
    )
}

#[endpoint { method = POST, path = "/fault" }]
async fn post_fault(
    request: RequestContext<SharedWorker>,
    body: TypedBody<FaultSetting>,
) -> HttpReply {
    request.context().fault.set(body.into_inner());
    text_reply(200, "set\n".to_owned())
}
