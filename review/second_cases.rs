//! The cases: each sends jobs, disturbs the deployment within the limits of the pages, and checks one rule.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::hosts::{Hosts, KEY, Queue, config, labelled_step, step};
use crate::http::Connection;
use crate::json::{Json, obj, text};
use crate::record::Record;
use crate::runner::{ACCELERATORS, History, Runner};
use crate::store::Store;

/// What broke the rule, or nothing; an error if the case couldn't run.
pub type Verdict = Result<Option<String>, String>;

pub struct Setting {
    program: PathBuf,
    trouble: bool,
    record: Arc<Record>,
    store: Arc<Store>,
    store_address: SocketAddr,
    history: History,
}

impl Setting {
    pub fn start(folder: &Path, program: &str, trouble: bool) -> Self {
        let record = Arc::new(Record::create(&folder.join("record.txt")));
        record.line(format!("trouble: {trouble}"));
        let (store, store_address) = Store::start();
        Self {
            program: PathBuf::from(program),
            trouble,
            record,
            store,
            store_address,
            history: Arc::new(Mutex::new(Vec::new())),
        }
    }

    fn runners(&self, count: usize) -> Vec<Arc<Runner>> {
        (0..count).map(|number| self.runner(number, "a")).collect()
    }

    fn runner(&self, number: usize, kind: &str) -> Arc<Runner> {
        Runner::start(number, kind, &self.store, &self.record, &self.history)
    }

    fn hosts(&self, queues: &[Queue]) -> Hosts {
        self.store.put("keyed.op", "config", Some(&config(queues)));
        Hosts::start(3, &self.program, self.store_address, &self.record)
    }

    /// Plays a case with hosts that are ready, and ends them afterwards.
    fn play(&self, queues: &[Queue], act: impl FnOnce(&mut Hosts) -> Verdict) -> Verdict {
        let mut hosts = self.hosts(queues);
        let verdict = match hosts.wait_ready() {
            true => act(&mut hosts),
            false => Err("the hosts are not ready".to_owned()),
        };
        drop(hosts);
        self.record.line(format!("verdict: {verdict:?}"));
        verdict
    }

    /// Returns how many runs of a job's tasks have ended like this.
    fn ends(&self, job: &str, how: &str) -> usize {
        let history = self.history.lock().unwrap();
        let rows = history.iter();
        rows.filter(|row| row.task.starts_with(job) && row.how == how)
            .count()
    }
}

fn job(spec: &str, steps: Vec<Json>) -> Json {
    obj(vec![("spec", text(spec)), ("steps", Json::Arr(steps))])
}

