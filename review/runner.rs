//! Stand-in of a runner: starts and stops runs, keeps leases and reports to the store.
//!
//! A task runs for as many milliseconds as the number in its job's `spec` says, and ends `done`.

use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Handler, Reply, Request, Server};
use crate::json::Json;
use crate::ledger::Ledger;
use crate::store::Store;

/// Interval of the reports to the store (`heartbeatMs`).
const HEARTBEAT_MS: u64 = 1_500;
/// Silence after which the store drops an entry, in report intervals.
const SILENT_HEARTBEATS: u64 = 3;
/// Longest lease (`maxHoldMs`).
const LEASE_MAX_MS: u64 = 6_000;
/// Ends that one answer lists.
const LISTED_ENDS: usize = 500;
/// Connections that a runner takes at once.
const CHANNELS: usize = 64;
/// Slots that a runner reports; it takes all that fits into its capacity.
const SLOTS: u64 = 1_024;
/// Interval at which a runner looks for runs that have ended.
const TICK: Duration = Duration::from_millis(4);

/// What a runner has.
#[derive(Clone, Copy)]
pub struct Capacity {
    pub cpu: u64,
    pub memory_mb: u64,
    pub gpu: u64,
}

struct Run {
    task: String,
    number: u64,
    row: usize,
    need: Capacity,
    from: Instant,
    ends: Instant,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    row: usize,
}

/// What a runner knows in one life.
struct Life {
    born_ms: u64,
    began: Instant,
    token: u64,
    lease_until_ms: u64,
    runs: Vec<Run>,
    ends: Vec<End>,
    last_end: u64,
    /// Highest run of each task that was stopped or has ended here.
    finished: Vec<(String, u64)>,
}

impl Life {
    fn new() -> Self {
        Self {
            born_ms: unix_ms(),
            began: Instant::now(),
            token: 0,
            lease_until_ms: 0,
            runs: Vec::new(),
            ends: Vec::new(),
            last_end: 0,
            finished: Vec::new(),
        }
    }

    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn extend_lease(&mut self, body: &Json) {
        if let Some(until_ms) = body.get("deadlineMs").number() {
            let until_ms = until_ms.min(self.clock_ms() + LEASE_MAX_MS);
            self.lease_until_ms = self.lease_until_ms.max(until_ms);
        }
    }

    fn finish(&mut self, task: &str, run: u64) {
        match self.finished.iter_mut().find(|row| row.0 == task) {
            Some(row) => row.1 = row.1.max(run),
            None => self.finished.push((task.to_owned(), run)),
        }
    }
}

pub struct Runner {
    pub id: String,
    rack: usize,
    capacity: Capacity,
    life: Mutex<Life>,
    changed: Condvar,
    /// Whether reports reach the store.
    reports: Mutex<bool>,
    /// When the store last took a report.
    reported: Mutex<Instant>,
    /// When a lease was last renewed.
    renewed: Mutex<Instant>,
    server: OnceLock<Server>,
    store: Arc<Store>,
    ledger: Arc<Ledger>,
}

impl Runner {
    pub fn start(
        index: usize,
        capacity: Capacity,
        store: &Arc<Store>,
        ledger: &Arc<Ledger>,
    ) -> Arc<Self> {
        let runner = Arc::new(Self {
            id: format!("i-{index:010x}"),
            rack: index / 4,
            capacity,
            life: Mutex::new(Life::new()),
            changed: Condvar::new(),
            reports: Mutex::new(true),
            reported: Mutex::new(Instant::now()),
            renewed: Mutex::new(Instant::now()),
            server: OnceLock::new(),
            store: Arc::clone(store),
            ledger: Arc::clone(ledger),
        });
        let handler = Arc::new(RunnerHandler(Arc::clone(&runner)));
        let _ = runner.server.set(Server::start(handler, CHANNELS));
        let own = Arc::clone(&runner);
        thread::spawn(move || own.tick_forever());
        let own = Arc::clone(&runner);
        thread::spawn(move || own.report_forever());
        runner
    }

    fn server(&self) -> &Server {
        self.server.get().expect("set at the start")
    }

    /// Cuts the runner off from the hosts and the store. Connections are reset and refused; what
    /// runs goes on.
    pub fn cut(&self) {
        *self.reports.lock().expect("the reports") = false;
        self.server().close();
    }

    /// Ends a cut or a crash.
    pub fn restore(&self) {
        self.server().open();
        *self.reports.lock().expect("the reports") = true;
    }

