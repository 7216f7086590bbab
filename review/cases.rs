//! The cases: what each does to a small deployment, and how it checks its rule.

use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::cluster::{Cluster, STANDARD_QUEUE, job};
use crate::ledger::Ledger;
use crate::runner::{Capacity, Runner, unix_ms};

/// A runner as on salal-skipday.
const RUNNER: Capacity = Capacity {
    cpu: 32_000,
    memory_mb: 131_072,
    gpu: 8,
};
/// Time after the end of the traffic from which jobs are asked for (`finish_s`).
const FINISH: Duration = Duration::from_secs(14);
/// Time for which a job has to stand still.
const STILL: Duration = Duration::from_secs(3);

pub struct CaseContext {
    pub ledger: Arc<Ledger>,
    pub folder: PathBuf,
    pub trouble: bool,
}

/// Runs a case; returns the breaches of its rule.
pub fn run(name: &str, context: &CaseContext) -> Result<Vec<String>, String> {
    match name {
        "many-occurrences" => many_occurrences(context),
        "many-ends" => many_ends(context),
        "cut-runners" => cut_runners(context),
        "lasting-tasks" => lasting_tasks(context),
        "late-writes" => late_writes(context),
        "lasting-crashes" => lasting_crashes(context),
        _ => Err(format!("no case {name}")),
    }
}

fn job_id(number: u64) -> String {
    format!("{number:016x}")
}

/// Sleeps until a time after `began`.
fn sleep_until(began: Instant, after: Duration) {
    thread::sleep((began + after).saturating_duration_since(Instant::now()));
}

/// Small jobs come all the while. After 6 s comes a job of three steps that runs many times, once a
/// day. LOST: `finish_s` after the end of the traffic, a job has nothing running for 3 s though a
/// task's turn has come, there is capacity for it twice over, and under half of it is in use.
fn many_occurrences(context: &CaseContext) -> Result<Vec<String>, String> {
    /// Steps of an occurrence and tasks of a step; photo-sort on salal-skipday has up to 3 and 72.
    const STEPS: u64 = 3;
    const COUNT: u64 = 72;
    /// Occurrences; photo-sort has 6 of them on salal-skipday.
    const USUAL_TIMES: u64 = 6;
    const MANY_TIMES: u64 = 40;
    const DAY_MS: u64 = 86_400_000;
    let cluster = Cluster::start(&context.folder, &context.ledger, 3, 8, RUNNER)?;
    let small = Capacity {
        cpu: 2_800,
        memory_mb: 8_200,
        gpu: 1,
    };
    let began = Instant::now();
    let mut jobs = Vec::new();
    for step in 0..40u64 {
        sleep_until(began, Duration::from_millis(500 * step));
        if step == 12 {
            let times = if context.trouble {
                MANY_TIMES
            } else {
                USUAL_TIMES
            };
            let start_ms = unix_ms() + 500;
            let body = daily_job(STEPS, COUNT, small, times, start_ms, DAY_MS);
            if !cluster.submit(0, &job_id(0xb16), &body) {
                context.ledger.write("the repeating job was not accepted");
            }
        }
        let id = job_id(0x1000 + step);
        if cluster.submit(step as usize % 3, &id, &job(3, 1_000, small)) {
            jobs.push(id);
        }
    }
    if jobs.is_empty() {
        return Err("no job was accepted".to_owned());
    }
    context.ledger.write("the traffic ends");
    thread::sleep(FINISH);
    let mut open: Vec<String> = Vec::new();
    let mut breaches = Vec::new();
    for id in &jobs {
        match cluster.state(0, id).as_str() {
            "completed" => {}
            "queued" | "running" => open.push(id.clone()),
            other => breaches.push(format!("LOST: job {id} is shown as {other}")),
        }
    }
    let began = Instant::now();
    let mut still = open.clone();
    while began.elapsed() < STILL {
        let loads: Vec<_> = cluster.runners.iter().map(|runner| runner.load()).collect();
        let slots = |free: &Capacity| free.gpu.min(free.cpu / small.cpu);
        let room: u64 = loads.iter().map(|(_, free)| slots(free)).sum();
        let used: u64 = loads.iter().map(|(_, free)| RUNNER.gpu - free.gpu).sum();
        let idle = room >= 2 * 3 && 2 * used < RUNNER.gpu * loads.len() as u64;
        still.retain(|id| idle && !cluster.runners.iter().any(|runner| runner.runs_job(id)));
        thread::sleep(Duration::from_millis(50));
    }
    for id in still {
        let state = cluster.state(1, &id);
        if state != "completed" {
            breaches.push(format!(
                "LOST: job {id} was accepted, is {state} and had nothing running for 3 s on idle runners"
            ));
        }
    }
    cluster.close();
    Ok(breaches)
}

