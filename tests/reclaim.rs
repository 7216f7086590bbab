//! Tests that work inside a team's guarantee starts in time on a full pool, against simulated
//! upstreams in virtual time.

mod support;

use std::rc::Rc;

use hemlockramp::tables::name::ObjectName;
use hemlockramp::work::model::amount::ResourceAmount;
use hemlockramp::work::model::config::TeamRule;
use hemlockramp::work::model::spec::StepSpec;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::pool_sim::{PoolSim, TIMING, name, step};

/// Seeds of the random test.
const SEEDS: std::ops::Range<u64> = 0..200;
/// Number of upstreams.
const UPSTREAMS: usize = 12;
/// Accelerators of each upstream.
const ACCELERATORS: u64 = 8;
/// Accelerators guaranteed to each of the two teams; the pool has 96.
const GUARANTEED: u64 = 40;
/// Time after a fault from which the bound holds again, in ms: the platform's.
const CONTACT_MS: u64 = 3_000;
/// Fewest jobs that all random runs together have to judge.
const JUDGED_MIN: usize = 1_500;
/// Length of a random run, in ms.
const RUN_MS: u64 = 30_000;
/// Time between two checks whether a waiting job fits beside other guaranteed work, in ms.
const FIT_CHECK_MS: u64 = 100;

fn reclaiming_pool(seed: u64, upstreams: usize) -> PoolSim {
    let capacity = ResourceAmount {
        cpu_milli: 64_000,
        memory_mb: 128_000,
        accelerators: ACCELERATORS,
    };
    let mut pool = PoolSim::new(ChaCha8Rng::seed_from_u64(seed), upstreams, capacity);
    let mut config = (*pool.config).clone();
    config.teams = ["red", "blue"]
        .map(|team| TeamRule {
            name: name(team),
            keys: vec![format!("key-{team}").into()],
            guaranteed_accelerators: GUARANTEED,
        })
        .to_vec();
    pool.config = Rc::new(config);
    pool.take_over();
    pool
}

/// A job inside its team's guarantee.
struct GuaranteedJob {
    id: String,
    team: &'static str,
    tasks: u32,
    /// Accelerators of each task.
    each: u64,
    accelerators: u64,
    accepted_ms: u64,
    /// Whether a fault was near, or it did not fit beside other guaranteed work, before it began.
    excused: bool,
    begun: bool,
}

impl GuaranteedJob {
    fn has_begun(&self, pool: &PoolSim) -> bool {
        self.task_names().all(|task| pool.starts(&task) > 0)
    }

    fn task_names(&self) -> impl Iterator<Item = String> {
        (0..self.tasks).map(|index| format!("{}.0.0.{index}", self.id))
    }
}

/// A random run: teams claim their guarantees in bursts while other work fills the pool.
struct ReclaimRun {
    pool: PoolSim,
    random: ChaCha8Rng,
    jobs: Vec<GuaranteedJob>,
    submitted: u32,
    calm_from_ms: u64,
}

impl ReclaimRun {
    fn new(seed: u64) -> Self {
        let pool = reclaiming_pool(seed, UPSTREAMS);
        Self {
            calm_from_ms: pool.now_ms,
            pool,
            random: ChaCha8Rng::seed_from_u64(5_000 + seed),
            jobs: Vec::new(),
            submitted: 0,
        }
    }

    fn random_rack(&mut self) -> ObjectName {
        name(&format!("r{}", self.random.random_range(0..UPSTREAMS / 2)))
    }

    /// Submits work that has no guarantee.
    fn submit_filler(&mut self) {
        self.submitted += 1;
        let id = format!("f{}", self.submitted);
        let queue = ["batch", "batch", "plain", "urgent"][self.random.random_range(0..4)];
        let run_ms = self.random.random_range(500..12_000);
        let accelerators = [1, 1, 2, 4, 8][self.random.random_range(0..5)];
        let gang = self.random.random_bool(0.3);
        let count = self.random.random_range(1..=32 / accelerators as u32);
        let work = step(count, run_ms, accelerators, gang);
        self.pool.submit_as("guest", &id, queue, vec![work]);
    }

    fn submit_guaranteed(&mut self) {
        let team = ["red", "blue"][self.random.random_range(0..2)];
        let of_team = self.jobs.iter().filter(|job| job.team == team);
        let open = of_team.filter(|job| !self.pool.phase(&job.id).is_over());
        let held: u64 = open.map(|job| job.accelerators).sum();
        let each = [1, 2, 4, 8][self.random.random_range(0..4)];
        let tasks = self.random.random_range(1..=GUARANTEED / each) as u32;
        let wanted = u64::from(tasks) * each;
        if held + wanted > GUARANTEED {
            return;
        }
        let run_ms = self.random.random_range(300..4_000);
        let mut work: StepSpec = step(tasks, run_ms, each, true);
        work.same_rack = self.random.random_bool(0.5);
        if self.random.random_bool(0.3) {
            work.data_rack = Some(self.random_rack());
        }
        self.submitted += 1;
        let id = format!("g{}", self.submitted);
        self.pool.submit_as(team, &id, "urgent", vec![work]);
        self.jobs.push(GuaranteedJob {
            id,
            team,
            tasks,
            each,
            accelerators: wanted,
            accepted_ms: self.pool.now_ms,
            excused: false,
            begun: false,
        });
    }

