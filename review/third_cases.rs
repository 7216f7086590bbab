//! The cases of the third review.

use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::third_cluster::Cluster;
use crate::third_http::send;
use crate::third_record::Record;
use crate::third_runner::{Capacity, Runner, TaskPlan};
use crate::third_store::Store;

/// How a case ended: `Some` with the rule that was broken, `None` if it held.
pub type Outcome = Result<Option<String>, String>;

/// Capacity of a runner, as on the sheet of salal-skipday.
const RUNNER: Capacity = Capacity {
    cpu: 32_000,
    mem_mb: 131_072,
    gpu: 8,
};
/// A task with one GPU.
const TASK: Capacity = Capacity {
    cpu: 2_000,
    mem_mb: 1_024,
    gpu: 1,
};
/// Hosts of the deployment.
const HOSTS: usize = 3;
/// Keys of the two tenants.
const ONE: &str = "key-one";
const TWO: &str = "key-two";
/// Bounds of the sheet of salal-skipday.
const FINISH: Duration = Duration::from_secs(14);
const RECLAIM: Duration = Duration::from_millis(2_900);
/// Time for which a job may have nothing running while there is room for it.
const NOTHING_RUNNING: Duration = Duration::from_secs(3);
/// Time at work that stands for a task that lasts, in ms; longer than any case.
const LASTING: u64 = 3_600_000;
/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(20);

/// A queue of the configuration, by its path prefix.
const PLAN: &str = "/plan/";
const URGENT: &str = "/urgent/";
const BATCH: &str = "/batch/";

pub fn run(case: &str, record: &Path, trouble: bool) -> Outcome {
    match case {
        "many-tasks" => many_tasks(record, trouble),
        "spread" => spread(record, trouble),
        "guarantee" => guarantee(record, trouble),
        "lasting" => lasting(record, trouble),
        "flapping" => flapping(record, trouble),
        "same-id" => same_id(record, trouble),
        _ => Err(format!("there is no case {case}")),
    }
}

/// A small deployment on loopback.
struct Rig {
    record: Arc<Record>,
    cluster: Cluster,
    runners: Vec<Arc<Runner>>,
    plans: Arc<Mutex<Vec<TaskPlan>>>,
    folder: PathBuf,
}

/// A job as its caller sends it.
struct Job<'a> {
    key: &'a str,
    queue: &'a str,
    id: &'a str,
    need: Capacity,
    /// Time that each of its tasks works.
    work_ms: u64,
    count: u32,
    /// Further members of its step, each with a comma before it.
    more: &'a str,
}

impl Job<'_> {
    /// A task that lasts has no duration to estimate.
    fn body(&self) -> String {
        let Capacity { cpu, mem_mb, gpu } = self.need;
        let estimate = match self.work_ms {
            LASTING => String::new(),
            work_ms => format!(",\"estimatedMs\":{work_ms}"),
        };
        format!(
            "{{\"spec\":\"work of {}\",\"steps\":[{{\"count\":{},\"cpu\":{cpu},\"memMb\":{mem_mb},\
             \"gpu\":{gpu}{estimate}{}}}]}}",
            self.id, self.count, self.more
        )
    }
}

impl Rig {
    /// Starts hosts and runners; `labels` are those of each runner.
    fn start(record: &Path, labels: &[&[&str]]) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("review-third-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let record = Arc::new(Record::create(record));
        let (store, address) = Store::start();
        store.put("keyed.op", "config", &config());
        let plans = Arc::<Mutex<Vec<TaskPlan>>>::default();
        let runners = labels.iter().enumerate().map(|(index, labels)| {
            let id = format!("runner-{index:02}");
            Runner::start(&id, labels, RUNNER, &plans, &store, &record)
        });
        let runners: Vec<Arc<Runner>> = runners.collect();
        let cluster = Cluster::start(&folder, HOSTS, address, &record);
        let rig = Self {
            record,
            cluster,
            runners,
            plans,
            folder,
        };
        match rig.cluster.wait_ready(Duration::from_secs(15)) {
            true => Ok(rig),
            false => Err("the hosts did not become ready".to_owned()),
        }
    }

    /// Tells the runners what the tasks of a job need and how long they work.
    fn plan(&self, id: &str, need: Capacity, work_ms: u64) {
        self.plans.lock().expect("lock").push(TaskPlan {
            job: id.to_owned(),
            need,
            work_ms,
        });
    }