    /// Crashes the runner: all that runs is lost. `restore` starts it again under its id.
    pub fn crash(&self) {
        self.cut();
        let mut life = self.life.lock().expect("the life");
        for run in std::mem::take(&mut life.runs) {
            self.ledger.end(run.row, "crashed");
        }
        *life = Life::new();
    }

    /// Returns the time since the store last took a report.
    pub fn report_age(&self) -> Duration {
        self.reported.lock().expect("the report").elapsed()
    }

    /// Returns the time since a host last renewed the lease.
    pub fn renewal_age(&self) -> Duration {
        self.renewed.lock().expect("the renewal").elapsed()
    }

    /// Returns the number of runs and the room that they leave free.
    pub fn load(&self) -> (usize, Capacity) {
        let life = self.life.lock().expect("the life");
        (life.runs.len(), self.free(&life))
    }

    /// Returns whether a task of a job runs here.
    pub fn runs_job(&self, job: &str) -> bool {
        let life = self.life.lock().expect("the life");
        life.runs.iter().any(|run| run.task.starts_with(job))
    }

    fn free(&self, life: &Life) -> Capacity {
        life.runs.iter().fold(self.capacity, |free, run| Capacity {
            cpu: free.cpu.saturating_sub(run.need.cpu),
            memory_mb: free.memory_mb.saturating_sub(run.need.memory_mb),
            gpu: free.gpu.saturating_sub(run.need.gpu),
        })
    }

    fn tick_forever(&self) {
        loop {
            thread::sleep(TICK);
            let mut life = self.life.lock().expect("the life");
            let lapsed = life.clock_ms() > life.lease_until_ms;
            if lapsed {
                for end in &life.ends {
                    self.ledger.lapse_before_ack(end.row);
                }
            }
            let now = Instant::now();
            let (over, runs): (Vec<Run>, Vec<Run>) = std::mem::take(&mut life.runs)
                .into_iter()
                .partition(|run| lapsed || run.ends <= now);
            life.runs = runs;
            for run in over {
                let how = if run.ends <= now { "done" } else { "lapsed" };
                self.end_run(&mut life, &run, how);
            }
        }
    }

    fn end_run(&self, life: &mut Life, run: &Run, how: &'static str) {
        life.last_end += 1;
        let end = End {
            number: life.last_end,
            task: run.task.clone(),
            run: run.number,
            how,
            row: run.row,
        };
        life.ends.push(end);
        life.finish(&run.task, run.number);
        self.ledger.end(run.row, how);
        self.changed.notify_all();
    }

    /// Reports to the store, which drops the entry after some silence.
    fn report_forever(&self) {
        let mut listed = false;
        let mut seq = 0;
        loop {
            if *self.reports.lock().expect("the reports") {
                seq += 1;
                if self.store.put("keyed.servers", &self.id, &self.report(seq)) {
                    *self.reported.lock().expect("the report") = Instant::now();
                    listed = true;
                }
            }
            for _ in 0..HEARTBEAT_MS / 50 {
                thread::sleep(Duration::from_millis(50));
                let silence_ms = self.report_age().as_millis() as u64;
                if listed && silence_ms > SILENT_HEARTBEATS * HEARTBEAT_MS {
                    listed = !self.store.put("keyed.servers", &self.id, "");
                }
                if !listed && *self.reports.lock().expect("the reports") {
                    break;
                }
            }
        }
    }

    fn report(&self, seq: u64) -> String {
        let life = self.life.lock().expect("the life");
        format!(
            "{{\"service\":\"pool\",\"address\":\"{}\",\"zone\":\"zone-{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":{seq},\"labels\":[\"a\",\"r{}\"],\"capacity\":{{\"cpu\":{},\"memMb\":{},\"gpu\":{}}},\"clockMs\":{},\"born\":{}}}",
            self.server().address,
            self.rack % 3,
            SLOTS,
            self.rack,
            self.capacity.cpu,
            self.capacity.memory_mb,
            self.capacity.gpu,
            life.clock_ms(),
            life.born_ms
        )
    }

    fn answer(life: &Life, status: u16, more: &str) -> Reply {
        let text = format!(
            "{{\"clockMs\":{},\"born\":{}{more}}}",
            life.clock_ms(),
            life.born_ms
        );
        Some((status, text.into_bytes()))
    }

    fn refuse(life: &Life, reason: &str) -> Reply {
        Self::answer(life, 409, &format!(",\"reason\":\"{reason}\""))
    }

