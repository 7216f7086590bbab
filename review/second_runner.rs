//! Stand-in of a runner, by the platform's pages: leases on its own clock, fence numbers, numbered ends
//! that are listed until they are acknowledged.
//!
//! A job's `spec` says what its tasks do: words of the form `work=MS` (time of a task; of step 0, 1, ...
//! with commas) and `fail` (each run ends `failed`).

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Answer, Power, Request, serve};
use crate::json::{Json, num, obj, text};
use crate::record::Record;
use crate::store::Store;

pub const ACCELERATORS: u64 = 8;
const MAX_HOLD_MS: u64 = 6_000;
const STOP_MS: u64 = 100;
const REPORT_MS: u64 = 500;
const TICK_MS: u64 = 5;
const LISTED_ENDS: usize = 500;

struct Run {
    task: String,
    run: u64,
    ends: Instant,
    stops: Option<Instant>,
    fails: bool,
}

struct Ended {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

/// What ends with the process.
struct Life {
    born: u64,
    start: Instant,
    token: u64,
    deadline_ms: u64,
    runs: Vec<Run>,
    ended: Vec<Ended>,
    /// Newest run of each task that was stopped or has ended here.
    closed: HashMap<String, u64>,
    last_number: u64,
}

/// A run as it happened, for the checks.
#[derive(Clone, Debug)]
pub struct Done {
    pub runner: String,
    pub task: String,
    pub run: u64,
    pub from_ms: u64,
    pub to_ms: Option<u64>,
    pub how: String,
}

pub type History = Arc<Mutex<Vec<Done>>>;

pub struct Runner {
    pub id: String,
    address: Mutex<Option<SocketAddr>>,
    power: Arc<Power>,
    life: Mutex<Life>,
    store: Arc<Store>,
    record: Arc<Record>,
    history: History,
    seq: Mutex<u64>,
    number: usize,
    /// Its first label.
    kind: String,
    draining: AtomicBool,
    /// Whether runs are left out of the record and the history.
    quiet: AtomicBool,
}

impl Life {
    fn new() -> Self {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        Self {
            born: now.as_millis() as u64,
            start: Instant::now(),
            token: 0,
            deadline_ms: 0,
            runs: Vec::new(),
            ended: Vec::new(),
            closed: HashMap::new(),
            last_number: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn close(&mut self, task: &str, run: u64) {
        let closed = self.closed.entry(task.to_owned()).or_insert(run);
        *closed = run.max(*closed);
    }

    fn extend(&mut self, body: &Json) {
        if let Some(until) = body.get("deadlineMs").number() {
            let longest = self.clock_ms() + MAX_HOLD_MS;
            self.deadline_ms = self.deadline_ms.max(until.min(longest));
        }
    }
}

impl Runner {
    pub fn start(
        number: usize,
        kind: &str,
        store: &Arc<Store>,
        record: &Arc<Record>,
        history: &History,
    ) -> Arc<Self> {
        let runner = Arc::new(Self {
            id: format!("i-{number:02}"),
            address: Mutex::new(None),
            power: Arc::default(),
            life: Mutex::new(Life::new()),
            store: Arc::clone(store),
            record: Arc::clone(record),
            history: Arc::clone(history),
            seq: Mutex::new(0),
            number,
            kind: kind.to_owned(),
            draining: AtomicBool::new(false),
            quiet: AtomicBool::new(false),
        });
        let own = Arc::clone(&runner);
        let address = serve(Arc::clone(&runner.power), move |request| {
            own.handle(&request)
        });
        *runner.address.lock().unwrap() = Some(address);
        let own = Arc::clone(&runner);
        thread::spawn(move || own.live());
        runner
    }

    fn live(&self) {
        let mut reported: Option<Instant> = None;
        loop {
            thread::sleep(Duration::from_millis(TICK_MS));
            if self.power.is_off() {
                reported = None;
                continue;
            }
            self.advance();
            if reported.is_none_or(|at| at.elapsed() >= Duration::from_millis(REPORT_MS)) {
                self.report();
                reported = Some(Instant::now());
            }
        }
    }

    fn report(&self) {
        let state = match self.draining.load(Ordering::SeqCst) {
            true => "draining",
            false => "ready",
        };
        let mut seq = self.seq.lock().unwrap();
        *seq += 1;
        let life = self.life.lock().unwrap();
        let address = self.address.lock().unwrap().expect("set at the start");
        let entry = obj(vec![
            ("service", text("pool")),
            ("address", text(address.to_string())),
            ("zone", text("zone-a")),
            ("version", text("v1")),
            ("slots", num(8)),
            ("state", text(state)),
            ("coldRemainingMs", num(0)),
            (
                "capacity",
                obj(vec![
                    ("cpu", num(64_000)),
                    ("memMb", num(131_072)),
                    ("gpu", num(ACCELERATORS)),
                ]),
            ),
            (
                "labels",
                Json::Arr(vec![
                    text(self.kind.clone()),
                    text(format!("r1-{}", self.number / 4)),
                ]),
            ),
            ("clockMs", num(life.clock_ms())),
            ("seq", num(*seq)),
            ("born", num(life.born)),
        ]);
        drop(life);
        self.store.put("keyed.servers", &self.id, Some(&entry));
    }

    /// Ends the process: all that it runs and knows is gone, its port is closed.
    pub fn crash(&self) {
        self.power.set_off(true);
        let mut life = self.life.lock().unwrap();
        for run in life.runs.drain(..) {
            self.close_history(&run.task, run.run, "crashed");
        }
        self.record.line(format!("runner {} crashes", self.id));
    }

    /// Ends the process for good: its entry goes after three missed reports.
    pub fn vanish(&self) {
        self.crash();
        thread::sleep(Duration::from_millis(3 * REPORT_MS));
        self.store.put("keyed.servers", &self.id, None);
    }

    /// Starts the process again, under the same id and at the same address.
    pub fn restart(&self) {
        *self.life.lock().unwrap() = Life::new();
        self.power.set_off(false);
        self.record.line(format!("runner {} is back", self.id));
    }

    /// Reports that it is about to leave. The store has accepted the report when this returns.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
        self.report();
        self.record.line(format!(
            "the store has accepted that runner {} is draining",
            self.id
        ));
    }

    pub fn runs_task_of(&self, job: &str) -> bool {
        let life = self.life.lock().unwrap();
        life.runs.iter().any(|run| run.task.starts_with(job))
    }

    pub fn used(&self) -> usize {
        self.life.lock().unwrap().runs.len()
    }

    /// Leaves runs out of the record and the history from now on.
    pub fn be_quiet(&self) {
        self.quiet.store(true, Ordering::SeqCst);
    }

    fn open_history(&self, task: String, run: u64) {
        self.record
            .line(format!("runner {} run {task} {run} starts", self.id));
        self.history.lock().unwrap().push(Done {
            runner: self.id.clone(),
            task,
            run,
            from_ms: self.record.now_ms(),
            to_ms: None,
            how: String::new(),
        });
    }

    fn close_history(&self, task: &str, run: u64, how: &str) {
        if self.quiet.load(Ordering::SeqCst) {
            return;
        }
        let now_ms = self.record.now_ms();
        self.record
            .line(format!("runner {} run {task} {run} ends: {how}", self.id));
        let mut history = self.history.lock().unwrap();
        let open = history.iter_mut().find(|row| {
            row.runner == self.id && row.task == task && row.run == run && row.to_ms.is_none()
        });
        if let Some(row) = open {
            row.to_ms = Some(now_ms);
            row.how = how.to_owned();
        }
    }

    fn advance(&self) {
        let mut life = self.life.lock().unwrap();
        let lapsed = life.clock_ms() > life.deadline_ms;
        let now = Instant::now();
        let mut index = 0;
        while index < life.runs.len() {
            let run = &life.runs[index];
            let how = match run.stops {
                _ if lapsed => "lapsed",
                Some(stops) if stops <= now => "stopped",
                None if run.ends <= now && run.fails => "failed",
                None if run.ends <= now => "done",
                _ => {
                    index += 1;
                    continue;
                }
            };
            let run = life.runs.remove(index);
            life.last_number += 1;
            let number = life.last_number;
            life.close(&run.task, run.run);
            self.close_history(&run.task, run.run, how);
            life.ended.push(Ended {
                number,
                task: run.task,
                run: run.run,
                how,
            });
        }
    }

    fn handle(&self, request: &Request) -> Answer {
        let expected = request.header("hemlockramp-expect-instance");
        if expected.is_some_and(|id| id != self.id) {
            return Some((421, Vec::new()));
        }
        self.advance();
        let body = Json::parse(&request.body);
        let token = body.get("fencingToken").number().unwrap_or(0);
        let mut life = self.life.lock().unwrap();
        if token < life.token {
            return refuse(&life, "fence");
        }
        life.token = token;
        match request.path.as_str() {
            "/run-start" => self.start_run(&mut life, &body),
            "/run-stop" => Some(self.stop_run(&mut life, &body)),
            "/hold" => {
                life.extend(&body);
                let acked = body.get("ackedUpTo").number().unwrap_or(0);
                life.ended.retain(|end| end.number > acked);
                drop(life);
                self.hold(body.get("waitMs").number().unwrap_or(0))
            }
            _ => Some((404, Vec::new())),
        }
    }

    fn start_run(&self, life: &mut Life, body: &Json) -> Answer {
        let task = body.get("task").text().to_owned();
        let run = body.get("run").number()?;
        let answer = |life: &Life| {
            let body = obj(vec![("clockMs", num(life.clock_ms()))]);
            Some((200, body.to_string().into_bytes()))
        };
        if life
            .runs
            .iter()
            .any(|one| one.task == task && one.run == run)
        {
            life.extend(body);
            return answer(life);
        }
        if life.closed.get(&task).is_some_and(|closed| run <= *closed) {
            life.extend(body);
            return refuse(life, "old");
        }
        if body.get("deadlineMs").number()? <= life.clock_ms() {
            return refuse(life, "late");
        }
        life.extend(body);
        if life.runs.len() as u64 >= ACCELERATORS {
            return refuse(life, "room");
        }
        let spec = body.get("spec").text();
        let step: usize = task.split('.').nth(2)?.parse().ok()?;
        let words: Vec<&str> = spec.split(' ').collect();
        let work = words.iter().find_map(|word| word.strip_prefix("work="))?;
        let works: Vec<u64> = work.split(',').filter_map(|one| one.parse().ok()).collect();
        let work_ms = *works.get(step).or(works.last())?;
        life.runs.push(Run {
            task: task.clone(),
            run,
            ends: Instant::now() + Duration::from_millis(work_ms),
            stops: None,
            fails: words.contains(&"fail"),
        });
        if !self.quiet.load(Ordering::SeqCst) {
            self.open_history(task, run);
        }
        answer(life)
    }

    fn stop_run(&self, life: &mut Life, body: &Json) -> (u16, Vec<u8>) {
        let task = body.get("task").text();
        let run = body.get("run").number().unwrap_or(0);
        let stops = Instant::now() + Duration::from_millis(STOP_MS);
        match life
            .runs
            .iter_mut()
            .find(|one| one.task == task && one.run == run)
        {
            Some(own) => {
                own.stops.get_or_insert(stops);
            }
            None => life.close(task, run),
        }
        let body = obj(vec![("clockMs", num(life.clock_ms()))]);
        (200, body.to_string().into_bytes())
    }

    fn hold(&self, wait_ms: u64) -> Answer {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(2_000));
        let born = self.life.lock().unwrap().born;
        loop {
            self.advance();
            let life = self.life.lock().unwrap();
            if self.power.is_off() || life.born != born {
                return None;
            }
            if !life.ended.is_empty() || Instant::now() >= until {
                return Some((200, lists(&life).to_string().into_bytes()));
            }
            drop(life);
            thread::sleep(Duration::from_millis(TICK_MS));
        }
    }
}

fn lists(life: &Life) -> Json {
    let running = life.runs.iter().map(|run| {
        Json::Arr(vec![
            text(run.task.clone()),
            num(run.run),
            text(""),
            num(50),
        ])
    });
    let ended = life.ended.iter().take(LISTED_ENDS).map(|end| {
        Json::Arr(vec![
            num(end.number),
            text(end.task.clone()),
            num(end.run),
            text(end.how),
            text(""),
        ])
    });
    obj(vec![
        ("clockMs", num(life.clock_ms())),
        ("born", num(life.born)),
        ("running", Json::Arr(running.collect())),
        ("ended", Json::Arr(ended.collect())),
    ])
}

fn refuse(life: &Life, reason: &str) -> Answer {
    let body = obj(vec![
        ("clockMs", num(life.clock_ms())),
        ("reason", text(reason)),
    ]);
    Some((409, body.to_string().into_bytes()))
}