    /// Hands a job in, again with the same ID while it is refused or gets no answer.
    ///
    /// # Errors
    ///
    /// Fails if it isn't accepted.
    fn submit(&self, job: &Job) -> Result<Instant, String> {
        self.plan(job.id, job.need, job.work_ms);
        let path = format!("{}{}", job.queue, job.id);
        for attempt in 0..5 {
            let body = job.body();
            let seen = self.cluster.call(attempt, "POST", &path, job.key, &body);
            if seen.status == 200 {
                return Ok(Instant::now());
            }
            thread::sleep(Duration::from_millis(1_000));
        }
        Err(format!("job {} was not accepted", job.id))
    }

    /// Returns a job's state, or the status of another answer than 200.
    fn state(&self, host: usize, job: &Job) -> String {
        let path = format!("{}{}", job.queue, job.id);
        let seen = self.cluster.call(host, "GET", &path, job.key, "");
        let state = seen.body.split('"').nth(3).unwrap_or_default();
        match seen.status {
            200 => state.to_owned(),
            status => status.to_string(),
        }
    }

    /// Waits until a job has this state; returns whether it has.
    fn wait_state(&self, job: &Job, state: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let mut host = 0;
        while Instant::now() < until {
            if self.state(host, job) == state {
                return true;
            }
            host += 1;
            thread::sleep(Duration::from_millis(300));
        }
        false
    }

    /// Serves an ordinary job in calm.
    fn serve_in_calm(&self) -> Result<(), String> {
        let job = Job {
            key: ONE,
            queue: PLAN,
            id: "00000000000000a0",
            need: TASK,
            work_ms: 1_000,
            count: 4,
            more: "",
        };
        self.submit(&job)?;
        match self.wait_state(&job, "completed", Duration::from_secs(15)) {
            true => Ok(()),
            false => Err("an ordinary job was not served in calm".to_owned()),
        }
    }

    fn works_on(&self, id: &str) -> bool {
        self.runners.iter().any(|runner| runner.works_on(id))
    }

    /// Returns the numbers of GPUs in use and in all, of runners that are up.
    fn gpus(&self) -> (u64, u64) {
        let up = self.runners.iter().filter(|runner| runner.is_up());
        up.fold((0, 0), |(used, all), runner| {
            (used + runner.used().gpu, all + RUNNER.gpu)
        })
    }

    /// Looks for `limit` whether a job that isn't over has nothing running for
    /// `NOTHING_RUNNING` on end, while less than half of the GPUs is in use and
    /// `has_room` holds.
    fn is_left_undone(&self, job: &Job, limit: Duration, has_room: impl Fn(&Self) -> bool) -> bool {
        let until = Instant::now() + limit;
        let mut since = Instant::now();
        while Instant::now() < until {
            let (used, all) = self.gpus();
            let is_done = self.ends(job.id, "done") >= job.count as usize;
            if is_done || self.works_on(job.id) || 2 * used >= all || !has_room(self) {
                since = Instant::now();
            }
            if since.elapsed() >= NOTHING_RUNNING {
                return true;
            }
            thread::sleep(LOOK);
        }
        false
    }

    /// Returns how many runs of a job have ended like this.
    fn ends(&self, id: &str, how: &str) -> usize {
        let events = self.record.events_of(id);
        let ended = events.iter().filter(|one| one.how.as_deref() == Some(how));
        ended.count()
    }

    /// Returns how many tasks of a job have begun at least once.
    fn begun(&self, id: &str) -> usize {
        let events = self.record.events_of(id);
        let starts = events.iter().filter(|event| event.how.is_none());
        let mut tasks: Vec<&str> = starts.map(|event| event.task.as_str()).collect();
        tasks.sort_unstable();
        tasks.dedup();
        tasks.len()
    }

    /// Ends the hosts and returns the outcome.
    fn close(self, broken: Option<String>) -> Outcome {
        for host in &self.cluster.hosts {
            let peak_mb = *host.peak_kb.lock().expect("lock") / 1_024;
            let ends = host.ends.lock().expect("lock").len();
            let name = &host.name;
            self.record.line(&format!(
                "host {name}: at most {peak_mb} MB, ended {ends} times"
            ));
        }
        self.cluster.close();
        self.record.line(match &broken {
            Some(reason) => reason,
            None => "the rule held",
        });
        match std::env::var_os("KEEP") {
            Some(_) => println!("logs in {}", self.folder.display()),
            // What is left of it lies in the temporary folder and does no harm.
            None => _ = std::fs::remove_dir_all(&self.folder),
        }
        Ok(broken)
    }
}