/// A job of steps one after the other, whose tasks run for 1 s each.
fn daily_job(
    steps: u64,
    count: u64,
    need: Capacity,
    times: u64,
    start_ms: u64,
    interval_ms: u64,
) -> String {
    let Capacity {
        cpu,
        memory_mb,
        gpu,
    } = need;
    let step = |index: u64| {
        let after = match index {
            0 => String::new(),
            _ => format!(",\"after\":[{}]", index - 1),
        };
        format!(
            "{{\"count\":{count},\"cpu\":{cpu},\"memMb\":{memory_mb},\"gpu\":{gpu},\"estimatedMs\":1000{after}}}"
        )
    };
    let steps: Vec<String> = (0..steps).map(step).collect();
    format!(
        "{{\"spec\":\"1000 {cpu} {memory_mb} {gpu}\",\"steps\":[{}],\"repeatCount\":{times},\"startAtMs\":{start_ms},\"intervalMs\":{interval_ms}}}",
        steps.join(",")
    )
}

/// Many short tasks run on one runner and end while the store is down. TWICE.
fn many_ends(context: &CaseContext) -> Result<Vec<String>, String> {
    /// Jobs of `COUNT` tasks each; all of them fit into one runner.
    const JOBS: u64 = 10;
    const COUNT: u64 = 60;
    /// Time from the first job's hand-in to the end of all tasks.
    const ENDS_MS: u64 = 12_000;
    /// Outage of the store; salal-skipday has 4.5 s.
    const OUTAGE_MS: u64 = 4_000;
    let cluster = Cluster::start(&context.folder, &context.ledger, 3, 3, RUNNER)?;
    let tiny = Capacity {
        cpu: 50,
        memory_mb: 100,
        gpu: 0,
    };
    thread::sleep(Duration::from_secs(2));
    let began = Instant::now();
    let mut jobs = Vec::new();
    for number in 0..JOBS {
        sleep_until(began, Duration::from_millis(500 * number));
        let id = job_id(0x2000 + number);
        // All jobs end within the same second, one after the other.
        let run_ms = ENDS_MS - 500 * number + 100 * number;
        if cluster.submit(number as usize % 3, &id, &job(COUNT, run_ms, tiny)) {
            jobs.push(id);
        }
    }
    if jobs.len() as u64 != JOBS {
        return Err("not all jobs were accepted".to_owned());
    }
    sleep_until(began, Duration::from_millis(ENDS_MS - 300));
    let loads: Vec<usize> = cluster
        .runners
        .iter()
        .map(|runner| runner.load().0)
        .collect();
    context
        .ledger
        .write(&format!("runs on each runner: {loads:?}"));
    if context.trouble {
        context.ledger.write("the store goes down: calls are reset");
        cluster.store.set_down(true);
        thread::sleep(Duration::from_millis(OUTAGE_MS));
        cluster.store.set_down(false);
        context.ledger.write("the store is back");
    }
    sleep_until(began, Duration::from_secs(45));
    for id in &jobs {
        cluster.state(0, id);
    }
    cluster.close();
    Ok(context.ledger.twice())
}