    /// Cuts some upstreams off for a time.
    fn cut(&mut self) {
        let span_ms = self.random.random_range(1_000..7_000);
        let until_ms = self.pool.now_ms + span_ms;
        for index in 0..UPSTREAMS {
            if self.random.random_bool(0.2) {
                self.pool.upstreams[index].unreachable_until_ms = until_ms;
            }
        }
        self.calm_from_ms = self.calm_from_ms.max(until_ms + CONTACT_MS);
    }

    fn advance(&mut self) {
        if self.random.random_bool(0.004) {
            self.submit_filler();
        }
        if self.random.random_bool(0.004) {
            for _ in 0..self.random.random_range(1..8) {
                self.submit_guaranteed();
            }
        }
        if self.random.random_bool(0.001) {
            self.cut();
        }
        self.pool.stop_ms = self.random.random_range(50..=TIMING.stop_ms);
        self.pool.step();
        let (now_ms, calm_from_ms) = (self.pool.now_ms, self.calm_from_ms);
        for index in 0..self.jobs.len() {
            if self.jobs[index].begun {
                continue;
            }
            let checks = now_ms.is_multiple_of(FIT_CHECK_MS);
            let fits = !checks || self.fits_beside_guaranteed(&self.jobs[index]);
            let job = &mut self.jobs[index];
            job.excused |= now_ms < calm_from_ms || !fits;
            job.begun = job.has_begun(&self.pool);
        }
    }

    /// Returns whether a job would fit if only other guaranteed work, which is not preempted, were
    /// at work.
    fn fits_beside_guaranteed(&self, job: &GuaranteedJob) -> bool {
        let mut free = [ACCELERATORS; UPSTREAMS];
        let others = self.jobs.iter().filter(|other| other.id != job.id);
        for other in others.filter(|other| !self.pool.phase(&other.id).is_over()) {
            for task in other.task_names() {
                let at = self.pool.running(&task);
                let mut upstreams = self.pool.upstreams.iter();
                let found = upstreams.position(|upstream| at.as_ref() == Some(&upstream.name));
                if let Some(index) = found {
                    free[index] -= other.each;
                }
            }
        }
        free.iter().map(|free| free / job.each).sum::<u64>() >= u64::from(job.tasks)
    }

    /// Returns whether a gang has ended though a task never started. The platform's gangs do not; the
    /// simulation's tasks run by themselves, and the owner keeps counting the missing one.
    fn has_incomplete_gang(&self) -> bool {
        let mut open = self.jobs.iter().filter(|job| !job.begun);
        open.any(|job| self.pool.phase(&job.id).is_over())
    }

    /// Returns the first job that has not begun in time.
    fn late_job(&self) -> Option<&GuaranteedJob> {
        let due_ms = self.pool.now_ms.saturating_sub(TIMING.reclaim_ms);
        let mut open = self.jobs.iter().filter(|job| !job.begun && !job.excused);
        open.find(|job| job.accepted_ms < due_ms)
    }
}

/// Bursts of work inside guarantees, on a pool that other work fills, between cuts that heal. All
/// tasks must start within the bound.
#[test]
fn guaranteed_work_starts_in_time_on_a_full_pool() {
    let mut late = Vec::new();
    let mut in_time = 0;
    for seed in SEEDS {
        let mut run = ReclaimRun::new(seed);
        let end_ms = run.pool.now_ms + RUN_MS;
        while run.pool.now_ms < end_ms && !run.has_incomplete_gang() {
            run.advance();
            if let Some(job) = run.late_job() {
                late.push(format!(
                    "seed {seed}: {} of {} accelerators",
                    job.id, job.accelerators
                ));
                break;
            }
        }
        let judged = |job: &&GuaranteedJob| job.begun && !job.excused;
        in_time += run.jobs.iter().filter(judged).count();
    }
    assert!(late.is_empty(), "{} runs: {late:#?}", late.len());
    assert!(in_time >= JUDGED_MIN, "only {in_time} jobs were judged");
}

/// Load: a pool filled by work that has just started. Guards against stops that waited until 700 ms
/// after the start order.
#[test]
fn work_that_has_just_started_is_stopped_at_once() {
    let mut pool = reclaiming_pool(0, 4);
    pool.stop_ms = 100;
    pool.submit_as("guest", "new", "batch", vec![step(32, 60_000, 1, false)]);
    pool.run_for(150);
    assert_eq!(pool.starts("new.0.0.31"), 1);
    pool.submit_as("red", "gang", "urgent", vec![step(2, 5_000, 8, true)]);
    pool.run_for(350);
    assert_eq!(pool.starts("gang.0.0.0") + pool.starts("gang.0.0.1"), 2);
}
