//! Stand-in of a runner for the third review. It guards its capacity, keeps leases on its own steady
//! clock, and can crash and start again under its id.

use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::third_http::{Answer, Call, Server};
use crate::third_json::{Json, quote};
use crate::third_record::Record;
use crate::third_store::Store;

/// Time between two reports, in ms.
const BEAT_MS: u64 = 1_500;
/// Longest lease, in ms.
const HOLD_MAX_MS: u64 = 6_000;
/// Time that a stop takes, in ms.
const STOP_MS: u64 = 100;
/// Number of ends that an answer lists at most.
const ENDS_MAX: usize = 500;

/// Capacity: thousandths of a core, MB and accelerators.
#[derive(Clone, Copy)]
pub struct Capacity {
    pub cpu: u64,
    pub mem_mb: u64,
    pub gpu: u64,
}

/// What a task needs and how long it works, by its job.
#[derive(Clone)]
pub struct TaskPlan {
    pub job: String,
    pub need: Capacity,
    pub work_ms: u64,
}

struct Run {
    task: String,
    run: u64,
    need: Capacity,
    begun: Instant,
    ends: Instant,
    stops: Option<Instant>,
}

struct Life {
    up: bool,
    born: u64,
    started: Instant,
    token: u64,
    lease_ms: u64,
    runs: Vec<Run>,
    ends: Vec<(u64, String)>,
    last_end: u64,
    over: Vec<(String, u64)>,
    draining: bool,
}

impl Life {
    fn new() -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            up: true,
            born: wall.map_or(0, |wall| wall.as_millis() as u64),
            started: Instant::now(),
            token: 0,
            lease_ms: 0,
            runs: Vec::new(),
            ends: Vec::new(),
            last_end: 0,
            over: Vec::new(),
            draining: false,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

pub struct Runner {
    pub id: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub capacity: Capacity,
    life: Mutex<Life>,
    changed: Condvar,
    server: Mutex<Option<Arc<Server>>>,
    plans: Arc<Mutex<Vec<TaskPlan>>>,
    store: Arc<Store>,
    record: Arc<Record>,
}

impl Runner {
    pub fn start(
        id: &str,
        labels: &[&str],
        capacity: Capacity,
        plans: &Arc<Mutex<Vec<TaskPlan>>>,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let runner = Arc::new(Self {
            id: id.to_owned(),
            zone: "zone-a".to_owned(),
            labels: labels.iter().map(|&label| label.to_owned()).collect(),
            capacity,
            life: Mutex::new(Life::new()),
            changed: Condvar::new(),
            server: Mutex::default(),
            plans: Arc::clone(plans),
            store: Arc::clone(store),
            record: Arc::clone(record),
        });
        let own = Arc::clone(&runner);
        let server = Server::start(move |call| own.handle(&call));
        *runner.server.lock().expect("lock") = Some(server);
        let own = Arc::clone(&runner);
        thread::spawn(move || own.live());
        runner
    }

    fn life(&self) -> MutexGuard<'_, Life> {
        self.life.lock().expect("lock")
    }

    fn server(&self) -> Arc<Server> {
        let server = self.server.lock().expect("lock");
        Arc::clone(server.as_ref().expect("set at the start"))
    }

    pub fn address(&self) -> SocketAddr {
        self.server().address
    }

    /// Returns whether it is up and runs a task of the job.
    pub fn works_on(&self, job: &str) -> bool {
        let life = self.life();
        life.up && life.runs.iter().any(|run| run.task.starts_with(job))
    }

    /// Returns what its runs hold.
    pub fn used(&self) -> Capacity {
        used(&self.life())
    }

    /// Returns whether it is up.
    pub fn is_up(&self) -> bool {
        self.life().up
    }

    /// Ends it with all that it runs. It sends nothing, and its entry goes after three beats.
    pub fn crash(&self) {
        let mut life = self.life();
        life.up = false;
        for run in life.runs.drain(..) {
            let worked_ms = run.begun.elapsed().as_millis();
            self.record.line(&format!(
                "runner {} crashed under {} run {} after {worked_ms} ms",
                self.id, run.task, run.run
            ));
        }
        drop(life);
        self.record.line(&format!("runner {} is down", self.id));
        self.server().set_down(true);
        self.changed.notify_all();
    }