/// One runner of six is cut off for 5 s, four times: channels are reset, connections refused, and
/// reports do not reach the store. What runs there goes on. TWICE.
fn cut_runners(context: &CaseContext) -> Result<Vec<String>, String> {
    const RUNNERS: usize = 6;
    const CUT: Duration = Duration::from_secs(5);
    const CUTS: usize = 4;
    /// The cut comes late between two reports, which are 1.5 s apart, and early between two
    /// renewals of the lease.
    const REPORT_AGE: Duration = Duration::from_millis(1_000);
    const RENEWAL_AGE: Duration = Duration::from_millis(400);
    let cluster = Arc::new(Cluster::start(
        &context.folder,
        &context.ledger,
        3,
        RUNNERS,
        RUNNER,
    )?);
    let need = Capacity {
        cpu: 2_800,
        memory_mb: 8_200,
        gpu: 1,
    };
    thread::sleep(Duration::from_secs(2));
    let began = Instant::now();
    let sender = Arc::clone(&cluster);
    let traffic = thread::spawn(move || {
        for step in 0..50u64 {
            sleep_until(began, Duration::from_secs(step));
            // Tasks as long as those of photo-sort.
            let body = job(4, 6_100, need);
            sender.submit(step as usize % 3, &job_id(0x3000 + step), &body);
        }
    });
    for cut in 0..CUTS {
        sleep_until(began, Duration::from_secs(8 + 11 * cut as u64));
        if !context.trouble {
            continue;
        }
        let is_due = |runner: &&Arc<Runner>| {
            let late = runner.report_age() >= REPORT_AGE && runner.renewal_age() <= RENEWAL_AGE;
            late && runner.load().0 >= 4
        };
        let runner = loop {
            if let Some(runner) = cluster.runners.iter().find(is_due) {
                break runner;
            }
            if began.elapsed() > Duration::from_secs(50) {
                return Err("no runner was in a state to be cut off".to_owned());
            }
            thread::sleep(Duration::from_millis(5));
        };
        context.ledger.write(&format!(
            "{} is cut off with {} runs",
            runner.id,
            runner.load().0
        ));
        runner.cut();
        thread::sleep(CUT);
        runner.restore();
        context.ledger.write(&format!("{} is back", runner.id));
    }
    traffic
        .join()
        .map_err(|_| "the traffic failed".to_owned())?;
    thread::sleep(Duration::from_secs(15));
    Ok(context.ledger.twice())
}

/// Tasks that last run beside steady work that fills all runners. One runner of seven crashes and
/// is back after 4.5 s. LOST: a task that lasts has no run for 3 calm seconds after 4 more, over
/// 6 s after its last run.
fn lasting_tasks(context: &CaseContext) -> Result<Vec<String>, String> {
    const RUNNERS: usize = 7;
    const TASKS: u64 = 8;
    const DOWN: Duration = Duration::from_millis(4_500);
    /// Calm time after which a task has to run: 4 s and 3 s.
    const CALM_MS: u64 = 7_000;
    let cluster = Arc::new(Cluster::start(
        &context.folder,
        &context.ledger,
        3,
        RUNNERS,
        RUNNER,
    )?);
    let need = Capacity {
        cpu: 2_800,
        memory_mb: 8_200,
        gpu: 1,
    };
    thread::sleep(Duration::from_secs(2));
    let id = job_id(0x1a57);
    let body = lasting_job(TASKS, need);
    if !cluster.submit_to(STANDARD_QUEUE, 0, &id, &body) {
        return Err("the lasting job was not accepted".to_owned());
    }
    let began = Instant::now();
    let sender = Arc::clone(&cluster);
    let traffic = thread::spawn(move || {
        for step in 0..70u64 {
            sleep_until(began, Duration::from_millis(1_000 * step));
            // As wide and as long as photo-sort is in the mean.
            let body = job(12, 6_100, need);
            sender.submit(step as usize % 3, &job_id(0x5000 + step), &body);
        }
    });
    sleep_until(began, Duration::from_secs(25));
    let most = |runner: &&Arc<Runner>| usize::from(runner.runs_job(&id));
    let runner = cluster.runners.iter().max_by_key(most).expect("a runner");
    if context.trouble {
        context.ledger.write(&format!("{} crashes", runner.id));
        runner.crash();
        thread::sleep(DOWN);
        runner.restore();
        context.ledger.write(&format!("{} is back", runner.id));
    }
    let calm_from_ms = context.ledger.now_ms();
    traffic
        .join()
        .map_err(|_| "the traffic failed".to_owned())?;
    let now_ms = context.ledger.now_ms();
    let rows = context.ledger.rows();
    let mut breaches = Vec::new();
    for index in 0..TASKS {
        let task = format!("{id}.0.0.{index}");
        let runs: Vec<_> = rows.iter().filter(|row| row.task == task).collect();
        let late_from_ms = calm_from_ms + CALM_MS;
        let begins = |row: &&&crate::ledger::RunRow| row.from_ms > calm_from_ms;
        let lost_ms = runs.iter().filter_map(|row| row.to_ms).max();
        let runs_on = runs
            .iter()
            .any(|row| row.to_ms.is_none() && row.from_ms <= late_from_ms);
        if runs_on || runs.is_empty() {
            continue;
        }
        let again_ms = runs.iter().find(begins).map_or(now_ms, |row| row.from_ms);
        if again_ms > late_from_ms {
            breaches.push(format!(
                "LOST: task {task} that lasts had no run from {lost_ms:?} ms to {again_ms} ms; calm since {calm_from_ms} ms"
            ));
        }
    }
    Ok(breaches)
}