    fn start_run(&self, life: &mut Life, body: &Json) -> Reply {
        let task = body.get("task").text()?;
        let number = body.get("run").number()?;
        if life
            .runs
            .iter()
            .any(|run| run.task == task && run.number == number)
        {
            return Self::answer(life, 200, "");
        }
        if life
            .finished
            .iter()
            .any(|row| row.0 == task && number <= row.1)
        {
            life.extend_lease(body);
            return Self::refuse(life, "old");
        }
        if body.get("deadlineMs").number()? <= life.clock_ms() {
            return Self::refuse(life, "late");
        }
        life.extend_lease(body);
        let spec = body.get("spec").text()?;
        let (need, run_ms) = read_spec(spec);
        let free = self.free(life);
        if free.cpu < need.cpu || free.memory_mb < need.memory_mb || free.gpu < need.gpu {
            return Self::refuse(life, "room");
        }
        let row = self.ledger.start(task, number, &self.id);
        let from = Instant::now();
        life.runs.push(Run {
            task: task.to_owned(),
            number,
            row,
            need,
            from,
            ends: from + Duration::from_millis(run_ms),
        });
        Self::answer(life, 200, "")
    }

    fn stop_run(&self, life: &mut Life, body: &Json) -> Reply {
        let task = body.get("task").text()?.to_owned();
        let number = body.get("run").number()?;
        life.finish(&task, number);
        let at = life
            .runs
            .iter()
            .position(|run| run.task == task && run.number == number);
        if let Some(at) = at {
            let run = life.runs.remove(at);
            self.end_run(life, &run, "stopped");
        }
        Self::answer(life, 200, "")
    }

    fn hold(&self, body: &Json) -> Reply {
        let acked = body.get("ackedUpTo").number().unwrap_or(0);
        let wait = Duration::from_millis(body.get("waitMs").number().unwrap_or(0));
        let until = Instant::now() + wait;
        let mut life = self.life.lock().expect("the life");
        let born_ms = life.born_ms;
        life.extend_lease(body);
        *self.renewed.lock().expect("the renewal") = Instant::now();
        for end in life.ends.iter().filter(|end| end.number <= acked) {
            self.ledger.ack(end.row);
        }
        life.ends.retain(|end| end.number > acked);
        while life.ends.is_empty() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            life = self.changed.wait_timeout(life, left).expect("the life").0;
            if life.born_ms != born_ms {
                return None;
            }
        }
        let running: Vec<String> = life
            .runs
            .iter()
            .map(|run| {
                let whole = (run.ends - run.from).as_millis().max(1);
                let percent = run.from.elapsed().as_millis() * 100 / whole;
                format!(
                    "[\"{}\",{},\"\",{percent},{}]",
                    run.task, run.number, run.need.cpu
                )
            })
            .collect();
        let ended: Vec<String> = life
            .ends
            .iter()
            .take(LISTED_ENDS)
            .map(|end| {
                format!(
                    "[{},\"{}\",{},\"{}\",\"\"]",
                    end.number, end.task, end.run, end.how
                )
            })
            .collect();
        let more = format!(
            ",\"running\":[{}],\"ended\":[{}]",
            running.join(","),
            ended.join(",")
        );
        Self::answer(&life, 200, &more)
    }
}

struct RunnerHandler(Arc<Runner>);

impl Handler for RunnerHandler {
    fn handle(&self, request: Request) -> Reply {
        let runner = &self.0;
        let meant = request.header("hemlockramp-expect-instance");
        if meant.is_some_and(|meant| meant != runner.id) {
            return Some((421, b"{}".to_vec()));
        }
        let body = Json::read(&request.body);
        let token = body.get("fencingToken").number().unwrap_or(0);
        {
            let mut life = runner.life.lock().expect("the life");
            if token < life.token {
                return Runner::refuse(&life, "fence");
            }
            life.token = token;
            match request.path.as_str() {
                "/run-start" => return runner.start_run(&mut life, &body),
                "/run-stop" => return runner.stop_run(&mut life, &body),
                "/hold" => {}
                _ => return Some((404, b"{}".to_vec())),
            }
        }
        runner.hold(&body)
    }
}

/// Reads a job's text, `RUN_MS CPU MEMORY_MB GPU`: how long a task runs and what it takes up.
fn read_spec(spec: &str) -> (Capacity, u64) {
    let mut words = spec.split(' ').map(|word| word.parse().unwrap_or(0));
    let mut next = || words.next().unwrap_or(0);
    let run_ms = next();
    let need = Capacity {
        cpu: next(),
        memory_mb: next(),
        gpu: next(),
    };
    (need, run_ms)
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