    /// Starts it again under its id: it holds and knows nothing of before.
    pub fn restart(&self) {
        *self.life() = Life::new();
        self.server().set_down(false);
        self.record
            .line(&format!("runner {} is up again, empty", self.id));
    }

    fn live(self: Arc<Self>) {
        let mut reported = None::<Instant>;
        loop {
            thread::sleep(Duration::from_millis(5));
            let mut life = self.life();
            let up = life.up;
            if up {
                self.advance(&mut life);
            }
            let report = self.report(&life);
            drop(life);
            let age = reported.map(|at| at.elapsed());
            if up && age.is_none_or(|age| age >= Duration::from_millis(BEAT_MS)) {
                self.store.put("keyed.servers", &self.id, &report);
                reported = Some(Instant::now());
            }
            if !up && age.is_some_and(|age| age >= Duration::from_millis(3 * BEAT_MS)) {
                self.store.put("keyed.servers", &self.id, "");
                reported = None;
            }
        }
    }

    fn report(&self, life: &Life) -> String {
        let labels: Vec<String> = self.labels.iter().map(|label| quote(label)).collect();
        let Capacity { cpu, mem_mb, gpu } = self.capacity;
        format!(
            "{{\"service\":\"pool\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"1\",\"slots\":8,\
             \"state\":\"{}\",\"coldRemainingMs\":0,\"seq\":{},\"clockMs\":{},\"born\":{},\
             \"labels\":[{}],\"capacity\":{{\"cpu\":{cpu},\"memMb\":{mem_mb},\"gpu\":{gpu}}}}}",
            self.address(),
            self.zone,
            if life.draining { "draining" } else { "ready" },
            life.clock_ms() / BEAT_MS,
            life.clock_ms(),
            life.born,
            labels.join(",")
        )
    }

    /// Ends what is due.
    fn advance(&self, life: &mut Life) {
        let now = Instant::now();
        let lapsed = life.clock_ms() > life.lease_ms;
        let mut index = 0;
        while index < life.runs.len() {
            let run = &life.runs[index];
            let how = match run.stops {
                _ if lapsed => "lapsed",
                Some(stops) if stops <= now => "stopped",
                None if run.ends <= now => "done",
                _ => {
                    index += 1;
                    continue;
                }
            };
            let run = life.runs.remove(index);
            life.last_end += 1;
            let number = life.last_end;
            let row = format!("[{number},{},{},\"{how}\",\"\"]", quote(&run.task), run.run);
            life.ends.push((number, row));
            life.over.push((run.task.clone(), run.run));
            self.record.line(&format!(
                "runner {} ended {} run {} {how} after {} ms",
                self.id,
                run.task,
                run.run,
                run.begun.elapsed().as_millis()
            ));
            self.record.note_end(&run.task, how);
            self.changed.notify_all();
        }
    }

    fn handle(&self, call: &Call) -> Answer {
        if !self.is_up() {
            return None;
        }
        if call.path == "/health" {
            return Some((200, b"{}".to_vec()));
        }
        let instance = call.header("hemlockramp-expect-instance");
        if instance.is_some_and(|instance| instance != self.id) {
            return Some((421, b"{}".to_vec()));
        }
        let body = Json::parse(std::str::from_utf8(&call.body).ok()?)?;
        let mut life = self.life();
        self.advance(&mut life);
        let token = body.get("fencingToken").number().unwrap_or(0);
        if token < life.token {
            return refuse(&life, "fence");
        }
        life.token = token;
        match call.path.as_str() {
            "/run-start" => self.start_run(&mut life, &body),
            "/run-stop" => self.stop_run(&mut life, &body),
            "/hold" => self.hold(life, &body),
            _ => Some((404, Vec::new())),
        }
    }