/// Run time of tasks that last, longer than any case.
const LASTING_MS: u64 = 3_600_000;

/// A job of one step of tasks that last. They don't end by themselves, so there is no estimate.
fn lasting_job(count: u64, need: Capacity) -> String {
    job(count, LASTING_MS, need)
        .replace("\"count\"", "\"longRunning\":true,\"count\"")
        .replace(&format!(",\"estimatedMs\":{LASTING_MS}"), "")
}

/// Tasks that last, on runners that do nothing else. Three times, 30 s apart, the runner of the
/// first task crashes and is back after 4.5 s. LOST: the job is shown as `failed` though no run of
/// it has ended `failed`.
fn lasting_crashes(context: &CaseContext) -> Result<Vec<String>, String> {
    const RUNNERS: usize = 7;
    const TASKS: u64 = 4;
    const CRASHES: u64 = 3;
    /// Time from the hand-in to the first crash, and from the last crash to the check.
    const MARGIN_S: u64 = 12;
    const INTERVAL_S: u64 = 30;
    const DOWN: Duration = Duration::from_millis(4_500);
    let cluster = Cluster::start(&context.folder, &context.ledger, 3, RUNNERS, RUNNER)?;
    let need = Capacity {
        cpu: 2_800,
        memory_mb: 8_200,
        gpu: 1,
    };
    thread::sleep(Duration::from_secs(2));
    let id = job_id(0x1a57);
    if !cluster.submit_to(STANDARD_QUEUE, 0, &id, &lasting_job(TASKS, need)) {
        return Err("the lasting job was not accepted".to_owned());
    }
    let began = Instant::now();
    let first_task = format!("{id}.0.0.0");
    for round in 0..CRASHES {
        sleep_until(began, Duration::from_secs(MARGIN_S + INTERVAL_S * round));
        let runner = cluster
            .runners
            .iter()
            .find(|runner| runner.runs_job(&first_task));
        let Some(runner) = runner.filter(|_| context.trouble) else {
            continue;
        };
        context.ledger.write(&format!("{} crashes", runner.id));
        runner.crash();
        thread::sleep(DOWN);
        runner.restore();
        context.ledger.write(&format!("{} is back", runner.id));
    }
    let last_s = MARGIN_S + INTERVAL_S * (CRASHES - 1);
    sleep_until(began, Duration::from_secs(last_s + MARGIN_S));
    let state = cluster.state(0, &id);
    let rows = context.ledger.rows();
    let count = |how: &str| rows.iter().filter(|row| row.how == how).count();
    let running = cluster.runners.iter().any(|runner| runner.runs_job(&id));
    let mut breaches = Vec::new();
    if state == "failed" && count("failed") == 0 {
        breaches.push(format!(
            "LOST: lasting job {id} is shown as failed; no run of it ended failed, {} were lost with their runner; runs on: {running}",
            count("crashed")
        ));
    }
    if state != "running" && breaches.is_empty() {
        return Err(format!("unexpected state {state}"));
    }
    Ok(breaches)
}