/// Three queues, which differ in priority, and two tenants with a guarantee of one runner each.
fn config() -> String {
    let queues = [
        ("plan", PLAN, 1, 1_000, 4),
        ("urgent", URGENT, 0, 250, 4),
        ("batch", BATCH, 2, 3_000, 3),
    ];
    let routes = queues.map(|(name, prefix, priority, slo_ms, attempts)| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"queue.example\",\"pathPrefix\":\"{prefix}\",\
             \"kind\":\"unsafe\",\"timeoutMs\":3000,\"sloMs\":{slo_ms},\"priority\":{priority},\
             \"service\":\"pool\",\"maxAttempts\":{attempts},\"stretch\":3.0,\"public\":false}}"
        )
    });
    let tenants = [("one", ONE), ("two", TWO)].map(|(name, key)| {
        format!("{{\"name\":\"{name}\",\"apiKeys\":[\"{key}\"],\"guaranteed\":{{\"gpu\":8}}}}")
    });
    format!(
        "{{\"version\":11,\"routes\":[{}],\"services\":[{{\"name\":\"pool\",\
         \"healthPath\":\"/health\",\"maxConns\":64,\"admissionCheck\":true}}],\
         \"limits\":{{\"maxBodyBytes\":262144}},\"tenants\":[{}]}}",
        routes.join(","),
        tenants.join(",")
    )
}

fn plain_runners(count: usize) -> Vec<&'static [&'static str]> {
    const LABELS: &[&str] = &["a", "r1"];
    vec![LABELS; count]
}

/// A caller sends jobs with many tasks: bodies of some 12 KB, all accepted. Then an ordinary caller's
/// job is looked at.
fn many_tasks(record: &Path, trouble: bool) -> Outcome {
    const JOBS: usize = 80;
    const STEPS: usize = 64;
    let rig = Rig::start(record, &plain_runners(8))?;
    rig.serve_in_calm()?;
    if trouble {
        let step = |index: usize| {
            let after: Vec<String> = (0..index).map(|step| step.to_string()).collect();
            format!(
                "{{\"count\":312,\"cpu\":32000,\"memMb\":131072,\"gpu\":8,\"estimatedMs\":4000,\
                 \"after\":[{}]}}",
                after.join(",")
            )
        };
        let steps: Vec<String> = (0..STEPS).map(step).collect();
        let body = format!("{{\"spec\":\"large\",\"steps\":[{}]}}", steps.join(","));
        for number in 0..JOBS {
            let id = format!("b{number:015x}");
            rig.plan(&id, RUNNER, 4_000);
            rig.cluster
                .call(number, "POST", &format!("{BATCH}{id}"), TWO, &body);
        }
    }
    let job = Job {
        key: ONE,
        queue: PLAN,
        id: "00000000000000a1",
        need: TASK,
        work_ms: 1_000,
        count: 4,
        more: "",
    };
    rig.submit(&job)?;
    rig.record.line("the traffic has ended");
    thread::sleep(FINISH);
    let undone = rig.is_left_undone(&job, Duration::from_secs(20), |_| true);
    let kills: usize = rig
        .cluster
        .hosts
        .iter()
        .map(|host| host.ends.lock().expect("lock").len())
        .sum();
    let state = rig.state(0, &job);
    let broken = undone.then(|| {
        format!(
            "LOST: after finish_s an accepted job ({state}) has nothing running for 3 s, with the \
             runners' room free; processes ended {kills} times for their memory"
        )
    });
    rig.close(broken)
}