fn wait_until(limit_ms: u64, mut condition: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + Duration::from_millis(limit_ms);
    while !condition() {
        if Instant::now() >= until {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
    true
}

/// LOST: runners crash under a job one after the other. No run of it has ended `failed`, so it must not be
/// shown as `failed`.
pub fn crashes(setting: Setting) -> Verdict {
    const ID: &str = "c0ffee0000000001";
    const RUNNERS: usize = 8;
    const CRASHES: usize = 3;
    const DOWN_MS: u64 = 2_000;
    const RUN_MS: u64 = 6_000;
    let runners = setting.runners(RUNNERS);
    let queues = [Queue {
        name: "batch",
        priority: 2,
        attempts: 3,
    }];
    setting.play(&queues, |hosts| {
        let path = format!("/batch/{ID}");
        if !hosts.submit(&path, &job(&format!("work={RUN_MS}"), vec![step(1, RUN_MS, &[])])) {
            return Err("the job was not accepted".to_owned());
        }
        let crashes = if setting.trouble { CRASHES } else { 0 };
        for _ in 0..crashes {
            let mut found = None;
            wait_until(12_000, || {
                found = runners.iter().find(|runner| runner.runs_task_of(ID));
                found.is_some()
            });
            let Some(runner) = found else { break };
            thread::sleep(Duration::from_millis(1_500));
            runner.crash();
            thread::sleep(Duration::from_millis(DOWN_MS));
            runner.restart();
        }
        let mut state = String::new();
        wait_until(30_000, || {
            thread::sleep(Duration::from_millis(500));
            state = hosts.state(&path);
            ["completed", "failed", "cancelled"].contains(&state.as_str())
        });
        let failed = setting.ends(ID, "failed");
        let summary = format!(
            "the job is shown as {state} after {failed} runs that ended failed, {} that crashed with their runner",
            setting.ends(ID, "crashed")
        );
        setting.record.line(&summary);
        match state.as_str() {
            "completed" => Ok(None),
            "failed" if failed == 0 => Ok(Some(summary)),
            _ => Err(summary),
        }
    })
}

/// LOST: a job that can never be done has failed on all runners. A sound job's turn has come, all runners
/// are free, and nothing of it runs for over three seconds.
pub fn hopeless(setting: Setting) -> Verdict {
    const RUNNERS: usize = 4;
    const SOUND: [&str; 3] = ["50ad000000000001", "50ad000000000002", "50ad000000000003"];
    const POISON: &str = "bad0000000000001";
    const QUICK: u64 = 16;
    const FINISH_MS: u64 = 14_000;
    const IDLE_MS: u64 = 3_000;
    let runners = setting.runners(RUNNERS);
    let queues = [Queue {
        name: "batch",
        priority: 2,
        attempts: 3,
    }];
    setting.play(&queues, |hosts| {
        let tasks = RUNNERS as u64 * 5;
        for index in 0..QUICK {
            let body = job("work=200", vec![step(1, 200, &[])]);
            if !hosts.submit(&format!("/batch/9a1c{index:012x}"), &body) {
                return Err("a quick job was not accepted".to_owned());
            }
        }
        if setting.trouble {
            let body = job("work=10900 fail", vec![step(tasks, 10_900, &[])]);
            hosts.submit(&format!("/batch/{POISON}"), &body);
        }
        for id in SOUND {
            let body = job(
                "work=11300,2500",
                vec![step(1, 11_300, &[]), step(1, 2_500, &[0])],
            );
            if !hosts.submit(&format!("/batch/{id}"), &body) {
                return Err("a sound job was not accepted".to_owned());
            }
        }
        let traffic_end_ms = setting.record.now_ms();
        setting.record.line("end of the traffic");
        let mut idle_since: Vec<Option<u64>> = vec![None; SOUND.len()];
        let mut worst = 0;
        let room = RUNNERS * ACCELERATORS as usize;
        while setting.record.now_ms() < traffic_end_ms + 60_000 {
            thread::sleep(Duration::from_millis(20));
            let now_ms = setting.record.now_ms();
            let used: usize = runners.iter().map(|runner| runner.used()).sum();
            let mut all_done = true;
            for (index, id) in SOUND.iter().enumerate() {
                let done = setting.ends(id, "done");
                all_done &= done == 2;
                let runs = runners.iter().any(|runner| runner.runs_task_of(id));
                let idle =
                    done < 2 && !runs && used * 2 < room && now_ms >= traffic_end_ms + FINISH_MS;
                match (idle, idle_since[index]) {
                    (false, _) => idle_since[index] = None,
                    (true, None) => idle_since[index] = Some(now_ms),
                    (true, Some(since)) => worst = worst.max(now_ms - since),
                }
            }
            if all_done {
                break;
            }
        }
        for id in SOUND {
            hosts.state(&format!("/batch/{id}"));
        }
        let summary = format!(
            "a sound job had nothing running for {worst} ms although all runners were free"
        );
        setting.record.line(&summary);
        Ok((worst > IDLE_MS).then_some(summary))
    })
}

/// LOST: a runner is lost for good, and then the owner of the pool. The next owner must start the task again; it may
/// not leave it for 3 s, `finish_s` after the traffic, while the other runners are free.
pub fn late_owner(setting: Setting) -> Verdict {
    const ID: &str = "10a7000000000001";
    const RUNNERS: usize = 16;
    const RUN_MS: u64 = 6_000;
    const DOWN_MS: u64 = 3_500;
    const FINISH_MS: u64 = 14_000;
    const IDLE_MAX_MS: u64 = 3_000;
    let runners = setting.runners(RUNNERS);
    let queues = [Queue {
        name: "batch",
        priority: 2,
        attempts: 3,
    }];
    setting.play(&queues, |hosts| {
        let body = job(&format!("work={RUN_MS}"), vec![step(1, RUN_MS, &[])]);
        if !hosts.submit(&format!("/batch/{ID}"), &body) {
            return Err("the job was not accepted".to_owned());
        }
        let traffic_end_ms = setting.record.now_ms();
        setting.record.line("end of the traffic");
        let mut killed = None;
        if setting.trouble {
            thread::sleep(Duration::from_millis(1_000));
            let runner = runners.iter().find(|runner| runner.runs_task_of(ID));
            runner.ok_or("the task isn't running")?.vanish();
            thread::sleep(Duration::from_millis(1_000));
            let owner = hosts.owner().ok_or("no host owns the pool")?;
            hosts.kill(owner);
            killed = Some((owner, setting.record.now_ms()));
        }
        let (mut idle_since, mut longest_ms) = (None, 0);
        while setting.ends(ID, "done") == 0 && setting.record.now_ms() < traffic_end_ms + 60_000 {
            thread::sleep(Duration::from_millis(20));
            let now_ms = setting.record.now_ms();
            if let Some((owner, _)) = killed.filter(|(_, at_ms)| now_ms >= at_ms + DOWN_MS) {
                hosts.restart(owner);
                killed = None;
            }
            let runs = runners.iter().any(|runner| runner.runs_task_of(ID));
            if runs || now_ms < traffic_end_ms + FINISH_MS {
                idle_since = None;
                continue;
            }
            longest_ms = longest_ms.max(now_ms - *idle_since.get_or_insert(now_ms));
        }
        hosts.state(&format!("/batch/{ID}"));
        let summary = format!(
            "the job had nothing running for {longest_ms} ms later than finish_s after the traffic, while all runners were free"
        );
        setting.record.line(&summary);
        Ok((longest_ms > IDLE_MAX_MS).then_some(summary))
    })
}

/// DRAIN: the owner of the pool is killed when it has stored a placement and before its start has gone out,
/// and the next one when it claims the pool. The runner has said meanwhile that it is draining. The owner
/// after them must not start the task there.
pub fn draining(setting: Setting) -> Verdict {
    const RUNNERS: usize = 16;
    const ROUNDS: usize = 6;
    const DRAIN_MS: u64 = 2_000;
    const DOWN_MS: u64 = 3_500;
    let kind = |number: usize| match number {
        0..ROUNDS => format!("b{number}"),
        _ => "a".to_owned(),
    };
    let runners: Vec<Arc<Runner>> = (0..RUNNERS)
        .map(|number| setting.runner(number, &kind(number)))
        .collect();
    let queues = [Queue {
        name: "batch",
        priority: 1,
        attempts: 3,
    }];
    setting.play(&queues, |hosts| {
        let mut latest = None;
        for round in 0..ROUNDS {
            // Longer than `contactMs`, so that all that is left is in touch.
            thread::sleep(Duration::from_millis(3_500));
            let runner = &runners[round];
            let id = format!("d4a1{round:012x}");
            let owner = hosts.owner().ok_or("no host owns the pool")?;
            let drained_ms = setting.record.now_ms();
            if setting.trouble {
                runner.drain();
                thread::sleep(Duration::from_millis(80));
            }
            let body = job("work=1000", vec![labelled_step(1, 1_000, &[], &kind(round))]);
            let other = (owner + 1) % 3;
            if !hosts.submit_at(other, &format!("/batch/{id}"), &body) {
                return Err("a job was not accepted".to_owned());
            }
            let placed = setting.store.wait_for_key(
                "keyed.runs",
                &format!("{id}/"),
                Duration::from_millis(600),
            );
            if placed && setting.trouble {
                let claims = setting.store.conditional_count();
                hosts.kill(owner);
                let limit = Duration::from_millis(5_000);
                let claim = setting.store.wait_for_conditional(claims, limit);
                let next = claim.and_then(|value| hosts.named_in(&value));
                let next = next.ok_or("no host claims the pool")?;
                hosts.kill(next);
                thread::sleep(Duration::from_millis(DOWN_MS));
                hosts.restart(owner);
                hosts.restart(next);
                if !hosts.wait_ready() {
                    return Err("the hosts are not ready again".to_owned());
                }
            }
            let history = setting.history.lock().unwrap().clone();
            let start = history.iter().find(|row| row.task.starts_with(&id));
            let after_ms = start.map(|row| row.from_ms - drained_ms);
            setting
                .record
                .line(format!("round {round}: placed {placed}, started after {after_ms:?} ms"));
            if setting.trouble {
                latest = latest.max(after_ms);
            }
            if latest.is_some_and(|after_ms| after_ms > DRAIN_MS) {
                break;
            }
        }
        let Some(after_ms) = latest.filter(|after_ms| *after_ms > DRAIN_MS) else {
            return Ok(None);
        };
        Ok(Some(format!(
            "a task was started {after_ms} ms after the store had accepted that its runner was draining"
        )))
    })
}

/// Hands jobs in as fast as they are accepted, by several consumers.
struct Load {
    /// Jobs that are still to be handed in.
    left: AtomicU64,
    accepted: AtomicU64,
    stopped: AtomicBool,
    fronts: Vec<SocketAddr>,
}

impl Load {
    fn run(&self, consumer: u64) {
        let auth = format!("Token {KEY}");
        let headers = [("host", "queue.example"), ("authorization", auth.as_str())];
        let limit = Duration::from_millis(3_000);
        let spec = format!("work=1 {}", "x".repeat(SPEC_BYTES));
        let body = job(&spec, vec![step(1, 1, &[])]).to_string();
        let mut at = consumer as usize;
        let mut open = None;
        while !self.stopped.load(Ordering::SeqCst) {
            let taken = self
                .left
                .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| {
                    left.checked_sub(1)
                });
            let Ok(number) = taken else { return };
            let path = format!("/batch/{number:016x}");
            loop {
                if self.stopped.load(Ordering::SeqCst) {
                    return;
                }
                let connection = match open.take() {
                    Some(connection) => Some(connection),
                    None => Connection::open(self.fronts[at % self.fronts.len()], limit),
                };
                let answer = connection.and_then(|mut connection| {
                    let answer = connection.call("POST", &path, &headers, &body);
                    open = answer.is_some().then_some(connection);
                    answer
                });
                if answer.is_some_and(|(status, _)| status == 200) {
                    self.accepted.fetch_add(1, Ordering::SeqCst);
                    break;
                }
                open = None;
                at += 1;
                thread::sleep(Duration::from_millis(200));
            }
        }
    }
}

/// Length of the `spec` of the jobs, in bytes; the longest one that is allowed.
const SPEC_BYTES: usize = 3_990;

/// The platform's supervision of the hosts: ends those that exceed their machine's memory, and starts them again.
struct Supervisor {
    memory_max_mb: u64,
    kills: [u64; 3],
    down_since_ms: [Option<u64>; 3],
    shown_ms: u64,
}

impl Supervisor {
    const RESTART_MS: u64 = 1_000;
    const SHOW_MS: u64 = 1_000;

    fn check(&mut self, setting: &Setting, hosts: &mut Hosts, accepted: u64) {
        let now_ms = setting.record.now_ms();
        let memory: Vec<Option<u64>> = (0..3).map(|host| hosts.memory_mb(host)).collect();
        if now_ms >= self.shown_ms + Self::SHOW_MS {
            self.shown_ms = now_ms;
            let line = format!("{accepted} jobs accepted; memory of the hosts, MB: {memory:?}");
            setting.record.line(line);
        }
        for host in 0..3 {
            if let Some(memory_mb) = memory[host].filter(|mb| *mb > self.memory_max_mb) {
                hosts.kill(host);
                self.kills[host] += 1;
                self.down_since_ms[host] = Some(now_ms);
                setting.record.line(format!(
                    "front-{host} used {memory_mb} MB of {}: ended by the platform, time {}",
                    self.memory_max_mb, self.kills[host]
                ));
            } else if self.down_since_ms[host]
                .is_some_and(|since| now_ms >= since + Self::RESTART_MS)
            {
                self.down_since_ms[host] = None;
                hosts.restart(host);
            }
        }
    }
}

/// LOST: hosts keep each finished job for ever. After some hours of the sheet's traffic each process exceeds the
/// memory of its machine, and again after each restart, so that no host answers for accepted jobs.
pub fn memory(setting: Setting) -> Verdict {
    const MEMORY_MB: u64 = 260;
    const JOBS_PER_HOUR: u64 = 14_616;
    const HOURS: u64 = 8;
    const QUIET_HOURS: u64 = 1;
    const CONSUMERS: u64 = 24;
    const LOAD_MAX_MS: u64 = 80_000;
    const FINISH_MS: u64 = 14_000;
    const ATTEMPTS: usize = 5;
    let runners = setting.runners(16);
    runners.iter().for_each(|runner| runner.be_quiet());
    let queues = [Queue {
        name: "batch",
        priority: 0,
        attempts: 2,
    }];
    setting.play(&queues, |hosts| {
        let hours = if setting.trouble { HOURS } else { QUIET_HOURS };
        let jobs = hours * JOBS_PER_HOUR;
        let load = Arc::new(Load {
            left: AtomicU64::new(jobs),
            accepted: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
            fronts: hosts.fronts(),
        });
        for consumer in 0..CONSUMERS {
            let load = Arc::clone(&load);
            thread::spawn(move || load.run(consumer));
        }
        let mut supervisor = Supervisor {
            memory_max_mb: MEMORY_MB,
            kills: [0; 3],
            down_since_ms: [None; 3],
            shown_ms: 0,
        };
        let pause = Duration::from_millis(50);
        let accepted = || load.accepted.load(Ordering::SeqCst);
        while accepted() < jobs
            && supervisor.kills.contains(&0)
            && setting.record.now_ms() < LOAD_MAX_MS
        {
            thread::sleep(pause);
            supervisor.check(&setting, hosts, accepted());
        }
        load.stopped.store(true, Ordering::SeqCst);
        let traffic_end_ms = setting.record.now_ms();
        setting.record.line("end of the traffic");
        while setting.record.now_ms() < traffic_end_ms + FINISH_MS {
            thread::sleep(pause);
            supervisor.check(&setting, hosts, accepted());
        }
        let mut unanswered = 0;
        // The jobs were numbered downwards, so these were handed in first.
        for number in [jobs - 1, jobs - 1_000, jobs - 5_000] {
            let mut state = String::new();
            for _ in 0..ATTEMPTS {
                state = hosts.state(&format!("/batch/{number:016x}"));
                if state == "completed" {
                    break;
                }
                for _ in 0..20 {
                    thread::sleep(pause);
                    supervisor.check(&setting, hosts, accepted());
                }
            }
            unanswered += usize::from(!["queued", "running", "completed"].contains(&state.as_str()));
        }
        let accepted = accepted();
        let summary = format!(
            "after {accepted} jobs the hosts were ended {:?} times for their memory; {unanswered} of 3 accepted jobs get no answer",
            supervisor.kills
        );
        setting.record.line(&summary);
        if setting.trouble && supervisor.kills == [0; 3] {
            return Err(format!("the limit of memory was not reached; {summary}"));
        }
        Ok((unanswered > 0).then_some(summary))
    })
}