/// Three times, for 4.5 s, a share of .35 of the writes to the store gets no answer and is done late.
/// Consumers withdraw a job whose submission is not accepted at the first try, and every fourth of
/// the others. UNASKED: a task of a job runs though its cancelling was acknowledged long before.
fn late_writes(context: &CaseContext) -> Result<Vec<String>, String> {
    const JOBS: u64 = 150;
    const INTERVAL_MS: u64 = 300;
    const SHARE_MILLI: u64 = 350;
    const LOSSES: u64 = 3;
    const LOSS: Duration = Duration::from_millis(4_500);
    /// Time from the end of an impairment until hosts are in touch (`contactMs`).
    const CONTACT_MS: u64 = 3_000;
    /// Time after which a task of a cancelled job has to be gone (`cancel_ms` + `stopTimeoutMs`).
    const GONE_MS: u64 = 3_000 + 400;
    let cluster = Arc::new(Cluster::start(
        &context.folder,
        &context.ledger,
        3,
        8,
        RUNNER,
    )?);
    let need = Capacity {
        cpu: 2_800,
        memory_mb: 8_200,
        gpu: 1,
    };
    thread::sleep(Duration::from_secs(2));
    let began = Instant::now();
    let consumers: Vec<_> = (0..JOBS)
        .map(|number| {
            let cluster = Arc::clone(&cluster);
            thread::spawn(move || {
                sleep_until(began, Duration::from_millis(INTERVAL_MS * number));
                let host = number as usize % 3;
                let path = format!("/queue/{}", job_id(0x6000 + number));
                let answer = cluster.call(host, "POST", &path, &job(1, 11_000, need));
                let accepted = answer.is_some_and(|(status, _)| status == 200);
                if accepted && number % 4 != 0 {
                    return None;
                }
                for attempt in 1..=20 {
                    let answer = cluster.call((host + attempt) % 3, "DELETE", &path, "");
                    let status = answer.map_or(0, |(status, _)| status);
                    if status == 200 || status == 410 {
                        return Some((job_id(0x6000 + number), cluster.ledger.now_ms(), status));
                    }
                    thread::sleep(Duration::from_millis(300));
                }
                None
            })
        })
        .collect();
    let mut calm_from_ms = Vec::new();
    for loss in 0..LOSSES {
        sleep_until(began, Duration::from_secs(3 + 15 * loss));
        if context.trouble {
            context.ledger.write("answers to writes are lost");
            cluster.store.set_late_share(SHARE_MILLI);
        }
        thread::sleep(LOSS);
        cluster.store.set_late_share(0);
        context
            .ledger
            .write("answers to writes are not lost any more");
        calm_from_ms.push((
            context.ledger.now_ms() - LOSS.as_millis() as u64,
            context.ledger.now_ms() + CONTACT_MS,
        ));
    }
    let cancelled: Vec<_> = consumers
        .into_iter()
        .filter_map(|one| one.join().ok().flatten())
        .collect();
    thread::sleep(Duration::from_secs(14));
    let rows = context.ledger.rows();
    let mut breaches = Vec::new();
    for (id, acked_ms, status) in &cancelled {
        for row in rows.iter().filter(|row| row.task.starts_with(id.as_str())) {
            // The first moment after the ack that ends a calm stretch of `GONE_MS`.
            let mut from_ms = *acked_ms;
            for (trouble_ms, calm_ms) in &calm_from_ms {
                if from_ms + GONE_MS > *trouble_ms && from_ms < *calm_ms {
                    from_ms = *calm_ms;
                }
            }
            let gone_by_ms = from_ms + GONE_MS;
            if row.to_ms.is_none_or(|to_ms| to_ms > gone_by_ms) {
                breaches.push(format!(
                    "UNASKED: cancelling of job {id} was acknowledged with {status} at {acked_ms} ms; it had to be gone by {gone_by_ms} ms: {row:?}"
                ));
            }
        }
    }
    Ok(breaches)
}
