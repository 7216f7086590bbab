//! Tests of the cost of judging who is to blame for failed runs, and of the age of the evidence.

mod support;

use hemlockramp::work::model::amount::ResourceAmount;
use hemlockramp::work::model::record::JobPhase;
use hemlockramp::work::owner::failure_ledger::{FailedRun, FailureLedger};
use hemlockramp::work::owner::step_failures::StepRef;
use hemlockramp::work::owner::work_counts::WorkKind;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::pool_sim::{PoolSim, name, step};

const SEED: u64 = 7;
/// Rows of failures that the handling of one end may read, whatever the size of the pool.
const ROWS_PER_END_MAX: u64 = 100;

fn pool(upstreams: usize) -> PoolSim {
    let capacity = ResourceAmount {
        cpu_milli: 64_000,
        memory_mb: 128_000,
        accelerators: 8,
    };
    let mut pool = PoolSim::new(ChaCha8Rng::seed_from_u64(SEED), upstreams, capacity);
    pool.take_over();
    pool
}

/// Returns the ends that were handled and the rows of failures that were read.
fn ends_and_rows(pool: &PoolSim) -> (u64, u64) {
    let counts = pool.owner.as_ref().expect("an owner").counts();
    (counts.get(WorkKind::End), counts.get(WorkKind::BlameStep))
}

/// Returns the rows of failures read for each end, by size of the pool.
fn rows_per_end(hopeless_tasks: u32) -> [u64; 2] {
    [50, 1_100].map(|upstreams| {
        let mut pool = pool(upstreams);
        pool.hopeless_jobs.push(name("hopeless"));
        pool.submit(
            "hopeless",
            "plain",
            vec![step(hopeless_tasks, 100, 1, false)],
        );
        pool.submit("sound", "plain", vec![step(40, 900, 1, false)]);
        pool.run_for(3_000);
        assert_eq!(pool.phase("sound"), JobPhase::Completed, "{upstreams}");
        let (ends, rows) = ends_and_rows(&pool);
        assert!(
            ends >= u64::from(hopeless_tasks),
            "{upstreams}: {ends} ends"
        );
        assert!(rows > 0, "{upstreams}: no failure was read");
        rows / ends
    })
}

/// Guards against a change of a living owner: after one failed run each end of any run read the failures
/// of all upstreams, and the owner of a large pool no longer came to its heartbeats.
#[test]
fn ends_after_one_failed_run_do_not_read_the_failures_of_the_whole_pool() {
    for hopeless_tasks in [3, 300] {
        let rows = rows_per_end(hopeless_tasks);
        let is_bounded = rows.iter().all(|&rows| rows <= ROWS_PER_END_MAX);
        assert!(
            is_bounded,
            "{hopeless_tasks} tasks fail: {rows:?} rows an end"
        );
    }
}

/// Guards against evidence that never ages: rows were dropped only when a further run failed.
#[test]
fn failures_are_forgotten_without_a_further_failure() {
    let mut ledger = FailureLedger::default();
    let step = StepRef {
        job: name("hopeless"),
        step: 0,
    };
    let fail = |ledger: &mut FailureLedger, upstream: &str, now_ms: u64| {
        ledger.add_failure(FailedRun {
            step: &step,
            upstream: &name(upstream),
            tasks: 100,
            is_step_done: false,
            is_upstream_proven: true,
            now_ms,
        });
    };
    for index in 0..100 {
        fail(&mut ledger, &format!("u{index:03}"), 1_000);
    }
    fail(&mut ledger, "u000", 30_000);
    let take_all = |ledger: &mut FailureLedger, now_ms: u64| {
        (0..100).for_each(|_| drop(ledger.take_changes(now_ms)));
    };
    take_all(&mut ledger, 60_000);
    assert!(
        ledger.blame(&name("u099")).score > 0.0,
        "forgotten too early"
    );
    take_all(&mut ledger, 62_000);
    assert_eq!(ledger.blame(&name("u099")).score, 0.0);
    assert!(
        ledger.blame(&name("u000")).score > 0.0,
        "it failed again later"
    );
    take_all(&mut ledger, 92_000);
    assert!(ledger.is_empty());
}

/// Random runs of more steps than are kept for an upstream: nothing of them is left in the end.
#[test]
fn evidence_of_random_runs_is_forgotten_whole() {
    for seed in 0..20 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut ledger = FailureLedger::default();
        let upstreams: Vec<_> = (0..40).map(|index| name(&format!("u{index:03}"))).collect();
        let mut now_ms = 1_000;
        for _ in 0..10_000 {
            now_ms += random.random_range(0..60);
            let step = StepRef {
                job: name(&format!("job{}", random.random_range(0..30))),
                step: 0,
            };
            let upstream = &upstreams[random.random_range(0..upstreams.len())];
            match random.random_bool(0.3) {
                true => ledger.add_success(&step, upstream),
                false => ledger.add_failure(FailedRun {
                    step: &step,
                    upstream,
                    tasks: random.random_range(1..100),
                    is_step_done: random.random_bool(0.1),
                    is_upstream_proven: random.random_bool(0.9),
                    now_ms,
                }),
            }
            ledger.take_changes(now_ms);
        }
        for _ in 0..5_000 {
            ledger.take_changes(now_ms + 200_000);
        }
        assert!(ledger.is_empty(), "seed {seed}");
        let blames = upstreams.iter().map(|upstream| ledger.blame(upstream));
        assert!(
            blames.into_iter().all(|blame| blame.score == 0.0),
            "seed {seed}"
        );
    }
}