    fn start_run(&self, life: &mut Life, body: &Json) -> Answer {
        let task = body.get("task").text().to_owned();
        let run = body.get("run").number()?;
        if life
            .runs
            .iter()
            .any(|one| one.task == task && one.run == run)
        {
            return accept(life);
        }
        if life.over.iter().any(|one| one.0 == task && run <= one.1) {
            extend(life, body);
            return refuse(life, "old");
        }
        if body.get("deadlineMs").number()? <= life.clock_ms() {
            return refuse(life, "late");
        }
        extend(life, body);
        let plans = self.plans.lock().expect("lock");
        let plan = plans.iter().find(|plan| task.starts_with(&plan.job));
        let Some(plan) = plan.cloned() else {
            self.record.line(&format!(
                "runner {} was told to start {task}, which nobody sent",
                self.id
            ));
            return Some((400, b"{}".to_vec()));
        };
        let used = used(life);
        let fits = used.cpu + plan.need.cpu <= self.capacity.cpu
            && used.mem_mb + plan.need.mem_mb <= self.capacity.mem_mb
            && used.gpu + plan.need.gpu <= self.capacity.gpu;
        if !fits {
            return refuse(life, "room");
        }
        let now = Instant::now();
        life.runs.push(Run {
            task: task.clone(),
            run,
            need: plan.need,
            begun: now,
            ends: now + Duration::from_millis(plan.work_ms),
            stops: None,
        });
        self.record
            .line(&format!("runner {} started {task} run {run}", self.id));
        self.record.note_start(&task);
        accept(life)
    }

    fn stop_run(&self, life: &mut Life, body: &Json) -> Answer {
        let task = body.get("task").text().to_owned();
        let run = body.get("run").number()?;
        self.record.line(&format!(
            "runner {} was told to stop {task} run {run}",
            self.id
        ));
        let stops = Instant::now() + Duration::from_millis(STOP_MS);
        let mut runs = life.runs.iter_mut();
        if let Some(own) = runs.find(|one| one.task == task && one.run == run) {
            own.stops = own.stops.or(Some(stops));
        }
        life.over.push((task, run));
        accept(life)
    }

    fn hold(&self, mut life: MutexGuard<'_, Life>, body: &Json) -> Answer {
        extend(&mut life, body);
        let born = life.born;
        let acked = body.get("ackedUpTo").number().unwrap_or(0);
        life.ends.retain(|end| end.0 > acked);
        let wait_ms = body.get("waitMs").number().unwrap_or(0).min(2_000);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        while life.ends.is_empty() && life.up && life.born == born {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            life = self.changed.wait_timeout(life, left).expect("lock").0;
        }
        if !life.up || life.born != born {
            return None;
        }
        self.advance(&mut life);
        let running: Vec<String> = life
            .runs
            .iter()
            .map(|run| {
                let whole = (run.ends - run.begun).as_millis().max(1);
                let percent = (run.begun.elapsed().as_millis() * 100 / whole).min(99);
                let cpu = run.need.cpu;
                format!("[{},{},\"\",{percent},{cpu}]", quote(&run.task), run.run)
            })
            .collect();
        let ends = life.ends.iter().take(ENDS_MAX);
        let ended: Vec<&str> = ends.map(|end| end.1.as_str()).collect();
        let body = format!(
            "{{\"clockMs\":{},\"born\":{born},\"running\":[{}],\"ended\":[{}]}}",
            life.clock_ms(),
            running.join(","),
            ended.join(",")
        );
        Some((200, body.into_bytes()))
    }
}

fn used(life: &Life) -> Capacity {
    let none = Capacity {
        cpu: 0,
        mem_mb: 0,
        gpu: 0,
    };
    life.runs.iter().fold(none, |used, run| Capacity {
        cpu: used.cpu + run.need.cpu,
        mem_mb: used.mem_mb + run.need.mem_mb,
        gpu: used.gpu + run.need.gpu,
    })
}

fn extend(life: &mut Life, body: &Json) {
    if let Some(until_ms) = body.get("deadlineMs").number() {
        let until_ms = until_ms.min(life.clock_ms() + HOLD_MAX_MS);
        life.lease_ms = life.lease_ms.max(until_ms);
    }
}

fn accept(life: &Life) -> Answer {
    let body = format!("{{\"clockMs\":{},\"born\":{}}}", life.clock_ms(), life.born);
    Some((200, body.into_bytes()))
}

fn refuse(life: &Life, reason: &str) -> Answer {
    let (clock, born) = (life.clock_ms(), life.born);
    let body = format!("{{\"clockMs\":{clock},\"born\":{born},\"reason\":\"{reason}\"}}");
    Some((409, body.into_bytes()))
}