/// A caller sends one job with many small tasks that are to be spread. A job that lasts is at work
/// meanwhile and may miss one task.
fn spread(record: &Path, trouble: bool) -> Outcome {
    let rig = Rig::start(record, &plain_runners(48))?;
    rig.serve_in_calm()?;
    let serving = Job {
        key: ONE,
        queue: PLAN,
        id: "00000000000000a1",
        need: TASK,
        work_ms: LASTING,
        count: 3,
        more: ",\"longRunning\":true,\"mayMiss\":1",
    };
    rig.submit(&serving)?;
    let begun = Instant::now();
    while rig.begun(serving.id) < 3 {
        if begun.elapsed() > Duration::from_secs(10) {
            return Err("the job that lasts did not start".to_owned());
        }
        thread::sleep(LOOK);
    }
    thread::sleep(Duration::from_secs(3));
    if trouble {
        let job = Job {
            key: TWO,
            queue: BATCH,
            id: "f0000000000000b1",
            need: Capacity {
                cpu: 10,
                mem_mb: 8,
                gpu: 0,
            },
            work_ms: 2_000,
            count: 20_000,
            more: ",\"antiAffinity\":1000",
        };
        rig.submit(&job)?;
    }
    let mut silent = 0;
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(40) {
        for host in &rig.cluster.hosts {
            let seen = send(
                host.ready,
                "GET",
                "/ready",
                &[],
                b"",
                Duration::from_secs(1),
            );
            silent += usize::from(seen.status == 0);
        }
        thread::sleep(Duration::from_millis(500));
    }
    let lapsed = rig.ends(serving.id, "lapsed");
    rig.record.line(&format!(
        "{lapsed} runs of the job that lasts have lapsed; {silent} looks at /ready got no answer in 1 s"
    ));
    let broken = (lapsed >= 2).then(|| {
        format!(
            "AVAIL: the leases of {lapsed} tasks of a step that may miss one lapsed on sound runners \
             with no impairment near; {silent} looks at /ready got no answer within 1 s"
        )
    });
    rig.close(broken)
}

/// A tenant's tasks that last take all that is idle. Then another tenant hands in a job of priority 0
/// that its guarantee covers.
fn guarantee(record: &Path, trouble: bool) -> Outcome {
    const WATCHED: Duration = Duration::from_secs(30);
    let rig = Rig::start(record, &plain_runners(8))?;
    rig.serve_in_calm()?;
    if trouble {
        let filler = Job {
            key: TWO,
            queue: BATCH,
            id: "f0000000000000b1",
            need: TASK,
            work_ms: LASTING,
            count: 64,
            more: ",\"longRunning\":true,\"mayMiss\":32",
        };
        rig.submit(&filler)?;
    }
    thread::sleep(Duration::from_secs(5));
    let job = Job {
        key: ONE,
        queue: URGENT,
        id: "00000000000000a1",
        need: TASK,
        work_ms: 60_000,
        count: 8,
        more: "",
    };
    let acked = rig.submit(&job)?;
    let mut all_ms = None;
    while all_ms.is_none() && acked.elapsed() < WATCHED {
        if rig.begun(job.id) == 8 {
            all_ms = Some(acked.elapsed());
        }
        thread::sleep(LOOK);
    }
    let begun = rig.begun(job.id);
    rig.record.line(&format!(
        "{begun} of 8 tasks had begun when the watch ended"
    ));
    let broken = all_ms.is_none_or(|passed| passed > RECLAIM).then(|| {
        format!(
            "RECLAIM: {begun} of the 8 tasks of a job of priority 0, which its tenant's guarantee of \
             8 GPUs covers, had begun {} s after its ack",
            acked.elapsed().as_secs()
        )
    });
    rig.close(broken)
}

/// The runner under a task that lasts is lost for good while less urgent work fills the others.
fn lasting(record: &Path, trouble: bool) -> Outcome {
    /// The time after its last run from which a task that lasts has to be at work again, and the calm
    /// time that the rule asks for beside it.
    const AFTER_RUN: Duration = Duration::from_secs(6);
    const CALM: Duration = Duration::from_secs(4);
    let rig = Rig::start(record, &plain_runners(8))?;
    rig.serve_in_calm()?;
    let serving = Job {
        key: ONE,
        queue: PLAN,
        id: "00000000000000a1",
        need: Capacity {
            cpu: 4_000,
            mem_mb: 1_024,
            gpu: 8,
        },
        work_ms: LASTING,
        count: 1,
        more: ",\"longRunning\":true",
    };
    rig.submit(&serving)?;
    thread::sleep(Duration::from_secs(2));
    let filler = Job {
        key: TWO,
        queue: BATCH,
        id: "f0000000000000b1",
        need: TASK,
        work_ms: 60_000,
        count: 80,
        more: "",
    };
    rig.submit(&filler)?;
    thread::sleep(Duration::from_secs(3));
    let Some(runner) = rig.runners.iter().find(|one| one.works_on(serving.id)) else {
        return Err("the task that lasts is not at work".to_owned());
    };
    if trouble {
        runner.crash();
    }
    let ended = Instant::now();
    thread::sleep(AFTER_RUN + CALM);
    let mut missed = true;
    let window = Instant::now();
    while window.elapsed() < NOTHING_RUNNING {
        missed &= !rig.works_on(serving.id);
        thread::sleep(LOOK);
    }
    while !rig.works_on(serving.id) && ended.elapsed() < Duration::from_secs(40) {
        thread::sleep(LOOK);
    }
    let back = match rig.works_on(serving.id) {
        true => format!(
            "at work {:.1} s after the crash",
            ended.elapsed().as_secs_f64()
        ),
        false => "not at work 40 s after the crash".to_owned(),
    };
    rig.record.line(&format!("the task that lasts is {back}"));
    let broken = missed.then(|| {
        format!(
            "LOST: a task that lasts was not at work for 3 s on end, from 10 s after its last run on; \
             it is {back}"
        )
    });
    rig.close(broken)
}

/// The only runner with a task's label goes down and up by turns, then stays up.
fn flapping(record: &Path, trouble: bool) -> Outcome {
    const FLAPS: usize = 5;
    let mut labels = plain_runners(8);
    labels[0] = &["b", "r1"];
    let rig = Rig::start(record, &labels)?;
    rig.serve_in_calm()?;
    let job = Job {
        key: ONE,
        queue: PLAN,
        id: "00000000000000a1",
        need: TASK,
        work_ms: 6_000,
        count: 1,
        more: ",\"requirements\":\"b\"",
    };
    rig.submit(&job)?;
    let runner = &rig.runners[0];
    for _ in 0..if trouble { FLAPS } else { 0 } {
        let begun = Instant::now();
        while !runner.works_on(job.id) {
            if begun.elapsed() > Duration::from_secs(30) {
                return Err("the task did not start between two crashes".to_owned());
            }
            thread::sleep(LOOK);
        }
        thread::sleep(Duration::from_millis(2_000));
        runner.crash();
        thread::sleep(Duration::from_millis(2_000));
        runner.restart();
    }
    rig.record.line("the traffic and the crashes have ended");
    thread::sleep(FINISH);
    let is_idle = |rig: &Rig| rig.runners[0].is_up() && rig.runners[0].used().gpu == 0;
    let undone = rig.is_left_undone(&job, Duration::from_secs(10), is_idle);
    let state = rig.state(0, &job);
    let broken = undone.then(|| {
        format!(
            "LOST: after finish_s an accepted job ({state}) has nothing running for 3 s, with a runner \
             of its label up and idle"
        )
    });
    rig.close(broken)
}

/// Two tenants choose the same ID for jobs of their own, each in its own queue.
fn same_id(record: &Path, trouble: bool) -> Outcome {
    let rig = Rig::start(record, &plain_runners(8))?;
    rig.serve_in_calm()?;
    let first = Job {
        key: ONE,
        queue: PLAN,
        id: "00000000000000a1",
        need: TASK,
        work_ms: 1_000,
        count: 2,
        more: "",
    };
    rig.submit(&first)?;
    if !rig.wait_state(&first, "completed", Duration::from_secs(15)) {
        return Err("the first tenant's job was not served".to_owned());
    }
    let second = Job {
        key: TWO,
        queue: BATCH,
        id: if trouble {
            first.id
        } else {
            "00000000000000a2"
        },
        count: 3,
        ..first
    };
    let sent = rig.cluster.call(
        1,
        "POST",
        &format!("{BATCH}{}", second.id),
        TWO,
        &second.body(),
    );
    if !trouble {
        rig.plan(second.id, TASK, 1_000);
    }
    if sent.status != 200 {
        // A refusal is true: the job doesn't run.
        return rig.close(None);
    }
    thread::sleep(Duration::from_secs(5));
    let state = rig.state(2, &second);
    let last = format!("{}.0.0.2", second.id);
    let done = rig.ends(&last, "done");
    let broken = (state == "completed" && done == 0).then(|| {
        format!(
            "MIXED: the second tenant's job was accepted and is shown as completed, but its task {last} \
             never ran"
        )
    });
    rig.close(broken)
}
